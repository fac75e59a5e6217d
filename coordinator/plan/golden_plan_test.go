package plan_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"log/slog"
	"maps"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"chalkring/internal/golden"

	"github.com/stretchr/testify/require"

	"chalkring/coordinator"
	"chalkring/coordinator/plan"
	"chalkring/internal/advice"
)

// goldenPlan is a plan with every key that a plan may have.
const goldenPlan = `{"name":"east 1","listen":"127.0.0.1:8001","discovery":"127.0.0.1:9001","seed":"8c1f30d27a5be964",
"limits":{"cores":1.5,"memory_mb":192,"sockets":256},
"known":{"version":7,"full":true,"servers":[
{"id":"a","addr":"127.0.0.1:1","zone":"z one","kind":"small","cell":0,"state":"up","weight":2.5,"started_ms":1700000000000},
{"id":"b","addr":"127.0.0.1:2","zone":"z2","kind":"large","cell":1,"state":"draining"},
{"id":"c","addr":"127.0.0.1:3","zone":"z2","kind":"large","cell":1,"state":"removed"},
{"id":"d","state":"removed"}]},
"settings":` + goldenPlanSettings + `}`

const goldenPlanSettings = `{"Family":"fanout","Discovery":"subscribe","Balancers":2,"Tick":5.0,"Other":{"Nested":[1,"a b",null]},
"FailureDomains":["z one","z2"],"MachineTypes":["small","large"],"Clients":{"MarksRetry":true},
"Classes":[{"Name":"quick look","Aim":4000.5,"Deadline":8000,"RepeatWindow":10,"Effect":"retryable","LateShare":0.5},
{"Name":"full","Aim":100,"Deadline":200,"Effect":"dedup","LateShare":0.25}],
"Tenants":[{"Name":"acme, north","QuotaPerS":1000.0},{"Name":7,"QuotaPerS":0}],
"Specifics":{"Sets":2,"Reach":1,"Ranges":4,"PerCall":2,"NeedByClass":[0.5,1.0],"ClassFloor":[0.25,1],"ShortWorth":[1,0.5],"FollowUp":[0,2]},
"Permissions":{"MaxAttempts":3,"ConnIdle":60000.0,"DialTimeout":2000.0,"StreamsPerConn":8,
"SecondCopies":true,"Cancelling":true,"RetryAfter":false,"MaxRetryAfter":500.0},
"Safety":{"Cold":1000.0,"ColdFrom":0.3,"FallMultiple":3.0,"Fall":2000.0,"DrainGrace":250.0,"AskWithin":500.0,
"ExtraFloor":0.5,"FurtherRatio":0.1,"LookBack":10000}}`

// describePlan writes all that can be read from a plan.
func describePlan(out *strings.Builder, p *plan.Plan) {
	line := func(key string, value any) { fmt.Fprintf(out, "  %s: %v\n", key, value) }
	line("name", p.Name)
	line("listen", p.Listen)
	line("discovery", p.Discovery)
	line("seed", p.Seed)
	line("limits.cores", p.Cores)
	line("limits.memory_mb", p.MemoryMB)
	line("limits.sockets", p.MaxSockets)
	for _, name := range slices.Sorted(maps.Keys(p.Settings)) {
		line("settings", name+"="+p.Settings[name])
	}
	for _, list := range []string{"Classes", "Tenants"} {
		positions := p.PositionsByName(list)
		for _, name := range slices.Sorted(maps.Keys(positions)) {
			line(list, fmt.Sprintf("%q is %d", name, positions[name]))
		}
	}
	line("aims", p.LatencyObjectives())
	line("blocks", p.BlockCount())
	site := p.ResidencySite()
	line("site", fmt.Sprintf("%q %q %q %d", site.Tenants, site.Classes, site.Zones, site.Blocks))
	rules := p.EndpointRules()
	line("rules", fmt.Sprintf("%q %q %d %d", rules.Zones, rules.Kinds, rules.BlockSets, rules.SetsPerHost))
	line("known", nil)
	for _, h := range p.Known.Hosts {
		line("known", fmt.Sprintf("id=%q address=%q zone=%q kind=%q cell=%d state=%d weight=%g started_ms=%d removed=%t",
			h.ID, h.Addr, h.Zone, h.Kind, h.Cell, h.State, h.Weight, h.StartedMS, h.Removed))
	}
	line("identity", p.Identity())
}

// The values that are read from a plan, with and without an installation's settings.
func TestGoldenPlan(t *testing.T) {
	var out strings.Builder
	p, err := plan.Parse([]byte(goldenPlan))
	require.NoError(t, err)
	fmt.Fprintln(&out, "plan")
	describePlan(&out, p)
	over, err := p.WithSettings(map[string]string{"Permissions.RetryAfter": "true", "Classes.1.Aim": "50"})
	require.NoError(t, err)
	fmt.Fprintln(&out, "with an installation's settings")
	describePlan(&out, over)
	next, err := plan.Parse([]byte(strings.NewReplacer(`"Tick":5.0`, `"Tick":6`, `"cores":1.5`, `"cores":2`, `"full","Aim"`, `"whole","Aim"`).Replace(goldenPlan)))
	require.NoError(t, err)
	fmt.Fprintf(&out, "differences: %s\n", p.RestartDifferences(next))
	golden.Require(t, "plan.golden", out.String())
}

// logLine returns the line that the service logs for an error at the start.
func logLine(event string, err error) string {
	var out bytes.Buffer
	coordinator.NewLogger(&out, false, slog.LevelInfo).Error(event, advice.LogAttrs(err)...)
	return timeOfLine.ReplaceAllString(strings.TrimSpace(out.String()), "time=TIME ")
}

var (
	timeOfLine = regexp.MustCompile(`time=\S+ `)
	goName     = regexp.MustCompile(`Go (struct field|value of type) \S+`)
)

// Each case replaces one part of a valid plan; the golden file has the error and the line that is logged for it.
func TestGoldenPlanErrors(t *testing.T) {
	var out strings.Builder
	write := func(title string, err error) {
		fmt.Fprintf(&out, "%s\n  error: %v\n  logged: %s\n", title, err, logLine("no_start", err))
	}
	classes := regexp.MustCompile(`(?s)"Classes":\[.*?\],`).FindString(goldenPlan)
	tenants := regexp.MustCompile(`(?s)"Tenants":\[.*?\],`).FindString(goldenPlan)
	cases := [][2]string{
		{`{"name"`, `{"name`},
		{`"settings":{`, `"settings":[{`},
		{`"seed":"8c1f30d27a5be964"`, `"seed":"xx"`},
		{`"seed":"8c1f30d27a5be964",`, ``},
		{`"seed":"8c1f30d27a5be964"`, `"seed":5`},
		{`"seed":"8c1f30d27a5be964"`, `"seed":"18c1f30d27a5be964"`},
		{`"limits"`, `"limit"`},
		{`"cores":1.5`, `"cores":0`},
		{`"cores":1.5`, `"cores":"1"`},
		{`"cores":1.5`, `"core":1`},
		{`"memory_mb":192`, `"memory_mb":0.5`},
		{`"memory_mb":192`, `"memory":192`},
		{`"sockets":256`, `"sockets":15`},
		{`"sockets":256`, `"socket":256`},
		{`"settings"`, `"other"`},
		{`"known"`, `"other"`},
		{`"version":7`, `"version":"7"`},
		{`"version":7,`, ``},
		{`"servers"`, `"hosts"`},
		{`{"id":"a",`, `{"id":"",`},
		{`"id":"b"`, `"name":"b"`},
		{`"state":"draining"`, `"state":"Draining"`},
		{`"state":"draining"`, `"status":"up"`},
		{`"addr":"127.0.0.1:2"`, `"address":"127.0.0.1:2"`},
		{`"cell":1,"state":"draining"`, `"cell":1.5,"state":"draining"`},
		{`"cell":1,"state":"draining"`, `"cell":-1,"state":"draining"`},
		{`"cell":1,"state":"draining"`, `"cell":"x","state":"draining"`},
		{`"cell":1,"state":"draining"`, `"state":"draining"`},
		{`"Family":"fanout"`, `"Family":"x"`},
		{`"Family":"fanout",`, ``},
		{`"Name":"quick look"`, `"Name":""`},
		{`"Name":"quick look"`, `"Name":null`},
		{`"Name":"full"`, `"Name":"quick look"`},
		{`"Name":"full"`, `"Name":"quick_look"`},
		{`"Name":7`, `"Name":"acme, north"`},
		{`"Name":7`, `"Name":"acme__north"`},
		{`"Name":7,`, ``},
		{`"z one","z2"`, `"z one","z_one"`},
		{`"z one","z2"`, `"z one","z one"`},
		{classes, `"Classes":[],`},
		{classes, ``},
		{classes, `"Classes":"x",`},
		{classes, `"Classes":[1,2],`},
		{classes, `"Classes":null,`},
		{tenants, `"Tenants":[],`},
		{tenants, ``},
		{tenants, `"Tenants":{},`},
		{tenants, `"Tenants":["acme"],`},
		{`"Tick":5.0`, `"Tick":5.0,"Classes.0.Aim":1`},
		{`"Tick":5.0`, `"Tick":5.0,"Safety.Cold":1`},
		{`"NeedByClass":[0.5,1.0]`, `"NeedByClass":[1]`},
		{`"ClassFloor":[0.25,1]`, `"ClassFloor":[1,1,1]`},
		{`"ShortWorth":[1,0.5]`, `"ShortWorth":[1]`},
		{`"FollowUp":[0,2]`, `"FollowUp":[0]`},
		{`"FollowUp":[0,2]`, `"FollowUp":[]`},
	}
	// each setting, missing and with invalid values
	for _, setting := range []string{
		`"Balancers":2`, `"Tick":5.0`, `"Aim":4000.5`, `"Deadline":8000`, `"RepeatWindow":10`, `"Effect":"retryable"`,
		`"LateShare":0.5`, `"QuotaPerS":1000.0`, `"Sets":2`, `"Reach":1`, `"Ranges":4`, `"PerCall":2`, `"NeedByClass":[0.5,1.0]`, `"ClassFloor":[0.25,1]`,
		`"ShortWorth":[1,0.5]`, `"MaxAttempts":3`, `"ConnIdle":60000.0`, `"DialTimeout":2000.0`, `"StreamsPerConn":8`, `"SecondCopies":true`,
		`"Cancelling":true`, `"RetryAfter":false`, `"MaxRetryAfter":500.0`, `"Cold":1000.0`, `"ColdFrom":0.3`, `"FallMultiple":3.0`, `"Fall":2000.0`,
		`"DrainGrace":250.0`, `"AskWithin":500.0`, `"ExtraFloor":0.5`, `"FurtherRatio":0.1`, `"LookBack":10000`,
	} {
		name, _, _ := strings.Cut(setting, ":")
		cases = append(cases, [2]string{setting, `"Added":1`}, [2]string{setting, name + `:"x"`}, [2]string{setting, name + `:-1`}, [2]string{setting, name + `:0`})
	}
	for _, x := range cases {
		require.Contains(t, goldenPlan, x[0])
		_, err := plan.Parse([]byte(strings.Replace(goldenPlan, x[0], x[1], 1)))
		write(fmt.Sprintf("%.60s -> %s", strings.ReplaceAll(x[0], "\n", " "), x[1]), err)
	}
	for _, text := range []string{"", "null", "[]", "7", "{}", goldenPlan + "{}", goldenPlan + "]", `{"seed":"1","limits":[]}`} {
		_, err := plan.Parse([]byte(text))
		write(fmt.Sprintf("%.20q, %d bytes", text, len(text)), err)
	}
	p, err := plan.Parse([]byte(goldenPlan))
	require.NoError(t, err)
	_, err = p.WithSettings(map[string]string{"Tick": "-1"})
	write("an installation's setting", err)
	_, err = p.WithSettings(map[string]string{"Specifics.ClassFloor": "1"})
	write("an installation's list", err)
	_, err = p.WithShadowSettings(map[string]string{"Safety.ColdFrom": "2"})
	write("a shadow setting", err)
	golden.Require(t, "plan_errors.golden", out.String())
}

// The environment variables: which override the file, and the errors that name them.
func TestGoldenPlanEnvironment(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		return path
	}
	complete := write("plan.json", goldenPlan)
	var members map[string]any
	require.NoError(t, json.Unmarshal([]byte(goldenPlan), &members))
	without := func(key string) string {
		less := maps.Clone(members)
		delete(less, key)
		text, err := json.Marshal(less)
		require.NoError(t, err)
		return write("without_"+key+".json", string(text))
	}
	var out strings.Builder
	for _, x := range []struct {
		title string
		env   map[string]string
	}{
		{"nothing", nil},
		{"other variables alone", map[string]string{"GW_NAME": "n", "GW_LISTEN": "l", "GW_DISCOVERY": "d"}},
		{"file alone", map[string]string{"GW_CONFIG": complete}},
		{"all", map[string]string{"GW_CONFIG": complete, "GW_NAME": "n", "GW_LISTEN": "l", "GW_DISCOVERY": "d"}},
		{"empty variables", map[string]string{"GW_CONFIG": complete, "GW_NAME": "", "GW_LISTEN": "", "GW_DISCOVERY": ""}},
		{"no name", map[string]string{"GW_CONFIG": without("name")}},
		{"no listen", map[string]string{"GW_CONFIG": without("listen")}},
		{"no discovery", map[string]string{"GW_CONFIG": without("discovery")}},
		{"name from the variable", map[string]string{"GW_CONFIG": without("name"), "GW_NAME": "n"}},
		{"no such file", map[string]string{"GW_CONFIG": filepath.Join(dir, "nowhere.json")}},
		{"a folder", map[string]string{"GW_CONFIG": dir}},
		{"bad file", map[string]string{"GW_CONFIG": write("bad.json", "{}")}},
		{"no JSON", map[string]string{"GW_CONFIG": write("none.json", "{")}},
		{"too long", map[string]string{"GW_CONFIG": write("long.json", strings.Repeat(" ", 4<<20+1))}},
	} {
		fmt.Fprintln(&out, x.title)
		p, err := plan.Read(func(name string) string { return x.env[name] })
		if err == nil {
			fmt.Fprintf(&out, "  name=%q listen=%q discovery=%q\n", p.Name, p.Listen, p.Discovery)
			continue
		}
		fmt.Fprintf(&out, "  error: %s\n  logged: %s\n", strings.ReplaceAll(err.Error(), dir, "DIR"), strings.ReplaceAll(logLine("no_start", err), dir, "DIR"))
	}
	golden.Require(t, "plan_environment.golden", goName.ReplaceAllString(out.String(), "Go $1 NAME"))
}
