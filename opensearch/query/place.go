package query

import (
	"encoding/binary"
	"math/bits"
	"unicode/utf16"

	"github.com/twmb/murmur3"
)

const (
	defaultSplitsLog2 = 10   // the API's default lets an index of one block be split up to 1,024 ways: 2^10
	maxShards = 1024 // blocks that an index may have: the API's bound
)

// Placement is the API's published rule by which the members of an index are in its blocks: the hash of a member's
// routing value, which is its _id where none is given, names one of RoutingShards slots, and each block has equally
// many of them in turn. RoutingShards 0 stands for the API's default.
type Placement struct {
	Shards        int `yaml:"number_of_shards"`
	RoutingShards int `yaml:"number_of_routing_shards"`
}

// EffectiveRoutingShards are the routing shards in force.
func (p Placement) EffectiveRoutingShards() int {
	if p.RoutingShards > 0 {
		return p.RoutingShards
	}
	splits := max(1, defaultSplitsLog2-bits.Len(uint(p.Shards-1)))
	return p.Shards << splits
}

// IsValid looks at the numbers: the API wants the one to be a multiple of the other.
func (p Placement) IsValid() bool {
	return p.Shards > 0 && p.Shards <= maxShards && p.RoutingShards >= 0 && p.EffectiveRoutingShards()%p.Shards == 0
}

// ShardFor is where the member with this routing value is.
func (p Placement) ShardFor(routing string) int {
	var text []byte
	for _, unit := range utf16.Encode([]rune(routing)) {
		text = binary.LittleEndian.AppendUint16(text, unit)
	}
	slots := p.EffectiveRoutingShards()
	slot := int(int32(murmur3.SeedSum32(0, text))) % slots
	if slot < 0 {
		slot += slots
	}
	return slot / (slots / p.Shards)
}

// checkHit looks that a hit is of the block that was asked. Guards against a host that sends another block's hits in
// good form: members would be counted for a block that was not read.
func (p *Placement) checkHit(shard int, id, routing string) error {
	if routing == "" {
		routing = id
	}
	if p == nil {
		return nil
	}
	if own := p.ShardFor(routing); own != shard {
		return invalidResponse("hit %.60q is of block %d, %d was asked", id, own, shard)
	}
	return nil
}
