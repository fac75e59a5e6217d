package query

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"math"
	"strconv"
	"sync"
	"unsafe"

	"github.com/go-faster/jx"
)

const (
	fewHits  = 32 // hits up to which each is held against each: a page, cheaper than a map
	hitLeast = 64 // bytes of a hit, about: room is made for no more than can be there
)

// answerReader takes a host's answer apart in one pass, without reflection. What it gives lies in the answer's own bytes
// where it may.
type answerReader struct {
	d jx.Decoder
	answerRead
}

type answerRead struct {
	copied string  // the answer
	from   uintptr // where its bytes lie: only told apart, never followed

	timedOut, shards, hits bool // there
	late, early            bool
	total                  int // -1 for none
	relation               string
	part                   [3]int // _shards: total, successful, failed
	found                  []Hit
	sorts                  []SortValue // room for those of all hits
	scores                 []float64   // likewise
	aggs                   []byte
	full                   bool // more of a hit is wanted than its names
}

// answers are readers, kept for the next.
var answers = sync.Pool{New: func() any { return &answerReader{} }}

// release gives up what a reader holds of its answer.
func (r *answerReader) release() {
	r.answerRead = answerRead{}
	r.d.ResetBytes(nil)
	answers.Put(r)
}

// field is a name that is read, as a bit.
type field uint32

const (
	fTimedOut field = 1 << iota
	fEarly
	fShards
	fHits
	fAggs
	fTotal
	fSuccessful
	fFailed
	fValue
	fRelation
	fIndex
	fID
	fRouting
	fScore
	fSource
	fSort
)

func fieldOf(name []byte) field {
	switch string(name) {
	case "_index":
		return fIndex
	case "_id":
		return fID
	case "_score":
		return fScore
	case "_source":
		return fSource
	case "sort":
		return fSort
	case "_routing":
		return fRouting
	case "timed_out":
		return fTimedOut
	case "terminated_early":
		return fEarly
	case "_shards":
		return fShards
	case "hits":
		return fHits
	case "aggregations":
		return fAggs
	case "total":
		return fTotal
	case "successful":
		return fSuccessful
	case "failed":
		return fFailed
	case "value":
		return fValue
	case "relation":
		return fRelation
	}
	return 0
}

// object walks an object's fields. Guards against two of one name, of which one would be read.
func (r *answerReader) object(take func(f field) error) error {
	if r.d.Next() != jx.Object {
		return spoilt("no object where one is wanted")
	}
	seen := field(0)
	return r.d.ObjBytes(func(_ *jx.Decoder, name []byte) error {
		f := fieldOf(name)
		if seen&f != 0 {
			return spoilt("%.60q is there twice", name)
		}
		seen |= f
		return take(f)
	})
}

// read reads an answer.
func (r *answerReader) read(text []byte, full bool) error {
	r.full, r.total, r.copied = full, -1, string(text)
	if len(text) > 0 {
		r.from = uintptr(unsafe.Pointer(&text[0]))
	}
	r.d.ResetBytes(text)
	if err := r.object(r.top); err != nil {
		return spoilt("%v", err)
	}
	if r.d.Next() == jx.Invalid {
		if err := r.d.Skip(); errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
			return nil
		}
	}
	return spoilt("something stands behind the end")
}

func (r *answerReader) top(f field) (err error) {
	switch {
	case r.d.Next() == jx.Null:
		return r.d.Skip()
	case f == fTimedOut:
		r.late, err = r.d.Bool()
		r.timedOut = true
	case f == fEarly:
		r.early, err = r.d.Bool()
	case f == fShards:
		r.shards = true
		return r.object(func(f field) error {
			switch f {
			case fTotal:
				return r.whole(&r.part[0])
			case fSuccessful:
				return r.whole(&r.part[1])
			case fFailed:
				return r.whole(&r.part[2])
			}
			return r.d.Skip()
		})
	case f == fHits:
		r.hits = true
		return r.object(r.page)
	case f == fAggs:
		r.aggs, err = r.d.Raw()
	default:
		return r.d.Skip()
	}
	return err
}

// word reads a string, nothing where null stands.
func (r *answerReader) word() (string, error) {
	if r.d.Next() == jx.Null {
		return "", r.d.Skip()
	}
	return r.text()
}

func (r *answerReader) text() (string, error) {
	b, err := r.d.StrBytes()
	return r.of(b), err
}

// of is bytes as a string: where they lie in the answer, a piece of the one string of it.
func (r *answerReader) of(b []byte) string {
	if len(b) == 0 {
		return ""
	}
	if at := uintptr(unsafe.Pointer(&b[0])) - r.from; at+uintptr(len(b)) <= uintptr(len(r.copied)) && at < uintptr(len(r.copied)) {
		return r.copied[at:][:len(b)]
	}
	return string(b) // it had escapes
}

func (r *answerReader) whole(into *int) error {
	if r.d.Next() == jx.Null {
		return r.d.Skip()
	}
	n, err := r.number()
	if err != nil {
		return err
	}
	*into, err = strconv.Atoi(n)
	return err
}

// number reads a number as it stands. The decoder takes some for numbers that are none.
func (r *answerReader) number() (string, error) {
	raw, err := r.d.Raw()
	if err == nil && !isNumber(raw) {
		err = spoilt("no number")
	}
	return r.of(raw), err
}

// isNumber tells whether a text is a number as JSON has it.
func isNumber(b []byte) bool {
	digits := func() bool {
		n := 0
		for n < len(b) && b[n] >= '0' && b[n] <= '9' {
			n++
		}
		b = b[n:]
		return n > 0
	}
	if len(b) > 0 && b[0] == '-' {
		b = b[1:]
	}
	if len(b) > 1 && b[0] == '0' && b[1] >= '0' && b[1] <= '9' || !digits() {
		return false
	}
	if len(b) > 0 && b[0] == '.' {
		if b = b[1:]; !digits() {
			return false
		}
	}
	if len(b) > 0 && (b[0] == 'e' || b[0] == 'E') {
		if b = b[1:]; len(b) > 0 && (b[0] == '+' || b[0] == '-') {
			b = b[1:]
		}
		return digits() && len(b) == 0
	}
	return len(b) == 0
}

// page reads total and hits.
func (r *answerReader) page(f field) error {
	switch next := r.d.Next(); {
	case f == fTotal && next == jx.Object:
		return r.object(func(f field) (err error) {
			switch f {
			case fValue:
				return r.whole(&r.total)
			case fRelation:
				r.relation, err = r.word()
				return err
			}
			return r.d.Skip()
		})
	case f == fTotal:
		r.relation = "eq"
		return r.whole(&r.total)
	case f == fHits && next != jx.Null:
		return r.d.Arr(func(*jx.Decoder) error {
			r.found = append(r.found, Hit{})
			return r.object(r.hit)
		})
	}
	return r.d.Skip()
}

// hit reads a field of the last hit.
func (r *answerReader) hit(f field) (err error) {
	n := len(r.found) - 1
	h := &r.found[n]
	switch {
	case f == fIndex:
		h.Index, err = r.text()
	case f == fID:
		h.ID, err = r.text()
	case f == fRouting:
		h.routing, err = r.word()
	case f == fScore && r.full && r.d.Next() != jx.Null:
		n, wrong := r.number()
		v, odd := strconv.ParseFloat(n, 64)
		if errors.Join(wrong, odd) != nil {
			return spoilt("a score that is no number")
		}
		r.scores = append(r.scores, v)
		h.Score = &r.scores[len(r.scores)-1]
	case f == fSource && r.full:
		var raw jx.Raw
		raw, err = r.d.Raw()
		h.Source = json.RawMessage(raw)
	case f == fSort && r.full:
		from := len(r.sorts)
		err = r.d.Arr(r.sort)
		h.Sort = r.sorts[from:len(r.sorts):len(r.sorts)]
	default:
		return r.d.Skip()
	}
	return err
}

// sort reads a plain value, into one piece for all hits.
func (r *answerReader) sort(*jx.Decoder) (err error) {
	one := SortValue{}
	switch r.d.Next() {
	case jx.String:
		one.kind = '"'
		one.text, err = r.text()
	case jx.Number:
		one.kind = '0'
		if one.text, err = r.number(); err == nil {
			one.f, err = strconv.ParseFloat(one.text, 64)
		}
	case jx.Bool:
		var v bool
		v, err = r.d.Bool()
		if one.kind = 'f'; v {
			one.kind = 't'
		}
	case jx.Null:
		one.kind, err = 'n', r.d.Skip()
	default:
		return spoilt("a sort value is no plain value")
	}
	r.sorts = append(r.sorts, one)
	return err
}

// check looks that the one part that was asked is there, in time and whole.
func (r *answerReader) check() error {
	switch {
	case !r.timedOut || !r.shards || !r.hits:
		return spoilt("no timed_out, _shards or hits")
	case r.late:
		return spoilt("timed_out")
	case r.part != [3]int{1, 1, 0}:
		return spoilt("_shards: %d of %d, %d failed", r.part[1], r.part[0], r.part[2])
	}
	return nil
}

// ParseResponse takes a host's answer to a part apart and looks at all that a whole rests on. Guards against a host that
// answers in valid syntax and leaves its part out, ran out of time, speaks of another index, doubles a hit, sends
// them in no order or more than were asked for, gives scores that are no numbers, or a total below its hits. What it
// gives holds the text, which must not change.
func (q *Request) ParseResponse(shard int, index string, text []byte) (*ShardResponse, error) {
	if len(text) > answerMost {
		return nil, spoilt("%d bytes", len(text))
	}
	r := answers.Get().(*answerReader)
	defer r.release()
	hits := min(q.From+q.Size, len(text)/hitLeast)
	r.found, r.sorts, r.scores = make([]Hit, 0, hits), make([]SortValue, 0, hits*len(q.Sort)), make([]float64, 0, hits)
	if err := r.read(text, true); err != nil {
		return nil, err
	}
	if err := r.check(); err != nil {
		return nil, err
	}
	if len(r.found) > q.From+q.Size {
		return nil, spoilt("%d hits, %d were asked for", len(r.found), q.From+q.Size)
	}
	out := &ShardResponse{Shard: shard, ShardCount: 1, Hits: r.found, TerminatedEarly: r.early}
	var aggs map[string]any
	if len(r.aggs) > 0 {
		d := json.NewDecoder(bytes.NewReader(r.aggs))
		d.UseNumber()
		if err := d.Decode(&aggs); err != nil {
			return nil, spoilt("%v", err)
		}
	}
	switch {
	case q.TrackTotalHits == 0:
		out.Total, out.TotalIsLowerBound = len(out.Hits), true
	case r.total < len(out.Hits) || r.relation != "eq" && r.relation != "gte":
		return nil, spoilt("a total of %d %.20q for %d hits", r.total, r.relation, len(out.Hits))
	default:
		out.Total, out.TotalIsLowerBound = r.total, r.relation == "gte"
	}
	if err := q.checkHits(out.Hits, shard, index); err != nil {
		return nil, err
	}
	out.aggs = []partAnswer{{shard, aggs}}
	if len(q.Aggregations) == 0 {
		return out, nil
	}
	return out, q.checkAggs(q.Aggregations, aggs)
}

func (q *Request) checkHits(hits []Hit, shard int, index string) error {
	seen := map[string]bool(nil)
	if len(hits) > fewHits {
		seen = make(map[string]bool, len(hits))
	}
	for i := range hits {
		h := &hits[i]
		h.shard = shard
		doubled := seen[h.ID]
		for j := 0; j < i && seen == nil; j++ {
			doubled = doubled || hits[j].ID == h.ID
		}
		switch {
		case h.ID == "" || doubled:
			return spoilt("hit %.60q is there twice or has no id", h.ID)
		case index != "" && h.Index != index:
			return spoilt("a hit of index %.60q", h.Index)
		case len(h.Sort) != len(q.Sort):
			return spoilt("%d sort values for %d keys", len(h.Sort), len(q.Sort))
		case h.Score != nil && (math.IsNaN(*h.Score) || math.IsInf(*h.Score, 0)):
			return spoilt("a score that is no number")
		case h.Sort[len(h.Sort)-1].text != h.ID:
			return spoilt("hit %.60q is sorted as %.60q", h.ID, h.Sort[len(h.Sort)-1].text)
		case i > 0 && q.compare(hits[i-1].Sort, h.Sort) >= 0:
			return spoilt("hits in no order")
		}
		if seen != nil {
			seen[h.ID] = true
		}
	}
	return nil
}

// CheckResponse looks at a host's answer apart from what was asked: that it is one, in time, of one part that did not
// fail, of the right index and, where a placement is known, of the right block.
func CheckResponse(index string, placed *Placement, shard int, text []byte) error {
	r := answers.Get().(*answerReader)
	defer r.release()
	if err := r.read(text, false); err != nil {
		return err
	}
	if err := r.check(); err != nil {
		return err
	}
	for i := range r.found {
		if index != "" && r.found[i].Index != index {
			return spoilt("a hit of index %.60q", r.found[i].Index)
		}
		if err := placed.holds(shard, r.found[i].ID, r.found[i].routing); err != nil {
			return err
		}
	}
	return nil
}
