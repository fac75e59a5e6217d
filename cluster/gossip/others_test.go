package gossip

import (
	"bytes"
	"log/slog"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/memberlist"
	"github.com/stretchr/testify/require"

	"chalkring/cluster/membership"
)

// logged is a log that a test can look at meanwhile.
type logged struct {
	sync.Mutex
	text bytes.Buffer
}

func (l *logged) Write(p []byte) (int, error) {
	l.Lock()
	defer l.Unlock()
	return l.text.Write(p)
}

func (l *logged) String() string {
	l.Lock()
	defer l.Unlock()
	return l.text.String()
}

// Two customers' fleets on sockets, with one key and each other's addresses: neither takes the other's instances, says so
// in one line, and hears no message of theirs.
func TestAnotherCustomersFleet(t *testing.T) {
	t.Parallel()
	w := &world{side: map[string]int{}}
	logs := map[string]*logged{}
	heard := make(chan string, 16)
	of := func(name, tenant string, listed []string, join ...*Node) *Node {
		logs[name] = &logged{}
		n := start(t, w, name, listed, func(o *Options) {
			o.Key, o.Logger = bytes.Repeat([]byte{7}, 32), slog.New(slog.NewTextHandler(logs[name], nil))
			o.Identity = membership.NewIdentity("", []string{tenant, "other"})
			for _, j := range join {
				o.JoinAddrs = append(o.JoinAddrs, j.Membership().Self().Addr)
			}
		})
		n.Handle(9, func(from string, body []byte) { heard <- from + " " + string(body) })
		return n
	}
	acme, globex := []string{"a", "b"}, []string{"c", "d"}
	a := of("a", "acme", acme)
	c := of("c", "globex", globex, a)
	b := of("b", "acme", acme, a, c)
	d := of("d", "globex", globex, c, b)
	all := map[string]*Node{"a": a, "b": b, "c": c, "d": d}
	for name, n := range all {
		until(t, "its own are heard", func() bool { heard, of := n.Membership().CountAliveVoters(0); return heard == of })
		until(t, "the others are refused", func() bool { return strings.Contains(logs[name].String(), "msg=fleet_other") })
	}
	// An instance whose address another fleet's now has sends to that: the message comes and is not heard.
	at := netip.MustParseAddrPort(a.Membership().Self().Addr)
	to := &memberlist.Node{Name: a.own, Addr: at.Addr().AsSlice(), Port: at.Port()}
	require.NoError(t, c.list.SendReliable(to, head(9, c.Membership().Self(), []byte("of another"))))
	time.Sleep(strangerMost + joinEvery) // tries to join come again meanwhile
	require.NoError(t, b.Send(t.Context(), "a", 9, []byte("its own")))
	select {
	case words := <-heard:
		require.Equal(t, "b its own", words)
	case <-time.After(patience):
		t.Fatal("its own are not heard")
	}
	for name, n := range all {
		for other := range all {
			if listed := n.Membership().IsVoter(other); !listed {
				require.Equal(t, membership.State(-1), state(n, other), "%s at %s", other, name)
				require.Error(t, n.Send(t.Context(), other, 9, nil))
			}
		}
	}
	for name := range all {
		require.LessOrEqual(t, strings.Count(logs[name].String(), "msg=fleet_other"), int(time.Since(a.began)/othersEvery)+1)
		require.Contains(t, logs[name].String(), "fleet.join")
	}
}

// An instance from before fleets were told apart, and one of the same customer, are of one fleet.
func TestOneFleetWithOlderProgram(t *testing.T) {
	t.Parallel()
	w := &world{side: map[string]int{}}
	listed := []string{"a", "b", "c"}
	var all []*Node
	for i, id := range []membership.Identity{membership.NewIdentity("live", []string{"acme"}), {}, membership.NewIdentity("", []string{"acme", "globex"})} {
		all = append(all, start(t, w, listed[i], listed, func(o *Options) {
			if o.Identity = id; i > 0 {
				o.JoinAddrs = []string{all[0].Membership().Self().Addr}
			}
		}))
	}
	for _, n := range all {
		until(t, "all are heard", func() bool { heard, of := n.Membership().CountAliveVoters(0); return heard == of })
	}
}
