package store

import (
	"context"
	"encoding/hex"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"chalkring/internal/golden"

	"github.com/stretchr/testify/require"
	bolt "go.etcd.io/bbolt"
)

const (
	goldenFile    = "store-v1.db"
	goldenNewer   = "store-v2-required.db"
	goldenRecords = "store-v1.records.json"
)

// goldenValues are the plain values in the golden store file, by bucket and key.
var goldenValues = map[string]map[string]string{
	"alpha": {"key": "value", "empty": "", "long": strings.Repeat("0123456789abcdef", 400)},
	"beta":  {"key": "another value"},
}

var goldenEvents = []Event{
	{Sequence: 3, UnixMs: 1_700_000_000_003, Kind: "stop", Message: "planned"},
	{Sequence: 4, UnixMs: 1_700_000_000_004, Kind: "start", Message: "believes all: 3 hosts listed, notes of 2"},
	{Sequence: 5, UnixMs: 1_700_000_000_005, Kind: "list", Message: strings.Repeat("w", 240)},
}

// writeGoldenStore creates a store with overwritten and deleted keys, and an event log that has wrapped around.
func writeGoldenStore(t *testing.T, path string) {
	s, err := Open(path, Options{})
	require.NoError(t, err)
	require.NoError(t, s.Put(background, "alpha", map[string][]byte{"key": []byte("old"), "gone": []byte("x")}, nil))
	for bucket, values := range goldenValues {
		puts, deletes := map[string][]byte{}, []string(nil)
		for key, value := range values {
			puts[key] = []byte(value)
		}
		if bucket == "alpha" {
			deletes = []string{"gone"}
		}
		require.NoError(t, s.Put(background, bucket, puts, deletes))
	}
	log, err := NewEventLog(s, "events", 3)
	require.NoError(t, err)
	require.NoError(t, log.Append(background, []Event{
		{UnixMs: 1_700_000_000_000, Kind: "start", Message: "a"},
		{UnixMs: 1_700_000_000_001, Kind: "list", Message: "b"},
		{UnixMs: 1_700_000_000_002, Kind: "list", Message: "c"},
	}))
	events := append([]Event(nil), goldenEvents...)
	events[2].Message += "cut off"
	require.NoError(t, log.Append(background, events))
	require.NoError(t, s.Close(background))
}

// rawRecords reads a file's records by bucket and key with bbolt alone. The records include their checksums.
func rawRecords(t *testing.T, path string) map[string]map[string]string {
	db, err := bolt.Open(path, 0o600, nil)
	require.NoError(t, err)
	defer db.Close()
	records := map[string]map[string]string{}
	require.NoError(t, db.View(func(tx *bolt.Tx) error {
		return tx.ForEach(func(name []byte, b *bolt.Bucket) error {
			records[string(name)] = map[string]string{}
			return b.ForEach(func(k, v []byte) error {
				records[string(name)][string(k)] = hex.EncodeToString(v)
				return nil
			})
		})
	}))
	return records
}

// copyGolden copies a golden file to a temporary folder, since opening a store locks the file and may write it.
func copyGolden(t *testing.T, name string) string {
	path := filepath.Join(t.TempDir(), "store.db")
	require.NoError(t, os.WriteFile(path, golden.Read(t, name), 0o600))
	return path
}

// Guards against a change that cannot read stores of earlier versions: a file of format 1 opens without recovery and has
// the values and events that were written.
func TestGoldenStoreFile(t *testing.T) {
	if golden.Updating() {
		path := filepath.Join(t.TempDir(), "store.db")
		writeGoldenStore(t, path)
		content, err := os.ReadFile(path)
		require.NoError(t, err)
		golden.Write(t, goldenFile, content)
	}
	path := copyGolden(t, goldenFile)
	s, err := Open(path, Options{OnRecovery: func(err error) { t.Errorf("opening the golden file reported a recovery: %v", err) }})
	require.NoError(t, err)
	defer s.Close(context.Background())
	for bucket, values := range goldenValues {
		got := map[string]string{}
		require.NoError(t, s.Load(bucket, func(key string, value []byte) error { got[key] = string(value); return nil }))
		require.Equal(t, values, got)
	}
	_, found, err := s.Get("alpha", "gone")
	require.NoError(t, err)
	require.False(t, found)
	log, err := NewEventLog(s, "events", 3)
	require.NoError(t, err)
	var events []Event
	require.NoError(t, log.ForEach(0, "", func(e Event) bool { events = append(events, e); return true }))
	require.Equal(t, goldenEvents, events)
	require.NoError(t, log.Append(background, []Event{{UnixMs: 1_700_000_000_006, Kind: "stop"}}))
	events = nil
	require.NoError(t, log.ForEach(1_700_000_000_006, "stop", func(e Event) bool { events = append(events, e); return true }))
	require.Equal(t, []Event{{Sequence: 6, UnixMs: 1_700_000_000_006, Kind: "stop"}}, events, "sequence numbers continue")
	_, err = os.Stat(path + ".lock")
	require.NoError(t, err, "the lock file's name")
}

// Guards against an unintended change of the stored form: the same values written again give the same records, byte for
// byte: buckets, keys, checksums, encoded events and the state record. Page numbers and unused space are up to bbolt and
// not compared.
func TestGoldenStoreRecords(t *testing.T) {
	path := filepath.Join(t.TempDir(), "store.db")
	writeGoldenStore(t, path)
	got := rawRecords(t, path)
	golden.RequireJSON(t, goldenRecords, got)
	require.Equal(t, got, rawRecords(t, copyGolden(t, goldenFile)), "the golden file has the golden records")
}

// Guards against a program that opens or changes a file which only programs with format 2 can read.
func TestGoldenStoreFileThatNeedsNewerFormat(t *testing.T) {
	if golden.Updating() {
		path := copyGolden(t, goldenFile)
		db, err := bolt.Open(path, 0o600, nil)
		require.NoError(t, err)
		require.NoError(t, db.Update(func(tx *bolt.Tx) error {
			b := tx.Bucket([]byte("chalkring"))
			record := append([]byte(nil), b.Get([]byte("state"))[8:]...)
			record[0], record[4] = 2, 2
			newRecord, _ := encodeRecord("chalkring", "state", record)
			return b.Put([]byte("state"), newRecord)
		}))
		require.NoError(t, db.Close())
		content, err := os.ReadFile(path)
		require.NoError(t, err)
		golden.Write(t, goldenNewer, content)
	}
	path := copyGolden(t, goldenNewer)
	before, err := os.ReadFile(path)
	require.NoError(t, err)
	_, err = Open(path, Options{})
	var newer *NewerFormatError
	require.ErrorAs(t, err, &newer)
	require.Equal(t, uint32(2), newer.FileFormat)
	require.Equal(t, uint32(1), newer.SupportedFormat)
	after, err := os.ReadFile(path)
	require.NoError(t, err)
	require.Equal(t, before, after)
}

// Guards against a damaged value that is returned to callers, or a quarantined file that is changed: a file with a
// flipped bit in a value is renamed to NAME.aside-1 with its bytes unchanged.
func TestGoldenStoreFileDamaged(t *testing.T) {
	path := copyGolden(t, goldenFile)
	content, err := os.ReadFile(path)
	require.NoError(t, err)
	flipped := 0
	for offset := 0; ; {
		distance := strings.Index(string(content[offset:]), "another value")
		if distance < 0 {
			break
		}
		offset += distance
		content[offset] ^= 1
		flipped++
	}
	require.Positive(t, flipped)
	require.NoError(t, os.WriteFile(path, content, 0o600))
	var reported *QuarantinedError
	s, err := Open(path, Options{OnRecovery: func(err error) { require.ErrorAs(t, err, &reported) }})
	require.NoError(t, err)
	defer s.Close(context.Background())
	require.NotNil(t, reported)
	quarantinedContent, err := os.ReadFile(path + ".aside-1")
	require.NoError(t, err)
	require.Equal(t, content, quarantinedContent)
	require.NoError(t, s.Load("beta", func(key string, _ []byte) error { t.Errorf("%s is still there", key); return nil }))
}
