package config

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against settings and shadow settings whose flat names differ from those of the plan's settings.
func TestSettingsAndShadowSettings(t *testing.T) {
	file, err := Parse([]byte("settings: {Permissions: {RetryAfter: false}}\nshadow:\n  settings:\n    Specifics: {ClassFloor: [0.5, 1]}\n"+
		"    Classes: [{Deadline: 4000}]\n"), "")
	require.NoError(t, err)
	require.Equal(t, map[string]string{"Permissions.RetryAfter": "false"}, FlattenSettings(file.Settings))
	require.Equal(t, map[string]string{"Specifics.ClassFloor": "0.5,1", "Classes.0.Deadline": "4000"}, FlattenSettings(file.Shadow.Settings))
}

// Guards against a setting that is accepted both in an object and by its flat name, as an active or a shadow setting.
func TestDuplicateSettingsAreRejected(t *testing.T) {
	for _, section := range []string{"settings: {", "shadow:\n  settings: {"} {
		_, err := Parse([]byte(section+"Safety: {Cold: 1}, Safety.Cold: 2}\n"), "")
		require.ErrorContains(t, err, "setting Safety.Cold is given more than once")
		_, err = Parse([]byte(section+"Safety.Cold: 2}\n"), "")
		require.NoError(t, err)
	}
}

// Guards against accepting a setting for an index that the plan does not have. The error has to give the setting's
// position, whether the file gives the setting by its flat name or in a list.
func TestSettingsAreCheckedAgainstThePlan(t *testing.T) {
	classes, tenants := []string{"lookup", "full", "more"}, []string{"acme"}
	for text, want := range map[string]string{
		"settings:\n  Classes.2.Aim: 5\n":                                          "",
		"settings:\n  Classes: [{Aim: 5}, {Aim: 6}]\n":                             "",
		"settings:\n  Tenants.0.QuotaPerS: 5\n":                                    "",
		"settings:\n  Classes.7.Aim: 5\n":                                          "[2:18] settings.'Classes.7.Aim': the plan has 3 classes, counted from 0",
		"settings:\n  Classes:\n  - Aim: 5\n  - {}\n  - {}\n  - Aim: 6\n":          "[6:10] settings.Classes[3].Aim: the plan has 3 classes",
		"settings:\n  Tick: 5\nshadow:\n  settings:\n    Tenants.1.QuotaPerS: 5\n": "[5:26] shadow.settings.'Tenants.1.QuotaPerS': the plan has 1 tenants",
	} {
		file, err := Parse([]byte(text), "")
		require.NoError(t, err, text)
		for range 2 { // a second check returns the same error
			if err = file.CheckAgainstPlan(classes, tenants); want == "" {
				require.NoError(t, err, text)
			} else {
				require.ErrorContains(t, err, want, text)
				require.Len(t, err.(interface{ Unwrap() []error }).Unwrap(), 1)
			}
		}
	}
	require.NoError(t, (&File{}).CheckAgainstPlan(nil, nil))
}

// Guards against settings that apply to a class other than the one that their `Name` gives.
func TestSettingsNamedForAnotherClassAreMisplaced(t *testing.T) {
	plan := []string{"full", "lookup"}
	require.Empty(t, MisplacedSettings(map[string]string{"Classes.1.Name": "lookup", "Classes.1.Aim": "5", "Specifics.FollowUp": "0,0", "Classes.count": "9"}, plan, nil))
	require.Equal(t, map[string]string{"Classes.0.Name": `is "lookup", but the plan has "full" at this index`},
		MisplacedSettings(map[string]string{"Classes.0.Name": "lookup", "Classes.0.Aim": "5"}, plan, nil))
	require.Contains(t, MisplacedSettings(map[string]string{"Classes.99999999999999999999.Aim": "5"}, plan, nil), "Classes.99999999999999999999.Aim")
}
