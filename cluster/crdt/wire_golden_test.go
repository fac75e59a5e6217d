package crdt

import (
	"encoding/binary"
	"testing"

	"chalkring/internal/golden"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"
)

// goldenMap returns a replica with a plain entry, a tombstone, concurrent siblings and a row of another instance.
func goldenMap(t *testing.T) *Map {
	replica := NewMap("gateway-1#7")
	_, err := replica.Put("plan/a", []byte{0, 1, 0xff})
	require.NoError(t, err)
	_, err = replica.Put("plan/b", []byte("old"))
	require.NoError(t, err)
	_, err = replica.Delete("plan/b")
	require.NoError(t, err)
	other := NewMap("gateway-2#9")
	_, err = other.Put("plan/a", []byte("other"))
	require.NoError(t, err)
	entry, _ := other.Get("plan/a")
	_, err = replica.Merge("gateway-2#9", []Entry{entry})
	require.NoError(t, err)
	require.NoError(t, replica.MergeRows("gateway-2", []Row{other.NextRow()}))
	replica.NextRow()
	return replica
}

// Entries, versions, batches and rows keep their encoding: all are in messages, entries and versions also in the store.
func TestGoldenRecords(t *testing.T) {
	first, second := Dot{Actor: "gateway-1#7", Counter: 3}, Dot{Actor: "gateway-2#9", Counter: 1 << 40}
	version := Version{{Actor: "gateway-0#", Counter: 12}, first, second}
	entry := Entry{Name: "plan/a", Siblings: []Sibling{{Dot: first, Value: []byte{0, 1, 0xff}}, {Dot: second, Deleted: true}}, CausalContext: version}
	batch := Batch{
		Known: version, Entries: []Entry{entry, {Name: "plan/b", Siblings: []Sibling{{Dot: first, Value: []byte{}}}, CausalContext: Version{first}}},
		ExtraContexts: []Version{{second}}, ContextIndexes: []uint16{1, 0},
	}
	row := Row{Actor: "gateway-1#7", Seq: 4, Known: version, IncarnationEnds: []IncarnationEnd{{Name: "gateway-2", Before: 9, RecordedAt: 2}}}
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
				return []any{ActorInstance(string(encoded)), ActorIncarnation(string(encoded))}, nil
			},
			Want: []any{"gateway-1", uint64(1_790_000_000_000_000_001)},
		},
	})
}

// Requests and responses of an exchange keep their encoding, with each field set and as a replica makes them.
func TestGoldenExchangeMessages(t *testing.T) {
	version := Version{{Actor: "gateway-1#7", Counter: 3}}
	request := ExchangeRequest{
		ExchangeID: 5, RequestSeq: 6, Actor: "gateway-1#7", RowVersions: []RowVersion{{Actor: "gateway-2#9", Seq: 8}}, First: true,
		Nodes: []TreeNode{{Level: 1, Index: 63}}, WantedBuckets: []BucketDigest{{Index: 65535, EntryDigests: []uint64{1, 1 << 63}}},
	}
	response := ExchangeResponse{
		ExchangeID: 5, RequestSeq: 6, Actor: "gateway-2#9", EndedBefore: 10, MissedDeletes: true, RootDigest: 1 << 62,
		Rows: []Row{{Actor: "gateway-2#9", Seq: 1, Known: version}}, ChildDigests: [][]uint64{{1, 2}, {3}},
		BucketStates: []BucketState{{Index: 65535, EntryCount: 2, MissingDigests: []uint64{4}, HasMore: true}},
		Batch:        Batch{Known: version, Entries: []Entry{{Name: "plan/a"}}, ContextIndexes: []uint16{0}},
	}

	initiator := NewMap("gateway-3#4")
	exchange := initiator.NewExchange("gateway-1", 17)
	firstRequest, ok := exchange.NextRequest()
	require.True(t, ok)
	responder := goldenMap(t)
	firstResponse, err := responder.HandleRequest("gateway-3", firstRequest)
	require.NoError(t, err)
	bucket := BucketDigest{Index: bucketOf("plan/a"), EntryDigests: []uint64{99}}
	entriesResponse, err := responder.HandleRequest("gateway-3", ExchangeRequest{
		ExchangeID: 17, RequestSeq: 2, Actor: "gateway-3#4", Nodes: []TreeNode{{Level: 2, Index: bucket.Index / 16}},
		WantedBuckets: []BucketDigest{bucket},
	})
	require.NoError(t, err)
	require.Len(t, entriesResponse.Batch.Entries, 1)
	golden.RequireForms(t, "exchange.golden", []golden.Form{
		golden.CBORForm("ask", request, request),
		golden.CBORForm("ask-empty", ExchangeRequest{}, ExchangeRequest{}),
		golden.CBORForm("answer", response, response),
		golden.CBORForm("answer-empty", ExchangeResponse{}, ExchangeResponse{}),
		golden.CBORForm("first-ask", firstRequest, ExchangeRequest{ExchangeID: 17, RequestSeq: 1, Actor: "gateway-3#4", RowVersions: []RowVersion{}, First: true}),
		golden.CBORForm("first-answer", firstResponse, firstResponse),
		golden.CBORForm("entries-answer", entriesResponse, entriesResponse),
	})
}

// An exchange whose first response is one that an earlier build sent, as recorded, runs to its end.
func TestGoldenExchangeIsApplied(t *testing.T) {
	forms := golden.ReadForms(t, "exchange.golden")
	replica := NewMap("gateway-3#4")
	exchange := replica.NewExchange("gateway-1", 17)
	_, ok := exchange.NextRequest()
	require.True(t, ok)
	var response ExchangeResponse
	require.NoError(t, cbor.Unmarshal(forms["first-answer"], &response))
	_, _, err := exchange.ApplyResponse(response)
	require.NoError(t, err)
	require.Equal(t, uint64(5), replica.rows["gateway-1"].Known.LastCounter("gateway-1#7"), "the row of the responder")
	responder := goldenMap(t)
	for request, more := exchange.NextRequest(); more; request, more = exchange.NextRequest() {
		response, err := responder.HandleRequest("gateway-3", request)
		require.NoError(t, err)
		_, _, err = exchange.ApplyResponse(response)
		require.NoError(t, err)
	}
	require.Equal(t, response.RootDigest, replica.Digest(TreeNode{}), "the digest that the earlier build sent")
}

// Instances of different builds compare their digests, so the digests must not change.
func TestGoldenDigests(t *testing.T) {
	replica := goldenMap(t)
	digest := func(name string, value, want uint64) golden.Form {
		return golden.Form{
			Name: name, Encode: func() ([]byte, error) { return binary.BigEndian.AppendUint64(nil, value), nil },
			Decode: func(encoded []byte) (any, error) { return binary.BigEndian.Uint64(encoded), nil }, Want: want,
		}
	}
	siblings, _ := replica.Get("plan/a")
	tombstone, _ := replica.Get("plan/b")
	bucket := bucketOf("plan/a")
	golden.RequireForms(t, "digests.golden", []golden.Form{
		digest("entry-siblings", siblings.computeDigest(), replica.Digest(TreeNode{Level: 3, Index: bucket})),
		digest("entry-tombstone", tombstone.computeDigest(), replica.Digest(TreeNode{Level: 3, Index: bucketOf("plan/b")})),
		digest("root", replica.Digest(TreeNode{}), siblings.computeDigest()+tombstone.computeDigest()),
		digest("level-1", replica.Digest(TreeNode{Level: 1, Index: bucket >> 10}), siblings.computeDigest()),
		digest("level-2", replica.Digest(TreeNode{Level: 2, Index: bucket >> 4}), siblings.computeDigest()),
		digest("bucket-of-name", uint64(bucket), uint64(bucket)),
	})
	require.Len(t, TreeNode{}.Children(), 64)
	require.Equal(t, TreeNode{Level: 2, Index: 5*64 + 63}, TreeNode{Level: 1, Index: 5}.Children()[63])
	require.Equal(t, TreeNode{Level: 3, Index: 7*16 + 15}, TreeNode{Level: 2, Index: 7}.Children()[15])
}

// A receiver refuses messages that exceed these limits, so instances of different builds must agree on them.
func TestGoldenLimits(t *testing.T) {
	require.Equal(t, []int{3, 1 << 16}, []int{DigestTreeDepth, bucketCount})
	require.Equal(t, []int{100_000, 50_000, 200_000, 8 << 10, 512, 280, 96 << 20, 64},
		[]int{MaxEntries, MaxTombstones, MaxNames, MaxValueBytes, MaxNameBytes, MaxActorBytes, MaxTotalBytes, MaxSiblings})
	require.Equal(t, []int{48 << 10, 80, 400, 4096, 64}, []int{TargetMessageBytes, maxNodesPerRequest, maxBucketsPerRequest, MaxRows, maxExtraContexts})
}
