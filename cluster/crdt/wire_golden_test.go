package crdt

import (
	"encoding/binary"
	"testing"

	"chalkring/internal/golden"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"
)

// goldenMap is a copy with a plain entry, a tombstone, concurrent siblings and a row of another instance.
func goldenMap(t *testing.T) *Map {
	l := NewMap("gateway-1#7")
	_, err := l.Put("plan/a", []byte{0, 1, 0xff})
	require.NoError(t, err)
	_, err = l.Put("plan/b", []byte("old"))
	require.NoError(t, err)
	_, err = l.Delete("plan/b")
	require.NoError(t, err)
	other := NewMap("gateway-2#9")
	_, err = other.Put("plan/a", []byte("other"))
	require.NoError(t, err)
	entry, _ := other.Get("plan/a")
	_, err = l.Merge("gateway-2#9", []Entry{entry})
	require.NoError(t, err)
	require.NoError(t, l.MergeRows("gateway-2", []Row{other.NextRow()}))
	l.NextRow()
	return l
}

// Entries, versions, batches and rows: in messages and, for entries and versions, in the store.
func TestGoldenRecords(t *testing.T) {
	first, second := Dot{Actor: "gateway-1#7", Counter: 3}, Dot{Actor: "gateway-2#9", Counter: 1 << 40}
	version := Version{{Actor: "gateway-0#", Counter: 12}, first, second}
	entry := Entry{Name: "plan/a", Siblings: []Sibling{{Dot: first, Value: []byte{0, 1, 0xff}}, {Dot: second, Deleted: true}}, CausalContext: version}
	batch := Batch{
		Known: version, Entries: []Entry{entry, {Name: "plan/b", Siblings: []Sibling{{Dot: first, Value: []byte{}}}, CausalContext: Version{first}}},
		ExtraContexts: []Version{{second}}, ContextIndexes: []uint16{1, 0},
	}
	row := Row{Actor: "gateway-1#7", Seq: 4, Known: version, IncarnationEnds: []IncarnationEnd{{Name: "gateway-2", Before: 9, NotedAt: 2}}}
	held, _ := goldenMap(t).Get("plan/a")
	deleted, _ := goldenMap(t).Get("plan/b")
	golden.RequireForms(t, "records.golden", []golden.Form{
		golden.CBORForm("dot", second, second),
		golden.CBORForm("version", version, version),
		golden.CBORForm("no-version", Version(nil), Version(nil)),
		golden.CBORForm("sibling", entry.Siblings[0], entry.Siblings[0]),
		golden.CBORForm("tombstone", entry.Siblings[1], entry.Siblings[1]),
		golden.CBORForm("entry", entry, entry),
		golden.CBORForm("entry-empty", Entry{}, Entry{}),
		golden.CBORForm("entry-held", held, Entry{Name: "plan/a", Siblings: []Sibling{
			{Dot: Dot{Actor: "gateway-1#7", Counter: 1}, Value: []byte{0, 1, 0xff}},
			{Dot: Dot{Actor: "gateway-2#9", Counter: 1}, Value: []byte("other")},
		}, CausalContext: Version{{Actor: "gateway-1#7", Counter: 1}, {Actor: "gateway-2#9", Counter: 1}}}),
		golden.CBORForm("entry-deleted", deleted, Entry{
			Name: "plan/b", Siblings: []Sibling{{Dot: Dot{Actor: "gateway-1#7", Counter: 3}, Deleted: true}},
			CausalContext: Version{{Actor: "gateway-1#7", Counter: 3}},
		}),
		golden.CBORForm("batch", batch, batch),
		golden.CBORForm("batch-empty", Batch{}, Batch{}),
		golden.CBORForm("row", row, row),
		golden.CBORForm("row-mark", RowVersion{Actor: "gateway-1#7", Seq: 4}, RowVersion{Actor: "gateway-1#7", Seq: 4}),
		{
			Name: "actor", Encode: func() ([]byte, error) { return []byte(FormatActor("gateway-1", 1_790_000_000_000_000_001)), nil },
			Decode: func(encoded []byte) (any, error) {
				return []any{ActorName(string(encoded)), ActorIncarnation(string(encoded))}, nil
			},
			Want: []any{"gateway-1", uint64(1_790_000_000_000_000_001)},
		},
	})
}

// Questions and answers of an exchange, field by field and as a ledger makes them.
func TestGoldenExchangeMessages(t *testing.T) {
	version := Version{{Actor: "gateway-1#7", Counter: 3}}
	ask := ExchangeRequest{
		ExchangeID: 5, RequestSeq: 6, Actor: "gateway-1#7", RowVersions: []RowVersion{{Actor: "gateway-2#9", Seq: 8}}, First: true,
		Nodes: []TreeNode{{Level: 1, Index: 63}}, WantedBuckets: []BucketDigest{{Index: 65535, EntryDigests: []uint64{1, 1 << 63}}},
	}
	answer := ExchangeResponse{
		ExchangeID: 5, RequestSeq: 6, Actor: "gateway-2#9", EndedBefore: 10, MissedDeletes: true, RootDigest: 1 << 62,
		Rows: []Row{{Actor: "gateway-2#9", Seq: 1, Known: version}}, ChildDigests: [][]uint64{{1, 2}, {3}},
		BucketStates: []BucketState{{Index: 65535, EntryCount: 2, MissingDigests: []uint64{4}, HasMore: true}},
		Batch:        Batch{Known: version, Entries: []Entry{{Name: "plan/a"}}, ContextIndexes: []uint16{0}},
	}

	asker := NewMap("gateway-3#4")
	exchange := asker.NewExchange("gateway-1", 17)
	firstAsk, ok := exchange.NextRequest()
	require.True(t, ok)
	holder := goldenMap(t)
	firstAnswer, err := holder.HandleRequest("gateway-3", firstAsk)
	require.NoError(t, err)
	bucket := BucketDigest{Index: bucketOf("plan/a"), EntryDigests: []uint64{99}}
	entriesAnswer, err := holder.HandleRequest("gateway-3", ExchangeRequest{
		ExchangeID: 17, RequestSeq: 2, Actor: "gateway-3#4", Nodes: []TreeNode{{Level: 2, Index: bucket.Index / 16}},
		WantedBuckets: []BucketDigest{bucket},
	})
	require.NoError(t, err)
	require.Len(t, entriesAnswer.Batch.Entries, 1)
	golden.RequireForms(t, "exchange.golden", []golden.Form{
		golden.CBORForm("ask", ask, ask),
		golden.CBORForm("ask-empty", ExchangeRequest{}, ExchangeRequest{}),
		golden.CBORForm("answer", answer, answer),
		golden.CBORForm("answer-empty", ExchangeResponse{}, ExchangeResponse{}),
		golden.CBORForm("first-ask", firstAsk, ExchangeRequest{ExchangeID: 17, RequestSeq: 1, Actor: "gateway-3#4", RowVersions: []RowVersion{}, First: true}),
		golden.CBORForm("first-answer", firstAnswer, firstAnswer),
		golden.CBORForm("entries-answer", entriesAnswer, entriesAnswer),
	})
}

// An exchange that answers of an earlier build bring to its end.
func TestGoldenExchangeIsApplied(t *testing.T) {
	forms := golden.ReadForms(t, "exchange.golden")
	l := NewMap("gateway-3#4")
	exchange := l.NewExchange("gateway-1", 17)
	_, ok := exchange.NextRequest()
	require.True(t, ok)
	var answer ExchangeResponse
	require.NoError(t, cbor.Unmarshal(forms["first-answer"], &answer))
	_, _, err := exchange.ApplyResponse(answer)
	require.NoError(t, err)
	require.Equal(t, uint64(5), l.rows["gateway-1"].Known.LastCounter("gateway-1#7"), "the row of the answering instance")
	holder := goldenMap(t)
	for ask, more := exchange.NextRequest(); more; ask, more = exchange.NextRequest() {
		answer, err := holder.HandleRequest("gateway-3", ask)
		require.NoError(t, err)
		_, _, err = exchange.ApplyResponse(answer)
		require.NoError(t, err)
	}
	require.Equal(t, answer.RootDigest, l.Digest(TreeNode{}), "the digest that the earlier build told")
}

// Digests are compared between instances of different builds.
func TestGoldenDigests(t *testing.T) {
	l := goldenMap(t)
	digest := func(name string, value, want uint64) golden.Form {
		return golden.Form{
			Name: name, Encode: func() ([]byte, error) { return binary.BigEndian.AppendUint64(nil, value), nil },
			Decode: func(encoded []byte) (any, error) { return binary.BigEndian.Uint64(encoded), nil }, Want: want,
		}
	}
	siblings, _ := l.Get("plan/a")
	tombstone, _ := l.Get("plan/b")
	bucket := bucketOf("plan/a")
	golden.RequireForms(t, "digests.golden", []golden.Form{
		digest("entry-siblings", siblings.computeDigest(), l.Digest(TreeNode{Level: 3, Index: bucket})),
		digest("entry-tombstone", tombstone.computeDigest(), l.Digest(TreeNode{Level: 3, Index: bucketOf("plan/b")})),
		digest("root", l.Digest(TreeNode{}), siblings.computeDigest()+tombstone.computeDigest()),
		digest("level-1", l.Digest(TreeNode{Level: 1, Index: bucket >> 10}), siblings.computeDigest()),
		digest("level-2", l.Digest(TreeNode{Level: 2, Index: bucket >> 4}), siblings.computeDigest()),
		digest("bucket-of-name", uint64(bucket), uint64(bucket)),
	})
	require.Len(t, TreeNode{}.Children(), 64)
	require.Equal(t, TreeNode{Level: 2, Index: 5*64 + 63}, TreeNode{Level: 1, Index: 5}.Children()[63])
	require.Equal(t, TreeNode{Level: 3, Index: 7*16 + 15}, TreeNode{Level: 2, Index: 7}.Children()[15])
}

// Limits that a receiver checks: an instance of another build is refused beyond them.
func TestGoldenLimits(t *testing.T) {
	require.Equal(t, []int{3, 1 << 16}, []int{DigestTreeDepth, bucketCount})
	require.Equal(t, []int{100_000, 50_000, 200_000, 8 << 10, 512, 280, 96 << 20, 64},
		[]int{MaxEntries, MaxTombstones, MaxNames, MaxValueBytes, MaxNameBytes, MaxActorBytes, MaxTotalBytes, MaxSiblings})
	require.Equal(t, []int{48 << 10, 80, 400, 4096, 64}, []int{TargetMessageBytes, maxNodesPerRequest, maxBucketsPerRequest, MaxRows, maxExtraContexts})
}
