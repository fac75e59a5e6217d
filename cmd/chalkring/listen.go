package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"syscall"
	"time"
)

const (
	addressTimeout       = 5 * time.Second       // for an address in use to become free: a stopping process frees it within 1 s
	addressRetryInterval = 20 * time.Millisecond // between two attempts
)

// ListenError reports an address that cannot be listened on.
type ListenError struct {
	Address string
	Err     error
}

func (e *ListenError) Error() string { return e.Err.Error() }
func (e *ListenError) Unwrap() error { return e.Err }

// Advice tells an operator what to do.
func (e *ListenError) Advice() string {
	if errors.Is(e.Err, syscall.EADDRINUSE) {
		return fmt.Sprintf("Another process listens on %s and has not let go in %v: end it, or give this one another listen address.",
			e.Address, addressTimeout)
	}
	return "Give an address of this machine, with a port that this user may listen on, as listen."
}

// listen listens on an address. While another process has it, listen tries again until addressTimeout: after SIGTERM the
// process of an overlapping restart still accepts connections for a while. The error is a *ListenError, or ctx's.
func listen(ctx context.Context, address string, log *slog.Logger) (net.Listener, error) {
	deadline, logged := time.Now().Add(addressTimeout), false
	for {
		listener, err := net.Listen("tcp", address)
		if err == nil {
			return listener, nil
		}
		if !errors.Is(err, syscall.EADDRINUSE) || time.Now().After(deadline) {
			return nil, &ListenError{address, err}
		}
		if !logged {
			logged = true
			log.Warn("address_in_use", "listen", address, "waits", addressTimeout)
		}
		select {
		case <-time.After(addressRetryInterval):
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}
