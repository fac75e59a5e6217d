package coordinator

import (
	"slices"
)

// abandonedAttempt is an attempt that this side no longer waits for, while its replica may not know so.
type abandonedAttempt struct {
	attempt    *attempt
	connection *replicaConnection
	outcome    string
}

// mayStillRun says whether an attempt that is given up has to be kept as abandoned, since no shard request may run
// twice at once.
func (loop *eventLoop) mayStillRun(attempt *attempt) bool {
	return !loop.rules.allowsSecondCopies && !attempt.shardRequest.isSettled()
}

// abandonAttempt keeps an attempt's outcome from the balancer until it has ended at its replica too: that has answered
// it, or has ended the connection. This prevents a second copy. A cancel frame may be overtaken or not be read,
// neither it nor our close arrives over a silent connection, and the replica's time limit counts from its reading of
// the frame. If the replica hangs, no outcome comes, and the shard request is lost to its search.
func (loop *eventLoop) abandonAttempt(conn *replicaConnection, attempt *attempt, outcome string) {
	abandoned := &abandonedAttempt{attempt, conn, outcome}
	conn.abandoned, loop.replicas.abandoned[attempt] = append(conn.abandoned, abandoned), abandoned
}

// forgetAbandoned ends the wait for an abandoned attempt and returns the outcome that it had here.
func (loop *eventLoop) forgetAbandoned(abandoned *abandonedAttempt) (outcome string) {
	delete(loop.replicas.abandoned, abandoned.attempt)
	abandoned.connection.abandoned = slices.DeleteFunc(abandoned.connection.abandoned, func(x *abandonedAttempt) bool { return x == abandoned })
	loop.closeIfUnused(abandoned.connection)
	return abandoned.outcome
}

// takeAbandoned finds a connection's abandoned attempt by its name, ends the wait for it, and returns what its answer
// counts as. With residency contracts that is the outcome it had here, since a contract may have canceled it at that
// host.
func (loop *eventLoop) takeAbandoned(conn *replicaConnection, attemptName, outcome string) (*attempt, string) {
	for _, abandoned := range conn.abandoned {
		if abandoned.attempt.name == attemptName {
			if ended := loop.forgetAbandoned(abandoned); loop.enforcer != nil {
				outcome = ended
			}
			return abandoned.attempt, outcome
		}
	}
	return nil, outcome
}
