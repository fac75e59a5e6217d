package endpoints

import "maps"

// withdraw applies what a rejected update of discovery withdraws: the hosts that it drains, removes or, if it is complete, leaves
// out. One host's invalid entry is no reason to send searches to another that must not get any. The update's version stays
// unknown, so discovery is expected to send it again. Rejected host files change nothing: what they say may be half written.
func (r *Registry) withdraw(now int64, update Update) (changed bool) {
	if update.Rank != RankDiscovery {
		return false
	}
	s := r.findOrAddSource(update.Source)
	if update.Version <= s.version && !update.VersionReset {
		return false
	}
	hostsBefore := s.hosts
	if s.version == noVersion && !s.isRestored {
		hostsBefore = r.planHosts()
	}
	hosts := withdrawnFrom(hostsBefore, update)
	if maps.Equal(hosts, hostsBefore) {
		return false
	}
	r.recordRemovals(now, s.name, hostsBefore, hosts)
	s.rank, s.hosts = update.Rank, hosts
	s.isRestored = s.version == noVersion
	return r.rebuildList()
}

// withdrawnFrom returns hosts without those that an update removes or leaves out, and with those draining that it drains.
func withdrawnFrom(hosts map[string]Host, update Update) map[string]Host {
	states := map[string]State{}
	for _, entry := range update.Hosts {
		states[entry.ID] = max(states[entry.ID], entry.State)
	}
	left := map[string]Host{}
	for id, host := range hosts {
		state, isListed := states[id]
		if state == StateRemoved || !isListed && !update.Partial {
			continue
		}
		if state == StateDraining {
			host.State = StateDraining
		}
		left[id] = host
	}
	return left
}
