package rollout

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestGoodChangeReachesEveryInstance(t *testing.T) {
	t.Parallel()
	s := newSimulation(t, 300, 1)
	for _, n := range s.nodes {
		s.start(n, false)
	}
	s.tickLength, s.maxConcurrentRestarts = 4*second, 75
	file := testChangeFile(1, "together: 0.25")
	file.Change.SilenceTimeout = 100 * second
	s.setChangeFile(file, 17)
	require.True(t, s.runUntil(900*second, s.isComplete))
	require.Len(t, s.instancesByChange[1], 300)
	require.Equal(t, 300, s.restartCount)
}

// Under random partitions, one-way cuts, kills, lost and late messages, lost disks, failing changes and changed orders,
// no more instances restart at once than a step has. Once the faults have ended, all instances agree.
func TestInvariantsHoldUnderFaults(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(3, 24).Draw(t, "instances")
		h := &faultHistory{T: t, simulation: newSimulation(t, count, rapid.Int64().Draw(t, "seed")), epoch: 1}
		h.file = testChangeFile(1, "then: "+rapid.SampledFrom([]string{"back", "stop"}).Draw(t, "then"))
		h.maxConcurrentRestarts = largestStep(h.file.Change.steps(count))
		h.setChangeFile(h.file, rapid.SliceOfN(rapid.IntRange(0, count-1), 1, 3).Draw(t, "files")...)
		if rapid.Bool().Draw(t, "fails") {
			bad := h.drawIndex("failing instance")
			h.canServe = func(n *node, target uint64) bool { return n.index != bad || target == 0 }
		}
		for range rapid.IntRange(1, 6).Draw(t, "events") {
			h.runFor(h.drawSeconds("before the fault", 60))
			h.injectFault()
			h.runFor(h.drawSeconds("during the fault", 60))
			h.isCut, h.lossRate = noCuts, 0
		}
		if !h.runUntil(1200*second, h.hasAgreed) {
			h.logNodes()
			t.Fatal("the instances do not agree")
		}
	})
}

func largestStep(steps []step) (largest int) {
	start := 0
	for _, step := range steps {
		largest, start = max(largest, step.end-start), step.end
	}
	return largest
}

// faultHistory is a simulation with random faults in sequence.
type faultHistory struct {
	*rapid.T
	*simulation
	file  *ChangeFile
	epoch uint64
}

func (h *faultHistory) drawIndex(label string) int {
	return rapid.IntRange(0, len(h.nodes)-1).Draw(h.T, label)
}

// drawSeconds draws a duration from 1 second to limit seconds.
func (h *faultHistory) drawSeconds(label string, limit int) int64 {
	return int64(rapid.IntRange(1, limit).Draw(h.T, label)) * second
}

func (h *faultHistory) injectFault() {
	faults := map[string]func(){
		"partition":   h.partition,
		"one-way cut": h.cutOneWay,
		"kill":        h.killSome,
		"loss":        func() { h.lossRate = 0.5 },
		"wiped disk":  h.wipeDisk,
		"order":       h.changeOrder,
		"new change":  h.startNewChange,
	}
	faults[rapid.SampledFrom([]string{"partition", "one-way cut", "kill", "loss", "wiped disk", "order", "new change"}).Draw(h.T, "event")]()
}

// partition splits the cluster in two. No instance on the side without a majority applies the change or rolls it back.
func (h *faultHistory) partition() {
	count := len(h.nodes)
	boundary := rapid.IntRange(1, count-1).Draw(h.T, "boundary")
	h.isCut = func(a, b int) bool { return (a < boundary) != (b < boundary) }
	duration, before := h.drawSeconds("length", 90), map[int]uint64{}
	h.runFor(grantedRestartTime(h.file))
	for _, n := range h.nodes {
		before[n.index] = n.runningNumber
	}
	h.runFor(duration)
	isLowerSideSmall := 2*boundary <= count
	for _, n := range h.nodes {
		isLowerSide := n.index < boundary
		if isLowerSide == isLowerSideSmall && n.restart == nil {
			require.Equal(h.T, before[n.index], n.runningNumber, "%s on the small side", n.instance.Name)
		}
	}
}

// cutOneWay keeps one instance from receiving anything.
func (h *faultHistory) cutOneWay() {
	receiver := h.drawIndex("cut off")
	h.isCut = func(_, to int) bool { return to == receiver }
}

func (h *faultHistory) killSome() {
	for range rapid.IntRange(1, 3).Draw(h.T, "kills") {
		if n := h.nodes[h.drawIndex("killed")]; n.controller != nil {
			h.kill(n, h.drawSeconds("down", 20))
		}
	}
}

// wipeDisk empties a disk. The instance learns from the others how it had voted.
func (h *faultHistory) wipeDisk() {
	if n := h.nodes[h.drawIndex("wiped")]; n.controller != nil && n.runningNumber == 0 {
		n.entries, n.statuses = map[string][]byte{}, map[string]*StatusMessage{}
		h.start(n, true)
	}
}

func (h *faultHistory) changeOrder() {
	h.epoch++
	file := *h.file
	file.Epoch = h.epoch
	file.Order = rapid.SampledFrom([]Order{OrderProceed, OrderStop, OrderRollBack}).Draw(h.T, "order")
	h.file = &file
	h.setChangeFile(h.file, h.drawIndex("file"))
}

func (h *faultHistory) startNewChange() {
	h.file, h.epoch = testChangeFile(h.file.Change.Number+1), 1
	h.setChangeFile(h.file, h.drawIndex("file"))
}

// logNodes logs the state of all instances.
func (h *faultHistory) logNodes() {
	for _, n := range h.nodes {
		c := n.controller
		if !n.hasActiveChange() {
			h.Logf("%s: running %v, no active change", n.instance.Name, c != nil)
			continue
		}
		h.Logf("%s runs %d, active %d over %d, %+v, open steps %d of %d, approved %d, roster %s, request %v, granted %v, failed %d, "+
			"may have lost votes %v, delay: %s", n.instance.Name, n.runningNumber, c.active.Number, c.active.BaseNumber,
			c.status.Verdict, c.active.openSteps, len(c.active.steps), c.status.ApprovedSteps, c.status.RosterDigest,
			c.status.PermitRequest, c.permits.granted, c.status.FailedEpoch, c.mayHaveLostVotes(), describeDelay(c))
	}
}

func describeDelay(c *Controller) string {
	if c.active.roster == nil {
		return "no roster"
	}
	if c.status.ApprovedSteps > len(c.active.steps) {
		return "complete"
	}
	return c.delayReason()
}
