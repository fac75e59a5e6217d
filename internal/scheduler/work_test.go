package scheduler

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"math/rand"
	"os"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"pgregory.net/rapid"
)

// TestMain has property tests draw the same each time: CI gives one verdict. A flag on the command line holds over it.
func TestMain(m *testing.M) {
	flag.Set("rapid.seed", "1")
	flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

func newPlan(budgets map[string]Budget) *Schedule {
	return NewSchedule(rand.New(rand.NewSource(1)), budgets)
}

func add(t require.TestingT, p *Schedule, now int64, j Job) JobID {
	id, err := p.Add(now, j)
	require.NoError(t, err)
	return id
}

func TestPriorities(t *testing.T) {
	p := newPlan(nil)
	idle := add(t, p, 0, Job{Priority: PriorityIdle})
	usual := add(t, p, 0, Job{Priority: PriorityNormal})
	urgent := add(t, p, 0, Job{Priority: PriorityUrgent})
	for _, want := range []JobID{urgent, usual, idle} {
		start, _, _ := p.StartDue(10)
		require.Equal(t, []JobID{want}, start, "one of a kind at a time, the most urgent first")
		over, why := p.RecordResult(20, want, nil)
		require.True(t, over)
		require.NoError(t, why)
	}
	old := add(t, p, 0, Job{Priority: PriorityIdle})
	young := add(t, p, 3*agePerLvl, Job{Priority: PriorityUrgent})
	start, _, _ := p.StartDue(3 * agePerLvl)
	require.Equal(t, []JobID{old}, start, "long waiting lifts a job")
	p.RecordResult(3*agePerLvl, old, nil)
	start, _, _ = p.StartDue(3 * agePerLvl)
	require.Equal(t, []JobID{young}, start)
}

// Under load jobs wait and that is counted; urgent ones go on a while, and all do when it is over.
func TestSearchesGoFirst(t *testing.T) {
	p := newPlan(map[string]Budget{"": {MaxConcurrent: 9}})
	p.RecordLoad(0, 0.8)
	p.RecordLoad(10*second, 0.8)
	urgent := add(t, p, 10*second, Job{Priority: PriorityUrgent})
	usual := add(t, p, 10*second, Job{Priority: PriorityNormal})
	start, _, again := p.StartDue(10 * second)
	require.Equal(t, []JobID{urgent}, start)
	require.Positive(t, again)
	p.RecordLoad(20*second, 1)
	add(t, p, 20*second, Job{Priority: PriorityUrgent})
	start, _, _ = p.StartDue(20 * second)
	require.Empty(t, start)
	p.StartDue(50 * second)
	counts, waiting, running, load := p.Counts()
	require.Equal(t, 1, counts.Starved)
	require.Equal(t, 2, waiting)
	require.Equal(t, 1, running)
	require.Greater(t, load, 0.9)
	require.Positive(t, counts.Deferred)
	p.RecordLoad(60*second, 0)
	start, _, _ = p.StartDue(60 * second)
	require.Len(t, start, 2)
	require.Contains(t, start, usual)
}

func TestDeadlinesAndWaits(t *testing.T) {
	p := newPlan(nil)
	first := add(t, p, 0, Job{})
	late := add(t, p, 0, Job{Deadline: second})
	start, _, again := p.StartDue(0)
	require.Equal(t, []JobID{first}, start)
	require.Equal(t, int64(second+1), again)
	_, gaveUp, _ := p.StartDue(second + 1)
	require.Equal(t, []JobID{late}, gaveUp)
	p.RecordResult(second+1, first, nil)

	again1 := add(t, p, 0, Job{Interval: 10 * second, InitialBackoff: second, MaxFailures: 3})
	now, last := int64(2*second), int64(0)
	for i := range 3 {
		start, _, _ = p.StartDue(now)
		require.Equal(t, []JobID{again1}, start)
		over, why := p.RecordResult(now, again1, errors.New("failed"))
		require.Equal(t, i == 2, over)
		if over {
			require.Equal(t, ErrTooManyFailures, why)
			break
		}
		_, _, next := p.StartDue(now)
		require.Greater(t, next-now, last, "waits grow")
		last, now = next-now, next
	}
	tick := add(t, p, now, Job{Interval: 10 * second})
	p.StartDue(now)
	over, _ := p.RecordResult(now, tick, nil)
	require.False(t, over)
	_, _, next := p.StartDue(now)
	require.GreaterOrEqual(t, next, now+10*second)
	require.LessOrEqual(t, next, now+13*second)
	p.Cancel(tick)
	_, waiting, _, _ := p.Counts()
	require.Zero(t, waiting)
	p.Cancel(tick)
	for range MaxJobs {
		add(t, p, 0, Job{})
	}
	_, err := p.Add(0, Job{})
	require.Equal(t, ErrTooManyJobs, err)
}

// Whatever is asked of a plan: no kind has more running than its budget has places, bytes spent stay within what the
// budget gives over the time and one burst and step, and every job ends once.
func TestBudgetsHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		most := rapid.IntRange(1, 4).Draw(t, "concurrent")
		rate := rapid.Float64Range(100, 1e6).Draw(t, "rate")
		p := newPlan(map[string]Budget{"k": {MaxConcurrent: most, BytesPerSecond: rate}})
		now, spent, largest := int64(0), 0.0, 0.0
		running, wait := map[JobID]int64{}, int64(0)
		ended := map[JobID]bool{}
		for range 200 {
			now += rapid.Int64Range(0, second/4).Draw(t, "step")
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				p.Add(now, Job{
					Kind: "k", Priority: Priority(rapid.IntRange(0, 2).Draw(t, "priority")),
					Delay: rapid.Int64Range(0, second).Draw(t, "after"),
				})
			case 1:
				start, _, _ := p.StartDue(now)
				for _, id := range start {
					require.False(t, ended[id])
					running[id] = now
				}
			case 2:
				for id, free := range running {
					if now < free {
						continue
					}
					n := rapid.IntRange(1, 5000).Draw(t, "bytes")
					spent, largest = spent+float64(n), max(largest, float64(n))
					wait = p.Spend(now, id, n, 0)
					require.GreaterOrEqual(t, wait, int64(0))
					running[id] = now + wait
				}
			case 3:
				for id := range running {
					over, _ := p.RecordResult(now, id, nil)
					require.True(t, over)
					ended[id] = true
					delete(running, id)
					break
				}
			}
			require.LessOrEqual(t, len(running), most)
			require.LessOrEqual(t, spent, rate*(float64(now)/second+1)+float64(most)*largest+1)
		}
	})
}

type clock struct{}

func (clock) Now() time.Time                         { return time.Now() }
func (clock) After(d time.Duration) <-chan time.Time { return time.After(d) }

// A pool's jobs run, fail, panic and are called off; at its end nothing runs.
func TestPool(t *testing.T) {
	defer goleak.VerifyNone(t)
	told := make(chan string, 8)
	p := NewPool(clock{}, newPlan(map[string]Budget{"": {MaxConcurrent: 8, BytesPerSecond: 1000}}),
		func(name string, err error) { told <- fmt.Sprint(name, " ", err) })
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error)
	go func() { ended <- p.Run(ctx) }()
	ran, tries := make(chan string, 8), atomic.Int32{}
	must := func(j Job, do func(ctx context.Context, a *Allowance) error) JobID {
		id, err := p.Add(j, do)
		require.NoError(t, err)
		return id
	}
	must(Job{Name: "plain"}, func(context.Context, *Allowance) error { ran <- "plain"; return nil })
	must(Job{Name: "panics", MaxFailures: 1}, func(context.Context, *Allowance) error { panic("ouch") })
	must(Job{Name: "again", InitialBackoff: 10}, func(context.Context, *Allowance) error {
		if tries.Add(1) < 3 {
			return errors.New("not yet")
		}
		ran <- "again"
		return nil
	})
	require.Equal(t, "panics it has failed too often: panic: ouch", <-told)
	got := []string{<-ran, <-ran}
	slices.Sort(got)
	require.Equal(t, []string{"again", "plain"}, got)
	began := time.Now()
	must(Job{}, func(ctx context.Context, a *Allowance) error {
		a.Spend(ctx, 1200, 0)
		ran <- fmt.Sprint(time.Since(began) > 100*time.Millisecond)
		return nil
	})
	require.Equal(t, "true", <-ran, "over its budget a job waits")
	in := make(chan bool)
	id := must(Job{}, func(ctx context.Context, _ *Allowance) error { in <- true; <-ctx.Done(); in <- false; return nil })
	require.True(t, <-in)
	p.Cancel(id)
	require.False(t, <-in)
	must(Job{}, func(ctx context.Context, _ *Allowance) error { in <- true; <-ctx.Done(); return nil })
	require.True(t, <-in)
	stop()
	require.NoError(t, <-ended)
	require.Empty(t, told)
}
