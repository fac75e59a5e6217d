package gossip

import (
	"maps"
	"slices"
	"time"

	"chalkring/internal/advice"
)

const (
	joinInterval        = time.Second      // between attempts to join absent instances
	maxConcurrentJoins  = 3                // instances that are joined at once
	isolatedLogDelay    = 10 * time.Second // without any instance reached, until the log says so
	isolatedLogInterval = time.Minute      // between such lines
)

// joinState is the event loop's part that joins absent instances.
type joinState struct {
	slot             chan struct{} // full while attempts are under way
	attemptedAt      time.Time
	isolatedLoggedAt time.Time
	hasReachedAny    bool
}

func newJoinState(startedAt time.Time) joinState {
	return joinState{slot: make(chan struct{}, 1), isolatedLoggedAt: startedAt.Add(isolatedLogDelay - isolatedLogInterval)}
}

// joinAbsent joins some absent instances in the background, unless the last attempts are still under way.
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

// joinAll joins the instances at these addresses and returns once all attempts have ended.
func (l *eventLoop) joinAll(addrs []string) {
	ended := make(chan struct{}, maxConcurrentJoins)
	for _, addr := range addrs {
		l.goroutines.Go(func() {
			_, _ = l.list.Join([]string{addr}) // it is attempted again while the instance is absent
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

// absentAddrs returns the join addresses, and the last addresses of voters, at which no instance is present.
func (n *Node) absentAddrs() (absent []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	isCovered := map[string]bool{n.table.Self().Addr: true}
	for nodeName, node := range n.nodes {
		if n.detector.IsPresent(nodeName) {
			isCovered[node.Address()] = true
		}
	}
	for _, addr := range n.options.JoinAddrs {
		if !isCovered[addr] {
			isCovered[addr] = true
			absent = append(absent, addr)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(n.lastAddrs)) {
		if addr := n.lastAddrs[name]; !isCovered[addr] && n.table.IsVoter(name) {
			isCovered[addr] = true
			absent = append(absent, addr)
		}
	}
	return absent
}
