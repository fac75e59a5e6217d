package endpoints

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// storedUpdate returns what a store would give back of a registry's list after a restart.
func storedUpdate(r *Registry, now int64) Update {
	discovery := r.sources[SourceDiscovery]
	update := Update{
		Source: SourceStore, Rank: RankStore, Version: 1, Confirmed: true, Removals: r.Removals(now), Origins: map[string]Origin{},
		DiscoveryHadAnswered: discovery != nil && (discovery.version != noVersion || discovery.isRestored),
	}
	for _, endpoint := range r.List() {
		update.Hosts = append(update.Hosts, endpoint.Host)
		update.Origins[endpoint.ID] = Origin{endpoint.ListedBy, endpoint.DrainedBy}
	}
	return update
}

// restart returns a registry of the next run: it has the plan, which lists all hosts as up, and what the store has.
func restart(t *testing.T, r *Registry) *Registry {
	next := NewRegistry(testRules)
	mustApply(t, next, 1, planUpdate(1, testHosts(8)))
	mustApply(t, next, 1, storedUpdate(r, 1))
	return next
}

func drained(hosts []Host, ids ...string) []Host {
	for i := range hosts {
		for _, id := range ids {
			if hosts[i].ID == id {
				hosts[i].State = StateDraining
			}
		}
	}
	return hosts
}

// upIDs returns the hosts that may get searches.
func upIDs(r *Registry) (ids []string) {
	for _, endpoint := range r.List() {
		if endpoint.State == StateUp {
			ids = append(ids, endpoint.ID)
		}
	}
	return ids
}

// Guards against hosts that get searches after a restart although a source had withdrawn them before it, or has while the
// process was down.
func TestRestartForgetsNoWithdrawal(t *testing.T) {
	discovered := func(r *Registry) { mustApply(t, r, 2, discoveryUpdate(9, testHosts(8))) }
	for name, test := range map[string]struct {
		before, after func(r *Registry)
		want          []string
	}{
		"discovery had left it out long ago, and is silent": {
			func(r *Registry) {
				discovered(r)
				mustApply(t, r, 3, discoveryUpdate(10, testHosts(8)[2:]))
				mustApply(t, r, 4+removalMemory, discoveryChanges(11, testHosts(8)[7]))
			},
			func(*Registry) {},
			[]string{"h2", "h3", "h4", "h5", "h6", "h7"},
		},
		"discovery had left out all": {
			func(r *Registry) {
				discovered(r)
				mustApply(t, r, 3, discoveryUpdate(10, nil))
				mustApply(t, r, 4+2*removalMemory, discoveryUpdate(11, nil))
			},
			func(*Registry) {},
			nil,
		},
		"a file drained it, discovery lists it, and the file cannot be read": {
			func(r *Registry) {
				discovered(r)
				mustApply(t, r, 3, fileUpdate(1, drained(testHosts(8), "h0", "h1")))
			},
			discovered,
			[]string{"h2", "h3", "h4", "h5", "h6", "h7"},
		},
		"a file dropped it meanwhile, and discovery is silent": {
			func(r *Registry) { mustApply(t, r, 3, fileUpdate(1, append(testHosts(8), testHost("x", 1)))) },
			func(r *Registry) { mustApply(t, r, 2, fileUpdate(1, testHosts(8)[2:])) },
			[]string{"h2", "h3", "h4", "h5", "h6", "h7"},
		},
		"a file dropped it meanwhile, and discovery lists it": {
			func(r *Registry) {
				discovered(r)
				mustApply(t, r, 3, fileUpdate(1, testHosts(8)))
			},
			func(r *Registry) {
				discovered(r)
				mustApply(t, r, 3, fileUpdate(1, testHosts(8)[2:]))
			},
			[]string{"h2", "h3", "h4", "h5", "h6", "h7"},
		},
		"discovery dropped it meanwhile, and a file lists it": {
			func(r *Registry) {
				mustApply(t, r, 2, discoveryUpdate(9, append(testHosts(8), testHost("x", 1))))
				mustApply(t, r, 3, fileUpdate(1, []Host{testHost("x", 1), testHosts(1)[0]}))
			},
			func(r *Registry) {
				mustApply(t, r, 2, fileUpdate(1, []Host{testHost("x", 1), testHosts(1)[0]}))
				mustApply(t, r, 3, discoveryUpdate(11, testHosts(8)[2:]))
			},
			[]string{"h2", "h3", "h4", "h5", "h6", "h7"},
		},
		"a file's own host, which discovery never had": {
			func(r *Registry) {
				discovered(r)
				mustApply(t, r, 3, fileUpdate(1, []Host{testHost("x", 1)}))
			},
			func(r *Registry) {
				discovered(r)
				mustApply(t, r, 3, fileUpdate(1, []Host{testHost("x", 1)}))
			},
			[]string{"h0", "h1", "h2", "h3", "h4", "h5", "h6", "h7", "x"},
		},
		"a drain that is over": {
			func(r *Registry) { mustApply(t, r, 2, discoveryUpdate(9, drained(testHosts(8), "h0"))) },
			discovered,
			[]string{"h0", "h1", "h2", "h3", "h4", "h5", "h6", "h7"},
		},
	} {
		t.Run(name, func(t *testing.T) {
			r := NewRegistry(testRules)
			mustApply(t, r, 1, planUpdate(1, testHosts(8)))
			test.before(r)
			once := restart(t, r)
			test.after(once)
			require.Equal(t, test.want, upIDs(once))
			again := restart(t, once)
			require.Equal(t, test.want, upIDs(again), "after another restart")
		})
	}
}

// Guards against a store that is slow to open and whose list counts as later than what sources have sent meanwhile.
func TestStoreThatOpensLate(t *testing.T) {
	earlier := NewRegistry(testRules)
	mustApply(t, earlier, 1, planUpdate(1, testHosts(8)))
	mustApply(t, earlier, 2, discoveryUpdate(9, testHosts(8)))
	mustApply(t, earlier, 3, fileUpdate(1, testHosts(8)))
	r := NewRegistry(testRules)
	mustApply(t, r, 1, planUpdate(1, testHosts(8)))
	mustApply(t, r, 2, fileUpdate(1, drained(testHosts(8)[2:], "h2")))
	mustApply(t, r, 3, discoveryUpdate(10, drained(testHosts(8), "h3")[:7]))
	mustApply(t, r, 4, storedUpdate(earlier, 4))
	require.Equal(t, []string{"h4", "h5", "h6"}, upIDs(r), "the file has dropped h0 and h1 meanwhile, discovery h7")
}

// Guards against what a host file has said that an operator has taken out of the installation: it would last for ever.
func TestFilesThatAreNoSourceAnyMore(t *testing.T) {
	earlier := NewRegistry(testRules)
	mustApply(t, earlier, 2, discoveryUpdate(9, testHosts(8)))
	mustApply(t, earlier, 3, fileUpdate(1, append(drained(testHosts(4), "h0"), testHost("x", 1))))
	mustApply(t, earlier, 4, fileUpdate(2, append(drained(testHosts(3), "h0"), testHost("x", 1))))
	require.Equal(t, []string{"h1", "h2", "h4", "h5", "h6", "h7", "x"}, upIDs(earlier))
	r := NewRegistry(testRules)
	mustApply(t, r, 1, storedUpdate(earlier, 4).KeepFiles(func(string) bool { return false }))
	mustApply(t, r, 2, discoveryUpdate(9, testHosts(8)))
	require.Equal(t, []string{"h0", "h1", "h2", "h3", "h4", "h5", "h6", "h7"}, upIDs(r))
	kept := storedUpdate(earlier, 4).KeepFiles(func(name string) bool { return name == "hosts.yaml" })
	require.Equal(t, storedUpdate(earlier, 4), kept)
}
