package recovery

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"chalkring/cluster/peerreport"
	"chalkring/endpoints"
)

const now = int64(1_800_000_000_000)

func TestACrashLoopFallsBackToLessEachTime(t *testing.T) {
	var s StartRecord
	var levels []string
	for i := range 8 {
		var l TrustLevel
		s, l = s.RecordStart(now+int64(i)*5000, true)
		levels = append(levels, l.String())
	}
	require.Equal(t, []string{"all", "all", "no_notes", "no_list", "nothing", "no_list", "no_list", "no_list"}, levels)
	_, l := s.RecordStart(now+8*5000+loopSpan, true)
	require.Equal(t, TrustAll, l, "over a minute later")
	_, l = s.RecordPlannedStop().RecordStart(now+41_000, true)
	require.Equal(t, TrustAll, l, "a planned stop")
	s, l = s.RecordStart(now-24*3_600_000, true)
	require.Equal(t, TrustWithoutEndpoints, l, "the clock went back: the starts are still of late")
	require.LessOrEqual(t, len(s.RecentStarts), startsMost)
}

// Whatever the times of starts, one that three others did not precede within a minute believes all, the record is
// bounded, and the store is put aside at most once in a loop.
func TestStartsAtDrawnTimes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s StartRecord
		at, before, aside, alone := now, []int64{}, 0, rapid.Bool().Draw(t, "alone")
		for range rapid.IntRange(1, 40).Draw(t, "starts") {
			at += int64(rapid.IntRange(0, loopSpan*3/2).Draw(t, "wait"))
			next, l := s.RecordStart(at, alone)
			late := 0
			for _, b := range before {
				if at-b < loopSpan {
					late++
				}
			}
			if late == 0 {
				aside = 0
			}
			require.Equal(t, late >= loopFirst-1, l > TrustAll)
			if l == TrustNothing {
				aside++
			}
			require.LessOrEqual(t, aside, 1)
			require.True(t, alone || aside == 0, "what others have in it stays")
			require.LessOrEqual(t, len(next.RecentStarts), startsMost)
			text, err := cbor.Marshal(next)
			require.NoError(t, err)
			s = StartRecord{}
			require.NoError(t, cbor.Unmarshal(text, &s))
			before = append(before, at)
		}
	})
}

func kept() (*EndpointList, *Observations) {
	l := NewEndpointList(now, 7, 8, []endpoints.Endpoint{{Host: endpoints.Host{ID: "h1", Addr: "a:1", Weight: 1, Line: 3}}},
		[]endpoints.Removal{{ID: "h2", RemovedBy: "discovery", StartedMS: 5, Age: 20_000}})
	return &l, &Observations{SavedAt: now, Head: peerreport.ReportHeader{Peer: "n", AgeMs: 300, HostCount: 1}, Entries: []peerreport.Observation{{HostID: "h1", IsOutlier: true}}}
}

func TestWhatIsBelievedByItsAge(t *testing.T) {
	for _, c := range []struct {
		name        string
		at          int64
		level       TrustLevel
		plan        int64
		list, notes bool
	}{
		{"fresh", now + 2000, TrustAll, 8, true, true},
		{"a longer stop", now + 31_000, TrustAll, 8, true, false},
		{"the age at writing counts too", now + notesLife - 200, TrustAll, 8, true, false},
		{"weeks", now + 2*listLife, TrustAll, 8, false, false},
		{"a newer plan", now + 2000, TrustAll, 9, false, true},
		{"the clock went back", now - 24*3_600_000, TrustAll, 8, true, false},
		{"third start", now + 2000, TrustWithoutObservations, 8, true, false},
		{"fourth start", now + 2000, TrustWithoutEndpoints, 8, false, false},
	} {
		l, n := kept()
		b := Restore(c.at, c.level, c.plan, l, n)
		require.Equal(t, c.list, b.Update != nil, c.name)
		require.Equal(t, c.notes, b.Observations != nil, c.name)
		require.Equal(t, c.name == "fresh", len(b.Discarded) == 0, c.name)
	}
	l, n := kept()
	b := Restore(now+2000, TrustAll, 8, l, n)
	require.EqualValues(t, 2300, b.Observations.Head.AgeMs)
	require.Equal(t, []endpoints.Removal{{ID: "h2", RemovedBy: "discovery", StartedMS: 5, Age: 40_000}}, b.Update.Removals)
	require.Zero(t, b.Update.Hosts[0].Line)
	require.NoError(t, b.Observations.Validate())
	n.Head.HostCount = 2
	require.Error(t, n.Validate())
	require.Empty(t, Restore(now, TrustAll, 8, nil, nil))
}

// What was kept has the shape that package endpoints takes, and what it knew to be removed stays so.
func TestAKeptListIsTaken(t *testing.T) {
	l, n := kept()
	b := Restore(now+2000, TrustAll, 8, l, n)
	book := endpoints.NewRegistry(endpoints.Rules{})
	_, err := book.Apply(1, *b.Update)
	require.NoError(t, err)
	_, err = book.Apply(2, endpoints.Update{Source: "slow", Rank: endpoints.RankFile, Version: 1, Hosts: []endpoints.Host{{ID: "h2", Addr: "a:2", Weight: 1, StartedMS: 5}}})
	require.NoError(t, err)
	require.Len(t, book.List(), 1)
}
