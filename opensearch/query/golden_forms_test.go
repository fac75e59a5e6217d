package query_test

import (
	"fmt"
	"strings"
	"testing"

	"chalkring/internal/golden"

	"github.com/stretchr/testify/require"

	"chalkring/internal/fake"
	"chalkring/opensearch/query"
)

var goldenRequests = []string{
	`{}`, `{"size":0,"track_total_hits":true}`, `{"_source":["a*"],"sort":["_score"],"min_score":0.5}`,
	`{"query":{"bool":{"must":[{"term":{"a":1}}],"must_not":[{"exists":{"field":"b"}}],"should":[{"prefix":{"c":"<x"}},` +
		`{"match":{"d":{"query":"u v","operator":"and","boost":2}}}],"filter":{"range":{"e":{"gte":1.50,"lt":"z"}}}}},"from":2,"size":3}`,
	`{"query":{"constant_score":{"filter":{"terms":{"a":["x",9007199254740993,true]}}}},"sort":[{"a":"desc"}],"search_after":["\u00e9"]}`,
	`{"query":{"ids":{"values":["1","\\"]}},"terminate_after":5,"track_total_hits":7}`, `{"query":{"match_none":{"boost":3}}}`,
	`{"_source":false,"timeout":"250ms","sort":[{"rank":{"order":"desc","missing":"_first"}},"age"]}`,
	`{"_source":{"includes":["a"],"excludes":["b"]},"track_total_hits":false}`,
	`{"size":2,"aggs":{"towns":{"terms":{"field":"town","size":2},"aggs":{"old":{"max":{"field":"age"}}}},` +
		`"likes":{"terms":{"field":"likes","order":{"_key":"asc"},"size":4}},"mean":{"avg":{"field":"age"}},"sum":{"sum":{"field":"rank"}},` +
		`"n":{"value_count":{"field":"rank"}},"least":{"min":{"field":"rank"}},"kinds":{"cardinality":{"field":"likes"}},` +
		`"p":{"percentiles":{"field":"age","percents":[50,99]}}}}`,
	`{"query":{"bool":{"should":[{"term":{"town":{"value":"red","boost":1.5}}}],"minimum_should_match":1}},"sort":["_score","town"]}`,
}

// The bodies of shard requests must not change: they equal the golden file byte for byte. It has each search and, on the
// line below, the body of its shard requests.
func TestGoldenShardRequests(t *testing.T) {
	var out strings.Builder
	for _, text := range goldenRequests {
		fmt.Fprintf(&out, "%s\n%s\n", text, parse(t, text).ShardRequestBody())
	}
	golden.Require(t, "shard_requests.golden", out.String())
}

// Merged answers must not change: they equal the golden file byte for byte. It has each search, the responses of two shards
// and three answers: whole is the complete one, partial is of one shard with a failure of the other, skipped is of one
// shard with three skipped.
func TestGoldenMergedAnswers(t *testing.T) {
	var out strings.Builder
	all := randomDocuments(3, 24)
	for _, text := range goldenRequests {
		q := parse(t, text)
		fmt.Fprintf(&out, "request %s\n", text)
		var responses []*query.ShardResponse
		for shard := range 2 {
			documents := shardOf(all[shard*12 : shard*12+12])
			raw, err := documents.Search(q.ShardRequestBody())
			if err != nil {
				fmt.Fprintf(&out, "no answer by the stand-in\n")
				continue
			}
			fmt.Fprintf(&out, "shard %d %s\n", shard, raw)
			response, err := q.ParseResponse(shard, documents.Index, raw)
			require.NoError(t, err, "%s", raw)
			responses = append(responses, response)
		}
		if len(responses) < 2 {
			continue
		}
		fmt.Fprintf(&out, "whole %s\n", q.MergeResponses(query.SearchOutcome{Responses: responses, TookMillis: 12}))
		fmt.Fprintf(&out, "partial %s\n", q.MergeResponses(query.SearchOutcome{
			Responses: responses[:1], TookMillis: 1999, TimedOut: true,
			Failures: []query.ShardFailure{{Shard: 1, Index: "members", Type: "timeout_exception", Reason: "no answer \"in\" time"}},
		}))
		fmt.Fprintf(&out, "skipped %s\n", q.MergeResponses(query.SearchOutcome{Responses: responses[1:], Skipped: 3}))
	}
	golden.Require(t, "merged_answers.golden", out.String())
}

// The errors of rejected requests must not change. The golden file has each request and, on the line below, the status and
// the body of its error.
func TestGoldenRequestErrors(t *testing.T) {
	var out strings.Builder
	for _, text := range []string{
		`{"query":{"match_all":{}}`, "{\n \"qery\":{}}", `{"highlight":{}}`, `{"query":{"wildcard":{"a":"b*"}}}`,
		"{\"query\":\n{\"trm\":{}}}", `{"query":{"term":{"a":1},"terms":{}}}`, `{"query":{"term":{"a":{"valu":1}}}}`,
		`{"query":{"term":{"a":[1]}}}`, `{"query":{"term":{"a":{"value":1,"case_insensitive":true}}}}`, `{"query":{"range":{"a":{"from":1}}}}`,
		`{"query":{"ids":{"values":[1]}}}`, `{"size":1,"size":2}`, `{"from":9999,"size":2}`, `{"size":-1}`, `{"size":1e3}`,
		`{"search_after":[1]}`, `{"sort":["a"],"search_after":[1,2,3]}`, `{"sort":["a","a"]}`, `{"sort":["_id","a"]}`,
		`{"sort":[{"_script":{}}]}`, `{"timeout":"soon"}`, `{"timeout":5}`, `{"aggs":{"a":{"histogram":{"field":"x"}}}}`,
		`{"aggs":{"a":{"maxx":{"field":"x"}}}}`, `{"aggs":{"a":{"max":{}}}}`, `{"aggs":{"a":{"max":{"field":"x"},"aggs":{}}}}`,
		`{"aggs":{"a":{"terms":{"field":"x","order":{"_count":"asc"}}}}}`, `[]`, `{} {}`,
		"{\"query\":{\"term\":{\"a\":\"\xff\"}}}", `{"a":` + strings.Repeat(" ", 1<<20) + `1}`,
	} {
		_, err := query.ParseRequest([]byte(text))
		var apiError *query.APIError
		require.ErrorAs(t, err, &apiError, "%.80s", text)
		fmt.Fprintf(&out, "%.100q\n%d %s\n", text, apiError.Status, apiError.ResponseBody())
	}
	golden.Require(t, "request_errors.golden", out.String())
}

// Placement must not change: the golden file has the numbers of shards and routing shards, and the shard of each id.
func TestGoldenPlacement(t *testing.T) {
	var out strings.Builder
	for _, p := range []query.Placement{{Shards: 1}, {Shards: 3}, {Shards: 8}, {Shards: 5, RoutingShards: 30}} {
		fmt.Fprintf(&out, "%d %d:", p.Shards, p.EffectiveRoutingShards())
		for _, id := range []string{"", "a", "m0007", "é", "日本", "a long routing value of some words", "🙂"} {
			fmt.Fprintf(&out, " %d", p.ShardFor(id))
		}
		out.WriteByte('\n')
	}
	golden.Require(t, "placement.golden", out.String())
}

func shardOf(all []fake.Document) fake.ShardDocuments {
	return fake.ShardDocuments{Index: "members", Documents: all}
}
