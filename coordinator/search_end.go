package coordinator

import (
	"cmp"
	"slices"
	"time"

	"chalkring/control/residency"
)

// searchOutcome is a final answer.
type searchOutcome struct {
	outcome       int
	complete      bool
	retryAfter    int64
	dispatched    bool            // an attempt was made
	parts         []*shardRequest // completed, in the search's order
	pendingWrites []pendingWrite  // have to end before the answer is sent
	refusal       *residency.SearchRejectedError
}

// Outcomes of a search.
const (
	outcomeAnswered = iota
	outcomeShed
	outcomeFailed
	outcomeDuplicateID      // refused: an open search has the same name
	outcomeResidencyRefused // refused by a residency contract
	outcomeClientGone       // only in a SearchEnd: the client has left
)

// AnswerSearch ends a search with an answer, complete or partial, or starts its second step. It implements
// balancer.Actions.
func (loop *eventLoop) AnswerSearch(id uint64, complete bool) {
	search := loop.searches.byID[id]
	if search == nil {
		return
	}
	completed := loop.completedParts(search)
	if followUps := loop.followUpCount(search.class); search.step == 1 && followUps > 0 {
		search.firstStepComplete = complete
		for _, request := range completed {
			search.firstStepShards = append(search.firstStepShards, request.shard)
		}
		slices.Sort(search.firstStepShards)
		loop.runNextIteration(func() { loop.startSecondStep(search, completed, followUps) })
		return
	}
	loop.notifySearchEnd(search, outcomeAnswered)
	pending := loop.finishSearch(search)
	search.reply(searchOutcome{outcome: outcomeAnswered, complete: complete, parts: completed, pendingWrites: pending})
}

// ShedSearch rejects a search; retryAfter is in ticks, 0 for none. It implements balancer.Actions.
func (loop *eventLoop) ShedSearch(id uint64, retryAfter int64) {
	loop.endSearch(id, searchOutcome{outcome: outcomeShed, retryAfter: retryAfter})
}

// FailSearch ends a search with an error. It implements balancer.Actions.
func (loop *eventLoop) FailSearch(id uint64) {
	loop.endSearch(id, searchOutcome{outcome: outcomeFailed})
}

// endSearch ends a search without an answer.
func (loop *eventLoop) endSearch(id uint64, outcome searchOutcome) {
	if search := loop.searches.byID[id]; search != nil {
		if outcome.refusal = loop.enforcer.refusalOf(search); outcome.refusal != nil {
			outcome.outcome, outcome.retryAfter = outcomeResidencyRefused, 0
		}
		outcome.dispatched = slices.ContainsFunc(search.shardRequests, func(request *shardRequest) bool { return len(request.attempts) > 0 })
		loop.notifySearchEnd(search, outcome.outcome)
		loop.rememberName(search)
		outcome.pendingWrites = loop.finishSearch(search)
		search.reply(outcome)
	}
}

// withdrawSearch cancels a search whose client has left. It returns the writes that have to end before anything is
// sent to that client.
func (loop *eventLoop) withdrawSearch(search *search) (pending []pendingWrite) {
	if search.ended {
		return nil
	}
	loop.notifySearchEnd(search, outcomeClientGone)
	loop.rememberName(search)
	pending = loop.finishSearch(search)
	loop.balancer.CancelSearch(search.id)
	return pending
}

// withdrawGoneClients withdraws the searches of clients that have closed their connections, even if the connections'
// readers have not reported it yet.
func (loop *eventLoop) withdrawGoneClients() {
	var gone []*search
	for _, open := range loop.searches.byID {
		if open.client != nil && open.client.hasHungUp() {
			gone = append(gone, open)
		}
	}
	slices.SortFunc(gone, func(a, b *search) int { return cmp.Compare(a.id, b.id) }) // the order of the calls decides that of the balancer's actions, and a map has none
	for _, search := range gone {
		loop.withdrawSearch(search)
	}
}

// SearchEnd is how a search ended, for statistics that are kept outside the event loop.
type SearchEnd struct {
	Type, Outcome int           // index of the class in the plan; one of OutcomeAnswered, OutcomeShed and so on
	Duration      time.Duration // since the search arrived
	Attempts      int           // of all shard requests
}

// notifySearchEnd calls OnSearchEnd, if it is set.
func (loop *eventLoop) notifySearchEnd(search *search, outcome int) {
	if loop.OnSearchEnd == nil {
		return
	}
	end := SearchEnd{Type: search.class, Outcome: outcome, Duration: loop.Clock.Now().Sub(search.arrivedAt)}
	for _, request := range search.shardRequests {
		end.Attempts += len(request.attempts)
	}
	loop.OnSearchEnd(end)
}

// finishSearch forgets a search and ends its attempts. It returns the writes that have to end before the final answer is
// sent; the slice is valid until the next call.
func (loop *eventLoop) finishSearch(search *search) (pending []pendingWrite) {
	pending = loop.searches.pendingWrites[:0]
	defer func() { loop.searches.pendingWrites = pending }()
	loop.holdBytes(search, -int(search.heldBytes))
	search.ended = true
	delete(loop.searches.byID, search.id)
	delete(loop.searches.names, search.name)
	if search.decodeValue != nil {
		loop.decoders.remove(search.name)
	}
	for _, write := range search.pendingWrites {
		if !write.isWritten() {
			pending = append(pending, write)
		}
	}
	for _, request := range search.shardRequests {
		for _, attempt := range request.attempts {
			if abandoned := loop.replicas.abandoned[attempt]; abandoned != nil {
				loop.deferAttemptOutcome(attempt, loop.forgetAbandoned(abandoned))
			}
			if attempt.batch == nil {
				continue
			}
			// Nothing may be sent after the final answer: a write that has begun has to end before it.
			if batch := attempt.batch; !loop.recallBatch(batch, search) {
				if write := (pendingWrite{batch.connection.messageConn, batch.message}); !write.isWritten() {
					pending = append(pending, write)
				}
			}
		}
		loop.dropShardRequest(request)
	}
	search.releaseCopies()
	search.shardRequests, search.text, search.shards, search.weights, search.pendingWrites = nil, nil, nil, nil, nil // an idle client connection refers to its last search, and would keep these in memory
	return pending
}

// dropShardRequest forgets a shard request once its search has ended and the balancer has the outcomes of all its
// attempts. Until then, the balancer may cancel them.
func (loop *eventLoop) dropShardRequest(request *shardRequest) {
	if request.search.ended && request.unreported == 0 {
		delete(loop.searches.shardRequests, request.id)
	}
}
