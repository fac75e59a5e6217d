package benchmark

import (
	"bufio"
	"bytes"
	"context"
	_ "embed"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"chalkring/internal/fake"
)

const (
	countWarm   = 300                   // searches before the counting: connections are up, rooms are made
	countRounds = 3                     // of which the least counts: a collection in one of them is not the searches'
	countEach   = 300                   // searches of each round
	countLate   = 25 * time.Millisecond // for the parts that a quick-picks search need not wait for: the same are called off each time
	countRise   = 1.05                  // times the committed baseline that a count may be
	countLarge  = 8 << 10               // bytes of a large value
)

//go:embed counts.json
var baseline []byte

// counted is what a search costs that does not depend on the machine.
type counted struct {
	Allocs float64 `json:"allocs"`
	Bytes  float64 `json:"bytes"`  // of the allocations
	Reads  float64 `json:"reads"`  // asked of sockets
	Writes float64 `json:"writes"` // likewise
	Copied float64 `json:"copied"` // bytes read and written
}

// MeasureCounts counts what an ordinary search costs in allocations, reads, writes and bytes, for both query types with small
// and large values, and holds them against the committed baseline: a rise of more than a twentieth is a miss.
func MeasureCounts(ctx context.Context, seed int64) (Result, error) {
	ctx, stop := context.WithTimeout(ctx, 55*time.Second)
	defer stop()
	var want map[string]counted
	if err := json.Unmarshal(baseline, &want); err != nil {
		return Result{}, err
	}
	out := Result{Fields: map[string]any{}}
	for _, size := range []string{"small", "large"} {
		value := ""
		if size == "large" {
			value = strings.Repeat("v", countLarge)
		}
		f, err := newFleet(16, func(int) func(p fake.ShardRequest) {
			return func(p fake.ShardRequest) {
				answer := func() { p.Reply("good", "1", value) }
				if p.Shard < sets*3/4 || !strings.HasPrefix(p.ID, quickPicks) {
					answer()
				} else {
					time.AfterFunc(countLate, answer)
				}
			}
		})
		if err != nil {
			return Result{}, err
		}
		defer f.close()
		for _, qtype := range []string{quickPicks, fullMatch} {
			name := qtype + " " + size
			got, err := f.count(ctx, seed, qtype)
			if err != nil {
				return Result{}, fmt.Errorf("%s: %w", name, err)
			}
			out.Fields[name] = got
			w := want[name]
			for what, pair := range map[string][2]float64{
				"allocs": {got.Allocs, w.Allocs}, "bytes": {got.Bytes, w.Bytes},
				"reads": {got.Reads, w.Reads}, "writes": {got.Writes, w.Writes}, "copied": {got.Copied, w.Copied},
			} {
				if pair[0] > countRise*pair[1] {
					out.MissedGoals = append(out.MissedGoals, fmt.Sprintf("%s: %.1f %s a search, %.1f in the baseline", name, pair[0], what, pair[1]))
				}
			}
		}
	}
	return out, ctx.Err()
}

// count has one client ask one search after another and gives the least round's counts of one.
func (f *fleet) count(ctx context.Context, seed int64, qtype string) (least counted, err error) {
	p, err := f.launch(ctx, seed, nodeCounts+"=1")
	if err != nil {
		return least, err
	}
	conn, err := net.Dial("tcp", p.addr)
	if err != nil {
		return least, err
	}
	defer conn.Close()
	src := bufio.NewReader(conn)
	s := fake.Search{Type: qtype, Patience: 5 * time.Second}
	for b := range sets {
		s.Shards = append(s.Shards, b)
	}
	n := 0
	ask := func(times int) error {
		for range times {
			n++
			s.ID = fmt.Sprintf("%s-%07d", qtype, n)
			conn.SetDeadline(time.Now().Add(6 * time.Second))
			if _, err := conn.Write([]byte(s.Encode())); err != nil {
				return err
			}
			res, err := http.ReadResponse(src, nil)
			if err != nil {
				return err
			}
			if _, err = io.Copy(io.Discard, res.Body); err != nil || res.StatusCode != http.StatusOK {
				return fmt.Errorf("status %d: %w", res.StatusCode, err)
			}
			if qtype == quickPicks { // what was called off has been told before the next
				time.Sleep(time.Millisecond)
			}
		}
		return ctx.Err()
	}
	if err := ask(countWarm); err != nil {
		return least, err
	}
	least = counted{math.Inf(1), math.Inf(1), math.Inf(1), math.Inf(1), math.Inf(1)}
	for range countRounds {
		before := p.counts()
		if err := ask(countEach); err != nil {
			return least, err
		}
		after := p.counts()
		each := func(a, b float64) float64 { return math.Round(100*(b-a)/countEach) / 100 }
		least.Allocs = min(least.Allocs, each(before.Allocs, after.Allocs))
		least.Bytes = min(least.Bytes, each(before.Bytes, after.Bytes))
		least.Reads = min(least.Reads, each(before.Reads, after.Reads))
		least.Writes = min(least.Writes, each(before.Writes, after.Writes))
		least.Copied = min(least.Copied, each(before.Copied, after.Copied))
	}
	conn.Close()
	return least, p.end()
}

// counts are a process's so far.
func (p *process) counts() (c counted) {
	fmt.Fprintln(p.in)
	line, _ := p.out.ReadBytes('\n')
	json.Unmarshal(bytes.TrimSpace(line), &c)
	return c
}

// sockets counts what is asked of them.
var sockets struct{ reads, writes, copied atomic.Int64 }

// countingConn keeps all that a TCP connection can do.
type countingConn struct{ *net.TCPConn }

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	sockets.reads.Add(1)
	sockets.copied.Add(int64(max(0, n)))
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	sockets.writes.Add(1)
	sockets.copied.Add(int64(len(b)))
	return c.TCPConn.Write(b)
}

type countingListener struct{ net.Listener }

func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if tcp, ok := conn.(*net.TCPConn); ok {
		return countingConn{tcp}, err
	}
	return conn, err
}

func countingDial(ctx context.Context, network, addr string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, network, addr)
	if tcp, ok := conn.(*net.TCPConn); ok {
		return countingConn{tcp}, err
	}
	return conn, err
}
