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

	valueHashes  map[int]uint64 // by block; become those of the checkpoint once the delivery has arrived
	subscription *subscription
}

// CompleteSearch processes the result of a search: the hash of each value by block, nothing for a block without a
// value. It returns a delivery, which the caller ends by CompleteDelivery. ok is false if there is nothing to deliver:
// nothing has changed, the subscriber has unsubscribed or changed its details, or this gateway no longer serves it.
func (g *Gateway) CompleteSearch(now int64, search DueSearch, hashes map[int]uint64) (delivery Delivery, ok bool) {
	s := search.subscription
	changed, changedDigest := s.changedBlocks(hashes)
	isCurrent := s.served && s.Consent == search.Consent && s.Details.equal(search.Details) && now-g.lastTickAt <= maxTickGap
	if !isCurrent || len(changed) == 0 {
		g.finishSearch(now, s)
		return Delivery{}, false
	}
	delivery = Delivery{
		Key: search.Key, Consent: search.Consent, Previous: s.Checkpoint.Number, Period: search.Period, Blocks: changed,
		Number: g.assignNumber(s, changedDigest), valueHashes: s.hashesAfterDelivery(search, hashes), subscription: s,
	}
	s.pending = &delivery
	g.pendingDeliveries++
	g.stats.Deliveries++
	return delivery, true
}

// changedBlocks returns the blocks whose values differ from those delivered last, and a digest of these blocks and
// their hashes.
func (s *subscription) changedBlocks(hashes map[int]uint64) (blocks []int, changedDigest uint64) {
	blocks = []int{}
	d := newDigest()
	for _, block := range slices.Sorted(maps.Keys(hashes)) {
		if delivered, exists := s.Checkpoint.ValueHashes[block]; exists && delivered == hashes[block] {
			continue
		}
		blocks = append(blocks, block)
		d.addNumber(uint64(block))
		d.addNumber(hashes[block])
	}
	return blocks, d.sum()
}

// assignNumber returns the number of a delivery. If the previous delivery had the same values and may have arrived, its
// number is reused, so that the receiver can drop the duplicate.
func (g *Gateway) assignNumber(s *subscription, changedDigest uint64) DeliveryNumber {
	if s.pending != nil && s.pendingDigest == changedDigest && s.pending.Number.Epoch == g.epoch {
		g.stats.Repeated++
		return s.pending.Number
	}
	g.lastSequence++
	s.pendingDigest = changedDigest
	return DeliveryNumber{g.epoch, g.lastSequence, g.self.Name}
}

// hashesAfterDelivery returns the checkpoint's hashes for the case that the search's result is delivered. A block without
// a value in the result keeps the hash of the value delivered last.
func (s *subscription) hashesAfterDelivery(search DueSearch, hashes map[int]uint64) map[int]uint64 {
	merged := map[int]uint64{}
	for block, hash := range s.Checkpoint.ValueHashes {
		if len(search.Blocks) == 0 || slices.Contains(search.Blocks, block) {
			merged[block] = hash
		}
	}
	maps.Copy(merged, hashes)
	return merged
}

// CompleteDelivery records whether a delivery arrived. If it did, the checkpoint for the shared map is returned.
func (g *Gateway) CompleteDelivery(now int64, delivery Delivery, arrived bool) (checkpoint DeliveryCheckpoint) {
	s := delivery.subscription
	g.pendingDeliveries--
	if arrived {
		checkpoint = DeliveryCheckpoint{delivery.Number, delivery.valueHashes}
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
