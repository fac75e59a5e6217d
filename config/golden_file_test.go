package config

import (
	"fmt"
	"maps"
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"

	"chalkring/internal/golden"

	"github.com/stretchr/testify/require"

	"chalkring/internal/advice"
	"chalkring/opensearch/query"
)

// goName matches the Go type and field that the YAML library names in its errors. The golden file leaves them out, so that
// renaming a field does not change it.
var goName = regexp.MustCompile(`Go (struct field|value of type) \S+`)

// allKeys sets every key that an installation file may have.
const allKeys = `peers:
  name: n0
  place: hall 1
  listen: 127.0.0.1:7400
  ask:
    - {name: n1, address: "127.0.0.1:7401"}
    - {name: n2, address: "[::1]:7402"}
  allow: [n1, n2]
  refresh: 1m30s
  tls: {certificate: peer.pem, key: /keys/peer.key, authorities: sub/ca.pem}
opensearch:
  listen: 127.0.0.1:9200
  tls: {certificate: os.pem, key: os.key, authorities: ca.pem}
  indices:
    - {name: books, type: full, partner: acme, blocks: [0, 1], placed: {number_of_shards: 4, number_of_routing_shards: 8}}
    - {name: films, type: quick, blocks: [2]}
hosts:
  es: {index: members, placed: {number_of_shards: 4}}
  os: {index: other}
background:
  ask: {bytes_per_second: 2048, cpu_per_second: 0.5, concurrent: 2}
  keep: {concurrent: 7}
members:
  files: [hosts.yaml, /hosts, more/hosts.json]
store: chalkring.db
settings:
  Permissions: {RetryAfter: false}
  Specifics: {NeedByClass: [0.5, 1]}
  Classes: [{Aim: 100}, {Deadline: 200}]
  Tenants.0.QuotaPerS: 7
shadow:
  settings:
    Safety: {ExtraFloor: 0.5}
fleet:
  cluster: main
  name: a
  region: east
  zone: east-1
  listen: 127.0.0.1:7500
  join: ["127.0.0.1:7501", "127.0.0.1:7502"]
  via: {"127.0.0.1:7501": "10.0.0.1:7501"}
  listed: [a, b]
  key: keys
  store: fleet.db
  rollout: rollout.yaml
  residency: residency.yaml
  subscribers: subscribers.yaml
owners: 4
log: {format: json, level: warn}
`

// describe writes the decoded values of a file, one line per key.
func describe(out *strings.Builder, file *File) {
	line := func(key string, value any) { fmt.Fprintf(out, "  %s: %v\n", key, value) }
	quoted := func(all []string) string { return fmt.Sprintf("%q", all) }
	tls := func(key string, t *TLS) {
		if t != nil {
			line(key, quoted([]string{t.Certificate, t.Key, t.Authorities}))
		}
	}
	placementText := func(p *query.Placement) string {
		if p == nil {
			return "none"
		}
		return fmt.Sprintf("%d of %d, %d slots", p.Shards, p.RoutingShards, p.EffectiveRoutingShards())
	}
	if peers := file.Peers; peers != nil {
		line("peers.name", peers.Name)
		line("peers.place", peers.Locality)
		line("peers.listen", peers.Listen)
		for _, target := range peers.PollTargets {
			line("peers.ask", target.Name+" at "+target.Address)
		}
		line("peers.allow", quoted(peers.AllowedPeers))
		line("peers.refresh", peers.RefreshInterval)
		tls("peers.tls", peers.TLS)
	}
	if frontend := file.OpenSearch; frontend != nil {
		line("opensearch.listen", frontend.Listen)
		tls("opensearch.tls", frontend.TLS)
		for _, index := range frontend.Indices {
			line("opensearch.indices", fmt.Sprintf("%q type %q partner %q blocks %v placed %s", index.Name, index.Type, index.Tenant, index.Blocks, placementText(index.Placement)))
		}
	}
	for _, kind := range slices.Sorted(maps.Keys(file.Hosts)) {
		line("hosts."+kind, file.Hosts[kind].Index+" placed "+placementText(file.Hosts[kind].Placement))
	}
	for _, kind := range slices.Sorted(maps.Keys(file.Background)) {
		budget := file.Background[kind]
		line("background."+kind, fmt.Sprintf("%g B/s, %g CPU, %d at once", budget.BytesPerSecond, budget.CPUPerSecond, budget.MaxConcurrent))
	}
	if file.EndpointSources != nil {
		line("members.files", quoted(file.EndpointSources.Files))
	}
	line("store", file.Store)
	for _, name := range slices.Sorted(maps.Keys(FlattenSettings(file.Settings))) {
		line("settings", name+"="+FlattenSettings(file.Settings)[name])
	}
	if file.Shadow != nil {
		for _, name := range slices.Sorted(maps.Keys(FlattenSettings(file.Shadow.Settings))) {
			line("shadow.settings", name+"="+FlattenSettings(file.Shadow.Settings)[name])
		}
	}
	if cluster := file.Cluster; cluster != nil {
		line("fleet", quoted([]string{cluster.ClusterName, cluster.Name, cluster.Region, cluster.Zone, cluster.Listen, cluster.KeyFile, cluster.StoreFile, cluster.RolloutFile, cluster.ResidencyFile, cluster.SubscribersFile}))
		line("fleet.join", quoted(cluster.Join))
		line("fleet.via", cluster.AddressOverrides)
		line("fleet.listed", quoted(cluster.VotingMembers))
	}
	line("owners", file.EventLoops)
	line("log", file.Log.Format+" "+file.Log.Level)
}

// Guards against a changed key, default or path resolution of the installation file, which operators' files rely on.
func TestGoldenInstallation(t *testing.T) {
	var out strings.Builder
	for _, x := range [][2]string{{"all keys", allKeys}, {"empty", ""}, {"empty objects", "peers: {}\nlog: {}\nbackground: {}\nhosts: {}\n"}} {
		f, err := Parse([]byte(x[1]), "/etc/chalkring")
		require.NoError(t, err, x[0])
		fmt.Fprintln(&out, x[0])
		describe(&out, f)
	}
	for _, path := range []string{"../deploy/installation.yaml", "../deploy/fleet.yaml"} {
		text, err := os.ReadFile(path)
		require.NoError(t, err)
		f, err := Parse(text, "/etc/chalkring")
		require.NoError(t, err, path)
		fmt.Fprintln(&out, path)
		describe(&out, f)
	}
	golden.Require(t, "installation.golden", out.String())
}

// Guards against an invalid file that is accepted, and against changed error texts, positions and advice. If a
// text has several faults, they are reported in the order of the checks.
func TestGoldenInstallationErrors(t *testing.T) {
	const peers, opensearch, fleet = "peers:\n  listen: 127.0.0.1:7400\n", "opensearch:\n  listen: 127.0.0.1:9200\n",
		"fleet:\n  listen: 127.0.0.1:7500\n  listed: [a, b]\n"
	const indices = opensearch + "  indices:\n    - "
	long := strings.Repeat("x", 300)
	numbers := func(n int, format string) string {
		var all []string
		for i := range n {
			all = append(all, fmt.Sprintf(format, i+1))
		}
		return "[" + strings.Join(all, ", ") + "]"
	}
	var out strings.Builder
	write := func(title string, err error) {
		fmt.Fprintln(&out, title)
		if err == nil {
			fmt.Fprintln(&out, "  no error")
			return
		}
		for _, line := range strings.Split(err.Error(), "\n") {
			fmt.Fprintf(&out, "  error: %s\n", goName.ReplaceAllString(line, "Go $1 NAME"))
		}
		fmt.Fprintf(&out, "  advice: %s\n", advice.For(err))
	}
	for _, text := range []string{
		// file as a whole
		"peers: [1\n", "peers: 7\n", "- 1\n", "other: 1\n", "Peers: {}\n", "log: {}\n---\nlog: {}\n", "log: {}\nlog: {}\n",
		// unknown keys, one for each section
		"peers: {names: x}\n", "peers: {ask: [{adress: x}]}\n", "peers: {tls: {cert: x}}\n", "opensearch: {index: x}\n", //nolint:misspell // A misspelled key is the case.
		"opensearch: {indices: [{shards: 1}]}\n", "opensearch: {indices: [{placed: {shards: 1}}]}\n", "hosts: {a: {placing: 1}}\n",
		"background: {ask: {rate: 1}}\n", "members: {file: x}\n", "shadow: {setting: {}}\n", "fleet: {quorum: 1}\n", "log: {colour: x}\n",
		"peers: {Refresh: 30s}\n", "peers: {refresh: [1]}\n",
		// peers
		"peers:\n  name: a b\n", "peers:\n  name: " + long + "\n", "peers:\n  place: " + long + "\n", "peers:\n  listen: here\n",
		"peers:\n  listen: 127.0.0.1:0\n", "peers:\n  listen: localhost:80\n", "peers:\n  allow: [n1]\n", peers + "  allow: [n1, 'n 2']\n",
		peers + "  ask:\n    - {name: a, address: b}\n", peers + "  ask:\n    - {name: '', address: '1.2.3.4:5'}\n",
		peers + "  ask:\n    - {name: a, address: '1.2.3.4:5'}\n    - {name: a, address: '1.2.3.4:6'}\n",
		peers + "  ask: " + numbers(65, "{name: p%[1]d, address: '1.2.3.4:%[1]d'}") + "\n",
		peers + "  refresh: soon\n", peers + "  refresh: 1ms\n", peers + "  refresh: 25h\n",
		peers + "  tls: {key: b, authorities: c}\n", peers + "  tls: {certificate: a, authorities: c}\n", peers + "  tls: {certificate: a, key: b}\n",
		// opensearch
		"opensearch: {}\n", opensearch, "opensearch: {listen: here, indices: [{name: a, type: t, blocks: [1]}]}\n",
		opensearch + "  indices: " + numbers(65, "{name: i%d, type: t, blocks: [1]}") + "\n",
		indices + "{name: _a, type: t, blocks: [1]}\n", indices + "{name: A, type: t, blocks: [1]}\n", indices + "{name: 'a*', type: t, blocks: [1]}\n",
		indices + "{name: '', type: t, blocks: [1]}\n", indices + "{name: a, blocks: [1]}\n", indices + "{name: a, type: t}\n",
		indices + "{name: a, type: t, blocks: [1, 1]}\n", indices + "{name: a, type: t, blocks: [-1]}\n",
		indices + "{name: a, type: t, blocks: [1]}\n    - {name: a, type: t, blocks: [1]}\n",
		indices + "{name: a, type: t, blocks: [1], placed: {number_of_shards: 0}}\n",
		indices + "{name: a, type: t, blocks: [4], placed: {number_of_shards: 4}}\n",
		indices + "{name: a, type: t, blocks: [x]}\n",
		opensearch + "  tls: {key: b}\n  indices: [{name: a, type: t, blocks: [1]}]\n",
		// hosts, background, members
		"hosts: {a: {}}\n", "hosts:\n  a: {index: i, placed: {number_of_shards: 5, number_of_routing_shards: 8}}\n",
		"background:\n  sweep: {concurrent: 1}\n", "background:\n  ask: {bytes_per_second: 1}\n", "background:\n  ask: {bytes_per_second: many}\n",
		"background:\n  keep: {cpu_per_second: 1.5}\n", "background:\n  answer: {concurrent: 65}\n", "background:\n  answer: {concurrent: -1}\n",
		"members: {}\n", "members: {files: []}\n", "members:\n  files: [a, '']\n", "members: {files: " + numbers(65, "f%d") + "}\n",
		// settings and shadow
		"settings:\n  Permissions:\n    SecondCopy: false\n", "settings:\n  Permissions: {SecondCopies: maybe}\n",
		"settings: {Specifics: {ClassFloor: [0.5, 1.5]}}\n", "settings: {Classes: [{Deadline: -1}, {Effect: odd}]}\n",
		"settings: {Classes.7.Aim: -1}\n", "settings: {Safety: {Cold: 1}, Safety.Cold: 2}\n", "settings: [1]\n", "settings: {Family: x}\n",
		"shadow: {}\n", "shadow: {settings: {}}\n", "shadow:\n  settings:\n    Safety: {DrainGrace: soon}\n",
		// fleet
		"fleet: {}\n", "fleet:\n  listen: 0.0.0.0:7500\n  listed: [a]\n", "fleet:\n  listen: here\n  listed: [a]\n", "fleet:\n  listen: 127.0.0.1:7500\n",
		fleet + "  cluster: a b\n", fleet + "  cluster: " + strings.Repeat("c", 250) + "\n", fleet + "  name: c\n", fleet + "  name: 'a b'\n", fleet + "  region: 'a b'\n",
		fleet + "  zone: 'a b'\n", fleet + "  join: [127.0.0.1:1, b:2]\n", fleet + "  join: " + numbers(65, "'127.0.0.1:%d'") + "\n",
		fleet + "  via: {'127.0.0.1:1': x}\n", fleet + "  via: {x: '127.0.0.1:1'}\n",
		"fleet:\n  listen: 127.0.0.1:7500\n  listed: [a, b, a]\n", "fleet:\n  listen: 127.0.0.1:7500\n  listed: [a, '']\n",
		// owners and log
		"owners: 65\n", "owners: -1\n", "owners: many\n", "log: {format: xml}\n", "log:\n  level: loud\n",
		"store: [1]\n", "owners: 65\nlog: {format: xml, level: loud}\n",
	} {
		_, err := Parse([]byte(text), "/etc/chalkring")
		write(fmt.Sprintf("%.300q", text), err)
	}
	_, err := Parse(make([]byte, 1<<20+1), "")
	write("too long", err)
	_, err = Read("testdata/nowhere.yaml")
	write("no such file", err)
	_, err = Read("testdata/unknown_key.yaml")
	write("a file's error has its name before it", err)
	f, err := Parse([]byte(fleet), "")
	require.NoError(t, err)
	_, err = f.Cluster.ForInstance("c")
	write("an instance that is not listed", err)
	golden.Require(t, "installation_errors.golden", out.String())
}

// Guards against settings for classes or tenants that the plan does not have: without an error they would have no effect.
func TestGoldenInstallationPlanErrors(t *testing.T) {
	var out strings.Builder
	for _, text := range []string{
		"settings:\n  Classes.2.Aim: 5\n", "settings:\n  Classes.7.Aim: 5\n", "settings:\n  Classes: [{}, {}, {Aim: 5}]\n",
		"settings:\n  Classes: [{Name: full, Aim: 5}, {Name: lookup}]\n", "settings: {Tenants: [{QuotaPerS: 5}, {QuotaPerS: 6}]}\n",
		"shadow:\n  settings:\n    Tenants.1.QuotaPerS: 5\n", "settings: {Classes.9.Aim: 1}\nshadow: {settings: {Tenants.8.QuotaPerS: 1}}\n",
	} {
		f, err := Parse([]byte(text), "")
		fmt.Fprintf(&out, "%q\n", text)
		if err == nil {
			err = f.CheckAgainstPlan([]string{"lookup", "full"}, []string{"acme"})
		}
		fmt.Fprintf(&out, "  error: %s\n", strings.ReplaceAll(fmt.Sprint(err), "\n", "\n  error: "))
	}
	golden.Require(t, "installation_plan_errors.golden", out.String())
}
