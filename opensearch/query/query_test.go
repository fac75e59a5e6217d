package query_test

import (
	"encoding/json"
	"flag"
	"fmt"
	"math"
	"math/rand"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"chalkring/internal/fake"
	"chalkring/opensearch/query"
)

// TestMain fixes the seed of the property tests, so that each run of CI tests the same cases. A flag on the command line
// overrides it.
func TestMain(m *testing.M) {
	flag.Set("rapid.seed", "1")
	flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

func parse(t require.TestingT, text string) *query.Request {
	q, err := query.ParseRequest([]byte(text))
	require.NoError(t, err, text)
	return q
}

// randomDocuments returns n documents with fields of all types, some missing and some with a list of values.
func randomDocuments(seed int64, n int) []fake.Document {
	random := rand.New(rand.NewSource(seed))
	words := strings.Fields("red green blue chess tango hiking opera jazz")
	var all []fake.Document
	for i := range n {
		m := fake.Document{ID: fmt.Sprintf("m%04d", i), Fields: map[string]any{
			"age":  float64(18 + random.Intn(60)),
			"town": words[random.Intn(3)], "about": words[random.Intn(8)] + " " + words[random.Intn(8)],
		}}
		if random.Intn(4) > 0 {
			m.Fields["rank"] = float64(random.Intn(9)) / 2
		}
		if random.Intn(3) > 0 {
			m.Fields["likes"] = []any{words[random.Intn(8)], words[random.Intn(8)]}
		}
		all = append(all, m)
	}
	return all
}

// randomQuery returns the text of a random query clause.
func randomQuery(c *rand.Rand, depth int) string {
	words := strings.Fields("red green blue chess tango hiking opera jazz")
	w := func() string { return words[c.Intn(len(words))] }
	kinds := 9
	if depth > 0 {
		kinds = 11
	}
	switch c.Intn(kinds) {
	case 0:
		return `{"match_all":{}}`
	case 1:
		return fmt.Sprintf(`{"term":{"town":%q}}`, w())
	case 2:
		return fmt.Sprintf(`{"terms":{"likes":[%q,%q]}}`, w(), w())
	case 3:
		return fmt.Sprintf(`{"range":{"age":{"gte":%d,"lt":%d}}}`, 18+c.Intn(40), 40+c.Intn(40))
	case 4:
		return `{"exists":{"field":"rank"}}`
	case 5:
		return fmt.Sprintf(`{"prefix":{"town":{"value":%q,"boost":2}}}`, w()[:1])
	case 6:
		return fmt.Sprintf(`{"ids":{"values":["m0001","m0007","m%04d"]}}`, c.Intn(200))
	case 7:
		return fmt.Sprintf(`{"match":{"about":{"query":"%s %s","operator":%q}}}`, w(), w(), []string{"and", "or"}[c.Intn(2)])
	case 8:
		return `{"match_none":{}}`
	case 9:
		return fmt.Sprintf(`{"constant_score":{"filter":%s,"boost":1.5}}`, randomQuery(c, depth-1))
	}
	list := func() string {
		var all []string
		for range c.Intn(3) {
			all = append(all, randomQuery(c, depth-1))
		}
		return "[" + strings.Join(all, ",") + "]"
	}
	return fmt.Sprintf(`{"bool":{"must":%s,"filter":%s,"should":%s,"must_not":%s}}`, list(), list(), list(), list())
}

func randomRequest(c *rand.Rand) string {
	sort := []string{
		`[{"rank":{"order":"desc","missing":"_first"}},"age"]`, `["_score","town"]`, `[{"town":"desc"}]`,
		`["_score"]`,
	}[c.Intn(4)]
	return fmt.Sprintf(`{"query":%s,"from":%d,"size":%d,"sort":%s,"track_total_hits":true,"aggs":{
		"towns":{"terms":{"field":"town","size":2},"aggs":{"old":{"max":{"field":"age"}}}},
		"likes":{"terms":{"field":"likes","order":{"_key":"asc"},"size":4}},
		"mean":{"avg":{"field":"age"}},"sum":{"sum":{"field":"rank"}},"n":{"value_count":{"field":"rank"}},
		"least":{"min":{"field":"rank"}},"kinds":{"cardinality":{"field":"likes"}},
		"p":{"percentiles":{"field":"age","percents":[50]}}}}`, randomQuery(c, 2), c.Intn(4), c.Intn(30), sort)
}

// searchShards distributes documents over shards at random, searches each and returns the responses in random order.
func searchShards(t require.TestingT, q *query.Request, all []fake.Document, shards int, c *rand.Rand) []*query.ShardResponse {
	shardDocuments := make([]fake.ShardDocuments, shards)
	for _, m := range all {
		b := &shardDocuments[c.Intn(shards)]
		if !slices.ContainsFunc(b.Documents, func(other fake.Document) bool { return other.ID == m.ID }) {
			b.Documents = append(b.Documents, m)
		}
	}
	var responses []*query.ShardResponse
	for i := range shardDocuments {
		shardDocuments[i].Index = "members"
		text, err := shardDocuments[i].Search(q.ShardRequestBody())
		require.NoError(t, err)
		a, err := q.ParseResponse(i, "members", text)
		require.NoError(t, err, "%s\n%s", q.ShardRequestBody(), text)
		responses = append(responses, a)
	}
	c.Shuffle(len(responses), func(i, j int) { responses[i], responses[j] = responses[j], responses[i] })
	return responses
}

func decodeJSON(t require.TestingT, text []byte) map[string]any {
	var m map[string]any
	require.NoError(t, json.Unmarshal(text, &m))
	return m
}

// The merged answer must not depend on how documents are distributed over shards, nor on the order of the responses: it
// equals that of one shard with all documents. Hits, counts and exact aggregations are equal, percentiles nearly.
func TestSplittingAndMerging(t *testing.T) {
	all := randomDocuments(1, 200)
	count := 500 // for CI; CHALKRING_QUERIES=10000 is the full test
	if n, err := strconv.Atoi(os.Getenv("CHALKRING_QUERIES")); err == nil {
		count = n
	}
	for i := range count {
		c := rand.New(rand.NewSource(int64(i)))
		text := randomRequest(c)
		q := parse(t, text)
		single := decodeJSON(t, q.MergeResponses(query.SearchOutcome{Responses: searchShards(t, q, all, 1, c)}))
		split := decodeJSON(t, q.MergeResponses(query.SearchOutcome{Responses: searchShards(t, q, all, 1+c.Intn(12), c)}))
		require.Equal(t, single["hits"], split["hits"], text)
		a, b := single["aggregations"].(map[string]any), split["aggregations"].(map[string]any)
		p, r := a["p"], b["p"]
		delete(a, "p")
		delete(b, "p")
		require.InDelta(t, a["sum"].(map[string]any)["value"], b["sum"].(map[string]any)["value"], 1e-9)
		require.Equal(t, a, b, text)
		x, okX := p.(map[string]any)["values"].(map[string]any)["50.0"].(float64)
		y, okY := r.(map[string]any)["values"].(map[string]any)["50.0"].(float64)
		require.Equal(t, okX, okY)
		if n := single["hits"].(map[string]any)["total"].(map[string]any)["value"].(float64); okX && n > 60 {
			require.InDelta(t, x, y, 6, text)
		}
		// Totals and the order of hits are also compared with the stand-in's own response.
		ref := fake.ShardDocuments{Index: "members", Documents: all}
		got, err := ref.Search(q.ShardRequestBody())
		require.NoError(t, err)
		want := decodeJSON(t, got)["hits"].(map[string]any)
		require.Equal(t, want["total"], split["hits"].(map[string]any)["total"])
		ids := func(list any) []any {
			out := []any{}
			for _, h := range list.([]any) {
				out = append(out, h.(map[string]any)["_id"])
			}
			return out
		}
		require.Equal(t, ids(want["hits"])[min(q.From, len(ids(want["hits"]))):], ids(split["hits"].(map[string]any)["hits"]), text)
	}
}

// Joining responses is associative: in whatever groups, and groups of groups, they are joined, the merged answer is the
// same byte for byte, also with documents that are on several shards.
func TestJoiningIsAssociative(t *testing.T) {
	all := randomDocuments(3, 120)
	rapid.Check(t, func(t *rapid.T) {
		c := rand.New(rand.NewSource(int64(rapid.IntRange(0, 1<<20).Draw(t, "seed"))))
		q := parse(t, randomRequest(c))
		repeated := append(slices.Clone(all), all[:c.Intn(40)]...)
		responses := searchShards(t, q, repeated, 1+c.Intn(9), c)
		want := string(q.MergeResponses(query.SearchOutcome{Responses: responses}))
		for len(responses) > 1 {
			i := c.Intn(len(responses) - 1)
			n := 1 + c.Intn(len(responses)-i)
			joined := q.JoinResponses(responses[i : i+n]...)
			responses = append(append(slices.Clone(responses[:i]), responses[i+n:]...), joined)
			require.Equal(t, want, string(q.MergeResponses(query.SearchOutcome{Responses: responses})))
		}
	})
}

// Placement must agree with the API's published hash values, and a hit of a shard other than the requested one is rejected:
// a wrong rule would reject correct responses or count hits for a shard that was not searched.
func TestPlacement(t *testing.T) {
	for text, hash := range map[string]uint32{
		"hell": 0x5a0cb7c3, "hello": 0xd7c31989, "hello w": 0x22ab2984,
		"hello wo": 0xdf0ca123, "hello wor": 0xe7744d61, "The quick brown fox jumps over the lazy dog": 0xe07db09c,
		"The quick brown fox jumps over the lazy cog": 0x4e63d2ad,
	} {
		for _, shards := range []int{1, 2, 5, 8, 64} {
			p := query.Placement{Shards: shards}
			slots := int64(p.EffectiveRoutingShards())
			slot := (int64(int32(hash))%slots + slots) % slots
			require.EqualValues(t, slot/(slots/int64(shards)), p.ShardFor(text), text)
		}
	}
	require.Equal(t, 1024, query.Placement{Shards: 1}.EffectiveRoutingShards())
	require.Equal(t, 640, query.Placement{Shards: 5}.EffectiveRoutingShards())
	require.False(t, query.Placement{Shards: 5, RoutingShards: 8}.IsValid())
	hit := func(more string) []byte {
		return []byte(`{"timed_out":false,"_shards":{"total":1,"successful":1,"failed":0},"hits":{"hits":[{"_index":"i","_id":"hello"` + more + `}]}}`)
	}
	p := &query.Placement{Shards: 2, RoutingShards: 2}
	own, other := p.ShardFor("hello"), p.ShardFor("hello w")
	require.NotEqual(t, own, other, "the test needs two routing values of different shards")
	require.NoError(t, query.CheckResponse("i", p, own, hit("")))
	require.ErrorIs(t, query.CheckResponse("i", p, other, hit("")), query.ErrInvalidResponse)
	require.NoError(t, query.CheckResponse("i", p, other, hit(`,"_routing":"hello w"`)))
}

// Paging by search_after must return every document exactly once. Without an _id in search_after, paging continues after
// all documents with the given sort values.
func TestPagesBySearchAfter(t *testing.T) {
	all := randomDocuments(2, 150)
	c := rand.New(rand.NewSource(1))
	var got []string
	after := ""
	for range 20 {
		q := parse(t, `{"size":10,"sort":[{"town":"asc"},{"rank":{"missing":"_first"}}]`+after+`}`)
		hits := decodeJSON(t, q.MergeResponses(query.SearchOutcome{Responses: searchShards(t, q, all, 5, c)}))["hits"].(map[string]any)["hits"].([]any)
		if len(hits) == 0 {
			break
		}
		for _, h := range hits {
			got = append(got, h.(map[string]any)["_id"].(string))
		}
		last, _ := json.Marshal(hits[len(hits)-1].(map[string]any)["sort"])
		after = `,"search_after":` + string(last)
	}
	require.Len(t, got, 150)
	q := parse(t, `{"size":100,"sort":["town"],"search_after":["green"]}`) // without the _id: no further document of that town
	for _, h := range decodeJSON(t, q.MergeResponses(query.SearchOutcome{Responses: searchShards(t, q, all, 5, c)}))["hits"].(map[string]any)["hits"].([]any) {
		require.Equal(t, "red", h.(map[string]any)["_source"].(map[string]any)["town"])
	}
	slices.Sort(got)
	require.Len(t, slices.Compact(got), 150)
}

// A document on two shards must count once, and a partial answer must say so by the relation gte and by _shards: otherwise
// clients take its total for exact.
func TestDuplicateHitsAndPartialAnswer(t *testing.T) {
	q := parse(t, `{"track_total_hits":true}`)
	documents := fake.ShardDocuments{Index: "members", Documents: randomDocuments(1, 5)}
	text, _ := documents.Search(q.ShardRequestBody())
	a, err := q.ParseResponse(0, "members", text)
	require.NoError(t, err)
	b, _ := q.ParseResponse(1, "members", text)
	complete := decodeJSON(t, q.MergeResponses(query.SearchOutcome{Responses: []*query.ShardResponse{b, a}}))
	require.Equal(t, map[string]any{"value": 5.0, "relation": "eq"}, complete["hits"].(map[string]any)["total"])
	require.Len(t, complete["hits"].(map[string]any)["hits"], 5)
	partial := decodeJSON(t, q.MergeResponses(query.SearchOutcome{
		Responses: []*query.ShardResponse{a}, Skipped: 1,
		Failures: []query.ShardFailure{{Shard: 2, Index: "members", Type: "timed_out", Reason: "late"}},
	}))
	require.Equal(t, "gte", partial["hits"].(map[string]any)["total"].(map[string]any)["relation"])
	shards := partial["_shards"].(map[string]any)
	require.Equal(t, []any{3.0, 2.0, 1.0, 1.0}, []any{shards["total"], shards["successful"], shards["skipped"], shards["failed"]})
	require.Len(t, shards["failures"], 1)
}

// Every invalid or unsupported request must be rejected by an APIError that names the fault, with valid JSON as its body.
func TestInvalidRequests(t *testing.T) {
	deep := strings.Repeat(`{"bool":{"must":`, 1000) + `{"match_all":{}}` + strings.Repeat(`}}`, 1000)
	many := strings.Repeat(`{"match_all":{}},`, 10_000)
	for text, want := range map[string]string{
		`{"query":{"match_all":{}}`:                                       "[1:26] unexpected end of the body",
		"{\n \"qery\":{}}":                                                "[2:2] unknown search field [qery]",
		`{"highlight":{}}`:                                                "search field [highlight] is part of the API but not supported here",
		`{"query":{"wildcard":{"a":"b*"}}}`:                               "query [wildcard] is part of the API but not supported here",
		"{\"query\":\n{\"trm\":{}}}":                                      "[2:2] unknown query [trm]",
		`{"query":{"term":{"a":1},"terms":{}}}`:                           "a clause must have exactly one name",
		`{"query":{"term":{"a":{"valu":1}}}}`:                             "[1:24] [term] has an unknown field [valu]",
		`{"query":{"term":{"a":[1]}}}`:                                    "expected a plain value",
		`{"query":{"term":{"a":{"value":1,"case_insensitive":true}}}}`:    "not supported here",
		`{"query":{"range":{"a":{"from":1}}}}`:                            "has an unknown field [from]",
		`{"query":{"ids":{"values":[1]}}}`:                                "[ids] has a value that is not a string",
		`{"size":1,"size":2}`:                                             "[1:11] duplicate name \"size\"",
		`{"from":9999,"size":2}`:                                          "Result window is too large",
		`{"size":-1}`:                                                     "[size] is -1",
		`{"size":1e3}`:                                                    "[size] is not a whole number",
		`{"search_after":[1]}`:                                            "[search_after] requires a [sort]",
		`{"sort":["a"],"search_after":[1,2,3]}`:                           "search_after has 3 value(s) but sort has 1",
		`{"sort":["a","a"]}`:                                              "duplicate sort key",
		`{"sort":["_id","a"]}`:                                            "sort by [_id] must come last",
		`{"sort":[{"_script":{}}]}`:                                       "not supported here",
		`{"timeout":"soon"}`:                                              "is not a duration such as",
		`{"timeout":5}`:                                                   "[timeout] is a number, expected a string",
		`{"aggs":{"a":{"histogram":{"field":"x"}}}}`:                      "aggregation [histogram] is part of the API but not supported here",
		`{"aggs":{"a":{"maxx":{"field":"x"}}}}`:                           "unknown aggregation [maxx]",
		`{"aggs":{"a":{"max":{}}}}`:                                       "[max] requires a [field] that is not empty or too long",
		`{"aggs":{"a":{"max":{"field":"x"},"aggs":{}}}}`:                  "does not support sub-aggregations",
		`{"aggs":{"a":{"terms":{"field":"x","order":{"_count":"asc"}}}}}`: "not supported here",
		`{"query":` + deep + `}`:                                          "the body is nested more than",
		`{"query":{"bool":{"must":[` + many[:len(many)-1] + `]}}}`:        "maxClauseCount",
		"{\"query\":{\"term\":{\"a\":\"\xff\"}}}":                         "[1:24] the body is not valid UTF-8",
		`[]`:    "the body is an array",
		`{} {}`: "unexpected data after the end of the body",
		`{"a":` + strings.Repeat(" ", 1<<20) + `1}`: "the body is 1048583 bytes",
	} {
		_, err := query.ParseRequest([]byte(text))
		assert.ErrorContains(t, err, want, "%.80s", text)
		var e *query.APIError
		require.ErrorAs(t, err, &e)
		require.Contains(t, []int{400, 413}, e.Status)
		require.True(t, json.Valid(e.ResponseBody()))
	}
}

// Integers beyond 2^53 must keep all digits and their order: as float64, neighbouring ones would be equal.
func TestLargeNumbers(t *testing.T) {
	q := parse(t, `{"query":{"term":{"a":9007199254740993}},"sort":["a"],"search_after":[9007199254740993]}`)
	require.Contains(t, string(q.ShardRequestBody()), `"value":9007199254740993`)
	require.Contains(t, string(q.ShardRequestBody()), `"search_after":[9007199254740993,`)
	parseSortValues := func(first, second string) error {
		_, err := q.ParseResponse(0, "", []byte(fmt.Sprintf(`{"timed_out":false,"_shards":{"total":1,"successful":1,"failed":0},"hits":{
			"total":{"value":2,"relation":"eq"},"hits":[{"_id":"x","sort":[%s,"x"]},{"_id":"y","sort":[%s,"y"]}]}}`, first, second)))
		return err
	}
	require.NoError(t, parseSortValues("9007199254740993", "9007199254740994"))
	require.Error(t, parseSortValues("9007199254740994", "9007199254740993"))
}

// Every response that is incomplete, inconsistent or malformed must be rejected: merged, it would give a wrong answer that
// looks complete.
func TestInvalidResponses(t *testing.T) {
	q := parse(t, `{"size":2,"sort":["age"],"aggs":{"t":{"terms":{"field":"town"},"aggs":{"m":{"max":{"field":"age"}}}}}}`)
	documents := fake.ShardDocuments{Index: "members", Documents: randomDocuments(1, 9)}
	good, err := documents.Search(q.ShardRequestBody())
	require.NoError(t, err)
	_, err = q.ParseResponse(0, "members", good)
	require.NoError(t, err)
	edit := func(do func(m, hits map[string]any)) []byte {
		m := decodeJSON(t, good)
		do(m, m["hits"].(map[string]any))
		text, _ := json.Marshal(m)
		return text
	}
	for name, text := range map[string][]byte{
		"cut":           good[:len(good)/2],
		"empty":         []byte(`{}`),
		"not JSON":      []byte(`hello`),
		"timed out":     edit(func(m, _ map[string]any) { m["timed_out"] = true }),
		"failed shard":  edit(func(m, _ map[string]any) { m["_shards"] = map[string]any{"total": 1, "successful": 0, "failed": 1} }),
		"no shard":      edit(func(m, _ map[string]any) { m["_shards"] = map[string]any{"total": 0, "successful": 0, "failed": 0} }),
		"duplicate":     edit(func(_, h map[string]any) { l := h["hits"].([]any); h["hits"] = []any{l[0], l[0]} }),
		"unsorted":      edit(func(_, h map[string]any) { l := h["hits"].([]any); h["hits"] = []any{l[1], l[0]} }),
		"too many":      edit(func(_, h map[string]any) { h["hits"] = append(h["hits"].([]any), h["hits"].([]any)...) }),
		"low total":     edit(func(_, h map[string]any) { h["total"] = map[string]any{"value": 1, "relation": "eq"} }),
		"no total":      edit(func(_, h map[string]any) { delete(h, "total") }),
		"other index":   edit(func(_, h map[string]any) { h["hits"].([]any)[0].(map[string]any)["_index"] = "other" }),
		"two timed_out": []byte(strings.Replace(string(good), `"timed_out":false`, `"timed_out":true,"timed_out":false`, 1)),
		"two ids":       []byte(strings.Replace(string(good), `"_id":`, `"_id":"other","_id":`, 1)),
		"data after":    append(slices.Clone(good), '}'),
		"bad score":     []byte(strings.Replace(string(good), `"_score":1`, `"_score":"x"`, 1)),
		"no sort":       edit(func(_, h map[string]any) { delete(h["hits"].([]any)[0].(map[string]any), "sort") }),
		"no buckets":    edit(func(m, _ map[string]any) { m["aggregations"] = map[string]any{} }),
		"no subs": edit(func(m, _ map[string]any) {
			b := m["aggregations"].(map[string]any)["t#terms"].(map[string]any)["buckets"].([]any)[0].(map[string]any)
			delete(b, "m#stats")
		}),
	} {
		_, err := q.ParseResponse(0, "members", text)
		require.ErrorIs(t, err, query.ErrInvalidResponse, name)
	}
}

// A response with one byte changed, removed or inserted may be accepted only if it is still valid JSON, also in fields that
// are skipped: the lenient decoder would otherwise let corrupted responses through.
func TestCorruptedResponses(t *testing.T) {
	q := parse(t, `{"size":3,"sort":["age"]}`)
	documents := fake.ShardDocuments{Index: "members", Documents: randomDocuments(1, 9)}
	good, _ := documents.Search(q.ShardRequestBody())
	c, accepted := rand.New(rand.NewSource(1)), 0
	for range 60_000 {
		text, at := slices.Clone(good), c.Intn(len(good))
		with := " \"\\{}[],:0-.eu\x01\x7ftn9x/"[c.Intn(21)]
		switch c.Intn(3) {
		case 0:
			text[at] = with
		case 1:
			text = slices.Delete(text, at, at+1)
		default:
			text = slices.Insert(text, at, with)
		}
		if _, err := q.ParseResponse(0, "members", text); err == nil {
			accepted++
			require.True(t, json.Valid(text), "%s", text)
		}
	}
	require.Positive(t, accepted)
}

// A shard request parsed as a search must give the same shard request again, and white space must not change it:
// otherwise a clause is lost or changed on the way to the host.
func TestShardRequestBody(t *testing.T) {
	for _, text := range []string{
		`{}`, `{"size":0,"track_total_hits":true}`, `{"_source":["a*"],"sort":["_score"],"min_score":0.5}`,
		`{"query":{"bool":{"must":[{"term":{"a":1}}],"must_not":[{"exists":{"field":"b"}}],"should":[{"prefix":{"c":"<x"}},
			{"match":{"d":{"query":"u v","operator":"and","boost":2}}}],"filter":{"range":{"e":{"gte":1.50,"lt":"z"}}}}},"from":2,"size":3}`,
		`{"query":{"constant_score":{"filter":{"terms":{"a":["x",9007199254740993,true]}}}},"sort":[{"a":"desc"}],"search_after":["\u00e9"]}`,
		`{"query":{"ids":{"values":["1","\\"]}},"terminate_after":5,"track_total_hits":7}`, `{"query":{"match_none":{"boost":3}}}`,
	} {
		q := parse(t, text)
		require.True(t, json.Valid(q.ShardRequestBody()), "%s", q.ShardRequestBody())
		require.Equal(t, string(q.ShardRequestBody()), string(parse(t, string(q.ShardRequestBody())).ShardRequestBody()))
		require.Equal(t, string(q.ShardRequestBody()), string(parse(t, " "+text+" ").ShardRequestBody()))
	}
	require.JSONEq(t, `{"query":{"bool":{"boost":2,"minimum_should_match":1,"should":[{"match":{"d":{"query":"u v","operator":"and"}}}]}},
		"size":10,"sort":[{"age":{"order":"desc","missing":"_last"}},{"_id":{"order":"asc"}}],"track_total_hits":10000,
		"_source":{"includes":["a"],"excludes":["b"]}}`, string(parse(t, `{"query":{"bool":{"should":[{"match":{"d":{"query":"u v",
		"operator":"and"}}}],"boost":2}},"sort":[{"age":"desc"}],"_source":{"includes":["a"],"excludes":["b"]}}`).ShardRequestBody()))
}

// The count of each merged bucket must be within doc_count_error_upper_bound of the true count, although shards return only
// their largest buckets, and no document is lost between the buckets and sum_other_doc_count.
func TestTermsErrorBound(t *testing.T) {
	q := parse(t, `{"size":0,"aggs":{"t":{"terms":{"field":"k","size":3}}}}`)
	rapid.Check(t, func(t *rapid.T) {
		counts := map[string]float64{}
		var all []fake.Document
		for i, k := range rapid.SliceOfN(rapid.IntRange(0, 60), 50, 400).Draw(t, "keys") {
			key := fmt.Sprint("k", k)
			counts[key]++
			all = append(all, fake.Document{ID: fmt.Sprint(i), Fields: map[string]any{"k": key}})
		}
		c := rand.New(rand.NewSource(rapid.Int64().Draw(t, "split")))
		got := decodeJSON(t, q.MergeResponses(query.SearchOutcome{Responses: searchShards(t, q, all, 4, c)}))["aggregations"].(map[string]any)["t"].(map[string]any)
		sum := got["sum_other_doc_count"].(float64)
		for _, b := range got["buckets"].([]any) {
			m := b.(map[string]any)
			sum += m["doc_count"].(float64)
			require.LessOrEqual(t, math.Abs(counts[m["key"].(string)]-m["doc_count"].(float64)), got["doc_count_error_upper_bound"])
		}
		require.Equal(t, float64(len(all)), sum, "buckets and sum_other_doc_count together count every document")
	})
}

// The shard request of any accepted search must itself be accepted as a search, except one with aggregations: a shard
// request may use the type stats, which searches may not.
func FuzzParseRequest(f *testing.F) {
	for i := range 20 {
		f.Add([]byte(randomRequest(rand.New(rand.NewSource(int64(i))))))
	}
	f.Add([]byte(`{"query":{"bool":{"should":{"match_all":{}},"minimum_should_match":"-50%"}}}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		if q, err := query.ParseRequest(text); err == nil {
			_, err := query.ParseRequest(q.ShardRequestBody())
			require.True(t, err == nil || len(q.Aggregations) > 0, "the shard request of an accepted search is rejected: %v", err)
		}
	})
}

// No invalid JSON may be accepted as a response, and an accepted one must merge into valid JSON.
func FuzzParseResponse(f *testing.F) {
	q := parse(f, `{"size":2,"sort":["age"],"aggs":{"t":{"terms":{"field":"town"}},"p":{"percentiles":{"field":"age"}}}}`)
	documents := fake.ShardDocuments{Index: "members", Documents: randomDocuments(1, 9)}
	good, _ := documents.Search(q.ShardRequestBody())
	f.Add(good)
	f.Fuzz(func(t *testing.T, text []byte) {
		if a, err := q.ParseResponse(0, "members", text); err == nil {
			require.True(t, json.Valid(text), "invalid JSON was accepted as a response")
			require.True(t, json.Valid(q.MergeResponses(query.SearchOutcome{Responses: []*query.ShardResponse{a}})))
		}
	})
}

func BenchmarkParseRequest(b *testing.B) {
	text := []byte(randomRequest(rand.New(rand.NewSource(3))))
	for b.Loop() {
		query.ParseRequest(text)
	}
}

func BenchmarkMerge30Of100(b *testing.B) {
	q := parse(b, `{"size":100}`)
	responses := searchShards(b, q, randomDocuments(1, 9000), 30, rand.New(rand.NewSource(1)))
	for b.Loop() {
		q.MergeResponses(query.SearchOutcome{Responses: responses})
	}
}

func BenchmarkParseResponse(b *testing.B) {
	q := parse(b, `{"query":{"range":{"age":{"gte":20}}},"size":10,"sort":[{"age":{"order":"desc"}}],"track_total_hits":true}`)
	documents := fake.ShardDocuments{Index: "members", Documents: randomDocuments(1, 200)}
	text, _ := documents.Search(q.ShardRequestBody())
	b.ReportAllocs()
	for b.Loop() {
		q.ParseResponse(0, "", text)
	}
}

// BenchmarkSearch measures the cost of one search over eight shards without the hosts' own work.
func BenchmarkSearch(b *testing.B) {
	body := []byte(`{"query":{"range":{"age":{"gte":20}}},"size":10,"sort":[{"age":{"order":"desc"}},{"_id":{}}],"track_total_hits":true}`)
	documents := fake.ShardDocuments{Index: "members", Documents: randomDocuments(1, 200)}
	text, _ := documents.Search(parse(b, string(body)).ShardRequestBody())
	b.ReportAllocs()
	for b.Loop() {
		q := parse(b, string(body))
		q.ShardRequestBody()
		var o query.SearchOutcome
		for shard := range 8 {
			a, _ := q.ParseResponse(shard, "", text)
			o.Responses = append(o.Responses, a)
		}
		q.MergeResponses(o)
	}
}
