// Package fake plays the outside of a co-ordinator on loopback sockets: hosts that take parts, discovery, and
// clients, each with the failures it is told to have. Tests and the lab use it; the program never does.
package fake

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"

	"chalkring/internal/frame"
)

// Part is one part as a host got it.
type Part struct {
	ID    string
	Shard int
	List  string
	Text  string
	Conn  net.Conn
}

// Reply answers the part.
func (p Part) Reply(end string, score string, value string) {
	p.Conn.Write(frame.End(append(frame.Begin(nil, frame.TypeAnswer),
		fmt.Sprintf("%s %s %s -\n%s", p.ID, end, score, value)...), 0))
}

// Good answers with a value that tells what was asked.
func (p Part) Good() {
	value := fmt.Sprintf("%s@%d", p.Text, p.Shard)
	if strings.HasSuffix(p.ID, ".r") {
		value += "!"
	}
	p.Reply("good", fmt.Sprint(100+p.Shard%3), value)
}

// Host is a profile host: what Set names is called for each part, in a goroutine a connection.
type Host struct {
	ID   string
	Cell int
	Ln   net.Listener

	mu     sync.Mutex
	do     func(p Part)
	keep   bool // every part, for Seen
	parts  []Part
	frames []int // parts in each call
	given  []string
	took   int
	conns  int
	open   map[net.Conn]bool
	shut   bool
}

// NewHost listens on a free port of loopback. With keep it remembers every part.
func NewHost(id string, cell int, keep bool, do func(p Part)) (*Host, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	h := &Host{ID: id, Cell: cell, Ln: ln, do: do, keep: keep, open: map[net.Conn]bool{}}
	go h.serve()
	return h, nil
}

func (h *Host) Set(do func(p Part)) {
	h.mu.Lock()
	h.do = do
	h.mu.Unlock()
}

// Close ends the host and its connections.
func (h *Host) Close() {
	h.Ln.Close()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.shut = true
	for conn := range h.open {
		conn.Close()
	}
}

// Drop ends all connections and goes on listening, as a host does that starts again at once; it tells which.
func (h *Host) Drop() (ended []net.Conn) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for conn := range h.open {
		conn.Close()
		ended = append(ended, conn)
	}
	return ended
}

// Reset ends all connections with a reset and goes on listening.
func (h *Host) Reset() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for conn := range h.open {
		conn.(*net.TCPConn).SetLinger(0)
		conn.Close()
	}
}

// Seen gives the parts it got, the ids that were given up, and its connections made and open.
func (h *Host) Seen() (parts []Part, given []string, conns, open int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]Part(nil), h.parts...), append([]string(nil), h.given...), h.conns, len(h.open)
}

// Took counts the parts it got.
func (h *Host) Took() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.took
}

// Calls gives the parts of each call.
func (h *Host) Calls() []int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]int(nil), h.frames...)
}

func (h *Host) serve() {
	for {
		conn, err := h.Ln.Accept()
		if err != nil {
			return
		}
		h.mu.Lock()
		if h.conns++; h.shut {
			conn.Close()
		}
		h.open[conn] = true
		h.mu.Unlock()
		go h.talk(conn)
	}
}

func (h *Host) talk(conn net.Conn) {
	defer func() {
		conn.Close()
		h.mu.Lock()
		delete(h.open, conn)
		h.mu.Unlock()
	}()
	src := bufio.NewReader(conn)
	for {
		letter, rest, err := frame.Read(src)
		if err != nil {
			return
		}
		h.mu.Lock()
		if letter == frame.TypeCancel {
			if h.keep {
				h.given = append(h.given, string(rest))
			}
			h.mu.Unlock()
			continue
		}
		if h.keep {
			h.frames = append(h.frames, 0)
		}
		h.mu.Unlock()
		for len(rest) > 0 {
			line, more, _ := bytes.Cut(rest, []byte("\n"))
			p, length := Part{Conn: conn}, 0
			fmt.Sscanf(string(line), "%s %d %s %d", &p.ID, &p.Shard, &p.List, &length)
			p.Text, rest = string(more[:length]), more[length:]
			h.mu.Lock()
			do := h.do
			if h.took++; h.keep {
				h.parts = append(h.parts, p)
				h.frames[len(h.frames)-1]++
			}
			h.mu.Unlock()
			do(p)
		}
	}
}

// Workers answers parts by a number of workers, each after the time that wait names; more parts queue, as on a host
// with so many cores. wait of less than 0 never answers.
func Workers(ctx context.Context, n int, wait func() time.Duration) func(p Part) {
	queue := make(chan Part, 1<<14)
	for range n {
		go func() {
			for {
				select {
				case p := <-queue:
					d := wait()
					if d < 0 {
						continue
					}
					select {
					case <-time.After(d):
						p.Good()
					case <-ctx.Done():
						return
					}
				case <-ctx.Done():
					return
				}
			}
		}()
	}
	return func(p Part) {
		select {
		case queue <- p:
		default:
			p.Reply("later", "-", "")
		}
	}
}
