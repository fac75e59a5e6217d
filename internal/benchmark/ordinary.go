package benchmark

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"chalkring/internal/fake"
)

const (
	ordinaryFor    = 3500 * time.Millisecond // of each number of clients, for the program
	floorFor       = 2500 * time.Millisecond // and for the floor
	heldRate       = 1000.0                  // searches a second while memory is looked at
	heldFor        = 5 * time.Second         // of it
	heldShort      = 5 * time.Second         // that clients wait in the one run
	heldLong       = time.Minute             // and in the other
	fullLeast      = 0.9                     // of the best throughput that the most clients may have
	crowdMost      = 1.25                    // times the CPU time at few clients that a search may cost at the most
	heldMost       = 1.2                     // times the memory that long client timeouts may take
	fewClients     = 16
	ordinaryBudget = 58 * time.Second
)

// MeasureOrdinarySearch measures what an ordinary search costs under more and more clients, with a plain program beside it that
// makes the reads and writes a search needs; and that memory follows what is open, not how long clients would wait.
func MeasureOrdinarySearch(ctx context.Context, seed int64) (Result, error) {
	ctx, stop := context.WithTimeout(ctx, ordinaryBudget)
	defer stop()
	out := Result{Fields: map[string]any{}}
	f, err := soundFleet(16, seed)
	if err != nil {
		return Result{}, err
	}
	defer f.close()
	program, err := f.table(ctx, seed, "", ordinaryFor)
	if err != nil {
		return Result{}, err
	}
	floor, err := f.table(ctx, seed, "floor_", floorFor)
	if err != nil {
		return Result{}, err
	}
	best := 0.0
	for i, n := range closedLoops {
		p, q := program[i], floor[i]
		best = max(best, p.rate)
		out.Fields[fmt.Sprintf("clients_%d", n)] = p.fields()
		out.Fields[fmt.Sprintf("floor_%d", n)] = q.fields()
		out.Fields[fmt.Sprintf("cpu_over_floor_%d", n)] = round(p.cpu / q.cpu)
		out.Fields[fmt.Sprintf("p99_over_floor_%d", n)] = round(p.p99 / q.p99)
		if p.tally.wrong+p.tally.missing+p.tally.doubled > 0 {
			out.MissedGoals = append(out.MissedGoals, fmt.Sprintf("%d wrong, %d missing, %d doubled answers with %d clients",
				p.tally.wrong, p.tally.missing, p.tally.doubled, n))
		}
	}
	few, most := program[slices.Index(closedLoops, fewClients)], program[len(program)-1]
	if most.rate < fullLeast*best {
		out.MissedGoals = append(out.MissedGoals, fmt.Sprintf("%.0f searches/s with the most clients, %.0f at best", most.rate, best))
	}
	if most.cpu > crowdMost*few.cpu {
		out.MissedGoals = append(out.MissedGoals, fmt.Sprintf("%.0f us CPU a search with the most clients, %.0f with %d", 1e6*most.cpu,
			1e6*few.cpu, fewClients))
	}
	short, err := f.held(ctx, seed, heldShort)
	if err != nil {
		return Result{}, err
	}
	long, err := f.held(ctx, seed, heldLong)
	if err != nil {
		return Result{}, err
	}
	out.Fields["resident_mb_patience_5s"], out.Fields["resident_mb_patience_60s"] = round(short), round(long)
	if long > heldMost*short {
		out.MissedGoals = append(out.MissedGoals, fmt.Sprintf("%.1f MB where clients wait %v, %.1f where they wait %v", long, heldLong, short, heldShort))
	}
	return out, ctx.Err()
}

// row is what one number of clients had.
type row struct {
	tally    closed
	rate     float64
	cpu      float64 // seconds a search
	allocs   float64
	p50, p99 float64 // seconds
	resident float64
}

func (r row) fields() map[string]any {
	return map[string]any{
		"answered_per_s": round(r.rate), "cpu_us": round(1e6 * r.cpu), "allocs": round(r.allocs),
		"p50_ms": round(1000 * r.p50), "p99_ms": round(1000 * r.p99), "resident_mb": round(r.resident), "shed": r.tally.shed,
		"wrong": r.tally.wrong, "missing": r.tally.missing, "doubled": r.tally.doubled,
	}
}

// table has more and more clients ask a process of its own: the program, or the floor where kind says so.
func (f *fleet) table(ctx context.Context, seed int64, kind string, each time.Duration) (rows []row, err error) {
	var p *process
	if kind == "" {
		p, err = f.launch(ctx, seed)
	} else {
		p, err = f.launchFloor(ctx, seed)
	}
	if err != nil {
		return nil, err
	}
	for _, n := range closedLoops {
		before, mallocs := p.cpu(), p.mallocs()
		t := closedLoop(ctx, p.addr, n, seed, each)
		all := float64(max(1, len(t.took)+t.shed))
		r := row{
			tally: t, rate: float64(len(t.took)) / each.Seconds(), cpu: (p.cpu() - before) / all,
			allocs: (p.mallocs() - mallocs) / all, resident: p.resident(),
		}
		if slices.Sort(t.took); len(t.took) > 0 {
			r.p50, r.p99 = t.took[len(t.took)/2].Seconds(), t.took[len(t.took)*99/100].Seconds()
		}
		rows = append(rows, r)
	}
	return rows, p.end()
}

// held is the most memory of a process whose clients would wait so long.
func (f *fleet) held(ctx context.Context, seed int64, patience time.Duration) (most float64, err error) {
	value := strings.Repeat("v", valueBytes)
	for i, h := range f.hosts {
		wait := uniform(seed+int64(i), 2*time.Millisecond, 4*time.Millisecond)
		h.SetHandler(func(p fake.ShardRequest) { time.AfterFunc(wait(), func() { p.Reply("good", "1", value) }) })
	}
	p, err := f.launch(ctx, seed)
	if err != nil {
		return 0, err
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		fake.PlaySearches(ctx, p.addr, schedule(seed, "h", heldRate, heldFor, patience))
	}()
	for {
		select {
		case <-ended:
			return most, p.end()
		case <-time.After(50 * time.Millisecond):
			most = max(most, p.resident())
		}
	}
}
