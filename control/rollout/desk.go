package rollout

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
)

const (
	paceParts             = 20          // words within the time after which silence counts
	paceLeast             = second / 5  // between words that say nothing new, at the least
	paceMost              = 5 * second  // and at the most
	paceIdle              = 10 * second // and while there is no change
	freshTimes            = 6           // paces after which a word is not fresh: it passes through others, and some are lost
	leaseTimes            = 4           // times ready that silent has to be: a grant holds for silent, and a restart and the way back fit in half
	requestTimeoutDivisor = 4           // of silent in which a wish has to be granted, or it is taken back
	askWait               = second      // before asking again, at the least; by chance up to four times as long
)

// LogEvent is something that an operator should read in the log.
type LogEvent struct {
	Name  string
	Err   error // nil where nothing is wrong
	Attrs []any
}

// Restart is a restart that is due now: into a change, or nil for the instance's own files.
type Restart struct {
	TargetNumber uint64
	Change       *Change
	Epoch        uint64
	ReadyTimeout int64 // time in which it has to serve
}

// Decision is what a look leads to.
type Decision struct {
	Put            map[string][]byte
	Delete         []string
	Restart        *Restart
	Events         []LogEvent
	NextDecisionAt int64 // time of the next look at the latest
}

// InitialState is what an instance knows of itself when its process begins.
type InitialState struct {
	Self              Instance
	Incarnation       uint64   // higher than in any start before
	Members           []string // all that count for a majority
	RunningNumber     uint64   // number of the change that the process runs with, 0 for its own files
	FailedEpoch       uint64   // turn of the change that it could not take, with Number
	FailedNumber      uint64   // of that change
	FailureReason     string   // it could not
	UnplannedRestarts int      // that nobody asked for, with what it runs
	NoSavedState      bool     // nothing is on disk: what was granted before is not known
	Now               int64
}

// Controller decides for one instance. It is one goroutine's. What it holds is bounded by wordsMost words, changesMost
// changes and one comparison.
type Controller struct {
	InitialState
	began  int64
	now    int64
	listed map[string]bool

	places    map[string]Instance
	conflicts map[string]bool
	peers     map[string]*heard
	changes   map[uint64]map[string]*Change
	rosters   map[string][]Instance // by key
	file      *ChangeFile

	active   *Change
	digest   string
	seenAt   int64 // when cur was first known
	steps    []step
	roster   *roster
	status   StatusMessage
	acks     map[string]grant
	askedAt  int64
	waitTo   int64 // before asking again
	askNo    uint64
	served   int64 // when it began to serve with what it runs, -1 before
	warm     int64 // when it told sums first
	sums     *InstanceStats
	taking   bool
	evidence *RegressionAnalysis
	lookedAt int64
	spokeAt  int64
	changed  bool // since the last word
	votedAt  int64
	open     int // steps that more than half have voted for
	told     map[string]bool
	seats    []seat
	out      Decision
}

type heard struct {
	StatusMessage
	at int64 // when it was new here
}

// seat is one listed instance as a look sees it.
type seat struct {
	name  string
	w     *StatusMessage // nil where it has said nothing
	fresh bool
	mute  bool // its name is claimed by two
}

type grant struct {
	PermitRequest
	at   int64
	step int
}

// New begins with what is known at a process's start.
func New(s InitialState) *Controller {
	d := &Controller{
		InitialState: s, began: s.Now, now: s.Now, listed: map[string]bool{}, places: map[string]Instance{}, conflicts: map[string]bool{},
		peers: map[string]*heard{}, changes: map[uint64]map[string]*Change{}, rosters: map[string][]Instance{}, acks: map[string]grant{},
		served: -1, told: map[string]bool{},
	}
	for _, name := range s.Members {
		d.listed[name] = true
	}
	d.places[s.Self.Name] = s.Self
	d.status = StatusMessage{Instance: s.Self, Incarnation: s.Incarnation, RunningNumber: s.RunningNumber, ServingFor: -1, UnplannedRestarts: s.UnplannedRestarts}
	return d
}

// SetFile takes in the operator's file, whenever it was read.
func (d *Controller) SetFile(f *ChangeFile) { d.file = f }

// SetInstances takes in who stands where, and which names are claimed by two: they have no say.
func (d *Controller) SetInstances(all []Instance, conflicts []string) {
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

// MarkServing tells that the instance answers clients with what it runs.
func (d *Controller) MarkServing(now int64) {
	if d.served < 0 {
		d.served, d.changed = now, true
	}
}

// ChangeNotAppliedError tells that a step came to nothing before the process had left: it runs what it ran.
func (d *Controller) RecordRestartFailure(why string) {
	d.taking, d.changed = false, true
	d.status.PermitRequest, d.status.FailedEpoch, d.FailureReason = PermitRequest{}, d.status.Verdict.Epoch, why
}

// SetStats takes in the instance's own sums since it serves; those of the time while it is cold are taken off.
func (d *Controller) SetStats(s InstanceStats) { d.sums = &s }

// HandleEntry takes in an entry of the ledger. Entries may come late, twice and in any order.
func (d *Controller) HandleEntry(now int64, key string, value []byte) error {
	d.now = max(d.now, now)
	switch {
	case strings.HasPrefix(key, statusPrefix):
		var w StatusMessage
		if err := decodeEntry(key, value, &w); err != nil {
			return err
		}
		if w.Instance.Name != key[len(statusPrefix):] || len(w.PermitGrants) > acksMost {
			return &InvalidEntryError{key, fmt.Errorf("a word of %.40q with %d grants", w.Instance.Name, len(w.PermitGrants))}
		}
		d.recordStatus(w)
	case strings.HasPrefix(key, changePrefix):
		number, digest, ok := parseKeySuffix(key[len(changePrefix):])
		c := &Change{}
		if err := decodeEntry(key, value, c); err != nil {
			return err
		}
		if !ok || c.Number != number || c.Digest() != digest || len(c.Stages) == 0 || c.BaseNumber >= c.Number {
			return &InvalidEntryError{key, fmt.Errorf("not what its name says")}
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
		all, err := decodeRoster(key, value)
		if err != nil {
			return err
		}
		if len(d.rosters) < digestsMost*changesMost && len(all) <= wordsMost {
			d.rosters[key] = all
		}
	}
	return nil
}

// recordStatus takes in a word.
func (d *Controller) recordStatus(w StatusMessage) {
	name := w.Instance.Name
	if name == d.Self.Name {
		d.recall(w)
		return
	}
	h := d.peers[name]
	if h == nil {
		if len(d.peers) >= wordsMost {
			return
		}
		h = &heard{}
		d.peers[name] = h
	} else if !w.isNewerThan(&h.StatusMessage) { // guards against a late message: versions, votes and verdicts never go backward
		return
	}
	h.StatusMessage, h.at = w, d.now
}

// recall takes back what an earlier life of this instance had promised.
func (d *Controller) recall(w StatusMessage) {
	if w.Incarnation >= d.Incarnation { // of this life: said by itself
		return
	}
	d.askNo = max(d.askNo, w.PermitRequest.Number)
	if d.status.ChangeNumber == 0 {
		d.status.ChangeNumber, d.status.ChangeDigest, d.status.Verdict, d.status.RosterDigest = w.ChangeNumber, w.ChangeDigest, w.Verdict, w.RosterDigest
		d.status.StageEpoch, d.status.ApprovedSteps, d.status.FailedEpoch = w.StageEpoch, w.ApprovedSteps, w.FailedEpoch
		for _, a := range w.PermitGrants {
			d.acks[a.InstanceName] = grant{PermitRequest: PermitRequest{Number: a.RequestNumber}, at: d.now, step: -1}
		}
	} else if w.ChangeNumber == d.status.ChangeNumber && w.ChangeDigest == d.status.ChangeDigest && d.status.RosterDigest == "" {
		d.status.RosterDigest = w.RosterDigest
	}
}

// fresh tells that an instance was heard of late.
func (d *Controller) fresh(name string) bool {
	if name == d.Self.Name {
		return !d.conflicts[name]
	}
	h := d.peers[name]
	return h != nil && !d.conflicts[name] && d.now-h.at <= freshTimes*d.pace()
}

// word is what an instance said last.
func (d *Controller) word(name string) *StatusMessage {
	if name == d.Self.Name {
		return &d.status
	}
	if h := d.peers[name]; h != nil {
		return &h.StatusMessage
	}
	return nil
}

// silentFor is how long nothing was heard of an instance.
func (d *Controller) silentFor(name string) int64 {
	if name == d.Self.Name {
		return 0
	}
	since := max(d.began, d.seenAt)
	if h := d.peers[name]; h != nil {
		since = max(d.began, h.at)
	}
	return d.now - since
}

func (d *Controller) pace() int64 {
	if d.active == nil {
		return paceIdle
	}
	return min(paceMost, max(paceLeast, d.active.SilenceTimeout/paceParts))
}

func (d *Controller) seat() {
	d.seats = d.seats[:0]
	for _, name := range d.Members {
		d.seats = append(d.seats, seat{name, d.word(name), d.fresh(name), d.conflicts[name]})
	}
}

// more tells that a number of listed instances is more than half.
func (d *Controller) more(n int) bool { return 2*n > len(d.listed) }

// majority tells that more than half of the listed, this one with them, are heard freshly.
func (d *Controller) majority() bool {
	n := 0
	for i := range d.seats {
		n += btoi(d.seats[i].fresh)
	}
	return d.more(n) && d.takesPart()
}

func (d *Controller) takesPart() bool { return d.listed[d.Self.Name] && !d.conflicts[d.Self.Name] }

func (d *Controller) note(event string, err error, attrs ...any) {
	d.out.Events = append(d.out.Events, LogEvent{event, err, attrs})
}

// once notes what holds for a while a single time for each change and turn.
func (d *Controller) once(event string, err error, attrs ...any) {
	if key := event + fmt.Sprint(err); !d.told[key] && len(d.told) < 64 {
		d.told[key] = true
		d.note(event, err, attrs...)
	}
}

// Decide decides, on all that is known by now.
func (d *Controller) Decide(now int64) Decision {
	d.now = max(d.now, now)
	d.out = Decision{Put: map[string][]byte{}}
	before := d.status
	d.seat()
	d.tell()
	d.settle()
	if d.active != nil {
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
	d.out.NextDecisionAt = d.now + d.pace()/2
	return d.out
}

// tell publishes the operator's file: the change if it is new, and what is wanted of it.
func (d *Controller) tell() {
	f := d.file
	if f == nil || !d.takesPart() {
		return
	}
	number, highest := f.Change.Number, d.highest()
	if number < highest {
		d.once("rollout_file_old", &StaleChangeFileError{Number: number, CurrentNumber: highest})
		return
	}
	var before *Change
	if known := d.changes[number]; len(known) > 0 {
		c := d.active
		if c == nil || c.Number != number {
			return // settled first
		}
		if before = d.content(c.BaseNumber); c.BaseNumber != 0 && before == nil {
			return
		}
	} else {
		if !d.majority() { // a minority begins nothing; guards against a base that is not the fleet's
			return
		}
		for _, h := range d.peers {
			if h.ChangeNumber > highest { // its change is still to come
				return
			}
		}
		if c := d.active; c != nil {
			from := c.BaseNumber
			if d.isComplete() {
				from = c.Number
			}
			if before = d.content(from); from != 0 && before == nil {
				return
			}
		} else if d.RunningNumber != 0 {
			return // the changes before it come with the ledger
		}
	}
	c := f.Change.over(before)
	digest := c.Digest()
	if d.changes[number][digest] == nil {
		text, _ := cborEncoder.Marshal(&c)
		if len(text) > MaxEntryBytes {
			d.once("rollout_too_big", &ChangeTooLargeError{Number: number, Bytes: len(text)})
			return
		}
		if d.changes[number] == nil {
			d.changes[number] = map[string]*Change{}
		}
		d.changes[number][digest] = &c
		d.out.Put[changeKey(number, digest)] = text
		d.note("rollout_told", nil, "change", c.Name, "number", number, "digest", digest, "from", c.BaseNumber)
	}
	if d.active != nil && d.active.Number == number && digest == d.digest {
		v := Verdict{Epoch: f.Epoch, Order: f.Order}
		if f.Order != OrderProceed {
			v.Reason, v.DecidedBy = "the operator's file", d.Self.Name
		}
		d.rule(v)
	}
}

// highest is the highest number that was told, 0 for none.
func (d *Controller) highest() (number uint64) {
	for n := range d.changes {
		number = max(number, n)
	}
	return number
}

// content is a change that was told, nil for the instances' own files or one that is not known.
func (d *Controller) content(number uint64) *Change {
	for _, digest := range slices.Sorted(maps.Keys(d.changes[number])) {
		return d.changes[number][digest]
	}
	return nil
}

// settle finds the change that is in force: the highest number that was told. A later one ends those before it.
func (d *Controller) settle() {
	highest := d.highest()
	if highest == 0 || d.active != nil && d.active.Number == highest || d.taking { // a step that is begun is ended first
		return
	}
	digest := slices.Sorted(maps.Keys(d.changes[highest]))[0]
	if d.status.ChangeNumber == highest && d.changes[highest][d.status.ChangeDigest] != nil { // what an earlier life spoke of
		digest = d.status.ChangeDigest
	} else {
		d.status.ChangeNumber, d.status.ChangeDigest, d.status.Verdict, d.status.RosterDigest, d.status.StageEpoch, d.status.ApprovedSteps, d.status.FailedEpoch = highest, digest, Verdict{Epoch: 1}, "", 0, 0, 0
	}
	d.status.PermitRequest, d.askedAt = PermitRequest{}, 0
	d.active, d.digest, d.seenAt, d.roster = d.changes[highest][digest], digest, d.now, nil
	d.votedAt = d.now
	d.steps, d.evidence, d.open = d.active.steps(len(d.listed)), nil, 0
	clear(d.told)
	if d.FailedNumber == highest && d.InitialState.FailedEpoch > 0 {
		d.status.FailedEpoch = max(d.status.FailedEpoch, d.InitialState.FailedEpoch)
	}
	d.note("rollout_change", nil, "change", d.active.Name, "number", highest, "from", d.active.BaseNumber, "steps", len(d.steps))
	for n := range d.changes { // what is behind the base is of no use to anyone who keeps up
		if n < d.active.BaseNumber {
			for digest := range d.changes[n] {
				d.out.Delete = append(d.out.Delete, changeKey(n, digest))
			}
			delete(d.changes, n)
		}
	}
	for key := range d.rosters {
		if n, _, ok := parseKeySuffix(key[len(rosterPrefix):]); ok && n < highest {
			d.out.Delete = append(d.out.Delete, key)
			delete(d.rosters, key)
		}
	}
}

// rule takes a verdict in; the ruling one of all that were ever heard holds.
func (d *Controller) rule(v Verdict) {
	if len(v.Reason) > verdictWords {
		v.Reason = v.Reason[:verdictWords]
	}
	was := d.status.Verdict
	if !v.over(was) {
		return
	}
	d.status.Verdict, d.changed = v, true
	if v.Epoch > was.Epoch {
		d.evidence = nil
		clear(d.told)
	}
	switch {
	case v.Order != was.Order && v.Order != OrderProceed:
		d.note("rollout_stopped", &ChangeStoppedError{Change: d.active.Name, Number: d.active.Number, Verdict: v})
	case v.Epoch > was.Epoch && v.Order == OrderProceed:
		d.note("rollout_resumed", nil, "change", d.active.Name, "number", d.active.Number, "turn", v.Epoch)
	}
}

// stop says that the change goes no further, and what follows from that.
func (d *Controller) stop(why string, kind Order) {
	if v := d.status.Verdict; v.Order == OrderProceed {
		d.rule(Verdict{Epoch: v.Epoch, Order: kind, Reason: why, DecidedBy: d.Self.Name})
	}
}

// same tells that a word speaks of the change in force.
func (d *Controller) same(w *StatusMessage) bool {
	return w != nil && w.ChangeNumber == d.active.Number && w.ChangeDigest == d.digest
}

// gather takes over what others have ruled.
func (d *Controller) gather() {
	for _, h := range d.peers {
		if h.ChangeNumber == d.active.Number && h.Verdict.Epoch > 0 { // of either digest: a stop is a stop
			d.rule(h.Verdict)
		}
	}
	if d.served >= 0 {
		d.status.ServingFor = d.now - d.served
	}
	if d.status.ServingFor < d.active.WarmUp || d.status.ServingFor < 0 { // a restart's own cost is not the change's
		d.status.Stats, d.warm = nil, 0
	}
}

// judge says stop where the change does worse, or cannot go on.
func (d *Controller) judge() {
	c := d.active
	if all := d.changes[c.Number]; len(all) > 1 {
		err := &ConflictingChangesError{Number: c.Number, Digests: slices.Sorted(maps.Keys(all))}
		d.once("rollout_differs", err)
		d.stop(err.Error(), OrderStop)
	}
	if d.status.FailedEpoch == d.status.Verdict.Epoch && d.status.FailedEpoch > 0 {
		d.once("rollout_not_taken", &ChangeNotAppliedError{Number: c.Number, Reason: d.FailureReason})
		d.stop("could not be taken: "+d.FailureReason, c.OnRegression)
	}
	if d.status.RunningNumber == c.Number && d.UnplannedRestarts >= c.RegressionLimits.Restarts {
		d.stop(fmt.Sprintf("restarted %d times by itself", d.UnplannedRestarts), c.OnRegression)
	}
	if d.isComplete() {
		return
	}
	if d.majority() && d.status.Verdict.Order == OrderProceed {
		lost := 0
		for _, s := range d.seats {
			if w := s.w; w != nil && (w.RunningNumber == c.Number || w.ChangeNumber == c.Number && w.PermitRequest.TargetNumber == c.Number) && !s.mute && !s.fresh &&
				d.silentFor(s.name) > c.SilenceTimeout {
				lost++
			}
		}
		if lost >= c.RegressionLimits.Unreachable {
			d.stop(fmt.Sprintf("%d instances with it are not heard for %d s", lost, c.SilenceTimeout/second), c.OnRegression)
		}
	}
	if d.status.Verdict.Order != OrderProceed {
		return
	}
	if d.evidence == nil {
		d.evidence, d.lookedAt = NewRegressionAnalysis(c.RegressionLimits), d.now
	}
	if d.now-d.lookedAt < d.pace() {
		return
	}
	d.lookedAt = d.now
	var all []Sample
	for _, s := range d.seats {
		w := s.w
		if !s.fresh || w.Stats == nil || w.RunningNumber != c.Number && w.RunningNumber != c.BaseNumber {
			continue
		}
		all = append(all, Sample{
			Name: s.name, Region: w.Instance.Region, Zone: w.Instance.Zone, HasChange: w.RunningNumber == c.Number, Incarnation: w.Incarnation,
			Stats: *w.Stats,
		})
	}
	d.evidence.AddSamples(all)
	if found := d.evidence.DescribeRegression(); found != "" {
		d.stop(found, c.OnRegression)
	}
}

// elect votes, once for each change, for who is in which stage: for what others have voted for, or what is known here.
func (d *Controller) elect() {
	c := d.active
	votes := map[string]int{}
	for _, s := range d.seats {
		if d.same(s.w) && s.w.RosterDigest != "" {
			votes[s.w.RosterDigest]++
		}
	}
	if d.status.RosterDigest == "" && d.takesPart() && !d.mayHaveForgottenPromises() {
		best := ""
		for _, digest := range slices.Sorted(maps.Keys(votes)) {
			if d.rosters[rosterKey(c.Number, digest)] != nil && (best == "" || votes[digest] > votes[best]) {
				best = digest
			}
		}
		if best == "" && d.majority() {
			all, known := make([]Instance, 0, len(d.listed)), 0
			for _, name := range slices.Sorted(maps.Keys(d.listed)) {
				p, ok := d.places[name]
				if w := d.word(name); !ok && w != nil {
					p, ok = w.Instance, true
				}
				known += btoi(ok)
				p.Name = name
				all = append(all, p)
			}
			if known == len(all) || d.now-d.seenAt > c.SilenceTimeout {
				r := d.rosterOf(all)
				best = r.digest
				d.rosters[rosterKey(c.Number, best)], d.out.Put[rosterKey(c.Number, best)] = all, encodeRoster(all)
			}
		}
		if best != "" {
			d.status.RosterDigest, d.changed = best, true
		}
	}
	if d.status.RosterDigest != "" && (d.roster == nil || d.roster.digest != d.status.RosterDigest) {
		if all := d.rosters[rosterKey(c.Number, d.status.RosterDigest)]; len(all) == len(d.listed) {
			d.roster = d.rosterOf(all)
		} else if all != nil {
			d.once("rollout_waits", &MemberListMismatchError{Number: c.Number, RemoteCount: len(all), LocalCount: len(d.listed)})
		}
	}
	all, most := 0, 0
	for _, n := range votes {
		all, most = all+n, max(most, n)
	}
	if all == len(d.listed) && !d.more(most) {
		d.stop("instances know different zones of each other", OrderStop)
	}
}

func (d *Controller) rosterOf(all []Instance) *roster {
	return newRoster(fmt.Sprint(d.active.Name, "/", d.active.Number), all)
}

// mayHaveForgottenPromises tells that this process may have granted or voted in a life that it knows nothing of.
func (d *Controller) mayHaveForgottenPromises() bool {
	return d.NoSavedState && d.now-d.began < d.lease()
}

// lease is how long a grant holds.
func (d *Controller) lease() int64 { return d.active.SilenceTimeout }

// opened is how many steps more than half of the listed have voted for. Votes are never taken back within a turn, so
// it never falls.
func (d *Controller) opened() int {
	if d.roster == nil {
		return 0
	}
	votes := make([]int, len(d.steps)+2)
	for _, s := range d.seats {
		if w := s.w; d.same(w) && w.RosterDigest == d.status.RosterDigest && w.StageEpoch == d.status.Verdict.Epoch && !s.mute {
			for s := range min(w.ApprovedSteps, len(d.steps)+1) {
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

// isComplete tells that the change is everywhere, and stays.
func (d *Controller) isComplete() bool {
	return d.open > len(d.steps) && d.status.Verdict.Order == OrderProceed
}

// vote lets the next step begin where this instance finds that it may.
func (d *Controller) vote() {
	v := d.status.Verdict
	if d.status.StageEpoch != v.Epoch {
		d.status.StageEpoch, d.status.ApprovedSteps = v.Epoch, 0
	}
	if v.Order != OrderProceed || d.roster == nil || d.mayHaveForgottenPromises() || !d.takesPart() {
		return
	}
	if d.open > d.status.ApprovedSteps { // more than half have seen enough
		d.status.ApprovedSteps, d.changed = d.open, true
		return
	}
	if d.status.ApprovedSteps > len(d.steps) || d.open < d.status.ApprovedSteps || !d.majority() {
		return
	}
	if why := d.delayReason(); why != "" {
		if k := d.status.ApprovedSteps; d.now-d.votedAt > d.active.SilenceTimeout && (k == 0 || d.now-d.votedAt > d.active.SilenceTimeout+d.active.WarmUp+d.steps[k-1].watch) {
			d.once("rollout_waits", &StepDelayedError{Number: d.active.Number, Step: k + 1, Reason: why})
		}
		return
	}
	d.votedAt = d.now
	d.status.ApprovedSteps++
	d.changed = true
	d.note("rollout_stage", nil, "change", d.active.Name, "number", d.active.Number, "step", d.status.ApprovedSteps, "of", len(d.steps),
		"searches", d.searches())
}

func (d *Controller) searches() uint64 {
	if d.evidence == nil {
		return 0
	}
	return d.evidence.CountSearches()
}

// delayReason tells what keeps the next step from beginning, "" for nothing.
func (d *Controller) delayReason() string {
	c, k := d.active, d.status.ApprovedSteps
	fresh := 0
	for _, s := range d.seats {
		w := s.w
		if !s.fresh || !d.same(w) || w.RosterDigest != d.status.RosterDigest {
			continue
		}
		fresh++
		if w.RunningNumber != c.Number && w.RunningNumber != c.BaseNumber && k == 0 {
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
			if d.silentFor(p.Name) <= c.SilenceTimeout {
				return p.Name + " is not heard"
			}
			continue // passed over: it takes the change when it is back
		}
		if w.RunningNumber != c.Number || w.ServingFor < 0 {
			return p.Name + " has not taken it"
		}
		if long := w.ServingFor >= c.WarmUp+d.steps[k-1].watch; long {
			watched++
		} else if i >= from {
			return p.Name + " is still watched"
		}
	}
	if watched == 0 {
		return "nobody that has it is left to be watched"
	}
	old := slices.ContainsFunc(d.seats, func(s seat) bool { return s.fresh && s.w.RunningNumber == c.BaseNumber })
	if old && d.steps[k-1].to < len(d.roster.order) { // there is something to set it beside
		if d.evidence == nil || d.evidence.CountSearches() < uint64(c.MinSearches) {
			return "too few searches"
		}
		if value, _ := d.evidence.EValue(); value > maxContinueEValue {
			return "it may be worse"
		}
	}
	return ""
}

// grant answers those that wish to restart. All that an instance grants at a time are of one step, and two majorities
// share an instance: so those that restart at once are never more than one step's, whatever is late or lost.
func (d *Controller) grant() {
	for name, g := range d.acks {
		if w := d.word(name); w != nil && w.PermitRequest.Number != g.Number && name != d.Self.Name || d.now-g.at > d.lease() || name == d.Self.Name && d.status.PermitRequest.Number != g.Number {
			delete(d.acks, name)
		}
	}
	if d.roster == nil || !d.takesPart() || d.mayHaveForgottenPromises() {
		return
	}
	type batch struct {
		to   uint64
		step int
	}
	held, some := batch{}, false
	for _, g := range d.acks {
		held, some = batch{g.TargetNumber, g.step}, true
	}
	wishes := map[batch][]string{}
	for _, s := range d.seats {
		w := s.w
		if !s.fresh || w.PermitRequest.Number == 0 || !d.same(w) || !d.allowed(w) {
			continue
		}
		if _, has := d.acks[s.name]; has {
			continue
		}
		b := batch{w.PermitRequest.TargetNumber, stepAtPosition(d.steps, d.roster.at[s.name])}
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
		d.acks[name] = grant{PermitRequest: d.word(name).PermitRequest, at: d.now, step: held.step}
		d.changed = true
	}
}

// allowed tells whether an instance may restart into what it wishes, by what is known here.
func (d *Controller) allowed(w *StatusMessage) bool {
	c, v := d.active, d.status.Verdict
	if w.RosterDigest != d.status.RosterDigest {
		return false
	}
	switch w.PermitRequest.TargetNumber {
	case c.Number:
		return v.Order == OrderProceed && d.status.ApprovedSteps >= stepAtPosition(d.steps, d.roster.at[w.Instance.Name]) && w.RunningNumber == c.BaseNumber && w.FailedEpoch != v.Epoch
	case c.BaseNumber:
		return w.RunningNumber == c.Number && v.Order == OrderRollBack || w.RunningNumber != c.Number && w.RunningNumber != c.BaseNumber
	}
	return false
}

// move decides this instance's own step: what it should run, whether it may ask, and whether it is granted.
func (d *Controller) move() {
	c, v := d.active, d.status.Verdict
	to := d.status.RunningNumber
	switch {
	case d.status.RunningNumber != c.Number && d.status.RunningNumber != c.BaseNumber: // it has missed what came before, or a later change ended its own
		to = c.BaseNumber
	case v.Order == OrderRollBack:
		to = c.BaseNumber
	case v.Order == OrderProceed && d.roster != nil && d.open >= stepAtPosition(d.steps, d.roster.at[d.Self.Name]) && d.status.FailedEpoch != v.Epoch:
		to = c.Number
	}
	if d.served < 0 || d.taking {
		return
	}
	if to == d.status.RunningNumber || to != 0 && d.content(to) == nil || d.roster == nil || !d.majority() {
		if d.status.PermitRequest.Number != 0 {
			d.status.PermitRequest, d.changed = PermitRequest{}, true
		}
		return
	}
	if d.status.PermitRequest.Number != 0 && d.status.PermitRequest.TargetNumber != to || d.status.PermitRequest.Number != 0 && d.now-d.askedAt > c.SilenceTimeout/requestTimeoutDivisor {
		// Guards against two steps that hold each other up with grants of a part of the fleet each.
		d.status.PermitRequest, d.changed = PermitRequest{}, true
		d.waitTo = d.now + askWait*(1+int64(d.roster.at[d.Self.Name]+int(d.askNo))%4)
	}
	if d.status.PermitRequest.Number == 0 {
		if d.now < d.waitTo {
			return
		}
		d.askNo++
		d.status.PermitRequest, d.askedAt, d.changed = PermitRequest{Number: d.askNo, TargetNumber: to}, d.now, true
		d.grant()
	}
	granted := 0
	for _, s := range d.seats {
		w := s.w
		if s.name == d.Self.Name {
			if g, ok := d.acks[s.name]; ok && g.Number == d.status.PermitRequest.Number {
				granted++
			}
		} else if w != nil && !s.mute && slices.Contains(w.PermitGrants, PermitGrant{d.Self.Name, d.status.PermitRequest.Number}) {
			granted++
		}
	}
	if d.more(granted) {
		d.taking = true
		d.out.Restart = &Restart{TargetNumber: to, Change: d.content(to), Epoch: v.Epoch, ReadyTimeout: c.ReadyTimeout}
		d.note("rollout_step", nil, "number", to, "from", d.status.RunningNumber, "granted", granted)
	}
}

// speak tells the others, when there is something new or it is time.
func (d *Controller) speak(before *StatusMessage) {
	if d.sums != nil && d.served >= 0 && (d.active == nil || d.now-d.served >= d.active.WarmUp) {
		d.status.Stats = d.sums
	}
	d.status.PermitGrants = d.status.PermitGrants[:0:0]
	for _, name := range slices.Sorted(maps.Keys(d.acks)) {
		d.status.PermitGrants = append(d.status.PermitGrants, PermitGrant{name, d.acks[name].Number})
	}
	if !d.changed && d.status.Sequence > 0 && d.now-d.spokeAt < d.pace() && slices.Equal(before.PermitGrants, d.status.PermitGrants) {
		return
	}
	d.status.Sequence++
	d.spokeAt, d.changed = d.now, false
	text, _ := cborEncoder.Marshal(&d.status)
	d.out.Put[StatusMessageKey(d.Self.Name)] = text
}
