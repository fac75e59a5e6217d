package replication

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"

	"chalkring/cluster/crdt"
	"chalkring/internal/scheduler"
)

const (
	maxConcurrentResponses = 4           // responses prepared and sent at the same time
	responseDeadline       = time.Second // a response not started by then is dropped; the peer repeats its request
)

// handleRequest schedules the response to a request. A request whose actor is not the sender's is ignored. If there are
// too many jobs the request is dropped, and the peer repeats it.
func (r *Replicator) handleRequest(from string, content []byte) error {
	var request crdt.ExchangeRequest
	if err := cbor.Unmarshal(content, &request); err != nil || crdt.ActorInstance(request.Actor) != from {
		return err
	}
	job := scheduler.Job{
		Name: jobNamePrefix + jobResponse, Kind: jobResponse, Priority: scheduler.PriorityNormal,
		Deadline: schedulerTicks(responseDeadline), MaxFailures: 1,
	}
	_, _ = r.pool.Add(job, func(ctx context.Context, allowance *scheduler.Allowance) error {
		r.respond(ctx, allowance, from, request)
		return nil
	})
	return nil
}

// respond sends the response to a request.
func (r *Replicator) respond(ctx context.Context, allowance *scheduler.Allowance, from string, request crdt.ExchangeRequest) {
	r.mu.Lock()
	response, err := r.state.HandleRequest(from, request)
	r.mu.Unlock()
	if err != nil {
		r.logFailure(eventMessage, "peer", from, err)
		return
	}
	if err := r.sendExchangeMessage(ctx, allowance, from, kindResponse, response); err != nil && ctx.Err() == nil {
		r.logFailure(eventExchange, "peer", from, &ExchangeInterruptedError{from, err})
	}
}
