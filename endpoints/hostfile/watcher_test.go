package hostfile

import (
	"context"
	"fmt"
	"math/rand"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"chalkring/internal/fake"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// eventLog collects a watcher's events.
type eventLog struct {
	mu     sync.Mutex
	events []Event
}

func (l *eventLog) add(e Event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.events = append(l.events, e)
}

func (l *eventLog) all() []Event {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Event{}, l.events...)
}

func (l *eventLog) count() int { return len(l.all()) }

// await waits until there are at least count events, but no fewer than one, and the last one matches.
func (l *eventLog) await(t *testing.T, count int, matches func(e Event) bool) {
	t.Helper()
	require.Eventually(t, func() bool {
		events := l.all()
		return len(events) >= max(1, count) && matches(events[len(events)-1])
	}, 10*time.Second, 5*time.Millisecond)
}

func startWatcher(t *testing.T, paths ...string) *eventLog {
	log := &eventLog{}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		(&Watcher{Paths: paths, Notify: log.add}).Run(ctx)
	}()
	t.Cleanup(func() { cancel(); <-ended })
	return log
}

// hostListText returns a host file with these ids.
func hostListText(ids ...string) string {
	var text strings.Builder
	text.WriteString("hosts:\n")
	for i, id := range ids {
		fmt.Fprintf(&text, "  - {id: %s, address: \"127.0.0.1:%d\", cell: 0}\n", id, i+1)
	}
	return text.String()
}

func writeFile(t *testing.T, path, text string) {
	t.Helper()
	require.NoError(t, os.WriteFile(path, []byte(text), 0o644))
}

func hasHosts(path string, count int) func(Event) bool {
	return func(e Event) bool { return e.Err == nil && len(e.Update.Hosts) == count && e.Path == path }
}

func hasError(e Event) bool { return e.Err != nil }

// Guards against an invalid file that is reported again at each scan, or whose correction is noticed late.
func TestInvalidFileIsReportedOnceAndItsCorrectionSoon(t *testing.T) {
	directory := t.TempDir()
	path := filepath.Join(directory, "a.yaml")
	writeFile(t, path, hostListText("x"))
	log := startWatcher(t, directory)
	log.await(t, 1, hasHosts(path, 1))
	before := log.count()
	writeFile(t, path, hostListText("x", "y")[:20])
	log.await(t, before+1, hasError)
	before = log.count()
	time.Sleep(2 * pollInterval)
	require.Equal(t, before, log.count(), "an invalid file is reported once")
	writtenAt := time.Now()
	writeFile(t, path, hostListText("x", "y"))
	log.await(t, before+1, hasHosts(path, 2))
	require.Less(t, time.Since(writtenAt), 2*time.Second)
}

// Guards against changes that go unnoticed because they are a rename to the path, or the file's removal.
func TestRenamedAndRemovedFilesAreReported(t *testing.T) {
	directory := t.TempDir()
	path := filepath.Join(directory, "a.yaml")
	writeFile(t, path, hostListText("x"))
	log := startWatcher(t, directory)
	log.await(t, 1, hasHosts(path, 1))
	before := log.count()
	replacement := filepath.Join(directory, ".new")
	writeFile(t, replacement, hostListText("x", "y", "z"))
	require.NoError(t, os.Rename(replacement, path))
	log.await(t, before+1, hasHosts(path, 3))
	before = log.count()
	require.NoError(t, os.Remove(path))
	log.await(t, before+1, func(e Event) bool {
		return hasError(e) && strings.Contains(e.Err.Error(), "its last list remains in use")
	})
}

// Guards against changes that go unnoticed because a symbolic link is replaced by one to another directory, as Kubernetes
// does with config maps.
func TestReplacedLinksAreReported(t *testing.T) {
	directory := t.TempDir()
	path := filepath.Join(directory, "a.yaml")
	writeFile(t, path, hostListText("x", "y", "z"))
	log := startWatcher(t, directory)
	log.await(t, 1, hasHosts(path, 3))
	for i, text := range []string{hostListText("p"), hostListText("p", "q")} {
		before := log.count()
		target := filepath.Join(t.TempDir(), "data.yaml")
		writeFile(t, target, text)
		link := filepath.Join(directory, ".link")
		require.NoError(t, os.Symlink(target, link))
		require.NoError(t, os.Rename(link, path))
		log.await(t, before+1, hasHosts(path, i+1))
	}
}

// Guards against a directory whose files are no longer read after it was removed and created again.
func TestDirectoryThatWasRemovedAndCreatedAgainIsWatched(t *testing.T) {
	directory := t.TempDir()
	path := filepath.Join(directory, "a.yaml")
	writeFile(t, path, hostListText("p", "q"))
	log := startWatcher(t, directory)
	log.await(t, 1, hasHosts(path, 2))
	before := log.count()
	require.NoError(t, os.RemoveAll(directory))
	log.await(t, before+1, hasError)
	require.NoError(t, os.Mkdir(directory, 0o755))
	writeFile(t, path, hostListText("p", "q", "r", "s"))
	log.await(t, before+2, hasHosts(path, 4))
}

// writeInPieces writes a file in several small writes, as a slow writer does.
func writeInPieces(t *testing.T, path, text string) {
	t.Helper()
	file, err := os.Create(path)
	require.NoError(t, err)
	for len(text) > 0 {
		size := min(len(text), 64)
		_, err := file.WriteString(text[:size])
		require.NoError(t, err)
		text = text[size:]
	}
	require.NoError(t, file.Close())
}

// Guards against a mix of two versions of a file that is rewritten all the time: all hosts of a list are from the same
// version. A text that was truncated inside a host is invalid; one that was truncated at the end of a line is found by the
// guards of package endpoints, or by a checksum.
func TestFileThatNeverSettlesIsNotReportedHalfWritten(t *testing.T) {
	path := filepath.Join(t.TempDir(), "a.yaml")
	log := startWatcher(t, path)
	until := time.Now().Add(1500 * time.Millisecond)
	for i := 0; time.Now().Before(until); i++ {
		var ids []string
		for range 1 + i%40 {
			ids = append(ids, fmt.Sprintf("h%d", i))
		}
		writeInPieces(t, path, hostListText(ids...))
		time.Sleep(5 * time.Millisecond)
	}
	log.await(t, 1, func(e Event) bool { return e.Err == nil })
	for _, e := range log.all() {
		if e.Err != nil {
			continue
		}
		for _, host := range e.Update.Hosts {
			require.Equal(t, e.Update.Hosts[0].ID, host.ID)
		}
	}
}

// Guards against a watcher that ends, or ends the process, over a bad file: texts drawn by seed follow each other quickly, some
// of them while they are read, and the good file after them is reported.
func TestWatcherOutlivesBadFiles(t *testing.T) {
	t.Parallel()
	path := filepath.Join(t.TempDir(), "hosts.yaml")
	good := hostListText("a", "b", "c")
	writeFile(t, path, good)
	log := startWatcher(t, path)
	log.await(t, 1, hasHosts(path, 3))
	chance := rand.New(rand.NewSource(1))
	for round := range 6 {
		bad := "hosts: !include hall-a.yaml\n"
		for range 1 + chance.Intn(4) {
			writeFile(t, path, bad)
			time.Sleep(time.Duration(chance.Intn(4)) * settleTime) // often long enough to be read
			bad = fake.DrawBadYAML(chance, good)
		}
		ids := make([]string, 4+round) // as no list before
		for i := range ids {
			ids[i] = fmt.Sprint("host-", i)
		}
		writeFile(t, path, hostListText(ids...))
		log.await(t, 1, hasHosts(path, len(ids)))
	}
	require.True(t, slices.ContainsFunc(log.all(), hasError), "no bad file was reported")
}
