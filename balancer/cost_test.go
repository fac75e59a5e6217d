package balancer

import (
	"fmt"
	"testing"
)

// bench is a protocol that keeps no more than what is out.
type bench struct {
	sent  []uint64 // parts with a sub-request out, the first of each
	ended map[uint64]bool
}

func (b *bench) SendAttempt(part uint64, _ string, _ int64) { b.sent = append(b.sent, part) }
func (b *bench) CancelAttempt(uint64, int)                  {}
func (b *bench) AnswerSearch(search uint64, _ bool)         { b.ended[search] = true }
func (b *bench) ShedSearch(search uint64, _ int64)          { b.ended[search] = true }
func (b *bench) FailSearch(search uint64)                   { b.ended[search] = true }
func (b *bench) SetTimer(int64, uint64)                     {}
func (b *bench) CancelTimer(uint64)                         {}
func (b *bench) ProbeReplica(string)                        {}
func (b *bench) WatchEndpoints()                            {}
func (b *bench) LogMessage(string)                          {}

func module(replicas int) (*bench, *balancer) {
	b := &bench{ended: map[uint64]bool{}}
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

// one plays a search of eight parts from its arrival to its answer.
func (b *bench) one(c *balancer, id uint64, qtype int) {
	c.BeginIteration(c.now + 10)
	c.AddSearch(id, qtype, 0, "", 30_000, id, 8, false)
	for p := range uint64(8) {
		c.AddShardRequest(id<<4|p, id, int(p), 0.125)
	}
	c.EndIteration()
	b.land(c)
	delete(b.ended, id)
}

// land answers all that is out, a part a turn.
func (b *bench) land(c *balancer) {
	sent := b.sent
	b.sent = b.sent[:0]
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
			p, c := module(n)
			for i := range 200 {
				p.one(c, uint64(i+1), i%2)
			}
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				p.one(c, uint64(i+1000), i%2)
			}
		})
	}
}

// What a turn with one answer costs while so many searches wait.
func BenchmarkWaiting(b *testing.B) {
	for _, n := range []int{0, 100, 1_000, 10_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			p, c := module(16)
			for i := range 200 {
				p.one(c, uint64(i+1), i%2)
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
				if len(p.sent) > 0 {
					part := p.sent[0]
					p.sent = p.sent[1:]
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
