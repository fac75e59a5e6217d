package subscribers

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// drawRecord draws a random record of those that instances may write.
func drawRecord(t *rapid.T) Record {
	counts := rapid.MapOf(rapid.SampledFrom([]string{"a", "b"}), rapid.Uint64Range(1, 2))
	record := Record{
		Consent:             rapid.Uint64Range(1, 3).Draw(t, "consent"),
		Unsubscriptions:     counts.Draw(t, "unsubscriptions"),
		SeenUnsubscriptions: counts.Draw(t, "seen unsubscriptions"),
	}
	if rapid.Bool().Draw(t, "written by an unsubscription") {
		return record
	}
	record.Revision = rapid.Uint64Range(1, 3).Draw(t, "revision")
	record.Details = Details{Type: "lookup", Query: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "query"), Interval: MinInterval}
	if region := rapid.SampledFrom([]string{"", "eu", "us"}).Draw(t, "region"); region != "" {
		record.Attachments = map[string]Attachment{region: {Generation: rapid.Int64Range(0, 2).Draw(t, "generation"), DetailsHash: record.Details.hash()}}
	}
	if epoch := rapid.Uint64Range(0, 2).Draw(t, "epoch"); epoch > 0 {
		number := DeliveryNumber{epoch, rapid.Uint64Range(1, 2).Draw(t, "sequence"), "g"}
		record.Checkpoint = DeliveryCheckpoint{Number: number, ValueHashes: map[int]uint64{0: epoch}}
	}
	if rapid.Bool().Draw(t, "has prior hashes") {
		record.PriorHashes = []uint64{rapid.Uint64Range(1, 2).Draw(t, "prior hash")}
	}
	return record
}

// Instances merge records in any order and more than once; their lists would differ if the order mattered.
func TestMergeIsCommutativeAssociativeAndIdempotent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := drawRecord(t), drawRecord(t), drawRecord(t)
		requireEqual := func(x, y Record) { require.Equal(t, x.Encode(), y.Encode()) }
		requireEqual(MergeRecords(a, b), MergeRecords(b, a))
		requireEqual(MergeRecords(a, MergeRecords(b, c)), MergeRecords(MergeRecords(a, b), c))
		requireEqual(MergeRecords(a, a), a)
		decoded, err := DecodeRecord(a.Encode())
		require.NoError(t, err)
		requireEqual(a, decoded)
		merged := MergeRecords(MergeRecords(a, b), c)
		for _, record := range []Record{a, b, c} { // an unsubscription that no record has seen wins
			for instance, number := range record.Unsubscriptions {
				if number > max(a.SeenUnsubscriptions[instance], b.SeenUnsubscriptions[instance], c.SeenUnsubscriptions[instance]) {
					require.True(t, merged.IsUnsubscribed())
				}
			}
		}
	})
}

// A write that supersedes another one, or only records a delivery, must not be reported as a conflict; a change that is
// lost must be.
func TestConflictReportsOnlyContentUnseenByOtherWriters(t *testing.T) {
	first := Record{Consent: 1, Revision: 1, Details: Details{Type: "lookup", Query: "a", Interval: MinInterval}}
	withQuery := func(from Record, query string) Record {
		to := from
		to.Revision++
		to.Details.Query = query
		return to.withPriorHashesOf(from)
	}
	delivered := first
	delivered.Checkpoint.Number = DeliveryNumber{5, 1, "g"}
	_, lost := ResolveConflict([]Record{withQuery(first, "b"), delivered})
	require.Empty(t, lost, "a delivery concurrent with a change loses nothing")
	merged, lost := ResolveConflict([]Record{withQuery(withQuery(first, "b"), "c"), withQuery(first, "d")})
	require.Equal(t, "c", merged.Details.Query)
	require.Len(t, lost, 1)
	require.Equal(t, "d", lost[0].Details.Query)
	unsubscribed := first.withUnsubscription("a", 1).withPriorHashesOf(first)
	merged, lost = ResolveConflict([]Record{unsubscribed, withQuery(first, "b")})
	require.True(t, merged.IsUnsubscribed())
	require.Len(t, lost, 1, "the change that an unsubscription overrode is reported")
}

// Decoding bytes from another instance must not panic, and an accepted record must be unchanged after it is encoded and decoded.
func FuzzDecodeRecord(f *testing.F) {
	f.Add(Record{Consent: 1, Revision: 1, Details: Details{Type: "t", Interval: MinInterval}}.Encode())
	f.Fuzz(func(t *testing.T, text []byte) {
		record, err := DecodeRecord(text)
		if err != nil {
			return
		}
		again, err := DecodeRecord(record.Encode())
		require.NoError(t, err)
		require.Equal(t, record.Encode(), again.Encode())
	})
}
