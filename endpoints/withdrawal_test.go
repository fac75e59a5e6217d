package endpoints

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against hosts that get searches although discovery has withdrawn them, because the same update has an invalid entry
// of another host; and against anything else of that update that counts.
func TestInvalidUpdateOfDiscoveryWithdrawsHosts(t *testing.T) {
	invalid := testHost("new", 1)
	invalid.Weight = -1
	drainedAndRemoved := append(drained(testHosts(2), "h0", "h1"), Host{ID: "h2", State: StateRemoved}, invalid)
	drainedAndRemoved[1].Weight = -1 // an invalid entry that drains
	leftOut := append(drained(testHosts(8), "h0", "h1")[:8], invalid)
	leftOut = append(leftOut[:2], leftOut[3:]...)
	for name, update := range map[string]Update{
		"changes":       discoveryChanges(2, drainedAndRemoved...),
		"complete list": discoveryUpdate(2, leftOut),
	} {
		for source, prepare := range map[string]func(r *Registry){
			"after discovery's first list": func(r *Registry) { mustApply(t, r, 1, discoveryUpdate(1, testHosts(8))) },
			"before it":                    func(*Registry) {},
			"after a restart": func(r *Registry) {
				earlier := NewRegistry(testRules)
				mustApply(t, earlier, 1, discoveryUpdate(1, testHosts(8)))
				mustApply(t, r, 1, storedUpdate(earlier, 1))
			},
		} {
			t.Run(name+" "+source, func(t *testing.T) {
				r := NewRegistry(testRules)
				mustApply(t, r, 1, planUpdate(1, testHosts(8)))
				prepare(r)
				mustApply(t, r, 1, fileUpdate(1, testHosts(8)))
				changed, err := r.Apply(2, update)
				require.Error(t, err)
				require.True(t, changed)
				require.Equal(t, []string{"h3", "h4", "h5", "h6", "h7"}, upIDs(r))
				require.NotContains(t, listedIDs(r), "new")
				changed, err = r.Apply(2, update)
				require.Error(t, err)
				require.False(t, changed)
				update := discoveryUpdate(2, testHosts(8))
				require.True(t, mustApply(t, r, 3, update), "its version is not known, so a corrected one counts")
				require.Len(t, upIDs(r), 8)
			})
		}
	}
}

// Guards against an outdated invalid update of discovery that withdraws hosts.
func TestOutdatedInvalidUpdateWithdrawsNothing(t *testing.T) {
	r := NewRegistry(testRules)
	mustApply(t, r, 1, discoveryUpdate(5, testHosts(8)))
	invalid := testHosts(2)
	invalid[0].Weight = -1
	changed, err := r.Apply(2, discoveryUpdate(4, invalid))
	require.Error(t, err)
	require.False(t, changed)
	require.Len(t, r.List(), 8)
}
