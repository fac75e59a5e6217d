// Package membership keeps who of the fleet is there: a Book takes words on members and says which life of each name holds,
// whether more than half of those that count are heard, and which names are claimed by two. It has no I/O; times are
// tenths of a millisecond of a clock that is handed in. The same words in any order, told once or often, leave the same
// book. docs/fleet.md tells the rules and what holds in a partition.
package membership

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"sync"
)

const (
	MaxMembers           = 1000       // names of a book: three times the largest fleet this is built for
	livesMost            = 8          // lives of one name that are remembered, the latest: a crash loop has three while two are unnoticed
	MaxNameBytes         = 100        // bytes of a name, as the peers' names
	MaxTextBytes         = 200        // bytes of any other text of a member
	MaxCapabilities      = 16         // things that a member can take part in
	MaxDetectorStaleness = 2 * 10_000 // since the watch has looked that what it found counts: a process may be stopped and go on
)

// State is how a member stands.
type State int

const (
	Alive   State = iota
	Suspect       // missed, not yet given up: counts for no majority
	Dead          // given up: this life is over for good
	Left          // has gone on purpose: over too
)

var names = [...]string{"alive", "suspect", "gone", "left"}

func (s State) String() string {
	if s < 0 || int(s) >= len(names) {
		return "unknown"
	}
	return names[s]
}

// IsTerminal tells whether a life has ended.
func (s State) IsTerminal() bool { return s >= Dead }

// Member is one life of an instance, and how it stands.
type Member struct {
	Name               string
	Incarnation        uint64 // of this life: a later one is larger; never 0
	MetaVersion        uint64 // counts what the member says of itself in this life; what it says, it says once a word
	SuspicionVersion   uint64 // counts an observer's changes of mind between alive and suspect within one word
	Region             string
	Zone               string
	ProgramVersion     string
	SettingsGeneration uint64   // of its settings
	Capabilities       []string // what it can take part in
	Addr               string   // where others reach it: one for a life
	State              State
	StateSince         int64 // when it came to stand so, by this book's clock
}

// EqualMetadata tells whether two members say the same of themselves, leaving out state and counts.
func (m Member) EqualMetadata(o Member) bool {
	return m.Region == o.Region && m.Zone == o.Zone && m.ProgramVersion == o.ProgramVersion && m.SettingsGeneration == o.SettingsGeneration &&
		slices.Equal(m.Capabilities, o.Capabilities)
}

// life is what is known of one life. Each field is a maximum by an order of its own, so that the order of words has no say.
type life struct {
	n     uint64 // its incarnation
	said  Member // by Word
	heard bool   // said holds something: an end alone says nothing of the member
	word  uint64 // by which doubt is counted
	look  uint64
	doubt State // Alive or Suspect, by word, look
	end   State // Alive while it has none; Left stands over Gone: it is the member's own
	twice bool  // its words name two addresses: two processes use one incarnation
	since int64
}

func (l *life) state() State {
	if l.end.IsTerminal() {
		return l.end
	}
	return l.doubt
}

// Table keeps the lives of all names. It is safe for several goroutines.
type Table struct {
	mu     sync.Mutex
	me     Member
	left   bool
	looked int64 // when the watch looked last, 0 where there is none
	listed []string
	lives  map[string][]*life // by incarnation: others', and other lives of my own name
}

// NewTable makes a book of an instance that has just started. Listed are the names of all instances that count for a majority.
func NewTable(me Member, listed []string) *Table {
	listed = slices.Clone(listed)
	slices.Sort(listed)
	me.Capabilities, me.State = slices.Clone(me.Capabilities), Alive
	me.Incarnation = max(1, me.Incarnation)
	return &Table{me: me, listed: slices.Compact(listed), lives: map[string][]*life{}}
}

// IsValid tells whether a word may be taken at all: what it holds is bounded.
func (m Member) IsValid() bool {
	for _, text := range append([]string{m.Region, m.Zone, m.ProgramVersion, m.Addr}, m.Capabilities...) {
		if len(text) > MaxTextBytes {
			return false
		}
	}
	return m.Name != "" && len(m.Name) <= MaxNameBytes && m.Incarnation > 0 && m.Incarnation < math.MaxUint64 &&
		len(m.Capabilities) <= MaxCapabilities && m.State >= Alive && m.State <= Left
}

// ApplyUpdate takes a word on a member and says whether anything has changed. A life that is over stays over; within one, what
// has the higher Word, then Look, holds; an older incarnation never speaks over a newer one. Being told that this very
// life is over makes the instance another incarnation (Me).
func (b *Table) ApplyUpdate(now int64, m Member) (changed bool) {
	if !m.IsValid() {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if m.Name == b.me.Name && m.Incarnation == b.me.Incarnation {
		switch {
		case m.State.IsTerminal() && !b.left:
			// guards against speaking with an old voice: others have given this life up
		case m.Addr != "" && m.Addr != b.me.Addr:
			// guards against a disk or clock that was copied: another process has my incarnation
		default:
			return false
		}
	}
	l := b.life(now, m)
	if l == nil {
		return false
	}
	was := l.state()
	changed = l.take(m)
	if l.state() != was {
		l.since = now
	}
	return b.rise(now) || changed
}

// life is the record that a word belongs to, a new one where there is room.
func (b *Table) life(now int64, m Member) *life {
	of := b.lives[m.Name]
	if of == nil && len(b.lives) >= MaxMembers && !b.forget() {
		return nil
	}
	at, known := slices.BinarySearchFunc(of, m.Incarnation, func(l *life, n uint64) int { return cmp.Compare(l.n, n) })
	if known {
		return of[at]
	}
	if len(of) >= livesMost { // the latest are kept: which those are does not depend on the order
		if at == 0 {
			return nil
		}
		of, at = slices.Delete(of, 0, 1), at-1
	}
	l := &life{n: m.Incarnation, since: now}
	b.lives[m.Name] = slices.Insert(of, at, l)
	return l
}

// forget makes room: the unlisted name that has been over for longest goes.
func (b *Table) forget() bool {
	oldest, at := "", int64(math.MaxInt64)
	for name := range b.lives {
		if l := b.latest(name); l.state().IsTerminal() && !b.IsVoter(name) && (l.since < at || l.since == at && name < oldest) {
			oldest, at = name, l.since
		}
	}
	delete(b.lives, oldest)
	return oldest != ""
}

func (l *life) take(m Member) (changed bool) {
	if m.Addr != "" { // an end may be told by one who never heard the member itself
		if l.heard && m.Addr != l.said.Addr {
			changed = !l.twice
			l.twice = true
		}
		if !l.heard || m.MetaVersion > l.said.MetaVersion || m.MetaVersion == l.said.MetaVersion && m.Addr < l.said.Addr {
			changed = changed || !l.heard || !m.EqualMetadata(l.said)
			l.said, l.heard = m, true
			l.said.Capabilities = slices.Clone(m.Capabilities)
		}
	}
	if m.State.IsTerminal() {
		changed = changed || m.State > l.end
		l.end = max(l.end, m.State)
	} else if order := cmp.Or(cmp.Compare(m.MetaVersion, l.word), cmp.Compare(m.SuspicionVersion, l.look)); order > 0 ||
		order == 0 && m.State > l.doubt {
		changed = changed || m.State != l.doubt && !l.end.IsTerminal()
		l.word, l.look, l.doubt = m.MetaVersion, m.SuspicionVersion, m.State
	}
	return changed
}

// rise makes me another incarnation where the one I have, or a later one of my name, is over: what was said under it
// stays behind. While a later one lives there are two of us, and neither rises.
func (b *Table) rise(now int64) bool {
	l := b.latest(b.me.Name)
	if l == nil || l.n < b.me.Incarnation || !l.state().IsTerminal() || b.left {
		return false
	}
	b.me.Incarnation, b.me.MetaVersion, b.me.StateSince = l.n+1, 0, now
	return true
}

// latest is the life of a name with the highest incarnation; nil where none is known.
func (b *Table) latest(name string) *life {
	if of := b.lives[name]; len(of) > 0 {
		return of[len(of)-1]
	}
	return nil
}

// Self is this instance as it stands now; its incarnation may have risen.
func (b *Table) Self() Member {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.self()
}

func (b *Table) self() Member {
	m := b.me
	m.Capabilities = slices.Clone(m.Capabilities)
	return m
}

// UpdateSelf puts what this instance says of itself in place of what it said; name, incarnation and address stay.
func (b *Table) UpdateSelf(now int64, m Member) Member {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !m.EqualMetadata(b.me) {
		b.me.Region, b.me.Zone, b.me.ProgramVersion, b.me.SettingsGeneration = m.Region, m.Zone, m.ProgramVersion, m.SettingsGeneration
		b.me.Capabilities = slices.Clone(m.Capabilities)
		b.me.MetaVersion++
	}
	return b.self()
}

// Leave notes that this instance goes on purpose: it counts for nothing from now on.
func (b *Table) Leave(now int64) Member {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.left {
		b.left, b.me.State, b.me.StateSince = true, Left, now
	}
	return b.self()
}

// Members are all that are known, me too, each by its latest life, sorted by name.
func (b *Table) Members() []Member {
	b.mu.Lock()
	defer b.mu.Unlock()
	all := []Member{b.self()}
	for name := range b.lives {
		if name != b.me.Name {
			all = append(all, b.latest(name).member(name))
		}
	}
	slices.SortFunc(all, func(x, y Member) int { return cmp.Compare(x.Name, y.Name) })
	return all
}

// ForEach calls f with all that Members holds, in no order; f must not call the book.
func (b *Table) ForEach(f func(m Member)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	f(b.me)
	for name := range b.lives {
		if name != b.me.Name {
			f(b.latest(name).shown(name))
		}
	}
}

// AlivePeers are the names of those that are alive beside me and that nobody else claims: of one that two claim, nobody knows
// who would get what is sent.
func (b *Table) AlivePeers() (all []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for name := range b.lives {
		if name != b.me.Name && b.latest(name).state() == Alive && !b.claimedTwice(name) {
			all = append(all, name)
		}
	}
	slices.Sort(all)
	return all
}

func (l *life) shown(name string) Member {
	m := l.said
	m.Name, m.Incarnation, m.State, m.StateSince, m.MetaVersion, m.SuspicionVersion = name, l.n, l.state(), l.since, max(m.MetaVersion, l.word), l.look
	return m
}

func (l *life) member(name string) Member {
	m := l.shown(name)
	m.Capabilities = slices.Clone(m.Capabilities)
	return m
}

// IncarnationState is how one life stands here; false where it is not known.
func (b *Table) IncarnationState(name string, incarnation uint64) (State, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if name == b.me.Name && incarnation == b.me.Incarnation {
		return b.me.State, true
	}
	for _, l := range b.lives[name] {
		if l.n == incarnation {
			return l.state(), true
		}
	}
	return Alive, false
}

// RequiresNewIncarnation tells whether a name's latest life is over and no older than an incarnation: whoever lives under that has to rise.
func (b *Table) RequiresNewIncarnation(name string, incarnation uint64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.latest(name)
	return l != nil && l.state().IsTerminal() && l.n >= incarnation
}

// EndedIncarnations are the lives that are over among the two latest of a name, of all names where none is given, as words for others,
// sorted; they say nothing of the members beside.
func (b *Table) EndedIncarnations(names ...string) []Member {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(names) == 0 {
		names = slices.Collect(maps.Keys(b.lives))
	}
	var all []Member
	for _, name := range names {
		of := b.lives[name]
		for _, l := range of[max(0, len(of)-2):] {
			if l.end.IsTerminal() {
				all = append(all, Member{Name: name, Incarnation: l.n, State: l.end})
			}
		}
	}
	slices.SortFunc(all, func(x, y Member) int {
		return cmp.Or(cmp.Compare(x.Name, y.Name), cmp.Compare(x.Incarnation, y.Incarnation))
	})
	return all
}

// NameConflicts are the names that two claim, sorted: they take part in no vote.
func (b *Table) NameConflicts() (all []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for name := range b.lives {
		if b.claimedTwice(name) {
			all = append(all, name)
		}
	}
	slices.Sort(all)
	return all
}

// claimedTwice tells whether two live under a name: at two addresses, or one that names two. At one address the latest
// life is the only one, since no two processes hold one address; of my own name I know that I live.
func (b *Table) claimedTwice(name string) bool {
	addr, some := "", false
	if name == b.me.Name && !b.left {
		addr, some = b.me.Addr, true
	}
	for _, l := range b.lives[name] {
		if l.state().IsTerminal() || !l.heard {
			continue
		}
		if l.twice || some && l.said.Addr != addr || name == b.me.Name && !b.left && l.n >= b.me.Incarnation {
			return true
		}
		addr, some = l.said.Addr, true
	}
	return false
}

// IsVoter tells whether a name counts for a majority.
func (b *Table) IsVoter(name string) bool {
	_, ok := slices.BinarySearch(b.listed, name)
	return ok
}

// MarkDetectorCurrent notes that the watch has looked at all that it has to look at.
func (b *Table) MarkDetectorCurrent(now int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.looked = max(1, now)
}

// CountAliveVoters is how many of the listed are alive, me too if I am listed, and how many are listed; now is by the watch's clock.
// A name that two claim is not heard. A cut is noticed only after the detection's time: until then the other side is still
// counted. Nobody else is heard while the watch has not looked for MaxDetectorStaleness.
func (b *Table) CountAliveVoters(now int64) (heard, of int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.heard(now), len(b.listed)
}

func (b *Table) heard(now int64) (n int) {
	stale := b.looked != 0 && now-b.looked > MaxDetectorStaleness // guards against a process that was stopped and believes what was
	for _, name := range b.listed {
		if b.claimedTwice(name) {
			continue
		}
		if name == b.me.Name {
			if !b.left {
				n++
			}
		} else if l := b.latest(name); !stale && l != nil && l.heard && l.state() == Alive {
			n++
		}
	}
	return n
}

// HasMajority tells whether more than half of the listed are heard: of two sides of a partition, one at the most. One whose
// own name is claimed by another, or that has left, has none.
func (b *Table) HasMajority(now int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.left && !b.claimedTwice(b.me.Name) && 2*b.heard(now) > len(b.listed)
}
