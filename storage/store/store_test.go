package store

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"chalkring/internal/advice"
)

var background = context.Background()

// open opens a store that is closed at the end of the test. It also returns the errors that Open passed to
// Options.OnRecovery.
func open(t testing.TB, path string, options Options) (*Store, []error) {
	var reported []error
	options.OnRecovery = func(err error) { reported = append(reported, err) }
	s, err := Open(path, options)
	require.NoError(t, err)
	t.Cleanup(func() { s.Close(background) })
	return s, reported
}

func loadAll(t require.TestingT, s *Store, bucket string) map[string]string {
	values := map[string]string{}
	require.NoError(t, s.Load(bucket, func(key string, value []byte) error { values[key] = string(value); return nil }))
	return values
}

// Guards against two processes, or two Stores of one process, that write the same file.
func TestOnlyOneProcessOpensAStore(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s")
	child, lines := startChild(t, "write", path)
	require.True(t, lines.Scan())
	_, err := Open(path, Options{LockTimeout: 50 * time.Millisecond})
	require.True(t, advice.HasType[*LockedError](err), "%v", err)
	require.NoError(t, child.Process.Kill())
	require.Error(t, child.Wait(), "the child was killed")
	s, _ := open(t, path, Options{})
	_, err = Open(path, Options{LockTimeout: 50 * time.Millisecond})
	require.True(t, advice.HasType[*LockedError](err), "%v", err)
	require.NoError(t, s.Close(background))
	require.Error(t, s.Put(background, "a", map[string][]byte{"k": nil}, nil))
}

// Guards against missing write permission that is reported as another error, whose advice would not help.
func TestReadOnlyFolder(t *testing.T) {
	folder := t.TempDir()
	require.NoError(t, os.Chmod(filepath.Dir(folder), 0o755))
	require.NoError(t, os.Chmod(folder, 0o555))
	defer func() { require.NoError(t, os.Chmod(folder, 0o755)) }()
	runtime.LockOSThread() // never unlocked: the thread, whose user is changed below, ends with the test
	if os.Getuid() == 0 {  // root may write anywhere
		require.NoError(t, syscall.Setfsuid(65534))
		defer func() { require.NoError(t, syscall.Setfsuid(0)) }()
	}
	_, err := Open(filepath.Join(folder, "s"), Options{})
	require.True(t, advice.HasType[*ReadOnlyError](err), "%v", err)
	require.NotEmpty(t, advice.For(err))
}

// Guards against a disk that does not answer and blocks reads, Close or other writes beyond the end of their contexts.
func TestSlowDiskDelaysNeitherReadsNorClose(t *testing.T) {
	diskReady := make(chan struct{})
	s, _ := open(t, filepath.Join(t.TempDir(), "s"), Options{BeforeWrite: func(string) error { <-diskReady; return nil }})
	shortContext := func() context.Context {
		ctx, cancel := context.WithTimeout(background, 20*time.Millisecond)
		t.Cleanup(cancel)
		return ctx
	}
	for range 2 { // the first write is in progress, the second waits for it
		err := s.Put(shortContext(), "a", map[string][]byte{"k": []byte("v")}, nil)
		require.True(t, advice.HasType[*WriteTimeoutError](err), "%v", err)
	}
	require.Empty(t, loadAll(t, s, "a"))
	require.True(t, advice.HasType[*WriteTimeoutError](s.Close(shortContext())))
	close(diskReady)
	require.NoError(t, s.Put(background, "a", map[string][]byte{"l": []byte("w")}, nil))
	require.Equal(t, map[string]string{"k": "v", "l": "w"}, loadAll(t, s, "a"))
}

// Guards against names that cannot be stored and against unlimited growth: a write beyond a limit is refused, and
// deletes make space again.
func TestLimits(t *testing.T) {
	s, _ := open(t, filepath.Join(t.TempDir(), "s"), Options{MaxBytes: 1 << 20})
	for _, name := range []struct{ bucket, key string }{{"", "k"}, {metadataBucket, "k"}, {"a", ""}, {"a", strings.Repeat("k", MaxKeyBytes+1)}} {
		err := s.Put(background, name.bucket, map[string][]byte{name.key: nil}, nil)
		require.True(t, advice.HasType[*SizeLimitError](err), "%v: %v", name, err)
	}
	var err error
	puts := 0
	for ; err == nil && puts < 100; puts++ {
		err = s.Put(background, "a", map[string][]byte{fmt.Sprint(puts): make([]byte, 50_000)}, nil)
	}
	require.True(t, advice.HasType[*SizeLimitError](err), "%v", err)
	require.NoError(t, s.Put(background, "a", nil, []string{"0", "1", "2", "3", "4"}), "a full store accepts deletes")
	require.Len(t, loadAll(t, s, "a"), puts-1-5)
}

// Guards against lost or resurrected values, and against an undamaged file that the inspection rejects, after any sequence
// of writes, failed writes and restarts.
func TestRandomHistories(t *testing.T) {
	folder, runs := t.TempDir(), 0
	rapid.Check(t, func(t *rapid.T) {
		runs++
		path := filepath.Join(folder, fmt.Sprint(runs))
		var diskErr error
		options := Options{OnRecovery: func(err error) { t.Fatalf("%v", err) }, BeforeWrite: func(string) error { return diskErr }}
		s, err := Open(path, options)
		require.NoError(t, err)
		defer func() { s.Close(background); os.Remove(path) }()
		want := map[string]string{}
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				require.NoError(t, s.Close(background))
				s, err = Open(path, options)
				require.NoError(t, err)
			case 1:
				diskErr = rapid.SampledFrom([]error{syscall.EIO, syscall.ENOSPC, errors.New("any")}).Draw(t, "disk error")
				require.Error(t, s.Put(background, "a", map[string][]byte{"0": {0}}, nil))
				diskErr = nil
			default:
				puts, deletes := drawWrite(t)
				for _, key := range deletes {
					delete(want, key)
				}
				for key, value := range puts {
					want[key] = string(value)
				}
				require.NoError(t, s.Put(background, "a", puts, deletes))
			}
			require.Equal(t, want, loadAll(t, s, "a"))
		}
	})
}

func drawWrite(t *rapid.T) (puts map[string][]byte, deletes []string) {
	puts = map[string][]byte{}
	size := rapid.IntRange(0, 400).Draw(t, "size")
	firstPut := rapid.IntRange(0, 300).Draw(t, "first put")
	for i := range rapid.IntRange(1, 200).Draw(t, "puts") {
		puts[fmt.Sprint(firstPut+i)] = make([]byte, size)
	}
	firstDelete := rapid.IntRange(0, 300).Draw(t, "first delete")
	for i := range rapid.IntRange(0, 200).Draw(t, "deletes") {
		deletes = append(deletes, fmt.Sprint(firstDelete+i))
	}
	return puts, deletes
}

// Guards against a file that stays large after most of its values were deleted.
func TestOpenCompactsTheFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s")
	fileSize := func() int64 {
		info, err := os.Stat(path)
		require.NoError(t, err)
		return info.Size()
	}
	s, _ := open(t, path, Options{})
	puts, keys := map[string][]byte{}, []string{}
	for i := range 4000 {
		keys = append(keys, fmt.Sprint(i))
		puts[keys[i]] = make([]byte, 1000)
	}
	require.NoError(t, s.Put(background, "a", puts, nil))
	require.NoError(t, s.Put(background, "a", nil, keys[10:]))
	want, sizeBefore := loadAll(t, s, "a"), fileSize()
	require.NoError(t, s.Close(background))
	s, _ = open(t, path, Options{})
	require.Less(t, fileSize(), sizeBefore/4)
	require.Equal(t, want, loadAll(t, s, "a"))
	require.NoError(t, s.Put(background, "a", puts, nil))
}

func BenchmarkOpen(b *testing.B) {
	path := filepath.Join(b.TempDir(), "s")
	s, _ := open(b, path, Options{})
	puts := map[string][]byte{}
	for i := range 100_000 {
		puts[fmt.Sprintf("entry-%06d", i)] = make([]byte, 200)
	}
	start := time.Now()
	require.NoError(b, s.Put(background, "a", puts, nil))
	b.ReportMetric(float64(time.Since(start).Milliseconds()), "ms/put")
	require.NoError(b, s.Close(background))
	for b.Loop() {
		s, err := Open(path, Options{})
		require.NoError(b, err)
		s.Close(background)
	}
}
