package coordinator

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// slowConn is a connection whose first write lasts until the reader has seen the connection's end.
type slowConn struct {
	net.Conn
	ended  chan struct{}
	writes atomic.Int32 // that have begun
}

func (c *slowConn) Write(p []byte) (int, error) {
	if c.writes.Add(1) == 1 {
		<-c.ended
	}
	return len(p), nil
}

func (*slowConn) SetWriteDeadline(time.Time) error { return nil }

func (*slowConn) Close() error { return nil }

// A message that is queued behind another when the other side closes is not written any more. Guards against a frame
// whose write begins after the end: its attempt would count as possibly run, and an unsafe one would not be retried.
func TestNoWriteBeginsAfterConnectionEnd(t *testing.T) {
	for range 50 { // the end and the message are ready together, and which the writer's select takes is random
		l := newMessageConn(t.Context(), 2)
		c := &slowConn{ended: make(chan struct{})}
		first, next := &outboundMessage{buffer: borrowBuffer()}, &outboundMessage{buffer: borrowBuffer()}
		l.enqueue(first)
		end := l.serve(c, time.Minute, func(ctx context.Context) error {
			for c.writes.Load() == 0 { // until the first write has begun
				time.Sleep(100 * time.Microsecond)
			}
			l.enqueue(next)
			context.AfterFunc(ctx, func() { close(c.ended) })
			return errPeerClosed
		}, func(*outboundMessage) error { return nil })
		require.Equal(t, errPeerClosed, end)
		require.Equal(t, stageWritten, first.stage.Load())
		require.Equal(t, stageQueued, next.stage.Load())
	}
}
