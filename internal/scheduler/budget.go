package scheduler

import "math"

// budgetBurst is the time in which an empty token bucket fills up. A full bucket may be spent at once.
const budgetBurst = second

// Budget limits the jobs of one kind.
type Budget struct {
	MaxConcurrent  int     // jobs running at the same time; 0 means 1
	BytesPerSecond float64 // 0 means no limit
	CPUPerSecond   float64 // seconds of CPU time per second; 0 means no limit
}

// tokenBucket accrues tokens at a constant rate. Spending may overdraw it, because the amount is often known only
// after the work is done; the next job that spends waits until the bucket is no longer overdrawn.
type tokenBucket struct {
	tokens    float64
	rate      float64 // tokens per tick; 0 means no limit
	updatedAt int64
}

func newTokenBucket(perSecond float64) tokenBucket {
	bucket := tokenBucket{rate: perSecond / second}
	bucket.tokens = bucket.rate * budgetBurst
	return bucket
}

func (b *tokenBucket) refill(now int64) {
	if b.rate > 0 {
		b.tokens = min(b.rate*budgetBurst, b.tokens+b.rate*float64(max(0, now-b.updatedAt)))
	}
	b.updatedAt = max(b.updatedAt, now)
}

func (b *tokenBucket) spend(now int64, amount float64) {
	b.refill(now)
	if b.rate > 0 {
		b.tokens -= amount
	}
}

// wait returns the ticks until the bucket is no longer overdrawn.
func (b *tokenBucket) wait(now int64) int64 {
	b.refill(now)
	if b.rate <= 0 || b.tokens >= 0 {
		return 0
	}
	return int64(math.Ceil(-b.tokens / b.rate))
}

// kindState is the budget of a kind of jobs and what those jobs have taken from it.
type kindState struct {
	maxConcurrent int
	running       int
	bytes, cpu    tokenBucket
}

func newKindState(budget Budget) *kindState {
	return &kindState{
		maxConcurrent: max(1, budget.MaxConcurrent),
		bytes:         newTokenBucket(budget.BytesPerSecond),
		cpu:           newTokenBucket(budget.CPUPerSecond),
	}
}

func (k *kindState) isFull() bool { return k.running >= k.maxConcurrent }

func (k *kindState) spend(now int64, bytes int, cpuSeconds float64) {
	k.bytes.spend(now, float64(bytes))
	k.cpu.spend(now, cpuSeconds)
}

// wait returns the ticks until neither the bytes nor the CPU time of the budget are overdrawn.
func (k *kindState) wait(now int64) int64 { return max(k.bytes.wait(now), k.cpu.wait(now)) }
