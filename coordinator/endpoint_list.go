package coordinator

import (
	"slices"

	"chalkring/config/settings"
	"chalkring/coordinator/plan"
	"chalkring/endpoints"
)

// balancerStates are the balancer's names for the states of hosts.
var balancerStates = map[endpoints.State]string{
	endpoints.StateUp: "healthy", endpoints.StateDraining: "cordoned", endpoints.StateRemoved: "deregistered",
}

// applyEndpointList makes a list, or changes to it, the current list; how is Complete, Partial or Persisted.
func (loop *eventLoop) applyEndpointList(how string, list plan.EndpointList) {
	present := map[string]bool{}
	steps := make([]func(), 0, len(list.Hosts))
	for _, host := range list.Hosts {
		zone, kind := loop.settingPosition("FailureDomains", host.Zone), loop.settingPosition("MachineTypes", host.Kind)
		present[host.ID] = !host.Removed
		steps = append(steps, func() {
			loop.placeReplica(host.ID, host.Addr, host.Kind, host.StartedTicks, host.Removed, host.State == endpoints.StateDraining)
			loop.balancer.AddEndpoint(host.ID, zone, kind, host.Cell, balancerStates[host.State], host.ListedWeight, host.StartedTicks)
		})
	}
	loop.commitEndpointList(how, int64(list.Version), list.Hosts, present, steps)
}

// commitEndpointList applies a list or changes in one iteration: steps apply the entries, and unless how is Partial,
// all replicas whose host ID is not in present are removed.
func (loop *eventLoop) commitEndpointList(how string, version int64, hosts []plan.ListedHost, present map[string]bool, steps []func()) {
	for _, step := range steps {
		step()
	}
	if how != "Partial" {
		for hostID := range loop.replicas.byID {
			if !present[hostID] {
				loop.placeReplica(hostID, "", "", 0, true, false)
			}
		}
	}
	loop.hasEndpoints = loop.hasEndpoints || len(loop.replicas.byID) > 0
	if loop.enforcer != nil {
		loop.enforcer.updateHosts(how, hosts)
	}
	if loop.balancer.CommitEndpoints(how, version); loop.enforcer != nil {
		loop.enforcer.restrictAll()
	}
	loop.log.Info("list", "how", how, "version", version, "entries", len(hosts))
}

// notifyEndpointList passes a list or changes to the components outside the event loop that keep their own copy of
// what they need from it.
func (loop *eventLoop) notifyEndpointList(full bool, version int64, hosts []plan.ListedHost) {
	if loop.peers != nil {
		loop.peers.updateHosts(full, version, hosts)
	}
	if loop.searchAPI != nil {
		loop.searchAPI.updateHosts(full, hosts)
	}
}

// settingPosition returns the position of a name in a list setting; the length of the list if the name is not in it.
func (loop *eventLoop) settingPosition(list, name string) int {
	names := loop.plan.List(list)
	if i := slices.Index(names, settings.FormatValue(name)); i >= 0 {
		return i
	}
	return len(names)
}
