package recovery

import "chalkring/endpoints"

const (
	maxListAgeMs = 7 * 24 * 3_600_000 // plans are replaced more often: an older list belongs to another plan
	tenthsPerMs  = 10                 // package endpoints counts ages in tenths of a millisecond
)

// EndpointList is the stored form of the current endpoint list.
type EndpointList struct {
	_                struct{} `cbor:",toarray"`
	SavedAt          int64    // Unix milliseconds
	PlanVersion      int64    // version of the plan's own list in that run
	DiscoveryVersion int64    // newest version that discovery had sent
	Hosts            []Host
	Removals         []Removal
}

// Host is the stored form of endpoints.Endpoint. Lists that earlier versions stored do not say which sources list a host.
type Host struct {
	endpoints.Host
	ListedBy  []string `cbor:"ListedBy,omitempty"`
	DrainedBy []string `cbor:"DrainedBy,omitempty"`
}

// Removal is the stored form of endpoints.Removal, with a time instead of an age.
type Removal struct {
	_             struct{} `cbor:",toarray"`
	ID, RemovedBy string
	StartedMS     int64 // start of the host's removed incarnation, Unix milliseconds
	RemovedAt     int64 // Unix milliseconds
}

// NewEndpointList returns the stored form of a list. It omits the hosts' positions in host files.
func NewEndpointList(now, planVersion, discoveryVersion int64, entries []endpoints.Endpoint, removals []endpoints.Removal) EndpointList {
	list := EndpointList{SavedAt: now, PlanVersion: planVersion, DiscoveryVersion: discoveryVersion}
	for _, entry := range entries {
		entry.Line, entry.Column = 0, 0
		list.Hosts = append(list.Hosts, Host{Host: entry.Host, ListedBy: entry.ListedBy, DrainedBy: entry.DrainedBy})
	}
	for _, removal := range removals {
		list.Removals = append(list.Removals, Removal{
			ID: removal.ID, RemovedBy: removal.RemovedBy, StartedMS: removal.StartedMS,
			RemovedAt: now - removal.Age/tenthsPerMs,
		})
	}
	return list
}

// toUpdate returns the list as an update from the source SourceName. A removal whose time is in the future, because the
// clock was set back, gets age 0.
func (l *EndpointList) toUpdate(now int64) *endpoints.Update {
	update := &endpoints.Update{
		Source: SourceName, Rank: endpoints.RankStore, Version: 1, Confirmed: true,
		Origins: map[string]endpoints.Origin{}, DiscoveryHadAnswered: l.DiscoveryVersion != l.PlanVersion,
	}
	for _, host := range l.Hosts {
		update.Hosts = append(update.Hosts, host.Host)
		if len(host.ListedBy) > 0 {
			update.Origins[host.ID] = endpoints.Origin{ListedBy: host.ListedBy, DrainedBy: host.DrainedBy}
		}
	}
	for _, removal := range l.Removals {
		update.Removals = append(update.Removals, endpoints.Removal{
			ID: removal.ID, RemovedBy: removal.RemovedBy, StartedMS: removal.StartedMS,
			Age: max(0, now-removal.RemovedAt) * tenthsPerMs,
		})
	}
	return update
}
