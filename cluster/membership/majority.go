package membership

import "slices"

// MaxDetectorStaleness is how long the failure detector's results are used after it was last up to date (2 s). Without this
// limit a process that was stopped and continued would rely on results from before the stop.
const MaxDetectorStaleness = 2000 * ticksPerMillisecond

// IsVoter reports whether a name counts towards a majority.
func (t *Table) IsVoter(name string) bool {
	_, found := slices.BinarySearch(t.voters, name)
	return found
}

// MarkDetectorCurrent records that the failure detector is up to date at the time now.
func (t *Table) MarkDetectorCurrent(now int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.detectorCurrentAt = max(1, now)
}

// CountAliveVoters returns how many voters are alive, this instance included if it is a voter, and how many voters there
// are; now is on the failure detector's clock. A name that two instances claim does not count. After a partition begins,
// voters on the other side still count until it is detected. Once the failure detector has not been up to date for
// MaxDetectorStaleness, no other voter counts.
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

// HasMajority reports whether more than half of the voters are alive, which is true on at most one side of a partition. It
// is false for an instance that has left, or whose own name another instance claims.
func (t *Table) HasMajority(now int64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.hasLeft && !t.hasNameConflict(t.self.Name) && 2*t.countAliveVoters(now) > len(t.voters)
}

// NameConflicts returns the sorted names that two instances claim. Such names do not count as alive voters.
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

// hasNameConflict reports whether two running instances claim a name: two of its incarnations that have not ended have
// different addresses, or one incarnation has two addresses. Incarnations with the same address are no conflict: two
// processes cannot listen on one address, so only the latest of them runs. For its own name, this instance counts as running
// until it has left, and a later one that has not ended is a conflict even at the same address.
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
