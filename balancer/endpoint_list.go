package balancer

import "slices"

const (
	// watchRetryMin is the first wait before a failed watch of the endpoint list is restarted, in tenths of a
	// millisecond.
	watchRetryMin = 500 * millisecond
	// watchRetryMax is the longest such wait; the settings may demand a shorter one.
	watchRetryMax = 8 * second
	// watchWithinShare is the largest share of the time allowed by settingWatchWithin that a single wait may take. It
	// is small because a list already counts as missed after 6 s.
	watchWithinShare = 0.3
)

// endpointList holds the replicas that may be used.
type endpointList struct {
	replicas []*replica // in the order of their first listing
	byID     map[string]*replica
	pending  []func(listed map[string]bool) // entries of the list that is being received

	holders         map[int][]*replica // by shard set, cached until the list changes
	shardSets       int
	setsPerReplica  int // consecutive shard sets that a replica holds; its shardSet is the last
	watchRetryDelay int64
}

func newEndpointList() endpointList {
	return endpointList{byID: map[string]*replica{}, holders: map[int][]*replica{}, watchRetryDelay: watchRetryMin}
}

// count returns the number of replicas that may be used.
func (l *endpointList) count() int { return len(l.replicas) }

// retain drops the replicas that may no longer be used and clears what was derived from the previous list.
func (l *endpointList) retain(isKept func(r *replica) bool) {
	l.replicas = slices.DeleteFunc(l.replicas, func(r *replica) bool { return !isKept(r) })
	clear(l.holders)
	clear(l.byID) // a replica that returns later counts as new, so that replicas that have left take no memory
	for _, r := range l.replicas {
		l.byID[r.id] = r
	}
}

// shardSetHolders returns the eligible replicas that hold a shard set.
func (l *endpointList) shardSetHolders(shardSet int) []*replica {
	if _, known := l.holders[shardSet]; !known {
		l.holders[shardSet] = nil
		for _, r := range l.replicas {
			distance := (r.shardSet - shardSet + l.shardSets) % l.shardSets
			if r.eligible && distance < l.setsPerReplica {
				l.holders[shardSet] = append(l.holders[shardSet], r)
			}
		}
	}
	return l.holders[shardSet]
}

func (b *balancer) AddEndpoint(id string, zone, _, shardSet int, status string, _ float64, startedAt int64) {
	b.endpoints.pending = append(b.endpoints.pending, func(listed map[string]bool) {
		listed[id] = true
		r := b.endpoints.byID[id]
		if r == nil {
			r = &replica{id: id, startedAt: startedAt}
			r.slowStart.reset(b.now, b.rng.Float64())
			b.endpoints.byID[id] = r
			b.endpoints.replicas = append(b.endpoints.replicas, r)
		} else if startedAt > r.startedAt {
			r.resetForRestart(startedAt)
			b.inflight.recheck(r)
			r.slowStart.reset(b.now, b.rng.Float64())
		}
		r.shardSet, r.zone, r.eligible = shardSet, zone, status == StatusHealthy
		for len(b.zones) <= zone {
			b.zones = append(b.zones, zoneLatency{})
		}
	})
}

func (b *balancer) CommitEndpoints(kind string, _ int64) {
	entries := b.endpoints.pending
	b.endpoints.pending = nil
	if kind == ListError {
		b.retryWatch()
		return
	}
	b.endpoints.watchRetryDelay = watchRetryMin
	listed := map[string]bool{}
	for _, apply := range entries {
		apply(listed)
	}
	b.endpoints.retain(func(r *replica) bool { return r.eligible && (listed[r.id] || kind == ListPartial) })
	clear(b.restrictions.holders)
	b.inflight.replicaCount = b.endpoints.count()
}

// retryWatch restarts the watch of the list after a growing wait with jitter, within the time that the settings allow:
// the list service may be failing for all coordinators at once. After a short failure the list may stay outdated until
// the wait is over.
func (b *balancer) retryWatch() {
	allowed := int64(b.settings.optionalNumber(settingWatchWithin, watchRetryMax) * (watchWithinShare * millisecond))
	delay := min(b.endpoints.watchRetryDelay, allowed)
	b.endpoints.watchRetryDelay = min(2*b.endpoints.watchRetryDelay, watchRetryMax)
	jitter := b.rng.Int63n(delay/4 + 1)
	b.setTimer(delay+jitter, timerFunc(b.actions.WatchEndpoints))
}

// holders returns the replicas that hold a shard and that its search may use. It is the only place that decides this:
// first attempts, extras, hedged and probe attempts and second steps all choose among these replicas.
func (b *balancer) holders(request *shardRequest) []*replica {
	if request.search.restriction != nil {
		return b.restrictedHolders(request)
	}
	return b.endpoints.shardSetHolders(request.shard % b.endpoints.shardSets)
}
