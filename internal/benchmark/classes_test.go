package benchmark

import (
	"context"
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chalkring/internal/clustertest"
	"chalkring/internal/fake"
)

// A type that is a twentieth of the searches counts as any other: in trouble its served share is not given up for that of
// the rest, though it needs every block and they need three quarters.
func TestATwentiethCounts(t *testing.T) {
	defer clustertest.RemoveBuilds()
	for name, x := range map[string]struct {
		rate  float64
		spoil func(host int, r *rand.Rand) time.Duration // of a part; less than 0 never answers
	}{
		"more load than there is room for": {260, func(int, *rand.Rand) time.Duration { return 16 * time.Millisecond }},
		"half of the hosts silent, too much for the rest": {120, func(host int, _ *rand.Rand) time.Duration {
			if host < clustertest.BlockCount {
				return -1
			}
			return 16 * time.Millisecond
		}},
	} {
		ctx, stop := context.WithTimeout(context.Background(), time.Minute)
		defer stop()
		s := clustertest.Config{Seed: 1, Instances: []clustertest.Instance{{Name: "n"}}}
		for i := range 2 * clustertest.BlockCount {
			chance := rand.New(rand.NewSource(int64(i)))
			work := make(chan struct{}, 1)
			work <- struct{}{}
			s.Hosts = append(s.Hosts, clustertest.Host{
				ID: fmt.Sprint("h", i), Zone: "z", Cell: i % clustertest.BlockCount,
				Handler: fake.NewWorkerPool(ctx, 1, func() time.Duration {
					<-work
					defer func() { work <- struct{}{} }()
					return x.spoil(i, chance)
				}),
			})
		}
		r, err := clustertest.New(ctx, s)
		require.NoError(t, err)
		defer r.Close()
		asks := r.DrawSearches(1, "k", x.rate, 6*time.Second, 2*time.Second, "acme")
		for i := range asks {
			if asks[i].Type = "quick-picks"; i%20 == 0 {
				asks[i].Type = "full-match"
			}
		}
		answers := r.PlaySearches(ctx, asks)
		require.Empty(t, r.Judge(answers, clustertest.AuditRules{}).DescribeViolations())
		all, good := map[string]float64{}, map[string]float64{}
		for _, a := range answers {
			if all[a.Type]++; a.Status == 200 && a.Latency < time.Second {
				good[a.Type]++
			}
		}
		few, many := good["full-match"]/all["full-match"], good["quick-picks"]/all["quick-picks"]
		t.Logf("%s: %.2f of %.0f full-match, %.2f of %.0f quick-picks served in time", name, few, all["full-match"], many, all["quick-picks"])
		require.Greater(t, few, 0.6*many, name)
		r.Close()
	}
}
