package balancer

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Each kind of setting is read in its unit, with its default if it is missing, and a cached value is the same.
func TestSettings(t *testing.T) {
	s := newSettings(map[string]string{
		"Number": "2.5", "List": "1,0.5", "On": "true", "One": "1", "Off": "false", "Empty": "",
		"Classes.1.Aim": "1500", settingMaxAttempts: "3",
	})
	for range 2 { // the second time with cached values
		require.Equal(t, 2.5, s.number("Number"))
		require.Equal(t, 2.5, s.optionalNumber("Number", 7))
		require.Equal(t, 7.0, s.optionalNumber("Missing", 7))
		require.Equal(t, int64(25), s.duration("Number"))
		require.Equal(t, int64(0), s.duration("Missing"))
		require.Equal(t, 0.5, s.listNumber("List", 1, 7))
		require.Equal(t, 7.0, s.listNumber("Missing", 1, 7))
		require.Equal(t, int64(15_000), s.queryTypeDuration(1, fieldObjective))
		require.Equal(t, int64(0), s.queryTypeDuration(0, fieldObjective))
	}
	for name, want := range map[string]bool{"On": true, "One": true, "Off": false, "Empty": false, "Missing": false} {
		require.Equal(t, want, s.isEnabled(name), name)
	}
	require.Equal(t, 3, s.maxAttempts())
}

// A required setting that is missing, or a setting that cannot be parsed, causes a panic that names it.
func TestSettingsFaults(t *testing.T) {
	s := newSettings(map[string]string{"Text": "many", "NaN": "NaN", "List": "1,many", "Switch": "perhaps"})
	for want, read := range map[string]func(){
		"setting Missing is missing":                          func() { s.number("Missing") },
		`setting Text: "many" is no number`:                   func() { s.number("Text") },
		`setting NaN: "NaN" is no number`:                     func() { s.optionalNumber("NaN", 1) },
		`setting List,1: "many" is no number`:                 func() { s.listNumber("List", 1, 0) },
		"setting List has no place 2":                         func() { s.listNumber("List", 2, 0) },
		`setting Switch: "perhaps" is neither true nor false`: func() { s.isEnabled("Switch") },
	} {
		require.PanicsWithValue(t, want, read)
	}
}
