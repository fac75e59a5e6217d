package subscribers

import (
	"maps"
	"slices"
)

// Delivery is what a subscriber is sent: the blocks whose values differ from those delivered last.
type Delivery struct {
	Key              Key
	Consent          uint64
	Number, Previous DeliveryNumber // Previous is the number of the delivery before, if known
	Period           int64
	Blocks           []int

	values       map[int]uint64 // hashes of all values, by block
	subscription *subscription
}

// CompleteSearch processes the result of a search: the hashes of the values by block, without missing blocks. It
// returns a delivery, which the caller ends by CompleteDelivery. ok is false if there is nothing to deliver: nothing
// has changed, the subscriber has unsubscribed or changed its details, or another gateway owns it by now.
func (g *Gateway) CompleteSearch(now int64, search DueSearch, values map[int]uint64) (delivery Delivery, ok bool) {
	s := search.subscription
	changed, changedDigest := s.changedBlocks(values)
	isCurrent := s.served && s.Consent == search.Consent && s.Details.equal(search.Details) && now-g.lastTickAt <= maxTickGap
	if !isCurrent || len(changed) == 0 {
		g.finishSearch(now, s)
		return Delivery{}, false
	}
	delivery = Delivery{
		Key: search.Key, Consent: search.Consent, Previous: s.Checkpoint.Number, Period: search.Period, Blocks: changed,
		Number: g.numberDelivery(s, changedDigest), values: s.valuesAfter(search, values), subscription: s,
	}
	s.pending = &delivery
	g.pendingDeliveries++
	g.stats.Deliveries++
	return delivery, true
}

// changedBlocks returns the blocks whose values differ from those delivered last, and a digest of their values.
func (s *subscription) changedBlocks(values map[int]uint64) (blocks []int, valuesDigest uint64) {
	blocks = []int{}
	d := newDigest()
	for _, block := range slices.Sorted(maps.Keys(values)) {
		if delivered, exists := s.Checkpoint.Values[block]; exists && delivered == values[block] {
			continue
		}
		blocks = append(blocks, block)
		d.addNumber(uint64(block))
		d.addNumber(values[block])
	}
	return blocks, d.sum()
}

// numberDelivery returns the number of a delivery. If the same values were sent in a delivery that may have arrived,
// its number is reused, so that the receiver can drop the duplicate.
func (g *Gateway) numberDelivery(s *subscription, valuesDigest uint64) DeliveryNumber {
	if s.pending != nil && s.pendingDigest == valuesDigest && s.pending.Number.Epoch == g.epoch {
		g.stats.Repeated++
		return s.pending.Number
	}
	g.lastSequence++
	s.pendingDigest = valuesDigest
	return DeliveryNumber{g.epoch, g.lastSequence, g.self.Name}
}

// valuesAfter returns the hashes of the searched blocks once the given values are delivered. Blocks without a value
// keep the hash delivered last.
func (s *subscription) valuesAfter(search DueSearch, values map[int]uint64) map[int]uint64 {
	merged := map[int]uint64{}
	for block, value := range s.Checkpoint.Values {
		if len(search.Blocks) == 0 || slices.Contains(search.Blocks, block) {
			merged[block] = value
		}
	}
	maps.Copy(merged, values)
	return merged
}

// CompleteDelivery records whether a delivery arrived. If it did, the checkpoint for the shared map is returned.
func (g *Gateway) CompleteDelivery(now int64, delivery Delivery, arrived bool) (checkpoint DeliveryCheckpoint) {
	s := delivery.subscription
	g.pendingDeliveries--
	if arrived {
		checkpoint = DeliveryCheckpoint{delivery.Number, delivery.values}
		s.pending = nil
		if s.Consent == delivery.Consent && checkpoint.compare(s.Checkpoint) > 0 {
			s.Checkpoint = checkpoint
		}
	} else {
		g.stats.Failed++
	}
	g.finishSearch(now, s)
	return checkpoint
}

// finishSearch ends a search, including its delivery, and schedules the next one.
func (g *Gateway) finishSearch(now int64, s *subscription) {
	g.inFlight--
	s.searching = false
	if s.served {
		g.scheduleNext(s, now)
	}
}
