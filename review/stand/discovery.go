package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// firstVersion is the version of the list at the start.
const firstVersion = 41

// entry is one entry of the list of replicas.
type entry struct {
	id, addr, zone, kind, state string
	cell                        int
	startedMS                   int64
	version                     int // of its last change
}

func (e entry) encode() string {
	return fmt.Sprintf(`{"id":%q,"addr":%q,"zone":%q,"kind":%q,"cell":%d,"state":%q,"weight":1.0,"started_ms":%d}`,
		e.id, e.addr, e.zone, e.kind, e.cell, e.state, e.startedMS)
}

// discovery is a stand-in for discovery: the whole list, and watches that wait for changes.
type discovery struct {
	listener net.Listener
	rec      *record

	wholeFirst bool // the first answer on a connection is the whole list

	mu      sync.Mutex
	version int
	entries []entry
	changed chan struct{}
}

func newDiscovery(rec *record, entries []entry) (*discovery, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &discovery{listener: listener, rec: rec, version: firstVersion, entries: entries, changed: make(chan struct{})}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go d.serve(conn)
		}
	}()
	return d, nil
}

func (d *discovery) addr() string { return d.listener.Addr().String() }

// set changes the states of replicas in one new version of the list, which is written to all open watches at once. It returns the time.
func (d *discovery) set(state string, ids ...string) (at time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version++
	for i := range d.entries {
		for _, id := range ids {
			if d.entries[i].id == id {
				d.entries[i].state, d.entries[i].version = state, d.version
			}
		}
	}
	d.rec.note("discovery has version %d: %s %s", d.version, strings.Join(ids, " "), state)
	close(d.changed)
	d.changed = make(chan struct{})
	return time.Now()
}

// list returns the whole list, or with changes only those after a version.
func (d *discovery) list(after int, full bool) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	texts := []string{}
	for _, e := range d.entries {
		if full && e.state != "removed" || !full && e.version > after {
			texts = append(texts, e.encode())
		}
	}
	return fmt.Sprintf(`{"version":%d,"full":%t,"servers":[%s]}`, d.version, full, strings.Join(texts, ","))
}

func (d *discovery) state() (version int, changed chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.version, d.changed
}

func (d *discovery) serve(conn net.Conn) {
	defer conn.Close()
	src := bufio.NewReader(conn)
	for whole := d.wholeFirst; ; whole = false {
		request, err := http.ReadRequest(src)
		if err != nil {
			return
		}
		query := request.URL.Query()
		body := ""
		if query.Has("index") {
			index, _ := strconv.Atoi(query.Get("index"))
			wait, _ := strconv.Atoi(query.Get("wait"))
			expired := time.After(time.Duration(min(wait, 60000)) * time.Millisecond)
			version, changed := d.state()
			if version <= index {
				select {
				case <-changed:
				case <-expired:
				}
			}
			body = d.list(index, whole)
		} else {
			body = d.list(0, true)
		}
		text := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		if _, err := conn.Write([]byte(text)); err != nil {
			return
		}
		d.rec.note("discovery wrote to %s: %s", conn.RemoteAddr(), body)
	}
}
