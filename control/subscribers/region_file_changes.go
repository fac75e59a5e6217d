package subscribers

import (
	"github.com/fxamacker/cbor/v2"

	"chalkring/cluster/crdt"
)

// RegionFileKeyPrefix is the prefix of the entries of the shared map that record a region's active file.
const RegionFileKeyPrefix = "subfile/"

// FileStatus identifies a region's active file in the shared map.
type FileStatus struct {
	Generation int64  `cbor:"1,keyasint"`
	Digest     uint64 `cbor:"2,keyasint"`
}

func (s FileStatus) isAfter(other FileStatus) bool {
	return s.Generation > other.Generation || s.Generation == other.Generation && s.Digest > other.Digest
}

// DecodeFileStatus decodes an entry of the shared map. Of statuses that were written concurrently it returns the one
// with the highest generation, and among those the one with the highest digest.
func DecodeFileStatus(entry crdt.Entry) (status FileStatus) {
	for _, sibling := range entry.Siblings {
		var candidate FileStatus
		if !sibling.Deleted && limitedDecoding.Unmarshal(sibling.Value, &candidate) == nil && candidate.isAfter(status) {
			status = candidate
		}
	}
	return status
}

// Activate returns a StaleFileError if the file must not replace the active one in the shared map. Otherwise it returns
// the value that makes the file the active one, nil if it is active already.
func (f *RegionFile) Activate(current FileStatus) (value []byte, err error) {
	if f.Generation < current.Generation || f.Generation == current.Generation && f.Digest != current.Digest {
		return nil, &StaleFileError{f.Region, f.Generation, current.Generation}
	}
	if f.Generation == current.Generation {
		return nil, nil
	}
	return cbor.Marshal(FileStatus{f.Generation, f.Digest})
}

// applyTo returns the record of one subscriber after the file is applied to the current record. write is false if the
// file changes nothing; then stale may report a line about a subscriber that has unsubscribed since.
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

// UpdateFor returns the update that applies the file to one subscriber. instance is the name of the instance that
// applies it, and wallMS the time by its clock.
func (f *RegionFile) UpdateFor(key Key, instance string, wallMS uint64) RecordUpdate {
	return func(current Record, exists bool) (Record, bool, error) {
		next, write, _ := f.applyTo(key, current, exists, instance, wallMS)
		return next, write, nil
	}
}

// FindChanges returns the subscribers whose records the file changes and for which mayWrite returns true, and the lines
// about subscribers that have unsubscribed since; at most limit of each.
func (f *RegionFile) FindChanges(list *List, mayWrite func(Key) bool, limit int) (keys []Key, stale []*StaleLineError) {
	examine := func(key Key, current Record, exists bool) {
		if len(keys) >= limit {
			return
		}
		_, write, staleLine := f.applyTo(key, current, exists, "", 0)
		if staleLine != nil && len(stale) < limit {
			stale = append(stale, staleLine)
		}
		if write && mayWrite(key) {
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
