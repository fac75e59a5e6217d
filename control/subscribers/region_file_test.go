package subscribers

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"chalkring/cluster/crdt"
	"chalkring/internal/advice"
)

// parseRegionFile parses a file of YAML lines, and checks that the same lines as JSON lines give the same file.
func parseRegionFile(t *testing.T, generation int, lines ...string) *RegionFile {
	file, err := ParseYAML(fmt.Appendf(nil, "region: eu\ngeneration: %d\ncount: %d\nsubscriptions:\n%s", generation, len(lines), strings.Join(lines, "\n")))
	require.NoError(t, err)
	if len(lines) > 0 {
		text := fmt.Sprintf("{\"region\":\"eu\",\"generation\":%d,\"count\":%d}\n", generation, len(lines))
		for _, line := range lines {
			text += jsonLine(line) + "\n"
		}
		fromJSONLines, err := ParseJSONLines([]byte(text))
		require.NoError(t, err, text)
		require.Equal(t, file, fromJSONLines)
	}
	return file
}

// jsonLine converts a line of the tests' YAML files into JSON.
func jsonLine(line string) string {
	for _, name := range []string{"tenant", "id", "type", "query", "every", "consent"} {
		line = strings.ReplaceAll(line, name+": ", "\""+name+"\": ")
	}
	for _, value := range []string{"acme", "s1", "s2", "lookup", "30s", "a", "b"} {
		line = strings.ReplaceAll(line, " "+value, " \""+value+"\"")
	}
	return strings.TrimPrefix(line, "- ")
}

// apply applies a file as the program does, and checks that applying it again changes nothing.
func (i *instance) apply(file *RegionFile, wallMS uint64) (stale []*StaleLineError) {
	all := func(Key) bool { return true }
	keys, stale := file.FindChanges(i.list, all, 100)
	for _, key := range keys {
		require.NoError(i.t, i.update(key, file.UpdateFor(key, "a", wallMS)))
	}
	keys, _ = file.FindChanges(i.list, all, 100)
	require.Empty(i.t, keys, "a file that was applied changes nothing")
	return stale
}

const (
	firstLine            = "- {tenant: acme, id: s1, type: lookup, query: a, every: 30s}"
	firstLineWithConsent = "- {tenant: acme, id: s1, type: lookup, query: a, every: 30s, consent: 2}"
	secondLine           = "- {tenant: acme, id: s2, type: lookup, query: b, every: 30s}"
)

var secondKey = Key{"acme", "s2"}

// A file may resubscribe a subscriber only by a line with a higher consent than that of the unsubscription, and may
// unsubscribe one only if it is later than the file that had its line. Otherwise a restart, an empty disk or an older copy of the file would undo a request.
func TestFileDoesNotResubscribe(t *testing.T) {
	a, b := newInstance(t, "a#1"), newInstance(t, "b#1")
	a.apply(parseRegionFile(t, 1, firstLine, secondLine), 1000)
	require.True(t, a.isSubscribed(testKey) && a.isSubscribed(secondKey))
	b.receive(a, testKey, secondKey)
	require.NoError(t, b.update(testKey, Unsubscribe(testKey, "b", 2000)))
	a.receive(b, testKey)
	for _, instance := range []*instance{a, b, newInstance(t, "a#2")} { // after a restart, and on an empty disk
		instance.apply(parseRegionFile(t, 1, firstLine, secondLine), 3000)
		instance.receive(b, testKey)
		require.False(t, instance.isSubscribed(testKey))
	}
	stale := a.apply(parseRegionFile(t, 2, firstLine, secondLine), 4000)
	require.Len(t, stale, 1)
	require.Contains(t, advice.For(stale[0]), "consent: 2")
	a.apply(parseRegionFile(t, 3, firstLineWithConsent, secondLine), 5000)
	require.True(t, a.isSubscribed(testKey), "a higher consent is one given after the unsubscription")
	require.NoError(t, a.update(secondKey, ChangeDetails(secondKey, testDetails)))
	a.apply(parseRegionFile(t, 4, firstLineWithConsent, secondLine), 6000)
	record, _ := a.list.Get(secondKey)
	require.Equal(t, testDetails, record.Details, "an unchanged line does not revert a change of details")
	b.receive(a, testKey, secondKey)
	b.apply(parseRegionFile(t, 1, firstLineWithConsent), 7000) // an instance with an older copy, which lacks a line
	require.True(t, b.isSubscribed(secondKey), "only a later file unsubscribes")
	a.apply(parseRegionFile(t, 5, firstLineWithConsent), 8000)
	require.False(t, a.isSubscribed(secondKey))
	require.True(t, a.isSubscribed(testKey))
}

func TestFileFaultsHavePositionAndAdvice(t *testing.T) {
	for text, want := range map[string]string{
		"region: eu\ngeneration: 1\ncount: 2\nsubscriptions:\n- {tenant: a, id: b, type: t, every: 1s}\n":                                           "[3:8] count: says 2, but the number of subscriptions is 1",
		"region: eu\ngeneration: 1\ncount: 1\nsubscriptions:\n- {tenant: a, id: b, type: t, every: soon}\n":                                         "every: \"soon\" is not a duration",
		"region: eu\ngeneration: 1\ncount: 2\nsubscriptions:\n- {tenant: a, id: b, type: t, every: 1s}\n- {tenant: a, id: b, type: t, every: 1s}\n": "a/b is listed twice",
		"region: eu\ncount: 0\n":             "generation: is missing",
		"region: eu\nwhat: 3\ngeneration: 1": "unknown field",
	} {
		_, err := ParseYAML([]byte(text))
		require.ErrorContains(t, err, want)
		require.NotEmpty(t, advice.For(err))
	}
	_, err := ParseJSONLines([]byte("{\"region\":\"eu\",\"generation\":1,\"count\":1}\n{\"tenant\":\"a\",\"id\":\"b\",\"type\":\"t\",\"every\":\"1s\",\"x\":1}\n"))
	require.ErrorContains(t, err, "[2:1]")
}

// An older file, or another one of the same generation, must not replace the active one.
func TestOnlyNewerFileIsActivated(t *testing.T) {
	file := parseRegionFile(t, 2)
	value, err := file.Activate(FileStatus{1, 9})
	require.NoError(t, err)
	shared := crdt.NewMap("a#1")
	entry, err := shared.Put(RegionFileKeyPrefix+"eu", value)
	require.NoError(t, err)
	value, err = file.Activate(DecodeFileStatus(entry))
	require.NoError(t, err)
	require.Nil(t, value)
	for _, current := range []FileStatus{{3, file.Digest}, {2, file.Digest + 1}} {
		var stale *StaleFileError
		_, err = file.Activate(current)
		require.ErrorAs(t, err, &stale)
	}
}

// benchmarkLines returns a file of count lines, each with its number as ID and in its query.
func benchmarkLines(header, format string, count int) []byte {
	var text strings.Builder
	text.WriteString(header)
	for i := range count {
		fmt.Fprintf(&text, format, i, i)
	}
	return []byte(text.String())
}

func BenchmarkRegionFile(b *testing.B) {
	yaml := benchmarkLines("region: eu\ngeneration: 1\ncount: 5000\nsubscriptions:\n",
		"- {tenant: acme, id: s%d, type: lookup, query: \"town:oslo %d\", every: 30s}\n", 5_000)
	jsonLines := benchmarkLines("{\"region\":\"eu\",\"generation\":1,\"count\":90000}\n",
		"{\"tenant\":\"acme\",\"id\":\"s%d\",\"type\":\"lookup\",\"query\":\"town:oslo %d\",\"every\":\"30s\"}\n", 90_000)
	b.Run("yaml 5000", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			_, err := ParseYAML(yaml)
			require.NoError(b, err)
		}
	})
	b.Run("json lines 90000", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			_, err := ParseJSONLines(jsonLines)
			require.NoError(b, err)
		}
	})
	b.Run("read 90000", func(b *testing.B) {
		file, err := ParseJSONLines(jsonLines)
		require.NoError(b, err)
		shared := crdt.NewMap("a#1")
		for key := range file.Lines {
			entry, _ := shared.Get(key.EntryName())
			value, _, err := ApplyUpdate(entry, file.UpdateFor(key, "a", 1))
			require.NoError(b, err)
			_, err = shared.Put(key.EntryName(), value)
			require.NoError(b, err)
		}
		for b.Loop() {
			list, gateway := NewList(), NewGateway(0, Member{Name: "g"}, PlacementRules{})
			shared.ScanPrefix(KeyPrefix, func(entry crdt.Entry) bool {
				key, _, _, _ := list.ApplyEntry(entry)
				record, _ := list.Get(key)
				gateway.SetRecord(0, key, record, true)
				return true
			})
		}
	})
}
