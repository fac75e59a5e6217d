package coordinator

import (
	"fmt"

	"chalkring/config/settings"
	"chalkring/coordinator/plan"
	"chalkring/endpoints"
)

// endpointSources merges the endpoint lists of discovery, the plan and an installation's other sources into one. Its
// goroutine owns the registry and hands each merged list to the event loop as a single task, so that no search sees
// parts of two lists.
type endpointSources struct {
	loop             *eventLoop
	registry         *endpoints.Registry
	discoveryUpdates chan discoveryUpdate
	updates          <-chan endpoints.Update // from sources other than discovery
}

// discoveryUpdate is a list from discovery; result receives the reason it was refused, or nil if it was accepted.
type discoveryUpdate struct {
	endpoints.Update
	result chan error
}

// newEndpointSources returns sources that start with the plan's list.
func newEndpointSources(loop *eventLoop, updates <-chan endpoints.Update, version int64, known []plan.ListedHost) *endpointSources {
	s := &endpointSources{loop: loop, registry: endpoints.NewRegistry(loop.plan.EndpointRules()), discoveryUpdates: make(chan discoveryUpdate), updates: updates}
	_, _ = s.apply(newEndpointUpdate(endpoints.SourcePlan, endpoints.RankPlan, version, true, false, known)) // apply logs a refusal
	return s
}

// newEndpointUpdate converts a list to the registry's form.
func newEndpointUpdate(source string, rank endpoints.Rank, version int64, full, versionReset bool, hosts []plan.ListedHost) endpoints.Update {
	update := endpoints.Update{Source: source, Rank: rank, Version: version, Partial: !full, VersionReset: versionReset}
	for _, host := range hosts {
		update.Hosts = append(update.Hosts, host.Host)
	}
	return update
}

// applyDiscovery applies a list from discovery and returns why it was refused, or nil. The caller records the
// version as known only if the list was accepted: discovery would not send the changes up to a known version again.
func (s *endpointSources) applyDiscovery(update endpoints.Update) error {
	pending := discoveryUpdate{update, make(chan error, 1)}
	select {
	case s.discoveryUpdates <- pending:
	case <-s.loop.ctx.Done():
		return errClosing
	}
	select {
	case err := <-pending.result:
		return err
	case <-s.loop.ctx.Done():
		return errClosing
	}
}

// run applies lists from all sources until the coordinator ends.
func (s *endpointSources) run() error {
	loop := s.loop
	for {
		changed := false
		var pending discoveryUpdate
		var err error
		select {
		case pending = <-s.discoveryUpdates:
			changed, err = s.apply(pending.Update)
		case update, ok := <-s.updates:
			if !ok {
				s.updates = nil
				continue
			}
			changed, _ = s.apply(update)
		case <-loop.ctx.Done():
			return nil
		}
		if changed && !s.publish() {
			return nil
		}
		if pending.result != nil { // discovery's answer counts as handled once the event loop has been given the list
			pending.result <- err
		}
	}
}

// apply hands a list to the registry, and logs a refusal or what is suspicious about an accepted list.
func (s *endpointSources) apply(update endpoints.Update) (changed bool, err error) {
	for i := range update.Hosts {
		update.Hosts[i].Zone, update.Hosts[i].Kind = settings.FormatValue(update.Hosts[i].Zone), settings.FormatValue(update.Hosts[i].Kind)
	}
	changed, err = s.registry.Apply(s.loop.clockTicks(), update)
	if err != nil {
		s.loop.log.warnLimited("list_refused "+update.Source, "list_refused", "source", update.Source, "error", err)
		s.loop.recordEvent("list_refused", update.Source+": "+err.Error())
		return changed, err
	}
	if warning := s.registry.Warning(); warning != "" {
		s.loop.log.warnLimited("list_warning "+update.Source, "list_warning", "source", update.Source, "saw", warning,
			"do", "The list counts. If it is wrong, correct it at its source; \"meant: true\" in a host file confirms such a list.")
		s.loop.recordEvent("list_warning", update.Source+": "+warning)
	}
	if s.loop.Persistence != nil && update.Rank == endpoints.RankDiscovery {
		s.loop.Persistence.discoveryVersion.Store(update.Version)
	}
	return changed, nil
}

// publish makes the registry's list the current one, in one task of the event loop. It returns false once the
// coordinator has ended.
func (s *endpointSources) publish() bool {
	loop, generation := s.loop, s.registry.Generation()
	var hosts []plan.ListedHost
	var steps []func()
	present := map[string]bool{}
	list := s.registry.List()
	for _, endpoint := range list {
		present[endpoint.ID] = true
		hosts = append(hosts, plan.ListedHost{Host: endpoint.Host, ZoneConflict: endpoint.ZoneConflict})
		zone, kind, status := loop.settingPosition("FailureDomains", endpoint.Zone), loop.settingPosition("MachineTypes", endpoint.Kind), "healthy"
		if endpoint.State == endpoints.StateDraining {
			status = "cordoned"
		}
		steps = append(steps, func() {
			loop.placeReplica(endpoint.ID, endpoint.Addr, endpoint.Kind, endpoint.StartedMS*10, false, endpoint.State == endpoints.StateDraining)
			loop.balancer.AddEndpoint(endpoint.ID, zone, kind, endpoint.Cell, status, endpoint.Weight, endpoint.StartedMS*10)
		})
	}
	if loop.Persistence != nil {
		loop.Persistence.recordList(list, s.registry.Removals(loop.clockTicks()))
		loop.recordEvent("list", fmt.Sprintf("generation %d, %d hosts", generation, len(hosts)))
	}
	ok := loop.submitListUpdate(func() { loop.commitEndpointList("Complete", generation, hosts, present, steps) })
	loop.notifyEndpointList(true, generation, hosts)
	return ok
}
