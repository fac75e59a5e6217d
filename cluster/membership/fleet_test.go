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

func book(names ...string) *Book {
	b := New(at("a", 10, Alive), listed)
	for _, name := range names {
		b.Told(1, at(name, 10, Alive))
	}
	return b
}

// words are drawn as they can be said: what a life says of itself in one word is one thing.
func words(t *rapid.T) (all []Member) {
	for range rapid.IntRange(1, 40).Draw(t, "words") {
		m := at(rapid.SampledFrom([]string{"b", "c", "d", "new"}).Draw(t, "name"), rapid.Uint64Range(1, 12).Draw(t, "life"),
			State(rapid.IntRange(0, 3).Draw(t, "state")))
		m.Word, m.Look = rapid.Uint64Range(0, 3).Draw(t, "word"), rapid.Uint64Range(0, 3).Draw(t, "look")
		m.Program = fmt.Sprint(m.Name, m.Incarnation, m.Word)
		if rapid.IntRange(0, 9).Draw(t, "moved") == 0 {
			m.Addr += "2"
			m.Program += "2"
		}
		if m.State.Over() && rapid.Bool().Draw(t, "bare") {
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

func look(b *Book) seen {
	s := seen{Members: b.Members(), Ended: b.Ended(), Conflicts: b.Conflicts(), Majority: b.Majority(1)}
	s.Heard, _ = b.Heard(1)
	return s
}

func TestAnyOrderAndDuplicationGivesTheSameBook(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := words(t)
		one, two := book(), book()
		for _, m := range all {
			one.Told(1, m)
		}
		again := append(append([]Member{}, all...), all[:rapid.IntRange(0, len(all)).Draw(t, "twice")]...)
		rand.New(rand.NewSource(rapid.Int64().Draw(t, "order"))).Shuffle(len(again), func(i, j int) {
			again[i], again[j] = again[j], again[i]
		})
		for _, m := range again {
			two.Told(1, m)
		}
		require.Equal(t, look(one), look(two))
		for _, m := range all {
			require.False(t, two.Told(1, m), "what is known changes nothing: %v", m)
		}
	})
}

func TestNoLateWordWins(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b, highest, over := book(), map[string]uint64{}, map[string]bool{}
		for _, m := range words(t) {
			b.Told(1, m)
			highest[m.Name] = max(highest[m.Name], m.Incarnation)
			over[fmt.Sprint(m.Name, m.Incarnation)] = over[fmt.Sprint(m.Name, m.Incarnation)] || m.State.Over()
			for _, now := range b.Members() {
				if now.Name == "a" {
					continue
				}
				require.Equal(t, highest[now.Name], now.Incarnation)
				require.Equal(t, over[fmt.Sprint(now.Name, now.Incarnation)], now.State.Over())
			}
		}
	})
}

func TestOneThatWasGoneIsBackAsAnother(t *testing.T) {
	b := book("b", "c")
	require.True(t, b.Told(2, at("b", 10, Gone)))
	require.False(t, b.Told(3, at("b", 10, Alive)), "its old voice")
	require.False(t, b.Told(3, Member{Name: "b", Incarnation: 10, Word: 9, Addr: "b:1"}) && b.Members()[1].State == Alive)
	require.True(t, b.Told(4, at("b", 11, Alive)))
	require.Equal(t, []Member{{Name: "b", Incarnation: 10, State: Gone}}, b.Ended())
	require.Empty(t, b.Conflicts(), "a restart is no conflict")

	require.True(t, b.Told(5, Member{Name: "a", Incarnation: 10, State: Gone}), "I was given up")
	require.Equal(t, uint64(11), b.Me().Incarnation)
	require.False(t, b.Told(6, Member{Name: "a", Incarnation: 10, State: Gone}))
	require.True(t, b.Told(6, at("a", 20, Left)), "my clock went back: the life before had a later time")
	require.Equal(t, uint64(21), b.Me().Incarnation)
	require.Empty(t, b.Conflicts())
}

func TestOnlyMoreThanHalfIsAMajority(t *testing.T) {
	b := book("b")
	heard, of := b.Heard(1)
	require.Equal(t, []any{2, 5, false}, []any{heard, of, b.Majority(1)})
	b.Told(2, at("x", 1, Alive))
	require.False(t, b.Majority(2), "one that is not listed does not count")
	b.Told(2, at("c", 1, Alive))
	require.True(t, b.Majority(2))
	doubt := at("c", 1, Suspect)
	doubt.Look = 1
	b.Told(3, doubt)
	require.False(t, b.Majority(3), "one that is suspect does not count")
	require.Equal(t, int64(3), b.Members()[2].Since)
	sure := at("c", 1, Alive)
	sure.Look = 2
	b.Told(4, sure)
	require.False(t, b.Told(4, doubt), "a late suspicion")
	require.True(t, b.Majority(4))
	b.Leave(5)
	require.False(t, b.Majority(5))
	require.False(t, New(at("a", 1, Alive), nil).Majority(1), "of none listed there is no majority")
}

func TestTwoThatClaimOneNameTakePartInNoVote(t *testing.T) {
	b := book("b", "c")
	other := at("b", 12, Alive)
	other.Addr = "b:2"
	require.True(t, b.Told(2, other))
	require.Equal(t, []string{"b"}, b.Conflicts())
	heard, _ := b.Heard(2)
	require.Equal(t, 2, heard)
	require.True(t, b.Told(3, at("b", 10, Gone)), "one of both ends")
	require.Empty(t, b.Conflicts())
	require.True(t, b.Majority(3))

	mine := at("a", 99, Alive)
	mine.Addr = "a:2"
	b.Told(4, mine)
	require.Equal(t, []string{"a"}, b.Conflicts())
	require.False(t, b.Majority(4), "nor does one of both report a majority")
	require.Equal(t, uint64(10), b.Me().Incarnation, "nor rise over the other")
	b.Told(5, Member{Name: "a", Incarnation: 99, State: Gone})
	require.Equal(t, uint64(100), b.Me().Incarnation)
	require.True(t, b.Majority(5))

	same := b.Me()
	same.Addr = "a:3"
	b.Told(6, same)
	require.Equal(t, []string{"a"}, b.Conflicts(), "one incarnation at two addresses")
}

func TestBookIsBounded(t *testing.T) {
	b := New(at("a", 1, Alive), listed)
	for _, m := range []Member{{}, {Name: "x"}, at(strings.Repeat("x", NameMost+1), 1, Alive), at("x", 1, 4), at("x", 1<<64-1, Alive),
		{Name: "x", Incarnation: 1, Parts: make([]string, PartsMost+1)}, {Name: "x", Incarnation: 1, Zone: strings.Repeat("z", TextMost+1)}} {
		require.False(t, b.Told(1, m))
	}
	for i := range MembersMost {
		require.True(t, b.Told(int64(i), at(fmt.Sprint("n", i), 1, Alive)))
	}
	require.False(t, b.Told(1, at("b", 1, Alive)), "all live")
	b.Told(2, at("n7", 1, Gone))
	require.True(t, b.Told(3, at("b", 1, Alive)), "one that is over makes room")
	for n := range uint64(50) {
		b.Told(1, at("b", n+1, Gone))
	}
	require.Len(t, b.lives["b"], livesMost)
	require.Len(t, b.Ended(), 2)
}

func TestWhatAnInstanceSaysOfItself(t *testing.T) {
	b := New(at("a", 1, Alive), listed)
	m := b.Me()
	require.Equal(t, m, b.Change(1, m), "nothing new")
	m.Generation, m.Name = 7, "z"
	m = b.Change(1, m)
	require.Equal(t, []any{"a", uint64(7), uint64(1)}, []any{m.Name, m.Generation, m.Word})
	s, known := b.Standing("a", 1)
	require.True(t, known)
	require.Equal(t, "alive", s.String())
}
