package logic

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
	// Withdrawn says that the client has left.
	Withdrawn(search uint64)
	// Outcome tells how a sub-request ended after wait; over says that the part needs no more.
	Outcome(part uint64, leg int, ending string, wait int64, over bool, report map[string]float64)
	// ProbeResult tells what a probe found.
	ProbeResult(replica, ending string, wait int64, report map[string]float64)
	// Timer is a wake-up that was asked for.
	Timer(label uint64)
	// EndOfBatch closes the turn: what waits is looked at once more.
	EndOfBatch()
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
