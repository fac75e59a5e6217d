package subscribers

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// drawn is any record that instances may write.
func drawn(t *rapid.T) Record {
	counts := rapid.MapOf(rapid.SampledFrom([]string{"a", "b"}), rapid.Uint64Range(1, 2))
	r := Record{Consent: rapid.Uint64Range(1, 3).Draw(t, "consent"), Left: counts.Draw(t, "left"), Came: counts.Draw(t, "came")}
	if rapid.Bool().Draw(t, "written off") {
		return r
	}
	r.Change = rapid.Uint64Range(1, 3).Draw(t, "change")
	r.Details = Details{Type: "lookup", Query: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "query"), Every: EveryLeast}
	if region := rapid.SampledFrom([]string{"", "eu", "us"}).Draw(t, "region"); region != "" {
		r.Places = map[string]Place{region: {Generation: rapid.Int64Range(0, 2).Draw(t, "gen"), Said: r.Details.hash()}}
	}
	if turn := rapid.Uint64Range(0, 2).Draw(t, "turn"); turn > 0 {
		r.Mark = Mark{Number: Number{turn, rapid.Uint64Range(1, 2).Draw(t, "n"), "g"}, Values: map[int]uint64{0: turn}}
	}
	if rapid.Bool().Draw(t, "past") {
		r.Past = []uint64{rapid.Uint64Range(1, 2).Draw(t, "seen")}
	}
	return r
}

func TestJoinIsOneWhateverTheOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := drawn(t), drawn(t), drawn(t)
		same := func(x, y Record) { require.Equal(t, x.Bytes(), y.Bytes()) }
		same(Join(a, b), Join(b, a))
		same(Join(a, Join(b, c)), Join(Join(a, b), c))
		same(Join(a, a), a)
		back, err := Read(a.Bytes())
		require.NoError(t, err)
		same(a, back)
		held := Join(Join(a, b), c)
		for _, r := range []Record{a, b, c} { // consent goes first
			for who, n := range r.Left {
				if n > max(a.Came[who], b.Came[who], c.Came[who]) {
					require.True(t, held.Off())
				}
			}
		}
	})
}

func TestLostNamesOnlyWhatTheHolderHadNotSeen(t *testing.T) {
	first := Record{Consent: 1, Change: 1, Details: Details{Type: "lookup", Query: "a", Every: EveryLeast}}
	changed := func(from Record, query string) Record {
		to := from
		to.Change++
		to.Details.Query = query
		return to.wrote(from)
	}
	marked := first
	marked.Mark.Number = Number{5, 1, "g"}
	_, lost := Lost([]Record{changed(first, "b"), marked})
	require.Empty(t, lost, "a delivery beside a change loses nothing")
	held, lost := Lost([]Record{changed(changed(first, "b"), "c"), changed(first, "d")})
	require.Equal(t, "c", held.Details.Query)
	require.Len(t, lost, 1)
	require.Equal(t, "d", lost[0].Details.Query)
	left := first.left("a", 1).wrote(first)
	held, lost = Lost([]Record{left, changed(first, "b")})
	require.True(t, held.Off())
	require.Len(t, lost, 1, "the change that consent went before is told")
}

func FuzzRead(f *testing.F) {
	f.Add(Record{Consent: 1, Change: 1, Details: Details{Type: "t", Every: EveryLeast}}.Bytes())
	f.Fuzz(func(t *testing.T, text []byte) {
		if r, err := Read(text); err == nil {
			again, err := Read(r.Bytes())
			require.NoError(t, err)
			require.Equal(t, r.Bytes(), again.Bytes())
		}
	})
}
