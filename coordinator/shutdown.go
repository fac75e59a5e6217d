package coordinator

import (
	"context"
	"time"
)

// shutDown begins the end once ctx ends: new connections are taken for acceptAfterStop, since the platform still sends. Those that
// are open are served until their clients close them or send nothing for stopIdleTimeout, for maxStopTime at the longest; the owner
// ends with the last of them.
func (o *eventLoop) shutDown(ctx context.Context, stop context.CancelFunc) error {
	defer stop()
	select {
	case <-ctx.Done():
	case <-o.ctx.Done():
		o.Listener.Close()
		return nil
	}
	by := o.Clock.Now().Add(o.plan.TerminationGrace() - killMargin)
	o.answerDeadline.Store(&by)
	o.log.Info("stopping", "name", o.plan.Name)
	select {
	case <-o.Clock.After(acceptAfterStop):
	case <-o.ctx.Done():
	}
	o.acceptLast()
	stop()
	select {
	case <-o.Clock.After(stopIdleTimeout):
		o.Listener.Close() // whose accept may be waiting for room
	case <-o.ctx.Done():
	}
	select {
	case <-o.Clock.After(maxStopTime - stopIdleTimeout):
		o.closeAfterAnswer.Store(true)
	case <-o.ctx.Done():
	}
	return nil
}

// acceptLast has the listener closed once the connections that have come are taken. Guards against a process that was held up:
// what waits in the system's queue is reset by the close. A listener that knows no deadline is closed at once.
func (o *eventLoop) acceptLast() {
	ln, ok := o.Listener.(interface{ SetDeadline(time.Time) error })
	if !ok || ln.SetDeadline(time.Now().Add(finalReadGrace)) != nil {
		o.Listener.Close()
	}
}

// isStopping tells that the co-ordinator has been isStopping to end.
func (o *eventLoop) isStopping() bool { return o.answerDeadline.Load() != nil }

// limitTimeout is how long a search that came then may take. Guards against SIGKILL: what comes as the co-ordinator stops has its
// final answer before that may come, whatever time its client gives.
func (o *eventLoop) limitTimeout(patience time.Duration, came time.Time) time.Duration {
	by := o.answerDeadline.Load()
	if by == nil {
		return patience
	}
	return max(time.Millisecond, min(patience, by.Sub(came)))
}
