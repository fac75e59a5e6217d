package main

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// leaseEnds: three instances of a fleet with a residency contract. Two are killed at once and are back 3 s later. Clients of
// the third send searches of a type that must never run twice, and send one again that was refused.
func leaseEnds(r *run) verdict {
	var mu sync.Mutex
	runs := map[string]int{}
	var list []endpoint
	for i := range 3 {
		name := fmt.Sprintf("s-%d", i+1)
		host := newReplica(name, func(p part) {
			mu.Lock()
			runs[p.text]++
			n := runs[p.text]
			mu.Unlock()
			r.record(name, "runs %s of %s, time %d", p.id, p.text, n)
			time.Sleep(400 * time.Millisecond)
			p.good("value-of-" + p.text)
		})
		list = append(list, endpoint{id: name, addr: host.addr, kind: "std", state: "up"})
	}
	d := newDiscovery(r, 1, list)
	policy := r.writeFile("residency.yaml", "generation: 1\ndefault: anywhere\nlease: 2s\nclocks: 500ms\nhost_rest: 1s\n"+
		"contracts:\n  - tenant: acme\n    zones: [dc1]\n")
	names := []string{"n0", "n1", "n2"}
	var gossip []string
	for range names {
		gossip = append(gossip, freePort())
	}
	var first site
	var processes []*process
	begin := make([]func() *process, len(names))
	for i, name := range names {
		s := defaultSite(name)
		s.discovery, s.known, s.tenant = d.addr, d.known(), "acme"
		s.classes = []class{{name: "verdict-log", aim: 1500, deadline: 4000, effect: "fragile", need: 1, floor: 1, lateShare: 0.3}}
		installation := r.writeFile(name+".yaml", fmt.Sprintf("fleet:\n  cluster: review\n  name: %s\n  region: east\n  zone: dc1\n  listen: %s\n"+
			"  join: [%s]\n  listed: [n0, n1, n2]\n  store: %s.db\n  residency: %s\n", name, gossip[i], strings.Join(gossip, ", "), name, policy))
		plan := r.writeFile(name+".json", s.plan())
		begin[i] = func() *process {
			p := r.start(name, "serve --installation "+installation, plan)
			r.awaitReady(p, s.listen)
			return p
		}
		processes = append(processes, begin[i]())
		if i == 0 {
			first = s
		}
	}
	request := func(id, effect string) string {
		return query{id: id, class: "verdict-log", ranges: []int{0}, deadline: 4 * time.Second, predicate: effect, tenant: "acme"}.encode()
	}
	var ids atomic.Int64
	send := func(effect string) answer {
		id := fmt.Sprintf("9b1f%012x", ids.Add(1))
		r.record("client", "sends %s for %s", id, effect)
		a := ask(first.listen, request(id, effect), 6*time.Second)
		r.record("client", "%s gets %d %s %v", id, a.status, a.body, a.err)
		return a
	}
	for n := 0; ; n++ { // until the lease is there
		if send(fmt.Sprint("warm-up-", n)).status == 200 {
			break
		}
		if n > 50 {
			giveUp("nothing is served at the start; the log: %s", processes[0].lastLog())
		}
		time.Sleep(200 * time.Millisecond)
	}
	var answered, refused, failed atomic.Int64
	var clients sync.WaitGroup
	clients.Go(func() {
		time.Sleep(2 * time.Second)
		if !r.trouble {
			return
		}
		for _, p := range processes[1:] {
			r.record(p.name, "SIGKILL")
			p.signal(syscall.SIGKILL)
			<-p.exited
		}
		time.Sleep(3 * time.Second)
		for _, start := range begin[1:] {
			start()
		}
	})
	for i := range 100 {
		clients.Go(func() {
			time.Sleep(time.Duration(i) * 60 * time.Millisecond)
			effect := fmt.Sprint("record-", i)
			for range 3 { // a client's own tries after an answer that says that trying again is harmless
				switch a := send(effect); a.status {
				case 200:
					answered.Add(1)
					return
				case 429, 503:
					refused.Add(1)
				default:
					failed.Add(1)
					return
				}
				time.Sleep(2500 * time.Millisecond)
			}
		})
	}
	clients.Wait()
	mu.Lock()
	defer mu.Unlock()
	twice := 0
	for effect, n := range runs {
		if n > 1 {
			twice++
			r.record("replicas", "%s ran %d times", effect, n)
		}
	}
	return verdict{twice > 0, fmt.Sprintf("%d of 100 searches whose parts must never run twice ran twice; answers: %d served, %d refused, %d failed",
		twice, answered.Load(), refused.Load(), failed.Load())}
}
