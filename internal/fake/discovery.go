package fake

import (
	"fmt"
	"net"
	"net/url"
	"strconv"
	"sync"
	"time"
)

// DiscoveryServer holds an endpoint list and answers long polls with its changes. Its methods may be called from any goroutine.
type DiscoveryServer struct {
	Listener net.Listener

	mu      sync.Mutex
	version int
	entries []Endpoint
	changed chan struct{}
	done    chan struct{}
}

// NewDiscoveryServer listens on a free port of loopback.
func NewDiscoveryServer(entries []Endpoint) (*DiscoveryServer, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &DiscoveryServer{
		Listener: listener, version: 1, entries: entries, changed: make(chan struct{}), done: make(chan struct{}),
	}
	go acceptEach(listener, func(conn net.Conn) { serveRequests(conn, d.respond) })
	return d, nil
}

// Close ends it, with all polls that wait for a change.
func (d *DiscoveryServer) Close() {
	d.Listener.Close()
	close(d.done)
}

// SetEndpoints replaces the list.
func (d *DiscoveryServer) SetEndpoints(entries []Endpoint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version++
	d.entries = entries
	close(d.changed)
	d.changed = make(chan struct{})
}

// KnownEndpoints is the list in the form of a plan's key known.
func (d *DiscoveryServer) KnownEndpoints() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return EncodeEndpointList(d.version, d.entries)
}

// respond answers a poll once there is a version after its index, or its wait is over.
func (d *DiscoveryServer) respond(target string) string {
	u, err := url.Parse(target)
	if err != nil {
		return ""
	}
	index, _ := strconv.Atoi(u.Query().Get("index")) // without an index or a wait, 0
	wait, _ := strconv.Atoi(u.Query().Get("wait"))
	expired := time.After(time.Duration(wait) * time.Millisecond)
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
		case <-expired:
			return fmt.Sprintf(`{"version":%d,"full":false,"servers":[]}`, version)
		}
	}
}
