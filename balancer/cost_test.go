package balancer

import (
	"fmt"
	"testing"
)

// costProtocol is a protocol that keeps no more than what is out.
type costProtocol struct {
	pending []uint64 // parts with a sub-request out, the first of each
	ended   map[uint64]bool
}

func (b *costProtocol) SendAttempt(part uint64, _ string, _ int64) {
	b.pending = append(b.pending, part)
}
func (b *costProtocol) CancelAttempt(uint64, int)          {}
func (b *costProtocol) AnswerSearch(search uint64, _ bool) { b.ended[search] = true }
func (b *costProtocol) ShedSearch(search uint64, _ int64)  { b.ended[search] = true }
func (b *costProtocol) FailSearch(search uint64)           { b.ended[search] = true }
func (b *costProtocol) SetTimer(int64, uint64)             {}
func (b *costProtocol) CancelTimer(uint64)                 {}
func (b *costProtocol) ProbeReplica(string)                {}
func (b *costProtocol) WatchEndpoints()                    {}
func (b *costProtocol) LogMessage(string)                  {}

func newCostBalancer(replicas int) (*costProtocol, *balancer) {
	b := &costProtocol{ended: map[uint64]bool{}}
	c := New(b).(*balancer)
	facts := map[string]string{
		"Tick": "5", "Balancers": "1", "Classes.count": "2", "Specifics.Sets": "8", "Specifics.Reach": "2",
		"Specifics.PerCall": "1", "Classes.0.Aim": "3000", "Classes.0.Effect": "retryable", "Classes.1.Aim": "60000",
		"Classes.1.Effect": "retryable", "Specifics.NeedByClass": "0.75,1", "Specifics.ClassFloor": "0.75,1",
		"Specifics.FollowUp": "0,0", "Permissions.MaxAttempts": "3", "Permissions.SecondCopies": "true",
		"Permissions.Cancelling": "true", "Safety.Cold": "10000",
	}
	c.BeginIteration(10)
	c.Configure(1, facts)
	for i := range replicas {
		c.AddEndpoint(fmt.Sprint("r", i), 0, 0, i%8, "healthy", 1, 0)
	}
	c.CommitEndpoints("Persisted", 1)
	c.EndIteration()
	return b, c
}

// playSearch plays a search of eight parts from its arrival to its answer.
func (b *costProtocol) playSearch(c *balancer, id uint64, qtype int) {
	c.BeginIteration(c.now + 10)
	c.AddSearch(id, qtype, 0, "", 30_000, id, 8, false)
	for p := range uint64(8) {
		c.AddShardRequest(id<<4|p, id, int(p), 0.125)
	}
	c.EndIteration()
	b.answerPending(c)
	delete(b.ended, id)
}

// answerPending answers all that is out, a part a turn.
func (b *costProtocol) answerPending(c *balancer) {
	sent := b.pending
	b.pending = b.pending[:0]
	for _, p := range sent {
		c.BeginIteration(c.now + 3)
		c.RecordAttemptOutcome(p, 0, "Ok", 25, false, nil)
		c.EndIteration()
	}
}

// What a search costs in the module, on few hosts and on many.
func BenchmarkReplicas(b *testing.B) {
	for _, n := range []int{16, 100, 1_000, 10_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			p, c := newCostBalancer(n)
			for i := range 200 {
				p.playSearch(c, uint64(i+1), i%2)
			}
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				p.playSearch(c, uint64(i+1000), i%2)
			}
		})
	}
}

// What a turn with one answer costs while so many searches wait.
func BenchmarkWaiting(b *testing.B) {
	for _, n := range []int{0, 100, 1_000, 10_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			p, c := newCostBalancer(16)
			for i := range 200 {
				p.playSearch(c, uint64(i+1), i%2)
			}
			id := uint64(1000)
			more := func() {
				id++
				c.AddSearch(id, 1, 0, "", 600_000, id, 8, false)
				for part := range uint64(8) {
					c.AddShardRequest(id<<4|part, id, int(part), 0.125)
				}
			}
			for range n + 8 {
				more()
			}
			c.EndIteration()
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				c.BeginIteration(c.now + 1)
				if len(p.pending) > 0 {
					part := p.pending[0]
					p.pending = p.pending[1:]
					c.RecordAttemptOutcome(part, 0, "Ok", 25, false, nil)
				}
				for len(c.admission.searches) < n {
					more()
				}
				c.EndIteration()
			}
		})
	}
}
