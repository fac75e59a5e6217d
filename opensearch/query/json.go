// Package query is the OpenSearch-style query language: Parse reads and checks a search, Request.Part is what one
// part of it asks a host, Merger puts the parts' answers together. It has no I/O and no clock. docs/opensearch.md has
// the table of what is done and what is not. What is known and not done is refused by name, what is unknown with its
// line and column; nothing is left out in silence.
package query

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"sync"
	"unicode/utf8"

	"github.com/go-json-experiment/json/jsontext"
)

// Bounds of one search. Each is far beyond what member searches need.
const (
	maxBodyBytes        = 1 << 20 // bytes of a body
	maxDepth       = 64      // objects and lists within one another
	maxNodes       = 50_000  // values in a body
	maxClauses     = 1024    // clauses of a query: the API's own bound
	maxTerms       = 10_000  // values of a terms or ids clause: less than the API's, since each part carries them
	MaxResultWindow = 10_000  // from and size together: the API's own bound; search_after goes on beyond it
	maxSortKeys        = 8       // sort keys
	maxAggs        = 64      // aggregations
	maxAggDepth        = 4       // of them within one another
	maxBuckets     = 1_000   // buckets of a terms aggregation
	maxNameBytes        = 256     // bytes of a field's or aggregation's name
	nodesPerAllocation       = 16      // values that get room together: a small search's
	maxPairwiseNames        = 16      // names of an object up to which each is held against each
)

// APIError is a refusal in the API's own form.
type APIError struct {
	Status       int
	Type         string
	Reason       string
	Line, Column int // 0 where the place says nothing
}

func (e *APIError) Error() string {
	if e.Line > 0 {
		return fmt.Sprintf("[%d:%d] %s", e.Line, e.Column, e.Reason)
	}
	return e.Reason
}

// ResponseBody is the error as the API answers it.
func (e *APIError) ResponseBody() []byte {
	cause := map[string]any{"type": e.Type, "reason": e.Reason}
	if e.Line > 0 {
		cause["line"], cause["col"] = e.Line, e.Column
	}
	b, _ := json.Marshal(map[string]any{"error": map[string]any{
		"root_cause": []any{cause}, "type": e.Type,
		"reason": e.Reason, "line": cause["line"], "col": cause["col"],
	}, "status": e.Status})
	return b
}

// node is one value of a body with its place.
type node struct {
	offset     int // bytes before it
	kind   byte
	text   string // of a string or number, or true and false
	names  []fieldName
	fields []*node
	items  []*node
}

type fieldName struct {
	text string
	offset   int
}

const (
	kindObject = '{'
	kindArray   = '['
	kindString    = '"'
	kindNumber    = '0'
	kindBool  = 't'
	kindNull   = 'n'
)

var kindNames = map[byte]string{
	kindObject: "an object", kindArray: "an array", kindString: "a string", kindNumber: "a number",
	kindBool: "true or false", kindNull: "null",
}

// parser makes nodes of a text and faults with their place.
type parser struct {
	src   []byte
	text  string // the same
	d     *jsontext.Decoder
	nodeCount int
	spareNodes []node // room for the next ones
}

// parsingError is a parsing_exception at a place.
func (r *parser) parsingError(at int, format string, v ...any) *APIError {
	before := r.src[:min(at, len(r.src))]
	return &APIError{
		Status: 400, Type: "parsing_exception", Reason: fmt.Sprintf(format, v...),
		Line: 1 + bytes.Count(before, []byte("\n")), Column: len(before) - bytes.LastIndexByte(before, '\n'),
	}
}

func illegalArgument(format string, v ...any) *APIError {
	return &APIError{Status: 400, Type: "illegal_argument_exception", Reason: fmt.Sprintf(format, v...)}
}

// readTree makes the tree of a whole body; an empty one is an empty object. Guards against nesting without end, duplicate
// names, broken UTF-8 and what stands behind the end.
func readTree(text []byte) (*parser, *node, error) {
	r := &parser{src: text}
	if len(text) > maxBodyBytes {
		return nil, nil, &APIError{
			Status: 413, Type: "illegal_argument_exception",
			Reason: fmt.Sprintf("a body of %d bytes, %d at the most", len(text), maxBodyBytes),
		}
	}
	if !utf8.Valid(text) {
		at := 0
		for at < len(text) {
			c, n := utf8.DecodeRune(text[at:])
			if c == utf8.RuneError && n == 1 {
				break
			}
			at += n
		}
		return nil, nil, r.parsingError(at, "the body is no UTF-8")
	}
	if len(bytes.TrimSpace(text)) == 0 {
		return r, &node{kind: kindObject}, nil
	}
	b := decoders.Get().(*pooledDecoder)
	defer b.release()
	b.src = *bytes.NewBuffer(text)
	b.d.Reset(&b.src, jsontext.AllowDuplicateNames(true)) // they are found here, with their place
	r.d, r.text = &b.d, string(text)
	n, err := r.readNode(0)
	if err != nil {
		return nil, nil, err
	}
	if _, err := r.d.ReadToken(); err != io.EOF {
		return nil, nil, r.parsingError(int(r.d.InputOffset()), "something stands behind the end of the body")
	}
	if n.kind != kindObject {
		return nil, nil, r.parsingError(n.offset, "the body is %s, not an object", kindNames[n.kind])
	}
	return r, n, nil
}

// decoders are readers of decoders, kept for the next.
var decoders = sync.Pool{New: func() any { return &pooledDecoder{} }}

type pooledDecoder struct {
	src bytes.Buffer
	d   jsontext.Decoder
}

func (b *pooledDecoder) release() {
	b.src = bytes.Buffer{}
	b.d.Reset(&b.src)
	decoders.Put(b)
}

// nextOffset is where the nextOffset token begins.
func (r *parser) nextOffset() int {
	at := int(r.d.InputOffset())
	for at < len(r.src) && strings.IndexByte(" \t\r\n,:", r.src[at]) >= 0 {
		at++
	}
	return at
}

func (r *parser) syntaxError(err error, at int) error {
	if err == io.EOF || errors.Is(err, io.ErrUnexpectedEOF) {
		return r.parsingError(len(r.src), "the body ends in the middle")
	}
	return r.parsingError(at, "not JSON: %v", err)
}

// scalarText is a string, number or truth that was just read, a string without its quotes. What has nothing escaped lies
// in the body.
func (r *parser) scalarText(v jsontext.Value) (string, error) {
	end := int(r.d.InputOffset())
	switch {
	case v.Kind() != kindString:
		return r.text[end-len(v) : end], nil
	case bytes.IndexByte(v, '\\') < 0:
		return r.text[end-len(v)+1 : end-1], nil
	}
	b, err := jsontext.AppendUnquote(nil, v)
	return string(b), err
}

// readNode reads the next readNode whole.
func (r *parser) readNode(depth int) (*node, error) {
	at := r.nextOffset()
	kind := byte(r.d.PeekKind())
	if kind == 'f' {
		kind = kindBool
	}
	if r.nodeCount++; r.nodeCount > maxNodes {
		return nil, r.parsingError(at, "over %d values", maxNodes)
	}
	if depth > maxDepth {
		return nil, r.parsingError(at, "nested over %d deep", maxDepth)
	}
	if len(r.spareNodes) == 0 {
		r.spareNodes = make([]node, nodesPerAllocation)
	}
	n := &r.spareNodes[0]
	r.spareNodes = r.spareNodes[1:]
	n.offset, n.kind = at, kind
	if kind != kindObject && kind != kindArray {
		v, err := r.d.ReadValue()
		if err == nil && kind != kindNull {
			n.text, err = r.scalarText(v)
		}
		if err != nil {
			return nil, r.syntaxError(err, at)
		}
		return n, nil
	}
	if _, err := r.d.ReadToken(); err != nil {
		return nil, r.syntaxError(err, at)
	}
	seen := map[string]bool(nil)
	for r.d.PeekKind() != '}' && r.d.PeekKind() != ']' {
		if kind == kindObject {
			at := r.nextOffset()
			v, err := r.d.ReadValue()
			if err != nil {
				return nil, r.syntaxError(err, at)
			}
			word, err := r.scalarText(v)
			if err != nil {
				return nil, r.syntaxError(err, at)
			}
			if len(n.names) == maxPairwiseNames { // more are looked up: guards against time that goes with their square
				seen = make(map[string]bool, 2*maxPairwiseNames)
				for _, one := range n.names {
					seen[one.text] = true
				}
			}
			if seen == nil && n.get(word) != nil || seen[word] {
				return nil, r.parsingError(at, "duplicate name %.100q", word)
			}
			if n.names = append(n.names, fieldName{word, at}); seen != nil {
				seen[word] = true
			}
		}
		v, err := r.readNode(depth + 1)
		if err != nil {
			return nil, err
		}
		if kind == kindObject {
			n.fields = append(n.fields, v)
		} else {
			n.items = append(n.items, v)
		}
	}
	if _, err := r.d.ReadToken(); err != nil {
		return nil, r.syntaxError(err, r.nextOffset())
	}
	return n, nil
}

// get is a field of an object, nil where there is none.
func (n *node) get(word string) *node {
	for i := range n.names {
		if n.names[i].text == word {
			return n.fields[i]
		}
	}
	return nil
}

// scalar is a plain value as any: string, json.Number, bool or nil.
func (n *node) scalar() any {
	switch n.kind {
	case kindString:
		return n.text
	case kindNumber:
		return json.Number(n.text)
	case kindBool:
		return n.text == "true"
	}
	return nil
}

func (r *parser) requireKind(n *node, kind byte, what string) error {
	if n.kind != kind {
		return r.parsingError(n.offset, "[%s] is %s where %s is wanted", what, kindNames[n.kind], kindNames[kind])
	}
	return nil
}

// scalar is a string, number or truth.
func (r *parser) scalar(n *node, what string) (any, error) {
	if n.kind == kindObject || n.kind == kindArray || n.kind == kindNull {
		return nil, r.parsingError(n.offset, "[%s] is %s where a plain value is wanted", what, kindNames[n.kind])
	}
	return n.scalar(), nil
}

func (r *parser) integer(n *node, what string, least, most int) (int, error) {
	v, err := json.Number(n.text).Int64()
	if n.kind != kindNumber || err != nil {
		return 0, r.parsingError(n.offset, "[%s] is no whole number", what)
	}
	if v < int64(least) || v > int64(most) {
		return 0, r.parsingError(n.offset, "[%s] is %d, not from %d to %d", what, v, least, most)
	}
	return int(v), nil
}

func (r *parser) number(n *node, what string) (float64, error) {
	v, err := json.Number(n.text).Float64()
	if n.kind != kindNumber || err != nil {
		return 0, r.parsingError(n.offset, "[%s] is no number", what)
	}
	return v, nil
}
