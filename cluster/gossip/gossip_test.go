package gossip

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"chalkring/cluster/membership"
	"chalkring/internal/advice"
)

func TestMain(m *testing.M) {
	code := m.Run()
	left := goleak.Find()
	for until := time.Now().Add(patience); left != nil && time.Now().Before(until); { // the library ends its last probe
		left = goleak.Find()
	}
	if code == 0 && left != nil {
		fmt.Fprintln(os.Stderr, left)
		code = 1
	}
	os.Exit(code)
}

const patience = 40 * time.Second // for what has to come; no verdict rests on anything coming sooner

// world cuts between groups of addresses.
type world struct {
	sync.Mutex
	side map[string]int
}

func (w *world) drop(from *atomic.Value) func(string) bool {
	return func(to string) bool {
		w.Lock()
		defer w.Unlock()
		me, _ := from.Load().(string)
		return w.side[me] != w.side[to]
	}
}

func (w *world) put(n *Node, side int) {
	w.Lock()
	defer w.Unlock()
	w.side[n.Membership().Self().Addr] = side
}

func start(t *testing.T, w *world, name string, listed []string, change func(*Options)) *Node {
	var addr atomic.Value
	o := Options{Self: membership.Member{Name: name, Region: "r", Zone: "z"}, Voters: listed, ListenAddr: "127.0.0.1:0", ShouldDrop: w.drop(&addr)}
	if change != nil {
		change(&o)
	}
	n, err := Start(t.Context(), o)
	require.NoError(t, err)
	addr.Store(n.Membership().Self().Addr)
	t.Cleanup(n.Close)
	return n
}

func until(t *testing.T, what string, f func() bool) {
	t.Helper()
	require.Eventually(t, f, patience, 20*time.Millisecond, what)
}

func state(n *Node, name string) membership.State {
	for _, m := range n.Membership().Members() {
		if m.Name == name {
			return m.State
		}
	}
	return -1
}

func fleetOf(t *testing.T, w *world, names ...string) (all []*Node) {
	for _, name := range names {
		all = append(all, start(t, w, name, names, func(o *Options) {
			if len(all) > 0 {
				o.JoinAddrs = []string{all[0].Membership().Self().Addr}
			}
		}))
	}
	for _, n := range all {
		until(t, "all are heard", func() bool { heard, of := n.Membership().CountAliveVoters(0); return heard == of })
	}
	return all
}

func TestKilledCutAndBack(t *testing.T) {
	t.Parallel()
	w := &world{side: map[string]int{}}
	all := fleetOf(t, w, "a", "b", "c", "d", "e")
	was := all[4].Membership().Self().Incarnation
	w.put(all[3], 1)
	w.put(all[4], 1)
	until(t, "a minority has no majority", func() bool { return !all[3].Membership().HasMajority(0) && !all[4].Membership().HasMajority(0) })
	until(t, "the others give them up", func() bool { return state(all[0], "d") == membership.Dead && state(all[0], "e") == membership.Dead })
	require.True(t, all[0].Membership().HasMajority(0))
	require.NotEqual(t, membership.Dead, state(all[4], "a"), "a minority gives nobody up")
	w.put(all[3], 0)
	w.put(all[4], 0)
	for _, n := range all {
		until(t, "all are back", func() bool { heard, _ := n.Membership().CountAliveVoters(0); return heard == 5 })
	}
	require.Greater(t, all[4].Membership().Self().Incarnation, was, "as another incarnation")
	require.Empty(t, all[0].Membership().NameConflicts())

	at := all[1].Membership().Self()
	all[1].Close()
	until(t, "a kill is noticed", func() bool { return state(all[0], "b") == membership.Dead })
	again := start(t, w, "b", []string{"a", "b", "c", "d", "e"}, func(o *Options) {
		o.ListenAddr, o.JoinAddrs = at.Addr, []string{all[2].Membership().Self().Addr}
	})
	until(t, "a restart is there", func() bool { return state(all[0], "b") == membership.Alive })
	again.Leave(context.Background()) // on a busy machine it may say that nobody has the word yet
	until(t, "leaving is no failure", func() bool { return state(all[0], "b") == membership.Left && state(all[2], "b") == membership.Left })
}

func TestTwoOfOneName(t *testing.T) {
	t.Parallel()
	w := &world{side: map[string]int{}}
	all := fleetOf(t, w, "a", "b", "c")
	two := start(t, w, "c", []string{"a", "b", "c"}, func(o *Options) { o.JoinAddrs = []string{all[0].Membership().Self().Addr} })
	for _, n := range append(all, two) {
		until(t, "all say so", func() bool {
			return len(n.Membership().NameConflicts()) == 1 && n.Membership().NameConflicts()[0] == "c"
		})
	}
	require.False(t, two.Membership().HasMajority(0))
	require.False(t, all[2].Membership().HasMajority(0))
	until(t, "it is not counted", func() bool { heard, _ := all[0].Membership().CountAliveVoters(0); return heard == 2 })
	two.Close()
	for _, n := range all {
		until(t, "over with the second", func() bool {
			heard, _ := n.Membership().CountAliveVoters(0)
			return heard == 3 && len(n.Membership().NameConflicts()) == 0
		})
	}
	require.Greater(t, all[2].Membership().Self().Incarnation, two.Membership().Self().Incarnation, "the older life is not outlived by a dead one")
}

func TestMessagesAndWhatIsSaid(t *testing.T) {
	t.Parallel()
	w := &world{side: map[string]int{}}
	all := fleetOf(t, w, "a", "b")
	got := make(chan []byte, 10)
	all[1].Handle(7, func(from string, body []byte) { got <- append([]byte(from+":"), body...) })
	big := bytes.Repeat([]byte("x"), MaxBodyBytes)
	require.NoError(t, all[0].Send(t.Context(), "b", 7, big))
	require.Equal(t, append([]byte("a:"), big...), <-got)
	require.True(t, advice.HasType[*MessageTooLargeError](all[0].Send(t.Context(), "b", 7, make([]byte, MaxBodyBytes+1))))
	require.True(t, advice.HasType[*PeerUnavailableError](all[0].Send(t.Context(), "x", 7, nil)))
	m := all[0].Membership().Self()
	m.SettingsGeneration, m.ProgramVersion, m.Capabilities = 9, "v2", []string{"rollout"}
	require.NoError(t, all[0].UpdateSelf(m))
	until(t, "what is said comes through", func() bool {
		m := all[1].Membership().Members()[0]
		return m.SettingsGeneration == 9 && m.ProgramVersion == "v2" && len(m.Capabilities) == 1
	})
	for range 16 {
		m.Capabilities = append(m.Capabilities, string(bytes.Repeat([]byte("p"), 100)))
	}
	require.Error(t, all[0].UpdateSelf(m))
	m.Capabilities = m.Capabilities[:8]
	require.True(t, advice.HasType[*MetadataTooLargeError](all[0].UpdateSelf(m)))
}

// relay passes packets and connections on, as a relay between halls would.
func relay(t *testing.T, to string) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	pc, err := net.ListenPacket("udp", ln.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { ln.Close(); pc.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				out, err := net.Dial("tcp", to)
				if err != nil {
					return
				}
				defer out.Close()
				go func() { pass(out, c); out.(*net.TCPConn).CloseWrite() }()
				pass(c, out)
			}()
		}
	}()
	go func() {
		out, _ := net.ResolveUDPAddr("udp", to)
		for buf := make([]byte, 65536); ; {
			n, _, err := pc.ReadFrom(buf)
			if err != nil {
				return
			}
			pc.WriteTo(buf[:n], out)
		}
	}()
	return ln.Addr().String()
}

func pass(to, from net.Conn) {
	buf := make([]byte, 4096)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			to.Write(buf[:n])
		}
		if err != nil {
			return
		}
	}
}

func TestThroughRelays(t *testing.T) {
	t.Parallel()
	key, addrs := bytes.Repeat([]byte{7}, 32), []string{}
	for range 3 {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		addrs = append(addrs, ln.Addr().String())
		ln.Close()
	}
	var all []*Node
	for i, addr := range addrs {
		via := map[string]string{}
		for _, other := range addrs {
			if other != addr {
				via[other] = relay(t, other)
			}
		}
		n, err := Start(t.Context(), Options{
			Self: membership.Member{Name: fmt.Sprint("n", i)}, Voters: []string{"n0", "n1", "n2"}, ListenAddr: addr,
			JoinAddrs: addrs, AddrOverrides: via, Key: key, ShouldDrop: func(to string) bool { return false },
		})
		require.NoError(t, err)
		t.Cleanup(n.Close)
		all = append(all, n)
	}
	for _, n := range all {
		until(t, "through relays", func() bool { heard, _ := n.Membership().CountAliveVoters(0); return heard == 3 })
	}
	for range 20 { // acknowledgements come back through them too
		time.Sleep(100 * time.Millisecond)
		heard, _ := all[0].Membership().CountAliveVoters(0)
		require.Equal(t, 3, heard)
	}
}

func TestStartsThatFailSayWhatToDo(t *testing.T) {
	t.Parallel()
	ln, err := net.ListenPacket("udp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	for _, o := range []Options{
		{ListenAddr: ln.LocalAddr().String()},
		{ListenAddr: "here"},
		{ListenAddr: "0.0.0.0:1"},
		{ListenAddr: "127.0.0.1:0", Key: []byte("x")},
		{ListenAddr: "127.0.0.1:0", Self: membership.Member{Name: "n", Zone: string(make([]byte, 200)), Region: string(make([]byte, 200)), ProgramVersion: string(make([]byte, 200))}},
	} {
		_, err := Start(t.Context(), o)
		require.Error(t, err)
		require.NotEmpty(t, advice.For(err), "%v", err)
	}
	_, err = Start(t.Context(), Options{ListenAddr: ln.LocalAddr().String()})
	require.True(t, advice.HasType[*AddressInUseError](err), "%v", err)
}

// Each error type has advice and stands in the page for those on call.
func TestErrorTypesAreListed(t *testing.T) {
	page, err := os.ReadFile("../../docs/oncall.md")
	require.NoError(t, err)
	all := []advice.Provider{&AddressInUseError{}, &InvalidAddressError{}, &InvalidKeyFileError{}, &KeyMismatchError{}, &IsolatedError{}, &NameConflictError{}, &MetadataTooLargeError{}, &MessageTooLargeError{}, &PeerUnavailableError{}}
	for _, e := range all {
		name := reflect.TypeOf(e).Elem().Name()
		require.Contains(t, string(page), "| `"+name+"` |")
		require.Greater(t, len(e.Advice()), 20, name)
	}
	code, err := os.ReadFile("errors.go")
	require.NoError(t, err)
	require.Equal(t, len(all), strings.Count(string(code), ") Advice() string"), "a type is missing above")
}

func TestKeyFiles(t *testing.T) {
	path := filepath.Join(t.TempDir(), "fleet.key")
	write := func(text string) { require.NoError(t, os.WriteFile(path, []byte(text), 0o600)) }
	one, two := strings.Repeat("A", 43)+"=", strings.Repeat("B", 42)+"A="
	write("# new\n" + one + "\n\n" + two + "\n")
	key, older, err := ReadKeyFile(path)
	require.NoError(t, err)
	require.Equal(t, make([]byte, 32), key)
	require.Len(t, older, 1)
	for text, want := range map[string]string{
		"": "holds no key", "A": "line 1: is no base64", one + "\nAAAA\n": "line 2: 3 bytes",
		strings.Repeat(one+"\n", 5): "line 5: more than 4 keys", strings.Repeat(" ", keyFileBytes+1): "over",
	} {
		write(text)
		_, _, err := ReadKeyFile(path)
		require.True(t, advice.HasType[*InvalidKeyFileError](err))
		require.ErrorContains(t, err, want)
	}
	_, _, err = ReadKeyFile(path + ".not")
	require.True(t, advice.HasType[*InvalidKeyFileError](err))
}

// One with another key is not believed, and said so; one with both keys hears both.
func TestKeysThatDiffer(t *testing.T) {
	t.Parallel()
	w, out := &world{side: map[string]int{}}, &lockedLog{}
	key := func(b byte) []byte { return bytes.Repeat([]byte{b}, 32) }
	listed := []string{"a", "b", "c"}
	a := start(t, w, "a", listed, func(o *Options) { o.Key, o.Logger = key(1), slog.New(slog.NewTextHandler(out, nil)) })
	join := []string{a.Membership().Self().Addr}
	b := start(t, w, "b", listed, func(o *Options) { o.Key, o.JoinAddrs = key(2), join })
	c := start(t, w, "c", listed, func(o *Options) { o.Key, o.OldKeys, o.JoinAddrs = key(1), [][]byte{key(2)}, join })
	until(t, "one key", func() bool { return state(a, "c") == membership.Alive && state(c, "a") == membership.Alive })
	until(t, "the other is named", func() bool { return strings.Contains(out.String(), "fleet_key") })
	require.Equal(t, membership.State(-1), state(a, "b"))
	require.Equal(t, membership.State(-1), state(b, "a"))
}

type lockedLog struct {
	sync.Mutex
	bytes.Buffer
}

func (l *lockedLog) Write(p []byte) (int, error) {
	l.Lock()
	defer l.Unlock()
	return l.Buffer.Write(p)
}

func (l *lockedLog) String() string {
	l.Lock()
	defer l.Unlock()
	return l.Buffer.String()
}
