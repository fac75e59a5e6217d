package subscribers

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Member is a gateway that is alive. Its incarnation changes with each start.
type Member struct {
	Name, Region, Zone string
	Incarnation        uint64
}

// PlacementRules determine where a tenant's subscribers may be served.
type PlacementRules struct {
	AllowsTenantData func(tenant, zone string) bool // whether a tenant's entries may be in a zone; nil if all zones are allowed
	Generation       uint64                         // changes with the rules; the same on all gateways
}

// GatewayStats holds the counters and the current state of a gateway.
type GatewayStats struct {
	Served, Listed, Unassigned             int // subscribers: served here, on the list, without an eligible gateway
	Searches, Deliveries, Failed, Repeated int // Failed and Repeated count deliveries; a repeated one reuses a number
	ViewChanges                            int
	Epoch                                  uint64
	Gateways                               int    // in the view
	View                                   uint64 // hash of the view, 0 while a handover is under way
}

// Gateway decides which subscribers this instance serves, when their searches run and how deliveries are numbered. It
// is not safe for concurrent use; the goroutine that owns it has to call Tick at least every second.
//
// A view is a set of reachable gateways. When it changes, a gateway stops serving and publishes the new view in the
// shared map, waits until all gateways of the view have published it in the same round of agreement, claims an epoch
// above all that it has seen, and begins to serve once the claim is in the shared map. So no two gateways with the same view serve the
// same subscriber, and delivery numbers rise from one gateway to the next.
type Gateway struct {
	self          Member
	rules         PlacementRules
	subscriptions map[Key]*subscription
	schedule      searchSchedule
	regions       regionTracker
	lastTickAt    int64
	stats         GatewayStats

	// Membership as last reported.
	reachable           []Member // sorted by name
	hasMajority         bool
	membershipChangedAt int64 // when the members, the majority or the rules' generation last changed
	viewStaleSince      int64 // since when the view has differed from the above and the rules, 0 if it does not

	// The view and the agreement on it.
	view             view
	statuses         map[string]StatusMessage // by gateway
	statusChangedAt  map[string]int64         // when each gateway's status last changed
	round            uint64
	published        StatusMessage // this gateway's, as it is in the shared map
	claimedEpoch     uint64        // 0 until all have agreed
	handoverSince    int64
	highestEpoch     uint64 // seen so far
	highestRound     uint64 // seen so far
	minorityViewFrom int64  // before this time only a majority forms a view
	noViewBefore     int64  // before this time no view is formed

	// Service.
	serving           bool // no handover is under way
	epoch             uint64
	lastSequence      uint64
	inFlight          int // searches and deliveries
	pendingDeliveries int
}

// subscription is what a gateway knows about one subscriber.
type subscription struct {
	Record
	key           Key
	hash          uint64 // of the key
	served        bool   // by this gateway
	searching     bool
	nextSearchAt  int64
	scheduleIndex int       // position in the schedule, -1 if the subscription is not there
	pending       *Delivery // sent, but not known to have arrived
	pendingDigest uint64    // of the changed values in the last numbered delivery
}

// NewGateway returns a gateway that does not serve any subscriber yet.
func NewGateway(now int64, self Member, rules PlacementRules) *Gateway {
	return &Gateway{
		self: self, rules: rules, subscriptions: map[Key]*subscription{}, regions: newRegionTracker(), lastTickAt: now,
		view: view{eligibleByTenant: map[string][]viewMember{}}, statuses: map[string]StatusMessage{}, statusChangedAt: map[string]int64{},
		minorityViewFrom: now + startupDelay,
	}
}

// UpdateMembers sets which gateways are alive, including this one, and whether a majority of the voting members is
// alive.
func (g *Gateway) UpdateMembers(now int64, members []Member, majority bool) {
	members = slices.Clone(members)
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	if majority != g.hasMajority || !slices.Equal(members, g.reachable) {
		g.reachable, g.hasMajority, g.membershipChangedAt = members, majority, now
	}
	g.regions.setReachable(now, members)
}

// SetRules replaces the rules. A changed generation leads to a new view.
func (g *Gateway) SetRules(now int64, rules PlacementRules) {
	if rules.Generation != g.rules.Generation {
		g.membershipChangedAt = now
	}
	g.rules = rules
}

// IsServing reports whether the gateway serves its subscribers, that is, whether no handover is under way.
func (g *Gateway) IsServing() bool { return g.serving }

// CountDeliveries returns how many deliveries are in flight.
func (g *Gateway) CountDeliveries() int { return g.pendingDeliveries }

// HandleStatusMessage processes a gateway's status from the shared map, including that of an earlier incarnation of
// this gateway.
func (g *Gateway) HandleStatusMessage(name string, status StatusMessage) {
	if g.statuses[name] != status {
		g.statusChangedAt[name] = g.lastTickAt
	}
	g.statuses[name] = status
	g.highestEpoch, g.highestRound = max(g.highestEpoch, status.Epoch), max(g.highestRound, status.Round)
}

// ConfirmStatusMessage records that a status of this gateway is in the shared map.
func (g *Gateway) ConfirmStatusMessage(status StatusMessage) {
	g.published = status
	g.HandleStatusMessage(g.self.Name, status)
}

// SetRecord sets a subscriber's record as the list holds it; exists is false if the subscriber is not on the list.
func (g *Gateway) SetRecord(now int64, key Key, record Record, exists bool) {
	s := g.subscriptions[key]
	if !exists || record.IsUnsubscribed() {
		if s != nil {
			g.stopServing(s)
			delete(g.subscriptions, key)
		}
		return
	}
	g.highestEpoch = max(g.highestEpoch, record.Checkpoint.Number.Epoch)
	if s == nil {
		s = &subscription{key: key, hash: xxhash.Sum64String(key.EntryName()), scheduleIndex: -1}
		g.subscriptions[key] = s
	}
	intervalChanged := s.Details.Interval != record.Details.Interval
	for region := range record.Attachments {
		g.regions.add(now, region)
	}
	s.setRecord(record)
	if began := g.updatePlacement(s, now); !began && intervalChanged && s.served {
		g.scheduleNext(s, now)
	}
}

func (s *subscription) setRecord(record Record) {
	if s.Consent != record.Consent || !s.Details.equal(record.Details) {
		s.pending = nil
	}
	if s.Consent == record.Consent && s.Checkpoint.compare(record.Checkpoint) > 0 { // delivered by this gateway, not in the shared map yet
		record.Checkpoint = s.Checkpoint
	}
	s.Record = record
}

// Stats returns the counters and the current state of the gateway.
func (g *Gateway) Stats() GatewayStats {
	stats := g.stats
	stats.Listed, stats.Epoch, stats.Gateways = len(g.subscriptions), g.epoch, len(g.view.members)
	if g.serving {
		stats.View = g.view.hash
	}
	for _, s := range g.subscriptions {
		if s.served {
			stats.Served++
		} else if !g.regions.servesAny(s.Attachments) || len(g.eligibleGateways(s.key.Tenant)) == 0 {
			stats.Unassigned++
		}
	}
	return stats
}

// regionTracker tracks since when regions have been unreachable, and which of them are taken over.
type regionTracker struct {
	known            map[string]bool
	unreachableSince map[string]int64
	takenOver        map[string]bool // unreachable regions whose subscribers the gateways of this view serve
}

func newRegionTracker() regionTracker {
	return regionTracker{known: map[string]bool{}, unreachableSince: map[string]int64{}, takenOver: map[string]bool{}}
}

// setReachable records the regions of the gateways that are alive. All other known regions are unreachable.
func (r *regionTracker) setReachable(now int64, members []Member) {
	reachable := map[string]bool{}
	for _, member := range members {
		reachable[member.Region], r.known[member.Region] = true, true
		delete(r.unreachableSince, member.Region)
		delete(r.takenOver, member.Region)
	}
	for region := range r.known {
		if _, unreachable := r.unreachableSince[region]; !unreachable && !reachable[region] {
			r.unreachableSince[region] = now
		}
	}
}

// add records a region. A new one counts as unreachable until setReachable reports a gateway in it.
func (r *regionTracker) add(now int64, region string) {
	if !r.known[region] {
		r.known[region], r.unreachableSince[region] = true, now
	}
}

// servesAny reports whether one of the attached regions is reachable or taken over.
func (r *regionTracker) servesAny(attachments map[string]Attachment) bool {
	for region := range attachments {
		if _, unreachable := r.unreachableSince[region]; !unreachable || r.takenOver[region] {
			return true
		}
	}
	return false
}
