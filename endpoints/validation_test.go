package endpoints

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against an invalid update that is accepted, or of which a part is applied.
func TestInvalidUpdateChangesNothing(t *testing.T) {
	for reason, makeInvalid := range map[string]func(hosts []Host) []Host{
		"is listed twice":           func(hosts []Host) []Host { return append(hosts, hosts[0]) },
		"has the address":           func(hosts []Host) []Host { hosts[1].Addr = hosts[0].Addr; return hosts },
		"a host has no id":          func(hosts []Host) []Host { hosts[1].ID = ""; return hosts },
		"has no address":            func(hosts []Host) []Host { hosts[1].Addr = ""; return hosts },
		"weight 0 ":                 func(hosts []Host) []Host { hosts[1].Weight = 0; return hosts },
		"weight 2000 ":              func(hosts []Host) []Host { hosts[1].Weight = 2000; return hosts },
		`unknown zone "nowhere"`:    func(hosts []Host) []Host { hosts[1].Zone = "nowhere"; return hosts },
		`unknown kind "odd"`:        func(hosts []Host) []Host { hosts[1].Kind = "odd"; return hosts },
		"cell 4 is not":             func(hosts []Host) []Host { hosts[1].Cell = 4; return hosts },
		"started_ms -1 is negative": func(hosts []Host) []Host { hosts[1].StartedMS = -1; return hosts },
		"state 9 is unknown":        func(hosts []Host) []Host { hosts[1].State = 9; return hosts },
	} {
		t.Run(reason, func(t *testing.T) {
			r := NewRegistry(testRules)
			mustApply(t, r, 1, planUpdate(1, testHosts(4)))
			hosts := testHosts(4)
			hosts[1].Line, hosts[1].Column = 7, 3
			_, err := r.Apply(2, fileUpdate(9, makeInvalid(hosts)))
			require.ErrorContains(t, err, reason)
			require.Len(t, r.List(), 4)
			require.EqualValues(t, 1, r.Generation())
		})
	}
}

// Guards against advice that does not name the source whose list is invalid.
func TestInvalidListErrorGivesAdvice(t *testing.T) {
	require.Contains(t, InvalidListError{Source: "hosts.yaml"}.Advice(), "hosts.yaml")
}
