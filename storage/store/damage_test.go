package store

import (
	"context"
	"encoding/binary"
	"fmt"
	"math/rand"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	bolt "go.etcd.io/bbolt"

	"chalkring/internal/advice"
)

// snapshot is the content of a store's file and the values of its bucket "a".
type snapshot struct {
	file   []byte
	values map[string]string
}

// consecutiveSnapshots returns the states of a store before and after one write. The store has several hundred keys in a
// tree of two levels, a small bucket, and free pages.
func consecutiveSnapshots(t *testing.T) (before, after snapshot) {
	path, rng := filepath.Join(t.TempDir(), "s"), rand.New(rand.NewSource(5))
	s, _ := open(t, path, Options{})
	put := func(from, to int) {
		puts := map[string][]byte{}
		for i := from; i < to; i++ {
			puts[fmt.Sprintf("key-%d", i)] = fmt.Appendf(nil, "%d %s", rng.Int(), strings.Repeat("v", rng.Intn(200)))
		}
		puts["long"] = make([]byte, 9000+rng.Intn(9000))
		require.NoError(t, s.Put(background, "a", puts, []string{"key-7"}))
	}
	take := func() snapshot {
		values := loadAll(t, s, "a")
		file, err := os.ReadFile(path)
		require.NoError(t, err)
		return snapshot{file, values}
	}
	require.NoError(t, s.Put(background, "small", map[string][]byte{"one": []byte("1")}, nil))
	put(0, 500)
	put(100, 300)
	before = take()
	put(200, 600)
	return before, take()
}

// The outcomes of opening a damaged file.
const (
	hasNewState = "new state"
	hasOldState = "old state"
	quarantined = "quarantined"
	refused     = "refused"
)

// openDamaged opens a file with this content and returns the outcome. Any other outcome, such as a state that was never
// written, fails the test.
func openDamaged(t *testing.T, content []byte, before, after snapshot) (outcome string) {
	path := filepath.Join(t.TempDir(), "s")
	require.NoError(t, os.WriteFile(path, content, 0o600))
	var reported []error
	s, err := Open(path, Options{OnRecovery: func(err error) { reported = append(reported, err) }})
	if err != nil {
		require.True(t, advice.HasType[*UnrecognizedFileError](err) || advice.HasType[*NewerFormatError](err), "%v", err)
		left, readErr := os.ReadFile(path)
		require.NoError(t, readErr)
		require.Equal(t, content, left, "a refused file is left unchanged")
		return refused
	}
	defer func() { require.NoError(t, s.Close(background)) }()
	values := loadAll(t, s, "a")
	switch {
	case len(reported) > 0 && advice.HasType[*QuarantinedError](reported[0]):
		require.Empty(t, values)
		left, err := os.ReadFile(path + ".aside-1")
		require.NoError(t, err)
		require.Equal(t, content, left)
		outcome = quarantined
	case fmt.Sprint(values) == fmt.Sprint(after.values):
		outcome = hasNewState
	default:
		require.Equal(t, before.values, values, "a state that was never written")
		outcome = hasOldState
	}
	require.NoError(t, s.Put(background, "a", map[string][]byte{"next": {1}}, nil))
	return outcome
}

// Guards against flipped bits that crash the process or are taken for stored values.
func TestFlippedBits(t *testing.T) {
	before, after := consecutiveSnapshots(t)
	rng, outcomes := rand.New(rand.NewSource(7)), map[string]int{}
	for i := range 400 {
		content, offset := append([]byte(nil), after.file...), rng.Intn(len(after.file))
		if i%2 == 0 { // page headers and first entries, where damage can misdirect the walk over the pages
			offset = rng.Intn(len(after.file)/4096)*4096 + rng.Intn(64)
		}
		content[offset] ^= 1 << rng.Intn(8)
		outcomes[openDamaged(t, content, before, after)]++
	}
	require.Greater(t, outcomes[quarantined], 100, outcomes)
	require.Greater(t, outcomes[hasNewState], 10, "damage in free pages has no effect: %v", outcomes)
	t.Log(outcomes)
}

// Guards against a truncated file that crashes the process or is opened in an older state.
func TestTruncatedFiles(t *testing.T) {
	before, after := consecutiveSnapshots(t)
	rng, outcomes := rand.New(rand.NewSource(8)), map[string]int{}
	for _, size := range []int{0, 1, 15, 16, 79, 4095, 4096, 8192, 16384} {
		outcomes[openDamaged(t, after.file[:size], before, after)]++
	}
	for range 60 {
		outcomes[openDamaged(t, after.file[:rng.Intn(len(after.file))], before, after)]++
	}
	require.Zero(t, outcomes[hasOldState], outcomes)
	require.Greater(t, outcomes[quarantined], 30, outcomes)
}

// Guards against a mix of two states after a loss of power, which may leave any subset of the pages that were written
// since the last sync.
func TestTornPages(t *testing.T) {
	before, after := consecutiveSnapshots(t)
	before.file = append(before.file, make([]byte, max(0, len(after.file)-len(before.file)))...)
	rng, outcomes := rand.New(rand.NewSource(9)), map[string]int{}
	for i := range 200 {
		content := append([]byte(nil), before.file...)
		for offset := 0; offset < len(after.file); offset += 4096 {
			// About half of the pages are new; every fourth file has both new meta pages.
			if rng.Intn(2) == 0 || offset < 2*4096 && i%4 == 0 {
				copy(content[offset:offset+4096], after.file[offset:])
			}
		}
		outcomes[openDamaged(t, content, before, after)]++
	}
	require.Greater(t, outcomes[hasOldState], 10, outcomes)
	require.Greater(t, outcomes[quarantined], 10, "files whose meta page was written before its other pages, as without a sync: %v", outcomes)
}

// Guards against a wrong store path that overwrites or renames an unrelated file or folder.
func TestUnrecognizedFileIsRefused(t *testing.T) {
	for _, content := range []string{"hosts: []\n", strings.Repeat("a plan of some kind ", 5000)} {
		require.Equal(t, refused, openDamaged(t, []byte(content), snapshot{}, snapshot{}))
	}
	folder := filepath.Join(t.TempDir(), "d")
	require.NoError(t, os.Mkdir(folder, 0o700))
	_, err := Open(folder, Options{})
	require.True(t, advice.HasType[*UnrecognizedFileError](err), "%v", err)
}

// Guards against a downgrade that misreads a newer file, and against one that refuses a file it could read.
func TestNewerFormatIsRefusedUnlessReadable(t *testing.T) {
	for minReader, isRefused := range map[uint32]bool{currentFormat: false, currentFormat + 1: true} {
		path := filepath.Join(t.TempDir(), "s")
		s, _ := open(t, path, Options{})
		require.NoError(t, s.Put(background, "a", map[string][]byte{"k": []byte("v")}, nil))
		require.NoError(t, s.Close(background))
		db, err := bolt.Open(path, 0o600, nil)
		require.NoError(t, err)
		require.NoError(t, db.Update(func(tx *bolt.Tx) error {
			metadata := tx.Bucket([]byte(metadataBucket))
			value, _, err := decodeRecord([]byte(metadataBucket), []byte(stateKey), metadata.Get([]byte(stateKey)))
			require.NoError(t, err)
			value = append(append([]byte(nil), value...), "more"...)
			binary.LittleEndian.PutUint32(value, currentFormat+1)
			binary.LittleEndian.PutUint32(value[4:], minReader)
			record, _ := encodeRecord(metadataBucket, stateKey, value)
			return metadata.Put([]byte(stateKey), record)
		}))
		require.NoError(t, db.Close())
		s, err = Open(path, Options{})
		require.Equal(t, isRefused, advice.HasType[*NewerFormatError](err), "%v", err)
		if !isRefused {
			require.Equal(t, map[string]string{"k": "v"}, loadAll(t, s, "a"))
			require.NoError(t, s.Close(background))
		}
	}
}

// Guards against a disk that fills up with quarantined files because the store is damaged at every start.
func TestQuarantinedFilesAreLimited(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s")
	for n := range maxQuarantinedFiles + 1 {
		content := fmt.Appendf(make([]byte, 4096), "%d", n)
		byteOrder.PutUint32(content[pageHeaderBytes:], boltMagic)
		require.NoError(t, os.WriteFile(path, content, 0o600))
		s, err := Open(path, Options{})
		if n == maxQuarantinedFiles {
			require.True(t, advice.HasType[*QuarantineFullError](err), "%v", err)
			continue
		}
		require.NoError(t, err)
		require.NoError(t, s.Close(background))
		content, err = os.ReadFile(fmt.Sprintf("%s.aside-%d", path, n+1))
		require.NoError(t, err)
		require.Equal(t, byte('0'+n), content[4096])
	}
}

// Guards against a crash when an open file loses mapped pages because it was truncated. Calls must return errors, and
// the next start must quarantine the rest of the file.
func TestFileTruncatedWhileInUse(t *testing.T) {
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
	ctx, cancel := context.WithTimeout(background, time.Second)
	defer cancel()
	require.NoError(t, s.Close(ctx))
	again, reported := open(t, path, Options{})
	require.True(t, advice.HasType[*QuarantinedError](reported[0]))
	require.Empty(t, loadAll(t, again, "a"))
}
