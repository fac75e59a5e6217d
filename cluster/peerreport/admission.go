package peerreport

const (
	// maxConcurrentReplies bounds the peers answered at once: each costs a buffer and a writing goroutine.
	maxConcurrentReplies = 2
	// minPeerInterval is the wait between two answers to one peer: one that polls without pause does not crowd out others.
	minPeerInterval = second
	// maxRememberedPeers bounds the peers remembered for that; beyond it the oldest is forgotten.
	maxRememberedPeers = 256
	// deferralInterval is the time between two waits that are given out, so that deferred peers come back one by one;
	// four answers a second cost next to nothing.
	deferralInterval = second / 4
	// maxDeferralAhead is the longest wait given out; further peers get the same.
	maxDeferralAhead = 30 * second
	// maxServingLoad is the share of its time for which the event loop is busy beyond which nobody is answered: searches
	// go first.
	maxServingLoad = 0.7
	// minOverloadDeferral is the shortest wait given out beyond that load.
	minOverloadDeferral = 2 * second
	// snapshotLifetime is the age up to which a snapshot is sent again: the event loop takes few, however many poll.
	snapshotLifetime = second / 2
	// maxSnapshotRetakes bounds how often a snapshot is begun again because the endpoint list has changed meanwhile.
	maxSnapshotRetakes = 3
)

// Admission decides which polling peers are answered: few at once, each only now and then, none while searches need
// the event loop. The others are told when to come back, at times given out one after another. It keeps fifty instances
// that restart together from overloading the one that they poll. An Admission is not safe for concurrent use.
type Admission struct {
	Admitted int // polls answered so far
	Deferred int // polls deferred so far

	load           float64
	serving        int
	lastDeferredTo int64            // the latest time given out
	lastAdmittedAt map[string]int64 // by peer
	admittedOrder  []string         // peers in lastAdmittedAt, in the order in which they were first admitted

	snapshotAt int64 // when the newest snapshot was begun; 0 for none
	retakes    int   // of the snapshot being taken
}

// NewAdmission returns an Admission that has admitted nobody yet.
func NewAdmission() *Admission { return &Admission{lastAdmittedAt: map[string]int64{}} }

// SetLoad records the share of its time, 0 to 1, for which the event loop is busy.
func (a *Admission) SetLoad(share float64) { a.load = share }

// Admit reports whether a peer is answered now, or else the wait after which it should poll again. Each admitted poll is
// ended by Release.
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

// nextDeferral gives out the next free time to come back, as a wait.
func (a *Admission) nextDeferral(now int64) int64 {
	a.lastDeferredTo = min(max(a.lastDeferredTo, now)+deferralInterval, now+maxDeferralAhead)
	return a.lastDeferredTo - now
}

// Release records that an admitted poll has been answered or has broken off.
func (a *Admission) Release() { a.serving = max(0, a.serving-1) }

// IsSnapshotFresh reports whether the newest snapshot may be sent once more.
func (a *Admission) IsSnapshotFresh(now int64) bool {
	return a.snapshotAt > 0 && now-a.snapshotAt < snapshotLifetime
}

// RecordSnapshot records that a snapshot which was begun at startedAt is complete.
func (a *Admission) RecordSnapshot(startedAt int64) { a.snapshotAt, a.retakes = startedAt, 0 }

// AllowSnapshotRetake reports whether a snapshot should be begun again because the endpoint list changed while it was
// taken, and counts that. After maxSnapshotRetakes it is sent as it is: each observation stands by itself, and of two
// observations of one host the later counts.
func (a *Admission) AllowSnapshotRetake() bool {
	a.retakes++
	return a.retakes <= maxSnapshotRetakes
}
