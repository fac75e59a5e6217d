package coordinator

import "time"

const (
	maxReadyAccept = time.Millisecond // an accept that takes longer found no connection in the system's queue
	maxQueueDrain  = time.Second      // after a wait for room, in which the connections that queued up meanwhile are accepted
)

// acceptQueue knows since when connections may have waited in the system's queue for one before them that waited for room.
type acceptQueue struct {
	waitingSince time.Time // zero if none has waited
	waitedUntil  time.Time // when the last wait for room ended
}

// accepted records an accept that was called at one time and returned a connection at another.
func (q *acceptQueue) accepted(calledAt, returnedAt time.Time) {
	if returnedAt.Sub(calledAt) > maxReadyAccept || returnedAt.Sub(q.waitedUntil) > maxQueueDrain {
		q.waitingSince = time.Time{}
	}
}

// admitted records when there was room for the connection that was accepted last. It returns since when that connection may
// have waited, the zero time if it has not.
func (q *acceptQueue) admitted(acceptedAt, admittedAt time.Time) (waitingSince time.Time) {
	if admittedAt.Sub(acceptedAt) > maxReadyAccept {
		q.waitedUntil = admittedAt
		if q.waitingSince.IsZero() {
			q.waitingSince = acceptedAt
		}
	}
	return q.waitingSince
}
