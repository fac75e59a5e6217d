package subscribers

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	maxPriorHashes     = 8  // content hashes of earlier records: enough for writes that are concurrent with one of the last few
	maxUnsubscriptions = 16 // instances whose unsubscriptions of one subscriber are remembered
	maxAttachments     = 16 // regions that one subscriber is attached to
)

// Attachment records what a region's file said about a subscriber when it was last applied, so that neither an older
// copy of the file nor an unchanged line counts as a change.
type Attachment struct {
	Generation  int64  `cbor:"1,keyasint"` // of the file; 0 if a call of the embedder made the subscription; it does not end when a file has no line for it
	DetailsHash uint64 `cbor:"2,keyasint"`
}

// Record is what the shared map holds about a subscriber.
//
// Unsubscriptions holds the number of each unsubscription under the name of the instance that accepted it; a
// subscription made with knowledge of it has the same number in SeenUnsubscriptions. While Unsubscriptions has a higher
// number than SeenUnsubscriptions, the subscriber is unsubscribed, whatever else was written concurrently. The numbers
// only grow, and the records of a subscriber can be merged in any order with the same result. So even a record that has
// lost its causal history (after a restore from an older disk) cannot resubscribe a subscriber while any instance knows
// that it has unsubscribed.
//
// A Record's maps and slices are shared between copies and never changed in place.
type Record struct {
	Consent             uint64                `cbor:"1,keyasint"` // rises with each new subscription; the details of the highest win
	Unsubscriptions     map[string]uint64     `cbor:"2,keyasint,omitempty"`
	SeenUnsubscriptions map[string]uint64     `cbor:"3,keyasint,omitempty"`
	Revision            uint64                `cbor:"4,keyasint,omitempty"` // of the details within this consent
	Details             Details               `cbor:"5,keyasint,omitzero"`  // zero after an unsubscription
	Attachments         map[string]Attachment `cbor:"6,keyasint,omitempty"` // by region
	Checkpoint          DeliveryCheckpoint    `cbor:"7,keyasint,omitzero"`
	PriorHashes         []uint64              `cbor:"8,keyasint,omitempty"` // latest content hashes that the writer had seen
}

// IsUnsubscribed reports whether the subscriber has unsubscribed.
func (r Record) IsUnsubscribed() bool {
	for instance, number := range r.Unsubscriptions {
		if number > r.SeenUnsubscriptions[instance] {
			return true
		}
	}
	return r.Details.Type == ""
}

// lastUnsubscriptionMS returns the time of the last unsubscription, by the clock of the instance that accepted it.
func (r Record) lastUnsubscriptionMS() (wallMS uint64) {
	for _, number := range r.Unsubscriptions {
		wallMS = max(wallMS, number)
	}
	return wallMS
}

// withUnsubscription returns the record after an instance has unsubscribed the subscriber. It has no details.
func (r Record) withUnsubscription(instance string, wallMS uint64) Record {
	unsubscribed := Record{Consent: max(1, r.Consent), Unsubscriptions: maps.Clone(r.Unsubscriptions), SeenUnsubscriptions: r.SeenUnsubscriptions}
	if unsubscribed.Unsubscriptions == nil {
		unsubscribed.Unsubscriptions = map[string]uint64{}
	}
	// A restore from an older disk may have set the number back. The wall-clock time prevents the reuse of a number that a
	// subscription has already seen.
	unsubscribed.Unsubscriptions[instance] = max(r.Unsubscriptions[instance]+1, r.SeenUnsubscriptions[instance]+1, wallMS)
	return unsubscribed
}

// resubscribed returns a new subscription that has seen all unsubscriptions in r.
func (r Record) resubscribed(consent uint64, details Details, region string, attachment Attachment) Record {
	return Record{
		Consent: consent, Unsubscriptions: r.Unsubscriptions, SeenUnsubscriptions: mergeCounts(r.SeenUnsubscriptions, r.Unsubscriptions),
		Revision: 1, Details: details, Attachments: map[string]Attachment{region: attachment},
	}
}

func (r Record) withDetails(details Details) Record {
	if !r.Details.equal(details) {
		r.Revision, r.Details = r.Revision+1, details
	}
	return r
}

func (r Record) withAttachment(region string, attachment Attachment) Record {
	r.Attachments = mergeAttachments(r.Attachments, map[string]Attachment{region: attachment})
	return r
}

// pruned limits the number of unsubscriptions in a record. The oldest ones that a later subscription has seen are
// removed first. If a removed one reappears, the subscriber becomes unsubscribed, which is the safe outcome.
func (r Record) pruned() Record {
	for len(r.Unsubscriptions) > maxUnsubscriptions {
		oldest := r.oldestUnsubscription()
		r.Unsubscriptions, r.SeenUnsubscriptions = maps.Clone(r.Unsubscriptions), maps.Clone(r.SeenUnsubscriptions)
		delete(r.Unsubscriptions, oldest)
		delete(r.SeenUnsubscriptions, oldest)
	}
	return r
}

// oldestUnsubscription returns the instance with the lowest number, preferring instances whose number was seen.
func (r Record) oldestUnsubscription() (instance string) {
	unseen := func(name string) int {
		if r.Unsubscriptions[name] > r.SeenUnsubscriptions[name] {
			return 1
		}
		return 0
	}
	return slices.SortedFunc(maps.Keys(r.Unsubscriptions), func(a, b string) int {
		return cmp.Or(unseen(a)-unseen(b), cmp.Compare(r.Unsubscriptions[a], r.Unsubscriptions[b]), cmp.Compare(a, b))
	})[0]
}

// contentHash identifies a record's consent and details, or its unsubscription. It does not depend on who wrote the
// record or on what was delivered since.
func (r Record) contentHash() uint64 {
	if r.IsUnsubscribed() {
		return xxhash.Sum64(Record{Consent: r.Consent}.Encode())
	}
	return xxhash.Sum64(Record{Consent: r.Consent, Details: r.Details}.Encode())
}

// withPriorHashesOf returns a record that supersedes those given: their content hashes become its prior ones.
func (r Record) withPriorHashesOf(superseded ...Record) Record {
	own := r.contentHash()
	r.PriorHashes = nil
	add := func(hash uint64) {
		if !slices.Contains(r.PriorHashes, hash) && len(r.PriorHashes) < maxPriorHashes && hash != own {
			r.PriorHashes = append(r.PriorHashes, hash)
		}
	}
	for _, prior := range superseded {
		add(prior.contentHash())
	}
	for _, prior := range superseded {
		for _, hash := range prior.PriorHashes {
			add(hash)
		}
	}
	return r
}

// Describe summarizes a record for the log. It leaves out the query, which is private to the subscriber.
func (r Record) Describe() string {
	if r.IsUnsubscribed() {
		return fmt.Sprintf("unsubscribed at consent %d", r.Consent)
	}
	regions := ""
	for _, region := range slices.Sorted(maps.Keys(r.Attachments)) {
		regions += " " + region
	}
	return fmt.Sprintf("subscribed at consent %d, revision %d, type %s, every %.1f s, details %016x, in%s", r.Consent, r.Revision,
		r.Details.Type, float64(r.Details.Interval)/second, r.Details.hash(), regions)
}
