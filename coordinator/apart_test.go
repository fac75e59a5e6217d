package coordinator

import (
	"fmt"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// Two co-ordinators of one process whose settings give classes of one name other effects, places and tenants handle each
// search by their own, also when clients ask both at once and go on by one connection. A field that a request lacks is
// not that of the one before it.
func TestCoordinatorsOfOneProcessShareNoState(t *testing.T) {
	serve := func(order []string, effects map[string]string, tenant string) *rig {
		r := start(t, 256, func(settings map[string]any) {
			for i, name := range order {
				placed(settings, "Classes", i)["Name"], placed(settings, "Classes", i)["Effect"] = name, effects[name]
			}
			placed(settings, "Tenants", 0)["Name"] = tenant
			all := settings["Specifics"].(map[string]any)
			all["NeedByClass"], all["ClassFloor"], all["FollowUp"] = []any{1, 1, 1}, []any{1, 1, 1}, []any{0, 0, 0}
		})
		var mu sync.Mutex
		met := map[string]bool{}
		for _, h := range r.replicas {
			h.SetHandler(func(p asked) { // the first sub-request of each search's part at shard 0 may have run
				mu.Lock()
				first := p.Shard == 0 && !met[p.ID]
				met[p.ID] = true
				mu.Unlock()
				if first {
					p.Reply("bad", "-", "")
					return
				}
				p.ReplyGood()
			})
		}
		return r
	}
	one := serve([]string{"some", "all", "deep"}, map[string]string{"some": "fragile", "all": "retryable", "deep": "retryable"}, "acme")
	two := serve([]string{"deep", "all", "some"}, map[string]string{"deep": "fragile", "all": "dedup", "some": "retryable"}, "globex")
	for _, rounds := range []int{1, 12} { // connections are up before many come at once
		var clients sync.WaitGroup
		for n := range rounds {
			var callers []*caller
			for _, r := range []*rig{one, two} {
				callers = append(callers, r.call())
			}
			clients.Go(func() {
				for i := range 12 {
					for at, c := range callers {
						class, tenant := []string{"some", "all", "deep"}[i%3], []string{"acme", "globex"}[at]
						want := [2]map[string]int{{"some": 500, "all": 200, "deep": 200}, {"deep": 500, "all": 500, "some": 200}}[at][class]
						text := strings.Replace(request(fmt.Sprint("r", rounds, "c", n, "i", i), class, "", fourParts), "X-Tenant: acme", "X-Tenant: "+tenant, 1)
						c.Write([]byte(text))
						status, _, body, _, err := c.rd.ReadResponse()
						if err != nil || status != want {
							t.Errorf("co-ordinator %d, %s: %d %s %v, want %d", at, class, status, body, err, want)
						}
						if other := "X-Tenant: " + []string{"globex", "acme"}[at]; i%4 == 0 {
							for _, field := range []string{other, "X-Other: x"} {
								c.Write([]byte(strings.Replace(text, "X-Tenant: "+tenant, field, 1)))
								if status, _, _, _, err := c.rd.ReadResponse(); err != nil || status != 400 {
									t.Errorf("co-ordinator %d, %s: %d %v", at, field, status, err)
								}
							}
						}
					}
				}
			})
		}
		clients.Wait()
	}
	require.Greater(t, one.parts(), 0)
	one.end()
	two.end()
}
