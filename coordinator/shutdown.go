package coordinator

import (
	"context"
	"errors"
	"sync/atomic"
	"time"
)

const (
	acceptAfterStop = 500 * time.Millisecond // in which new connections are accepted after a stop: the platform sends for 0.4 s more
	killMargin      = 200 * time.Millisecond // kept before SIGKILL: the signal's way here, the answer's way out
	maxStopTime     = 20 * time.Second       // for answers on connections that stay open; after it each answer ends its connection
)

// stopState is what a shutdown sets; both are nil or false before it. Any goroutine may read it.
type stopState struct {
	answerDeadline   atomic.Pointer[time.Time] // by which final answers have to be out
	closeAfterAnswer atomic.Bool               // each answer ends its connection, as maxStopTime is over
}

// shutDown ends the coordinator once ctx is done. New connections are accepted for acceptAfterStop, since the platform
// still sends. Open ones are served until their clients close them or send nothing for stopIdleTimeout, for
// maxStopTime at the longest; the event loop ends with the last of them.
func (loop *eventLoop) shutDown(ctx context.Context, cancel context.CancelFunc) error {
	defer cancel()
	select {
	case <-ctx.Done():
	case <-loop.ctx.Done():
		loop.Listener.Close()
		return nil
	}
	by := loop.Clock.Now().Add(loop.plan.TerminationGrace() - killMargin)
	loop.stop.answerDeadline.Store(&by)
	loop.log.Info("stopping", "name", loop.plan.Name)
	select {
	case <-loop.Clock.After(acceptAfterStop):
	case <-loop.ctx.Done():
	}
	loop.acceptLast()
	cancel()
	select {
	case <-loop.Clock.After(stopIdleTimeout):
		loop.Listener.Close() // accept may be waiting for room
	case <-loop.ctx.Done():
	}
	select {
	case <-loop.Clock.After(maxStopTime - stopIdleTimeout):
		loop.stop.closeAfterAnswer.Store(true)
	case <-loop.ctx.Done():
	}
	return nil
}

// acceptLast has the listener closed once the connections that have arrived are accepted: those that wait in the
// system's queue would be reset by the close. A listener without deadlines is closed at once.
func (loop *eventLoop) acceptLast() {
	ln, ok := loop.Listener.(interface{ SetDeadline(time.Time) error })
	if !ok || ln.SetDeadline(time.Now().Add(finalReadGrace)) != nil {
		loop.Listener.Close()
	}
}

// isStopping says whether a shutdown has begun.
func (loop *eventLoop) isStopping() bool { return loop.stop.answerDeadline.Load() != nil }

// limitTimeout returns how long a search that arrived at a time may take: during shutdown it has to be answered before
// SIGKILL, whatever time its client gives.
func (loop *eventLoop) limitTimeout(patience time.Duration, came time.Time) time.Duration {
	by := loop.stop.answerDeadline.Load()
	if by == nil {
		return patience
	}
	return max(time.Millisecond, min(patience, by.Sub(came)))
}

// errAllAnswered ends the coordinator's goroutines: a shutdown is complete.
var errAllAnswered = errors.New("all is answered")
