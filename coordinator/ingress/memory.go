package ingress

// FreeBytes is how much each connection may hold whatever the others hold: enough for a usual request.
const FreeBytes = 4 << 10

// Memory is the memory that all clients' requests may take together. Each connection holds a Holding of it. A connection
// that needs more than is left takes the place of the one whose unfinished request holds most, if that is not itself.
type Memory struct {
	limit    int
	used     int // beyond FreeBytes of each holding
	large    map[*Holding]bool
	sequence int64
}

// Holding is what one connection holds.
type Holding struct {
	bytes int
	order int64 // of the reservation that took it beyond FreeBytes

	// Evict, if it is set, is called when the connection has to give up its request, which is still arriving. What it
	// holds counts as free from then on.
	Evict   func()
	evicted bool
}

// NewMemory returns memory of so many bytes beyond FreeBytes of each connection.
func NewMemory(limit int) *Memory {
	return &Memory{limit: limit, large: map[*Holding]bool{}}
}

// SetLimit changes the limit; what is held stays held.
func (m *Memory) SetLimit(limit int) { m.limit = limit }

// excess returns how much of a number of bytes counts against the limit.
func excess(bytes int) int { return max(0, bytes-FreeBytes) }

// Reserve adds to what a connection holds. It returns false, and changes nothing, if there is no room.
func (m *Memory) Reserve(holding *Holding, bytes int) bool {
	if holding.evicted {
		return false
	}
	more := excess(holding.bytes+bytes) - excess(holding.bytes)
	for m.used+more > m.limit && more > 0 {
		largest := m.largestEvictable(holding)
		if largest == nil || largest.bytes <= holding.bytes+bytes {
			return false
		}
		m.evict(largest)
	}
	m.used += more
	holding.bytes += bytes
	m.noteLarge(holding)
	return true
}

// noteLarge records a connection that holds more than FreeBytes.
func (m *Memory) noteLarge(holding *Holding) {
	if excess(holding.bytes) > 0 && !m.large[holding] {
		m.sequence++
		holding.order = m.sequence
		m.large[holding] = true
	}
}

// Complete records that a connection's request has arrived completely: it cannot be evicted any more, and stays if it was
// asked to make room just before.
func (m *Memory) Complete(holding *Holding) {
	holding.Evict = nil
	if holding.evicted {
		holding.evicted = false
		m.used += excess(holding.bytes)
		m.noteLarge(holding)
	}
}

// Release takes from what a connection holds.
func (m *Memory) Release(holding *Holding, bytes int) {
	if !holding.evicted {
		m.used -= excess(holding.bytes) - excess(holding.bytes-bytes)
	}
	holding.bytes -= bytes
	if excess(holding.bytes) == 0 {
		delete(m.large, holding)
	}
}

// largestEvictable returns the connection other than the given one that holds most and can be evicted, the first of equal
// ones, or nil.
func (m *Memory) largestEvictable(except *Holding) (largest *Holding) {
	for holding := range m.large {
		if holding == except || holding.Evict == nil {
			continue
		}
		if largest == nil || holding.bytes > largest.bytes || holding.bytes == largest.bytes && holding.order < largest.order {
			largest = holding
		}
	}
	return largest
}

// evict makes a connection give up what it holds.
func (m *Memory) evict(holding *Holding) {
	m.used -= excess(holding.bytes)
	holding.evicted = true
	delete(m.large, holding)
	holding.Evict()
}
