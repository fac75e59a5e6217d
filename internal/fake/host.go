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

// ShardRequest is one part as a host got it.
type ShardRequest struct {
	ID    string
	Shard int
	List  string
	Text  string
	Conn  net.Conn
}

// Reply answers the part.
func (p ShardRequest) Reply(end string, score string, value string) {
	p.Conn.Write(frame.End(append(frame.Begin(nil, frame.TypeAnswer),
		fmt.Sprintf("%s %s %s -\n%s", p.ID, end, score, value)...), 0))
}

// ReplyGood answers with a value that tells what was asked.
func (p ShardRequest) ReplyGood() {
	value := fmt.Sprintf("%s@%d", p.Text, p.Shard)
	if strings.HasSuffix(p.ID, ".r") {
		value += "!"
	}
	p.Reply("good", fmt.Sprint(100+p.Shard%3), value)
}

// Host is a profile host: what Set names is called for each part, in a goroutine a connection.
type Host struct {
	ID       string
	Cell     int
	Listener net.Listener

	mu     sync.Mutex
	do     func(p ShardRequest)
	keep   bool // every part, for Seen
	parts  []ShardRequest
	frames []int // parts in each call
	given  []string
	took   int
	conns  int
	open   map[net.Conn]bool
	shut   bool
}

// NewHost listens on a free port of loopback. With keep it remembers every part.
func NewHost(id string, cell int, keep bool, do func(p ShardRequest)) (*Host, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	h := &Host{ID: id, Cell: cell, Listener: ln, do: do, keep: keep, open: map[net.Conn]bool{}}
	go h.serve()
	return h, nil
}

func (h *Host) SetHandler(do func(p ShardRequest)) {
	h.mu.Lock()
	h.do = do
	h.mu.Unlock()
}

// Close ends the host and its connections.
func (h *Host) Close() {
	h.Listener.Close()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.shut = true
	for conn := range h.open {
		conn.Close()
	}
}

// CloseConnections ends all connections and goes on listening, as a host does that starts again at once; it tells which.
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
		conn.(*net.TCPConn).SetLinger(0)
		conn.Close()
	}
}

// Observed gives the parts it got, the ids that were given up, and its connections made and open.
func (h *Host) Observed() (parts []ShardRequest, given []string, conns, open int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]ShardRequest(nil), h.parts...), append([]string(nil), h.given...), h.conns, len(h.open)
}

// CountRequests counts the parts it got.
func (h *Host) CountRequests() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.took
}

// BatchSizes gives the parts of each call.
func (h *Host) BatchSizes() []int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]int(nil), h.frames...)
}

func (h *Host) serve() {
	for {
		conn, err := h.Listener.Accept()
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
			p, length := ShardRequest{Conn: conn}, 0
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

// NewWorkerPool answers parts by a number of workers, each after the time that wait names; more parts queue, as on a host
// with so many cores. wait of less than 0 never answers.
func NewWorkerPool(ctx context.Context, n int, wait func() time.Duration) func(p ShardRequest) {
	queue := make(chan ShardRequest, 1<<14)
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
						p.ReplyGood()
					case <-ctx.Done():
						return
					}
				case <-ctx.Done():
					return
				}
			}
		}()
	}
	return func(p ShardRequest) {
		select {
		case queue <- p:
		default:
			p.Reply("later", "-", "")
		}
	}
}
