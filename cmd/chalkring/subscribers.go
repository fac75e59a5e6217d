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
	// gatewayCapability says in membership that an instance is a fan-out gateway.
	gatewayCapability = "subscribers"

	// suspectGracePeriod is how long a suspect still counts as alive, in tenths of a millisecond: a busy machine's pause.
	suspectGracePeriod = 20_000
)

// MissingRegionError reports a fan-out gateway without a region.
type MissingRegionError struct{}

func (*MissingRegionError) Error() string { return "fleet.subscribers without fleet.region" }

// Advice tells an operator what to do.
func (*MissingRegionError) Advice() string {
	return "Name the region under `fleet.region`: subscriptions are attached to regions."
}

// newGatewayFrontends returns the fan-out gateway that the section fleet turns on, none where it names no file of subscribers.
func newGatewayFrontends(s *clusterInstance) ([]coordinator.Frontend, error) {
	if s == nil || s.file.SubscribersFile == "" {
		return nil, nil
	}
	if s.file.Region == "" {
		return nil, &MissingRegionError{}
	}
	self := s.members.Self()
	self.Capabilities = append(slices.Clone(self.Capabilities), gatewayCapability)
	if err := s.node.UpdateSelf(self); err != nil {
		return nil, err
	}
	return []coordinator.Frontend{fanout.New(fanout.Options{
		Self:  subscribers.Member{Name: self.Name, Region: self.Region, Zone: self.Zone, Incarnation: self.Incarnation},
		Store: s.replicator, Membership: s.gatewayMembership, Rules: s.placementRules, FilePath: s.file.SubscribersFile, Log: s.log,
		Seed: int64(self.Incarnation), ReplicationBytes: s.replicationBytes, OnDrained: s.withdrawGateway,
	})}, nil
}

// withdrawGateway removes the capability, so that other gateways take over while this instance still ends its clients'
// searches.
func (s *clusterInstance) withdrawGateway() {
	self := s.members.Self()
	self.Capabilities = slices.DeleteFunc(slices.Clone(self.Capabilities), func(capability string) bool { return capability == gatewayCapability })
	if err := s.node.UpdateSelf(self); err != nil {
		s.log.Warn("subscriber_update_failed", advice.LogAttrs(err, "subscriber", "this gateway's leaving")...)
	}
}

// gatewayMembership returns the gateways that are alive. A name that two instances claim is left out, since delivery
// numbers depend on unique names.
func (s *clusterInstance) gatewayMembership() (gateways fanout.Membership) {
	now, conflicts := s.clock(), s.members.NameConflicts()
	for _, member := range s.members.Members() {
		if !slices.Contains(gateways.Zones, member.Zone) {
			gateways.Zones = append(gateways.Zones, member.Zone)
		}
		isAlive := member.State == membership.Alive || member.State == membership.Suspect && now-member.StateSince < suspectGracePeriod
		if isAlive && slices.Contains(member.Capabilities, gatewayCapability) && !slices.Contains(conflicts, member.Name) {
			gateways.Members = append(gateways.Members, subscribers.Member{Name: member.Name, Region: member.Region, Zone: member.Zone, Incarnation: member.Incarnation})
		}
	}
	alive, voters := s.members.CountAliveVoters(now)
	gateways.HasMajority, gateways.Complete = s.members.HasMajority(now), alive == voters
	return gateways
}

// placementRules returns where the residency policies allow tenants' entries.
func (s *clusterInstance) placementRules() subscribers.PlacementRules {
	if s.residencyGuard == nil {
		return subscribers.PlacementRules{}
	}
	return subscribers.PlacementRules{Generation: s.residencyGuard.Policy().Generation, AllowsTenantData: s.allowsTenantData}
}

// replicationBytes returns the bytes that the replicated store holds, and those sent to replicate it.
func (s *clusterInstance) replicationBytes() (stored int, sent uint64) {
	stats := s.replicator.Stats()
	return stats.StoredBytes, stats.ExchangeBytesSent + stats.UpdateBytesSent
}
