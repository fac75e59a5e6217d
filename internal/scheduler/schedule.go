// Package scheduler runs background jobs alongside the searches: polling peers, answering their polls, saving state,
// exchanging replicated data.
//
// A Schedule decides which job may start: by priority, within the budget of its kind, before its deadline, with jitter
// and with backoff after failures. Searches go first: jobs wait while the event loop is loaded. A Schedule has no clock
// and does no I/O; callers pass times in ticks of a tenth of a millisecond. A Pool runs the jobs of a Schedule on
// goroutines. docs/peer-reports.md compares the design options.
package scheduler

import (
	"cmp"
	"container/heap"
	"math/rand"
	"slices"
)

const (
	// second is one second in ticks.
	second = 10_000
	// MaxJobs limits the jobs that wait or run; further ones are rejected, so that memory stays bounded.
	MaxJobs = 1024
	// backoffJitter limits the random wait added to each interval and backoff, as a share of that interval or backoff. It
	// spreads out the jobs of instances that started at the same time.
	backoffJitter = 0.2
	// starvationAge is how long a due job may be held back by load before it counts as starved.
	starvationAge = 30 * second
	// deferralStep is the wait before another attempt to start a job that was held back by load.
	deferralStep = loadWindow / 4
)

// Schedule holds jobs and decides when each may start. It is not safe for concurrent use.
type Schedule struct {
	rng    *rand.Rand
	kinds  map[string]*kindState
	jobs   map[JobID]*scheduledJob
	queue  jobQueue
	lastID JobID
	load   loadAverage
	counts Counts
}

// NewSchedule returns an empty schedule. A kind that is not in budgets runs one job at a time and has no other limit.
func NewSchedule(rng *rand.Rand, budgets map[string]Budget) *Schedule {
	s := &Schedule{rng: rng, kinds: map[string]*kindState{}, jobs: map[JobID]*scheduledJob{}}
	for name, budget := range budgets {
		s.kinds[name] = newKindState(budget)
	}
	return s
}

func (s *Schedule) kind(name string) *kindState {
	if s.kinds[name] == nil {
		s.kinds[name] = newKindState(Budget{})
	}
	return s.kinds[name]
}

// Add accepts a job. It returns ErrTooManyJobs if MaxJobs jobs are waiting or running.
func (s *Schedule) Add(now int64, job Job) (JobID, error) {
	if len(s.jobs) >= MaxJobs {
		return 0, ErrTooManyJobs
	}
	s.lastID++
	startAt := now + job.Delay + s.randomUpTo(job.Jitter)
	scheduled := &scheduledJob{Job: job, id: s.lastID, startAt: startAt, dueSince: startAt, deadlineAt: noDeadline}
	if job.Deadline > 0 {
		scheduled.deadlineAt = now + job.Deadline
	}
	s.jobs[scheduled.id] = scheduled
	heap.Push(&s.queue, scheduled)
	return scheduled.id, nil
}

func (s *Schedule) randomUpTo(limit int64) int64 {
	if limit <= 0 {
		return 0
	}
	return s.rng.Int63n(limit)
}

// Cancel removes a job. A running job stays until RecordResult records its end; it is neither rescheduled nor abandoned.
func (s *Schedule) Cancel(id JobID) {
	job := s.jobs[id]
	if job == nil {
		return
	}
	s.counts.Canceled++
	job.canceled = true
	if !job.running {
		s.remove(job)
	}
}

func (s *Schedule) remove(job *scheduledJob) {
	delete(s.jobs, job.id)
	s.queue.remove(job)
}

// RecordLoad records the share of time, 0 to 1, for which the event loop is busy.
func (s *Schedule) RecordLoad(now int64, share float64) { s.load.record(now, share) }

// StartDue returns the jobs that start now, which count as running from then on, and those that are abandoned because
// their deadline has passed. It has to be called again at nextAt, and whenever a job is added or ends. nextAt is 0 if
// no call is needed until a job is added or ends.
func (s *Schedule) StartDue(now int64) (start, abandoned []JobID, nextAt int64) {
	due := s.queue.popDue(now)
	if len(s.queue) > 0 {
		nextAt = s.queue[0].startAt
	}
	slices.SortFunc(due, func(a, b *scheduledJob) int {
		return cmp.Or(cmp.Compare(a.effectivePriority(now), b.effectivePriority(now)), cmp.Compare(a.id, b.id))
	})
	for _, job := range due {
		if now > job.deadlineAt {
			s.counts.Abandoned++
			delete(s.jobs, job.id)
			abandoned = append(abandoned, job.id)
			continue
		}
		started, retryAt := s.tryStart(now, job)
		if started {
			start = append(start, job.id)
			continue
		}
		nextAt = earliest(nextAt, retryAt)
		if job.deadlineAt < noDeadline {
			nextAt = earliest(nextAt, job.deadlineAt+1)
		}
		heap.Push(&s.queue, job)
	}
	return start, abandoned, nextAt
}

// tryStart starts a due job if its budget and the load allow it. Otherwise it returns when to try again, or 0 if there
// is nothing to try before another job of the same kind ends.
func (s *Schedule) tryStart(now int64, job *scheduledJob) (started bool, retryAt int64) {
	kind := s.kind(job.Kind)
	wait := kind.wait(now)
	switch {
	case kind.isFull():
		return false, 0
	case wait > 0:
		return false, now + wait
	case !s.load.allows(job.Priority):
		s.recordDeferral(now, job)
		return false, now + deferralStep
	}
	kind.running++
	job.running = true
	s.counts.Started++
	return true, 0
}

func (s *Schedule) recordDeferral(now int64, job *scheduledJob) {
	s.counts.Deferred++
	if !job.starvationCounted && now-job.dueSince > starvationAge {
		job.starvationCounted = true
		s.counts.Starved++
	}
}

// earliest returns the earlier of two times; 0 means never.
func earliest(a, b int64) int64 {
	if a == 0 || b != 0 && b < a {
		return b
	}
	return a
}

// Spend takes bytes and seconds of CPU time from the budget of a job's kind. It returns how long to wait before spending
// more.
func (s *Schedule) Spend(now int64, id JobID, bytes int, cpuSeconds float64) (wait int64) {
	job := s.jobs[id]
	if job == nil {
		return 0
	}
	kind := s.kind(job.Kind)
	kind.spend(now, bytes, cpuSeconds)
	return kind.wait(now)
}

// RecordResult records how a run ended and schedules the next one, if there is one. done reports that the job has left
// the schedule; reason says why, if the job was abandoned.
func (s *Schedule) RecordResult(now int64, id JobID, err error) (done bool, reason error) {
	job := s.jobs[id]
	if job == nil || !job.running {
		return true, nil
	}
	s.kind(job.Kind).running--
	job.running = false
	if err == nil {
		s.counts.Completed++
	} else {
		s.counts.Failed++
	}
	if job.canceled || err == nil && job.Interval == 0 {
		s.remove(job)
		return true, nil
	}
	wait := job.Interval
	if err == nil {
		job.failures = 0
	} else if wait = job.recordFailure(); job.failedTooOften() {
		return true, s.abandon(job, ErrTooManyFailures)
	}
	return s.reschedule(now, job, wait)
}

// reschedule queues a job to start after a wait, or abandons it if that start would be past its deadline.
func (s *Schedule) reschedule(now int64, job *scheduledJob, wait int64) (done bool, reason error) {
	job.startAt = now + wait + s.randomUpTo(int64(backoffJitter*float64(wait)))
	job.dueSince = job.startAt
	job.starvationCounted = false
	if job.startAt > job.deadlineAt {
		return true, s.abandon(job, ErrDeadlinePassed)
	}
	heap.Push(&s.queue, job)
	return false, nil
}

func (s *Schedule) abandon(job *scheduledJob, reason error) error {
	s.counts.Abandoned++
	s.remove(job)
	return reason
}

// Counts returns the totals so far, the numbers of jobs that are waiting and running, and the load average.
func (s *Schedule) Counts() (totals Counts, waiting, running int, load float64) {
	for _, kind := range s.kinds {
		running += kind.running
	}
	return s.counts, len(s.jobs) - running, running, s.load.value
}
