package subscribers

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"chalkring/internal/golden"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"chalkring/cluster/crdt"
	"chalkring/internal/advice"
)

// goldenRecord returns a record with a different value in each field.
func goldenRecord() Record {
	return Record{
		Consent: 11, Unsubscriptions: map[string]uint64{"n0": 12, "n1": 13}, SeenUnsubscriptions: map[string]uint64{"n0": 14, "n1": 15}, Revision: 16,
		Details:     Details{Type: "quick-picks", Query: "town:oslo", Interval: 300_000, Blocks: []int{2, 0, 1}},
		Attachments: map[string]Attachment{"eu": {Generation: 17, DetailsHash: 18}, "us": {Generation: 0, DetailsHash: 19}},
		Checkpoint:  DeliveryCheckpoint{Number: DeliveryNumber{Epoch: 20, Sequence: 21, Gateway: "n0"}, ValueHashes: map[int]uint64{0: 22, 2: 23}}, PriorHashes: []uint64{24, 25},
	}
}

// The stored form of records, gateways' status messages and file statuses must not change: other versions and older
// disks hold the same form.
func TestGoldenSubscriberRecords(t *testing.T) {
	const goldenFile = "records.cbor.txt"
	record := goldenRecord()
	least := Record{Consent: 1, Revision: 1, Details: Details{Type: "t", Interval: MinInterval}}
	unsubscribed := record.withUnsubscription("n2", 1_700_000_000_000)
	message, fileStatus := StatusMessage{View: 31, Round: 32, Epoch: 33}, FileStatus{Generation: 34, Digest: 35}
	fileStatusText, err := cbor.Marshal(fileStatus)
	require.NoError(t, err)
	var all strings.Builder
	all.WriteString(golden.CBORMessage(t, "record, every field", record.Encode()))
	all.WriteString(golden.CBORMessage(t, "record, fewest fields", least.Encode()))
	all.WriteString(golden.CBORMessage(t, "record, unsubscribed", unsubscribed.Encode()))
	all.WriteString(golden.CBORMessage(t, "word", message.Encode()))
	all.WriteString(golden.CBORMessage(t, "standing", fileStatusText))
	golden.Require(t, goldenFile, all.String())

	for name, want := range map[string]Record{"record, every field": record, "record, fewest fields": least, "record, unsubscribed": unsubscribed} {
		got, err := DecodeRecord(golden.ReadCBORMessage(t, goldenFile, name))
		require.NoError(t, err)
		require.Equal(t, want, got, name)
	}
	require.False(t, record.IsUnsubscribed())
	require.True(t, unsubscribed.IsUnsubscribed())
	require.Equal(t, message, DecodeStatusMessage(entryOf("subat/n0", StatusMessage{View: 99, Round: 31, Epoch: 99}.Encode(), golden.ReadCBORMessage(t, goldenFile, "word"))))
	require.Equal(t, fileStatus, DecodeFileStatus(entryOf("subfile/eu", golden.ReadCBORMessage(t, goldenFile, "standing"))))
	file := RegionFile{Region: "eu", Generation: 34, Digest: 35}
	activated, err := file.Activate(FileStatus{Generation: 33, Digest: 99})
	require.NoError(t, err)
	require.Equal(t, fileStatusText, activated)
}

func entryOf(name string, values ...[]byte) (entry crdt.Entry) {
	entry.Name = name
	for _, value := range values {
		entry.Siblings = append(entry.Siblings, crdt.Sibling{Value: value})
	}
	return entry
}

// Names in the shared map must not change, and neither must hashes that are stored in it or that all gateways have to
// compute alike.
func TestGoldenSubscriberNamesAndHashes(t *testing.T) {
	record := goldenRecord()
	key := Key{Tenant: "acme", ID: "s1"}
	var all strings.Builder
	fmt.Fprintln(&all, "prefixes", KeyPrefix, StatusMessageKeyPrefix, RegionFileKeyPrefix)
	fmt.Fprintln(&all, "key", key.EntryName(), key)
	fmt.Fprintf(&all, "record's form %016x\n", record.contentHash())
	fmt.Fprintf(&all, "unsubscribed record's form %016x\n", record.withUnsubscription("n0", 1).contentHash())
	fmt.Fprintf(&all, "details %016x\n", record.Details.hash())
	fmt.Fprintf(&all, "past of a changed record %016x\n", record.withDetails(Details{Type: "t", Interval: MinInterval}).withPriorHashesOf(record).PriorHashes)
	text, err := os.ReadFile(filepath.Join("testdata", "every_key.yaml"))
	require.NoError(t, err)
	file, err := ParseYAML(text)
	require.NoError(t, err)
	fmt.Fprintf(&all, "file's sum %016x, line's details %016x\n", file.Digest, file.Lines[key].detailsHash)
	list := NewList()
	_, _, _, err = list.ApplyEntry(entryOf(key.EntryName(), record.Encode()))
	require.NoError(t, err)
	fmt.Fprintf(&all, "list's sum %016x\n", list.Digest())
	fmt.Fprintln(&all, record.Describe())
	fmt.Fprintln(&all, record.withUnsubscription("n0", 1).Describe())

	members := []Member{{"n0", "eu", "eu-1", 1}, {"n1", "eu", "eu-2", 2}, {"n2", "us", "us-1", 3}}
	gateway := NewGateway(0, members[0], PlacementRules{Generation: 4})
	for now := int64(second); now < 100*second && !gateway.IsServing(); now += second {
		gateway.UpdateMembers(now, members, true)
		status, publish := gateway.Tick(now, 1_700_000_000_000)
		if !publish {
			continue
		}
		fmt.Fprintf(&all, "word %x view %016x round %d turn %d\n", status.Encode(), status.View, status.Round, status.Epoch)
		gateway.ConfirmStatusMessage(status)
		for _, member := range members[1:] {
			gateway.HandleStatusMessage(member.Name, status)
		}
	}
	require.True(t, gateway.IsServing())
	for i := range 8 {
		key := Key{Tenant: "acme", ID: fmt.Sprint("s", i)}
		gateway.SetRecord(100*second, key, Record{Consent: 1, Revision: 1, Details: Details{Type: "t", Interval: 60 * second}, Attachments: map[string]Attachment{"eu": {}}}, true)
		s := gateway.subscriptions[key]
		fmt.Fprintln(&all, "owner of", key, "is", gateway.ownerOf(s), "rank here", gateway.FileWriterRank(key), "next search here at", s.nextSearchAt)
	}
	golden.Require(t, "names.txt", all.String())
	parsed, ok := ParseKey("sub/acme/s1")
	require.True(t, ok)
	require.Equal(t, key, parsed)
}

// YAML and JSON lines that set every key, each to a different value, give the same file.
func TestGoldenSubscriberFiles(t *testing.T) {
	text, err := os.ReadFile(filepath.Join("testdata", "every_key.yaml"))
	require.NoError(t, err)
	file, err := ParseYAML(text)
	require.NoError(t, err)
	s1, s2 := Key{Tenant: "acme", ID: "s1"}, Key{Tenant: "bolt", ID: "s2"}
	require.Equal(t, "eu", file.Region)
	require.EqualValues(t, 7, file.Generation)
	require.Equal(t, "http://127.0.0.1:9300/{tenant}", file.DeliveryURL)
	require.Len(t, file.Lines, 2)
	require.Equal(t, Details{Type: "quick-picks", Query: "town:oslo", Interval: 300_000, Blocks: []int{2, 0, 1}}, file.Lines[s1].Details)
	require.EqualValues(t, 3, file.Lines[s1].Consent)
	require.Equal(t, Details{Type: "full-match", Interval: 7 * 86_400 * second}, file.Lines[s2].Details)
	require.EqualValues(t, 1, file.Lines[s2].Consent)

	lines, err := os.ReadFile(filepath.Join("testdata", "every_key.jsonl"))
	require.NoError(t, err)
	fromJSONLines, err := ParseJSONLines(lines)
	require.NoError(t, err)
	require.Equal(t, file, fromJSONLines)

	var header FileHeader
	headerLine, rest, _ := bytes.Cut(lines, []byte("\n"))
	require.NoError(t, decodeStrictJSON(headerLine, &header))
	require.Equal(t, FileHeader{Region: "eu", Generation: 7, Count: 2, Deliver: "http://127.0.0.1:9300/{tenant}"}, header)
	written, err := json.Marshal(header)
	require.NoError(t, err)
	for line := range bytes.Lines(rest) {
		var entry subscriptionEntry
		require.NoError(t, decodeStrictJSON(line, &entry))
		encoded, err := json.Marshal(entry)
		require.NoError(t, err)
		written = append(append(written, '\n'), encoded...)
	}
	golden.Require(t, "every_key.jsonl", append(written, '\n'))
}

// Error texts of both forms, with position and advice. Values of the wrong type are left out: the decoders' texts for
// them contain names of Go types.
func TestGoldenSubscriberFileFaults(t *testing.T) {
	var all strings.Builder
	for _, form := range []struct {
		name    string
		parse   func([]byte) (*RegionFile, error)
		changes [][2]string
	}{
		{"every_key.yaml", ParseYAML, [][2]string{
			{"region: eu", "region: e/u"},
			{"generation: 7", "generation: 0"},
			{"count: 2", "count: 3"},
			{"http://127.0.0.1:9300/{tenant}", "127.0.0.1"},
			{"every: 30s", "every: often"},
			{"every: 30s", "every: 500ms"},
			{"id: s1", "id: s/1"},
			{"type: quick-picks", "type: ''"},
			{"[2, 0, 1]", "[2, 2]"},
			{"consent: 3", "consent: 2000000000000"},
			{"tenant: bolt, id: s2", "tenant: acme, id: s1"},
			{"query:", "asks:"},
		}},
		{"every_key.jsonl", ParseJSONLines, [][2]string{
			{`"eu"`, `"e/u"`},
			{`"generation":7`, `"generation":0`},
			{`"count":2`, `"count":3`},
			{"http://127.0.0.1:9300/{tenant}", "127.0.0.1"},
			{`"30s"`, `"often"`},
			{`"30s"`, `"500ms"`},
			{`"s1"`, `"s/1"`},
			{`"quick-picks"`, `""`},
			{"[2,0,1]", "[2,2]"},
			{`"consent":3`, `"consent":2000000000000`},
			{`"bolt","id":"s2"`, `"acme","id":"s1"`},
			{`"query"`, `"asks"`},
			{`"region"`, `"area"`},
			{`"consent":3}`, `"consent":3}{}`},
		}},
	} {
		text, err := os.ReadFile(filepath.Join("testdata", form.name))
		require.NoError(t, err)
		for _, change := range form.changes {
			require.Contains(t, string(text), change[0])
			_, err := form.parse([]byte(strings.Replace(string(text), change[0], change[1], 1)))
			require.Error(t, err, change[1])
			fmt.Fprintf(&all, "%s: %s -> %s\n  %s\n", form.name, change[0], change[1], strings.ReplaceAll(advice.Describe(err), "\n", "\n  "))
		}
	}
	golden.Require(t, "file_faults.txt", all.String())
}

// Errors that are logged or returned by a call, with their advice.
func TestGoldenSubscriberErrors(t *testing.T) {
	key := Key{Tenant: "acme", ID: "s1"}
	var all strings.Builder
	for _, err := range []error{
		&InvalidRecordError{Name: "sub/acme/s1", Reason: "why"}, &InvalidSubscriptionError{Key: key, Reason: "why"}, &NotSubscribedError{Key: key, UnsubscribedConsent: 2},
		&NotSubscribedError{Key: key}, &ListFullError{Count: 1, Max: 2}, &StaleFileError{Region: "eu", Generation: 1, CurrentGeneration: 2},
		&StaleFileError{Region: "eu", Generation: 2, CurrentGeneration: 2}, &StaleLineError{Key: key, LineConsent: 1, UnsubscribedConsent: 2}, &InvalidLineError{Line: 3, Reason: "why"},
	} {
		fmt.Fprintln(&all, advice.Describe(err))
	}
	for _, text := range [][]byte{
		make([]byte, 8<<10+1),
		{0xff},
		Record{Consent: 0}.Encode(),
		Record{Consent: 1, Details: Details{Type: "t", Interval: 1}}.Encode(), Record{Consent: 1, PriorHashes: make([]uint64, 9)}.Encode(),
	} {
		_, err := DecodeRecord(text)
		require.Error(t, err)
		fmt.Fprintln(&all, err)
	}
	_, err := ResolveEntry(entryOf(key.EntryName(), []byte{0xff}))
	fmt.Fprintln(&all, err)
	number, err := json.Marshal(DeliveryNumber{Epoch: 1, Sequence: 2, Gateway: "n0"})
	require.NoError(t, err)
	fmt.Fprintf(&all, "%s\n", number)
	golden.Require(t, "errors.txt", all.String())
}
