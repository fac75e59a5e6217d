package benchmark

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"chalkring/internal/clustertest"
	"chalkring/internal/fake"
)

const (
	recoverEach  = 2                       // instances with a store, and as many without
	recoverHosts = 5                       // of each cell
	recoverRate  = 30.0                    // searches a second for each instance
	recoverWarm  = 8 * time.Second         // before a kill, at the least: what is known is written from 5 s on
	recoverDrawn = 2500 * time.Millisecond // more, by chance: any point between two writes and within one
	recoverLook  = 5 * time.Second         // of a life after a kill that are looked at
	recoverSlack = 250 * time.Millisecond  // by which a first good answer may be later beside half as long again: starts vary
	recoverShare = 0.6                     // of the parts that go to silent hosts without a store
	healedLoss   = 0.01                    // of worth, that a store may cost
	recoverFlips = 256                     // bits of a store that are spoilt
	recoverEarly = 2 * time.Second         // of a life whose answer times are told
	recoverStray = 16                      // parts to hosts that have left: of searches that come before the store is read
)

// reborn is what was seen of lives after a kill, with or without a store.
type reborn struct {
	first, ready, took, early []float64
	worth                     []float64
	silent, removed, lost     int // parts to hosts that hang and that have left; searches without one final answer
}

// MeasureRecovery kills processes with and without a store at drawn points, under load, and starts them again while discovery
// is away: a third of the hosts hang, some have left since the plan was written. Then once more, with all healed
// meanwhile.
func MeasureRecovery(ctx context.Context, seed int64) (Result, error) {
	ctx, stop := context.WithTimeout(ctx, 57*time.Second)
	defer stop()
	defer clustertest.RemoveBuilds()
	chance := rand.New(rand.NewSource(seed))
	var healed, gone atomic.Bool
	shape := clustertest.Config{Seed: seed, Relayed: true, InstallationFile: func(w clustertest.InstanceAddresses) string {
		if strings.HasPrefix(w.Name, "kept") {
			return "store: kept.db\n"
		}
		return ""
	}}
	for i := range recoverEach {
		for _, kind := range []string{"kept", "cold"} {
			shape.Instances = append(shape.Instances, clustertest.Instance{Name: fmt.Sprintf("%s-%d", kind, i), Region: "east", Zone: "east-1"})
		}
	}
	hung, left := map[string]bool{}, map[string]bool{}
	for cell := range clustertest.BlockCount {
		for i := range recoverHosts {
			id := fmt.Sprintf("h%d%d", cell, i)
			hung[id] = i == 0 || i == 1 && cell%2 == 0
			left[id] = i == 2 && cell%2 == 1
			shape.Hosts = append(shape.Hosts, clustertest.Host{ID: id, Zone: "east-1", Cell: cell, Handler: func(p fake.ShardRequest) {
				if hung[id] && !healed.Load() || left[id] && gone.Load() {
					return
				}
				time.AfterFunc(2*time.Millisecond, p.ReplyGood)
			}})
		}
	}
	r, err := clustertest.New(ctx, shape)
	if err != nil {
		return Result{}, err
	}
	defer r.Close()
	time.AfterFunc(time.Second, func() {
		gone.Store(true)
		r.EditEndpoints(func(e *fake.Endpoint) {
			if left[e.ID] {
				e.State = "removed"
			}
		})
	})
	lives, mu := map[string]*reborn{}, sync.Mutex{}
	var all []clustertest.ClientResult
	play := func(name, id string, length time.Duration) []clustertest.ClientResult {
		asks := r.DrawSearches(seed, id+"-"+name, recoverRate, length, labPatience, "acme", "other")
		for i := range asks {
			asks[i].Targets = []string{name}
		}
		got := r.PlaySearches(ctx, asks)
		mu.Lock()
		defer mu.Unlock()
		all = append(all, got...)
		return got
	}
	phases := []string{"trouble", "healed"}
	for _, phase := range phases {
		lives[phase+" kept"], lives[phase+" cold"] = &reborn{}, &reborn{}
		var g errgroup.Group
		for _, name := range r.InstanceNames() {
			kill := recoverWarm + time.Duration(chance.Int63n(int64(recoverDrawn)))
			g.Go(func() error {
				var warm sync.WaitGroup
				warm.Go(func() { play(name, "warm-"+phase, kill+time.Second/2) })
				select {
				case <-time.After(kill):
				case <-ctx.Done():
				}
				r.EditLink(name, "list", func(f *clustertest.LinkFault) { f.Refuse = true })
				err := r.Kill(ctx, name)
				warm.Wait()
				return err
			})
		}
		if err := g.Wait(); err != nil {
			return Result{}, err
		}
		healed.Store(phase == "healed")
		g = errgroup.Group{}
		for _, name := range r.InstanceNames() {
			kind, _, _ := strings.Cut(name, "-")
			g.Go(func() error {
				began := time.Now()
				if err := r.Start(ctx, name); err != nil {
					return err
				}
				ready := time.Since(began)
				got := play(name, phase+"-"+kind, recoverLook)
				mu.Lock()
				lives[phase+" "+kind].saw(ready, got)
				mu.Unlock()
				r.EditLink(name, "list", func(f *clustertest.LinkFault) { f.Refuse = false })
				if phase == "healed" {
					return nil
				}
				return errors.Join(r.Terminate(ctx, name), r.Start(ctx, name)) // a planned stop: three kills would be a crash loop
			})
		}
		if err := g.Wait(); err != nil {
			return Result{}, err
		}
	}
	out := Result{Fields: map[string]any{}}
	for _, name := range r.InstanceNames() {
		for _, bad := range []string{"event=store_unavailable", "event=store_recovered", "event=store_failed", "event=crash_loop"} {
			if strings.Contains(r.Log(name), bad) {
				out.MissedGoals = append(out.MissedGoals, name+" logged "+bad)
			}
		}
	}
	aside, err := spoil(ctx, r, chance, play)
	if err != nil {
		return Result{}, err
	}
	if out.Fields["put_aside"] = aside; aside < recoverEach {
		out.MissedGoals = append(out.MissedGoals, fmt.Sprintf("%d of %d spoilt stores were put aside", aside, recoverEach))
	}
	for _, p := range r.Audit.ShardRequests() {
		phase, rest, _ := strings.Cut(p.SearchID, "-")
		kind, _, _ := strings.Cut(rest, "-")
		switch l := lives[phase+" "+kind]; {
		case l == nil:
		case hung[p.Host] && phase == "trouble":
			l.silent++
		case left[p.Host]:
			l.removed++
		}
	}
	out.judged(r.Judge(all, clustertest.AuditRules{}))
	for _, phase := range phases {
		kept, cold := lives[phase+" kept"], lives[phase+" cold"]
		out.Fields[phase] = map[string]any{"kept": kept.fields(), "cold": cold.fields()}
		kept.against(&out, phase, cold)
	}
	return out, ctx.Err()
}

// spoil kills the instances with a store once more and spoils what they kept: bits at drawn places in one, the end cut off
// at a drawn length in the other. They start and serve all the same; aside counts the stores that were put aside.
func spoil(ctx context.Context, r *clustertest.Cluster, chance *rand.Rand, play func(name, id string, length time.Duration) []clustertest.ClientResult) (aside int, err error) {
	for i := range recoverEach {
		name := fmt.Sprintf("kept-%d", i)
		if err := r.Kill(ctx, name); err != nil {
			return 0, err
		}
		path := filepath.Join(r.Addresses(name).Dir, "kept.db")
		text, err := os.ReadFile(path)
		if err != nil {
			return 0, err
		}
		if i%2 == 0 {
			for range recoverFlips {
				text[chance.Intn(len(text))] ^= 1 << chance.Intn(8)
			}
		} else {
			text = text[:chance.Intn(len(text)/2)]
		}
		if err := os.WriteFile(path, text, 0o600); err != nil {
			return 0, err
		}
		if err := r.Start(ctx, name); err != nil {
			return 0, err
		}
		play(name, "spoilt", time.Second)
		if left, err := os.ReadFile(path + ".aside-1"); err == nil && bytes.Equal(left, text) {
			aside++
		}
	}
	return aside, nil
}

// saw takes in one life's answers.
func (l *reborn) saw(ready time.Duration, got []clustertest.ClientResult) {
	first := recoverLook
	for _, a := range got {
		if a.FinalCount != 1 {
			l.lost++
		}
		if a.Status == 200 {
			first = min(first, a.At+a.Latency)
		}
		if a.At < recoverEarly {
			l.early = append(l.early, 1000*a.Latency.Seconds())
		}
	}
	l.ready = append(l.ready, 1000*ready.Seconds())
	l.first = append(l.first, 1000*(ready+first).Seconds())
	l.worth = append(l.worth, worthOf(got))
}

func (l *reborn) fields() map[string]any {
	slices.Sort(l.early)
	return map[string]any{
		"ready_ms": round(median(l.ready)), "first_good_ms": round(median(l.first)), "g_first_5s": round(mean(l.worth)),
		"mean_first_2s_ms": round(mean(l.early)), "p99_first_2s_ms": round(l.early[len(l.early)*99/100]),
		"parts_to_hung": l.silent, "parts_to_removed": l.removed, "lost": l.lost,
	}
}

// against holds lives with a store against those without.
func (l *reborn) against(out *Result, phase string, cold *reborn) {
	miss := func(format string, v ...any) {
		out.MissedGoals = append(out.MissedGoals, phase+": "+fmt.Sprintf(format, v...))
	}
	if l.lost > 0 {
		miss("%d searches lost after ready", l.lost)
	}
	if a, b := median(l.first), median(cold.first); a > 1.5*b+1000*recoverSlack.Seconds() {
		miss("first good answer after %.0f ms, without a store after %.0f ms", a, b)
	}
	if a, b := mean(l.worth), mean(cold.worth); a < b-healedLoss {
		miss("worth of the first 5 s %.3f, without a store %.3f", a, b)
	}
	if a, b := mean(l.early), mean(cold.early); phase == "trouble" && a > b {
		miss("answers of the first 2 s take %.1f ms, without a store %.1f ms", a, b)
	}
	if l.removed > recoverStray {
		miss("%d parts to hosts that had left", l.removed)
	}
	if phase == "trouble" && float64(l.silent) > recoverShare*float64(cold.silent) {
		miss("%d parts to hosts that hang, without a store %d", l.silent, cold.silent)
	}
}
