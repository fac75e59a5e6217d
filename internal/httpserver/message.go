package httpserver

import (
	"bytes"
	"fmt"
	"net/http"
	"net/textproto"
	"net/url"
	"strconv"
	"time"

	"chalkring/internal/http1"
)

// newRequest returns a request without a body.
func newRequest(head http1.RequestHead, remoteAddr string) (*http.Request, error) {
	target, err := url.ParseRequestURI(head.Target)
	if err != nil {
		return nil, http1.InvalidMessageError{
			Status: http.StatusBadRequest, Message: fmt.Sprintf("malformed target %.100q, expected a path", head.Target),
		}
	}
	request := &http.Request{
		Method: head.Method, URL: target, RequestURI: head.Target, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: make(http.Header, len(head.Fields)), Host: head.Fields["host"], RemoteAddr: remoteAddr,
		Body: http.NoBody,
	}
	if head.IsHTTP10 {
		request.Proto, request.ProtoMinor = "HTTP/1.0", 0
	}
	for name, value := range head.Fields {
		request.Header[textproto.CanonicalMIMEHeaderKey(name)] = []string{value}
	}
	return request, nil
}

// setBody sets a request's body.
func setBody(request *http.Request, body []byte) {
	if len(body) == 0 {
		return
	}
	request.Body, request.ContentLength = receivedBody{bytes.NewReader(body), body}, int64(len(body))
}

// receivedBody is the body of a request, all of which is in memory.
type receivedBody struct {
	*bytes.Reader
	text []byte
}

// Close implements io.Closer.
func (receivedBody) Close() error { return nil }

// ReceivedBody returns the body of a request of this package without a copy; it must not be changed. Of other requests it
// returns false.
func ReceivedBody(request *http.Request) (text []byte, isReceived bool) {
	if request.Body == http.NoBody {
		return nil, true
	}
	body, isReceived := request.Body.(receivedBody)
	return body.text, isReceived
}

// response holds a handler's response until it is written. It implements http.ResponseWriter. Every status has a body.
type response struct {
	header    http.Header
	status    int // 0 until it is set
	body      bytes.Buffer
	failed    bool // the handler has panicked
	keepAlive bool
	toHTTP10  bool // the client speaks HTTP/1.0, in which connections close unless both sides say that they stay open
}

func newResponse() *response { return &response{header: http.Header{}} }

// Header implements http.ResponseWriter.
func (r *response) Header() http.Header { return r.header }

// WriteHeader implements http.ResponseWriter.
func (r *response) WriteHeader(status int) {
	if r.status == 0 {
		r.status = status
	}
}

// Write implements http.ResponseWriter.
func (r *response) Write(text []byte) (int, error) {
	r.WriteHeader(http.StatusOK)
	return r.body.Write(text)
}

// reset drops what has been written.
func (r *response) reset() {
	r.header, r.status = http.Header{}, 0
	r.body.Reset()
}

// encode returns the bytes of the response to a request of a method, sent at a time.
func (r *response) encode(method string, now time.Time) []byte {
	r.WriteHeader(http.StatusOK)
	r.header.Set("Content-Length", strconv.Itoa(r.body.Len()))
	var out bytes.Buffer
	fmt.Fprintf(&out, "HTTP/1.1 %03d %s\r\n", r.status, http.StatusText(r.status))
	_ = r.header.Write(&out) // a buffer takes everything
	fmt.Fprintf(&out, "Date: %s\r\n", now.UTC().Format(http.TimeFormat))
	switch {
	case !r.keepAlive:
		out.WriteString("Connection: close\r\n")
	case r.toHTTP10:
		out.WriteString("Connection: keep-alive\r\n")
	}
	out.WriteString("\r\n")
	if method != http.MethodHead {
		out.Write(r.body.Bytes())
	}
	return out.Bytes()
}
