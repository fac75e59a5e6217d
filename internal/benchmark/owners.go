package benchmark

import (
	"context"
	"fmt"
	"runtime"
	"time"

	"chalkring/internal/fake"
)

const (
	ownersFor     = 4 * time.Second // of each way
	ownersClients = 96              // in a closed loop: enough to keep three cores busy
	ownersCores   = 3               // that the program gets; hosts and clients need as many
	ownersLeast   = 1.2             // times one owner's searches a second on the same cores that as many owners bring
)

// MeasureEventLoops measures what more cores bring: one owner on one core, one owner whose connections are spread over several,
// and as many owners as cores. Hosts answer at once, so that the co-ordinator's own work bounds it.
func MeasureEventLoops(ctx context.Context, seed int64) (Result, error) {
	ctx, stop := context.WithTimeout(ctx, 50*time.Second)
	defer stop()
	f, err := newFleet(64, func(int) func(p fake.ShardRequest) { return fake.ShardRequest.ReplyGood })
	if err != nil {
		return Result{}, err
	}
	defer f.close()
	out := Result{Fields: map[string]any{"cores_here": runtime.NumCPU()}}
	rates := map[string]float64{}
	for _, way := range []struct {
		name          string
		owners, cores int
	}{{"one_core", 1, 1}, {"one_owner", 1, ownersCores}, {"several_owners", ownersCores, ownersCores}} {
		p, err := f.launch(ctx, seed, fmt.Sprintf("%s=%d", nodeOwners, way.owners), fmt.Sprintf("%s=%d", nodeCores, way.cores))
		if err != nil {
			return Result{}, err
		}
		before := p.cpu()
		t := closedLoop(ctx, p.addr, ownersClients, seed, ownersFor)
		rates[way.name] = float64(len(t.took)) / ownersFor.Seconds()
		out.Fields[way.name] = map[string]any{
			"answered_per_s": round(rates[way.name]), "shed": t.shed, "wrong": t.wrong,
			"missing": t.missing, "doubled": t.doubled, "resident_mb": round(p.resident()),
			"cpu_us": round(1e6 * (p.cpu() - before) / float64(max(1, len(t.took)+t.shed))),
		}
		if t.wrong+t.missing+t.doubled > 0 {
			out.MissedGoals = append(out.MissedGoals, fmt.Sprintf("%s: %d wrong, %d missing, %d doubled", way.name, t.wrong, t.missing, t.doubled))
		}
		if err := p.end(); err != nil {
			return Result{}, err
		}
	}
	if rates["several_owners"] < ownersLeast*rates["one_owner"] && runtime.NumCPU() >= 2*ownersCores {
		out.MissedGoals = append(out.MissedGoals, fmt.Sprintf("%.0f searches/s with several owners, %.0f with one on as many cores",
			rates["several_owners"], rates["one_owner"]))
	}
	return out, ctx.Err()
}
