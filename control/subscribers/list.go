package subscribers

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"

	"chalkring/cluster/crdt"
)

const (
	MaxSubscriptions = 90_000 // subscriptions, gone ones too: the ledger's bound with room for what else it keeps
	forgot           = "-"    // the name under which a tombstone counts as an unsubscription
	keepDays         = 90     // that an unsubscription is kept at least: a region that is away longer is off the list of instances
)

// RecordUpdate makes the next record out of the one that holds; write is false where nothing is to be written.
type RecordUpdate func(held Record, there bool) (next Record, write bool, err error)

// ApplyUpdate runs an op on the state of a name. The caller puts the value in the same step in which it read the entry:
// guards against an unsubscription that comes in between and would be superseded without having been seen.
func ApplyUpdate(e crdt.Entry, op RecordUpdate) (value []byte, write bool, err error) {
	held, all, err := resolve(e)
	if err != nil {
		return nil, false, err // what cannot be read must not be superseded
	}
	next, write, err := op(held, len(all) > 0)
	if err != nil || !write {
		return nil, false, err
	}
	next = next.pruned().withPriorHashesOf(all...)
	if over := MergeRecords(held, next); len(all) > 0 && (over.contentHash() != next.contentHash() || over.IsUnsubscribed() != next.IsUnsubscribed()) && len(over.Unsubscriptions) <= leftMost {
		return nil, false, &InvalidSubscriptionError{keyOf(e.Name), "would go back behind what holds"}
	}
	if value = next.Encode(); len(value) > valueMost {
		return nil, false, &InvalidSubscriptionError{keyOf(e.Name), fmt.Sprintf("%d bytes, %d at the most", len(value), valueMost)}
	}
	return value, true, nil
}

func keyOf(name string) Key {
	k, _ := ParseKey(name)
	return k
}

// resolve reads an entry: what holds of it, and all its records. Only gone ones are ever deleted from the ledger, long
// after; one that was written beside that was written without having seen it, and so has not come anew: it is gone too.
func resolve(e crdt.Entry) (held Record, all []Record, err error) {
	forgotten := false
	for _, s := range e.Siblings {
		if s.Deleted {
			forgotten = true
			continue
		}
		r, bad := DecodeRecord(s.Value)
		if bad != nil {
			var b *InvalidRecordError
			errors.As(bad, &b)
			b.Name = e.Name
			err = errors.Join(err, b)
			continue
		}
		all = append(all, r)
	}
	if len(all) > 0 {
		if held = joined(all); forgotten && !held.IsUnsubscribed() {
			held = held.withUnsubscription(forgot, 1)
		}
	}
	return held, all, err
}

// ResolveEntry is what holds of an entry.
func ResolveEntry(e crdt.Entry) (Record, error) {
	r, _, err := resolve(e)
	return r, err
}

// Subscribe takes in that a subscriber asks for something now: the embedder's call. Where an unsubscription was seen
// it is a new consent. One who is subscribed is changed.
func Subscribe(k Key, region string, d Details) RecordUpdate {
	return func(held Record, there bool) (Record, bool, error) {
		if err := check(k, region, d); err != nil {
			return held, false, err
		}
		if !there || held.IsUnsubscribed() {
			return held.anew(held.Consent+1, d, region, Attachment{}), true, nil
		}
		if _, here := held.Attachments[region]; !here {
			held.Attachments = joinPlaces(held.Attachments, map[string]Attachment{region: {}})
		} else if held.Details.same(d) {
			return held, false, nil
		}
		return held.withDetails(d), true, nil
	}
}

// ChangeDetails gives a subscriber who is subscribed other details. It brings nobody back.
func ChangeDetails(k Key, d Details) RecordUpdate {
	return func(held Record, there bool) (Record, bool, error) {
		if err := check(k, "-", d); err != nil {
			return held, false, err
		}
		if !there || held.IsUnsubscribed() {
			return held, false, &NotSubscribedError{k, held.Consent}
		}
		return held.withDetails(d), !held.Details.same(d), nil
	}
}

// Unsubscribe takes a subscriber off, for good unless it subscribes anew; who is the instance that takes it in, wallMS its
// wall's time. One who is not known is noted as gone too: the subscription may be on its way. One who is gone is noted
// again: what is written meanwhile elsewhere may know of the first time alone.
func Unsubscribe(k Key, who string, wallMS uint64) RecordUpdate {
	return func(held Record, there bool) (Record, bool, error) {
		if why := k.check(); why != "" {
			return held, false, &InvalidSubscriptionError{k, why}
		}
		return held.withUnsubscription(who, wallMS), true, nil
	}
}

// RecordDelivery notes what was delivered under one consent.
func RecordDelivery(consent uint64, m DeliveryCheckpoint) RecordUpdate {
	return func(held Record, there bool) (Record, bool, error) {
		if !there || held.IsUnsubscribed() || held.Consent != consent || m.after(held.Checkpoint) <= 0 {
			return held, false, nil
		}
		held.Checkpoint = m
		return held, true, nil
	}
}

func (r Record) withDetails(d Details) Record {
	if !r.Details.same(d) {
		r.Revision, r.Details = r.Revision+1, d
	}
	return r
}

func isRegion(name string) bool {
	return name != "" && len(name) <= regionMost && !strings.ContainsAny(name, " /")
}

func check(k Key, region string, d Details) error {
	why := k.check()
	if why == "" {
		why = d.check()
	}
	if why == "" && !isRegion(region) {
		why = fmt.Sprintf("region %.40q is no name", region)
	}
	if why != "" {
		return &InvalidSubscriptionError{k, why}
	}
	return nil
}

// WriteConflict is what an operator is told: of words written apart, one holds and another does not.
type WriteConflict struct {
	Key             Key
	Kept, Discarded string // in words
}

// Describe tells what a record says, without the query: that is the subscriber's.
func (r Record) Describe() string {
	if r.IsUnsubscribed() {
		return fmt.Sprintf("unsubscribed at consent %d", r.Consent)
	}
	places := ""
	for _, p := range slices.Sorted(maps.Keys(r.Attachments)) {
		places += " " + p
	}
	return fmt.Sprintf("subscribed at consent %d, change %d, type %s, every %.1f s, form %016x, in%s", r.Consent, r.Revision,
		r.Details.Type, float64(r.Details.Interval)/second, r.Details.hash(), places)
}

// List is an instance's view of all subscriptions, read out of the ledger. It is one goroutine's.
type List struct {
	all     map[Key]*listed
	off     int
	sum     uint64
	reading uint64
}

type listed struct {
	Record
	form    uint64   // its id
	part    uint64   // of the list's sum
	stamp   uint64   // of the siblings that were read
	reading uint64   // in which it was met last
	told    []uint64 // forms that have been told as lost while these siblings stand
}

func NewList() *List { return &List{all: map[Key]*listed{}} }

// CountSubscriptions tells how many are subscribed, and how many gone ones are remembered.
func (l *List) CountSubscriptions() (on, off int) { return len(l.all) - l.off, l.off }

// Get is what holds for a subscriber.
func (l *List) Get(k Key) (Record, bool) {
	if e := l.all[k]; e != nil {
		return e.Record, true
	}
	return Record{}, false
}

// ForEach tells all subscriptions, in no order.
func (l *List) ForEach(f func(Key, Record)) {
	for k, e := range l.all {
		f(k, e.Record)
	}
}

// ApplyEntry takes in an entry as the ledger holds it, also one it has taken before, which costs little. It tells whether
// something is different now, and what did not hold, each once.
func (l *List) ApplyEntry(e crdt.Entry) (k Key, changed bool, events []WriteConflict, err error) {
	k, ours := ParseKey(e.Name)
	if !ours {
		return k, false, nil, &InvalidRecordError{e.Name, "its name"}
	}
	was, stamp := l.all[k], EntryDigest(e)
	if was != nil && was.stamp == stamp {
		return k, false, nil, nil
	}
	held, all, err := resolve(e)
	l.Remove(k)
	if len(all) == 0 {
		return k, was != nil, nil, err
	}
	now := &listed{Record: held, stamp: stamp, reading: l.reading}
	now.form = held.contentHash()
	now.part = part(k, now.form)
	l.sum += now.part
	if l.all[k] = now; held.IsUnsubscribed() {
		l.off++
	}
	if len(all) > 1 {
		_, lost := ResolveConflict(all)
		for _, r := range lost {
			id := r.contentHash()
			if now.told = append(now.told, id); was == nil || !slices.Contains(was.told, id) {
				events = append(events, WriteConflict{k, held.Describe(), r.Describe()})
			}
		}
	}
	return k, was == nil || was.form != now.form || len(was.Attachments) != len(held.Attachments) ||
		was.Checkpoint.Number != held.Checkpoint.Number, events, err
}

// Remove takes one off the list.
func (l *List) Remove(k Key) {
	if was := l.all[k]; was != nil {
		if delete(l.all, k); was.IsUnsubscribed() {
			l.off--
		}
		l.sum -= was.part
	}
}

// Digest stands for who is subscribed to what and who has left: lists with the same one are one list.
func (l *List) Digest() uint64 { return l.sum }

func part(k Key, form uint64) uint64 {
	d := newDigest()
	d.text(k.LedgerKey())
	d.number(form)
	return d.sum()
}

// BeginScan begins to go through all that the ledger holds.
func (l *List) BeginScan() { l.reading++ }

// NeedsUpdate tells quickly whether an entry has to be taken.
func (l *List) NeedsUpdate(e crdt.Entry) bool {
	k, _ := ParseKey(e.Name)
	was := l.all[k]
	if was != nil {
		was.reading = l.reading
	}
	return was == nil || was.stamp != EntryDigest(e)
}

// FindRemoved names, at the end of a reading, those on the list that the ledger does not hold any more.
func (l *List) FindRemoved() (keys []Key) {
	for k, was := range l.all {
		if was.reading != l.reading {
			keys = append(keys, k)
		}
	}
	return keys
}

// FindExpiredTombstones names the gone ones that need not be remembered: the caller deletes them from the ledger while all instances
// that count are heard; the ledger then remembers the delete until all of them have seen it.
func (l *List) FindExpiredTombstones(wallMS uint64, most int) (keys []Key) {
	for k, e := range l.all {
		if len(keys) < most && e.IsUnsubscribed() && wallMS > e.leftMS()+keepDays*86_400_000 {
			keys = append(keys, k)
		}
	}
	return keys
}

// EntryDigest names an entry's siblings.
func EntryDigest(e crdt.Entry) uint64 {
	d := newDigest()
	for _, s := range e.Siblings {
		d.text(s.Dot.Actor)
		d.number(s.Dot.Counter)
	}
	return d.sum()
}
