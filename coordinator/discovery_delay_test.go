package coordinator

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// A list at another address, after a reload at a bad moment, is in force within 4 s, also where the first call there
// fails.
func TestListDelayAfterDiscoveryMoves(t *testing.T) {
	down := slices.Repeat([]string{"lost"}, 40)
	for name, x := range map[string]struct {
		old    []string // what the old place does
		faults int      // of these that have come before the move
		pause  time.Duration
		next   []string
		places []string
	}{
		"while the old place is down":                     {down, 8, 0, nil, []string{"second"}},
		"so, and the first call falls silent":             {down, 8, 0, []string{"silent"}, []string{"second"}},
		"so, a while after an attempt":                    {down, 8, 2500 * time.Millisecond, []string{"silent"}, []string{"second"}},
		"while a wait is over soon":                       {down, 1, 300 * time.Millisecond, []string{"silent"}, []string{"second"}},
		"so, and the first connect is unanswered":         {down, 8, 0, []string{"unanswered"}, []string{"second"}},
		"so, and the first connect is refused":            {down, 8, 0, []string{"refused"}, []string{"second"}},
		"under a silent call":                             {[]string{"silent"}, 1, 0, []string{"silent"}, []string{"second"}},
		"there and back and there again":                  {down, 8, 0, []string{"silent"}, []string{"second", "first", "second"}},
		"twice to one place":                              {nil, 0, time.Second, []string{"silent"}, []string{"second", "second"}},
		"back to where another version of the list began": {nil, 0, time.Second, nil, []string{"first", "second"}},
	} {
		t.Run(name, func(t *testing.T) {
			for _, by := range []string{"subscribe", "automatic"} {
				for _, n := range []int{1, 300} {
					for seed := range 3 {
						synctest.Test(t, func(t *testing.T) {
							old, next := newFakeDiscovery(x.old...), newFakeDiscovery(x.next...)
							next.version = 0 // behind the old place's
							f := startDiscoveryRig(t, seed, map[string]*fakeDiscovery{"first": old, "second": next}, func(s map[string]any) {
								s["Discovery"], s["Balancers"] = by, n
							}, nil)
							defer f.stop()
							f.until("some attempts", func() bool { return len(x.old)-old.left() >= x.faults })
							time.Sleep(x.pause)
							for _, place := range x.places {
								f.move(place)
							}
							hup := time.Now()
							took := f.told("how=Complete version=0 ").Sub(hup)
							require.LessOrEqual(t, took, 4*time.Second, "%s, %d co-ordinators, seed %d", by, n, seed)
							changed := time.Now() // and the watch there works
							next.setList(5, hosts("10.0.0.3:1"))
							require.Less(t, f.told("version=5 ").Sub(changed), time.Second)
						})
					}
				}
			}
		})
	}
}

// After calls that fail in a row, with 1 and with 300 coordinators, a change that discovery had when the last call
// began is in force within 6 s, or 2 s after that call's wait.
func TestListDelayAfterFailures(t *testing.T) {
	for _, fault := range []string{"silent", "half", "trickle", "unanswered", "refused", "lost", "503", "empty", "unreadable", "same"} {
		for _, within := range []any{10_000.0, 60_000.0, nil} { // the settings' poll interval, which the balancer's backoff follows
			t.Run(fmt.Sprint(fault, " ", within), func(t *testing.T) {
				worst := map[int]time.Duration{}
				for _, by := range []string{"subscribe", "automatic"} {
					for _, n := range []int{1, 300} {
						for _, times := range []int{1, 3, 10} {
							synctest.Test(t, func(t *testing.T) {
								faults := slices.Repeat([]string{fault}, times)
								if fault == "unanswered" || fault == "refused" {
									faults = append([]string{"lost"}, faults...)
								}
								d := newFakeDiscovery(faults...)
								f := startDiscoveryRig(t, times, map[string]*fakeDiscovery{"first": d}, func(s map[string]any) {
									s["Discovery"], s["Balancers"] = by, n
									if s["Safety"].(map[string]any)["AskWithin"] = within; within == nil {
										delete(s["Safety"].(map[string]any), "AskWithin")
									}
								}, nil)
								defer f.stop()
								f.until("all failures", func() bool { return d.left() == 0 })
								began, limit := d.attempts[len(d.attempts)-1], 6*time.Second
								if wait := f.owner.watchWait(); len(faults) == 1 {
									limit = max(limit, wait+2*time.Second)
								}
								d.setList(101, hosts("10.0.0.2:1"))
								took := f.told("version=101").Sub(began)
								require.LessOrEqual(t, took, limit, "%s, %d co-ordinators, %d in a row", by, n, times)
								if limit == 6*time.Second {
									worst[times] = max(worst[times], took)
								}
							})
						}
					}
				}
				t.Log(worst)
			})
		}
	}
}
