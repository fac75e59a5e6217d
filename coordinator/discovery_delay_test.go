package coordinator

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// After a reload moves discovery to another address, at whatever moment, the list from there is current within 4 s,
// even if the first call there fails. Guards against a backoff or a wait of the former address that delays the first
// calls to the new one.
func TestListDelayAfterDiscoveryMoves(t *testing.T) {
	down := slices.Repeat([]string{"lost"}, 40)
	for name, x := range map[string]struct {
		oldFaults []string      // of calls to the first address
		seen      int           // how many of the oldFaults come before the move
		pause     time.Duration // between the last of these and the move
		newFaults []string      // of calls to the second address
		moves     []string      // addresses moved to
	}{
		"while the first address is down":                                        {down, 8, 0, nil, []string{"second"}},
		"the first call at the second address times out":                         {down, 8, 0, []string{"silent"}, []string{"second"}},
		"2.5 s after an attempt, the first call at the second address times out": {down, 8, 2500 * time.Millisecond, []string{"silent"}, []string{"second"}},
		"during the first, short backoff":                                        {down, 1, 300 * time.Millisecond, []string{"silent"}, []string{"second"}},
		"the first connect to the second address is unanswered":                  {down, 8, 0, []string{"unanswered"}, []string{"second"}},
		"the first connect to the second address is refused":                     {down, 8, 0, []string{"refused"}, []string{"second"}},
		"during an unanswered call":                                              {[]string{"silent"}, 1, 0, []string{"silent"}, []string{"second"}},
		"to the second address, back and there again":                            {down, 8, 0, []string{"silent"}, []string{"second", "first", "second"}},
		"twice to the same address":                                              {nil, 0, time.Second, []string{"silent"}, []string{"second", "second"}},
		"to the current address and then to the second":                          {nil, 0, time.Second, nil, []string{"first", "second"}},
	} {
		t.Run(name, func(t *testing.T) {
			for _, mode := range []string{"subscribe", "automatic"} {
				for _, n := range []int{1, 300} {
					for seed := range 3 {
						synctest.Test(t, func(t *testing.T) {
							old, next := newFakeDiscovery(x.oldFaults...), newFakeDiscovery(x.newFaults...)
							next.version = 0 // behind the first address's
							f := startDiscoveryRig(t, seed, map[string]*fakeDiscovery{"first": old, "second": next}, func(s map[string]any) {
								s["Discovery"], s["Balancers"] = mode, n
							}, nil)
							defer f.stop()
							f.until("some attempts", func() bool { return len(x.oldFaults)-old.faultsLeft() >= x.seen })
							time.Sleep(x.pause)
							for _, addr := range x.moves {
								f.move(addr)
							}
							movedAt := time.Now()
							took := f.loggedAt("how=Complete version=0 ").Sub(movedAt)
							require.LessOrEqual(t, took, 4*time.Second, "%s, %d coordinators, seed %d", mode, n, seed)
							changed := time.Now() // calls for changes work at the new address
							next.setList(5, hosts("10.0.0.3:1"))
							require.Less(t, f.loggedAt("version=5 ").Sub(changed), time.Second)
						})
					}
				}
			}
		})
	}
}

// With 1 and with 300 coordinators and after a number of failed calls in a row, a change that discovery already had when
// the last of these calls began is applied within 6 s of that moment; after a single call with a long wait, within the
// wait and 2 s more. Guards against backoffs and spreads that add up to more than that.
func TestListDelayAfterFailures(t *testing.T) {
	for _, fault := range []string{"silent", "half", "trickle", "unanswered", "refused", "lost", "503", "empty", "unreadable", "same"} {
		for _, within := range []any{10_000.0, 60_000.0, nil} { // the settings' poll interval, which the balancer's backoff follows
			t.Run(fmt.Sprint(fault, " ", within), func(t *testing.T) {
				worst := map[int]time.Duration{}
				for _, mode := range []string{"subscribe", "automatic"} {
					for _, n := range []int{1, 300} {
						for _, times := range []int{1, 3, 10} {
							synctest.Test(t, func(t *testing.T) {
								faults := slices.Repeat([]string{fault}, times)
								if fault == "unanswered" || fault == "refused" {
									faults = append([]string{"lost"}, faults...)
								}
								d := newFakeDiscovery(faults...)
								f := startDiscoveryRig(t, times, map[string]*fakeDiscovery{"first": d}, func(s map[string]any) {
									s["Discovery"], s["Balancers"] = mode, n
									if s["Safety"].(map[string]any)["AskWithin"] = within; within == nil {
										delete(s["Safety"].(map[string]any), "AskWithin")
									}
								}, nil)
								defer f.stop()
								f.until("all calls have failed", func() bool { return d.faultsLeft() == 0 })
								began, limit := d.attempts[len(d.attempts)-1], 6*time.Second
								if wait := f.loop.watchWait(); len(faults) == 1 {
									limit = max(limit, wait+2*time.Second)
								}
								d.setList(101, hosts("10.0.0.2:1"))
								took := f.loggedAt("version=101").Sub(began)
								require.LessOrEqual(t, took, limit, "%s, %d coordinators, %d in a row", mode, n, times)
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
