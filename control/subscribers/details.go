package subscribers

import (
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// MaxBlocks limits the blocks that a standing search reads: a delivery checkpoint holds 8 bytes for each.
	MaxBlocks = 64
	// MinInterval is the shortest interval of a standing search, in ticks: a gateway serves thousands of them.
	MinInterval = 1 * second

	maxInterval   = 7 * day
	maxQueryBytes = 4096 // standing searches are short, and 100,000 of them are in memory
)

// Details are what a subscriber asks for, and how often.
type Details struct {
	Type     string `cbor:"1,keyasint"`           // of search, as the plan names it
	Query    string `cbor:"2,keyasint"`           // passed to hosts as it is
	Interval int64  `cbor:"3,keyasint"`           // between two searches, in ticks
	Blocks   []int  `cbor:"4,keyasint,omitempty"` // that are read; all where none are named
}

// validate returns what is wrong with the details, empty if they are valid.
func (d Details) validate() string {
	sorted := slices.Clone(d.Blocks)
	slices.Sort(sorted)
	switch {
	case d.Type == "" || len(d.Type) > maxNameBytes:
		return "the type is missing"
	case len(d.Query) > maxQueryBytes:
		return fmt.Sprintf("a query of %d bytes, %d at the most", len(d.Query), maxQueryBytes)
	case d.Interval < MinInterval || d.Interval > maxInterval:
		return fmt.Sprintf("a period of %.1f s is not from 1 s to a week", float64(d.Interval)/second)
	case len(d.Blocks) > MaxBlocks:
		return fmt.Sprintf("%d blocks, %d at the most", len(d.Blocks), MaxBlocks)
	case len(sorted) > 0 && sorted[0] < 0, len(slices.Compact(sorted)) < len(d.Blocks):
		return "a block is there twice or under 0"
	}
	return ""
}

func (d Details) equal(other Details) bool {
	return d.Type == other.Type && d.Query == other.Query && d.Interval == other.Interval && slices.Equal(d.Blocks, other.Blocks)
}

// hash is stored in attachments: it must not change.
func (d Details) hash() uint64 { return xxhash.Sum64(Record{Details: d}.Encode()) }
