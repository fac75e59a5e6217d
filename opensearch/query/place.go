package query

import (
	"encoding/binary"
	"math/bits"
	"unicode/utf16"

	"github.com/twmb/murmur3"
)

const (
	defaultSplitsLog2 = 10   // by the API's default, an index of one shard can be split into up to 1,024 shards: 2^10
	maxShards         = 1024 // shards of an index: the API's limit
)

// Placement is the API's published rule that assigns the documents of an index to its shards. The hash of a document's
// routing value, by default its _id, selects one of RoutingShards slots, and each shard has an equal range of consecutive
// slots. RoutingShards 0 stands for the API's default.
type Placement struct {
	Shards        int `yaml:"number_of_shards"`
	RoutingShards int `yaml:"number_of_routing_shards"`
}

// EffectiveRoutingShards returns RoutingShards, or the API's default if it is 0.
func (p Placement) EffectiveRoutingShards() int {
	if p.RoutingShards > 0 {
		return p.RoutingShards
	}
	splits := max(1, defaultSplitsLog2-bits.Len(uint(p.Shards-1)))
	return p.Shards << splits
}

// IsValid checks the two numbers: the API requires the routing shards to be a multiple of the shards.
func (p Placement) IsValid() bool {
	return p.Shards > 0 && p.Shards <= maxShards && p.RoutingShards >= 0 && p.EffectiveRoutingShards()%p.Shards == 0
}

// ShardFor returns the shard of the document with this routing value.
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

// checkHit checks that a hit belongs to the requested shard; a nil Placement accepts every hit. Without this check, the
// well-formed hits of another shard would be accepted, and the requested shard would count as searched.
func (p *Placement) checkHit(shard int, id, routing string) error {
	if routing == "" {
		routing = id
	}
	if p == nil {
		return nil
	}
	if actual := p.ShardFor(routing); actual != shard {
		return invalidResponse("hit %.60q belongs to shard %d, requested shard %d", id, actual, shard)
	}
	return nil
}
