package fake

import (
	"cmp"
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"sort"
	"strings"
)

// Document is one member of a block: its id and its fields.
type Document struct {
	ID     string
	Fields map[string]any // string, float64, bool, or a list of them
}

// ShardDocuments are one block's, held in memory. Search answers the OpenSearch-style language over them as one shard of an
// index does. It reads plain JSON and shares no code with package query, so that each checks the other.
type ShardDocuments struct {
	Index     string
	Documents []Document
}

type found struct {
	m     *Document
	score float64
	sort  []any
}

// Search answers a search's body.
func (b *ShardDocuments) Search(text []byte) ([]byte, error) {
	var body map[string]any
	if err := json.Unmarshal(text, &body); err != nil {
		return nil, err
	}
	var hits []found
	for i := range b.Documents {
		m := &b.Documents[i]
		ok, score := true, 1.0
		if q, there := body["query"].(map[string]any); there {
			ok, score = match(q, m)
		}
		if least, there := body["min_score"].(float64); there && score < least {
			ok = false
		}
		if ok {
			hits = append(hits, found{m: m, score: score})
		}
	}
	keys, _ := body["sort"].([]any)
	for i := range hits {
		hits[i].sort = sortValues(keys, hits[i])
	}
	sort.SliceStable(hits, func(i, j int) bool { return before(keys, hits[i].sort, hits[j].sort) < 0 })
	var aggs map[string]any
	if asked, ok := body["aggs"].(map[string]any); ok {
		aggs = aggregate(asked, hits)
	}
	total, relation := len(hits), "eq"
	if after, ok := body["search_after"].([]any); ok {
		hits = slices.DeleteFunc(hits, func(f found) bool { return before(keys, f.sort[:len(after)], after) <= 0 })
	}
	size := 10
	if v, ok := body["size"].(float64); ok {
		size = int(v)
	}
	if most, ok := body["track_total_hits"].(float64); ok && total > int(most) {
		total, relation = int(most), "gte"
	}
	out := []any{}
	for _, f := range hits[:min(size, len(hits))] {
		hit := map[string]any{"_index": b.Index, "_id": f.m.ID, "_score": f.score, "sort": f.sort}
		if source, keep := filtered(body["_source"], f.m.Fields); keep {
			hit["_source"] = source
		}
		out = append(out, hit)
	}
	answer := map[string]any{
		"took": 1, "timed_out": false,
		"_shards": map[string]any{"total": 1, "successful": 1, "skipped": 0, "failed": 0},
		"hits":    map[string]any{"max_score": nil, "hits": out, "total": map[string]any{"value": total, "relation": relation}},
	}
	if body["track_total_hits"] == false {
		delete(answer["hits"].(map[string]any), "total")
	}
	if aggs != nil {
		answer["aggregations"] = aggs
	}
	return json.Marshal(answer)
}

func filtered(want any, fields map[string]any) (map[string]any, bool) {
	if want == false {
		return nil, false
	}
	names := func(v any) (all []string) {
		list, _ := v.([]any)
		for _, one := range list {
			all = append(all, fmt.Sprint(one))
		}
		return all
	}
	fits := func(name string, patterns []string) bool {
		return slices.ContainsFunc(patterns, func(p string) bool {
			start, wild := strings.CutSuffix(p, "*")
			return p == name || wild && strings.HasPrefix(name, start)
		})
	}
	m, _ := want.(map[string]any)
	in, out := names(m["includes"]), names(m["excludes"])
	left := map[string]any{}
	for name, v := range fields {
		if (len(in) == 0 || fits(name, in)) && !fits(name, out) {
			left[name] = v
		}
	}
	return left, true
}

// values are a field's, as a list.
func values(m *Document, field string) []any {
	switch v := m.Fields[field].(type) {
	case nil:
		return nil
	case []any:
		return v
	default:
		return []any{v}
	}
}

func match(q map[string]any, m *Document) (bool, float64) {
	for kind, b := range q {
		body := b.(map[string]any)
		boost := 1.0
		if v, ok := body["boost"].(float64); ok {
			boost = v
		}
		switch kind {
		case "match_all":
			return true, boost
		case "match_none":
			return false, 0
		case "bool":
			return matchBool(body, m, boost)
		case "constant_score":
			ok, _ := match(body["filter"].(map[string]any), m)
			return ok, boost
		case "ids":
			return slices.Contains(body["values"].([]any), any(m.ID)), boost
		case "exists":
			return len(values(m, body["field"].(string))) > 0, boost
		case "terms":
			for field, list := range body {
				if wanted, ok := list.([]any); ok {
					return slices.ContainsFunc(values(m, field), func(v any) bool { return slices.Contains(wanted, v) }), boost
				}
			}
			return false, 0
		}
		for field, f := range body { // the rest name one field
			how := f.(map[string]any)
			if v, ok := how["boost"].(float64); ok {
				boost = v
			}
			hits := 0.0
			for _, v := range values(m, field) {
				if n := matchValue(kind, how, v); n > 0 {
					hits = max(hits, n)
				}
			}
			return hits > 0, hits * boost
		}
	}
	return false, 0
}

// matchValue tells how well one value fits: for match, by how many words.
func matchValue(kind string, how map[string]any, v any) float64 {
	ok := false
	switch kind {
	case "term":
		ok = v == how["value"]
	case "prefix":
		text, is := v.(string)
		ok = is && strings.HasPrefix(text, how["value"].(string))
	case "match":
		have, want := strings.Fields(strings.ToLower(fmt.Sprint(v))), strings.Fields(strings.ToLower(fmt.Sprint(how["query"])))
		n := 0
		for _, w := range want {
			if slices.Contains(have, w) {
				n++
			}
		}
		if how["operator"] == "and" && n < len(want) {
			return 0
		}
		return float64(n)
	case "range":
		ok = true
		for bound, limit := range how {
			if bound == "boost" {
				continue
			}
			c, same := compareValues(v, limit)
			if !same || bound == "gt" && c <= 0 || bound == "gte" && c < 0 || bound == "lt" && c >= 0 || bound == "lte" && c > 0 {
				return 0
			}
		}
	}
	if ok {
		return 1
	}
	return 0
}

func compareValues(a, b any) (c int, same bool) {
	switch x := a.(type) {
	case float64:
		y, ok := b.(float64)
		return cmp.Compare(x, y), ok
	case string:
		y, ok := b.(string)
		return strings.Compare(x, y), ok
	}
	return 0, false
}

func matchBool(body map[string]any, m *Document, boost float64) (bool, float64) {
	each := func(word string) (n, matched int, score float64) {
		list, _ := body[word].([]any)
		for _, one := range list {
			if ok, s := match(one.(map[string]any), m); ok {
				matched, score = matched+1, score+s
			}
		}
		return len(list), matched, score
	}
	must, mustOk, score := each("must")
	filter, filterOk, _ := each("filter")
	_, not, _ := each("must_not")
	_, should, more := each("should")
	least := 0
	if v, ok := body["minimum_should_match"].(float64); ok {
		least = int(v)
	}
	return mustOk == must && filterOk == filter && not == 0 && should >= least, (score + more) * boost
}

func sortValues(keys []any, f found) []any {
	var out []any
	for _, k := range keys {
		for field, how := range k.(map[string]any) {
			switch field {
			case "_score":
				out = append(out, f.score)
			case "_id":
				out = append(out, f.m.ID)
			default:
				all := slices.Clone(values(f.m, field))
				desc := how.(map[string]any)["order"] == "desc"
				slices.SortFunc(all, func(a, b any) int { c, _ := compareValues(a, b); return c })
				switch {
				case len(all) == 0:
					missing := how.(map[string]any)["missing"]
					if missing == "_first" || missing == "_last" {
						missing = nil
					}
					out = append(out, missing)
				case desc:
					out = append(out, all[len(all)-1])
				default:
					out = append(out, all[0])
				}
			}
		}
	}
	return out
}

func before(keys []any, a, b []any) int {
	for i, k := range keys {
		if i >= len(a) || i >= len(b) {
			return 0
		}
		for _, how := range k.(map[string]any) {
			h := how.(map[string]any)
			c := 0
			if a[i] == nil || b[i] == nil {
				switch {
				case a[i] == nil && b[i] != nil:
					c = 1
				case a[i] != nil:
					c = -1
				}
				if h["missing"] == "_first" {
					c = -c
				}
			} else if c, _ = compareValues(a[i], b[i]); h["order"] == "desc" {
				c = -c
			}
			if c != 0 {
				return c
			}
		}
	}
	return 0
}

func aggregate(asked map[string]any, hits []found) map[string]any {
	out := map[string]any{}
	for name, a := range asked {
		one := a.(map[string]any)
		for kind, b := range one {
			if kind == "aggs" {
				continue
			}
			body := b.(map[string]any)
			field := body["field"].(string)
			if kind == "terms" {
				subs, _ := one["aggs"].(map[string]any)
				out[name] = terms(body, field, subs, hits)
				continue
			}
			var nums []float64
			count := 0
			for _, f := range hits {
				for _, v := range values(f.m, field) {
					count++
					if n, ok := v.(float64); ok {
						nums = append(nums, n)
					}
				}
			}
			slices.Sort(nums)
			switch kind {
			case "value_count":
				out[name] = map[string]any{"value": count}
			case "stats":
				s := map[string]any{"count": count, "sum": 0.0, "min": nil, "max": nil, "avg": nil}
				if len(nums) > 0 {
					sum := 0.0
					for _, n := range nums {
						sum += n
					}
					s["sum"], s["min"], s["max"], s["avg"] = sum, nums[0], nums[len(nums)-1], sum/float64(len(nums))
				}
				out[name] = s
			case "percentiles":
				vs := map[string]any{}
				for _, p := range body["percents"].([]any) {
					key := fmt.Sprintf("%.1f", p)
					if vs[key] = nil; len(nums) > 0 {
						at := p.(float64) / 100 * float64(len(nums)-1)
						low := int(math.Floor(at))
						vs[key] = nums[low] + (nums[min(low+1, len(nums)-1)]-nums[low])*(at-float64(low))
					}
				}
				out[name] = map[string]any{"values": vs}
			}
		}
	}
	return out
}

func terms(body map[string]any, field string, subs map[string]any, hits []found) map[string]any {
	groups := map[any][]found{}
	for _, f := range hits {
		seen := map[any]bool{}
		for _, v := range values(f.m, field) {
			if !seen[v] {
				seen[v] = true
				groups[v] = append(groups[v], f)
			}
		}
	}
	keys := make([]any, 0, len(groups))
	for k := range groups {
		keys = append(keys, k)
	}
	order, _ := body["order"].(map[string]any)
	slices.SortFunc(keys, func(a, b any) int {
		if order["_key"] == nil && len(groups[a]) != len(groups[b]) {
			return len(groups[b]) - len(groups[a])
		}
		c, _ := compareValues(a, b)
		if order["_key"] == "desc" {
			c = -c
		}
		return c
	})
	size, others, buckets := int(body["size"].(float64)), 0, []any{}
	for i, k := range keys {
		if i >= size {
			others += len(groups[k])
			continue
		}
		bucket := map[string]any{"key": k, "doc_count": len(groups[k])}
		if subs != nil {
			for name, v := range aggregate(subs, groups[k]) {
				bucket[name] = v
			}
		}
		buckets = append(buckets, bucket)
	}
	return map[string]any{"doc_count_error_upper_bound": 0, "sum_other_doc_count": others, "buckets": buckets}
}
