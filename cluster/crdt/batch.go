package crdt

import "slices"

// TargetMessageBytes is the approximate size at which a message is full, so that it stays under 64 KiB with its frame.
// The siblings of a single name may exceed it.
const TargetMessageBytes = 48 << 10

// maxExtraContexts is the maximum number of contexts in a batch besides its known version. The receiver refuses a batch
// with more, so the sender joins each further extra context into the causal context of its entry.
const maxExtraContexts = 64

// Batch is a message with the states of names. What the sender has seen is mostly the same for all of these names, and is
// sent only once.
type Batch struct {
	_ struct{} `cbor:",toarray"`
	// Known is the sender's known version when it held these states, or an earlier known version. A change that Known
	// covers and that the entry does not hold was superseded. Without Known, only the entries' contexts show what was
	// superseded.
	Known   Version
	Entries []Entry
	// ExtraContexts are versions that the sender had seen beyond Known for some of the names.
	ExtraContexts []Version
	// ContextIndexes has 1 + the index of the extra context for each entry, 0 for none. It may be shorter than Entries.
	ContextIndexes []uint16
}

// isValid reports whether the versions of a received batch are valid; its entries are validated one by one later.
func (b Batch) isValid() bool {
	if !b.Known.isValid() || len(b.ExtraContexts) > maxExtraContexts || len(b.ContextIndexes) > len(b.Entries) {
		return false
	}
	return !slices.ContainsFunc(b.ExtraContexts, func(v Version) bool { return !v.isValid() })
}

// batchBuilder fills a batch with records. Of a record's extra context it sends only what the batch's known version does
// not cover.
type batchBuilder struct {
	Batch
	sharedContexts []sharedContext
}

// sharedContext is the extra context of one or more records of the batch.
type sharedContext struct {
	context    Version
	difference Version // the part of context that the batch's known version does not cover
	index      uint16  // the context index of difference in the batch, 0 if it is not among ExtraContexts
}

// add appends a record and returns the approximate number of bytes by which the batch grows.
func (b *batchBuilder) add(added *record) (size int) {
	b.Entries, b.ContextIndexes = append(b.Entries, added.Entry), append(b.ContextIndexes, 0)
	size = added.encodedSize()
	if len(added.extraContext) == 0 {
		return size
	}
	shared, sharedSize := b.sharedContextFor(added.extraContext)
	size += sharedSize
	last := len(b.Entries) - 1
	if shared.index > 0 {
		b.ContextIndexes[last] = shared.index
	} else if len(shared.difference) > 0 {
		b.Entries[last].CausalContext = added.CausalContext.Join(shared.difference)
		size += shared.difference.encodedSize()
	}
	return size
}

// sharedContextFor finds or adds an extra context, and returns the approximate number of bytes by which the batch grows
// for it.
func (b *batchBuilder) sharedContextFor(context Version) (shared sharedContext, size int) {
	found := slices.IndexFunc(b.sharedContexts, func(s sharedContext) bool { return s.context.sharesMemory(context) })
	if found >= 0 {
		return b.sharedContexts[found], 0
	}
	shared = sharedContext{context: context, difference: context.subtract(b.Known)}
	if len(shared.difference) > 0 && len(b.ExtraContexts) < maxExtraContexts {
		b.ExtraContexts = append(b.ExtraContexts, shared.difference)
		shared.index = uint16(len(b.ExtraContexts))
		size = shared.difference.encodedSize()
	}
	b.sharedContexts = append(b.sharedContexts, shared)
	return shared, size
}

// BuildBatches returns the states of names for another instance, in messages of about TargetMessageBytes. States that a
// peer lacks are sent with the known version, fresh changes without it to keep them small.
func (m *Map) BuildBatches(withKnown bool, names []string) (batches []Batch) {
	for len(names) > 0 {
		var builder batchBuilder
		if withKnown {
			builder.Known = m.known
		}
		room := TargetMessageBytes - builder.Known.encodedSize()
		for room > 0 && len(names) > 0 {
			if held, ok := m.records.Get(names[0]); ok {
				room -= builder.add(held)
			}
			names = names[1:]
		}
		if len(builder.Entries) > 0 {
			batches = append(batches, builder.Batch)
		}
	}
	return batches
}
