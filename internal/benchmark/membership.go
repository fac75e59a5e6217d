package benchmark

import (
	"context"
	"fmt"
	"math/rand"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"chalkring/coordinator"
	"chalkring/endpoints"
	"chalkring/endpoints/hostfile"
	"chalkring/internal/fake"
)

const (
	membershipFor   = 24 * time.Second
	membershipRate  = 300.0                  // searches a second
	membershipEach  = 300 * time.Millisecond // between two writes of the file
	membershipQuiet = 2 * time.Second        // after which a dropped host takes nothing new
	membershipAway  = 3                      // hosts that may be off the list at once
)

// MeasureMembership measures what a watched file does to searches: it is written several times a second, cut, spoilt, with hosts
// that are not there, and whole with hosts dropped and brought back, under load.
func MeasureMembership(ctx context.Context, seed int64) (Result, error) {
	ctx, stop := context.WithTimeout(ctx, 50*time.Second)
	defer stop()
	f, err := soundFleet(24, seed)
	if err != nil {
		return Result{}, err
	}
	defer f.close()
	decoy, err := fake.NewHost("decoy", 0, false, fake.ShardRequest.ReplyGood)
	if err != nil {
		return Result{}, err
	}
	defer decoy.Close()
	dir, err := os.MkdirTemp("", "chalkring-benchmark")
	if err != nil {
		return Result{}, err
	}
	defer os.RemoveAll(dir)
	path := filepath.Join(dir, "hosts.yaml")
	line := func(h *fake.Host) string {
		return fmt.Sprintf("  - {id: %s, address: %q, zone: hall, kind: std, cell: %d}\n", h.ID, h.Listener.Addr(), h.Cell)
	}
	text := func(away []*fake.Host, more ...*fake.Host) string {
		var b strings.Builder
		b.WriteString("hosts:\n")
		for _, h := range append(slices.Clone(f.hosts), more...) {
			if !slices.Contains(away, h) {
				b.WriteString(line(h))
			}
		}
		return b.String()
	}
	write := func(text string) error { return os.WriteFile(path, []byte(text), 0o600) }
	if err := write(text(nil)); err != nil {
		return Result{}, err
	}
	lists := make(chan endpoints.Update)
	watching, enough := context.WithCancel(ctx)
	var mu sync.Mutex
	told, refused := 0, 0
	var g sync.WaitGroup
	g.Go(func() {
		(&hostfile.Watcher{Paths: []string{path}, Notify: func(e hostfile.Event) {
			mu.Lock()
			if told++; e.Err != nil {
				refused++
			}
			mu.Unlock()
			if e.Err == nil {
				select {
				case lists <- e.Update:
				case <-watching.Done():
				}
			}
		}}).Run(watching)
	})
	n, err := f.startWith("n0", uint64(seed), 1, func(m *coordinator.Options) { m.EndpointUpdates = lists })
	if err != nil {
		enough()
		g.Wait()
		return Result{}, err
	}
	ended := make(chan []fake.SearchResult, 1)
	go func() {
		ended <- fake.PlaySearches(ctx, n.addr, schedule(seed, "w", membershipRate, membershipFor, labPatience))
	}()
	chance := rand.New(rand.NewSource(seed))
	type drop struct {
		host *fake.Host
		at   time.Time
		took int // when the time for new work was over, -1 until then
	}
	var away []*drop
	late, drops, writes, bad := 0, 0, 0, 0
	gone := func() (all []*fake.Host) {
		for _, d := range away {
			all = append(all, d.host)
		}
		return all
	}
	look := func() {
		for _, d := range away {
			switch took := d.host.CountRequests(); {
			case time.Since(d.at) < membershipQuiet:
			case d.took < 0:
				d.took = took
			case took > d.took:
				late += took - d.took
				d.took = took
			}
		}
	}
	for began := time.Now(); time.Since(began) < membershipFor-2*membershipQuiet; writes++ {
		switch whole := text(gone()); chance.Intn(6) {
		case 0: // cut within a host
			bad, err = bad+1, write(whole[:len(whole)/2/10*10+5])
		case 1:
			bad, err = bad+1, write(text(gone(), decoy)+"  - {id: x, weight: heavy}\n")
		case 2:
			bad, err = bad+1, write(text(gone(), decoy)+line(decoy))
		case 3:
			bad, err = bad+1, write("")
		default:
			if len(away) < membershipAway && chance.Intn(2) == 0 {
				h := f.hosts[chance.Intn(len(f.hosts))]
				if !slices.Contains(gone(), h) {
					away, drops = append(away, &drop{h, time.Now(), -1}), drops+1
				}
			} else if len(away) > 0 && time.Since(away[0].at) > 2*membershipQuiet {
				look()
				away = away[1:]
			}
			err = write(text(gone()))
		}
		if err != nil {
			break
		}
		for range 10 {
			time.Sleep(membershipEach / 10)
			look()
		}
	}
	if err == nil { // what was dropped last is seen to be quiet too
		err = write(text(gone()))
		for _, d := range away {
			if d.took < 0 {
				d.at = time.Now()
			}
		}
		for range 10 {
			time.Sleep(membershipQuiet / 5)
			look()
		}
	}
	got := <-ended
	enough()
	g.Wait()
	if fault := n.end(); err == nil {
		err = fault
	}
	if err != nil {
		return Result{}, err
	}
	answered, wrong := 0, 0
	for _, r := range got {
		if r.Status == 200 {
			answered++
			if !right(r.Type, []byte(r.Body)) {
				wrong++
			}
		}
	}
	out := Result{Fields: map[string]any{
		"searches": len(got), "answered": answered, "wrong": wrong, "writes": writes, "bad": bad,
		"told": told, "refused_by_form": refused, "drops": drops, "sent_to_dropped": late, "sent_to_decoy": decoy.CountRequests(),
		"p99_ms": round(1000 * quantile(got, 0.99).Seconds()),
	}}
	if wrong > 0 || answered < len(got)*99/100 {
		out.MissedGoals = append(out.MissedGoals, fmt.Sprintf("%d of %d searches answered, %d wrongly", answered, len(got), wrong))
	}
	if late > 0 {
		out.MissedGoals = append(out.MissedGoals, fmt.Sprintf("%d parts sent to hosts dropped %v before", late, membershipQuiet))
	}
	if decoy.CountRequests() > 0 {
		out.MissedGoals = append(out.MissedGoals, fmt.Sprintf("%d parts sent to a host of bad files alone", decoy.CountRequests()))
	}
	if drops == 0 || bad == 0 {
		out.MissedGoals = append(out.MissedGoals, "no drop or no bad file was drawn")
	}
	return out, ctx.Err()
}
