package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// searchResult has the fields that are printed, of the responses of both kinds of frontends.
type searchResult struct {
	Shards       shardCounts `json:"_shards"` // of an OpenSearch-style frontend
	Hits         searchHits
	Aggregations json.RawMessage

	Total   bool // of the search API: all blocks have answered
	Answers []struct {
		Range int
		Blob  string
	}

	Error struct{ Type, Reason string }
}

type shardCounts struct {
	Total, Successful, Failed int
	Failures                  []struct {
		Shard  int
		Reason struct{ Type, Reason string }
	}
}

type searchHits struct {
	Total struct {
		Value    int
		Relation string
	}
	Hits []struct {
		ID     string          `json:"_id"`
		Score  *float64        `json:"_score"`
		Source json.RawMessage `json:"_source"`
	}
}

// print prints a response as a table that begins with the number of blocks that have answered.
func (c *searchCommand) print(response *http.Response, body []byte, took time.Duration) error {
	var result searchResult
	if err := json.Unmarshal(body, &result); err != nil {
		return fmt.Errorf("status %d, and what came is no answer: %w", response.StatusCode, err)
	}
	took = took.Round(time.Millisecond)
	switch {
	case response.StatusCode != http.StatusOK:
		printTable(failedRows(response, result, took))
	case c.Index != "":
		printTable(openSearchRows(result, took))
	default:
		printTable(c.apiRows(result, took))
	}
	return nil
}

func failedRows(response *http.Response, result searchResult, took time.Duration) string {
	rows := fmt.Sprintf("status %d in %v: %s %s\n", response.StatusCode, took, result.Error.Type, result.Error.Reason)
	if retryAfter := response.Header.Get("Retry-After"); retryAfter != "" {
		rows += fmt.Sprintf("come back in %s s\n", retryAfter)
	}
	return rows
}

func openSearchRows(result searchResult, took time.Duration) string {
	var rows strings.Builder
	hits, shards := result.Hits, result.Shards
	relation := map[string]string{"gte": "at least ", "eq": ""}[hits.Total.Relation]
	fmt.Fprintf(&rows, "%s%d members in %v; blocks: %d of %d, %d failed\n", relation, hits.Total.Value, took,
		shards.Successful, shards.Total, shards.Failed)
	for _, failure := range shards.Failures {
		fmt.Fprintf(&rows, "block %d: %s: %s\n", failure.Shard, failure.Reason.Type, failure.Reason.Reason)
	}
	fmt.Fprintln(&rows, "ID\tSCORE\tMEMBER")
	for _, hit := range hits.Hits {
		score := "-"
		if hit.Score != nil {
			score = strconv.FormatFloat(*hit.Score, 'g', 4, 64)
		}
		fmt.Fprintf(&rows, "%s\t%s\t%s\n", hit.ID, score, hit.Source)
	}
	if len(result.Aggregations) > 0 {
		fmt.Fprintf(&rows, "aggregations\t%s\n", result.Aggregations)
	}
	return rows.String()
}

func (c *searchCommand) apiRows(result searchResult, took time.Duration) string {
	var rows strings.Builder
	fmt.Fprintf(&rows, "%d of %d blocks in %v, whole: %t\n", len(result.Answers), len(c.Blocks), took, result.Total)
	fmt.Fprintln(&rows, "BLOCK\tVALUE")
	for _, answer := range result.Answers {
		fmt.Fprintf(&rows, "%d\t%s\n", answer.Range, answer.Blob)
	}
	return rows.String()
}
