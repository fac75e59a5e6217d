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

// Level is how much of the store is believed; each is less than the one before.
type Level int

const (
	All     Level = iota
	NoNotes       // what was learned of hosts is left out
	NoList        // so is the list
	Nothing       // the whole store is put aside
)

func (l Level) String() string {
	return [...]string{"all", "no_notes", "no_list", "nothing"}[l]
}

// Starts is the record of starts that is written before anything else is believed.
type Starts struct {
	_       struct{} `cbor:",toarray"`
	At      []int64  // of late, that no planned stop followed
	Emptied bool     // the store has been put aside in this loop already
}

// Begin notes a start, and tells how much is believed. The record has to be on the disk before it is. A store that is not
// this package's alone is never put aside: what others have in it may be nowhere else.
func (s Starts) Begin(now int64, alone bool) (Starts, Level) {
	next := Starts{Emptied: s.Emptied}
	for _, at := range s.At {
		if at = min(at, now); now-at < loopSpan { // a clock that went back: it was before now, and no one knows when
			next.At = append(next.At, at)
		}
	}
	if len(next.At) == 0 {
		next.Emptied = false
	}
	next.At = append(next.At, now)
	next.At = next.At[max(0, len(next.At)-startsMost):]
	level := min(Nothing, max(All, Level(len(next.At)-loopFirst+1)))
	if level == Nothing {
		if next.Emptied || !alone {
			return next, NoList // in the first case what is there was written in this loop; more aside gains nothing
		}
		next.Emptied = true
	}
	return next, level
}

// Stopped is the record after a planned stop.
func (s Starts) Stopped() Starts { return Starts{} }

// List is the list in force as it is kept. Plan is the version of the plan's own list in that run, Discovery the newest
// that discovery had told.
type List struct {
	_         struct{} `cbor:",toarray"`
	At        int64
	Plan      int64
	Discovery int64
	Hosts     []endpoints.Host
	Gone      []Gone
}

// Gone is a removal as it is kept: its time, where package endpoints has an age.
type Gone struct {
	_         struct{} `cbor:",toarray"`
	ID, By    string
	StartedMS int64
	At        int64
}

// Keep is a list as it is kept, at a time.
func Keep(now, plan, discovery int64, entries []endpoints.Endpoint, gone []endpoints.Removal) List {
	l := List{At: now, Plan: plan, Discovery: discovery}
	for _, e := range entries {
		e.Line, e.Column = 0, 0
		l.Hosts = append(l.Hosts, e.Host)
	}
	for _, g := range gone {
		l.Gone = append(l.Gone, Gone{ID: g.ID, By: g.RemovedBy, StartedMS: g.StartedMS, At: now - g.Age/tenthsPerMs})
	}
	return l
}

// Notes are what was learned of hosts as it is kept: a report such as peers get, whose age is as of At.
type Notes struct {
	_    struct{} `cbor:",toarray"`
	At   int64
	Head peerreport.ReportHeader
	All  []peerreport.Observation
}

// Believed is what counts of a store. Left tells what does not, and why, for the log.
type Believed struct {
	List  *endpoints.Update
	Notes *Notes // its age is as of now
	Left  []Left
}

// Left is something that is not believed.
type Left struct{ What, Why string }

// The store's names among the list's sources, and among peers, whose names are an installation's.
const (
	Source = "store"
	Peer   = "#store"
)

// Weigh decides what counts of a list and of notes, either of which may be missing. planVersion is that of the plan's
// own list.
func Weigh(now int64, level Level, planVersion int64, list *List, notes *Notes) (b Believed) {
	left := func(what string, format string, v ...any) {
		b.Left = append(b.Left, Left{what, fmt.Sprintf(format, v...)})
	}
	if list != nil {
		age := now - list.At
		switch {
		case level >= NoList:
			left("list", "several starts within a minute")
		case age > listLife:
			left("list", "it is %v old", time.Duration(age)*time.Millisecond)
		case planVersion > list.Plan && planVersion > list.Discovery: // a version of discovery that has begun again is low
			left("list", "the plan's is of version %d, it is of %d", planVersion, list.Discovery)
		default:
			b.List = list.told(now)
			if age < 0 {
				left("ages of removals", "the clock has gone back by %v", -time.Duration(age)*time.Millisecond)
			}
		}
	}
	if notes != nil {
		age := now - notes.At
		switch {
		case level >= NoNotes:
			left("notes", "several starts within a minute")
		case age < 0:
			left("notes", "the clock has gone back by %v: their age is not known", -time.Duration(age)*time.Millisecond)
		case age+int64(notes.Head.AgeMs) > notesLife:
			left("notes", "they are %v old", time.Duration(age)*time.Millisecond)
		default:
			own := *notes
			own.At = now
			own.Head.AgeMs += uint32(age)
			b.Notes = &own
		}
	}
	return b
}

func (l *List) told(now int64) *endpoints.Update {
	t := &endpoints.Update{Source: Source, Rank: endpoints.RankStore, Version: 1, Confirmed: true, Hosts: l.Hosts}
	for _, g := range l.Gone {
		t.Removals = append(t.Removals, endpoints.Removal{ID: g.ID, RemovedBy: g.By, StartedMS: g.StartedMS, Age: max(0, now-g.At) * tenthsPerMs})
	}
	return t
}

// Check looks at notes that come from a disk as at a peer's.
func (n *Notes) Check() error {
	if len(n.All) > peerreport.MaxHosts || len(n.All) != int(n.Head.HostCount) {
		return errors.New("notes of another number than told")
	}
	err := n.Head.Validate()
	for i := range n.All {
		err = errors.Join(err, n.All[i].Validate())
	}
	return err
}
