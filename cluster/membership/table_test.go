package membership

import (
	"fmt"
	"math/rand"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var listed = []string{"a", "b", "c", "d", "e"}

func at(name string, n uint64, s State) Member {
	return Member{Name: name, Incarnation: n, Addr: name + ":1", State: s}
}

func book(names ...string) *Table {
	b := NewTable(at("a", 10, Alive), listed)
	for _, name := range names {
		b.ApplyUpdate(1, at(name, 10, Alive))
	}
	return b
}

// words are drawn as they can be said: what a life says of itself in one word is one thing.
func words(t *rapid.T) (all []Member) {
	for range rapid.IntRange(1, 40).Draw(t, "words") {
		m := at(rapid.SampledFrom([]string{"b", "c", "d", "new"}).Draw(t, "name"), rapid.Uint64Range(1, 12).Draw(t, "life"),
			State(rapid.IntRange(0, 3).Draw(t, "state")))
		m.MetaVersion, m.SuspicionVersion = rapid.Uint64Range(0, 3).Draw(t, "word"), rapid.Uint64Range(0, 3).Draw(t, "look")
		m.ProgramVersion = fmt.Sprint(m.Name, m.Incarnation, m.MetaVersion)
		if rapid.IntRange(0, 9).Draw(t, "moved") == 0 {
			m.Addr += "2"
			m.ProgramVersion += "2"
		}
		if m.State.IsTerminal() && rapid.Bool().Draw(t, "bare") {
			m = Member{Name: m.Name, Incarnation: m.Incarnation, State: m.State}
		}
		all = append(all, m)
	}
	return all
}

type seen struct {
	Members, Ended []Member
	Conflicts      []string
	Heard          int
	Majority       bool
}

func look(b *Table) seen {
	s := seen{Members: b.Members(), Ended: b.EndedIncarnations(), Conflicts: b.NameConflicts(), Majority: b.HasMajority(1)}
	s.Heard, _ = b.CountAliveVoters(1)
	return s
}

func TestAnyOrderAndDuplicationGivesTheSameBook(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := words(t)
		one, two := book(), book()
		for _, m := range all {
			one.ApplyUpdate(1, m)
		}
		again := append(append([]Member{}, all...), all[:rapid.IntRange(0, len(all)).Draw(t, "twice")]...)
		rand.New(rand.NewSource(rapid.Int64().Draw(t, "order"))).Shuffle(len(again), func(i, j int) {
			again[i], again[j] = again[j], again[i]
		})
		for _, m := range again {
			two.ApplyUpdate(1, m)
		}
		require.Equal(t, look(one), look(two))
		for _, m := range all {
			require.False(t, two.ApplyUpdate(1, m), "what is known changes nothing: %v", m)
		}
	})
}

func TestNoLateWordWins(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b, highest, over := book(), map[string]uint64{}, map[string]bool{}
		for _, m := range words(t) {
			b.ApplyUpdate(1, m)
			highest[m.Name] = max(highest[m.Name], m.Incarnation)
			over[fmt.Sprint(m.Name, m.Incarnation)] = over[fmt.Sprint(m.Name, m.Incarnation)] || m.State.IsTerminal()
			for _, now := range b.Members() {
				if now.Name == "a" {
					continue
				}
				require.Equal(t, highest[now.Name], now.Incarnation)
				require.Equal(t, over[fmt.Sprint(now.Name, now.Incarnation)], now.State.IsTerminal())
			}
		}
	})
}

func TestOneThatWasGoneIsBackAsAnother(t *testing.T) {
	b := book("b", "c")
	require.True(t, b.ApplyUpdate(2, at("b", 10, Dead)))
	require.False(t, b.ApplyUpdate(3, at("b", 10, Alive)), "its old voice")
	require.False(t, b.ApplyUpdate(3, Member{Name: "b", Incarnation: 10, MetaVersion: 9, Addr: "b:1"}) && b.Members()[1].State == Alive)
	require.True(t, b.ApplyUpdate(4, at("b", 11, Alive)))
	require.Equal(t, []Member{{Name: "b", Incarnation: 10, State: Dead}}, b.EndedIncarnations())
	require.Empty(t, b.NameConflicts(), "a restart is no conflict")

	require.True(t, b.ApplyUpdate(5, Member{Name: "a", Incarnation: 10, State: Dead}), "I was given up")
	require.Equal(t, uint64(11), b.Self().Incarnation)
	require.False(t, b.ApplyUpdate(6, Member{Name: "a", Incarnation: 10, State: Dead}))
	require.True(t, b.ApplyUpdate(6, at("a", 20, Left)), "my clock went back: the life before had a later time")
	require.Equal(t, uint64(21), b.Self().Incarnation)
	require.Empty(t, b.NameConflicts())
}

func TestOnlyMoreThanHalfIsAMajority(t *testing.T) {
	b := book("b")
	heard, of := b.CountAliveVoters(1)
	require.Equal(t, []any{2, 5, false}, []any{heard, of, b.HasMajority(1)})
	b.ApplyUpdate(2, at("x", 1, Alive))
	require.False(t, b.HasMajority(2), "one that is not listed does not count")
	b.ApplyUpdate(2, at("c", 1, Alive))
	require.True(t, b.HasMajority(2))
	doubt := at("c", 1, Suspect)
	doubt.SuspicionVersion = 1
	b.ApplyUpdate(3, doubt)
	require.False(t, b.HasMajority(3), "one that is suspect does not count")
	require.Equal(t, int64(3), b.Members()[2].StateSince)
	sure := at("c", 1, Alive)
	sure.SuspicionVersion = 2
	b.ApplyUpdate(4, sure)
	require.False(t, b.ApplyUpdate(4, doubt), "a late suspicion")
	require.True(t, b.HasMajority(4))
	b.Leave(5)
	require.False(t, b.HasMajority(5))
	require.False(t, NewTable(at("a", 1, Alive), nil).HasMajority(1), "of none listed there is no majority")
}

func TestTwoThatClaimOneNameTakePartInNoVote(t *testing.T) {
	b := book("b", "c")
	other := at("b", 12, Alive)
	other.Addr = "b:2"
	require.True(t, b.ApplyUpdate(2, other))
	require.Equal(t, []string{"b"}, b.NameConflicts())
	heard, _ := b.CountAliveVoters(2)
	require.Equal(t, 2, heard)
	require.True(t, b.ApplyUpdate(3, at("b", 10, Dead)), "one of both ends")
	require.Empty(t, b.NameConflicts())
	require.True(t, b.HasMajority(3))

	mine := at("a", 99, Alive)
	mine.Addr = "a:2"
	b.ApplyUpdate(4, mine)
	require.Equal(t, []string{"a"}, b.NameConflicts())
	require.False(t, b.HasMajority(4), "nor does one of both report a majority")
	require.Equal(t, uint64(10), b.Self().Incarnation, "nor rise over the other")
	b.ApplyUpdate(5, Member{Name: "a", Incarnation: 99, State: Dead})
	require.Equal(t, uint64(100), b.Self().Incarnation)
	require.True(t, b.HasMajority(5))

	same := b.Self()
	same.Addr = "a:3"
	b.ApplyUpdate(6, same)
	require.Equal(t, []string{"a"}, b.NameConflicts(), "one incarnation at two addresses")
}

func TestBookIsBounded(t *testing.T) {
	b := NewTable(at("a", 1, Alive), listed)
	for _, m := range []Member{
		{},
		{Name: "x"},
		at(strings.Repeat("x", MaxNameBytes+1), 1, Alive), at("x", 1, 4), at("x", 1<<64-1, Alive),
		{Name: "x", Incarnation: 1, Capabilities: make([]string, MaxCapabilities+1)},
		{Name: "x", Incarnation: 1, Zone: strings.Repeat("z", MaxTextBytes+1)},
	} {
		require.False(t, b.ApplyUpdate(1, m))
	}
	for i := range MaxMembers {
		require.True(t, b.ApplyUpdate(int64(i), at(fmt.Sprint("n", i), 1, Alive)))
	}
	require.False(t, b.ApplyUpdate(1, at("b", 1, Alive)), "all live")
	b.ApplyUpdate(2, at("n7", 1, Dead))
	require.True(t, b.ApplyUpdate(3, at("b", 1, Alive)), "one that is over makes room")
	for n := range uint64(50) {
		b.ApplyUpdate(1, at("b", n+1, Dead))
	}
	require.Len(t, b.records["b"], maxIncarnationsPerName)
	require.Len(t, b.EndedIncarnations(), 2)
}

func TestWhatAnInstanceSaysOfItself(t *testing.T) {
	b := NewTable(at("a", 1, Alive), listed)
	m := b.Self()
	require.Equal(t, m, b.UpdateSelf(m), "nothing new")
	m.SettingsGeneration, m.Name = 7, "z"
	m = b.UpdateSelf(m)
	require.Equal(t, []any{"a", uint64(7), uint64(1)}, []any{m.Name, m.SettingsGeneration, m.MetaVersion})
	s, known := b.IncarnationState("a", 1)
	require.True(t, known)
	require.Equal(t, "alive", s.String())
}
