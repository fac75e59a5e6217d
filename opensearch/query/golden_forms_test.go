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

// The bodies of shard requests must equal the golden file byte for byte: a request, and below it the body for its shards.
func TestGoldenShardRequests(t *testing.T) {
	var out strings.Builder
	for _, text := range goldenRequests {
		fmt.Fprintf(&out, "%s\n%s\n", text, parse(t, text).ShardRequestBody())
	}
	golden.Require(t, "shard_requests.golden", out.String())
}

// Merged answers must equal the golden file byte for byte: the request, the responses of two shards, the complete answer, the
// partial answer of one shard with a failure of the other, and the answer with skipped shards.
func TestGoldenMergedAnswers(t *testing.T) {
	var out strings.Builder
	all := randomDocuments(3, 24)
	for _, text := range goldenRequests {
		q := parse(t, text)
		fmt.Fprintf(&out, "request %s\n", text)
		var answers []*query.ShardResponse
		for shard := range 2 {
			documents := shardOf(all[shard*12 : shard*12+12])
			response, err := documents.Search(q.ShardRequestBody())
			if err != nil {
				fmt.Fprintf(&out, "no answer by the stand-in\n")
				continue
			}
			fmt.Fprintf(&out, "shard %d %s\n", shard, response)
			answer, err := q.ParseResponse(shard, documents.Index, response)
			require.NoError(t, err, "%s", response)
			answers = append(answers, answer)
		}
		if len(answers) < 2 {
			continue
		}
		fmt.Fprintf(&out, "whole %s\n", q.MergeResponses(query.SearchOutcome{Responses: answers, TookMillis: 12}))
		fmt.Fprintf(&out, "partial %s\n", q.MergeResponses(query.SearchOutcome{
			Responses: answers[:1], TookMillis: 1999, TimedOut: true,
			Failures: []query.ShardFailure{{Shard: 1, Index: "members", Type: "timeout_exception", Reason: "no answer \"in\" time"}},
		}))
		fmt.Fprintf(&out, "skipped %s\n", q.MergeResponses(query.SearchOutcome{Responses: answers[1:], Skipped: 3}))
	}
	golden.Require(t, "merged_answers.golden", out.String())
}

// The error bodies of rejected requests must equal the golden file: the request, status and body.
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
