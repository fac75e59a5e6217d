package gossip

import (
	"log/slog"
	"maps"
	"slices"

	"golang.org/x/time/rate"

	"chalkring/cluster/membership"
	"chalkring/internal/advice"
)

// Events of the log lines, which docs/oncall.md lists in its section Cluster.
const (
	eventMember               = "cluster_member"
	eventMajority             = "cluster_majority"
	eventNameConflict         = "cluster_name_conflict"
	eventNameConflictResolved = "cluster_name_conflict_resolved"
	eventIsolated             = "cluster_isolated"
	eventKeyMismatch          = "cluster_key_mismatch"
	eventForeignInstance      = "cluster_foreign_instance"
	eventMemberlist           = "gossip"
)

// statusLog logs changes of the membership.
type statusLog struct {
	logger        *slog.Logger
	memberLimiter *rate.Limiter
	members       map[string]membership.Member // by name, as of the last call
	conflicts     []string
	hasMajority   bool
}

func newStatusLog(logger *slog.Logger) statusLog {
	return statusLog{
		logger: logger, memberLimiter: rate.NewLimiter(maxLinesPerSecond, maxLinesBurst), members: map[string]membership.Member{},
	}
}

// logChanges logs the changes of a table since the last call.
func (s *statusLog) logChanges(table *membership.Table, now int64) {
	s.logMembers(table.Members())
	s.logConflicts(table.NameConflicts())
	if hasMajority := table.HasMajority(now); hasMajority != s.hasMajority {
		alive, total := table.CountAliveVoters(now)
		s.logger.Info(eventMajority, "majority", hasMajority, "alive_voters", alive, "voters", total)
		s.hasMajority = hasMajority
	}
}

func (s *statusLog) logMembers(members []membership.Member) {
	current := map[string]membership.Member{}
	for _, m := range members {
		current[m.Name] = m
	}
	for _, name := range slices.Sorted(maps.Keys(current)) {
		m, previous := current[name], s.members[name]
		isUnchanged := previous.Name != "" && m.State == previous.State && m.Incarnation == previous.Incarnation &&
			m.EqualMetadata(previous) && m.Addr == previous.Addr
		if !isUnchanged && s.memberLimiter.Allow() {
			s.logger.Info(eventMember, "name", m.Name, "state", m.State.String(), "incarnation", m.Incarnation, "addr", m.Addr,
				"region", m.Region, "zone", m.Zone, "program_version", m.ProgramVersion, "settings_generation", m.SettingsGeneration)
		}
	}
	s.members = current
}

func (s *statusLog) logConflicts(conflicts []string) {
	for _, name := range conflicts {
		if !slices.Contains(s.conflicts, name) {
			s.logger.Error(eventNameConflict, advice.LogAttrs(&NameConflictError{name})...)
		}
	}
	for _, name := range s.conflicts {
		if !slices.Contains(conflicts, name) {
			s.logger.Info(eventNameConflictResolved, "name", name)
		}
	}
	s.conflicts = conflicts
}
