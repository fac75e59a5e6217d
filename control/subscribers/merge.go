package subscribers

import (
	"bytes"
	"cmp"
	"maps"
	"slices"
)

// MergeRecords merges two records. The result has the unsubscriptions and the seen unsubscriptions of both, and the
// details of the record with the higher consent. If the consents are equal, the higher revision decides, then the order
// of the encoded details, and attachments and checkpoints are merged too. The function is commutative, associative and
// idempotent.
func MergeRecords(a, b Record) Record {
	winner, other := a, b
	if order := cmp.Compare(b.Consent, a.Consent); order > 0 || order == 0 && b.compareDetails(a) > 0 {
		winner, other = b, a
	}
	winner.Unsubscriptions = mergeCounts(winner.Unsubscriptions, other.Unsubscriptions)
	winner.SeenUnsubscriptions = mergeCounts(winner.SeenUnsubscriptions, other.SeenUnsubscriptions)
	if winner.Consent == other.Consent {
		winner.Attachments = mergeAttachments(winner.Attachments, other.Attachments)
		if other.Checkpoint.compare(winner.Checkpoint) > 0 {
			winner.Checkpoint = other.Checkpoint
		}
	}
	return winner
}

// compareDetails orders two records of the same consent by their details.
func (r Record) compareDetails(other Record) int {
	if order := cmp.Compare(r.Revision, other.Revision); order != 0 {
		return order
	}
	return cmp.Or(
		bytes.Compare(Record{Details: r.Details}.Encode(), Record{Details: other.Details}.Encode()),
		slices.Compare(r.PriorHashes, other.PriorHashes),
	)
}

// mergeCounts returns the greater number of each name. The result may be map a, not a copy.
func mergeCounts(a, b map[string]uint64) map[string]uint64 {
	if len(b) == 0 {
		return a
	}
	merged := maps.Clone(b)
	for name, number := range a {
		merged[name] = max(number, merged[name])
	}
	return merged
}

// mergeAttachments returns the later attachment of each region. The result may be map a, not a copy.
func mergeAttachments(a, b map[string]Attachment) map[string]Attachment {
	if len(b) == 0 {
		return a
	}
	merged := map[string]Attachment{}
	for _, attachments := range []map[string]Attachment{a, b} {
		for region, attachment := range attachments {
			if other, exists := merged[region]; !exists || attachment.compare(other) > 0 {
				merged[region] = attachment
			}
		}
	}
	return merged
}

func (a Attachment) compare(other Attachment) int {
	return cmp.Or(cmp.Compare(a.Generation, other.Generation), cmp.Compare(a.DetailsHash, other.DetailsHash))
}

// mergeAll merges one or more records.
func mergeAll(records []Record) Record {
	merged := records[0]
	for _, record := range records[1:] {
		merged = MergeRecords(merged, record)
	}
	return merged
}

// ResolveConflict merges one or more records that were written concurrently, and returns those whose content is lost:
// it differs from the merged content, and no other writer had seen it.
func ResolveConflict(records []Record) (merged Record, lost []Record) {
	merged = mergeAll(records)
	known := []uint64{merged.contentHash()}
	for _, record := range records {
		known = append(known, record.PriorHashes...)
	}
	for _, record := range records {
		hash := record.contentHash()
		bothUnsubscribed := record.IsUnsubscribed() && merged.IsUnsubscribed()
		if !slices.Contains(known, hash) && !bothUnsubscribed {
			lost, known = append(lost, record), append(known, hash)
		}
	}
	return merged, lost
}
