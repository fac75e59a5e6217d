// Package recovery decides, when a coordinator starts, how much of the state that an earlier run stored is still
// trusted. It does no I/O and has no clock: callers pass the time in Unix milliseconds of the machine's clock, the only
// clock that two runs share.
//
// The start waits for no source. The plan is available at once; the store, host files, discovery and peers follow in any
// order, and each is used as soon as it answers, by the ranks of package endpoints. The stored endpoint list is dropped
// once discovery has answered. Stored observations of hosts are weighted by their age, like the report of a peer.
// docs/recovery.md compares the designs that were considered.
package recovery

import (
	"fmt"
	"time"

	"chalkring/endpoints"
)

// The names of the store among other sources.
const (
	SourceName = endpoints.SourceStore // among the sources of the endpoint list
	PeerName   = "#store"              // among peers; their names in the installation file cannot start with #
)

// Restored is the trusted part of the stored state. Update or Observations is nil if that part was missing or discarded.
type Restored struct {
	Update       *endpoints.Update
	Observations *Observations // with their age as of now
	Discarded    []DiscardedItem
}

// DiscardedItem names a part of the stored state that is not trusted, and the reason. Both texts are for the log.
type DiscardedItem struct{ Item, Reason string }

// Items of the stored state, as the log names them.
const (
	itemList         = "list"
	itemObservations = "notes"
	itemRemovalAges  = "ages of removals"
)

const reasonCrashLoop = "several starts within a minute"

func (r *Restored) discard(item, format string, args ...any) {
	r.Discarded = append(r.Discarded, DiscardedItem{item, fmt.Sprintf(format, args...)})
}

// Restore returns the trusted part of a stored list and of stored observations; either may be nil. planVersion is the
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
		r.discard(itemList, "the list is too old: it was saved %v ago", milliseconds(ageMs))
	// A new discovery service starts its versions at a low number, so either of the list's versions may be the newer one.
	case planVersion > list.PlanVersion && planVersion > list.DiscoveryVersion:
		r.discard(itemList, "the plan's version %d is newer than the list's discovery version %d", planVersion, list.DiscoveryVersion)
	default:
		r.Update = list.toUpdate(now)
		if ageMs < 0 {
			r.discard(itemRemovalAges, "the clock was set back by %v", milliseconds(-ageMs))
		}
	}
}

func (r *Restored) restoreObservations(now int64, level TrustLevel, observations *Observations) {
	ageMs := now - observations.SavedAt
	switch {
	case level >= TrustWithoutObservations:
		r.discard(itemObservations, reasonCrashLoop)
	case ageMs < 0:
		r.discard(itemObservations, "the clock was set back by %v, so their age is unknown", milliseconds(-ageMs))
	case ageMs+int64(observations.Head.AgeMs) > maxObservationAgeMs:
		r.discard(itemObservations, "the observations are too old: they were saved %v ago", milliseconds(ageMs))
	default:
		aged := *observations
		aged.SavedAt = now
		aged.Head.AgeMs += uint32(ageMs)
		r.Observations = &aged
	}
}

func milliseconds(count int64) time.Duration { return time.Duration(count) * time.Millisecond }
