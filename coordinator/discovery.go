package coordinator

import (
	"context"
	"errors"
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"os"
	"time"

	"chalkring/coordinator/plan"

	"chalkring/endpoints"
	"chalkring/internal/http1"
)

const (
	watchInterval            = time.Second            // between two calls of all coordinators together: bounds the load of discovery
	maxWatchWait             = 20 * time.Second       // of one call for changes: a silent connection shows after it
	fullListTimeout          = 2 * time.Second        // of a call for the complete list, which is answered at once
	watchAnswerSlack         = time.Second            // for an answer after a call's wait
	minPollBackoff           = 500 * time.Millisecond // first backoff before the list is polled again
	maxPollBackoff           = 3 * time.Second        // longest backoff, half of it random: a missed change counts as known after 6 s
	maxPollDelay             = 5 * time.Second        // from the start of a failed call to the next at the latest: a missed change counts as known after 6 s
	lossSpreadPerCoordinator = 10 * time.Millisecond  // between the calls of all coordinators that lost discovery at once
	maxLossSpread            = 2 * time.Second        // over which those calls are spread: a missed change counts as known after 6 s
)

// discoveryRequests are the event loop's and a reload's requests to the goroutine that follows discovery.
type discoveryRequests struct {
	polls chan struct{} // the balancer has asked for a subscription
	moves chan string   // the address of discovery has changed
}

// discoveryState is what is known of the discovery service at one address.
type discoveryState struct {
	addr                 string
	version              float64
	needsFullList        bool // the complete list comes first: versions may have restarted
	lastCallFailed       bool
	answeredSinceFailure bool

	nextAttemptBy time.Time // by when the next call has to begin if this one fails
}

// remaining returns how long the next call may wait; the first backoff after a long call fits in.
func (a *discoveryState) remaining() time.Duration {
	return max(minPollBackoff*3/2, time.Until(a.nextAttemptBy))
}

// followDiscovery keeps the endpoint list up to date until the coordinator ends. Where the settings leave polling to
// the balancer, each of its subscriptions lasts until a call fails, which is reported to it; elsewhere failures are
// followed by a random exponential backoff. When discovery has moved, the complete list is polled at the new address
// at once, under the subscription that there was, and backoffs begin again. In both modes the next call begins soon
// enough that a missed change counts as known in time.
func (loop *eventLoop) followDiscovery() error {
	follower := &discoveryFollower{
		loop: loop, isSubscribed: loop.plan.Settings["Discovery"] == "subscribe",
		random: rand.New(rand.NewSource(loop.plan.Seed)), backoff: minPollBackoff,
		// A coordinator that knows no host asks for the complete list, which is answered at once: a watch call may wait
		// for long, and nothing is served until a silent one has failed.
		state: discoveryState{
			addr: loop.plan.Discovery, version: loop.plan.Known.Version, needsFullList: len(loop.plan.Known.Hosts) == 0,
			nextAttemptBy: time.Now().Add(maxPollDelay),
		},
	}
	for {
		follower.awaitTurn()
		if loop.ctx.Err() != nil {
			return nil
		}
		movedTo, err := follower.watch()
		if follower.hasMoved = movedTo != ""; follower.hasMoved {
			follower.move(movedTo)
			continue
		}
		if loop.ctx.Err() != nil {
			return nil
		}
		follower.handleFailure(err)
	}
}

// discoveryFollower is the state of followDiscovery, between one series of calls and the next.
type discoveryFollower struct {
	loop         *eventLoop
	state        discoveryState
	random       *rand.Rand
	isSubscribed bool // polling is left to the balancer
	hasMoved     bool // discovery has another address since the last call
	pollsAtOnce  bool
	backoff      time.Duration
	spread       time.Duration // over which the next call is spread
}

// move follows discovery to another address.
func (f *discoveryFollower) move(addr string) {
	f.state.addr, f.state.needsFullList, f.state.lastCallFailed = addr, true, false
	if f.hasMoved, f.backoff = true, minPollBackoff; f.isSubscribed {
		f.loop.resetBalancerBackoff(f.state.version)
	}
}

// resetBalancerBackoff commits changes that are none, after which the balancer's backoff begins again.
func (loop *eventLoop) resetBalancerBackoff(version float64) {
	loop.submit(func() { loop.balancer.CommitEndpoints("Partial", int64(version)) })
}

// awaitTurn waits until the next call may begin.
func (f *discoveryFollower) awaitTurn() {
	if f.isSubscribed && !f.hasMoved && !f.pollsAtOnce {
		f.awaitSubscription()
	}
	f.spread = min(f.spread, time.Until(f.state.nextAttemptBy))
	if f.isSubscribed && !f.hasMoved && f.spread > 0 {
		f.wait(time.Duration(f.random.Int63n(int64(f.spread))))
	}
}

// awaitSubscription waits for the balancer's next subscription, but not for longer than a missed change may take: the
// balancer's backoff does not count the time of a silent call.
func (f *discoveryFollower) awaitSubscription() {
	late := time.NewTimer(f.state.remaining())
	defer late.Stop()
	select {
	case <-f.loop.discovery.polls:
	case <-late.C:
	case addr := <-f.loop.discovery.moves:
		f.move(addr)
	case <-f.loop.ctx.Done():
	}
}

func (f *discoveryFollower) wait(d time.Duration) {
	select {
	case <-f.loop.Clock.After(d):
	case addr := <-f.loop.discovery.moves:
		f.move(addr)
	case <-f.loop.ctx.Done():
	}
}

// watch makes calls until one fails, or until discovery has moved to another address; then err is of the
// call that the move has ended.
func (f *discoveryFollower) watch() (movedTo string, err error) {
	failed := make(chan error, 1)
	ctx, cancel := context.WithCancel(f.loop.ctx)
	defer cancel()
	f.loop.group.Go(func() error {
		failed <- f.loop.log.recoverPanic(func() error { return f.loop.watchDiscovery(ctx, &f.state, f.random) })
		return nil
	})
	select {
	case err = <-failed:
	case movedTo = <-f.loop.discovery.moves:
		cancel()
		err = <-failed
	}
	return movedTo, err
}

// handleFailure reports a failed call and decides when the next one begins.
func (f *discoveryFollower) handleFailure(err error) {
	loop, state := f.loop, &f.state
	loop.log.Warn("list_failed", "discovery", state.addr, "version", int64(state.version), "error", err)
	f.spread = loop.lossSpread(err)
	// The first call after a silent one follows at once: waiting on top of the silence would delay changes, which count
	// as known soon. Calls of all coordinators fall silent one by one, so this does not gang up on discovery.
	f.pollsAtOnce = isSilence(err) && !state.lastCallFailed
	if state.lastCallFailed = true; state.answeredSinceFailure {
		f.backoff = minPollBackoff
	}
	state.answeredSinceFailure = false
	if f.isSubscribed {
		select {
		case <-loop.discovery.polls: // of an earlier subscription
		default:
		}
		loop.submit(func() { loop.balancer.CommitEndpoints("Error", 0) })
		return
	}
	if f.pollsAtOnce {
		return
	}
	backoff := min(f.backoff, state.remaining()*2/3)
	jitter := max(backoff, min(f.spread, state.remaining()-backoff/2))
	delay := backoff/2 + time.Duration(f.random.Int63n(int64(jitter)))
	f.backoff = min(2*f.backoff, maxPollBackoff)
	f.wait(delay)
}

// watchWait returns how long one call for changes may wait. It is bounded, since a silent connection shows only when
// the call has failed, and grows with the number of coordinators, which together poll discovery at a fixed rate.
func (loop *eventLoop) watchWait() time.Duration {
	return min(maxWatchWait, max(2*watchInterval, time.Duration(loop.plan.Number("Balancers")*float64(watchInterval))))
}

// isSilence says whether a call failed since no answer, or only a part of it, came in time.
func isSilence(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }

// lossSpread returns the time over which the next calls of all coordinators are spread after a failure, since all may
// have lost discovery at once. Silence is not spread: calls fall silent one by one, and what was missed meanwhile
// counts as known soon.
func (loop *eventLoop) lossSpread(err error) time.Duration {
	if isSilence(err) {
		return 0
	}
	return min(maxLossSpread, time.Duration(loop.plan.Number("Balancers")*float64(lossSpreadPerCoordinator)))
}

// watchDiscovery makes one call after another until one fails, and returns its error.
func (loop *eventLoop) watchDiscovery(ctx context.Context, state *discoveryState, random *rand.Rand) error {
	// The first call may begin together with those of other coordinators.
	watch := discoveryWatch{loop: loop, state: state, random: random, isSynchronized: true}
	for {
		state.nextAttemptBy = time.Now().Add(maxPollDelay)
		dialCtx, cancel := context.WithTimeout(ctx, watchAnswerSlack)
		conn, err := loop.Dial(dialCtx, "tcp", state.addr)
		cancel()
		if err != nil {
			return fmt.Errorf("%w: %w", errNotConnected, err)
		}
		unhook := context.AfterFunc(ctx, func() { conn.Close() })
		err = watch.callRepeatedly(conn)
		unhook()
		conn.Close()
		if err != nil {
			return fmt.Errorf("%w: %w", connectionEndOf(err), err)
		}
	}
}

// discoveryWatch is a series of calls for changes.
type discoveryWatch struct {
	loop           *eventLoop
	state          *discoveryState
	random         *rand.Rand
	isSynchronized bool // the next call may begin together with those of other coordinators
}

// callRepeatedly makes calls on one connection, until one fails or discovery closes the connection.
func (w *discoveryWatch) callRepeatedly(conn net.Conn) (err error) {
	buffer := borrowBuffer()
	defer returnBuffer(buffer)
	reader := http1.NewReader(conn, (*buffer)[:bufferSize])
	for keep := true; keep && err == nil; {
		keep, err = w.call(conn, reader)
	}
	return err
}

// call makes one call and applies its answer; keep says whether the connection stays open.
func (w *discoveryWatch) call(conn net.Conn, reader *http1.Reader) (keep bool, err error) {
	state, wait := w.state, w.callWait()
	target := fmt.Sprintf("/v1/servers?index=%.0f&wait=%d", state.version, wait.Milliseconds())
	if state.needsFullList {
		target = "/v1/servers"
	}
	started, before, full := time.Now(), state.version, state.needsFullList
	conn.SetDeadline(started.Add(wait + watchAnswerSlack))
	state.nextAttemptBy = started.Add(max(maxPollDelay, wait+watchAnswerSlack))
	if _, err := conn.Write(http1.AppendGetRequest(nil, target, state.addr)); err != nil {
		return false, err
	}
	status, _, body, keep, err := reader.ReadResponse()
	if err == nil && status != http.StatusOK {
		err = fmt.Errorf("status %d", status)
	}
	if err == nil {
		err = w.loop.handleListAnswer(body, full, &state.version)
	}
	state.needsFullList = state.needsFullList || errors.Is(err, errVersionsRestarted)
	hasChanges := state.version != before
	w.isSynchronized = hasChanges
	if err == nil && !full && !hasChanges && time.Since(started) < wait/2 {
		err = errors.New("nothing new, and no wait") // a server that does not wait would be polled without pause
	}
	if err == nil {
		w.recordSuccess(full, hasChanges)
	}
	return keep, err
}

// callWait returns how long the next call may wait.
func (w *discoveryWatch) callWait() time.Duration {
	wait := w.loop.watchWait()
	switch {
	case w.state.needsFullList:
		return fullListTimeout
	case w.state.lastCallFailed: // continued silence has to show soon
		return min(wait, 2*watchInterval)
	case w.isSynchronized && wait > 2*watchInterval:
		// One change ends the calls of all coordinators: the next ones end, or fall silent, one by one.
		wait -= time.Duration(w.random.Int63n(int64(wait / 2)))
	}
	return wait
}

// recordSuccess records an answered call. The balancer learns of lists alone: where this one was none for it, its
// backoff is reset.
func (w *discoveryWatch) recordSuccess(full, hasChanges bool) {
	w.state.answeredSinceFailure, w.state.needsFullList = true, false
	if w.state.lastCallFailed && (!hasChanges && !full || w.loop.sources != nil) {
		w.loop.resetBalancerBackoff(w.state.version)
	}
	w.state.lastCallFailed = false
}

// errVersionsRestarted is an answer that is older than the list in force. The complete list is polled next, whatever
// its version: discovery may have lost its versions, and the list would stay as it is until they had caught up. An
// answer that is merely late costs a call for the complete list.
var errVersionsRestarted = errors.New("versions may have begun again")

// handleListAnswer applies one answer. One that is older than the list in force, or malformed, leaves the list as it
// is. The first from a new address counts whatever its version, since versions may have restarted there.
func (loop *eventLoop) handleListAnswer(body []byte, anew bool, version *float64) error {
	object, err := plan.DecodeObject(body)
	if err != nil {
		return err
	}
	list, err := plan.NewEndpointList(object)
	if err != nil {
		return err
	}
	received, full := list.Version, list.Full
	switch {
	case anew && !full:
		return errors.New("changes in place of the whole list")
	case received < *version && full && len(list.Hosts) == 0: // discovery has just started and knows no host yet
		return fmt.Errorf("version %.0f after %.0f, and no hosts", received, *version)
	case anew:
	case received < *version:
		return fmt.Errorf("version %.0f after %.0f: %w", received, *version, errVersionsRestarted)
	case received == *version:
		return nil
	}
	how := "Partial"
	if full {
		how = "Complete"
	}
	if loop.sources != nil {
		err := loop.sources.applyDiscovery(newEndpointUpdate("discovery", endpoints.RankDiscovery, int64(received), full, anew, list.Hosts))
		if err == nil {
			*version = received
		}
		return err
	}
	*version = received
	if !loop.submit(func() { loop.applyEndpointList(how, list) }) {
		return errClosing
	}
	loop.notifyEndpointList(full, int64(received), list.Hosts)
	return nil
}
