package crdt

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Values that were seen and deleted stay deleted, and every change that nothing superseded is on every replica once the
// network has healed. The simulated faults are partitions, late and duplicated messages, interrupted exchanges and
// restarts; severe faults are also older disks, absent members for which no tombstone is kept, and members that leave for
// good.
func TestReplicasConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t, rapid.IntRange(2, 4).Draw(t, "instances"))
		severeFaults := rapid.Bool().Draw(t, "severe faults")
		membersLeave := severeFaults && rapid.Bool().Draw(t, "members leave")
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			s.randomStep(severeFaults, membersLeave)
		}
		s.heal()
		s.checkConverged(severeFaults)
	})
}

func (s *simulation) randomStep(severeFaults, membersLeave bool) {
	anyInstance := rapid.SampledFrom(s.names)
	name, peer := anyInstance.Draw(s.t, "instance"), anyInstance.Draw(s.t, "peer")
	switch rapid.IntRange(0, 11).Draw(s.t, "step") {
	case 0, 1, 2:
		s.write(name)
	case 3, 4, 5:
		if name != peer {
			s.exchangeSome(name, peer)
		}
	case 6:
		if len(s.delayedMessages) > 0 {
			s.deliver(name, rapid.SampledFrom(s.delayedMessages).Draw(s.t, "message"))
		}
	case 7:
		s.cutLinks[link{name, peer}] = !s.cutLinks[link{name, peer}]
	case 8, 9:
		var absent []string
		if severeFaults {
			absent = rapid.SliceOfDistinct(anyInstance, rapid.ID).Draw(s.t, "absent")
		}
		s.collectTombstones(name, absent)
	case 10:
		s.replicas[name].snapshots = append(s.replicas[name].snapshots, s.replicas[name].snapshot())
	case 11:
		if membersLeave && len(s.names) > 2 && rapid.IntRange(0, 3).Draw(s.t, "leave") == 0 {
			s.removeInstance(peer)
		} else {
			s.restart(name, severeFaults)
		}
	}
}

// exchangeSome runs up to six steps of an exchange over a lossy network.
func (s *simulation) exchangeSome(name, peer string) {
	for range rapid.IntRange(1, 6).Draw(s.t, "requests") {
		if s.exchangeStep(name, peer, true) {
			return
		}
	}
}

func (s *simulation) checkConverged(severeFaults bool) {
	first := s.replicas[s.names[0]]
	truth := s.knownTruth()
	for _, name := range s.names {
		replica := s.replicas[name]
		require.Equal(s.t, first.holdsNow, replica.holdsNow, "%s and %s", s.names[0], name)
		require.Equal(s.t, s.digest(s.names[0]), s.digest(name))
		for dot := range replica.holdsNow {
			require.False(s.t, truth.superseded[dot], "%v was superseded and came back", dot)
		}
		if !severeFaults {
			require.Empty(s.t, replica.state.incarnationEnds)
			require.LessOrEqual(s.t, len(replica.state.known), 2*len(s.names))
		}
	}
	isLive := map[string]bool{}
	for dot := range first.holdsNow {
		isLive[s.changes[dot].name] = isLive[s.changes[dot].name] || !s.changes[dot].deleted
	}
	s.checkNothingLost(first, truth, isLive, severeFaults)
	if severeFaults {
		return
	}
	for name, live := range isLive {
		require.True(s.t, live, "%s is still held although all replicas have seen its delete", name)
	}
}

// checkNothingLost requires that the replica holds each change that was ever held and that nothing superseded. A
// tombstone is kept only if the name has a live sibling, and with severe faults it may have been collected even then.
func (s *simulation) checkNothingLost(replica *simulatedReplica, truth knownTruth, isLive map[string]bool, severeFaults bool) {
	for dot := range truth.everHeld {
		change := s.changes[dot]
		mayBeCollected := change.deleted && (severeFaults || !isLive[change.name])
		if !truth.maybeSuperseded[dot] && !mayBeCollected {
			require.True(s.t, replica.holdsNow[dot], "%v of %s is lost", dot, change.name)
		}
	}
}

// knownTruth is what the current replicas together know about the changes.
type knownTruth struct {
	everHeld        dotSet // changes that any of them has ever held
	superseded      dotSet // changes with a successor that one of them knows
	maybeSuperseded dotSet // also those whose successor only an end mark covers; the successor may have been lost with a disk
}

func (s *simulation) knownTruth() knownTruth {
	truth := knownTruth{dotSet{}, dotSet{}, dotSet{}}
	for _, name := range s.names {
		replica := s.replicas[name]
		for dot := range replica.everHeld {
			truth.everHeld[dot] = true
		}
		for dot, change := range s.changes {
			// This replica may never have received a tombstone that others collected; its known version covers the tombstone.
			known := replica.state.known
			covers := known.Covers(dot)
			_, coversByActor := known.find(dot.Actor)
			for superseded := range change.supersedes {
				truth.superseded[superseded] = truth.superseded[superseded] || replica.everHeld[dot] || covers && coversByActor
				truth.maybeSuperseded[superseded] = truth.maybeSuperseded[superseded] || replica.everHeld[dot] || covers
			}
		}
	}
	return truth
}
