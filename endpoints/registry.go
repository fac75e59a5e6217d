package endpoints

import (
	"cmp"
	"maps"
	"math"
	"slices"
)

// noVersion is the version of a source of which no update has been accepted.
const noVersion = math.MinInt64

// source is the state of one source.
type source struct {
	name    string
	rank    Rank
	version int64
	hosts   map[string]Host // by id; without removed ones
	removed map[string]bool // ids of the hosts that its last complete list has as removed

	isRestored bool // hosts is its list of an earlier run
}

// Registry keeps the hosts of all sources and the merged list. Its methods are not safe for concurrent use.
type Registry struct {
	rules      Rules
	sources    map[string]*source            // by name
	removals   map[string]map[string]removal // by host id and source
	list       map[string]Endpoint
	generation int64
	warning    string // about the last accepted update
}

// NewRegistry returns a registry without sources.
func NewRegistry(rules Rules) *Registry {
	return &Registry{rules: rules, sources: map[string]*source{}, removals: map[string]map[string]removal{}, list: map[string]Endpoint{}}
}

// Generation returns how often the merged list has changed.
func (r *Registry) Generation() int64 { return r.generation }

// List returns the merged list, sorted by id.
func (r *Registry) List() []Endpoint {
	list := slices.Collect(maps.Values(r.list))
	slices.SortFunc(list, func(a, b Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

// Warning returns what is suspicious about the update that Apply accepted last, empty if nothing is.
func (r *Registry) Warning() string { return r.warning }

// Apply accepts a source's update as a whole, or rejects it with an InvalidListError, and reports whether the merged list
// has changed. An update whose version is not above the source's last one changes nothing. Of a rejected update of discovery
// only what it withdraws counts. Whatever an accepted update drops or drains is out of use at once, however much it is: Warning
// says what an operator should know about it.
func (r *Registry) Apply(now int64, update Update) (changed bool, err error) {
	r.warning = ""
	if err := r.validate(update); err != nil {
		return r.withdraw(now, update), err
	}
	s := r.findOrAddSource(update.Source)
	if update.Version <= s.version && !update.VersionReset {
		return false, nil
	}
	if update.VersionReset && update.Partial {
		return false, InvalidListError{Source: update.Source, Reason: "a version reset needs a complete list, not a partial update"}
	}
	r.expireRemovals(now)
	s.rank = update.Rank
	uncoveredBefore := r.UncoveredSets()
	hostsBefore := r.accept(now, s, update)
	r.removeOutdatedSources(now)
	changed = r.rebuildList()
	if !update.Confirmed {
		r.warning = r.dropWarning(hostsBefore, s.hosts, uncoveredBefore)
	}
	return changed, nil
}

func (r *Registry) findOrAddSource(name string) *source {
	s := r.sources[name]
	if s == nil {
		s = &source{name: name, version: noVersion, hosts: map[string]Host{}}
		r.sources[name] = s
	}
	return s
}

// RemoveSource removes a source permanently, such as a file that an operator has deleted on purpose. Without this call,
// the last list of a source that no longer answers remains in use.
func (r *Registry) RemoveSource(name string) (changed bool) {
	delete(r.sources, name)
	return r.rebuildList()
}

// accept applies an update to its source, and returns the hosts that the source had.
func (r *Registry) accept(now int64, s *source, update Update) (hostsBefore map[string]Host) {
	if update.Rank == RankStore {
		r.restoreLists(now, s, update)
		return nil
	}
	hostsBefore = s.hosts
	if s.rank == RankDiscovery && s.version == noVersion {
		restored := s.hosts
		s.hosts = r.planHosts() // discovery's first changes are changes of them
		hostsBefore = maps.Clone(s.hosts)
		maps.Copy(hostsBefore, restored)
	}
	hosts := s.hostsAfter(update)
	if !update.Partial {
		s.removed = removedIDs(update.Hosts)
	}
	r.recordRemovals(now, s.name, hostsBefore, hosts)
	r.revokeRemovals(now, s, hosts)
	s.hosts, s.version, s.isRestored = hosts, update.Version, false
	r.adoptRemovals(now, update.Removals)
	return hostsBefore
}

func removedIDs(hosts []Host) map[string]bool {
	ids := map[string]bool{}
	for _, host := range hosts {
		if host.State == StateRemoved {
			ids[host.ID] = true
		}
	}
	return ids
}

// hostsAfter returns the hosts that the source would have after an update.
func (s *source) hostsAfter(update Update) map[string]Host {
	hosts := map[string]Host{}
	if update.Partial {
		maps.Copy(hosts, s.hosts)
	}
	for _, host := range update.Hosts {
		hosts[host.ID] = host
	}
	return hosts
}

// planHosts returns the hosts of the plan: discovery's list when the plan was written.
func (r *Registry) planHosts() map[string]Host {
	hosts := map[string]Host{}
	for _, s := range r.sources {
		if s.rank == RankPlan {
			maps.Copy(hosts, s.hosts)
		}
	}
	return hosts
}

// removeOutdatedSources removes the plan and the store once discovery has sent a list: both knew only its earlier ones. Hosts
// of a plan that arrives later are removed if discovery does not list them, too.
func (r *Registry) removeOutdatedSources(now int64) {
	discovery := r.discovery()
	if discovery == nil {
		return
	}
	for name, s := range r.sources {
		if s.rank >= RankDiscovery {
			continue
		}
		if s.rank == RankPlan {
			r.recordRemovals(now, discovery.name, s.hosts, discovery.hosts)
		}
		r.forgetRemovalsBy(name)
		delete(r.sources, name)
	}
}

// discovery returns the source of RankDiscovery, nil before its first update.
func (r *Registry) discovery() *source {
	for _, s := range r.sources {
		if s.rank == RankDiscovery && s.version != noVersion {
			return s
		}
	}
	return nil
}
