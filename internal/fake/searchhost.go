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

// SearchHost is a profile host that speaks the OpenSearch-style API over HTTP: each request asks for one block.
type SearchHost struct {
	ID       string
	Cell     int
	Listener net.Listener

	blocks map[int]*ShardDocuments
	do     atomic.Pointer[func(w http.ResponseWriter, r *http.Request, good []byte)]
	took   atomic.Int64
	left   atomic.Int64 // requests whose asker went before the answer
	server *http.Server
}

// NewSearchHost listens on a free port of loopback.
func NewSearchHost(id string, cell int, blocks map[int]*ShardDocuments) (*SearchHost, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	h := &SearchHost{ID: id, Cell: cell, Listener: ln, blocks: blocks}
	h.server = &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}
	go h.server.Serve(ln)
	return h, nil
}

// SetHandler names what is done with each request, which is handed the good answer; nil gives that.
func (h *SearchHost) SetHandler(do func(w http.ResponseWriter, r *http.Request, good []byte)) {
	h.do.Store(&do)
}

func (h *SearchHost) Close() { h.server.Close() }

// CountRequests counts its requests, and those whose asker went before the answer.
func (h *SearchHost) CountRequests() (took, left int) { return int(h.took.Load()), int(h.left.Load()) }

func (h *SearchHost) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.took.Add(1)
	defer func() {
		if r.Context().Err() != nil {
			h.left.Add(1)
		}
	}()
	block, err := strconv.Atoi(strings.TrimPrefix(r.URL.Query().Get("preference"), "_shards:"))
	body, err2 := io.ReadAll(io.LimitReader(r.Body, 1<<20))
	if err != nil || err2 != nil || h.blocks[block] == nil {
		http.Error(w, `{"error":{"type":"index_not_found_exception"},"status":404}`, http.StatusNotFound)
		return
	}
	good, err := h.blocks[block].Search(body)
	if err != nil {
		http.Error(w, `{"error":{"type":"parsing_exception"},"status":400}`, http.StatusBadRequest)
		return
	}
	if do := h.do.Load(); do != nil && *do != nil {
		(*do)(w, r, good)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Write(good)
}
