package coordinator

import (
	"context"
	"errors"
	"fmt"
	"math/rand"
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
	asked := loop.plan.Settings["Discovery"] == "subscribe"
	chance, pause, moved := rand.New(rand.NewSource(loop.plan.Seed)), minPollBackoff, false
	// A coordinator that knows no host asks for the complete list, which is answered at once: a watch call may wait for
	// long, and nothing is served until a silent one has failed.
	a := discoveryState{addr: loop.plan.Discovery, nextAttemptBy: time.Now().Add(maxPollDelay), needsFullList: len(loop.plan.Known.Hosts) == 0}
	a.version = loop.plan.Known.Version
	move := func(at string) {
		a.addr, a.needsFullList, a.lastCallFailed = at, true, false
		if moved, pause = true, minPollBackoff; asked {
			v := int64(a.version)
			loop.submit(func() { loop.balancer.CommitEndpoints("Partial", v) }) // without changes: the balancer's backoff begins again too
		}
	}
	wait := func(d time.Duration) {
		select {
		case <-loop.Clock.After(d):
		case at := <-loop.discovery.moves:
			move(at)
		case <-loop.ctx.Done():
		}
	}
	atOnce := false
	for spread := time.Duration(0); ; {
		if asked && !moved && !atOnce {
			late := time.NewTimer(a.remaining()) // the balancer's backoff does not count the time of a silent call
			select {
			case <-loop.discovery.polls:
			case <-late.C:
			case at := <-loop.discovery.moves:
				move(at)
			case <-loop.ctx.Done():
			}
			late.Stop()
		}
		if spread = min(spread, time.Until(a.nextAttemptBy)); asked && !moved && spread > 0 {
			wait(time.Duration(chance.Int63n(int64(spread))))
		}
		if loop.ctx.Err() != nil {
			return nil
		}
		failed, next := make(chan error, 1), ""
		ctx, cancel := context.WithCancel(loop.ctx)
		loop.group.Go(func() error {
			failed <- loop.log.recoverPanic(func() error { return loop.watchDiscovery(ctx, &a, chance) })
			return nil
		})
		var err error
		select {
		case err = <-failed:
		case next = <-loop.discovery.moves:
			cancel()
			<-failed
		}
		cancel()
		if moved = next != ""; moved {
			move(next)
			continue
		}
		if loop.ctx.Err() != nil {
			return nil
		}
		loop.log.Warn("list_failed", "discovery", a.addr, "version", int64(a.version), "error", err)
		spread = loop.lossSpread(err)
		// The first call after a silent one follows at once: waiting on top of the silence would delay changes, which count
		// as known soon. Calls of all coordinators fall silent one by one, so this does not gang up on discovery.
		atOnce = isSilence(err) && !a.lastCallFailed
		if a.lastCallFailed = true; a.answeredSinceFailure {
			pause = minPollBackoff
		}
		a.answeredSinceFailure = false
		if asked {
			select {
			case <-loop.discovery.polls: // of an earlier subscription
			default:
			}
			loop.submit(func() { loop.balancer.CommitEndpoints("Error", 0) })
			continue
		}
		if atOnce {
			continue
		}
		p := min(pause, a.remaining()*2/3)
		d := p/2 + time.Duration(chance.Int63n(int64(max(p, min(spread, a.remaining()-p/2)))))
		pause = min(2*pause, maxPollBackoff)
		wait(d)
	}
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
func (loop *eventLoop) watchDiscovery(ctx context.Context, state *discoveryState, chance *rand.Rand) error {
	for together := true; ; { // the next call may begin together with those of other coordinators
		state.nextAttemptBy = time.Now().Add(maxPollDelay)
		up, cancel := context.WithTimeout(ctx, watchAnswerSlack)
		conn, err := loop.Dial(up, "tcp", state.addr)
		cancel()
		if err != nil {
			return fmt.Errorf("%w: %w", errNotConnected, err)
		}
		unhook := context.AfterFunc(ctx, func() { conn.Close() })
		buf := borrowBuffer()
		rd := http1.NewReader(conn, (*buf)[:bufferSize])
		for keep := true; keep && err == nil; {
			wait := loop.watchWait()
			switch {
			case state.needsFullList:
				wait = fullListTimeout
			case state.lastCallFailed: // continued silence has to show soon
				wait = min(wait, 2*watchInterval)
			case together && wait > 2*watchInterval: // one change ends the calls of all coordinators: the next ones end, or fall silent, one by one
				wait -= time.Duration(chance.Int63n(int64(wait / 2)))
			}
			target := fmt.Sprintf("/v1/servers?index=%.0f&wait=%d", state.version, wait.Milliseconds())
			if state.needsFullList {
				target = "/v1/servers"
			}
			asked, before, anew := time.Now(), state.version, state.needsFullList
			conn.SetDeadline(asked.Add(wait + watchAnswerSlack))
			state.nextAttemptBy = asked.Add(max(maxPollDelay, wait+watchAnswerSlack))
			if _, err = conn.Write(http1.AppendGetRequest(nil, target, state.addr)); err != nil {
				break
			}
			var status int
			var body []byte
			if status, _, body, keep, err = rd.ReadResponse(); err == nil && status != 200 {
				err = fmt.Errorf("status %d", status)
			}
			if err == nil {
				err = loop.handleListAnswer(body, anew, &state.version)
			}
			state.needsFullList = state.needsFullList || errors.Is(err, errVersionsRestarted)
			news := state.version != before
			together = news
			if err == nil && !anew && !news && time.Since(asked) < wait/2 {
				err = errors.New("nothing new, and no wait") // a server that does not wait would be polled without pause
			}
			if err == nil {
				state.answeredSinceFailure, state.needsFullList = true, false
				if state.lastCallFailed && (!news && !anew || loop.sources != nil) { // the balancer's backoff begins again too; it only learns of lists
					v := int64(state.version)
					loop.submit(func() { loop.balancer.CommitEndpoints("Partial", v) })
				}
				state.lastCallFailed = false
			}
		}
		returnBuffer(buf)
		unhook()
		conn.Close()
		if err != nil {
			return fmt.Errorf("%w: %w", connectionEndOf(err), err)
		}
	}
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
	v, full := list.Version, list.Full
	switch {
	case anew && !full:
		return errors.New("changes in place of the whole list")
	case v < *version && full && len(list.Hosts) == 0: // discovery has just started and knows no host yet
		return fmt.Errorf("version %.0f after %.0f, and no hosts", v, *version)
	case anew:
	case v < *version:
		return fmt.Errorf("version %.0f after %.0f: %w", v, *version, errVersionsRestarted)
	case v == *version:
		return nil
	}
	how := "Partial"
	if full {
		how = "Complete"
	}
	if loop.sources != nil {
		err := loop.sources.applyDiscovery(newEndpointUpdate("discovery", endpoints.RankDiscovery, int64(v), full, anew, list.Hosts))
		if err == nil {
			*version = v
		}
		return err
	}
	*version = v
	if !loop.submit(func() { loop.applyEndpointList(how, list) }) {
		return errClosing
	}
	loop.notifyEndpointList(full, int64(v), list.Hosts)
	return nil
}
