// Package recovery decides, when a coordinator starts, how much of the state that an earlier run has stored is still
// trusted. It does no I/O and has no clock: callers pass the time in Unix milliseconds of the machine's clock, the only
// clock that two runs share.
//
// The start waits for no source. The plan is there at once; the store, host files, discovery and peers follow in any
// order, and each counts from the moment it answers, by the ranks of package endpoints. The stored endpoint list ends
// once discovery has answered. Stored observations of hosts count like the load report of a peer, by their age.
// docs/recovery.md compares the designs that were considered.
package recovery

import (
	"fmt"
	"time"

	"chalkring/endpoints"
)

// The store's names where it is one source among others.
const (
	SourceName = "store"  // among the sources of the endpoint list
	PeerName   = "#store" // among peers, whose names come from the installation file and cannot begin so
)

// Restored is the part of the stored state that is trusted. Update and Observations are nil where they are not.
type Restored struct {
	Update       *endpoints.Update
	Observations *Observations // with its age as of now
	Discarded    []DiscardedItem
}

// DiscardedItem is a part of the stored state that is not trusted, and why. Both texts are for the log.
type DiscardedItem struct{ Item, Reason string }

// Items of the stored state, as the log names them.
const (
	itemList        = "list"
	itemNotes       = "notes"
	itemRemovalAges = "ages of removals"
)

const reasonCrashLoop = "several starts within a minute"

func (r *Restored) discard(item, format string, args ...any) {
	r.Discarded = append(r.Discarded, DiscardedItem{item, fmt.Sprintf(format, args...)})
}

// Restore decides what is trusted of a stored list and of stored observations; either may be nil. planVersion is the
// version of the plan's own list.
func Restore(now int64, level TrustLevel, planVersion int64, list *EndpointList, observations *Observations) Restored {
	var restored Restored
	if list != nil {
		restored.restoreList(now, level, planVersion, list)
	}
	if observations != nil {
		restored.restoreObservations(now, level, observations)
	}
	return restored
}

func (r *Restored) restoreList(now int64, level TrustLevel, planVersion int64, list *EndpointList) {
	ageMs := now - list.SavedAt
	switch {
	case level >= TrustWithoutEndpoints:
		r.discard(itemList, reasonCrashLoop)
	case ageMs > maxListAgeMs:
		r.discard(itemList, "it is %v old", milliseconds(ageMs))
	// A discovery service that was set up anew counts its versions from a low number, so either version may be the newer.
	case planVersion > list.PlanVersion && planVersion > list.DiscoveryVersion:
		r.discard(itemList, "the plan's version is %d, the list's is %d", planVersion, list.DiscoveryVersion)
	default:
		r.Update = list.toUpdate(now)
		if ageMs < 0 {
			r.discard(itemRemovalAges, "the clock has gone back by %v", milliseconds(-ageMs))
		}
	}
}

func (r *Restored) restoreObservations(now int64, level TrustLevel, observations *Observations) {
	ageMs := now - observations.SavedAt
	switch {
	case level >= TrustWithoutObservations:
		r.discard(itemNotes, reasonCrashLoop)
	case ageMs < 0:
		r.discard(itemNotes, "the clock has gone back by %v: their age is unknown", milliseconds(-ageMs))
	case ageMs+int64(observations.Head.AgeMs) > maxObservationAgeMs:
		r.discard(itemNotes, "they are %v old", milliseconds(ageMs))
	default:
		aged := *observations
		aged.SavedAt = now
		aged.Head.AgeMs += uint32(ageMs)
		r.Observations = &aged
	}
}

func milliseconds(count int64) time.Duration { return time.Duration(count) * time.Millisecond }
