package subscribers

import "github.com/cespare/xxhash/v2"

// takeoverDelay is how long a region has to be unreachable before a majority serves the subscribers attached to it.
const takeoverDelay = 60 * second

// view is the set of gateways that serve together.
type view struct {
	hash             uint64 // 0 for none
	members          []viewMember
	eligibleByTenant map[string][]viewMember // cache of eligibleGateways
}

type viewMember struct {
	Member
	hash uint64 // of its name
}

// replace replaces the gateways of the view.
func (v *view) replace(hash uint64, members []Member) {
	v.hash, v.members = hash, nil
	clear(v.eligibleByTenant)
	for _, member := range members {
		v.members = append(v.members, viewMember{member, xxhash.Sum64String(member.Name)})
	}
}

// updatePlacement begins or stops serving a subscriber, depending on whether this gateway owns it, and reports whether
// it has begun. The searches are scheduled from the time scheduleFrom on. A subscriber that is added during service is
// served at once: no other gateway of the view has served it.
func (g *Gateway) updatePlacement(s *subscription, scheduleFrom int64) (began bool) {
	switch isOwner := g.serving && g.ownerOf(s) == g.self.Name; {
	case isOwner && !s.served:
		s.served = true
		g.scheduleNext(s, scheduleFrom)
		return true
	case !isOwner:
		g.stopServing(s)
	}
	return false
}

func (g *Gateway) stopServing(s *subscription) {
	g.schedule.remove(s)
	s.served = false
}

// ownerOf returns the gateway that serves a subscriber under the current view, empty if none does. It is the eligible
// gateway with the highest rendezvous hash, whichever region the subscriber is attached to, so that gateways with the
// same view agree even while they hold different records of the subscriber. A partition serves the subscribers attached
// to its regions, and a majority also those of regions that have been unreachable for takeoverDelay.
func (g *Gateway) ownerOf(s *subscription) (owner string) {
	if !g.regions.servesAny(s.Attachments) {
		return ""
	}
	var highest uint64
	for _, member := range g.eligibleGateways(s.key.Tenant) {
		if hash := rendezvousHash(member.hash, s.hash); owner == "" || hash > highest {
			owner, highest = member.Name, hash
		}
	}
	return owner
}

// eligibleGateways returns the gateways of the view whose zone may hold the tenant's entries.
func (g *Gateway) eligibleGateways(tenant string) []viewMember {
	if g.rules.AllowsTenantData == nil {
		return g.view.members
	}
	eligible, cached := g.view.eligibleByTenant[tenant]
	if !cached {
		for _, member := range g.view.members {
			if g.rules.AllowsTenantData(tenant, member.Zone) {
				eligible = append(eligible, member)
			}
		}
		g.view.eligibleByTenant[tenant] = eligible
	}
	return eligible
}

// FileWriterRank returns how many gateways of the same region precede this one as writers of a subscriber's line in the
// region's file. The gateway with rank 0 writes the line, and another one only if those before it do not.
func (g *Gateway) FileWriterRank(key Key) (rank int) {
	subscriber := xxhash.Sum64String(key.EntryName())
	own := rendezvousHash(xxhash.Sum64String(g.self.Name), subscriber)
	for _, member := range g.eligibleGateways(key.Tenant) {
		if g.self.Region != "" && member.Region != g.self.Region || member.Name == g.self.Name {
			continue
		}
		if rendezvousHash(member.hash, subscriber) > own {
			rank++
		}
	}
	return rank
}

// updateTakeovers begins or stops serving the subscribers of regions that have been unreachable for takeoverDelay.
func (g *Gateway) updateTakeovers(now int64) {
	for region, since := range g.regions.unreachableSince {
		takeOver := g.hasMajority && now-since >= takeoverDelay
		if takeOver == g.regions.takenOver[region] {
			continue
		}
		g.regions.takenOver[region] = takeOver
		for _, s := range g.subscriptions {
			if _, attached := s.Attachments[region]; attached {
				g.updatePlacement(s, now)
			}
		}
	}
}
