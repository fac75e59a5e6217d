package coordinator

import (
	"context"
	"errors"
	"sync/atomic"
	"time"
)

const (
	acceptAfterStop = 500 * time.Millisecond // for new connections after a stop, since the platform opens connections for another 0.4 s
	killMargin      = 200 * time.Millisecond // answers are due this long before SIGKILL, as the signal and the answers take time to arrive
	maxStopTime     = 20 * time.Second       // for serving connections that stay open; after it each answer closes its connection
)

// stopState is the state of a shutdown: zero values before it. Any goroutine may read it.
type stopState struct {
	answerDeadline   atomic.Pointer[time.Time] // by which final answers have to be sent
	closeAfterAnswer atomic.Bool               // each answer closes its connection, since maxStopTime is over
}

// shutDown shuts the coordinator down once ctx is done. New connections are accepted for acceptAfterStop, since the
// platform still opens some. Open connections are served until their clients close them or send nothing for
// stopIdleTimeout, for at most maxStopTime; the event loop ends with the last of them.
func (loop *eventLoop) shutDown(ctx context.Context, cancel context.CancelFunc) error {
	defer cancel()
	select {
	case <-ctx.Done():
	case <-loop.ctx.Done():
		loop.Listener.Close()
		return nil
	}
	toldAt := loop.earliestArrivalAt(loop.Clock.Now()) // the platform counts its time from SIGTERM, which may have come during a stall
	by := toldAt.Add(loop.plan.TerminationGrace() - killMargin)
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

// acceptLast sets a deadline after which accept closes the listener, so that connections in the system's queue are accepted
// first: the close would reset them. A listener without deadlines is closed at once.
func (loop *eventLoop) acceptLast() {
	ln, ok := loop.Listener.(interface{ SetDeadline(time.Time) error })
	if !ok || ln.SetDeadline(time.Now().Add(finalReadGrace)) != nil {
		loop.Listener.Close()
	}
}

// isStopping reports whether a shutdown has begun.
func (loop *eventLoop) isStopping() bool { return loop.stop.answerDeadline.Load() != nil }

// limitTimeout returns the timeout of a search, given the client's timeout and the time of arrival: during shutdown the
// search has to be answered before SIGKILL, even if its client allows more time.
func (loop *eventLoop) limitTimeout(timeout time.Duration, arrivedAt time.Time) time.Duration {
	by := loop.stop.answerDeadline.Load()
	if by == nil {
		return timeout
	}
	return max(time.Millisecond, min(timeout, by.Sub(arrivedAt)))
}

// errAllAnswered ends the coordinator's goroutines at the end of a shutdown.
var errAllAnswered = errors.New("all requests are answered")
