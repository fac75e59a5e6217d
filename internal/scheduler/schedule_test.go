package scheduler

import (
	"errors"
	"flag"
	"math/rand"
	"os"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestMain fixes the seed of the property tests, so that CI results are reproducible. Flags on the command line take
// precedence.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

func newSchedule(budgets map[string]Budget) *Schedule {
	return NewSchedule(rand.New(rand.NewSource(1)), budgets)
}

func mustAdd(t require.TestingT, s *Schedule, now int64, job Job) JobID {
	id, err := s.Add(now, job)
	require.NoError(t, err)
	return id
}

// Guards against jobs of one kind that do not start in the order of their priorities, or that run at the same time although
// the default is one at a time.
func TestMostUrgentJobStartsFirst(t *testing.T) {
	s := newSchedule(nil)
	idle := mustAdd(t, s, 0, Job{Priority: PriorityIdle})
	normal := mustAdd(t, s, 0, Job{Priority: PriorityNormal})
	urgent := mustAdd(t, s, 0, Job{Priority: PriorityUrgent})
	for _, want := range []JobID{urgent, normal, idle} {
		start, _, _ := s.StartDue(10)
		require.Equal(t, []JobID{want}, start, "one job of a kind at a time, the most urgent first")
		done, reason := s.RecordResult(20, want, nil)
		require.True(t, done)
		require.NoError(t, reason)
	}
}

// Guards against a job of low priority that is starved by later jobs of high priority.
func TestWaitingRaisesPriority(t *testing.T) {
	s := newSchedule(nil)
	old := mustAdd(t, s, 0, Job{Priority: PriorityIdle})
	recent := mustAdd(t, s, 3*agingStep, Job{Priority: PriorityUrgent})
	start, _, _ := s.StartDue(3 * agingStep)
	require.Equal(t, []JobID{old}, start)
	done, reason := s.RecordResult(3*agingStep, old, nil)
	require.True(t, done)
	require.NoError(t, reason)
	start, _, _ = s.StartDue(3 * agingStep)
	require.Equal(t, []JobID{recent}, start)
}

// Guards against jobs that take time from searches under load, or that stay held back when the load has ended. Jobs held
// back have to be counted. On a busy event loop only urgent jobs start, on a saturated one none.
func TestLoadHoldsJobsBack(t *testing.T) {
	s := newSchedule(map[string]Budget{"": {MaxConcurrent: 9}})
	s.RecordLoad(0, 0.8)
	s.RecordLoad(10*second, 0.8)
	urgent := mustAdd(t, s, 10*second, Job{Priority: PriorityUrgent})
	normal := mustAdd(t, s, 10*second, Job{Priority: PriorityNormal})
	start, _, nextAt := s.StartDue(10 * second)
	require.Equal(t, []JobID{urgent}, start)
	require.Positive(t, nextAt)
	s.RecordLoad(20*second, 1)
	mustAdd(t, s, 20*second, Job{Priority: PriorityUrgent})
	start, _, _ = s.StartDue(20 * second)
	require.Empty(t, start)
	s.StartDue(50 * second)
	totals, waiting, running, load := s.Counts()
	require.Equal(t, 1, totals.Starved)
	require.Equal(t, 2, waiting)
	require.Equal(t, 1, running)
	require.Greater(t, load, 0.9)
	require.Positive(t, totals.Deferred)
	s.RecordLoad(60*second, 0)
	start, _, _ = s.StartDue(60 * second)
	require.Len(t, start, 2)
	require.Contains(t, start, normal)
}

// Guards against a job that still waits for its turn after its deadline, and against a nextAt later than the first tick
// after the deadline.
func TestJobPastItsDeadlineIsAbandoned(t *testing.T) {
	s := newSchedule(nil)
	first := mustAdd(t, s, 0, Job{})
	late := mustAdd(t, s, 0, Job{Deadline: second})
	start, _, nextAt := s.StartDue(0)
	require.Equal(t, []JobID{first}, start)
	require.Equal(t, int64(second+1), nextAt)
	_, abandoned, _ := s.StartDue(second + 1)
	require.Equal(t, []JobID{late}, abandoned)
}

// Guards against a failing job that is retried at a constant rate or without end.
func TestBackoffGrowsUntilTheJobIsAbandoned(t *testing.T) {
	s := newSchedule(nil)
	failing := mustAdd(t, s, 0, Job{Interval: 10 * second, InitialBackoff: second, MaxFailures: 3})
	now, lastBackoff := int64(2*second), int64(0)
	for attempt := range 3 {
		start, _, _ := s.StartDue(now)
		require.Equal(t, []JobID{failing}, start)
		done, reason := s.RecordResult(now, failing, errors.New("failed"))
		require.Equal(t, attempt == 2, done)
		if done {
			require.Equal(t, ErrTooManyFailures, reason)
			break
		}
		_, _, nextAt := s.StartDue(now)
		require.Greater(t, nextAt-now, lastBackoff)
		lastBackoff, now = nextAt-now, nextAt
	}
}

// Guards against a periodic job that is not rescheduled within its interval and jitter, or that stays after Cancel.
func TestPeriodicJobRunsUntilCanceled(t *testing.T) {
	s := newSchedule(nil)
	now := int64(2 * second)
	periodic := mustAdd(t, s, now, Job{Interval: 10 * second})
	s.StartDue(now)
	done, _ := s.RecordResult(now, periodic, nil)
	require.False(t, done)
	_, _, nextAt := s.StartDue(now)
	require.GreaterOrEqual(t, nextAt, now+10*second)
	require.LessOrEqual(t, nextAt, now+13*second)
	s.Cancel(periodic)
	_, waiting, _, _ := s.Counts()
	require.Zero(t, waiting)
	s.Cancel(periodic)
}

// Guards against unbounded memory: a job beyond MaxJobs is rejected.
func TestJobsAreBounded(t *testing.T) {
	s := newSchedule(nil)
	for range MaxJobs {
		mustAdd(t, s, 0, Job{})
	}
	_, err := s.Add(0, Job{})
	require.Equal(t, ErrTooManyJobs, err)
}

// Guards against jobs that exceed their budget. After any sequence of calls, no kind has more jobs running than its
// budget allows; the bytes spent are at most what accrued in the elapsed time, plus one burst and one overdraft per
// running job; and every job ends once.
func TestBudgetsHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		maxConcurrent := rapid.IntRange(1, 4).Draw(t, "concurrent")
		rate := rapid.Float64Range(100, 1e6).Draw(t, "rate")
		s := newSchedule(map[string]Budget{"k": {MaxConcurrent: maxConcurrent, BytesPerSecond: rate}})
		now, spent, largest := int64(0), 0.0, 0.0
		running := map[JobID]int64{} // the time from which each running job may spend again
		ended := map[JobID]bool{}
		for range 200 {
			now += rapid.Int64Range(0, second/4).Draw(t, "step")
			switch rapid.IntRange(0, 3).Draw(t, "action") {
			case 0:
				// Beyond MaxJobs this is rejected, which is a valid case too.
				_, _ = s.Add(now, Job{
					Kind: "k", Priority: Priority(rapid.IntRange(0, 2).Draw(t, "priority")),
					Delay: rapid.Int64Range(0, second).Draw(t, "delay"),
				})
			case 1:
				start, _, _ := s.StartDue(now)
				for _, id := range start {
					require.False(t, ended[id])
					running[id] = now
				}
			case 2:
				for id, waitUntil := range running {
					if now < waitUntil {
						continue
					}
					bytes := rapid.IntRange(1, 5000).Draw(t, "bytes")
					spent, largest = spent+float64(bytes), max(largest, float64(bytes))
					wait := s.Spend(now, id, bytes, 0)
					require.GreaterOrEqual(t, wait, int64(0))
					running[id] = now + wait
				}
			case 3:
				for id := range running {
					done, _ := s.RecordResult(now, id, nil)
					require.True(t, done)
					ended[id] = true
					delete(running, id)
					break
				}
			}
			require.LessOrEqual(t, len(running), maxConcurrent)
			require.LessOrEqual(t, spent, rate*(float64(now)/second+1)+float64(maxConcurrent)*largest+1)
		}
	})
}
