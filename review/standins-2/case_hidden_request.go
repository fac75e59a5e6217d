package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"time"
)

// hiddenRequest: a client sends requests with both Content-Length and Transfer-Encoding, with another request in their
// bodies.
func hiddenRequest(r *run) verdict {
	var hidden, asked atomic.Int64
	answer := func(shard, body string, _ net.Conn) []byte {
		asked.Add(1)
		r.record("host", "gets for shard %s: %s", shard, body)
		if strings.Contains(body, "tag-hidden") {
			hidden.Add(1)
		}
		return httpOK(oneHit(shard, tagOf(body)))
	}
	_, _, front := searchSite(r, newSearchHost("s-1", answer))
	secret, answered := tagQuery("tag-hidden"), 0
	for n := range 5 {
		request := tagQuery(fmt.Sprintf("tag-%d", n))
		if r.trouble {
			_, plain, _ := strings.Cut(request, "\r\n\r\n")
			body := fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n%s", len(plain), plain, secret)
			request = fmt.Sprintf("POST /members/_search HTTP/1.1\r\nHost: search.svc\r\nContent-Type: application/json\r\n"+
				"Content-Length: %d\r\nTransfer-Encoding: chunked\r\n\r\n%s", len(body), body)
		}
		conn := dial(front)
		if conn == nil {
			giveUp("no connection")
		}
		source := bufio.NewReader(conn)
		r.record("client", "sends %q", request)
		a := exchange(conn, source, request, 3*time.Second)
		r.record("client", "gets %d %s %v", a.status, a.body, a.err)
		if a.status > 0 {
			answered++
		}
		if r.trouble {
			_ = conn.SetDeadline(time.Now().Add(time.Second))
			a = readAnswer(source)
			r.record("client", "gets behind it %d %s %v", a.status, a.body, a.err)
		}
		conn.Close()
	}
	return verdict{hidden.Load() > 0, fmt.Sprintf("%d parts of hidden requests came to the host, %d parts in all; 5 requests sent, %d answered",
		hidden.Load(), asked.Load(), answered)}
}
