package hostfile

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"chalkring/endpoints"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const one = `hosts:
  - {id: a, address: "127.0.0.1:1", zone: hall, kind: std, cell: 0}
  - id: b
    address: 127.0.0.1:2
    cell: 1
    state: draining
    weight: 2.5
    started_ms: 7
`

func TestForms(t *testing.T) {
	told, err := Parse("f", []byte(one))
	require.NoError(t, err)
	require.Equal(t, []endpoints.Host{
		{ID: "a", Addr: "127.0.0.1:1", Zone: "hall", Kind: "std", Weight: 1, Line: 2, Column: 6},
		{ID: "b", Addr: "127.0.0.1:2", Cell: 1, State: endpoints.StateDraining, Weight: 2.5, StartedMS: 7, Line: 3, Column: 5},
	}, told.Hosts)
	json, err := Parse("f", []byte(`{"meant": true, "hosts": [{"id": "a", "address": "127.0.0.1:1", "cell": 0}]}`))
	require.NoError(t, err)
	require.True(t, json.Confirmed)
	require.Len(t, json.Hosts, 1)
	sum := fmt.Sprintf("%s%016x\n%s", sumPrefix, xxhash.Sum64String(one), one)
	_, err = Parse("f", []byte(sum))
	require.NoError(t, err)
	empty, err := Parse("f", []byte("hosts: []\n"))
	require.NoError(t, err)
	require.Empty(t, empty.Hosts)
	for text, want := range map[string]string{
		"":                                    "f: ",
		"{}":                                  "no hosts",
		"meant: true\n":                       "no hosts",
		"hosts:\n":                            "no hosts",
		"hosts: 7\n":                          "[1:8]",
		"hostz: []\n":                         `unknown field "hostz"`,
		"hosts:\n  - {id: a, address: x}\n":   `[2:13] unknown field "address"`,
		"hosts:\n  - {id: a, state: gone}\n":  `[2:6] host "a": state "gone"`,
		"hosts:\n  - {id: a, weight: .nan}\n": `weight NaN`,
		"hosts:\n  - {id: a, cell: x}\n":      `[2:19]`,
		"hosts: []\n---\nhosts: []\n":         "2 documents",
		strings.Replace(sum, "id: b", "id: c", 1): "checksum",
		one[:40]:                        "f: ",
		"hosts: [":                      "f: ",
		strings.Repeat("x", fileMost+1): "over",
	} {
		_, err := Parse("f", []byte(text))
		require.ErrorContains(t, err, want, "%.60q", text)
		require.ErrorAs(t, err, new(endpoints.InvalidListError))
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(one))
	f.Add([]byte(`{"hosts":[{"id":"a"}]}`))
	f.Add([]byte("hosts: &a [*a]"))
	f.Add([]byte("? hosts\n: - !!str x"))
	f.Fuzz(func(t *testing.T, text []byte) {
		told, err := Parse("f", text)
		if err != nil {
			require.ErrorAs(t, err, new(endpoints.InvalidListError))
			require.Empty(t, told.Hosts)
		}
	})
}

// seen collects what is told.
type seen struct {
	mu  sync.Mutex
	all []Event
}

func (s *seen) tell(e Event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.all = append(s.all, e)
}

func (s *seen) last() (n int, e Event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.all) == 0 {
		return 0, Event{}
	}
	return len(s.all), s.all[len(s.all)-1]
}

func run(t *testing.T, paths ...string) *seen {
	s := &seen{}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		(&Watcher{Paths: paths, Notify: s.tell}).Run(ctx)
	}()
	t.Cleanup(func() { stop(); <-ended })
	return s
}

func (s *seen) wait(t *testing.T, n int, ok func(e Event) bool) {
	require.Eventually(t, func() bool { got, e := s.last(); return got >= n && ok(e) }, 10*time.Second, 5*time.Millisecond)
}

func hosts(ids ...string) string {
	var b strings.Builder
	b.WriteString("hosts:\n")
	for i, id := range ids {
		fmt.Fprintf(&b, "  - {id: %s, address: \"127.0.0.1:%d\", cell: 0}\n", id, i+1)
	}
	return b.String()
}

func write(t *testing.T, path, text string) {
	require.NoError(t, os.WriteFile(path, []byte(text), 0o644))
}

// Truncated, malformed and valid texts, renames, links that are swapped, files and folders that vanish and come back: a
// list is told whole or not at all, a bad state once, and a good one within two seconds.
func TestChanges(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "a.yaml")
	write(t, path, hosts("x"))
	s := run(t, dir)
	good := func(n int) func(Event) bool {
		return func(e Event) bool { return e.Err == nil && len(e.Update.Hosts) == n && e.Path == path }
	}
	s.wait(t, 1, good(1))
	n, _ := s.last()
	write(t, path, hosts("x", "y")[:20])
	s.wait(t, n+1, func(e Event) bool { return e.Err != nil })
	n, _ = s.last()
	time.Sleep(2 * pollEach)
	again, _ := s.last()
	require.Equal(t, n, again, "a bad file is told once")
	began := time.Now()
	write(t, path, hosts("x", "y"))
	s.wait(t, n+1, good(2))
	require.Less(t, time.Since(began), 2*time.Second)

	other := filepath.Join(dir, ".new")
	write(t, other, hosts("x", "y", "z"))
	require.NoError(t, os.Rename(other, path))
	s.wait(t, n+2, good(3))
	n, _ = s.last()
	require.NoError(t, os.Remove(path))
	s.wait(t, n+1, func(e Event) bool { return e.Err != nil && strings.Contains(e.Err.Error(), "its last list holds") })

	for i, text := range []string{hosts("p"), hosts("p", "q")} { // a link from one folder to another, as config maps swap them
		to := filepath.Join(t.TempDir(), "data.yaml")
		write(t, to, text)
		link := filepath.Join(dir, ".link")
		require.NoError(t, os.Symlink(to, link))
		require.NoError(t, os.Rename(link, path))
		s.wait(t, n+2+i, good(i+1))
	}
	n, _ = s.last()
	require.NoError(t, os.RemoveAll(dir))
	s.wait(t, n+1, func(e Event) bool { return e.Err != nil })
	require.NoError(t, os.Mkdir(dir, 0o755))
	write(t, path, hosts("p", "q", "r", "s"))
	s.wait(t, n+2, good(4))
}

// A file that never rests is never told half written: each list that is told is one that was written whole.
func TestNeverHalf(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "a.yaml")
	s := run(t, path)
	until := time.Now().Add(1500 * time.Millisecond)
	for i := 0; time.Now().Before(until); i++ {
		text := hosts(strings.Split(strings.Repeat(fmt.Sprintf("h%d,", i), 1+i%40), ",")[:1+i%40]...)
		f, err := os.Create(path)
		require.NoError(t, err)
		for len(text) > 0 {
			k := min(len(text), 64)
			f.WriteString(text[:k])
			text = text[k:]
		}
		f.Close()
		time.Sleep(5 * time.Millisecond)
	}
	s.wait(t, 1, func(e Event) bool { return e.Err == nil })
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.all {
		if e.Err != nil {
			continue // a text cut inside a host; what is cut at a line's end is the guards' of members, or a checksum's
		}
		for _, h := range e.Update.Hosts {
			require.Equal(t, e.Update.Hosts[0].ID, h.ID)
		}
	}
}
