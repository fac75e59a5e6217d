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

const weightTolerance = 0.01 // by which the sum of weights may differ from 1: the rounding of a hundred shards' weights

const maxBodyDepth = 32 // of lists and objects in each other; the request format has three, and decoding deeper ones takes memory for each

const maxErrorText = 200 // bytes of a decoding error's text, which may quote any part of the body

const maxInlineBlocks = 256 // number of blocks up to which the set of those seen needs no allocation

// bodyReaders are reused from request to request.
var bodyReaders = sync.Pool{New: func() any { return &bodyReader{} }}

// bodyReader decodes one JSON text at a time. If a member name occurs twice, the last one counts, as in the platform's
// own programs.
type bodyReader struct {
	source  bytes.Reader
	decoder jsontext.Decoder
}

// reset prepares the reader for a body.
func (b *bodyReader) reset(body []byte) {
	b.source.Reset(body)
	b.decoder.Reset(&b.source, jsontext.AllowDuplicateNames(true), jsontext.AllowInvalidUTF8(true))
}

// readBody reads the shards, their weights and the text of a search from a request's body.
func (s *search) readBody(body []byte, shards int) error {
	if isDeep(body) {
		return badRequest("body has lists and objects more than %d deep", maxBodyDepth)
	}
	reader := bodyReaders.Get().(*bodyReader)
	defer bodyReaders.Put(reader)
	reader.reset(body)
	maxShards := bytes.Count(body, []byte{'{'})
	s.shards, s.weights = make([]int, 0, maxShards), make([]float64, 0, maxShards)
	text, hasText, err := s.readMembers(&reader.decoder, shards)
	if err != nil {
		return err
	}
	if len(s.shards) == 0 || !hasText {
		return badRequest("body needs ranges, a list with at least one object, and predicate, a string")
	}
	// Decoding replaces invalid UTF-8. Replicas must get the text exactly as it arrived, so such a body is rejected.
	if !utf8.Valid(body) || strings.ContainsRune(text, utf8.RuneError) && !bytes.ContainsRune(body, utf8.RuneError) {
		return badRequest("body is not valid UTF-8")
	}
	s.text = []byte(text)
	sum := 0.0
	for _, weight := range s.weights {
		sum += weight
	}
	if math.Abs(sum-1) > weightTolerance {
		return badRequest("portions add up to %g, want 1", sum)
	}
	return nil
}

// invalidBody returns the error of a body that cannot be decoded.
func invalidBody(err error) error {
	text := err.Error()
	return badRequest("invalid body: %s", strings.ToValidUTF8(text[:min(len(text), maxErrorText)], ""))
}

// isDeep reports whether a JSON text has lists and objects more than maxBodyDepth deep.
func isDeep(body []byte) bool {
	depth, inString := 0, false
	for i := 0; i < len(body); i++ {
		switch c := body[i]; {
		case inString && c == '\\':
			i++
		case c == '"':
			inString = !inString
		case inString:
		case c == '{', c == '[':
			if depth++; depth > maxBodyDepth {
				return true
			}
		case c == '}', c == ']':
			depth--
		}
	}
	return false
}

// readMembers reads the members of the JSON object that a body consists of.
func (s *search) readMembers(decoder *jsontext.Decoder, shards int) (text string, hasText bool, err error) {
	if token, err := decoder.ReadToken(); err != nil || token.Kind() != '{' {
		return "", false, badRequest("body is not exactly one JSON object")
	}
	for decoder.PeekKind() != '}' {
		name, err := readName(decoder)
		if err != nil {
			return "", false, invalidBody(err)
		}
		switch {
		case name == "ranges" && decoder.PeekKind() == '[':
			err = s.readRanges(decoder, shards)
		case name == "ranges":
			s.shards, err = s.shards[:0], decoder.SkipValue()
		case name == "predicate" && decoder.PeekKind() == '"':
			var token jsontext.Token
			if token, err = decoder.ReadToken(); err == nil {
				text, hasText = token.String(), true
			}
		case name == "predicate":
			hasText, err = false, decoder.SkipValue()
		default:
			err = decoder.SkipValue()
		}
		if err != nil {
			return "", false, invalidBody(err)
		}
	}
	if _, err := decoder.ReadToken(); err != nil {
		return "", false, badRequest("body is not exactly one JSON object")
	}
	if _, err := decoder.ReadToken(); !errors.Is(err, io.EOF) {
		return "", false, badRequest("body is not exactly one JSON object")
	}
	return text, hasText, nil
}

// readName reads an object's member name. The names of the request format need no allocation.
func readName(decoder *jsontext.Decoder) (string, error) {
	value, err := decoder.ReadValue()
	switch string(value) {
	case `"range"`:
		return "range", nil
	case `"portion"`:
		return "portion", nil
	case `"ranges"`:
		return "ranges", nil
	case `"predicate"`:
		return "predicate", nil
	}
	if err != nil || value.Kind() != '"' {
		return "", errors.Join(err, errors.New("object has a member name that is not a string"))
	}
	if !bytes.ContainsRune(value, '\\') {
		return "", nil // a name that the request format does not have
	}
	text, err := jsontext.AppendUnquote(nil, value)
	return string(text), err
}

// readRanges reads the list of shards. It replaces an earlier list, since a body may have several members called ranges.
func (s *search) readRanges(decoder *jsontext.Decoder, shards int) error {
	s.shards, s.weights = s.shards[:0], s.weights[:0]
	var few [maxInlineBlocks]bool
	seen := few[:]
	if shards > maxInlineBlocks {
		seen = make([]bool, shards)
	}
	if _, err := decoder.ReadToken(); err != nil {
		return err
	}
	for decoder.PeekKind() == '{' {
		shard, weight, err := readRange(decoder)
		if err != nil {
			return err
		}
		index := int(shard)
		if shard != math.Trunc(shard) || shard < 0 || shard >= float64(shards) || seen[index] {
			return badRequest("range %g is not the number of a block, or occurs twice", shard)
		}
		if !isWeight(weight) {
			return badRequest("portion %g: want a number above 0 and at most 1", weight)
		}
		seen[index] = true
		s.shards, s.weights = append(s.shards, index), append(s.weights, weight)
	}
	if token, err := decoder.ReadToken(); err != nil {
		return err
	} else if token.Kind() != ']' {
		return badRequest("ranges contains a value that is not an object")
	}
	return nil
}

// isWeight reports whether a weight is above 0 and at most 1, within weightTolerance. NaN is not a weight.
func isWeight(weight float64) bool { return weight > 0 && weight <= 1+weightTolerance }

// readRange reads one object of the list of shards. A member that is missing or not a number is returned as NaN.
func readRange(decoder *jsontext.Decoder) (shard, weight float64, err error) {
	shard, weight = math.NaN(), math.NaN()
	if _, err := decoder.ReadToken(); err != nil {
		return 0, 0, err
	}
	for decoder.PeekKind() == '"' {
		name, err := readName(decoder)
		if err != nil {
			return 0, 0, err
		}
		switch name {
		case "range":
			err = readNumber(decoder, &shard)
		case "portion":
			err = readNumber(decoder, &weight)
		default:
			err = decoder.SkipValue()
		}
		if err != nil {
			return 0, 0, err
		}
	}
	_, err = decoder.ReadToken()
	return shard, weight, err
}

// readNumber reads a number. Any other value is skipped and stored as NaN.
func readNumber(decoder *jsontext.Decoder, number *float64) (err error) {
	if decoder.PeekKind() != '0' {
		*number = math.NaN()
		return decoder.SkipValue()
	}
	token, err := decoder.ReadToken()
	if err != nil {
		return err
	}
	*number, err = token.Float()
	return err
}
