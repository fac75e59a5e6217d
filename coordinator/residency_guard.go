package coordinator

import (
	"encoding/json"
	"io"
	"maps"
	"math"
	"slices"
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"chalkring/config/settings"
	"chalkring/control/residency"
	"chalkring/coordinator/plan"
)

// ResidencyGuard holds the current residency policy of a process, passes it to each event loop, and counts the attempts
// and searches that it prevents. It is safe for concurrent use.
type ResidencyGuard struct {
	clock func() int64 // monotonic wall time in ticks

	mu        sync.Mutex
	policy    *residency.CompiledPolicy
	enforcers map[*residencyEnforcer]bool

	metricSet                                         *metrics.Set
	blocked, refused, canceled, policyUpdates, fenced *metrics.Counter
}

// NewResidencyGuard returns a guard with the policy known at the start; nil forbids everything. clock returns monotonic
// wall time in ticks.
func NewResidencyGuard(first *residency.CompiledPolicy, clock func() int64) *ResidencyGuard {
	if first == nil {
		first = residency.DenyAll()
	}
	guard := &ResidencyGuard{clock: clock, policy: first, enforcers: map[*residencyEnforcer]bool{}, metricSet: metrics.NewSet()}
	guard.blocked = guard.metricSet.NewCounter("chalkring_residency_caught_total")
	guard.refused = guard.metricSet.NewCounter("chalkring_residency_refused_total")
	guard.canceled = guard.metricSet.NewCounter("chalkring_residency_called_off_total")
	guard.fenced = guard.metricSet.NewCounter("chalkring_residency_fenced_total")
	guard.policyUpdates = guard.metricSet.NewCounter("chalkring_residency_standings_total")
	guard.metricSet.NewGauge("chalkring_residency_generation", func() float64 { return float64(guard.Policy().Generation) })
	guard.metricSet.NewGauge("chalkring_residency_lease_seconds", func() float64 {
		if current := guard.Policy(); current.LeaseExpiry < math.MaxInt64 { // a lease that never expires is shown as -1
			return max(0, float64(current.LeaseExpiry-guard.clock())/10_000)
		}
		return -1
	})
	return guard
}

// Policy returns the current policy.
func (r *ResidencyGuard) Policy() *residency.CompiledPolicy {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.policy
}

// MayStoreInZone reports whether data about a tenant's searches may be stored in a zone. It need not be asked for counts
// and digests, which may be stored anywhere.
func (r *ResidencyGuard) MayStoreInZone(tenant, zone string) bool {
	return r.Policy().AllowsTenantData(r.clock(), settings.FormatValue(tenant), plan.ZoneName(zone))
}

// BlockedDispatches returns how many attempts the check before sending has stopped. Each one shows a bug in this program.
func (r *ResidencyGuard) BlockedDispatches() uint64 { return r.blocked.Get() }

// SetPolicy applies a policy and returns once every event loop of the process follows it: from then on no attempt that it
// forbids is sent, and those in flight have been canceled.
func (r *ResidencyGuard) SetPolicy(policy *residency.CompiledPolicy) {
	r.mu.Lock()
	r.policy = policy
	enforcers := slices.Collect(maps.Keys(r.enforcers))
	r.mu.Unlock()
	r.policyUpdates.Inc()
	for _, enforcer := range enforcers {
		done := make(chan struct{})
		if enforcer.loop.submit(func() { enforcer.setPolicy(policy); close(done) }) {
			select {
			case <-done:
			case <-enforcer.loop.ctx.Done():
			case <-enforcer.closed: // its event loop never ran
			}
		}
	}
}

// writeMetrics writes the metrics in the Prometheus text format.
func (r *ResidencyGuard) writeMetrics(output io.Writer) { r.metricSet.WritePrometheus(output) }

// residencyRefusalBody returns the HTTP status and body for a refused search: 503 if the lease has expired, since another
// instance may have one, and 451 otherwise.
func residencyRefusalBody(r *residency.SearchRejectedError) (status int, body []byte) {
	if status = 451; r.Reason == residency.ReasonLeaseExpired {
		status = 503
	}
	body, _ = json.Marshal(map[string]any{"error": "residency", "tenant": r.Tenant, "block": r.Block, "why": r.Reason})
	return status, body
}
