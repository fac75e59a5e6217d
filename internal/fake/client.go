package fake

import (
	"cmp"
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"

	"chalkring/internal/http1"
)

// Search is one search of a client's schedule.
type Search struct {
	At       time.Duration // from the start of the schedule
	ID       string
	Type     string
	Shards   []int
	Patience time.Duration
	Tenant   string // none where empty
	Query    string // some where empty
}

// Encode is the request.
func (s Search) Encode() string {
	var parts []string
	for _, shard := range s.Shards {
		parts = append(parts, fmt.Sprintf(`{"range":%d,"portion":%g}`, shard, 1/float64(len(s.Shards))))
	}
	body := fmt.Sprintf(`{"ranges":[%s],"predicate":%q}`, strings.Join(parts, ","), cmp.Or(s.Query, "c41e77d0"))
	tenant := ""
	if s.Tenant != "" {
		tenant = "X-Tenant: " + s.Tenant + "\r\n"
	}
	return fmt.Sprintf("POST /%s HTTP/1.1\r\nHost: x\r\nX-Request-Id: %s\r\nX-Class: %s\r\nX-Deadline: %.3f\r\n%s"+
		"Content-Length: %d\r\n\r\n%s", s.Type, s.ID, s.Type, s.Patience.Seconds(), tenant, len(body), body)
}

// SearchResult is what came of a search; its time counts from when it was due, not from when it could be sent.
type SearchResult struct {
	At      time.Duration
	Latency time.Duration
	Status  int // 0 for no answer
	Type    string
	Body    string
}

// PlaySearches plays a schedule against a co-ordinator, each search at its time however slow the answers before it are, over
// connections that are kept and of which more are opened when all are busy.
func PlaySearches(ctx context.Context, addr string, searches []Search) []SearchResult {
	results := make([]SearchResult, len(searches))
	idle := make(chan net.Conn, len(searches))
	var g sync.WaitGroup
	start := time.Now()
	for i, s := range searches {
		select {
		case <-time.After(s.At - time.Since(start)):
		case <-ctx.Done():
		}
		if ctx.Err() != nil {
			results = results[:i]
			break
		}
		g.Go(func() {
			r := SearchResult{At: s.At, Type: s.Type}
			r.Status, r.Body = one(addr, s, idle)
			r.Latency = time.Since(start) - s.At
			results[i] = r
		})
	}
	g.Wait()
	for {
		select {
		case conn := <-idle:
			conn.Close()
		default:
			return results
		}
	}
}

// one sends a search on a connection that is free. One that was closed meanwhile is tried once more on a new one, as
// clients do.
func one(addr string, s Search, idle chan net.Conn) (status int, body string) {
	for range 2 {
		var conn net.Conn
		kept := true
		select {
		case conn = <-idle:
		default:
			kept = false
			var err error
			if conn, err = net.DialTimeout("tcp", addr, s.Patience); err != nil {
				return 0, err.Error()
			}
		}
		conn.SetDeadline(time.Now().Add(s.Patience + time.Second))
		if _, err := conn.Write([]byte(s.Encode())); err != nil {
			conn.Close()
			continue
		}
		status, _, text, keep, err := http1.NewReader(conn, make([]byte, 16<<10)).ReadResponse()
		if err != nil {
			conn.Close()
			if kept {
				continue
			}
			return 0, err.Error()
		}
		if keep {
			idle <- conn
		} else {
			conn.Close()
		}
		return status, string(text)
	}
	return 0, "no connection"
}
