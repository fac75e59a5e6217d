package coordinator

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Decisions that shadow settings would have made differently are counted and shown at /metrics, while the current settings
// decide. Without shadow settings there are no metrics.
func TestShadowSettings(t *testing.T) {
	r := startWithShadow(t, map[string]string{"Permissions.SecondCopies": "false", "Specifics.ClassFloor": "0.5,0.5,0.5"})
	for _, hostID := range []string{"a0", "a1"} {
		r.replicas[hostID].SetHandler(func(receivedRequest) {})
	}
	c := r.connect()
	c.send(strings.Replace(request("q1", "all", "", fourParts), "8.000", "1.000", 1))
	status, _, _, _ := c.readAnswer()
	require.NotEqual(t, 200, status, "the current settings need all shards")
	c.send("GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n")
	status, head, body, _ := c.readAnswer()
	require.Equal(t, 200, status)
	require.Contains(t, head["content-type"], "text/plain")
	require.Contains(t, body, `chalkring_shadow_differs_total{kind="answer_in_part"} 1`)
	require.Regexp(t, `kind="second_copy"} [1-9]`, body)
	require.Contains(t, body, `chalkring_shadow_differs_total{kind="drain"} 0`)
	r.shutDown()

	off := start(t, 256, nil)
	c = off.connect()
	c.send("GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n")
	status, _, _, _ = c.readAnswer()
	require.Equal(t, 404, status, "no metrics without shadow settings")
	off.shutDown()
}

// Invalid shadow or changed settings are rejected with an error that names the setting. Changed settings leave the plan as
// it was, and shadow settings start from the changed ones.
func TestShadowSettingsAreValidated(t *testing.T) {
	initial, err := parsePlan([]byte(`{"name":"n","listen":"l","discovery":"d","seed":"1f","limits":{"cores":1,"memory_mb":64,"sockets":99},
		"known":{"version":1,"servers":[]},"settings":` + testSettings + `}`))
	require.NoError(t, err)
	_, err = initial.WithShadowSettings(map[string]string{"Specifics.ClassFloor": "0.5"})
	require.ErrorContains(t, err, "shadow: setting Specifics.ClassFloor has 1 places for 3 classes")
	_, err = initial.WithSettings(map[string]string{"Permissions.RetryAfter": "later"})
	require.ErrorContains(t, err, "Permissions.RetryAfter")
	changed, err := initial.WithSettings(map[string]string{"Permissions.RetryAfter": "false"})
	require.NoError(t, err)
	require.Equal(t, "true", initial.Settings["Permissions.RetryAfter"], "the plan itself is unchanged")
	require.Equal(t, "false", changed.Settings["Permissions.RetryAfter"])
	shadowed, err := changed.WithShadowSettings(map[string]string{"Permissions.SecondCopies": "false"})
	require.NoError(t, err)
	share := shadowed.ForShard(0, 2)
	require.Equal(t, share.Settings["Balancers"], share.ShadowSettings["Balancers"])
	require.Equal(t, "false", share.ShadowSettings["Permissions.RetryAfter"], "shadow settings start from the current ones")
}

// The steps of docs/migration.md on loopback: compare new settings as shadow settings, switch to them, and go back. Each step
// shows the effect of exactly the settings that decide in it.
func TestMigrationSteps(t *testing.T) {
	next := map[string]string{"Permissions.SecondCopies": "false", "Permissions.MaxAttempts": "1", "Specifics.ClassFloor": "0.5,0.5,0.5"}
	step := func(changed, shadowed map[string]string) (hedged, complete, partial int, metrics string) {
		r := startWithOverrides(t, changed, shadowed)
		r.replicas["a0"].SetHandler(func(receivedRequest) {})
		c := r.connect()
		for i := range 4 {
			c.send(strings.Replace(request(fmt.Sprint("q", i), "all", "", fourParts), "8.000", "1.500", 1))
			if status, _, body, _ := c.readAnswer(); status == 200 && strings.Contains(body, `"total":true`) {
				complete++
			} else if status == 200 {
				partial++
			}
		}
		if shadowed != nil {
			c.send("GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n")
			_, _, metrics, _ = c.readAnswer()
		}
		seen := map[string]int{}
		for _, h := range r.replicas {
			parts, _, _, _ := h.Observed()
			for _, p := range parts {
				if seen[p.ID]++; seen[p.ID] > 1 {
					hedged++
				}
			}
		}
		r.shutDown()
		return hedged, complete, partial, metrics
	}
	hedged, _, partial, metrics := step(nil, next)
	require.Positive(t, hedged, "the current settings allow hedged attempts")
	require.Zero(t, partial)
	require.Regexp(t, `kind="second_copy"} [1-9]`, metrics)
	hedged, _, partial, _ = step(next, nil)
	require.Zero(t, hedged, "after the switch to the new settings")
	require.Positive(t, partial, "the new settings allow partial answers")
	hedged, _, partial, metrics = step(nil, nil)
	require.Positive(t, hedged, "after going back")
	require.Zero(t, partial)
	require.Empty(t, metrics)
}
