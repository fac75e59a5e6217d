package clustertest

import (
	"context"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"chalkring/internal/fake"
)

const patience = 20 * time.Second // for what has to come; no verdict rests on anything coming sooner

func TestMain(m *testing.M) {
	code := m.Run()
	RemoveBuilds()
	if code == 0 {
		if err := goleak.Find(); err != nil {
			os.Stderr.WriteString(err.Error())
			code = 1
		}
	}
	os.Exit(code)
}

// echo is a listener behind a relay that sends back what comes, TCP and UDP.
func echo(t *testing.T) (*network, string) {
	addr, err := port()
	require.NoError(t, err)
	t.Cleanup(func() { freed([]string{addr}) })
	ln, err := net.Listen("tcp", addr)
	require.NoError(t, err)
	pc, err := net.ListenPacket("udp", addr)
	require.NoError(t, err)
	n := newNetwork(1)
	t.Cleanup(func() { ln.Close(); pc.Close(); n.close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() { io.Copy(c, c); c.Close() }()
		}
	}()
	go func() {
		b := make([]byte, 2048)
		for {
			got, who, err := pc.ReadFrom(b)
			if err != nil {
				return
			}
			pc.WriteTo(b[:got], who)
		}
	}()
	via, err := n.relay("a", "b", addr, true)
	require.NoError(t, err)
	return n, via
}

// round sends a text and waits for it to come back; how long it took, or that it did not within so long.
func round(t *testing.T, c net.Conn, most time.Duration) (time.Duration, error) {
	began := time.Now()
	c.SetDeadline(began.Add(most))
	if _, err := c.Write([]byte("hello")); err != nil {
		return 0, err
	}
	_, err := io.ReadFull(c, make([]byte, 5))
	return time.Since(began), err
}

func TestLinksDoWhatTheyAreTold(t *testing.T) {
	n, via := echo(t)
	dial := func(kind string) net.Conn {
		c, err := net.Dial(kind, via)
		require.NoError(t, err)
		t.Cleanup(func() { c.Close() })
		return c
	}
	tcp, udp := dial("tcp"), dial("udp")
	sound := func() {
		for _, c := range []net.Conn{tcp, udp} {
			_, err := round(t, c, patience)
			require.NoError(t, err)
		}
	}
	sound()
	for _, way := range [][2]string{{"a", "b"}, {"b", "a"}} {
		n.edit(way[0], way[1], func(f *LinkFault) { f.Cut = true })
		_, err := round(t, udp, 50*time.Millisecond)
		require.ErrorIs(t, err, os.ErrDeadlineExceeded, "datagrams are lost")
		_, err = round(t, tcp, 50*time.Millisecond)
		require.ErrorIs(t, err, os.ErrDeadlineExceeded)
		n.heal()
		tcp.SetDeadline(time.Now().Add(patience))
		_, err = io.ReadFull(tcp, make([]byte, 5))
		require.NoError(t, err, "bytes that were held come through")
		sound()
	}
	n.edit("a", "b", func(f *LinkFault) { f.Delay, f.Jitter = 60*time.Millisecond, 20*time.Millisecond })
	for _, c := range []net.Conn{tcp, udp} {
		took, err := round(t, c, patience)
		require.NoError(t, err)
		require.GreaterOrEqual(t, took, 60*time.Millisecond)
	}
	n.edit("a", "b", func(f *LinkFault) { *f = LinkFault{Drop: 1} })
	_, err := round(t, udp, 50*time.Millisecond)
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
	took, err := round(t, tcp, patience)
	require.NoError(t, err)
	require.GreaterOrEqual(t, took, again)
	n.edit("a", "b", func(f *LinkFault) { *f = LinkFault{BytesPerSecond: 50} })
	took, err = round(t, tcp, patience)
	require.NoError(t, err)
	require.GreaterOrEqual(t, took, 90*time.Millisecond)
	n.edit("a", "b", func(f *LinkFault) { *f = LinkFault{Hang: true} })
	_, err = round(t, udp, patience)
	require.NoError(t, err, "a hang is of streams")
	_, err = round(t, tcp, 50*time.Millisecond)
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
	n.heal()
	n.reset("a", "b")
	_, err = round(t, tcp, patience)
	require.Error(t, err)
	require.NotErrorIs(t, err, os.ErrDeadlineExceeded)
	tcp = dial("tcp")
	sound()
	n.edit("a", "b", func(f *LinkFault) { f.Refuse = true })
	_, err = round(t, tcp, patience)
	require.Error(t, err)
	c, err := net.Dial("tcp", via) // it may be reset as it is made
	if err == nil {
		defer c.Close()
		_, err = round(t, c, patience)
	}
	require.ErrorIs(t, err, syscall.ECONNRESET)
}

func TestScheduleIsReadStrictly(t *testing.T) {
	text := "seed 7\nat 3.2s cut a>b\nat 3.3s delay a,b<>* 40ms 20ms\nat 4s kill c # now\nat 4s do tighten acme\nat 5s heal\n"
	s, err := ParseSchedule(text)
	require.NoError(t, err)
	require.Len(t, s.Events, 5)
	for bad, line := range map[string]int{
		"at 1s cut a": 1, "seed x": 1, "at 2s heal\nat 1s heal": 2, "at 1s drop a>b 1.5": 1,
		"at 1s delay a>b": 1, "\nat 1h heal": 2, "at 1s melt a": 1, "at 1s cut >b": 1, "heal": 1, "at 1s trickle a>b NaN": 1,
		"at 1s kill": 1,
	} {
		_, err := ParseSchedule(bad)
		var fault *InvalidLineError
		require.ErrorAs(t, err, &fault, bad)
		require.Equal(t, line, fault.Line, bad)
		require.NotEmpty(t, fault.Advice())
	}
}

func TestDrawnScheduleReplays(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func() Schedule { return Schedule{} }
		seed, n := rapid.Int64().Draw(t, "seed"), rapid.IntRange(0, 30).Draw(t, "troubles")
		draw = func() Schedule {
			return DrawSchedule(seed, []string{"a", "b", "c"}, []string{"list", "ha"}, n, 20*time.Second, 1, "cut", "delay", "drop", "trickle", "hang", "refuse",
				"reset", "kill", "stop", "term", "split")
		}
		s := draw()
		require.Equal(t, s.String(), draw().String())
		again, err := ParseSchedule(s.String())
		require.NoError(t, err)
		require.Equal(t, s.String(), again.String())
		gone := map[string]bool{}
		for _, e := range s.Events {
			switch e.Verb {
			case "kill", "stop", "term":
				require.False(t, gone[e.Args[0]])
				gone[e.Args[0]] = true
				require.LessOrEqual(t, len(gone), 1)
			case "start", "cont":
				delete(gone, e.Args[0])
			}
		}
		require.Empty(t, gone)
	})
}

func shape() Config {
	s := Config{Seed: 1, Relayed: true, Instances: []Instance{{Name: "a", Region: "east"}, {Name: "b", Region: "east"}, {Name: "c", Region: "west"}}}
	for i := range 16 {
		s.Hosts = append(s.Hosts, Host{ID: "h" + string(rune('a'+i)), Zone: []string{"z1", "z2"}[i/8], Cell: i % 8})
	}
	return s
}

// Kills, stops, ends and cuts of a text; clients and hosts see one true answer for each search, and the rig leaves nothing.
func TestRigUnderASchedule(t *testing.T) {
	ctx, stop := context.WithTimeout(context.Background(), 2*time.Minute)
	defer stop()
	r, err := New(ctx, shape())
	require.NoError(t, err)
	defer r.Close()
	s, err := ParseSchedule("at 200ms kill a\nat 400ms cut b<>ha,hb\nat 600ms start a\nat 800ms stop c\nat 1s reset b>hc\nat 1.2s cont c\n" +
		"at 1500ms heal\nat 1600ms term b\nat 2200ms start b\nat 2300ms do move")
	require.NoError(t, err)
	ran := make(chan error, 1)
	go func() {
		ran <- r.RunSchedule(ctx, s, map[string]func([]string) error{"move": func([]string) error {
			r.EditEndpoints(func(e *fake.Endpoint) {
				if e.ID == "ha" {
					e.State = "draining"
				}
			})
			return nil
		}})
	}()
	answers := r.PlaySearches(ctx, r.DrawSearches(1, "q", 100, 3*time.Second, 3*time.Second, "acme", "other"))
	require.NoError(t, <-ran)
	v := r.Judge(answers, AuditRules{AllowsZone: func(string, string, time.Time) bool { return true }})
	require.Empty(t, v.DescribeViolations(), "%s", s)
	require.Greater(t, v.Good, v.Searches*3/4, "%+v\n%s", v, r.Log("a"))
	require.Positive(t, v.ShardRequests)
	pids := []int{r.PID("a"), r.PID("b"), r.PID("c")}
	dir := r.Addresses("a").Dir
	r.Close()
	for _, pid := range pids {
		require.ErrorIs(t, syscall.Kill(pid, 0), syscall.ESRCH)
	}
	require.NoDirExists(t, dir)
}

// The auditor finds what is wrong.
func TestAuditFindsWhatIsWrong(t *testing.T) {
	r := &Cluster{}
	r.Audit.moved([]fake.Endpoint{{ID: "h", Zone: "z1"}})
	now := time.Now()
	ask := func(id string) ScheduledSearch {
		return ScheduledSearch{Search: fake.Search{ID: id, Query: id, Type: "k", Shards: []int{0, 1}, Tenant: "acme", Patience: time.Second}}
	}
	for _, id := range []string{"a.0", "a.0", "a~1.1", "a.7", "a.0.r"} {
		shard := int(id[len(id)-1] - '0')
		if id == "a.0.r" {
			shard = 0
		}
		r.Audit.took("h", fake.ShardRequest{ID: id, Shard: shard})
	}
	good := `{"answers":[{"range":0,"blob":"a@0"},{"range":1,"blob":"a@1!"}]}`
	answers := []ClientResult{
		{ScheduledSearch: ask("a"), Sent: now, Status: 200, FinalCount: 1, Body: good},
		{ScheduledSearch: ask("b"), Sent: now, Status: 200, FinalCount: 1, Body: good}, // another's answer
		{ScheduledSearch: ask("c"), Sent: now, Status: 503, FinalCount: 2},
		{ScheduledSearch: ask("d"), Sent: now, Attempts: []Attempt{{Target: "x", StartedAt: now, EndedAt: now.Add(time.Second), Refused: true, Failure: "refused"}}},
		{ScheduledSearch: ask("e"), Sent: now, Status: 503, FinalCount: 1, Latency: 3 * time.Second},
		{ScheduledSearch: ask("f"), Sent: now, Attempts: []Attempt{{Target: "y", StartedAt: now, EndedAt: now.Add(time.Second), Closed: true, Failure: "EOF"}}},
	}
	r.downs = []*down{{name: "y", from: now.Add(time.Millisecond)}}
	v := r.Judge(answers, AuditRules{
		AllowsZone: func(tenant, zone string, _ time.Time) bool { return tenant != "acme" || zone != "z1" },
		AtMostOnce: func(string) bool { return true },
	})
	count := map[string]int{}
	for _, b := range v.Violations {
		count[b.Name] = b.Count
	}
	require.Equal(t, map[string]int{
		"true_answer": 1, "one_answer": 2, "refused": 1, "in_time": 1, "known_part": 1, "allowed_zone": 5,
		"once": 1,
	}, count)
	require.Equal(t, 1, v.Excused)
	require.Len(t, v.DescribeViolations(), 7)
}
