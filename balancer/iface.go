package balancer

// Coordinator is what a protocol calls. Times are whole tenths of a millisecond, ids are the protocol's
// own. A turn is: Clock, any number of the calls between, EndOfBatch. One goroutine at a time.
type Coordinator interface {
	// Clock starts a turn at the time now.
	Clock(now int64)
	// Start hands over the settings and the seed of this co-ordinator's chance; a list follows.
	Start(seed int64, settings map[string]string)
	// Entry gives one replica of the list that ListDone closes.
	Entry(replica string, zone, kind, cell int, status string, units float64, since int64)
	// ListDone says how the entries are meant: Complete, Persisted, Partial or Error.
	ListDone(how string, revision int64)
	// Search takes a search of count parts, which follow with its number.
	Search(id uint64, qtype, tenant int, key string, grace int64, number uint64, count int, retry bool)
	// Part takes a part of the search with that number, on a shard, with its weight in the step.
	Part(id, number uint64, shard int, weight float64)
	// Bind hands in what bounds an open search, nil for nothing: from then on its parts run on such replicas alone,
	// whatever sends them, and what is out elsewhere is called off. lacks is told of each part that no such replica
	// holds, and says whether the search is to end with an error for it; otherwise the part is lost. Told again after
	// each change of what May says, and of the list.
	Bind(search uint64, to *Bounds, lacks func(shard int) (end bool))
	// Withdrawn says that the client has left.
	Withdrawn(search uint64)
	// Outcome tells how a sub-request ended after wait; over says that the part needs no more. A report's RetryAfter, in
	// milliseconds, is when a replica that refused wants to be asked again.
	Outcome(part uint64, leg int, ending string, wait int64, over bool, report map[string]float64)
	// ProbeResult tells what a probe found.
	ProbeResult(replica, ending string, wait int64, report map[string]float64)
	// Timer is a wake-up that was asked for.
	Timer(label uint64)
	// Know hands out what was found first hand, from the replica at a place on and so many of them; it
	// returns where to go on, 0 at the end of the list.
	Know(from, most int, tell func(b Belief)) (next int)
	// Hear takes in what was heard of the fleet, a zone or a replica, in the place of what was heard before.
	Hear(h Heard)
	// Held tells how much of the room for searches and their answers is in use: at 1 none is left, and what waits is
	// turned away.
	Held(share float64)
	// EndOfBatch closes the turn: what waits is looked at once more.
	EndOfBatch()
}

// Bounds are one value for all searches that may use the same replicas, for as long as that is so: May is asked once for
// each shard and replica of a list.
type Bounds struct {
	May func(shard int, replica string) bool

	group int // the module's, from the first Bind on
}

// Out is what the module asks of the protocol.
type Out interface {
	// Send starts a sub-request; those of a part are numbered from 0 in the order of Send.
	Send(part uint64, replica string, timeout int64)
	// Cancel stops waiting for a sub-request.
	Cancel(part uint64, leg int)
	// Answer, Shed and Error are the final answers; a first Answer of a two-step search brings more parts.
	Answer(search uint64, whole bool)
	Shed(search uint64, retryIn int64)
	Error(search uint64)
	// Wake asks for Timer after a while.
	Wake(wait int64, label uint64)
	// Unwake takes a Wake back; Timer does no harm where it comes all the same.
	Unwake(label uint64)
	// Probe asks a replica for its state.
	Probe(replica string)
	// Watch subscribes to list changes.
	Watch()
	// Note adds a line for the operators.
	Note(text string)
}

// What a Belief or Heard is of.
const (
	OfReplica = iota
	OfZone
	OfFleet
)

// ShortSpan and LongSpan are the e-fold times of the two memories, in tenths of a millisecond: what was heard goes
// on decaying by them on its way.
const (
	ShortSpan = paceSpan
	LongSpan  = pastSpan
)

// Tally is a decayed count and a mean: of the logarithms of answer times in tenths of a millisecond, or, where it
// was heard, of their logarithms over the usual one's.
type Tally struct{ N, Mean float64 }

// Belief is what own sub-requests have shown, as it is now.
type Belief struct {
	Of          int
	Replica     string
	Zone        int
	Since       int64 // the replica's start, as the list has it
	Short, Long Tally // short and long memory; of the fleet, the usual and the shortest answer time
	Strikes     int   // errors or refusals in a row
	Refused     int   // connects that failed in a row
	Quiet       int   // parts unanswered
	Silent      int64 // for how long
	Age         int64 // of its last answer, -1 for none
	Bad         bool  // it is a suspect here
}

// Heard is what is told of another's Belief, weighed: of a replica or zone, how much slower than usual it is.
type Heard struct {
	Of              int
	Replica         string
	Zone            int
	Since           int64
	Short, Long     Tally
	Bad             bool
	Lasts           int64   // how long Bad may count
	Usual, Shortest float64 // of the fleet, in tenths of a millisecond, 0 for unknown
}
