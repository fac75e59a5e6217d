package main

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// hostFile is a good host file.
func hostFile(addrs []string) string {
	var b strings.Builder
	b.WriteString("hosts:\n")
	for i, addr := range addrs {
		fmt.Fprintf(&b, "  - {id: s-%d, address: %q, zone: dc1, kind: std, cell: 0}\n", i+1, addr)
	}
	return b.String()
}

// badFile: the list comes from a watched file. Under load it is replaced by a malformed one, and then by a good one.
func badFile(r *run) verdict {
	var addrs []string
	for i := range 3 {
		name := fmt.Sprintf("s-%d", i+1)
		addrs = append(addrs, newReplica(name, func(p part) {
			r.record(name, "runs %s", p.id)
			time.Sleep(5 * time.Millisecond)
			p.good(p.text)
		}).addr)
	}
	d := newDiscovery(r, 1, nil)
	s := defaultSite("n0")
	s.discovery, s.known = d.addr, d.known()
	s.classes = []class{{name: "lookup", aim: 1500, deadline: 4000, effect: "retryable", need: 1, floor: 1, lateShare: 0.5}}
	r.writeFile("hosts.yaml", hostFile(addrs))
	installation := r.writeFile("installation.yaml", "members:\n  files: [hosts.yaml]\n")
	p := r.start("n0", "serve --installation "+installation, r.writeFile("plan.json", s.plan()))
	r.awaitReady(p, s.listen)
	var answered, other, none atomic.Int64
	until := time.Now().Add(9 * time.Second)
	var all sync.WaitGroup
	for i := range 4 {
		all.Go(func() {
			for n := 0; time.Now().Before(until) && !p.hasEnded(); n++ {
				id := fmt.Sprintf("9b1f%04x%08x", i, n)
				r.record("client", "sends %s", id)
				a := ask(s.listen, query{id: id, class: "lookup", ranges: []int{0, 1, 2}, deadline: 4 * time.Second, predicate: id}.encode(), 5*time.Second)
				r.record("client", "%s gets %d %v", id, a.status, a.err)
				switch a.status {
				case 0:
					none.Add(1)
				case 200:
					answered.Add(1)
				default:
					other.Add(1)
				}
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	change := func(text string) {
		r.record("operator", "replaces hosts.yaml by %q", text)
		r.writeFile("hosts.yaml", text)
		time.Sleep(2 * time.Second)
	}
	time.Sleep(2 * time.Second)
	if r.trouble {
		change("hosts: !include hall-a.yaml\n")
	}
	change("# the hosts of hall a\n" + hostFile(addrs))
	all.Wait()
	ended := p.hasEnded()
	if ended {
		r.record("n0", "ended: %v; its log ends with: %s", p.err, p.lastLog())
	}
	return verdict{ended || none.Load() > 0, fmt.Sprintf("the process ended: %t; %d searches answered, %d refused or failed, %d without an answer",
		ended, answered.Load(), other.Load(), none.Load())}
}
