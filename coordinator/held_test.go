package coordinator

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against memory that follows rate times client timeout: clients here wait a minute, and once all have
// their answers the owner holds no part, no wake of a search and no value.
func TestWhatEndedSearchesHold(t *testing.T) {
	r := start(t, 256, nil)
	c := r.call()
	held := func() (wakes, timers, parts, searches, lines int) {
		told := make(chan struct{})
		require.True(t, r.owner.post(func() {
			o := r.owner
			wakes, timers, parts, searches, lines = o.wakes.Len(), len(o.timers), len(o.parts), len(o.searches), o.lines
			close(told)
		}))
		<-told
		return
	}
	for i := range 300 {
		c.send(strings.Replace(request(fmt.Sprint("h", i), "all", "", fourParts), "8.000", "60.000", 1))
		status, _, _, _ := c.answer()
		require.Equal(t, 200, status)
	}
	r.eventually("nothing of ended searches is held", func() bool {
		wakes, timers, parts, searches, lines := held()
		return timers <= 1 && parts == 0 && searches == 0 && wakes <= timers+2*lines // idle looks of connections
	})
	r.end()
}
