package endpoints

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// drawUpdate draws an update that lists some of ten hosts.
func drawUpdate(t *rapid.T, name string, rank Rank, version int64) Update {
	update := Update{Source: name, Rank: rank, Version: version, Confirmed: rapid.Bool().Draw(t, "confirmed")}
	for i := range 10 {
		if rapid.Bool().Draw(t, "listed") {
			host := testHost(fmt.Sprint("h", i), i%4)
			host.Addr = fmt.Sprintf("%s:%d", name, i)
			host.State = State(rapid.IntRange(0, 2).Draw(t, "state"))
			host.Weight = float64(rapid.IntRange(0, 3).Draw(t, "weight")) // 0 makes the update invalid
			update.Hosts = append(update.Hosts, host)
		}
	}
	return update
}

// Guards against a merged list that depends on the order in which the sources first answer after a start.
func TestOrderOfFirstUpdatesDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var updates []Update
		for rank, name := range []string{"plan", "store", "discovery", "hosts.yaml"} {
			update := drawUpdate(t, name, Rank(rank), 1)
			update.Hosts = slices.DeleteFunc(update.Hosts, func(h Host) bool { return h.State == StateRemoved || h.Weight == 0 })
			updates = append(updates, update)
		}
		listAfter := func(updates []Update) []Endpoint {
			r := NewRegistry(testRules)
			for i, update := range updates {
				mustApply(t, r, int64(i+1), update)
			}
			return r.List()
		}
		want := listAfter(updates)
		require.Equal(t, want, listAfter(rapid.Permutation(updates).Draw(t, "order")))
	})
}

// sentHosts are all hosts that each source ever sent, by source and content. Their states are set to up.
type sentHosts map[string]map[string]Host

func (s sentHosts) record(update Update) {
	if s[update.Source] == nil {
		s[update.Source] = map[string]Host{}
	}
	for _, host := range update.Hosts {
		host.State = StateUp
		s[update.Source][fmt.Sprint(host)] = host
	}
}

// checkList checks that each endpoint was sent by its source, that none is removed, and that no two have the same address.
func (s sentHosts) checkList(t *rapid.T, list []Endpoint) {
	addrs := map[string]bool{}
	for _, endpoint := range list {
		host := endpoint.Host
		host.State = StateUp
		sent := s[endpoint.Source]
		if endpoint.Source == "discovery" && sent[fmt.Sprint(host)].ID == "" {
			sent = s["plan"] // discovery's first changes are changes of the plan's list
		}
		require.Contains(t, sent, fmt.Sprint(host))
		require.NotEqual(t, StateRemoved, endpoint.State)
		require.Equal(t, endpoint.State == StateDraining, len(endpoint.DrainedBy) > 0)
		require.False(t, addrs[endpoint.Addr])
		addrs[endpoint.Addr] = true
	}
}

// Guards against an endpoint that no source has sent or that its source has removed, against two endpoints with the same
// address, and against a generation that changes without the list or stays while the list changes, after any sequence of
// valid and invalid updates, draining, removals and time.
func TestListHoldsOnlyWhatSourcesSent(t *testing.T) {
	ranks := map[string]Rank{"plan": RankPlan, "discovery": RankDiscovery, "hosts.yaml": RankFile}
	rapid.Check(t, func(t *rapid.T) {
		r, now, previousList := NewRegistry(testRules), int64(1), ""
		sent, version := sentHosts{}, int64(0)
		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			now += int64(rapid.IntRange(1, 60*ticksPerSecond).Draw(t, "wait"))
			name := rapid.SampledFrom([]string{"plan", "discovery", "hosts.yaml"}).Draw(t, "source")
			version++
			update := drawUpdate(t, name, ranks[name], version)
			update.Partial = rapid.Bool().Draw(t, "partial")
			generation, up := r.Generation(), upIDs(r)
			if _, err := r.Apply(now, update); err != nil && name == "discovery" {
				require.Subset(t, up, upIDs(r), "a rejected update of discovery can only withdraw hosts")
			} else if err != nil {
				require.Equal(t, generation, r.Generation(), "a rejected update changes nothing")
			} else {
				sent.record(update)
			}
			sent.checkList(t, r.List())
			list := fmt.Sprint(r.List())
			hasChanged := list != previousList && (list != "[]" || previousList != "")
			require.Equal(t, hasChanged, r.Generation() != generation)
			previousList = list
		}
	})
}
