package simwire

import (
	"strings"

	"chalkring/balancer"
)

// endpoint is one entry of an endpoint list.
type endpoint struct {
	replica              string
	zone, kind, shardSet int
	status               string
	capacity             float64
	startedAt            int64 // tenths of a millisecond
}

// Values and sizes of events.
const (
	listError      = "Error" // kind of a members event: discovery failed, and the event refers to no list
	retryBit       = 2       // flag of an inbound event: the search is a client retry
	startHeadParts = 3       // parts of a start event before the settings: name, instance, seed
)

// instanceEvent describes a kind of event that is addressed to one instance.
type instanceEvent struct {
	valueCount int
	handle     func(s *session, i *instance, v values)
}

// instanceEvents holds the events that are addressed to one instance, by name. Their first value is the instance's
// number.
var instanceEvents = map[string]instanceEvent{
	"members":    {4, (*session).handleMembers},
	"inbound":    {11, (*session).handleInbound},
	"returned":   {8, (*session).handleReturned},
	"checked":    {5, (*session).handleChecked},
	"withdrawn":  {2, (*session).handleWithdrawn},
	"fired":      {2, (*session).handleFired},
	"first_byte": {5, (*session).ignoreEvent}, // answers are not streamed for any type of search
	"mail":       {3, (*session).ignoreEvent}, // simulated instances exchange no messages
}

// readEvents reads and handles the events of a batch up to its "eob" line.
func (s *session) readEvents() {
	for {
		line := s.mustReadLine()
		name, _, _ := strings.Cut(line, " ")
		switch name {
		case "eob":
			return
		case "census":
			s.readList(splitLine(line, name, 2))
		case "start":
			s.startInstance(line)
		case "kill":
			s.killInstance(splitLine(line, name, 1))
		default:
			s.handleInstanceEvent(name, line)
		}
	}
}

// readList reads an endpoint list and stores it under its number, by which members events refer to it.
func (s *session) readList(v values) {
	count := v.integer(1)
	if count < 0 {
		failMalformed("census has a negative number of entries")
	}
	var list []endpoint
	for ; count > 0; count-- {
		entry := splitLine(s.mustReadLine(), "m", 7)
		list = append(list, endpoint{
			replica: entry.text(0), zone: int(entry.integer(1)), kind: int(entry.integer(2)), shardSet: int(entry.integer(3)),
			status: entry.text(4), capacity: entry.float(5), startedAt: entry.time(6),
		})
	}
	s.lists[int(v.integer(0))] = list
}

// startInstance starts an instance with a new balancer. A running instance with the same number is stopped.
func (s *session) startInstance(line string) {
	parts := strings.Split(line, " ")
	if len(parts) < startHeadParts {
		failMalformed("start has too few values, expected an instance and a seed")
	}
	v := values(parts[1:])
	number, seed := int(v.integer(0)), v.integer(1)
	settings := ParseSettings(parts[startHeadParts:])
	if previous := s.instances[number]; previous != nil {
		previous.isStopped = true
	}
	i := &instance{number: number}
	i.balancer = balancer.New(i)
	s.instances[number] = i
	s.ensureIteration(i)
	i.runGuarded(func() { i.balancer.Configure(seed, settings) })
}

func (s *session) killInstance(v values) {
	number := int(v.integer(0))
	if i := s.instances[number]; i != nil {
		i.isStopped = true
	}
	delete(s.instances, number)
}

// ensureIteration begins the balancer's iteration if this is the instance's first event of the batch.
func (s *session) ensureIteration(i *instance) {
	if i.inIteration {
		return
	}
	i.inIteration = true
	s.activeInstances = append(s.activeInstances, i)
	i.runGuarded(func() { i.balancer.BeginIteration(s.now) })
}

func (s *session) handleInstanceEvent(name, line string) {
	event, known := instanceEvents[name]
	if !known {
		failMalformed("unknown event %q", name)
	}
	v := splitLine(line, name, event.valueCount)
	i := s.instances[int(v.integer(0))]
	if i == nil {
		failMalformed("%s for instance %s, which is not running", name, v[0])
	}
	s.ensureIteration(i)
	event.handle(s, i, v)
}

func (s *session) handleMembers(i *instance, v values) {
	kind, revision := v.text(1), v.integer(2)
	if kind != listError {
		list, known := s.lists[int(v.integer(3))]
		if !known {
			failMalformed("members refers to list %s, which no census event has sent", v[3])
		}
		for _, e := range list {
			i.runGuarded(func() {
				i.balancer.AddEndpoint(e.replica, e.zone, e.kind, e.shardSet, e.status, e.capacity, e.startedAt)
			})
		}
	}
	i.runGuarded(func() { i.balancer.CommitEndpoints(kind, revision) })
}

// handleInbound handles a search, marked by a negative shard, or one of the shard requests that follow it. The value at
// index 9 is the number of shards of a search, or the weight of a shard request.
func (s *session) handleInbound(i *instance, v values) {
	id, number, shard := v.id(1), uint64(v.integer(7)), int(v.integer(8))
	class, tenant, timeLeft, flags := int(v.integer(2)), int(v.integer(3)), v.time(5), v.integer(10)
	v.float(6) // unused, but checked to be a number
	countOrWeight := v.float(9)
	if shard < 0 {
		shardCount, isRetry := int(countOrWeight), flags&retryBit != 0
		i.runGuarded(func() { i.balancer.AddSearch(id, class, tenant, v[4], timeLeft, number, shardCount, isRetry) })
		return
	}
	i.runGuarded(func() { i.balancer.AddShardRequest(id, number, shard, countOrWeight) })
}

func (s *session) handleReturned(i *instance, v values) {
	shardRequest, attempt, outcome, wait := v.id(1), int(v.integer(2)), v.text(4), v.time(5)
	isFinal, report := v.boolean(6), v.loadReport(7)
	i.runGuarded(func() { i.balancer.RecordAttemptOutcome(shardRequest, attempt, outcome, wait, isFinal, report) })
}

func (s *session) handleChecked(i *instance, v values) {
	outcome, replica, wait, report := v.text(1), v.text(2), v.time(3), v.loadReport(4)
	i.runGuarded(func() { i.balancer.RecordProbeResult(replica, outcome, wait, report) })
}

func (s *session) handleWithdrawn(i *instance, v values) {
	search := v.id(1)
	i.runGuarded(func() { i.balancer.CancelSearch(search) })
}

func (s *session) handleFired(i *instance, v values) {
	label := uint64(v.integer(1))
	i.runGuarded(func() { i.balancer.HandleTimer(label) })
}

func (s *session) ignoreEvent(*instance, values) {}
