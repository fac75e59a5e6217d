package main

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"sync"
)

// part is a part as a replica has received it.
type part struct {
	id, list, text string
	shard          int
	conn           *replicaConn
}

type replicaConn struct {
	net.Conn
	mu sync.Mutex
}

// send writes a frame.
func (c *replicaConn) send(letter byte, rest string) {
	frame := binary.BigEndian.AppendUint32(nil, uint32(len(rest)+1))
	frame = append(append(frame, letter), rest...)
	c.mu.Lock()
	defer c.mu.Unlock()
	_, _ = c.Write(frame)
}

// reset ends the connection with a reset.
func (c *replicaConn) reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	c.Close()
}

func (p part) good(value string) { p.conn.send('q', fmt.Sprintf("%s good 1 -\n%s", p.id, value)) }

// replica speaks frames, as the protocol page says.
type replica struct {
	id   string
	addr string
	ln   net.Listener

	handle func(p part)
}

func newReplica(id string, handle func(p part)) *replica {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		giveUp("%v", err)
	}
	h := &replica{id: id, addr: listener.Addr().String(), ln: listener, handle: handle}
	go h.accept()
	return h
}

func (h *replica) accept() {
	for {
		conn, err := h.ln.Accept()
		if err != nil {
			return
		}
		c := &replicaConn{Conn: conn}
		go h.serve(c)
	}
}

func (h *replica) serve(c *replicaConn) {
	defer c.Close()
	source := bufio.NewReader(c)
	for {
		var head [5]byte
		if _, err := io.ReadFull(source, head[:]); err != nil {
			return
		}
		rest := make([]byte, binary.BigEndian.Uint32(head[:])-1)
		if _, err := io.ReadFull(source, rest); err != nil {
			return
		}
		if head[4] == 'n' {
			continue // what was given up goes on here
		}
		for len(rest) > 0 {
			line, after, _ := bytes.Cut(rest, []byte("\n"))
			p, length := part{conn: c}, 0
			if _, err := fmt.Sscanf(string(line), "%s %d %s %d", &p.id, &p.shard, &p.list, &length); err != nil {
				return
			}
			p.text, rest = string(after[:length]), after[length:]
			go h.handle(p)
		}
	}
}
