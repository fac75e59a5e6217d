package http1

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"chalkring/internal/golden"
)

// Guards against a change in the bytes of written heads and messages. Each line of the golden file is a quoted message.
func TestGoldenMessagesWritten(t *testing.T) {
	var out strings.Builder
	for _, status := range []int{200, 400, 404, 405, 408, 409, 411, 413, 431, 451, 500, 501, 503, 505, 599} {
		fmt.Fprintf(&out, "%q\n%q\n", AppendResponse(nil, status, "", []byte("{}"), true), AppendResponse(nil, status, "", []byte("{}"), false))
	}
	fmt.Fprintf(&out, "%q\n", AppendResponse(nil, 503, "Retry-After: 0.2500", []byte("{}"), true))
	fmt.Fprintf(&out, "%q\n", AppendResponse(nil, 503, "Retry-After: 0.2500", []byte("{}"), false))
	fmt.Fprintf(&out, "%q\n", AppendResponse([]byte("before"), 200, "", nil, true))
	fmt.Fprintf(&out, "%q\n", AppendResponseHead(nil, 200, "X-More: 1", 12345, false))
	fmt.Fprintf(&out, "%q\n", AppendGetRequest(nil, "/v1/servers?index=7&wait=2000", "10.0.0.1:7000"))
	golden.Require(t, "messages_written.golden", out.String())
}

func fieldsText(fields map[string]string) string {
	var out strings.Builder
	for _, name := range slices.Sorted(maps.Keys(fields)) {
		fmt.Fprintf(&out, " %s=%q", name, fields[name])
	}
	return out.String()
}

// errorText returns the status of an InvalidMessageError, or "ends" for any other error: the stream ends within the
// message.
func errorText(err error) string {
	var invalid InvalidMessageError
	if errors.As(err, &invalid) {
		return fmt.Sprint("status ", invalid.Status)
	}
	return "ends"
}

// Guards against a change in how requests and responses are parsed. Each line of the golden file is a quoted message,
// followed by the parsed fields or the error.
func TestGoldenMessagesRead(t *testing.T) {
	var out strings.Builder
	buffer := make([]byte, 16<<10)
	for _, text := range []string{
		"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n", "GET / HTTP/1.0\r\n\r\n", "\r\n\r\nGET / HTTP/1.1\nHost: x\n\n",
		"POST /a?k=7f HTTP/1.1\r\nHost: x\r\nX-Class: a\r\nx-CLASS:  b \r\nContent-Length: 2\r\n\r\n{}",
		"POST /a HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
		"POST /a HTTP/1.0\r\nConnection: keep-alive\r\nContent-Length: 1\r\n\r\nx",
		"POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n2;e=1\r\nab\r\nA\r\n0123456789\r\n0\r\nTrailer: t\r\n\r\n",
		"POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
		"POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: gzip\r\n\r\n",
		"POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\nContent-Length: 2\r\n\r\n{}",
		"POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
		"POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nfffff\r\n",
		"POST /a HTTP/1.1\r\nHost: x\r\n\r\n", "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 65537\r\n\r\n",
		"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nxx",
		"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: +1\r\n\r\nx", "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\nshort",
		"GET / HTTP/1.1\r\n\r\n", "GET / HTTP/2.0\r\nHost: x\r\n\r\n", "GET /\r\n\r\n", "G T / HTTP/1.1\r\nHost: x\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: x\r\nbad name: 1\r\n\r\n", "GET / HTTP/1.1\r\nHost: x\r\nA: \x01\r\n\r\n", "GET / HTTP/1.1\r\nHost",
		"GET / HTTP/1.1\r\nHost: x\r\nLong: " + strings.Repeat("a", 8200) + "\r\n\r\n",
	} {
		method, target, fields, body, keepAlive, err := NewReader(strings.NewReader(text), buffer).ReadRequest()
		fmt.Fprintf(&out, "request %.200q", text)
		if err != nil {
			fmt.Fprintf(&out, " %s\n", errorText(err))
			continue
		}
		fmt.Fprintf(&out, " %s %s%s body=%q keep=%t\n", method, target, fieldsText(fields), body, keepAlive)
	}
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\n{}",
		"HTTP/1.0 200 OK\r\n\r\nup to the end", "HTTP/1.1 304 Not Modified\r\nX-A: b\r\n\r\n", "HTTP/1.1 503\r\nRetry-After: 0.25\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n", "HTTP/1.1 20 OK\r\n\r\n", "SMTP 200 OK\r\n\r\n",
	} {
		status, fields, body, keepAlive, err := NewReader(strings.NewReader(text), buffer).ReadResponse()
		fmt.Fprintf(&out, "response %q", text)
		if err != nil {
			fmt.Fprintf(&out, " %s\n", errorText(err))
			continue
		}
		fmt.Fprintf(&out, " %d%s body=%q keep=%t\n", status, fieldsText(fields), body, keepAlive)
	}
	golden.Require(t, "messages_read.golden", out.String())
}
