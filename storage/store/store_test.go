package store

import (
	"bufio"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"math/rand"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	bolt "go.etcd.io/bbolt"
	"pgregory.net/rapid"

	"chalkring/internal/advice"
)

var background = context.Background()

// TestMain is also the child that tests kill, or whose disk they fill.
func TestMain(m *testing.M) {
	switch path := os.Getenv("STORE_CHILD_PATH"); os.Getenv("STORE_CHILD") {
	case "":
		os.Exit(m.Run())
	case "write":
		childWrites(path)
	case "full":
		childFills(path)
	}
}

const together = 9 // keys that a child's transaction writes alike

// childWrites writes numbers that rise, and tells each once it is told as written.
func childWrites(path string) {
	s, err := Open(path, Options{})
	if err != nil {
		fmt.Println("error", err)
		return
	}
	n := 0
	s.Load("n", func(_ string, v []byte) error { n, _ = strconv.Atoi(string(v[:10])); return nil })
	fmt.Println("open", n)
	for chance := rand.New(rand.NewSource(int64(n))); ; {
		n++
		puts := map[string][]byte{}
		for k := range together {
			puts[fmt.Sprint("k", k)] = fmt.Appendf(nil, "%010d%s", n, strings.Repeat("x", chance.Intn(3000)))
		}
		if err := s.Put(background, "n", puts, nil); err != nil {
			fmt.Println("error", err)
			return
		}
		fmt.Println("told", n)
	}
}

func child(t *testing.T, what, path string) (*exec.Cmd, *bufio.Scanner) {
	c := exec.Command(os.Args[0])
	c.Env = append(os.Environ(), "STORE_CHILD="+what, "STORE_CHILD_PATH="+path)
	out, err := c.StdoutPipe()
	require.NoError(t, err)
	require.NoError(t, c.Start())
	t.Cleanup(func() { c.Process.Kill(); c.Wait() })
	return c, bufio.NewScanner(out)
}

func open(t testing.TB, path string, o Options) (*Store, []error) {
	var told []error
	o.OnRecovery = func(err error) { told = append(told, err) }
	s, err := Open(path, o)
	require.NoError(t, err)
	t.Cleanup(func() { s.Close(background) })
	return s, told
}

func all(t require.TestingT, s *Store, bucket string) map[string]string {
	m := map[string]string{}
	require.NoError(t, s.Load(bucket, func(k string, v []byte) error { m[k] = string(v); return nil }))
	return m
}

func TestKilledAnywhereItHoldsAWholeStateAndAllThatWasTold(t *testing.T) {
	path, chance, last := filepath.Join(t.TempDir(), "s"), rand.New(rand.NewSource(31)), 0
	for range 100 {
		c, lines := child(t, "write", path)
		for at := chance.Intn(6); at >= 0 && lines.Scan(); at-- {
			var kind string
			var n int
			fmt.Sscan(lines.Text(), &kind, &n)
			require.NotEqual(t, "error", kind, lines.Text())
			last = max(last, n)
		}
		time.Sleep(time.Duration(chance.Intn(3000)) * time.Microsecond) // the point of the kill is what is drawn
		require.NoError(t, c.Process.Kill())
		for lines.Scan() {
			fmt.Sscanf(lines.Text(), "told %d", &last)
		}
		c.Wait()
		s, told := open(t, path, Options{})
		require.Empty(t, told)
		m, seen := all(t, s, "n"), map[string]bool{}
		for _, v := range m {
			seen[v[:10]] = true
		}
		if last > 0 {
			require.Len(t, m, together)
			require.Len(t, seen, 1, "a mixed state")
			n, _ := strconv.Atoi(m["k0"][:10])
			require.True(t, n == last || n == last+1, "%d was told as written, %d is there", last, n)
			last = n
		}
		require.NoError(t, s.Close(background))
	}
	require.Greater(t, last, 100)
}

// childFills writes until its files may not grow, then goes on once they may.
func childFills(path string) {
	signal.Ignore(syscall.SIGXFSZ)
	s, err := Open(path, Options{})
	fmt.Println("open", err)
	var was syscall.Rlimit
	syscall.Getrlimit(syscall.RLIMIT_FSIZE, &was)
	syscall.Setrlimit(syscall.RLIMIT_FSIZE, &syscall.Rlimit{Cur: 300 << 10, Max: was.Max})
	n, tries := 0, 0
	for err = nil; err == nil && tries < 1000; tries++ {
		if err = s.Put(background, "n", map[string][]byte{fmt.Sprintf("%04d", n): make([]byte, 9000)}, nil); err == nil {
			n++
		}
	}
	again := s.Put(background, "n", map[string][]byte{"again": make([]byte, 90000)}, nil)
	held := 0
	read := s.Load("n", func(string, []byte) error { held++; return nil })
	fmt.Println("full", advice.HasType[*DiskFullError](err), advice.HasType[*DiskFullError](again), held == n, read)
	syscall.Setrlimit(syscall.RLIMIT_FSIZE, &was)
	err = s.Put(background, "n", map[string][]byte{"after": {1}}, nil)
	fmt.Println("after", err, n)
}

func TestAFullDiskTakesNothingAndLosesNothing(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s")
	c, lines := child(t, "full", path)
	var got []string
	for lines.Scan() {
		got = append(got, lines.Text())
	}
	require.NoError(t, c.Wait())
	require.Len(t, got, 3)
	require.Equal(t, []string{"open <nil>", "full true true true <nil>"}, got[:2])
	var n int
	_, err := fmt.Sscanf(got[2], "after <nil> %d", &n)
	require.NoError(t, err, got[2])
	s, told := open(t, path, Options{})
	require.Empty(t, told)
	require.Len(t, all(t, s, "n"), n+1)
	require.Greater(t, n, 5)
}

// filled is a store's file with some hundred keys in trees of two levels, one small bucket and pages that are free,
// and the file as it was one write before.
func filled(t *testing.T) (before, after []byte, was, is map[string]string) {
	path, chance := filepath.Join(t.TempDir(), "s"), rand.New(rand.NewSource(5))
	s, _ := open(t, path, Options{})
	put := func(from, to int) {
		puts := map[string][]byte{}
		for i := from; i < to; i++ {
			puts[fmt.Sprintf("key-%d", i)] = fmt.Appendf(nil, "%d %s", chance.Int(), strings.Repeat("v", chance.Intn(200)))
		}
		puts["long"] = make([]byte, 9000+chance.Intn(9000))
		require.NoError(t, s.Put(background, "a", puts, []string{"key-7"}))
	}
	require.NoError(t, s.Put(background, "small", map[string][]byte{"one": []byte("1")}, nil))
	put(0, 500)
	put(100, 300)
	was = all(t, s, "a")
	before, err := os.ReadFile(path)
	require.NoError(t, err)
	put(200, 600)
	is = all(t, s, "a")
	after, err = os.ReadFile(path)
	require.NoError(t, err)
	return before, after, was, is
}

// holds opens a file of these bytes and tells what came of it: whole, before, aside or refused. Anything else fails.
func holds(t *testing.T, text []byte, was, is map[string]string) string {
	path := filepath.Join(t.TempDir(), "s")
	require.NoError(t, os.WriteFile(path, text, 0o600))
	var told []error
	s, err := Open(path, Options{OnRecovery: func(err error) { told = append(told, err) }})
	if err != nil {
		require.True(t, advice.HasType[*UnrecognizedFileError](err) || advice.HasType[*NewerFormatError](err), "%v", err)
		left, _ := os.ReadFile(path)
		require.Equal(t, text, left, "a file that was refused is left alone")
		return "refused"
	}
	defer func() { require.NoError(t, s.Close(background)) }()
	m, how := all(t, s, "a"), ""
	switch {
	case len(told) > 0 && advice.HasType[*QuarantinedError](told[0]):
		require.Empty(t, m)
		left, err := os.ReadFile(path + ".aside-1")
		require.NoError(t, err)
		require.Equal(t, text, left)
		how = "aside"
	case fmt.Sprint(m) == fmt.Sprint(is):
		how = "whole"
	default:
		require.Equal(t, was, m, "a state that nobody wrote")
		how = "before"
	}
	require.NoError(t, s.Put(background, "a", map[string][]byte{"then": {1}}, nil))
	return how
}

func TestFlippedBits(t *testing.T) {
	_, after, was, is := filled(t)
	chance, came := rand.New(rand.NewSource(7)), map[string]int{}
	for i := range 400 {
		text, at := append([]byte(nil), after...), chance.Intn(len(after))
		if i%2 == 0 { // heads of pages and their first entries are where a walk can be led astray
			at = chance.Intn(len(after)/4096)*4096 + chance.Intn(64)
		}
		text[at] ^= 1 << chance.Intn(8)
		came[holds(t, text, was, is)]++
	}
	require.Greater(t, came["aside"], 100, came)
	require.Greater(t, came["whole"], 10, came) // pages that are free
	t.Log(came)
}

func TestTruncatedFiles(t *testing.T) {
	_, after, was, is := filled(t)
	chance, came := rand.New(rand.NewSource(8)), map[string]int{}
	for _, n := range []int{0, 1, 15, 16, 79, 4095, 4096, 8192, 16384} {
		came[holds(t, after[:n], was, is)]++
	}
	for range 60 {
		came[holds(t, after[:chance.Intn(len(after))], was, is)]++
	}
	require.Zero(t, came["before"], came)
	require.Greater(t, came["aside"], 30, came)
}

// A loss of power leaves any of the pages that were written since the last sync, or none.
func TestTornPages(t *testing.T) {
	before, after, was, is := filled(t)
	before = append(before, make([]byte, max(0, len(after)-len(before)))...)
	chance, came := rand.New(rand.NewSource(9)), map[string]int{}
	for i := range 200 {
		text := append([]byte(nil), before...)
		for p := 0; p < len(after); p += 4096 {
			if chance.Intn(2) == 0 || p < 2*4096 && i%4 == 0 {
				copy(text[p:p+4096], after[p:])
			}
		}
		came[holds(t, text, was, is)]++
	}
	require.Greater(t, came["before"], 10, came)
	require.Greater(t, came["aside"], 10, came) // a head came to the disk before its pages: the disk lied about a sync
}

func TestWhatIsNotOursIsLeftAlone(t *testing.T) {
	for _, text := range []string{"hosts: []\n", strings.Repeat("a plan of some kind ", 5000)} {
		require.Equal(t, "refused", holds(t, []byte(text), nil, nil))
	}
	dir := filepath.Join(t.TempDir(), "d")
	require.NoError(t, os.Mkdir(dir, 0o700))
	_, err := Open(dir, Options{})
	require.True(t, advice.HasType[*UnrecognizedFileError](err), "%v", err)
}

func TestANewerFormatIsRefusedUnlessItSaysThatItCanBeRead(t *testing.T) {
	for least, refused := range map[uint32]bool{currentFormat: false, currentFormat + 1: true} {
		path := filepath.Join(t.TempDir(), "s")
		s, _ := open(t, path, Options{})
		require.NoError(t, s.Put(background, "a", map[string][]byte{"k": []byte("v")}, nil))
		require.NoError(t, s.Close(background))
		db, err := bolt.Open(path, 0o600, nil)
		require.NoError(t, err)
		require.NoError(t, db.Update(func(tx *bolt.Tx) error {
			own := tx.Bucket([]byte(metadataBucket))
			value, _, _ := decodeRecord([]byte(metadataBucket), []byte(stateKey), own.Get([]byte(stateKey)))
			value = append(append([]byte(nil), value...), "more"...)
			binary.LittleEndian.PutUint32(value, currentFormat+1)
			binary.LittleEndian.PutUint32(value[4:], least)
			record, _ := encodeRecord(metadataBucket, stateKey, value)
			return own.Put([]byte(stateKey), record)
		}))
		require.NoError(t, db.Close())
		s, err = Open(path, Options{})
		require.Equal(t, refused, advice.HasType[*NewerFormatError](err), "%v", err)
		if !refused {
			require.Equal(t, map[string]string{"k": "v"}, all(t, s, "a"))
			require.NoError(t, s.Close(background))
		}
	}
}

func TestOneProcessAtATime(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s")
	c, lines := child(t, "write", path)
	require.True(t, lines.Scan())
	_, err := Open(path, Options{LockTimeout: 50 * time.Millisecond})
	require.True(t, advice.HasType[*LockedError](err), "%v", err)
	require.NoError(t, c.Process.Kill())
	c.Wait()
	s, _ := open(t, path, Options{})
	_, err = Open(path, Options{LockTimeout: 50 * time.Millisecond})
	require.True(t, advice.HasType[*LockedError](err), "%v", err)
	require.NoError(t, s.Close(background))
	require.Error(t, s.Put(background, "a", map[string][]byte{"k": nil}, nil))
}

func TestAFolderThatMayNotBeWritten(t *testing.T) {
	dir := t.TempDir()
	require.NoError(t, os.Chmod(filepath.Dir(dir), 0o755))
	require.NoError(t, os.Chmod(dir, 0o555))
	defer os.Chmod(dir, 0o755)
	runtime.LockOSThread() // and is never unlocked: the thread ends with the test
	if os.Getuid() == 0 {
		require.NoError(t, syscall.Setfsuid(65534)) // root may write anywhere
		defer syscall.Setfsuid(0)
	}
	_, err := Open(filepath.Join(dir, "s"), Options{})
	require.True(t, advice.HasType[*ReadOnlyError](err), "%v", err)
	require.NotEmpty(t, advice.For(err))
}

func TestASlowDiskHoldsUpNoReaderAndNoStop(t *testing.T) {
	held := make(chan struct{})
	s, _ := open(t, filepath.Join(t.TempDir(), "s"), Options{BeforeWrite: func(string) error { <-held; return nil }})
	short := func() context.Context {
		ctx, cancel := context.WithTimeout(background, 20*time.Millisecond)
		t.Cleanup(cancel)
		return ctx
	}
	for range 2 { // one that is on its way, one that waits for it
		require.True(t, advice.HasType[*WriteTimeoutError](s.Put(short(), "a", map[string][]byte{"k": []byte("v")}, nil)))
	}
	require.Empty(t, all(t, s, "a"))
	require.True(t, advice.HasType[*WriteTimeoutError](s.Close(short())))
	close(held)
	require.NoError(t, s.Put(background, "a", map[string][]byte{"l": []byte("w")}, nil))
	require.Equal(t, map[string]string{"k": "v", "l": "w"}, all(t, s, "a"))
}

func TestNamesForWhatIsPutAsideAreCounted(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s")
	for n := range maxQuarantinedFiles + 1 {
		text := fmt.Appendf(make([]byte, 4096), "%d", n)
		byteOrder.PutUint32(text[pageHeaderBytes:], boltMagic)
		require.NoError(t, os.WriteFile(path, text, 0o600))
		s, err := Open(path, Options{})
		if n == maxQuarantinedFiles {
			require.True(t, advice.HasType[*QuarantineFullError](err), "%v", err)
			continue
		}
		require.NoError(t, err)
		require.NoError(t, s.Close(background))
		text, err = os.ReadFile(fmt.Sprintf("%s.aside-%d", path, n+1))
		require.NoError(t, err)
		require.Equal(t, byte('0'+n), text[4096])
	}
}

func TestBounds(t *testing.T) {
	s, _ := open(t, filepath.Join(t.TempDir(), "s"), Options{MaxBytes: 1 << 20})
	for _, c := range []struct{ bucket, key string }{{"", "k"}, {metadataBucket, "k"}, {"a", ""}, {"a", strings.Repeat("k", MaxKeyBytes+1)}} {
		require.True(t, advice.HasType[*SizeLimitError](s.Put(background, c.bucket, map[string][]byte{c.key: nil}, nil)))
	}
	err := error(nil)
	n := 0
	for ; err == nil && n < 100; n++ {
		err = s.Put(background, "a", map[string][]byte{fmt.Sprint(n): make([]byte, 50_000)}, nil)
	}
	require.True(t, advice.HasType[*SizeLimitError](err), "%v", err)
	require.NoError(t, s.Put(background, "a", nil, []string{"0", "1", "2", "3", "4"}))
	require.Len(t, all(t, s, "a"), n-1-5)
}

// Any sequence of writes, failures of the disk and restarts leads to what was told as written, in files that a look
// finds whole and that do not grow without end.
func TestDrawnHistories(t *testing.T) {
	dir, runs := t.TempDir(), 0
	rapid.Check(t, func(t *rapid.T) {
		runs++
		path, fails := filepath.Join(dir, fmt.Sprint(runs)), error(nil)
		o := Options{OnRecovery: func(err error) { t.Fatalf("%v", err) }, BeforeWrite: func(string) error { return fails }}
		s, err := Open(path, o)
		require.NoError(t, err)
		defer func() { s.Close(background); os.Remove(path) }()
		model := map[string]string{}
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				require.NoError(t, s.Close(background))
				if s, err = Open(path, o); err != nil {
					t.Fatalf("%v", err)
				}
			case 1:
				fails = rapid.SampledFrom([]error{syscall.EIO, syscall.ENOSPC, errors.New("any")}).Draw(t, "fails")
				require.Error(t, s.Put(background, "a", map[string][]byte{"0": {0}}, nil))
				fails = nil
			default:
				puts, deletes := map[string][]byte{}, []string{}
				size := rapid.IntRange(0, 400).Draw(t, "size")
				from := rapid.IntRange(0, 300).Draw(t, "from")
				for i := range rapid.IntRange(1, 200).Draw(t, "puts") {
					puts[fmt.Sprint(from+i)] = make([]byte, size)
				}
				gone := rapid.IntRange(0, 300).Draw(t, "gone")
				for i := range rapid.IntRange(0, 200).Draw(t, "deletes") {
					deletes = append(deletes, fmt.Sprint(gone+i))
					delete(model, fmt.Sprint(gone+i))
				}
				for k, v := range puts {
					model[k] = string(v)
				}
				require.NoError(t, s.Put(background, "a", puts, deletes))
			}
			require.Equal(t, model, all(t, s, "a"))
		}
	})
}

func BenchmarkOpen(b *testing.B) {
	path := filepath.Join(b.TempDir(), "s")
	s, _ := open(b, path, Options{})
	puts := map[string][]byte{}
	for i := range 100_000 {
		puts[fmt.Sprintf("entry-%06d", i)] = make([]byte, 200)
	}
	began := time.Now()
	require.NoError(b, s.Put(background, "a", puts, nil))
	b.ReportMetric(float64(time.Since(began).Milliseconds()), "ms/put")
	require.NoError(b, s.Close(background))
	for b.Loop() {
		s, err := Open(path, Options{})
		require.NoError(b, err)
		s.Close(background)
	}
}

func TestAJournalGoesOnAndIsBounded(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s")
	for run := range 3 {
		s, _ := open(t, path, Options{})
		j, err := NewEventLog(s, "events", 10)
		require.NoError(t, err)
		for i := range 3 {
			at := int64(100*run + i)
			require.NoError(t, j.Append(background, []Event{{UnixMs: at, Kind: "start", Message: strings.Repeat("w", 1000)}, {UnixMs: at, Kind: "list", Message: "b"}}))
		}
		if run == 2 {
			var all []uint64
			require.NoError(t, j.ForEach(0, "", func(e Event) bool { all = append(all, e.Sequence); return true }))
			require.Equal(t, []uint64{8, 9, 10, 11, 12, 13, 14, 15, 16, 17}, all)
			n := 0
			require.NoError(t, j.ForEach(201, "start", func(e Event) bool { n++; return len(e.Message) == maxMessageBytes }))
			require.Equal(t, 2, n)
		}
		require.NoError(t, s.Close(background))
	}
}

// A start gives back what is not in use.
func TestAStartGivesRoomBack(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s")
	size := func() int64 {
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
	want, before := all(t, s, "a"), size()
	require.NoError(t, s.Close(background))
	s, _ = open(t, path, Options{})
	require.Less(t, size(), before/4)
	require.Equal(t, want, all(t, s, "a"))
	require.NoError(t, s.Put(background, "a", puts, nil))
}

// A file that is cut while it is in use, by hand or by its disk: what is mapped is not there any more. That is an error
// and not the end of the process; the next start puts the rest aside.
func TestAFileThatIsCutWhileInUse(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s")
	s, _ := open(t, path, Options{})
	puts := map[string][]byte{}
	for i := range 200 {
		puts[fmt.Sprint(i)] = make([]byte, 1000)
	}
	require.NoError(t, s.Put(background, "a", puts, nil))
	require.NoError(t, os.Truncate(path, 8192))
	require.True(t, advice.HasType[*CorruptedError](s.Load("a", func(string, []byte) error { return nil })))
	require.True(t, advice.HasType[*CorruptedError](s.Put(background, "a", puts, nil)))
	require.True(t, advice.HasType[*CorruptedError](s.Put(background, "a", puts, nil)))
	ctx, stop := context.WithTimeout(background, time.Second)
	defer stop()
	require.NoError(t, s.Close(ctx))
	again, told := open(t, path, Options{})
	require.True(t, advice.HasType[*QuarantinedError](told[0]))
	require.Empty(t, all(t, again, "a"))
}
