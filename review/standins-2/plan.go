package main

import (
	"encoding/json"
	"fmt"
	"strings"
)

// class is a query type of the plan.
type class struct {
	name      string
	aim       int // ms
	deadline  int // ms
	effect    string
	window    int // ms, of repeats that are dropped
	need      float64
	floor     float64
	followUp  int
	lateShare float64
}

// site is what a plan is made from. Its figures are like those of a small deployment.
type site struct {
	name, listen, discovery string
	classes                 []class
	sets, reach, ranges     int
	perCall                 int
	maxAttempts             int
	secondCopies            bool
	connIdle                int
	dialTimeout             int
	drainGrace              int
	discoveryMode           string
	balancers               int
	kinds                   []string
	memoryMB                int
	sockets                 int
	cores                   float64
	known                   string
	tenant                  string // empty for a plan without tenants
}

func defaultSite(name string) site {
	return site{
		name: name, listen: freePort(), sets: 1, reach: 1, ranges: 3, perCall: 1, maxAttempts: 4, secondCopies: true,
		connIdle: 15000, dialTimeout: 250, drainGrace: 2000, discoveryMode: "subscribe", balancers: 1, kinds: []string{"std"},
		memoryMB: 192, sockets: 1024, cores: 1,
	}
}

func (s site) plan() string {
	var classes []map[string]any
	var need, floor, follow []float64
	for _, c := range s.classes {
		entry := map[string]any{
			"Name": c.name, "Aim": float64(c.aim), "Deadline": float64(c.deadline), "Effect": c.effect,
			"LateShare": c.lateShare, "RepeatWindow": float64(c.window),
		}
		classes = append(classes, entry)
		need, floor, follow = append(need, c.need), append(floor, c.floor), append(follow, float64(c.followUp))
	}
	plan := map[string]any{
		"name": s.name, "listen": s.listen, "discovery": s.discovery, "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"cores": s.cores, "memory_mb": s.memoryMB, "sockets": s.sockets},
		"known":  json.RawMessage(s.known),
		"settings": map[string]any{
			"Family": "fanout", "Discovery": s.discoveryMode, "Balancers": s.balancers, "Tick": 5.0,
			"FailureDomains": []string{"dc1"}, "MachineTypes": s.kinds, "Classes": classes,
			"Specifics": map[string]any{
				"Sets": s.sets, "Reach": s.reach, "Ranges": s.ranges, "PerCall": s.perCall, "NeedByClass": need, "ClassFloor": floor, "FollowUp": follow,
			},
			"Permissions": map[string]any{
				"MaxAttempts": s.maxAttempts, "ConnIdle": float64(s.connIdle), "DialTimeout": float64(s.dialTimeout), "StreamsPerConn": 32,
				"SecondCopies": s.secondCopies, "Cancelling": true, "RetryAfter": true, "MaxRetryAfter": 500.0,
			},
			"Safety": map[string]any{
				"Cold": 10000.0, "ColdFrom": 0.3, "FallMultiple": 3.0, "Fall": 2000.0, "DrainGrace": float64(s.drainGrace), "AskWithin": 10000.0,
			},
		},
	}
	if s.tenant != "" {
		plan["settings"].(map[string]any)["Tenants"] = []map[string]any{{"Name": s.tenant, "QuotaPerS": 100.0, "Share": 1.0}}
	}
	text, err := json.MarshalIndent(plan, "", " ")
	if err != nil {
		giveUp("%v", err)
	}
	return string(text)
}

// endpoint is an entry of discovery's list.
type endpoint struct {
	id, addr, kind string
	cell           int
	state          string
	startedMS      int64
}

func (e endpoint) String() string {
	return fmt.Sprintf(`{"id":%q,"addr":%q,"zone":"dc1","kind":%q,"cell":%d,"state":%q,"weight":1.0,"started_ms":%d}`,
		e.id, e.addr, e.kind, e.cell, e.state, e.startedMS)
}

func encodeList(version int, full bool, entries []endpoint) string {
	var all []string
	for _, e := range entries {
		all = append(all, e.String())
	}
	return fmt.Sprintf(`{"version":%d,"full":%t,"servers":[%s]}`, version, full, strings.Join(all, ","))
}
