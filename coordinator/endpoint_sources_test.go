package coordinator

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chalkring/endpoints"
	"chalkring/endpoints/hostfile"
)

// withUpdates starts a second coordinator on the rig's hosts and discovery, with updates from other sources of
// endpoint lists.
func (r *rig) withUpdates(updates <-chan endpoints.Update) *rig {
	ln := listen(r.t)
	ctx, cancel := context.WithCancel(context.Background())
	second := &rig{
		t: r.t, replicas: r.replicas, list: r.list, addr: ln.Addr().String(), stop: cancel, ended: make(chan error, 1),
		log: &logBuffer{}, plan: r.plan,
	}
	started := make(chan *eventLoop, 1)
	go func() {
		second.ended <- Serve(ctx, r.plan, Options{
			Listener: ln, Dial: (&net.Dialer{}).DialContext, Clock: SystemClock{},
			Logger: NewLogger(second.log, false, slog.LevelInfo), EndpointUpdates: updates, onStart: started,
		})
	}()
	second.loop = <-started
	r.t.Cleanup(cancel)
	second.logged("event=serving")
	return second
}

// host returns a replica's entry in an endpoint list.
func (r *rig) host(hostID string) endpoints.Host {
	h := r.replicas[hostID]
	return endpoints.Host{ID: hostID, Addr: h.Listener.Addr().String(), Zone: "z one", Kind: "small", Cell: h.Cell, Weight: 1}
}

// While lists change under load, each iteration of the event loop sees one list, never parts of two, and each search
// gets one complete answer.
func TestListsAreNeverMixed(t *testing.T) {
	first := start(t, 256, nil)
	updates := make(chan endpoints.Update)
	r := first.withUpdates(updates)
	newUpdate := func(v int64, on, off string) endpoints.Update {
		return endpoints.Update{Source: "hosts.yaml", Rank: endpoints.RankFile, Version: v, Confirmed: true, Hosts: []endpoints.Host{
			r.host("a" + on),
			r.host("b" + on),
			{ID: "a" + off, State: endpoints.StateRemoved},
			{ID: "b" + off, State: endpoints.StateRemoved},
		}}
	}
	updates <- newUpdate(1, "0", "1")
	r.logged("entries=2")
	done := make(chan struct{})
	var g sync.WaitGroup
	g.Go(func() {
		for v := int64(2); ; v++ {
			update := newUpdate(v, "0", "1")
			if v%2 == 0 {
				update = newUpdate(v, "1", "0")
			}
			select {
			case updates <- update:
			case <-done:
				return
			}
			time.Sleep(time.Millisecond)
		}
	})
	seen := map[string]int{} // how often each set of hosts was current
	g.Go(func() {
		for {
			found := make(chan string, 1)
			if !r.loop.submit(func() {
				var on []string
				for hostID, h := range r.loop.replicas.byID {
					if !h.removed {
						on = append(on, hostID)
					}
				}
				slices.Sort(on)
				found <- strings.Join(on, "+")
			}) {
				return
			}
			seen[<-found]++
			select {
			case <-done:
				return
			case <-time.After(100 * time.Microsecond):
			}
		}
	})
	var clients sync.WaitGroup
	for c := range 4 {
		conn := r.connect()
		clients.Go(func() {
			for i := range 150 {
				conn.expect(fmt.Sprintf("m%d-%d", c, i), "all", 200, completeAnswer)
			}
		})
	}
	clients.Wait()
	close(done)
	g.Wait()
	require.Len(t, seen, 2, "%v", seen)
	require.Positive(t, seen["a0+b0"])
	require.Positive(t, seen["a1+b1"])
	r.shutDown()
	first.shutDown()
}

// A host that is removed from the host file gets no new attempts after two seconds. An invalid file changes nothing and
// is logged. A file that lists a host as up does not bring it back while discovery drains it.
func TestHostFiles(t *testing.T) {
	first := start(t, 256, nil)
	path := filepath.Join(t.TempDir(), "hosts.yaml")
	write := func(text string) { require.NoError(t, os.WriteFile(path, []byte(text), 0o644)) }
	text := func(ids ...string) string {
		var b strings.Builder
		b.WriteString("hosts:\n")
		for _, hostID := range ids {
			h := first.host(hostID)
			fmt.Fprintf(&b, "  - {id: %s, address: %q, zone: %q, kind: small, cell: %d}\n", hostID, h.Addr, h.Zone, h.Cell)
		}
		return b.String()
	}
	write(text("a0", "a1", "b0", "b1"))
	updates := make(chan endpoints.Update)
	ctx, cancel := context.WithCancel(context.Background())
	var watching sync.WaitGroup
	watching.Go(func() {
		(&hostfile.Watcher{Paths: []string{path}, Notify: func(e hostfile.Event) {
			if e.Err == nil {
				select {
				case updates <- e.Update:
				case <-ctx.Done():
				}
			}
		}}).Run(ctx)
	})
	r := first.withUpdates(updates)
	r.logged("how=Complete")
	c, n := r.connect(), 0
	search := func() {
		n++
		c.expect(fmt.Sprint("f", n), "all", 200, completeAnswer)
	}
	r.eventually("all hosts get attempts", func() bool {
		search()
		return r.replicas["a0"].CountRequests() > 0 && r.replicas["a1"].CountRequests() > 0
	})
	write(text("a0", "b0", "b1"))
	removedAt := time.Now()
	last := r.replicas["a1"].CountRequests()
	lastAttemptAt := time.Now()
	r.eventually("the removed host gets no more attempts", func() bool {
		search()
		if count := r.replicas["a1"].CountRequests(); count != last {
			last, lastAttemptAt = count, time.Now()
		}
		return time.Since(lastAttemptAt) > 2500*time.Millisecond
	})
	require.Less(t, lastAttemptAt.Sub(removedAt), 2*time.Second)
	write(text("a0", "b0")[:40])
	time.Sleep(300 * time.Millisecond)
	write(text("a0", "a0"))
	r.logged("list_refused")
	require.Contains(t, r.log.String(), "[3:6]")
	search()
	before := r.replicas["b1"].CountRequests()
	r.eventually("the last valid list stays", func() bool { search(); return r.replicas["b1"].CountRequests() > before })

	drained := strings.ReplaceAll(r.entry("b1", "up"), `"up"`, `"draining"`)
	answer := fmt.Sprintf(`{"version":8,"full":false,"servers":[%s]}`, drained)
	r.eventually("the host drains", func() bool {
		select { // again and again, since calls that have timed out consume some answers
		case r.list.Responses <- answer:
		default:
		}
		search()
		return strings.Count(r.log.String(), "event=list ") >= 4
	})
	write(text("a0", "b0", "b1") + "# again\n")
	time.Sleep(500 * time.Millisecond)
	before = r.replicas["b1"].CountRequests()
	for range 20 {
		search()
	}
	require.Equal(t, before, r.replicas["b1"].CountRequests())
	r.shutDown()
	cancel()
	watching.Wait()
	first.shutDown()
}
