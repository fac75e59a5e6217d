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
	maxPairwiseHits = 32 // hits of a response whose duplicates are found by comparing all pairs: cheaper than a map for one page
	minHitBytes     = 64 // approximate bytes of a hit: bounds the capacity allocated for a response
)

// responseReader decodes a host's response in one pass, without reflection. Where possible, the values that it returns
// share the memory of the response or of its one copy as a string.
type responseReader struct {
	d jx.Decoder
	responseFields
}

type responseFields struct {
	text string  // a copy of the response
	base uintptr // address of the response's bytes: only compared, never dereferenced

	hasTimedOut, hasShards, hasHits bool // whether the response has these fields
	timedOut, terminatedEarly       bool
	total                           int // -1 for none
	relation                        string
	shardCounts                     [3]int // _shards: total, successful, failed
	hits                            []Hit
	sortValues                      []SortValue // backing array for the sort values of all hits
	scores                          []float64   // backing array for the scores of all hits
	rawAggs                         []byte
	full                            bool // whether _score, _source and sort of a hit are read, not only _index, _id and _routing
}

// responseReaders pools readers for reuse.
var responseReaders = sync.Pool{New: func() any { return &responseReader{} }}

// release drops a reader's references to its response and returns it to the pool.
func (r *responseReader) release() {
	r.responseFields = responseFields{}
	r.d.ResetBytes(nil)
	responseReaders.Put(r)
}

// field is a known field name of a response, as one bit of a set of names; 0 is any other name.
type field uint32

const (
	fTimedOut field = 1 << iota
	fTerminatedEarly
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
		return fTerminatedEarly
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

// readObject calls readField for each field of an object. A known field name that appears twice is an error: otherwise only
// one of the two would count.
func (r *responseReader) readObject(readField func(f field) error) error {
	if r.d.Next() != jx.Object {
		return invalidResponse("expected an object, got another type")
	}
	seen := field(0)
	return r.d.ObjBytes(func(_ *jx.Decoder, name []byte) error {
		f := fieldOf(name)
		if seen&f != 0 {
			return invalidResponse("field %.60q appears more than once", name)
		}
		seen |= f
		return readField(f)
	})
}

// read reads a response; full says whether _score, _source and sort of the hits are read too.
func (r *responseReader) read(text []byte, full bool) error {
	r.full, r.total, r.text = full, -1, string(text)
	if len(text) > 0 {
		r.base = uintptr(unsafe.Pointer(&text[0]))
	}
	r.d.ResetBytes(text)
	if err := r.readObject(r.readTopField); err != nil {
		return invalidResponse("%v", err)
	}
	if r.d.Next() == jx.Invalid { // no further value: either the end of the text or a stray character
		if err := r.d.Skip(); errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
			return nil
		}
	}
	return invalidResponse("unexpected data after the end of the response")
}

func (r *responseReader) readTopField(f field) (err error) {
	switch {
	case r.d.Next() == jx.Null:
		return r.d.Skip()
	case f == fTimedOut:
		r.timedOut, err = r.d.Bool()
		r.hasTimedOut = true
	case f == fTerminatedEarly:
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

// readStringOrNull reads a string; null gives an empty string.
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

// toString returns bytes as a string. If they lie in the response, it is a substring of the response's copy, without a
// further allocation.
func (r *responseReader) toString(b []byte) string {
	if len(b) == 0 {
		return ""
	}
	if at := uintptr(unsafe.Pointer(&b[0])) - r.base; at+uintptr(len(b)) <= uintptr(len(r.text)) && at < uintptr(len(r.text)) {
		return r.text[at:][:len(b)]
	}
	return string(b) // the value had escapes, so the decoder copied it
}

// readInt reads a whole number; null leaves *into as it is.
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

// readNumber returns the text of a number. It checks the syntax itself, since the decoder accepts some invalid numbers.
func (r *responseReader) readNumber() (string, error) {
	raw, err := r.d.Raw()
	if err == nil && !isNumber(raw) {
		err = invalidResponse("expected a number, got another value")
	}
	return r.toString(raw), err
}

// isNumber reports whether a text is a number in JSON syntax.
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

// readHitsField reads one field of the object hits: total or the list of hits.
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

// readHitField reads one field of the last hit.
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
		text, syntaxErr := r.readNumber()
		v, rangeErr := strconv.ParseFloat(text, 64)
		if errors.Join(syntaxErr, rangeErr) != nil {
			return invalidResponse("_score of a hit is not a number")
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

// readSortValue reads a plain value and appends it to the sort values of all hits.
func (r *responseReader) readSortValue(*jx.Decoder) (err error) {
	value := SortValue{}
	switch r.d.Next() {
	case jx.String:
		value.kind = '"'
		value.text, err = r.readString()
	case jx.Number:
		value.kind = '0'
		if value.text, err = r.readNumber(); err == nil {
			value.number, err = strconv.ParseFloat(value.text, 64)
		}
	case jx.Bool:
		var v bool
		v, err = r.d.Bool()
		if value.kind = 'f'; v {
			value.kind = 't'
		}
	case jx.Null:
		value.kind, err = 'n', r.d.Skip()
	default:
		return invalidResponse("a sort value is not a string, number, boolean or null")
	}
	r.sortValues = append(r.sortValues, value)
	return err
}

// check checks that the response did not time out and is of exactly one shard, which succeeded.
func (r *responseReader) check() error {
	switch {
	case !r.hasTimedOut || !r.hasShards || !r.hasHits:
		return invalidResponse("timed_out, _shards or hits is missing")
	case r.timedOut:
		return invalidResponse("timed_out is true, expected false")
	case r.shardCounts != [3]int{1, 1, 0}:
		return invalidResponse("_shards: %d of %d successful, %d failed; expected 1 of 1 successful, 0 failed", r.shardCounts[1], r.shardCounts[0], r.shardCounts[2])
	}
	return nil
}

// ParseResponse decodes a host's response to a shard request and checks everything that merging relies on. Syntax alone
// isn't enough: a response can leave out its shard, have timed out, name another index, repeat a hit, return unsorted hits
// or more than were requested, have scores that are not numbers, or a total lower than its number of hits. The result
// refers to text, which must not change afterwards.
func (q *Request) ParseResponse(shard int, index string, text []byte) (*ShardResponse, error) {
	if len(text) > maxResponseBytes {
		return nil, invalidResponse("response of %d bytes exceeds the size limit", len(text))
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
		return nil, invalidResponse("response has %d hits, requested at most %d", len(r.hits), q.From+q.Size)
	}
	out := &ShardResponse{Shard: shard, ShardCount: 1, Hits: r.hits, TerminatedEarly: r.terminatedEarly}
	var aggs map[string]any
	if len(r.rawAggs) > 0 {
		d := json.NewDecoder(bytes.NewReader(r.rawAggs))
		d.UseNumber()
		if err := d.Decode(&aggs); err != nil {
			return nil, invalidResponse("aggregations: %v", err)
		}
	}
	switch {
	case q.TrackTotalHits == 0:
		out.Total, out.TotalIsLowerBound = len(out.Hits), true
	case r.total < len(out.Hits) || r.relation != "eq" && r.relation != "gte":
		return nil, invalidResponse("total %d with relation %.20q for %d hits, expected at least the number of hits and relation eq or gte", r.total, r.relation, len(out.Hits))
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

// checkHits checks the hits of a shard's response and sets their shard.
func (q *Request) checkHits(hits []Hit, shard int, index string) error {
	seen := map[string]bool(nil)
	if len(hits) > maxPairwiseHits {
		seen = make(map[string]bool, len(hits))
	}
	for i := range hits {
		h := &hits[i]
		h.shard = shard
		duplicate := seen[h.ID]
		for j := 0; j < i && seen == nil; j++ {
			duplicate = duplicate || hits[j].ID == h.ID
		}
		switch {
		case h.ID == "" || duplicate:
			return invalidResponse("hit %.60q is a duplicate or has no _id", h.ID)
		case index != "" && h.Index != index:
			return invalidResponse("hit is from index %.60q, not from the requested one", h.Index)
		case len(h.Sort) != len(q.Sort):
			return invalidResponse("hit has %d sort values, expected %d", len(h.Sort), len(q.Sort))
		case h.Score != nil && (math.IsNaN(*h.Score) || math.IsInf(*h.Score, 0)):
			return invalidResponse("_score of a hit is not a finite number")
		case h.Sort[len(h.Sort)-1].text != h.ID:
			return invalidResponse("hit %.60q has %.60q as last sort value, expected its _id", h.ID, h.Sort[len(h.Sort)-1].text)
		case i > 0 && q.compare(hits[i-1].Sort, h.Sort) >= 0:
			return invalidResponse("hits are not in the requested order")
		}
		if seen != nil {
			seen[h.ID] = true
		}
	}
	return nil
}

// CheckResponse checks a host's response without the request that it answers: its syntax, that it did not time out, that
// it is of one shard that succeeded, of the requested index and, if placement is not nil, of the requested shard.
func CheckResponse(index string, placement *Placement, shard int, text []byte) error {
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
			return invalidResponse("hit is from index %.60q, not from the requested one", r.hits[i].Index)
		}
		if err := placement.checkHit(shard, r.hits[i].ID, r.hits[i].routing); err != nil {
			return err
		}
	}
	return nil
}
