package simwire

import (
	"fmt"
	"strings"

	"chalkring/balancer"
)

// instance is a simulated instance: its balancer and the actions of the current batch. It implements balancer.Actions.
type instance struct {
	number      int
	balancer    balancer.Balancer
	inIteration bool
	hasFailed   bool   // its balancer has panicked and is not called any more
	isStopped   bool   // it was killed or replaced by a new start: its actions of this batch are dropped
	actions     []byte // lines to write at the end of the batch
}

// runGuarded calls the balancer. A panic of the balancer ends only this instance, which reports it to the simulator by
// a "die" action.
func (i *instance) runGuarded(call func()) {
	if i.hasFailed || i.isStopped {
		return
	}
	defer func() {
		if cause := recover(); cause != nil {
			if _, isMalformed := cause.(malformed); isMalformed {
				panic(cause)
			}
			i.hasFailed = true
			i.addAction("die", strings.Join(strings.Fields(fmt.Sprint(cause)), " ")) // on one line
		}
	}()
	call()
}

// addAction adds a line of the action's name, the instance's number and the values.
func (i *instance) addAction(name string, values ...any) {
	i.actions = fmt.Appendf(i.actions, "%s %d", name, i.number)
	for _, value := range values {
		i.actions = fmt.Appendf(i.actions, " %v", value)
	}
	i.actions = append(i.actions, '\n')
}

// SendAttempt implements balancer.Actions.
func (i *instance) SendAttempt(shardRequest uint64, replica string, timeout int64) {
	i.addAction("route", shardRequest, replica, formatMs(timeout))
}

// CancelAttempt implements balancer.Actions.
func (i *instance) CancelAttempt(shardRequest uint64, attempt int) {
	i.addAction("stop_attempt", shardRequest, attempt)
}

// AnswerSearch implements balancer.Actions.
func (i *instance) AnswerSearch(search uint64, isComplete bool) {
	completeBit := 0
	if isComplete {
		completeBit = 1
	}
	i.addAction("settle_query", search, completeBit)
}

// ShedSearch implements balancer.Actions.
func (i *instance) ShedSearch(search uint64, retryAfter int64) {
	i.addAction("bounce", search, formatMs(retryAfter))
}

// FailSearch implements balancer.Actions.
func (i *instance) FailSearch(search uint64) { i.addAction("report_failure", search) }

// SetTimer implements balancer.Actions.
func (i *instance) SetTimer(wait int64, label uint64) {
	i.addAction("notify_me", formatMs(wait), label)
}

// CancelTimer implements balancer.Actions. The simulator cannot cancel a timer; the balancer ignores a canceled one
// that fires.
func (i *instance) CancelTimer(uint64) {}

// ProbeReplica implements balancer.Actions.
func (i *instance) ProbeReplica(replica string) { i.addAction("health_check", replica) }

// WatchEndpoints implements balancer.Actions.
func (i *instance) WatchEndpoints() { i.addAction("track", 1) }

// LogMessage implements balancer.Actions.
func (i *instance) LogMessage(text string) { i.addAction("log", text) }
