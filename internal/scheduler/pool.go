package scheduler

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// Clock tells the time and sets timers.
type Clock interface {
	Now() time.Time
	After(time.Duration) <-chan time.Time
}

// tick is the unit of time of a Schedule.
const tick = 100 * time.Microsecond

// JobFunc is the work of a job. It has to return soon after ctx ends, and to call allowance.Spend for the bytes and the
// CPU time that it uses.
type JobFunc func(ctx context.Context, allowance *Allowance) error

// Pool runs the jobs of a Schedule, each run on its own goroutine. All methods are safe for concurrent use, and only Run
// waits for jobs.
type Pool struct {
	clock     Clock
	startedAt time.Time
	onAbandon func(name string, err error)
	changed   chan struct{} // signals Run to check the schedule again

	mu       sync.Mutex
	schedule *Schedule
	jobs     map[JobID]*pooledJob
}

// pooledJob is a job's work. cancel ends its current run; it is nil while the job is not running.
type pooledJob struct {
	name   string
	work   JobFunc
	cancel context.CancelFunc
}

// NewPool returns a pool that takes ownership of a schedule. onAbandon is called for each abandoned job while the pool is
// locked, so it must neither block nor call the pool.
func NewPool(clock Clock, schedule *Schedule, onAbandon func(name string, err error)) *Pool {
	return &Pool{
		clock: clock, startedAt: clock.Now(), onAbandon: onAbandon, changed: make(chan struct{}, 1),
		schedule: schedule, jobs: map[JobID]*pooledJob{},
	}
}

// now returns the schedule's time. It starts at 1, because a Schedule uses 0 for never.
func (p *Pool) now() int64 { return 1 + int64(p.clock.Now().Sub(p.startedAt)/tick) }

func (p *Pool) signalChange() {
	select {
	case p.changed <- struct{}{}:
	default:
	}
}

// Add accepts a job. It returns ErrTooManyJobs if MaxJobs jobs are waiting or running.
func (p *Pool) Add(job Job, work JobFunc) (JobID, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	id, err := p.schedule.Add(p.now(), job)
	if err == nil {
		p.jobs[id] = &pooledJob{name: job.Name, work: work}
		p.signalChange()
	}
	return id, err
}

// Cancel removes a job and cancels the context of its current run, without waiting for the run to end.
func (p *Pool) Cancel(id JobID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.schedule.Cancel(id)
	if job := p.jobs[id]; job != nil && job.cancel != nil {
		job.cancel()
	} else {
		delete(p.jobs, id)
	}
	p.signalChange()
}

// RecordLoad records the share of time, 0 to 1, for which the event loop is busy. A high load holds jobs back.
func (p *Pool) RecordLoad(share float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.schedule.RecordLoad(p.now(), share)
}

// Counts returns the totals so far, the numbers of jobs that are waiting and running, and the load average.
func (p *Pool) Counts() (totals Counts, waiting, running int, load float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.schedule.Counts()
}

// Run starts jobs until ctx ends. It then cancels the running jobs, waits for them and returns nil.
func (p *Pool) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	var runs sync.WaitGroup
	defer runs.Wait()
	defer cancel()
	for {
		timer := p.startDue(ctx, &runs)
		select {
		case <-p.changed:
		case <-timer:
		case <-ctx.Done():
			return nil
		}
	}
}

// startDue starts the jobs that are due. It returns a timer for the next check of the schedule, or nil if the next
// check is needed only after the schedule changes.
func (p *Pool) startDue(ctx context.Context, runs *sync.WaitGroup) <-chan time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	start, abandoned, nextAt := p.schedule.StartDue(p.now())
	for _, id := range start {
		job := p.jobs[id]
		runCtx, cancel := context.WithCancel(ctx)
		job.cancel = cancel
		runs.Go(func() { p.runJob(runCtx, id, job) })
	}
	for _, id := range abandoned {
		p.onAbandon(p.jobs[id].name, ErrDeadlinePassed)
		delete(p.jobs, id)
	}
	if nextAt == 0 {
		return nil
	}
	return p.clock.After(time.Duration(max(1, nextAt-p.now())) * tick)
}

// runJob runs a job once and records the result.
func (p *Pool) runJob(ctx context.Context, id JobID, job *pooledJob) {
	err := callRecovered(ctx, job.work, &Allowance{pool: p, id: id})
	canceled := ctx.Err() != nil
	p.mu.Lock()
	defer p.mu.Unlock()
	job.cancel()
	job.cancel = nil
	if done, reason := p.schedule.RecordResult(p.now(), id, err); done {
		delete(p.jobs, id)
		if reason != nil && !canceled {
			p.onAbandon(job.name, fmt.Errorf("%w: %w", reason, err))
		}
	}
	p.signalChange()
}

// callRecovered calls work and turns a panic into an error: a job that panics counts as failed and affects nothing else.
func callRecovered(ctx context.Context, work JobFunc, allowance *Allowance) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			err = fmt.Errorf("panic: %v", cause)
		}
	}()
	return work(ctx, allowance)
}

// Allowance is a running job's access to the budget of its kind.
type Allowance struct {
	pool *Pool
	id   JobID
}

// Spend takes bytes and CPU time from the budget, then waits until the budget is no longer overdrawn or ctx ends.
func (a *Allowance) Spend(ctx context.Context, bytes int, cpu time.Duration) error {
	a.pool.mu.Lock()
	wait := a.pool.schedule.Spend(a.pool.now(), a.id, bytes, cpu.Seconds())
	a.pool.mu.Unlock()
	if wait <= 0 {
		return ctx.Err()
	}
	select {
	case <-a.pool.clock.After(time.Duration(wait) * tick):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
