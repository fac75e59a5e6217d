package config

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Settings at a place that a plan does not have are told by line and column, flat or in a list.
func TestFits(t *testing.T) {
	classes, tenants := []string{"lookup", "full", "more"}, []string{"acme"}
	for text, want := range map[string]string{
		"settings:\n  Classes.2.Aim: 5\n":                                          "",
		"settings:\n  Classes: [{Aim: 5}, {Aim: 6}]\n":                             "",
		"settings:\n  Tenants.0.QuotaPerS: 5\n":                                    "",
		"settings:\n  Classes.7.Aim: 5\n":                                          "[2:18] settings.'Classes.7.Aim': the plan has 3 classes, counted from 0",
		"settings:\n  Classes:\n  - Aim: 5\n  - {}\n  - {}\n  - Aim: 6\n":          "[6:10] settings.Classes[3].Aim: the plan has 3 classes",
		"settings:\n  Tick: 5\nshadow:\n  settings:\n    Tenants.1.QuotaPerS: 5\n": "[5:26] shadow.settings.'Tenants.1.QuotaPerS': the plan has 1 tenants",
	} {
		f, err := Parse([]byte(text), "")
		require.NoError(t, err, text)
		for range 2 { // looking again tells the same
			if err = f.CheckAgainstPlan(classes, tenants); want == "" {
				require.NoError(t, err, text)
			} else {
				require.ErrorContains(t, err, want, text)
				require.Len(t, err.(interface{ Unwrap() []error }).Unwrap(), 1)
			}
		}
	}
	require.NoError(t, (&File{}).CheckAgainstPlan(nil, nil))
}

// A setting may say whose place it means.
func TestMisplacedNames(t *testing.T) {
	plan := []string{"full", "lookup"}
	require.Empty(t, MisplacedSettings(map[string]string{"Classes.1.Name": "lookup", "Classes.1.Aim": "5", "Specifics.FollowUp": "0,0", "Classes.count": "9"}, plan, nil))
	require.Equal(t, map[string]string{"Classes.0.Name": `is "lookup", the plan has "full" at this place`},
		MisplacedSettings(map[string]string{"Classes.0.Name": "lookup", "Classes.0.Aim": "5"}, plan, nil))
	require.Contains(t, MisplacedSettings(map[string]string{"Classes.99999999999999999999.Aim": "5"}, plan, nil), "Classes.99999999999999999999.Aim")
}
