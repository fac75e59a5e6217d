package rollout

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestRegistryKeepsTheHighestChanges(t *testing.T) {
	r := newRegistry()
	for number := uint64(1); number <= maxChanges+5; number++ {
		r.addChange("digest", &Change{Number: number})
	}
	require.Len(t, r.changes, maxChanges)
	require.EqualValues(t, maxChanges+5, r.highestNumber())
	require.Nil(t, r.change(5))
	require.NotNil(t, r.change(6))
	require.Nil(t, r.change(0), "the instances' own files")
}

func TestRegistryBoundsConflictingChanges(t *testing.T) {
	r := newRegistry()
	for i := range maxDigestsPerNumber + 3 {
		r.addChange(fmt.Sprint("digest", i), &Change{Number: 7})
	}
	require.Equal(t, []string{"digest0", "digest1", "digest2", "digest3"}, r.digests(7))
}

// Changes before the base and rosters of earlier changes are removed; the base is kept, since a roll-back needs it.
func TestRegistryRemovesObsoleteEntries(t *testing.T) {
	r := newRegistry()
	for number := uint64(1); number <= 4; number++ {
		r.addChange("digest", &Change{Number: number})
		r.addRoster(rosterKey(number, "digest"), []Instance{{Name: "a"}})
	}
	removed := r.removeObsolete(&Change{Number: 4, BaseNumber: 3})
	require.ElementsMatch(t, []string{
		changeKey(1, "digest"), changeKey(2, "digest"), rosterKey(1, "digest"), rosterKey(2, "digest"), rosterKey(3, "digest"),
	}, removed)
	require.NotNil(t, r.change(3))
	require.Len(t, r.rosters, 1)
}
