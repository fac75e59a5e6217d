// Package scheduler schedules what is done beside the searches: asking peers and answering them, later the host list,
// storage and reports. A Plan decides, on a clock that is handed in, which job may run now: by priority, within
// the budgets of its kind, before its deadline, spread by chance, with waits that grow after failures. Searches
// always go first: under load jobs wait. A Pool runs them. Neither has I/O. docs/learning.md tells the options
// weighed. Times are tenths of a millisecond of the clock handed in.
package scheduler

import (
	"cmp"
	"container/heap"
	"errors"
	"fmt"
	"math"
	"math/rand"
	"slices"
)

const (
	second    = 10_000      // in tenths of a millisecond
	MaxJobs   = 1024        // jobs that may wait or run: more are refused, so that nothing grows without end
	backFirst = second / 2  // first wait after a failure, where the job states none
	backMost  = 60 * second // longest wait after failures
	backCut   = 16          // failures after which the wait grows no more
	spread    = 0.2         // part of each wait that is chance: jobs of many co-ordinators do not stay together
	burst     = second      // of a budget that may be spent at once
	loadHigh  = 0.7         // share of the owner's time in turns, over which only urgent jobs start
	loadFull  = 0.9         // and over which none does
	loadSpan  = second / 2  // memory of the load: the jobs follow bursts, not single turns
	starved   = 30 * second // wait after which a job counts as starved by load, and is told
	agePerLvl = 5 * second  // wait that lifts a job by one priority: the lowest is not starved by the highest
)

// Priority orders jobs; smaller goes first.
type Priority int

const (
	PriorityUrgent Priority = iota // a start waits for it: it may run while the owner is loaded, not while it is full
	PriorityNormal
	PriorityIdle // only while the owner has more than enough time
)

// Job is something to do once, or again and again.
type Job struct {
	Name           string
	Kind           string // whose budget it spends
	Priority       Priority
	Delay          int64 // wait before it may start
	Jitter         int64 // more wait, by chance up to so much
	Deadline       int64 // from now on; a job that has not started by then is given up, 0 for none
	Interval       int64 // wait before it is due again after it went well, 0 for once
	InitialBackoff int64 // first wait after a failure, 0 for the usual one; doubles each time
	MaxFailures    int   // failures after which it is given up, 0 for never
}

// Budget bounds a kind of job.
type Budget struct {
	MaxConcurrent  int     // jobs that run at once, 0 for one
	BytesPerSecond float64 // a second, 0 for no bound
	CPUPerSecond   float64 // seconds a second, 0 for no bound
}

// JobID names a job in its Plan.
type JobID uint64

// Why a job ended for good.
var (
	ErrDeadlinePassed  = errors.New("its deadline has passed")
	ErrTooManyFailures = errors.New("it has failed too often")
	ErrTooManyJobs     = fmt.Errorf("%d jobs wait already", MaxJobs)
)

// Schedule holds the jobs and decides. It is one goroutine's.
type Schedule struct {
	chance *rand.Rand
	kinds  map[string]*kind
	jobs   map[JobID]*entry
	due    queue
	last   JobID
	load   float64
	loadAt int64
	counts Counts
}

// Counts is what has become of jobs so far.
type Counts struct {
	Started, Completed, Failed, Abandoned, Canceled int
	Deferred                                        int // times that a job that was due waited for searches
	Starved                                         int // jobs that waited very long for them
}

type kind struct {
	Budget
	running    int
	bytes, cpu bucket
}

// bucket fills at a rate; what is spent may go below nothing and is waited for afterwards.
type bucket struct {
	left, rate float64 // a tenth
	at         int64
}

func (b *bucket) fill(now int64) {
	if b.rate > 0 {
		b.left = min(b.rate*burst, b.left+b.rate*float64(max(0, now-b.at)))
	}
	b.at = max(b.at, now)
}

// ready is how long it takes until something may be spent.
func (b *bucket) ready(now int64) int64 {
	if b.fill(now); b.rate <= 0 || b.left >= 0 {
		return 0
	}
	return int64(math.Ceil(-b.left / b.rate))
}

type entry struct {
	Job
	id      JobID
	at      int64 // when it may start
	first   int64 // when it became due
	limit   int64 // its deadline
	fails   int
	running bool
	told    bool // as starved
	gone    bool
	place   int
}

type queue []*entry

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(q[i].at, q[j].at), cmp.Compare(q[i].id, q[j].id)) < 0
}

func (q queue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].place, q[j].place = i, j
}

func (q *queue) Push(v any) {
	v.(*entry).place = len(*q)
	*q = append(*q, v.(*entry))
}

func (q *queue) Pop() any {
	last := len(*q) - 1
	v := (*q)[last]
	(*q)[last], v.place = nil, -1
	*q = (*q)[:last]
	return v
}

// NewSchedule is an empty plan; kinds that budgets does not name have one job at a time and no other bound.
func NewSchedule(chance *rand.Rand, budgets map[string]Budget) *Schedule {
	p := &Schedule{chance: chance, kinds: map[string]*kind{}, jobs: map[JobID]*entry{}}
	for name, b := range budgets {
		p.kinds[name] = newKind(b)
	}
	return p
}

func newKind(b Budget) *kind {
	k := &kind{Budget: b, bytes: bucket{rate: b.BytesPerSecond / second}, cpu: bucket{rate: b.CPUPerSecond / second}}
	k.bytes.left, k.cpu.left = k.bytes.rate*burst, k.cpu.rate*burst
	return k
}

func (p *Schedule) kind(name string) *kind {
	if p.kinds[name] == nil {
		p.kinds[name] = newKind(Budget{})
	}
	return p.kinds[name]
}

// Add takes a job in.
func (p *Schedule) Add(now int64, j Job) (JobID, error) {
	if len(p.jobs) >= MaxJobs {
		return 0, ErrTooManyJobs
	}
	p.last++
	e := &entry{Job: j, id: p.last, at: now + j.Delay + p.upTo(j.Jitter), limit: math.MaxInt64}
	if j.Deadline > 0 {
		e.limit = now + j.Deadline
	}
	e.first = e.at
	p.jobs[e.id] = e
	heap.Push(&p.due, e)
	return e.id, nil
}

func (p *Schedule) upTo(most int64) int64 {
	if most <= 0 {
		return 0
	}
	return p.chance.Int63n(most)
}

// Cancel takes a job back. One that runs is told by its context; its end then changes nothing.
func (p *Schedule) Cancel(id JobID) {
	e := p.jobs[id]
	if e == nil {
		return
	}
	p.counts.Canceled++
	if e.gone = true; !e.running {
		p.remove(e)
	}
}

func (p *Schedule) remove(e *entry) {
	delete(p.jobs, e.id)
	if e.place >= 0 && e.place < len(p.due) && p.due[e.place] == e {
		heap.Remove(&p.due, e.place)
	}
}

// RecordLoad notes the share of its time that the owner spends in turns.
func (p *Schedule) RecordLoad(now int64, share float64) {
	keep := math.Exp(-float64(max(0, now-p.loadAt)) / loadSpan)
	p.load, p.loadAt = p.load*keep+share*(1-keep), max(now, p.loadAt)
}

// admits tells whether searches leave time for a job of that priority.
func (p *Schedule) admits(priority Priority) bool {
	switch priority {
	case PriorityUrgent:
		return p.load < loadFull
	case PriorityNormal:
		return p.load < loadHigh
	}
	return p.load < loadHigh/2
}

// rank is a job's priority, lifted by how long it has waited.
func (e *entry) rank(now int64) float64 {
	return float64(e.Priority) - float64(max(0, now-e.first))/agePerLvl
}

// StartDue names the jobs that start now, counts them as running, and tells which were given up, and when it wants to be
// asked again, 0 for not before something changes.
func (p *Schedule) StartDue(now int64) (start []JobID, gaveUp []JobID, again int64) {
	var due []*entry
	for len(p.due) > 0 && p.due[0].at <= now {
		due = append(due, heap.Pop(&p.due).(*entry))
	}
	if len(p.due) > 0 {
		again = p.due[0].at
	}
	sooner := func(at int64) {
		if again == 0 || at < again {
			again = at
		}
	}
	slices.SortFunc(due, func(a, b *entry) int {
		return cmp.Or(cmp.Compare(a.rank(now), b.rank(now)), cmp.Compare(a.id, b.id))
	})
	for _, e := range due {
		if now > e.limit {
			p.counts.Abandoned++
			delete(p.jobs, e.id)
			gaveUp = append(gaveUp, e.id)
			continue
		}
		k := p.kind(e.Kind)
		wait := max(k.bytes.ready(now), k.cpu.ready(now))
		switch {
		case k.running >= max(1, k.MaxConcurrent): // looked at again when one of its kind ends
		case wait > 0:
			sooner(now + wait)
		case !p.admits(e.Priority):
			p.counts.Deferred++
			if !e.told && now-e.first > starved {
				e.told = true
				p.counts.Starved++
			}
			sooner(now + loadSpan/4)
		default:
			k.running++
			e.running = true
			p.counts.Started++
			start = append(start, e.id)
			continue
		}
		if e.limit < math.MaxInt64 {
			sooner(e.limit + 1)
		}
		heap.Push(&p.due, e)
	}
	return start, gaveUp, again
}

// Spend takes bytes and processor time (in seconds) from a kind's budget and returns how long to wait before more
// is spent.
func (p *Schedule) Spend(now int64, id JobID, bytes int, cpu float64) (wait int64) {
	e := p.jobs[id]
	if e == nil {
		return 0
	}
	k := p.kind(e.Kind)
	for b, amount := range map[*bucket]float64{&k.bytes: float64(bytes), &k.cpu: cpu} {
		if b.fill(now); b.rate > 0 {
			b.left -= amount
		}
	}
	return max(k.bytes.ready(now), k.cpu.ready(now))
}

// RecordResult takes in how a run ended. It tells whether the job is done for good, and why where it was given up.
func (p *Schedule) RecordResult(now int64, id JobID, err error) (over bool, why error) {
	e := p.jobs[id]
	if e == nil || !e.running {
		return true, nil
	}
	p.kind(e.Kind).running--
	e.running = false
	if err == nil {
		p.counts.Completed++
	} else {
		p.counts.Failed++
	}
	wait := e.Interval
	switch {
	case e.gone:
		p.remove(e)
		return true, nil
	case err == nil && e.Interval == 0:
		p.remove(e)
		return true, nil
	case err == nil:
		e.fails = 0
	default:
		back := e.InitialBackoff
		if back <= 0 {
			back = backFirst
		}
		wait = min(backMost, back<<min(e.fails, backCut))
		if e.fails++; e.MaxFailures > 0 && e.fails >= e.MaxFailures {
			p.counts.Abandoned++
			p.remove(e)
			return true, ErrTooManyFailures
		}
	}
	e.at = now + wait + p.upTo(int64(spread*float64(wait)))
	if e.first, e.told = e.at, false; e.at > e.limit {
		p.counts.Abandoned++
		p.remove(e)
		return true, ErrDeadlinePassed
	}
	heap.Push(&p.due, e)
	return false, nil
}

// Counts tells what has become of jobs, how many wait or run, and the load they see.
func (p *Schedule) Counts() (c Counts, waiting, running int, load float64) {
	for _, k := range p.kinds {
		running += k.running
	}
	return p.counts, len(p.jobs) - running, running, p.load
}
