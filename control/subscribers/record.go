// Package subscribers keeps the lists of regional fan-out gateways: who is subscribed to which standing search, which
// gateway serves it, and what deliveries are numbered. Regions change their lists apart and merge them through package
// ledger; what several instances wrote at the same time is decided by reading, alike on all of them, and never written
// back. It has no I/O; times are tenths of a millisecond of a clock that is handed in. docs/subscribers.md tells the
// options weighed.
package subscribers

import (
	"bytes"
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
)

const (
	KeyPrefix   = "sub/"              // of the ledger's names that are subscriptions
	second      = 10_000              // in tenths of a millisecond
	nameMost    = 128                 // bytes of a tenant's name or an id
	queryMost   = 4096                // bytes of a query: standing searches are short, and 100,000 of them are in memory
	MaxBlocks   = 64                  // blocks that a standing search reads: each has a mark of 8 bytes
	MinInterval = 1 * second          // shortest period: a gateway serves thousands
	everyMost   = 7 * 86_400 * second // longest: a week
	pastMost    = 8                   // earlier forms that a record knows as its own: changes made beside its last few
	valueMost   = 8 << 10             // bytes of a record, as the ledger takes them: query, marks and places fit
	leftMost    = 16                  // instances whose unsubscriptions of one subscriber are remembered
	placesMost  = 16                  // regions that one subscriber is attached to
	regionMost  = 64                  // bytes of a region's name
)

// Key names a subscription: no two of a tenant bear one id.
type Key struct{ Tenant, ID string }

// LedgerKey is the key's name in the ledger.
func (k Key) LedgerKey() string { return KeyPrefix + k.Tenant + "/" + k.ID }

func (k Key) String() string { return k.Tenant + "/" + k.ID }

// ParseKey reads a ledger's name.
func ParseKey(name string) (Key, bool) {
	rest, ours := strings.CutPrefix(name, KeyPrefix)
	tenant, id, whole := strings.Cut(rest, "/")
	k := Key{tenant, id}
	return k, ours && whole && k.check() == ""
}

// check tells what is wrong with a key, nothing if it can be used.
func (k Key) check() string {
	for _, one := range [...]struct{ what, text string }{{"tenant", k.Tenant}, {"id", k.ID}} {
		if s := one.text; s == "" || len(s) > nameMost || strings.ContainsFunc(s, func(r rune) bool { return r <= ' ' || r > '~' || r == '/' }) {
			return fmt.Sprintf("%s %.40q is not 1 to %d letters without blanks and strokes", one.what, s, nameMost)
		}
	}
	return ""
}

// Details are what is asked for, and how often.
type Details struct {
	Type     string `cbor:"1,keyasint"`           // of search, as the plan names it
	Query    string `cbor:"2,keyasint"`           // handed to hosts as it is
	Interval int64  `cbor:"3,keyasint"`           // period
	Blocks   []int  `cbor:"4,keyasint,omitempty"` // that are read; all where none are named
}

func (d Details) check() string {
	sorted := slices.Clone(d.Blocks)
	slices.Sort(sorted)
	switch {
	case d.Type == "" || len(d.Type) > nameMost:
		return "the type is missing"
	case len(d.Query) > queryMost:
		return fmt.Sprintf("a query of %d bytes, %d at the most", len(d.Query), queryMost)
	case d.Interval < MinInterval || d.Interval > everyMost:
		return fmt.Sprintf("a period of %.1f s is not from 1 s to a week", float64(d.Interval)/second)
	case len(d.Blocks) > MaxBlocks:
		return fmt.Sprintf("%d blocks, %d at the most", len(d.Blocks), MaxBlocks)
	case len(sorted) > 0 && sorted[0] < 0, len(slices.Compact(sorted)) < len(d.Blocks):
		return "a block is there twice or under 0"
	}
	return ""
}

// Attachment is what a region's file said of a subscriber when its word was last taken: an older copy of the file says
// nothing new, and what it says again is no change.
type Attachment struct {
	Generation  int64  `cbor:"1,keyasint"` // of the file; 0 for a call, which no file takes back
	DetailsHash uint64 `cbor:"2,keyasint"` // hash of the details
}

// DeliveryNumber is a delivery's: turns rise over all gateways, N within a turn. No two gateways bear one name.
type DeliveryNumber struct {
	Epoch    uint64 `cbor:"1,keyasint" json:"turn"`
	Sequence uint64 `cbor:"2,keyasint" json:"n"`
	Gateway  string `cbor:"3,keyasint" json:"gateway"`
}

// Compare orders numbers.
func (n DeliveryNumber) Compare(m DeliveryNumber) int {
	return cmp.Or(cmp.Compare(n.Epoch, m.Epoch), cmp.Compare(n.Sequence, m.Sequence), cmp.Compare(n.Gateway, m.Gateway))
}

// DeliveryCheckpoint is what was delivered last: a gateway that takes over goes on from there.
type DeliveryCheckpoint struct {
	Number DeliveryNumber `cbor:"1,keyasint"`
	Values map[int]uint64 `cbor:"2,keyasint,omitempty"` // hash of the last delivered value by block
}

// Record is what the ledger holds of a subscriber. Each unsubscription is a number under the name of the instance that
// took it in, in Left; a subscription that was made knowing of it bears the same number in Came. While Left has one
// that Came has not, the subscriber is off, whatever else was written meanwhile. Both only grow, and all records of a
// subscriber have one join: so even a record that has lost its place in the ledger's history (a restore from an older
// disk) cannot bring a subscriber back while any instance has the word that it left.
type Record struct {
	Consent             uint64                `cbor:"1,keyasint"` // how often it subscribed anew; details of a higher one hold
	Unsubscriptions     map[string]uint64     `cbor:"2,keyasint,omitempty"`
	SeenUnsubscriptions map[string]uint64     `cbor:"3,keyasint,omitempty"`
	Revision            uint64                `cbor:"4,keyasint,omitempty"` // of the details within this consent
	Details             Details               `cbor:"5,keyasint,omitzero"`  // nothing where an unsubscription was written
	Attachments         map[string]Attachment `cbor:"6,keyasint,omitempty"` // regions that it is attached to
	Checkpoint          DeliveryCheckpoint    `cbor:"7,keyasint,omitzero"`
	PriorHashes         []uint64              `cbor:"8,keyasint,omitempty"` // forms that the writer had seen, the last ones
}

// IsUnsubscribed tells whether the subscriber has left.
func (r Record) IsUnsubscribed() bool {
	for who, n := range r.Unsubscriptions {
		if n > r.SeenUnsubscriptions[who] {
			return true
		}
	}
	return r.Details.Type == ""
}

// leftMS is the wall's time of the last unsubscription in ms, by the instance that took it in.
func (r Record) leftMS() (ms uint64) {
	for _, n := range r.Unsubscriptions {
		ms = max(ms, n)
	}
	return ms
}

// withUnsubscription is r without what it was subscribed to.
func (r Record) withUnsubscription(who string, wallMS uint64) Record {
	n := Record{Consent: max(1, r.Consent), Unsubscriptions: maps.Clone(r.Unsubscriptions), SeenUnsubscriptions: r.SeenUnsubscriptions}
	if n.Unsubscriptions == nil {
		n.Unsubscriptions = map[string]uint64{}
	}
	// The wall guards against a count that an older disk has set back: a number that was answered is not given again.
	n.Unsubscriptions[who] = max(n.Unsubscriptions[who]+1, r.SeenUnsubscriptions[who]+1, wallMS)
	return n
}

// anew is a subscription made knowing of r.
func (r Record) anew(consent uint64, d Details, region string, at Attachment) Record {
	return Record{Consent: consent, Unsubscriptions: r.Unsubscriptions, SeenUnsubscriptions: most(r.SeenUnsubscriptions, r.Unsubscriptions), Revision: 1, Details: d, Attachments: map[string]Attachment{region: at}}
}

// most has the greater number of each name.
func most(a, b map[string]uint64) map[string]uint64 {
	if len(b) == 0 {
		return a
	}
	all := maps.Clone(b)
	for who, n := range a {
		all[who] = max(n, all[who])
	}
	return all
}

// pruned bounds what is remembered of unsubscriptions: the oldest that were answered go first. One that turns up again
// takes the subscriber off, which is the safe side.
func (r Record) pruned() Record {
	for len(r.Unsubscriptions) > leftMost {
		who := slices.SortedFunc(maps.Keys(r.Unsubscriptions), func(a, b string) int {
			answered := func(w string) int {
				if r.Unsubscriptions[w] > r.SeenUnsubscriptions[w] {
					return 1
				}
				return 0
			}
			return cmp.Or(answered(a)-answered(b), cmp.Compare(r.Unsubscriptions[a], r.Unsubscriptions[b]), cmp.Compare(a, b))
		})[0]
		r.Unsubscriptions, r.SeenUnsubscriptions = maps.Clone(r.Unsubscriptions), maps.Clone(r.SeenUnsubscriptions)
		delete(r.Unsubscriptions, who)
		delete(r.SeenUnsubscriptions, who)
	}
	return r
}

var (
	form = func() cbor.EncMode {
		m, err := cbor.CanonicalEncOptions().EncMode()
		if err != nil {
			panic(err)
		}
		return m
	}()
	reading = func() cbor.DecMode {
		m, err := cbor.DecOptions{
			DupMapKey: cbor.DupMapKeyEnforcedAPF, IndefLength: cbor.IndefLengthForbidden,
			MaxArrayElements: 128, MaxMapPairs: 128, MaxNestedLevels: 6,
		}.DecMode()
		if err != nil {
			panic(err)
		}
		return m
	}()
)

// Encode is a record's form in the ledger, one for each content.
func (r Record) Encode() []byte {
	text, err := form.Marshal(r)
	if err != nil {
		panic(err) // no value of the type fails
	}
	return text
}

// DecodeRecord reads a record as the ledger holds it. What other instances wrote is checked as what a file says.
func DecodeRecord(text []byte) (r Record, err error) {
	if len(text) > valueMost {
		return r, &InvalidRecordError{Reason: fmt.Sprintf("%d bytes", len(text))}
	}
	if err := reading.Unmarshal(text, &r); err != nil {
		return r, &InvalidRecordError{Reason: err.Error()}
	}
	switch {
	case r.Consent == 0 || r.Consent > 2*consentMost:
		return r, &InvalidRecordError{Reason: fmt.Sprintf("consent %d", r.Consent)}
	case len(r.Attachments) > placesMost || len(r.PriorHashes) > pastMost || len(r.Checkpoint.Values) > MaxBlocks || len(r.Unsubscriptions) > leftMost || len(r.SeenUnsubscriptions) > leftMost:
		return r, &InvalidRecordError{Reason: "more than it may hold"}
	}
	if why := r.Details.check(); why != "" && r.Details.Type != "" {
		return r, &InvalidRecordError{Reason: why}
	}
	return r, nil
}

// contentHash names a record's form: what a person would call the same subscription, whoever wrote it and whatever was
// delivered since.
func (r Record) contentHash() uint64 {
	if r.IsUnsubscribed() {
		return xxhash.Sum64(Record{Consent: r.Consent}.Encode())
	}
	return xxhash.Sum64(Record{Consent: r.Consent, Details: r.Details}.Encode())
}

func (d Details) same(o Details) bool {
	return d.Type == o.Type && d.Query == o.Query && d.Interval == o.Interval && slices.Equal(d.Blocks, o.Blocks)
}

func (d Details) hash() uint64 { return xxhash.Sum64(Record{Details: d}.Encode()) }

// after orders two records of one consent by what they say.
func (r Record) after(o Record) int {
	if c := cmp.Compare(r.Revision, o.Revision); c != 0 {
		return c
	}
	return cmp.Or(bytes.Compare(Record{Details: r.Details}.Encode(), Record{Details: o.Details}.Encode()), slices.Compare(r.PriorHashes, o.PriorHashes))
}

// MergeRecords is what holds of two records: every unsubscription and every answer to one; the details of the higher consent,
// within one those that were changed more often, the greater bytes among equals. Attachments and marks of one consent
// are put together. It is commutative, associative and idempotent.
func MergeRecords(a, b Record) Record {
	r, other := a, b
	if c := cmp.Compare(b.Consent, a.Consent); c > 0 || c == 0 && b.after(a) > 0 {
		r, other = b, a
	}
	r.Unsubscriptions, r.SeenUnsubscriptions = most(r.Unsubscriptions, other.Unsubscriptions), most(r.SeenUnsubscriptions, other.SeenUnsubscriptions)
	if r.Consent == other.Consent {
		r.Attachments = joinPlaces(r.Attachments, other.Attachments)
		if other.Checkpoint.after(r.Checkpoint) > 0 {
			r.Checkpoint = other.Checkpoint
		}
	}
	return r
}

func (m DeliveryCheckpoint) after(o DeliveryCheckpoint) int {
	if c := m.Number.Compare(o.Number); c != 0 {
		return c
	}
	return bytes.Compare(Record{Checkpoint: m}.Encode(), Record{Checkpoint: o}.Encode())
}

func joinPlaces(a, b map[string]Attachment) map[string]Attachment {
	if len(b) == 0 {
		return a
	}
	all := map[string]Attachment{}
	for _, m := range []map[string]Attachment{a, b} {
		for region, p := range m {
			if q, there := all[region]; !there || cmp.Or(cmp.Compare(p.Generation, q.Generation), cmp.Compare(p.DetailsHash, q.DetailsHash)) > 0 {
				all[region] = p
			}
		}
	}
	return all
}

// withPriorHashesOf makes next a record that is written over those seen: it knows their forms as its past.
func (r Record) withPriorHashesOf(seen ...Record) Record {
	own := r.contentHash()
	r.PriorHashes = nil
	add := func(id uint64) {
		if !slices.Contains(r.PriorHashes, id) && len(r.PriorHashes) < pastMost && id != own {
			r.PriorHashes = append(r.PriorHashes, id)
		}
	}
	for _, s := range seen {
		add(s.contentHash())
	}
	for _, s := range seen {
		for _, id := range s.PriorHashes {
			add(id)
		}
	}
	return r
}

// joined is what holds of several records, of which there is one at least.
func joined(all []Record) Record {
	held := all[0]
	for _, r := range all[1:] {
		held = MergeRecords(held, r)
	}
	return held
}

// ResolveConflict are those of several records written apart whose word does not hold and was not known to any other.
func ResolveConflict(all []Record) (held Record, lost []Record) {
	held = joined(all)
	known := []uint64{held.contentHash()}
	for _, r := range all {
		known = append(known, r.PriorHashes...)
	}
	for _, r := range all {
		if id := r.contentHash(); !slices.Contains(known, id) && !(r.IsUnsubscribed() && held.IsUnsubscribed()) {
			lost, known = append(lost, r), append(known, id)
		}
	}
	return held, lost
}
