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

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
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

// await waits until there are so many events and the last one is as wanted.
func (l *eventLog) await(t *testing.T, count int, isWanted func(e Event) bool) {
	t.Helper()
	require.Eventually(t, func() bool {
		events := l.all()
		return len(events) >= max(1, count) && isWanted(events[len(events)-1])
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

// hostListText is a host file with these ids.
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

func TestInvalidFileIsNotifiedOnceAndAValidOneSoon(t *testing.T) {
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
	require.Equal(t, before, log.count(), "an invalid file is notified once")
	writtenAt := time.Now()
	writeFile(t, path, hostListText("x", "y"))
	log.await(t, before+1, hasHosts(path, 2))
	require.Less(t, time.Since(writtenAt), 2*time.Second)
}

func TestRenamedAndRemovedFilesAreNotified(t *testing.T) {
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
	log.await(t, before+1, func(e Event) bool { return hasError(e) && strings.Contains(e.Err.Error(), "its last list holds") })
}

// A symbolic link is replaced by one to another directory, as Kubernetes does with config maps.
func TestReplacedLinksAreNotified(t *testing.T) {
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

// writeInPieces writes a file as a slow writer does.
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

// A file that is rewritten all the time is never notified half written: the hosts of a list are of one writing. Texts that
// were truncated inside a host are invalid; those truncated at the end of a line are left to package endpoints' guards, or
// to a checksum.
func TestFileThatNeverSettlesIsNotNotifiedHalfWritten(t *testing.T) {
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
