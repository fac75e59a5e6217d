// Package query is the OpenSearch-style query language: Parse reads and checks a search, Request.Part is what one
// part of it asks a host, Merger puts the parts' answers together. It has no I/O and no clock. docs/opensearch.md has
// the table of what is done and what is not. What is known and not done is refused by name, what is unknown with its
// line and column; nothing is left out in silence.
package query

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"unicode/utf8"
)

// Bounds of one search. Each is far beyond what member searches need.
const (
	textMost    = 1 << 20 // bytes of a body
	depthMost   = 64      // objects and lists within one another
	nodesMost   = 50_000  // values in a body
	clausesMost = 1024    // clauses of a query: the API's own bound
	termsMost   = 10_000  // values of a terms or ids clause: less than the API's, since each part carries them
	WindowMost  = 10_000  // from and size together: the API's own bound; search_after goes on beyond it
	sortMost    = 8       // sort keys
	aggsMost    = 64      // aggregations
	aggDepth    = 4       // of them within one another
	bucketsMost = 1_000   // buckets of a terms aggregation
	nameMost    = 256     // bytes of a field's or aggregation's name
)

// Error is a refusal in the API's own form.
type Error struct {
	Status    int
	Type      string
	Reason    string
	Line, Col int // 0 where the place says nothing
}

func (e *Error) Error() string {
	if e.Line > 0 {
		return fmt.Sprintf("[%d:%d] %s", e.Line, e.Col, e.Reason)
	}
	return e.Reason
}

// Body is the error as the API answers it.
func (e *Error) Body() []byte {
	cause := map[string]any{"type": e.Type, "reason": e.Reason}
	if e.Line > 0 {
		cause["line"], cause["col"] = e.Line, e.Col
	}
	b, _ := json.Marshal(map[string]any{"error": map[string]any{"root_cause": []any{cause}, "type": e.Type,
		"reason": e.Reason, "line": cause["line"], "col": cause["col"]}, "status": e.Status})
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

var kindWords = map[byte]string{object: "an object", list: "an array", str: "a string", num: "a number",
	truth: "true or false", null: "null"}

// reader makes nodes of a text and faults with their place.
type reader struct {
	src   []byte
	d     *json.Decoder
	count int
}

// fault is a parsing_exception at a place.
func (r *reader) fault(at int, format string, v ...any) *Error {
	before := r.src[:min(at, len(r.src))]
	return &Error{Status: 400, Type: "parsing_exception", Reason: fmt.Sprintf(format, v...),
		Line: 1 + bytes.Count(before, []byte("\n")), Col: len(before) - bytes.LastIndexByte(before, '\n')}
}

func illegal(format string, v ...any) *Error {
	return &Error{Status: 400, Type: "illegal_argument_exception", Reason: fmt.Sprintf(format, v...)}
}

// read makes the tree of a whole body; an empty one is an empty object. Guards against nesting without end, duplicate
// names, broken UTF-8 and what stands behind the end.
func read(text []byte) (*reader, *node, error) {
	r := &reader{src: text}
	if len(text) > textMost {
		return nil, nil, &Error{Status: 413, Type: "illegal_argument_exception",
			Reason: fmt.Sprintf("a body of %d bytes, %d at the most", len(text), textMost)}
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
	r.d = json.NewDecoder(bytes.NewReader(text))
	r.d.UseNumber()
	n, err := r.value(0)
	if err != nil {
		return nil, nil, err
	}
	if _, err := r.d.Token(); err != io.EOF {
		return nil, nil, r.fault(int(r.d.InputOffset()), "something stands behind the end of the body")
	}
	if n.kind != object {
		return nil, nil, r.fault(n.at, "the body is %s, not an object", kindWords[n.kind])
	}
	return r, n, nil
}

// token takes the next one and where it begins.
func (r *reader) token() (json.Token, int, error) {
	at := int(r.d.InputOffset())
	for at < len(r.src) && strings.IndexByte(" \t\r\n,:", r.src[at]) >= 0 {
		at++
	}
	t, err := r.d.Token()
	if err == io.EOF {
		return nil, at, r.fault(len(r.src), "the body ends in the middle")
	}
	if err != nil {
		return nil, at, r.fault(at, "not JSON: %v", err)
	}
	return t, at, nil
}

func (r *reader) value(depth int) (*node, error) {
	t, at, err := r.token()
	if err != nil {
		return nil, err
	}
	return r.build(t, at, depth)
}

func (r *reader) build(t json.Token, at, depth int) (*node, error) {
	if r.count++; r.count > nodesMost {
		return nil, r.fault(at, "over %d values", nodesMost)
	}
	if depth > depthMost {
		return nil, r.fault(at, "nested over %d deep", depthMost)
	}
	n := &node{at: at}
	switch t := t.(type) {
	case nil:
		n.kind = null
	case bool:
		n.kind, n.text = truth, fmt.Sprint(t)
	case json.Number:
		n.kind, n.text = num, t.String()
	case string:
		n.kind, n.text = str, t
	case json.Delim:
		n.kind = byte(t)
		seen := map[string]bool{}
		for r.d.More() {
			if n.kind == object {
				key, at, err := r.token()
				if err != nil {
					return nil, err
				}
				word := key.(string)
				if seen[word] {
					return nil, r.fault(at, "duplicate name %.100q", word)
				}
				seen[word] = true
				n.names = append(n.names, name{word, at})
			}
			v, err := r.value(depth + 1)
			if err != nil {
				return nil, err
			}
			if n.kind == object {
				n.fields = append(n.fields, v)
			} else {
				n.items = append(n.items, v)
			}
		}
		if _, _, err := r.token(); err != nil {
			return nil, err
		}
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
