package replication

import (
	"context"
	"time"

	"chalkring/internal/scheduler"
)

const (
	updateFanout      = 3                      // receivers of a fresh change from each instance to which it is new
	updateInterval    = 200 * time.Millisecond // between two rounds of updates; the first is sent at once
	maxPendingUpdates = 512                    // names in one round; exchanges bring the names beyond it, as in bulk writes
)

// queueUpdates queues fresh changes to be sent to a few other instances. r.mu is held.
func (r *Replicator) queueUpdates(names []string) {
	for _, name := range names {
		if !r.isPendingUpdate[name] && len(r.pendingUpdates) < maxPendingUpdates {
			r.isPendingUpdate[name] = true
			r.pendingUpdates = append(r.pendingUpdates, name)
		}
	}
	notify(r.updateSignal)
}

// sendUpdates is the job that sends fresh changes until ctx ends.
func (r *Replicator) sendUpdates(ctx context.Context, allowance *scheduler.Allowance) error {
	select {
	case <-r.ready:
	case <-ctx.Done():
	}
	for ctx.Err() == nil {
		select {
		case <-r.updateSignal:
		case <-ctx.Done():
			return nil
		}
		peers, _ := r.shuffledPeers()
		peers = peers[:min(len(peers), updateFanout)]
		for _, message := range r.takeUpdates() {
			for _, peer := range peers {
				r.sendUpdate(ctx, allowance, peer, message)
			}
		}
		select {
		case <-time.After(updateInterval):
		case <-ctx.Done():
		}
	}
	return nil
}

// takeUpdates empties the queue of updates and returns their messages.
func (r *Replicator) takeUpdates() (messages []stateMessage) {
	r.mu.Lock()
	defer r.mu.Unlock()
	names := r.pendingUpdates
	r.pendingUpdates = nil
	clear(r.isPendingUpdate)
	return r.stateMessages(false, names)
}

// stateMessages returns the states of names as messages. r.mu is held.
func (r *Replicator) stateMessages(withKnown bool, names []string) (messages []stateMessage) {
	for _, batch := range r.state.BuildBatches(withKnown, names) {
		messages = append(messages, stateMessage{Actor: r.state.Actor(), Batch: batch})
	}
	return messages
}

// sendUpdate sends one message. If that fails, exchanges bring its changes later.
func (r *Replicator) sendUpdate(ctx context.Context, allowance *scheduler.Allowance, peer string, message stateMessage) {
	sent, err := r.sendMessage(ctx, allowance, peer, kindUpdate, message)
	r.mu.Lock()
	r.stats.UpdateBytesSent += uint64(sent)
	r.mu.Unlock()
	if err != nil && ctx.Err() == nil {
		r.logFailure(eventUpdate, "peer", peer, &ExchangeInterruptedError{peer, err})
	}
}
