// Package query implements the OpenSearch-style query language: ParseRequest reads and checks a search,
// Request.ShardRequestBody returns the request that is sent to a host for one shard, and Request.MergeResponses merges the
// shards' responses. The package does no I/O and has no clock. docs/opensearch.md has the table of supported and
// unsupported features. An unsupported feature is rejected by name, an unknown one with its line and column; nothing is
// ignored silently.
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

// Limits of one search. Each is far above what an ordinary search needs.
const (
	maxBodyBytes       = 1 << 20 // bytes of a body
	maxDepth           = 64      // nesting levels of objects and arrays
	maxNodes           = 50_000  // values in a body
	maxClauses         = 1024    // clauses of a query: the API's own limit
	maxTerms           = 10_000  // values of a terms or ids clause: less than the API's, since each shard request carries them
	MaxResultWindow    = 10_000  // from and size together: the API's own limit; search_after continues beyond it
	maxSortKeys        = 8       // sort keys
	maxAggs            = 64      // aggregations
	maxAggDepth        = 4       // nesting levels of aggregations
	maxBuckets         = 1_000   // buckets of a terms aggregation
	maxNameBytes       = 256     // bytes of a field's or aggregation's name
	nodesPerAllocation = 16      // nodes that are allocated together: enough for a small search
	maxPairwiseNames   = 16      // names of an object whose duplicates are found by comparing all pairs; with more names, by a map
)

// APIError is the error of a rejected request in the API's own form.
type APIError struct {
	Status       int
	Type         string
	Reason       string
	Line, Column int // 0 if the error has no position
}

func (e *APIError) Error() string {
	if e.Line > 0 {
		return fmt.Sprintf("[%d:%d] %s", e.Line, e.Column, e.Reason)
	}
	return e.Reason
}

// ResponseBody returns the error as a response body of the API.
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

// node is one value of a request body with its position.
type node struct {
	offset int // of the value in the body, in bytes
	kind   byte
	text   string      // of a string, number or boolean
	names  []fieldName // of an object
	fields []*node     // of an object: the values, in the order of names
	items  []*node     // of an array
}

type fieldName struct {
	text   string
	offset int
}

const (
	kindObject = '{'
	kindArray  = '['
	kindString = '"'
	kindNumber = '0'
	kindBool   = 't'
	kindNull   = 'n'
)

var kindNames = map[byte]string{
	kindObject: "an object", kindArray: "an array", kindString: "a string", kindNumber: "a number",
	kindBool: "true or false", kindNull: "null",
}

// parser reads a request body into nodes and checks them. Its errors have the position of the fault.
type parser struct {
	src        []byte
	text       string // src as a string
	d          *jsontext.Decoder
	nodeCount  int
	spareNodes []node // allocated and not yet used
}

// parsingError returns a parsing_exception with the line and column of a byte offset.
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

// readTree returns the tree of a whole body; an empty body is an empty object. It rejects nesting deeper
// than maxDepth, duplicate names, invalid UTF-8 and data after the end.
func readTree(text []byte) (*parser, *node, error) {
	r := &parser{src: text}
	if len(text) > maxBodyBytes {
		return nil, nil, &APIError{
			Status: 413, Type: "illegal_argument_exception",
			Reason: fmt.Sprintf("the body is %d bytes, the maximum is %d", len(text), maxBodyBytes),
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
		return nil, nil, r.parsingError(at, "the body is not valid UTF-8")
	}
	if len(bytes.TrimSpace(text)) == 0 {
		return r, &node{kind: kindObject}, nil
	}
	b := decoders.Get().(*pooledDecoder)
	defer b.release()
	b.src = *bytes.NewBuffer(text)
	b.d.Reset(&b.src, jsontext.AllowDuplicateNames(true)) // readNode finds duplicates itself, with their position
	r.d, r.text = &b.d, string(text)
	n, err := r.readNode(0)
	if err != nil {
		return nil, nil, err
	}
	if _, err := r.d.ReadToken(); err != io.EOF {
		return nil, nil, r.parsingError(int(r.d.InputOffset()), "unexpected data after the end of the body")
	}
	if n.kind != kindObject {
		return nil, nil, r.parsingError(n.offset, "the body is %s, expected an object", kindNames[n.kind])
	}
	return r, n, nil
}

// decoders pools decoders of request bodies for reuse.
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

// nextOffset returns the offset at which the next token begins.
func (r *parser) nextOffset() int {
	at := int(r.d.InputOffset())
	for at < len(r.src) && strings.IndexByte(" \t\r\n,:", r.src[at]) >= 0 {
		at++
	}
	return at
}

func (r *parser) syntaxError(err error, at int) error {
	if err == io.EOF || errors.Is(err, io.ErrUnexpectedEOF) {
		return r.parsingError(len(r.src), "unexpected end of the body")
	}
	return r.parsingError(at, "invalid JSON: %v", err)
}

// scalarText returns the text of a string, number or boolean that was just read, a string without its quotes. A value
// without escapes is a substring of r.text.
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

// readNode reads the next value with everything in it.
func (r *parser) readNode(depth int) (*node, error) {
	at := r.nextOffset()
	kind := byte(r.d.PeekKind())
	if kind == 'f' {
		kind = kindBool
	}
	if r.nodeCount++; r.nodeCount > maxNodes {
		return nil, r.parsingError(at, "the body has more than %d values", maxNodes)
	}
	if depth > maxDepth {
		return nil, r.parsingError(at, "the body is nested more than %d levels deep", maxDepth)
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
			name, err := r.scalarText(v)
			if err != nil {
				return nil, r.syntaxError(err, at)
			}
			if len(n.names) == maxPairwiseNames { // from here on a map: comparing all pairs takes quadratic time
				seen = make(map[string]bool, 2*maxPairwiseNames)
				for _, one := range n.names {
					seen[one.text] = true
				}
			}
			if seen == nil && n.get(name) != nil || seen[name] {
				return nil, r.parsingError(at, "duplicate name %.100q", name)
			}
			if n.names = append(n.names, fieldName{name, at}); seen != nil {
				seen[name] = true
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

// get returns the value of an object's field, nil if the object doesn't have the field.
func (n *node) get(name string) *node {
	for i := range n.names {
		if n.names[i].text == name {
			return n.fields[i]
		}
	}
	return nil
}

// scalar returns a plain value as any: string, json.Number, bool or nil.
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
		return r.parsingError(n.offset, "[%s] is %s, expected %s", what, kindNames[n.kind], kindNames[kind])
	}
	return nil
}

// scalar returns the value of a string, number or boolean; other kinds are errors.
func (r *parser) scalar(n *node, what string) (any, error) {
	if n.kind == kindObject || n.kind == kindArray || n.kind == kindNull {
		return nil, r.parsingError(n.offset, "[%s] is %s, expected a plain value", what, kindNames[n.kind])
	}
	return n.scalar(), nil
}

func (r *parser) integer(n *node, what string, least, most int) (int, error) {
	v, err := json.Number(n.text).Int64()
	if n.kind != kindNumber || err != nil {
		return 0, r.parsingError(n.offset, "[%s] is not a whole number", what)
	}
	if v < int64(least) || v > int64(most) {
		return 0, r.parsingError(n.offset, "[%s] is %d, expected a number from %d to %d", what, v, least, most)
	}
	return int(v), nil
}

func (r *parser) number(n *node, what string) (float64, error) {
	v, err := json.Number(n.text).Float64()
	if n.kind != kindNumber || err != nil {
		return 0, r.parsingError(n.offset, "[%s] is not a number", what)
	}
	return v, nil
}
