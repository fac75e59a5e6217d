package scheduler

import (
	"fmt"

	"chalkring/internal/advice"
)

// Priority orders jobs: those with the smallest value run first.
type Priority int

// Priorities of jobs. Jobs of each priority start only while the load of the event loop is below a limit.
const (
	// PriorityUrgent is for jobs that the start of the process waits for. They start unless the event loop is saturated.
	PriorityUrgent Priority = iota
	// PriorityNormal jobs wait while the event loop is busy.
	PriorityNormal
	// PriorityIdle jobs start only while the event loop has a low load.
	PriorityIdle
)

// Job describes work that runs once or periodically. Durations are in ticks.
type Job struct {
	Name           string
	Kind           string // selects the budget that the job spends from
	Priority       Priority
	Delay          int64 // wait before the first run
	Jitter         int64 // upper limit of a random wait added to Delay
	Deadline       int64 // counted from Add; a job whose first or next run cannot start by then is abandoned. 0 means no deadline
	Interval       int64 // wait after a successful run before the next one; 0 means the job runs once
	InitialBackoff int64 // wait after the first failure, doubled after each further one; 0 means defaultInitialBackoff
	MaxFailures    int   // consecutive failures after which the job is abandoned; 0 means it is never abandoned
}

// JobID identifies a job within its Schedule.
type JobID uint64

// Reasons why a job is rejected or abandoned.
var (
	ErrDeadlinePassed = advice.NewError("deadline passed before the job could start",
		"If this recurs, check the load of this instance: background jobs wait while searches keep it busy.")
	ErrTooManyFailures = advice.NewError("job failed too often",
		"Correct the cause given in the error; the job is not retried automatically.")
	ErrTooManyJobs = advice.NewError(fmt.Sprintf("%d jobs are waiting or running already", MaxJobs),
		"Check the load of this instance: background jobs wait while searches keep it busy.")
)

// Counts holds totals of a Schedule since its creation.
type Counts struct {
	Started, Completed, Failed, Abandoned, Canceled int
	Deferred                                        int // times a due job was held back because of load
	Starved                                         int // times a job was held back by load for longer than starvationAge
}
