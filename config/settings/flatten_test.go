package settings

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a setting that is accepted both by its flat name and in an object: which of the two values is active
// after a start would depend on the iteration order of a map. Given by its flat name alone, a setting is valid.
func TestDuplicateSettingsAreRejected(t *testing.T) {
	classes := []any{map[string]any{"Aim": 100, "Name": "a"}}
	for range 50 {
		for wantError, values := range map[string]map[string]any{
			"setting Classes.0.Aim is given more than once": {"Classes": classes, "Classes.0.Aim": 900, "Classes.0.Name": "b"},
			"setting Classes.count is given more than once": {"Classes": classes, "Classes.count": 2},
			"setting Safety.Cold is given more than once":   {"Safety": map[string]any{"Cold": 1}, "Safety.Cold": 2},
		} {
			require.EqualError(t, Flatten(map[string]string{}, "", values), wantError)
		}
	}
	flat := map[string]string{}
	require.NoError(t, Flatten(flat, "", map[string]any{"Classes": classes, "Safety.Cold": 2}))
	require.Equal(t, map[string]string{"Classes.0.Aim": "100", "Classes.0.Name": "a", "Classes.count": "1", "Safety.Cold": "2"}, flat)
}
