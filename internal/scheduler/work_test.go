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

func newPlan(budgets map[string]Budget) *Plan { return NewPlan(rand.New(rand.NewSource(1)), budgets) }

func add(t require.TestingT, p *Plan, now int64, j Job) ID {
	id, err := p.Add(now, j)
	require.NoError(t, err)
	return id
}

func TestPriorities(t *testing.T) {
	p := newPlan(nil)
	idle := add(t, p, 0, Job{Priority: Idle})
	usual := add(t, p, 0, Job{Priority: Usual})
	urgent := add(t, p, 0, Job{Priority: Urgent})
	for _, want := range []ID{urgent, usual, idle} {
		start, _, _ := p.Next(10)
		require.Equal(t, []ID{want}, start, "one of a kind at a time, the most urgent first")
		over, why := p.Ended(20, want, nil)
		require.True(t, over)
		require.NoError(t, why)
	}
	old := add(t, p, 0, Job{Priority: Idle})
	young := add(t, p, 3*agePerLvl, Job{Priority: Urgent})
	start, _, _ := p.Next(3 * agePerLvl)
	require.Equal(t, []ID{old}, start, "long waiting lifts a job")
	p.Ended(3*agePerLvl, old, nil)
	start, _, _ = p.Next(3 * agePerLvl)
	require.Equal(t, []ID{young}, start)
}

// Under load jobs wait and that is counted; urgent ones go on a while, and all do when it is over.
func TestSearchesGoFirst(t *testing.T) {
	p := newPlan(map[string]Budget{"": {Concurrent: 9}})
	p.Load(0, 0.8)
	p.Load(10*second, 0.8)
	urgent := add(t, p, 10*second, Job{Priority: Urgent})
	usual := add(t, p, 10*second, Job{Priority: Usual})
	start, _, again := p.Next(10 * second)
	require.Equal(t, []ID{urgent}, start)
	require.Positive(t, again)
	p.Load(20*second, 1)
	add(t, p, 20*second, Job{Priority: Urgent})
	start, _, _ = p.Next(20 * second)
	require.Empty(t, start)
	p.Next(50 * second)
	counts, waiting, running, load := p.Counts()
	require.Equal(t, 1, counts.Starved)
	require.Equal(t, 2, waiting)
	require.Equal(t, 1, running)
	require.Greater(t, load, 0.9)
	require.Positive(t, counts.Held)
	p.Load(60*second, 0)
	start, _, _ = p.Next(60 * second)
	require.Len(t, start, 2)
	require.Contains(t, start, usual)
}

func TestDeadlinesAndWaits(t *testing.T) {
	p := newPlan(nil)
	first := add(t, p, 0, Job{})
	late := add(t, p, 0, Job{Deadline: second})
	start, _, again := p.Next(0)
	require.Equal(t, []ID{first}, start)
	require.Equal(t, int64(second+1), again)
	_, gaveUp, _ := p.Next(second + 1)
	require.Equal(t, []ID{late}, gaveUp)
	p.Ended(second+1, first, nil)

	again1 := add(t, p, 0, Job{Every: 10 * second, Back: second, Tries: 3})
	now, last := int64(2*second), int64(0)
	for i := range 3 {
		start, _, _ = p.Next(now)
		require.Equal(t, []ID{again1}, start)
		over, why := p.Ended(now, again1, errors.New("failed"))
		require.Equal(t, i == 2, over)
		if over {
			require.Equal(t, ErrTries, why)
			break
		}
		_, _, next := p.Next(now)
		require.Greater(t, next-now, last, "waits grow")
		last, now = next-now, next
	}
	tick := add(t, p, now, Job{Every: 10 * second})
	p.Next(now)
	over, _ := p.Ended(now, tick, nil)
	require.False(t, over)
	_, _, next := p.Next(now)
	require.GreaterOrEqual(t, next, now+10*second)
	require.LessOrEqual(t, next, now+13*second)
	p.Cancel(tick)
	_, waiting, _, _ := p.Counts()
	require.Zero(t, waiting)
	p.Cancel(tick)
	for range JobsMost {
		add(t, p, 0, Job{})
	}
	_, err := p.Add(0, Job{})
	require.Equal(t, ErrFull, err)
}

// Whatever is asked of a plan: no kind has more running than its budget has places, bytes spent stay within what the
// budget gives over the time and one burst and step, and every job ends once.
func TestBudgetsHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		most := rapid.IntRange(1, 4).Draw(t, "concurrent")
		rate := rapid.Float64Range(100, 1e6).Draw(t, "rate")
		p := newPlan(map[string]Budget{"k": {Concurrent: most, Bytes: rate}})
		now, spent, largest := int64(0), 0.0, 0.0
		running, wait := map[ID]int64{}, int64(0)
		ended := map[ID]bool{}
		for range 200 {
			now += rapid.Int64Range(0, second/4).Draw(t, "step")
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				p.Add(now, Job{Kind: "k", Priority: Priority(rapid.IntRange(0, 2).Draw(t, "priority")),
					After: rapid.Int64Range(0, second).Draw(t, "after")})
			case 1:
				start, _, _ := p.Next(now)
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
					over, _ := p.Ended(now, id, nil)
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
	p := NewPool(clock{}, newPlan(map[string]Budget{"": {Concurrent: 8, Bytes: 1000}}),
		func(name string, err error) { told <- fmt.Sprint(name, " ", err) })
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error)
	go func() { ended <- p.Run(ctx) }()
	ran, tries := make(chan string, 8), atomic.Int32{}
	must := func(j Job, do func(ctx context.Context, a *Allowance) error) ID {
		id, err := p.Add(j, do)
		require.NoError(t, err)
		return id
	}
	must(Job{Name: "plain"}, func(context.Context, *Allowance) error { ran <- "plain"; return nil })
	must(Job{Name: "panics", Tries: 1}, func(context.Context, *Allowance) error { panic("ouch") })
	must(Job{Name: "again", Back: 10}, func(context.Context, *Allowance) error {
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
