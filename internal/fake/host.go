// Package fake plays what surrounds a coordinator, on loopback sockets: replicas, discovery and clients, each with the failures it is
// told to have. Tests and benchmarks use it; the program never does.
package fake

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"strings"
	"sync"

	"chalkring/internal/frame"
)

// secondStepSuffix ends the ids of a search's second step.
const secondStepSuffix = ".r"

// ShardRequest is one shard request as a replica received it.
type ShardRequest struct {
	ID    string
	Shard int
	List  string
	Text  string
	Conn  net.Conn
}

// Reply sends a response with an outcome (good, bad, later), a score and a value.
func (r ShardRequest) Reply(outcome string, score string, value string) {
	line := fmt.Sprintf("%s %s %s -\n%s", r.ID, outcome, score, value)
	message := frame.End(append(frame.Begin(nil, frame.TypeAnswer), line...), 0)
	_, _ = r.Conn.Write(message) // the connection may have been closed meanwhile, which the other side sees
}

// ReplyGood sends a good response whose value tells what was requested.
func (r ShardRequest) ReplyGood() {
	value := fmt.Sprintf("%s@%d", r.Text, r.Shard)
	if strings.HasSuffix(r.ID, secondStepSuffix) {
		value += "!"
	}
	r.Reply("good", fmt.Sprint(100+r.Shard%3), value)
}

// Host is a replica that speaks frames. Its handler is called for each shard request, in the goroutine of its connection. Its methods
// may be called from any goroutine.
type Host struct {
	ID       string
	Cell     int
	Listener net.Listener

	recordAll bool // keep every request, for Observed and BatchSizes

	mu        sync.Mutex
	handler   func(r ShardRequest)
	requests  []ShardRequest
	batches   []int // shard requests in each frame
	cancelled []string
	received  int
	accepted  int // connections
	open      map[net.Conn]bool
	closed    bool
}

// NewHost listens on a free port of loopback. With recordAll it keeps every request.
func NewHost(id string, cell int, recordAll bool, handler func(r ShardRequest)) (*Host, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	h := &Host{ID: id, Cell: cell, Listener: listener, handler: handler, recordAll: recordAll, open: map[net.Conn]bool{}}
	go h.serve()
	return h, nil
}

// SetHandler sets what is done with each request from now on.
func (h *Host) SetHandler(handler func(r ShardRequest)) {
	h.mu.Lock()
	h.handler = handler
	h.mu.Unlock()
}

// Close ends the host and its connections.
func (h *Host) Close() {
	h.Listener.Close()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.closed = true
	for conn := range h.open {
		conn.Close()
	}
}

// CloseConnections ends all connections and goes on listening, as a replica does that restarts at once. It returns them.
func (h *Host) CloseConnections() (ended []net.Conn) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for conn := range h.open {
		conn.Close()
		ended = append(ended, conn)
	}
	return ended
}

// ResetConnections ends all connections with a reset and goes on listening.
func (h *Host) ResetConnections() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for conn := range h.open {
		_ = conn.(*net.TCPConn).SetLinger(0) // fails only on a connection that is closed already
		conn.Close()
	}
}

// Observed returns the requests received, the ids that were cancelled, and how many connections were accepted and are open. Requests
// and ids are kept only with recordAll.
func (h *Host) Observed() (requests []ShardRequest, cancelled []string, accepted, open int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]ShardRequest(nil), h.requests...), append([]string(nil), h.cancelled...), h.accepted, len(h.open)
}

// CountRequests counts the shard requests received.
func (h *Host) CountRequests() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.received
}

// BatchSizes returns the number of shard requests of each frame, with recordAll.
func (h *Host) BatchSizes() []int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]int(nil), h.batches...)
}

func (h *Host) serve() {
	for {
		conn, err := h.Listener.Accept()
		if err != nil {
			return
		}
		h.mu.Lock()
		h.accepted++
		if h.closed {
			conn.Close()
		}
		h.open[conn] = true
		h.mu.Unlock()
		go h.serveConnection(conn)
	}
}

func (h *Host) serveConnection(conn net.Conn) {
	defer func() {
		conn.Close()
		h.mu.Lock()
		delete(h.open, conn)
		h.mu.Unlock()
	}()
	source := bufio.NewReader(conn)
	for {
		frameType, body, err := frame.Read(source)
		if err != nil {
			return
		}
		if frameType == frame.TypeCancel {
			h.recordCancel(string(body))
			continue
		}
		h.beginBatch()
		for len(body) > 0 {
			var request ShardRequest
			request, body = parseShardRequest(conn, body)
			h.record(request)(request)
		}
	}
}

// parseShardRequest reads the first shard request of a frame's body, and returns it with the rest of the body.
func parseShardRequest(conn net.Conn, body []byte) (request ShardRequest, rest []byte) {
	head, rest, _ := bytes.Cut(body, []byte("\n"))
	request, length := ShardRequest{Conn: conn}, 0
	// The golden files of the coordinator pin the head; one that cannot be read shows as an empty id.
	_, _ = fmt.Sscanf(string(head), "%s %d %s %d", &request.ID, &request.Shard, &request.List, &length)
	request.Text = string(rest[:length])
	return request, rest[length:]
}

func (h *Host) recordCancel(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.recordAll {
		h.cancelled = append(h.cancelled, id)
	}
}

func (h *Host) beginBatch() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.recordAll {
		h.batches = append(h.batches, 0)
	}
}

// record counts a request and returns its handler.
func (h *Host) record(request ShardRequest) (handler func(r ShardRequest)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.received++
	if h.recordAll {
		h.requests = append(h.requests, request)
		h.batches[len(h.batches)-1]++
	}
	return h.handler
}
