package residency

// maxRemembered limits the hosts and the addresses that HostZones remembers: twice the largest endpoint list, so that
// hosts that have left are remembered too.
const maxRemembered = 40_000

// Host is an entry of the current endpoint list.
type Host struct {
	ID, Addr, Zone string
	ZoneConflict   bool // the sources of the list state different zones
	Removed        bool
}

// HostZones tracks which zone each host is in. A host is in no zone if its zone is unknown, differs between sources or
// has changed within the hold-down time. Zones are tracked by address too, so that a host that is renamed when it moves
// does not escape the hold-down. HostZones is not safe for concurrent use.
type HostZones struct {
	holdDown     int64
	byID         map[string]*zoneRecord
	byAddress    map[string]*zoneRecord
	nextEnd      int64 // when the first hold-down ends, as last computed
	nextEndDirty bool  // nextEnd has to be recomputed
}

// zoneRecord is what is known of a host or an address.
type zoneRecord struct {
	address    string // of a host
	zone       string // empty for none
	changedAt  int64  // when the zone last changed, 0 if it never did
	lastListed int64  // when the host was last in the list
	listed     bool   // the host is in the list; not kept for addresses
}

// NewHostZones returns an empty HostZones.
func NewHostZones(holdDown int64) *HostZones {
	return &HostZones{holdDown: holdDown, byID: map[string]*zoneRecord{}, byAddress: map[string]*zoneRecord{}, nextEnd: never}
}

// SetHoldDown sets how long a host is in no zone after its zone has changed.
func (h *HostZones) SetHoldDown(holdDown int64) {
	h.nextEndDirty = h.nextEndDirty || holdDown != h.holdDown
	h.holdDown = holdDown
}

// UpdateHosts records a complete endpoint list, or the entries of it that have changed.
func (h *HostZones) UpdateHosts(now int64, complete bool, hosts []Host) {
	var listedBefore map[string]bool
	if complete {
		listedBefore = h.clearListed()
	}
	for _, host := range hosts {
		if host.Removed {
			h.recordDeparture(now, host.ID)
		} else {
			h.recordHost(now, host)
		}
	}
	for id, listed := range listedBefore {
		if listed && !h.byID[id].listed {
			h.recordDeparture(now, id)
		}
	}
	if complete || len(h.byID) > maxRemembered || len(h.byAddress) > maxRemembered {
		h.evictDeparted(now)
	}
}

// clearListed marks all hosts as not listed, and returns which ones were.
func (h *HostZones) clearListed() map[string]bool {
	listed := make(map[string]bool, len(h.byID))
	for id, record := range h.byID {
		listed[id] = record.listed
		record.listed = false
	}
	return listed
}

func (h *HostZones) recordHost(now int64, host Host) {
	zone := host.Zone
	if host.ZoneConflict {
		zone = ""
	}
	record := h.recordZone(h.byID, host.ID, zone, now)
	record.address, record.listed = host.Addr, true
	h.recordZone(h.byAddress, host.Addr, zone, now)
}

func (h *HostZones) recordZone(records map[string]*zoneRecord, key, zone string, now int64) *zoneRecord {
	record := records[key]
	if record == nil {
		record = &zoneRecord{zone: zone}
		records[key] = record
	}
	if record.zone != zone {
		record.zone, record.changedAt = zone, now
		h.nextEndDirty = true
	}
	record.lastListed = now
	return record
}

// recordDeparture records that a host was in the list, and at its address, until now.
func (h *HostZones) recordDeparture(now int64, id string) {
	record := h.byID[id]
	if record == nil {
		return
	}
	record.listed, record.lastListed = false, now
	if atAddress := h.byAddress[record.address]; atAddress != nil {
		atAddress.lastListed = now
	}
}

// evictDeparted forgets hosts and addresses that have not been listed for longer than the hold-down. If too many are
// remembered, it forgets all that are not listed now.
func (h *HostZones) evictDeparted(now int64) {
	listedAddresses := make(map[string]bool, len(h.byID))
	for id, record := range h.byID {
		if record.listed {
			listedAddresses[record.address] = true
		} else if now-record.lastListed > h.holdDown || len(h.byID) > maxRemembered {
			delete(h.byID, id)
		}
	}
	for address, record := range h.byAddress {
		if !listedAddresses[address] && (now-record.lastListed > h.holdDown || len(h.byAddress) > maxRemembered) {
			delete(h.byAddress, address)
		}
	}
}

// Zone returns the zone that a host is in, empty for none.
func (h *HostZones) Zone(now int64, id string) string {
	record := h.byID[id]
	if record == nil || !record.listed || h.isHeldDown(now, record) {
		return ""
	}
	atAddress := h.byAddress[record.address]
	if atAddress == nil || atAddress.zone != record.zone || h.isHeldDown(now, atAddress) {
		return ""
	}
	return record.zone
}

func (h *HostZones) isHeldDown(now int64, record *zoneRecord) bool {
	return record.changedAt != 0 && now < record.changedAt+h.holdDown
}

// NextHoldDownEnd returns when the next hold-down of a host or an address ends, math.MaxInt64 if there is none.
func (h *HostZones) NextHoldDownEnd(now int64) int64 {
	if !h.nextEndDirty && now < h.nextEnd {
		return h.nextEnd
	}
	h.nextEnd, h.nextEndDirty = never, false
	for _, records := range []map[string]*zoneRecord{h.byID, h.byAddress} {
		for _, record := range records {
			if h.isHeldDown(now, record) {
				h.nextEnd = min(h.nextEnd, record.changedAt+h.holdDown)
			}
		}
	}
	return h.nextEnd
}
