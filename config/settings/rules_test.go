package settings

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against accepting a value that the balancer cannot use.
func TestInvalidSettingsAreRejected(t *testing.T) {
	for _, c := range []struct{ name, text, wantError string }{
		{"Specifics.NeedByClass", "0.5", "setting Specifics.NeedByClass has 1 values for 2 classes"},
		{"Specifics.ClassFloor", "0.5,0.5,0.5", "setting Specifics.ClassFloor has 3 values for 2 classes"},
		{"Specifics.NeedByClass", "0.5,-0.1", "setting Specifics.NeedByClass: item 1: -0.1 is less than 0"},
		{"Specifics.ClassFloor", "1.5,1", "setting Specifics.ClassFloor: item 0: 1.5 is greater than 1"},
		{"Specifics.ShortWorth", "0.5,much", `setting Specifics.ShortWorth: item 1: "much" is not a finite number`},
		{"Specifics.ShortWorth", "NaN,1", `setting Specifics.ShortWorth: item 0: "NaN" is not a finite number`},
		{"Permissions.SecondCopies", "maybe", `setting Permissions.SecondCopies: "maybe" is neither true nor false`},
		{"Permissions.RetryAfter", "", `setting Permissions.RetryAfter: "" is neither true nor false`},
		{"Classes.1.Deadline", "-5", "setting Classes.1.Deadline: -5 is less than 0"},
		{"Classes.0.LateShare", "1.1", "setting Classes.0.LateShare: 1.1 is greater than 1"},
		{"Classes.0.Effect", "odd", `setting Classes.0.Effect: "odd" is not one of retryable, dedup, fragile`},
		{"Safety.FallMultiple", "Inf", `setting Safety.FallMultiple: "Inf" is not a finite number`},
	} {
		require.EqualError(t, ValidateAll(map[string]string{c.name: c.text}, 2), c.wantError)
	}
}

// Guards against rejecting valid settings: a ClassFloor above NeedByClass, which is common, and settings that the balancer
// does not read, which are allowed.
func TestFlattenedSettingsAreValid(t *testing.T) {
	flat := map[string]string{}
	require.NoError(t, Flatten(flat, "", map[string]any{
		"Colour": "blue", "Permissions": map[string]any{"SecondCopies": false, "Odd": []any{1, "x"}},
		"Specifics": map[string]any{"NeedByClass": []any{0.6, 1}, "ClassFloor": []any{1, 0.5}, "FollowUp": []any{0, 3}},
		"Classes":   []any{map[string]any{"Deadline": 4000.5}, map[string]any{"Effect": "dedup"}},
	}))
	require.NoError(t, ValidateAll(flat, 2))
	require.Equal(t, []string{"false", "0.6,1", "4000.5", "2"}, []string{
		flat["Permissions.SecondCopies"],
		flat["Specifics.NeedByClass"], flat["Classes.0.Deadline"], flat["Classes.count"],
	})
	require.True(t, IsKnown("Classes.12.Deadline"))
	require.False(t, IsKnown("Permissions.Odd"))
}
