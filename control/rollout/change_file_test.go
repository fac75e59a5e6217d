package rollout

import (
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"chalkring/internal/advice"
)

// A file that is truncated at any byte is rejected with advice.
func TestTruncatedFileIsRejected(t *testing.T) {
	text, err := os.ReadFile("../../deploy/rollout.yaml")
	require.NoError(t, err)
	file, err := ParseChangeFile("rollout.yaml", text)
	require.NoError(t, err)
	require.Equal(t, 4, len(file.Change.Stages))
	for length := range len(strings.TrimRight(string(text), "\n")) - 1 {
		_, err := ParseChangeFile("rollout.yaml", text[:length])
		require.NotEmpty(t, advice.For(err), "%d bytes", length)
	}
}

func TestFileErrorsNameTheirPosition(t *testing.T) {
	for _, test := range []struct{ valid, invalid, want string }{
		{"number: 12", "number: 0", "[5:9] number"},
		{"share: 0.05", "share: 1.5", "stages[1]"},
		{"watch: 5m", "watch: soon", "stages[0].watch"},
		{"ExtraFloor: 0.5", "ExtraFlor: 0.5", "Safety.ExtraFlor"},
		{"false_stops: 0.02", "false_stops: 0.5", "worse.false_stops"},
		{"silent: 4m", "silent: 4s", "silent"},
		{"then: back", "then: so what", "then"},
	} {
		text, err := os.ReadFile("../../deploy/rollout.yaml")
		require.NoError(t, err)
		require.Contains(t, string(text), test.valid)
		_, err = ParseChangeFile("rollout.yaml", []byte(strings.Replace(string(text), test.valid, test.invalid, 1)))
		require.ErrorContains(t, err, test.want)
	}
}
