package endpoints

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	flag.Set("rapid.seed", "1")
	flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

func host(id string, cell int) Host {
	return Host{ID: id, Addr: "127.0.0.1:" + id, Zone: "hall", Kind: "std", Cell: cell, Weight: 1}
}

func hosts(count int) (all []Host) {
	for i := range count {
		all = append(all, host(fmt.Sprint("h", i), i%4))
	}
	return all
}

func ids(b *Registry) (all []string) {
	for _, e := range b.List() {
		all = append(all, e.ID)
	}
	return all
}

func tell(t require.TestingT, b *Registry, now int64, told Update) bool {
	changed, err := b.Apply(now, told)
	require.NoError(t, err)
	return changed
}

var rules = Rules{Zones: []string{"hall", "far"}, Kinds: []string{"std"}, BlockSets: 4, SetsPerHost: 1}

func TestPrecedence(t *testing.T) {
	b := NewRegistry(rules)
	require.True(t, tell(t, b, 1, Update{Source: "plan", Rank: RankPlan, Version: 1, Hosts: hosts(8)}))
	require.EqualValues(t, 1, b.Generation())
	require.False(t, tell(t, b, 2, Update{Source: "plan", Rank: RankPlan, Version: 1, Hosts: hosts(4)}), "no newer version")
	moved := hosts(8)
	moved[3].Addr, moved[3].Weight = "127.0.0.2:1", 2
	require.True(t, tell(t, b, 3, Update{Source: "hosts.yaml", Rank: RankFile, Version: 1, Hosts: moved[3:4]}))
	require.Equal(t, "127.0.0.2:1", b.List()[3].Addr, "a file's particulars hold over the plan's")
	require.Equal(t, "hosts.yaml", b.List()[3].Source)
	require.Equal(t, "plan", b.List()[2].Source)
	require.False(t, tell(t, b, 4, Update{Source: "discovery", Rank: RankDiscovery, Version: 7, Hosts: hosts(8)[3:4]}), "nor does one between")
	require.True(t, b.RemoveSource(5, "hosts.yaml"))
	require.Equal(t, "127.0.0.1:h3", b.List()[3].Addr)
	require.EqualValues(t, 3, b.Generation())
}

// A drain that any source tells holds until that source takes it back, whatever others say.
func TestDrains(t *testing.T) {
	b := NewRegistry(rules)
	tell(t, b, 1, Update{Source: "discovery", Rank: RankDiscovery, Version: 1, Hosts: hosts(8)})
	drained := hosts(8)[:1]
	drained[0].State = StateDraining
	require.True(t, tell(t, b, 2, Update{Source: "discovery", Rank: RankDiscovery, Version: 2, Partial: true, Hosts: drained}))
	up := hosts(8)[:1]
	tell(t, b, 3, Update{Source: "hosts.yaml", Rank: RankFile, Version: 1, Hosts: up})
	require.Equal(t, StateDraining, b.List()[0].State, "a file names a drained host as up")
	require.Equal(t, []string{"discovery"}, b.List()[0].DrainedBy)
	require.True(t, tell(t, b, 4, Update{Source: "discovery", Rank: RankDiscovery, Version: 3, Partial: true, Hosts: up}))
	require.Equal(t, StateUp, b.List()[0].State)
}

// A host that one source has removed is not brought back by a slower one, but by the remover, by a new life or by time.
func TestRemovals(t *testing.T) {
	for _, back := range []string{"remover", "life", "time"} {
		b := NewRegistry(rules)
		tell(t, b, 1, Update{Source: "plan", Rank: RankPlan, Version: 1, Hosts: hosts(9)})
		tell(t, b, 2, Update{Source: "discovery", Rank: RankDiscovery, Version: 1, Hosts: hosts(9)})
		require.True(t, tell(t, b, 3, Update{Source: "discovery", Rank: RankDiscovery, Version: 2, Hosts: hosts(9)[1:]}))
		require.NotContains(t, ids(b), "h0")
		require.False(t, tell(t, b, 4, Update{Source: "plan", Rank: RankPlan, Version: 2, Hosts: hosts(9)}))
		tell(t, b, 5, Update{Source: "hosts.yaml", Rank: RankFile, Version: 2, Hosts: hosts(9)[1:]})
		require.NotContains(t, ids(b), "h0")
		switch again := hosts(9); back {
		case "remover":
			require.True(t, tell(t, b, 6, Update{Source: "discovery", Rank: RankDiscovery, Version: 3, Hosts: again}))
		case "life":
			again[0].StartedMS = 5
			require.True(t, tell(t, b, 6, Update{Source: "hosts.yaml", Rank: RankFile, Version: 3, Hosts: again}))
		case "time":
			require.False(t, b.Tick(3+removalMemory-1))
			require.EqualValues(t, 3+removalMemory, b.NextTick())
			require.True(t, b.Tick(3+removalMemory))
		}
		require.Contains(t, ids(b), "h0", back)
	}
}

// A list that drops much at once, or the last holder of a block, is held back for a while and told, unless it is meant;
// the next list that does not takes its place.
func TestHeldBack(t *testing.T) {
	begin := func() *Registry {
		b := NewRegistry(rules)
		tell(t, b, 1, Update{Source: "hosts.yaml", Rank: RankFile, Version: 1, Hosts: hosts(12)})
		return b
	}
	b := begin()
	require.False(t, tell(t, b, 10, Update{Source: "hosts.yaml", Rank: RankFile, Version: 2, Hosts: hosts(6)}))
	require.Equal(t, map[string]string{"hosts.yaml": "drops 6 of 12 hosts"}, b.HeldBackSources())
	require.Len(t, b.List(), 12)
	require.False(t, b.Tick(10+holdBackTime-1))
	require.True(t, b.Tick(10+holdBackTime), "nobody has mended it: it is what the source says")
	require.Len(t, b.List(), 6)
	require.Empty(t, b.HeldBackSources())

	b = begin()
	tell(t, b, 10, Update{Source: "hosts.yaml", Rank: RankFile, Version: 2, Hosts: hosts(6)})
	require.False(t, tell(t, b, 20, Update{Source: "hosts.yaml", Rank: RankFile, Version: 3, Hosts: hosts(12)}))
	require.Empty(t, b.HeldBackSources(), "a source that goes back")
	require.False(t, b.Tick(10+holdBackTime))
	require.Len(t, b.List(), 12)

	b = begin()
	require.True(t, tell(t, b, 10, Update{Source: "hosts.yaml", Rank: RankFile, Version: 2, Hosts: hosts(6), Confirmed: true}))
	require.Len(t, b.List(), 6)

	b = begin()
	alone := slices.DeleteFunc(hosts(12), func(h Host) bool { return h.Cell == 3 })
	require.False(t, tell(t, b, 10, Update{Source: "hosts.yaml", Rank: RankFile, Version: 2, Hosts: alone}))
	require.Equal(t, "leaves block set 3 without a holder", b.HeldBackSources()["hosts.yaml"])
	tell(t, b, 11, Update{Source: "discovery", Rank: RankDiscovery, Version: 1, Hosts: []Host{host("other", 3)}})
	require.True(t, tell(t, b, 12, Update{Source: "hosts.yaml", Rank: RankFile, Version: 3, Hosts: alone}), "another source's host holds it")

	b = begin() // changes of a list that is held back are changes of that list
	tell(t, b, 10, Update{Source: "hosts.yaml", Rank: RankFile, Version: 2, Hosts: hosts(6)})
	tell(t, b, 11, Update{Source: "hosts.yaml", Rank: RankFile, Version: 3, Partial: true, Hosts: []Host{host("new", 1)}})
	b.Tick(10 + holdBackTime)
	require.Len(t, b.List(), 7)
}

func TestRefused(t *testing.T) {
	b := NewRegistry(rules)
	tell(t, b, 1, Update{Source: "plan", Version: 1, Hosts: hosts(4)})
	for why, edit := range map[string]func(all []Host) []Host{
		"is there twice":         func(all []Host) []Host { return append(all, all[0]) },
		"has the address":        func(all []Host) []Host { all[1].Addr = all[0].Addr; return all },
		"without an id":          func(all []Host) []Host { all[1].ID = ""; return all },
		"has no address":         func(all []Host) []Host { all[1].Addr = ""; return all },
		"weight 0 ":              func(all []Host) []Host { all[1].Weight = 0; return all },
		"weight 2000 ":           func(all []Host) []Host { all[1].Weight = 2000; return all },
		`unknown zone "nowhere"`: func(all []Host) []Host { all[1].Zone = "nowhere"; return all },
		`unknown kind "odd"`:     func(all []Host) []Host { all[1].Kind = "odd"; return all },
		"cell 4 is not":          func(all []Host) []Host { all[1].Cell = 4; return all },
		"started_ms -1":          func(all []Host) []Host { all[1].StartedMS = -1; return all },
		"state 9":                func(all []Host) []Host { all[1].State = 9; return all },
	} {
		all := hosts(4)
		all[1].Line, all[1].Column = 7, 3
		_, err := b.Apply(2, Update{Source: "hosts.yaml", Rank: RankFile, Version: 9, Hosts: edit(all)})
		require.ErrorContains(t, err, why)
		require.Len(t, b.List(), 4)
		require.EqualValues(t, 1, b.Generation())
	}
	_, err := b.Apply(3, Update{Source: "plan", Version: 0, VersionReset: true, Partial: true})
	require.Error(t, err)
	again := hosts(4)
	again[2].Weight = 3
	require.False(t, tell(t, b, 4, Update{Source: "plan", Version: 0, Hosts: again}))
	require.True(t, tell(t, b, 5, Update{Source: "plan", Version: 0, VersionReset: true, Hosts: again}), "versions have begun again")
}

// drawList draws some of ten hosts for a source.
func drawList(t *rapid.T, name string, rank Rank, version int64) Update {
	told := Update{Source: name, Rank: rank, Version: version, Confirmed: rapid.Bool().Draw(t, "meant")}
	for i := range 10 {
		if rapid.Bool().Draw(t, "listed") {
			h := host(fmt.Sprint("h", i), i%4)
			h.Addr = fmt.Sprintf("%s:%d", name, i)
			h.State = State(rapid.IntRange(0, 2).Draw(t, "state"))
			h.Weight = float64(rapid.IntRange(0, 3).Draw(t, "weight")) // 0 spoils the list
			told.Hosts = append(told.Hosts, h)
		}
	}
	return told
}

// The order in which sources tell their first lists does not matter beyond their precedence, once none is held back.
func TestOrderDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var lists []Update
		for rank, name := range []string{"plan", "store", "discovery", "hosts.yaml"} {
			told := drawList(t, name, Rank(rank), 1)
			told.Hosts = slices.DeleteFunc(told.Hosts, func(h Host) bool { return h.State == StateRemoved || h.Weight == 0 })
			lists = append(lists, told)
		}
		play := func(order []Update) *Registry {
			b := NewRegistry(rules)
			for i, told := range order {
				tell(t, b, int64(i+1), told)
			}
			b.Tick(int64(len(order)) + holdBackTime)
			return b
		}
		want := play(lists).List()
		require.Equal(t, want, play(rapid.Permutation(lists).Draw(t, "order")).List())
	})
}

// No sequence of good and bad lists, drains, removals and time leads to an entry that no source tells, to one that its
// source has removed, or to two hosts at one address; and a generation is a change.
func TestNothingIsMadeUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b, now, last := NewRegistry(rules), int64(1), ""
		told := map[string]map[string]Host{} // all that a source ever told, by id and particulars
		version := int64(0)
		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			now += int64(rapid.IntRange(1, 2*holdBackTime).Draw(t, "wait"))
			name := rapid.SampledFrom([]string{"plan", "discovery", "hosts.yaml"}).Draw(t, "source")
			rank := map[string]Rank{"plan": RankPlan, "discovery": RankDiscovery, "hosts.yaml": RankFile}[name]
			version++
			list := drawList(t, name, rank, version)
			list.Partial = rapid.Bool().Draw(t, "partial")
			before := b.Generation()
			if _, err := b.Apply(now, list); err != nil {
				require.Equal(t, before, b.Generation(), "a refused list changes nothing")
			} else {
				if told[name] == nil {
					told[name] = map[string]Host{}
				}
				for _, h := range list.Hosts {
					h.State = StateUp
					told[name][fmt.Sprint(h)] = h
				}
			}
			b.Tick(now)
			addrs := map[string]bool{}
			for _, e := range b.List() {
				h := e.Host
				h.State = StateUp
				require.Contains(t, told[e.Source], fmt.Sprint(h))
				require.NotEqual(t, StateRemoved, e.State)
				require.Equal(t, e.State == StateDraining, len(e.DrainedBy) > 0)
				require.False(t, addrs[e.Addr])
				addrs[e.Addr] = true
			}
			text := fmt.Sprint(b.List())
			require.Equal(t, text != last && (text != "[]" || last != ""), b.Generation() != before)
			last = text
		}
	})
}

// What a store told of hosts ends where discovery speaks, at once where that takes few hosts away.
func TestAStoreEndsWhereDiscoverySpeaks(t *testing.T) {
	names := func(b *Registry) (all []string) {
		for _, e := range b.List() {
			all = append(all, e.ID)
		}
		return all
	}
	for _, storeFirst := range []bool{true, false} {
		for _, few := range []bool{true, false} {
			b, was, now := NewRegistry(rules), hosts(12), hosts(12)[:4]
			if few {
				now = hosts(12)[:10]
			}
			lists := []Update{{Source: "store", Rank: RankStore, Version: 1, Confirmed: true, Hosts: was}, {Source: "discovery", Rank: RankDiscovery, Version: 9, Hosts: now}}
			if !storeFirst {
				slices.Reverse(lists)
			}
			tell(t, b, 1, lists[0])
			tell(t, b, 2, lists[1])
			if !few {
				require.Len(t, names(b), 12)
				require.Len(t, b.HeldBackSources(), 1)
				require.EqualValues(t, 2+holdBackTime, b.NextTick())
				require.True(t, b.Tick(b.NextTick()))
			}
			require.Len(t, names(b), len(now))
			require.Empty(t, b.HeldBackSources())
		}
	}
}

// A removal that a store remembers keeps a slower source from bringing the host back, for what is left of its time; its
// remover, or a later life, does bring it back.
func TestRemovalsThatWereKept(t *testing.T) {
	old := NewRegistry(rules)
	tell(t, old, 1, Update{Source: "discovery", Rank: RankDiscovery, Version: 5, Hosts: hosts(8)})
	tell(t, old, 2, Update{Source: "discovery", Rank: RankDiscovery, Version: 6, Partial: true, Hosts: []Host{{ID: "h3", State: StateRemoved}, {ID: "h4", State: StateRemoved}}})
	gone := old.Removals(100 * ticksPerSecond)
	require.Equal(t, []Removal{{ID: "h3", RemovedBy: "discovery", Age: 100*ticksPerSecond - 2}, {ID: "h4", RemovedBy: "discovery", Age: 100*ticksPerSecond - 2}}, gone)
	begin := func() *Registry {
		b := NewRegistry(rules)
		tell(t, b, 1, Update{Source: "plan", Rank: RankPlan, Version: 5, Hosts: hosts(8)})
		require.True(t, tell(t, b, 2, Update{Source: "store", Rank: RankStore, Version: 1, Confirmed: true, Removals: gone}))
		require.Len(t, b.List(), 6)
		return b
	}
	b := begin()
	tell(t, b, 3, Update{Source: "slow.yaml", Rank: RankFile, Version: 1, Hosts: hosts(8)})
	require.Len(t, b.List(), 6, "a slower source")
	require.Equal(t, 4+removalMemory-100*ticksPerSecond, int(b.NextTick()))
	require.True(t, b.Tick(b.NextTick()))
	require.Len(t, b.List(), 8, "its time is over")
	b = begin()
	tell(t, b, 3, Update{Source: "discovery", Rank: RankDiscovery, Version: 7, Hosts: hosts(8)[:4]})
	require.Len(t, b.List(), 7, "its remover lists one again")
	later := hosts(8)
	later[4].StartedMS = 7
	tell(t, b, 4, Update{Source: "later.yaml", Rank: RankFile, Version: 1, Hosts: later})
	require.Len(t, b.List(), 8, "another life")
	tell(t, b, 5, Update{Source: "late", Rank: RankStore, Version: 1, Confirmed: true, Removals: gone})
	require.Len(t, b.List(), 8, "told after both have come back")
	_, err := b.Apply(6, Update{Source: "store", Rank: RankStore, Version: 2, Removals: []Removal{{RemovedBy: "x"}}})
	require.Error(t, err)
}

func BenchmarkThreeSources(b *testing.B) {
	all := hosts(10_000)
	book := NewRegistry(rules)
	for i := range b.N {
		for rank, name := range []string{"plan", "discovery", "hosts.yaml"} {
			if _, err := book.Apply(int64(i+1), Update{Source: name, Rank: Rank(rank), Version: int64(i + 1), Hosts: all}); err != nil {
				b.Fatal(err)
			}
		}
	}
}

// Sources that put a host, or what stands at its address, into different zones: the entry says so until they agree.
func TestZonesThatDiffer(t *testing.T) {
	b := NewRegistry(Rules{})
	tell := func(source string, rank Rank, version int64, hosts ...Host) {
		for i := range hosts {
			hosts[i].Weight = 1
		}
		_, err := b.Apply(1, Update{Source: source, Rank: rank, Version: version, Confirmed: true, Hosts: hosts})
		require.NoError(t, err)
	}
	tell("discovery", RankDiscovery, 1, Host{ID: "a", Addr: "1", Zone: "east"}, Host{ID: "b", Addr: "2", Zone: "east"}, Host{ID: "c", Addr: "3"})
	tell("file", RankFile, 1, Host{ID: "a", Addr: "1", Zone: "west"}, Host{ID: "x", Addr: "2", Zone: "west"}, Host{ID: "c", Addr: "3", Zone: "west"})
	apart := func() (ids string) {
		for _, e := range b.List() {
			if e.ZoneConflict {
				ids += e.ID
			}
		}
		return ids
	}
	require.Equal(t, "ax", apart(), "c's zone is told by one alone")
	before := b.Generation()
	tell("file", RankFile, 2, Host{ID: "a", Addr: "1", Zone: "east"}, Host{ID: "x", Addr: "2", Zone: "west"})
	require.Equal(t, "x", apart())
	require.Greater(t, b.Generation(), before)
}
