package main

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// part is one part of a search as a replica received it: the last byte of its frame has come.
type part struct {
	id      string
	search  string // the id of its search
	shard   int
	second  bool // of a second step
	list    string
	wait    time.Duration // how long the coordinator says that it will wait
	text    string
	at      time.Time
	replica *replica
	conn    net.Conn

	ended   string // good, bad, later; empty for no answer
	endedAt time.Time
}

// value is what a replica answers to a part: it depends on the search's text, the shard and the step alone.
func valueOf(text string, shard int, second bool) string {
	return fmt.Sprintf("%s@%d/%t", text, shard, second)
}

// replica is a stand-in replica that speaks the protocol's frames.
type replica struct {
	id, zone string
	cell     int
	listener net.Listener
	rec      *record

	// onPart handles each part, in a goroutine of its own. It may answer or not.
	onPart func(p *part)

	mu        sync.Mutex
	parts     []*part
	cancelled map[string]time.Time
	conns     map[net.Conn]bool
	closed    map[net.Conn]time.Time // when a connection ended
}

func newReplica(rec *record, id, zone string, cell int, onPart func(p *part)) (*replica, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &replica{id: id, zone: zone, cell: cell, listener: listener, rec: rec, onPart: onPart, cancelled: map[string]time.Time{}, conns: map[net.Conn]bool{}, closed: map[net.Conn]time.Time{}}
	go r.serve()
	return r, nil
}

func (r *replica) addr() string { return r.listener.Addr().String() }

func (r *replica) serve() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		r.conns[conn] = true
		r.mu.Unlock()
		go r.serveConn(conn)
	}
}

func (r *replica) serveConn(conn net.Conn) {
	defer func() {
		conn.Close()
		r.mu.Lock()
		delete(r.conns, conn)
		r.closed[conn] = time.Now()
		r.mu.Unlock()
	}()
	src := bufio.NewReader(conn)
	for {
		var head [4]byte
		if _, err := io.ReadFull(src, head[:]); err != nil {
			return
		}
		body := make([]byte, binary.BigEndian.Uint32(head[:]))
		if _, err := io.ReadFull(src, body); err != nil || len(body) == 0 {
			return
		}
		now := time.Now()
		switch body[0] {
		case 'n':
			r.mu.Lock()
			r.cancelled[string(body[1:])] = now
			r.mu.Unlock()
			r.rec.noteAt(now, "replica %s got n %s", r.id, body[1:])
		case 'm':
			for rest := body[1:]; len(rest) > 0; {
				p, after, err := r.readPart(conn, rest, now)
				if err != nil {
					r.rec.noteAt(now, "replica %s got a frame that it could not read: %v", r.id, err)
					return
				}
				rest = after
				r.mu.Lock()
				r.parts = append(r.parts, p)
				r.mu.Unlock()
				r.rec.noteAt(now, "replica %s got m %s shard %d %s", r.id, p.id, p.shard, p.list)
				go r.onPart(p)
			}
		default:
			r.rec.noteAt(now, "replica %s got a frame of letter %q", r.id, body[0])
			return
		}
	}
}

func (r *replica) readPart(conn net.Conn, body []byte, now time.Time) (p *part, rest []byte, err error) {
	line, rest, ok := bytes.Cut(body, []byte("\n"))
	fields := strings.Split(string(line), " ")
	if !ok || len(fields) != 4 {
		return nil, nil, fmt.Errorf("line %q", line)
	}
	length, err := strconv.Atoi(fields[3])
	if err != nil || length > len(rest) {
		return nil, nil, fmt.Errorf("length %q", fields[3])
	}
	p = &part{id: fields[0], list: fields[2], text: string(rest[:length]), at: now, replica: r, conn: conn}
	if p.shard, err = strconv.Atoi(fields[1]); err != nil {
		return nil, nil, err
	}
	name, second := strings.CutSuffix(p.id, ".r")
	p.second = second
	if i := strings.LastIndexByte(name, '.'); i >= 0 {
		p.search = name[:i]
	}
	for _, item := range strings.Split(p.list, ",") {
		if text, ok := strings.CutPrefix(item, "d="); ok {
			ms, _ := strconv.ParseFloat(text, 64)
			p.wait = time.Duration(ms * float64(time.Millisecond))
		}
	}
	return p, rest[length:], nil
}

// answer sends the answer of a part: good, bad or later.
func (p *part) answer(end string) {
	p.replica.mu.Lock()
	p.ended, p.endedAt = end, time.Now()
	p.replica.mu.Unlock()
	line := fmt.Sprintf("%s %s - -\n", p.id, end)
	if end == "good" {
		line = fmt.Sprintf("%s good %d -\n%s", p.id, 1000+p.shard%5, valueOf(p.text, p.shard, p.second))
	}
	frame := binary.BigEndian.AppendUint32(nil, uint32(len(line)+1))
	frame = append(append(frame, 'q'), line...)
	p.replica.rec.note("replica %s sent q %s %s", p.replica.id, p.id, end)
	p.conn.Write(frame)
}

// received returns what a replica has received so far.
func (r *replica) received() []*part {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]*part(nil), r.parts...)
}

// resetConnections ends all connections with a reset.
func (r *replica) resetConnections() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for conn := range r.conns {
		conn.(*net.TCPConn).SetLinger(0)
		conn.Close()
	}
}
