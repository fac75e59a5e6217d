package balancer

const (
	// maxRestrictedHolderSets is the largest number of cached holder sets: enough for some dozen restrictions of a
	// thousand shards each.
	maxRestrictedHolderSets = 1 << 16
	// restrictionIDShift is the number of bits of a holders key that are used for the shard: shards are counted in
	// thousands.
	restrictionIDShift = 32
)

// restrictionIndex caches the replicas that restricted searches may use, by holders key. Restriction ids are never
// reused, so that a key has only one meaning.
type restrictionIndex struct {
	lastID  int
	holders map[int][]*replica
}

// assignID gives an id to a restriction that is used for the first time.
func (x *restrictionIndex) assignID(restriction *ReplicaRestriction) {
	if restriction.id != 0 {
		return
	}
	if x.holders == nil {
		x.holders = map[int][]*replica{}
	}
	x.lastID++
	restriction.id = x.lastID
}

// holdersKey identifies the pair of the request's shard and its search's restriction: requests with the same key have
// the same holders.
func (r *shardRequest) holdersKey() int {
	if r.search.restriction == nil {
		return r.shard
	}
	return r.shard | r.search.restriction.id<<restrictionIDShift
}

// restrictedHolders returns the holders of a shard that the restriction of its search allows.
func (b *balancer) restrictedHolders(request *shardRequest) []*replica {
	key := request.holdersKey()
	allowed, known := b.restrictions.holders[key]
	if !known {
		for _, r := range b.endpoints.shardSetHolders(request.shard % b.endpoints.shardSets) {
			if request.search.restriction.Allows(request.shard, r.id) {
				allowed = append(allowed, r)
			}
		}
		if len(b.restrictions.holders) >= maxRestrictedHolderSets {
			clear(b.restrictions.holders)
		}
		b.restrictions.holders[key] = allowed
	}
	return allowed
}

// RestrictReplicas cancels attempts at other replicas whether or not the settings allow cancelling: a request must not
// continue where it is not allowed, and an answer from there must not count.
func (b *balancer) RestrictReplicas(id uint64, restriction *ReplicaRestriction,
	onUnavailable func(shard int) (end bool),
) {
	s := b.searches.byID[id]
	if s == nil || s.ended {
		return
	}
	s.restriction = restriction
	if restriction == nil {
		return
	}
	b.restrictions.assignID(restriction)
	end, lost := false, false
	for _, request := range s.requests {
		if request.completed || request.lost || b.canStillBeServed(request, restriction) {
			continue
		}
		// The reachable weight of a reduced search leaves out unsent requests already.
		if !s.reduced || request.queued || len(request.attempts) > 0 {
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
			b.sendWithheldExtra(s)
		}
		b.endIfUnanswerable(s)
	}
}

// canStillBeServed cancels the attempts of a request that a restriction does not allow, and tells whether it has other
// attempts or could be sent to another replica.
func (b *balancer) canStillBeServed(request *shardRequest, restriction *ReplicaRestriction) bool {
	inFlight := false
	for _, a := range request.attempts {
		if a.holdsSlot && !restriction.Allows(request.shard, a.replica.id) {
			b.releaseSlot(a)
			b.actions.CancelAttempt(request.id, a.index)
		}
		inFlight = inFlight || a.holdsSlot
	}
	return inFlight || len(b.holders(request)) > 0
}
