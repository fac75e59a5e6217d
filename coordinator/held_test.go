package coordinator

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chalkring/internal/http1"
)

// Guards against memory that follows rate times client timeout: clients here wait a minute, and once all have
// their answers the owner holds no part, no wake of a search and no value.
func TestEndedSearchesHoldNothing(t *testing.T) {
	r := start(t, 256, nil)
	c := r.call()
	held := func() (wakes, timers, parts, searches, lines int) {
		told := make(chan struct{})
		require.True(t, r.loop.submit(func() {
			loop := r.loop
			wakes, timers, parts, searches, lines = loop.timers.queue.Len(), len(loop.timers.balancer), len(loop.searches.shardRequests), len(loop.searches.byID), loop.descriptors.replicaConnections
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

// What open searches and untaken answers hold is bounded: with no room left, a search is turned away at once with a time
// to come back, and there is room again once answers are out.
func TestShedsWithoutMemory(t *testing.T) {
	r := start(t, 256, nil)
	long := strings.Repeat("v", 20_000)
	held := make(chan asked, 1)
	for _, s := range r.replicas {
		s.SetHandler(func(a asked) {
			switch {
			case !strings.HasPrefix(a.ID, "first"):
				a.ReplyGood()
			case a.Shard == 3:
				held <- a
			default:
				a.Reply("good", "1", long)
			}
		})
	}
	look := func() (bytes int64) {
		told := make(chan struct{})
		require.True(t, r.loop.submit(func() {
			r.loop.searches.memoryLimit = 50_000
			bytes = r.loop.searches.heldBytes + r.loop.searches.unsentBytes.Load()
			close(told)
		}))
		<-told
		return bytes
	}
	first := r.call().send(request("first", "all", "", fourParts))
	a := <-held
	r.eventually("values are held", func() bool { return look() > 50_000 })
	status, head, _, _ := r.call().send(request("second", "all", "", fourParts)).answer()
	require.Equal(t, 503, status)
	require.NotEmpty(t, head["retry-after"])
	a.ReplyGood()
	status, _, text, _ := first.answer()
	require.Equal(t, 200, status)
	require.Equal(t, 3, strings.Count(text, long))
	r.eventually("all is released", func() bool { return look() == 0 })
	r.call().want("third", "all", 200, wholeOfAll)
	r.end()
}

// pipes are connections whose writes wait until the other side reads.
type pipes struct {
	conns chan net.Conn
	once  sync.Once
}

func (p *pipes) Accept() (net.Conn, error) {
	if conn, ok := <-p.conns; ok {
		return conn, nil
	}
	return nil, net.ErrClosed
}
func (p *pipes) Close() error   { p.once.Do(func() { close(p.conns) }); return nil }
func (p *pipes) Addr() net.Addr { return &net.TCPAddr{} }

// A client that does not read its answer holds that answer and nothing else: others are served, what it holds is
// counted, and is released when it reads or leaves.
func TestClientThatDoesNotReadHoldsItsAnswer(t *testing.T) {
	r := start(t, 256, nil)
	p, look, ended := &pipes{conns: make(chan net.Conn)}, make(chan *eventLoop, 1), make(chan error, 1)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		ended <- Serve(ctx, r.plan, Options{
			Listener: p, Dial: (&net.Dialer{}).DialContext, Clock: SystemClock{},
			Logger: NewLogger(r.log, false, slog.LevelInfo), onStart: look,
		})
	}()
	loop := <-look
	call := func() *caller {
		own, other := net.Pipe()
		p.conns <- other
		t.Cleanup(func() { own.Close() })
		return &caller{own, r, http1.NewReader(own, make([]byte, bufferSize))}
	}
	slow, gone, sound := call(), call(), call()
	slow.send(request("slow", "all", "", fourParts))
	r.eventually("an answer is held", func() bool { return loop.searches.unsentBytes.Load() > 0 })
	one := loop.searches.unsentBytes.Load()
	gone.send(request("gone", "all", "", fourParts))
	r.eventually("two are", func() bool { return loop.searches.unsentBytes.Load() == 2*one })
	for i := range 5 {
		sound.want(fmt.Sprint("sound", i), "all", 200, wholeOfAll)
	}
	r.eventually("no more than two are", func() bool { return loop.searches.unsentBytes.Load() == 2*one })
	status, _, text, _ := slow.answer()
	require.Equal(t, 200, status)
	require.JSONEq(t, wholeOfAll, text)
	r.eventually("one is", func() bool { return loop.searches.unsentBytes.Load() == one })
	gone.Close()
	r.eventually("none is", func() bool { return loop.searches.unsentBytes.Load() == 0 })
	cancel()
	select {
	case err := <-ended:
		require.NoError(t, err)
	case <-time.After(patience):
		require.Fail(t, "does not end")
	}
	r.end()
}
