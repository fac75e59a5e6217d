package coordinator

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A replica that has started again since a connection to it came up, as the list says, gets what follows on a new one: the old
// one may lead to a life that is over, of a machine that went without a word.
func TestRestartedHost(t *testing.T) {
	r := start(t, 256, nil)
	<-r.list.Targets
	c := r.call()
	c.want("first", "all", 200, wholeOfAll)
	r.list.Responses <- fmt.Sprintf(`{"version":8,"full":false,"servers":[%s]}`, r.entry("a1", "draining"))
	r.logged("version=8 ")
	c.want("second", "all", 200, wholeOfAll) // by a0
	conns := func() int { _, _, n, _ := r.replicas["a0"].Observed(); return n }
	before := conns()
	time.Sleep(2 * time.Millisecond) // so that the start is after its connections
	tell := func(version int, started time.Time) {
		r.list.Responses <- fmt.Sprintf(`{"version":%d,"full":false,"servers":[%s]}`, version,
			strings.Replace(r.entry("a0", "up"), `"started_ms":0`, fmt.Sprintf(`"started_ms":%d`, started.UnixMilli()), 1))
		r.logged(fmt.Sprintf("version=%d ", version))
	}
	tell(9, time.Now())
	c.want("third", "all", 200, wholeOfAll)
	require.Equal(t, before+1, conns())
	tell(10, time.Now().Add(-time.Minute)) // a start from before leaves it
	c.want("fourth", "all", 200, wholeOfAll)
	require.Equal(t, before+1, conns())
	r.end()
}

// Another host at the address of one that is gone: what goes to it goes on a connection of its own, and what was out at the one
// before is told by that one's connection alone.
func TestAnotherHostAtSameAddress(t *testing.T) {
	r := start(t, 256, nil)
	<-r.list.Targets
	r.list.Responses <- fmt.Sprintf(`{"version":8,"full":false,"servers":[%s]}`, r.entry("a1", "draining"))
	r.logged("version=8 ")
	held := make(chan asked, 16)
	r.replicas["a0"].SetHandler(func(p asked) { held <- p })
	c := r.call().send(request("first", "all", "", fourParts))
	first := <-held
	r.replicas["a0"].SetHandler(asked.ReplyGood)
	conns := func() int { _, _, n, _ := r.replicas["a0"].Observed(); return n }
	before := conns()
	r.list.Responses <- fmt.Sprintf(`{"version":9,"full":false,"servers":[%s,%s]}`, r.entry("a0", "removed"),
		strings.Replace(r.entry("a0", "up"), `"id":"a0"`, `"id":"a9"`, 1))
	r.logged("version=9 ")
	r.call().want("second", "all", 200, wholeOfAll)
	require.Greater(t, conns(), before)
	first.ReplyGood()
	for len(held) > 0 {
		(<-held).ReplyGood()
	}
	status, _, text, _ := c.answer()
	require.Equal(t, 200, status)
	require.JSONEq(t, wholeOfAll, text)
	r.runInLoop(func(loop *eventLoop) { require.NotNil(t, loop.replicas.byID["a9"]) })
	r.eventually("the one that is gone is forgotten", func() (gone bool) {
		r.runInLoop(func(loop *eventLoop) { gone = loop.replicas.byID["a0"] == nil })
		return gone
	})
	r.end()
}
