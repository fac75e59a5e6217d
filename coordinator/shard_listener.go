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

// shardListener is one event loop's part of a listener. It implements net.Listener.
type shardListener struct {
	*sharedListener
	accepted  chan acceptResult
	closed    chan struct{}
	closeOnce sync.Once
}

// acceptResult is one connection, or why there is none.
type acceptResult struct {
	conn net.Conn
	err  error
}

// newSharedListener returns a listener for n event loops; distribute has to run.
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

// Close gives one event loop's part up; the last one closes the listener.
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

// distribute hands connections round-robin to an event loop that waits for one, so that one without room does not
// delay the others. It returns once the listener is closed.
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

// handOver hands a connection over, to the event loop at first or else to the next that accepts.
func (s *sharedListener) handOver(result acceptResult, first int) bool {
	n := len(s.shards)
	for i := range n {
		select {
		case s.shards[(first+i)%n].accepted <- result:
			return true
		default:
		}
	}
	for i := range n { // all are busy
		d := s.shards[(first+i)%n]
		select {
		case d.accepted <- result:
			return true
		case <-d.closed:
		}
	}
	return false
}
