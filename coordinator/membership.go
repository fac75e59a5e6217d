package coordinator

import (
	"fmt"
	"time"

	"chalkring/coordinator/plan"

	"chalkring/config/settings"
	"chalkring/endpoints"
)

// membership makes one list of what discovery, the plan and an installation's other sources tell. Its goroutine keeps
// the book, so that the owner is handed a list in force at once and whole: no search sees parts of two.
type membership struct {
	o    *owner
	book *endpoints.Registry
	told chan discovered         // from discovery
	more <-chan endpoints.Update // from other sources
	held map[string]string       // lists that are held back, as they were last logged
}

// discovered is what discovery has told; refused hears why it is refused, or nil.
type discovered struct {
	endpoints.Update
	refused chan error
}

// newMembership begins with the plan's list.
func newMembership(o *owner, more <-chan endpoints.Update, version int64, known []plan.ListedHost) *membership {
	m := &membership{o: o, book: endpoints.NewRegistry(o.plan.EndpointRules()), told: make(chan discovered), more: more, held: map[string]string{}}
	m.take(listTold("plan", endpoints.RankPlan, version, true, false, known))
	return m
}

func listTold(source string, rank endpoints.Rank, version int64, full, anew bool, hosts []plan.ListedHost) endpoints.Update {
	t := endpoints.Update{Source: source, Rank: rank, Version: version, Partial: !full, VersionReset: anew}
	for _, h := range hosts {
		t.Hosts = append(t.Hosts, h.Host)
	}
	return t
}

// discovered hands discovery's list on, and tells why it is refused. Guards against a version that counts as had while its
// changes are not: they would not be told again.
func (m *membership) discovered(t endpoints.Update) error {
	d := discovered{t, make(chan error, 1)}
	select {
	case m.told <- d:
	case <-m.o.ctx.Done():
		return closing
	}
	select {
	case err := <-d.refused:
		return err
	case <-m.o.ctx.Done():
		return closing
	}
}

func (m *membership) run() error {
	o := m.o
	for {
		var due <-chan time.Time
		if at := m.book.NextTick(); at > 0 {
			due = o.Clock.After(time.Duration(max(at-o.clock(), 1)) * tenth)
		}
		changed := false
		select {
		case d := <-m.told:
			var err error
			changed, err = m.take(d.Update)
			d.refused <- err
		case t, ok := <-m.more:
			if !ok {
				m.more = nil
				continue
			}
			changed, _ = m.take(t)
		case <-due:
			changed = m.book.Tick(o.clock())
		case <-o.ctx.Done():
			return nil
		}
		if changed && !m.publish() {
			return nil
		}
	}
}

// take tells the book a list, and the log what the book thinks of it.
func (m *membership) take(t endpoints.Update) (changed bool, err error) {
	for i := range t.Hosts {
		t.Hosts[i].Zone, t.Hosts[i].Kind = settings.FormatValue(t.Hosts[i].Zone), settings.FormatValue(t.Hosts[i].Kind)
	}
	changed, err = m.book.Apply(m.o.clock(), t)
	if err != nil {
		m.o.log.often("list_refused "+t.Source, "list_refused", "source", t.Source, "error", err)
		m.o.event("list_refused", t.Source+": "+err.Error())
		return false, err
	}
	held := m.book.HeldBackSources()
	if why := held[t.Source]; why != "" && why != m.held[t.Source] {
		m.o.log.often("list_held "+t.Source, "list_held", "source", t.Source, "why", why)
		m.o.event("list_held", t.Source+": "+why)
	}
	if m.o.Persistence != nil && t.Rank == endpoints.RankDiscovery && held[t.Source] == "" {
		m.o.Persistence.discovery.Store(t.Version)
	}
	m.held = held
	return changed, nil
}

// publish puts the list in force in the owner's place, in one turn; false once the co-ordinator has ended.
func (m *membership) publish() bool {
	o, generation := m.o, m.book.Generation()
	var hosts []plan.ListedHost
	var steps []func()
	present := map[string]bool{}
	list := m.book.List()
	for _, e := range list {
		present[e.ID] = true
		hosts = append(hosts, plan.ListedHost{Host: e.Host, ZoneConflict: e.ZoneConflict})
		zone, kind, status := o.nth("FailureDomains", e.Zone), o.nth("MachineTypes", e.Kind), "healthy"
		if e.State == endpoints.StateDraining {
			status = "cordoned"
		}
		steps = append(steps, func() {
			o.place(e.ID, e.Addr, e.Kind, e.StartedMS*10, false, e.State == endpoints.StateDraining)
			o.module.AddEndpoint(e.ID, zone, kind, e.Cell, status, e.Weight, e.StartedMS*10)
		})
	}
	if o.Persistence != nil {
		o.Persistence.listed(list, m.book.Removals(o.clock()))
		o.event("list", fmt.Sprintf("generation %d, %d hosts", generation, len(hosts)))
	}
	ok := o.post(func() { o.listInForce("Complete", generation, hosts, present, steps) })
	o.tellListed(true, generation, hosts)
	return ok
}
