package endpoints

import (
	"cmp"
	"maps"
	"slices"
)

// rebuildList merges the hosts of all sources and reports whether the merged list has changed.
func (r *Registry) rebuildList() (changed bool) {
	m := merger{list: map[string]Endpoint{}, idsByAddr: map[string]string{}}
	for _, s := range r.sourcesByPrecedence() {
		for _, id := range slices.Sorted(maps.Keys(s.hosts)) {
			if !r.isRemoved(id) {
				m.add(s.name, s.hosts[id])
			}
		}
	}
	changed = !maps.EqualFunc(m.list, r.list, equalEndpoints)
	r.list = m.list
	if changed {
		r.generation++
	}
	return changed
}

// sourcesByPrecedence returns the sources, the highest rank first, and by name within a rank. The plan is left out while an
// earlier run's later list is in use.
func (r *Registry) sourcesByPrecedence() []*source {
	sorted := slices.SortedFunc(maps.Values(r.sources), func(a, b *source) int {
		return cmp.Or(cmp.Compare(b.rank, a.rank), cmp.Compare(a.name, b.name))
	})
	if slices.ContainsFunc(sorted, (*source).replacesPlan) {
		sorted = slices.DeleteFunc(sorted, func(s *source) bool { return s.rank == RankPlan })
	}
	return sorted
}

// merger builds the merged list from hosts that are added in the order of their sources' precedence.
type merger struct {
	list      map[string]Endpoint
	idsByAddr map[string]string
}

func (m *merger) add(sourceName string, host Host) {
	endpoint, isListed := m.list[host.ID]
	if !isListed {
		if otherID, isTaken := m.idsByAddr[host.Addr]; isTaken && otherID != host.ID {
			m.markZoneConflict(otherID, host)
			return // a source of higher precedence has this address under another id
		}
		m.idsByAddr[host.Addr] = host.ID
		endpoint = Endpoint{Host: host, Source: sourceName}
	}
	endpoint.ListedBy = append(endpoint.ListedBy, sourceName)
	if host.Zone != "" && endpoint.Zone != host.Zone {
		endpoint.ZoneConflict = true
	}
	endpoint.StartedMS = max(endpoint.StartedMS, host.StartedMS)
	if host.State == StateDraining {
		endpoint.State = StateDraining
		endpoint.DrainedBy = append(endpoint.DrainedBy, sourceName)
	}
	m.list[host.ID] = endpoint
}

// markZoneConflict marks the endpoint with this id, which has the same address as host, if host is listed in another zone.
func (m *merger) markZoneConflict(id string, host Host) {
	endpoint := m.list[id]
	if host.Zone != "" && endpoint.Zone != host.Zone {
		endpoint.ZoneConflict = true
		m.list[id] = endpoint
	}
}

// equal reports whether two entries are equal, regardless of their positions in files.
func (h Host) equal(other Host) bool {
	h.Line, h.Column, other.Line, other.Column = 0, 0, 0, 0
	return h == other
}

// equalEndpoints reports whether two endpoints are equal, regardless of their positions in files.
func equalEndpoints(a, b Endpoint) bool {
	return a.equal(b.Host) && a.Source == b.Source && a.ZoneConflict == b.ZoneConflict &&
		slices.Equal(a.ListedBy, b.ListedBy) && slices.Equal(a.DrainedBy, b.DrainedBy)
}
