package endpoints

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const modelHosts = 6

// word is what a source has said last of a host.
type word struct {
	isGone    bool
	isDrained bool
	startedMS int64 // of its entry; if it is gone, of the incarnation that was in use
}

// withdrawalModel is what each source has said last of each host. It says which hosts may get searches by the rule alone: none
// that a source drains or has withdrawn, until that source lists it again or a source lists a later start.
type withdrawalModel map[string]map[string]word

func (m withdrawalModel) inUseStart(id string) (startedMS int64) {
	for _, words := range m {
		if w, isKnown := words[id]; isKnown && !w.isGone {
			startedMS = max(startedMS, w.startedMS)
		}
	}
	return startedMS
}

func (m withdrawalModel) apply(update Update) {
	words := m[update.Source]
	listed := map[string]Host{}
	for _, host := range update.Hosts {
		listed[host.ID] = host
	}
	for id, host := range listed {
		if host.State != StateRemoved {
			continue
		}
		words[id] = word{isGone: true, startedMS: max(host.StartedMS, words[id].startedMS, m.inUseStart(id))}
	}
	for id, w := range words {
		if _, isListed := listed[id]; !isListed && !update.Partial && !w.isGone {
			words[id] = word{isGone: true, startedMS: m.inUseStart(id)}
		}
	}
	for id, host := range listed {
		if host.State == StateRemoved {
			continue
		}
		words[id] = word{isDrained: host.State == StateDraining, startedMS: host.StartedMS}
		for _, others := range m {
			if others[id].isGone && host.StartedMS > others[id].startedMS {
				delete(others, id)
			}
		}
	}
}

// forgetUnstored forgets what a restart does: entries of hosts that another source had removed.
func (m withdrawalModel) forgetUnstored(list []string) {
	for _, words := range m {
		for id, w := range words {
			if !w.isGone && !slices.Contains(list, id) {
				delete(words, id)
			}
		}
	}
}

func (m withdrawalModel) mayGetSearches(id string) bool {
	for _, words := range m {
		if words[id].isGone || words[id].isDrained {
			return false
		}
	}
	return true
}

// drawWithdrawals draws a source's update, of which each host may be left out, drained, removed or started again.
func drawWithdrawals(t *rapid.T, name string, version int64) Update {
	update := Update{Source: name, Rank: RankFile, Version: version, Partial: false}
	if name == SourceDiscovery {
		update.Rank, update.Partial = RankDiscovery, rapid.Bool().Draw(t, "partial")
	}
	for i := range modelHosts {
		if rapid.IntRange(0, 3).Draw(t, "left out") == 0 {
			continue
		}
		host := testHost(fmt.Sprint("h", i), i%4)
		host.State = rapid.SampledFrom([]State{StateUp, StateUp, StateUp, StateDraining, StateRemoved}).Draw(t, "state")
		host.StartedMS = rapid.SampledFrom([]int64{0, 0, 5, version}).Draw(t, "start")
		update.Hosts = append(update.Hosts, host)
	}
	return update
}

// Guards against a host that gets searches although a source has withdrawn it, after any sequence of lists, changes and restarts
// on a store within the memory of removals.
func TestNoSequenceOfListsBringsBackAWithdrawnHost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		plan := planUpdate(1, testHosts(modelHosts))
		r, now := NewRegistry(testRules), int64(1)
		mustApply(t, r, now, plan)
		model := withdrawalModel{SourceDiscovery: {}, "a.yaml": {}, "b.yaml": {}}
		for _, host := range plan.Hosts {
			model[SourceDiscovery][host.ID] = word{}
		}
		for step := range rapid.IntRange(1, 25).Draw(t, "steps") {
			now += int64(rapid.IntRange(1, removalMemory/100).Draw(t, "wait"))
			switch name := rapid.SampledFrom([]string{SourceDiscovery, "a.yaml", "b.yaml", "restart"}).Draw(t, "what"); name {
			case "restart":
				model.forgetUnstored(listedIDs(r))
				next := NewRegistry(testRules)
				mustApply(t, next, now, plan)
				mustApply(t, next, now, storedUpdate(r, now))
				r = next
			default:
				update := drawWithdrawals(t, name, int64(10+step))
				if update.Partial && r.sources[SourceDiscovery] != nil && r.discovery() == nil {
					continue // its first changes after a restart are those since the plan's list
				}
				mustApply(t, r, now, update)
				model.apply(update)
			}
			for _, id := range upIDs(r) {
				require.True(t, model.mayGetSearches(id), "%s %v", id, model)
			}
		}
	})
}
