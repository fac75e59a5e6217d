package query

import (
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"

	jsonv2 "github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"
)

const (
	keysMost   = 10_000  // keys that a part tells of a cardinality; beyond, the value is told as a lower bound
	shardExtra = 10      // buckets a part tells beyond half as many again as are wanted: the API's rule
	answerMost = 8 << 20 // bytes of a host's answer
)

// The suffixes under which a part asks hosts for what an aggregation is put together from.
const (
	asStats  = "#stats"
	asKeys   = "#keys"
	asPoints = "#points"
	asCount  = "#count"
	asTerms  = "#terms"
)

// Part is the body that a part asks a host with: the same for all parts of a search. Each asks for all hits that the
// whole may need, under one fixed order that ends with _id, and for what its aggregations are put together from.
func (q *Request) Part() []byte {
	body := map[string]any{"query": q.Query.json(), "size": q.From + q.Size}
	var sort []any
	scores := false
	for _, k := range q.Sort {
		by := map[string]any{"order": "asc"}
		if k.Desc {
			by["order"] = "desc"
		}
		if k.Field == "_score" {
			scores = true
		} else if k.Field != "_id" {
			by["missing"] = k.Missing
		}
		sort = append(sort, map[string]any{k.Field: by})
	}
	body["sort"] = sort
	if scores {
		body["track_scores"] = true
	}
	if len(q.After) > 0 {
		body["search_after"] = q.After
	}
	switch {
	case !q.Source:
		body["_source"] = false
	case len(q.Includes)+len(q.Excludes) > 0:
		body["_source"] = map[string]any{"includes": append([]string{}, q.Includes...), "excludes": append([]string{}, q.Excludes...)}
	}
	switch q.TrackTotal {
	case math.MaxInt:
		body["track_total_hits"] = true
	case 0:
		body["track_total_hits"] = false
	default:
		body["track_total_hits"] = q.TrackTotal
	}
	if q.MinScore != nil {
		body["min_score"] = *q.MinScore
	}
	if q.TerminateAfter > 0 {
		body["terminate_after"] = q.TerminateAfter
	}
	if len(q.Aggs) > 0 {
		body["aggs"] = partAggs(q.Aggs)
	}
	text, _ := json.Marshal(body) // map keys come sorted: equal searches have equal texts
	return text
}

func partAggs(aggs []Agg) map[string]any {
	out := map[string]any{}
	for _, a := range aggs {
		switch a.Kind {
		case "terms":
			order := map[string]any{"_count": "desc"}
			size := a.Size + a.Size/2 + shardExtra
			if a.ByKey {
				order = map[string]any{"_key": "desc"}
				if a.Asc {
					order["_key"] = "asc"
				}
				size = a.Size // by key, no part can miss a bucket that belongs to the whole
			}
			one := map[string]any{"terms": map[string]any{"field": a.Field, "size": size, "order": order}}
			if len(a.Subs) > 0 {
				one["aggs"] = partAggs(a.Subs)
			}
			out[a.Name+asTerms] = one
		case "cardinality":
			out[a.Name+asKeys] = map[string]any{"terms": map[string]any{"field": a.Field, "size": keysMost,
				"order": map[string]any{"_key": "asc"}}}
		case "percentiles":
			points := make([]float64, 101)
			for i := range points {
				points[i] = float64(i)
			}
			out[a.Name+asPoints] = map[string]any{"percentiles": map[string]any{"field": a.Field, "percents": points}}
			out[a.Name+asCount] = map[string]any{"value_count": map[string]any{"field": a.Field}}
		default:
			out[a.Name+asStats] = map[string]any{"stats": map[string]any{"field": a.Field}}
		}
	}
	return out
}

// Hit is one member that matches, as a host gave it.
type Hit struct {
	Index  string          `json:"_index"`
	ID     string          `json:"_id"`
	Score  *float64        `json:"_score"`
	Source json.RawMessage `json:"_source,omitempty"`
	Sort   []SortValue     `json:"sort,omitempty"`

	routing string
	shard   int // the part it came with
}

// rawHit is a hit as it is read: its sort values keep their digits.
type rawHit struct {
	Index  string         `json:"_index"`
	ID     string         `json:"_id"`
	Score  jsontext.Value `json:"_score"`
	Source jsontext.Value `json:"_source"`
	Sort   sortValues     `json:"sort"`

	Routing string `json:"_routing"`
}

func (r *rawHit) into(h *Hit) error {
	h.Index, h.ID, h.Source, h.routing = r.Index, r.ID, json.RawMessage(r.Source), r.Routing
	if len(r.Score) > 0 && r.Score.Kind() != 'n' {
		v, err := strconv.ParseFloat(string(r.Score), 64)
		if err != nil {
			return spoilt("a score that is no number")
		}
		h.Score = &v
	}
	h.Sort = r.Sort
	return nil
}

// SortValue is one value that a hit is sorted by: a number with all its digits, a text, a truth or nothing.
type SortValue struct {
	kind byte
	text string
	f    float64
}

type sortValues []SortValue

// UnmarshalJSONFrom reads an array of plain values.
func (s *sortValues) UnmarshalJSONFrom(d *jsontext.Decoder) error {
	t, err := d.ReadToken()
	if err != nil || t.Kind() != '[' {
		return errors.Join(err, errors.New("sort values are no array"))
	}
	*s = make(sortValues, 0, 2)
	for d.PeekKind() != ']' {
		if t, err = d.ReadToken(); err != nil {
			return err
		}
		v := SortValue{kind: byte(t.Kind())}
		switch v.kind {
		case '"':
			v.text = t.String()
		case '0':
			v.text = t.String()
			if v.f, err = strconv.ParseFloat(v.text, 64); err != nil {
				return err
			}
		case 't', 'f', 'n':
		default:
			return errors.New("a sort value is no plain value")
		}
		*s = append(*s, v)
	}
	_, err = d.ReadToken()
	return err
}

// MarshalJSON writes the value as it came.
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

// Answer is what a host answered to a part, checked, or several such joined.
type Answer struct {
	Shard   int // the lowest of those that are joined
	Parts   int // how many are
	Total   int
	Doubled int  // hits that were there more than once
	AtLeast bool // the total is a lower bound
	Early   bool // a host stopped at terminate_after
	Hits    []Hit
	aggs    []partAnswer
}

// partAnswer is what one part told for the aggregations.
type partAnswer struct {
	shard int
	aggs  map[string]any
}

// Placed looks that all hits are of the block that was asked, by the rule that places them.
func (a *Answer) Placed(p *Placement) error {
	for _, h := range a.Hits {
		if err := p.holds(a.Shard, h.ID, h.routing); err != nil {
			return err
		}
	}
	return nil
}

// ErrAnswer is a host's answer that cannot be used. The part may have run; the host has failed it.
var ErrAnswer = errors.New("a host's answer that cannot be used")

func spoilt(format string, v ...any) error {
	return fmt.Errorf("%w: %s", ErrAnswer, fmt.Sprintf(format, v...))
}

// answerHead is what an answer tells of its part.
type answerHead struct {
	TimedOut *bool `json:"timed_out"`
	Shards   *struct {
		Total      int `json:"total"`
		Successful int `json:"successful"`
		Failed     int `json:"failed"`
	} `json:"_shards"`
}

// check looks that the one part that was asked is there, in time and whole.
func (h *answerHead) check(hits bool) error {
	switch {
	case h.TimedOut == nil || h.Shards == nil || !hits:
		return spoilt("no timed_out, _shards or hits")
	case *h.TimedOut:
		return spoilt("timed_out")
	case h.Shards.Failed != 0 || h.Shards.Successful != 1 || h.Shards.Total != 1:
		return spoilt("_shards: %d of %d, %d failed", h.Shards.Successful, h.Shards.Total, h.Shards.Failed)
	}
	return nil
}

// ReadAnswer takes a host's answer to a part apart and looks at all that a whole rests on. Guards against a host that
// answers in valid syntax and leaves its part out, ran out of time, speaks of another index, doubles a hit, sends
// them in no order or more than were asked for, gives scores that are no numbers, or a total below its hits.
func (q *Request) ReadAnswer(shard int, index string, text []byte) (*Answer, error) {
	if len(text) > answerMost {
		return nil, spoilt("%d bytes", len(text))
	}
	var a struct {
		answerHead
		Early bool `json:"terminated_early"`
		Hits  *struct {
			Total jsontext.Value `json:"total"`
			Hits  []rawHit       `json:"hits"`
		} `json:"hits"`
		Aggs jsontext.Value `json:"aggregations"`
	}
	if err := jsonv2.Unmarshal(text, &a); err != nil {
		return nil, spoilt("%v", err)
	}
	if err := a.check(a.Hits != nil); err != nil {
		return nil, err
	}
	if len(a.Hits.Hits) > q.From+q.Size {
		return nil, spoilt("%d hits, %d were asked for", len(a.Hits.Hits), q.From+q.Size)
	}
	out := &Answer{Shard: shard, Parts: 1, Hits: make([]Hit, len(a.Hits.Hits)), Early: a.Early}
	var aggs map[string]any
	if len(a.Aggs) > 0 {
		d := json.NewDecoder(bytes.NewReader(a.Aggs))
		d.UseNumber()
		if err := d.Decode(&aggs); err != nil {
			return nil, spoilt("%v", err)
		}
	}
	for i := range out.Hits {
		if err := a.Hits.Hits[i].into(&out.Hits[i]); err != nil {
			return nil, err
		}
		out.Hits[i].shard = shard
	}
	if err := out.total(json.RawMessage(a.Hits.Total), q.TrackTotal == 0); err != nil {
		return nil, err
	}
	seen := map[string]bool{}
	for i, h := range out.Hits {
		switch {
		case h.ID == "" || seen[h.ID]:
			return nil, spoilt("hit %.60q is there twice or has no id", h.ID)
		case index != "" && h.Index != index:
			return nil, spoilt("a hit of index %.60q", h.Index)
		case len(h.Sort) != len(q.Sort):
			return nil, spoilt("%d sort values for %d keys", len(h.Sort), len(q.Sort))
		case h.Score != nil && (math.IsNaN(*h.Score) || math.IsInf(*h.Score, 0)):
			return nil, spoilt("a score that is no number")
		case h.Sort[len(h.Sort)-1].text != h.ID:
			return nil, spoilt("hit %.60q is sorted as %.60q", h.ID, h.Sort[len(h.Sort)-1].text)
		case i > 0 && q.compare(out.Hits[i-1].Sort, h.Sort) >= 0:
			return nil, spoilt("hits in no order")
		}
		seen[h.ID] = true
	}
	out.aggs = []partAnswer{{shard, aggs}}
	return out, q.checkAggs(q.Aggs, aggs)
}

func (a *Answer) total(text json.RawMessage, untracked bool) error {
	var t struct {
		Value    int    `json:"value"`
		Relation string `json:"relation"`
	}
	switch {
	case untracked:
		a.Total, a.AtLeast = len(a.Hits), true
		return nil
	case len(text) == 0:
		return spoilt("no total")
	case text[0] == '{':
		if err := json.Unmarshal(text, &t); err != nil || t.Relation != "eq" && t.Relation != "gte" {
			return spoilt("total %.60s", text)
		}
	default:
		if err := json.Unmarshal(text, &t.Value); err != nil {
			return spoilt("total %.60s", text)
		}
	}
	if t.Value < len(a.Hits) {
		return spoilt("a total of %d for %d hits", t.Value, len(a.Hits))
	}
	a.Total, a.AtLeast = t.Value, t.Relation == "gte"
	return nil
}

// checkAggs looks that all that was asked for is there in its form.
func (q *Request) checkAggs(aggs []Agg, got map[string]any) error {
	for name, asked := range partAggs(aggs) {
		one, _ := got[name].(map[string]any)
		if one == nil {
			return spoilt("aggregation %.60q is missing", name)
		}
		for kind := range asked.(map[string]any) {
			switch kind {
			case "terms":
				buckets, ok := one["buckets"].([]any)
				if !ok {
					return spoilt("aggregation %.60q has no buckets", name)
				}
				for _, b := range buckets {
					m, _ := b.(map[string]any)
					if n, ok := number(m["doc_count"]); !ok || n < 0 || m["key"] == nil {
						return spoilt("a bucket of %.60q without key or count", name)
					}
				}
			case "stats":
				if _, ok := number(one["count"]); !ok {
					return spoilt("aggregation %.60q has no count", name)
				}
			case "value_count":
				if _, ok := number(one["value"]); !ok {
					return spoilt("aggregation %.60q has no value", name)
				}
			case "percentiles":
				if _, ok := one["values"].(map[string]any); !ok {
					return spoilt("aggregation %.60q has no values", name)
				}
			}
		}
	}
	for _, a := range aggs {
		if len(a.Subs) == 0 {
			continue
		}
		for _, b := range got[a.Name+asTerms].(map[string]any)["buckets"].([]any) {
			if err := q.checkAggs(a.Subs, b.(map[string]any)); err != nil {
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

// compare orders two sort values: missing ones first or last as the key says, numbers before texts.
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
		if c = cmp.Compare(v.f, w.f); c == 0 && v.text != w.text {
			c = exact(json.Number(v.text), json.Number(w.text))
		}
	}
	if k.Desc {
		c = -c
	}
	return c
}

// order compares two keys of buckets: missing ones first or last as the key says, numbers before texts.
func order(a, b any, k SortKey) int {
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
	x, isX := number(a)
	y, isY := number(b)
	c := 0
	switch {
	case isX && isY:
		if c = cmp.Compare(x, y); c == 0 {
			c = exact(a, b)
		}
	case isX != isY:
		if c = 1; isX {
			c = -1
		}
	default:
		c = strings.Compare(fmt.Sprint(a), fmt.Sprint(b))
	}
	if k.Desc {
		c = -c
	}
	return c
}

// exact compares whole numbers that are equal as floats: beyond 2^53 they may differ.
func exact(a, b any) int {
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

// CheckAnswer looks at a host's answer apart from what was asked: that it is one, in time, of one part that did not
// fail, of the right index and, where a placement is known, of the right block.
func CheckAnswer(index string, placed *Placement, shard int, text []byte) error {
	var a struct {
		answerHead
		Hits *struct {
			Hits []struct {
				Index   string `json:"_index"`
				ID      string `json:"_id"`
				Routing string `json:"_routing"`
			} `json:"hits"`
		} `json:"hits"`
	}
	if err := jsonv2.Unmarshal(text, &a); err != nil {
		return spoilt("%v", err)
	}
	if err := a.check(a.Hits != nil); err != nil {
		return err
	}
	for _, h := range a.Hits.Hits {
		if index != "" && h.Index != index {
			return spoilt("a hit of index %.60q", h.Index)
		}
		if err := placed.holds(shard, h.ID, h.Routing); err != nil {
			return err
		}
	}
	return nil
}
