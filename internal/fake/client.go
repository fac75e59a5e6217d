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

const (
	defaultQuery = "c41e77d0"
	// answerSlack is how long after its deadline a client still reads an answer, so that late answers are seen as such.
	answerSlack = time.Second
)

// Search is one search of a client's schedule.
type Search struct {
	At       time.Duration // from the start of the schedule
	ID       string
	Type     string
	Shards   []int
	Patience time.Duration
	Tenant   string // none where empty
	Query    string // a default where empty
}

// Encode returns the request.
func (s Search) Encode() string {
	var shards []string
	for _, shard := range s.Shards {
		shards = append(shards, fmt.Sprintf(`{"range":%d,"portion":%g}`, shard, 1/float64(len(s.Shards))))
	}
	body := fmt.Sprintf(`{"ranges":[%s],"predicate":%q}`, strings.Join(shards, ","), cmp.Or(s.Query, defaultQuery))
	tenant := ""
	if s.Tenant != "" {
		tenant = "X-Tenant: " + s.Tenant + "\r\n"
	}
	return fmt.Sprintf("POST /%s HTTP/1.1\r\nHost: x\r\nX-Request-Id: %s\r\nX-Class: %s\r\nX-Deadline: %.3f\r\n%s"+
		"Content-Length: %d\r\n\r\n%s", s.Type, s.ID, s.Type, s.Patience.Seconds(), tenant, len(body), body)
}

// SearchResult is what became of a search. Latency counts from when the search was due, not from when it could be sent.
type SearchResult struct {
	At      time.Duration
	Latency time.Duration
	Status  int // 0 for no answer
	Type    string
	Body    string
}

// PlaySearches plays a schedule against a coordinator: each search at its time, however slow the answers before it are, over
// connections that are kept and of which more are opened when all are busy. The results of a schedule that ctx cuts short end there.
func PlaySearches(ctx context.Context, addr string, searches []Search) []SearchResult {
	results := make([]SearchResult, len(searches))
	idle := make(chan net.Conn, len(searches))
	var running sync.WaitGroup
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
		running.Go(func() {
			result := SearchResult{At: s.At, Type: s.Type}
			result.Status, result.Body = sendSearch(addr, s, idle)
			result.Latency = time.Since(start) - s.At
			results[i] = result
		})
	}
	running.Wait()
	for {
		select {
		case conn := <-idle:
			conn.Close()
		default:
			return results
		}
	}
}

// sendSearch sends a search on an idle connection, or a new one. An idle one that was closed meanwhile is retried once on a new one, as
// clients do.
func sendSearch(addr string, s Search, idle chan net.Conn) (status int, body string) {
	for range 2 {
		conn, reused, err := takeConnection(addr, s.Patience, idle)
		if err != nil {
			return 0, err.Error()
		}
		conn.SetDeadline(time.Now().Add(s.Patience + answerSlack))
		if _, err := conn.Write([]byte(s.Encode())); err != nil {
			conn.Close()
			continue
		}
		status, _, text, keepAlive, err := http1.NewReader(conn, make([]byte, readBufferSize)).ReadResponse()
		if err != nil {
			conn.Close()
			if reused {
				continue
			}
			return 0, err.Error()
		}
		if keepAlive {
			idle <- conn
		} else {
			conn.Close()
		}
		return status, string(text)
	}
	return 0, "no connection"
}

func takeConnection(addr string, timeout time.Duration, idle chan net.Conn) (conn net.Conn, reused bool, err error) {
	select {
	case conn = <-idle:
		return conn, true, nil
	default:
		conn, err = net.DialTimeout("tcp", addr, timeout)
		return conn, false, err
	}
}
