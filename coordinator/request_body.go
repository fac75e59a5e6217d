package coordinator

import (
	"bytes"
	"errors"
	"io"
	"math"
	"strings"
	"sync"
	"unicode/utf8"

	"github.com/go-json-experiment/json/jsontext"
)

const weightTolerance = 0.01 // that weights may miss 1 by: rounding of a hundred parts

const maxInlineBlocks = 256 // blocks up to which those that were named are marked without room of their own

// bodyReaders are reused from request to request.
var bodyReaders = sync.Pool{New: func() any { return &bodyReader{} }}

// bodyReader decodes one JSON text at a time. Of names that occur twice the last counts, as in the platform's own
// programs.
type bodyReader struct {
	source  bytes.Reader
	decoder jsontext.Decoder
}

// reset starts to decode a body.
func (b *bodyReader) reset(body []byte) {
	b.source.Reset(body)
	b.decoder.Reset(&b.source, jsontext.AllowDuplicateNames(true), jsontext.AllowInvalidUTF8(true))
}

// readBody reads the shards, their weights and the text of a search from a request's body.
func (s *search) readBody(body []byte, shards int) error {
	b := bodyReaders.Get().(*bodyReader)
	defer bodyReaders.Put(b)
	b.reset(body)
	decoder := &b.decoder
	if t, err := decoder.ReadToken(); err != nil || t.Kind() != '{' {
		return badRequest("body: not one JSON object")
	}
	text, named := "", false
	most := bytes.Count(body, []byte{'{'})
	s.shards, s.weights = make([]int, 0, most), make([]float64, 0, most)
	for decoder.PeekKind() != '}' {
		name, err := readName(decoder)
		if err != nil {
			return badRequest("body: %v", err)
		}
		switch {
		case name == "ranges" && decoder.PeekKind() == '[':
			err = s.readRanges(decoder, shards)
		case name == "ranges":
			s.shards, err = s.shards[:0], decoder.SkipValue()
		case name == "predicate" && decoder.PeekKind() == '"':
			var t jsontext.Token
			if t, err = decoder.ReadToken(); err == nil {
				text, named = t.String(), true
			}
		case name == "predicate":
			named, err = false, decoder.SkipValue()
		default:
			err = decoder.SkipValue()
		}
		if err != nil {
			return badRequest("body: %v", err)
		}
	}
	decoder.ReadToken()
	if _, err := decoder.ReadToken(); err != io.EOF {
		return badRequest("body: not one JSON object")
	}
	if len(s.shards) == 0 || !named {
		return badRequest("body without ranges or predicate")
	}
	// Decoding replaces invalid text: replicas get the text as it arrived or not at all.
	if !utf8.Valid(body) || strings.ContainsRune(text, utf8.RuneError) && !bytes.ContainsRune(body, utf8.RuneError) {
		return badRequest("body is no text")
	}
	s.text = []byte(text)
	sum := 0.0
	for _, weight := range s.weights {
		sum += weight
	}
	if math.Abs(sum-1) > weightTolerance {
		return badRequest("portions add up to %g", sum)
	}
	return nil
}

// readName reads an object's member name. Names that matter here need no allocation.
func readName(decoder *jsontext.Decoder) (string, error) {
	v, err := decoder.ReadValue()
	switch string(v) {
	case `"range"`:
		return "range", nil
	case `"portion"`:
		return "portion", nil
	case `"ranges"`:
		return "ranges", nil
	case `"predicate"`:
		return "predicate", nil
	}
	if err != nil || v.Kind() != '"' {
		return "", errors.Join(err, errors.New("no name"))
	}
	text, err := jsontext.AppendUnquote(nil, v)
	return string(text), err
}

// readRanges reads the list of shards, in the place of one that came before.
func (s *search) readRanges(decoder *jsontext.Decoder, shards int) error {
	s.shards, s.weights = s.shards[:0], s.weights[:0]
	var few [maxInlineBlocks]bool
	seen := few[:]
	if shards > maxInlineBlocks {
		seen = make([]bool, shards)
	}
	decoder.ReadToken()
	for decoder.PeekKind() == '{' {
		shard, weight := math.NaN(), math.NaN()
		decoder.ReadToken()
		for decoder.PeekKind() == '"' {
			name, err := readName(decoder)
			if err != nil {
				return err
			}
			into := (*float64)(nil)
			switch name {
			case "range":
				into = &shard
			case "portion":
				into = &weight
			}
			if into == nil || decoder.PeekKind() != '0' {
				if into != nil {
					*into = math.NaN()
				}
				if err := decoder.SkipValue(); err != nil {
					return err
				}
				continue
			}
			v, err := decoder.ReadToken()
			if err != nil {
				return err
			}
			if *into, err = v.Float(); err != nil {
				return err
			}
		}
		if _, err := decoder.ReadToken(); err != nil {
			return err
		}
		n := int(shard)
		if shard != math.Trunc(shard) || shard < 0 || shard >= float64(shards) || seen[n] {
			return badRequest("range %g", shard)
		}
		if !(weight > 0) || weight > 1+weightTolerance {
			return badRequest("portion %g", weight)
		}
		seen[n] = true
		s.shards, s.weights = append(s.shards, n), append(s.weights, weight)
	}
	if t, err := decoder.ReadToken(); err != nil {
		return err
	} else if t.Kind() != ']' {
		return badRequest("ranges are no objects")
	}
	return nil
}
