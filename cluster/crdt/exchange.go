package crdt

import (
	"errors"
	"slices"
)

const (
	MessageBytes = 48 << 10 // about what a message holds: under 64 KiB with its frame; one name's siblings may be more
	nodesMost    = 80       // ranges asked of at once: 80 answers of 64 sums
	wantsMost    = 400      // buckets asked of at once
	entryCost    = 24       // bytes of an entry beside names and values, at least
)

// Bucket is what the asker holds in a bucket.
type Bucket struct {
	_     struct{} `cbor:",toarray"`
	Index uint16
	Sums  []uint64
}

// Ask is a question in an exchange. The one who answers keeps nothing between two.
type Ask struct {
	_     struct{} `cbor:",toarray"`
	Run   uint64   // the exchange
	Seq   uint64   // the question in it; both are named again by the answer
	Actor string
	Marks []RowMark // in the first one: rows that the asker has
	First bool
	Nodes []Node   // ranges whose children's digests are asked
	Want  []Bucket // buckets whose names are asked
}

// Held is the state of a bucket, but for what the asker has told that it holds.
type Held struct {
	_     struct{} `cbor:",toarray"`
	Index uint16
	N     int      // entries, of the answer's batch in order
	Lacks []uint64 // of the asker's sums those that are not held
	More  bool     // the entries are not all: ask again
}

// Answer is the answer to an Ask; what it leaves out is asked again.
type Answer struct {
	_      struct{} `cbor:",toarray"`
	Run    uint64
	Seq    uint64
	Actor  string
	Before uint64 // the asker's lives before this one are taken as over
	Away   bool   // the asker was away for so long that deletes were forgotten without it
	Sum    uint64 // in the answer to a first one: of all names
	Rows   []Row
	Sums   [][]uint64
	States []Held
	Batch  Batch // the entries of the states; its Known is there with them, and in the answer to a first one
}

// Answer answers a question.
func (l *Ledger) Answer(from string, a Ask) (Answer, error) {
	if !soundActor(a.Actor) || len(a.Nodes) > nodesMost || len(a.Want) > wantsMost || len(a.Marks) > RowsMost+1 {
		return Answer{}, &Unsound{from, "a question that cannot be used"}
	}
	out := Answer{Run: a.Run, Seq: a.Seq, Actor: l.actor}
	if name := NameOf(a.Actor); l.over(a.Actor) {
		out.Before = max(l.ends[name].Before, l.known.Ended(name))
		return out, nil
	}
	if a.First {
		out.Away, out.Batch.Known, out.Sum, out.Rows = l.away[NameOf(a.Actor)], l.known, l.Digest(Node{}), l.Rows(a.Marks, MessageBytes)
	}
	for _, n := range a.Nodes {
		if !n.sound() || n.Level >= Levels {
			return Answer{}, &Unsound{from, "a range that there is not"}
		}
		children := n.Children()
		sums := make([]uint64, len(children))
		for i, c := range children {
			sums[i] = l.Digest(c)
		}
		out.Sums = append(out.Sums, sums)
	}
	room := MessageBytes
	p := packer{Batch: out.Batch}
	if len(a.Want) > 0 {
		p.Known = l.known // what entries say alone is shortened by it
		room -= l.known.size()
	}
	for _, b := range a.Want {
		h := Held{Index: b.Index, Lacks: slices.Clone(b.Sums)}
		for _, n := range l.tree.names[b.Index] {
			if i := slices.Index(h.Lacks, n.sum); i >= 0 {
				h.Lacks = slices.Delete(h.Lacks, i, i+1)
				continue
			}
			if room < n.cost() && len(p.Entries) > 0 {
				h.More = true
				break
			}
			room -= p.add(n)
			h.N++
		}
		room -= 8 + 9*len(h.Lacks)
		if out.States = append(out.States, h); h.More || room <= 0 {
			break
		}
	}
	out.Batch = p.Batch
	return out, nil
}

func (e Entry) cost() int {
	n := e.size() + entryCost + e.Seen.size()
	for _, s := range e.Siblings {
		n += len(s.Dot.Actor) + 16
	}
	return n
}

// Exchange brings a ledger up to another's state, and the other up to this one's as far as it lacks what is here. It is
// the asker's side, and has one question out at a time. One that was cut goes on where it was with Again. When it is
// over, the ledger knows all that the other knew as it began.
type Exchange struct {
	l      *Ledger
	peer   string
	run    uint64
	seq    uint64
	actor  string // the other's life; of another life the whole must be asked
	known  Version
	began  bool
	failed bool
	nodes  []Node
	wants  []uint16
	out    Ask
	asked  bool
	before map[uint16]uint64 // digests of the buckets asked of

	Differing int      // buckets that were not the same
	Away      bool     // this instance was away for so long that deletes were forgotten without it
	Unseen    []string // then: names with own changes that the other had not seen, and that are kept
}

// NewExchange begins an exchange with an instance; run is a number that this instance gave no other exchange.
func (l *Ledger) NewExchange(peer string, run uint64) *Exchange {
	return &Exchange{l: l, peer: peer, run: run}
}

// Peer is the instance asked.
func (x *Exchange) Peer() string { return x.peer }

// Next is the next question; none while one is out, or at the end.
func (x *Exchange) Next() (Ask, bool) {
	if x.asked || x.Done() {
		return Ask{}, false
	}
	x.seq++
	a := Ask{Run: x.run, Seq: x.seq, Actor: x.l.actor}
	switch {
	case !x.began:
		a.First, a.Marks = true, x.l.Marks()
	case len(x.wants) > 0 && (len(x.nodes) == 0 || len(x.wants) >= wantsMost):
		// Buckets first once there are enough of them, so that what waits stays short.
		n := min(len(x.wants), wantsMost)
		x.before = make(map[uint16]uint64, n)
		for _, b := range x.wants[:n] {
			w := Bucket{Index: b}
			for _, h := range x.l.tree.names[b] {
				w.Sums = append(w.Sums, h.sum)
			}
			x.before[b] = x.l.Digest(Node{Level: Levels, Index: b})
			a.Want = append(a.Want, w)
		}
		x.wants = x.wants[n:]
	default:
		n := min(len(x.nodes), nodesMost)
		a.Nodes, x.nodes = x.nodes[:n:n], x.nodes[n:]
	}
	x.out, x.asked = a, true
	return a, true
}

// Again puts the question that is out back: its answer was lost, or may have been.
func (x *Exchange) Again() {
	if !x.asked {
		return
	}
	x.asked = false
	x.nodes = append(x.nodes, x.out.Nodes...)
	for _, w := range x.out.Want {
		x.wants = append(x.wants, w.Index)
	}
	x.out = Ask{}
}

// Done tells whether the exchange is over.
func (x *Exchange) Done() bool { return x.began && !x.asked && len(x.nodes) == 0 && len(x.wants) == 0 }

// Whole tells whether it is over and all of the other's state could be taken.
func (x *Exchange) Whole() bool { return x.Done() && !x.failed }

// ErrStale says that the other began a new life in the middle: the exchange is begun anew.
var ErrStale = errors.New("ledger: the other began a new life in the middle")

// Take takes an answer in. It tells the names that have changed here and what the other lacks. An answer to another question
// than the one that is out is ignored.
func (x *Exchange) Take(a Answer) (changed, lacks []string, err error) {
	if !x.asked || a.Run != x.run || a.Seq != x.out.Seq {
		return nil, nil, nil
	}
	l, ask := x.l, x.out
	if !soundActor(a.Actor) || NameOf(a.Actor) != x.peer || !a.Batch.Known.sound() {
		return nil, nil, &Unsound{x.peer, "an answer that cannot be used"}
	}
	if a.Before > LifeOf(l.actor) {
		return nil, nil, &Struck{x.peer, a.Before}
	}
	if x.began && a.Actor != x.actor || l.over(a.Actor) {
		// Guards against one that came back with an older disk in the middle: it no longer holds what it said it knew.
		return nil, nil, ErrStale
	}
	if len(a.Sums) != len(ask.Nodes) || len(a.States) > len(ask.Want) || len(ask.Want) > 0 && len(a.States) == 0 {
		return nil, nil, &Unsound{x.peer, "an answer to another question"}
	}
	if ask.First {
		if err := l.struck(x.peer, a.Batch.Known); err != nil {
			return nil, nil, err
		}
		x.began, x.actor, x.known = true, a.Actor, l.own(a.Batch.Known)
		if err := l.TakeRows(x.peer, a.Rows); err != nil {
			return nil, nil, err
		}
		if a.Away {
			x.Away = true
			l.names.Scan(func(name string, h *held) bool {
				if slices.ContainsFunc(h.Siblings, func(s Sibling) bool {
					return NameOf(s.Dot.Actor) == NameOf(l.actor) && !x.known.Covers(s.Dot)
				}) {
					x.Unseen = append(x.Unseen, name)
				}
				return true
			})
		}
		if a.Sum != l.Digest(Node{}) {
			x.nodes = append(x.nodes, Node{})
		}
	}
	x.asked, x.out = false, Ask{}
	for i, sums := range a.Sums {
		children := ask.Nodes[i].Children()
		if len(sums) != len(children) {
			x.nodes = append(x.nodes, ask.Nodes[i])
			return nil, nil, &Unsound{x.peer, "digests of another range"}
		}
		for j, c := range children {
			if l.Digest(c) == sums[j] {
				continue
			}
			if c.Level < Levels {
				x.nodes = append(x.nodes, c)
			} else {
				x.wants = append(x.wants, c.Index)
				x.Differing++
			}
		}
	}
	var errs []error
	rest := a.Batch
	rest.Known = x.known.Join(a.Batch.Known)
	unders, err := l.unders(x.peer, rest)
	if err != nil {
		return nil, nil, err
	}
	for i, w := range ask.Want {
		if i >= len(a.States) || a.States[i].Index != w.Index {
			x.wants = append(x.wants, w.Index)
			continue
		}
		n := a.States[i].N
		if n < 0 || n > len(rest.Entries) || len(rest.Of) != len(rest.Entries) {
			errs = append(errs, &Unsound{x.peer, "fewer entries than it says"})
			break
		}
		part := Batch{Entries: rest.Entries[:n:n], Of: rest.Of[:n:n]}
		rest.Entries, rest.Of = rest.Entries[n:], rest.Of[n:]
		did, miss, err := x.bucket(w, a.States[i], part, unders)
		changed, lacks = append(changed, did...), append(lacks, miss...)
		if err != nil {
			errs = append(errs, err)
		}
	}
	if len(errs) > 0 {
		x.failed = true
		return changed, lacks, errors.Join(errs[:min(len(errs), tellMost)]...)
	}
	if x.Whole() {
		l.known, l.rebase = l.known.Join(x.known), true
		l.settleEnds()
	}
	return changed, lacks, nil
}

// bucket takes in the other's state of a bucket: with what it knew as the exchange began, a name that it does not hold is
// one whose changes up to there are superseded.
func (x *Exchange) bucket(w Bucket, s Held, b Batch, unders []told) (changed, lacks []string, err error) {
	l := x.l
	same := l.Digest(Node{Level: Levels, Index: w.Index}) == x.before[w.Index]
	theirs := map[uint64]bool{}
	for _, sum := range w.Sums {
		theirs[sum] = true
	}
	if !s.More {
		sent := map[string]bool{}
		for _, e := range b.Entries {
			sent[e.Name] = true
		}
		for _, sum := range s.Lacks {
			delete(theirs, sum)
			for _, h := range l.tree.names[w.Index] {
				if h.sum == sum && !sent[h.Name] {
					b.Entries, b.Of = append(b.Entries, Entry{Name: h.Name}), append(b.Of, 0)
				}
			}
		}
	}
	for _, e := range b.Entries {
		if bucketOf(e.Name) != w.Index {
			return nil, nil, &Unsound{x.peer, "a name in another's place"}
		}
		theirs[e.sum()] = true
	}
	changed, err = l.take(x.peer, b.Entries, b.Of, unders)
	if err != nil {
		return changed, nil, err
	}
	if s.More || !same {
		// What was changed here meanwhile was not in the question, so that the answer does not speak of it.
		x.wants = append(x.wants, w.Index)
		return changed, nil, nil
	}
	for _, h := range l.tree.names[w.Index] {
		if !theirs[h.sum] {
			lacks = append(lacks, h.Name)
		}
	}
	return changed, lacks, nil
}

// Run is the number of the exchange.
func (x *Exchange) Run() uint64 { return x.run }

// Began tells whether the other has answered.
func (x *Exchange) Began() bool { return x.began }
