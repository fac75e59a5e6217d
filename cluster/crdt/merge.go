package crdt

import (
	"bytes"
	"errors"
	"slices"
	"strings"
)

// maxReportedErrors is how many errors of one batch are reported, to keep a log line readable.
const maxReportedErrors = 8

// Merge merges states of names that another instance holds, in any order and any number of times. It returns the names
// whose siblings changed. Entries that cannot be merged are skipped and reported in err; the others are merged.
func (m *Map) Merge(from string, entries []Entry) (changed []string, err error) {
	return m.MergeBatch(from, Batch{Entries: entries})
}

// MergeBatch merges a batch like Merge merges entries. from is the sender's actor, or another name for the source. A
// batch of a superseded incarnation is ignored, since the later incarnation has sent what the earlier one held. So is a
// batch of a forgotten instance.
func (m *Map) MergeBatch(from string, batch Batch) (changed []string, err error) {
	contexts, err := m.batchContexts(from, batch)
	if err != nil {
		return nil, err
	}
	if m.isSuperseded(from) || m.forgottenNames[ActorInstance(from)] {
		return nil, nil
	}
	return m.mergeEntries(from, batch.Entries, batch.ContextIndexes, contexts)
}

// batchContext is a version that the sender of a batch had seen for each of the entries that refer to it.
type batchContext struct {
	Version
	isNew bool // it covers changes that the known version here does not
}

// batchContexts returns the contexts of a batch by context index; index 0 is the batch's known version alone.
func (m *Map) batchContexts(from string, batch Batch) ([]batchContext, error) {
	if !batch.isValid() {
		return nil, &InvalidDataError{From: from, Reason: invalidVersion}
	}
	if err := m.checkSuperseded(from, batch.Known); err != nil {
		return nil, err
	}
	contexts := make([]batchContext, len(batch.ExtraContexts)+1)
	contexts[0].Version = m.internVersion(batch.Known)
	for i, extra := range batch.ExtraContexts {
		contexts[i+1].Version = m.internVersion(batch.Known.Join(extra))
	}
	for i := range contexts {
		contexts[i].isNew = !contexts[i].IsCoveredBy(m.known)
	}
	return contexts, nil
}

// mergeEntries merges entries with the contexts at their indexes; an entry without an index has context 0.
func (m *Map) mergeEntries(from string, entries []Entry, contextIndexes []uint16, contexts []batchContext) (changed []string, err error) {
	var refused []error
	for i, entry := range entries {
		index := 0
		if i < len(contextIndexes) {
			index = int(contextIndexes[i])
		}
		if index >= len(contexts) {
			refused = append(refused, &InvalidDataError{From: from, Reason: "the context index of an entry is greater than the number of extra contexts in its batch"})
			continue
		}
		if reason := entry.invalidReason(); reason != "" {
			refused = append(refused, &InvalidDataError{From: from, Reason: reason})
			continue
		}
		entryChanged, err := m.mergeEntry(entry, contexts[index])
		if err != nil {
			refused = append(refused, err)
		}
		if entryChanged {
			changed = append(changed, entry.Name)
		}
	}
	return changed, joinErrors(refused)
}

// joinErrors joins the first maxReportedErrors errors.
func joinErrors(all []error) error {
	return errors.Join(all[:min(len(all), maxReportedErrors)]...)
}

// mergeEntry merges a valid entry and reports whether the name's siblings changed.
func (m *Map) mergeEntry(remote Entry, remoteContext batchContext) (changed bool, err error) {
	held, _ := m.records.Get(remote.Name)
	var local Entry
	var extraContext Version
	if held != nil {
		local, extraContext = held.Entry, held.extraContext
	}
	merged := mergeSiblings(local.Siblings, remote.Siblings,
		causalPast{local.CausalContext, m.known, extraContext}, causalPast{remote.CausalContext, remoteContext.Version})
	changed = merged.differFrom(local.Siblings)
	causalContext := local.CausalContext.Join(remote.CausalContext)
	addsContext := remoteContext.isNew && !remoteContext.IsCoveredBy(extraContext)
	if !changed && !addsContext && causalContext.IsCoveredBy(local.CausalContext) {
		return false, nil
	}
	if addsContext {
		extraContext = m.joinCached(extraContext, remoteContext.Version)
	}
	if changed {
		if err := m.checkMergeCapacity(held, remote.Name, merged); err != nil {
			return false, err
		}
	}
	entry := Entry{Siblings: slices.Clip(merged.siblings), CausalContext: m.internVersion(causalContext)}
	if held != nil {
		entry.Name = held.Name
	} else {
		entry.Name = strings.Clone(remote.Name)
	}
	for i := range entry.Siblings {
		entry.Siblings[i].Dot.Actor = m.internActor(entry.Siblings[i].Dot.Actor)
	}
	m.replaceRecord(held, entry, extraContext)
	return changed, nil
}

// checkMergeCapacity refuses a merge that would exceed a limit.
func (m *Map) checkMergeCapacity(held *record, name string, merged mergedSiblings) error {
	switch {
	case len(merged.siblings) > MaxSiblings:
		return &TooManySiblingsError{Name: name, Siblings: len(merged.siblings), Limit: MaxSiblings}
	case held == nil && m.records.Len() >= MaxNames:
		return &CapacityExceededError{Name: name, Resource: resourceEntries, Current: m.records.Len(), Limit: MaxNames}
	case merged.live > 0 && m.payloadBytes > MaxTotalBytes:
		return &CapacityExceededError{Name: name, Resource: resourceBytes, Current: m.payloadBytes, Limit: MaxTotalBytes}
	}
	return nil
}

// causalPast is what one side of a merge has seen of a name.
type causalPast [3]Version

func (p causalPast) covers(d Dot) bool {
	return p[0].Covers(d) || p[1].Covers(d) || p[2].Covers(d)
}

// mergedSiblings are the siblings that survive a merge.
type mergedSiblings struct {
	siblings []Sibling
	live     int // number of siblings that are not tombstones
	local    int // number of siblings taken from the local side
}

func (s *mergedSiblings) add(sibling Sibling, isLocal bool) {
	s.siblings = append(s.siblings, sibling)
	if !sibling.Deleted {
		s.live++
	}
	if isLocal {
		s.local++
	}
}

// differFrom reports whether the merged siblings differ from the local ones before the merge.
func (s *mergedSiblings) differFrom(before []Sibling) bool {
	return len(s.siblings) != len(before) || s.local != len(before)
}

// mergeSiblings keeps the siblings that both sides hold, and those that one side holds and the other has not seen. Both
// lists are sorted by dot.
func mergeSiblings(local, remote []Sibling, localPast, remotePast causalPast) (merged mergedSiblings) {
	for len(local) > 0 || len(remote) > 0 {
		switch c := compareFirst(local, remote); {
		case c < 0:
			if !remotePast.covers(local[0].Dot) {
				merged.add(local[0], true)
			}
			local = local[1:]
		case c > 0:
			if !localPast.covers(remote[0].Dot) {
				merged.add(remote[0], false)
			}
			remote = remote[1:]
		default:
			if prefersFirst(local[0], remote[0]) {
				merged.add(local[0], true)
			} else {
				merged.add(remote[0], false)
			}
			local, remote = local[1:], remote[1:]
		}
	}
	return merged
}

// compareFirst compares the first dots of two lists, at least one of which is not empty; an empty list sorts last.
func compareFirst(local, remote []Sibling) int {
	switch {
	case len(local) == 0:
		return 1
	case len(remote) == 0:
		return -1
	}
	return local[0].Dot.compare(remote[0].Dot)
}

// prefersFirst reports whether to keep the first of two siblings with the same dot. They are identical unless two processes
// issued the same dot, which cannot happen while each start has its own actor. If it does happen, every replica still
// keeps the same sibling.
func prefersFirst(first, second Sibling) bool {
	if first.Deleted != second.Deleted {
		return first.Deleted
	}
	return bytes.Compare(first.Value, second.Value) >= 0
}

// joinCached joins two versions and keeps the result for the next call: most names of one batch join the same two versions,
// and then share the result in memory.
func (m *Map) joinCached(first, second Version) Version {
	if len(first) == 0 || first.sharesMemory(second) {
		return second
	}
	if !m.lastJoin[0].sharesMemory(first) || !m.lastJoin[1].sharesMemory(second) {
		m.lastJoin = [3]Version{first, second, first.Join(second)}
	}
	return m.lastJoin[2]
}
