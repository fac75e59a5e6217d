package coordinator

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math"
	"slices"
	"sync"
	"sync/atomic"

	"chalkring/coordinator/plan"

	"github.com/VictoriaMetrics/metrics"

	"chalkring/balancer"
	"chalkring/config/settings"
	"chalkring/control/residency"
	"chalkring/internal/advice"
)

// ResidencyGuard is what holds in a process whose installation has contracts: the standing in force, told to each
// co-ordinator, and what is counted. It is safe for several goroutines.
type ResidencyGuard struct {
	clock func() int64 // wall time in tenths of a millisecond, counted on

	mu     sync.Mutex
	in     *residency.CompiledPolicy
	owners map[*bounding]bool

	set                                      *metrics.Set
	caught, refused, calledOff, puts, fenced *metrics.Counter
}

// NewResidencyGuard begins with what is known at the start; with nothing known, nothing runs anywhere. Clock is wall time in tenths of a millisecond that never goes back.
func NewResidencyGuard(first *residency.CompiledPolicy, clock func() int64) *ResidencyGuard {
	if first == nil {
		first = residency.DenyAll()
	}
	r := &ResidencyGuard{clock: clock, in: first, owners: map[*bounding]bool{}, set: metrics.NewSet()}
	r.caught = r.set.NewCounter("chalkring_residency_caught_total")
	r.refused = r.set.NewCounter("chalkring_residency_refused_total")
	r.calledOff = r.set.NewCounter("chalkring_residency_called_off_total")
	r.fenced = r.set.NewCounter("chalkring_residency_fenced_total")
	r.puts = r.set.NewCounter("chalkring_residency_standings_total")
	r.set.NewGauge("chalkring_residency_generation", func() float64 { return float64(r.Policy().Generation) })
	r.set.NewGauge("chalkring_residency_lease_seconds", func() float64 {
		if in := r.Policy(); in.LeaseExpiry < math.MaxInt64 { // one that never ends has no length
			return max(0, float64(in.LeaseExpiry-r.clock())/10_000)
		}
		return -1
	})
	return r
}

// Policy is what is in force.
func (r *ResidencyGuard) Policy() *residency.CompiledPolicy {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.in
}

// MayStoreInZone tells whether what is kept about a tenant's searches may be in a zone; others hold counts and digests.
func (r *ResidencyGuard) MayStoreInZone(tenant, zone string) bool {
	return r.Policy().AllowsTenantData(r.clock(), settings.FormatValue(tenant), plan.ZoneName(zone))
}

// BlockedDispatches counts parts that the second guard kept from going out: each is a fault of this program.
func (r *ResidencyGuard) BlockedDispatches() uint64 { return r.caught.Get() }

// SetPolicy puts a standing in force and returns once every co-ordinator of the process keeps to it: from then on nothing that
// it forbids is sent, and what was out has been called off.
func (r *ResidencyGuard) SetPolicy(s *residency.CompiledPolicy) {
	r.mu.Lock()
	r.in = s
	owners := slices.Collect(maps.Keys(r.owners))
	r.mu.Unlock()
	r.puts.Inc()
	for _, b := range owners {
		done := make(chan struct{})
		if b.o.post(func() { b.put(s); close(done) }) {
			select {
			case <-done:
			case <-b.o.ctx.Done():
			case <-b.gone: // it never began to take turns
			}
		}
	}
}

// write tells what is counted in the common text form.
func (r *ResidencyGuard) write(to io.Writer) { r.set.WritePrometheus(to) }

// bounding binds one owner's searches to the hosts that their contracts leave. It is the owner's.
type bounding struct {
	o                *owner
	r                *ResidencyGuard
	in               *residency.CompiledPolicy
	hosts            *residency.HostZones
	tenants, classes []string // by place
	bounds           map[tied]*balancer.ReplicaRestriction
	now, next        int64        // of this turn; when what holds changes by itself
	until            atomic.Int64 // the lease's end, for connections' writers
	gone             chan struct{}
	wake             wake
	binding          *search // whose end, if it comes now, is its contract's doing
}

// tied is what searches that are bound alike have in common.
type tied struct{ tenant, qtype int }

func newBounding(o *owner, r *ResidencyGuard) *bounding {
	name := func(list string) (names []string) {
		for i := range o.plan.Count(list) {
			names = append(names, o.plan.Settings[fmt.Sprintf("%s.%d.Name", list, i)])
		}
		return names
	}
	b := &bounding{
		o: o, r: r, now: r.clock(), tenants: name("Tenants"), classes: name("Classes"), bounds: map[tied]*balancer.ReplicaRestriction{},
		gone: make(chan struct{}),
	}
	r.mu.Lock()
	r.owners[b] = true
	b.in = r.in
	r.mu.Unlock()
	b.hosts = residency.NewHostZones(b.in.HostHoldDown)
	b.until.Store(b.in.LeaseExpiry)
	return b
}

// lapsed tells a connection's writer whether the lease has ended, and counts where it has.
func (b *bounding) lapsed() bool {
	if b.r.clock() < b.until.Load() {
		return false
	}
	b.r.fenced.Inc()
	return true
}

func (b *bounding) leave() {
	b.r.mu.Lock()
	delete(b.r.owners, b)
	b.r.mu.Unlock()
	close(b.gone)
}

// turn begins a turn: what has changed by time alone is in force before anything else happens in it.
func (b *bounding) turn() {
	if b.now = max(b.now, b.r.clock()); b.now >= b.next {
		b.changed()
	}
}

// put takes a standing. A renewed lease changes nothing for those that are open.
func (b *bounding) put(s *residency.CompiledPolicy) {
	renewed := s.DiffersOnlyInLease(b.in) && b.now < b.in.LeaseExpiry
	b.in = s
	b.until.Store(s.LeaseExpiry)
	b.hosts.SetHoldDown(s.HostHoldDown)
	if renewed {
		b.await()
		return
	}
	b.changed()
}

// listed takes a list or changes of it into account, before anything is sent under it.
func (b *bounding) listed(how string, hosts []plan.ListedHost) {
	told := make([]residency.Host, 0, len(hosts))
	for _, h := range hosts {
		told = append(told, residency.Host{ID: h.ID, Addr: h.Addr, Zone: plan.ZoneName(h.Zone), ZoneConflict: h.ZoneConflict, Removed: h.Removed})
	}
	b.hosts.UpdateHosts(b.now, how != "Partial", told)
}

// changed looks at all open searches anew, in their order.
func (b *bounding) changed() {
	clear(b.bounds)
	for _, id := range slices.Sorted(maps.Keys(b.o.searches)) {
		if s := b.o.searches[id]; s != nil {
			b.bind(s)
		}
	}
	b.await()
}

// await looks again when what holds changes by itself.
func (b *bounding) await() {
	b.next = min(b.in.NextChangeAt(b.now), b.hosts.NextHoldDownEnd(b.now))
	b.o.unwake(&b.wake)
	if b.next < math.MaxInt64 {
		b.o.await(&b.wake, max(1, min(b.next-b.now, int64(lookAgain/tenth))), doing(b.look))
	}
}

// look is a wake's: the two clocks may differ by a little.
func (b *bounding) look() {
	if b.now >= b.next {
		b.changed()
	} else {
		b.await()
	}
}

func (b *bounding) name(s *search) (tenant, class string) {
	if s.tenant < len(b.tenants) {
		tenant = b.tenants[s.tenant]
	}
	return tenant, b.classes[s.qtype]
}

// bind tells the module which hosts a search may use. One that its contract leaves none for a block ends at once.
func (b *bounding) bind(s *search) {
	if s.over {
		return
	}
	tenant, class := b.name(s)
	if b.in.IsUnrestricted(b.now, tenant, class) {
		if s.tied {
			s.tied = false
			b.o.module.RestrictReplicas(s.id, nil, nil)
		}
		return
	}
	key := tied{s.tenant, s.qtype}
	to := b.bounds[key]
	if to == nil {
		to = &balancer.ReplicaRestriction{Allows: func(shard int, replica string) bool { return b.may(tenant, class, shard, replica) }}
		b.bounds[key] = to
	}
	s.tied = true
	b.binding = s
	out := b.out(s)
	b.o.module.RestrictReplicas(s.id, to, func(shard int) bool {
		rule := b.in.RuleFor(b.now, tenant, class, shard)
		if s.barred == nil {
			s.barred = &residency.SearchRejectedError{Tenant: tenant, Class: class, Block: shard, Reason: residency.ReasonNoEligibleHost, Generation: b.in.Generation}
			switch {
			case rule.LeaseExpired:
				s.barred.Reason = residency.ReasonLeaseExpired
			case rule.ContractEnded:
				s.barred.Reason = residency.ReasonContractEnded
			}
		}
		return !rule.AllowPartial || rule.LeaseExpired || rule.ContractEnded
	})
	if b.binding = nil; out > 0 {
		b.r.calledOff.Add(out - b.out(s))
	}
}

// out counts a search's sub-requests that are out.
func (b *bounding) out(s *search) (n int) {
	for _, p := range s.parts {
		for _, sub := range p.subs {
			if sub.call != nil {
				n++
			}
		}
	}
	return n
}

func (b *bounding) may(tenant, class string, shard int, replica string) bool {
	rule := b.in.RuleFor(b.now, tenant, class, shard)
	return rule.AllowsZone(b.in.ZoneIndex(b.hosts.Zone(b.now, replica)))
}

// guard is the second one, where bytes leave: what is not allowed there by the contracts themselves, whatever the module
// was told, does not go out. Guards against a fault in all that comes before it; each that it catches is one. Fenced: what
// is left may not be begun after the lease's end.
func (b *bounding) guard(c *call) (fenced bool) {
	for i := 0; i < len(c.subs); {
		sub := c.subs[i]
		tenant, class := b.name(sub.p.s)
		rule := b.in.RuleFor(b.now, tenant, class, sub.p.shard)
		if rule.AllowsZone(b.in.ZoneIndex(b.hosts.Zone(b.now, sub.r.id))) {
			fenced = fenced || rule.Restricted && !rule.KeepOnLeaseExpiry
			i++
			continue
		}
		b.r.caught.Inc()
		b.o.log.often("residency_guard", "residency_guard", "tenant", tenant, "block", sub.p.shard, "replica", sub.r.id,
			"zone", b.hosts.Zone(b.now, sub.r.id))
		b.o.leave(sub) // off c.subs
		b.o.laterLanded(sub, "Ignored")
	}
	return fenced
}

// refuses tells a final answer that a contract has brought about.
func (b *bounding) refuses(s *search) *residency.SearchRejectedError {
	if b == nil || b.binding != s || s.barred == nil {
		return nil
	}
	b.r.refused.Inc()
	b.o.log.often("residency_refused "+s.barred.Tenant, "residency_refused", advice.LogAttrs(s.barred)...)
	return s.barred
}

// barredBody is the own front's answer to a refused search. 503 where another instance may know more.
func barredBody(r *residency.SearchRejectedError) (status int, body []byte) {
	if status = 451; r.Reason == residency.ReasonLeaseExpired {
		status = 503
	}
	body, _ = json.Marshal(map[string]any{"error": "residency", "tenant": r.Tenant, "block": r.Block, "why": r.Reason})
	return status, body
}

// metricsBody is all that is told under /metrics.
func (o *owner) metricsBody() []byte {
	var b bytes.Buffer
	if o.counts != nil {
		b.Write(shadowMetrics(o.counts))
	}
	if o.zones != nil {
		o.zones.r.write(&b)
	}
	return b.Bytes()
}
