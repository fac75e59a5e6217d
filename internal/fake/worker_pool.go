package fake

import (
	"context"
	"time"
)

// maxQueuedRequests is how many requests wait for a worker; more are rejected.
const maxQueuedRequests = 1 << 14

// NewWorkerPool returns a handler that answers requests with a number of workers, each after a service time; more requests queue, as on
// a replica with so many cores. A service time below 0 never answers. The workers end with ctx.
func NewWorkerPool(ctx context.Context, workers int, serviceTime func() time.Duration) func(r ShardRequest) {
	queue := make(chan ShardRequest, maxQueuedRequests)
	for range workers {
		go work(ctx, queue, serviceTime)
	}
	return func(r ShardRequest) {
		select {
		case queue <- r:
		default:
			r.Reply("later", "-", "")
		}
	}
}

func work(ctx context.Context, queue <-chan ShardRequest, serviceTime func() time.Duration) {
	for {
		var request ShardRequest
		select {
		case request = <-queue:
		case <-ctx.Done():
			return
		}
		duration := serviceTime()
		if duration < 0 {
			continue
		}
		select {
		case <-time.After(duration):
			request.ReplyGood()
		case <-ctx.Done():
			return
		}
	}
}
