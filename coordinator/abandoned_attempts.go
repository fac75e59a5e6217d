package coordinator

import (
	"slices"
)

// abandonedAttempt is a sub-request that this side waits for no longer, while its replica may not know so yet.
type abandonedAttempt struct {
	attempt    *attempt
	connection *replicaConnection
	outcome    string
}

// mayStillRun tells whether a sub-request that this side gives up may be out all the same, where no part may be out twice.
func (loop *eventLoop) mayStillRun(attempt *attempt) bool {
	return !loop.rules.allowsSecondCopies && !attempt.shardRequest.isSettled()
}

// abandonAttempt keeps the end of a sub-request from the module until it is over for its replica too: that has answered it, or has
// ended the connection. Guards against a second copy. A cancel frame may be overtaken, or not be read while the connection's
// places are taken; on one that has fallen silent neither it nor our close arrives; and the time that the replica was told
// counts from its reading the frame, which a new connection may hold up. Harm: of a replica that hangs nothing comes, and the
// part is lost to its search.
func (loop *eventLoop) abandonAttempt(conn *replicaConnection, attempt *attempt, outcome string) {
	abandoned := &abandonedAttempt{attempt, conn, outcome}
	conn.abandoned, loop.replicas.abandoned[attempt] = append(conn.abandoned, abandoned), abandoned
}

// forgetAbandoned ends a sub-request's lingering, and gives how it had ended here.
func (loop *eventLoop) forgetAbandoned(abandoned *abandonedAttempt) (outcome string) {
	delete(loop.replicas.abandoned, abandoned.attempt)
	abandoned.connection.abandoned = slices.DeleteFunc(abandoned.connection.abandoned, func(x *abandonedAttempt) bool { return x == abandoned })
	loop.closeIfUnused(abandoned.connection)
	return abandoned.outcome
}

// takeAbandoned finds a sub-request that lingers on a connection by its id, takes it off, and gives what its answer counts as.
// Guards against an answer from where a contract has called its part off: under contracts it ends as it had ended here.
func (loop *eventLoop) takeAbandoned(conn *replicaConnection, id, outcome string) (*attempt, string) {
	for _, abandoned := range conn.abandoned {
		if abandoned.attempt.name == id {
			if ended := loop.forgetAbandoned(abandoned); loop.enforcer != nil {
				outcome = ended
			}
			return abandoned.attempt, outcome
		}
	}
	return nil, outcome
}
