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

// ReadRequest reads one request. keepAlive reports whether the client keeps the connection. Fields and body are valid
// until the next call.
//
// It returns an InvalidMessageError for a request that cannot be used, io.ErrUnexpectedEOF where the stream ends before a
// complete request, and other errors of the stream. After an error the stream cannot be read on.
func (r *Reader) ReadRequest() (method, target string, fields map[string]string, body []byte, keepAlive bool, err error) {
	r.beginHead()
	method, target, version, err := r.readRequestLine()
	if err != nil {
		return "", "", nil, nil, false, err
	}
	if fields, err = r.readFields(); err != nil {
		return method, target, nil, nil, false, err
	}
	if _, hasHost := fields[fieldHost]; !hasHost && version == version11 {
		return method, target, fields, nil, false, invalidMessage(statusBadRequest, "no Host")
	}
	keepAlive = keepsAlive(version, fields)
	if hasBody(fields) {
		body, err = r.readBody(fields)
	} else if method == "POST" {
		err = invalidMessage(statusLengthRequired, "a body has a length or comes in chunks")
	}
	return method, target, fields, body, keepAlive, err
}

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
		return "", "", "", invalidMessage(statusBadRequest, "request line %.40q", line)
	}
	if version != version11 && version != version10 {
		return "", "", "", invalidMessage(statusVersionNotSupported, "version %.20q", version)
	}
	return method, target, version, nil
}

// ReadResponse reads one response to a request other than HEAD. Fields and body are valid until the next call. Errors are
// those of ReadRequest.
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
		return 0, nil, nil, false, invalidMessage(statusBadGateway, "status line %.40q", line)
	}
	if fields, err = r.readFields(); err != nil {
		return status, nil, nil, false, err
	}
	keepAlive = keepsAlive(version, fields)
	switch {
	case status < statusOK || status == statusNoContent || status == statusNotModified:
	case hasBody(fields):
		body, err = r.readBody(fields)
	default:
		keepAlive = false
		body, err = r.readToEnd()
	}
	return status, fields, body, keepAlive, err
}

// keepsAlive reports whether the sender of a message keeps the connection.
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
