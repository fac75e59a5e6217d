package main

import (
	"fmt"
	"net"
	"regexp"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// searchSite starts a small deployment whose clients and hosts speak the OpenSearch-style API: one block, held by all hosts.
func searchSite(r *run, hosts ...*searchHost) (s site, p *process, front string) {
	var list []endpoint
	for _, h := range hosts {
		list = append(list, endpoint{id: h.id, addr: h.addr, kind: "search", state: "up"})
	}
	d := newDiscovery(r, 1, list)
	s = defaultSite("n0")
	s.kinds, s.discovery, s.known = []string{"search", "std"}, d.addr, d.known()
	s.classes = []class{{name: "lookup", aim: 1500, deadline: 4000, effect: "retryable", need: 1, floor: 1, lateShare: 0.5}}
	front = freePort()
	installation := r.writeFile("installation.yaml", "opensearch:\n  listen: "+front+"\n  indices:\n"+
		"    - {name: members, type: lookup, blocks: [0]}\nhosts:\n  search: {index: members}\n")
	p = r.start("n0", "serve --installation "+installation, r.writeFile("plan.json", s.plan()))
	r.awaitReady(p, s.listen)
	return s, p, front
}

// tagQuery is a search for the members with a tag.
func tagQuery(tag string) string {
	return post("/members/_search", fmt.Sprintf(`{"query":{"term":{"tag":%q}}}`, tag))
}

var tagInAnswer = regexp.MustCompile(`"tag":"([^"]*)"`)

// secondCopy: hosts send one good answer in twenty twice, the copy directly behind, while nothing else waits on the connection.
// Clients look at whether the members that they get are those that they asked for.
func secondCopy(r *run) verdict {
	var copies, asked atomic.Int64
	answer := func(shard, body string, conn net.Conn) []byte {
		time.Sleep(10 * time.Millisecond)
		good := httpOK(oneHit(shard, tagOf(body)))
		n := asked.Add(1)
		isTwice := r.trouble && n%20 == 0
		r.record("host", "answers %s, twice %t", tagOf(body), isTwice)
		if isTwice {
			copies.Add(1)
			_, _ = conn.Write(good)
		}
		return good
	}
	_, p, front := searchSite(r, newSearchHost("s-1", answer), newSearchHost("s-2", answer))
	var wrong, good, other atomic.Int64
	var clients sync.WaitGroup
	until := time.Now().Add(10 * time.Second)
	for i := range 24 {
		clients.Go(func() {
			for n := 0; time.Now().Before(until); n++ {
				tag := fmt.Sprintf("tag-%d-%d", i, n)
				r.record("client", "asks for %s", tag)
				a := ask(front, tagQuery(tag), 6*time.Second)
				if a.status != 200 {
					other.Add(1)
					r.record("client", "asked for %s, gets %d %s %v", tag, a.status, a.body, a.err)
					continue
				}
				if strings.Contains(a.body, fmt.Sprintf(`"tag":%q`, tag)) {
					good.Add(1)
					r.record("client", "asked for %s, gets it", tag)
				} else {
					wrong.Add(1)
					r.record("client", "asked for %s, WRONG: gets 200 with %v", tag, tagInAnswer.FindAllString(a.body, -1))
				}
			}
		})
	}
	clients.Wait()
	if good.Load() == 0 {
		giveUp("nothing was answered rightly; the log: %s", p.lastLog())
	}
	return verdict{wrong.Load() > 0, fmt.Sprintf("%d answers had the members of another search, %d were right, %d other; %d second copies in %d answers of hosts",
		wrong.Load(), good.Load(), other.Load(), copies.Load(), asked.Load())}
}
