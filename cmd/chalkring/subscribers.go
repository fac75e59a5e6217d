package main

import (
	"slices"

	"chalkring/cluster/membership"
	"chalkring/control/fanout"
	"chalkring/control/subscribers"
	"chalkring/coordinator"
	"chalkring/internal/advice"
)

const (
	gatewayPart = "subscribers" // what members say that they take part in
	suspectFor  = 20_000        // tenths of a millisecond that a suspect still counts as there: a busy machine's pause
)

// NoRegion is a gateway that stands nowhere.
type NoRegion struct{}

func (*NoRegion) Error() string { return "fleet.subscribers without fleet.region" }

// Advice tells an operator what to do.
func (*NoRegion) Advice() string {
	return "Name the region under `fleet.region`: subscriptions are attached to regions."
}

// gatewayOf is the fan-out gateway that the section fleet turns on; none where it names no file of subscriptions.
func gatewayOf(s *sharing) ([]coordinator.Frontend, error) {
	if s == nil || s.file.SubscribersFile == "" {
		return nil, nil
	}
	if s.file.Region == "" {
		return nil, &NoRegion{}
	}
	me := s.book.Self()
	me.Capabilities = append(slices.Clone(me.Capabilities), gatewayPart)
	if err := s.node.UpdateSelf(me); err != nil {
		return nil, err
	}
	left := func() { // so that others serve in its place while it finishes its clients' searches
		me := s.book.Self()
		me.Capabilities = slices.DeleteFunc(slices.Clone(me.Capabilities), func(part string) bool { return part == gatewayPart })
		if err := s.node.UpdateSelf(me); err != nil {
			s.log.Warn("subscriber_update_failed", advice.LogAttrs(err, "subscriber", "this gateway's leaving")...)
		}
	}
	return []coordinator.Frontend{fanout.New(fanout.Options{
		Store: s.shared, Membership: s.gateways, Rules: s.rules, FilePath: s.file.SubscribersFile, Log: s.log,
		Self: subscribers.Member{Name: me.Name, Region: me.Region, Zone: me.Zone, Incarnation: me.Incarnation}, Seed: int64(me.Incarnation), ReplicationBytes: s.bytes, OnDrained: left,
	})}, nil
}

// gateways are those that are heard now. A name that two claim is nobody's: numbers of deliveries rest on names.
func (s *sharing) gateways() (h fanout.Membership) {
	now, claimed := s.clock(), s.book.NameConflicts()
	for _, m := range s.book.Members() {
		if !slices.Contains(h.Zones, m.Zone) {
			h.Zones = append(h.Zones, m.Zone)
		}
		there := m.State == membership.Alive || m.State == membership.Suspect && now-m.StateSince < suspectFor
		if there && slices.Contains(m.Capabilities, gatewayPart) && !slices.Contains(claimed, m.Name) {
			h.Members = append(h.Members, subscribers.Member{Name: m.Name, Region: m.Region, Zone: m.Zone, Incarnation: m.Incarnation})
		}
	}
	heard, of := s.book.CountAliveVoters(now)
	h.HasMajority, h.Complete = s.book.HasMajority(now), heard == of
	return h
}

// rules are the zones in which contracts let tenants' entries be.
func (s *sharing) rules() subscribers.PlacementRules {
	if s.zones == nil {
		return subscribers.PlacementRules{}
	}
	return subscribers.PlacementRules{Generation: s.zones.Policy().Generation, AllowsTenantData: s.holds}
}

func (s *sharing) bytes() (held int, sent uint64) {
	now := s.shared.Stats()
	return now.StoredBytes, now.ExchangeBytesSent + now.UpdateBytesSent
}
