package crdt

import "slices"

// TargetMessageBytes is about the size of a message: under 64 KiB with its frame. The siblings of one name may need more.
const TargetMessageBytes = 48 << 10

// maxExtraContexts is the number of contexts that a batch has beside its known version; those of further entries are joined
// into their causal contexts. The receiver refuses more.
const maxExtraContexts = 64

// Batch is a message with the states of names. What the sender had seen under them is mostly the same for all, and is
// sent once.
type Batch struct {
	_ struct{} `cbor:",toarray"`
	// Known is the sender's known version as it held these states, or an earlier one: what it covers and the entry does
	// not hold was superseded. Without it the entries' contexts alone say so.
	Known   Version
	Entries []Entry
	// ExtraContexts are seen beyond Known under some of the names.
	ExtraContexts []Version
	// ContextIndexes is, for each entry, 1 + the index of its extra context, 0 for none. It may be shorter than Entries.
	ContextIndexes []uint16
}

// isValid reports whether a batch's versions from outside can be used; its entries are checked one by one.
func (b Batch) isValid() bool {
	if !b.Known.isValid() || len(b.ExtraContexts) > maxExtraContexts || len(b.ContextIndexes) > len(b.Entries) {
		return false
	}
	return !slices.ContainsFunc(b.ExtraContexts, func(v Version) bool { return !v.isValid() })
}

// batchBuilder fills a batch with records. Of the context that a record has beside its own it sends what the batch's known
// version does not cover.
type batchBuilder struct {
	Batch
	sources []sharedContext
}

// sharedContext is an extra context that some records of the batch share.
type sharedContext struct {
	context    Version
	difference Version // what the batch's known version does not cover
	index      uint16  // the context index of the difference, 0 if it has none
}

// add appends a record and returns about how many bytes the batch grows by.
func (b *batchBuilder) add(added *record) (size int) {
	b.Entries, b.ContextIndexes = append(b.Entries, added.Entry), append(b.ContextIndexes, 0)
	size = added.encodedSize()
	if len(added.extraContext) == 0 {
		return size
	}
	source, sourceSize := b.source(added.extraContext)
	size += sourceSize
	last := len(b.Entries) - 1
	if source.index > 0 {
		b.ContextIndexes[last] = source.index
	} else if len(source.difference) > 0 {
		b.Entries[last].CausalContext = added.CausalContext.Join(source.difference)
		size += source.difference.encodedSize()
	}
	return size
}

// source returns the source for an extra context, and about how many bytes the batch grows by for it.
func (b *batchBuilder) source(context Version) (source sharedContext, size int) {
	known := slices.IndexFunc(b.sources, func(s sharedContext) bool { return s.context.sharesMemory(context) })
	if known >= 0 {
		return b.sources[known], 0
	}
	source = sharedContext{context: context, difference: context.subtract(b.Known)}
	if len(source.difference) > 0 && len(b.ExtraContexts) < maxExtraContexts {
		b.ExtraContexts = append(b.ExtraContexts, source.difference)
		source.index = uint16(len(b.ExtraContexts))
		size = source.difference.encodedSize()
	}
	b.sources = append(b.sources, source)
	return source, size
}

// BuildBatches returns the states of names for another instance in messages of about TargetMessageBytes. Answers to what a
// peer lacks go with the known version; fresh changes, which are small, go without.
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
