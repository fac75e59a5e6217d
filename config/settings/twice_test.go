package settings

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// A setting that is told by its flat name beside its object is told twice: which one held would be chance, another at each
// start. Told by its flat name alone it is one.
func TestToldTwice(t *testing.T) {
	classes := []any{map[string]any{"Aim": 100, "Name": "a"}}
	for range 50 {
		all := map[string]string{}
		require.EqualError(t, Flatten(all, "", map[string]any{"Classes": classes, "Classes.0.Aim": 900, "Classes.0.Name": "b"}),
			"setting Classes.0.Aim is there twice")
		require.EqualError(t, Flatten(map[string]string{}, "", map[string]any{"Classes": classes, "Classes.count": 2}),
			"setting Classes.count is there twice")
		require.EqualError(t, Flatten(map[string]string{}, "", map[string]any{"Safety": map[string]any{"Cold": 1}, "Safety.Cold": 2}),
			"setting Safety.Cold is there twice")
	}
	all := map[string]string{}
	require.NoError(t, Flatten(all, "", map[string]any{"Classes": classes, "Safety.Cold": 2}))
	require.Equal(t, map[string]string{"Classes.0.Aim": "100", "Classes.0.Name": "a", "Classes.count": "1", "Safety.Cold": "2"}, all)
}
