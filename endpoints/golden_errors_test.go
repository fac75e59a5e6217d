package endpoints

import (
	"fmt"
	"strings"
	"testing"

	"chalkring/internal/golden"
)

// Guards against unintended changes of the errors of invalid updates, of the warnings about accepted ones, and
// of the numbers of states and ranks.
func TestGoldenHostListErrors(t *testing.T) {
	long := strings.Repeat("x", 201)
	rules := Rules{Zones: []string{"east", "west"}, Kinds: []string{"std"}, BlockSets: 2, SetsPerHost: 1}
	good := Host{ID: "a", Addr: "127.0.0.1:1", Zone: "east", Kind: "std", Cell: 1, Weight: 1, Line: 2, Column: 5}
	with := func(change func(h *Host)) Host {
		h := good
		change(&h)
		return h
	}
	second := with(func(h *Host) { h.ID, h.Addr, h.Line = "b", "127.0.0.1:2", 3 })
	many := make([]Host, 20_001)
	var out strings.Builder
	for _, test := range []struct {
		title  string
		update Update
	}{
		{"good", Update{Hosts: []Host{good, second}}},
		{"no id", Update{Hosts: []Host{with(func(h *Host) { h.ID = "" })}}},
		{"long id", Update{Hosts: []Host{with(func(h *Host) { h.ID = long })}}},
		{"long address", Update{Hosts: []Host{with(func(h *Host) { h.Addr = long })}}},
		{"long zone", Update{Hosts: []Host{with(func(h *Host) { h.Zone = long })}}},
		{"long kind", Update{Hosts: []Host{with(func(h *Host) { h.Kind = long })}}},
		{"twice", Update{Hosts: []Host{good, with(func(h *Host) { h.Line = 3 })}}},
		{"state below", Update{Hosts: []Host{with(func(h *Host) { h.State = -1 })}}},
		{"state above", Update{Hosts: []Host{with(func(h *Host) { h.State = 3 })}}},
		{"no address", Update{Hosts: []Host{with(func(h *Host) { h.Addr = "" })}}},
		{"removed without address", Update{Hosts: []Host{with(func(h *Host) { h.Addr, h.State = "", StateRemoved })}}},
		{"same address", Update{Hosts: []Host{good, with(func(h *Host) { h.ID = "b" })}}},
		{"no weight", Update{Hosts: []Host{with(func(h *Host) { h.Weight = 0 })}}},
		{"weight below", Update{Hosts: []Host{with(func(h *Host) { h.Weight = -1 })}}},
		{"weight above", Update{Hosts: []Host{with(func(h *Host) { h.Weight = 1000.5 })}}},
		{"zone", Update{Hosts: []Host{with(func(h *Host) { h.Zone = "north" })}}},
		{"kind", Update{Hosts: []Host{with(func(h *Host) { h.Kind = "" })}}},
		{"cell below", Update{Hosts: []Host{with(func(h *Host) { h.Cell = -1 })}}},
		{"cell above", Update{Hosts: []Host{with(func(h *Host) { h.Cell = 2 })}}},
		{"start", Update{Hosts: []Host{with(func(h *Host) { h.StartedMS = -1 })}}},
		{"not in a file", Update{Hosts: []Host{with(func(h *Host) { h.Weight, h.Line, h.Column = 0, 0, 0 })}}},
		{"too many hosts", Update{Hosts: many}},
		{"removal without id", Update{Removals: []Removal{{ID: "", RemovedBy: "discovery"}}}},
		{"removal by a long name", Update{Removals: []Removal{{ID: "a", RemovedBy: long}}}},
		{"too many removals", Update{Removals: make([]Removal, 20_001)}},
		{"changes in place of a list", Update{VersionReset: true, Partial: true}},
	} {
		test.update.Source, test.update.Rank, test.update.Version = "hosts.yaml", RankFile, 1
		changed, err := NewRegistry(rules).Apply(1, test.update)
		fmt.Fprintf(&out, "%s: changed=%t error: %v\n", test.title, changed, err)
	}

	registry := NewRegistry(rules)
	var hosts []Host
	for i := range 8 {
		hosts = append(hosts, Host{ID: fmt.Sprint("h", i), Addr: fmt.Sprint("127.0.0.1:", i+1), Zone: "east", Kind: "std", Cell: i / 7, Weight: 1})
	}
	apply := func(version int64, hosts []Host) {
		if _, err := registry.Apply(1, Update{Source: "hosts.yaml", Rank: RankFile, Version: version, Hosts: hosts}); err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&out, "warning: %q\n", registry.Warning())
	}
	apply(1, hosts)
	apply(2, hosts[4:])
	apply(3, hosts[:7])
	fmt.Fprintf(&out, "states: up=%d draining=%d removed=%d\nranks: plan=%d store=%d discovery=%d file=%d\n",
		StateUp, StateDraining, StateRemoved, RankPlan, RankStore, RankDiscovery, RankFile)
	golden.Require(t, "host_list_errors.golden", out.String())
}
