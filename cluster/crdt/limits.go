package crdt

// Limits of a replica. The receiver of a message checks them too, so instances of different builds must agree on them.
const (
	MaxEntries    = 100_000  // names with a live value; a Put of one more is refused
	MaxTombstones = 50_000   // names without a live value; a Delete that would leave one more is refused
	MaxNames      = 200_000  // names of either kind; above the sum of both limits, since a merge after a partition adds names
	MaxValueBytes = 8 << 10  // bytes of one value
	MaxNameBytes  = 512      // bytes of one name
	MaxActorBytes = 280      // bytes of an actor: an instance's name and its incarnation
	MaxTotalBytes = 96 << 20 // bytes of all names and values, so that they fit a store together with their metadata
	MaxSiblings   = 64       // siblings of one name, so that its state fits a message of half a megabyte
	MaxRows       = 4096     // instances whose rows are kept
)
