package coordinator

import (
	"errors"
	"net"
	"sync"
)

// sharedListener distributes the connections of one listener to several event loops.
type sharedListener struct {
	listener net.Listener
	shards   []*shardListener

	mu   sync.Mutex
	open int
}

// shardListener is one event loop's share of a sharedListener. It implements net.Listener.
type shardListener struct {
	*sharedListener
	accepted  chan acceptResult
	closed    chan struct{}
	closeOnce sync.Once
}

// acceptResult is an accepted connection, or the error of a failed accept.
type acceptResult struct {
	conn net.Conn
	err  error
}

// newSharedListener returns a listener for n event loops. The caller has to run distribute.
func newSharedListener(from net.Listener, n int) *sharedListener {
	s := &sharedListener{listener: from, open: n}
	for range n {
		s.shards = append(s.shards, &shardListener{sharedListener: s, accepted: make(chan acceptResult), closed: make(chan struct{})})
	}
	return s
}

// Accept implements net.Listener.
func (d *shardListener) Accept() (net.Conn, error) {
	select {
	case t := <-d.accepted:
		return t.conn, t.err
	case <-d.closed:
		return nil, net.ErrClosed
	}
}

// Addr implements net.Listener.
func (d *shardListener) Addr() net.Addr { return d.listener.Addr() }

// Close closes one event loop's share; closing the last one closes the listener.
func (d *shardListener) Close() error {
	last := false
	d.closeOnce.Do(func() {
		close(d.closed)
		d.mu.Lock()
		d.open--
		last = d.open == 0
		d.mu.Unlock()
	})
	if last {
		return d.listener.Close()
	}
	return nil
}

// distribute hands accepted connections round-robin to event loops that are ready to accept, so that one without room does
// not delay the others. It returns once the listener is closed.
func (s *sharedListener) distribute() {
	for next := 0; ; next++ {
		conn, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if !s.handOver(acceptResult{conn, err}, next) && conn != nil {
			conn.Close()
		}
	}
}

// handOver passes a connection to the event loop with index first if it is ready to accept, else to the next one that is. It
// returns false if all shares are closed.
func (s *sharedListener) handOver(result acceptResult, first int) bool {
	n := len(s.shards)
	for i := range n {
		select {
		case s.shards[(first+i)%n].accepted <- result:
			return true
		default:
		}
	}
	for i := range n { // none is ready: wait for each in turn
		d := s.shards[(first+i)%n]
		select {
		case d.accepted <- result:
			return true
		case <-d.closed:
		}
	}
	return false
}
