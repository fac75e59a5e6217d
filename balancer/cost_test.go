package balancer

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// costProtocol is a protocol that stores nothing but the attempts in flight.
type costProtocol struct {
	balancer *balancer
	pending  []uint64 // requests whose first attempt is in flight
	ended    map[uint64]bool
}

func (p *costProtocol) SendAttempt(request uint64, _ string, _ int64) {
	p.pending = append(p.pending, request)
}
func (p *costProtocol) CancelAttempt(uint64, int)          {}
func (p *costProtocol) AnswerSearch(search uint64, _ bool) { p.ended[search] = true }
func (p *costProtocol) ShedSearch(search uint64, _ int64)  { p.ended[search] = true }
func (p *costProtocol) FailSearch(search uint64)           { p.ended[search] = true }
func (p *costProtocol) SetTimer(int64, uint64)             {}
func (p *costProtocol) CancelTimer(uint64)                 {}
func (p *costProtocol) ProbeReplica(string)                {}
func (p *costProtocol) WatchEndpoints()                    {}
func (p *costProtocol) LogMessage(string)                  {}

const costRequests = 8 // shard requests of a search

func newCostProtocol(replicas int) *costProtocol {
	p := &costProtocol{ended: map[uint64]bool{}}
	p.balancer = New(p).(*balancer)
	p.balancer.BeginIteration(10)
	p.balancer.Configure(1, map[string]string{
		"Tick": "5", "Balancers": "1", "Specifics.Sets": "8", "Specifics.Reach": "2", "Specifics.PerCall": "1",
		"Classes.count": "2", "Classes.0.Aim": "3000", "Classes.0.Effect": "retryable", "Classes.1.Aim": "60000",
		"Classes.1.Effect": "retryable", "Specifics.NeedByClass": "0.75,1", "Specifics.ClassFloor": "0.75,1",
		"Specifics.FollowUp": "0,0", "Permissions.MaxAttempts": "3", "Permissions.SecondCopies": "true",
		"Permissions.Cancelling": "true", "Safety.Cold": "10000",
	})
	for i := range replicas {
		p.balancer.AddEndpoint(fmt.Sprint("r", i), 0, 0, i%8, StatusHealthy, 1, 0)
	}
	p.balancer.CommitEndpoints(ListPersisted, 1)
	p.balancer.EndIteration()
	return p
}

func (p *costProtocol) addSearch(id uint64, queryType int, timeLeft int64) {
	p.balancer.AddSearch(id, queryType, 0, "", timeLeft, id, costRequests, false)
	for i := range uint64(costRequests) {
		p.balancer.AddShardRequest(id<<4|i, id, int(i), 1.0/costRequests)
	}
}

// playSearch plays a search from its arrival to its final answer.
func (p *costProtocol) playSearch(id uint64) {
	p.balancer.BeginIteration(p.balancer.now + 10)
	p.addSearch(id, int(id%2), 30_000)
	p.balancer.EndIteration()
	pending := p.pending
	p.pending = p.pending[:0]
	for _, request := range pending { // one request per iteration
		p.balancer.BeginIteration(p.balancer.now + 3)
		p.balancer.RecordAttemptOutcome(request, 0, OutcomeOK, 25, false, nil)
		p.balancer.EndIteration()
	}
	delete(p.ended, id)
}

// warmUp plays searches until the buffers have reached their sizes.
func (p *costProtocol) warmUp() {
	for id := range uint64(200) {
		p.playSearch(id + 1)
	}
}

// A search allocates itself, its requests, the slice of them and its place in the queue; single requests and attempts
// allocate nothing.
func TestAllocationsOfSearch(t *testing.T) {
	p := newCostProtocol(16)
	p.warmUp()
	id := uint64(1000)
	allocations := testing.AllocsPerRun(1000, func() {
		id++
		p.playSearch(id)
	})
	require.LessOrEqual(t, allocations, 4.0)
}

// The cost of a search, with few replicas and with many.
func BenchmarkReplicas(b *testing.B) {
	for _, replicas := range []int{16, 100, 1_000, 10_000} {
		b.Run(fmt.Sprint(replicas), func(b *testing.B) {
			p := newCostProtocol(replicas)
			p.warmUp()
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				p.playSearch(uint64(i + 1000))
			}
		})
	}
}

// The cost of an iteration with one answer while a number of searches wait.
func BenchmarkWaiting(b *testing.B) {
	for _, waiting := range []int{0, 100, 1_000, 10_000} {
		b.Run(fmt.Sprint(waiting), func(b *testing.B) {
			p := newCostProtocol(16)
			p.warmUp()
			lastID := uint64(1000)
			addSearch := func() {
				lastID++
				p.addSearch(lastID, 1, 600_000)
			}
			for range waiting + 8 {
				addSearch()
			}
			p.balancer.EndIteration()
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				p.balancer.BeginIteration(p.balancer.now + 1)
				if len(p.pending) > 0 {
					request := p.pending[0]
					p.pending = p.pending[1:]
					p.balancer.RecordAttemptOutcome(request, 0, OutcomeOK, 25, false, nil)
				}
				for len(p.balancer.admission.searches) < waiting {
					addSearch()
				}
				p.balancer.EndIteration()
			}
		})
	}
}

// noActions is a protocol that expects no other call than WatchEndpoints.
type noActions struct{ Actions }

func (noActions) WatchEndpoints() {}

// The time that the caller's goroutine spends on the export of 512 replicas of a list of 10,000, all with evidence.
func BenchmarkExportObservations(b *testing.B) {
	exporter := New(noActions{}).(*balancer)
	exporter.Configure(1, map[string]string{settingShardSets: "1", settingSetsPerReplica: "1"})
	exporter.BeginIteration(1)
	for i := range 10_000 {
		exporter.AddEndpoint(fmt.Sprintf("host-%05d", i), 0, 0, 0, StatusHealthy, 1, 0)
	}
	exporter.CommitEndpoints(ListComplete, 1)
	for _, r := range exporter.endpoints.replicas {
		r.latency.record(1, 5)
		r.health.lastAnswer = 1
	}
	exported := 0
	for b.Loop() {
		exporter.ExportObservations(512, 512, func(Observation) { exported++ })
	}
	require.Positive(b, exported)
}
