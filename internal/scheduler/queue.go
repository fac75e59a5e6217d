package scheduler

import (
	"cmp"
	"container/heap"
	"math"
)

const (
	// agingStep is the wait that raises a job by one priority, so that the lowest is not starved by the highest.
	agingStep = 5 * second

	defaultInitialBackoff = second / 2
	maxBackoff            = 60 * second
	// maxBackoffDoublings keeps the shift from overflowing; maxBackoff is reached long before.
	maxBackoffDoublings = 16
	// noDeadline is the deadline of a job without one.
	noDeadline = math.MaxInt64
)

// scheduledJob is a job and its state in the Schedule.
type scheduledJob struct {
	Job
	id                JobID
	startAt           int64 // earliest start
	dueSince          int64 // earliest start before any deferral: its age counts from here
	deadlineAt        int64
	failures          int // consecutive
	running           bool
	starvationCounted bool // it is in Counts.Starved already
	canceled          bool
	queueIndex        int // position in the jobQueue, -1 after it was popped
}

// effectivePriority is the job's priority raised by how long it has been due.
func (j *scheduledJob) effectivePriority(now int64) float64 {
	return float64(j.Priority) - float64(max(0, now-j.dueSince))/agingStep
}

// recordFailure counts a failure and returns the backoff that follows it.
func (j *scheduledJob) recordFailure() (backoff int64) {
	initial := j.InitialBackoff
	if initial <= 0 {
		initial = defaultInitialBackoff
	}
	backoff = min(maxBackoff, initial<<min(j.failures, maxBackoffDoublings))
	j.failures++
	return backoff
}

func (j *scheduledJob) failedTooOften() bool {
	return j.MaxFailures > 0 && j.failures >= j.MaxFailures
}

// jobQueue orders jobs by their earliest start. It implements heap.Interface.
type jobQueue []*scheduledJob

func (q jobQueue) Len() int { return len(q) }

func (q jobQueue) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(q[i].startAt, q[j].startAt), cmp.Compare(q[i].id, q[j].id)) < 0
}

func (q jobQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].queueIndex, q[j].queueIndex = i, j
}

// Push implements heap.Interface; use heap.Push.
func (q *jobQueue) Push(v any) {
	job := v.(*scheduledJob)
	job.queueIndex = len(*q)
	*q = append(*q, job)
}

// Pop implements heap.Interface; use heap.Pop.
func (q *jobQueue) Pop() any {
	last := len(*q) - 1
	job := (*q)[last]
	(*q)[last] = nil
	job.queueIndex = -1
	*q = (*q)[:last]
	return job
}

// popDue removes and returns the jobs whose start has come.
func (q *jobQueue) popDue(now int64) (due []*scheduledJob) {
	for len(*q) > 0 && (*q)[0].startAt <= now {
		due = append(due, heap.Pop(q).(*scheduledJob))
	}
	return due
}

// remove takes a job out of the queue if it is in it.
func (q *jobQueue) remove(job *scheduledJob) {
	if i := job.queueIndex; i >= 0 && i < len(*q) && (*q)[i] == job {
		heap.Remove(q, i)
	}
}
