package rollout

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
)

const (
	paceParts  = 20          // words within the time after which silence counts
	paceLeast  = second / 5  // between words that say nothing new, at the least
	paceMost   = 5 * second  // and at the most
	paceIdle   = 10 * second // and while there is no change
	freshTimes = 6           // paces after which a word is not fresh: it passes through others, and some are lost
	leaseTimes = 4           // times ready that silent has to be: a grant holds for silent, and a restart and the way back fit in half
	askParts   = 4           // of silent in which a wish has to be granted, or it is taken back
	askWait    = second      // before asking again, at the least; by chance up to four times as long
)

// Note is something that an operator should read in the log.
type Note struct {
	Event string
	Err   error // nil where nothing is wrong
	Attrs []any
}

// Step is a restart that is due now: into a change, or nil for the instance's own files.
type Step struct {
	To     uint64
	Change *Change
	Turn   uint64
	Ready  int64 // time in which it has to serve
}

// Out is what a look leads to.
type Out struct {
	Put    map[string][]byte
	Delete []string
	Step   *Step
	Notes  []Note
	Next   int64 // time of the next look at the latest
}

// Start is what an instance knows of itself when its process begins.
type Start struct {
	Me     Place
	Life   uint64   // higher than in any start before
	Listed []string // all that count for a majority
	Runs   uint64   // number of the change that the process runs with, 0 for its own files
	Failed uint64   // turn of the change that it could not take, with Number
	Number uint64   // of that change
	Why    string   // it could not
	Starts int      // that nobody asked for, with what it runs
	First  bool     // nothing is on disk: what was granted before is not known
	Now    int64
}

// Desk decides for one instance. It is one goroutine's. What it holds is bounded by wordsMost words, changesMost
// changes and one comparison.
type Desk struct {
	Start
	began  int64
	now    int64
	listed map[string]bool

	places    map[string]Place
	conflicts map[string]bool
	words     map[string]*heard
	changes   map[uint64]map[string]*Change
	rosters   map[string][]Place // by key
	file      *File

	cur      *Change
	digest   string
	seenAt   int64 // when cur was first known
	steps    []step
	roster   *roster
	me       Word
	acks     map[string]grant
	askedAt  int64
	waitTo   int64 // before asking again
	askNo    uint64
	served   int64 // when it began to serve with what it runs, -1 before
	warm     int64 // when it told sums first
	sums     *Sums
	taking   bool
	evidence *Evidence
	lookedAt int64
	spokeAt  int64
	changed  bool // since the last word
	votedAt  int64
	open     int // steps that more than half have voted for
	told     map[string]bool
	seats    []seat
	out      Out
}

type heard struct {
	Word
	at int64 // when it was new here
}

// seat is one listed instance as a look sees it.
type seat struct {
	name  string
	w     *Word // nil where it has said nothing
	fresh bool
	mute  bool // its name is claimed by two
}

type grant struct {
	Ask
	at   int64
	step int
}

// New begins with what is known at a process's start.
func New(s Start) *Desk {
	d := &Desk{Start: s, began: s.Now, now: s.Now, listed: map[string]bool{}, places: map[string]Place{}, conflicts: map[string]bool{},
		words: map[string]*heard{}, changes: map[uint64]map[string]*Change{}, rosters: map[string][]Place{}, acks: map[string]grant{},
		served: -1, told: map[string]bool{}}
	for _, name := range s.Listed {
		d.listed[name] = true
	}
	d.places[s.Me.Name] = s.Me
	d.me = Word{Place: s.Me, Life: s.Life, Runs: s.Runs, Since: -1, Starts: s.Starts}
	return d
}

// File takes in the operator's file, whenever it was read.
func (d *Desk) File(f *File) { d.file = f }

// Places takes in who stands where, and which names are claimed by two: they have no say.
func (d *Desk) Places(all []Place, conflicts []string) {
	for _, p := range all {
		if len(d.places) < wordsMost || d.places[p.Name].Name != "" {
			d.places[p.Name] = p
		}
	}
	clear(d.conflicts)
	for _, name := range conflicts {
		d.conflicts[name] = true
	}
}

// Serves tells that the instance answers clients with what it runs.
func (d *Desk) Serves(now int64) {
	if d.served < 0 {
		d.served, d.changed = now, true
	}
}

// NotTaken tells that a step came to nothing before the process had left: it runs what it ran.
func (d *Desk) NotTaken(why string) {
	d.taking, d.changed = false, true
	d.me.Ask, d.me.Failed, d.Why = Ask{}, d.me.Verdict.Turn, why
}

// Sums takes in the instance's own sums since it serves; those of the time while it is cold are taken off.
func (d *Desk) Sums(s Sums) { d.sums = &s }

// Heard takes in an entry of the ledger. Entries may come late, twice and in any order.
func (d *Desk) Heard(now int64, key string, value []byte) error {
	d.now = max(d.now, now)
	switch {
	case strings.HasPrefix(key, wordPrefix):
		var w Word
		if err := decode(key, value, &w); err != nil {
			return err
		}
		if w.Place.Name != key[len(wordPrefix):] || len(w.Acks) > acksMost {
			return &EntryFault{key, fmt.Errorf("a word of %.40q with %d grants", w.Place.Name, len(w.Acks))}
		}
		d.hear(w)
	case strings.HasPrefix(key, changePrefix):
		number, digest, ok := numbered(key[len(changePrefix):])
		c := &Change{}
		if err := decode(key, value, c); err != nil {
			return err
		}
		if !ok || c.Number != number || c.Digest() != digest || len(c.Stages) == 0 || c.From >= c.Number {
			return &EntryFault{key, fmt.Errorf("not what its name says")}
		}
		if d.changes[number] == nil {
			d.changes[number] = map[string]*Change{}
		}
		if len(d.changes[number]) < digestsMost {
			d.changes[number][digest] = c
		}
		for len(d.changes) > changesMost {
			least := number
			for n := range d.changes {
				least = min(least, n)
			}
			delete(d.changes, least)
		}
	case strings.HasPrefix(key, rosterPrefix):
		all, err := unpackRoster(key, value)
		if err != nil {
			return err
		}
		if len(d.rosters) < digestsMost*changesMost && len(all) <= wordsMost {
			d.rosters[key] = all
		}
	}
	return nil
}

// hear takes in a word.
func (d *Desk) hear(w Word) {
	name := w.Place.Name
	if name == d.Me.Name {
		d.recall(w)
		return
	}
	h := d.words[name]
	if h == nil {
		if len(d.words) >= wordsMost {
			return
		}
		h = &heard{}
		d.words[name] = h
	} else if !w.after(&h.Word) { // guards against a late message: versions, votes and verdicts never go backward
		return
	}
	h.Word, h.at = w, d.now
}

// recall takes back what an earlier life of this instance had promised.
func (d *Desk) recall(w Word) {
	if w.Life >= d.Life { // of this life: said by itself
		return
	}
	d.askNo = max(d.askNo, w.Ask.No)
	if d.me.Number == 0 {
		d.me.Number, d.me.Digest, d.me.Verdict, d.me.Roster = w.Number, w.Digest, w.Verdict, w.Roster
		d.me.Turn, d.me.Stage, d.me.Failed = w.Turn, w.Stage, w.Failed
		for _, a := range w.Acks {
			d.acks[a.Name] = grant{Ask: Ask{No: a.No}, at: d.now, step: -1}
		}
	} else if w.Number == d.me.Number && w.Digest == d.me.Digest && d.me.Roster == "" {
		d.me.Roster = w.Roster
	}
}

// fresh tells that an instance was heard of late.
func (d *Desk) fresh(name string) bool {
	if name == d.Me.Name {
		return !d.conflicts[name]
	}
	h := d.words[name]
	return h != nil && !d.conflicts[name] && d.now-h.at <= freshTimes*d.pace()
}

// word is what an instance said last.
func (d *Desk) word(name string) *Word {
	if name == d.Me.Name {
		return &d.me
	}
	if h := d.words[name]; h != nil {
		return &h.Word
	}
	return nil
}

// silentFor is how long nothing was heard of an instance.
func (d *Desk) silentFor(name string) int64 {
	if name == d.Me.Name {
		return 0
	}
	since := max(d.began, d.seenAt)
	if h := d.words[name]; h != nil {
		since = max(d.began, h.at)
	}
	return d.now - since
}

func (d *Desk) pace() int64 {
	if d.cur == nil {
		return paceIdle
	}
	return min(paceMost, max(paceLeast, d.cur.Silent/paceParts))
}

func (d *Desk) seat() {
	d.seats = d.seats[:0]
	for _, name := range d.Listed {
		d.seats = append(d.seats, seat{name, d.word(name), d.fresh(name), d.conflicts[name]})
	}
}

// more tells that a number of listed instances is more than half.
func (d *Desk) more(n int) bool { return 2*n > len(d.listed) }

// majority tells that more than half of the listed, this one with them, are heard freshly.
func (d *Desk) majority() bool {
	n := 0
	for i := range d.seats {
		n += btoi(d.seats[i].fresh)
	}
	return d.more(n) && d.takesPart()
}

func (d *Desk) takesPart() bool { return d.listed[d.Me.Name] && !d.conflicts[d.Me.Name] }

func (d *Desk) note(event string, err error, attrs ...any) {
	d.out.Notes = append(d.out.Notes, Note{event, err, attrs})
}

// once notes what holds for a while a single time for each change and turn.
func (d *Desk) once(event string, err error, attrs ...any) {
	if key := event + fmt.Sprint(err); !d.told[key] && len(d.told) < 64 {
		d.told[key] = true
		d.note(event, err, attrs...)
	}
}

// Look decides, on all that is known by now.
func (d *Desk) Look(now int64) Out {
	d.now = max(d.now, now)
	d.out = Out{Put: map[string][]byte{}}
	before := d.me
	d.seat()
	d.tell()
	d.settle()
	if d.cur != nil {
		d.seat() // it may be another change than before, with another pace
		d.gather()
		d.judge()
		d.elect()
		d.open = d.opened()
		d.vote()
		d.grant()
		d.move()
	}
	d.speak(&before)
	d.out.Next = d.now + d.pace()/2
	return d.out
}

// tell publishes the operator's file: the change if it is new, and what is wanted of it.
func (d *Desk) tell() {
	f := d.file
	if f == nil || !d.takesPart() {
		return
	}
	number, highest := f.Change.Number, d.highest()
	if number < highest {
		d.once("rollout_file_old", &OldFile{Number: number, Known: highest})
		return
	}
	var before *Change
	if known := d.changes[number]; len(known) > 0 {
		c := d.cur
		if c == nil || c.Number != number {
			return // settled first
		}
		if before = d.content(c.From); c.From != 0 && before == nil {
			return
		}
	} else {
		if !d.majority() { // a minority begins nothing; guards against a base that is not the fleet's
			return
		}
		for _, h := range d.words {
			if h.Number > highest { // its change is still to come
				return
			}
		}
		if c := d.cur; c != nil {
			from := c.From
			if d.closed() {
				from = c.Number
			}
			if before = d.content(from); from != 0 && before == nil {
				return
			}
		} else if d.Runs != 0 {
			return // the changes before it come with the ledger
		}
	}
	c := f.Change.over(before)
	digest := c.Digest()
	if d.changes[number][digest] == nil {
		text, _ := encoding.Marshal(&c)
		if len(text) > ValueMost {
			d.once("rollout_too_big", &TooBig{Number: number, Bytes: len(text)})
			return
		}
		if d.changes[number] == nil {
			d.changes[number] = map[string]*Change{}
		}
		d.changes[number][digest] = &c
		d.out.Put[changeKey(number, digest)] = text
		d.note("rollout_told", nil, "change", c.Name, "number", number, "digest", digest, "from", c.From)
	}
	if d.cur != nil && d.cur.Number == number && digest == d.digest {
		v := Verdict{Turn: f.Turn, Kind: f.Order}
		if f.Order != Go {
			v.Why, v.By = "the operator's file", d.Me.Name
		}
		d.rule(v)
	}
}

// highest is the highest number that was told, 0 for none.
func (d *Desk) highest() (number uint64) {
	for n := range d.changes {
		number = max(number, n)
	}
	return number
}

// content is a change that was told, nil for the instances' own files or one that is not known.
func (d *Desk) content(number uint64) *Change {
	for _, digest := range slices.Sorted(maps.Keys(d.changes[number])) {
		return d.changes[number][digest]
	}
	return nil
}

// settle finds the change that is in force: the highest number that was told. A later one ends those before it.
func (d *Desk) settle() {
	highest := d.highest()
	if highest == 0 || d.cur != nil && d.cur.Number == highest || d.taking { // a step that is begun is ended first
		return
	}
	digest := slices.Sorted(maps.Keys(d.changes[highest]))[0]
	if d.me.Number == highest && d.changes[highest][d.me.Digest] != nil { // what an earlier life spoke of
		digest = d.me.Digest
	} else {
		d.me.Number, d.me.Digest, d.me.Verdict, d.me.Roster, d.me.Turn, d.me.Stage, d.me.Failed = highest, digest, Verdict{Turn: 1}, "", 0, 0, 0
	}
	d.me.Ask, d.askedAt = Ask{}, 0
	d.cur, d.digest, d.seenAt, d.roster = d.changes[highest][digest], digest, d.now, nil
	d.votedAt = d.now
	d.steps, d.evidence, d.open = d.cur.steps(len(d.listed)), nil, 0
	clear(d.told)
	if d.Number == highest && d.Start.Failed > 0 {
		d.me.Failed = max(d.me.Failed, d.Start.Failed)
	}
	d.note("rollout_change", nil, "change", d.cur.Name, "number", highest, "from", d.cur.From, "steps", len(d.steps))
	for n := range d.changes { // what is behind the base is of no use to anyone who keeps up
		if n < d.cur.From {
			for digest := range d.changes[n] {
				d.out.Delete = append(d.out.Delete, changeKey(n, digest))
			}
			delete(d.changes, n)
		}
	}
	for key := range d.rosters {
		if n, _, ok := numbered(key[len(rosterPrefix):]); ok && n < highest {
			d.out.Delete = append(d.out.Delete, key)
			delete(d.rosters, key)
		}
	}
}

// rule takes a verdict in; the ruling one of all that were ever heard holds.
func (d *Desk) rule(v Verdict) {
	if len(v.Why) > verdictWords {
		v.Why = v.Why[:verdictWords]
	}
	was := d.me.Verdict
	if !v.over(was) {
		return
	}
	d.me.Verdict, d.changed = v, true
	if v.Turn > was.Turn {
		d.evidence = nil
		clear(d.told)
	}
	switch {
	case v.Kind != was.Kind && v.Kind != Go:
		d.note("rollout_stopped", &Stopped{Change: d.cur.Name, Number: d.cur.Number, Verdict: v})
	case v.Turn > was.Turn && v.Kind == Go:
		d.note("rollout_resumed", nil, "change", d.cur.Name, "number", d.cur.Number, "turn", v.Turn)
	}
}

// stop says that the change goes no further, and what follows from that.
func (d *Desk) stop(why string, kind Kind) {
	if v := d.me.Verdict; v.Kind == Go {
		d.rule(Verdict{Turn: v.Turn, Kind: kind, Why: why, By: d.Me.Name})
	}
}

// same tells that a word speaks of the change in force.
func (d *Desk) same(w *Word) bool {
	return w != nil && w.Number == d.cur.Number && w.Digest == d.digest
}

// gather takes over what others have ruled.
func (d *Desk) gather() {
	for _, h := range d.words {
		if h.Number == d.cur.Number && h.Verdict.Turn > 0 { // of either digest: a stop is a stop
			d.rule(h.Verdict)
		}
	}
	if d.served >= 0 {
		d.me.Since = d.now - d.served
	}
	if d.me.Since < d.cur.Cold || d.me.Since < 0 { // a restart's own cost is not the change's
		d.me.Sums, d.warm = nil, 0
	}
}

// judge says stop where the change does worse, or cannot go on.
func (d *Desk) judge() {
	c := d.cur
	if all := d.changes[c.Number]; len(all) > 1 {
		err := &Differs{Number: c.Number, Digests: slices.Sorted(maps.Keys(all))}
		d.once("rollout_differs", err)
		d.stop(err.Error(), Stop)
	}
	if d.me.Failed == d.me.Verdict.Turn && d.me.Failed > 0 {
		d.once("rollout_not_taken", &NotTaken{Number: c.Number, Why: d.Why})
		d.stop("could not be taken: "+d.Why, c.Then)
	}
	if d.me.Runs == c.Number && d.Starts >= c.Worse.Restarts {
		d.stop(fmt.Sprintf("restarted %d times by itself", d.Starts), c.Then)
	}
	if d.closed() {
		return
	}
	if d.majority() && d.me.Verdict.Kind == Go {
		lost := 0
		for _, s := range d.seats {
			if w := s.w; w != nil && (w.Runs == c.Number || w.Number == c.Number && w.Ask.To == c.Number) && !s.mute && !s.fresh &&
				d.silentFor(s.name) > c.Silent {
				lost++
			}
		}
		if lost >= c.Worse.Unreached {
			d.stop(fmt.Sprintf("%d instances with it are not heard for %d s", lost, c.Silent/second), c.Then)
		}
	}
	if d.me.Verdict.Kind != Go {
		return
	}
	if d.evidence == nil {
		d.evidence, d.lookedAt = NewEvidence(c.Worse), d.now
	}
	if d.now-d.lookedAt < d.pace() {
		return
	}
	d.lookedAt = d.now
	var all []Sample
	for _, s := range d.seats {
		w := s.w
		if !s.fresh || w.Sums == nil || w.Runs != c.Number && w.Runs != c.From {
			continue
		}
		all = append(all, Sample{Name: s.name, Region: w.Place.Region, Zone: w.Place.Zone, New: w.Runs == c.Number, Life: w.Life,
			Sums: *w.Sums})
	}
	d.evidence.Look(all)
	if found := d.evidence.Found(); found != "" {
		d.stop(found, c.Then)
	}
}

// elect votes, once for each change, for who is in which stage: for what others have voted for, or what is known here.
func (d *Desk) elect() {
	c := d.cur
	votes := map[string]int{}
	for _, s := range d.seats {
		if d.same(s.w) && s.w.Roster != "" {
			votes[s.w.Roster]++
		}
	}
	if d.me.Roster == "" && d.takesPart() && !d.amnesia() {
		best := ""
		for _, digest := range slices.Sorted(maps.Keys(votes)) {
			if d.rosters[rosterKey(c.Number, digest)] != nil && (best == "" || votes[digest] > votes[best]) {
				best = digest
			}
		}
		if best == "" && d.majority() {
			all, known := make([]Place, 0, len(d.listed)), 0
			for _, name := range slices.Sorted(maps.Keys(d.listed)) {
				p, ok := d.places[name]
				if w := d.word(name); !ok && w != nil {
					p, ok = w.Place, true
				}
				known += btoi(ok)
				p.Name = name
				all = append(all, p)
			}
			if known == len(all) || d.now-d.seenAt > c.Silent {
				r := d.rosterOf(all)
				best = r.digest
				d.rosters[rosterKey(c.Number, best)], d.out.Put[rosterKey(c.Number, best)] = all, packRoster(all)
			}
		}
		if best != "" {
			d.me.Roster, d.changed = best, true
		}
	}
	if d.me.Roster != "" && (d.roster == nil || d.roster.digest != d.me.Roster) {
		if all := d.rosters[rosterKey(c.Number, d.me.Roster)]; len(all) == len(d.listed) {
			d.roster = d.rosterOf(all)
		} else if all != nil {
			d.once("rollout_waits", &OtherList{Number: c.Number, Theirs: len(all), Ours: len(d.listed)})
		}
	}
	all, most := 0, 0
	for _, n := range votes {
		all, most = all+n, max(most, n)
	}
	if all == len(d.listed) && !d.more(most) {
		d.stop("instances know different zones of each other", Stop)
	}
}

func (d *Desk) rosterOf(all []Place) *roster {
	return rosterOf(fmt.Sprint(d.cur.Name, "/", d.cur.Number), all)
}

// amnesia tells that this process may have granted or voted in a life that it knows nothing of.
func (d *Desk) amnesia() bool { return d.First && d.now-d.began < d.lease() }

// lease is how long a grant holds.
func (d *Desk) lease() int64 { return d.cur.Silent }

// opened is how many steps more than half of the listed have voted for. Votes are never taken back within a turn, so
// it never falls.
func (d *Desk) opened() int {
	if d.roster == nil {
		return 0
	}
	votes := make([]int, len(d.steps)+2)
	for _, s := range d.seats {
		if w := s.w; d.same(w) && w.Roster == d.me.Roster && w.Turn == d.me.Verdict.Turn && !s.mute {
			for s := range min(w.Stage, len(d.steps)+1) {
				votes[s+1]++
			}
		}
	}
	for s := len(votes) - 1; s > 0; s-- {
		if d.more(votes[s]) {
			return s
		}
	}
	return 0
}

// closed tells that the change is everywhere, and stays.
func (d *Desk) closed() bool { return d.open > len(d.steps) && d.me.Verdict.Kind == Go }

// vote lets the next step begin where this instance finds that it may.
func (d *Desk) vote() {
	v := d.me.Verdict
	if d.me.Turn != v.Turn {
		d.me.Turn, d.me.Stage = v.Turn, 0
	}
	if v.Kind != Go || d.roster == nil || d.amnesia() || !d.takesPart() {
		return
	}
	if d.open > d.me.Stage { // more than half have seen enough
		d.me.Stage, d.changed = d.open, true
		return
	}
	if d.me.Stage > len(d.steps) || d.open < d.me.Stage || !d.majority() {
		return
	}
	if why := d.holds(); why != "" {
		if k := d.me.Stage; d.now-d.votedAt > d.cur.Silent && (k == 0 || d.now-d.votedAt > d.cur.Silent+d.cur.Cold+d.steps[k-1].watch) {
			d.once("rollout_waits", &Waits{Number: d.cur.Number, Step: k + 1, Why: why})
		}
		return
	}
	d.votedAt = d.now
	d.me.Stage++
	d.changed = true
	d.note("rollout_stage", nil, "change", d.cur.Name, "number", d.cur.Number, "step", d.me.Stage, "of", len(d.steps),
		"searches", d.searches())
}

func (d *Desk) searches() uint64 {
	if d.evidence == nil {
		return 0
	}
	return d.evidence.Searches()
}

// holds tells what keeps the next step from beginning, "" for nothing.
func (d *Desk) holds() string {
	c, k := d.cur, d.me.Stage
	fresh := 0
	for _, s := range d.seats {
		w := s.w
		if !s.fresh || !d.same(w) || w.Roster != d.me.Roster {
			continue
		}
		fresh++
		if w.Runs != c.Number && w.Runs != c.From && k == 0 {
			return s.name + " still runs an earlier change"
		}
	}
	if !d.more(fresh) {
		return "fewer than half are heard"
	}
	if k == 0 {
		return ""
	}
	watched, from := 0, 0
	if k > 1 {
		from = d.steps[k-2].to
	}
	for i, p := range d.roster.order[:d.steps[k-1].to] {
		w := d.word(p.Name)
		if !d.fresh(p.Name) {
			if d.silentFor(p.Name) <= c.Silent {
				return p.Name + " is not heard"
			}
			continue // passed over: it takes the change when it is back
		}
		if w.Runs != c.Number || w.Since < 0 {
			return p.Name + " has not taken it"
		}
		if long := w.Since >= c.Cold+d.steps[k-1].watch; long {
			watched++
		} else if i >= from {
			return p.Name + " is still watched"
		}
	}
	if watched == 0 {
		return "nobody that has it is left to be watched"
	}
	old := slices.ContainsFunc(d.seats, func(s seat) bool { return s.fresh && s.w.Runs == c.From })
	if old && d.steps[k-1].to < len(d.roster.order) { // there is something to set it beside
		if d.evidence == nil || d.evidence.Searches() < uint64(c.Searches) {
			return "too few searches"
		}
		if value, _ := d.evidence.Value(); value > holdAt {
			return "it may be worse"
		}
	}
	return ""
}

// grant answers those that wish to restart. All that an instance grants at a time are of one step, and two majorities
// share an instance: so those that restart at once are never more than one step's, whatever is late or lost.
func (d *Desk) grant() {
	for name, g := range d.acks {
		if w := d.word(name); w != nil && w.Ask.No != g.No && name != d.Me.Name || d.now-g.at > d.lease() || name == d.Me.Name && d.me.Ask.No != g.No {
			delete(d.acks, name)
		}
	}
	if d.roster == nil || !d.takesPart() || d.amnesia() {
		return
	}
	type batch struct {
		to   uint64
		step int
	}
	held, some := batch{}, false
	for _, g := range d.acks {
		held, some = batch{g.To, g.step}, true
	}
	wishes := map[batch][]string{}
	for _, s := range d.seats {
		w := s.w
		if !s.fresh || w.Ask.No == 0 || !d.same(w) || !d.allowed(w) {
			continue
		}
		if _, has := d.acks[s.name]; has {
			continue
		}
		b := batch{w.Ask.To, stepOf(d.steps, d.roster.at[s.name])}
		wishes[b] = append(wishes[b], s.name)
	}
	if !some {
		first := true
		for b := range wishes { // back goes first, then the lower step
			if first || cmp.Or(cmp.Compare(b.to, held.to), cmp.Compare(b.step, held.step)) < 0 {
				held, first = b, false
			}
		}
	}
	for _, name := range wishes[held] {
		d.acks[name] = grant{Ask: d.word(name).Ask, at: d.now, step: held.step}
		d.changed = true
	}
}

// allowed tells whether an instance may restart into what it wishes, by what is known here.
func (d *Desk) allowed(w *Word) bool {
	c, v := d.cur, d.me.Verdict
	if w.Roster != d.me.Roster {
		return false
	}
	switch w.Ask.To {
	case c.Number:
		return v.Kind == Go && d.me.Stage >= stepOf(d.steps, d.roster.at[w.Place.Name]) && w.Runs == c.From && w.Failed != v.Turn
	case c.From:
		return w.Runs == c.Number && v.Kind == Back || w.Runs != c.Number && w.Runs != c.From
	}
	return false
}

// move decides this instance's own step: what it should run, whether it may ask, and whether it is granted.
func (d *Desk) move() {
	c, v := d.cur, d.me.Verdict
	to := d.me.Runs
	switch {
	case d.me.Runs != c.Number && d.me.Runs != c.From: // it has missed what came before, or a later change ended its own
		to = c.From
	case v.Kind == Back:
		to = c.From
	case v.Kind == Go && d.roster != nil && d.open >= stepOf(d.steps, d.roster.at[d.Me.Name]) && d.me.Failed != v.Turn:
		to = c.Number
	}
	if d.served < 0 || d.taking {
		return
	}
	if to == d.me.Runs || to != 0 && d.content(to) == nil || d.roster == nil || !d.majority() {
		if d.me.Ask.No != 0 {
			d.me.Ask, d.changed = Ask{}, true
		}
		return
	}
	if d.me.Ask.No != 0 && d.me.Ask.To != to || d.me.Ask.No != 0 && d.now-d.askedAt > c.Silent/askParts {
		// Guards against two steps that hold each other up with grants of a part of the fleet each.
		d.me.Ask, d.changed = Ask{}, true
		d.waitTo = d.now + askWait*(1+int64(d.roster.at[d.Me.Name]+int(d.askNo))%4)
	}
	if d.me.Ask.No == 0 {
		if d.now < d.waitTo {
			return
		}
		d.askNo++
		d.me.Ask, d.askedAt, d.changed = Ask{No: d.askNo, To: to}, d.now, true
		d.grant()
	}
	granted := 0
	for _, s := range d.seats {
		w := s.w
		if s.name == d.Me.Name {
			if g, ok := d.acks[s.name]; ok && g.No == d.me.Ask.No {
				granted++
			}
		} else if w != nil && !s.mute && slices.Contains(w.Acks, Ack{d.Me.Name, d.me.Ask.No}) {
			granted++
		}
	}
	if d.more(granted) {
		d.taking = true
		d.out.Step = &Step{To: to, Change: d.content(to), Turn: v.Turn, Ready: c.Ready}
		d.note("rollout_step", nil, "number", to, "from", d.me.Runs, "granted", granted)
	}
}

// speak tells the others, when there is something new or it is time.
func (d *Desk) speak(before *Word) {
	if d.sums != nil && d.served >= 0 && (d.cur == nil || d.now-d.served >= d.cur.Cold) {
		d.me.Sums = d.sums
	}
	d.me.Acks = d.me.Acks[:0:0]
	for _, name := range slices.Sorted(maps.Keys(d.acks)) {
		d.me.Acks = append(d.me.Acks, Ack{name, d.acks[name].No})
	}
	if !d.changed && d.me.Beat > 0 && d.now-d.spokeAt < d.pace() && slices.Equal(before.Acks, d.me.Acks) {
		return
	}
	d.me.Beat++
	d.spokeAt, d.changed = d.now, false
	text, _ := encoding.Marshal(&d.me)
	d.out.Put[WordKey(d.Me.Name)] = text
}
