package recovery

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against a crash loop that never ends because each start uses the stored state that causes the crash.
func TestCrashLoopLowersTrust(t *testing.T) {
	var record StartRecord
	var levels []string
	for i := range 8 {
		var level TrustLevel
		record, level = record.RecordStart(now+int64(i)*5000, true)
		levels = append(levels, level.String())
	}
	require.Equal(t, []string{"all", "all", "no_notes", "no_list", "nothing", "no_list", "no_list", "no_list"}, levels)
	_, level := record.RecordStart(now+8*5000+crashLoopWindowMs, true)
	require.Equal(t, TrustAll, level, "more than a minute later")
	_, level = record.RecordPlannedStop().RecordStart(now+41_000, true)
	require.Equal(t, TrustAll, level, "after a planned stop")
	record, level = record.RecordStart(now-24*3_600_000, true)
	require.Equal(t, TrustWithoutEndpoints, level, "the clock was set back: the starts still count as recent")
	require.LessOrEqual(t, len(record.RecentStarts), maxRememberedStarts)
}

// Guards against wrong counts of starts, whatever their times: trust is lowered exactly if two other starts were within
// the last minute, the record is bounded, and the store is quarantined at most once in a crash loop.
func TestStartsAtRandomTimes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var record StartRecord
		startAt, earlierStarts, quarantines, exclusive := now, []int64{}, 0, rapid.Bool().Draw(t, "exclusive")
		for range rapid.IntRange(1, 40).Draw(t, "starts") {
			startAt += int64(rapid.IntRange(0, crashLoopWindowMs*3/2).Draw(t, "wait"))
			next, level := record.RecordStart(startAt, exclusive)
			recent := 0
			for _, earlier := range earlierStarts {
				if startAt-earlier < crashLoopWindowMs {
					recent++
				}
			}
			if recent == 0 {
				quarantines = 0
			}
			require.Equal(t, recent >= crashLoopStarts-1, level > TrustAll)
			if level == TrustNothing {
				quarantines++
			}
			require.LessOrEqual(t, quarantines, 1)
			require.True(t, exclusive || quarantines == 0, "a shared store is never quarantined")
			require.LessOrEqual(t, len(next.RecentStarts), maxRememberedStarts)
			encoded, err := cbor.Marshal(next)
			require.NoError(t, err)
			record = StartRecord{}
			require.NoError(t, cbor.Unmarshal(encoded, &record))
			earlierStarts = append(earlierStarts, startAt)
		}
	})
}
