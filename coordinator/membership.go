package coordinator

import (
	"fmt"
	"time"

	"chalkring/coordinator/plan"

	"chalkring/config/settings"
	"chalkring/endpoints"
)

// endpointSources makes one list of what discovery, the plan and an installation's other sources tell. Its goroutine keeps
// the book, so that the owner is handed a list in force at once and whole: no search sees parts of two.
type endpointSources struct {
	loop             *eventLoop
	registry         *endpoints.Registry
	discoveryUpdates chan discoveryUpdate    // from discovery
	updates          <-chan endpoints.Update // from other sources
	loggedHolds      map[string]string       // lists that are held back, as they were last logged
}

// discoveryUpdate is what discovery has told; refused hears why it is refused, or nil.
type discoveryUpdate struct {
	endpoints.Update
	result chan error
}

// newEndpointSources begins with the plan's list.
func newEndpointSources(o *eventLoop, more <-chan endpoints.Update, version int64, known []plan.ListedHost) *endpointSources {
	m := &endpointSources{loop: o, registry: endpoints.NewRegistry(o.plan.EndpointRules()), discoveryUpdates: make(chan discoveryUpdate), updates: more, loggedHolds: map[string]string{}}
	m.apply(newEndpointUpdate("plan", endpoints.RankPlan, version, true, false, known))
	return m
}

func newEndpointUpdate(source string, rank endpoints.Rank, version int64, full, anew bool, hosts []plan.ListedHost) endpoints.Update {
	t := endpoints.Update{Source: source, Rank: rank, Version: version, Partial: !full, VersionReset: anew}
	for _, h := range hosts {
		t.Hosts = append(t.Hosts, h.Host)
	}
	return t
}

// applyDiscovery hands discovery's list on, and tells why it is refused. Guards against a version that counts as had while its
// changes are not: they would not be told again.
func (m *endpointSources) applyDiscovery(t endpoints.Update) error {
	d := discoveryUpdate{t, make(chan error, 1)}
	select {
	case m.discoveryUpdates <- d:
	case <-m.loop.ctx.Done():
		return endClosing
	}
	select {
	case err := <-d.result:
		return err
	case <-m.loop.ctx.Done():
		return endClosing
	}
}

func (m *endpointSources) run() error {
	o := m.loop
	for {
		var due <-chan time.Time
		if at := m.registry.NextTick(); at > 0 {
			due = o.Clock.After(time.Duration(max(at-o.clockTicks(), 1)) * tick)
		}
		changed := false
		select {
		case d := <-m.discoveryUpdates:
			var err error
			changed, err = m.apply(d.Update)
			d.result <- err
		case t, ok := <-m.updates:
			if !ok {
				m.updates = nil
				continue
			}
			changed, _ = m.apply(t)
		case <-due:
			changed = m.registry.Tick(o.clockTicks())
		case <-o.ctx.Done():
			return nil
		}
		if changed && !m.publish() {
			return nil
		}
	}
}

// apply tells the book a list, and the log what the book thinks of it.
func (m *endpointSources) apply(t endpoints.Update) (changed bool, err error) {
	for i := range t.Hosts {
		t.Hosts[i].Zone, t.Hosts[i].Kind = settings.FormatValue(t.Hosts[i].Zone), settings.FormatValue(t.Hosts[i].Kind)
	}
	changed, err = m.registry.Apply(m.loop.clockTicks(), t)
	if err != nil {
		m.loop.log.warnLimited("list_refused "+t.Source, "list_refused", "source", t.Source, "error", err)
		m.loop.recordEvent("list_refused", t.Source+": "+err.Error())
		return false, err
	}
	held := m.registry.HeldBackSources()
	if why := held[t.Source]; why != "" && why != m.loggedHolds[t.Source] {
		m.loop.log.warnLimited("list_held "+t.Source, "list_held", "source", t.Source, "why", why)
		m.loop.recordEvent("list_held", t.Source+": "+why)
	}
	if m.loop.Persistence != nil && t.Rank == endpoints.RankDiscovery && held[t.Source] == "" {
		m.loop.Persistence.discoveryVersion.Store(t.Version)
	}
	m.loggedHolds = held
	return changed, nil
}

// publish puts the list in force in the owner's place, in one turn; false once the co-ordinator has ended.
func (m *endpointSources) publish() bool {
	o, generation := m.loop, m.registry.Generation()
	var hosts []plan.ListedHost
	var steps []func()
	present := map[string]bool{}
	list := m.registry.List()
	for _, e := range list {
		present[e.ID] = true
		hosts = append(hosts, plan.ListedHost{Host: e.Host, ZoneConflict: e.ZoneConflict})
		zone, kind, status := o.settingPosition("FailureDomains", e.Zone), o.settingPosition("MachineTypes", e.Kind), "healthy"
		if e.State == endpoints.StateDraining {
			status = "cordoned"
		}
		steps = append(steps, func() {
			o.placeReplica(e.ID, e.Addr, e.Kind, e.StartedMS*10, false, e.State == endpoints.StateDraining)
			o.balancer.AddEndpoint(e.ID, zone, kind, e.Cell, status, e.Weight, e.StartedMS*10)
		})
	}
	if o.Persistence != nil {
		o.Persistence.recordList(list, m.registry.Removals(o.clockTicks()))
		o.recordEvent("list", fmt.Sprintf("generation %d, %d hosts", generation, len(hosts)))
	}
	ok := o.submit(func() { o.putListInForce("Complete", generation, hosts, present, steps) })
	o.notifyEndpointList(true, generation, hosts)
	return ok
}
