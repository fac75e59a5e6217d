package fake

import "net"

const (
	maxScriptedResponses = 16
	maxRecordedTargets   = 64
)

// ScriptedDiscovery is a discovery whose requests are answered by the next text of Responses: a complete response, or the body of a
// good one; an empty one ends the connection. Targets has the target of each request.
type ScriptedDiscovery struct {
	Listener  net.Listener
	Responses chan string
	Targets   chan string

	done chan struct{}
}

// NewScriptedDiscovery listens on a free port of loopback.
func NewScriptedDiscovery() (*ScriptedDiscovery, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &ScriptedDiscovery{
		Listener:  listener,
		Responses: make(chan string, maxScriptedResponses),
		Targets:   make(chan string, maxRecordedTargets),
		done:      make(chan struct{}),
	}
	go acceptEach(listener, func(conn net.Conn) { serveRequests(conn, d.respond) })
	return d, nil
}

// Close ends it, with all requests that wait for a response.
func (d *ScriptedDiscovery) Close() {
	d.Listener.Close()
	close(d.done)
}

func (d *ScriptedDiscovery) respond(target string) string {
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
}
