package subscribers

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"chalkring/cluster/crdt"
	"chalkring/internal/advice"
)

var (
	testKey     = Key{"acme", "s1"}
	testDetails = Details{Type: "lookup", Query: "a", Interval: 30 * second}
)

// desk is one instance's ledger with what the program does around it.
type desk struct {
	t *testing.T
	*crdt.Map
	list *List
}

func newDesk(t *testing.T, actor string) *desk { return &desk{t, crdt.NewMap(actor), NewList()} }

func (d *desk) do(k Key, op RecordUpdate) error {
	e, _ := d.Get(k.LedgerKey())
	value, write, err := ApplyUpdate(e, op)
	if write {
		e, err = d.Put(k.LedgerKey(), value)
		require.NoError(d.t, err)
		_, _, _, err = d.list.ApplyEntry(e)
	}
	return err
}

// meets takes in what another holds, deletes too, and gives what is told of it.
func (d *desk) meets(o *desk, keys ...Key) (events []WriteConflict) {
	for _, k := range keys {
		e, _ := o.Get(k.LedgerKey())
		_, err := d.MergeBatch("o", crdt.Batch{Known: o.KnownVersion(), Entries: []crdt.Entry{e}})
		require.NoError(d.t, err)
		e, _ = d.Get(k.LedgerKey())
		_, _, told, err := d.list.ApplyEntry(e)
		require.NoError(d.t, err)
		events = append(events, told...)
	}
	return events
}

func (d *desk) on(k Key) bool {
	r, there := d.list.Get(k)
	return there && !r.IsUnsubscribed()
}

func TestUnsubscribedAfterAnOlderDiskIsNoAnsweredOne(t *testing.T) {
	a, c := newDesk(t, "a#1"), newDesk(t, "c#1")
	require.NoError(t, a.do(testKey, Subscribe(testKey, "eu", testDetails)))
	require.NoError(t, a.do(testKey, Unsubscribe(testKey, "a", 1000)))
	c.meets(a, testKey)
	require.NoError(t, c.do(testKey, Subscribe(testKey, "us", testDetails)))
	require.True(t, c.on(testKey))
	older := newDesk(t, "a#2") // its disk knew nothing yet
	require.NoError(t, older.do(testKey, Unsubscribe(testKey, "a", 2000)))
	c.meets(older, testKey)
	require.False(t, c.on(testKey), "the second unsubscription was not seen by who subscribed anew")
}

func TestConflictIsToldOnceWithBothWords(t *testing.T) {
	a, b := newDesk(t, "a#1"), newDesk(t, "b#1")
	require.NoError(t, a.do(testKey, Subscribe(testKey, "eu", testDetails)))
	b.meets(a, testKey)
	require.NoError(t, a.do(testKey, Unsubscribe(testKey, "a", 1000)))
	more := testDetails
	more.Query = "b"
	require.NoError(t, b.do(testKey, ChangeDetails(testKey, more)))
	for _, d := range []*desk{a, b} {
		o := map[*desk]*desk{a: b, b: a}[d]
		events := d.meets(o, testKey)
		require.Len(t, events, 1)
		require.Contains(t, events[0].Kept, "unsubscribed")
		require.Contains(t, events[0].Discarded, "change 2")
		require.Empty(t, d.meets(o, testKey))
		require.False(t, d.on(testKey))
	}
	var not *NotSubscribedError
	require.ErrorAs(t, b.do(testKey, ChangeDetails(testKey, testDetails)), &not)
	require.NoError(t, b.do(testKey, Subscribe(testKey, "us", testDetails)))
	require.True(t, b.on(testKey))
}

func TestForgottenAndChangedBesideIsNotBack(t *testing.T) {
	a, away := newDesk(t, "a#1"), newDesk(t, "z#1")
	require.NoError(t, a.do(testKey, Subscribe(testKey, "eu", testDetails)))
	away.meets(a, testKey)
	require.NoError(t, a.do(testKey, Unsubscribe(testKey, "a", 1000)))
	require.Empty(t, a.list.FindExpiredTombstones(1000+keepDays*86_400_000, 10))
	require.Equal(t, []Key{testKey}, a.list.FindExpiredTombstones(1001+keepDays*86_400_000, 10))
	e, err := a.Delete(testKey.LedgerKey())
	require.NoError(t, err)
	_, changed, _, err := a.list.ApplyEntry(e)
	require.NoError(t, err)
	require.True(t, changed)
	more := testDetails
	more.Query = "b"
	require.NoError(t, away.do(testKey, ChangeDetails(testKey, more))) // longer away than it is remembered
	a.meets(away, testKey)
	require.False(t, a.on(testKey))
}

func TestNewerFormIsNotWrittenOver(t *testing.T) {
	a := newDesk(t, "a#1")
	_, err := a.Put(testKey.LedgerKey(), []byte("another version's"))
	require.NoError(t, err)
	var bad *InvalidRecordError
	require.ErrorAs(t, a.do(testKey, Subscribe(testKey, "eu", testDetails)), &bad)
	e, _ := a.Get(testKey.LedgerKey())
	require.Equal(t, "another version's", string(e.Siblings[0].Value))
}

func file(t *testing.T, generation int, lines ...string) *RegionFile {
	f, err := ParseYAML(fmt.Appendf(nil, "region: eu\ngeneration: %d\ncount: %d\nsubscriptions:\n%s", generation, len(lines), strings.Join(lines, "\n")))
	require.NoError(t, err)
	if len(lines) > 0 {
		jsonl := fmt.Sprintf("{\"region\":\"eu\",\"generation\":%d,\"count\":%d}\n", generation, len(lines))
		for _, l := range lines {
			for _, word := range []string{"tenant", "id", "type", "query", "every", "consent"} {
				l = strings.ReplaceAll(l, word+": ", "\""+word+"\": ")
			}
			for _, word := range []string{"acme", "s1", "s2", "lookup", "30s", " a", " b"} {
				l = strings.ReplaceAll(l, " "+strings.TrimSpace(word), " \""+strings.TrimSpace(word)+"\"")
			}
			jsonl += strings.TrimPrefix(l, "- ") + "\n"
		}
		same, err := ParseJSONLines([]byte(jsonl))
		require.NoError(t, err, jsonl)
		require.Equal(t, f, same)
	}
	return f
}

func (d *desk) reads(f *RegionFile, wallMS uint64) (stale []*StaleLineError) {
	keys, stale := f.FindChanges(d.list, func(Key) bool { return true }, 100)
	for _, k := range keys {
		require.NoError(d.t, d.do(k, f.UpdateFor(k, "a", wallMS)))
	}
	keys, _ = f.FindChanges(d.list, func(Key) bool { return true }, 100)
	require.Empty(d.t, keys, "a file that was read says nothing more")
	return stale
}

func TestFileBringsNobodyBack(t *testing.T) {
	a, b := newDesk(t, "a#1"), newDesk(t, "b#1")
	one, two := "- {tenant: acme, id: s1, type: lookup, query: a, every: 30s}", "- {tenant: acme, id: s2, type: lookup, query: b, every: 30s}"
	other := Key{"acme", "s2"}
	a.reads(file(t, 1, one, two), 1000)
	require.True(t, a.on(testKey) && a.on(other))
	b.meets(a, testKey, other)
	require.NoError(t, b.do(testKey, Unsubscribe(testKey, "b", 2000)))
	a.meets(b, testKey)
	for _, d := range []*desk{a, b, newDesk(t, "a#2")} { // after a restart, and on a disk that knew nothing
		d.reads(file(t, 1, one, two), 3000)
		d.meets(b, testKey)
		require.False(t, d.on(testKey))
	}
	stale := a.reads(file(t, 2, one, two), 4000)
	require.Len(t, stale, 1)
	require.Contains(t, advice.For(stale[0]), "consent: 2")
	again := strings.Replace(one, "}", ", consent: 2}", 1)
	a.reads(file(t, 3, again, two), 5000)
	require.True(t, a.on(testKey), "asked again, knowing of it")
	require.NoError(t, a.do(other, ChangeDetails(other, testDetails)))
	a.reads(file(t, 4, again, two), 6000)
	r, _ := a.list.Get(other)
	require.Equal(t, testDetails, r.Details, "a line that says what it said before takes no change back")
	b.meets(a, testKey, other)
	b.reads(file(t, 1, again), 7000) // an instance with an older copy, which lacks a line
	require.True(t, b.on(other), "only a later file takes off")
	a.reads(file(t, 5, again), 8000)
	require.False(t, a.on(other))
	require.True(t, a.on(testKey))
}

func TestFileIsCheckedWhole(t *testing.T) {
	for text, want := range map[string]string{
		"region: eu\ngeneration: 1\ncount: 2\nsubscriptions:\n- {tenant: a, id: b, type: t, every: 1s}\n":                                           "[3:8] count: says 2, there are 1",
		"region: eu\ngeneration: 1\ncount: 1\nsubscriptions:\n- {tenant: a, id: b, type: t, every: soon}\n":                                         "every: \"soon\" is no time",
		"region: eu\ngeneration: 1\ncount: 2\nsubscriptions:\n- {tenant: a, id: b, type: t, every: 1s}\n- {tenant: a, id: b, type: t, every: 1s}\n": "a/b is there twice",
		"region: eu\ncount: 0\n":             "generation: is missing",
		"region: eu\nwhat: 3\ngeneration: 1": "unknown field",
	} {
		_, err := ParseYAML([]byte(text))
		require.ErrorContains(t, err, want)
		require.NotEmpty(t, advice.For(err))
	}
	_, err := ParseJSONLines([]byte("{\"region\":\"eu\",\"generation\":1,\"count\":1}\n{\"tenant\":\"a\",\"id\":\"b\",\"type\":\"t\",\"every\":\"1s\",\"x\":1}\n"))
	require.ErrorContains(t, err, "[2:1]")
	f := file(t, 2)
	value, err := f.Admit(FileStatus{1, 9})
	require.NoError(t, err)
	l := crdt.NewMap("a#1")
	e, err := l.Put(RegionFileKeyPrefix+"eu", value)
	require.NoError(t, err)
	value, err = f.Admit(DecodeFileStatus(e))
	require.NoError(t, err)
	require.Nil(t, value)
	for _, held := range []FileStatus{{3, f.Digest}, {2, f.Digest + 1}} {
		var old *StaleFileError
		_, err = f.Admit(held)
		require.ErrorAs(t, err, &old)
	}
}

func BenchmarkFiles(b *testing.B) {
	yaml, lines := "region: eu\ngeneration: 1\ncount: 5000\nsubscriptions:\n", "{\"region\":\"eu\",\"generation\":1,\"count\":90000}\n"
	for i := range 90_000 {
		if i < 5_000 {
			yaml += fmt.Sprintf("- {tenant: acme, id: s%d, type: lookup, query: \"town:oslo %d\", every: 30s}\n", i, i)
		}
	}
	var all strings.Builder
	all.WriteString(lines)
	for i := range 90_000 {
		fmt.Fprintf(&all, "{\"tenant\":\"acme\",\"id\":\"s%d\",\"type\":\"lookup\",\"query\":\"town:oslo %d\",\"every\":\"30s\"}\n", i, i)
	}
	b.Run("yaml 5000", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			if _, err := ParseYAML([]byte(yaml)); err != nil {
				b.Fatal(err)
			}
		}
	})
	b.Run("lines 90000", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			if _, err := ParseJSONLines([]byte(all.String())); err != nil {
				b.Fatal(err)
			}
		}
	})
	b.Run("take 90000", func(b *testing.B) {
		f, _ := ParseJSONLines([]byte(all.String()))
		d := &desk{nil, crdt.NewMap("a#1"), NewList()}
		for k := range f.Lines {
			e, _ := d.Get(k.LedgerKey())
			value, _, _ := ApplyUpdate(e, f.UpdateFor(k, "a", 1))
			_, _ = d.Put(k.LedgerKey(), value)
		}
		for b.Loop() {
			l, g := NewList(), NewGateway(0, Member{Name: "g"}, PlacementRules{})
			d.ScanPrefix(KeyPrefix, func(e crdt.Entry) bool {
				k, _, _, _ := l.ApplyEntry(e)
				r, _ := l.Get(k)
				g.SetRecord(0, k, r, true)
				return true
			})
		}
	})
}

// A word from before a split is not taken for one after it, and turns go above all that were seen.
func TestHandOverWaitsForWordsOfItsRound(t *testing.T) {
	now := int64(1000 * second)
	g := NewGateway(now, Member{Name: "a", Region: "eu", Incarnation: 1}, PlacementRules{})
	g.HandleStatusMessage("b", StatusMessage{View: 1, Round: 7, Epoch: 9_000_000})
	g.SetRecord(now, testKey, Record{Consent: 1, Revision: 1, Details: testDetails, Attachments: map[string]Attachment{"eu": {}}}, true)
	var word StatusMessage
	tick := func() (say bool) {
		for range 30 {
			now += second / 10
			g.UpdateMembers(now, []Member{{Name: "a", Region: "eu", Incarnation: 1}, {Name: "b", Region: "eu", Incarnation: 3}}, true)
			if w, ok := g.Tick(now, 1_000_000); ok {
				word, say = w, true
				g.ConfirmStatusMessage(w)
			}
		}
		return say
	}
	require.True(t, tick())
	require.EqualValues(t, 8, word.Round)
	g.HandleStatusMessage("b", StatusMessage{View: word.View, Round: 7, Epoch: 9_000_001})
	require.False(t, tick())
	require.False(t, g.IsServing())
	g.HandleStatusMessage("b", StatusMessage{View: word.View, Round: 8, Epoch: 9_000_002})
	require.True(t, tick())
	require.True(t, g.IsServing())
	require.EqualValues(t, 9_000_003, word.Epoch)
	g.HandleStatusMessage("b", StatusMessage{View: word.View, Round: 9, Epoch: 9_000_004}) // it has been apart, and what it sent has higher numbers
	require.True(t, tick())
	require.EqualValues(t, 9, word.Round)
	require.EqualValues(t, 9_000_005, word.Epoch)
}
