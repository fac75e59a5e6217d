package crdt

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func threeReplicas() []*Map {
	return []*Map{NewMap("x#1"), NewMap("y#1"), NewMap("z#1")}
}

// After merges in any order and any number of times, the siblings of a name are exactly the changes that no later change
// superseded.
func TestMergeKeepsUnsupersededChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		replicas := threeReplicas()
		var sent []Entry
		written, superseded := map[string][]Dot{}, map[Dot]bool{}
		for range rapid.IntRange(0, 30).Draw(t, "steps") {
			replica := rapid.SampledFrom(replicas).Draw(t, "replica")
			if !rapid.Bool().Draw(t, "write") && len(sent) > 0 {
				_, err := replica.Merge("other", []Entry{rapid.SampledFrom(sent).Draw(t, "message")})
				require.NoError(t, err)
				continue
			}
			name := randomName.Draw(t, "name")
			before, after := writeRandomChange(t, replica, name)
			if len(after.Siblings) == 0 || len(before.Siblings) == 1 && before.Siblings[0].Dot == after.Siblings[0].Dot {
				continue
			}
			for _, dot := range entryDots(before) {
				superseded[dot] = true
			}
			written[name] = append(written[name], after.Siblings[0].Dot)
			sent = append(sent, after)
		}
		mergeAllAndRequireEqual(t, replicas, sent)
		for name, dots := range written {
			var remaining []Dot
			for _, dot := range dots {
				if !superseded[dot] {
					remaining = append(remaining, dot)
				}
			}
			entry, _ := replicas[0].Get(name)
			require.ElementsMatch(t, remaining, entryDots(entry), name)
		}
	})
}

// mergeAllAndRequireEqual merges all replicas with each other, and late messages into the first one, and requires that
// they are equal.
func mergeAllAndRequireEqual(t *rapid.T, replicas []*Map, late []Entry) {
	for _, to := range replicas {
		for _, from := range replicas {
			_, err := to.Merge(from.Actor(), allEntries(from))
			require.NoError(t, err)
		}
	}
	first := replicas[0]
	_, err := first.Merge("late", rapid.Permutation(late).Draw(t, "late"))
	require.NoError(t, err)
	for _, replica := range replicas[1:] {
		_, err := replica.Merge("x", allEntries(first))
		require.NoError(t, err)
		require.Equal(t, contents(first), contents(replica))
		require.Equal(t, first.Digest(TreeNode{}), replica.Digest(TreeNode{}))
	}
}

// Otherwise the replicas' states would depend on the order and the repetition of messages.
func TestMergeIsCommutativeAssociativeIdempotent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		replicas := threeReplicas()
		for range rapid.IntRange(0, 15).Draw(t, "steps") {
			replica := rapid.SampledFrom(replicas).Draw(t, "replica")
			if rapid.Bool().Draw(t, "write") {
				writeRandomChange(t, replica, randomName.Draw(t, "name"))
			} else {
				from := rapid.SampledFrom(replicas).Draw(t, "from")
				_, err := replica.Merge(from.Actor(), allEntries(from))
				require.NoError(t, err)
			}
		}
		merged := func(sources ...*Map) *Map {
			target := NewMap("m#1")
			for _, source := range sources {
				_, err := target.Merge(source.Actor(), allEntries(source))
				require.NoError(t, err)
			}
			return target
		}
		a, b, c := replicas[0], replicas[1], replicas[2]
		require.Equal(t, contents(merged(a, b)), contents(merged(b, a)))
		require.Equal(t, contents(merged(merged(a, b), c)), contents(merged(a, merged(b, c))))
		require.Equal(t, contents(merged(a, b)), contents(merged(a, b, a, b)))
	})
}
