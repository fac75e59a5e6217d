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

// DecodeFileStatus reads an entry of the shared map. Of statuses that were written concurrently the greatest wins.
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
func (f *RegionFile) Admit(current FileStatus) (value []byte, err error) {
	if f.Generation < current.Generation || f.Generation == current.Generation && f.Digest != current.Digest {
		return nil, &StaleFileError{f.Region, f.Generation, current.Generation}
	}
	if f.Generation == current.Generation {
		return nil, nil
	}
	return cbor.Marshal(FileStatus{f.Generation, f.Digest})
}

// applyTo returns the record of one subscriber after the file is applied to the current record. Write is false where
// the file says nothing new; then stale may report a line about a subscriber that has unsubscribed since.
func (f *RegionFile) applyTo(key Key, current Record, exists bool, instance string, wallMS uint64) (next Record, write bool, stale *StaleLineError) {
	line, hasLine := f.Lines[key]
	attachment, attached := current.Attachments[f.Region]
	fromLine := Attachment{f.Generation, line.detailsHash}
	switch {
	case !hasLine:
		wasInOlderFile := attached && attachment.Generation > 0 && attachment.Generation < f.Generation
		if exists && !current.IsUnsubscribed() && wasInOlderFile {
			return current.withUnsubscription(instance, wallMS), true, nil
		}
	case !exists || line.Consent > current.Consent:
		return current.resubscribed(line.Consent, line.Details, f.Region, fromLine), true, nil
	case current.IsUnsubscribed():
		return current, false, &StaleLineError{key, line.Consent, current.Consent}
	case line.Consent == current.Consent:
		changedSince := attachment.Generation < f.Generation && attachment.DetailsHash != fromLine.DetailsHash
		if !attached || changedSince {
			return current.withAttachment(f.Region, fromLine).withDetails(line.Details), true, nil
		}
	}
	return current, false, nil
}

// UpdateFor returns the update that applies the file to one subscriber. Instance is the one that applies it, at wallMS
// by its clock.
func (f *RegionFile) UpdateFor(key Key, instance string, wallMS uint64) RecordUpdate {
	return func(current Record, exists bool) (Record, bool, error) {
		next, write, _ := f.applyTo(key, current, exists, instance, wallMS)
		return next, write, nil
	}
}

// FindChanges returns the subscribers, of those that isOwn accepts, for whom the file says something that is not in the
// list yet, and the lines about subscribers that have unsubscribed since; at most limit of each.
func (f *RegionFile) FindChanges(list *List, isOwn func(Key) bool, limit int) (keys []Key, stale []*StaleLineError) {
	examine := func(key Key, current Record, exists bool) {
		if len(keys) >= limit {
			return
		}
		_, write, staleLine := f.applyTo(key, current, exists, "", 0)
		if staleLine != nil && len(stale) < limit {
			stale = append(stale, staleLine)
		}
		if write && isOwn(key) {
			keys = append(keys, key)
		}
	}
	for key := range f.Lines {
		current, exists := list.Get(key)
		examine(key, current, exists)
	}
	list.ForEach(func(key Key, current Record) {
		if _, hasLine := f.Lines[key]; !hasLine {
			examine(key, current, true)
		}
	})
	return keys, stale
}
