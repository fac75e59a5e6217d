package fake

import (
	"fmt"
	"net"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"chalkring/internal/http1"
)

// ScriptedDiscovery is discovery whose calls are answered by the next text of Answers: a whole response, or the body of a
// good one; an empty one ends the connection.
type ScriptedDiscovery struct {
	Listener  net.Listener
	Responses chan string
	Targets   chan string // targets
	done      chan struct{}
}

// Close ends it with all that waits for an answer of it.
func (d *ScriptedDiscovery) Close() {
	d.Listener.Close()
	close(d.done)
}

func NewScriptedDiscovery() (*ScriptedDiscovery, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &ScriptedDiscovery{Listener: ln, Responses: make(chan string, 16), Targets: make(chan string, 64), done: make(chan struct{})}
	go each(ln, func(conn net.Conn) {
		requests(conn, func(target string) string {
			select {
			case d.Targets <- target:
			case <-d.done:
				return ""
			}
			select {
			case text := <-d.Responses:
				return text
			case <-d.done:
				return ""
			}
		})
	})
	return d, nil
}

func each(ln net.Listener, do func(conn net.Conn)) {
	for {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		go func() {
			defer conn.Close()
			do(conn)
		}()
	}
}

// requests answers one after another with what reply gives, until that is empty.
func requests(conn net.Conn, reply func(target string) string) {
	rd := http1.NewReader(conn, make([]byte, 16<<10))
	for {
		_, target, _, _, _, err := rd.ReadRequest()
		if err != nil {
			return
		}
		text := reply(target)
		if text == "" {
			return
		}
		if !strings.HasPrefix(text, "HTTP/") {
			text = string(http1.AppendResponse(nil, 200, "", []byte(text), true))
		}
		if _, err := conn.Write([]byte(text)); err != nil {
			return
		}
	}
}

// Endpoint is one host of a list as discovery tells it.
type Endpoint struct {
	ID, Addr, Zone, Kind, State string
	Cell                        int
	StartedMS                   int64
}

// Encode is the entry in discovery's form.
func (e Endpoint) Encode() string {
	return fmt.Sprintf(`{"id":%q,"addr":%q,"zone":%q,"kind":%q,"cell":%d,"state":%q,"weight":1.0,"started_ms":%d}`,
		e.ID, e.Addr, e.Zone, e.Kind, e.Cell, e.State, e.StartedMS)
}

// EncodeEndpointList is a whole list in discovery's form.
func EncodeEndpointList(version int, entries []Endpoint) string {
	var texts []string
	for _, e := range entries {
		texts = append(texts, e.Encode())
	}
	return fmt.Sprintf(`{"version":%d,"full":true,"servers":[%s]}`, version, strings.Join(texts, ","))
}

// DiscoveryServer holds a list and tells its changes to those that watch.
type DiscoveryServer struct {
	Listener net.Listener

	mu      sync.Mutex
	version int
	entries []Endpoint
	changed chan struct{}
	done    chan struct{}
}

// Close ends it with all that waits for a change.
func (d *DiscoveryServer) Close() {
	d.Listener.Close()
	close(d.done)
}

func NewDiscoveryServer(entries []Endpoint) (*DiscoveryServer, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &DiscoveryServer{Listener: ln, version: 1, entries: entries, changed: make(chan struct{}), done: make(chan struct{})}
	go each(ln, func(conn net.Conn) { requests(conn, d.reply) })
	return d, nil
}

// SetEndpoints puts a new list in the place of the old.
func (d *DiscoveryServer) SetEndpoints(entries []Endpoint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version++
	d.entries = entries
	close(d.changed)
	d.changed = make(chan struct{})
}

// KnownEndpoints is the list as a plan's known has it.
func (d *DiscoveryServer) KnownEndpoints() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return EncodeEndpointList(d.version, d.entries)
}

func (d *DiscoveryServer) reply(target string) string {
	u, err := url.Parse(target)
	if err != nil {
		return ""
	}
	index, _ := strconv.Atoi(u.Query().Get("index"))
	wait, _ := strconv.Atoi(u.Query().Get("wait"))
	until := time.After(time.Duration(wait) * time.Millisecond)
	for {
		d.mu.Lock()
		version, changed := d.version, d.changed
		d.mu.Unlock()
		if version > index {
			return d.KnownEndpoints()
		}
		select {
		case <-changed:
		case <-d.done:
			return ""
		case <-until:
			return fmt.Sprintf(`{"version":%d,"full":false,"servers":[]}`, version)
		}
	}
}
