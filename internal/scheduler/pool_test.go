package scheduler

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
)

type systemClock struct{}

func (systemClock) Now() time.Time                         { return time.Now() }
func (systemClock) After(d time.Duration) <-chan time.Time { return time.After(d) }

// runningPool starts a pool. stop ends its Run and checks that Run returns no error.
func runningPool(t *testing.T) (add func(job Job, work JobFunc) JobID, pool *Pool, abandoned chan string, stop func()) {
	abandoned = make(chan string, 8)
	pool = NewPool(systemClock{}, newSchedule(map[string]Budget{"": {MaxConcurrent: 8, BytesPerSecond: 1000}}),
		func(name string, err error) { abandoned <- fmt.Sprint(name, " ", err) })
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error)
	go func() { ended <- pool.Run(ctx) }()
	add = func(job Job, work JobFunc) JobID {
		id, err := pool.Add(job, work)
		require.NoError(t, err)
		return id
	}
	return add, pool, abandoned, func() { cancel(); require.NoError(t, <-ended) }
}

// Guards against a job that is not run or not retried after a failure, and against a panic of one job that stops the
// others or goes unreported.
func TestPoolRunsRetriesAndRecovers(t *testing.T) {
	defer goleak.VerifyNone(t)
	add, _, abandoned, stop := runningPool(t)
	ran, attempts := make(chan string, 8), atomic.Int32{}
	add(Job{Name: "once"}, func(context.Context, *Allowance) error { ran <- "once"; return nil })
	add(Job{Name: "panics", MaxFailures: 1}, func(context.Context, *Allowance) error { panic("ouch") })
	add(Job{Name: "retried", InitialBackoff: 10}, func(context.Context, *Allowance) error {
		if attempts.Add(1) < 3 {
			return errors.New("not yet")
		}
		ran <- "retried"
		return nil
	})
	require.Equal(t, "panics job failed too often: panic: ouch", <-abandoned)
	got := []string{<-ran, <-ran}
	slices.Sort(got)
	require.Equal(t, []string{"once", "retried"}, got)
	stop()
	require.Empty(t, abandoned)
}

// Guards against a job that overdraws its budget and does not have to wait.
func TestPoolJobOverItsBudgetWaits(t *testing.T) {
	defer goleak.VerifyNone(t)
	add, _, abandoned, stop := runningPool(t)
	startedAt, waited := time.Now(), make(chan time.Duration, 1)
	add(Job{}, func(ctx context.Context, allowance *Allowance) error {
		err := allowance.Spend(ctx, 1200, 0)
		waited <- time.Since(startedAt)
		return err
	})
	require.Greater(t, <-waited, 100*time.Millisecond)
	stop()
	require.Empty(t, abandoned)
}

// Guards against runs that outlive the cancellation of their job or the end of the pool, and against reporting such jobs
// as abandoned.
func TestPoolEndsRuns(t *testing.T) {
	defer goleak.VerifyNone(t)
	add, pool, abandoned, stop := runningPool(t)
	running := make(chan bool)
	id := add(Job{}, func(ctx context.Context, _ *Allowance) error {
		running <- true
		<-ctx.Done()
		running <- false
		return nil
	})
	require.True(t, <-running)
	pool.Cancel(id)
	require.False(t, <-running)
	add(Job{}, func(ctx context.Context, _ *Allowance) error { running <- true; <-ctx.Done(); return nil })
	require.True(t, <-running)
	stop()
	require.Empty(t, abandoned)
}
