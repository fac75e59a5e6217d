package main

import (
	"os"
	"path/filepath"
	"testing"

	"chalkring/coordinator/plan"

	"github.com/stretchr/testify/require"

	"chalkring/config"
	"chalkring/control/rollout"
	"chalkring/internal/advice"
)

// A change is compared with the plan of the instance. A setting of a class or tenant that the plan does not have, or has
// elsewhere, is rejected by name before the instance restarts.
func TestChangeForAnotherPlan(t *testing.T) {
	plan, err := plan.Parse([]byte(testPlan))
	require.NoError(t, err)
	for _, test := range []struct {
		settings map[string]string
		want     string
	}{
		{map[string]string{"Classes.0.Aim": "5", "Classes.0.Name": "lookup", "Tenants.0.QuotaPerS": "5"}, ""},
		{map[string]string{"Classes.7.Aim": "5"}, "Classes.7.Aim the plan has 1 classes, counted from 0"},
		{map[string]string{"Tenants.1.QuotaPerS": "5"}, "Tenants.1.QuotaPerS the plan has 1 tenants"},
		{map[string]string{"Classes.0.Aim": "5", "Classes.0.Name": "full-match"}, `Classes.0.Name is "full-match", but the plan has "lookup"`},
	} {
		runner := &rolloutRunner{state: rolloutState{Running: &rollout.Change{Number: 4, Settings: test.settings}}}
		applied, err := runner.applyTo(&config.File{}, plan)
		if test.want == "" {
			require.NoError(t, err)
			require.NotNil(t, applied)
			continue
		}
		require.ErrorContains(t, err, "change 4 does not fit this plan: "+test.want)
		require.NotEmpty(t, advice.For(err))
		restartErr := runner.restart(t.Context(), &rollout.Restart{Change: runner.state.Running})
		require.Equal(t, err, restartErr)
	}
}

// A change file may name the class or tenant that a setting is for.
func TestChangeFileNamesAClass(t *testing.T) {
	text := "name: c\nnumber: 1\nstages: [{share: 1}]\nsettings: {Classes.0.Aim: 5, Classes.0.Name: lookup, Classes.0.Other: x}\n...\n"
	_, err := rollout.ParseChangeFile("f", []byte(text))
	require.ErrorContains(t, err, "Classes.0.Other")
	require.NotContains(t, err.Error(), "Classes.0.Name")
}

// An installation's settings for a class that its plan does not have are rejected, both at the start and by check, where a
// plan is among the files.
func TestInstallationForAnotherPlan(t *testing.T) {
	plan, err := plan.Parse([]byte(testPlan))
	require.NoError(t, err)
	dir := t.TempDir()
	good, wrong, site := filepath.Join(dir, "good.yaml"), filepath.Join(dir, "wrong.yaml"), filepath.Join(dir, "plan.json")
	require.NoError(t, os.WriteFile(good, []byte("settings:\n  Classes.0.Aim: 5\n"), 0o600))
	require.NoError(t, os.WriteFile(wrong, []byte("settings:\n  Classes.7.Aim: 5\n"), 0o600))
	require.NoError(t, os.WriteFile(site, []byte(testPlan), 0o600))
	for name, want := range map[string]string{good: "", wrong: "[2:18] settings.'Classes.7.Aim': the plan has 1 classes"} {
		file, err := config.Read(name)
		require.NoError(t, err)
		_, err = applySettings(file, plan)
		checked := (&checkFilesCommand{Files: []string{name, site}}).Run()
		if want == "" {
			require.NoError(t, err)
			require.NoError(t, checked)
			continue
		}
		require.ErrorContains(t, err, want)
		require.Error(t, checked)
	}
}
