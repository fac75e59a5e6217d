package coordinator

import (
	"slices"

	"chalkring/config/settings"
	"chalkring/coordinator/plan"
	"chalkring/endpoints"
)

// moduleStates are the balancer's names for the states of hosts.
var moduleStates = map[endpoints.State]string{
	endpoints.StateUp: "healthy", endpoints.StateDraining: "cordoned", endpoints.StateRemoved: "deregistered",
}

// applyEndpointList puts a list, or changes of it, into force; how is Complete, Partial or Persisted.
func (loop *eventLoop) applyEndpointList(how string, list plan.EndpointList) {
	present := map[string]bool{}
	steps := make([]func(), 0, len(list.Hosts))
	for _, host := range list.Hosts {
		zone, kind := loop.settingPosition("FailureDomains", host.Zone), loop.settingPosition("MachineTypes", host.Kind)
		present[host.ID] = !host.Removed
		steps = append(steps, func() {
			loop.placeReplica(host.ID, host.Addr, host.Kind, host.StartedTicks, host.Removed, host.State == endpoints.StateDraining)
			loop.balancer.AddEndpoint(host.ID, zone, kind, host.Cell, moduleStates[host.State], host.ListedWeight, host.StartedTicks)
		})
	}
	loop.putListInForce(how, int64(list.Version), list.Hosts, present, steps)
}

// putListInForce applies a list or changes in one iteration: steps add its hosts, and hosts that are not present leave
// unless how is Partial.
func (loop *eventLoop) putListInForce(how string, version int64, hosts []plan.ListedHost, present map[string]bool, steps []func()) {
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

// notifyEndpointList passes a list or changes to those that keep what they need of it beside the event loop.
func (loop *eventLoop) notifyEndpointList(full bool, version int64, hosts []plan.ListedHost) {
	if loop.peers != nil {
		loop.peers.updateHosts(full, version, hosts)
	}
	if loop.searchAPI != nil {
		loop.searchAPI.updateHosts(full, hosts)
	}
}

// settingPosition returns the position of a name in a list of the settings; a name that is not there comes after all.
func (loop *eventLoop) settingPosition(list, name string) int {
	names := loop.plan.List(list)
	if i := slices.Index(names, settings.FormatValue(name)); i >= 0 {
		return i
	}
	return len(names)
}
