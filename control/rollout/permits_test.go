package rollout

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// permitCluster returns the controller of n0 in a cluster of five. The first step has n0 and n1, the second the others,
// and both steps are approved.
func permitCluster(t *testing.T) *Controller {
	t.Helper()
	members := []string{"n0", "n1", "n2", "n3", "n4"}
	c := New(InitialState{Self: Instance{Name: "n0"}, Incarnation: 1, Members: members, Now: 1})
	change := &Change{
		Name: "c", Number: 7, Stages: []Stage{{Count: 2}, {Fraction: 1}}, MaxConcurrentFraction: 1, SilenceTimeout: 100 * second,
	}
	roster := &roster{digest: "roster", position: map[string]int{}}
	for i, name := range members {
		roster.order = append(roster.order, Instance{Name: name})
		roster.position[name] = i
	}
	c.active = &activeChange{Change: change, digest: "digest", steps: change.steps(len(members)), roster: roster, openSteps: 2}
	c.status = statusWithRequest("n0", 0, 0)
	c.status.ApprovedSteps = 2
	return c
}

// statusWithRequest returns a status message with a permit request, without one for number 0.
func statusWithRequest(name string, number, target uint64) StatusMessage {
	return StatusMessage{
		Instance: Instance{Name: name}, Incarnation: 1, Sequence: number + 1, ChangeNumber: 7, ChangeDigest: "digest",
		Verdict: Verdict{Epoch: 1}, RosterDigest: "roster", PermitRequest: PermitRequest{Number: number, TargetNumber: target},
	}
}

func grantNow(c *Controller) []PermitGrant {
	c.updateView()
	c.grantPermits()
	return c.permits.sortedGrants()
}

func TestPermitsCoverOneStepAtATime(t *testing.T) {
	c := permitCluster(t)
	c.recordStatus(statusWithRequest("n2", 1, 7))
	require.Equal(t, []PermitGrant{{"n2", 1}}, grantNow(c))
	c.recordStatus(statusWithRequest("n1", 1, 7))
	c.recordStatus(statusWithRequest("n3", 1, 7))
	require.Equal(t, []PermitGrant{{"n2", 1}, {"n3", 1}}, grantNow(c), "n1 is of another step")
	for _, name := range []string{"n2", "n3"} {
		withdrawn := statusWithRequest(name, 0, 0)
		withdrawn.Sequence = 9
		c.recordStatus(withdrawn)
	}
	require.Equal(t, []PermitGrant{{"n1", 1}}, grantNow(c), "once the other requests were withdrawn")
}

func TestPermitsPreferTheLowerStep(t *testing.T) {
	c := permitCluster(t)
	c.recordStatus(statusWithRequest("n4", 1, 7))
	c.recordStatus(statusWithRequest("n1", 1, 7))
	require.Equal(t, []PermitGrant{{"n1", 1}}, grantNow(c))
}

func TestPermitsExpire(t *testing.T) {
	c := permitCluster(t)
	c.recordStatus(statusWithRequest("n1", 1, 7))
	require.Len(t, grantNow(c), 1)
	c.now += c.active.permitLease()
	require.Len(t, grantNow(c), 1)
	c.now++
	require.Empty(t, grantNow(c), "the request is no longer fresh either")
}

func TestPermitsFollowTheVerdict(t *testing.T) {
	for _, test := range []struct {
		name            string
		order           Order
		running, target uint64
		isGranted       bool
	}{
		{"apply", OrderProceed, 0, 7, true},
		{"apply a stopped change", OrderStop, 0, 7, false},
		{"roll back without an order", OrderProceed, 7, 0, false},
		{"roll back", OrderRollBack, 7, 0, true},
		{"catch up with the base", OrderStop, 3, 0, true},
		{"restart into another change", OrderProceed, 0, 5, false},
	} {
		c := permitCluster(t)
		c.status.Verdict.Order = test.order
		request := statusWithRequest("n1", 1, test.target)
		request.RunningNumber = test.running
		c.recordStatus(request)
		require.Equal(t, test.isGranted, len(grantNow(c)) == 1, test.name)
	}
}

// An instance that may have granted permits before it lost its disk grants none until those have expired.
func TestNoPermitsAfterALostDisk(t *testing.T) {
	c := permitCluster(t)
	c.initial.NoSavedState = true
	c.recordStatus(statusWithRequest("n1", 1, 7))
	require.Empty(t, grantNow(c))
	c.now += c.active.permitLease()
	c.recordStatus(statusWithRequest("n1", 2, 7))
	require.Len(t, grantNow(c), 1)
}
