package peerreport

const (
	// maxConcurrentReplies bounds the peers answered at the same time: each costs a buffer and a writing goroutine.
	maxConcurrentReplies = 2
	// minPeerInterval is the shortest time between two answers to one peer: a peer that polls in a loop does not crowd
	// out others.
	minPeerInterval = second
	// maxRememberedPeers bounds the peers whose last answer is remembered to enforce minPeerInterval; beyond it the oldest
	// is forgotten.
	maxRememberedPeers = 256
	// deferralInterval is the time between the next polls of two deferred peers, so that they poll one after the other;
	// four answers a second cost next to nothing.
	deferralInterval = second / 4
	// maxDeferralAhead is the longest deferral; all further peers get the same.
	maxDeferralAhead = 30 * second
	// maxServingLoad is the load of the event loop above which no peer is answered, since searches take precedence. The
	// load is the share of time during which the event loop is busy.
	maxServingLoad = 0.7
	// minOverloadDeferral is the shortest deferral above that load.
	minOverloadDeferral = 2 * second
	// snapshotLifetime is the age up to which a snapshot is sent again: however many peers poll, the event loop takes few
	// snapshots.
	snapshotLifetime = second / 2
	// maxSnapshotRetakes bounds how often a snapshot is restarted because the endpoint list changed while it was taken.
	maxSnapshotRetakes = 3
)

// Admission decides which polling peers are answered: few at the same time, each at most once in minPeerInterval, and
// none while the event loop is busy with searches. The others are deferred to times spread apart. This keeps
// fifty instances that restart together from overloading the one that they poll. An Admission is not safe for
// concurrent use.
type Admission struct {
	Admitted int // polls answered so far
	Deferred int // polls deferred so far

	load           float64
	serving        int
	lastDeferredTo int64            // the latest time to which a peer has been deferred
	lastAdmittedAt map[string]int64 // by peer
	admittedOrder  []string         // peers in lastAdmittedAt, in the order in which they were first admitted

	snapshotAt int64 // start of the newest snapshot; 0 for none
	retakes    int   // restarts of the snapshot being taken
}

// NewAdmission returns an Admission that has admitted nobody yet.
func NewAdmission() *Admission { return &Admission{lastAdmittedAt: map[string]int64{}} }

// SetLoad records the share of time, 0 to 1, during which the event loop is busy.
func (a *Admission) SetLoad(share float64) { a.load = share }

// Admit reports whether a peer is answered now. If not, deferral is the wait after which the peer should poll again. The
// caller calls Release at the end of each admitted poll.
func (a *Admission) Admit(now int64, peer string) (admitted bool, deferral int64) {
	lastAt, known := a.lastAdmittedAt[peer]
	switch {
	case a.load > maxServingLoad:
		deferral = max(minOverloadDeferral, a.nextDeferral(now))
	case known && now-lastAt < minPeerInterval:
		deferral = lastAt + minPeerInterval - now
	case a.serving >= maxConcurrentReplies:
		deferral = a.nextDeferral(now)
	default:
		a.rememberAdmitted(now, peer)
		a.serving++
		a.Admitted++
		return true, 0
	}
	a.Deferred++
	return false, deferral
}

func (a *Admission) rememberAdmitted(now int64, peer string) {
	if _, known := a.lastAdmittedAt[peer]; !known {
		a.admittedOrder = append(a.admittedOrder, peer)
	}
	a.lastAdmittedAt[peer] = now
	if len(a.admittedOrder) > maxRememberedPeers {
		delete(a.lastAdmittedAt, a.admittedOrder[0])
		a.admittedOrder = a.admittedOrder[1:]
	}
}

// nextDeferral assigns the next free time for a poll to a deferred peer and returns the wait until then.
func (a *Admission) nextDeferral(now int64) int64 {
	a.lastDeferredTo = min(max(a.lastDeferredTo, now)+deferralInterval, now+maxDeferralAhead)
	return a.lastDeferredTo - now
}

// Release records that an admitted poll has been answered or aborted.
func (a *Admission) Release() { a.serving = max(0, a.serving-1) }

// IsSnapshotFresh reports whether the newest snapshot may be sent once more.
func (a *Admission) IsSnapshotFresh(now int64) bool {
	return a.snapshotAt > 0 && now-a.snapshotAt < snapshotLifetime
}

// RecordSnapshot records that the snapshot started at startedAt is complete.
func (a *Admission) RecordSnapshot(startedAt int64) { a.snapshotAt, a.retakes = startedAt, 0 }

// AllowSnapshotRetake reports whether a snapshot should be restarted because the endpoint list changed while it was
// taken, and counts the restart. After maxSnapshotRetakes it is sent as it is: each observation is valid on its own, and
// of two observations of one host the later counts.
func (a *Admission) AllowSnapshotRetake() bool {
	a.retakes++
	return a.retakes <= maxSnapshotRetakes
}
