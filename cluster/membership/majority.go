package membership

import "slices"

// MaxDetectorStaleness is for how long the failure detector's findings count after it was last up to date (2 s): a process
// may be stopped and continued, and would else believe what held before.
const MaxDetectorStaleness = 2000 * ticksPerMillisecond

// IsVoter reports whether a name counts for a majority.
func (t *Table) IsVoter(name string) bool {
	_, found := slices.BinarySearch(t.voters, name)
	return found
}

// MarkDetectorCurrent records that the failure detector is up to date at this time.
func (t *Table) MarkDetectorCurrent(now int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.detectorCurrentAt = max(1, now)
}

// CountAliveVoters returns how many voters are alive, this instance included if it is a voter, and how many voters there
// are; now is by the failure detector's clock. A name that two instances claim does not count. A partition is noticed only
// after the detection time; until then the other side still counts. No other voter counts while the failure detector has
// not been up to date for MaxDetectorStaleness.
func (t *Table) CountAliveVoters(now int64) (alive, total int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.countAliveVoters(now), len(t.voters)
}

func (t *Table) countAliveVoters(now int64) (alive int) {
	isStale := t.detectorCurrentAt != 0 && now-t.detectorCurrentAt > MaxDetectorStaleness
	for _, name := range t.voters {
		if t.hasNameConflict(name) {
			continue
		}
		if name == t.self.Name {
			if !t.hasLeft {
				alive++
			}
		} else if r := t.latest(name); !isStale && r != nil && r.hasMeta && r.state() == Alive {
			alive++
		}
	}
	return alive
}

// HasMajority reports whether more than half of the voters are alive: true on at most one side of a partition. It is false
// for an instance that has left, or whose own name another instance claims.
func (t *Table) HasMajority(now int64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.hasLeft && !t.hasNameConflict(t.self.Name) && 2*t.countAliveVoters(now) > len(t.voters)
}

// NameConflicts returns the sorted names that two instances claim. They take part in no vote.
func (t *Table) NameConflicts() (names []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name := range t.records {
		if t.hasNameConflict(name) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// hasNameConflict reports whether two running instances have a name: two incarnations that have not ended have different
// addresses, or one incarnation has two. Of incarnations with one address only the latest runs, since two processes cannot
// listen on one address. Of its own name this instance knows that itself is running.
func (t *Table) hasNameConflict(name string) bool {
	isRunningSelf := name == t.self.Name && !t.hasLeft
	addr, hasAddr := "", false
	if isRunningSelf {
		addr, hasAddr = t.self.Addr, true
	}
	for _, r := range t.records[name] {
		if r.state().IsTerminal() || !r.hasMeta {
			continue
		}
		if r.addrConflict || hasAddr && r.meta.Addr != addr || isRunningSelf && r.incarnation >= t.self.Incarnation {
			return true
		}
		addr, hasAddr = r.meta.Addr, true
	}
	return false
}
