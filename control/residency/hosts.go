package residency

// Host is an entry of the list in force.
type Host struct {
	ID, Addr, Zone string
	ZoneConflict   bool // sources put it into different zones
	Removed        bool
}

// HostZones knows in which zone each host is. A host whose zone is unknown, differs between sources or has changed of late
// is in none; so is one that stands at an address where another zone was, under whichever name. It is one goroutine's.
type HostZones struct {
	rest  int64
	ids   map[string]*stay
	at    map[string]*stay
	next  int64 // when the first rest is over, as reckoned last
	stale bool  // next is to be reckoned anew
}

// stay is what is known of an id or an address.
type stay struct {
	addr  string
	zone  string // empty for none
	since int64  // when it changed, 0 where it never did
	seen  int64  // until when it was listed, once it is not
	here  bool
}

// NewHostZones makes one that puts hosts whose zone has changed into none for rest.
func NewHostZones(rest int64) *HostZones {
	return &HostZones{rest: rest, ids: map[string]*stay{}, at: map[string]*stay{}, next: never}
}

// SetHoldDown puts another rest into force.
func (h *HostZones) SetHoldDown(rest int64) { h.stale, h.rest = h.stale || rest != h.rest, rest }

// UpdateHosts takes a whole list, or changes of it.
func (h *HostZones) UpdateHosts(now int64, whole bool, list []Host) {
	var before map[string]bool
	if whole {
		before = make(map[string]bool, len(h.ids))
		for id, s := range h.ids {
			before[id] = s.here
			s.here = false
		}
	}
	for _, host := range list {
		zone := host.Zone
		if host.ZoneConflict {
			zone = ""
		}
		if host.Removed {
			h.left(now, host.ID)
			continue
		}
		s := h.note(h.ids, host.ID, zone, now)
		s.addr, s.here = host.Addr, true
		h.note(h.at, host.Addr, zone, now)
	}
	for id, here := range before {
		if here && !h.ids[id].here {
			h.left(now, id)
		}
	}
	if whole || len(h.ids) > hostsMost || len(h.at) > hostsMost {
		h.forget(now)
	}
}

// left notes that a host was listed up to now, and something may have stood at its address.
func (h *HostZones) left(now int64, id string) {
	if s := h.ids[id]; s != nil {
		s.here, s.seen = false, now
		if a := h.at[s.addr]; a != nil {
			a.seen = now
		}
	}
}

func (h *HostZones) note(in map[string]*stay, key, zone string, now int64) *stay {
	s := in[key]
	if s == nil {
		s = &stay{zone: zone}
		in[key] = s
	}
	if s.zone != zone {
		s.zone, s.since, h.stale = zone, now, true
	}
	s.seen = now
	return s
}

// forget bounds what is remembered of hosts that have left: what has rested means nothing any more.
func (h *HostZones) forget(now int64) {
	listed := make(map[string]bool, len(h.ids))
	for id, s := range h.ids {
		if s.here {
			listed[s.addr] = true
		} else if now-s.seen > h.rest || len(h.ids) > hostsMost {
			delete(h.ids, id)
		}
	}
	for addr, s := range h.at {
		if !listed[addr] && (now-s.seen > h.rest || len(h.at) > hostsMost) {
			delete(h.at, addr)
		}
	}
}

// Zone is the zone that a host is in, empty for none.
func (h *HostZones) Zone(now int64, id string) string {
	s := h.ids[id]
	if s == nil || !s.here || h.rests(now, s) {
		return ""
	}
	if a := h.at[s.addr]; a == nil || a.zone != s.zone || h.rests(now, a) {
		return ""
	}
	return s.zone
}

func (h *HostZones) rests(now int64, s *stay) bool { return s.since != 0 && now < s.since+h.rest }

// NextHoldDownEnd is when some host's rest is over; never where none rests.
func (h *HostZones) NextHoldDownEnd(now int64) int64 {
	if !h.stale && now < h.next {
		return h.next
	}
	h.next, h.stale = never, false
	for _, in := range []map[string]*stay{h.ids, h.at} {
		for _, s := range in {
			if h.rests(now, s) {
				h.next = min(h.next, s.since+h.rest)
			}
		}
	}
	return h.next
}
