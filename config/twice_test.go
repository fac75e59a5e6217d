package config

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// A setting that stands in an object and by its flat name is refused, in force or watched.
func TestSettingToldTwice(t *testing.T) {
	for _, at := range []string{"settings: {", "shadow:\n  settings: {"} {
		_, err := Parse([]byte(at+"Safety: {Cold: 1}, Safety.Cold: 2}\n"), "")
		require.ErrorContains(t, err, "setting Safety.Cold is there twice")
		_, err = Parse([]byte(at+"Safety.Cold: 2}\n"), "")
		require.NoError(t, err)
	}
}
