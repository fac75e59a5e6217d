package coordinator

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"sync/atomic"
	"time"

	"chalkring/balancer"
	"chalkring/control/residency"
	"chalkring/coordinator/plan"
	"chalkring/internal/advice"
)

const maxResidencyCheckDelay = time.Hour // longest wait until the next check, since the wall clock may be set meanwhile

// residencyEnforcer restricts one event loop's searches to the hosts that their contracts allow. It is owned by the event
// loop's goroutine, except for leaseExpiry and closed.
type residencyEnforcer struct {
	loop              *eventLoop
	guard             *ResidencyGuard
	policy            *residency.CompiledPolicy
	hosts             *residency.HostZones
	tenants, classes  []string // by position in the settings
	restrictions      map[restrictionKey]*balancer.ReplicaRestriction
	now, nextChangeAt int64        // ticks: of this iteration, and of the next change that time alone causes (see NextChangeAt)
	leaseExpiry       atomic.Int64 // ticks; read by the connections' writers
	closed            chan struct{}
	checkTimer        timer
	beingRestricted   *search // the search that restrict handles, else nil; if it ends meanwhile, its contract is the cause
}

// restrictionKey identifies searches that share a restriction, by positions in the settings.
type restrictionKey struct{ tenant, class int }

// newResidencyEnforcer registers an event loop with the guard.
func newResidencyEnforcer(loop *eventLoop, guard *ResidencyGuard) *residencyEnforcer {
	namesIn := func(list string) (names []string) {
		for i := range loop.plan.Count(list) {
			names = append(names, loop.plan.Settings[fmt.Sprintf("%s.%d.Name", list, i)])
		}
		return names
	}
	enforcer := &residencyEnforcer{
		loop: loop, guard: guard, now: guard.clock(), tenants: namesIn("Tenants"), classes: namesIn("Classes"), restrictions: map[restrictionKey]*balancer.ReplicaRestriction{},
		closed: make(chan struct{}),
	}
	guard.mu.Lock()
	guard.enforcers[enforcer] = true
	enforcer.policy = guard.policy
	guard.mu.Unlock()
	enforcer.hosts = residency.NewHostZones(enforcer.policy.HostHoldDown)
	enforcer.leaseExpiry.Store(enforcer.policy.LeaseExpiry)
	return enforcer
}

// leaseHasExpired reports whether the residency lease has expired, and if so counts a fenced message. Connections' writers
// call it.
func (b *residencyEnforcer) leaseHasExpired() bool {
	if b.guard.clock() < b.leaseExpiry.Load() {
		return false
	}
	b.guard.fenced.Inc()
	return true
}

// close removes the event loop from the guard.
func (b *residencyEnforcer) close() {
	b.guard.mu.Lock()
	delete(b.guard.enforcers, b)
	b.guard.mu.Unlock()
	close(b.closed)
}

// beginIteration applies, before anything else happens in an iteration, the changes that time alone causes: a contract
// begins or ends, the lease expires, or a host's hold-down ends.
func (b *residencyEnforcer) beginIteration() {
	if b.now = max(b.now, b.guard.clock()); b.now >= b.nextChangeAt {
		b.restrictAll()
	}
}

// setPolicy applies a policy. If only an unexpired lease is renewed, open searches stay as they are.
func (b *residencyEnforcer) setPolicy(policy *residency.CompiledPolicy) {
	renewed := policy.DiffersOnlyInLease(b.policy) && b.now < b.policy.LeaseExpiry
	b.policy = policy
	b.leaseExpiry.Store(policy.LeaseExpiry)
	b.hosts.SetHoldDown(policy.HostHoldDown)
	if renewed {
		b.scheduleCheck()
		return
	}
	b.restrictAll()
}

// updateHosts applies an endpoint list, or changes of it if how is "Partial", before any attempt is sent under it.
func (b *residencyEnforcer) updateHosts(how string, hosts []plan.ListedHost) {
	listed := make([]residency.Host, 0, len(hosts))
	for _, host := range hosts {
		listed = append(listed, residency.Host{ID: host.ID, Addr: host.Addr, Zone: plan.ZoneName(host.Zone), ZoneConflict: host.ZoneConflict, Removed: host.Removed})
	}
	b.hosts.UpdateHosts(b.now, how != "Partial", listed)
}

// restrictAll recomputes the restrictions of all open searches, in the order of their ids.
func (b *residencyEnforcer) restrictAll() {
	clear(b.restrictions)
	for _, id := range slices.Sorted(maps.Keys(b.loop.searches.byID)) {
		if search := b.loop.searches.byID[id]; search != nil {
			b.restrict(search)
		}
	}
	b.scheduleCheck()
}

// scheduleCheck sets the timer for the next change that time alone causes.
func (b *residencyEnforcer) scheduleCheck() {
	b.nextChangeAt = min(b.policy.NextChangeAt(b.now), b.hosts.NextHoldDownEnd(b.now))
	b.loop.stopTimer(&b.checkTimer)
	if b.nextChangeAt < math.MaxInt64 {
		b.loop.startTimer(&b.checkTimer, max(1, min(b.nextChangeAt-b.now, int64(maxResidencyCheckDelay/tick))), deferredTask(b.check))
	}
}

// check is the check timer's task. The timer may fire a little early, as the guard's clock and the timer's may differ.
func (b *residencyEnforcer) check() {
	if b.now >= b.nextChangeAt {
		b.restrictAll()
	} else {
		b.scheduleCheck()
	}
}

// names returns the names of a search's tenant and class.
func (b *residencyEnforcer) names(search *search) (tenant, class string) {
	if search.tenant < len(b.tenants) {
		tenant = b.tenants[search.tenant]
	}
	return tenant, b.classes[search.class]
}

// restrict passes the hosts that a search may use to the balancer. The search ends at once if a block has no allowed host,
// unless its contract is current and accepts a partial answer.
func (b *residencyEnforcer) restrict(search *search) {
	if search.ended {
		return
	}
	tenant, class := b.names(search)
	if b.policy.IsUnrestricted(b.now, tenant, class) {
		if search.restricted {
			search.restricted = false
			b.loop.balancer.RestrictReplicas(search.id, nil, nil)
		}
		return
	}
	key := restrictionKey{search.tenant, search.class}
	restriction := b.restrictions[key]
	if restriction == nil {
		restriction = &balancer.ReplicaRestriction{Allows: func(shard int, replica string) bool { return b.allows(tenant, class, shard, replica) }}
		b.restrictions[key] = restriction
	}
	search.restricted = true
	b.beingRestricted = search
	before := b.countOutstanding(search)
	b.loop.balancer.RestrictReplicas(search.id, restriction, func(shard int) bool {
		rule := b.policy.RuleFor(b.now, tenant, class, shard)
		if search.refusal == nil {
			search.refusal = &residency.SearchRejectedError{Tenant: tenant, Class: class, Block: shard, Reason: residency.ReasonNoEligibleHost, Generation: b.policy.Generation}
			switch {
			case rule.LeaseExpired:
				search.refusal.Reason = residency.ReasonLeaseExpired
			case rule.ContractEnded:
				search.refusal.Reason = residency.ReasonContractEnded
			}
		}
		return !rule.AllowPartial || rule.LeaseExpired || rule.ContractEnded
	})
	if b.beingRestricted = nil; before > 0 {
		b.guard.canceled.Add(before - b.countOutstanding(search))
	}
}

// countOutstanding returns how many attempts of a search are in flight.
func (b *residencyEnforcer) countOutstanding(search *search) (n int) {
	for _, request := range search.shardRequests {
		for _, attempt := range request.attempts {
			if attempt.batch != nil {
				n++
			}
		}
	}
	return n
}

// allows reports whether the policy allows a replica for a shard of a tenant's search of a class.
func (b *residencyEnforcer) allows(tenant, class string, shard int, replica string) bool {
	rule := b.policy.RuleFor(b.now, tenant, class, shard)
	return rule.AllowsZone(b.policy.ZoneIndex(b.hosts.Zone(b.now, replica)))
}

// removeForbidden is the check before sending: it removes the attempts from a batch that the contracts forbid, independent
// of the balancer's restrictions. Each attempt that it removes shows a bug in the code before it. It reports whether the
// rest of the batch must not be sent after the lease has expired.
func (b *residencyEnforcer) removeForbidden(batch *batch) (fenced bool) {
	for i := 0; i < len(batch.attempts); {
		attempt := batch.attempts[i]
		tenant, class := b.names(attempt.shardRequest.search)
		rule := b.policy.RuleFor(b.now, tenant, class, attempt.shardRequest.shard)
		if rule.AllowsZone(b.policy.ZoneIndex(b.hosts.Zone(b.now, attempt.replica.id))) {
			fenced = fenced || rule.Restricted && !rule.KeepOnLeaseExpiry
			i++
			continue
		}
		b.guard.blocked.Inc()
		b.loop.log.warnLimited("residency_guard", "residency_guard", "tenant", tenant, "block", attempt.shardRequest.shard, "replica", attempt.replica.id,
			"zone", b.hosts.Zone(b.now, attempt.replica.id))
		b.loop.detachAttempt(attempt) // also removes it from batch.attempts
		b.loop.deferAttemptOutcome(attempt, "Ignored")
	}
	return fenced
}

// refusalOf returns the refusal of a search that ends because of a contract, or nil.
func (b *residencyEnforcer) refusalOf(search *search) *residency.SearchRejectedError {
	if b == nil || b.beingRestricted != search || search.refusal == nil {
		return nil
	}
	b.guard.refused.Inc()
	b.loop.log.warnLimited("residency_refused "+search.refusal.Tenant, "residency_refused", advice.LogAttrs(search.refusal)...)
	return search.refusal
}
