package coordinator

import (
	"context"
	"time"
)

// windUp begins the end once ctx ends: new connections are taken for takeOn, since the platform still sends. Those that
// are open are served until their clients close them or send nothing for stopQuiet, for stopMost at the longest; the owner
// ends with the last of them.
func (o *owner) windUp(ctx context.Context, stop context.CancelFunc) error {
	defer stop()
	select {
	case <-ctx.Done():
	case <-o.ctx.Done():
		o.Listener.Close()
		return nil
	}
	by := o.Clock.Now().Add(o.plan.TerminationGrace() - killPad)
	o.endBy.Store(&by)
	o.log.Info("stopping", "name", o.plan.Name)
	select {
	case <-o.Clock.After(takeOn):
	case <-o.ctx.Done():
	}
	o.takeLast()
	stop()
	select {
	case <-o.Clock.After(stopQuiet):
		o.Listener.Close() // whose accept may be waiting for room
	case <-o.ctx.Done():
	}
	select {
	case <-o.Clock.After(stopMost - stopQuiet):
		o.lastly.Store(true)
	case <-o.ctx.Done():
	}
	return nil
}

// takeLast has the listener closed once the connections that have come are taken. Guards against a process that was held up:
// what waits in the system's queue is reset by the close. A listener that knows no deadline is closed at once.
func (o *owner) takeLast() {
	ln, ok := o.Listener.(interface{ SetDeadline(time.Time) error })
	if !ok || ln.SetDeadline(time.Now().Add(lateLook)) != nil {
		o.Listener.Close()
	}
}

// told tells that the co-ordinator has been told to end.
func (o *owner) told() bool { return o.endBy.Load() != nil }

// within is how long a search that came then may take. Guards against SIGKILL: what comes as the co-ordinator stops has its
// final answer before that may come, whatever time its client gives.
func (o *owner) within(patience time.Duration, came time.Time) time.Duration {
	by := o.endBy.Load()
	if by == nil {
		return patience
	}
	return max(time.Millisecond, min(patience, by.Sub(came)))
}
