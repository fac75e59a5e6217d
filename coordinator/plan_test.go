package coordinator

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"chalkring/coordinator/plan"
	"chalkring/internal/advice"
	"chalkring/internal/simwire"
)

// planOf returns the text of a plan whose settings edit has changed.
func planOf(t *testing.T, edit func(settings map[string]any)) []byte {
	settings := map[string]any{}
	require.NoError(t, json.Unmarshal([]byte(testSettings), &settings))
	edit(settings)
	text, err := json.Marshal(settings)
	require.NoError(t, err)
	return fmt.Appendf(nil, `{"name":"n","listen":"l","discovery":"d","seed":"1f","limits":{"cores":1,"memory_mb":64,"sockets":99},
		"known":{"version":1,"servers":[]},"settings":%s}`, text)
}

// settingAt returns an object of a list of the settings.
func settingAt(settings map[string]any, list string, i int) map[string]any {
	return settings[list].([]any)[i].(map[string]any)
}

// Names and values of settings read from a plan equal those read from the simulator's messages. Guards against a
// balancer that is configured differently in the service than in the simulator.
func TestPlanSettingsEqualSimulatorSettings(t *testing.T) {
	initial, err := parsePlan([]byte(`{"seed":"8c1f30d27a5be964","limits":{"cores":1,"memory_mb":64,"sockets":99},
		"known":{"version":0,"servers":[]},"settings":` + strings.Replace(testSettings, `"Family"`, `"Names":[],"Void":null,"Family"`, 1) + `}`))
	require.NoError(t, err)
	wire := `Family=fanout Discovery=subscribe Balancers=1 Tick=5.0 FailureDomains=z_one MachineTypes=small
		Clients.MarksRetry=true Names= Void=- Classes.count=3 Tenants.count=2 Tenants.0.Name=acme Tenants.0.QuotaPerS=1000.0
		Tenants.1.Name=other Tenants.1.QuotaPerS=1000.0 Specifics.Sets=2 Specifics.Reach=1 Specifics.Ranges=4
		Specifics.PerCall=2 Specifics.NeedByClass=0.5,1.0,1.0 Specifics.ClassFloor=0.5,1.0,1.0
		Specifics.FollowUp=0,0,2 Permissions.MaxAttempts=3 Permissions.ConnIdle=60000.0
		Permissions.DialTimeout=2000.0 Permissions.StreamsPerConn=8 Permissions.SecondCopies=true
		Permissions.Cancelling=true Permissions.RetryAfter=true Permissions.MaxRetryAfter=500.0 Safety.Cold=1000.0
		Safety.ColdFrom=0.3 Safety.FallMultiple=3.0 Safety.Fall=2000.0 Safety.DrainGrace=250.0 Safety.AskWithin=500.0`
	for i, name := range []string{"some", "all", "deep"} {
		wire += strings.ReplaceAll(fmt.Sprintf(" C.Name=%s C.Aim=4000.0 C.Deadline=8000.0 C.Effect=retryable C.LateShare=0.5",
			name), "C.", fmt.Sprintf("Classes.%d.", i))
	}
	require.Equal(t, simwire.ParseSettings(strings.Fields(wire)), initial.Settings)
	require.Equal(t, int64(-0x73e0cf2d85a4169c), initial.Seed)
}

// Each plan with one invalid or missing part is refused, and the error names that part.
func TestInvalidPlans(t *testing.T) {
	plan := `{"name":"n","listen":"l","discovery":"d","seed":"1f","limits":{"cores":1,"memory_mb":64,"sockets":99},
		"known":{"version":1,"servers":[]},"settings":` + testSettings + `}`
	_, err := parsePlan([]byte(plan))
	require.NoError(t, err)
	for _, x := range [][3]string{
		{`{"name"`, `{"name`, "invalid"},
		{`"seed":"1f"`, `"seed":"xx"`, "seed"},
		{`"sockets":99`, `"sockets":"x"`, "sockets"},
		{`"settings"`, `"other"`, "settings"},
		{`"known"`, `"other"`, "known"},
		{`"servers":[]`, `"servers":[{"id":"a"}]`, "known: entry"},
		{`"Family":"fanout"`, `"Family":"x"`, "Family"},
		{`"Tick":5.0`, `"Tick":"x"`, "Tick"},
		{`"Sets":2`, `"Sets":0`, "Specifics.Sets"},
		{`"Aim":4000.0,`, ``, "Classes.0.Aim"},
		{`"FollowUp":[0,0,2]`, `"FollowUp":[0]`, "FollowUp"},
		{`"NeedByClass":[`, `"NeedByClass":[1,`, "Specifics.NeedByClass"},
		{`"ClassFloor":[`, `"ClassFloor":[1.5,`, "Specifics.ClassFloor"},
		{`"SecondCopies":true`, `"SecondCopies":"on"`, "Permissions.SecondCopies"},
		{`"ColdFrom":0.3`, `"ColdFrom":1.5`, "Safety.ColdFrom"},
		{`"DialTimeout":2000.0,`, ``, "DialTimeout"},
	} {
		require.Contains(t, plan, x[0])
		_, err := parsePlan([]byte(strings.Replace(plan, x[0], x[1], 1)))
		require.ErrorContains(t, err, x[2])
	}
	noVariables := func(string) string { return "" }
	_, err = readPlan(noVariables)
	require.ErrorContains(t, err, "GW_CONFIG")
	_, err = readPlan(func(name string) string { return map[string]string{"GW_CONFIG": "/nowhere"}[name] })
	require.ErrorContains(t, err, "/nowhere")
}

// Names that would give a tenant the settings of another are refused. So are classes and tenants that are not lists of
// objects.
func TestAmbiguousNames(t *testing.T) {
	for _, x := range []struct {
		wantError string
		edit      func(settings map[string]any)
	}{
		{`setting Classes.2.Name: "some" is already the value of Classes.0.Name`, func(s map[string]any) { settingAt(s, "Classes", 2)["Name"] = "some" }},
		{`setting Tenants.1.Name: "acme" is already the value of Tenants.0.Name`, func(s map[string]any) { settingAt(s, "Tenants", 1)["Name"] = "acme" }},
		{`setting Tenants.1.Name: "a b" is indistinguishable from "a_b" in Tenants.0.Name`, func(s map[string]any) {
			settingAt(s, "Tenants", 0)["Name"], settingAt(s, "Tenants", 1)["Name"] = "a_b", "a b"
		}},
		{`setting FailureDomains.2: "z,1" is indistinguishable from "z 1" in FailureDomains.1`, func(s map[string]any) {
			s["FailureDomains"] = []any{"z one", "z 1", "z,1"}
		}},
		{"setting Tenants.1.Name is missing", func(s map[string]any) { delete(settingAt(s, "Tenants", 1), "Name") }},
		{"setting Tenants.0.Name is missing", func(s map[string]any) { settingAt(s, "Tenants", 0)["Name"] = "" }},
		{"setting Tenants.0.Name is missing", func(s map[string]any) { settingAt(s, "Tenants", 0)["Name"] = nil }},
		{"setting Classes.1.Name is missing", func(s map[string]any) { settingAt(s, "Classes", 1)["Name"] = nil }},
		{"setting Tenants is not a list of objects", func(s map[string]any) { s["Tenants"] = []any{"acme", "other"} }},
		{"setting Tenants is not a list of objects", func(s map[string]any) { s["Tenants"] = []any{s["Tenants"].([]any)[0], "other"} }},
		{"setting Tenants is not a list of objects", func(s map[string]any) { s["Tenants"] = map[string]any{"acme": map[string]any{"QuotaPerS": 5}} }},
		{"setting Classes is not a list of objects", func(s map[string]any) { s["Classes"] = "some" }},
	} {
		_, err := parsePlan(planOf(t, x.edit))
		require.ErrorContains(t, err, x.wantError)
	}
	for _, edit := range []func(s map[string]any){
		func(s map[string]any) { delete(s, "Tenants") }, // some sites have no tenants
		func(s map[string]any) { s["Tenants"] = []any{} },
		func(s map[string]any) { s["Tenants"] = nil },
		func(s map[string]any) { s["FailureDomains"] = []any{"z one", "z one"} }, // one zone
		func(s map[string]any) { settingAt(s, "Tenants", 0)["Name"] = "some" },   // also the name of a class
		func(s map[string]any) { settingAt(s, "Tenants", 0)["Name"] = 7 },
	} {
		_, err := parsePlan(planOf(t, edit))
		require.NoError(t, err)
	}
}

// Plans with certain numbers are refused: half a set, zero attempts, no time to connect, connections that are idle at
// once. With these the start would succeed, but searches or the process would fail later.
func TestInvalidNumbers(t *testing.T) {
	plan := string(planOf(t, func(map[string]any) {}))
	for _, x := range [][3]string{
		{`"Sets":2`, `"Sets":0.5`, "Specifics.Sets: 0.5 is not a whole number"},
		{`"Reach":1`, `"Reach":1.5`, "Specifics.Reach: 1.5 is not a whole number"},
		{`"Ranges":4`, `"Ranges":1e12`, "Specifics.Ranges: 1e12 is not a whole number"},
		{`"PerCall":2`, `"PerCall":0.5`, "Specifics.PerCall: 0.5 is not a whole number"},
		{`"FollowUp":[0,0,2]`, `"FollowUp":[0,0.5,2]`, "Specifics.FollowUp: item 1: 0.5 is not a whole number"},
		{`"MaxAttempts":3`, `"MaxAttempts":0`, "Permissions.MaxAttempts: 0 is not greater than 0"},
		{`"MaxAttempts":3`, `"MaxAttempts":true`, `Permissions.MaxAttempts: "true" is no number`},
		{`"StreamsPerConn":8`, `"StreamsPerConn":0.5`, "Permissions.StreamsPerConn: 0.5 is not a whole number"},
		{`"ConnIdle":60000`, `"ConnIdle":0`, "Permissions.ConnIdle: 0 is not greater than 0"},
		{`"DialTimeout":2000`, `"DialTimeout":0`, "Permissions.DialTimeout: 0 is not greater than 0"},
		{`"Balancers":1`, `"Balancers":0`, "Balancers: 0 is not greater than 0"},
		{`"Aim":4000`, `"Aim":false`, `Classes.0.Aim: "false" is no number`},
		{`"SecondCopies":true`, `"SecondCopies":2`, "Permissions.SecondCopies"},
		{`"Effect":"retryable"`, `"Effect":"Dedup"`, `Classes.0.Effect: "Dedup" is not one of`},
	} {
		require.Contains(t, plan, x[0])
		_, err := parsePlan([]byte(strings.Replace(plan, x[0], x[1], 1)))
		require.ErrorContains(t, err, x[2])
	}
}

// A file that is too large for a plan is not read to its end, and the error has advice.
func TestPlanTooLarge(t *testing.T) {
	l := newChildProcess(t)
	text, err := os.ReadFile(l.file)
	require.NoError(t, err)
	env := func(name string) string { return map[string]string{"GW_CONFIG": l.file}[name] }
	for long, fits := range map[int]bool{plan.MaxFileSize: true, plan.MaxFileSize + 1: false} {
		padded := append(bytes.Repeat([]byte(" "), long-len(text)), text...)
		require.NoError(t, os.WriteFile(l.file, padded, 0o600))
		_, err := readPlan(env)
		var tooLarge *plan.TooLargeError
		require.Equal(t, !fits, errors.As(err, &tooLarge), "%v", err)
		require.Equal(t, !fits, advice.For(err) != "")
	}
}

// Several event loops of one process divide its descriptors, memory and budget among them. In rules that depend on
// the number of coordinators, each event loop counts as a coordinator.
func TestPlanForShard(t *testing.T) {
	initial := &plan.Plan{MaxSockets: 100, MemoryMB: 190, Seed: 5, Settings: map[string]string{"Balancers": "3", "Safety.ExtraFloor": "6"}}
	own := initial.ForShard(1, 4)
	require.Equal(t, []any{25, 47, "12", "1.5"}, []any{own.MaxSockets, own.MemoryMB, own.Settings["Balancers"], own.Settings["Safety.ExtraFloor"]})
	require.NotEqual(t, initial.Seed, own.Seed)
	require.Equal(t, "3", initial.Settings["Balancers"])
	delete(initial.Settings, "Safety.ExtraFloor")
	require.NotContains(t, initial.ForShard(0, 4).Settings, "Safety.ExtraFloor")
}
