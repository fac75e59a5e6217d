package membership

import (
	"fmt"
	"math/rand"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var testVoters = []string{"a", "b", "c", "d", "e"}

func member(name string, incarnation uint64, state State) Member {
	return Member{Name: name, Incarnation: incarnation, Addr: name + ":1", State: state}
}

// newTestTable returns the table of member a, in which the named members are alive.
func newTestTable(alive ...string) *Table {
	table := NewTable(member("a", 10, Alive), testVoters)
	for _, name := range alive {
		table.ApplyUpdate(1, member(name, 10, Alive))
	}
	return table
}

// drawUpdates draws updates that members and observers could send: all updates with one metadata version have the same
// metadata.
func drawUpdates(t *rapid.T) (updates []Member) {
	for range rapid.IntRange(1, 40).Draw(t, "updates") {
		update := member(rapid.SampledFrom([]string{"b", "c", "d", "new"}).Draw(t, "name"), rapid.Uint64Range(1, 12).Draw(t, "incarnation"),
			State(rapid.IntRange(0, 3).Draw(t, "state")))
		update.MetaVersion = rapid.Uint64Range(0, 3).Draw(t, "meta version")
		update.SuspicionVersion = rapid.Uint64Range(0, 3).Draw(t, "suspicion version")
		update.ProgramVersion = fmt.Sprint(update.Name, update.Incarnation, update.MetaVersion)
		if rapid.IntRange(0, 9).Draw(t, "other address") == 0 {
			update.Addr += "2"
			update.ProgramVersion += "2"
		}
		if update.State.IsTerminal() && rapid.Bool().Draw(t, "without metadata") {
			update = Member{Name: update.Name, Incarnation: update.Incarnation, State: update.State}
		}
		updates = append(updates, update)
	}
	return updates
}

// tableView is everything that a table reports.
type tableView struct {
	Members, Ended []Member
	Conflicts      []string
	AliveVoters    int
	Majority       bool
}

func viewOf(table *Table) tableView {
	view := tableView{
		Members: table.Members(), Ended: table.EndedIncarnations(),
		Conflicts: table.NameConflicts(), Majority: table.HasMajority(1),
	}
	view.AliveVoters, _ = table.CountAliveVoters(1)
	return view
}

// Tables that receive the same updates in different orders, or some of them twice, must not differ: the instances would
// never agree on the members.
func TestUpdatesInAnyOrderAndWithDuplicatesGiveTheSameTable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		updates := drawUpdates(t)
		ordered, shuffled := newTestTable(), newTestTable()
		for _, update := range updates {
			ordered.ApplyUpdate(1, update)
		}
		again := append(append([]Member{}, updates...), updates[:rapid.IntRange(0, len(updates)).Draw(t, "duplicates")]...)
		rand.New(rand.NewSource(rapid.Int64().Draw(t, "order"))).Shuffle(len(again), func(i, j int) {
			again[i], again[j] = again[j], again[i]
		})
		for _, update := range again {
			shuffled.ApplyUpdate(1, update)
		}
		require.Equal(t, viewOf(ordered), viewOf(shuffled))
		for _, update := range updates {
			require.False(t, shuffled.ApplyUpdate(1, update), "a known update changes nothing: %v", update)
		}
	})
}

// A delayed update must not replace an incarnation by an older one, nor make an ended incarnation alive again.
func TestOlderAndEndedIncarnationsNeverReturn(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table, highest, ended := newTestTable(), map[string]uint64{}, map[string]bool{}
		for _, update := range drawUpdates(t) {
			table.ApplyUpdate(1, update)
			highest[update.Name] = max(highest[update.Name], update.Incarnation)
			incarnation := fmt.Sprint(update.Name, update.Incarnation)
			ended[incarnation] = ended[incarnation] || update.State.IsTerminal()
			for _, current := range table.Members() {
				if current.Name == "a" {
					continue
				}
				require.Equal(t, highest[current.Name], current.Incarnation)
				require.Equal(t, ended[fmt.Sprint(current.Name, current.Incarnation)], current.State.IsTerminal())
			}
		}
	})
}

// A member that was declared dead must become alive again only with a higher incarnation. An instance that is itself declared
// dead, or whose previous incarnation is higher because a clock was set back, must take an incarnation above the ended one.
func TestDeadMemberReturnsWithNewIncarnation(t *testing.T) {
	table := newTestTable("b", "c")
	require.True(t, table.ApplyUpdate(2, member("b", 10, Dead)))
	require.False(t, table.ApplyUpdate(3, member("b", 10, Alive)), "an update of the ended incarnation")
	require.False(t, table.ApplyUpdate(3, Member{Name: "b", Incarnation: 10, MetaVersion: 9, Addr: "b:1"}) && table.Members()[1].State == Alive)
	require.True(t, table.ApplyUpdate(4, member("b", 11, Alive)))
	require.Equal(t, []Member{{Name: "b", Incarnation: 10, State: Dead}}, table.EndedIncarnations())
	require.Empty(t, table.NameConflicts(), "a restart is no conflict")

	require.True(t, table.ApplyUpdate(5, Member{Name: "a", Incarnation: 10, State: Dead}), "declared dead by others")
	require.Equal(t, uint64(11), table.Self().Incarnation)
	require.False(t, table.ApplyUpdate(6, Member{Name: "a", Incarnation: 10, State: Dead}))
	require.True(t, table.ApplyUpdate(6, member("a", 20, Left)), "after a clock was set back the previous incarnation was higher")
	require.Equal(t, uint64(21), table.Self().Incarnation)
	require.Empty(t, table.NameConflicts())
}

// Invalid updates, too many names or a crash loop must not grow a table beyond its limits. A name that has ended makes room
// for a new one.
func TestTableIsBounded(t *testing.T) {
	table := NewTable(member("a", 1, Alive), testVoters)
	for _, m := range []Member{
		{},
		{Name: "x"},
		member(strings.Repeat("x", MaxNameBytes+1), 1, Alive), member("x", 1, 4), member("x", 1<<64-1, Alive),
		{Name: "x", Incarnation: 1, Capabilities: make([]string, MaxCapabilities+1)},
		{Name: "x", Incarnation: 1, Zone: strings.Repeat("z", MaxTextBytes+1)},
	} {
		require.False(t, table.ApplyUpdate(1, m))
	}
	for i := range MaxMembers {
		require.True(t, table.ApplyUpdate(int64(i), member(fmt.Sprint("n", i), 1, Alive)))
	}
	require.False(t, table.ApplyUpdate(1, member("b", 1, Alive)), "the table is full and no name has ended")
	table.ApplyUpdate(2, member("n7", 1, Dead))
	require.True(t, table.ApplyUpdate(3, member("b", 1, Alive)), "a name that has ended makes room")
	for n := range uint64(50) {
		table.ApplyUpdate(1, member("b", n+1, Dead))
	}
	require.Len(t, table.records["b"], maxIncarnationsPerName)
	require.Len(t, table.EndedIncarnations(), 2)
}

// Each change of an instance's own metadata must raise its MetaVersion, else other instances would ignore the change.
// Unchanged metadata keeps the version, and the name cannot be changed.
func TestUpdateSelfCountsMetadataVersions(t *testing.T) {
	table := NewTable(member("a", 1, Alive), testVoters)
	m := table.Self()
	require.Equal(t, m, table.UpdateSelf(m), "same metadata")
	m.SettingsGeneration, m.Name = 7, "z"
	m = table.UpdateSelf(m)
	require.Equal(t, []any{"a", uint64(7), uint64(1)}, []any{m.Name, m.SettingsGeneration, m.MetaVersion})
	state, known := table.IncarnationState("a", 1)
	require.True(t, known)
	require.Equal(t, "alive", state.String())
}
