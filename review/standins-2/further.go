package main

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// shedAfterRun: the answers of parts that must never run twice are lost with their connections. The client of the
// OpenSearch-style API asks again where it was refused.
func shedAfterRun(r *run) verdict {
	var mu sync.Mutex
	runs := map[string]int{}
	host := newReplica("s-1", func(p part) {
		tag := tagOf(p.text)
		mu.Lock()
		runs[tag]++
		n := runs[tag]
		mu.Unlock()
		r.record("s-1", "runs %s (%s), time %d", p.id, tag, n)
		time.Sleep(20 * time.Millisecond)
		if n == 1 && r.trouble {
			p.conn.reset()
			return
		}
		p.good(oneHit(fmt.Sprint(p.shard), tag))
	})
	d := newDiscovery(r, 1, []endpoint{{id: "s-1", addr: host.addr, kind: "std", state: "up"}})
	s := defaultSite("n0")
	s.discovery, s.known = d.addr, d.known()
	s.classes = []class{{name: "verdict-log", aim: 1500, deadline: 4000, effect: "fragile", need: 1, floor: 1, lateShare: 0.3}}
	front := freePort()
	installation := r.writeFile("installation.yaml", "opensearch:\n  listen: "+front+"\n  indices:\n    - {name: members, type: verdict-log, blocks: [0]}\n")
	p := r.start("n0", "serve --installation "+installation, r.writeFile("plan.json", s.plan()))
	r.awaitReady(p, s.listen)
	shed := 0
	for n := range 10 {
		tag := fmt.Sprintf("tag-%d", n)
		a := ask(front, tagQuery(tag), 6*time.Second)
		r.record("client", "%s gets %d %s", tag, a.status, a.body)
		if a.status == 429 || a.status == 503 {
			shed++
			a = ask(front, tagQuery(tag), 6*time.Second)
			r.record("client", "%s again gets %d %s", tag, a.status, a.body)
		}
	}
	twice := 0
	mu.Lock()
	defer mu.Unlock()
	for _, n := range runs {
		if n > 1 {
			twice++
		}
	}
	return verdict{twice > 0, fmt.Sprintf("%d of 10 searches got 429 or 503 after their part had run, %d parts ran twice", shed, twice)}
}

// halfBodies: 150 bad clients stop in the middle of a body of 4 MB and stay.
func halfBodies(r *run) verdict {
	answer := func(shard, body string, _ net.Conn) []byte { return httpOK(oneHit(shard, tagOf(body))) }
	s, p, front := searchSite(r, newSearchHost("s-1", answer), newSearchHost("s-2", answer))
	var sent, ended atomic.Int64
	if r.trouble {
		for range 150 {
			go func() {
				time.Sleep(2 * time.Second)
				conn := dial(front)
				if conn == nil {
					return
				}
				defer conn.Close()
				fmt.Fprintf(conn, "POST /members/_msearch HTTP/1.1\r\nHost: x\r\nContent-Type: application/x-ndjson\r\nContent-Length: %d\r\n\r\n", 4<<20)
				piece := strings.Repeat("x", 64<<10)
				for range 63 {
					n, err := io.WriteString(conn, piece)
					sent.Add(int64(n))
					if err != nil {
						break
					}
				}
				_, _ = io.Copy(io.Discard, conn)
				ended.Add(1)
			}()
		}
	}
	return searchesWithinMemory(r, s, p, front, func() string {
		return fmt.Sprintf("bad clients sent %d MB, %d of 150 got an error or a close", sent.Load()>>20, ended.Load())
	})
}

// sendAndGo: a client sends two requests at once and goes.
func sendAndGo(r *run) verdict {
	var late, asked, leftAt atomic.Int64
	answer := func(shard, body string, _ net.Conn) []byte {
		asked.Add(1)
		if at := leftAt.Load(); at > 0 && time.Since(time.Unix(0, at)) > 150*time.Millisecond {
			late.Add(1)
			r.record("host", "%s begins %v after its client has left", tagOf(body), time.Since(time.Unix(0, at)))
		}
		time.Sleep(50 * time.Millisecond)
		return httpOK(oneHit(shard, tagOf(body)))
	}
	_, _, front := searchSite(r, newSearchHost("s-1", answer), newSearchHost("s-2", answer))
	var body strings.Builder
	for i := range 100 {
		fmt.Fprintf(&body, "{}\n{\"query\":{\"term\":{\"tag\":\"tag-%d\"}}}\n", i)
	}
	conn := dial(front)
	if conn == nil {
		giveUp("no connection")
	}
	request := post("/members/_msearch", body.String())
	if r.trouble {
		request += request
	}
	_, _ = io.WriteString(conn, request)
	time.Sleep(100 * time.Millisecond)
	conn.Close()
	leftAt.Store(time.Now().UnixNano())
	r.record("client", "leaves")
	time.Sleep(3 * time.Second)
	return verdict{late.Load() > 0, fmt.Sprintf("%d parts began later than 0.15 s after their client had left, %d in all", late.Load(), asked.Load())}
}
