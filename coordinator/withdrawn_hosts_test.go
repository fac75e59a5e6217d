package coordinator

import (
	"fmt"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chalkring/endpoints"
	"chalkring/storage/recovery"
	"chalkring/storage/store"
)

// answerList sends an answer of discovery: a complete list or, if it is partial, changes.
func (r *rig) answerList(version int, isPartial bool, entries ...string) {
	r.list.Responses <- fmt.Sprintf(`{"version":%d,"full":%t,"servers":[%s]}`, version, !isPartial, strings.Join(entries, ","))
}

// entries returns the entries of all replicas, of which some are in another state than up.
func (r *rig) entries(state string, inState ...string) (entries []string) {
	states := map[string]string{}
	for _, hostID := range inState {
		states[hostID] = state
	}
	for _, hostID := range []string{"a0", "a1", "b0", "b1"} {
		if state := states[hostID]; state != "" {
			entries = append(entries, r.entry(hostID, state))
		} else {
			entries = append(entries, r.entry(hostID, "up"))
		}
	}
	return entries
}

// requireOnlyServing sends searches after the drain grace and checks that no other host than the given one gets an attempt,
// that searches which it can answer are answered, and that the others get their final answer at once, with a time to
// come back.
func (r *rig) requireOnlyServing(hostID string) {
	time.Sleep(r.plan.Duration("Safety.DrainGrace"))
	counts := func() (text string) {
		for _, other := range []string{"a0", "a1", "b0", "b1"} {
			if other != hostID {
				text += fmt.Sprint(other, ":", r.replicas[other].CountRequests(), " ")
			}
		}
		return text
	}
	before, own := counts(), r.replicas[hostID].CountRequests()
	c := r.connect()
	for i := range 10 {
		c.expect(fmt.Sprint("some", i), "some", 200, "")
		c.send(request(fmt.Sprint("all", i), "all", "", fourParts))
		status, head, text, _ := c.readAnswer()
		require.Equal(r.t, 503, status, text)
		require.NotEmpty(r.t, head["retry-after"], "%v", head)
	}
	require.Equal(r.t, before, counts(), r.log)
	require.Greater(r.t, r.replicas[hostID].CountRequests(), own)
}

// Guards against a host that goes on getting attempts although discovery or a host file has withdrawn it, because the
// update that does so leaves a block set without a holder or drops many hosts at once.
func TestWithdrawnHostsGetNothingHoweverMany(t *testing.T) {
	withdrawn := []string{"a0", "a1", "b0"}
	for name, withdraw := range map[string]func(r *rig, updates chan<- endpoints.Update){
		"complete list that drains": func(r *rig, _ chan<- endpoints.Update) {
			r.answerList(9, false, r.entries("draining", withdrawn...)...)
		},
		"complete list that leaves out": func(r *rig, _ chan<- endpoints.Update) { r.answerList(9, false, r.entry("b1", "up")) },
		"changes that drain": func(r *rig, _ chan<- endpoints.Update) {
			r.answerList(9, true, r.entries("draining", withdrawn...)[:3]...)
		},
		"changes that remove": func(r *rig, _ chan<- endpoints.Update) {
			r.answerList(9, true, r.entries("removed", withdrawn...)[:3]...)
		},
		"one by one": func(r *rig, _ chan<- endpoints.Update) {
			for i, hostID := range withdrawn {
				r.answerList(9+i, true, r.entry(hostID, []string{"draining", "removed"}[i%2]))
				r.logged(fmt.Sprintf("version=%d", i+2)) // generations of the merged list
			}
		},
		"host file that drains": func(r *rig, updates chan<- endpoints.Update) {
			updates <- r.fileWith(2, endpoints.StateDraining, withdrawn...)
		},
		"host file that removes": func(r *rig, updates chan<- endpoints.Update) {
			updates <- r.fileWith(2, endpoints.StateRemoved, withdrawn...)
		},
		"host file that drops": func(r *rig, updates chan<- endpoints.Update) {
			updates <- endpoints.Update{Source: "hosts.yaml", Rank: endpoints.RankFile, Version: 2, Hosts: []endpoints.Host{r.host("b1")}}
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			first := start(t, 256, nil)
			updates := make(chan endpoints.Update)
			r := first.restartWithStoreAndUpdates(filepath.Join(t.TempDir(), "kept"), store.Options{}, updates)
			r.logged("event=store ")
			r.answerList(8, false, r.entries("")...)
			updates <- r.fileWith(1, endpoints.StateUp)
			r.connect().expect("before", "all", 200, completeAnswer)
			withdraw(r, updates)
			r.logged("event=list_warning")
			r.requireOnlyServing("b1")
			r.shutDown()
			first.shutDown()
		})
	}
}

// Guards against a host of the plan that gets attempts although discovery's first list leaves it out or removes it, where there
// are other sources of hosts too.
func TestFirstListReplacesThePlan(t *testing.T) {
	for name, answer := range map[string]func(r *rig){
		"complete list": func(r *rig) { r.answerList(8, false, r.entry("b1", "up")) },
		"changes":       func(r *rig) { r.answerList(8, true, r.entries("removed", "a0", "a1", "b0")[:3]...) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			first := start(t, 256, nil)
			updates := make(chan endpoints.Update)
			r := first.restartWithStoreAndUpdates(filepath.Join(t.TempDir(), "kept"), store.Options{}, updates)
			updates <- endpoints.Update{Source: "hosts.yaml", Rank: endpoints.RankFile, Version: 1, Hosts: []endpoints.Host{r.host("b1")}}
			r.connect().expect("before", "all", 200, completeAnswer)
			answer(r)
			r.eventually("the list is in force", func() bool { return r.currentHosts() == "b1 " })
			r.requireOnlyServing("b1")
			r.shutDown()
			first.shutDown()
		})
	}
}

// Guards against a host that gets attempts after a restart without discovery although it was withdrawn before: by discovery, by
// a host file that cannot be read any more, or by one that dropped it while no process ran.
func TestRestartKeepsWithdrawnHostsOutOfUse(t *testing.T) {
	newFirst := func(t *testing.T) (first *rig, path string) {
		return start(t, 256, nil), filepath.Join(t.TempDir(), "kept")
	}
	stop := func(r *rig, hosts string) {
		r.eventually("the list is in force", func() bool { return r.currentHosts() == hosts })
		r.shutDown() // stores the list
		require.NotContains(r.t, r.log.String(), "store_failed")
	}
	t.Run("left out by discovery", func(t *testing.T) {
		t.Parallel()
		first, path := newFirst(t)
		r := first.restartWithStore(path, store.Options{})
		r.logged("event=store ")
		r.answerList(8, false, r.entries("")...)
		r.answerList(9, false, r.entry("b1", "up"))
		stop(r, "b1 ")
		for range 2 { // the second time from what the first restart has stored
			r = first.restartWithStore(path, store.Options{})
			r.eventually("the stored list is in force", func() bool { return r.currentHosts() == "b1 " })
			r.requireOnlyServing("b1")
			stop(r, "b1 ")
		}
		first.shutDown()
	})
	t.Run("drained by a file that is away", func(t *testing.T) {
		t.Parallel()
		first, path := newFirst(t)
		updates := make(chan endpoints.Update)
		r := first.restartWithStoreAndUpdates(path, store.Options{}, updates)
		r.logged("event=store ")
		r.answerList(8, false, r.entries("")...)
		updates <- r.fileWith(1, endpoints.StateDraining, "a0", "a1", "b0")
		r.logged("how=Complete version=3")
		stop(r, "a0 a1 b0 b1 ")
		r = first.restartWithStore(path, store.Options{})
		r.logged("event=store ")
		r.answerList(9, false, r.entries("")...)
		r.logged("listed=4")
		r.eventually("discovery's list is in force", func() bool { return r.persistence().discoveryVersion.Load() == 9 })
		r.requireOnlyServing("b1")
		r.shutDown()
		first.shutDown()
	})
	t.Run("dropped by a file while no process ran", func(t *testing.T) {
		t.Parallel()
		first, path := newFirst(t)
		updates := make(chan endpoints.Update)
		r := first.restartWithStoreAndUpdates(path, store.Options{}, updates)
		r.logged("event=store ")
		updates <- r.fileWith(1, endpoints.StateUp)
		r.logged("how=Complete version=2")
		stop(r, "a0 a1 b0 b1 ")
		r = first.restartWithStoreAndUpdates(path, store.Options{}, updates)
		r.logged("event=store ")
		updates <- endpoints.Update{Source: "hosts.yaml", Rank: endpoints.RankFile, Version: 1, Hosts: []endpoints.Host{r.host("b1")}}
		r.eventually("the file's list is in force", func() bool { return r.currentHosts() == "b1 " })
		r.requireOnlyServing("b1")
		r.shutDown()
		first.shutDown()
	})
}

// Guards against a store whose hosts stay in use because discovery has nothing new to say: that its list is the plan's is an
// answer, too.
func TestUnchangedPlanReplacesTheStore(t *testing.T) {
	first := start(t, 256, nil)
	path, now := filepath.Join(t.TempDir(), "kept"), time.Now().UnixMilli()
	gone := endpoints.Host{ID: "c0", Addr: "127.0.0.1:1", Weight: 1}
	list := recovery.EndpointList{SavedAt: now, PlanVersion: 7, DiscoveryVersion: 8, Hosts: storedHosts(first.host("a0"), first.host("b0"), gone)}
	writeStore(t, path, map[string]any{listKey: list})
	r := first.restartWithStore(path, store.Options{})
	r.eventually("the stored list is in force", func() bool { return r.currentHosts() == "a0 b0 c0 " })
	r.answerList(7, true)
	r.eventually("the plan's list is in force", func() bool { return r.currentHosts() == "a0 a1 b0 b1 " })
	r.shutDown()
	first.shutDown()
}

// fileWith returns a host file's list of all replicas, of which some are in another state than up.
func (r *rig) fileWith(version int64, state endpoints.State, inState ...string) endpoints.Update {
	update := endpoints.Update{Source: "hosts.yaml", Rank: endpoints.RankFile, Version: version}
	for _, hostID := range []string{"a0", "a1", "b0", "b1"} {
		host := r.host(hostID)
		for _, other := range inState {
			if other == hostID {
				host.State = state
			}
		}
		update.Hosts = append(update.Hosts, host)
	}
	return update
}
