package scheduler

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// Clock tells the time and wakes.
type Clock interface {
	Now() time.Time
	After(time.Duration) <-chan time.Time
}

const tenth = 100 * time.Microsecond

// Pool runs the jobs of a Plan. All its calls but Run are safe from any goroutine, and none waits for a job.
type Pool struct {
	clock Clock
	start time.Time
	fault func(name string, err error)
	stir  chan struct{}

	mu   sync.Mutex
	plan *Schedule
	runs map[JobID]*run
}

type run struct {
	name string
	do   func(ctx context.Context, a *Allowance) error
	ctx  context.CancelFunc
}

// NewPool is a pool for a plan. fault is told of jobs that were given up; it must not wait.
func NewPool(clock Clock, plan *Schedule, fault func(name string, err error)) *Pool {
	return &Pool{clock: clock, start: clock.Now(), plan: plan, fault: fault, stir: make(chan struct{}, 1), runs: map[JobID]*run{}}
}

// now is the plan's time; it begins at 1, since 0 is 'never' there.
func (p *Pool) now() int64 { return 1 + int64(p.clock.Now().Sub(p.start)/tenth) }

func (p *Pool) stirred() {
	select {
	case p.stir <- struct{}{}:
	default:
	}
}

// Add takes a job in. do ends when its context does; it takes what it spends from its allowance.
func (p *Pool) Add(j Job, do func(ctx context.Context, a *Allowance) error) (JobID, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	id, err := p.plan.Add(p.now(), j)
	if err == nil {
		p.runs[id] = &run{name: j.Name, do: do}
		p.stirred()
	}
	return id, err
}

// Cancel takes a job back and ends its run.
func (p *Pool) Cancel(id JobID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.plan.Cancel(id)
	if r := p.runs[id]; r != nil && r.ctx != nil {
		r.ctx()
	} else {
		delete(p.runs, id)
	}
	p.stirred()
}

// RecordLoad notes the share of its time that the owner spends in turns; jobs wait by it.
func (p *Pool) RecordLoad(share float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.plan.RecordLoad(p.now(), share)
}

// Counts tells what has become of jobs so far.
func (p *Pool) Counts() (c Counts, waiting, running int, load float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.plan.Counts()
}

// Run starts jobs until ctx ends, then ends those that run and waits for them.
func (p *Pool) Run(ctx context.Context) error {
	ctx, stop := context.WithCancel(ctx)
	var g sync.WaitGroup
	defer g.Wait()
	defer stop()
	for {
		p.mu.Lock()
		start, gaveUp, again := p.plan.StartDue(p.now())
		for _, id := range start {
			r := p.runs[id]
			var own context.Context
			own, r.ctx = context.WithCancel(ctx)
			g.Go(func() { p.run(own, id, r) })
		}
		for _, id := range gaveUp {
			p.fault(p.runs[id].name, ErrDeadlinePassed)
			delete(p.runs, id)
		}
		var wake <-chan time.Time
		if again > 0 {
			wake = p.clock.After(time.Duration(max(1, again-p.now())) * tenth)
		}
		p.mu.Unlock()
		select {
		case <-p.stir:
		case <-wake:
		case <-ctx.Done():
			return nil
		}
	}
}

// run is one run of a job. Guards against one that panics: it has failed, and nothing else has.
func (p *Pool) run(ctx context.Context, id JobID, r *run) {
	err := func() (err error) {
		defer func() {
			if v := recover(); v != nil {
				err = fmt.Errorf("panic: %v", v)
			}
		}()
		return r.do(ctx, &Allowance{pool: p, id: id})
	}()
	calledOff := ctx.Err() != nil
	p.mu.Lock()
	defer p.mu.Unlock()
	r.ctx()
	r.ctx = nil
	if over, why := p.plan.RecordResult(p.now(), id, err); over {
		delete(p.runs, id)
		if why != nil && !calledOff {
			p.fault(r.name, fmt.Errorf("%w: %w", why, err))
		}
	}
	p.stirred()
}

// Allowance is what a job takes from its kind's budget.
type Allowance struct {
	pool *Pool
	id   JobID
}

// Spend takes bytes and processor time and waits until the budget has recovered, or ctx ends.
func (a *Allowance) Spend(ctx context.Context, bytes int, cpu time.Duration) error {
	a.pool.mu.Lock()
	wait := a.pool.plan.Spend(a.pool.now(), a.id, bytes, cpu.Seconds())
	a.pool.mu.Unlock()
	if wait <= 0 {
		return ctx.Err()
	}
	select {
	case <-a.pool.clock.After(time.Duration(wait) * tenth):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
