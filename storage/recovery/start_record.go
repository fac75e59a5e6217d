package recovery

const (
	crashLoopWindowMs = 60_000 // starts without a planned stop within this time count as a crash loop
	// From crashLoopStarts starts in the window on, less is trusted. Two may be a kill that came soon after a start by chance.
	crashLoopStarts     = 3
	maxRememberedStarts = 16
)

// TrustLevel is how much of the stored state is trusted. Each level trusts less than the one before.
type TrustLevel int

// The trust levels.
const (
	TrustAll                 TrustLevel = iota
	TrustWithoutObservations            // observations of hosts are discarded
	TrustWithoutEndpoints               // the endpoint list is discarded as well
	TrustNothing                        // the caller quarantines the whole store
)

// String returns the level's name in events and log lines.
func (l TrustLevel) String() string {
	return [...]string{"all", "no_notes", "no_list", "nothing"}[l]
}

// StartRecord remembers recent starts. It is written before any other stored state is used, so that a start is
// counted even if that state makes it crash.
type StartRecord struct {
	_                struct{} `cbor:",toarray"`
	RecentStarts     []int64  // Unix milliseconds of starts that no planned stop followed
	StoreQuarantined bool     // the store has been quarantined in the current crash loop
}

// RecordStart adds a start and returns how much of the stored state is trusted. The caller must have written the new
// record to disk before it uses that state. TrustNothing is returned at most once in a crash loop, and only if the store is
// exclusive to this process: a shared store may have the only copy of other users' state.
func (s StartRecord) RecordStart(now int64, exclusive bool) (StartRecord, TrustLevel) {
	next := StartRecord{StoreQuarantined: s.StoreQuarantined}
	for _, startedAt := range s.RecentStarts {
		startedAt = min(startedAt, now) // a start in the future means that the clock was set back: it counts as just now
		if now-startedAt < crashLoopWindowMs {
			next.RecentStarts = append(next.RecentStarts, startedAt)
		}
	}
	if len(next.RecentStarts) == 0 {
		next.StoreQuarantined = false
	}
	next.RecentStarts = append(next.RecentStarts, now)
	next.RecentStarts = next.RecentStarts[max(0, len(next.RecentStarts)-maxRememberedStarts):]
	level := trustAfterStarts(len(next.RecentStarts))
	if level == TrustNothing {
		// After a quarantine in this loop, the store has only state from this loop: a second one would gain nothing.
		if next.StoreQuarantined || !exclusive {
			return next, TrustWithoutEndpoints
		}
		next.StoreQuarantined = true
	}
	return next, level
}

// trustAfterStarts lowers the trust by one level for each start from crashLoopStarts on.
func trustAfterStarts(starts int) TrustLevel {
	return min(TrustNothing, max(TrustAll, TrustLevel(starts-crashLoopStarts+1)))
}

// RecordPlannedStop returns the record after a planned stop, which ends a crash loop.
func (s StartRecord) RecordPlannedStop() StartRecord { return StartRecord{} }
