// Package httpserver serves an http.Handler with the message parser of package http1. It replaces the server of net/http
// where requests come from strangers: net/http serves a request that has both Content-Length and Transfer-Encoding, and takes
// what its body hides for the next request.
//
// A request is read completely before its handler runs, and its response is written when the handler has returned.
package httpserver

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"
)

// acceptRetryDelay is the wait after a failed accept, in which descriptors can become free.
const acceptRetryDelay = 100 * time.Millisecond

// Holding is what the request of one connection holds of a memory that many connections share. Its methods are called by
// several goroutines.
type Holding interface {
	// MarkArriving is called when a request begins to arrive. Until MarkComplete, evict may be called from any goroutine, to
	// give up the request because others need its memory.
	MarkArriving(evict func())
	// MarkComplete is called when the request has arrived or its reading has failed.
	MarkComplete()
	// Reserve adds to what is held. An error means that there is no room.
	Reserve(bytes int) error
	// Release takes from what is held.
	Release(bytes int)
}

// Server serves a handler on a listener. All fields but TLSConfig are required.
type Server struct {
	Handler        http.Handler
	TLSConfig      *tls.Config    // nil for plain HTTP
	MaxConnections int            // open at the same time; further ones wait in the listener's queue
	NewHolding     func() Holding // is called for each connection

	HeadTimeout    time.Duration // for reading a request's head; for a connection's first request from accepting it
	RequestTimeout time.Duration // for reading a whole request, counted as HeadTimeout is
	IdleTimeout    time.Duration // after which a connection without a request is closed
	StopGrace      time.Duration // after a stop, for the next request of a connection that has had one
	WriteTimeout   time.Duration // for writing a response

	// BodyLimit returns how many bytes the body of a request for a path may have.
	BodyLimit func(path string) int
	// WriteError writes the response to a request that cannot be read, or whose handler has panicked.
	WriteError func(w http.ResponseWriter, status int, message string)
	// LogEvent logs an event that clients can cause at will: one line of a kind in a while.
	LogEvent func(kind, event string, attrs ...any)

	connections sync.WaitGroup
}

// Serve serves until stopping is done and all requests that were being read or handled are answered. It returns at once when
// ctx is done. It closes the listener.
func (s *Server) Serve(ctx, stopping context.Context, listener net.Listener) error {
	defer s.connections.Wait()
	defer listener.Close()
	stopping, stop := context.WithCancel(stopping)
	defer stop()
	defer context.AfterFunc(ctx, stop)()
	defer context.AfterFunc(stopping, func() { listener.Close() })()
	places := make(chan struct{}, s.MaxConnections)
	for {
		select {
		case places <- struct{}{}:
		case <-stopping.Done():
			return nil
		}
		accepted, err := s.accept(stopping, listener)
		if err != nil {
			return err
		}
		if accepted == nil {
			return nil
		}
		s.connections.Go(func() {
			defer func() { <-places }()
			s.serveConnection(ctx, stopping, accepted)
		})
	}
}

// accept returns the next connection, or nil once stopping is done. Errors other than a closed listener may pass, such as a
// lack of descriptors, and are retried.
func (s *Server) accept(stopping context.Context, listener net.Listener) (net.Conn, error) {
	for {
		accepted, err := listener.Accept()
		switch {
		case err == nil:
			return accepted, nil
		case stopping.Err() != nil:
			return nil, nil
		case errors.Is(err, net.ErrClosed):
			return nil, err
		}
		s.LogEvent("accept", "accept_failed", "error", err)
		select {
		case <-time.After(acceptRetryDelay):
		case <-stopping.Done():
			return nil, nil
		}
	}
}

// serveConnection serves the requests of one connection, and closes it.
func (s *Server) serveConnection(ctx, stopping context.Context, accepted net.Conn) {
	defer accepted.Close()
	defer context.AfterFunc(ctx, func() { accepted.Close() })()
	served := newConnection(s, stopping, accepted)
	defer served.reader.Close()
	defer context.AfterFunc(stopping, served.interruptIdle)()
	if err := served.handshake(ctx); err != nil {
		s.LogEvent("tls_handshake", "tls_handshake_failed", "client", accepted.RemoteAddr().String(), "error", err)
		return
	}
	for served.awaitRequest() && served.serveRequest(ctx) {
	}
}
