// Package endpoints merges the host lists of several sources (the plan, the store, discovery, files) into one endpoint
// list. A Registry accepts or rejects each source's update as a whole and has the list in force, with a generation. The
// package has no I/O; times are tenths of a millisecond of a clock that the caller passes in. docs/endpoints.md describes
// the precedence of sources and the guards against wrong lists.
package endpoints

const (
	ticksPerSecond = 10_000 // of the caller's clock

	maxHostsPerSource = 20_000 // twice the largest cluster that this is built for
	maxTextBytes      = 200    // bytes of an id, address, zone or kind
	maxWeight         = 1000.0 // relative to a usual host; more is a typing error
)

// State is the state of a host by one source. Its numbers are stored.
type State int

// The states of a host.
const (
	StateUp State = iota
	StateDraining
	StateRemoved
)

// Host is one entry of a source's list.
type Host struct {
	ID, Addr, Zone, Kind string
	Cell                 int
	State                State
	Weight               float64
	StartedMS            int64 // when the host was started, in ms of the Unix epoch; a later start is another incarnation
	Line, Column         int   // position in the source's file, 0 where there is none
}

// Rank orders sources: where two list a host differently, the entry of the higher rank wins.
type Rank int

// The ranks of sources, ascending.
const (
	RankPlan Rank = iota
	RankStore
	RankDiscovery
	RankFile
)

// Update is a source's list: all of its hosts, or those that have changed.
type Update struct {
	Source       string
	Rank         Rank
	Version      int64 // an update that is not above the source's last version is ignored
	VersionReset bool  // the source's versions have begun again; needs a complete list
	Partial      bool  // Hosts are changes of the source's last list
	Confirmed    bool  // an operator confirms the list, so the guards do not hold it back
	Hosts        []Host
	Removals     []Removal // removals that the source remembers, of any source
}

// Removal is a host that a source has removed. While it is remembered, other sources' entries of the host do not count.
type Removal struct {
	ID, RemovedBy string
	StartedMS     int64 // the host's StartedMS when it was removed
	Age           int64 // time since the removal
}

// Rules are what the installation knows of all hosts. Zones, kinds and the range of cells apply to files only: other
// sources may be ahead of the plan.
type Rules struct {
	Zones, Kinds []string // the known ones; empty for any
	BlockSets    int      // number of block sets; 0 turns the check of their holders off
	SetsPerHost  int      // a host of cell c holds block set c and the ones before it, so many in all
}

// Endpoint is a host of the list in force.
type Endpoint struct {
	Host
	Source       string   // the source whose entry is in force
	DrainedBy    []string // the sources that list it as draining
	ZoneConflict bool     // sources list it, or its address, in different zones
}
