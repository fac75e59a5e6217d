package main

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// endlessLine: one answer of hosts in ten has a header line that never ends. The platform ends a process that is over its memory.
func endlessLine(r *run) verdict {
	var asked, endless atomic.Int64
	noise := strings.Repeat("x", 64<<10)
	answer := func(shard, body string, conn net.Conn) []byte {
		if n := asked.Add(1); r.trouble && n%10 == 0 {
			endless.Add(1)
			r.record("host", "answers %s with a line that never ends", tagOf(body))
			_, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Note: ")
			for err == nil {
				_, err = io.WriteString(conn, noise)
			}
			r.record("host", "the line is cut off: %v", err)
			return nil
		}
		r.record("host", "answers %s", tagOf(body))
		return httpOK(oneHit(shard, tagOf(body)))
	}
	s, p, front := searchSite(r, newSearchHost("s-1", answer))
	return searchesWithinMemory(r, s, p, front, func() string {
		return fmt.Sprintf("%d of %d answers of hosts had a line that never ends", endless.Load(), asked.Load())
	})
}

// searchesWithinMemory sends searches for 10 s, while the platform watches the process's memory: over the plan's it kills the
// process, as the deployment page says.
func searchesWithinMemory(r *run, s site, p *process, front string, more func() string) verdict {
	limit := int64(s.memoryMB) << 20
	var most, none, answered atomic.Int64
	until := time.Now().Add(10 * time.Second)
	var all sync.WaitGroup
	all.Go(func() {
		for ; time.Now().Before(until) && !p.hasEnded(); time.Sleep(5 * time.Millisecond) {
			held := p.anonymousBytes()
			most.Store(max(most.Load(), held))
			if held > limit {
				r.record("platform", "the process holds %d MB, its limit is %d MB: killed", held>>20, s.memoryMB)
				p.signal(syscall.SIGKILL)
				<-p.exited
				return
			}
		}
	})
	for i := range 4 {
		all.Go(func() {
			for n := 0; time.Now().Before(until) && !p.hasEnded(); n++ {
				tag := fmt.Sprintf("tag-%d-%d", i, n)
				r.record("client", "asks for %s", tag)
				a := ask(front, tagQuery(tag), 6*time.Second)
				r.record("client", "%s gets %d %v", tag, a.status, a.err)
				if a.status == 0 {
					none.Add(1)
				} else {
					answered.Add(1)
				}
				time.Sleep(5 * time.Millisecond)
			}
		})
	}
	all.Wait()
	return verdict{p.hasEnded(), fmt.Sprintf("the process ended: %t; memory up to %d MB of %d; %d searches answered, %d not; %s",
		p.hasEnded(), most.Load()>>20, s.memoryMB, answered.Load(), none.Load(), more())}
}
