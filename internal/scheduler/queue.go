package scheduler

import (
	"cmp"
	"container/heap"
	"math"
)

const (
	// agingStep is the wait that raises a due job by one priority, so that jobs of high priority cannot starve the others.
	agingStep = 5 * second

	defaultInitialBackoff = second / 2
	maxBackoff            = 60 * second
	// maxBackoffDoublings keeps the shift from overflowing; maxBackoff is reached long before that.
	maxBackoffDoublings = 16
	// noDeadline is the deadlineAt of a job without a deadline.
	noDeadline = math.MaxInt64
)

// scheduledJob is a job and its state in the Schedule.
type scheduledJob struct {
	Job
	id                JobID
	startAt           int64 // earliest start
	dueSince          int64 // time at which the job was due first, from which its wait is counted for aging and starvation
	deadlineAt        int64
	failures          int // consecutive
	running           bool
	starvationCounted bool // already counted in Counts.Starved
	canceled          bool
	queueIndex        int // position in the jobQueue, or -1 after the job was popped
}

// effectivePriority is the job's priority, less one for each agingStep for which the job has been due. The job with the
// smallest value starts first.
func (j *scheduledJob) effectivePriority(now int64) float64 {
	return float64(j.Priority) - float64(max(0, now-j.dueSince))/agingStep
}

// recordFailure counts a failure and returns the backoff before the next run.
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

// popDue removes and returns the jobs whose earliest start has passed.
func (q *jobQueue) popDue(now int64) (due []*scheduledJob) {
	for len(*q) > 0 && (*q)[0].startAt <= now {
		due = append(due, heap.Pop(q).(*scheduledJob))
	}
	return due
}

// remove removes a job from the queue, if it is there.
func (q *jobQueue) remove(job *scheduledJob) {
	if i := job.queueIndex; i >= 0 && i < len(*q) && (*q)[i] == job {
		heap.Remove(q, i)
	}
}
