package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"chalkring/internal/golden"

	"github.com/stretchr/testify/require"
)

// runMain in the environment makes the test binary the program itself.
const runMain = "CHALKRING_TEST_RUN_MAIN"

func init() {
	if os.Getenv(runMain) != "" {
		main()
		os.Exit(0)
	}
}

var (
	timeOfLine = regexp.MustCompile(`time=\S+ `)
	goName     = regexp.MustCompile(`Go (struct field|value of type) \S+`)
)

// command runs the program in a folder and writes its exit code and all that it says.
func command(t *testing.T, out *strings.Builder, dir string, env []string, args ...string) {
	ctx, stop := context.WithTimeout(context.Background(), time.Minute)
	defer stop()
	program, err := os.Executable()
	require.NoError(t, err)
	run := exec.CommandContext(ctx, program, args...)
	run.Dir, run.Env = dir, append([]string{runMain + "=1", "COLUMNS=100"}, env...)
	var stdout, stderr bytes.Buffer
	run.Stdout, run.Stderr = &stdout, &stderr
	err = run.Run()
	var failed *exec.ExitError
	if err != nil && !errors.As(err, &failed) {
		require.NoError(t, err)
	}
	fmt.Fprintf(out, "$ %schalkring %s\nexit code %d\n", strings.Join(append(env, ""), " "), strings.Join(args, " "), run.ProcessState.ExitCode())
	for _, x := range []struct{ name, text string }{{"stdout", stdout.String()}, {"stderr", stderr.String()}} {
		if x.text == "" {
			continue
		}
		text := strings.ReplaceAll(timeOfLine.ReplaceAllString(x.text, "time=TIME "), dir, "DIR")
		text = goName.ReplaceAllString(text, "Go $1 NAME")
		fmt.Fprintf(out, "%s:\n  %s\n", x.name, strings.ReplaceAll(strings.TrimSuffix(text, "\n"), "\n", "\n  "))
	}
	fmt.Fprintln(out)
}

// The help of each command: names, flags, defaults and texts.
func TestGoldenHelp(t *testing.T) {
	var out strings.Builder
	dir := t.TempDir()
	for _, args := range [][]string{
		{"--help"},
		{"serve", "--help"},
		{"check", "--help"},
		{"check", "files", "--help"},
		{"check", "hosts", "--help"},
		{"peers", "--help"},
		{"search", "--help"},
		{"version", "--help"},
	} {
		command(t, &out, dir, nil, args...)
	}
	golden.Require(t, "help.golden", out.String())
}

// What the program says of commands that cannot be used.
func TestGoldenCommandErrors(t *testing.T) {
	var out strings.Builder
	dir := t.TempDir()
	for _, args := range [][]string{
		{"other"},
		{"--other"},
		{"check"},
		{"check", "hosts"},
		{"check", "nowhere.yaml"},
		{"peers"},
		{"peers", "--installation=nowhere.yaml"},
		{"search"},
		{"search", "--address=127.0.0.1:1", "--index=a", "--type=b"},
		{"search", "--address=127.0.0.1:1", "--wait=soon"},
		{"search", "--address=127.0.0.1:1", "--blocks=x"},
		{"search", "--address=127.0.0.1:1", "--size=x"},
		{"version", "more"},
	} {
		command(t, &out, dir, nil, args...)
	}
	golden.Require(t, "command_errors.golden", out.String())
}

// testFiles puts one file of each kind that an operator writes into a folder, good ones and ones with an error.
func testFiles(t *testing.T) (dir string) {
	dir, err := filepath.EvalSymlinks(t.TempDir())
	require.NoError(t, err)
	for name, text := range map[string]string{
		"plan.json":             testPlan,
		"plan_no_json.json":     "{",
		"plan_setting.json":     strings.Replace(testPlan, `"Tick":5.0`, `"Tick":-1`, 1),
		"plan_names.json":       strings.Replace(testPlan, `"east","west"`, `"e 1","e_1"`, 1),
		"plan_no_listen.json":   strings.Replace(testPlan, `"listen":"127.0.0.1:0",`, "", 1),
		"plan_bad_listen.json":  strings.Replace(testPlan, `"listen":"127.0.0.1:0"`, `"listen":"192.0.2.1:1"`, 1),
		"installation.yaml":     "settings: {Classes.0.Aim: 5}\nlog: {format: json}\n",
		"unknown_key.yaml":      "log:\n  colour: red\n",
		"two_errors.yaml":       "owners: 65\nlog: {format: xml}\n",
		"wrong_type.yaml":       "owners: many\n",
		"setting.yaml":          "settings:\n  Safety: {Cold: soon}\n",
		"setting_place.yaml":    "settings:\n  Classes.7.Aim: 5\n",
		"no_keys.yaml":          "peers:\n  listen: 127.0.0.1:7400\n  tls: {certificate: a.pem, key: a.key, authorities: ca.pem}\n",
		"no_gossip_keys.yaml":   "fleet:\n  listen: 127.0.0.1:7500\n  listed: [a]\n  key: nowhere\n",
		"not_listed.yaml":       "fleet:\n  name: b\n  listen: 127.0.0.1:7500\n  listed: [a]\n",
		"no_store.yaml":         "fleet:\n  listen: 127.0.0.1:7500\n  listed: [n]\n  rollout: rollout.yaml\n",
		"rolls.yaml":            "fleet:\n  listen: 127.0.0.1:7500\n  listed: [n]\n  store: fleet.db\n  rollout: rollout.yaml\n",
		"rollout.yaml":          "name: c\nnumber: 1\nstages: [{share: 1}]\nsettings: {Classes.0.Other: x}\n...\n",
		"resides.yaml":          "fleet:\n  listen: 127.0.0.1:7500\n  listed: [n]\n  residency: contracts_zone.yaml\n",
		"contracts.yaml":        loosePolicy,
		"contracts_zone.yaml":   strings.Replace(loosePolicy, "[east, west]", "[north]", 1),
		"contracts_reach.yaml":  strings.Replace(loosePolicy, "[east, west]", "[west]", 1),
		"contracts_key.yaml":    loosePolicy + "leases: 3s\n",
		"subscribers.yaml":      "region: eu\ngeneration: 7\ncount: 1\ndeliver: http://127.0.0.1:9300/{tenant}\nsubscriptions:\n  - {tenant: acme, id: a, type: lookup, query: q, every: 30s}\n",
		"subscribers_few.yaml":  "region: eu\ngeneration: 7\ncount: 2\ndeliver: http://127.0.0.1:9300/{tenant}\nsubscriptions:\n  - {tenant: acme, id: a, type: lookup, query: q, every: 30s}\n",
		"hosts.yaml":            "hosts:\n  - {id: a, address: '127.0.0.1:1', zone: east, kind: std, cell: 0}\n  - {id: b, address: '127.0.0.1:2', zone: west, kind: std, cell: 1}\n",
		"hosts_more.json":       `{"hosts":[{"id":"c","address":"127.0.0.1:3","zone":"west","kind":"std","cell":1,"state":"draining"}]}`,
		"hosts_one_set.yaml":    "hosts:\n  - {id: a, address: '127.0.0.1:1', zone: east, kind: std, cell: 0}\n",
		"hosts_zone.yaml":       "hosts:\n  - {id: z, address: '127.0.0.1:9', zone: north, kind: std, cell: 0}\n",
		"hosts_checksum.yaml":   "# xxh64: 0000000000000000\nhosts: []\n",
		"hosts_unknown_key.yml": "hosts:\n  - id: a\n    adress: x\n", //nolint:misspell // an unknown key is the case
	} {
		require.NoError(t, os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600))
	}
	return dir
}

func TestGoldenCheck(t *testing.T) {
	var out strings.Builder
	dir := testFiles(t)
	for _, args := range []string{
		"plan.json", "plan.json installation.yaml", "installation.yaml", "files plan.json", "plan_no_json.json",
		"plan_setting.json", "plan_names.json", "unknown_key.yaml", "two_errors.yaml", "wrong_type.yaml", "setting.yaml", "setting_place.yaml",
		"setting_place.yaml plan.json", "setting_place.yaml plan_setting.json", "no_keys.yaml", "no_gossip_keys.yaml", "not_listed.yaml",
		"no_store.yaml", "rolls.yaml", "resides.yaml", "resides.yaml plan.json", "contracts.yaml", "contracts.yaml plan.json",
		"contracts_zone.yaml plan.json", "contracts_reach.yaml plan.json", "contracts_key.yaml", "subscribers.yaml", "subscribers_few.yaml",
		"plan.json unknown_key.yaml installation.yaml plan_setting.json", "hosts hosts.yaml", "hosts --plan plan.json hosts.yaml hosts_more.json",
		"hosts --plan plan.json hosts_one_set.yaml", "hosts --plan plan.json hosts_zone.yaml hosts.yaml", "hosts hosts_checksum.yaml",
		"hosts hosts_unknown_key.yml", "hosts --plan plan_setting.json hosts.yaml", "hosts.yaml",
	} {
		command(t, &out, dir, nil, append([]string{"check"}, strings.Fields(args)...)...)
	}
	golden.Require(t, "check.golden", out.String())
}

// The lines that serve logs when it cannot start: they name the variable, the file, the place and what to do.
func TestGoldenServeErrors(t *testing.T) {
	var out strings.Builder
	dir := testFiles(t)
	command(t, &out, dir, nil)
	command(t, &out, dir, nil, "serve")
	for _, plan := range []string{"nowhere.json", "plan_no_json.json", "plan_setting.json", "plan_names.json", "plan_no_listen.json", "plan_bad_listen.json"} {
		command(t, &out, dir, []string{"GW_CONFIG=" + plan})
	}
	for _, file := range []string{"nowhere.yaml", "unknown_key.yaml", "two_errors.yaml", "setting_place.yaml", "no_keys.yaml"} {
		command(t, &out, dir, []string{"GW_CONFIG=plan.json"}, "serve", "--installation="+file)
	}
	golden.Require(t, "serve_errors.golden", out.String())
}
