package crdt

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// contents returns all that a replica holds as text, including tombstones.
func contents(replica *Map) string {
	text := ""
	for _, entry := range allEntries(replica) {
		text += fmt.Sprintln(entry.Name, entry.Siblings, entry.CausalContext)
	}
	return text
}

func allEntries(replica *Map) (entries []Entry) {
	replica.records.Scan(func(_ string, held *record) bool {
		entries = append(entries, held.Entry)
		return true
	})
	return entries
}

func entryDots(entry Entry) (dots []Dot) {
	for _, sibling := range entry.Siblings {
		dots = append(dots, sibling.Dot)
	}
	return dots
}

var randomName = rapid.SampledFrom([]string{"a", "b", "c"})

// writeRandomChange makes a random change to a name and returns the state before and after it.
func writeRandomChange(t *rapid.T, replica *Map, name string) (before, after Entry) {
	before, _ = replica.Get(name)
	var err error
	if rapid.IntRange(0, 2).Draw(t, "delete") == 0 {
		after, err = replica.Delete(name)
	} else {
		after, err = replica.Put(name, rapid.SliceOfN(rapid.Byte(), 0, 2).Draw(t, "value"))
	}
	require.NoError(t, err)
	return before, after
}

// exchangeToEnd runs an exchange to its end: each of replica and other merges what it lacks of the other's state.
func exchangeToEnd(t *testing.T, replica, other *Map) {
	exchange := replica.NewExchange(ActorInstance(other.Actor()), 7)
	for {
		request, ok := exchange.NextRequest()
		if !ok {
			break
		}
		response, err := other.HandleRequest(ActorInstance(replica.Actor()), request)
		require.NoError(t, err)
		_, lacking, err := exchange.ApplyResponse(response)
		require.NoError(t, err)
		_, err = other.MergeBatch(replica.Actor(), buildBatch(replica, true, lacking...))
		require.NoError(t, err)
	}
	require.True(t, exchange.IsComplete())
}

// buildBatch returns the states of names in one batch, whatever their size.
func buildBatch(replica *Map, withKnown bool, names ...string) Batch {
	var builder batchBuilder
	if withKnown {
		builder.Known = replica.known
	}
	for _, name := range names {
		if held, ok := replica.records.Get(name); ok {
			builder.add(held)
		}
	}
	return builder.Batch
}
