package benchmark

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"strings"
	"sync"

	"golang.org/x/sync/errgroup"

	"chalkring/internal/frame"
	"chalkring/internal/http1"
)

const floorBuffer = 16 << 10 // bytes of each connection's buffer, as the co-ordinator's

// floor is a plain program that makes the reads and writes a search needs and decides nothing: one connection a host,
// each part to the first holder of its block. What the co-ordinator costs is held against it.
type floor struct {
	hosts []*floorHost
}

type floorHost struct {
	conn net.Conn

	mu   sync.Mutex
	open map[string]*floorSearch
	out  []byte
}

// floorSearch is one search until it has enough parts.
type floorSearch struct {
	mu     sync.Mutex
	need   int
	values []string
	done   chan struct{}
}

// ServeBaseline serves until ctx ends; hosts are in the order of their sets.
func ServeBaseline(ctx context.Context, ln net.Listener, hosts []string) error {
	f := &floor{}
	g, ctx := errgroup.WithContext(ctx)
	defer context.AfterFunc(ctx, func() { ln.Close() })()
	for _, addr := range hosts {
		conn, err := net.Dial("tcp", addr)
		if err != nil {
			return err
		}
		defer context.AfterFunc(ctx, func() { conn.Close() })()
		h := &floorHost{conn: conn, open: map[string]*floorSearch{}}
		f.hosts = append(f.hosts, h)
		g.Go(func() error { h.hear(); return nil })
	}
	for {
		conn, err := ln.Accept()
		if err != nil {
			g.Wait()
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return nil
			}
			return err
		}
		stop := context.AfterFunc(ctx, func() { conn.Close() })
		g.Go(func() error {
			defer stop()
			defer conn.Close()
			f.serve(conn)
			return nil
		})
	}
}

func (f *floor) serve(conn net.Conn) {
	rd := http1.NewReader(conn, make([]byte, floorBuffer))
	s := &floorSearch{done: make(chan struct{}, 1)}
	var body, out []byte
	for {
		_, target, head, _, _, err := rd.ReadRequest()
		if err != nil {
			return
		}
		name := strings.Clone(head["x-request-id"])
		s.mu.Lock()
		if s.need, s.values = sets, s.values[:0]; strings.HasPrefix(target, "/"+quickPicks) {
			s.need = sets * 3 / 4
		}
		need := s.need
		s.mu.Unlock()
		for shard := range need {
			f.hosts[shard%len(f.hosts)].ask(name, shard, s)
		}
		<-s.done
		body = append(body[:0], `{"total":true,"answers":[`...)
		for i, v := range s.values {
			if i > 0 {
				body = append(body, ',')
			}
			body = append(body, v...)
		}
		out = http1.AppendResponse(out[:0], 200, "", append(body, "]}"...), true)
		if _, err := conn.Write(out); err != nil {
			return
		}
	}
}

func (h *floorHost) ask(name string, shard int, s *floorSearch) {
	id := fmt.Sprintf("%s.%d", name, shard)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.open[id] = s
	h.out = frame.End(frame.AppendShardRequest(frame.Begin(h.out[:0], frame.TypeBatch), id, shard, []byte("d=1000"), []byte("c41e77d0")), 0)
	h.conn.Write(h.out)
}

func (h *floorHost) hear() {
	src := bufio.NewReaderSize(h.conn, floorBuffer)
	for {
		_, rest, err := frame.Read(src)
		if err != nil {
			return
		}
		id, _, _, _, value, err := frame.ParseAnswer(rest)
		if err != nil {
			return
		}
		h.mu.Lock()
		s := h.open[string(id)]
		delete(h.open, string(id))
		h.mu.Unlock()
		if s == nil {
			continue
		}
		shard := id[strings.LastIndexByte(string(id), '.')+1:]
		s.mu.Lock()
		if s.values = append(s.values, fmt.Sprintf(`{"range":%s,"blob":%q}`, shard, value)); len(s.values) == s.need {
			s.done <- struct{}{}
		}
		s.mu.Unlock()
	}
}
