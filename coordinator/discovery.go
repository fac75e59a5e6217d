package coordinator

import (
	"context"
	"errors"
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"chalkring/coordinator/plan"
	"chalkring/endpoints"
	"chalkring/internal/http1"
)

const (
	watchInterval            = time.Second            // mean time between two calls, those of all coordinators counted: limits the load on discovery
	maxWatchWait             = 20 * time.Second       // longest wait of a call for changes: a silent connection is detected only after it
	fullListTimeout          = 2 * time.Second        // of a call for the complete list, which discovery answers at once
	watchAnswerSlack         = time.Second            // for the answer to arrive after the wait of a call
	minPollBackoff           = 500 * time.Millisecond // first backoff before the next poll
	maxPollBackoff           = 3 * time.Second        // longest backoff, half of it random: a missed change has to be known within 6 s
	maxPollDelay             = 5 * time.Second        // longest time from the start of a failed call to the next: a missed change has to be known within 6 s
	lossSpreadPerCoordinator = 10 * time.Millisecond  // mean time between the calls of coordinators that lost discovery at the same time
	maxLossSpread            = 2 * time.Second        // longest time over which those calls are spread: a missed change has to be known within 6 s
)

// discoveryRequests carries requests to the goroutine that follows discovery, from the event loop and from reloads.
type discoveryRequests struct {
	polls chan struct{} // the balancer requests a subscription
	moves chan string   // discovery's new address

	openConn atomic.Pointer[discoveryConn] // of the current call; nil between connections
}

// discoveryState is what is known of the discovery service at one address.
type discoveryState struct {
	addr                 string
	version              float64
	needsFullList        bool // the next call fetches the complete list, since versions may have restarted
	lastCallFailed       bool
	answeredSinceFailure bool

	nextAttemptBy time.Time // latest start of the next call if this one fails
}

// remaining returns how long the next call may be delayed: until nextAttemptBy, but always long enough for the first
// backoff after a long call.
func (s *discoveryState) remaining() time.Duration {
	return max(minPollBackoff*3/2, time.Until(s.nextAttemptBy))
}

// followDiscovery keeps the endpoint list up to date until the coordinator ends. If the settings leave polling to the
// balancer, calls are made one after another under its subscription until one fails; the failure is reported to the
// balancer, which subscribes again after its own backoff. Otherwise a random exponential backoff follows each failure.
// In both modes the delay after a failure is limited, so that a missed change is known in time. When the address of
// discovery changes, the complete list is polled at the new address at once, under the existing subscription, and
// backoffs restart.
func (loop *eventLoop) followDiscovery() error {
	follower := &discoveryFollower{
		loop: loop, isSubscribed: loop.plan.Settings["Discovery"] == "subscribe",
		random: rand.New(rand.NewSource(loop.plan.Seed)), backoff: minPollBackoff,
		// A coordinator that knows no host polls for the complete list, which is answered at once. A call for changes
		// may wait long, and if it got no answer, nothing would be served until it timed out.
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

// discoveryFollower is the state that followDiscovery keeps between one series of calls and the next.
type discoveryFollower struct {
	loop         *eventLoop
	state        discoveryState
	random       *rand.Rand
	isSubscribed bool // the settings leave polling to the balancer
	hasMoved     bool // the address of discovery has changed since the last call
	pollsAtOnce  bool // the next call follows without a subscription or backoff
	backoff      time.Duration
	spread       time.Duration // the next call is delayed by a random part of it
}

// move switches to a new address of discovery.
func (f *discoveryFollower) move(addr string) {
	f.state.addr, f.state.needsFullList, f.state.lastCallFailed = addr, true, false
	if f.hasMoved, f.backoff = true, minPollBackoff; f.isSubscribed {
		f.loop.resetBalancerBackoff(f.state.version)
	}
}

// resetBalancerBackoff commits an empty change of the list, which makes the balancer restart its backoff.
func (loop *eventLoop) resetBalancerBackoff(version float64) {
	loop.submitListUpdate(func() { loop.balancer.CommitEndpoints("Partial", int64(version)) })
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

// awaitSubscription waits for the balancer's next subscription, but no longer than remaining allows: the balancer's
// backoff does not count the time that an unanswered call took.
func (f *discoveryFollower) awaitSubscription() {
	limit := time.NewTimer(f.state.remaining())
	defer limit.Stop()
	select {
	case <-f.loop.discovery.polls:
	case <-limit.C:
	case addr := <-f.loop.discovery.moves:
		f.move(addr)
	case <-f.loop.ctx.Done():
	}
}

// wait waits for a time, or until discovery has moved.
func (f *discoveryFollower) wait(d time.Duration) {
	select {
	case <-f.loop.Clock.After(d):
	case addr := <-f.loop.discovery.moves:
		f.move(addr)
	case <-f.loop.ctx.Done():
	}
}

// watch makes calls until one fails or discovery moves to another address; in the latter case err comes from the call
// that the move has cancelled.
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
	// The first call after a timeout follows at once: the timeout has already delayed changes that have to be known
	// soon. The calls of several coordinators time out one by one, so their next calls don't all come at the same time.
	f.pollsAtOnce = isSilence(err) && !state.lastCallFailed
	if state.lastCallFailed = true; state.answeredSinceFailure {
		f.backoff = minPollBackoff
	}
	state.answeredSinceFailure = false
	if f.isSubscribed {
		select {
		case <-loop.discovery.polls: // left over from an earlier subscription
		default:
		}
		loop.submitListUpdate(func() { loop.balancer.CommitEndpoints("Error", 0) })
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

// watchWait returns how long one call for changes may wait. It grows with the number of coordinators, so that all of
// them together poll discovery at a fixed rate, and is bounded, since a silent connection is detected only when the
// call times out.
func (loop *eventLoop) watchWait() time.Duration {
	return min(maxWatchWait, max(2*watchInterval, time.Duration(loop.plan.Number("Balancers")*float64(watchInterval))))
}

// isSilence says whether a call failed because no answer, or only a part of one, arrived in time.
func isSilence(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }

// lossSpread returns the time over which the next calls of all coordinators are spread after a failure, since all may
// have lost discovery at once. After a timeout there is no spread: calls time out one by one, and changes missed
// meanwhile have to be known soon.
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

// discoveryWatch is a series of calls to discovery.
type discoveryWatch struct {
	loop           *eventLoop
	state          *discoveryState
	random         *rand.Rand
	isSynchronized bool // the next call may begin together with those of other coordinators
}

// callRepeatedly makes calls on one connection until one fails or discovery closes the connection.
func (w *discoveryWatch) callRepeatedly(conn net.Conn) (err error) {
	buffer := borrowBuffer()
	defer returnBuffer(buffer)
	tracked := newDiscoveryConn(conn)
	w.loop.discovery.openConn.Store(tracked)
	defer w.loop.discovery.openConn.Store(nil)
	reader := http1.NewReader(tracked, (*buffer)[:bufferSize])
	for keep := true; keep && err == nil; {
		keep, err = w.call(tracked, reader)
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
	keep = keep && reader.Buffered() == 0 // what follows an answer would be taken for the next one
	if err == nil && status != http.StatusOK {
		err = fmt.Errorf("got status %d, expected 200", status)
	}
	if err == nil {
		err = w.loop.handleListAnswer(body, full, &state.version)
	}
	state.needsFullList = state.needsFullList || errors.Is(err, errVersionsRestarted)
	hasChanges := state.version != before
	w.isSynchronized = hasChanges
	if err == nil && !full && !hasChanges && time.Since(started) < wait/2 {
		err = errors.New("answer without changes came before the wait was over") // otherwise a server that does not wait would be polled without pause
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
	case w.state.lastCallFailed: // another timeout has to be noticed soon
		return min(wait, 2*watchInterval)
	case w.isSynchronized && wait > 2*watchInterval:
		// A change ends the calls of all coordinators at once: random waits make the next ones end, or time out, one by one.
		wait -= time.Duration(w.random.Int63n(int64(wait / 2)))
	}
	return wait
}

// recordSuccess records an answered call. The balancer restarts its backoff when a list is committed; if this answer
// might not lead to a commit, the backoff is reset explicitly.
func (w *discoveryWatch) recordSuccess(full, hasChanges bool) {
	w.state.answeredSinceFailure, w.state.needsFullList = true, false
	if w.state.lastCallFailed && (!hasChanges && !full || w.loop.sources != nil) {
		w.loop.resetBalancerBackoff(w.state.version)
	}
	w.state.lastCallFailed = false
}

// errVersionsRestarted reports an answer that is older than the current list. The complete list is polled next and
// accepted whatever its version: discovery may have lost its versions and begun again at a low one, and its changes
// would be ignored until it had caught up with the current version. An answer that was merely late costs one call for the complete list.
var errVersionsRestarted = errors.New("discovery may have restarted its versions")

// handleListAnswer applies one answer. A malformed answer, or one older than the current list, leaves the list
// unchanged. If versionReset is set, the answer has to be a complete list and counts whatever its version.
func (loop *eventLoop) handleListAnswer(body []byte, versionReset bool, version *float64) error {
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
	case versionReset && !full:
		return errors.New("got changes, expected the complete list")
	case received < *version && full && len(list.Hosts) == 0: // discovery has just started and knows no host yet
		return fmt.Errorf("got an empty list of version %.0f, older than version %.0f", received, *version)
	case versionReset:
	case received < *version:
		return fmt.Errorf("got version %.0f, older than version %.0f: %w", received, *version, errVersionsRestarted)
	case received == *version && loop.sources == nil:
		return nil
	}
	how := "Partial"
	if full {
		how = "Complete"
	}
	if loop.sources != nil {
		err := loop.sources.applyDiscovery(newEndpointUpdate(endpoints.SourceDiscovery, endpoints.RankDiscovery, int64(received), full, versionReset, list.Hosts))
		if err == nil {
			*version = received
		}
		return err
	}
	*version = received
	if !loop.submitListUpdate(func() { loop.applyEndpointList(how, list) }) {
		return errClosing
	}
	loop.notifyEndpointList(full, int64(received), list.Hosts)
	return nil
}
