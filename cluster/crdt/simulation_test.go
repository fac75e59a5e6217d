package crdt

import (
	"errors"
	"fmt"
	"slices"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// logSteps turns on a log of each step of a simulation, to analyze a failing one. It is off since the log is long.
const logSteps = false

// simulation has a few replicas with disks, a network that loses, delays and duplicates messages, and a model of what
// happened: all changes, which changes each of them superseded, and which changes each replica has ever held.
type simulation struct {
	t                  *rapid.T
	names              []string
	replicas           map[string]*simulatedReplica
	lastIncarnation    uint64
	lastExchangeID     uint64
	changes            map[Dot]simulatedChange
	cutLinks           map[link]bool
	delayedMessages    []delayedMessage
	forgottenInstances []string
}

type link struct{ from, to string }

// dotSet is a set of changes.
type dotSet map[Dot]bool

type simulatedChange struct {
	name       string
	deleted    bool
	supersedes dotSet // all changes that it superseded, directly or indirectly
}

type simulatedReplica struct {
	state     *Map
	everHeld  dotSet // changes that this incarnation, or the disk it started from, has held at any time
	holdsNow  dotSet
	exchanges map[string]*Exchange
	snapshots []diskSnapshot
}

type delayedMessage struct {
	from  string
	batch Batch
}

type diskSnapshot struct {
	entries  []Entry
	known    Version
	everHeld dotSet
	holdsNow dotSet
}

func cloneDots(dots dotSet) dotSet {
	clone := dotSet{}
	for dot := range dots {
		clone[dot] = true
	}
	return clone
}

func (r *simulatedReplica) snapshot() diskSnapshot {
	var entries []Entry
	for _, entry := range allEntries(r.state) {
		storable, _ := r.state.StorableEntry(entry.Name)
		entries = append(entries, storable)
	}
	return diskSnapshot{entries, r.state.KnownVersion(), cloneDots(r.everHeld), cloneDots(r.holdsNow)}
}

func newSimulation(t *rapid.T, replicaCount int) *simulation {
	s := &simulation{
		t: t, replicas: map[string]*simulatedReplica{}, changes: map[Dot]simulatedChange{}, cutLinks: map[link]bool{},
	}
	for i := range replicaCount {
		name := string(rune('p' + i))
		s.names = append(s.names, name)
		s.startReplica(name, diskSnapshot{})
	}
	return s
}

func (s *simulation) logf(format string, args ...any) {
	if logSteps {
		s.t.Logf(format, args...)
	}
}

func (s *simulation) startReplica(name string, disk diskSnapshot) {
	s.lastIncarnation++
	s.logf("start %s %d", name, s.lastIncarnation)
	started := &simulatedReplica{
		state:    NewMap(FormatActor(name, s.lastIncarnation)),
		everHeld: cloneDots(disk.everHeld), holdsNow: cloneDots(disk.holdsNow), exchanges: map[string]*Exchange{},
	}
	require.NoError(s.t, started.state.Restore(disk.entries, disk.known))
	if previous := s.replicas[name]; previous != nil {
		started.snapshots = previous.snapshots
	}
	s.replicas[name] = started
	s.checkReplica(name)
}

// recordChange adds a change to the model.
func (s *simulation) recordChange(dot Dot, name string, superseded []Dot, deleted bool) {
	s.logf("change %v of %s supersedes %v, deleted %v", dot, name, superseded, deleted)
	change := simulatedChange{name: name, deleted: deleted, supersedes: dotSet{}}
	for _, direct := range superseded {
		change.supersedes[direct] = true
		for indirect := range s.changes[direct].supersedes {
			change.supersedes[indirect] = true
		}
	}
	s.changes[dot] = change
}

// checkReplica checks what a replica holds: within an incarnation, a change that it has dropped, or whose successor it
// has held, must not appear again.
func (s *simulation) checkReplica(name string) {
	replica := s.replicas[name]
	holds := dotSet{}
	replica.state.records.Scan(func(_ string, held *record) bool {
		for _, sibling := range held.Siblings {
			holds[sibling.Dot] = true
			require.Equal(s.t, s.changes[sibling.Dot].name, held.Name)
		}
		return true
	})
	if logSteps && fmt.Sprint(holds) != fmt.Sprint(replica.holdsNow) {
		s.logf("  %s holds %v known %v", replica.state.Actor(), holds, replica.state.KnownVersion())
	}
	for dot := range holds {
		require.False(s.t, replica.everHeld[dot] && !replica.holdsNow[dot], "%v came back at %s", dot, name)
		replica.everHeld[dot] = true
	}
	for dot := range replica.everHeld {
		for superseded := range s.changes[dot].supersedes {
			require.False(s.t, holds[superseded], "%v is at %s, which has held its successor %v", superseded, name, dot)
		}
	}
	replica.holdsNow = holds
}

func (s *simulation) write(name string) {
	replica := s.replicas[name]
	key := randomName.Draw(s.t, "key")
	before, after := writeRandomChange(s.t, replica.state, key)
	if len(after.Siblings) == 0 || slices.Contains(entryDots(before), after.Siblings[0].Dot) {
		return
	}
	superseded := entryDots(before)
	// A write to a name without a record supersedes what this incarnation held of it before its tombstone was collected.
	for dot := range replica.everHeld {
		if s.changes[dot].name == key && !slices.Contains(superseded, dot) && !replica.holdsNow[dot] {
			superseded = append(superseded, dot)
		}
	}
	s.recordChange(after.Siblings[0].Dot, key, superseded, after.Siblings[0].Deleted)
	s.checkReplica(name)
	batch := buildBatch(replica.state, false, key)
	s.delayedMessages = append(s.delayedMessages, delayedMessage{replica.state.Actor(), batch})
}

func (s *simulation) deliver(to string, message delayedMessage) {
	sender := ActorInstance(message.from)
	if s.cutLinks[link{sender, to}] || sender == to {
		return
	}
	s.logf("deliver to %s %v", to, message)
	if _, err := s.replicas[to].state.MergeBatch(message.from, message.batch); err != nil {
		s.beginIncarnation(to, sender, err)
	}
	s.checkReplica(to)
}

// beginIncarnation continues as a new incarnation after a SupersededError.
func (s *simulation) beginIncarnation(name, peer string, err error) {
	var superseded *SupersededError
	require.ErrorAs(s.t, err, &superseded)
	replica := s.replicas[name]
	s.lastIncarnation = max(s.lastIncarnation, superseded.EndedBefore) + 1
	dotsBefore := map[string][]Dot{}
	for _, entry := range allEntries(replica.state) {
		dotsBefore[entry.Name] = entryDots(entry)
	}
	for _, entry := range replica.state.BeginIncarnation(s.lastIncarnation, peer) {
		replaced := slices.DeleteFunc(slices.Clone(dotsBefore[entry.Name]), func(dot Dot) bool {
			return slices.Contains(entryDots(entry), dot)
		})
		for _, sibling := range entry.Siblings {
			if sibling.Dot.Actor == replica.state.Actor() {
				s.recordChange(sibling.Dot, entry.Name, replaced, sibling.Deleted)
			}
		}
	}
	clear(replica.exchanges)
	s.checkReplica(name)
}

// exchangeStep makes one request of an exchange and applies its response. If lossy is set, they may be lost. It reports
// whether the exchange is complete.
func (s *simulation) exchangeStep(name, peer string, lossy bool) (complete bool) {
	replica, other := s.replicas[name], s.replicas[peer]
	exchange := replica.exchanges[peer]
	if exchange == nil || exchange.IsDone() {
		s.lastExchangeID++
		exchange = replica.state.NewExchange(peer, s.lastExchangeID)
		replica.exchanges[peer] = exchange
	}
	exchange.RequeueRequest()
	request, ok := exchange.NextRequest()
	require.True(s.t, ok)
	if s.cutLinks[link{name, peer}] || s.cutLinks[link{peer, name}] || lossy && rapid.IntRange(0, 4).Draw(s.t, "lost") == 0 {
		return false
	}
	s.logf("request of %s to %s %v", name, peer, request.WantedBuckets)
	response, err := other.state.HandleRequest(name, request)
	require.NoError(s.t, err)
	if lossy && rapid.IntRange(0, 3).Draw(s.t, "meanwhile") == 0 {
		s.write(name)
	}
	_, lacking, err := exchange.ApplyResponse(response)
	if errors.Is(err, ErrPeerRestarted) {
		delete(replica.exchanges, peer)
		return !lossy // the superseded peer receives the error when it begins an exchange itself
	}
	if err != nil {
		s.beginIncarnation(name, peer, err)
		return false
	}
	s.checkReplica(name)
	if len(lacking) > 0 {
		message := delayedMessage{replica.state.Actor(), buildBatch(replica.state, true, lacking...)}
		s.delayedMessages = append(s.delayedMessages, message)
		if !lossy {
			s.deliver(peer, message)
		}
	}
	return exchange.IsComplete()
}

func (s *simulation) collectTombstones(name string, absent []string) {
	replica := s.replicas[name]
	s.logf("collect %s absent %v", name, absent)
	for _, forgotten := range s.forgottenInstances { // a replica that has restarted since does not remember them
		replica.state.ForgetInstance(forgotten)
	}
	replica.state.SetMembers(s.names, absent)
	replica.state.CollectTombstones()
	s.checkReplica(name)
	replica.state.NextRow()
}

// restart begins a new incarnation from the current disk or, if older ones are allowed, from an older or an empty one.
func (s *simulation) restart(name string, allowOlderDisk bool) {
	replica := s.replicas[name]
	disk := replica.snapshot()
	if allowOlderDisk && rapid.Bool().Draw(s.t, "older disk") {
		disk = s.takeOlderDisk(replica)
	}
	s.startReplica(name, disk)
}

// takeOlderDisk draws a snapshot or an empty disk, and drops the newer snapshots, since a disk has only one history.
func (s *simulation) takeOlderDisk(replica *simulatedReplica) (disk diskSnapshot) {
	count := rapid.IntRange(0, len(replica.snapshots)).Draw(s.t, "disk")
	if count > 0 {
		disk = replica.snapshots[count-1]
	}
	replica.snapshots = replica.snapshots[:count:count]
	return disk
}

// removeInstance removes an instance for good; the others forget it.
func (s *simulation) removeInstance(name string) {
	s.names = slices.DeleteFunc(slices.Clone(s.names), func(other string) bool { return other == name })
	delete(s.replicas, name)
	for _, other := range s.replicas {
		other.state.ForgetInstance(name)
		delete(other.exchanges, name)
	}
	s.forgottenInstances = append(s.forgottenInstances, name)
}

// heal restores all links and lets all replicas exchange with each other for several rounds. In the second round only one
// replica collects tombstones, in the others all do. From the second round on, all replicas must be equal after the
// exchanges of a round.
func (s *simulation) heal() {
	const rounds, maxSteps = 6, 60
	clear(s.cutLinks)
	for round := range rounds {
		for _, name := range s.names {
			for _, peer := range s.names {
				if name == peer {
					continue
				}
				for step := 0; !s.exchangeStep(name, peer, false); step++ {
					require.Less(s.t, step, maxSteps, "an exchange of %s with %s does not end", name, peer)
				}
			}
		}
		for _, name := range s.names {
			// The replicas may have collected different tombstones before: the second round of exchanges makes them equal.
			require.True(s.t, round == 0 || s.digest(name) == s.digest(s.names[0]), "%s differs", name)
		}
		for i, name := range s.names {
			if onlyOne := round == 1; !onlyOne || i == 0 {
				s.collectTombstones(name, nil)
			}
		}
	}
}

func (s *simulation) digest(name string) uint64 { return s.replicas[name].state.Digest(TreeNode{}) }
