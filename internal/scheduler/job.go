package scheduler

import (
	"fmt"

	"chalkring/internal/advice"
)

// Priority orders jobs; the smaller value runs first.
type Priority int

// Priorities of jobs. Each states up to which load of the event loop its jobs start.
const (
	// PriorityUrgent is for jobs that a start waits for. They start unless the event loop is saturated.
	PriorityUrgent Priority = iota
	// PriorityNormal jobs wait while the event loop is busy.
	PriorityNormal
	// PriorityIdle jobs start only while the event loop has ample time.
	PriorityIdle
)

// Job describes work that runs once or periodically. Durations are in ticks.
type Job struct {
	Name           string
	Kind           string // the budget it spends from
	Priority       Priority
	Delay          int64 // wait before the first run
	Jitter         int64 // upper bound of a random wait added to Delay
	Deadline       int64 // from Add on; a job that has not started by then is abandoned. 0 means no deadline
	Interval       int64 // wait after a successful run before the next one; 0 means the job runs once
	InitialBackoff int64 // wait after the first failure, doubled by each further one; 0 means defaultInitialBackoff
	MaxFailures    int   // consecutive failures after which the job is abandoned; 0 means it is never abandoned
}

// JobID identifies a job in its Schedule.
type JobID uint64

// Reasons why a job is rejected or abandoned.
var (
	ErrDeadlinePassed = advice.NewError("deadline passed before the job could start",
		"If it repeats, look at the load of this instance: background jobs wait while searches need its time.")
	ErrTooManyFailures = advice.NewError("job failed too often",
		"Mend the cause that follows; the job is not attempted again by itself.")
	ErrTooManyJobs = advice.NewError(fmt.Sprintf("%d jobs are waiting or running already", MaxJobs),
		"Look at the load of this instance: background jobs wait while searches need its time.")
)

// Counts holds the totals of a Schedule since it was created.
type Counts struct {
	Started, Completed, Failed, Abandoned, Canceled int
	Deferred                                        int // times a due job was held back because of load
	Starved                                         int // jobs that load has held back for longer than starvationAge
}
