package subscribers

import (
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// MaxBlocks limits the blocks that a standing search reads: a delivery checkpoint holds 8 bytes for each.
	MaxBlocks = 64
	// MinInterval is the shortest interval of a standing search: a gateway serves thousands of searches.
	MinInterval = 1 * second

	maxInterval   = 7 * day
	maxQueryBytes = 4096 // standing searches are short, and 100,000 of them are in memory
)

// Details are what a subscriber searches for, and how often.
type Details struct {
	Type     string `cbor:"1,keyasint"`           // of search, as named in the plan
	Query    string `cbor:"2,keyasint"`           // passed to hosts unchanged
	Interval int64  `cbor:"3,keyasint"`           // between two searches
	Blocks   []int  `cbor:"4,keyasint,omitempty"` // to read; empty for all
}

// validate returns what is wrong with the details, empty if they are valid.
func (d Details) validate() string {
	sorted := slices.Clone(d.Blocks)
	slices.Sort(sorted)
	switch {
	case d.Type == "" || len(d.Type) > maxNameBytes:
		return "the type is missing or longer than 128 bytes"
	case len(d.Query) > maxQueryBytes:
		return fmt.Sprintf("the query has %d bytes, at most %d are allowed", len(d.Query), maxQueryBytes)
	case d.Interval < MinInterval || d.Interval > maxInterval:
		return fmt.Sprintf("an interval of %.1f s is not between 1 s and a week", float64(d.Interval)/second)
	case len(d.Blocks) > MaxBlocks:
		return fmt.Sprintf("%d blocks, at most %d are allowed", len(d.Blocks), MaxBlocks)
	case len(sorted) > 0 && sorted[0] < 0, len(slices.Compact(sorted)) < len(d.Blocks):
		return "the blocks have a duplicate or a negative number"
	}
	return ""
}

func (d Details) equal(other Details) bool {
	return d.Type == other.Type && d.Query == other.Query && d.Interval == other.Interval && slices.Equal(d.Blocks, other.Blocks)
}

// hash is stored in attachments, so its computation must not change.
func (d Details) hash() uint64 { return xxhash.Sum64(Record{Details: d}.Encode()) }
