package frontend

import (
	"compress/gzip"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"

	"chalkring/opensearch/query"
)

// writeError writes the response to a request that cannot be read, or whose handler has panicked.
func (f *Server) writeError(w http.ResponseWriter, status int, message string) {
	kind := "parse_exception"
	switch status {
	case http.StatusTooManyRequests:
		kind = "rejected_execution_exception"
	case http.StatusInternalServerError:
		kind = "exception"
	case http.StatusRequestTimeout:
		kind = "timeout_exception"
	case http.StatusRequestEntityTooLarge, http.StatusRequestHeaderFieldsTooLarge:
		kind = "illegal_argument_exception"
	}
	out := errorReply(status, kind, "%s", message)
	if status == http.StatusTooManyRequests && f.api.SendRetryAfter {
		out.retryAfter = retryAfterFullMemory
	}
	out.write(w, false)
}

// reply is an HTTP response that is yet to be written.
type reply struct {
	status     int
	body       []byte
	retryAfter time.Duration // Retry-After header; 0 for none
	plainText  bool
}

func errorReply(status int, kind, format string, v ...any) reply {
	e := &query.APIError{Status: status, Type: kind, Reason: fmt.Sprintf(format, v...)}
	return reply{status: status, body: e.ResponseBody()}
}

func errorReplyOf(err error) reply {
	var e *query.APIError
	if errors.As(err, &e) {
		return reply{status: e.Status, body: e.ResponseBody()}
	}
	return errorReply(400, "illegal_argument_exception", "%v", err)
}

// write writes a reply, compressed if the client allows it and it is long.
func (out reply) write(w http.ResponseWriter, allowGzip bool) {
	h := w.Header()
	if h.Set("Content-Type", "application/json; charset=UTF-8"); out.plainText {
		h.Set("Content-Type", "text/plain; charset=UTF-8")
	}
	if out.retryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(out.retryAfter.Seconds())))) // HTTP clients expect whole seconds
	}
	if allowGzip && len(out.body) >= minGzipBytes {
		h.Set("Content-Encoding", "gzip")
		w.WriteHeader(out.status)
		z := gzip.NewWriter(w)
		_, _ = z.Write(out.body) // the server keeps the response until it is written
		_ = z.Close()
		return
	}
	h.Set("Content-Length", strconv.Itoa(len(out.body)))
	w.WriteHeader(out.status)
	_, _ = w.Write(out.body)
}

func jsonReply(v any) reply {
	text, _ := json.Marshal(v)
	return reply{status: 200, body: text}
}
