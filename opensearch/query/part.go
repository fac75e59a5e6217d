package query

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
)

const (
	maxCardinalityKeys = 10_000  // keys that a shard returns at most for a cardinality; if it has more, the value is marked as a lower bound
	extraShardBuckets  = 10      // buckets requested from a shard on top of 1.5 times the requested size: the API's rule
	maxResponseBytes   = 8 << 20 // bytes of a host's response
)

// A shard request names an aggregation after the requested one, with a suffix for what the shard returns. The requested
// aggregation is merged from the results under these names.
const (
	suffixStats  = "#stats"
	suffixKeys   = "#keys"
	suffixPoints = "#points"
	suffixCount  = "#count"
	suffixTerms  = "#terms"
)

// ShardRequestBody returns the body of a shard request, the same for all shards of a search. It requests all hits that the
// answer may need, sorted with _id as the last key, and the aggregations from which those of the answer are merged.
func (q *Request) ShardRequestBody() []byte {
	dst := append(make([]byte, 0, 512), '{') // names are sorted, so that equal searches give equal texts
	switch {
	case !q.IncludeSource:
		dst = append(dst, `"_source":false,`...)
	case len(q.SourceIncludes)+len(q.SourceExcludes) > 0:
		dst = appendTexts(append(dst, `"_source":{"excludes":`...), q.SourceExcludes)
		dst = append(appendTexts(append(dst, `,"includes":`...), q.SourceIncludes), `},`...)
	}
	if len(q.Aggregations) > 0 {
		text, _ := json.Marshal(shardAggs(q.Aggregations))
		dst = append(append(append(dst, `"aggs":`...), text...), ',')
	}
	if q.MinScore != nil {
		dst = append(appendValue(append(dst, `"min_score":`...), *q.MinScore), ',')
	}
	dst = q.Query.append(append(dst, `"query":`...))
	if len(q.SearchAfter) > 0 {
		dst = appendValues(append(dst, `,"search_after":`...), q.SearchAfter)
	}
	dst = append(strconv.AppendInt(append(dst, `,"size":`...), int64(q.From+q.Size), 10), `,"sort":[`...)
	sortsByScore := false
	for i, k := range q.Sort {
		if i > 0 {
			dst = append(dst, ',')
		}
		dst = append(appendText(append(dst, '{'), k.Field), `:{`...)
		if k.Field == "_score" {
			sortsByScore = true
		} else if k.Field != "_id" {
			dst = append(appendValue(append(dst, `"missing":`...), k.Missing), ',')
		}
		if k.Descending {
			dst = append(dst, `"order":"desc"}}`...)
		} else {
			dst = append(dst, `"order":"asc"}}`...)
		}
	}
	dst = append(dst, ']')
	if q.TerminateAfter > 0 {
		dst = strconv.AppendInt(append(dst, `,"terminate_after":`...), int64(q.TerminateAfter), 10)
	}
	if sortsByScore {
		dst = append(dst, `,"track_scores":true`...)
	}
	switch dst = append(dst, `,"track_total_hits":`...); q.TrackTotalHits {
	case math.MaxInt:
		dst = append(dst, "true"...)
	case 0:
		dst = append(dst, "false"...)
	default:
		dst = strconv.AppendInt(dst, int64(q.TrackTotalHits), 10)
	}
	return append(dst, '}')
}

// append writes a clause in the API's form.
func (c *Clause) append(dst []byte) []byte {
	dst = append(appendText(append(dst, '{'), c.Kind), `:{`...)
	hasField := c.Kind == "term" || c.Kind == "prefix" || c.Kind == "match" || c.Kind == "range"
	if hasField {
		dst = append(appendText(dst, c.Field), `:{`...)
	}
	start := len(dst)
	appendName := func(name string) {
		if len(dst) > start {
			dst = append(dst, ',')
		}
		dst = append(appendText(dst, name), ':')
	}
	if c.Boost != 1 {
		appendName("boost")
		dst = appendValue(dst, c.Boost)
	}
	switch c.Kind {
	case "term", "prefix":
		appendName("value")
		dst = appendValue(dst, c.Values[0])
	case "match":
		if c.MatchAll {
			appendName("operator")
			dst = append(dst, `"and"`...)
		}
		appendName("query")
		dst = appendValue(dst, c.Values[0])
	case "terms":
		appendName(c.Field)
		dst = appendValues(dst, c.Values)
	case "ids":
		appendName("values")
		dst = appendValues(dst, c.Values)
	case "exists":
		appendName("field")
		dst = appendText(dst, c.Field)
	case "range":
		for _, name := range []string{"gt", "gte", "lt", "lte"} {
			if v, ok := c.Bounds[name]; ok {
				appendName(name)
				dst = appendValue(dst, v)
			}
		}
	case "constant_score":
		appendName("filter")
		dst = c.Clauses["filter"][0].append(dst)
	case "bool":
		if len(c.Clauses["should"]) > 0 {
			appendName("minimum_should_match")
			dst = strconv.AppendInt(dst, int64(c.MinimumShouldMatch), 10)
		}
		for _, name := range []string{"filter", "must", "must_not", "should"} {
			if c.Clauses[name] == nil {
				continue
			}
			appendName(name)
			dst = appendList(dst, c.Clauses[name], func(dst []byte, sub *Clause) []byte { return sub.append(dst) })
		}
	}
	if dst = append(dst, `}}`...); hasField {
		dst = append(dst, '}')
	}
	return dst
}

// appendValue writes a plain value unchanged, a number with all its digits.
func appendValue(dst []byte, v any) []byte {
	switch v := v.(type) {
	case string:
		return appendText(dst, v)
	case json.Number:
		return append(dst, v...)
	case bool:
		return strconv.AppendBool(dst, v)
	}
	text, _ := json.Marshal(v)
	return append(dst, text...)
}

func appendValues(dst []byte, all []any) []byte { return appendList(dst, all, appendValue) }

func appendTexts(dst []byte, all []string) []byte { return appendList(dst, all, appendText) }

func appendList[T any](dst []byte, all []T, appendItem func(dst []byte, v T) []byte) []byte {
	dst = append(dst, '[')
	for i, v := range all {
		if i > 0 {
			dst = append(dst, ',')
		}
		dst = appendItem(dst, v)
	}
	return append(dst, ']')
}

// shardAggs returns the aggregations of a shard request, by name, for the requested ones.
func shardAggs(aggs []Aggregation) map[string]any {
	out := map[string]any{}
	for _, a := range aggs {
		switch a.Kind {
		case "terms":
			order := map[string]any{"_count": "desc"}
			size := a.Size + a.Size/2 + extraShardBuckets
			if a.OrderByKey {
				order = map[string]any{"_key": "desc"}
				if a.Ascending {
					order["_key"] = "asc"
				}
				size = a.Size // in key order, every shard returns all of its buckets that the answer needs
			}
			one := map[string]any{"terms": map[string]any{"field": a.Field, "size": size, "order": order}}
			if len(a.SubAggregations) > 0 {
				one["aggs"] = shardAggs(a.SubAggregations)
			}
			out[a.Name+suffixTerms] = one
		case "cardinality":
			out[a.Name+suffixKeys] = map[string]any{"terms": map[string]any{
				"field": a.Field, "size": maxCardinalityKeys,
				"order": map[string]any{"_key": "asc"},
			}}
		case "percentiles":
			points := make([]float64, 101)
			for i := range points {
				points[i] = float64(i)
			}
			out[a.Name+suffixPoints] = map[string]any{"percentiles": map[string]any{"field": a.Field, "percents": points}}
			out[a.Name+suffixCount] = map[string]any{"value_count": map[string]any{"field": a.Field}}
		default:
			out[a.Name+suffixStats] = map[string]any{"stats": map[string]any{"field": a.Field}}
		}
	}
	return out
}

// Hit is one matching document, as a host returned it.
type Hit struct {
	Index  string          `json:"_index"`
	ID     string          `json:"_id"`
	Score  *float64        `json:"_score"`
	Source json.RawMessage `json:"_source,omitempty"`
	Sort   []SortValue     `json:"sort,omitempty"`

	routing string
	shard   int // the shard that returned it
}

// SortValue is one sort value of a hit: a number with all its digits, a string, a boolean or null.
type SortValue struct {
	kind   byte // '0' for a number, '"' for a string, 't' or 'f' for a boolean, 'n' for null
	text   string
	number float64
}

// MarshalJSON returns the value as the host sent it.
func (v SortValue) MarshalJSON() ([]byte, error) {
	switch v.kind {
	case '"':
		return json.Marshal(v.text)
	case '0':
		return []byte(v.text), nil
	case 't':
		return []byte("true"), nil
	case 'f':
		return []byte("false"), nil
	}
	return []byte("null"), nil
}

// ShardResponse is a host's checked response to a shard request, or several of them joined.
type ShardResponse struct {
	Shard             int // the lowest shard number of the joined responses
	ShardCount        int // the number of joined responses
	Total             int
	DuplicateHits     int  // repeated hits that were dropped
	TotalIsLowerBound bool // whether Total is a lower bound
	TerminatedEarly   bool // whether a host stopped at terminate_after
	Hits              []Hit
	aggs              []shardAggsResult
}

// shardAggsResult is the aggregations of one shard's response.
type shardAggsResult struct {
	shard int
	aggs  map[string]any
}

// CheckPlacement checks that all hits belong to the requested shard by the placement rule.
func (a *ShardResponse) CheckPlacement(p *Placement) error {
	for _, h := range a.Hits {
		if err := p.checkHit(a.Shard, h.ID, h.routing); err != nil {
			return err
		}
	}
	return nil
}

// ErrInvalidResponse is wrapped by the errors for a host's unusable response. Such a response counts as a failure of the
// host, although the host may have executed the shard request.
var ErrInvalidResponse = errors.New("invalid response from host")

func invalidResponse(format string, v ...any) error {
	return fmt.Errorf("%w: %s", ErrInvalidResponse, fmt.Sprintf(format, v...))
}

// checkAggs checks that all requested aggregations are present and have the expected form.
func (q *Request) checkAggs(aggs []Aggregation, got map[string]any) error {
	for name, requested := range shardAggs(aggs) {
		one, _ := got[name].(map[string]any)
		if one == nil {
			return invalidResponse("aggregation %.60q is missing", name)
		}
		for kind := range requested.(map[string]any) {
			switch kind {
			case "terms":
				buckets, ok := one["buckets"].([]any)
				if !ok {
					return invalidResponse("aggregation %.60q has no buckets", name)
				}
				for _, b := range buckets {
					m, _ := b.(map[string]any)
					if n, ok := toFloat(m["doc_count"]); !ok || n < 0 || m["key"] == nil {
						return invalidResponse("a bucket of aggregation %.60q has no key or no valid doc_count", name)
					}
				}
			case "stats":
				if _, ok := toFloat(one["count"]); !ok {
					return invalidResponse("aggregation %.60q has no count", name)
				}
			case "value_count":
				if _, ok := toFloat(one["value"]); !ok {
					return invalidResponse("aggregation %.60q has no value", name)
				}
			case "percentiles":
				if _, ok := one["values"].(map[string]any); !ok {
					return invalidResponse("aggregation %.60q has no values", name)
				}
			}
		}
	}
	for _, a := range aggs {
		if len(a.SubAggregations) == 0 {
			continue
		}
		for _, b := range got[a.Name+suffixTerms].(map[string]any)["buckets"].([]any) {
			if err := q.checkAggs(a.SubAggregations, b.(map[string]any)); err != nil {
				return err
			}
		}
	}
	return nil
}

// compare orders two hits by their sort values.
func (q *Request) compare(a, b []SortValue) int {
	for i := range q.Sort {
		if c := a[i].compare(b[i], &q.Sort[i]); c != 0 {
			return c
		}
	}
	return 0
}

// compare orders two sort values: missing values first or last as the sort key says, numbers before strings and strings
// before booleans.
func (v SortValue) compare(w SortValue, k *SortKey) (c int) {
	if v.kind == 'n' || w.kind == 'n' {
		if v.kind == w.kind {
			return 0
		}
		if c = -1; v.kind == 'n' {
			c = 1
		}
		if k.Missing == "_first" {
			c = -c
		}
		return c
	}
	switch {
	case v.kind != w.kind:
		c = cmp.Compare(strings.IndexByte("0\"ft", v.kind), strings.IndexByte("0\"ft", w.kind))
	case v.kind != '0':
		c = strings.Compare(v.text, w.text)
	default:
		if c = cmp.Compare(v.number, w.number); c == 0 && v.text != w.text {
			c = compareIntegers(json.Number(v.text), json.Number(w.text))
		}
	}
	if k.Descending {
		c = -c
	}
	return c
}

// compareKeys compares two bucket keys: missing keys first or last as the sort key says, numbers before strings.
func compareKeys(a, b any, k SortKey) int {
	if a == nil || b == nil {
		c := 0
		if a == nil && b != nil {
			c = 1
		} else if a != nil {
			c = -1
		}
		if k.Missing == "_first" {
			c = -c
		}
		return c
	}
	x, isX := toFloat(a)
	y, isY := toFloat(b)
	c := 0
	switch {
	case isX && isY:
		if c = cmp.Compare(x, y); c == 0 {
			c = compareIntegers(a, b)
		}
	case isX != isY:
		if c = 1; isX {
			c = -1
		}
	default:
		c = strings.Compare(fmt.Sprint(a), fmt.Sprint(b))
	}
	if k.Descending {
		c = -c
	}
	return c
}

// compareIntegers compares integers that are equal as floats: beyond 2^53 they may still differ.
func compareIntegers(a, b any) int {
	x, ok1 := a.(json.Number)
	y, ok2 := b.(json.Number)
	if !ok1 || !ok2 {
		return 0
	}
	m, err1 := x.Int64()
	n, err2 := y.Int64()
	if err1 != nil || err2 != nil {
		return 0
	}
	return cmp.Compare(m, n)
}
