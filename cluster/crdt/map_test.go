package crdt

import (
	"fmt"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// contents is all that l holds and remembers, as text.
func contents(l *Map) string {
	var b strings.Builder
	l.records.Scan(func(name string, h *record) bool {
		fmt.Fprintln(&b, name, h.Siblings, h.CausalContext)
		return true
	})
	return b.String()
}

func allEntries(l *Map) (out []Entry) {
	l.records.Scan(func(_ string, h *record) bool { out = append(out, h.Entry); return true })
	return out
}

func entryDots(e Entry) (out []Dot) {
	for _, s := range e.Siblings {
		out = append(out, s.Dot)
	}
	return out
}

// writeRandomChange does a drawn change and says what it superseded.
func writeRandomChange(t *rapid.T, l *Map, name string) (was, is Entry) {
	was, _ = l.Get(name)
	var err error
	if rapid.IntRange(0, 2).Draw(t, "delete") == 0 {
		is, err = l.Delete(name)
	} else {
		is, err = l.Put(name, rapid.SliceOfN(rapid.Byte(), 0, 2).Draw(t, "value"))
	}
	require.NoError(t, err)
	return was, is
}

var randomName = rapid.SampledFrom([]string{"a", "b", "c"})

// What is left of a name is the changes that no later one had seen, whatever the order and number of messages.
func TestMergeKeepsUnsupersededChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ls := []*Map{NewMap("x#1"), NewMap("y#1"), NewMap("z#1")}
		var sent []Entry
		written, gone := map[string][]Dot{}, map[Dot]bool{}
		for range rapid.IntRange(0, 30).Draw(t, "steps") {
			l := rapid.SampledFrom(ls).Draw(t, "who")
			if rapid.Bool().Draw(t, "write") || len(sent) == 0 {
				name := randomName.Draw(t, "name")
				was, is := writeRandomChange(t, l, name)
				if len(is.Siblings) == 0 || len(was.Siblings) == 1 && was.Siblings[0].Dot == is.Siblings[0].Dot {
					continue
				}
				for _, d := range entryDots(was) {
					gone[d] = true
				}
				written[name] = append(written[name], is.Siblings[0].Dot)
				sent = append(sent, is)
				continue
			}
			_, err := l.Merge("other", []Entry{rapid.SampledFrom(sent).Draw(t, "message")})
			require.NoError(t, err)
		}
		for _, to := range ls {
			for _, from := range ls {
				_, err := to.Merge(from.Actor(), allEntries(from))
				require.NoError(t, err)
			}
		}
		_, err := ls[0].Merge("late", rapid.Permutation(sent).Draw(t, "late"))
		require.NoError(t, err)
		for _, l := range ls[1:] {
			_, err := l.Merge("x", allEntries(ls[0]))
			require.NoError(t, err)
			require.Equal(t, contents(ls[0]), contents(l))
			require.Equal(t, ls[0].Digest(TreeNode{}), l.Digest(TreeNode{}))
		}
		for name, ds := range written {
			e, _ := ls[0].Get(name)
			var left []Dot
			for _, d := range ds {
				if !gone[d] {
					left = append(left, d)
				}
			}
			require.ElementsMatch(t, left, entryDots(e), name)
		}
	})
}

func TestMergeIsCommutativeAssociativeIdempotent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ls := []*Map{NewMap("x#1"), NewMap("y#1"), NewMap("z#1")}
		for range rapid.IntRange(0, 15).Draw(t, "steps") {
			l := rapid.SampledFrom(ls).Draw(t, "who")
			if rapid.Bool().Draw(t, "write") {
				writeRandomChange(t, l, randomName.Draw(t, "name"))
			} else {
				from := rapid.SampledFrom(ls).Draw(t, "from")
				_, err := l.Merge(from.Actor(), allEntries(from))
				require.NoError(t, err)
			}
		}
		merged := func(of ...*Map) *Map {
			m := NewMap("m#1")
			for _, l := range of {
				_, err := m.Merge(l.Actor(), allEntries(l))
				require.NoError(t, err)
			}
			return m
		}
		a, b, c := ls[0], ls[1], ls[2]
		require.Equal(t, contents(merged(a, b)), contents(merged(b, a)))
		require.Equal(t, contents(merged(merged(a, b), c)), contents(merged(a, merged(b, c))))
		require.Equal(t, contents(merged(a, b)), contents(merged(a, b, a, b)))
	})
}

func TestLimits(t *testing.T) {
	l := NewMap("x#1")
	var big *TooLargeError
	_, err := l.Put("a", make([]byte, MaxValueBytes+1))
	require.ErrorAs(t, err, &big)
	_, err = l.Put(strings.Repeat("n", MaxNameBytes+1), nil)
	require.ErrorAs(t, err, &big)
	_, err = l.Put("", nil)
	require.ErrorAs(t, err, &big)
	for i := range MaxEntries {
		_, err := l.Put(fmt.Sprint(i), []byte("v"))
		require.NoError(t, err)
	}
	var full *CapacityExceededError
	_, err = l.Put("more", nil)
	require.ErrorAs(t, err, &full)
	_, err = l.Put("7", nil)
	require.NoError(t, err)
	for i := range MaxTombstones {
		_, err := l.Delete(fmt.Sprint(i))
		require.NoError(t, err)
	}
	_, err = l.Delete("70000")
	require.ErrorAs(t, err, &full)
	require.Contains(t, full.Advice(), "Bring back")
	var unsound *InvalidDataError
	_, err = l.Merge("y", []Entry{{Name: "z", Siblings: []Sibling{{Dot: Dot{Actor: "y#1", Counter: 1}}}}})
	require.ErrorAs(t, err, &unsound)
	crowd := make([]Entry, MaxSiblings+1)
	for i := range crowd {
		crowd[i], _ = NewMap(fmt.Sprintf("c%03d#1", i)).Put("crowd", nil)
	}
	var crowded *TooManySiblingsError
	_, err = l.Merge("y", crowd)
	require.ErrorAs(t, err, &crowded)
	_, err = l.Put("crowd", nil)
	require.NoError(t, err)
	_, err = l.Merge("y", crowd)
	require.NoError(t, err, "what the write had seen is not taken again")
}

// Two processes of one name: the earlier goes on as a new life and keeps what no one else had.
func TestSupersededIncarnationKeepsItsChanges(t *testing.T) {
	one, two, other := NewMap("a#1"), NewMap("a#2"), NewMap("b#1")
	for _, l := range []*Map{one, two, other} {
		l.SetMembers([]string{"a", "b"}, nil)
	}
	_, _ = one.Put("told", []byte("1"))
	_, err := other.MergeBatch("a#1", buildBatch(one, true, "told"))
	require.NoError(t, err)
	for range 3 { // the later life and the other settle the earlier one
		two.NextRow()
		other.NextRow()
		for _, p := range [][2]*Map{{two, other}, {other, two}} {
			exchangeToEnd(t, p[0], p[1])
		}
	}
	require.EqualValues(t, 2, other.KnownVersion().EndedBefore("a"))
	_, _ = one.Put("untold", []byte("2"))
	x := one.NewExchange("b", 1)
	q, _ := x.NextRequest()
	a, err := other.HandleRequest("a", q)
	require.NoError(t, err)
	_, _, err = x.ApplyResponse(a)
	var struck *SupersededError
	require.ErrorAs(t, err, &struck)
	require.EqualValues(t, 2, struck.EndedBefore)
	require.Contains(t, struck.Advice(), "second process")
	require.Len(t, one.BeginIncarnation(3, "b"), 2)
	require.Equal(t, "a#3", one.Actor())
	exchangeToEnd(t, one, other)
	exchangeToEnd(t, other, one)
	for _, name := range []string{"told", "untold"} {
		e, ok := other.Get(name)
		require.True(t, ok, name)
		require.Len(t, e.Siblings, 1, name)
	}
}

// exchangeToEnd is an exchange to its end.
func exchangeToEnd(t *testing.T, l, other *Map) {
	x := l.NewExchange(ActorName(other.Actor()), 7)
	for {
		q, ok := x.NextRequest()
		if !ok {
			break
		}
		a, err := other.HandleRequest(ActorName(l.Actor()), q)
		require.NoError(t, err)
		_, lacks, err := x.ApplyResponse(a)
		require.NoError(t, err)
		_, err = other.MergeBatch(l.Actor(), buildBatch(l, true, lacks...))
		require.NoError(t, err)
	}
	require.True(t, x.IsComplete())
}

// One that was away for so long that a delete was forgotten without it brings nothing back, and is told what it kept.
func TestReturnAfterLongAbsence(t *testing.T) {
	a, b := NewMap("a#1"), NewMap("b#1")
	_, _ = a.Put("x", []byte("1"))
	exchangeToEnd(t, b, a)
	_, _ = b.Put("y", []byte("unseen"))
	_, _ = a.Delete("x")
	a.SetMembers([]string{"a", "b"}, []string{"b"})
	require.Equal(t, []string{"x"}, a.CollectTombstones())
	x := b.NewExchange("a", 1)
	q, _ := x.NextRequest()
	answer, err := a.HandleRequest("b", q)
	require.NoError(t, err)
	_, _, err = x.ApplyResponse(answer)
	require.NoError(t, err)
	require.True(t, x.MissedDeletes)
	require.Equal(t, []string{"y"}, x.UnsyncedNames)
	exchangeToEnd(t, a, b)
	exchangeToEnd(t, b, a)
	for _, l := range []*Map{a, b} {
		_, ok := l.Get("x")
		require.False(t, ok)
		_, ok = l.Get("y")
		require.True(t, ok)
	}
}

func TestExchangeCostsByTheDifferenceAndResumes(t *testing.T) {
	a, b := NewMap("a#1"), NewMap("b#1")
	for i := range 20_000 {
		_, _ = a.Put(fmt.Sprint("name", i), []byte("some value of a name"))
	}
	exchangeToEnd(t, b, a)
	for i := range 200 {
		_, _ = a.Put(fmt.Sprint("name", i), []byte("another value"))
	}
	x := b.NewExchange("a", 1)
	most, all, want := 0, 0, 0
	for n := 0; !x.IsDone(); n++ {
		q, ok := x.NextRequest()
		require.True(t, ok)
		if n%2 == 0 && n > 0 { // this question is lost; nothing that was had is asked again
			x.RetryRequest()
			continue
		}
		out, err := a.HandleRequest("b", q)
		require.NoError(t, err)
		text, err := cbor.Marshal(out)
		require.NoError(t, err)
		most, all, want = max(most, len(text)), all+len(text), want+len(q.WantedBuckets)
		_, _, err = x.ApplyResponse(out)
		require.NoError(t, err)
	}
	require.True(t, x.IsComplete())
	require.Equal(t, a.Digest(TreeNode{}), b.Digest(TreeNode{}))
	require.Less(t, most, 64<<10)
	require.Equal(t, x.DifferingBuckets, want)
	require.Less(t, all, 100<<10, "200 of 20,000 differ: the list is over a megabyte")
}

// A tombstone that one has forgotten goes with the other that knows no less, too: else their copies differ for ever.
func TestForgottenTombstoneDisappearsFromEqualReplica(t *testing.T) {
	a, b := NewMap("a#1"), NewMap("b#1")
	_, _ = a.Put("x", []byte("1"))
	_, _ = a.Delete("x")
	exchangeToEnd(t, b, a)
	exchangeToEnd(t, a, b)
	a.SetMembers([]string{"a"}, nil)
	require.Equal(t, []string{"x"}, a.CollectTombstones())
	require.Equal(t, a.KnownVersion(), b.KnownVersion())
	exchangeToEnd(t, b, a)
	require.Equal(t, a.Digest(TreeNode{}), b.Digest(TreeNode{}))
}

// buildBatch is the states of these names in one piece, whatever their bytes.
func buildBatch(l *Map, known bool, names ...string) Batch {
	var p batchBuilder
	if known {
		p.Known = l.known
	}
	for _, name := range names {
		if h, ok := l.records.Get(name); ok {
			p.add(h)
		}
	}
	return p.Batch
}
