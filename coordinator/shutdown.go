package coordinator

import "context"

// windUp begins the end once ctx ends: requests that the platform still sends are taken for takeOn, then no
// more are awaited. The owner ends the rest when the last client has its answer.
func (o *owner) windUp(ctx context.Context, stop context.CancelFunc) error {
	defer stop()
	defer o.Listener.Close()
	select {
	case <-ctx.Done():
	case <-o.ctx.Done():
		return nil
	}
	o.log.Info("stopping", "name", o.plan.Name)
	select {
	case <-o.Clock.After(takeOn):
	case <-o.ctx.Done():
	}
	return nil
}
