package coordinator

import (
	"testing"

	"chalkring/coordinator/plan"

	"github.com/stretchr/testify/require"
)

// A class may bear the name of the path that tells of health: searches of it are served, and health is told all the same.
func TestClassNamedAsHealth(t *testing.T) {
	r := start(t, 256, func(settings map[string]any) { placed(settings, "Classes", 1)["Name"] = "healthz" })
	c := r.call()
	c.want("a", "healthz", 200, wholeOfAll)
	c.send("GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")
	status, _, _, _ := c.answer()
	require.Equal(t, 200, status)
	r.end()
}

// A cell that is no place of a set is refused with its entry, and the list in force stays.
func TestInvalidCells(t *testing.T) {
	for _, cell := range []string{"-1", "0.5", "true", `"1"`} {
		all, err := plan.DecodeObject([]byte(`{"version":1,"servers":[{"id":"s","addr":"h:1","state":"up","cell":` + cell + `}]}`))
		require.NoError(t, err)
		_, err = plan.NewEndpointList(all)
		require.ErrorContains(t, err, `entry id="s"`, cell)
	}
	all, err := plan.DecodeObject([]byte(`{"version":1,"servers":[{"id":"s","addr":"h:1","state":"up","cell":2}]}`))
	require.NoError(t, err)
	list, err := plan.NewEndpointList(all)
	require.NoError(t, err)
	require.Equal(t, 2, list.Hosts[0].Cell)
}
