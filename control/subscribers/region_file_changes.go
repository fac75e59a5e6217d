package subscribers

import (
	"github.com/fxamacker/cbor/v2"

	"chalkring/cluster/crdt"
)

// RegionFileKeyPrefix begins the shared map's names that say which file of a region is in force.
const RegionFileKeyPrefix = "subfile/"

// FileStatus says which file of a region is in force, as the shared map holds it.
type FileStatus struct {
	Generation int64  `cbor:"1,keyasint"`
	Digest     uint64 `cbor:"2,keyasint"`
}

func (s FileStatus) isAfter(other FileStatus) bool {
	return s.Generation > other.Generation || s.Generation == other.Generation && s.Digest > other.Digest
}

// DecodeFileStatus reads an entry of the shared map. Of statuses that were written concurrently the greatest holds.
func DecodeFileStatus(entry crdt.Entry) (status FileStatus) {
	for _, sibling := range entry.Siblings {
		var candidate FileStatus
		if !sibling.Deleted && sharedDecoding.Unmarshal(sibling.Value, &candidate) == nil && candidate.isAfter(status) {
			status = candidate
		}
	}
	return status
}

// Admit reports with a StaleFileError that a file may not be in force beside what the shared map says. Otherwise it
// returns the value for the map, nil where the map says so already.
func (f *RegionFile) Admit(held FileStatus) (value []byte, err error) {
	if f.Generation < held.Generation || f.Generation == held.Generation && f.Digest != held.Digest {
		return nil, &StaleFileError{f.Region, f.Generation, held.Generation}
	}
	if f.Generation == held.Generation {
		return nil, nil
	}
	return cbor.Marshal(FileStatus{f.Generation, f.Digest})
}

// applyTo returns the record of one subscriber after the file is applied to the record that holds. Write is false where
// the file says nothing new; then stale may report a line about a subscriber that has unsubscribed since.
func (f *RegionFile) applyTo(key Key, held Record, exists bool, instance string, wallMS uint64) (next Record, write bool, stale *StaleLineError) {
	line, hasLine := f.Lines[key]
	attachment, attached := held.Attachments[f.Region]
	fromLine := Attachment{f.Generation, line.detailsHash}
	switch {
	case !hasLine:
		wasInOlderFile := attached && attachment.Generation > 0 && attachment.Generation < f.Generation
		if exists && !held.IsUnsubscribed() && wasInOlderFile {
			return held.withUnsubscription(instance, wallMS), true, nil
		}
	case !exists || line.Consent > held.Consent:
		return held.resubscribed(line.Consent, line.Details, f.Region, fromLine), true, nil
	case held.IsUnsubscribed():
		return held, false, &StaleLineError{key, line.Consent, held.Consent}
	case line.Consent == held.Consent:
		changedSince := attachment.Generation < f.Generation && attachment.DetailsHash != fromLine.DetailsHash
		if !attached || changedSince {
			return held.withAttachment(f.Region, fromLine).withDetails(line.Details), true, nil
		}
	}
	return held, false, nil
}

// UpdateFor returns the update that applies the file to one subscriber. Instance is the one that applies it, at wallMS
// by its clock.
func (f *RegionFile) UpdateFor(key Key, instance string, wallMS uint64) RecordUpdate {
	return func(held Record, exists bool) (Record, bool, error) {
		next, write, _ := f.applyTo(key, held, exists, instance, wallMS)
		return next, write, nil
	}
}

// FindChanges returns the subscribers, of those that isOwn accepts, for whom the file says something that is not in the
// list yet, and the lines about subscribers that have unsubscribed since; at most limit of each.
func (f *RegionFile) FindChanges(list *List, isOwn func(Key) bool, limit int) (keys []Key, stale []*StaleLineError) {
	examine := func(key Key, held Record, exists bool) {
		if len(keys) >= limit {
			return
		}
		_, write, staleLine := f.applyTo(key, held, exists, "", 0)
		if staleLine != nil && len(stale) < limit {
			stale = append(stale, staleLine)
		}
		if write && isOwn(key) {
			keys = append(keys, key)
		}
	}
	for key := range f.Lines {
		held, exists := list.Get(key)
		examine(key, held, exists)
	}
	list.ForEach(func(key Key, held Record) {
		if _, hasLine := f.Lines[key]; !hasLine {
			examine(key, held, true)
		}
	})
	return keys, stale
}
