// Package recovery decides what a co-ordinator believes, at a start, of what an earlier run has kept on disk. It has no
// I/O and no clock: times are handed in, in Unix milliseconds of the machine's clock, since two runs share no other.
//
// The order at a start: the plan, which is there; the store, as soon as it is read; files; discovery; peers. None waits
// for another, and the start waits for none: each source is believed from the moment at which it speaks, by the ranks
// of package endpoints, and what the store has told of hosts ends where discovery speaks. What was learned of hosts counts
// as a peer's word does, by its age. docs/recovery.md tells the options weighed.
package recovery

import (
	"errors"
	"fmt"
	"time"

	"chalkring/cluster/peerreport"
	"chalkring/endpoints"
)

const (
	loopSpan    = 60_000           // ms in which starts without a planned stop make a crash loop
	loopFirst   = 3                // starts in it from which on less is believed: one may be a kill, two chance
	startsMost  = 16               // starts that are remembered
	notesLife   = 30_000           // ms after which what was learned of hosts counts no more: as a peer's report
	listLife    = 7 * 24 * 3600000 // ms after which a list is of another time: a plan is renewed more often
	tenthsPerMs = 10
)

// TrustLevel is how much of the store is believed; each is less than the one before.
type TrustLevel int

const (
	TrustAll                 TrustLevel = iota
	TrustWithoutObservations            // what was learned of hosts is left out
	TrustWithoutEndpoints               // so is the list
	TrustNothing                        // the whole store is put aside
)

func (l TrustLevel) String() string {
	return [...]string{"all", "no_notes", "no_list", "nothing"}[l]
}

// StartRecord is the record of starts that is written before anything else is believed.
type StartRecord struct {
	_                struct{} `cbor:",toarray"`
	RecentStarts     []int64  // of late, that no planned stop followed
	StoreQuarantined bool     // the store has been put aside in this loop already
}

// RecordStart notes a start, and tells how much is believed. The record has to be on the disk before it is. A store that is not
// this package's alone is never put aside: what others have in it may be nowhere else.
func (s StartRecord) RecordStart(now int64, alone bool) (StartRecord, TrustLevel) {
	next := StartRecord{StoreQuarantined: s.StoreQuarantined}
	for _, at := range s.RecentStarts {
		if at = min(at, now); now-at < loopSpan { // a clock that went back: it was before now, and no one knows when
			next.RecentStarts = append(next.RecentStarts, at)
		}
	}
	if len(next.RecentStarts) == 0 {
		next.StoreQuarantined = false
	}
	next.RecentStarts = append(next.RecentStarts, now)
	next.RecentStarts = next.RecentStarts[max(0, len(next.RecentStarts)-startsMost):]
	level := min(TrustNothing, max(TrustAll, TrustLevel(len(next.RecentStarts)-loopFirst+1)))
	if level == TrustNothing {
		if next.StoreQuarantined || !alone {
			return next, TrustWithoutEndpoints // in the first case what is there was written in this loop; more aside gains nothing
		}
		next.StoreQuarantined = true
	}
	return next, level
}

// RecordPlannedStop is the record after a planned stop.
func (s StartRecord) RecordPlannedStop() StartRecord { return StartRecord{} }

// EndpointList is the list in force as it is kept. Plan is the version of the plan's own list in that run, Discovery the newest
// that discovery had told.
type EndpointList struct {
	_                struct{} `cbor:",toarray"`
	SavedAt          int64
	PlanVersion      int64
	DiscoveryVersion int64
	Hosts            []endpoints.Host
	Removals         []Removal
}

// Removal is a removal as it is kept: its time, where package endpoints has an age.
type Removal struct {
	_             struct{} `cbor:",toarray"`
	ID, RemovedBy string
	StartedMS     int64
	RemovedAt     int64
}

// NewEndpointList is a list as it is kept, at a time.
func NewEndpointList(now, plan, discovery int64, entries []endpoints.Endpoint, gone []endpoints.Removal) EndpointList {
	l := EndpointList{SavedAt: now, PlanVersion: plan, DiscoveryVersion: discovery}
	for _, e := range entries {
		e.Line, e.Column = 0, 0
		l.Hosts = append(l.Hosts, e.Host)
	}
	for _, g := range gone {
		l.Removals = append(l.Removals, Removal{ID: g.ID, RemovedBy: g.RemovedBy, StartedMS: g.StartedMS, RemovedAt: now - g.Age/tenthsPerMs})
	}
	return l
}

// Observations are what was learned of hosts as it is kept: a report such as peers get, whose age is as of At.
type Observations struct {
	_       struct{} `cbor:",toarray"`
	SavedAt int64
	Head    peerreport.ReportHeader
	Entries []peerreport.Observation
}

// Restored is what counts of a store. Left tells what does not, and why, for the log.
type Restored struct {
	Update       *endpoints.Update
	Observations *Observations // its age is as of now
	Discarded    []DiscardedItem
}

// DiscardedItem is something that is not believed.
type DiscardedItem struct{ Item, Reason string }

// The store's names among the list's sources, and among peers, whose names are an installation's.
const (
	SourceName = "store"
	PeerName   = "#store"
)

// Restore decides what counts of a list and of notes, either of which may be missing. planVersion is that of the plan's
// own list.
func Restore(now int64, level TrustLevel, planVersion int64, list *EndpointList, notes *Observations) (b Restored) {
	left := func(what string, format string, v ...any) {
		b.Discarded = append(b.Discarded, DiscardedItem{what, fmt.Sprintf(format, v...)})
	}
	if list != nil {
		age := now - list.SavedAt
		switch {
		case level >= TrustWithoutEndpoints:
			left("list", "several starts within a minute")
		case age > listLife:
			left("list", "it is %v old", time.Duration(age)*time.Millisecond)
		case planVersion > list.PlanVersion && planVersion > list.DiscoveryVersion: // a version of discovery that has begun again is low
			left("list", "the plan's is of version %d, it is of %d", planVersion, list.DiscoveryVersion)
		default:
			b.Update = list.told(now)
			if age < 0 {
				left("ages of removals", "the clock has gone back by %v", -time.Duration(age)*time.Millisecond)
			}
		}
	}
	if notes != nil {
		age := now - notes.SavedAt
		switch {
		case level >= TrustWithoutObservations:
			left("notes", "several starts within a minute")
		case age < 0:
			left("notes", "the clock has gone back by %v: their age is not known", -time.Duration(age)*time.Millisecond)
		case age+int64(notes.Head.AgeMs) > notesLife:
			left("notes", "they are %v old", time.Duration(age)*time.Millisecond)
		default:
			own := *notes
			own.SavedAt = now
			own.Head.AgeMs += uint32(age)
			b.Observations = &own
		}
	}
	return b
}

func (l *EndpointList) told(now int64) *endpoints.Update {
	t := &endpoints.Update{Source: SourceName, Rank: endpoints.RankStore, Version: 1, Confirmed: true, Hosts: l.Hosts}
	for _, g := range l.Removals {
		t.Removals = append(t.Removals, endpoints.Removal{ID: g.ID, RemovedBy: g.RemovedBy, StartedMS: g.StartedMS, Age: max(0, now-g.RemovedAt) * tenthsPerMs})
	}
	return t
}

// Validate looks at notes that come from a disk as at a peer's.
func (n *Observations) Validate() error {
	if len(n.Entries) > peerreport.MaxHosts || len(n.Entries) != int(n.Head.HostCount) {
		return errors.New("notes of another number than told")
	}
	err := n.Head.Validate()
	for i := range n.Entries {
		err = errors.Join(err, n.Entries[i].Validate())
	}
	return err
}
