package balancer

import (
	"math"
	"math/rand"
)

// balancer is the state of one coordinator.
type balancer struct {
	actions  Actions
	settings settings
	rng      *rand.Rand
	now      int64 // time of the current iteration
	timers   timerTable

	endpoints    endpointList
	restrictions restrictionIndex
	searches     searchTable
	admission    admissionQueue
	sending      sendQueue
	utilization  float64 // share of the capacity for searches and their answers that is in use; 1 means none is left

	inflight inflightCounter
	limiter  concurrencyLimiter
	latency  latencyEstimates
	zones    []zoneLatency
	outliers outlierDetector

	retries retryBudget
	clients clientRetries
	quotas  tenantQuotas
}

// New makes a balancer that reports to actions. Configure must be called and an endpoint list committed before the
// first search. Only one goroutine may call it at a time.
func New(actions Actions) Balancer {
	return &balancer{
		actions:   actions,
		timers:    timerTable{callbacks: map[uint64]timerCallback{}},
		endpoints: newEndpointList(),
		searches:  newSearchTable(),
		sending:   sendQueue{withoutCapacity: map[int]bool{}},
		limiter:   concurrencyLimiter{limit: math.Inf(1)},
		latency:   latencyEstimates{assumed: assumedLatency},
	}
}

func (b *balancer) BeginIteration(now int64) {
	b.now = now
	clear(b.sending.withoutCapacity)
}

func (b *balancer) Configure(seed int64, values map[string]string) {
	b.settings, b.rng = newSettings(values), rand.New(rand.NewSource(seed))
	b.endpoints.shardSets = int(b.settings.number(settingShardSets))
	b.endpoints.setsPerReplica = int(b.settings.number(settingSetsPerReplica))
	b.latency.byQueryType = make([]decayingSum, int(b.settings.optionalNumber(settingQueryTypes, 0)))
	b.quotas = make(tenantQuotas, int(b.settings.optionalNumber(settingTenants, 0)))
	if b.settings.values[settingDiscovery] == discoverySubscribe {
		b.actions.WatchEndpoints()
	}
}
