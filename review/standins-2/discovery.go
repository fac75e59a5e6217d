package main

import (
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// discovery serves a list of replicas as the protocol page says.
type discovery struct {
	addr   string
	server *http.Server

	mu      sync.Mutex
	version int
	list    []endpoint
	log     []change // by version
	changed chan struct{}
}

type change struct {
	version int
	entries []endpoint
}

func newDiscovery(r *run, version int, list []endpoint) *discovery {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		giveUp("%v", err)
	}
	d := &discovery{addr: listener.Addr().String(), version: version, list: list, changed: make(chan struct{})}
	d.server = &http.Server{Handler: d}
	go func() { _ = d.server.Serve(listener) }()
	r.record("discovery", "listens with version %d, %d replicas", version, len(list))
	return d
}

func (d *discovery) known() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return encodeList(d.version, true, d.list)
}

// set changes some entries; those in state removed leave the list.
func (d *discovery) set(entries ...endpoint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version++
	d.log = append(d.log, change{d.version, entries})
	for _, e := range entries {
		var next []endpoint
		found := false
		for _, old := range d.list {
			if old.id != e.id {
				next = append(next, old)
				continue
			}
			found = true
			if e.state != "removed" {
				next = append(next, e)
			}
		}
		if !found && e.state != "removed" {
			next = append(next, e)
		}
		d.list = next
	}
	close(d.changed)
	d.changed = make(chan struct{})
}

func (d *discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	index, watchErr := strconv.Atoi(r.URL.Query().Get("index"))
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait"))
	w.Header().Set("Content-Type", "application/json")
	if watchErr != nil {
		_, _ = w.Write([]byte(d.known()))
		return
	}
	over := time.After(time.Duration(min(wait, 60000)) * time.Millisecond)
	for {
		d.mu.Lock()
		var entries []endpoint
		for _, c := range d.log {
			if c.version > index {
				entries = append(entries, c.entries...)
			}
		}
		version, changed := d.version, d.changed
		d.mu.Unlock()
		if version > index {
			_, _ = w.Write([]byte(encodeList(version, false, entries)))
			return
		}
		select {
		case <-changed:
		case <-over:
			_, _ = w.Write([]byte(encodeList(version, false, nil)))
			return
		case <-r.Context().Done():
			return
		}
	}
}
