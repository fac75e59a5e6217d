package fake

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

const (
	maxSearchBody     = 1 << 20
	readHeaderTimeout = 5 * time.Second
)

// SearchHost is a replica that speaks the OpenSearch-style API over HTTP; each request asks for one shard. Its methods may be
// called from any goroutine.
type SearchHost struct {
	ID       string
	Cell     int
	Listener net.Listener

	shards    map[int]*ShardDocuments
	fault     atomic.Pointer[WriteFault]
	anonymous atomic.Bool // responses do not name their request
	handler   atomic.Pointer[SearchHandler]
	received  atomic.Int64
	abandoned atomic.Int64 // requests whose client left before the response
	server    *http.Server
}

// SearchHandler answers a request in the host's place; good is the response that the host would give.
type SearchHandler = func(w http.ResponseWriter, r *http.Request, good []byte)

// WriteFault returns what a host writes behind a write of its own, and how long it waits before that; nothing for no fault.
type WriteFault = func(written []byte) (extra []byte, delay time.Duration)

// faultyListener accepts connections whose writes have the host's fault.
type faultyListener struct {
	net.Listener
	host *SearchHost
}

func (l faultyListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return faultyConn{conn, l.host}, nil
}

type faultyConn struct {
	net.Conn
	host *SearchHost
}

// Write writes p and what the fault adds, before the host reads its next request.
func (c faultyConn) Write(p []byte) (int, error) {
	fault := c.host.fault.Load()
	if fault == nil {
		return c.Conn.Write(p)
	}
	extra, delay := (*fault)(p)
	if len(extra) > 0 && delay == 0 {
		if _, err := c.Conn.Write(append(append([]byte{}, p...), extra...)); err != nil {
			return 0, err
		}
		return len(p), nil
	}
	n, err := c.Conn.Write(p)
	if err == nil && len(extra) > 0 {
		time.Sleep(delay)
		_, _ = c.Conn.Write(extra) // the connection may have been closed, as it should
	}
	return n, err
}

// NewSearchHost listens on a free port of loopback.
func NewSearchHost(id string, cell int, shards map[int]*ShardDocuments) (*SearchHost, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	h := &SearchHost{ID: id, Cell: cell, Listener: listener, shards: shards}
	h.server = &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout}
	go func() { _ = h.server.Serve(faultyListener{listener, h}) }() // ends with Close
	return h, nil
}

// SetHandler sets what answers each request; nil restores the good response.
func (h *SearchHost) SetHandler(handler SearchHandler) {
	h.handler.Store(&handler)
}

// SetWriteFault sets what is written behind the host's own writes. It may be called on several goroutines at once.
func (h *SearchHost) SetWriteFault(fault WriteFault) { h.fault.Store(&fault) }

// SetAnonymous says whether responses lack the X-Opaque-Id of their requests, which the API's hosts return.
func (h *SearchHost) SetAnonymous(anonymous bool) { h.anonymous.Store(anonymous) }

// Close ends the host and its connections.
func (h *SearchHost) Close() { _ = h.server.Close() }

// CountRequests counts the requests received, and those whose client left before the response.
func (h *SearchHost) CountRequests() (received, abandoned int) {
	return int(h.received.Load()), int(h.abandoned.Load())
}

// ServeHTTP answers one request.
func (h *SearchHost) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.received.Add(1)
	defer func() {
		if r.Context().Err() != nil {
			h.abandoned.Add(1)
		}
	}()
	if id := r.Header.Get("X-Opaque-Id"); id != "" && !h.anonymous.Load() {
		w.Header().Set("X-Opaque-Id", id)
	}
	shard, shardErr := strconv.Atoi(strings.TrimPrefix(r.URL.Query().Get("preference"), "_shards:"))
	body, readErr := io.ReadAll(io.LimitReader(r.Body, maxSearchBody))
	if shardErr != nil || readErr != nil || h.shards[shard] == nil {
		http.Error(w, `{"error":{"type":"index_not_found_exception"},"status":404}`, http.StatusNotFound)
		return
	}
	good, err := h.shards[shard].Search(body)
	if err != nil {
		http.Error(w, `{"error":{"type":"parsing_exception"},"status":400}`, http.StatusBadRequest)
		return
	}
	if handler := h.handler.Load(); handler != nil && *handler != nil {
		(*handler)(w, r, good)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(good) // a client that has left is counted above
}
