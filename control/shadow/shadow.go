// Package shadow watches the decision module under settings that are not in force yet. The module decides as before;
// each of its actions is held against both sets of settings, and where they differ on it, that is counted by kind. It
// stands between the module and what carries its actions out, changes nothing, and has no I/O: the clock is the turns'.
package shadow

import (
	"slices"
	"strconv"
	"strings"
	"sync/atomic"

	"chalkring/balancer"
)

// Kinds of decisions that may differ, by how they are told.
const (
	KindRetryAfter     = iota // a time to come back
	KindHedgedRequest         // a sub-request beside another of its part
	KindExtraPart             // a part beyond those that a whole answer needs
	KindPartialAnswer         // an answer that lacks parts, is whole with fewer, or is not given
	KindAttemptLimit          // a further sub-request beyond the most
	KindRetryBudget           // a further sub-request beyond the budget
	KindSlowStartShare        // a sub-request to a replica that counts as cold
	KindDraining              // a sub-request to a replica that drains, after the grace
	kinds
)

// KindNames are the kinds' in metrics and the log.
var KindNames = [kinds]string{"retry_after", "second_copy", "extra", "answer_in_part", "attempts", "budget", "cold_share", "drain"}

const (
	tiny      = 1e-4 // that shares of parts may miss their sum by: the rules' own slack
	tenths    = 10   // tenths of a millisecond in one: settings tell milliseconds
	looksMost = 1e6  // times kept for a budget: what a co-ordinator may hold many times over
)

// DivergenceCounts are read by any goroutine.
type DivergenceCounts [kinds]atomic.Int64

// Total is how often any kind differed.
func (c *DivergenceCounts) Total() (n int64) {
	for i := range c {
		n += c[i].Load()
	}
	return n
}

// shape is one set of settings as far as actions are held against it.
type shape map[string]string

func (s shape) num(name string, missing float64) float64 {
	if v, err := strconv.ParseFloat(s[name], 64); err == nil {
		return v
	}
	return missing
}

func (s shape) yes(name string) bool { return s[name] == "true" || s[name] == "1" }

func (s shape) nth(name string, i int, missing float64) float64 {
	if items := strings.Split(s[name], ","); i < len(items) {
		if v, err := strconv.ParseFloat(items[i], 64); err == nil {
			return v
		}
	}
	return missing
}

func (s shape) span(name string) int64 { return int64(s.num(name, 0) * tenths) }

// advice is what a shed search's client is told of a time to come back, of what was meant.
func (s shape) advice(meant int64) int64 {
	if !s.yes("Permissions.RetryAfter") {
		return 0
	}
	return min(meant, s.span("Permissions.MaxRetryAfter"))
}

// answer tells whether so much may be answered, and whether it is whole.
func (s shape) answer(qtype int, have float64) (may, whole bool) {
	need, floor := s.nth("Specifics.NeedByClass", qtype, 1), s.nth("Specifics.ClassFloor", qtype, 1)
	return have > 0 && have >= min(need, floor)-tiny, have >= need-tiny
}

func (s shape) cold(now, since int64) bool { return since > 0 && now < since+s.span("Safety.Cold") }

// within tells whether one more further sub-request keeps to the budget.
func (s shape) within(now int64, taken, further []int64) bool {
	span := s.span("Safety.LookBack")
	if span == 0 {
		return true
	}
	room := s.num("Safety.ExtraFloor", 0) + s.num("Safety.FurtherRatio", 0)*float64(after(taken, now-span))
	return float64(after(further, now-span)+1) <= room
}

// after counts what of a list in order is later than a time.
func after(list []int64, at int64) int {
	i, _ := slices.BinarySearch(list, at+1)
	return len(list) - i
}

// Comparator is a module and the watch on it.
type Comparator struct {
	balancer.Balancer
	out      balancer.Actions
	counts   *DivergenceCounts
	now, was shape
	at       int64
	searches map[uint64]*search
	numbers  map[uint64]*search
	parts    map[uint64]*part
	replicas map[string]*replica
	listed   map[string]bool // by the list that is being told
	taken    []int64
	further  []int64
}

type search struct {
	id, number uint64
	qtype      int
	step       int
	sent, in   float64 // weight of parts sent and in, of the first step
	parts      []uint64
}

type part struct {
	s      *search
	weight float64
	tries  int
	out    int
	in     bool
}

type replica struct {
	since   int64
	drained int64 // told of at, 0 for not
}

// New makes a module by make, with the watch between it and out. inForce are the settings it starts with, next those it
// is held against too.
func New(out balancer.Actions, inForce, next map[string]string, counts *DivergenceCounts, make func(out balancer.Actions) balancer.Balancer) *Comparator {
	w := &Comparator{
		out: out, counts: counts, was: inForce, now: next, searches: map[uint64]*search{}, numbers: map[uint64]*search{},
		parts: map[uint64]*part{}, replicas: map[string]*replica{}, listed: map[string]bool{},
	}
	w.Balancer = make(w)
	return w
}

func (w *Comparator) differ(kind int, do bool) {
	if do {
		w.counts[kind].Add(1)
	}
}

// What the module hears.

func (w *Comparator) BeginIteration(now int64) {
	w.at = now
	w.Balancer.BeginIteration(now)
}

func (w *Comparator) AddEndpoint(id string, zone, kind, cell int, status string, units float64, since int64) {
	w.listed[id] = true
	r := w.replicas[id]
	if r == nil {
		r = &replica{}
		w.replicas[id] = r
	}
	r.since = max(r.since, since)
	if status == "healthy" {
		r.drained = 0
	} else if r.drained == 0 {
		r.drained = w.at
	}
	w.Balancer.AddEndpoint(id, zone, kind, cell, status, units, since)
}

// CommitEndpoints forgets replicas that have left for longer than either grace.
func (w *Comparator) CommitEndpoints(how string, revision int64) {
	grace := max(w.was.span("Safety.DrainGrace"), w.now.span("Safety.DrainGrace"))
	for id, r := range w.replicas {
		if how != "Partial" && how != "Error" && !w.listed[id] && r.drained == 0 {
			r.drained = w.at
		}
		if r.drained > 0 && w.at > r.drained+2*grace && !w.listed[id] {
			delete(w.replicas, id)
		}
	}
	clear(w.listed)
	w.Balancer.CommitEndpoints(how, revision)
}

func (w *Comparator) AddSearch(id uint64, qtype, tenant int, key string, grace int64, number uint64, count int, retry bool) {
	s := &search{id: id, number: number, qtype: qtype, step: 1}
	w.searches[id], w.numbers[number] = s, s
	w.note(&w.taken)
	w.Balancer.AddSearch(id, qtype, tenant, key, grace, number, count, retry)
}

// note keeps a time for the longer of the two budgets.
func (w *Comparator) note(list *[]int64) {
	span := max(w.was.span("Safety.LookBack"), w.now.span("Safety.LookBack"))
	if span == 0 {
		return
	}
	if n := len(*list) - after(*list, w.at-span); n > len(*list)/2 || len(*list) >= looksMost {
		*list = slices.Clone((*list)[min(max(n, 1), len(*list)):])
	}
	*list = append(*list, w.at)
}

func (w *Comparator) AddShardRequest(id, number uint64, shard int, weight float64) {
	w.note(&w.taken)
	if s := w.numbers[number]; s != nil {
		w.parts[id] = &part{s: s, weight: weight}
		s.parts = append(s.parts, id)
	}
	w.Balancer.AddShardRequest(id, number, shard, weight)
}

func (w *Comparator) CancelSearch(id uint64) {
	w.Balancer.CancelSearch(id)
	w.end(w.searches[id])
}

func (w *Comparator) RecordAttemptOutcome(id uint64, leg int, ending string, wait int64, over bool, report map[string]float64) {
	if p := w.parts[id]; p != nil {
		p.out--
		if ending == "Ok" && !p.in && p.s.step == 1 {
			p.in = true
			p.s.in += p.weight
		}
	}
	w.Balancer.RecordAttemptOutcome(id, leg, ending, wait, over, report)
}

// What the module asks for.

func (w *Comparator) SendAttempt(id uint64, to string, timeout int64) {
	if p := w.parts[id]; p != nil {
		w.send(p, w.replicas[to])
	}
	w.out.SendAttempt(id, to, timeout)
}

func (w *Comparator) send(p *part, r *replica) {
	s := p.s
	if p.tries == 0 && s.step == 1 {
		needed := func(in shape) bool { return s.sent < in.nth("Specifics.NeedByClass", s.qtype, 1)-tiny }
		w.differ(KindExtraPart, needed(w.was) != needed(w.now))
		s.sent += p.weight
	}
	if p.tries > 0 {
		allowed := func(in shape) bool { return float64(p.tries) < in.num("Permissions.MaxAttempts", 1) }
		w.differ(KindAttemptLimit, allowed(w.was) != allowed(w.now))
		w.differ(KindRetryBudget, w.was.within(w.at, w.taken, w.further) != w.now.within(w.at, w.taken, w.further))
		w.note(&w.further)
	}
	w.differ(KindHedgedRequest, p.out > 0 && w.was.yes("Permissions.SecondCopies") != w.now.yes("Permissions.SecondCopies"))
	if r != nil {
		w.differ(KindSlowStartShare, w.was.cold(w.at, r.since) != w.now.cold(w.at, r.since))
		late := func(in shape) bool { return r.drained > 0 && w.at > r.drained+in.span("Safety.DrainGrace") }
		w.differ(KindDraining, late(w.was) != late(w.now))
	}
	p.tries++
	p.out++
}

func (w *Comparator) AnswerSearch(id uint64, whole bool) {
	s := w.searches[id]
	if s == nil {
		w.out.AnswerSearch(id, whole)
		return
	}
	if s.step == 1 {
		w.answered(s)
	}
	if s.step++; s.step > 2 || w.was.nth("Specifics.FollowUp", s.qtype, 0) == 0 {
		w.end(s)
	}
	w.out.AnswerSearch(id, whole)
}

func (w *Comparator) answered(s *search) {
	may, whole := w.was.answer(s.qtype, s.in)
	mayNext, wholeNext := w.now.answer(s.qtype, s.in)
	w.differ(KindPartialAnswer, may != mayNext || may && whole != wholeNext)
}

func (w *Comparator) ShedSearch(id uint64, retryIn int64) {
	w.differ(KindRetryAfter, w.now.advice(retryIn) != w.was.advice(retryIn) ||
		w.was.yes("Permissions.RetryAfter") != w.now.yes("Permissions.RetryAfter"))
	w.given(w.searches[id])
	w.out.ShedSearch(id, retryIn)
}

func (w *Comparator) FailSearch(id uint64) {
	w.given(w.searches[id])
	w.out.FailSearch(id)
}

// given ends a search that was given up: what was in might have been answered.
func (w *Comparator) given(s *search) {
	if s != nil && s.step == 1 {
		w.answered(s)
	}
	w.end(s)
}

func (w *Comparator) end(s *search) {
	if s == nil {
		return
	}
	delete(w.searches, s.id)
	delete(w.numbers, s.number)
	for _, id := range s.parts {
		delete(w.parts, id)
	}
}

func (w *Comparator) CancelAttempt(id uint64, leg int)  { w.out.CancelAttempt(id, leg) }
func (w *Comparator) SetTimer(wait int64, label uint64) { w.out.SetTimer(wait, label) }
func (w *Comparator) CancelTimer(label uint64)          { w.out.CancelTimer(label) }
func (w *Comparator) ProbeReplica(replica string)       { w.out.ProbeReplica(replica) }
func (w *Comparator) WatchEndpoints()                   { w.out.WatchEndpoints() }
func (w *Comparator) LogMessage(text string)            { w.out.LogMessage(text) }
