package http1

import (
	"strconv"
	"strings"
)

const (
	version10 = "HTTP/1.0"
	version11 = "HTTP/1.1"

	statusDigits = 3
)

// RequestHead is the start line and the header fields of a request.
type RequestHead struct {
	Method, Target string
	IsHTTP10       bool              // the client speaks HTTP/1.0
	Fields         map[string]string // by name in lower case; valid until the next message is read
	KeepAlive      bool              // the client keeps the connection open
}

// HasBody reports whether the head announces a body.
func (h RequestHead) HasBody() bool { return hasBody(h.Fields) }

// ReadRequest reads one request. keepAlive reports whether the client keeps the connection open. fields and body are
// valid until the next call. A POST request has to announce a body.
//
// It returns an InvalidMessageError for an invalid request, io.ErrUnexpectedEOF if the stream ends before a complete
// request, and otherwise the error of the stream. After an error, no further message can be read from the stream.
func (r *Reader) ReadRequest() (method, target string, fields map[string]string, body []byte, keepAlive bool, err error) {
	head, err := r.ReadRequestHead()
	switch {
	case err != nil:
	case head.HasBody():
		body, err = r.ReadRequestBody(head)
	case head.Method == "POST":
		err = invalidMessage(statusLengthRequired, "POST request without a body length, expected Content-Length or chunked Transfer-Encoding")
	}
	return head.Method, head.Target, head.Fields, body, head.KeepAlive, err
}

// ReadRequestHead reads the head of a request. ReadRequestBody has to follow, whether the head announces a body or not. The
// errors are the same as those of ReadRequest; with one, the head has what was read before.
func (r *Reader) ReadRequestHead() (head RequestHead, err error) {
	r.beginHead()
	version := ""
	if head.Method, head.Target, version, err = r.readRequestLine(); err != nil {
		return RequestHead{}, err
	}
	head.IsHTTP10 = version == version10
	if head.Fields, err = r.readFields(); err != nil {
		return head, err
	}
	r.headLength = maxHeadBytes - r.headBytesLeft
	if _, hasHost := head.Fields[fieldHost]; !hasHost && !head.IsHTTP10 {
		return head, invalidMessage(statusBadRequest, "missing Host header, expected one in an HTTP/1.1 request")
	}
	if _, hasCoding := head.Fields[fieldTransferEncoding]; hasCoding && head.IsHTTP10 {
		return head, invalidMessage(statusBadRequest, "Transfer-Encoding in an HTTP/1.0 request, whose readers ignore it, expected Content-Length")
	}
	head.KeepAlive = keepsAlive(version, head.Fields)
	return head, nil
}

// ReadRequestBody reads the body that a head announces, and returns nil where it announces none. The errors are the same as
// those of ReadRequest.
func (r *Reader) ReadRequestBody(head RequestHead) ([]byte, error) {
	if !head.HasBody() {
		return nil, nil
	}
	return r.readBody(head.Fields)
}

// HeadLength returns the length of the last request's head in bytes.
func (r *Reader) HeadLength() int { return r.headLength }

func (r *Reader) readRequestLine() (method, target, version string, err error) {
	line := ""
	for line == "" { // HTTP asks servers to ignore empty lines before a request
		if line, err = r.readLine(); err != nil {
			return "", "", "", err
		}
	}
	method, rest, _ := strings.Cut(line, " ")
	target, version, _ = strings.Cut(rest, " ")
	if !isToken(method) || target == "" || !strings.HasPrefix(version, "HTTP/") || strings.Contains(version, " ") {
		return "", "", "", invalidMessage(statusBadRequest, "malformed request line %.40q, expected a method, a target and an HTTP version", line)
	}
	if version != version11 && version != version10 {
		return "", "", "", invalidMessage(statusVersionNotSupported, "unsupported version %.20q, expected HTTP/1.1 or HTTP/1.0", version)
	}
	return method, target, version, nil
}

// ReadResponse reads one response to a request other than HEAD. fields and body are valid until the next call. The
// errors are the same as those of ReadRequest.
func (r *Reader) ReadResponse() (status int, fields map[string]string, body []byte, keepAlive bool, err error) {
	r.beginHead()
	line, err := r.readLine()
	if err != nil {
		return 0, nil, nil, false, err
	}
	version, rest, _ := strings.Cut(line, " ")
	code, _, _ := strings.Cut(rest, " ")
	status, err = strconv.Atoi(code)
	if err != nil || len(code) != statusDigits || !strings.HasPrefix(version, "HTTP/1.") {
		return 0, nil, nil, false, invalidMessage(statusBadGateway, "malformed status line %.40q, expected an HTTP/1 version and a status of three digits", line)
	}
	if fields, err = r.readFields(); err != nil {
		return status, nil, nil, false, err
	}
	keepAlive = keepsAlive(version, fields)
	switch {
	case status < statusOK || status == statusNoContent || status == statusNotModified: // never has a body
	case hasBody(fields):
		body, err = r.readBody(fields)
	default:
		keepAlive = false
		body, err = r.readToEnd()
	}
	return status, fields, body, keepAlive, err
}

// keepsAlive reports whether the sender of a message keeps the connection open.
func keepsAlive(version string, fields map[string]string) bool {
	byDefault := version == version11
	if fields[fieldConnection] == "" {
		return byDefault
	}
	for _, option := range strings.Split(fields[fieldConnection], ",") {
		switch strings.ToLower(strings.TrimSpace(option)) {
		case "close":
			return false
		case "keep-alive":
			return true
		}
	}
	return byDefault
}
