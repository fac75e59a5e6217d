package subscribers

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// drawn is any record that instances may write.
func drawn(t *rapid.T) Record {
	counts := rapid.MapOf(rapid.SampledFrom([]string{"a", "b"}), rapid.Uint64Range(1, 2))
	r := Record{Consent: rapid.Uint64Range(1, 3).Draw(t, "consent"), Unsubscriptions: counts.Draw(t, "left"), SeenUnsubscriptions: counts.Draw(t, "came")}
	if rapid.Bool().Draw(t, "written off") {
		return r
	}
	r.Revision = rapid.Uint64Range(1, 3).Draw(t, "change")
	r.Details = Details{Type: "lookup", Query: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "query"), Interval: MinInterval}
	if region := rapid.SampledFrom([]string{"", "eu", "us"}).Draw(t, "region"); region != "" {
		r.Attachments = map[string]Attachment{region: {Generation: rapid.Int64Range(0, 2).Draw(t, "gen"), DetailsHash: r.Details.hash()}}
	}
	if turn := rapid.Uint64Range(0, 2).Draw(t, "turn"); turn > 0 {
		r.Checkpoint = DeliveryCheckpoint{Number: DeliveryNumber{turn, rapid.Uint64Range(1, 2).Draw(t, "n"), "g"}, Values: map[int]uint64{0: turn}}
	}
	if rapid.Bool().Draw(t, "past") {
		r.PriorHashes = []uint64{rapid.Uint64Range(1, 2).Draw(t, "seen")}
	}
	return r
}

func TestJoinIsOneWhateverTheOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := drawn(t), drawn(t), drawn(t)
		same := func(x, y Record) { require.Equal(t, x.Encode(), y.Encode()) }
		same(MergeRecords(a, b), MergeRecords(b, a))
		same(MergeRecords(a, MergeRecords(b, c)), MergeRecords(MergeRecords(a, b), c))
		same(MergeRecords(a, a), a)
		back, err := DecodeRecord(a.Encode())
		require.NoError(t, err)
		same(a, back)
		held := MergeRecords(MergeRecords(a, b), c)
		for _, r := range []Record{a, b, c} { // consent goes first
			for who, n := range r.Unsubscriptions {
				if n > max(a.SeenUnsubscriptions[who], b.SeenUnsubscriptions[who], c.SeenUnsubscriptions[who]) {
					require.True(t, held.IsUnsubscribed())
				}
			}
		}
	})
}

func TestLostNamesOnlyWhatTheHolderHadNotSeen(t *testing.T) {
	first := Record{Consent: 1, Revision: 1, Details: Details{Type: "lookup", Query: "a", Interval: MinInterval}}
	changed := func(from Record, query string) Record {
		to := from
		to.Revision++
		to.Details.Query = query
		return to.withPriorHashesOf(from)
	}
	marked := first
	marked.Checkpoint.Number = DeliveryNumber{5, 1, "g"}
	_, lost := ResolveConflict([]Record{changed(first, "b"), marked})
	require.Empty(t, lost, "a delivery beside a change loses nothing")
	held, lost := ResolveConflict([]Record{changed(changed(first, "b"), "c"), changed(first, "d")})
	require.Equal(t, "c", held.Details.Query)
	require.Len(t, lost, 1)
	require.Equal(t, "d", lost[0].Details.Query)
	left := first.withUnsubscription("a", 1).withPriorHashesOf(first)
	held, lost = ResolveConflict([]Record{left, changed(first, "b")})
	require.True(t, held.IsUnsubscribed())
	require.Len(t, lost, 1, "the change that consent went before is told")
}

func FuzzRead(f *testing.F) {
	f.Add(Record{Consent: 1, Revision: 1, Details: Details{Type: "t", Interval: MinInterval}}.Encode())
	f.Fuzz(func(t *testing.T, text []byte) {
		if r, err := DecodeRecord(text); err == nil {
			again, err := DecodeRecord(r.Encode())
			require.NoError(t, err)
			require.Equal(t, r.Encode(), again.Encode())
		}
	})
}
