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

// goldenRecord is a record with another value in each field.
func goldenRecord() Record {
	return Record{
		Consent: 11, Unsubscriptions: map[string]uint64{"n0": 12, "n1": 13}, SeenUnsubscriptions: map[string]uint64{"n0": 14, "n1": 15}, Revision: 16,
		Details:     Details{Type: "quick-picks", Query: "town:oslo", Interval: 300_000, Blocks: []int{2, 0, 1}},
		Attachments: map[string]Attachment{"eu": {Generation: 17, DetailsHash: 18}, "us": {Generation: 0, DetailsHash: 19}},
		Checkpoint:  DeliveryCheckpoint{Number: DeliveryNumber{Epoch: 20, Sequence: 21, Gateway: "n0"}, Values: map[int]uint64{0: 22, 2: 23}}, PriorHashes: []uint64{24, 25},
	}
}

// Records, gateways' words and files' standings as the ledger of today's build holds them.
func TestGoldenSubscriberRecords(t *testing.T) {
	const file = "records.cbor.txt"
	record := goldenRecord()
	least := Record{Consent: 1, Revision: 1, Details: Details{Type: "t", Interval: MinInterval}}
	gone := record.withUnsubscription("n2", 1_700_000_000_000)
	word, standing := StatusMessage{View: 31, Round: 32, Epoch: 33}, FileStatus{Generation: 34, Digest: 35}
	standingText, err := cbor.Marshal(standing)
	require.NoError(t, err)
	var all strings.Builder
	all.WriteString(golden.CBORMessage(t, "record, every field", record.Encode()))
	all.WriteString(golden.CBORMessage(t, "record, fewest fields", least.Encode()))
	all.WriteString(golden.CBORMessage(t, "record, unsubscribed", gone.Encode()))
	all.WriteString(golden.CBORMessage(t, "word", word.Encode()))
	all.WriteString(golden.CBORMessage(t, "standing", standingText))
	golden.Require(t, file, all.String())

	for name, want := range map[string]Record{"record, every field": record, "record, fewest fields": least, "record, unsubscribed": gone} {
		got, err := DecodeRecord(golden.ReadCBORMessage(t, file, name))
		require.NoError(t, err)
		require.Equal(t, want, got, name)
	}
	require.False(t, record.IsUnsubscribed())
	require.True(t, gone.IsUnsubscribed())
	require.Equal(t, word, DecodeStatusMessage(entryOf("subat/n0", StatusMessage{View: 99, Round: 31, Epoch: 99}.Encode(), golden.ReadCBORMessage(t, file, "word"))))
	require.Equal(t, standing, DecodeFileStatus(entryOf("subfile/eu", golden.ReadCBORMessage(t, file, "standing"))))
	f := RegionFile{Region: "eu", Generation: 34, Digest: 35}
	admitted, err := f.Admit(FileStatus{Generation: 33, Digest: 99})
	require.NoError(t, err)
	require.Equal(t, standingText, admitted)
}

func entryOf(name string, values ...[]byte) (e crdt.Entry) {
	e.Name = name
	for _, value := range values {
		e.Siblings = append(e.Siblings, crdt.Sibling{Value: value})
	}
	return e
}

// Names of the ledger, and hashes that are kept in it or that all gateways have to work out alike.
func TestGoldenSubscriberNamesAndHashes(t *testing.T) {
	record := goldenRecord()
	key := Key{Tenant: "acme", ID: "s1"}
	var all strings.Builder
	fmt.Fprintln(&all, "prefixes", KeyPrefix, StatusMessageKeyPrefix, RegionFileKeyPrefix)
	fmt.Fprintln(&all, "key", key.LedgerKey(), key)
	fmt.Fprintf(&all, "record's form %016x\n", record.contentHash())
	fmt.Fprintf(&all, "unsubscribed record's form %016x\n", record.withUnsubscription("n0", 1).contentHash())
	fmt.Fprintf(&all, "details %016x\n", record.Details.hash())
	fmt.Fprintf(&all, "past of a changed record %016x\n", record.withDetails(Details{Type: "t", Interval: MinInterval}).withPriorHashesOf(record).PriorHashes)
	text, err := os.ReadFile(filepath.Join("testdata", "every_key.yaml"))
	require.NoError(t, err)
	f, err := ParseYAML(text)
	require.NoError(t, err)
	fmt.Fprintf(&all, "file's sum %016x, line's details %016x\n", f.Digest, f.Lines[key].detailsHash)
	list := NewList()
	_, _, _, err = list.ApplyEntry(entryOf(key.LedgerKey(), record.Encode()))
	require.NoError(t, err)
	fmt.Fprintf(&all, "list's sum %016x\n", list.Digest())
	fmt.Fprintln(&all, record.Describe())
	fmt.Fprintln(&all, record.withUnsubscription("n0", 1).Describe())

	members := []Member{{"n0", "eu", "eu-1", 1}, {"n1", "eu", "eu-2", 2}, {"n2", "us", "us-1", 3}}
	g := NewGateway(0, members[0], PlacementRules{Generation: 4})
	for now := int64(second); now < 100*second && !g.IsServing(); now += second {
		g.UpdateMembers(now, members, true)
		word, say := g.Tick(now, 1_700_000_000_000)
		if !say {
			continue
		}
		fmt.Fprintf(&all, "word %x view %016x round %d turn %d\n", word.Encode(), word.View, word.Round, word.Epoch)
		g.ConfirmStatusMessage(word)
		for _, m := range members[1:] {
			g.HandleStatusMessage(m.Name, word)
		}
	}
	require.True(t, g.IsServing())
	for i := range 8 {
		k := Key{Tenant: "acme", ID: fmt.Sprint("s", i)}
		g.SetRecord(100*second, k, Record{Consent: 1, Revision: 1, Details: Details{Type: "t", Interval: 60 * second}, Attachments: map[string]Attachment{"eu": {}}}, true)
		held := g.subscriptions[k]
		fmt.Fprintln(&all, "owner of", k, "is", g.ownerOf(held), "rank here", g.FileWriterRank(k), "next search here at", held.nextSearchAt)
	}
	golden.Require(t, "names.txt", all.String())
	got, ok := ParseKey("sub/acme/s1")
	require.True(t, ok)
	require.Equal(t, key, got)
}

// YAML and JSON lines with every key, each with another value, say the same.
func TestGoldenSubscriberFiles(t *testing.T) {
	text, err := os.ReadFile(filepath.Join("testdata", "every_key.yaml"))
	require.NoError(t, err)
	f, err := ParseYAML(text)
	require.NoError(t, err)
	s1, s2 := Key{Tenant: "acme", ID: "s1"}, Key{Tenant: "bolt", ID: "s2"}
	require.Equal(t, "eu", f.Region)
	require.EqualValues(t, 7, f.Generation)
	require.Equal(t, "http://127.0.0.1:9300/{tenant}", f.DeliveryURL)
	require.Len(t, f.Lines, 2)
	require.Equal(t, Details{Type: "quick-picks", Query: "town:oslo", Interval: 300_000, Blocks: []int{2, 0, 1}}, f.Lines[s1].Details)
	require.EqualValues(t, 3, f.Lines[s1].Consent)
	require.Equal(t, Details{Type: "full-match", Interval: 7 * 86_400 * second}, f.Lines[s2].Details)
	require.EqualValues(t, 1, f.Lines[s2].Consent)

	lines, err := os.ReadFile(filepath.Join("testdata", "every_key.jsonl"))
	require.NoError(t, err)
	same, err := ParseJSONLines(lines)
	require.NoError(t, err)
	require.Equal(t, f, same)

	var head FileHeader
	first, rest, _ := bytes.Cut(lines, []byte("\n"))
	require.NoError(t, decodeStrictJSON(first, &head))
	require.Equal(t, FileHeader{Region: "eu", Generation: 7, Count: 2, Deliver: "http://127.0.0.1:9300/{tenant}"}, head)
	written, err := json.Marshal(head)
	require.NoError(t, err)
	for one := range bytes.Lines(rest) {
		var e subscriptionEntry
		require.NoError(t, decodeStrictJSON(one, &e))
		line, err := json.Marshal(e)
		require.NoError(t, err)
		written = append(append(written, '\n'), line...)
	}
	golden.Require(t, "every_key.jsonl", append(written, '\n'))
}

// Fault texts of both forms, with place and advice. A value of the wrong type is left out: the packages that read name
// Go types in that text.
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

// Failures that stand in the log or answer a call, with their advice.
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
	_, err := ResolveEntry(entryOf(key.LedgerKey(), []byte{0xff}))
	fmt.Fprintln(&all, err)
	number, err := json.Marshal(DeliveryNumber{Epoch: 1, Sequence: 2, Gateway: "n0"})
	require.NoError(t, err)
	fmt.Fprintf(&all, "%s\n", number)
	golden.Require(t, "errors.txt", all.String())
}
