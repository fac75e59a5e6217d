package coordinator

import (
	"fmt"
	"math"
	"net/url"
	"strconv"
	"strings"
	"time"
)

const maxRequestIDBytes = 128 // bytes of a request's id, which stands in each of its frames

// requestError is a request that can be parsed and not be served, with the response's status.
type requestError struct {
	status int
	text   string
}

// Error implements error.
func (r requestError) Error() string { return r.text }

// badRequest returns a requestError with status 400.
func badRequest(format string, v ...any) error { return requestError{400, fmt.Sprintf(format, v...)} }

// handleRequest serves one request: health, metrics or a search.
func (c *clientConnection) handleRequest(method, target string, head map[string]string, body []byte, keep bool,
	came time.Time,
) error {
	loop := c.loop
	path, key, err := parseTarget(target)
	if err != nil {
		return badRequest("target %.40q", target)
	}
	first, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	_, known := c.classes[first]
	if path == "/healthz" && (method == "GET" || !known) { // a class may have that name
		if method != "GET" {
			return requestError{405, "method of /healthz"}
		}
		loop.submit(func() {
			status := 200
			if !loop.hasEndpoints || loop.isStopping() {
				status = 503
			}
			c.respond(status, "", []byte("{}"), keep)
		})
		return nil
	}
	if path == "/metrics" && method == "GET" && (loop.shadowCounts != nil || loop.enforcer != nil) {
		body := loop.metricsBody()
		loop.submit(func() { c.respond(200, "Content-Type: text/plain; version=0.0.4", body, keep) })
		return nil
	}
	qtype, ok := c.classes[head["x-class"]]
	switch {
	case method != "POST" && known:
		return requestError{405, "method of a search"}
	case method != "POST":
		return requestError{404, "no such path"}
	case !ok:
		return badRequest("X-Class %.40q", head["x-class"])
	case first != head["x-class"]:
		return badRequest("X-Class is not the path's")
	}
	s := &search{
		name: head["x-request-id"], key: key, class: qtype, arrivedAt: came,
		isRetry: head["x-retry"] == "1",
	}
	if !isPlainName(s.name) {
		return badRequest("X-Request-Id %.40q", s.name)
	}
	if s.tenant, ok = c.tenants[head["x-tenant"]]; !ok && len(c.tenants) > 0 {
		return badRequest("X-Tenant %.40q", head["x-tenant"])
	}
	wait, err := strconv.ParseFloat(head["x-deadline"], 64)
	if err != nil || strings.Trim(head["x-deadline"], "0123456789.") != "" || wait <= 0 {
		return badRequest("X-Deadline %.40q", head["x-deadline"])
	}
	s.timeout = loop.limitTimeout(time.Duration(math.Min(wait, maxClientTimeout.Seconds())*float64(time.Second)), came)
	if err := s.readBody(body, loop.rules.blockCount); err != nil {
		return err
	}
	if err := c.checkClientGone(); err != nil {
		return err
	}
	s.reply = func(outcome searchOutcome) { c.writeAnswer(outcome, keep) }
	c.lastSearch, s.client = s, c
	loop.submit(func() { loop.startSearch(s) })
	return nil
}

// isPlainName says whether a text can stand in a line of a frame.
func isPlainName(text string) bool {
	for i := 0; i < len(text); i++ {
		if text[i] <= ' ' || text[i] >= 127 {
			return false
		}
	}
	return text != "" && len(text) <= maxRequestIDBytes
}

// parseTarget splits a request's target into its path and its key.
func parseTarget(target string) (path, key string, err error) {
	path, query, _ := strings.Cut(target, "?")
	key, plain := strings.CutPrefix(query, "k=")
	if isPlainName(target) && target[0] == '/' && !strings.ContainsAny(target, "%+&;#") && (plain || query == "") {
		return path, key, nil
	}
	u, err := url.ParseRequestURI(target)
	if err != nil {
		return "", "", err
	}
	return u.Path, u.Query().Get("k"), nil
}
