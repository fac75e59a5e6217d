package membership

import (
	"math"
	"slices"
)

// Limits on an update's content. Receivers reject updates above them, so all instances of a cluster must use the same ones.
const (
	MaxNameBytes    = 100 // of a member's name; peer names have the same limit
	MaxTextBytes    = 200 // of each other text field of a member
	MaxCapabilities = 16  // features that a member supports
)

// State is the state of one incarnation of a member. Its numeric values are sent to other instances.
type State int

// The states of an incarnation. Of two updates with the same versions, the one with the larger state wins.
const (
	Alive   State = iota
	Suspect       // did not answer, but is not declared dead; does not count towards a majority
	Dead          // declared dead by the failure detector; final for this incarnation
	Left          // shut down on purpose; final for this incarnation
)

var stateNames = [...]string{"alive", "suspect", "gone", "left"}

// String returns the state's name for log lines, in which Dead is "gone".
func (s State) String() string {
	if s < 0 || int(s) >= len(stateNames) {
		return "unknown"
	}
	return stateNames[s]
}

// IsTerminal reports whether the state is final: the incarnation never becomes alive again.
func (s State) IsTerminal() bool { return s >= Dead }

// Member is one incarnation of an instance with its state. Instances also send it as an update on that incarnation.
type Member struct {
	Name               string
	Incarnation        uint64 // never 0; a restarted instance takes a larger one
	MetaVersion        uint64 // version of the metadata within the incarnation; updates with the same version have the same metadata
	SuspicionVersion   uint64 // counts an observer's changes between alive and suspect within one MetaVersion
	Region             string
	Zone               string
	ProgramVersion     string
	SettingsGeneration uint64   // generation of the active settings
	Capabilities       []string // features that the member supports
	Addr               string   // where others reach it; fixed within an incarnation; empty in an update that only reports its end
	State              State
	StateSince         int64 // when the state began, on the clock of the table that holds it
}

// EqualMetadata reports whether two members have the same metadata, regardless of state and versions.
func (m Member) EqualMetadata(other Member) bool {
	return m.Region == other.Region && m.Zone == other.Zone && m.ProgramVersion == other.ProgramVersion &&
		m.SettingsGeneration == other.SettingsGeneration && slices.Equal(m.Capabilities, other.Capabilities)
}

// IsValid reports whether the member is within all limits; a table ignores updates that are not.
func (m Member) IsValid() bool {
	for _, text := range append([]string{m.Region, m.Zone, m.ProgramVersion, m.Addr}, m.Capabilities...) {
		if len(text) > MaxTextBytes {
			return false
		}
	}
	return m.Name != "" && len(m.Name) <= MaxNameBytes && m.Incarnation > 0 && m.Incarnation < math.MaxUint64 &&
		len(m.Capabilities) <= MaxCapabilities && m.State >= Alive && m.State <= Left
}
