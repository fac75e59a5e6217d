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
	textMost        = 1 << 20 // bytes of a body
	depthMost       = 64      // objects and lists within one another
	nodesMost       = 50_000  // values in a body
	clausesMost     = 1024    // clauses of a query: the API's own bound
	termsMost       = 10_000  // values of a terms or ids clause: less than the API's, since each part carries them
	MaxResultWindow = 10_000  // from and size together: the API's own bound; search_after goes on beyond it
	sortMost        = 8       // sort keys
	aggsMost        = 64      // aggregations
	aggDepth        = 4       // of them within one another
	bucketsMost     = 1_000   // buckets of a terms aggregation
	nameMost        = 256     // bytes of a field's or aggregation's name
	nodesRoom       = 16      // values that get room together: a small search's
	fewNames        = 16      // names of an object up to which each is held against each
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
	at     int // bytes before it
	kind   byte
	text   string // of a string or number, or true and false
	names  []name
	fields []*node
	items  []*node
}

type name struct {
	text string
	at   int
}

const (
	object = '{'
	list   = '['
	str    = '"'
	num    = '0'
	truth  = 't'
	null   = 'n'
)

var kindWords = map[byte]string{
	object: "an object", list: "an array", str: "a string", num: "a number",
	truth: "true or false", null: "null",
}

// reader makes nodes of a text and faults with their place.
type reader struct {
	src   []byte
	text  string // the same
	d     *jsontext.Decoder
	count int
	spare []node // room for the next ones
}

// fault is a parsing_exception at a place.
func (r *reader) fault(at int, format string, v ...any) *APIError {
	before := r.src[:min(at, len(r.src))]
	return &APIError{
		Status: 400, Type: "parsing_exception", Reason: fmt.Sprintf(format, v...),
		Line: 1 + bytes.Count(before, []byte("\n")), Column: len(before) - bytes.LastIndexByte(before, '\n'),
	}
}

func illegal(format string, v ...any) *APIError {
	return &APIError{Status: 400, Type: "illegal_argument_exception", Reason: fmt.Sprintf(format, v...)}
}

// read makes the tree of a whole body; an empty one is an empty object. Guards against nesting without end, duplicate
// names, broken UTF-8 and what stands behind the end.
func read(text []byte) (*reader, *node, error) {
	r := &reader{src: text}
	if len(text) > textMost {
		return nil, nil, &APIError{
			Status: 413, Type: "illegal_argument_exception",
			Reason: fmt.Sprintf("a body of %d bytes, %d at the most", len(text), textMost),
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
		return nil, nil, r.fault(at, "the body is no UTF-8")
	}
	if len(bytes.TrimSpace(text)) == 0 {
		return r, &node{kind: object}, nil
	}
	b := bodies.Get().(*bodyReader)
	defer b.release()
	b.src = *bytes.NewBuffer(text)
	b.d.Reset(&b.src, jsontext.AllowDuplicateNames(true)) // they are found here, with their place
	r.d, r.text = &b.d, string(text)
	n, err := r.value(0)
	if err != nil {
		return nil, nil, err
	}
	if _, err := r.d.ReadToken(); err != io.EOF {
		return nil, nil, r.fault(int(r.d.InputOffset()), "something stands behind the end of the body")
	}
	if n.kind != object {
		return nil, nil, r.fault(n.at, "the body is %s, not an object", kindWords[n.kind])
	}
	return r, n, nil
}

// bodies are readers of bodies, kept for the next.
var bodies = sync.Pool{New: func() any { return &bodyReader{} }}

type bodyReader struct {
	src bytes.Buffer
	d   jsontext.Decoder
}

func (b *bodyReader) release() {
	b.src = bytes.Buffer{}
	b.d.Reset(&b.src)
	bodies.Put(b)
}

// next is where the next token begins.
func (r *reader) next() int {
	at := int(r.d.InputOffset())
	for at < len(r.src) && strings.IndexByte(" \t\r\n,:", r.src[at]) >= 0 {
		at++
	}
	return at
}

func (r *reader) failed(err error, at int) error {
	if err == io.EOF || errors.Is(err, io.ErrUnexpectedEOF) {
		return r.fault(len(r.src), "the body ends in the middle")
	}
	return r.fault(at, "not JSON: %v", err)
}

// plainText is a string, number or truth that was just read, a string without its quotes. What has nothing escaped lies
// in the body.
func (r *reader) plainText(v jsontext.Value) (string, error) {
	end := int(r.d.InputOffset())
	switch {
	case v.Kind() != str:
		return r.text[end-len(v) : end], nil
	case bytes.IndexByte(v, '\\') < 0:
		return r.text[end-len(v)+1 : end-1], nil
	}
	b, err := jsontext.AppendUnquote(nil, v)
	return string(b), err
}

// value reads the next value whole.
func (r *reader) value(depth int) (*node, error) {
	at := r.next()
	kind := byte(r.d.PeekKind())
	if kind == 'f' {
		kind = truth
	}
	if r.count++; r.count > nodesMost {
		return nil, r.fault(at, "over %d values", nodesMost)
	}
	if depth > depthMost {
		return nil, r.fault(at, "nested over %d deep", depthMost)
	}
	if len(r.spare) == 0 {
		r.spare = make([]node, nodesRoom)
	}
	n := &r.spare[0]
	r.spare = r.spare[1:]
	n.at, n.kind = at, kind
	if kind != object && kind != list {
		v, err := r.d.ReadValue()
		if err == nil && kind != null {
			n.text, err = r.plainText(v)
		}
		if err != nil {
			return nil, r.failed(err, at)
		}
		return n, nil
	}
	if _, err := r.d.ReadToken(); err != nil {
		return nil, r.failed(err, at)
	}
	seen := map[string]bool(nil)
	for r.d.PeekKind() != '}' && r.d.PeekKind() != ']' {
		if kind == object {
			at := r.next()
			v, err := r.d.ReadValue()
			if err != nil {
				return nil, r.failed(err, at)
			}
			word, err := r.plainText(v)
			if err != nil {
				return nil, r.failed(err, at)
			}
			if len(n.names) == fewNames { // more are looked up: guards against time that goes with their square
				seen = make(map[string]bool, 2*fewNames)
				for _, one := range n.names {
					seen[one.text] = true
				}
			}
			if seen == nil && n.get(word) != nil || seen[word] {
				return nil, r.fault(at, "duplicate name %.100q", word)
			}
			if n.names = append(n.names, name{word, at}); seen != nil {
				seen[word] = true
			}
		}
		v, err := r.value(depth + 1)
		if err != nil {
			return nil, err
		}
		if kind == object {
			n.fields = append(n.fields, v)
		} else {
			n.items = append(n.items, v)
		}
	}
	if _, err := r.d.ReadToken(); err != nil {
		return nil, r.failed(err, r.next())
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

// raw is a plain value as any: string, json.Number, bool or nil.
func (n *node) raw() any {
	switch n.kind {
	case str:
		return n.text
	case num:
		return json.Number(n.text)
	case truth:
		return n.text == "true"
	}
	return nil
}

func (r *reader) want(n *node, kind byte, what string) error {
	if n.kind != kind {
		return r.fault(n.at, "[%s] is %s where %s is wanted", what, kindWords[n.kind], kindWords[kind])
	}
	return nil
}

// plain is a string, number or truth.
func (r *reader) plain(n *node, what string) (any, error) {
	if n.kind == object || n.kind == list || n.kind == null {
		return nil, r.fault(n.at, "[%s] is %s where a plain value is wanted", what, kindWords[n.kind])
	}
	return n.raw(), nil
}

func (r *reader) whole(n *node, what string, least, most int) (int, error) {
	v, err := json.Number(n.text).Int64()
	if n.kind != num || err != nil {
		return 0, r.fault(n.at, "[%s] is no whole number", what)
	}
	if v < int64(least) || v > int64(most) {
		return 0, r.fault(n.at, "[%s] is %d, not from %d to %d", what, v, least, most)
	}
	return int(v), nil
}

func (r *reader) number(n *node, what string) (float64, error) {
	v, err := json.Number(n.text).Float64()
	if n.kind != num || err != nil {
		return 0, r.fault(n.at, "[%s] is no number", what)
	}
	return v, nil
}
