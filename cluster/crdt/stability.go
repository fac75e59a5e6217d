package crdt

// compactContextLength is the number of dots above which the causal context of a causally stable entry is reduced to its
// siblings' actors. For a shorter context the reduction would cost more than it saves.
const compactContextLength = 3

// SetMembers sets the names of all members, and of those among them that have been absent for so long that tombstones are
// collected without waiting for them. No tombstone is collected before the first call.
func (m *Map) SetMembers(members, absent []string) {
	m.members, m.absentMembers = append([]string{}, members...), map[string]bool{}
	for _, name := range absent {
		m.absentMembers[name] = true
	}
}

// ForgetInstance stops waiting for an instance that will not come back. What it sent to any other instance stays. If it
// does come back, this replica waits for it again once its next row arrives; but changes that it holds of incarnations
// settled in the meantime may be ignored.
func (m *Map) ForgetInstance(name string) {
	delete(m.rows, name)
	delete(m.coveredRows, name)
	m.forgottenNames[name] = true
}

// StableVersion returns the causally stable version, which all members that are not absent have seen, and whether there
// is one. Only rows whose known version this replica's known version covers count: what a member wrote before it saw a
// delete is then held here, along with the tombstone.
func (m *Map) StableVersion() (Version, bool) {
	for name, row := range m.rows {
		if row.Known.IsCoveredBy(m.known) {
			m.coveredRows[name] = row
		}
	}
	if m.members == nil {
		return nil, false
	}
	stable := m.known
	for _, name := range m.members {
		if name == ActorInstance(m.actor) || m.absentMembers[name] {
			continue
		}
		row, ok := m.coveredRows[name]
		if !ok || row.Actor != m.rows[name].Actor {
			return nil, false
		}
		stable = stable.intersect(row.Known)
	}
	return stable, true
}

// CollectTombstones drops the causally stable tombstones, and records with only a context that the known version covers. It
// returns the names of both. It also reduces the causal contexts of stable entries.
func (m *Map) CollectTombstones() (dropped []string) {
	m.settleIncarnationEnds()
	stable, hasStable := m.StableVersion()
	for _, dead := range m.deadRecords {
		isStable := hasStable && dead.CausalContext.IsCoveredBy(stable)
		isRedundant := len(dead.Siblings) == 0 && dead.CausalContext.IsCoveredBy(m.known)
		if isStable || isRedundant {
			m.replaceRecord(dead, Entry{}, nil)
			dropped = append(dropped, dead.Name)
		}
	}
	if !hasStable {
		return dropped
	}
	m.records.Scan(func(_ string, held *record) bool {
		if len(held.extraContext) > 0 || len(held.CausalContext) > compactContextLength {
			m.compactRecord(held, stable)
		}
		return true
	})
	return dropped
}

// compactRecord reduces the contexts of a record whose whole causal context is stable. The whole context must be stable, so
// that all members know not only the superseded changes but also that they were superseded.
func (m *Map) compactRecord(held *record, stable Version) {
	if !held.CausalContext.IsCoveredBy(stable) {
		return
	}
	if len(held.CausalContext) > compactContextLength {
		held.CausalContext = held.compactContext()
	}
	if held.extraContext.IsCoveredBy(m.known) {
		held.extraContext = nil
	}
}
