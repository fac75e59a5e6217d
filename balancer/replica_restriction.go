package balancer

const (
	maxRestrictedSpots = 1 << 16 // spots whose replicas are kept: some dozen kinds of bounds over a thousand shards
	groupShift         = 32      // bits of a spot that are the shard's: shards are counted in thousands
)

// restrictionIndex keeps which replicas searches that are bound may use, by spot.
type restrictionIndex struct {
	lastGroup int // group that was given; none is given twice, so that a spot means one thing
	holders   map[int][]*replica
}

// spot is a part's shard, told apart for searches that are bound alike.
func (p *shardRequest) spot() int {
	if p.search.restriction == nil {
		return p.shard
	}
	return p.shard | p.search.restriction.group<<groupShift
}

// restrictedHolders are the replicas that hold a part's shard and that its search's bounds leave.
func (b *balancer) restrictedHolders(p *shardRequest) []*replica {
	spot := p.spot()
	all, known := b.bound.holders[spot]
	if !known {
		for _, r := range b.shardSetHolders(p.shard % b.sets) {
			if p.search.restriction.Allows(p.shard, r.id) {
				all = append(all, r)
			}
		}
		if len(b.bound.holders) >= maxRestrictedSpots {
			clear(b.bound.holders)
		}
		b.bound.holders[spot] = all
	}
	return all
}

// RestrictReplicas does not ask whether calling off is allowed: guards against a part that runs on where it may not, and against an
// answer from there that would count.
func (b *balancer) RestrictReplicas(id uint64, to *ReplicaRestriction, lacks func(shard int) (end bool)) {
	s := b.held[id]
	if s == nil || s.ended {
		return
	}
	if s.restriction = to; to != nil && to.group == 0 {
		if b.bound.holders == nil {
			b.bound.holders = map[int][]*replica{}
		}
		b.bound.lastGroup++
		to.group = b.bound.lastGroup
	}
	end, lost := false, false
	for _, p := range s.requests {
		if to == nil || p.completed || p.lost {
			continue
		}
		out := false
		for _, t := range p.attempts {
			if t.holdsSlot && !to.Allows(p.shard, t.replica.id) {
				b.releaseSlot(t)
				b.actions.CancelAttempt(p.id, t.index)
			}
			out = out || t.holdsSlot
		}
		if !out && len(b.restrictedHolders(p)) == 0 {
			if !s.reduced || p.queued || len(p.attempts) > 0 { // what a cut search does not count on is not in most
				s.reachableWeight -= p.weight
			}
			p.lost, lost = true, true
			end = lacks(p.shard) || end
		}
	}
	switch {
	case end:
		b.actions.FailSearch(s.id)
		b.endSearch(s)
	case lost:
		if s.admittedAt > 0 {
			b.sendWithheld(s)
		}
		if b.answerIfComplete(s); !s.ended && s.reachableWeight < s.neededWeight-1e-4 && !b.isAnswerable(s, s.reachableWeight) {
			b.fail(s)
		}
	}
}
