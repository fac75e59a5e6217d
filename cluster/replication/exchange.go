package replication

import (
	"context"
	"errors"
	"time"

	"github.com/fxamacker/cbor/v2"

	"chalkring/cluster/crdt"
	"chalkring/internal/advice"
	"chalkring/internal/scheduler"
)

const (
	// maxChainedExchanges is how many exchanges one round makes in sequence while they find differences, so that a cluster
	// converges sooner after a partition.
	maxChainedExchanges = 8
	// responseTimeout is how long the initiator waits for a response.
	responseTimeout = 2 * time.Second
	// maxRequestAttempts is how many consecutive requests without a response interrupt an exchange. A later round resumes
	// it.
	maxRequestAttempts = 2
	// maxExchangeAge is the age above which an interrupted exchange is not resumed, and a new one begins instead.
	maxExchangeAge = 10 * time.Minute
	// resumeOneRoundIn: on average, one round in this many prefers a peer with an interrupted exchange.
	resumeOneRoundIn = 2
)

// openExchange is an exchange that has not ended.
type openExchange struct {
	exchange  *crdt.Exchange
	startedAt time.Time
}

// runExchanges is the job for one round: an exchange with one peer, and further ones while they find differences.
func (r *Replicator) runExchanges(ctx context.Context, allowance *scheduler.Allowance) error {
	if !r.isReady() {
		return nil
	}
	for range maxChainedExchanges {
		peer := r.choosePeer()
		if peer == "" {
			return nil
		}
		differed, err := r.exchangeWith(ctx, allowance, peer)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil && !r.handleSuperseded(err) {
			r.logFailure(eventExchange, "peer", peer, err)
		}
		if err != nil || !differed {
			return nil
		}
	}
	return nil
}

// choosePeer returns a peer that has just become reachable. If there is none, it returns, in one round of resumeOneRoundIn,
// a peer whose exchange was interrupted, and otherwise a random peer. It returns "" if no peer is reachable.
func (r *Replicator) choosePeer() string {
	alive, _ := r.shuffledPeers()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.forgetUnreachablePeers(alive)
	if len(alive) == 0 {
		return ""
	}
	for _, name := range alive {
		if !r.contactedPeers[name] {
			r.contactedPeers[name] = true
			return name
		}
	}
	if r.rng.Intn(resumeOneRoundIn) == 0 {
		for _, name := range alive {
			if r.openExchanges[name] != nil {
				return name
			}
		}
	}
	return alive[0]
}

// forgetUnreachablePeers makes unreachable peers count as new once they are reachable again. r.mu is held.
func (r *Replicator) forgetUnreachablePeers(alive []string) {
	isAlive := map[string]bool{}
	for _, name := range alive {
		isAlive[name] = true
	}
	for name := range r.contactedPeers {
		if !isAlive[name] {
			delete(r.contactedPeers, name)
		}
	}
}

// exchangeWith runs an exchange with a peer until nothing is left to request, or until the peer does not respond. It
// reports whether anything differed.
func (r *Replicator) exchangeWith(ctx context.Context, allowance *scheduler.Allowance, peer string) (differed bool, err error) {
	open, responses := r.openExchangeWith(peer)
	defer r.removeResponseWaiter(open.exchange.ID())
	for attempts := 0; ; {
		request, ok := r.nextRequest(open.exchange)
		if !ok {
			return r.closeExchange(peer, open), nil
		}
		response, err := r.sendRequest(ctx, allowance, peer, request, responses)
		if err != nil {
			if attempts++; attempts < maxRequestAttempts && ctx.Err() == nil {
				continue
			}
			return false, &ExchangeInterruptedError{peer, err}
		}
		attempts = 0
		if err := r.applyResponse(ctx, allowance, open.exchange, response); err != nil {
			return false, err
		}
	}
}

// openExchangeWith resumes the peer's interrupted exchange or begins one, and registers for its responses.
func (r *Replicator) openExchangeWith(peer string) (*openExchange, <-chan crdt.ExchangeResponse) {
	r.mu.Lock()
	defer r.mu.Unlock()
	open := r.openExchanges[peer]
	if open == nil || open.exchange.IsDone() || time.Since(open.startedAt) > maxExchangeAge {
		r.lastExchangeID++
		open = &openExchange{r.state.NewExchange(peer, r.lastExchangeID), time.Now()}
		r.openExchanges[peer] = open
	}
	responses := make(chan crdt.ExchangeResponse, 1)
	r.responseWaiters[open.exchange.ID()] = responses
	return open, responses
}

func (r *Replicator) removeResponseWaiter(exchangeID uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.responseWaiters, exchangeID)
}

// nextRequest returns the next request of an exchange. An earlier one without a response is withdrawn.
func (r *Replicator) nextRequest(exchange *crdt.Exchange) (crdt.ExchangeRequest, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	exchange.RequeueRequest()
	return exchange.NextRequest()
}

// closeExchange ends an exchange that has nothing left to request, and reports whether anything differed.
func (r *Replicator) closeExchange(peer string, open *openExchange) (differed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.openExchanges[peer] == open {
		delete(r.openExchanges, peer)
	}
	if open.exchange.IsComplete() {
		notify(r.persistSignal) // the known version may have grown and must be stored
	}
	return open.exchange.DifferingBuckets > 0
}

// sendRequest sends a request and waits for its response.
func (r *Replicator) sendRequest(
	ctx context.Context, allowance *scheduler.Allowance, peer string, request crdt.ExchangeRequest, responses <-chan crdt.ExchangeResponse,
) (crdt.ExchangeResponse, error) {
	if err := r.sendExchangeMessage(ctx, allowance, peer, kindRequest, request); err != nil {
		return crdt.ExchangeResponse{}, err
	}
	return awaitResponse(ctx, responses, request)
}

var errResponseTimeout = errors.New("timed out waiting for the response")

// awaitResponse waits for the response to a request. Late responses to earlier requests are dropped.
func awaitResponse(ctx context.Context, responses <-chan crdt.ExchangeResponse, request crdt.ExchangeRequest) (crdt.ExchangeResponse, error) {
	timeout := time.NewTimer(responseTimeout)
	defer timeout.Stop()
	for {
		select {
		case response := <-responses:
			if response.RequestSeq == request.RequestSeq {
				return response, nil
			}
		case <-timeout.C:
			return crdt.ExchangeResponse{}, errResponseTimeout
		case <-ctx.Done():
			return crdt.ExchangeResponse{}, ctx.Err()
		}
	}
}

// handleResponse passes a response to the exchange that waits for it, if any.
func (r *Replicator) handleResponse(content []byte) error {
	var response crdt.ExchangeResponse
	if err := cbor.Unmarshal(content, &response); err != nil {
		return err
	}
	r.mu.Lock()
	waiter := r.responseWaiters[response.ExchangeID]
	r.mu.Unlock()
	select {
	case waiter <- response:
	default:
	}
	return nil
}

// applyResponse merges a response and sends what the peer lacks. After an error the exchange makes no more requests in this
// round.
func (r *Replicator) applyResponse(
	ctx context.Context, allowance *scheduler.Allowance, exchange *crdt.Exchange, response crdt.ExchangeResponse,
) error {
	alreadyReported := exchange.MissedDeletes
	repairs, err := r.mergeResponse(exchange, response)
	peer := exchange.Peer()
	if exchange.MissedDeletes && !alreadyReported {
		r.options.Logger.Warn(eventAbsence, advice.LogAttrs(&LongAbsenceError{peer, exchange.UnsyncedNames})...)
	}
	switch {
	case errors.Is(err, crdt.ErrPeerRestarted):
		return &ExchangeInterruptedError{peer, err}
	case advice.HasType[*crdt.SupersededError](err):
		return err
	case err != nil:
		r.logFailure(eventRefused, "peer", peer, err)
	}
	for _, repair := range repairs {
		if err := r.sendExchangeMessage(ctx, allowance, peer, kindRepair, repair); err != nil {
			return &ExchangeInterruptedError{peer, err}
		}
	}
	return nil
}

// mergeResponse merges a response and returns the messages with what the peer lacks.
func (r *Replicator) mergeResponse(exchange *crdt.Exchange, response crdt.ExchangeResponse) (repairs []stateMessage, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	changed, lacking, err := exchange.ApplyResponse(response)
	r.recordChanges(changed)
	repairs = r.stateMessages(true, lacking)
	cannotResume := errors.Is(err, crdt.ErrPeerRestarted) || !exchange.HasStarted()
	if err != nil && !exchange.IsDone() && cannotResume {
		delete(r.openExchanges, exchange.Peer())
	}
	return repairs, err
}
