package coordinator

import (
	"fmt"
	"math"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"chalkring/coordinator/ingress"
)

const maxKeptHeadBytes = 1 << 10 // of a request's head that an open search may keep in memory

const maxRequestIDBytes = 128 // length limit of a request's id, which is part of each frame sent to replicas

// requestError is the error of a well-formed request that cannot be served, with the status of the response.
type requestError struct {
	status int
	text   string
}

// Error implements error.
func (r requestError) Error() string { return r.text }

// badRequest returns a requestError with status 400.
func badRequest(format string, attrs ...any) error {
	return requestError{400, fmt.Sprintf(format, attrs...)}
}

// handleRequest serves one request: health, metrics or a search.
func (c *clientConnection) handleRequest(method, target string, head map[string]string, body []byte, keep bool,
	arrivedAt time.Time,
) error {
	loop := c.loop
	path, key, err := parseTarget(target)
	if err != nil {
		return badRequest("request target %.40q is not a valid URI", target)
	}
	first, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	_, isClass := c.classes[first]
	if path == "/healthz" && (method == http.MethodGet || !isClass) { // a class may be called healthz
		return c.serveHealth(method, keep)
	}
	if path == "/metrics" && method == http.MethodGet && (loop.shadowCounts != nil || loop.enforcer != nil) {
		c.share.standing.recordOther()
		body := loop.metricsBody()
		c.endTurn()
		loop.submit(func() { c.respond(200, "Content-Type: text/plain; version=0.0.4", body, keep) })
		return nil
	}
	switch {
	case method != http.MethodPost && isClass:
		return requestError{405, "a search needs the method POST"}
	case method != http.MethodPost:
		return requestError{404, "no such path"}
	}
	submitted, err := c.newSearch(first, key, head, arrivedAt)
	if err != nil {
		return err
	}
	if err := submitted.readBody(body, loop.rules.blockCount); err != nil {
		return err
	}
	if err := c.checkFollowing(); err != nil {
		return err
	}
	if err := c.reserveCopies(submitted); err != nil {
		return err
	}
	submitted.reply = func(outcome searchOutcome) { c.writeAnswer(outcome, keep) }
	c.lastSearch, submitted.client = submitted, c
	c.share.cost += searchCost
	c.endTurn()
	loop.submit(func() { loop.startSearch(submitted) })
	return nil
}

// reserveCopies reserves memory for the copies of a search's text that are sent to replicas, until the search ends.
func (c *clientConnection) reserveCopies(submitted *search) error {
	copies := len(submitted.text) * len(submitted.shards)
	if copies <= ingress.FreeBytes {
		return nil
	}
	if c.Reserve(copies) != nil {
		return requestError{503, "no memory for a search of this length"}
	}
	submitted.reservedBytes = copies
	return nil
}

// releaseCopies gives back what reserveCopies has reserved.
func (s *search) releaseCopies() {
	if s.reservedBytes > 0 {
		s.client.Release(s.reservedBytes)
		s.reservedBytes = 0
	}
}

// serveHealth answers with status 200 if the coordinator has an endpoint list and is not stopping, and 503 otherwise.
func (c *clientConnection) serveHealth(method string, keep bool) error {
	if method != http.MethodGet {
		return requestError{405, "/healthz needs the method GET"}
	}
	loop := c.loop
	c.share.standing.recordOther()
	c.share.cost += searchCost
	c.endTurn()
	loop.submit(func() {
		status := 200
		if !loop.hasEndpoints || loop.isStopping() {
			status = 503
		}
		c.respond(status, "", []byte("{}"), keep)
	})
	return nil
}

// newSearch returns the search that a request's path and headers describe.
func (c *clientConnection) newSearch(pathClass, key string, head map[string]string, arrivedAt time.Time) (*search, error) {
	class, ok := c.classes[head["x-class"]]
	if !ok {
		return nil, badRequest("X-Class %.40q is not a class of the settings", head["x-class"])
	}
	if pathClass != head["x-class"] {
		return nil, badRequest("X-Class differs from the class in the path")
	}
	created := &search{
		name: head["x-request-id"], key: key, class: class, arrivedAt: arrivedAt,
		isRetry: head["x-retry"] == "1",
	}
	if c.reader.HeadLength() > maxKeptHeadBytes { // all texts of a head share one allocation, which the search would keep
		created.name, created.key = strings.Clone(created.name), strings.Clone(created.key)
	}
	if !isPlainName(created.name) {
		return nil, badRequest("X-Request-Id %.40q is empty, too long or not visible ASCII", created.name)
	}
	if created.tenant, ok = c.tenants[head["x-tenant"]]; !ok && len(c.tenants) > 0 {
		return nil, badRequest("X-Tenant %.40q is not a tenant of the settings", head["x-tenant"])
	}
	seconds, err := strconv.ParseFloat(head["x-deadline"], 64)
	if err != nil || strings.Trim(head["x-deadline"], "0123456789.") != "" || seconds <= 0 {
		return nil, badRequest("X-Deadline %.40q: want seconds above 0 in decimal notation", head["x-deadline"])
	}
	timeout := time.Duration(math.Min(seconds, maxClientTimeout.Seconds()) * float64(time.Second))
	created.timeout = c.loop.limitTimeout(timeout, arrivedAt)
	return created, nil
}

// isPlainName reports whether a text can be a field of a frame's line: 1 to maxRequestIDBytes visible ASCII characters.
func isPlainName(text string) bool {
	for i := 0; i < len(text); i++ {
		if text[i] <= ' ' || text[i] >= 127 {
			return false
		}
	}
	return text != "" && len(text) <= maxRequestIDBytes
}

// parseTarget returns the path of a request's target and its key, the query parameter k. Plain targets are split without
// allocation; all others go through net/url.
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
