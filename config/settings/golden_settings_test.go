package settings

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"chalkring/internal/golden"

	"github.com/stretchr/testify/require"
)

// settingNames are the settings that the balancer reads; a star stands for an index.
var settingNames = []string{
	"Balancers", "Tick",
	"Specifics.Sets", "Specifics.Reach", "Specifics.Ranges", "Specifics.PerCall", "Specifics.NeedByClass",
	"Specifics.ClassFloor", "Specifics.ShortWorth", "Specifics.FollowUp",
	"Permissions.SecondCopies", "Permissions.Cancelling", "Permissions.RetryAfter", "Permissions.MaxRetryAfter",
	"Permissions.MaxAttempts", "Permissions.ConnIdle", "Permissions.DialTimeout", "Permissions.StreamsPerConn",
	"Safety.AskWithin", "Safety.Cold", "Safety.ColdFrom", "Safety.DrainGrace", "Safety.Fall", "Safety.FallMultiple",
	"Safety.ExtraFloor", "Safety.FurtherRatio", "Safety.LookBack",
	"Classes.*.Aim", "Classes.*.Deadline", "Classes.*.RepeatWindow", "Classes.*.LateShare", "Classes.*.Effect",
	"Tenants.*.QuotaPerS",
}

// Guards against a setting without a rule, and against misspelled names that count as known.
func TestGoldenSettingNames(t *testing.T) {
	require.ElementsMatch(t, settingNames, slices.Collect(maps.Keys(rules)))
	for _, name := range settingNames {
		require.True(t, IsKnown(strings.ReplaceAll(name, "*", "12")), name)
		require.False(t, IsKnown(strings.ToLower(name)), name)
		require.False(t, IsKnown(name+"s"), name)
	}
}

// Guards against a setting that gets another rule or error text. For each kind of
// rule, the texts include one that it rejects.
func TestGoldenSettingErrors(t *testing.T) {
	texts := []string{
		"", "-1", "0", "0.5", "1", "1.5", "7", "2147483647", "2147483648", "1e400", "NaN", "Inf", "many",
		"true", "false", "yes", "retryable", "dedup", "fragile", "0.5,1", "0.5,-1", "1,1.5", "1,", "1 ,2",
	}
	var out strings.Builder
	for _, name := range append(slices.Clone(settingNames), "Family", "FailureDomains", "Classes.*.Name", "Permissions.Other") {
		name = strings.ReplaceAll(name, "*", "3")
		for _, text := range texts {
			fmt.Fprintf(&out, "%s=%q: %v\n", name, text, Validate(name, text))
		}
	}
	golden.Require(t, "setting_errors.golden", out.String())
}

// Guards against a list by search class whose length is not checked against the number of classes.
func TestGoldenSettingListErrors(t *testing.T) {
	var out strings.Builder
	for _, name := range settingNames {
		name = strings.ReplaceAll(name, "*", "3")
		for _, text := range []string{"1", "1,1", "1,1,1"} {
			fmt.Fprintf(&out, "%s=%q with 2 classes: %v\n", name, text, ValidateAll(map[string]string{name: text}, 2))
		}
	}
	fmt.Fprintf(&out, "two errors: %v\n", ValidateAll(map[string]string{"Tick": "x", "Balancers": "0"}, 1))
	golden.Require(t, "setting_list_errors.golden", out.String())
}

// Guards against changed flat names and texts of settings decoded from JSON, which the simulator's protocol relies on.
func TestGoldenFlatSettings(t *testing.T) {
	var out strings.Builder
	for _, text := range []string{
		`{"Family": "fan out", "Tick": 5.0, "Empty": "", "Void": null, "On": true, "Off": false, "Large": 1e21, "Small": 0.25}`,
		`{"Zones": ["a b", "c,d", 3, null, true], "None": [], "Mixed": [1, {"a": 2}, 3], "Nested": [[1, 2], [3]], "NoKeys": {}}`,
		`{"Classes": [{"Name": "a b", "Aim": 100}, {"Name": "c", "Sub": {"X": [1]}}], "Classes.1.Extra": 1}`,
		`{"Classes": [{"Aim": 1}], "Classes.0.Aim": 2}`,
		`{"Classes": [{"Aim": 1}], "Classes.count": 2}`,
		`{"Safety": {"Cold": 1}, "Safety.Cold": 2}`,
	} {
		for _, useNumber := range []bool{false, true} {
			d := json.NewDecoder(strings.NewReader(text))
			if useNumber {
				d.UseNumber()
			}
			var v any
			require.NoError(t, d.Decode(&v))
			flat := map[string]string{}
			err := Flatten(flat, "", v)
			fmt.Fprintf(&out, "%s numbers as text: %v\n  error: %v\n", text, useNumber, err)
			if err != nil {
				continue
			}
			for _, name := range slices.Sorted(maps.Keys(flat)) {
				fmt.Fprintf(&out, "  %s=%s\n", name, flat[name])
			}
		}
	}
	golden.Require(t, "flat_settings.golden", out.String())
}
