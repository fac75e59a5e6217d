package endpoints

import (
	"maps"
	"slices"
)

// The names of sources that each coordinator has. All others are host files.
const (
	SourcePlan      = "plan"
	SourceDiscovery = "discovery"
	SourceStore     = "store" // of what an earlier run stored without saying which sources listed it
)

// Origin is which sources listed a host of a stored list, and which of them as draining.
type Origin struct{ ListedBy, DrainedBy []string }

// restoreLists takes apart what an earlier run stored: each source gets its list of that run back, until it sends one itself.
// What that one leaves out is removed then, just as if this process had run all the time, and what the source drained goes on
// draining. The hosts of a store without origins stay in a source of the store's own.
func (r *Registry) restoreLists(now int64, store *source, update Update) {
	lists := map[string]map[string]Host{}
	if update.DiscoveryHadAnswered {
		lists[SourceDiscovery] = map[string]Host{}
	}
	for _, host := range update.Hosts {
		origin, isKnown := update.Origins[host.ID]
		if !isKnown {
			store.hosts[host.ID] = host
			continue
		}
		for _, name := range origin.ListedBy {
			if lists[name] == nil {
				lists[name] = map[string]Host{}
			}
			listed := host
			listed.State = StateUp
			if slices.Contains(origin.DrainedBy, name) {
				listed.State = StateDraining
			}
			lists[name][host.ID] = listed
		}
	}
	maps.Copy(store.hosts, lists[SourceStore])
	delete(lists, SourceStore)
	delete(lists, SourcePlan) // this run has its own
	for _, name := range slices.Sorted(maps.Keys(lists)) {
		r.restoreList(now, name, lists[name])
	}
	store.version = update.Version
	r.adoptRemovals(now, update.Removals)
}

// restoreList gives a source its list of an earlier run. If it has sent one in this run already, what that one leaves out is
// removed.
func (r *Registry) restoreList(now int64, name string, hosts map[string]Host) {
	s := r.findOrAddSource(name)
	if s.version != noVersion {
		r.recordRemovals(now, name, hosts, s.hosts)
		return
	}
	s.hosts, s.isRestored = hosts, true
	s.rank = RankFile
	if name == SourceDiscovery {
		s.rank = RankDiscovery
	}
}

// replacesPlan reports whether a source has a later list of discovery than the plan.
func (s *source) replacesPlan() bool {
	return s.rank == RankStore && len(s.hosts) > 0 || s.rank == RankDiscovery && s.isRestored
}

// KeepFiles returns the update of a store without what host files have said that are no source any more: an operator has taken
// them out of the installation.
func (u Update) KeepFiles(isFile func(name string) bool) Update {
	isKept := func(name string) bool {
		return slices.Contains([]string{SourcePlan, SourceDiscovery, SourceStore}, name) || isFile(name)
	}
	origins := map[string]Origin{}
	var hosts []Host
	for _, host := range u.Hosts {
		origin, isKnown := u.Origins[host.ID]
		if isKnown {
			origin = Origin{keepNames(origin.ListedBy, isKept), keepNames(origin.DrainedBy, isKept)}
			origins[host.ID] = origin
		}
		if !isKnown || len(origin.ListedBy) > 0 {
			hosts = append(hosts, host)
		}
	}
	u.Hosts, u.Origins = hosts, origins
	u.Removals = slices.DeleteFunc(slices.Clone(u.Removals), func(removed Removal) bool { return !isKept(removed.RemovedBy) })
	return u
}

func keepNames(names []string, isKept func(name string) bool) []string {
	return slices.DeleteFunc(slices.Clone(names), func(name string) bool { return !isKept(name) })
}
