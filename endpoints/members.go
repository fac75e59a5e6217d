// Package endpoints makes one list of hosts of what several sources tell: the plan, a store, discovery, files. It has no
// I/O; times are tenths of a millisecond of a clock that is handed in. A Book takes what a source tells whole or not at
// all and gives the list in force with a generation. docs/membership.md tells the precedence and the guards.
package endpoints

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
)

const (
	second     = 10_000        // in tenths of a millisecond
	dropMost   = 0.34          // share of a source's hosts that one list may drop unless it is meant: a hall of three
	dropFew    = 2             // hosts that may always go: small fleets lose one or two
	holdBack   = 30 * second   // that a list is held back which drops more: time for the next list or an operator
	remember   = 600 * second  // that a removal stands against other sources: slower ones have caught up by then
	weightMost = 1000.0        // a host as strong as so many usual ones: more is a slip of the pen
	hostsMost  = 20_000        // of a source: twice the largest fleet this is built for
	textMost   = 200           // bytes of an id, address, zone or kind
	oldest     = math.MinInt64 // version of a source that has told nothing
)

// State is how a host stands with a source.
type State int

const (
	StateUp State = iota
	StateDraining
	StateRemoved
)

// Host is one entry of a source's list. Line and Column are where it stands, if it stands in a file.
type Host struct {
	ID, Addr, Zone, Kind string
	Cell                 int
	State                State
	Weight               float64
	StartedMS            int64
	Line, Column         int
}

// Rank orders sources: where two list a host with other particulars, those of the higher rank hold.
type Rank int

const (
	RankPlan Rank = iota
	RankStore
	RankDiscovery
	RankFile
)

// Update is what a source tells: all of its hosts, or those that changed. Meant says that an operator knows of it what the
// guards would hold back.
type Update struct {
	Source       string
	Rank         Rank
	Version      int64
	VersionReset bool // its versions have begun again
	Partial      bool
	Confirmed    bool
	Hosts        []Host
	Removals     []Removal // removals that it remembers, of any source
}

// Removal is a host that a source has taken off its list, and how long ago. It holds for what is left of the time for
// which removals are remembered.
type Removal struct {
	ID, RemovedBy string
	StartedMS     int64
	Age           int64
}

// InvalidListError is why a list is refused.
type InvalidListError struct {
	Source       string
	HostID       string
	Line, Column int
	Reason       string
}

func (f InvalidListError) Error() string {
	at := ""
	if f.Line > 0 {
		at = fmt.Sprintf("[%d:%d] ", f.Line, f.Column)
	}
	if f.HostID != "" {
		at += fmt.Sprintf("host %.60q: ", f.HostID)
	}
	return f.Source + ": " + at + f.Reason
}

// Rules are what the installation knows of all hosts. Zones, kinds and the range of cells bind files alone: what other
// programs tell may be ahead of the plan.
type Rules struct {
	Zones, Kinds           []string // that there are; any where there are none
	BlockSets, SetsPerHost int      // a host of cell c holds the sets from c-Reach+1 on to c, of so many; no look at holders where 0
}

// Endpoint is a host of the list in force, with the source whose particulars hold and, if it drains, those that say so.
type Endpoint struct {
	Host
	Source       string
	DrainedBy    []string
	ZoneConflict bool // sources put it, or its address, into different zones
}

// source is what one has told.
type source struct {
	name    string
	rank    Rank
	version int64
	hosts   map[string]Host
	pending *Update // held back
	until   int64
	why     string
	ends    int64 // when it counts no more, 0 for never
}

// removal is a host that a source has taken off its list.
type removal struct {
	by      string
	at      int64
	started int64 // the life that was removed: a later one is another
}

// Registry keeps what all sources have told, and the list in force. It is one goroutine's.
type Registry struct {
	rules      Rules
	sources    map[string]*source
	removed    map[string]removal
	list       map[string]Endpoint
	generation int64
}

func NewRegistry(rules Rules) *Registry {
	return &Registry{rules: rules, sources: map[string]*source{}, removed: map[string]removal{}, list: map[string]Endpoint{}}
}

// Generation counts the changes of the list in force.
func (b *Registry) Generation() int64 { return b.generation }

// List is the list in force, by id.
func (b *Registry) List() []Endpoint {
	all := slices.Collect(maps.Values(b.list))
	slices.SortFunc(all, func(x, y Endpoint) int { return cmp.Compare(x.ID, y.ID) })
	return all
}

// HeldBackSources names the sources whose last list is held back, with why.
func (b *Registry) HeldBackSources() map[string]string {
	out := map[string]string{}
	for name, s := range b.sources {
		switch {
		case s.pending != nil:
			out[name] = s.why
		case s.ends > 0:
			out[name] = "lists hosts that no other source does"
		}
	}
	return out
}

// Removals are the removals that are remembered, by id.
func (b *Registry) Removals(now int64) []Removal {
	var all []Removal
	for id, r := range b.removed {
		all = append(all, Removal{id, r.by, r.started, max(0, now-r.at)})
	}
	slices.SortFunc(all, func(x, y Removal) int { return cmp.Compare(x.ID, y.ID) })
	return all
}

// Apply takes what a source tells, whole or not at all, and says whether the list in force has changed. A fault changes
// nothing; so does a version that is not above the last.
func (b *Registry) Apply(now int64, t Update) (changed bool, err error) {
	if err := b.check(t); err != nil {
		return false, err
	}
	s := b.sources[t.Source]
	if s == nil {
		s = &source{name: t.Source, version: oldest, hosts: map[string]Host{}}
		b.sources[t.Source] = s
	}
	if t.Version <= s.version && !t.VersionReset {
		return false, nil
	}
	if t.VersionReset && t.Partial {
		return false, InvalidListError{Source: t.Source, Reason: "changes in place of the whole list"}
	}
	s.rank = t.Rank
	if t.Partial && s.pending != nil { // to what it told last, held back or not
		t = merged(s, *s.pending, t)
	}
	if why := b.holds(s, t); why != "" && !t.Confirmed {
		if s.pending == nil {
			s.until = now + holdBack
		}
		s.pending, s.why = &t, why
		return b.Tick(now), nil
	}
	s.pending = nil
	b.take(now, s, t)
	changed = b.settle(now)
	if (t.Rank == RankDiscovery || t.Rank == RankStore) && b.discovered() && b.retire(now) {
		changed = b.settle(now) || changed
	}
	return changed, nil
}

func (b *Registry) discovered() bool {
	for _, s := range b.sources {
		if s.rank == RankDiscovery && s.version != oldest {
			return true
		}
	}
	return false
}

// retire ends what a store has told once discovery speaks: what only an earlier run knew is not told again. Guards
// against a first list that is cut: where many hosts would go with the store, it counts for a while longer.
func (b *Registry) retire(now int64) (ended bool) {
	for name, s := range b.sources {
		if s.rank != RankStore || s.ends > 0 {
			continue
		}
		alone := 0
		for _, e := range b.list {
			if e.Source == name {
				alone++
			}
		}
		if alone > dropFew && float64(alone) > dropMost*float64(len(b.list)) {
			s.ends = now + holdBack
			continue
		}
		delete(b.sources, name)
		ended = true
	}
	return ended
}

// RemoveSource takes out a source that has left for good, such as a file that an operator has deleted on purpose. A source
// that is only silent is not forgotten: what it told last holds.
func (b *Registry) RemoveSource(now int64, name string) (changed bool) {
	delete(b.sources, name)
	return b.settle(now)
}

// Tick takes lists whose time of being held back is over, and forgets removals that are old.
func (b *Registry) Tick(now int64) (changed bool) {
	for _, name := range slices.Sorted(maps.Keys(b.sources)) {
		if s := b.sources[name]; s.pending != nil && now >= s.until {
			t := *s.pending
			s.pending = nil
			b.take(now, s, t)
		} else if s.ends > 0 && now >= s.ends {
			delete(b.sources, name)
		}
	}
	return b.settle(now)
}

// NextTick is when Tick has something to do, 0 for never.
func (b *Registry) NextTick() (at int64) {
	note := func(t int64) {
		if at == 0 || t < at {
			at = t
		}
	}
	for _, s := range b.sources {
		if s.pending != nil {
			note(s.until)
		}
		if s.ends > 0 {
			note(s.ends)
		}
	}
	for _, r := range b.removed {
		note(r.at + remember)
	}
	return at
}

// UncoveredSets are the block sets that no host that is up holds.
func (b *Registry) UncoveredSets() (sets []int) {
	held := b.holders(func(yield func(Host) bool) {
		for _, e := range b.list {
			if e.State == StateUp && !yield(e.Host) {
				return
			}
		}
	})
	for set, ok := range held {
		if !ok {
			sets = append(sets, set)
		}
	}
	return sets
}

// holders tells which block sets some hosts hold.
func (b *Registry) holders(of func(yield func(Host) bool)) []bool {
	sets := make([]bool, b.rules.BlockSets)
	for h := range of {
		for i := range b.rules.SetsPerHost {
			sets[((h.Cell-i)%b.rules.BlockSets+b.rules.BlockSets)%b.rules.BlockSets] = true
		}
	}
	return sets
}

// merged is a held-back list with later changes of it.
func merged(s *source, held, t Update) Update {
	all := map[string]Host{}
	if held.Partial {
		maps.Copy(all, s.hosts)
	}
	for _, h := range append(slices.Clone(held.Hosts), t.Hosts...) {
		all[h.ID] = h
	}
	t.Partial, t.Confirmed = false, t.Confirmed || held.Confirmed
	t.Hosts = slices.SortedFunc(maps.Values(all), func(x, y Host) int { return cmp.Compare(x.ID, y.ID) })
	return t
}

// check looks at a list by itself.
func (b *Registry) check(t Update) error {
	fault := func(h Host, format string, v ...any) error {
		return InvalidListError{t.Source, h.ID, h.Line, h.Column, fmt.Sprintf(format, v...)}
	}
	if n := max(len(t.Hosts), len(t.Removals)); n > hostsMost {
		return fault(Host{}, "%d hosts, %d at the most", n, hostsMost)
	}
	for _, g := range t.Removals {
		if g.ID == "" || len(g.ID) > textMost || len(g.RemovedBy) > textMost {
			return fault(Host{ID: g.ID}, "a removal by %.40q", g.RemovedBy)
		}
	}
	ids, addrs := map[string]bool{}, map[string]string{}
	for _, h := range t.Hosts {
		switch {
		case h.ID == "":
			return fault(h, "a host without an id")
		case len(h.ID) > textMost || len(h.Addr) > textMost || len(h.Zone) > textMost || len(h.Kind) > textMost:
			return fault(h, "a text of over %d bytes", textMost)
		case ids[h.ID]:
			return fault(h, "is there twice")
		case h.State < StateUp || h.State > StateRemoved:
			return fault(h, "state %d", h.State)
		}
		if ids[h.ID] = true; h.State == StateRemoved {
			continue
		}
		switch other := addrs[h.Addr]; {
		case h.Addr == "":
			return fault(h, "has no address")
		case other != "":
			return fault(h, "has the address %s of host %.60q", h.Addr, other)
		case !(h.Weight > 0) || h.Weight > weightMost:
			return fault(h, "weight %g is not above 0 and up to %g", h.Weight, weightMost)
		case t.Rank == RankFile && len(b.rules.Zones) > 0 && !slices.Contains(b.rules.Zones, h.Zone):
			return fault(h, "unknown zone %.60q", h.Zone)
		case t.Rank == RankFile && len(b.rules.Kinds) > 0 && !slices.Contains(b.rules.Kinds, h.Kind):
			return fault(h, "unknown kind %.60q", h.Kind)
		case h.Cell < 0 || t.Rank == RankFile && b.rules.BlockSets > 0 && h.Cell >= b.rules.BlockSets:
			return fault(h, "cell %d is not from 0 to %d", h.Cell, b.rules.BlockSets-1)
		case h.StartedMS < 0:
			return fault(h, "started_ms %d", h.StartedMS)
		}
		addrs[h.Addr] = h.ID
	}
	return nil
}

// holds tells why a list is to be held back: it drops too many hosts of its source at once, or the last holder of a
// block. Guards against a file that was cut at a line's end, and against a source that has lost its memory.
func (b *Registry) holds(s *source, t Update) string {
	after := b.after(s, t)
	was, gone := 0, 0
	for id, h := range s.hosts {
		if h.State == StateRemoved {
			continue
		}
		was++
		if n, ok := after[id]; !ok || n.State == StateRemoved {
			gone++
		}
	}
	if gone > dropFew && float64(gone) > dropMost*float64(was) {
		return fmt.Sprintf("drops %d of %d hosts", gone, was)
	}
	if b.rules.BlockSets == 0 || len(b.list) == 0 {
		return ""
	}
	unheld := b.UncoveredSets()
	now := b.holders(func(yield func(Host) bool) {
		for id, e := range b.list { // others' hosts stay as they are
			if _, own := s.hosts[id]; !own && e.State == StateUp && !yield(e.Host) {
				return
			}
		}
		for _, h := range after {
			if h.State == StateUp && !yield(h) {
				return
			}
		}
	})
	for set := range now {
		if !now[set] && !slices.Contains(unheld, set) {
			return fmt.Sprintf("leaves block set %d without a holder", set)
		}
	}
	return ""
}

// after is what a source will have told.
func (b *Registry) after(s *source, t Update) map[string]Host {
	after := map[string]Host{}
	if t.Partial {
		maps.Copy(after, s.hosts)
	}
	for _, h := range t.Hosts {
		after[h.ID] = h
	}
	return after
}

// take puts a list in the place of the source's last.
func (b *Registry) take(now int64, s *source, t Update) {
	after := b.after(s, t)
	for id, h := range s.hosts {
		if n, ok := after[id]; h.State != StateRemoved && (!ok || n.State == StateRemoved) {
			b.removed[id] = removal{s.name, now, h.StartedMS}
		}
	}
	for id, h := range after {
		r, gone := b.removed[id]
		switch {
		case h.State == StateRemoved:
			if !gone {
				b.removed[id] = removal{s.name, now, h.StartedMS}
			}
			delete(after, id)
		case gone && r.by == s.name, gone && h.StartedMS > r.started:
			delete(b.removed, id) // who took it off lists it again, or it has begun another life
		}
	}
	s.hosts, s.version = after, t.Version
	for _, g := range t.Removals {
		if _, known := b.removed[g.ID]; !known && max(0, g.Age) < remember && !b.listedSince(g) {
			b.removed[g.ID] = removal{g.RemovedBy, now - max(0, g.Age), g.StartedMS}
		}
	}
}

// listedSince tells whether a host that was removed has come back: its remover lists it, or any source another life of it.
func (b *Registry) listedSince(g Removal) bool {
	for name, s := range b.sources {
		if h, ok := s.hosts[g.ID]; ok && (name == g.RemovedBy || h.StartedMS > g.StartedMS) {
			return true
		}
	}
	return false
}

// settle works out the list in force.
func (b *Registry) settle(now int64) (changed bool) {
	for id, r := range b.removed {
		if now >= r.at+remember {
			delete(b.removed, id)
		}
	}
	for len(b.removed) > hostsMost { // guards against sources that make names up
		old := ""
		for id, r := range b.removed {
			if o, ok := b.removed[old]; !ok || r.at < o.at || r.at == o.at && id < old {
				old = id
			}
		}
		delete(b.removed, old)
	}
	list := map[string]Endpoint{}
	order := slices.SortedFunc(maps.Values(b.sources), func(x, y *source) int {
		return cmp.Or(cmp.Compare(y.rank, x.rank), cmp.Compare(x.name, y.name))
	})
	addrs := map[string]string{}
	for _, s := range order {
		for _, id := range slices.Sorted(maps.Keys(s.hosts)) {
			h := s.hosts[id]
			if _, gone := b.removed[id]; gone {
				continue
			}
			e, known := list[id]
			if !known {
				if other, taken := addrs[h.Addr]; taken && other != id {
					if o := list[other]; o.Zone != h.Zone && h.Zone != "" {
						o.ZoneConflict = true
						list[other] = o
					}
					continue // a lower source knows this address under another id: the higher one's holds
				}
				addrs[h.Addr] = id
				e = Endpoint{Host: h, Source: s.name}
			}
			e.ZoneConflict = e.ZoneConflict || e.Zone != h.Zone && h.Zone != ""
			if e.StartedMS = max(e.StartedMS, h.StartedMS); h.State == StateDraining {
				e.State = StateDraining
				e.DrainedBy = append(e.DrainedBy, s.name)
			}
			list[id] = e
		}
	}
	same := maps.EqualFunc(list, b.list, func(x, y Endpoint) bool {
		x.Line, x.Column, y.Line, y.Column = 0, 0, 0, 0
		return x.Host == y.Host && x.Source == y.Source && x.ZoneConflict == y.ZoneConflict && slices.Equal(x.DrainedBy, y.DrainedBy)
	})
	if b.list = list; !same {
		b.generation++
	}
	return !same
}
