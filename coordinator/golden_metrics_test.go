package coordinator

import (
	"fmt"
	"math"
	"net/http"
	"regexp"
	"slices"
	"strings"
	"testing"

	"chalkring/internal/golden"

	"github.com/stretchr/testify/require"
)

// metricsWithoutValues returns the content type and body of /metrics with all values replaced.
func metricsWithoutValues(t *testing.T, r *rig) string {
	c := r.connect()
	c.send("GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n")
	status, head, body, _ := c.readAnswer()
	require.Equal(t, http.StatusOK, status)
	return fmt.Sprintf("content-type: %s\n%s", head["content-type"], regexp.MustCompile(`(?m) [-+0-9.eE]+$`).ReplaceAllString(body, " VALUE"))
}

// The names, labels, help texts and order of all metrics of a coordinator are those of the golden file, since dashboards and
// alerts depend on them.
func TestGoldenMetrics(t *testing.T) {
	shadowed := startWithShadow(t, map[string]string{"Permissions.SecondCopies": "false"})
	text := "shadow settings\n" + metricsWithoutValues(t, shadowed)
	shadowed.shutDown()
	zoned := startZoned(t, eastOnly)
	text += "residency\n" + metricsWithoutValues(t, zoned.rig)
	zoned.shutDown()
	golden.Require(t, "metrics.golden", text)
}

// eventKeys lists each kind of line of a log once, in alphabetical order: its event, level and keys, without values.
func eventKeys(log string) string {
	key := regexp.MustCompile(`(?:^| )([A-Za-z_]+)=("(?:[^"\\]|\\.)*"|\S*)`)
	var all []string
	for _, line := range strings.Split(strings.TrimSpace(log), "\n") {
		var keys []string
		level, event := "", ""
		for _, m := range key.FindAllStringSubmatch(line, -1) {
			switch m[1] {
			case "time":
			case "level":
				level = m[2]
			case "event":
				event = m[2]
			default:
				keys = append(keys, m[1])
			}
		}
		all = append(all, fmt.Sprintf("%s %s: %s\n", event, level, strings.Join(keys, " ")))
	}
	slices.Sort(all)
	return strings.Join(slices.Compact(all), "")
}

// The events and keys that the log has after a start, an endpoint list, a changed plan, a search, a refused search and a stop
// are those of the golden file, since operators' tools match them.
func TestGoldenLogEvents(t *testing.T) {
	r := start(t, 256, nil)
	r.list.Responses <- `{"version":8,"full":false,"servers":[]}`
	r.logged("how=Partial")
	r.connect().expect("a", "all", http.StatusOK, completeAnswer)
	next, err := parsePlan(planOf(t, func(s map[string]any) { s["Added"] = 1 }))
	require.NoError(t, err)
	next.Discovery = startDiscovery(t).Listener.Addr().String()
	r.plans <- next
	r.logged("waits_for_restart=")
	r.shutDown()
	expected := map[string]bool{"serving": true, "stopped": true, "list": true, "reloaded": true}
	var kept []string
	for _, line := range strings.Split(r.log.String(), "\n") {
		if m := regexp.MustCompile(`event=(\S+)`).FindStringSubmatch(line); m != nil && expected[m[1]] {
			kept = append(kept, line)
		}
	}
	text := "service\n" + eventKeys(strings.Join(kept, "\n"))

	z := startZonedWith(t, eastOnly, map[string]string{"a0": "east", "a1": "east", "b0": "west", "b1": "west"}, false)
	status, _ := z.searchAs("acme", "acme1", "all")
	require.Equal(t, http.StatusUnavailableForLegalReasons, status)
	z.logged("event=residency_refused")
	z.guard.SetPolicy(z.policy(strings.Replace(eastOnly, "generation: 1", "generation: 2", 1), math.MaxInt64))
	z.shutDown()
	kept = nil
	for _, line := range strings.Split(z.log.String(), "\n") {
		if strings.Contains(line, "event=residency_refused") {
			kept = append(kept, line)
		}
	}
	golden.Require(t, "log_events.golden", text+"residency\n"+eventKeys(strings.Join(kept, "\n")))
}
