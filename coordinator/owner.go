package coordinator

import (
	"cmp"
	"container/heap"
	"context"
	"fmt"
	"math/big"
	"runtime/debug"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"chalkring/coordinator/plan"

	"golang.org/x/sync/errgroup"

	"chalkring/balancer"
	"chalkring/control/residency"
	"chalkring/control/shadow"
)

// owner owns the module. All but queue, asks, moves, log and ctx is touched by its goroutine alone; fronts, replicas'
// connections and discovery post closures to queue. It waits for nothing but that queue and its next wake,
// so they may wait for it. The queue is bounded by queueRoom; while it is full, sockets are not read.
type owner struct {
	Options
	log    *notes
	plan   *plan.Plan
	module balancer.Balancer
	g      *errgroup.Group
	ctx    context.Context
	queue  chan func()
	asks   chan struct{} // subscriptions that the module asked for
	moves  chan string   // where discovery is from now on

	blocks, streams, perCall, maxAttempts int     // of the settings, read once
	keyed                                 []bool  // by type: replicas drop a repeat while they remember
	windows                               []int64 // by type: how long they do
	copies                                bool    // a part may be out twice at once
	followUps                             []int   // parts of the second step, by type; 0 where there is none

	start     time.Time
	base      int64 // Unix time of start in tenths of a millisecond
	now       int64
	wakes     wakes
	timers    map[uint64]*moduleWake // the module's, by label
	spare     []*moduleWake          // that are free
	due       []*wake                // room for a turn's
	begun     []behind               // room for what finish gives
	next      []event                // what the next turn begins with
	spareNext []event                // room for the one after it
	armed     <-chan time.Time       // that the owner waits for, at or before the next wake
	armedAt   int64
	pulse     pulse
	caughtUp  int64                      // when it last was
	lingering map[*subRequest]*lingering // given up here, and the module not told
	lastID    uint64
	searches  map[uint64]*search
	names     map[string]bool // of the searches
	parts     map[uint64]*part
	fleet     map[string]*replica
	order     []*replica // with calls to go out at the end of the turn
	sockets   int        // descriptors that the plan grants
	lines     int        // connections to replicas
	sentAt    int64      // the last turn with calls
	usual     float64    // tenths of a millisecond that an answer takes, of late
	listed    bool
	clients   map[*link]bool
	ending    bool // no new client connections come
	fronts    int  // others that have not finished

	busy    atomic.Int64              // ns spent in turns
	beside  atomic.Int64              // further connects that are tried now, or held back
	endBy   atomic.Pointer[time.Time] // for final answers, once the co-ordinator has been told to end; nil before
	lastly  atomic.Bool               // each answer ends its connection, as stopMost is over
	peers   *learner                  // nil where peers are not allowed
	members *membership               // nil where discovery is the only source of lists
	door    *SearchAPI                // nil where there is no other front
	counts  *shadow.DivergenceCounts  // nil where no other settings are watched
	zones   *bounding                 // nil where there are no contracts

	room   float64      // bytes for open searches and their answers
	bytes  int64        // of it that searches hold
	unsent atomic.Int64 // and answers that clients have not taken

	checks  sync.Map     // of open searches that have one, by name; connections' readers use it
	checked atomic.Int64 // how many there are
}

// search is one search from its request to its final answer. The front that took it makes it; reply is
// what it leaves for that answer.
type search struct {
	name, key     string
	text          []byte
	qtype, tenant int
	retry         bool
	came          time.Time
	patience      time.Duration // of the client, from came
	shards        []int
	weights       []float64
	reply         func(r result)
	client        *client                                    // who waits for it; nil on other fronts
	check         func(shard int, value []byte) (any, error) // what a value has to pass to be in; nil for none

	id    uint64
	due   int64
	step  int
	whole bool
	from  []int // shards that were in at the end of the first step
	parts []*part
	over  bool
	bytes int64    // that it holds
	begun []behind // frames of sub-requests given up whose last byte was not out then

	tied   bool                           // its parts may not run everywhere
	barred *residency.SearchRejectedError // why some of them can run nowhere
}

// result is a final answer.
type result struct {
	kind    int
	whole   bool
	retryIn int64
	sent    bool     // a sub-request was made for it
	parts   []*part  // that are in, in the search's order
	behind  []behind // what has to be out before it is
	barred  *residency.SearchRejectedError
}

const (
	answered = iota
	shed
	errored
	taken  // never was a search: another that is open bears its name
	barred // by a contract on where its parts may run
	left   // told of an end alone: its client did not wait for the answer
)

// part is one part of a search's step.
type part struct {
	id     uint64
	s      *search
	step   int
	shard  int
	in     bool
	score  []byte
	value  []byte
	read   any // what the search's check made of value
	subs   []*subRequest
	untold int    // sub-requests whose outcome the module has not heard
	name   string // of its sub-requests on the wire

	first subRequest // room for the first, and for subs to name it
	one   [1]*subRequest
}

// event is what a turn begins with: something to do, or a sub-request that has ended.
type event struct {
	do      func()
	sub     *subRequest
	outcome string
}

// appendName adds its sub-requests' id on the wire.
func (p *part) appendName(dst []byte) []byte {
	dst = strconv.AppendInt(append(append(dst, p.s.name...), '.'), int64(p.shard), 10)
	if p.step == 2 {
		dst = append(dst, ".r"...)
	}
	return dst
}

// points is its score as a number.
func (p *part) points() *big.Int {
	n, _ := new(big.Int).SetString(string(p.score), 10)
	return n
}

// over tells that the part needs no more.
func (p *part) over() bool { return p.in || p.s.over || p.step != p.s.step }

// wake is something to do at a time; place is where it stands among wakes, negative once it does not.
type wake struct {
	at    int64
	no    uint64
	place int
	do    awaked
}

// awaked is what a wake leaves behind: a step that goes on then.
type awaked interface{ awake(o *owner) }

type doing func()

func (do doing) awake(*owner) { do() }

// moduleWake is one that the module asked for.
type moduleWake struct {
	wake
	label uint64
}

func (w *moduleWake) awake(o *owner) {
	label := w.label
	delete(o.timers, label)
	if len(o.spare) < spareMost {
		o.spare = append(o.spare, w)
	}
	o.module.HandleTimer(label)
}

type wakes struct {
	list []*wake
	no   uint64
}

func (w *wakes) Len() int { return len(w.list) }
func (w *wakes) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(w.list[i].at, w.list[j].at), cmp.Compare(w.list[i].no, w.list[j].no)) < 0
}

func (w *wakes) Swap(i, j int) {
	w.list[i], w.list[j] = w.list[j], w.list[i]
	w.list[i].place, w.list[j].place = i, j
}

func (w *wakes) Push(v any) {
	v.(*wake).place = len(w.list)
	w.list = append(w.list, v.(*wake))
}

func (w *wakes) Pop() any {
	last := len(w.list) - 1
	v := w.list[last]
	w.list[last] = nil
	w.list = w.list[:last]
	v.place = -1
	return v
}

// post hands the owner something to do; false once the co-ordinator has ended.
func (o *owner) post(do func()) bool {
	select {
	case o.queue <- do:
		return true
	case <-o.ctx.Done():
		return false
	}
}

// clock is Unix time in tenths of a millisecond, and monotonic: wall time counts at the start alone.
func (o *owner) clock() int64 { return o.base + int64(o.Clock.Now().Sub(o.start)/tenth) }

const tenth = 100 * time.Microsecond

// begin starts the module with its settings and the list as it was last known.
func (o *owner) begin() (err error) {
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("the module: %v", r)
		}
	}()
	o.now = o.clock()
	o.module.BeginIteration(o.now)
	o.module.Configure(o.plan.Seed, o.plan.Settings)
	known := o.plan.Known
	o.applyEndpointList("Persisted", known)
	o.tellListed(true, int64(known.Version), known.Hosts)
	if o.EndpointUpdates != nil {
		o.members = newMembership(o, o.EndpointUpdates, int64(known.Version), known.Hosts)
	}
	o.module.EndIteration()
	if o.counts != nil {
		o.tellWatched(0)
	}
	return nil
}

// run takes turns until all is answered after a stop. A fault of the module ends it with an error.
func (o *owner) run() (err error) {
	defer func() {
		if r := recover(); r != nil {
			o.log.Error("fault", "error", fmt.Sprint(r), "stack", string(debug.Stack()))
			err = fmt.Errorf("fault in a turn: %v", r)
		}
	}()
	for {
		var wake <-chan time.Time
		switch {
		case len(o.next) > 0:
			o.turn(nil)
			continue
		case o.wakes.Len() > 0:
			at := o.wakes.list[0].at
			wait := at - o.clock()
			if wait <= 0 {
				if first := o.wakes.list[0]; first == &o.pulse.wake && -wait < int64(heldUp/tenth) {
					o.now = max(o.now, o.clock())
					heap.Pop(&o.wakes)
					o.pulse.awake(o) // alone it is no turn
				} else {
					o.turn(nil)
				}
				continue
			}
			if o.armed == nil || at < o.armedAt { // one that comes early does no harm: most wakes are taken back
				o.armed, o.armedAt = o.Clock.After(time.Duration(wait)*tenth), at
			}
			wake = o.armed
		}
		if o.ending && len(o.clients) == 0 && len(o.searches) == 0 && o.fronts == 0 {
			return errDone
		}
		select {
		case do := <-o.queue:
			o.turn(do)
		case <-wake:
			o.armed = nil
		case <-o.ctx.Done():
			return o.ctx.Err()
		}
	}
}

// turn is one turn of the module: all that is queued by now, the wakes that are due, EndIteration.
func (o *owner) turn(first func()) {
	late := o.catchUp()
	began := time.Now()
	defer func() { o.busy.Add(int64(time.Since(began))) }()
	o.now = max(o.now, o.clock())
	if o.now == o.sentAt { // what two turns send is two calls: the module tells them apart by time
		o.now++
	}
	o.module.BeginIteration(o.now)
	if o.zones != nil {
		o.zones.turn()
	}
	if late {
		o.leaves()
	}
	before := o.next
	o.next, o.spareNext = o.spareNext[:0], nil
	for _, e := range before {
		if e.do != nil {
			e.do()
		} else {
			o.landed(e.sub, e.outcome, nil)
		}
	}
	clear(before)
	o.spareNext = before
	if first != nil {
		first()
	}
	for n := len(o.queue); n > 0; n-- {
		(<-o.queue)()
	}
	due := o.due[:0]
	for o.wakes.Len() > 0 && o.wakes.list[0].at <= o.now {
		due = append(due, heap.Pop(&o.wakes).(*wake))
	}
	for _, w := range due {
		if w.do != nil { // one before it may have taken it back
			w.do.awake(o)
		}
	}
	clear(due)
	o.due = due
	o.module.SetUtilization(float64(o.bytes+o.unsent.Load()) / o.room)
	o.module.EndIteration()
	o.sendCalls()
}

// pulse is a wake that always is among the others while searches are open: how late it is found shows how long the process
// was held up.
type pulse struct{ wake }

func (p *pulse) awake(o *owner) {
	if len(o.searches) > 0 {
		o.await(&p.wake, int64(pulseEach/tenth), p)
	} else {
		p.do = nil
	}
}

// beat has it come.
func (o *owner) beat() {
	if o.pulse.do == nil {
		o.await(&o.pulse.wake, int64(pulseEach/tenth), &o.pulse)
	}
}

// catchUp lets sockets be read before a turn that begins long after a wake's time, until nothing more comes of it. Guards
// against a process that was held up: what its clients, its replicas and discovery did meanwhile still lies there while its
// wakes are due and slots come free: sub-requests would go out for clients that have left, to replicas that drain, and beside
// answers that have come.
func (o *owner) catchUp() (late bool) {
	now := o.clock()
	if o.wakes.Len() == 0 || now-o.wakes.list[0].at < int64(heldUp/tenth) || now-o.caughtUp < int64(heldEach/tenth) {
		return false
	}
	for had, looks := -1, 0; had != len(o.queue) && looks < heldLooks; looks++ {
		had = len(o.queue)
		select {
		case <-o.Clock.After(heldLook):
		case <-o.ctx.Done():
		}
	}
	o.caughtUp = o.clock()
	return true
}

// leaves withdraws the searches whose clients have left, though their readers have not said so yet.
func (o *owner) leaves() {
	var gone []*search
	for _, s := range o.searches {
		if s.client != nil && s.client.gone() {
			gone = append(gone, s)
		}
	}
	slices.SortFunc(gone, func(s, u *search) int { return cmp.Compare(s.id, u.id) }) // the module's actions follow its calls
	for _, s := range gone {
		o.withdraw(s)
	}
}

func (o *owner) after(wait int64, do func()) { o.await(&wake{}, wait, doing(do)) }

// await has a wake come after a while; it is not among the wakes yet.
func (o *owner) await(w *wake, wait int64, do awaked) {
	o.wakes.no++
	w.at, w.no, w.do = o.now+max(wait, 0), o.wakes.no, do
	heap.Push(&o.wakes, w)
}

// unwake takes a wake back, so that it holds nothing for the rest of its wait; one that has come or never was awaited
// stays as it is.
func (o *owner) unwake(w *wake) {
	if w.do == nil {
		return
	}
	if w.do = nil; w.place >= 0 {
		heap.Remove(&o.wakes, w.place)
	}
}

func (o *owner) later(do func()) { o.next = append(o.next, event{do: do}) }

// laterLanded tells the module in the next turn how a sub-request ended.
func (o *owner) laterLanded(sub *subRequest, outcome string) {
	o.next = append(o.next, event{sub: sub, outcome: outcome})
}

func (o *owner) number() uint64 {
	o.lastID++
	return o.lastID
}

// take hands a search to the module. What is held is bounded by the clients' connections: one search each.
func (o *owner) take(s *search) {
	if o.names[s.name] { // guards against two whose parts no replica can tell apart
		s.over = true
		s.reply(result{kind: taken})
		return
	}
	o.names[s.name] = true
	if s.check != nil {
		o.checks.Store(s.name, s.check)
		o.checked.Add(1)
	}
	s.due = o.now + int64((s.patience-o.Clock.Now().Sub(s.came))/tenth)
	s.id, s.step = o.number(), 1
	o.searches[s.id] = s
	o.beat()
	o.hold(s, searchBytes+len(s.text)+partBytes*len(s.shards))
	o.module.AddSearch(s.id, s.qtype, s.tenant, s.key, s.due-o.now, s.id, len(s.shards), s.retry)
	o.addParts(s, s.shards, s.weights)
}

func (o *owner) addParts(s *search, shards []int, weights []float64) {
	from, all := len(s.parts), make([]part, len(shards))
	s.parts = slices.Grow(s.parts, len(shards))
	names := make([]byte, 0, len(shards)*(len(s.name)+nameMore)) // in one piece
	for i, shard := range shards {
		p := &all[i]
		p.id, p.s, p.step, p.shard = o.number(), s, s.step, shard
		s.parts = append(s.parts, p)
		o.parts[p.id] = p
		names = p.appendName(names)
	}
	text, own := string(names), [nameMost + nameMore]byte{}
	for _, p := range s.parts[from:] {
		n := len(p.appendName(own[:0]))
		p.name, text = text[:n], text[n:]
	}
	for i, p := range s.parts[from:] {
		o.module.AddShardRequest(p.id, s.id, p.shard, weights[i])
	}
	if o.zones != nil {
		o.zones.bind(s)
	}
}

// withdraw tells the module that the client has left; what it gives has to be out before anything is said to it.
func (o *owner) withdraw(s *search) (first []behind) {
	if s.over {
		return nil
	}
	o.tellEnd(s, left)
	first = o.finish(s)
	o.module.CancelSearch(s.id)
	return first
}

// SearchEnd is how a search ended, for those that keep sums beside the owner.
type SearchEnd struct {
	Type, Outcome int           // its class; Answered, Shed, Errored, Barred or Left
	Duration      time.Duration // since it came
	Attempts      int           // sub-requests made for it
}

func (o *owner) tellEnd(s *search, kind int) {
	if o.OnSearchEnd == nil {
		return
	}
	e := SearchEnd{Type: s.qtype, Outcome: kind, Duration: o.Clock.Now().Sub(s.came)}
	for _, p := range s.parts {
		e.Attempts += len(p.subs)
	}
	o.OnSearchEnd(e)
}

// hold counts what a search holds, against memory that follows what answers happen to be long. The module turns
// searches away when there is no room: guards against an end by the kernel.
func (o *owner) hold(s *search, n int) {
	s.bytes += int64(n)
	o.bytes += int64(n)
}

// finish forgets a search and gives what has to be out before its final answer is, until the next one is finished.
func (o *owner) finish(s *search) (first []behind) {
	first = o.begun[:0]
	defer func() { o.begun = first }()
	o.hold(s, -int(s.bytes))
	s.over = true
	delete(o.searches, s.id)
	delete(o.names, s.name)
	if s.check != nil {
		o.checks.Delete(s.name)
		o.checked.Add(-1)
	}
	for _, b := range s.begun {
		if !b.out() {
			first = append(first, b)
		}
	}
	for _, p := range s.parts {
		for _, sub := range p.subs {
			if g := o.lingering[sub]; g != nil {
				o.laterLanded(sub, o.forgoes(g))
			}
			if sub.call == nil {
				continue
			}
			// Nothing is sent after the final answer: what is begun has to be out before that is.
			if c := sub.call; !o.unsend(c, s) {
				if b := (behind{c.line.link, c.parcel}); !b.out() {
					first = append(first, b)
				}
			}
		}
		o.drop(p)
	}
	s.parts, s.text, s.shards, s.weights, s.begun = nil, nil, nil, nil, nil // a connection keeps its last search while unused
	return first
}

// drop forgets a part once its search is over and all its sub-requests are told: until then the module may
// cancel them.
func (o *owner) drop(p *part) {
	if p.s.over && p.untold == 0 {
		delete(o.parts, p.id)
	}
}

func (o *owner) in(s *search) []*part {
	in := make([]*part, 0, len(s.parts))
	for _, p := range s.parts {
		if p.in && p.step == s.step {
			in = append(in, p)
		}
	}
	return in
}

// What the module asks for; see balancer.Actions.

func (o *owner) AnswerSearch(id uint64, whole bool) {
	s := o.searches[id]
	if s == nil {
		return
	}
	in := o.in(s)
	if more := o.followUp(s.qtype); s.step == 1 && more > 0 {
		s.whole = whole
		for _, p := range in {
			s.from = append(s.from, p.shard)
		}
		slices.Sort(s.from)
		o.later(func() { o.secondStep(s, in, more) })
		return
	}
	o.tellEnd(s, answered)
	first := o.finish(s)
	s.reply(result{kind: answered, whole: whole, parts: in, behind: first})
}

func (o *owner) followUp(qtype int) int { return o.followUps[qtype] }

// secondStep makes the parts of the second step: at the shards with the highest scores, the lower number
// first among equals, with equal weights.
func (o *owner) secondStep(s *search, in []*part, most int) {
	if s.over {
		return
	}
	slices.SortFunc(in, func(p, q *part) int {
		return cmp.Or(q.points().Cmp(p.points()), cmp.Compare(p.shard, q.shard))
	})
	s.step = 2
	var shards []int
	var weights []float64
	for _, p := range in[:min(most, len(in))] {
		shards = append(shards, p.shard)
		weights = append(weights, 1/float64(min(most, len(in))))
	}
	o.addParts(s, shards, weights)
}

func (o *owner) ShedSearch(id uint64, retryIn int64) { o.end(id, result{kind: shed, retryIn: retryIn}) }
func (o *owner) FailSearch(id uint64)                { o.end(id, result{kind: errored}) }

func (o *owner) end(id uint64, r result) {
	if s := o.searches[id]; s != nil {
		if r.barred = o.zones.refuses(s); r.barred != nil {
			r.kind, r.retryIn = barred, 0
		}
		r.sent = slices.ContainsFunc(s.parts, func(p *part) bool { return len(p.subs) > 0 })
		o.tellEnd(s, r.kind)
		r.behind = o.finish(s)
		s.reply(r)
	}
}

func (o *owner) SetTimer(wait int64, label uint64) {
	var w *moduleWake
	if n := len(o.spare); n > 0 {
		w, o.spare = o.spare[n-1], o.spare[:n-1]
	} else {
		w = &moduleWake{}
	}
	w.label = label
	o.timers[label] = w
	o.await(&w.wake, max(wait, 1), w)
}

func (o *owner) CancelTimer(label uint64) {
	w := o.timers[label]
	if w == nil {
		return
	}
	delete(o.timers, label)
	if w.place >= 0 && len(o.spare) < spareMost { // one that is due in this turn is still looked at
		o.spare = append(o.spare, w)
	}
	o.unwake(&w.wake)
}

func (o *owner) WatchEndpoints() {
	select {
	case o.asks <- struct{}{}:
	default: // asked already
	}
}

// ProbeReplica is answered at once with nothing: the protocol has no message for it.
func (o *owner) ProbeReplica(id string) {
	o.later(func() { o.module.RecordProbeResult(id, "ConnectError", 0, nil) })
}

func (o *owner) LogMessage(text string) {
	o.log.Info("note", "text", strings.ToValidUTF8(text, "?"))
}
