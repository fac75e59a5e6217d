package subscribers

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Member is a gateway that is alive and takes part. Its incarnation changes with each start.
type Member struct {
	Name, Region, Zone string
	Incarnation        uint64
}

// PlacementRules say where a tenant's subscribers may be served.
type PlacementRules struct {
	AllowsTenantData func(tenant, zone string) bool // whether a tenant's entries may be in a zone; nil for anywhere
	Generation       uint64                         // changes with the rules, in the same way on all gateways
}

// GatewayStats is what a gateway has done, and its present state.
type GatewayStats struct {
	Served, Listed, Unassigned         int // subscribers: served here, on the list, without a gateway that may serve them
	Runs, Deliveries, Failed, Repeated int
	ViewChanges                        int
	Epoch                              uint64
	Gateways                           int    // of the view
	View                               uint64 // that is served by, 0 while a handover is under way
}

// Gateway decides which subscribers this instance serves, when their searches run and how deliveries are numbered. It
// is not safe for concurrent use; the goroutine that has it calls Tick at least every second.
//
// A view is the set of gateways that are reachable. When it changes, a gateway ends all it serves and publishes that in
// the shared map, waits until all gateways of the view have published the same in this round, claims an epoch above all
// that were seen, and begins to serve when that is in the shared map. So of the gateways with one view no two serve one
// subscriber, and delivery numbers rise from one to the next.
type Gateway struct {
	self          Member
	rules         PlacementRules
	subscriptions map[Key]*subscription
	schedule      searchSchedule
	regions       regionTracker
	lastTickAt    int64
	stats         GatewayStats

	// Membership as it was last reported.
	reachable      []Member // sorted by name
	hasMajority    bool
	reachableSince int64 // when the two above last changed
	viewStaleSince int64 // since when they differ from the view, 0 while they do not

	// The view, and the agreement on it.
	view             view
	statuses         map[string]StatusMessage // by gateway
	statusChangedAt  map[string]int64         // when each gateway's status last changed
	round            uint64
	published        StatusMessage // this gateway's, as it is in the shared map
	claimedEpoch     uint64        // 0 until all have agreed
	handoverSince    int64
	highestEpoch     uint64 // that was seen
	highestRound     uint64 // that was seen
	minorityViewFrom int64  // before then only a majority forms a view
	noViewBefore     int64  // before then nobody does

	// Service.
	serving           bool // no handover is under way
	epoch             uint64
	lastSequence      uint64
	inFlight          int // searches and deliveries
	pendingDeliveries int
}

// subscription is what a gateway knows of one subscriber.
type subscription struct {
	Record
	key           Key
	hash          uint64 // of the key
	served        bool   // by this gateway
	searching     bool
	nextSearchAt  int64
	scheduleIndex int       // in the schedule, -1 while it is not in it
	pending       *Delivery // sent, and not known to have arrived
	pendingDigest uint64    // of the changed values in it
}

// NewGateway returns a gateway that serves nobody yet.
func NewGateway(now int64, self Member, rules PlacementRules) *Gateway {
	return &Gateway{
		self: self, rules: rules, subscriptions: map[Key]*subscription{}, regions: newRegionTracker(), lastTickAt: now,
		view: view{eligibleByTenant: map[string][]viewMember{}}, statuses: map[string]StatusMessage{}, statusChangedAt: map[string]int64{},
		minorityViewFrom: now + startupDelay,
	}
}

// UpdateMembers reports which gateways are alive, this one among them, and whether they are a majority of the voting
// members.
func (g *Gateway) UpdateMembers(now int64, members []Member, majority bool) {
	members = slices.Clone(members)
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	if majority != g.hasMajority || !slices.Equal(members, g.reachable) {
		g.reachable, g.hasMajority, g.reachableSince = members, majority, now
	}
	g.regions.setReachable(now, members)
}

// SetRules puts other rules in force. A changed generation leads to another view.
func (g *Gateway) SetRules(now int64, rules PlacementRules) {
	if rules.Generation != g.rules.Generation {
		g.reachableSince = now
	}
	g.rules = rules
}

// IsServing reports that no handover is under way.
func (g *Gateway) IsServing() bool { return g.serving }

// CountDeliveries returns how many deliveries are in flight.
func (g *Gateway) CountDeliveries() int { return g.pendingDeliveries }

// HandleStatusMessage takes a gateway's status from the shared map, also this one's of an earlier incarnation.
func (g *Gateway) HandleStatusMessage(name string, status StatusMessage) {
	if g.statuses[name] != status {
		g.statusChangedAt[name] = g.lastTickAt
	}
	g.statuses[name] = status
	g.highestEpoch, g.highestRound = max(g.highestEpoch, status.Epoch), max(g.highestRound, status.Round)
}

// ConfirmStatusMessage reports that a status of this gateway is in the shared map.
func (g *Gateway) ConfirmStatusMessage(status StatusMessage) {
	g.published = status
	g.HandleStatusMessage(g.self.Name, status)
}

// SetRecord takes what the list holds of a subscriber; exists is false for one that is not on it.
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
		s = &subscription{key: key, hash: xxhash.Sum64String(key.LedgerKey()), scheduleIndex: -1}
		g.subscriptions[key] = s
	}
	intervalChanged := s.Details.Interval != record.Details.Interval
	for region := range record.Attachments {
		g.regions.add(now, region)
	}
	s.setRecord(record)
	if began := g.place(s, now); !began && intervalChanged && s.served {
		g.scheduleNext(s, now)
	}
}

func (s *subscription) setRecord(record Record) {
	if s.Consent != record.Consent || !s.Details.equal(record.Details) {
		s.pending = nil
	}
	if s.Consent == record.Consent && s.Checkpoint.compare(record.Checkpoint) > 0 { // this gateway's, on its way to the shared map
		record.Checkpoint = s.Checkpoint
	}
	s.Record = record
}

// Stats returns what the gateway has done, and its present state.
func (g *Gateway) Stats() GatewayStats {
	stats := g.stats
	stats.Listed, stats.Epoch, stats.Gateways = len(g.subscriptions), g.epoch, len(g.view.members)
	if g.serving {
		stats.View = g.view.hash
	}
	for _, s := range g.subscriptions {
		if s.served {
			stats.Served++
		} else if !g.regions.serveAny(s.Attachments) || len(g.eligibleGateways(s.key.Tenant)) == 0 {
			stats.Unassigned++
		}
	}
	return stats
}

// regionTracker keeps since when regions are unreachable, and which of them are taken over.
type regionTracker struct {
	known            map[string]bool
	unreachableSince map[string]int64
	takenOver        map[string]bool // unreachable regions whose subscribers this gateway's view serves
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

// add makes a region known, as unreachable if it was not known before.
func (r *regionTracker) add(now int64, region string) {
	if !r.known[region] {
		r.known[region], r.unreachableSince[region] = true, now
	}
}

// serveAny reports whether one of the attached regions is reachable or taken over.
func (r *regionTracker) serveAny(attachments map[string]Attachment) bool {
	for region := range attachments {
		if _, unreachable := r.unreachableSince[region]; !unreachable || r.takenOver[region] {
			return true
		}
	}
	return false
}
