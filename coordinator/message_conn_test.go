package coordinator

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// slowConn takes its first write once its reader has seen the end.
type slowConn struct {
	net.Conn
	ended chan struct{}
	took  atomic.Int32
}

func (c *slowConn) Write(p []byte) (int, error) {
	if c.took.Add(1) == 1 {
		<-c.ended
	}
	return len(p), nil
}

func (*slowConn) SetWriteDeadline(time.Time) error { return nil }

func (*slowConn) Close() error { return nil }

// A message that waits behind another as the other side closes is not written any more: it was never sent, and may be
// retried whatever its effect.
func TestNoWriteBeginsAfterConnectionEnd(t *testing.T) {
	for range 50 { // both are ready, and which a select takes is chance
		l := newMessageConn(t.Context(), 2)
		c := &slowConn{ended: make(chan struct{})}
		first, next := &outboundMessage{buffer: borrowBuffer()}, &outboundMessage{buffer: borrowBuffer()}
		l.enqueue(first)
		end := l.serve(c, time.Minute, func(ctx context.Context) error {
			for c.took.Load() == 0 { // the first is on its way
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
