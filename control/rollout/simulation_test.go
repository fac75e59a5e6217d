package rollout

import (
	"fmt"
	"maps"
	"math/rand"
	"slices"
	"strings"

	"github.com/stretchr/testify/require"
	"gonum.org/v1/gonum/stat/distuv"
)

// simulation is a cluster on a simulated clock: the controllers, the entries of each instance, and a network that
// loses, delays and blocks messages. Each process has a disk, which survives a kill.
type simulation struct {
	t                     require.TestingT
	rng                   *rand.Rand
	now                   int64
	nodes                 []*node
	names                 []string
	tickLength            int64
	isCut                 func(a, b int) bool // whether messages from a to b are blocked
	lossRate              float64
	delayed               []delayedMessage
	servedRate            float64                           // fraction of searches that are served without the change
	servedRateWithChange  float64                           // and with it
	canServe              func(n *node, target uint64) bool // whether an instance serves with a change
	searchRate            float64                           // of an instance, in searches a second
	maxConcurrentRestarts int                               // asserted after each tick, 0 for no limit
	instancesByChange     map[uint64]map[string]bool        // instances that restarted into a change, by its number
	restartCount          int
	clockOffsets          []int64 // of each instance's clock
}

type delayedMessage struct {
	deliverAt int64
	receiver  int
	status    *StatusMessage
}

type node struct {
	index             int
	instance          Instance
	incarnation       uint64
	controller        *Controller
	entries           map[string][]byte // changes and rosters
	statuses          map[string]*StatusMessage
	runningNumber     uint64
	previousNumber    uint64
	startsAt          int64    // when the process is up again, if it is down
	restart           *Restart // for which the process is down
	attempts          int
	failedEpoch       uint64
	failedNumber      uint64
	failureReason     string
	unplannedRestarts int
	servingSince      int64
	stats             InstanceStats
	changeFile        *ChangeFile
	killed            bool
}

func noCuts(_, _ int) bool { return false }

func newSimulation(t require.TestingT, instanceCount int, seed int64) *simulation {
	s := &simulation{
		t: t, rng: rand.New(rand.NewSource(seed)), now: 1, isCut: noCuts, servedRate: 0.995, servedRateWithChange: 0.995,
		searchRate: 1, canServe: func(*node, uint64) bool { return true }, instancesByChange: map[uint64]map[string]bool{}, tickLength: second,
	}
	for i := range instanceCount {
		s.names = append(s.names, fmt.Sprintf("n%03d", i))
		s.clockOffsets = append(s.clockOffsets, s.rng.Int63n(3600*second)) // clocks differ by up to an hour
	}
	for i := range instanceCount {
		s.nodes = append(s.nodes, &node{
			index: i, instance: Instance{s.names[i], fmt.Sprintf("r%d", i%3), fmt.Sprintf("z%d", i%6/3)},
			entries: map[string][]byte{}, statuses: map[string]*StatusMessage{},
		})
		s.start(s.nodes[i], true)
	}
	return s
}

// start starts the process of an instance with what is on its disk. noSavedState says that the disk may lack the last
// writes.
func (s *simulation) start(n *node, noSavedState bool) {
	n.incarnation++
	n.startsAt = 0
	now := s.now + s.clockOffsets[n.index]
	n.controller = New(InitialState{
		Self: n.instance, Incarnation: n.incarnation, Members: s.names, RunningNumber: n.runningNumber,
		FailedEpoch: n.failedEpoch, FailedNumber: n.failedNumber, FailureReason: n.failureReason,
		UnplannedRestarts: n.unplannedRestarts, NoSavedState: noSavedState, Now: now,
	})
	n.controller.SetInstances(s.instances(), nil)
	n.controller.SetFile(n.changeFile)
	for _, key := range slices.Sorted(maps.Keys(n.entries)) {
		require.NoError(s.t, n.controller.HandleEntry(now, key, n.entries[key]))
	}
	for _, status := range n.statuses {
		n.controller.now = max(n.controller.now, now)
		n.controller.recordStatus(*status)
	}
	n.stats, n.servingSince = InstanceStats{Classes: make([]ClassStats, 1), MemoryBytes: 100 << 20}, s.now
	n.controller.MarkServing(now)
}

func (s *simulation) instances() (all []Instance) {
	for _, n := range s.nodes {
		all = append(all, n.instance)
	}
	return all
}

// kill ends a process at once. One that was restarting into a change then tries the restart again.
func (s *simulation) kill(n *node, downtime int64) {
	n.controller, n.startsAt, n.killed = nil, s.now+downtime, true
	if n.restart == nil {
		n.unplannedRestarts++
	}
}

func (s *simulation) deliver(n *node, status *StatusMessage) {
	name := status.Instance.Name
	if known := n.statuses[name]; known != nil && !status.isNewerThan(known) {
		return
	}
	n.statuses[name] = status
	if n.controller != nil {
		n.controller.now = max(n.controller.now, s.now+s.clockOffsets[n.index])
		n.controller.recordStatus(*status)
	}
}

// exchange sends all entries of one instance to another.
func (s *simulation) exchange(from, to *node) {
	for key, entry := range from.entries {
		if to.entries[key] != nil {
			continue
		}
		to.entries[key] = entry
		if to.controller != nil {
			require.NoError(s.t, to.controller.HandleEntry(s.now+s.clockOffsets[to.index], key, entry))
		}
	}
	for _, status := range from.statuses {
		if s.rng.Float64() < s.lossRate {
			s.delayed = append(s.delayed, delayedMessage{s.now + s.rng.Int63n(20*second), to.index, status})
			continue
		}
		s.deliver(to, status)
	}
}

// tick advances the whole cluster by one tickLength.
func (s *simulation) tick() {
	s.now += s.tickLength
	s.deliverDelayed()
	for _, n := range s.nodes {
		switch {
		case n.controller != nil:
			s.decide(n)
		case s.now >= n.startsAt:
			s.finishRestart(n)
		}
	}
	for range 2 {
		for _, n := range s.nodes {
			s.exchangeUnlessCut(n, s.randomNode())
			s.exchangeUnlessCut(s.randomNode(), n)
		}
	}
	restarting := 0
	for _, n := range s.nodes {
		if n.restart != nil {
			restarting++
		}
	}
	if s.maxConcurrentRestarts > 0 {
		require.LessOrEqual(s.t, restarting, s.maxConcurrentRestarts, "restarts at once")
	}
}

func (s *simulation) deliverDelayed() {
	for i := 0; i < len(s.delayed); i++ {
		if message := s.delayed[i]; message.deliverAt <= s.now {
			s.deliver(s.nodes[message.receiver], message.status)
			s.delayed[i] = s.delayed[len(s.delayed)-1]
			s.delayed, i = s.delayed[:len(s.delayed)-1], i-1
		}
	}
}

// decide lets an instance serve searches for a tick, and carries out its decision.
func (s *simulation) decide(n *node) {
	s.serve(n)
	decision := n.controller.Decide(s.now + s.clockOffsets[n.index])
	for key, entry := range decision.Put {
		if strings.HasPrefix(key, statusPrefix) {
			status := &StatusMessage{}
			require.NoError(s.t, decodeEntry(key, entry, status))
			n.statuses[n.instance.Name] = status
		} else {
			n.entries[key] = entry
		}
	}
	if decision.Restart != nil {
		s.beginRestart(n, decision.Restart)
	}
}

func (s *simulation) randomNode() *node { return s.nodes[s.rng.Intn(len(s.nodes))] }

func (s *simulation) exchangeUnlessCut(from, to *node) {
	if from.controller != nil && to.controller != nil && !s.isCut(from.index, to.index) {
		s.exchange(from, to)
	}
}

func (s *simulation) beginRestart(n *node, restart *Restart) {
	s.restartCount++
	n.restart, n.controller, n.attempts = restart, nil, 0
	n.startsAt = s.now + s.tickLength + s.rng.Int63n(max(1, restart.ReadyTimeout/2))
	if s.instancesByChange[restart.TargetNumber] == nil {
		s.instancesByChange[restart.TargetNumber] = map[string]bool{}
	}
	s.instancesByChange[restart.TargetNumber][n.instance.Name] = true
}

// finishRestart starts a process whose downtime has ended.
func (s *simulation) finishRestart(n *node) {
	if restart := n.restart; restart != nil {
		n.restart = nil
		if n.attempts++; s.canServe(n, restart.TargetNumber) {
			n.previousNumber, n.runningNumber, n.unplannedRestarts = n.runningNumber, restart.TargetNumber, 0
		} else {
			n.failedEpoch, n.failedNumber, n.failureReason = restart.Epoch, restart.TargetNumber, "does not serve"
		}
	}
	s.start(n, n.killed) // after a kill the last writes may not be on the disk
	n.killed = false
}

func (s *simulation) serve(n *node) {
	servedRate := s.servedRate
	if n.runningNumber != 0 {
		servedRate = s.servedRateWithChange
	}
	class := &n.stats.Classes[0]
	lambda := s.searchRate * float64(s.tickLength) / float64(second)
	requests := uint64(distuv.Poisson{Lambda: lambda, Src: randomSource{s.rng}}.Rand())
	served := uint64(0)
	for range requests {
		if s.rng.Float64() < servedRate {
			served++
			class.Latencies[8+s.rng.Intn(6)]++
			class.SubRequests[7+s.rng.Intn(3)]++
		}
	}
	class.Requests += requests
	class.Served += served
	class.Shed += requests - served
	n.controller.SetStats(InstanceStats{Classes: append([]ClassStats(nil), n.stats.Classes...), MemoryBytes: n.stats.MemoryBytes})
}

// randomSource adapts a math/rand source to gonum's interface.
type randomSource struct{ *rand.Rand }

func (s randomSource) Seed(seed uint64) { s.Rand.Seed(int64(seed)) }

// runFor advances the cluster by a duration.
func (s *simulation) runFor(duration int64) {
	for end := s.now + duration; s.now < end; {
		s.tick()
	}
}

// runUntil advances the cluster until a condition holds. It reports whether it did within a time limit.
func (s *simulation) runUntil(limit int64, condition func() bool) bool {
	for end := s.now + limit; s.now < end; {
		if s.tick(); condition() {
			return true
		}
	}
	return false
}

// isComplete reports whether every instance runs the active change and knows that it is complete.
func (s *simulation) isComplete() bool {
	return !slices.ContainsFunc(s.nodes, func(n *node) bool { return !n.hasCompletedChange() })
}

// hasActiveChange reports whether an instance's process is up and has an active change.
func (n *node) hasActiveChange() bool { return n.controller != nil && n.controller.active != nil }

func (n *node) hasCompletedChange() bool {
	return n.hasActiveChange() && n.controller.isComplete() && n.runningNumber == n.controller.active.Number
}

// hasAgreed reports whether all instances have the same verdict on the same change, and run what it orders.
func (s *simulation) hasAgreed() bool {
	first := s.nodes[0]
	for _, n := range s.nodes {
		if !n.hasActiveChange() || !first.hasActiveChange() || n.restart != nil {
			return false
		}
		own, other := n.controller, first.controller
		isSameChange := own.active.Number == other.active.Number && own.active.digest == other.active.digest
		if !isSameChange || own.status.Verdict != other.status.Verdict {
			return false
		}
		switch own.status.Verdict.Order {
		case OrderRollBack:
			if n.runningNumber != own.active.BaseNumber {
				return false
			}
		case OrderProceed:
			if !n.hasCompletedChange() {
				return false
			}
		}
	}
	return true
}

// testChangeFile returns a change file with three stages and the given further lines.
func testChangeFile(number uint64, lines ...string) *ChangeFile {
	text := fmt.Sprintf("name: c\nnumber: %d\nsettings: {Safety: {ExtraFloor: 0.5}}\nstages:\n  - {count: 1, watch: 20s}\n"+
		"  - {share: 0.25, watch: 20s}\n  - {share: 1, watch: 5s}\ncold: 2s\nready: 6s\nsilent: 60s\nsearches: 10\n%s\n...\n",
		number, strings.Join(lines, "\n"))
	file, err := ParseChangeFile("c.yaml", []byte(text))
	if err != nil {
		panic(err)
	}
	return file
}

// setChangeFile gives a change file to the instances with the given indexes.
func (s *simulation) setChangeFile(file *ChangeFile, indexes ...int) {
	for _, i := range indexes {
		n := s.nodes[i]
		n.changeFile = file
		if n.controller != nil {
			n.controller.SetFile(file)
		}
	}
}

// grantedRestartTime returns how long after a partition an instance may still restart with permits from before it: the
// time of a request plus that of the restart.
func grantedRestartTime(file *ChangeFile) int64 {
	return file.Change.SilenceTimeout/requestTimeoutDivisor + file.Change.ReadyTimeout + 3*second
}
