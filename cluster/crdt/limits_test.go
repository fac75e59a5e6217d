package crdt

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestPutRefusesTooLargeNamesAndValues(t *testing.T) {
	replica := NewMap("x#1")
	for _, c := range []struct {
		name  string
		value []byte
	}{
		{"a", make([]byte, MaxValueBytes+1)},
		{strings.Repeat("n", MaxNameBytes+1), nil},
		{"", nil},
	} {
		_, err := replica.Put(c.name, c.value)
		var tooLarge *TooLargeError
		require.ErrorAs(t, err, &tooLarge)
	}
}

// A full replica refuses a new name but still writes a name that has a value, and deletes until MaxTombstones is reached.
func TestFullReplicaRefusesMoreNamesAndTombstones(t *testing.T) {
	replica := NewMap("x#1")
	for i := range MaxEntries {
		_, err := replica.Put(fmt.Sprint(i), []byte("v"))
		require.NoError(t, err)
	}
	var full *CapacityExceededError
	_, err := replica.Put("more", nil)
	require.ErrorAs(t, err, &full)
	_, err = replica.Put("7", nil)
	require.NoError(t, err, "a name that already has a value")
	for i := range MaxTombstones {
		_, err := replica.Delete(fmt.Sprint(i))
		require.NoError(t, err)
	}
	_, err = replica.Delete("70000")
	require.ErrorAs(t, err, &full)
	require.Contains(t, full.Advice(), "Bring back")
}

// An entry whose causal context does not cover its sibling is refused.
func TestMergeRefusesInvalidEntries(t *testing.T) {
	_, err := NewMap("x#1").Merge("y", []Entry{{Name: "z", Siblings: []Sibling{{Dot: Dot{Actor: "y#1", Counter: 1}}}}})
	var invalid *InvalidDataError
	require.ErrorAs(t, err, &invalid)
}

// A merge that would leave more than MaxSiblings concurrent values is refused. After the next write of the name, which
// supersedes the siblings held here, the same merge succeeds.
func TestMergeRefusesTooManySiblings(t *testing.T) {
	replica := NewMap("x#1")
	concurrent := make([]Entry, MaxSiblings+1)
	for i := range concurrent {
		concurrent[i], _ = NewMap(fmt.Sprintf("c%03d#1", i)).Put("crowd", nil)
	}
	_, err := replica.Merge("y", concurrent)
	var tooMany *TooManySiblingsError
	require.ErrorAs(t, err, &tooMany)
	_, err = replica.Put("crowd", nil)
	require.NoError(t, err)
	_, err = replica.Merge("y", concurrent)
	require.NoError(t, err, "siblings that the write superseded are not merged again")
}
