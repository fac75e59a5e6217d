package main

import (
	"fmt"
	"sync"
	"time"
)

// openID: a process with two owners. While a client's request is open, another client sends one with the same id on a
// connection of its own. The query type must never run twice.
func openID(r *run) verdict {
	var mu sync.Mutex
	runs := map[string]int{}
	host := newReplica("s-1", func(p part) {
		mu.Lock()
		runs[p.id]++
		n := runs[p.id]
		mu.Unlock()
		r.record("s-1", "runs %s, %q, time %d", p.id, p.text, n)
		time.Sleep(500 * time.Millisecond)
		p.good("value-of-" + p.text)
	})
	d := newDiscovery(r, 1, []endpoint{{id: "s-1", addr: host.addr, kind: "std", state: "up"}})
	s := defaultSite("n0")
	s.cores, s.discovery, s.known = 2, d.addr, d.known()
	s.classes = []class{{name: "verdict-log", aim: 1500, deadline: 4000, effect: "fragile", need: 1, floor: 1, lateShare: 0.3}}
	p := r.start("n0", "serve --installation "+r.writeFile("installation.yaml", "owners: 2\n"), r.writeFile("plan.json", s.plan()))
	r.awaitReady(p, s.listen)
	served, usual := 0, 0
	for n := range 10 {
		id := fmt.Sprintf("9b1f03aa5c7e%04x", n)
		other := id
		if !r.trouble {
			other = fmt.Sprintf("77aa03aa5c7e%04x", n)
		}
		request := func(id, predicate string) string {
			return query{id: id, class: "verdict-log", ranges: []int{0}, deadline: 4 * time.Second, predicate: predicate}.encode()
		}
		first := make(chan answer, 1)
		r.record("client", "the usual client sends %s", id)
		go func() { first <- ask(s.listen, request(id, "of-the-usual-client"), 6*time.Second) }()
		time.Sleep(150 * time.Millisecond)
		r.record("client", "the other client sends %s", other)
		b := ask(s.listen, request(other, "of-the-other-client"), 6*time.Second)
		a := <-first
		r.record("client", "the usual client gets %d %s %v", a.status, a.body, a.err)
		r.record("client", "the other client gets %d %s %v", b.status, b.body, b.err)
		if a.status == 200 {
			usual++
		}
		if r.trouble && b.status == 200 {
			served++
		}
	}
	mu.Lock()
	defer mu.Unlock()
	twice := 0
	for _, n := range runs {
		if n > 1 {
			twice++
		}
	}
	if usual == 0 {
		giveUp("the usual client was never served; the log: %s", p.lastLog())
	}
	return verdict{served > 0 || twice > 0, fmt.Sprintf(
		"%d of 10 requests with the id of an open one were served, %d parts that must never run twice ran twice; the usual client was served %d times",
		served, twice, usual)}
}
