// Package endpoints merges the host lists of several sources (the plan, the store, discovery, files) into one endpoint
// list. A Registry accepts or rejects each source's update as a whole and keeps the merged list, with a generation. The
// package does no I/O; times are in tenths of a millisecond, of a clock that the caller reads. docs/endpoints.md
// describes the precedence of sources and the warnings about suspicious lists.
package endpoints

const (
	ticksPerSecond = 10_000 // units of the caller's clock

	maxHostsPerSource = 20_000 // twice the largest supported cluster
	maxTextBytes      = 200    // bytes of an id, address, zone or kind
	maxWeight         = 1000.0 // relative to an ordinary host; a larger weight is taken for a typing error
)

// State is the state of a host according to one source. Its numbers are stored.
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
	StartedMS            int64 // Unix milliseconds at which the host was started; a later start is a new incarnation
	Line, Column         int   // position in the source's file, 0 if it has none
}

// Rank orders sources: if two list a host differently, the entry of the source with the higher rank wins.
type Rank int

// The ranks of sources, ascending.
const (
	RankPlan Rank = iota
	RankStore
	RankDiscovery
	RankFile
)

// Update is a source's list of hosts: all of them or, if Partial is set, those that have changed.
type Update struct {
	Source       string
	Rank         Rank
	Version      int64 // an update is ignored unless this is above the source's last version
	VersionReset bool  // the source's versions have started again; needs a complete list
	Partial      bool  // Hosts has only the changes to the source's last list
	Confirmed    bool  // an operator has confirmed the list, so the guards do not hold it back
	Hosts        []Host
	Removals     []Removal // removals that the source remembers, including those by other sources

	// What a store also knows of the earlier run that wrote it.
	Origins              map[string]Origin // by host id; hosts without one are the store's own
	DiscoveryHadAnswered bool              // discovery's list was in use, not the plan's
}

// Removal is a host that a source has removed. While it is remembered, other sources' entries of the host are ignored.
type Removal struct {
	ID, RemovedBy string
	StartedMS     int64 // the host's StartedMS when it was removed
	Age           int64 // time since the removal
}

// Rules are the installation's limits for hosts. Zones, kinds and the highest cell come from the plan and are checked
// for files only: other sources may already list hosts that are not in the plan yet.
type Rules struct {
	Zones, Kinds []string // the known ones; empty if any are allowed
	BlockSets    int      // number of block sets; 0 turns off the check that each has a holder
	SetsPerHost  int      // a host of cell c holds this many block sets: set c and the ones before it
}

// Endpoint is a host of the merged list.
type Endpoint struct {
	Host
	Source       string   // the source whose entry is used
	ListedBy     []string // all sources that list it
	DrainedBy    []string // the sources that list it as draining
	ZoneConflict bool     // sources list it, or its address, in different zones
}
