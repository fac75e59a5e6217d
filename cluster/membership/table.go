// Package membership decides which instances of a cluster are members. A Table merges updates on members and determines
// the current incarnation of each name, whether a majority of the voters is alive, and which names two instances claim. A
// FailureDetector decides which nodes to ping and updates the table from the results. The package has no I/O; times are
// tenths of a millisecond on a clock that the caller passes in. The same updates, in any order and with duplicates, give
// the same table. docs/cluster.md describes the rules and the guarantees during a network partition.
package membership

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"sync"
)

const (
	// MaxMembers is the largest number of names in a table: three times the largest supported cluster.
	MaxMembers = 1000
	// maxIncarnationsPerName is how many incarnations of a name are kept, the latest ones. An instance in a crash loop
	// can have three at a time: the running one and two whose end is not yet detected.
	maxIncarnationsPerName = 8
	// endedIncarnationsShared is how many of a name's latest incarnations are sent to other instances if they have ended.
	endedIncarnationsShared = 2
)

// Table holds the incarnations of all known members. Its methods are safe for concurrent use.
type Table struct {
	mu                sync.Mutex
	self              Member
	hasLeft           bool
	detectorCurrentAt int64                // when the failure detector was last up to date; 0 if none is used
	voters            []string             // sorted
	records           map[string][]*record // sorted by incarnation; includes other incarnations of this instance's name
}

// NewTable returns the table of an instance that has just started as self. A majority is more than half of the names in
// voters.
func NewTable(self Member, voters []string) *Table {
	voters = slices.Clone(voters)
	slices.Sort(voters)
	self.Capabilities, self.State = slices.Clone(self.Capabilities), Alive
	self.Incarnation = max(1, self.Incarnation)
	return &Table{self: self, voters: slices.Compact(voters), records: map[string][]*record{}}
}

// ApplyUpdate merges an update on a member and reports whether it changed the table. An ended incarnation stays ended.
// Within an incarnation the update with the higher MetaVersion wins, then the one with the higher SuspicionVersion. An
// update on an older incarnation never replaces a newer incarnation. If an update declares this instance's own incarnation
// ended, the instance refutes it by taking a new incarnation (see Self).
func (t *Table) ApplyUpdate(now int64, update Member) (changed bool) {
	if !update.IsValid() {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.isSelf(update.Name, update.Incarnation) && !t.contradictsSelf(update) {
		return false
	}
	r := t.findOrAddRecord(now, update)
	if r == nil {
		return false
	}
	previousState := r.state()
	changed = r.apply(update)
	if r.state() != previousState {
		r.stateSince = now
	}
	return t.refuteOwnEnd(now) || changed
}

func (t *Table) isSelf(name string, incarnation uint64) bool {
	return name == t.self.Name && incarnation == t.self.Incarnation
}

// contradictsSelf reports whether an update on this instance's own incarnation has to be recorded: other instances have
// declared it ended, or another process uses it at another address because a disk was copied or a clock was set back.
func (t *Table) contradictsSelf(update Member) bool {
	return update.State.IsTerminal() && !t.hasLeft || update.Addr != "" && update.Addr != t.self.Addr
}

// findOrAddRecord returns the record of an update's incarnation. It adds a new one if there is room, else it returns nil.
func (t *Table) findOrAddRecord(now int64, update Member) *record {
	records := t.records[update.Name]
	if records == nil && len(t.records) >= MaxMembers && !t.evictEndedName() {
		return nil
	}
	index, found := slices.BinarySearchFunc(records, update.Incarnation, func(r *record, incarnation uint64) int {
		return cmp.Compare(r.incarnation, incarnation)
	})
	if found {
		return records[index]
	}
	if len(records) >= maxIncarnationsPerName { // keeps the latest ones, whatever the order of updates
		if index == 0 {
			return nil
		}
		records, index = slices.Delete(records, 0, 1), index-1
	}
	r := &record{incarnation: update.Incarnation, stateSince: now}
	t.records[update.Name] = slices.Insert(records, index, r)
	return r
}

// evictEndedName makes room by removing the name, other than a voter's, whose latest incarnation ended first. It reports
// whether it removed one.
func (t *Table) evictEndedName() bool {
	oldest, oldestSince := "", int64(math.MaxInt64)
	for name := range t.records {
		r := t.latest(name)
		if !r.state().IsTerminal() || t.IsVoter(name) {
			continue
		}
		if r.stateSince < oldestSince || r.stateSince == oldestSince && name < oldest {
			oldest, oldestSince = name, r.stateSince
		}
	}
	delete(t.records, oldest)
	return oldest != ""
}

// refuteOwnEnd gives this instance a new incarnation if the current one, or a later one of its name, has ended: other
// instances ignore updates on the old one. While a later incarnation is alive, two instances have this name, and neither
// takes a new incarnation.
func (t *Table) refuteOwnEnd(now int64) bool {
	r := t.latest(t.self.Name)
	if r == nil || r.incarnation < t.self.Incarnation || !r.state().IsTerminal() || t.hasLeft {
		return false
	}
	t.self.Incarnation, t.self.MetaVersion, t.self.StateSince = r.incarnation+1, 0, now
	return true
}

// latest returns the record of a name's highest incarnation, nil if none is known.
func (t *Table) latest(name string) *record {
	records := t.records[name]
	if len(records) == 0 {
		return nil
	}
	return records[len(records)-1]
}

// Self returns this instance's current member entry; its incarnation may have changed since NewTable.
func (t *Table) Self() Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.selfCopy()
}

func (t *Table) selfCopy() Member {
	self := t.self
	self.Capabilities = slices.Clone(self.Capabilities)
	return self
}

// UpdateSelf replaces this instance's metadata and returns the result. Name, incarnation and address do not change.
func (t *Table) UpdateSelf(update Member) Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !update.EqualMetadata(t.self) {
		t.self.Region, t.self.Zone, t.self.ProgramVersion = update.Region, update.Zone, update.ProgramVersion
		t.self.SettingsGeneration = update.SettingsGeneration
		t.self.Capabilities = slices.Clone(update.Capabilities)
		t.self.MetaVersion++
	}
	return t.selfCopy()
}

// Leave records that this instance shuts down on purpose. It no longer counts towards a majority.
func (t *Table) Leave(now int64) Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.hasLeft {
		t.hasLeft, t.self.State, t.self.StateSince = true, Left, now
	}
	return t.selfCopy()
}

// Members returns all known members, this instance included, each with its latest incarnation, sorted by name.
func (t *Table) Members() []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	members := []Member{t.selfCopy()}
	for name := range t.records {
		if name != t.self.Name {
			members = append(members, t.latest(name).memberCopy(name))
		}
	}
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return members
}

// ForEach calls visit for each member that Members would return, in no particular order and without copying it. visit must
// not keep or change the member's Capabilities, and must not call the table, whose lock is held.
func (t *Table) ForEach(visit func(m Member)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	visit(t.self)
	for name := range t.records {
		if name != t.self.Name {
			visit(t.latest(name).member(name))
		}
	}
}

// AlivePeers returns the sorted names of the other members that are alive. Names that two instances claim are left out
// because a message could reach either of the two.
func (t *Table) AlivePeers() (names []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name := range t.records {
		if name != t.self.Name && t.latest(name).state() == Alive && !t.hasNameConflict(name) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// IncarnationState returns the state of one incarnation, and false if the incarnation is not known.
func (t *Table) IncarnationState(name string, incarnation uint64) (State, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.isSelf(name, incarnation) {
		return t.self.State, true
	}
	for _, r := range t.records[name] {
		if r.incarnation == incarnation {
			return r.state(), true
		}
	}
	return Alive, false
}

// RequiresNewIncarnation reports whether a name's latest incarnation has ended and is not below the given one. An instance
// that still uses the given incarnation then has to take a higher one.
func (t *Table) RequiresNewIncarnation(name string, incarnation uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.latest(name)
	return r != nil && r.state().IsTerminal() && r.incarnation >= incarnation
}

// EndedIncarnations returns updates to send to other instances: for each of the names, or for all names if none are given,
// those of its two latest incarnations that have ended. They have no metadata and are sorted by name and incarnation.
func (t *Table) EndedIncarnations(names ...string) []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(names) == 0 {
		names = slices.Collect(maps.Keys(t.records))
	}
	var ended []Member
	for _, name := range names {
		records := t.records[name]
		for _, r := range records[max(0, len(records)-endedIncarnationsShared):] {
			if r.end.IsTerminal() {
				ended = append(ended, Member{Name: name, Incarnation: r.incarnation, State: r.end})
			}
		}
	}
	slices.SortFunc(ended, func(a, b Member) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return ended
}
