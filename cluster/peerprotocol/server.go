package peerprotocol

import (
	"bufio"
	"context"
	"crypto/tls"
	"encoding/binary"
	"errors"
	"net"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"chalkring/cluster/peerreport"
)

// Server answers askers. What it is given may wait; none of it is the owner's goroutine.
type Server struct {
	Name         string
	InstanceID   uint64
	AllowedNames []string     // names that may ask
	Credentials  *Credentials // nil for plain TCP, where names are taken as they are told
	// Admit tells whether an asker is answered now, or else when it is to come back; Done follows each that was.
	Admit   func(name string) (ok bool, later time.Duration)
	Release func()
	// BuildReport gives what is known now; Spend takes bytes from a budget.
	BuildReport func(ctx context.Context) (peerreport.ReportHeader, []peerreport.Observation, error)
	BuildStatus func(ctx context.Context) (Status, error)
	SpendBudget func(ctx context.Context, bytes int, cpu time.Duration) error
	// OnRejected is told of askers that got no answer; strangers can bring that about at will.
	OnRejected func(addr, why string)
}

// Serve answers until ctx ends or the listener is closed, and then returns with no goroutine left.
func (s *Server) Serve(ctx context.Context, ln net.Listener) error {
	g, ctx := errgroup.WithContext(ctx)
	defer context.AfterFunc(ctx, func() { ln.Close() })()
	room := make(chan struct{}, connsMost)
	// Guards against an asker that connects again and again without a pause: others wait a little, searches do not.
	pace := rate.NewLimiter(connsEach, connsMost)
	g.Go(func() error {
		for {
			if pace.Wait(ctx) != nil {
				return nil
			}
			select {
			case room <- struct{}{}:
			case <-ctx.Done():
				return nil
			}
			conn, err := ln.Accept()
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			if err != nil {
				<-room
				select {
				case <-time.After(acceptPause):
				case <-ctx.Done():
				}
				continue
			}
			g.Go(func() error {
				defer func() { <-room }()
				s.talk(ctx, conn)
				return nil
			})
		}
	})
	return g.Wait()
}

// talk answers one asker.
func (s *Server) talk(ctx context.Context, conn net.Conn) {
	ctx, stop := context.WithTimeout(ctx, wholeTime)
	defer stop()
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	conn.SetDeadline(time.Now().Add(helloTime))
	addr, certified := conn.RemoteAddr().String(), []string(nil)
	if s.Credentials != nil {
		conf, err := s.Credentials.server()
		if err != nil {
			s.OnRejected(addr, err.Error())
			return
		}
		secure := tls.Server(conn, conf)
		if err := secure.HandshakeContext(ctx); err != nil {
			s.OnRejected(addr, "handshake: "+err.Error())
			return
		}
		certified = names(secure.ConnectionState())
		conn = secure
	}
	kind, rest, _, err := readFrame(bufio.NewReaderSize(conn, 512), nil)
	var h hello
	if err == nil && kind == kindHello {
		err = decode(rest, &h)
	}
	code, words := "", ""
	switch {
	case err != nil && !errors.Is(err, ErrInvalidMessage):
		s.OnRejected(addr, err.Error())
		return
	case err != nil:
		code, words = noUse, err.Error()
	case kind != kindHello:
		code, words = noUse, "no hello"
	case h.Version != version:
		code, words = noVersion, "version 1 is spoken here"
	case !slices.Contains(s.AllowedNames, h.Name):
		code, words = noName, "the name is not among those that may ask"
	case s.Credentials != nil && !slices.Contains(certified, h.Name):
		code, words = noName, "the certificate is of another name"
	case h.Instance == s.InstanceID && h.Want == wantReport:
		code, words = noSelf, "you are talking to yourself"
	}
	conn.SetDeadline(time.Time{})
	if code != "" {
		if code != noSelf {
			s.OnRejected(addr, words)
		}
		s.put(conn, kindNo, no{Code: code, Words: words[:min(len(words), wordsMost)]})
		return
	}
	switch h.Want {
	case wantStatus:
		if st, err := s.BuildStatus(ctx); err == nil {
			s.put(conn, kindStatus, st)
		}
	case wantReport:
		ok, later := s.Admit(h.Name)
		if !ok {
			s.put(conn, kindLater, uint32(min(later, time.Hour).Milliseconds()))
			return
		}
		defer s.Release()
		s.report(ctx, conn)
	default:
		s.put(conn, kindNo, no{Code: noUse, Words: "nothing known is wanted"})
	}
}

// report sends a report slice by slice. Each is encoded when the one before is out: one is held.
func (s *Server) report(ctx context.Context, conn net.Conn) {
	head, notes, err := s.BuildReport(ctx)
	if err != nil {
		s.put(conn, kindLater, uint32(time.Second.Milliseconds()))
		return
	}
	sum := summer()
	if s.put(conn, kindHead, head) != nil {
		return
	}
	for part := range slices.Chunk(notes, peerreport.MaxChunkObservations) {
		began := time.Now()
		b, err := appendFrame(nil, kindNotes, part)
		if err != nil {
			s.OnRejected(conn.RemoteAddr().String(), err.Error())
			return
		}
		sum.Write(b[5:])
		if s.SpendBudget != nil && s.SpendBudget(ctx, len(b), time.Since(began)) != nil {
			return
		}
		conn.SetWriteDeadline(time.Now().Add(frameTime))
		if _, err := conn.Write(b); err != nil {
			return
		}
	}
	s.put(conn, kindEnd, binary.BigEndian.AppendUint64(nil, sum.Sum64()))
}

func (s *Server) put(conn net.Conn, kind byte, v any) error {
	b, err := appendFrame(nil, kind, v)
	if err == nil {
		conn.SetWriteDeadline(time.Now().Add(frameTime))
		_, err = conn.Write(b)
	}
	return err
}
