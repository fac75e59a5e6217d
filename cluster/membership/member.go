package membership

import (
	"math"
	"slices"
)

// Limits of what an update may hold. Receivers check them, so all instances of a cluster have to agree on them.
const (
	MaxNameBytes    = 100 // bytes of a member's name, as for the names of peers
	MaxTextBytes    = 200 // bytes of any other text of a member
	MaxCapabilities = 16  // features that a member can take part in
)

// State is the state of one incarnation of a member. Its numbers are sent to other instances.
type State int

// The states of an incarnation. A larger one takes precedence where two updates have the same versions.
const (
	Alive   State = iota
	Suspect       // did not answer, but is not declared dead; counts for no majority
	Dead          // declared dead by the failure detector; final for this incarnation
	Left          // shut down on purpose; final for this incarnation
)

var stateNames = [...]string{"alive", "suspect", "gone", "left"}

// String returns the state's name as log lines show it; Dead is "gone" there.
func (s State) String() string {
	if s < 0 || int(s) >= len(stateNames) {
		return "unknown"
	}
	return stateNames[s]
}

// IsTerminal reports whether the state is final: the incarnation never becomes alive again.
func (s State) IsTerminal() bool { return s >= Dead }

// Member is one incarnation of an instance and its state. It is also an update on that incarnation.
type Member struct {
	Name               string
	Incarnation        uint64 // a restart takes a larger one; never 0
	MetaVersion        uint64 // version of the member's metadata within the incarnation; each version has one content
	SuspicionVersion   uint64 // counts an observer's changes between alive and suspect within one MetaVersion
	Region             string
	Zone               string
	ProgramVersion     string
	SettingsGeneration uint64   // generation of the settings in force
	Capabilities       []string // features that the member can take part in
	Addr               string   // where others reach it; fixed for an incarnation; empty in an update that only reports an end
	State              State
	StateSince         int64 // when the state began, by the clock of the table that holds it
}

// EqualMetadata reports whether two members have the same metadata, regardless of state and versions.
func (m Member) EqualMetadata(other Member) bool {
	return m.Region == other.Region && m.Zone == other.Zone && m.ProgramVersion == other.ProgramVersion &&
		m.SettingsGeneration == other.SettingsGeneration && slices.Equal(m.Capabilities, other.Capabilities)
}

// IsValid reports whether the member is within all limits, so that a table may accept it as an update.
func (m Member) IsValid() bool {
	for _, text := range append([]string{m.Region, m.Zone, m.ProgramVersion, m.Addr}, m.Capabilities...) {
		if len(text) > MaxTextBytes {
			return false
		}
	}
	return m.Name != "" && len(m.Name) <= MaxNameBytes && m.Incarnation > 0 && m.Incarnation < math.MaxUint64 &&
		len(m.Capabilities) <= MaxCapabilities && m.State >= Alive && m.State <= Left
}
