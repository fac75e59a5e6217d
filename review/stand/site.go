package main

import (
	"fmt"
	"time"
)

// class is a query type of a site's settings.
type class struct {
	name                  string
	aim, deadline, window time.Duration
	effect                string
	late, need, floor     float64
	followUp, least, most int // parts of the second step; least and most parts of a search
	share                 float64
}

// site is a small deployment of one of the operators, by its site file.
type site struct {
	name, discovery                      string
	zones, tenants                       []string
	cells, each, reach                   int // cells, replicas of each cell, cells in a row that hold a shard
	shards, perCall                      int
	attempts, streams                    int
	secondCopies, retryAfter, cancelling bool
	connIdle, dialTimeout                time.Duration
	drainGrace                           time.Duration
	budgetFree                           int
	budgetShare                          float64
	budgetWindow                         time.Duration
	coldFrom, fallMultiple               float64
	cold, fall                           time.Duration
	classes                              []class
	coordinators                         int
	wholeFirst                           bool   // the known list is one version old, and the first answer on a connection to discovery is the whole list
	installation                         string // the text of an installation file for coordinator %[1]d; empty for none
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// settings returns the object that a co-ordinator finds in its configuration.
func (s *site) settings() map[string]any {
	var classes, tenants []any
	var need, floor, followUp []any
	for _, c := range s.classes {
		classes = append(classes, map[string]any{
			"Name": c.name, "Aim": ms(c.aim), "Deadline": ms(c.deadline), "Effect": c.effect, "LateShare": c.late,
			"RepeatWindow": ms(c.window), "Group": "all", "Stream": false, "Worth": 1.0,
		})
		need, floor, followUp = append(need, c.need), append(floor, c.floor), append(followUp, c.followUp)
	}
	for _, name := range s.tenants {
		tenants = append(tenants, map[string]any{"Name": name, "QuotaPerS": 50.0, "Share": 1 / float64(len(s.tenants))})
	}
	safety := map[string]any{
		"Cold": ms(s.cold), "ColdFrom": s.coldFrom, "FallMultiple": s.fallMultiple, "Fall": ms(s.fall),
		"DrainGrace": ms(s.drainGrace), "AskWithin": 10000.0, "AnswerSlack": 20.0,
	}
	if s.budgetWindow > 0 {
		safety["ExtraFloor"], safety["FurtherRatio"], safety["LookBack"] = s.budgetFree, s.budgetShare, ms(s.budgetWindow)
	}
	return map[string]any{
		"Family": "fanout", "Discovery": s.discovery, "Balancers": s.coordinators, "Tick": 5.0,
		"FailureDomains": s.zones, "MachineTypes": []string{"std"}, "Classes": classes, "Tenants": tenants,
		"Specifics": map[string]any{
			"Sets": s.cells, "Reach": s.reach, "Ranges": s.shards, "PerCall": s.perCall, "Call": 0.0,
			"NeedByClass": need, "ClassFloor": floor, "FollowUp": followUp,
		},
		"Permissions": map[string]any{
			"MaxAttempts": s.attempts, "ConnIdle": ms(s.connIdle), "DialTimeout": ms(s.dialTimeout),
			"StreamsPerConn": s.streams, "SecondCopies": s.secondCopies, "Cancelling": s.cancelling,
			"RetryAfter": s.retryAfter, "MaxRetryAfter": 500.0, "Peers": false, "Probing": false,
		},
		"Safety": safety,
	}
}

// holds tells whether a cell holds a shard.
func (s *site) holds(cell, shard int) bool {
	return (cell-shard%s.cells+s.cells)%s.cells < s.reach
}

// plan returns the configuration of one co-ordinator.
func (s *site) plan(d *discovery, seed int64, zone string) map[string]any {
	known := []any{}
	d.mu.Lock()
	for _, e := range d.entries {
		known = append(known, map[string]any{
			"id": e.id, "addr": e.addr, "zone": e.zone, "kind": e.kind, "cell": e.cell, "state": e.state,
			"weight": 1.0, "started_ms": e.startedMS,
		})
	}
	version := d.version
	if s.wholeFirst {
		version--
	}
	d.mu.Unlock()
	return map[string]any{
		"discovery": d.addr(), "seed": fmt.Sprintf("%016x", seed),
		"limits":   map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"known":    map[string]any{"version": version, "full": true, "servers": known},
		"settings": s.settings(),
	}
}

// maePing is the small twin of mae-ping-esign: twelve leaves in sets of two, three co-ordinators.
func maePing() *site {
	return &site{
		name: "mae-ping-esign", discovery: "automatic", zones: []string{"hq-office", "north-depot", "river-plant"},
		tenants: []string{"nakhon-nuea", "tha-sai", "ban-klang"}, cells: 6, each: 2, reach: 1, shards: 12, perCall: 1,
		attempts: 4, streams: 32, cancelling: true, connIdle: 30 * time.Second, dialTimeout: 250 * time.Millisecond,
		drainGrace: 250 * time.Millisecond, budgetFree: 20, budgetShare: 0.2, budgetWindow: 10 * time.Second,
		coldFrom: 0.16, fallMultiple: 3, cold: 15 * time.Second, fall: 3 * time.Second, coordinators: 3,
		classes: []class{
			{name: "counter-check", aim: 1200 * time.Millisecond, deadline: 4 * time.Second, effect: "retryable", need: 0.67, floor: 0.67, least: 8, most: 12, share: 0.38},
			{name: "signing-trail", aim: 2 * time.Second, deadline: 4 * time.Second, effect: "retryable", late: 0.1, need: 1, floor: 1, followUp: 2, least: 4, most: 7, share: 0.62},
		},
	}
}

// periyar is a small deployment of periyar-qc: index nodes in sets of two, three co-ordinators.
func periyar() *site {
	return &site{
		name: "periyar-qc", discovery: "subscribe", zones: []string{"kochi", "tvm"},
		tenants: []string{"line-a", "line-b"}, cells: 6, each: 2, reach: 1, shards: 12, perCall: 1,
		attempts: 4, streams: 100, cancelling: true, connIdle: 15 * time.Second, dialTimeout: 250 * time.Millisecond,
		drainGrace: 2 * time.Second, coldFrom: 0.16, fallMultiple: 2, cold: 18 * time.Second, fall: 2 * time.Second, coordinators: 3,
		classes: []class{
			{name: "sample-pull", aim: 1500 * time.Millisecond, deadline: 4 * time.Second, effect: "retryable", late: 0.1, need: 0.6, floor: 0.6, least: 9, most: 9, share: 0.3},
			{name: "batch-trace", aim: 1200 * time.Millisecond, deadline: 4 * time.Second, effect: "retryable", late: 0.1, need: 1, floor: 1, least: 4, most: 7, share: 0.5},
			{name: "verdict-log", aim: 1500 * time.Millisecond, deadline: 4 * time.Second, effect: "fragile", late: 0.3, need: 1, floor: 1, least: 1, most: 1, share: 0.2},
		},
	}
}

// muscat is a small deployment of muscat-florist-stock: stock hosts in a ring of three, three co-ordinators.
func muscat() *site {
	return &site{
		name: "muscat-florist-stock", discovery: "subscribe", zones: []string{"ghala", "rusayl", "mabela"},
		tenants: []string{"web", "calls"}, cells: 12, each: 1, reach: 3, shards: 12, perCall: 1,
		attempts: 4, streams: 100, cancelling: true, retryAfter: true, connIdle: 30 * time.Second, dialTimeout: 250 * time.Millisecond,
		drainGrace: time.Second, coldFrom: 0.18, fallMultiple: 2.5, cold: 17 * time.Second, fall: time.Second, coordinators: 3,
		classes: []class{
			{name: "bouquet-match", aim: time.Second, deadline: 2 * time.Second, effect: "retryable", late: 0.3, need: 0.75, floor: 0.75, least: 6, most: 6, share: 0.3},
			{name: "slot-check", aim: 1200 * time.Millisecond, deadline: 3 * time.Second, effect: "retryable", late: 0.1, need: 1, floor: 1, followUp: 5, least: 4, most: 7, share: 0.5},
			{name: "stem-hold", aim: 750 * time.Millisecond, deadline: 1500 * time.Millisecond, window: 750 * time.Millisecond, effect: "dedup", late: 0.1, need: 1, floor: 1, least: 1, most: 1, share: 0.2},
		},
	}
}

// kolkata is a small deployment of kolkata-main: book nodes in a ring of two, three co-ordinators.
func kolkata() *site {
	return &site{
		name: "kolkata-main", discovery: "subscribe", zones: []string{"newtown", "saltlake", "howrah"},
		tenants: []string{"dakshin-traders", "uttarpara-sec"}, cells: 12, each: 1, reach: 2, shards: 12, perCall: 1,
		attempts: 4, streams: 32, cancelling: true, connIdle: 30 * time.Second, dialTimeout: 250 * time.Millisecond,
		drainGrace: 500 * time.Millisecond, budgetFree: 10, budgetShare: 0.05, budgetWindow: 5 * time.Second,
		coldFrom: 0.17, fallMultiple: 2.5, cold: 18 * time.Second, fall: 2 * time.Second, coordinators: 3,
		classes: []class{
			{name: "desk-sweep", aim: 2 * time.Second, deadline: 4 * time.Second, effect: "retryable", need: 1, floor: 0.5, least: 12, most: 12, share: 0.2},
			{name: "client-orders", aim: 1200 * time.Millisecond, deadline: 2500 * time.Millisecond, effect: "retryable", late: 0.1, need: 1, floor: 1, least: 4, most: 7, share: 0.5},
			{name: "top-movers", aim: 1500 * time.Millisecond, deadline: 4 * time.Second, effect: "retryable", need: 0.6, floor: 0.6, least: 6, most: 6, share: 0.3},
		},
	}
}

// laurentides is a small deployment of laurentides-scripts: index hosts in a ring of three, calls of up to four parts.
func laurentides() *site {
	return &site{
		name: "laurentides-scripts", discovery: "automatic", zones: []string{"montreal-est", "laval", "longueuil"},
		tenants: []string{"appels-nordet", "centre-riviere"}, cells: 12, each: 1, reach: 3, shards: 12, perCall: 4,
		attempts: 3, streams: 100, cancelling: true, retryAfter: true, connIdle: 15 * time.Second, dialTimeout: 250 * time.Millisecond,
		drainGrace: 2 * time.Second, budgetFree: 10, budgetShare: 0.2, budgetWindow: 10 * time.Second,
		coldFrom: 0.18, fallMultiple: 3, cold: 18 * time.Second, fall: 2 * time.Second, coordinators: 3,
		classes: []class{
			{name: "script-lookup", aim: 1500 * time.Millisecond, deadline: 3 * time.Second, effect: "retryable", late: 0.1, need: 1, floor: 1, followUp: 2, least: 4, most: 7, share: 0.5},
			{name: "reply-suggest", aim: 1500 * time.Millisecond, deadline: 3 * time.Second, effect: "retryable", late: 0.1, need: 0.6, floor: 0.6, least: 6, most: 6, share: 0.3},
			{name: "usage-mark", aim: 1500 * time.Millisecond, deadline: 3 * time.Second, window: 3 * time.Second, effect: "dedup", late: 0.1, need: 1, floor: 1, least: 1, most: 1, share: 0.2},
		},
	}
}

// ebene is ebene-main at its first size: twelve profile hosts in sets of two, two co-ordinators.
func ebene() *site {
	return &site{
		name: "ebene-main", discovery: "subscribe", zones: []string{"ebene-dc1"},
		tenants: []string{"lagoon-club", "silver-ties", "kestrel-social", "rodrigues-friends"}, cells: 6, each: 2, reach: 1, shards: 18, perCall: 1,
		attempts: 4, streams: 32, secondCopies: true, retryAfter: true, cancelling: true, connIdle: 15 * time.Second, dialTimeout: 250 * time.Millisecond,
		drainGrace: 2 * time.Second, coldFrom: 0.29, fallMultiple: 3, cold: 17 * time.Second, fall: 2 * time.Second, coordinators: 2,
		classes: []class{
			{name: "quick-picks", aim: 1500 * time.Millisecond, deadline: 5 * time.Second, effect: "retryable", late: 0.1, need: 7.0 / 9, floor: 7.0 / 9, least: 9, most: 9, share: 0.38},
			{name: "full-match", aim: 3 * time.Second, deadline: 6 * time.Second, effect: "retryable", late: 0.3, need: 1, floor: 1, followUp: 3, least: 3, most: 5, share: 0.62},
		},
	}
}

// brink is ebene with other effects, short deadlines and a short window.
func brink() *site {
	s := ebene()
	s.name = "ebene-main brink"
	s.classes = []class{
		{name: "quick-picks", aim: 500 * time.Millisecond, deadline: 1500 * time.Millisecond, effect: "dedup", window: 500 * time.Millisecond, late: 0.1, need: 7.0 / 9, floor: 7.0 / 9, least: 9, most: 9, share: 0.38},
		{name: "full-match", aim: 900 * time.Millisecond, deadline: 2 * time.Second, effect: "fragile", late: 0.3, need: 1, floor: 1, followUp: 3, least: 3, most: 5, share: 0.62},
	}
	return s
}
