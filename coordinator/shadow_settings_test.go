package coordinator

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// What shadow settings would have decided is counted on sockets while the settings in force decide.
func TestShadowSettings(t *testing.T) {
	r := startWithShadow(t, map[string]string{"Permissions.SecondCopies": "false", "Specifics.ClassFloor": "0.5,0.5,0.5"})
	for _, hostID := range []string{"a0", "a1"} {
		r.replicas[hostID].SetHandler(func(receivedRequest) {})
	}
	c := r.connect()
	c.send(strings.Replace(request("q1", "all", "", fourParts), "8.000", "1.000", 1))
	status, _, _, _ := c.readAnswer()
	require.NotEqual(t, 200, status, "the settings in force need all parts")
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
	require.Equal(t, 404, status, "off unless it is asked for")
	off.shutDown()
}

func TestShadowSettingsAreValidated(t *testing.T) {
	initial, err := parsePlan([]byte(`{"name":"n","listen":"l","discovery":"d","seed":"1f","limits":{"cores":1,"memory_mb":64,"sockets":99},
		"known":{"version":1,"servers":[]},"settings":` + testSettings + `}`))
	require.NoError(t, err)
	_, err = initial.WithShadowSettings(map[string]string{"Specifics.ClassFloor": "0.5"})
	require.ErrorContains(t, err, "shadow: setting Specifics.ClassFloor has 1 places for 3 classes")
	_, err = initial.WithSettings(map[string]string{"Permissions.RetryAfter": "later"})
	require.ErrorContains(t, err, "Permissions.RetryAfter")
	over, err := initial.WithSettings(map[string]string{"Permissions.RetryAfter": "false"})
	require.NoError(t, err)
	require.Equal(t, "true", initial.Settings["Permissions.RetryAfter"], "the plan itself stays")
	require.Equal(t, "false", over.Settings["Permissions.RetryAfter"])
	watched, err := over.WithShadowSettings(map[string]string{"Permissions.SecondCopies": "false"})
	require.NoError(t, err)
	share := watched.ForShard(0, 2)
	require.Equal(t, share.Settings["Balancers"], share.ShadowSettings["Balancers"])
	require.Equal(t, "false", share.ShadowSettings["Permissions.RetryAfter"], "what is watched starts from what is in force")
}

// The steps of docs/migration.md on loopback: shadow, switch, go back.
func TestMigrationSteps(t *testing.T) {
	next := map[string]string{"Permissions.SecondCopies": "false", "Permissions.MaxAttempts": "1", "Specifics.ClassFloor": "0.5,0.5,0.5"}
	step := func(over, watched map[string]string) (copies, whole, short int, metrics string) {
		r := startWithOverrides(t, over, watched)
		r.replicas["a0"].SetHandler(func(receivedRequest) {})
		c := r.connect()
		for i := range 4 {
			c.send(strings.Replace(request(fmt.Sprint("q", i), "all", "", fourParts), "8.000", "1.500", 1))
			if status, _, body, _ := c.readAnswer(); status == 200 && strings.Contains(body, `"total":true`) {
				whole++
			} else if status == 200 {
				short++
			}
		}
		if watched != nil {
			c.send("GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n")
			_, _, metrics, _ = c.readAnswer()
		}
		seen := map[string]int{}
		for _, h := range r.replicas {
			parts, _, _, _ := h.Observed()
			for _, p := range parts {
				if seen[p.ID]++; seen[p.ID] > 1 {
					copies++
				}
			}
		}
		r.shutDown()
		return copies, whole, short, metrics
	}
	copies, _, short, metrics := step(nil, next)
	require.Positive(t, copies, "the settings in force allow copies")
	require.Zero(t, short)
	require.Regexp(t, `kind="second_copy"} [1-9]`, metrics)
	copies, _, short, _ = step(next, nil)
	require.Zero(t, copies, "switched")
	require.Positive(t, short, "what the new settings let be answered in part")
	copies, _, short, metrics = step(nil, nil)
	require.Positive(t, copies, "gone back")
	require.Zero(t, short)
	require.Empty(t, metrics)
}
