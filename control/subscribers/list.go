package subscribers

import (
	"slices"

	"chalkring/cluster/crdt"
)

const (
	// MaxSubscriptions limits a list, including unsubscribed entries, to what the shared map can hold beside its other
	// entries.
	MaxSubscriptions = 90_000

	// tombstoneRetentionMS is the minimum time for which an unsubscription is kept. The instances of a region that is
	// unreachable for longer are no longer voting members.
	tombstoneRetentionMS = 90 * 86_400_000
)

// WriteConflict reports two records that were written concurrently, of which one is kept and the other is lost.
type WriteConflict struct {
	Key             Key
	Kept, Discarded string // as Record.Describe returns them
}

// List is an instance's view of all subscriptions, read from the shared map. It is not safe for concurrent use.
type List struct {
	byKey             map[Key]*listEntry
	unsubscribedCount int
	digest            uint64 // sum of the entries' digests
	scan              uint64 // number of the current scan
}

type listEntry struct {
	Record
	hash           uint64   // its content hash
	digest         uint64   // its contribution to the list's digest
	entryDigest    uint64   // of the siblings that it was read from
	lastScan       uint64   // scan in which the entry was last seen
	reportedLosses []uint64 // content hashes of the records that lost a conflict; all were reported
}

// NewList returns an empty list.
func NewList() *List { return &List{byKey: map[Key]*listEntry{}} }

// CountSubscriptions returns how many are subscribed, and how many unsubscribed entries are remembered.
func (l *List) CountSubscriptions() (subscribed, unsubscribed int) {
	return len(l.byKey) - l.unsubscribedCount, l.unsubscribedCount
}

// Get returns a subscriber's record.
func (l *List) Get(key Key) (Record, bool) {
	if entry := l.byKey[key]; entry != nil {
		return entry.Record, true
	}
	return Record{}, false
}

// ForEach calls visit for all subscriptions, in no particular order.
func (l *List) ForEach(visit func(Key, Record)) {
	for key, entry := range l.byKey {
		visit(key, entry.Record)
	}
}

// ApplyEntry updates the list with an entry of the shared map; an entry that has not changed since costs little. It
// returns whether the subscription has changed, and the records that lost a conflict and were not returned before.
func (l *List) ApplyEntry(entry crdt.Entry) (key Key, changed bool, conflicts []WriteConflict, err error) {
	key, isSubscription := ParseKey(entry.Name)
	if !isSubscription {
		return key, false, nil, &InvalidRecordError{entry.Name, "the name is invalid"}
	}
	previous, digest := l.byKey[key], EntryDigest(entry)
	if previous != nil && previous.entryDigest == digest {
		return key, false, nil, nil
	}
	current, records, err := resolveEntry(entry)
	l.Remove(key)
	if len(records) == 0 {
		return key, previous != nil, nil, err
	}
	listed := l.add(key, current)
	listed.entryDigest = digest
	conflicts = listed.addConflicts(key, previous, records)
	return key, listed.differsFrom(previous), conflicts, err
}

func (l *List) add(key Key, record Record) *listEntry {
	entry := &listEntry{Record: record, hash: record.contentHash(), lastScan: l.scan}
	entry.digest = subscriptionDigest(key, entry.hash)
	l.digest += entry.digest
	l.byKey[key] = entry
	if record.IsUnsubscribed() {
		l.unsubscribedCount++
	}
	return entry
}

// addConflicts notes the records that lost to the winning one, and returns those that were not reported with the
// previous entry.
func (e *listEntry) addConflicts(key Key, previous *listEntry, records []Record) (conflicts []WriteConflict) {
	if len(records) == 1 {
		return nil
	}
	_, lost := ResolveConflict(records)
	for _, record := range lost {
		hash := record.contentHash()
		e.reportedLosses = append(e.reportedLosses, hash)
		if previous == nil || !slices.Contains(previous.reportedLosses, hash) {
			conflicts = append(conflicts, WriteConflict{key, e.Describe(), record.Describe()})
		}
	}
	return conflicts
}

func (e *listEntry) differsFrom(previous *listEntry) bool {
	return previous == nil || previous.hash != e.hash || len(previous.Attachments) != len(e.Attachments) ||
		previous.Checkpoint.Number != e.Checkpoint.Number
}

// Remove removes a subscription from the list.
func (l *List) Remove(key Key) {
	entry := l.byKey[key]
	if entry == nil {
		return
	}
	delete(l.byKey, key)
	if entry.IsUnsubscribed() {
		l.unsubscribedCount--
	}
	l.digest -= entry.digest
}

// Digest identifies who is subscribed to what and who has unsubscribed: lists with the same digest are equal.
func (l *List) Digest() uint64 { return l.digest }

func subscriptionDigest(key Key, contentHash uint64) uint64 {
	d := newDigest()
	d.addText(key.EntryName())
	d.addNumber(contentHash)
	return d.sum()
}

// BeginScan begins a scan of all subscriptions of the shared map. The caller asks NeedsUpdate for each of them.
func (l *List) BeginScan() { l.scan++ }

// NeedsUpdate reports at little cost whether an entry that a scan has found has to be applied.
func (l *List) NeedsUpdate(entry crdt.Entry) bool {
	key, _ := ParseKey(entry.Name)
	listed := l.byKey[key]
	if listed == nil {
		return true
	}
	listed.lastScan = l.scan
	return listed.entryDigest != EntryDigest(entry)
}

// FindRemoved returns, at the end of a scan, the listed subscriptions that the scan has not found.
func (l *List) FindRemoved() (keys []Key) {
	for key, entry := range l.byKey {
		if entry.lastScan != l.scan {
			keys = append(keys, key)
		}
	}
	return keys
}

// FindExpiredTombstones returns at most limit unsubscribed entries that need not be kept any longer. The caller deletes
// them from the shared map while all voting members are alive; the map then keeps the delete until all have seen it.
func (l *List) FindExpiredTombstones(wallMS uint64, limit int) (keys []Key) {
	for key, entry := range l.byKey {
		if len(keys) < limit && entry.IsUnsubscribed() && wallMS > entry.lastUnsubscriptionMS()+tombstoneRetentionMS {
			keys = append(keys, key)
		}
	}
	return keys
}

// EntryDigest identifies an entry's siblings.
func EntryDigest(entry crdt.Entry) uint64 {
	d := newDigest()
	for _, sibling := range entry.Siblings {
		d.addText(sibling.Dot.Actor)
		d.addNumber(sibling.Dot.Counter)
	}
	return d.sum()
}
