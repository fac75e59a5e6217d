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
	hosts   map[string]Host // by id

	held       *Update // the update that is held back, nil if there is none
	heldUntil  int64
	heldReason string
	retireAt   int64 // when the source is removed, 0 for never
}

// Registry keeps the hosts of all sources and the merged list. Its methods are not safe for concurrent use.
type Registry struct {
	rules      Rules
	sources    map[string]*source // by name
	removals   map[string]removal // by host id
	list       map[string]Endpoint
	generation int64
}

// NewRegistry returns a registry without sources.
func NewRegistry(rules Rules) *Registry {
	return &Registry{rules: rules, sources: map[string]*source{}, removals: map[string]removal{}, list: map[string]Endpoint{}}
}

// Generation returns how often the merged list has changed.
func (r *Registry) Generation() int64 { return r.generation }

// List returns the merged list, sorted by id.
func (r *Registry) List() []Endpoint {
	list := slices.Collect(maps.Values(r.list))
	slices.SortFunc(list, func(a, b Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

// Apply accepts a source's update as a whole, or rejects it with an InvalidListError, and reports whether the merged list
// has changed. An update whose version is not above the source's last one changes nothing; one that the guards hold back is
// accepted later by Tick.
func (r *Registry) Apply(now int64, update Update) (changed bool, err error) {
	if err := r.validate(update); err != nil {
		return false, err
	}
	s := r.findOrAddSource(update.Source)
	if update.Version <= s.version && !update.VersionReset {
		return false, nil
	}
	if update.VersionReset && update.Partial {
		return false, InvalidListError{Source: update.Source, Reason: "a version reset needs a complete list, not a partial update"}
	}
	s.rank = update.Rank
	if update.Partial && s.held != nil { // the partial update's changes refer to the held update
		update = mergeIntoHeld(s, update)
	}
	if reason := r.holdBackReason(s, update); reason != "" && !update.Confirmed {
		s.holdBack(now, update, reason)
		return r.Tick(now), nil
	}
	s.held = nil
	r.accept(now, s, update)
	changed = r.rebuildList(now)
	mayRetireStores := update.Rank == RankDiscovery || update.Rank == RankStore
	if mayRetireStores && r.hasDiscoveryUpdate() && r.retireStores(now) {
		changed = r.rebuildList(now) || changed
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
func (r *Registry) RemoveSource(now int64, name string) (changed bool) {
	delete(r.sources, name)
	return r.rebuildList(now)
}

// Tick accepts updates that have been held back long enough, and drops expired removals and retired sources. It reports
// whether the merged list has changed.
func (r *Registry) Tick(now int64) (changed bool) {
	for _, name := range slices.Sorted(maps.Keys(r.sources)) {
		if s := r.sources[name]; s.held != nil && now >= s.heldUntil {
			update := *s.held
			s.held = nil
			r.accept(now, s, update)
		} else if s.retireAt > 0 && now >= s.retireAt {
			delete(r.sources, name)
		}
	}
	return r.rebuildList(now)
}

// NextTick returns the time of the next Tick that has something to do, 0 for never.
func (r *Registry) NextTick() (next int64) {
	consider := func(at int64) {
		if next == 0 || at < next {
			next = at
		}
	}
	for _, s := range r.sources {
		if s.held != nil {
			consider(s.heldUntil)
		}
		if s.retireAt > 0 {
			consider(s.retireAt)
		}
	}
	for _, removed := range r.removals {
		consider(removed.at + removalMemory)
	}
	return next
}

// accept applies an update to its source.
func (r *Registry) accept(now int64, s *source, update Update) {
	hosts := s.hostsAfter(update)
	r.recordRemovals(now, s, hosts)
	s.hosts, s.version = hosts, update.Version
	r.adoptRemovals(now, update.Removals)
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

func (r *Registry) hasDiscoveryUpdate() bool {
	for _, s := range r.sources {
		if s.rank == RankDiscovery && s.version != noVersion {
			return true
		}
	}
	return false
}

// retireStores removes the sources of RankStore once discovery has sent a list, since hosts that only an earlier run knew
// are outdated, and reports whether it removed any. If many hosts would be dropped with such a source, discovery's first
// list may be truncated, so the source stays for holdBackTime.
func (r *Registry) retireStores(now int64) (removed bool) {
	for name, s := range r.sources {
		if s.rank != RankStore || s.retireAt > 0 {
			continue
		}
		onlyInStore := 0
		for _, endpoint := range r.list {
			if endpoint.Source == name {
				onlyInStore++
			}
		}
		if dropsTooMany(onlyInStore, len(r.list)) {
			s.retireAt = now + holdBackTime
			continue
		}
		delete(r.sources, name)
		removed = true
	}
	return removed
}
