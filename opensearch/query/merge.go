package query

import (
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"

	"github.com/axiomhq/hyperloglog"
	"github.com/go-json-experiment/json/jsontext"
	"github.com/influxdata/tdigest"
)

const (
	digestCompression = 1000 // of a t-digest: a percentile is off by up to a thousandth of all ranks in the middle, by less at the ends
	maxExactKeys      = maxCardinalityKeys
)

// ShardFailure is a shard without a usable response, and the reason.
type ShardFailure struct {
	Shard  int
	Index  string
	Type   string
	Reason string
}

// SearchOutcome is the outcome of a search: the shards with a response, and those without one.
type SearchOutcome struct {
	Responses  []*ShardResponse
	Failures   []ShardFailure
	Skipped    int   // shards that were not needed
	TookMillis int64 // ms
	TimedOut   bool
}

// MergeResponses merges the shards' responses into the API's answer to a search. The result doesn't depend on the order
// of the responses. If two shards return the same document, it counts once and the copy that sorts first is used; of equal
// copies that of the lower shard number. A partial answer says so: the relation of the total is gte, and _shards has the
// number of shards that responded.
func (q *Request) MergeResponses(o SearchOutcome) []byte {
	totals := q.joinTotals(o.Responses)
	merged, duplicates := q.mergeHits(o.Responses)
	totals.DuplicateHits += duplicates
	hits, total, isLowerBound := merged[:min(len(merged), q.From+q.Size)], totals.Total, totals.TotalIsLowerBound
	isLowerBound = isLowerBound || len(o.Failures)+o.Skipped > 0
	var maxScore *float64
	if k := q.Sort[0]; k.Field == "_score" && k.Descending && len(hits) > 0 && len(q.SearchAfter) == 0 {
		maxScore = hits[0].Score
	}
	if total -= totals.DuplicateHits; q.TrackTotalHits < math.MaxInt && total > q.TrackTotalHits {
		total, isLowerBound = q.TrackTotalHits, true
	}
	if len(hits) > q.From {
		hits = hits[q.From:]
	} else {
		hits = nil
	}
	// Field names are written in byte order, as for an encoded map, so that equal outcomes give equal texts.
	capacity := 256 + 128*len(o.Failures)
	for i := range hits {
		capacity += 128 + len(hits[i].Source) + len(hits[i].Index) + len(hits[i].ID)
	}
	dst := append(make([]byte, 0, capacity), `{"_shards":{"failed":`...)
	dst = strconv.AppendInt(dst, int64(len(o.Failures)), 10)
	for i, f := range o.Failures { // the first one opens the list
		dst = append(dst, [...]string{`,"failures":[`, `,`}[min(i, 1)]...)
		dst = appendText(append(dst, `{"index":`...), f.Index)
		dst = appendText(append(dst, `,"node":null,"reason":{"reason":`...), f.Reason)
		dst = appendText(append(dst, `,"type":`...), f.Type)
		dst = append(strconv.AppendInt(append(dst, `},"shard":`...), int64(f.Shard), 10), '}')
	}
	if len(o.Failures) > 0 {
		dst = append(dst, ']')
	}
	dst = strconv.AppendInt(append(dst, `,"skipped":`...), int64(o.Skipped), 10)
	dst = strconv.AppendInt(append(dst, `,"successful":`...), int64(totals.ShardCount+o.Skipped), 10)
	dst = strconv.AppendInt(append(dst, `,"total":`...), int64(totals.ShardCount+len(o.Failures)+o.Skipped), 10)
	dst = append(dst, '}')
	if len(q.Aggregations) > 0 {
		var got []map[string]any
		for _, p := range totals.aggs {
			got = append(got, p.aggs)
		}
		text, _ := json.Marshal(mergeAggs(q.Aggregations, got))
		dst = append(append(dst, `,"aggregations":`...), text...)
	}
	dst = append(dst, `,"hits":{"hits":[`...)
	for i := range hits {
		if i > 0 {
			dst = append(dst, ',')
		}
		dst = hits[i].append(dst, q.SortRequested)
	}
	dst = appendScore(append(dst, `],"max_score":`...), maxScore)
	if q.TrackTotalHits > 0 {
		relation := "eq"
		if isLowerBound {
			relation = "gte"
		}
		dst = append(append(append(dst, `,"total":{"relation":"`...), relation...), `","value":`...)
		dst = append(strconv.AppendInt(dst, int64(total), 10), '}')
	}
	dst = append(dst, '}')
	if totals.TerminatedEarly {
		dst = append(dst, `,"terminated_early":true`...)
	}
	dst = strconv.AppendBool(append(dst, `,"timed_out":`...), o.TimedOut)
	return append(strconv.AppendInt(append(dst, `,"took":`...), o.TookMillis, 10), '}')
}

// append writes a hit, with its _source byte for byte as the host sent it; withSort adds its sort values.
func (h *Hit) append(dst []byte, withSort bool) []byte {
	dst = appendText(append(dst, `{"_index":`...), h.Index)
	dst = appendText(append(dst, `,"_id":`...), h.ID)
	dst = appendScore(append(dst, `,"_score":`...), h.Score)
	if len(h.Source) > 0 {
		dst = append(append(dst, `,"_source":`...), h.Source...)
	}
	if withSort {
		for i, v := range h.Sort { // the first one opens the list
			dst = append(dst, [...]string{`,"sort":[`, `,`}[min(i, 1)]...)
			if v.kind == '"' {
				dst = appendText(dst, v.text)
			} else {
				text, _ := v.MarshalJSON()
				dst = append(dst, text...)
			}
		}
		if len(h.Sort) > 0 {
			dst = append(dst, ']')
		}
	}
	return append(dst, '}')
}

func appendText(dst []byte, text string) []byte {
	dst, _ = jsontext.AppendQuote(dst, text)
	return dst
}

// appendScore writes a score as the API does; nil is written as null.
func appendScore(dst []byte, v *float64) []byte {
	if v == nil {
		return append(dst, "null"...)
	}
	text, _ := json.Marshal(*v)
	return append(dst, text...)
}

// JoinResponses joins responses into one that can be joined or merged further. The result doesn't depend on order or
// grouping. All hits are kept, also those beyond the page: a later response may repeat one of them.
func (q *Request) JoinResponses(responses ...*ShardResponse) *ShardResponse {
	out := q.joinTotals(responses)
	hits, duplicates := q.mergeHits(responses)
	out.DuplicateHits += duplicates
	for _, h := range hits {
		out.Hits = append(out.Hits, *h)
	}
	return out
}

// joinTotals joins everything but the hits.
func (q *Request) joinTotals(responses []*ShardResponse) *ShardResponse {
	out := &ShardResponse{Shard: math.MaxInt}
	for _, a := range responses {
		out.Shard = min(out.Shard, a.Shard)
		out.ShardCount, out.Total, out.DuplicateHits = out.ShardCount+a.ShardCount, out.Total+a.Total, out.DuplicateHits+a.DuplicateHits
		out.TotalIsLowerBound, out.TerminatedEarly = out.TotalIsLowerBound || a.TotalIsLowerBound, out.TerminatedEarly || a.TerminatedEarly
		out.aggs = append(out.aggs, a.aggs...)
	}
	slices.SortStableFunc(out.aggs, func(x, y shardAggsResult) int { return x.shard - y.shard })
	return out
}

// hitHeap is a heap of lists: the remaining hits of each response, in order. On top is the list whose first hit comes first.
type hitHeap struct {
	q     *Request
	lists [][]Hit
}

func (c *hitHeap) less(i, j int) bool {
	if order := c.q.compare(c.lists[i][0].Sort, c.lists[j][0].Sort); order != 0 {
		return order < 0
	}
	return c.lists[i][0].shard < c.lists[j][0].shard
}

// siftDown moves the list at index i down until the heap is ordered again.
func (c *hitHeap) siftDown(i int) {
	for {
		least := i
		for j := 2*i + 1; j <= 2*i+2 && j < len(c.lists); j++ {
			if c.less(j, least) {
				least = j
			}
		}
		if least == i {
			return
		}
		c.lists[i], c.lists[least] = c.lists[least], c.lists[i]
		i = least
	}
}

// mergeHits merges the hits of all responses. Of a document that appears more than once it keeps the first hit and counts
// the others. The heap holds one list for each response and so needs no copy of the hits.
func (q *Request) mergeHits(responses []*ShardResponse) (hits []*Hit, duplicates int) {
	c := hitHeap{q, make([][]Hit, 0, len(responses))}
	n := 0
	for _, a := range responses {
		if n += len(a.Hits); len(a.Hits) > 0 {
			c.lists = append(c.lists, a.Hits)
		}
	}
	for i := len(c.lists)/2 - 1; i >= 0; i-- {
		c.siftDown(i)
	}
	hits = make([]*Hit, 0, n)
	seen := make(map[string]struct{}, n)
	for last := len(c.lists) - 1; last >= 0; {
		h := &c.lists[0][0]
		if c.lists[0] = c.lists[0][1:]; len(c.lists[0]) == 0 {
			c.lists[0], c.lists = c.lists[last], c.lists[:last]
			last--
		}
		if last > 0 {
			c.siftDown(0)
		}
		if _, found := seen[h.ID]; found {
			duplicates++
			continue
		}
		seen[h.ID] = struct{}{}
		hits = append(hits, h)
	}
	return hits, duplicates
}

func mergeAggs(aggs []Aggregation, got []map[string]any) map[string]any {
	out := map[string]any{}
	for _, a := range aggs {
		withSuffix := func(suffix string) (all []map[string]any) {
			for _, g := range got {
				if one, ok := g[a.Name+suffix].(map[string]any); ok {
					all = append(all, one)
				}
			}
			return all
		}
		switch a.Kind {
		case "terms":
			out[a.Name] = mergeTerms(a, withSuffix(suffixTerms))
		case "cardinality":
			out[a.Name] = mergeCardinality(withSuffix(suffixKeys))
		case "percentiles":
			out[a.Name] = mergePercentiles(a, withSuffix(suffixPoints), withSuffix(suffixCount))
		default:
			out[a.Name] = mergeStats(a.Kind, withSuffix(suffixStats))
		}
	}
	return out
}

func mergeStats(kind string, all []map[string]any) map[string]any {
	count, sum, minimum, maximum := 0.0, 0.0, math.Inf(1), math.Inf(-1)
	for _, one := range all {
		n, _ := toFloat(one["count"])
		if n == 0 {
			continue
		}
		s, _ := toFloat(one["sum"])
		count, sum = count+n, sum+s
		if v, ok := toFloat(one["min"]); ok {
			minimum = min(minimum, v)
		}
		if v, ok := toFloat(one["max"]); ok {
			maximum = max(maximum, v)
		}
	}
	var v any
	switch {
	case kind == "value_count":
		v = int64(count)
	case kind == "sum":
		v = sum
	case count == 0:
		v = nil
	case kind == "avg":
		v = sum / count
	case kind == "min":
		v = minimum
	case kind == "max":
		v = maximum
	}
	return map[string]any{"value": v}
}

// bucket is one key of a terms aggregation, merged over the shards.
type bucket struct {
	key   any
	count int64

	shardBuckets []map[string]any // the shards' buckets of this key, with their sub-aggregations
}

// mergeTerms adds up the buckets of a terms aggregation. If a shard did not return all its buckets, each key that is
// missing may have up to as many documents there as the last bucket returned. The sum of these numbers over the shards is
// the API's doc_count_error_upper_bound.
func mergeTerms(a Aggregation, all []map[string]any) map[string]any {
	buckets, otherDocs, errorBound := map[string]*bucket{}, int64(0), int64(0)
	for _, one := range all {
		shardOther, _ := toFloat(one["sum_other_doc_count"])
		otherDocs += int64(shardOther)
		list := one["buckets"].([]any)
		if n := len(list); shardOther > 0 && n > 0 && !a.OrderByKey {
			last, _ := toFloat(list[n-1].(map[string]any)["doc_count"])
			errorBound += int64(last)
		}
		for _, item := range list {
			m := item.(map[string]any)
			n, _ := toFloat(m["doc_count"])
			name := fmt.Sprintf("%T%v", m["key"], m["key"])
			b := buckets[name]
			if b == nil {
				b = &bucket{key: m["key"]}
				buckets[name] = b
			}
			b.count += int64(n)
			b.shardBuckets = append(b.shardBuckets, m)
		}
	}
	list := make([]*bucket, 0, len(buckets))
	for _, b := range buckets {
		list = append(list, b)
	}
	slices.SortFunc(list, func(x, y *bucket) int {
		if !a.OrderByKey && x.count != y.count {
			return int(y.count - x.count)
		}
		return compareKeys(x.key, y.key, SortKey{Descending: a.OrderByKey && !a.Ascending})
	})
	out := []any{}
	for i, b := range list {
		if i >= a.Size {
			otherDocs += b.count
			continue
		}
		m := map[string]any{"key": b.key, "doc_count": b.count}
		if len(a.SubAggregations) > 0 {
			for name, v := range mergeAggs(a.SubAggregations, b.shardBuckets) {
				m[name] = v
			}
		}
		out = append(out, m)
	}
	return map[string]any{"doc_count_error_upper_bound": errorBound, "sum_other_doc_count": otherDocs, "buckets": out}
}

// mergeCardinality counts distinct keys: exactly up to maxExactKeys, by a HyperLogLog sketch beyond. If a shard did not
// return all its keys, the value is a lower bound and is marked as one.
func mergeCardinality(all []map[string]any) map[string]any {
	keys, truncated := map[string]bool{}, false
	for _, one := range all {
		shardOther, _ := toFloat(one["sum_other_doc_count"])
		truncated = truncated || shardOther > 0
		for _, item := range one["buckets"].([]any) {
			keys[fmt.Sprintf("%T%v", item.(map[string]any)["key"], item.(map[string]any)["key"])] = true
		}
	}
	value := uint64(len(keys))
	if len(keys) > maxExactKeys {
		sketch := hyperloglog.New16()
		for _, k := range sortedKeys(keys) {
			sketch.Insert([]byte(k))
		}
		value = sketch.Estimate()
	}
	out := map[string]any{"value": value}
	if truncated {
		out["lower_bound"] = true
	}
	return out
}

// mergePercentiles adds the shards' percentiles to one t-digest, each weighted by the number of values in its shard.
func mergePercentiles(a Aggregation, points, counts []map[string]any) map[string]any {
	digest := tdigest.NewWithCompression(digestCompression)
	total := 0.0
	for i, one := range points {
		n := 0.0
		if i < len(counts) {
			n, _ = toFloat(counts[i]["value"])
		}
		if n == 0 {
			continue
		}
		total += n
		values := one["values"].(map[string]any)
		for p := range 101 {
			if v, ok := toFloat(values[fmt.Sprintf("%d.0", p)]); ok {
				weight := n / 100
				if p == 0 || p == 100 { // each end has values on one side only
					weight /= 2
				}
				digest.Add(v, weight)
			}
		}
	}
	out := map[string]any{}
	for _, p := range a.Percentiles {
		name := fmt.Sprint(p)
		if !strings.Contains(name, ".") {
			name += ".0"
		}
		if out[name] = nil; total > 0 {
			out[name] = digest.Quantile(p / 100)
		}
	}
	return map[string]any{"values": out}
}

func sortedKeys(m map[string]bool) []string {
	all := make([]string, 0, len(m))
	for k := range m {
		all = append(all, k)
	}
	slices.Sort(all)
	return all
}
