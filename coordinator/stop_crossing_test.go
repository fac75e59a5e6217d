package coordinator

import (
	"errors"
	"fmt"
	"io"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chalkring/internal/http1"
)

// SIGTERM before the co-ordinator knows any host, while discovery is silent, ends it as any other.
func TestShutdownDuringStart(t *testing.T) {
	l, silent := newLife(t), listen(t)
	l.plan["discovery"] = silent.Addr().String()
	l.plan["known"].(map[string]any)["servers"] = []any{}
	l.write()
	l.start(nil)
	conn, err := silent.Accept()
	require.NoError(t, err)
	defer conn.Close()
	_, rd := l.dial()
	c, crd := l.dial()
	c.Write([]byte("GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n"))
	status, _, _, _, err := crd.ReadResponse()
	require.NoError(t, err)
	require.Equal(t, 503, status)
	l.signal(syscall.SIGTERM)
	l.over(0)
	_, _, _, _, err = rd.ReadResponse()          // of the one that asked nothing
	require.ErrorIs(t, err, io.ErrUnexpectedEOF) // the end in good order, and no answer
}

// Told to end with parts that wait for connections and searches that wait for slots: all have their answers, by whole ones.
func TestShutdownDuringDials(t *testing.T) {
	const clients = 30 // the slots are taken by the first few
	r, let := startGated(t, nil)
	var all []*caller
	for i := range clients {
		all = append(all, r.call().send(request(fmt.Sprint("q", i), "all", "", fourParts)))
	}
	r.eventually("they are taken, and parts wait", func() bool {
		return r.open() == clients && r.waiting("a0")+r.waiting("a1") >= 2
	})
	require.Less(t, r.parts(), 2*clients, "some searches wait")
	r.stop()
	r.logged("event=stopping")
	r.noneTaken()
	let("a0")
	let("a1")
	for i, c := range all {
		status, _, text, _ := c.answer()
		require.Contains(t, []int{200, 503}, status, "%d %s", i, text)
		if status == 200 {
			require.JSONEq(t, wholeOfAll, text)
		}
	}
	r.end()
}

// kill -9 with requests in flight: no client gets half an answer that looks whole, and the next process serves at once, with no
// word of those before.
func TestSIGKILLWithRequestsInFlight(t *testing.T) {
	l := newLife(t)
	l.start(nil)
	l.ready()
	held := l.holding()
	var open []*http1.Reader
	for i := range 12 {
		conn, rd := l.dial()
		_, err := conn.Write([]byte(request(fmt.Sprint("k", i), "all", "", fourParts)))
		require.NoError(t, err)
		open = append(open, rd)
	}
	a := <-held
	text := request("half", "all", "", fourParts)
	half, rd := l.dial()
	half.Write([]byte(text[:len(text)/2]))
	open = append(open, rd)
	l.signal(syscall.SIGKILL)
	select {
	case err := <-l.ended:
		require.Error(t, err)
	case <-time.After(endsWithin):
		require.Fail(t, "does not end")
	}
	for i, rd := range open {
		_, _, _, _, err := rd.ReadResponse()
		require.True(t, errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET), "%d: %v", i, err)
	}
	for _, h := range l.hosts {
		h.SetHandler(asked.ReplyGood)
	}
	a.ReplyGood() // late, to a process that is gone
	l.start(nil)
	l.ready()
	l.served("next")
	require.NotContains(t, l.log.String(), "event=bad_frame")
	require.False(t, strings.Contains(l.log.String(), "k0"))
	l.signal(syscall.SIGTERM)
	l.over(0)
}
