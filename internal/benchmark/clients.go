package benchmark

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"sync"
	"time"

	"chalkring/internal/fake"
)

const (
	closedFor   = 5 * time.Second // of each number of clients
	closedLeast = 0.5             // of the best throughput that the largest number of clients may have
)

var closedLoops = []int{4, 16, 64, 256} // clients that each ask one search after another

// MeasureClients measures the throughput of one co-ordinator under more and more clients that ask one search after another:
// past saturation it must not fall far.
func MeasureClients(ctx context.Context, seed int64) (Result, error) {
	ctx, stop := context.WithTimeout(ctx, 55*time.Second)
	defer stop()
	f, err := soundFleet(16, seed)
	if err != nil {
		return Result{}, err
	}
	defer f.close()
	rows, err := f.table(ctx, seed, "", closedFor)
	if err != nil {
		return Result{}, err
	}
	out, best, last := Result{Fields: map[string]any{}}, 0.0, 0.0
	for i, r := range rows {
		best, last = max(best, r.rate), r.rate
		out.Fields[fmt.Sprintf("clients_%d", closedLoops[i])] = r.fields()
	}
	if last < closedLeast*best {
		out.MissedGoals = append(out.MissedGoals, fmt.Sprintf("%.0f searches/s with %d clients, %.0f at best", last, closedLoops[len(closedLoops)-1], best))
	}
	return out, ctx.Err()
}

// closed is what clients in a closed loop had.
type closed struct {
	took                          []time.Duration // of answers
	shed, wrong, missing, doubled int
}

// closedLoop has n clients ask one search after another for so long, and looks at each answer: it is whole, and holds
// each block that it has once, with that block's value.
func closedLoop(ctx context.Context, addr string, n int, seed int64, each time.Duration) (all closed) {
	ctx, stop := context.WithTimeout(ctx, each)
	defer stop()
	var g sync.WaitGroup
	var mu sync.Mutex
	for c := range n {
		g.Go(func() {
			chance := rand.New(rand.NewSource(seed + int64(c)))
			s := fake.Search{Patience: 5 * time.Second}
			for b := range sets {
				s.Shards = append(s.Shards, b)
			}
			var own closed
			defer func() {
				mu.Lock()
				defer mu.Unlock()
				all.took = append(all.took, own.took...)
				all.shed, all.wrong = all.shed+own.shed, all.wrong+own.wrong
				all.missing, all.doubled = all.missing+own.missing, all.doubled+own.doubled
			}()
			conn, err := net.Dial("tcp", addr)
			if err != nil {
				own.missing++
				return
			}
			defer conn.Close()
			src := bufio.NewReader(conn)
			for i := 0; ctx.Err() == nil; i++ {
				began := time.Now()
				conn.SetDeadline(began.Add(6 * time.Second))
				s.ID, s.Type = fmt.Sprintf("k%d-%d-%d", n, c, i), []string{quickPicks, quickPicks, fullMatch}[chance.Intn(3)]
				if _, err := conn.Write([]byte(s.Encode())); err != nil {
					own.missing++
					return
				}
				res, err := http.ReadResponse(src, nil)
				if err != nil {
					own.missing++
					return
				}
				text, err := io.ReadAll(res.Body)
				res.Body.Close()
				switch {
				case err != nil:
					own.missing++
					return
				case res.StatusCode != http.StatusOK:
					own.shed++
				case !right(s.Type, text):
					own.wrong++
				default:
					own.took = append(own.took, time.Since(began))
				}
				if src.Buffered() > 0 {
					own.doubled++
				}
			}
		})
	}
	g.Wait()
	return all
}

// right tells whether an answer is whole and true.
func right(qtype string, text []byte) bool {
	var a struct {
		Total   bool
		Answers []struct {
			Range int
			Blob  string
		}
	}
	if json.Unmarshal(text, &a) != nil || !a.Total || len(a.Answers) < sets*3/4 || qtype == fullMatch && len(a.Answers) < sets {
		return false
	}
	seen := map[int]bool{}
	for _, one := range a.Answers {
		if seen[one.Range] || one.Blob != fmt.Sprintf("c41e77d0@%d", one.Range) {
			return false
		}
		seen[one.Range] = true
	}
	return true
}
