package coordinator

import "hash/maphash"

const maxRecentNames = 8192 // a minute of searches at the usual rates; takes a few hundred KB

// recentNames remembers the names of the last searches that may have run without an answer to their clients, as hashes. Its zero value remembers
// none. Only the event loop uses it.
type recentNames struct {
	seed   maphash.Seed
	known  map[uint64]bool
	order  []uint64 // the same hashes; once there are maxRecentNames, the oldest is at oldest
	oldest int
}

// has reports whether a name is remembered.
func (n *recentNames) has(name string) bool {
	return n.known != nil && n.known[maphash.String(n.seed, name)]
}

// add remembers a name, in place of the oldest one if there are too many.
func (n *recentNames) add(name string) {
	if n.known == nil {
		n.seed, n.known = maphash.MakeSeed(), map[uint64]bool{}
	}
	hash := maphash.String(n.seed, name)
	if n.known[hash] {
		return
	}
	n.known[hash] = true
	if len(n.order) < maxRecentNames {
		n.order = append(n.order, hash)
		return
	}
	delete(n.known, n.order[n.oldest])
	n.order[n.oldest] = hash
	n.oldest = (n.oldest + 1) % maxRecentNames
}

// rememberName remembers the name of a search that ends without an answer, if it may have run: another search of that name
// would run a second time.
func (loop *eventLoop) rememberName(search *search) {
	if search.mayHaveRun() {
		loop.searches.recent.add(search.name)
	}
}

// mayHaveRun reports whether an attempt of the search may have run at a replica.
func (s *search) mayHaveRun() bool {
	for _, request := range s.shardRequests {
		for _, attempt := range request.attempts {
			if !attempt.neverRan {
				return true
			}
		}
	}
	return false
}
