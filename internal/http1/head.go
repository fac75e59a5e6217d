package http1

import (
	"bytes"
	"strings"
)

// maxHeadBytes is the maximum length of a head, which is a start line and its header fields. It also limits a chunk's
// size line and the trailers of a body. Servers commonly accept heads of this length.
const maxHeadBytes = 8 << 10

// maxHeadFields is the maximum number of header lines of a head, and of trailers. Without it, a head of very short fields
// would take many times its length in memory.
const maxHeadFields = 100

// maxKeptFields is the number of header lines up to which the map of a head is reused for the next one.
const maxKeptFields = 32

// Names of the header fields that this package interprets, in lower case like the keys of the field maps.
const (
	fieldHost             = "host"
	fieldConnection       = "connection"
	fieldContentLength    = "content-length"
	fieldTransferEncoding = "transfer-encoding"
)

const del = 127 // the only ASCII control character above the printable ones

// beginHead prepares for reading a head. A head that has been received completely is copied into one string; its lines
// and fields are substrings of it, which saves an allocation for each.
func (r *Reader) beginHead() {
	r.headBytesLeft = maxHeadBytes
	r.head = ""
	const endOfHead = "\r\n\r\n"
	if i := bytes.Index(r.buffer[r.start:r.end], []byte(endOfHead)); i >= 0 {
		r.head = string(r.buffer[r.start : r.start+i+len(endOfHead)])
	}
}

// readLine consumes one line of a head and returns it without its line end.
func (r *Reader) readLine() (string, error) {
	if i := strings.IndexByte(r.head, '\n'); i >= 0 {
		line := r.head[:i]
		r.head = r.head[i+1:]
		if err := r.consumeLine(i + 1); err != nil {
			return "", err
		}
		return strings.TrimSuffix(line, "\r"), nil
	}
	for searched := 0; ; {
		if i := bytes.IndexByte(r.buffer[r.start+searched:r.end], '\n'); i >= 0 {
			line := r.buffer[r.start : r.start+searched+i]
			if err := r.consumeLine(len(line) + 1); err != nil {
				return "", err
			}
			return string(bytes.TrimSuffix(line, []byte("\r"))), nil
		}
		searched = r.end - r.start
		if searched > r.headBytesLeft || searched == r.maxBuffered() {
			return "", headTooLarge()
		}
		if err := r.fill(); err != nil {
			return "", unexpectedEOF(err)
		}
	}
}

func (r *Reader) consumeLine(length int) error {
	r.start += length
	r.headBytesLeft -= length
	if r.headBytesLeft < 0 {
		return headTooLarge()
	}
	return nil
}

func headTooLarge() error {
	return invalidMessage(statusHeadTooLarge, "head over %d bytes", maxHeadBytes)
}

// readFields consumes header lines up to and including the empty line. Names are in lower case; the values of repeated
// fields are joined by commas. The map is valid until the next head is read.
func (r *Reader) readFields() (map[string]string, error) {
	if r.fields == nil {
		r.fields = map[string]string{}
	}
	fields := r.fields
	clear(fields)
	for count := 0; ; count++ {
		line, err := r.readLine()
		if err != nil {
			return nil, err
		}
		if line == "" {
			r.head = ""
			return fields, nil
		}
		if count == maxHeadFields {
			return nil, invalidMessage(statusHeadTooLarge, "head of over %d fields", maxHeadFields)
		}
		name, value, err := parseField(line)
		if err != nil {
			return nil, err
		}
		if previous, isRepeated := fields[name]; isRepeated {
			value = previous + "," + value
		}
		fields[name] = value
	}
}

func parseField(line string) (name, value string, err error) {
	name, value, hasColon := strings.Cut(line, ":")
	if !hasColon || !isToken(name) {
		return "", "", invalidMessage(statusBadRequest, "malformed header line %.40q, expected a name, a colon and a value", line)
	}
	name, value = lowerName(name), strings.Trim(value, " \t")
	for i := range len(value) {
		if c := value[i]; c < ' ' && c != '\t' || c == del {
			return "", "", invalidMessage(statusBadRequest, "header %s contains a control character", name)
		}
	}
	return name, value, nil
}

// isToken reports whether text is a token as HTTP defines it. The names of methods and header fields are tokens.
func isToken(text string) bool {
	for i := range len(text) {
		c := text[i]
		isAlphanumeric := 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9'
		if !isAlphanumeric && strings.IndexByte("!#$%&'*+-.^_`|~", c) < 0 {
			return false
		}
	}
	return text != ""
}

// lowerNames maps the field names that clients and discovery commonly send, in their usual spelling, to lower case. For
// these names, no lower-case copy is allocated.
var lowerNames = map[string]string{
	"Host": "host", "X-Request-Id": "x-request-id", "X-Class": "x-class", "X-Tenant": "x-tenant",
	"X-Deadline": "x-deadline", "X-Retry": "x-retry", "Content-Length": "content-length", "Content-Type": "content-type",
	"Connection": "connection",
}

func lowerName(name string) string {
	if lower, known := lowerNames[name]; known {
		return lower
	}
	return strings.ToLower(name)
}
