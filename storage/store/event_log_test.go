package store

import (
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against an event log that grows without limit, or whose sequence numbers start at 0 again after a restart.
func TestEventLogContinuesOverRestartsAndIsBounded(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s")
	for run := range 3 {
		s, _ := open(t, path, Options{})
		log, err := NewEventLog(s, "events", 10)
		require.NoError(t, err)
		for i := range 3 {
			unixMs := int64(100*run + i)
			require.NoError(t, log.Append(background, []Event{
				{UnixMs: unixMs, Kind: "start", Message: strings.Repeat("w", 1000)},
				{UnixMs: unixMs, Kind: "list", Message: "b"},
			}))
		}
		if run == 2 {
			var sequences []uint64
			require.NoError(t, log.ForEach(0, "", func(e Event) bool { sequences = append(sequences, e.Sequence); return true }))
			require.Equal(t, []uint64{8, 9, 10, 11, 12, 13, 14, 15, 16, 17}, sequences)
			visited := 0
			require.NoError(t, log.ForEach(201, "start", func(e Event) bool { visited++; return len(e.Message) == maxMessageBytes }))
			require.Equal(t, 2, visited)
		}
		require.NoError(t, s.Close(background))
	}
}
