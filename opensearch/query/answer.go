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
	maxPairwiseHits  = 32 // hits up to which each is held against each: a page, cheaper than a map
	minHitBytes = 64 // bytes of a hit, about: room is made for no more than can be there
)

// responseReader takes a host's answer apart in one pass, without reflection. What it gives lies in the answer's own bytes
// where it may.
type responseReader struct {
	d jx.Decoder
	responseFields
}

type responseFields struct {
	text string  // the answer
	base   uintptr // where its bytes lie: only told apart, never followed

	hasTimedOut, hasShards, hasHits bool // there
	timedOut, terminatedEarly            bool
	total                  int // -1 for none
	relation               string
	shardCounts                   [3]int // _shards: total, successful, failed
	hits                  []Hit
	sortValues                  []SortValue // room for those of all hits
	scores                 []float64   // likewise
	rawAggs                   []byte
	full                   bool // more of a hit is wanted than its names
}

// responseReaders are readers, kept for the next.
var responseReaders = sync.Pool{New: func() any { return &responseReader{} }}

// release gives up what a reader holds of its answer.
func (r *responseReader) release() {
	r.responseFields = responseFields{}
	r.d.ResetBytes(nil)
	responseReaders.Put(r)
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

// readObject walks an readObject's fields. Guards against two of one name, of which one would be read.
func (r *responseReader) readObject(take func(f field) error) error {
	if r.d.Next() != jx.Object {
		return invalidResponse("no object where one is wanted")
	}
	seen := field(0)
	return r.d.ObjBytes(func(_ *jx.Decoder, name []byte) error {
		f := fieldOf(name)
		if seen&f != 0 {
			return invalidResponse("%.60q is there twice", name)
		}
		seen |= f
		return take(f)
	})
}

// read reads an answer.
func (r *responseReader) read(text []byte, full bool) error {
	r.full, r.total, r.text = full, -1, string(text)
	if len(text) > 0 {
		r.base = uintptr(unsafe.Pointer(&text[0]))
	}
	r.d.ResetBytes(text)
	if err := r.readObject(r.readTopField); err != nil {
		return invalidResponse("%v", err)
	}
	if r.d.Next() == jx.Invalid {
		if err := r.d.Skip(); errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
			return nil
		}
	}
	return invalidResponse("something stands behind the end")
}

func (r *responseReader) readTopField(f field) (err error) {
	switch {
	case r.d.Next() == jx.Null:
		return r.d.Skip()
	case f == fTimedOut:
		r.timedOut, err = r.d.Bool()
		r.hasTimedOut = true
	case f == fEarly:
		r.terminatedEarly, err = r.d.Bool()
	case f == fShards:
		r.hasShards = true
		return r.readObject(func(f field) error {
			switch f {
			case fTotal:
				return r.readInt(&r.shardCounts[0])
			case fSuccessful:
				return r.readInt(&r.shardCounts[1])
			case fFailed:
				return r.readInt(&r.shardCounts[2])
			}
			return r.d.Skip()
		})
	case f == fHits:
		r.hasHits = true
		return r.readObject(r.readHitsField)
	case f == fAggs:
		r.rawAggs, err = r.d.Raw()
	default:
		return r.d.Skip()
	}
	return err
}

// readStringOrNull reads a string, nothing where null stands.
func (r *responseReader) readStringOrNull() (string, error) {
	if r.d.Next() == jx.Null {
		return "", r.d.Skip()
	}
	return r.readString()
}

func (r *responseReader) readString() (string, error) {
	b, err := r.d.StrBytes()
	return r.toString(b), err
}

// toString is bytes as a string: where they lie in the answer, a piece toString the one string toString it.
func (r *responseReader) toString(b []byte) string {
	if len(b) == 0 {
		return ""
	}
	if at := uintptr(unsafe.Pointer(&b[0])) - r.base; at+uintptr(len(b)) <= uintptr(len(r.text)) && at < uintptr(len(r.text)) {
		return r.text[at:][:len(b)]
	}
	return string(b) // it had escapes
}

func (r *responseReader) readInt(into *int) error {
	if r.d.Next() == jx.Null {
		return r.d.Skip()
	}
	n, err := r.readNumber()
	if err != nil {
		return err
	}
	*into, err = strconv.Atoi(n)
	return err
}

// readNumber reads a readNumber as it stands. The decoder takes some for numbers that are none.
func (r *responseReader) readNumber() (string, error) {
	raw, err := r.d.Raw()
	if err == nil && !isNumber(raw) {
		err = invalidResponse("no number")
	}
	return r.toString(raw), err
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

// readHitsField reads total and hits.
func (r *responseReader) readHitsField(f field) error {
	switch next := r.d.Next(); {
	case f == fTotal && next == jx.Object:
		return r.readObject(func(f field) (err error) {
			switch f {
			case fValue:
				return r.readInt(&r.total)
			case fRelation:
				r.relation, err = r.readStringOrNull()
				return err
			}
			return r.d.Skip()
		})
	case f == fTotal:
		r.relation = "eq"
		return r.readInt(&r.total)
	case f == fHits && next != jx.Null:
		return r.d.Arr(func(*jx.Decoder) error {
			r.hits = append(r.hits, Hit{})
			return r.readObject(r.readHitField)
		})
	}
	return r.d.Skip()
}

// readHitField reads a field of the last readHitField.
func (r *responseReader) readHitField(f field) (err error) {
	n := len(r.hits) - 1
	h := &r.hits[n]
	switch {
	case f == fIndex:
		h.Index, err = r.readString()
	case f == fID:
		h.ID, err = r.readString()
	case f == fRouting:
		h.routing, err = r.readStringOrNull()
	case f == fScore && r.full && r.d.Next() != jx.Null:
		n, wrong := r.readNumber()
		v, odd := strconv.ParseFloat(n, 64)
		if errors.Join(wrong, odd) != nil {
			return invalidResponse("a score that is no number")
		}
		r.scores = append(r.scores, v)
		h.Score = &r.scores[len(r.scores)-1]
	case f == fSource && r.full:
		var raw jx.Raw
		raw, err = r.d.Raw()
		h.Source = json.RawMessage(raw)
	case f == fSort && r.full:
		from := len(r.sortValues)
		err = r.d.Arr(r.readSortValue)
		h.Sort = r.sortValues[from:len(r.sortValues):len(r.sortValues)]
	default:
		return r.d.Skip()
	}
	return err
}

// readSortValue reads a plain value, into one piece for all hits.
func (r *responseReader) readSortValue(*jx.Decoder) (err error) {
	one := SortValue{}
	switch r.d.Next() {
	case jx.String:
		one.kind = '"'
		one.text, err = r.readString()
	case jx.Number:
		one.kind = '0'
		if one.text, err = r.readNumber(); err == nil {
			one.number, err = strconv.ParseFloat(one.text, 64)
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
		return invalidResponse("a sort value is no plain value")
	}
	r.sortValues = append(r.sortValues, one)
	return err
}

// check looks that the one part that was asked is there, in time and whole.
func (r *responseReader) check() error {
	switch {
	case !r.hasTimedOut || !r.hasShards || !r.hasHits:
		return invalidResponse("no timed_out, _shards or hits")
	case r.timedOut:
		return invalidResponse("timed_out")
	case r.shardCounts != [3]int{1, 1, 0}:
		return invalidResponse("_shards: %d of %d, %d failed", r.shardCounts[1], r.shardCounts[0], r.shardCounts[2])
	}
	return nil
}

// ParseResponse takes a host's answer to a part apart and looks at all that a whole rests on. Guards against a host that
// answers in valid syntax and leaves its part out, ran out of time, speaks of another index, doubles a hit, sends
// them in no order or more than were asked for, gives scores that are no numbers, or a total below its hits. What it
// gives holds the text, which must not change.
func (q *Request) ParseResponse(shard int, index string, text []byte) (*ShardResponse, error) {
	if len(text) > maxResponseBytes {
		return nil, invalidResponse("%d bytes", len(text))
	}
	r := responseReaders.Get().(*responseReader)
	defer r.release()
	hits := min(q.From+q.Size, len(text)/minHitBytes)
	r.hits, r.sortValues, r.scores = make([]Hit, 0, hits), make([]SortValue, 0, hits*len(q.Sort)), make([]float64, 0, hits)
	if err := r.read(text, true); err != nil {
		return nil, err
	}
	if err := r.check(); err != nil {
		return nil, err
	}
	if len(r.hits) > q.From+q.Size {
		return nil, invalidResponse("%d hits, %d were asked for", len(r.hits), q.From+q.Size)
	}
	out := &ShardResponse{Shard: shard, ShardCount: 1, Hits: r.hits, TerminatedEarly: r.terminatedEarly}
	var aggs map[string]any
	if len(r.rawAggs) > 0 {
		d := json.NewDecoder(bytes.NewReader(r.rawAggs))
		d.UseNumber()
		if err := d.Decode(&aggs); err != nil {
			return nil, invalidResponse("%v", err)
		}
	}
	switch {
	case q.TrackTotalHits == 0:
		out.Total, out.TotalIsLowerBound = len(out.Hits), true
	case r.total < len(out.Hits) || r.relation != "eq" && r.relation != "gte":
		return nil, invalidResponse("a total of %d %.20q for %d hits", r.total, r.relation, len(out.Hits))
	default:
		out.Total, out.TotalIsLowerBound = r.total, r.relation == "gte"
	}
	if err := q.checkHits(out.Hits, shard, index); err != nil {
		return nil, err
	}
	out.aggs = []shardAggsResult{{shard, aggs}}
	if len(q.Aggregations) == 0 {
		return out, nil
	}
	return out, q.checkAggs(q.Aggregations, aggs)
}

func (q *Request) checkHits(hits []Hit, shard int, index string) error {
	seen := map[string]bool(nil)
	if len(hits) > maxPairwiseHits {
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
			return invalidResponse("hit %.60q is there twice or has no id", h.ID)
		case index != "" && h.Index != index:
			return invalidResponse("a hit of index %.60q", h.Index)
		case len(h.Sort) != len(q.Sort):
			return invalidResponse("%d sort values for %d keys", len(h.Sort), len(q.Sort))
		case h.Score != nil && (math.IsNaN(*h.Score) || math.IsInf(*h.Score, 0)):
			return invalidResponse("a score that is no number")
		case h.Sort[len(h.Sort)-1].text != h.ID:
			return invalidResponse("hit %.60q is sorted as %.60q", h.ID, h.Sort[len(h.Sort)-1].text)
		case i > 0 && q.compare(hits[i-1].Sort, h.Sort) >= 0:
			return invalidResponse("hits in no order")
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
	r := responseReaders.Get().(*responseReader)
	defer r.release()
	if err := r.read(text, false); err != nil {
		return err
	}
	if err := r.check(); err != nil {
		return err
	}
	for i := range r.hits {
		if index != "" && r.hits[i].Index != index {
			return invalidResponse("a hit of index %.60q", r.hits[i].Index)
		}
		if err := placed.checkHit(shard, r.hits[i].ID, r.hits[i].routing); err != nil {
			return err
		}
	}
	return nil
}
