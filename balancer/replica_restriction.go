package balancer

const (
	// maxRestrictedSpots is the number of spots whose holders are kept: some dozen restrictions of a thousand shards each.
	maxRestrictedSpots = 1 << 16
	// groupShift is the number of a spot's bits that are the shard's: shards are counted in thousands.
	groupShift = 32
)

// restrictionIndex holds the replicas that restricted searches may use, by spot. Its group numbers are never used twice,
// so that a spot has one meaning.
type restrictionIndex struct {
	lastGroup int
	holders   map[int][]*replica
}

// assignGroup numbers a restriction that is used for the first time.
func (x *restrictionIndex) assignGroup(to *ReplicaRestriction) {
	if to.group != 0 {
		return
	}
	if x.holders == nil {
		x.holders = map[int][]*replica{}
	}
	x.lastGroup++
	to.group = x.lastGroup
}

// spot numbers the pair of a request's shard and its search's restriction: requests of one spot have the same holders.
func (r *shardRequest) spot() int {
	if r.search.restriction == nil {
		return r.shard
	}
	return r.shard | r.search.restriction.group<<groupShift
}

// restrictedHolders returns the holders of a shard that its search's restriction allows.
func (b *balancer) restrictedHolders(request *shardRequest) []*replica {
	spot := request.spot()
	allowed, known := b.restrictions.holders[spot]
	if !known {
		for _, r := range b.endpoints.shardSetHolders(request.shard % b.endpoints.shardSets) {
			if request.search.restriction.Allows(request.shard, r.id) {
				allowed = append(allowed, r)
			}
		}
		if len(b.restrictions.holders) >= maxRestrictedSpots {
			clear(b.restrictions.holders)
		}
		b.restrictions.holders[spot] = allowed
	}
	return allowed
}

// RestrictReplicas cancels what is in flight elsewhere whether or not the settings allow cancelling: a request must not run
// on where it may not, and an answer from there must not count.
func (b *balancer) RestrictReplicas(id uint64, to *ReplicaRestriction, onUnavailable func(shard int) (end bool)) {
	s := b.searches.byID[id]
	if s == nil || s.ended {
		return
	}
	s.restriction = to
	if to == nil {
		return
	}
	b.restrictions.assignGroup(to)
	end, lost := false, false
	for _, request := range s.requests {
		if request.completed || request.lost || b.remainsServed(request, to) {
			continue
		}
		if !s.reduced || request.queued || len(request.attempts) > 0 { // a reduced search does not count on the others
			s.reachableWeight -= request.weight
		}
		request.lost, lost = true, true
		end = onUnavailable(request.shard) || end
	}
	switch {
	case end:
		b.actions.FailSearch(s.id)
		b.endSearch(s)
	case lost:
		if s.admittedAt > 0 {
			b.sendWithheld(s)
		}
		b.endIfIncompletable(s)
	}
}

// remainsServed cancels the attempts of a request that a restriction does not allow, and tells whether it has others or
// could be sent to another replica.
func (b *balancer) remainsServed(request *shardRequest, to *ReplicaRestriction) bool {
	inFlight := false
	for _, a := range request.attempts {
		if a.holdsSlot && !to.Allows(request.shard, a.replica.id) {
			b.releaseSlot(a)
			b.actions.CancelAttempt(request.id, a.index)
		}
		inFlight = inFlight || a.holdsSlot
	}
	return inFlight || len(b.holders(request)) > 0
}
