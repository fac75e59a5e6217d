package coordinator

import (
	"slices"
)

// abandonedAttempt is an attempt that was given up here while its replica may still run it.
type abandonedAttempt struct {
	attempt    *attempt
	connection *replicaConnection
	outcome    string // the one that it was given up with
}

// mustAwaitEnd says whether the outcome of an attempt that is given up has to wait until the attempt has ended at its
// replica: no shard request may run twice at the same time, and this one may still be retried.
func (loop *eventLoop) mustAwaitEnd(attempt *attempt) bool {
	return !loop.rules.allowsSecondCopies && !attempt.shardRequest.isSettled()
}

// abandonAttempt withholds an attempt's outcome from the balancer until the attempt has ended at its replica too, which
// is once the replica has answered it or closed the connection. Before that, a retry could run beside the attempt as a
// second copy. Canceling does not rule this out: the cancel frame may be overtaken or never be read, neither it nor a
// close from this side arrives over a silent connection, and the replica counts its time limit from when it reads the
// frame. If the replica hangs, no outcome is reported before the search ends, and the search does without this shard
// request.
func (loop *eventLoop) abandonAttempt(conn *replicaConnection, attempt *attempt, outcome string) {
	abandoned := &abandonedAttempt{attempt, conn, outcome}
	conn.abandoned, loop.replicas.abandoned[attempt] = append(conn.abandoned, abandoned), abandoned
}

// forgetAbandoned ends the wait for an abandoned attempt and returns the outcome with which it was given up.
func (loop *eventLoop) forgetAbandoned(abandoned *abandonedAttempt) (outcome string) {
	delete(loop.replicas.abandoned, abandoned.attempt)
	abandoned.connection.abandoned = slices.DeleteFunc(abandoned.connection.abandoned, func(x *abandonedAttempt) bool { return x == abandoned })
	loop.closeIfUnused(abandoned.connection)
	return abandoned.outcome
}

// takeAbandoned finds a connection's abandoned attempt by its name, ends the wait for it, and returns the outcome that
// its answer counts as. With residency contracts that is the outcome with which the attempt was given up, since a
// contract may have canceled it at that host.
func (loop *eventLoop) takeAbandoned(conn *replicaConnection, attemptName, outcome string) (*attempt, string) {
	for _, abandoned := range conn.abandoned {
		if abandoned.attempt.name == attemptName {
			if givenUpWith := loop.forgetAbandoned(abandoned); loop.enforcer != nil {
				outcome = givenUpWith
			}
			return abandoned.attempt, outcome
		}
	}
	return nil, outcome
}
