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

// withLists serves a second coordinator on a rig's hosts and list, with other sources of hosts too.
func (r *rig) withLists(lists <-chan endpoints.Update) *rig {
	ln := listen(r.t)
	ctx, cancel := context.WithCancel(context.Background())
	more := &rig{
		t: r.t, replicas: r.replicas, list: r.list, addr: ln.Addr().String(), stop: cancel, ended: make(chan error, 1),
		log: &logBuffer{}, plan: r.plan,
	}
	look := make(chan *eventLoop, 1)
	go func() {
		more.ended <- Serve(ctx, r.plan, Options{
			Listener: ln, Dial: (&net.Dialer{}).DialContext, Clock: SystemClock{},
			Logger: NewLogger(more.log, false, slog.LevelInfo), EndpointUpdates: lists, onStart: look,
		})
	}()
	more.loop = <-look
	r.t.Cleanup(cancel)
	more.logged("event=serving")
	return more
}

func (r *rig) member(hostID string) endpoints.Host {
	h := r.replicas[hostID]
	return endpoints.Host{ID: hostID, Addr: h.Listener.Addr().String(), Zone: "z one", Kind: "small", Cell: h.Cell, Weight: 1}
}

// While lists change under load, each iteration of the event loop works with one list and never with parts of two;
// each search has one complete answer.
func TestListsAreNeverMixed(t *testing.T) {
	first := start(t, 256, nil)
	lists := make(chan endpoints.Update)
	r := first.withLists(lists)
	told := func(v int64, on, off string) endpoints.Update {
		return endpoints.Update{Source: "hosts.yaml", Rank: endpoints.RankFile, Version: v, Confirmed: true, Hosts: []endpoints.Host{
			r.member("a" + on),
			r.member("b" + on),
			{ID: "a" + off, State: endpoints.StateRemoved},
			{ID: "b" + off, State: endpoints.StateRemoved},
		}}
	}
	lists <- told(1, "0", "1")
	r.logged("entries=2")
	over := make(chan struct{})
	var g sync.WaitGroup
	g.Go(func() {
		for v := int64(2); ; v++ {
			update := told(v, "0", "1")
			if v%2 == 0 {
				update = told(v, "1", "0")
			}
			select {
			case lists <- update:
			case <-over:
				return
			}
			time.Sleep(time.Millisecond)
		}
	})
	seen := map[string]int{} // what was in force when it was looked at
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
			case <-over:
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
	close(over)
	g.Wait()
	require.Len(t, seen, 2, "%v", seen)
	require.Positive(t, seen["a0+b0"])
	require.Positive(t, seen["a1+b1"])
	r.shutDown()
	first.shutDown()
}

// A host file that drops a host stops new work to it within two seconds; an invalid one changes nothing and is logged;
// a file that has a host up which discovery drains does not bring it back.
func TestHostFiles(t *testing.T) {
	first := start(t, 256, nil)
	path := filepath.Join(t.TempDir(), "hosts.yaml")
	write := func(text string) { require.NoError(t, os.WriteFile(path, []byte(text), 0o644)) }
	text := func(ids ...string) string {
		var b strings.Builder
		b.WriteString("hosts:\n")
		for _, hostID := range ids {
			h := first.member(hostID)
			fmt.Fprintf(&b, "  - {id: %s, address: %q, zone: %q, kind: small, cell: %d}\n", hostID, h.Addr, h.Zone, h.Cell)
		}
		return b.String()
	}
	write(text("a0", "a1", "b0", "b1"))
	lists := make(chan endpoints.Update)
	ctx, cancel := context.WithCancel(context.Background())
	var watching sync.WaitGroup
	watching.Go(func() {
		(&hostfile.Watcher{Paths: []string{path}, Notify: func(e hostfile.Event) {
			if e.Err == nil {
				select {
				case lists <- e.Update:
				case <-ctx.Done():
				}
			}
		}}).Run(ctx)
	})
	r := first.withLists(lists)
	r.logged("how=Complete")
	c, n := r.connect(), 0
	ask := func() {
		n++
		c.expect(fmt.Sprint("f", n), "all", 200, completeAnswer)
	}
	r.eventually("all hosts take parts", func() bool {
		ask()
		return r.replicas["a0"].CountRequests() > 0 && r.replicas["a1"].CountRequests() > 0
	})
	write(text("a0", "b0", "b1"))
	dropped := time.Now()
	last := r.replicas["a1"].CountRequests()
	quiet := time.Now()
	r.eventually("the dropped host takes no more", func() bool {
		ask()
		if took := r.replicas["a1"].CountRequests(); took != last {
			last, quiet = took, time.Now()
		}
		return time.Since(quiet) > 2500*time.Millisecond
	})
	require.Less(t, quiet.Sub(dropped), 2*time.Second)
	write(text("a0", "b0")[:40])
	time.Sleep(300 * time.Millisecond)
	write(text("a0", "a0"))
	r.logged("list_refused")
	require.Contains(t, r.log.String(), "[3:6]")
	ask()
	before := r.replicas["b1"].CountRequests()
	r.eventually("the last good list is in force", func() bool { ask(); return r.replicas["b1"].CountRequests() > before })

	drained := strings.ReplaceAll(r.entry("b1", "up"), `"up"`, `"draining"`)
	answer := fmt.Sprintf(`{"version":8,"full":false,"servers":[%s]}`, drained)
	r.eventually("the drain is in force", func() bool {
		select { // calls that have been given up take some
		case r.list.Responses <- answer:
		default:
		}
		ask()
		return strings.Count(r.log.String(), "event=list ") >= 4
	})
	write(text("a0", "b0", "b1") + "# again\n")
	time.Sleep(500 * time.Millisecond)
	before = r.replicas["b1"].CountRequests()
	for range 20 {
		ask()
	}
	require.Equal(t, before, r.replicas["b1"].CountRequests())
	r.shutDown()
	cancel()
	watching.Wait()
	first.shutDown()
}
