// Package http1 reads and writes HTTP/1.1 messages. It knows no sockets and decides nothing.
package http1

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
)

const (
	headMost = 8 << 10  // bytes of a start line with its fields, and of trailers: what servers commonly take
	bodyMost = 64 << 10 // bytes of a body: the protocol's limit
)

// InvalidMessageError is a message that cannot be used; Status is what its sender is told.
type InvalidMessageError struct {
	Status  int
	Message string
}

func (f InvalidMessageError) Error() string { return f.Message }

func fault(status int, format string, v ...any) error {
	return InvalidMessageError{status, fmt.Sprintf(format, v...)}
}

// ErrBufferFull is a buffer with no room to read on.
var ErrBufferFull = errors.New("the buffer is full")

// Reader takes messages off a stream, which may be split at any byte.
type Reader struct {
	src  io.Reader
	buf  []byte // as lent to NewReader
	r, w int    // what is read and not used
	left int    // bytes that the present head may still have

	head string            // what is left of a head that has come whole
	met  map[string]string // the fields of the last head
}

// NewReader reads by way of buf, which no one else may use meanwhile; it has to hold a head.
func NewReader(src io.Reader, buf []byte) *Reader { return &Reader{src: src, buf: buf} }

// AwaitMessage returns once the first byte of the next message is there; empty lines before it are passed over.
func (r *Reader) AwaitMessage() error {
	for {
		for ; r.r < r.w; r.r++ {
			if b := r.buf[r.r]; b != '\r' && b != '\n' {
				return nil
			}
		}
		if err := r.fill(); err != nil {
			return err
		}
	}
}

// ReadAhead reads on behind what is there while no message is being taken, so that an end is seen; ErrBufferFull once there is no
// room for more.
func (r *Reader) ReadAhead() error {
	if r.r == 0 && r.w == len(r.buf) {
		return ErrBufferFull
	}
	return r.fill()
}

// ReadAvailable reads by a read that does not wait what has come behind the message that was taken last, which still holds.
func (r *Reader) ReadAvailable(read func(p []byte) (int, error)) error {
	for r.w < len(r.buf) {
		n, err := read(r.buf[r.w:])
		if r.w += max(n, 0); err != nil {
			return err
		}
	}
	return ErrBufferFull
}

func (r *Reader) fill() error {
	if r.r == r.w {
		r.r, r.w = 0, 0
	} else if r.w == len(r.buf) {
		r.w, r.r = copy(r.buf, r.buf[r.r:r.w]), 0
	}
	n, err := r.src.Read(r.buf[r.w:])
	if r.w += n; n > 0 {
		return nil
	}
	if err == nil {
		err = io.ErrNoProgress
	}
	return err
}

func inside(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

// line takes one line of a head, its end cut off.
func (r *Reader) line() (string, error) {
	if i := strings.IndexByte(r.head, '\n'); i >= 0 {
		text := r.head[:i]
		r.head, r.r = r.head[i+1:], r.r+i+1
		if r.left -= i + 1; r.left < 0 {
			return "", fault(431, "head over %d bytes", headMost)
		}
		return strings.TrimSuffix(text, "\r"), nil
	}
	for seen := 0; ; {
		if i := bytes.IndexByte(r.buf[r.r+seen:r.w], '\n'); i >= 0 {
			text := r.buf[r.r : r.r+seen+i]
			r.r += seen + i + 1
			if r.left -= len(text) + 1; r.left < 0 {
				return "", fault(431, "head over %d bytes", headMost)
			}
			return string(bytes.TrimSuffix(text, []byte("\r"))), nil
		}
		if seen = r.w - r.r; seen > r.left || seen == len(r.buf) {
			return "", fault(431, "head over %d bytes", headMost)
		}
		if err := r.fill(); err != nil {
			return "", inside(err)
		}
	}
}

// whole takes a head that has come whole as one text, which its lines and fields are then parts of.
func (r *Reader) whole() {
	r.head = ""
	if i := bytes.Index(r.buf[r.r:r.w], []byte("\r\n\r\n")); i >= 0 {
		r.head = string(r.buf[r.r : r.r+i+4])
	}
}

// token tells whether text is a name as HTTP has them.
func token(text string) bool {
	for i := 0; i < len(text); i++ {
		c := text[i]
		if !('a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9' ||
			strings.IndexByte("!#$%&'*+-.^_`|~", c) >= 0) {
			return false
		}
	}
	return text != ""
}

// fields takes header lines up to the empty one. Names are in small letters, repeats joined by commas.
func (r *Reader) fields() (map[string]string, error) {
	if r.met == nil {
		r.met = map[string]string{}
	}
	m := r.met
	clear(m)
	for {
		text, err := r.line()
		if err != nil {
			return nil, err
		}
		if text == "" {
			r.head = ""
			return m, nil
		}
		name, value, ok := strings.Cut(text, ":")
		if !ok || !token(name) {
			return nil, fault(400, "header line %.40q", text)
		}
		name, value = small(name), strings.Trim(value, " \t")
		for i := 0; i < len(value); i++ {
			if c := value[i]; c < ' ' && c != '\t' || c == 127 {
				return nil, fault(400, "header %s holds a control character", name)
			}
		}
		if old, twice := m[name]; twice {
			value = old + "," + value
		}
		m[name] = value
	}
}

// usual are the names of fields that clients and discovery send, as they mostly write them.
var usual = map[string]string{
	"Host": "host", "X-Request-Id": "x-request-id", "X-Class": "x-class", "X-Tenant": "x-tenant",
	"X-Deadline": "x-deadline", "X-Retry": "x-retry", "Content-Length": "content-length", "Content-Type": "content-type",
	"Connection": "connection",
}

func small(name string) string {
	if known, ok := usual[name]; ok {
		return known
	}
	return strings.ToLower(name)
}

// ReadRequest takes one request. Keep tells whether its sender keeps the connection. Head and body hold until the next
// call.
func (r *Reader) ReadRequest() (method, target string, head map[string]string, body []byte, keep bool, err error) {
	r.left = headMost
	r.whole()
	start := ""
	for start == "" { // empty lines before a request are to be passed over
		if start, err = r.line(); err != nil {
			return
		}
	}
	one, more, _ := strings.Cut(start, " ")
	two, version, _ := strings.Cut(more, " ")
	if !token(one) || two == "" || !strings.HasPrefix(version, "HTTP/") || strings.Contains(version, " ") {
		err = fault(400, "request line %.40q", start)
		return
	}
	if version != "HTTP/1.1" && version != "HTTP/1.0" {
		err = fault(505, "version %.20q", version)
		return
	}
	method, target = one, two
	if head, err = r.fields(); err != nil {
		return
	}
	if _, ok := head["host"]; !ok && version == "HTTP/1.1" {
		err = fault(400, "no Host")
		return
	}
	keep = keeps(version, head)
	_, long := head["content-length"]
	_, coded := head["transfer-encoding"]
	if long || coded {
		body, err = r.body(head)
	} else if method == "POST" {
		err = fault(411, "a body has a length or comes in chunks")
	}
	return
}

// ReadResponse takes one response to a request other than HEAD. Head and body hold until the next call.
func (r *Reader) ReadResponse() (status int, head map[string]string, body []byte, keep bool, err error) {
	r.left = headMost
	r.whole()
	start, err := r.line()
	if err != nil {
		return
	}
	version, rest, _ := strings.Cut(start, " ")
	code, _, _ := strings.Cut(rest, " ")
	if status, err = strconv.Atoi(code); err != nil || len(code) != 3 || !strings.HasPrefix(version, "HTTP/1.") {
		return 0, nil, nil, false, fault(502, "status line %.40q", start)
	}
	if head, err = r.fields(); err != nil {
		return
	}
	keep = keeps(version, head)
	_, long := head["content-length"]
	_, coded := head["transfer-encoding"]
	switch {
	case status < 200 || status == 204 || status == 304:
	case long || coded:
		body, err = r.body(head)
	default:
		keep = false
		body, err = r.take(nil, -1)
	}
	return
}

func keeps(version string, head map[string]string) bool {
	if head["connection"] == "" {
		return version == "HTTP/1.1"
	}
	for _, word := range strings.Split(head["connection"], ",") {
		switch strings.ToLower(strings.TrimSpace(word)) {
		case "close":
			return false
		case "keep-alive":
			return true
		}
	}
	return version == "HTTP/1.1"
}

func (r *Reader) body(head map[string]string) ([]byte, error) {
	length, long := head["content-length"]
	coding, coded := head["transfer-encoding"]
	if long && coded {
		return nil, fault(400, "both a length and a transfer coding")
	}
	if coded {
		if !strings.EqualFold(coding, "chunked") {
			return nil, fault(501, "transfer coding %.20q", coding)
		}
		return r.chunks()
	}
	n, err := number(length, 10)
	if err != nil {
		return nil, err
	}
	return r.take(nil, n)
}

// number reads a length; signs and spaces, which strconv would take in part, are none.
func number(text string, base int) (int, error) {
	n, err := strconv.ParseUint(text, base, 62)
	if err != nil || text[0] == '+' {
		if e, ok := err.(*strconv.NumError); !ok || e.Err != strconv.ErrRange {
			return 0, fault(400, "length %.20q", text)
		}
	}
	if n > bodyMost {
		return 0, fault(413, "body over %d bytes", bodyMost)
	}
	return int(n), nil
}

// take appends n bytes to body, or all up to the end where n is below 0. Room grows with what has come; what has come
// whole is not copied.
func (r *Reader) take(body []byte, n int) ([]byte, error) {
	if body == nil && n > 0 && r.w-r.r >= n && n <= bodyMost {
		r.r += n
		return r.buf[r.r-n : r.r : r.r], nil
	}
	for n != 0 {
		if r.r == r.w {
			if err := r.fill(); err == io.EOF && n < 0 {
				return body, nil
			} else if err != nil {
				return nil, inside(err)
			}
		}
		more := r.buf[r.r:r.w]
		if n >= 0 {
			more = more[:min(n, len(more))]
			n -= len(more)
		}
		if r.r += len(more); len(body)+len(more) > bodyMost {
			return nil, fault(413, "body over %d bytes", bodyMost)
		}
		body = append(body, more...)
	}
	return body, nil
}

// chunks takes a body in chunks. It has room of its own from the start: reading on behind a chunk may move what the
// buffer holds, or write over it.
func (r *Reader) chunks() (body []byte, err error) {
	for body = []byte{}; ; {
		r.left = headMost
		text, err := r.line()
		if err != nil {
			return nil, err
		}
		size, _, _ := strings.Cut(text, ";")
		n, err := number(strings.TrimRight(size, " \t"), 16)
		if err != nil {
			return nil, err
		}
		if n == 0 {
			head := r.met // trailers say nothing here, and take nothing of it
			r.met = nil
			_, err = r.fields()
			r.met = head
			return body, err
		}
		if body, err = r.take(body, n); err != nil {
			return nil, err
		}
		if text, err = r.line(); err != nil || text != "" {
			if err == nil {
				err = fault(400, "a chunk longer than it says")
			}
			return nil, err
		}
	}
}

var reasons = map[int]string{
	200: "OK", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed",
	408: "Request Timeout", 409: "Conflict", 411: "Length Required", 413: "Content Too Large",
	431: "Request Header Fields Too Large", 451: "Unavailable For Legal Reasons", 500: "Internal Server Error", 501: "Not Implemented",
	503: "Service Unavailable", 505: "HTTP Version Not Supported",
}

// AppendResponse adds a response with a JSON body and one more header line, if not empty.
func AppendResponse(dst []byte, status int, extra string, body []byte, keep bool) []byte {
	return append(AppendResponseHead(dst, status, extra, len(body), keep), body...)
}

// AppendResponseHead adds the head of a response whose JSON body of so many bytes is to follow.
func AppendResponseHead(dst []byte, status int, extra string, length int, keep bool) []byte {
	dst = append(strconv.AppendInt(append(dst, "HTTP/1.1 "...), int64(status), 10), ' ')
	dst = append(append(dst, reasons[status]...), "\r\nContent-Type: application/json\r\nContent-Length: "...)
	dst = append(strconv.AppendInt(dst, int64(length), 10), "\r\n"...)
	if extra != "" {
		dst = append(append(dst, extra...), "\r\n"...)
	}
	if !keep {
		dst = append(dst, "Connection: close\r\n"...)
	}
	return append(dst, "\r\n"...)
}

// AppendGetRequest adds a request for target.
func AppendGetRequest(dst []byte, target, host string) []byte {
	return fmt.Appendf(dst, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", target, host)
}
