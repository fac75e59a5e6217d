package gossip

import (
	"maps"
	"slices"
	"time"

	"chalkring/internal/advice"
)

const (
	joinInterval        = time.Second      // between attempts to join absent instances
	maxConcurrentJoins  = 3                // instances joined at the same time
	isolatedLogDelay    = 10 * time.Second // from the start to the first log line that no other instance has been reached
	isolatedLogInterval = time.Minute      // between further lines that say so
)

// joinState is the event loop's state for joining absent instances.
type joinState struct {
	slot             chan struct{} // full while attempts are running
	attemptedAt      time.Time
	isolatedLoggedAt time.Time
	hasReachedAny    bool
}

func newJoinState(startedAt time.Time) joinState {
	// isolatedLoggedAt is set so that the first log line is due isolatedLogDelay after the start.
	return joinState{slot: make(chan struct{}, 1), isolatedLoggedAt: startedAt.Add(isolatedLogDelay - isolatedLogInterval)}
}

// joinAbsent joins some of the absent instances in the background, unless the previous attempts are still running.
func (l *eventLoop) joinAbsent() {
	if time.Since(l.joins.attemptedAt) < joinInterval {
		return
	}
	l.joins.attemptedAt = time.Now()
	select {
	case l.joins.slot <- struct{}{}:
	default:
		return
	}
	addrs := l.absentAddrs()
	l.logIfIsolated()
	l.rng.Shuffle(len(addrs), func(i, j int) { addrs[i], addrs[j] = addrs[j], addrs[i] })
	addrs = addrs[:min(len(addrs), maxConcurrentJoins)]
	l.goroutines.Go(func() {
		l.joinAll(addrs)
		<-l.joins.slot
	})
}

// joinAll tries to join the instances at all the addresses and returns once all attempts have ended.
func (l *eventLoop) joinAll(addrs []string) {
	ended := make(chan struct{}, maxConcurrentJoins)
	for _, addr := range addrs {
		l.goroutines.Go(func() {
			_, _ = l.list.Join([]string{addr}) // attempted again as long as the instance is absent
			ended <- struct{}{}
		})
	}
	for range addrs {
		<-ended
	}
}

func (l *eventLoop) logIfIsolated() {
	l.mu.Lock()
	l.joins.hasReachedAny = l.joins.hasReachedAny || len(l.nodes) > 0
	l.mu.Unlock()
	if l.joins.hasReachedAny || len(l.options.JoinAddrs) == 0 || time.Since(l.joins.isolatedLoggedAt) < isolatedLogInterval {
		return
	}
	l.joins.isolatedLoggedAt = time.Now()
	l.logger.Warn(eventIsolated, advice.LogAttrs(&IsolatedError{Tried: l.options.JoinAddrs})...)
}

// absentAddrs returns the join addresses and the last known addresses of voters at which no instance is present.
func (n *Node) absentAddrs() (absent []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	isExcluded := map[string]bool{n.table.Self().Addr: true}
	for nodeName, node := range n.nodes {
		if n.detector.IsPresent(nodeName) {
			isExcluded[node.Address()] = true
		}
	}
	for _, addr := range n.options.JoinAddrs {
		if !isExcluded[addr] {
			isExcluded[addr] = true
			absent = append(absent, addr)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(n.lastAddrs)) {
		if addr := n.lastAddrs[name]; !isExcluded[addr] && n.table.IsVoter(name) {
			isExcluded[addr] = true
			absent = append(absent, addr)
		}
	}
	return absent
}
