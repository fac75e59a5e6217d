package endpoints

import (
	"fmt"
	"slices"
)

// validate returns an InvalidListError if an update is invalid in itself, regardless of what other sources list.
func (r *Registry) validate(update Update) error {
	if count := max(len(update.Hosts), len(update.Removals)); count > maxHostsPerSource {
		reason := fmt.Sprintf("%d hosts or removals, at most %d are allowed", count, maxHostsPerSource)
		return InvalidListError{Source: update.Source, Reason: reason}
	}
	for _, removal := range update.Removals {
		if removal.ID == "" || len(removal.ID) > maxTextBytes || len(removal.RemovedBy) > maxTextBytes {
			reason := fmt.Sprintf("invalid removal by %.40q: it has no host id, or a text in it is too long", removal.RemovedBy)
			return InvalidListError{Source: update.Source, HostID: removal.ID, Reason: reason}
		}
	}
	v := hostValidator{
		rules: r.rules, isFile: update.Rank == RankFile, ids: map[string]bool{}, idsByAddr: map[string]string{},
	}
	for _, host := range update.Hosts {
		if reason := v.add(host); reason != "" {
			return InvalidListError{update.Source, host.ID, host.Line, host.Column, reason}
		}
	}
	return nil
}

// hostValidator validates the hosts of one update in their order.
type hostValidator struct {
	rules     Rules
	isFile    bool
	ids       map[string]bool
	idsByAddr map[string]string
}

// add returns why the next host is invalid, empty if it is valid.
func (v *hostValidator) add(host Host) (reason string) {
	if reason := v.validateIdentity(host); reason != "" {
		return reason
	}
	v.ids[host.ID] = true
	if host.State == StateRemoved {
		return "" // the other fields of a removed host are not used
	}
	if reason := v.validateDetails(host); reason != "" {
		return reason
	}
	v.idsByAddr[host.Addr] = host.ID
	return ""
}

func (v *hostValidator) validateIdentity(host Host) (reason string) {
	switch {
	case host.ID == "":
		return "a host has no id"
	case max(len(host.ID), len(host.Addr), len(host.Zone), len(host.Kind)) > maxTextBytes:
		return fmt.Sprintf("its id, address, zone or kind is longer than %d bytes", maxTextBytes)
	case v.ids[host.ID]:
		return "is listed twice"
	case host.State < StateUp || host.State > StateRemoved:
		return fmt.Sprintf("state %d is unknown", host.State)
	}
	return ""
}

func (v *hostValidator) validateDetails(host Host) (reason string) {
	otherID := v.idsByAddr[host.Addr]
	isWeightValid := host.Weight > 0 && host.Weight <= maxWeight // false for NaN too
	switch {
	case host.Addr == "":
		return "has no address"
	case otherID != "":
		return fmt.Sprintf("has the address %s of host %.60q", host.Addr, otherID)
	case !isWeightValid:
		return fmt.Sprintf("weight %g must be above 0 and at most %g", host.Weight, maxWeight)
	case v.isFile && len(v.rules.Zones) > 0 && !slices.Contains(v.rules.Zones, host.Zone):
		return fmt.Sprintf("unknown zone %.60q", host.Zone)
	case v.isFile && len(v.rules.Kinds) > 0 && !slices.Contains(v.rules.Kinds, host.Kind):
		return fmt.Sprintf("unknown kind %.60q", host.Kind)
	case host.Cell < 0 || v.isFile && v.rules.BlockSets > 0 && host.Cell >= v.rules.BlockSets:
		return fmt.Sprintf("cell %d is not in the range from 0 to %d", host.Cell, v.rules.BlockSets-1)
	case host.StartedMS < 0:
		return fmt.Sprintf("started_ms %d is negative", host.StartedMS)
	}
	return ""
}
