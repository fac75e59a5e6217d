package main

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"
)

const (
	servingPollInterval = 50 * time.Millisecond // between health checks of this process by itself
	servingPollTimeout  = time.Second
)

// mergedListener accepts the connections of a listener and those that this process opens to itself. A health check over
// the socket might reach another process, as a supervisor's children share it for a while.
type mergedListener struct {
	net.Listener
	local    <-chan net.Conn
	accepted chan acceptResult
}

// acceptResult is what an Accept returned.
type acceptResult struct {
	conn net.Conn
	err  error
}

func newMergedListener(listener net.Listener, local <-chan net.Conn) *mergedListener {
	m := &mergedListener{Listener: listener, local: local, accepted: make(chan acceptResult)}
	go func() {
		for {
			conn, err := listener.Accept()
			m.accepted <- acceptResult{conn, err} // a connection that was accepted before the close is served too
			if errors.Is(err, net.ErrClosed) {
				return
			}
		}
	}()
	return m
}

// Accept waits for the next connection of either kind.
func (m *mergedListener) Accept() (net.Conn, error) {
	select {
	case result := <-m.accepted:
		return result.conn, result.err
	case conn := <-m.local:
		return conn, nil
	}
}

// awaitServing polls this process's own health check and closes serving once it is healthy.
func (r *rolloutRunner) awaitServing(ctx context.Context, serving chan struct{}) {
	client := &http.Client{Timeout: servingPollTimeout, Transport: &http.Transport{DisableKeepAlives: true, DialContext: r.dialSelf}}
	for {
		if isHealthy(ctx, client) {
			close(serving)
			return
		}
		select {
		case <-time.After(servingPollInterval):
		case <-ctx.Done():
			return
		}
	}
}

// dialSelf connects to this process.
func (r *rolloutRunner) dialSelf(ctx context.Context, _, _ string) (net.Conn, error) {
	client, server := net.Pipe()
	select {
	case r.localConnections <- server:
		return client, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func isHealthy(ctx context.Context, client *http.Client) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://inside/healthz", nil)
	if err != nil {
		return false
	}
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}
