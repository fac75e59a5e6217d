package coordinator

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A part waits for a connection that comes up late when its replica begins to drain, is removed, or is not in a whole list:
// nothing goes out there once the connection is up, and the search is answered by the other holder.
func TestNothingGoesToADrainLate(t *testing.T) {
	for name, answer := range map[string]func(r *rig, id string) string{
		"drains": func(r *rig, id string) string {
			return fmt.Sprintf(`{"version":8,"full":false,"servers":[%s]}`, r.entry(id, "draining"))
		},
		"is removed": func(r *rig, id string) string {
			return fmt.Sprintf(`{"version":8,"full":false,"servers":[%s]}`, r.entry(id, "removed"))
		},
		"is not named": func(r *rig, id string) string {
			other := map[string]string{"a0": "a1", "a1": "a0"}[id]
			return fmt.Sprintf(`{"version":8,"full":true,"servers":[%s,%s,%s]}`, r.entry(other, "up"), r.entry("b0", "up"), r.entry("b1", "up"))
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var mu sync.Mutex
			held := map[string]chan struct{}{} // connects that are not up, by address
			dialed := make(chan string, 16)
			r := startIn(t, nil, 256, func(s map[string]any) {
				s["Permissions"].(map[string]any)["DialTimeout"] = 8000.0
			}, nil, nil, func(m *Means) {
				m.Dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
					mu.Lock()
					up := held[addr]
					mu.Unlock()
					if up != nil {
						dialed <- addr
						select {
						case <-up:
						case <-ctx.Done():
							return nil, ctx.Err()
						}
					}
					return (&net.Dialer{}).DialContext(ctx, network, addr)
				}
			})
			at, up := map[string]string{}, map[string]chan struct{}{}
			mu.Lock()
			for _, id := range []string{"a0", "a1"} {
				addr := r.replicas[id].Ln.Addr().String()
				at[addr], up[id] = id, make(chan struct{})
				held[addr] = up[id]
			}
			mu.Unlock()
			<-r.list.Calls
			c := r.call().send(request("q", "all", "", fourParts))
			id := at[<-dialed]
			r.list.Answers <- answer(r, id)
			r.logged("version=8")
			time.Sleep(300 * time.Millisecond) // longer than the grace
			close(up[id])
			time.Sleep(100 * time.Millisecond) // for what would go out
			for other := range up {
				if other != id {
					close(up[other])
				}
			}
			status, _, text, _ := c.answer()
			require.Equal(t, 200, status)
			require.JSONEq(t, wholeOfAll, text)
			require.Zero(t, r.replicas[id].Took(), r.log)
			r.end()
		})
	}
}
