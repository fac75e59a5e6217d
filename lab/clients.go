package lab

import (
	"bufio"
	"context"
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"chalkring/standin"
)

const (
	closedFor   = 5 * time.Second // of each number of clients
	closedLeast = 0.5             // of the best throughput that the largest number of clients may have
)

var closedLoops = []int{4, 16, 64, 256} // clients that each ask one search after another

// Clients measures the throughput of one co-ordinator under more and more clients that ask one search after another:
// past saturation it must not fall far.
func Clients(ctx context.Context, seed int64) (Result, error) {
	ctx, stop := context.WithTimeout(ctx, 55*time.Second)
	defer stop()
	f, err := soundFleet(16, seed)
	if err != nil {
		return Result{}, err
	}
	defer f.close()
	p, err := f.launch(ctx, seed)
	if err != nil {
		return Result{}, err
	}
	out, best, last := Result{Fields: map[string]any{}}, 0.0, 0.0
	for _, n := range closedLoops {
		before := p.cpu()
		took, shed := closedLoop(ctx, p.addr, n, seed)
		rate := float64(len(took)) / closedFor.Seconds()
		best, last = max(best, rate), rate
		fields := map[string]any{"answered_per_s": round(rate), "shed": shed, "resident_mb": round(p.resident()),
			"cpu_us": round(1e6 * (p.cpu() - before) / float64(max(1, len(took)+shed)))}
		if slices.Sort(took); len(took) > 0 {
			fields["p50_ms"], fields["p99_ms"] = round(1000*took[len(took)/2].Seconds()), round(1000*took[len(took)*99/100].Seconds())
		}
		out.Fields[fmt.Sprintf("clients_%d", n)] = fields
	}
	if err := p.end(); err != nil {
		return Result{}, err
	}
	if last < closedLeast*best {
		out.Missed = append(out.Missed, fmt.Sprintf("%.0f searches/s with %d clients, %.0f at best", last, closedLoops[len(closedLoops)-1], best))
	}
	return out, ctx.Err()
}

// closedLoop has n clients ask for closedFor and gives the times of answers and how many were refused.
func closedLoop(ctx context.Context, addr string, n int, seed int64) (took []time.Duration, shed int) {
	ctx, stop := context.WithTimeout(ctx, closedFor)
	defer stop()
	var g sync.WaitGroup
	var mu sync.Mutex
	for c := range n {
		g.Go(func() {
			chance := rand.New(rand.NewSource(seed + int64(c)))
			s := standin.Search{Type: quickPicks, Patience: 5 * time.Second}
			for b := range sets {
				s.Shards = append(s.Shards, b)
			}
			conn, err := net.Dial("tcp", addr)
			if err != nil {
				return
			}
			defer conn.Close()
			src := bufio.NewReader(conn)
			for i := 0; ctx.Err() == nil; i++ {
				began := time.Now()
				conn.SetDeadline(began.Add(6 * time.Second))
				s.ID, s.Type = fmt.Sprintf("k%d-%d-%d", n, c, i), []string{quickPicks, quickPicks, fullMatch}[chance.Intn(3)]
				if _, err := conn.Write([]byte(s.Text())); err != nil {
					return
				}
				res, err := http.ReadResponse(src, nil)
				if err != nil {
					return
				}
				res.Body.Close()
				mu.Lock()
				if res.StatusCode == http.StatusOK {
					took = append(took, time.Since(began))
				} else {
					shed++
				}
				mu.Unlock()
			}
		})
	}
	g.Wait()
	return took, shed
}
