package membership

import (
	"cmp"
	"slices"
)

// record is what a table knows of one incarnation. Of the metadata, the suspicion and the end it keeps the largest value
// received, in an order defined for each of them, so that the result does not depend on the order in which updates arrive.
type record struct {
	incarnation          uint64
	meta                 Member // the update with the highest MetaVersion
	hasMeta              bool   // false while only the end of the incarnation is known
	suspicionMetaVersion uint64 // MetaVersion of the update that set suspicion
	suspicionVersion     uint64 // SuspicionVersion of the same update
	suspicion            State  // Alive or Suspect, from the update with the highest (MetaVersion, SuspicionVersion)
	end                  State  // Dead or Left once the incarnation has ended, else Alive; Left wins because the member itself reported it
	addrConflict         bool   // its updates have different addresses: two processes use one incarnation
	stateSince           int64
}

func (r *record) state() State {
	if r.end.IsTerminal() {
		return r.end
	}
	return r.suspicion
}

// apply merges an update and reports whether it changed the record.
func (r *record) apply(update Member) (changed bool) {
	if update.Addr != "" { // empty in an update that only reports the end
		changed = r.applyMeta(update)
	}
	if update.State.IsTerminal() {
		changed = changed || update.State > r.end
		r.end = max(r.end, update.State)
		return changed
	}
	order := cmp.Or(cmp.Compare(update.MetaVersion, r.suspicionMetaVersion), cmp.Compare(update.SuspicionVersion, r.suspicionVersion))
	if order > 0 || order == 0 && update.State > r.suspicion {
		changed = changed || update.State != r.suspicion && !r.end.IsTerminal()
		r.suspicionMetaVersion, r.suspicionVersion, r.suspicion = update.MetaVersion, update.SuspicionVersion, update.State
	}
	return changed
}

func (r *record) applyMeta(update Member) (changed bool) {
	if r.hasMeta && update.Addr != r.meta.Addr {
		changed = !r.addrConflict
		r.addrConflict = true
	}
	isNewer := !r.hasMeta || update.MetaVersion > r.meta.MetaVersion ||
		update.MetaVersion == r.meta.MetaVersion && update.Addr < r.meta.Addr
	if isNewer {
		changed = changed || !r.hasMeta || !update.EqualMetadata(r.meta)
		r.meta, r.hasMeta = update, true
		r.meta.Capabilities = slices.Clone(update.Capabilities)
	}
	return changed
}

// member returns the record as a Member that shares the record's Capabilities slice.
func (r *record) member(name string) Member {
	m := r.meta
	m.Name, m.Incarnation = name, r.incarnation
	m.State, m.StateSince = r.state(), r.stateSince
	m.MetaVersion, m.SuspicionVersion = max(m.MetaVersion, r.suspicionMetaVersion), r.suspicionVersion
	return m
}

// memberCopy returns the record as a Member that shares no memory with it.
func (r *record) memberCopy(name string) Member {
	m := r.member(name)
	m.Capabilities = slices.Clone(m.Capabilities)
	return m
}
