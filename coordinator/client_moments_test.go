package coordinator

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"math/rand"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"chalkring/internal/fake"
	"chalkring/internal/http1"
)

// leavings are the ways in which a client's connection ends.
var leavings = map[string]func(conn *net.TCPConn) error{
	"closed":      (*net.TCPConn).Close,
	"half-closed": (*net.TCPConn).CloseWrite,
	"reset":       func(conn *net.TCPConn) error { return reset(conn) },
}

// given counts the parts that hosts were told to give up.
func (r *rig) given() (n int) {
	for _, s := range r.replicas {
		_, given, _, _ := s.Observed()
		n += len(given)
	}
	return n
}

// allow has the hosts answer, or be silent.
func (r *rig) allow(do func(asked)) {
	for _, s := range r.replicas {
		s.SetHandler(do)
	}
}

// As the co-ordinator stops, a client that has sent ahead and leaves is seen at once too: its open search is given up, and
// what it sent behind that is not sent on.
func TestClientLeavesAfterPipelining(t *testing.T) {
	for how, leave := range leavings {
		t.Run(how, func(t *testing.T) {
			r := start(t, 256, nil)
			r.allow(func(asked) {})
			c := r.call().send(request("open", "all", "", fourParts))
			r.eventually("parts are out", func() bool { return r.parts() == 4 })
			r.stop()
			r.logged("event=stopping")
			c.send(request("behind", "all", "", fourParts) + request("part", "all", "", fourParts)[:90])
			r.eventually("it is awaited", func() bool {
				told := make(chan bool, 1)
				r.loop.submit(func() { told <- len(r.loop.searches.byID) == 1 })
				return <-told
			})
			require.NoError(t, leave(c.Conn.(*net.TCPConn)))
			r.eventually("parts are given up", func() bool { return r.given() == 4 })
			r.end()
			require.Equal(t, 4, r.parts())
		})
	}
}

// held are connections that are accepted at once and handed on later, as by a process that is held up.
type held struct {
	net.Listener
	free chan struct{}
}

func (h held) Accept() (net.Conn, error) {
	conn, err := h.Listener.Accept()
	if err == nil {
		<-h.free
	}
	return conn, err
}

// tcpState is what the kernel has a connection in.
func tcpState(t *testing.T, conn net.Conn) (state uint8) {
	raw, err := conn.(*net.TCPConn).SyscallConn()
	require.NoError(t, err)
	require.NoError(t, raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		require.NoError(t, err)
		state = info.State
	}))
	return state
}

// The request of a client that has left by the time it is read is not sent on, however the client left.
func TestClientGoneBeforeDispatch(t *testing.T) {
	const each, finWait2 = 40, 5 // of Linux's states: the other side has the end of what was sent
	r := start(t, 256, nil)
	ln, look, ended := held{listen(t), make(chan struct{})}, make(chan *eventLoop, 1), make(chan error, 1)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		ended <- Serve(ctx, r.plan, Options{
			Listener: ln, Dial: (&net.Dialer{}).DialContext, Clock: SystemClock{},
			Logger: NewLogger(r.log, false, slog.LevelInfo), onStart: look,
		})
	}()
	loop := <-look
	dial := func() *caller {
		conn, err := net.Dial("tcp", ln.Addr().String())
		require.NoError(t, err)
		t.Cleanup(func() { conn.Close() })
		conn.SetDeadline(time.Now().Add(patience))
		return &caller{conn, r, http1.NewReader(conn, make([]byte, bufferSize))}
	}
	for how, leave := range leavings {
		for i := range each {
			c := dial().send(request(fmt.Sprint(how, i), "all", "", fourParts))
			if how != "reset" {
				require.NoError(t, c.Conn.(*net.TCPConn).CloseWrite())
				r.eventually("its end is there", func() bool { return tcpState(t, c.Conn) == finWait2 })
			}
			if how != "half-closed" {
				require.NoError(t, leave(c.Conn.(*net.TCPConn)))
			}
		}
	}
	last := dial()
	close(ln.free)
	last.want("last", "all", 200, wholeOfAll)
	r.eventually("the others have ended", func() bool {
		told := make(chan int, 1)
		loop.submit(func() { told <- len(loop.clients.connections) })
		return <-told == 1
	})
	require.Equal(t, 4, r.parts(), "those of the last alone")
	last.Close()
	cancel()
	require.NoError(t, <-ended)
	r.end()
}

// piped starts a further co-ordinator whose clients come by pipes: a write there returns once it has been read. made
// changes the co-ordinator's side of a connection, and may be nil.
func (r *rig) piped() (call func(made func(net.Conn) net.Conn) *caller, end func()) {
	p, look, ended := &pipes{conns: make(chan net.Conn)}, make(chan *eventLoop, 1), make(chan error, 1)
	ctx, cancel := context.WithCancel(context.Background())
	r.t.Cleanup(cancel)
	go func() {
		ended <- Serve(ctx, r.plan, Options{
			Listener: p, Dial: (&net.Dialer{}).DialContext, Clock: SystemClock{},
			Logger: NewLogger(r.log, false, slog.LevelInfo), onStart: look,
		})
	}()
	<-look
	var callers []net.Conn
	call = func(made func(net.Conn) net.Conn) *caller {
		own, other := net.Pipe()
		if made != nil {
			other = made(other)
		}
		p.conns <- other
		callers = append(callers, own)
		r.t.Cleanup(func() { own.Close() })
		own.SetDeadline(time.Now().Add(patience))
		return &caller{own, r, http1.NewReader(own, make([]byte, bufferSize))}
	}
	return call, func() {
		cancel()
		for _, conn := range callers {
			conn.Close()
		}
		select {
		case err := <-ended:
			require.NoError(r.t, err)
		case <-time.After(patience):
			require.Fail(r.t, "does not end")
		}
		r.end()
	}
}

// With no descriptor left, a connection on which a request has begun to come makes no room while another is at rest.
func TestArrivingRequestsKeepTheirConnections(t *testing.T) {
	r := start(t, 16, nil)
	call, end := r.piped()
	text := request("begun", "all", "", fourParts)
	begun := call(nil).send(text[:len(text)-1])
	head := call(nil).send(text[:1])
	for range 30 { // many times the room
		call(nil)
	}
	status, _, _, _ := begun.send(text[len(text)-1:]).answer()
	require.Equal(t, 200, status)
	status, _, _, _ = head.send(text[1:]).answer()
	require.Equal(t, 200, status)
	end()
}

// With none at rest, the one that has been longest about it makes room all the same.
func TestArrivingRequestsMakeRoomLast(t *testing.T) {
	r := start(t, 16, nil)
	call, end := r.piped()
	first := call(nil).send("P")
	for range 7 {
		call(nil).send("P")
	}
	call(nil).want("new", "all", 200, wholeOfAll)
	_, err := first.Read(make([]byte, 1))
	require.Equal(t, io.EOF, err)
	end()
}

// lastLook holds what a read has brought until the connection has been told to end.
type lastLook struct {
	net.Conn
	read, told chan struct{}
	once       sync.Once
}

func (l *lastLook) Read(p []byte) (int, error) {
	n, err := l.Conn.Read(p)
	if n > 0 {
		close(l.read)
		<-l.told
	}
	return n, err
}

func (l *lastLook) SetReadDeadline(at time.Time) error {
	if !at.IsZero() && at.Before(time.Now()) {
		l.once.Do(func() { close(l.told) })
	}
	return l.Conn.SetReadDeadline(at)
}

func (l *lastLook) Close() error {
	l.once.Do(func() { close(l.told) })
	return l.Conn.Close()
}

// A request that has been read whole in the moment in which its connection is to make room has its answer; another
// connection makes room.
func TestRequestWhileItsConnectionIsDisplaced(t *testing.T) {
	r := start(t, 16, nil)
	call, end := r.piped()
	at := &lastLook{read: make(chan struct{}), told: make(chan struct{})}
	c := call(func(conn net.Conn) net.Conn { at.Conn = conn; return at })
	c.send(request("read", "all", "", fourParts))
	<-at.read
	for range 7 {
		call(nil)
	}
	last := call(nil) // waits for room
	status, _, text, _ := c.answer()
	require.Equal(t, 200, status)
	require.JSONEq(t, wholeOfAll, text)
	last.want("last", "all", 200, wholeOfAll)
	end()
}

// halves is a pipe of which one direction can be shut.
type halves struct {
	net.Conn
	shut chan struct{}
}

func (h halves) CloseWrite() error {
	close(h.shut)
	return nil
}

// After a last answer what still comes is read for a while, so that no reset goes after the answer, which may still be on
// its way: where a client sent ahead, and where it sends on behind its last request. None of it is sent on.
func TestLingersAfterLastAnswer(t *testing.T) {
	more := strings.Repeat(request("next", "all", "", fourParts), 100) // several buffers
	for name, x := range map[string]struct {
		head   string
		ahead  bool
		status int
	}{"sent ahead": {"", true, 400}, "last request": {"Connection: close\r\n", false, 200}} {
		t.Run(name, func(t *testing.T) {
			r := start(t, 256, nil)
			call, end := r.piped()
			gate := make(chan struct{})
			r.allow(func(a asked) { go func() { <-gate; a.ReplyGood() }() })
			h := halves{nil, make(chan struct{})}
			c := call(func(conn net.Conn) net.Conn { h.Conn = conn; return h })
			c.send(request("first", "all", x.head, fourParts))
			r.eventually("parts are out", func() bool { return r.parts() == 4 })
			sent := make(chan error, 1)
			send := func() {
				_, err := c.Write([]byte(more))
				sent <- err
			}
			if x.ahead {
				go send()
			} else {
				close(gate)
			}
			status, _, _, keep := c.answer()
			require.Equal(t, x.status, status)
			require.False(t, keep)
			<-h.shut
			if !x.ahead {
				go send()
			}
			require.NoError(t, <-sent)
			c.Close()
			if end(); x.ahead {
				close(gate)
			}
			require.Equal(t, 4, r.parts())
		})
	}
}

// Connections that have come by the time at which no more are taken are taken, each with its request, also where the
// process was held up just then.
func TestIdleConnectionsAtShutdown(t *testing.T) {
	r := process(t, nil)
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	require.NoError(t, r.Signal("n", syscall.SIGTERM))
	require.NoError(t, r.WaitLogged(ctx, "n", "event=stopping", 1))
	time.Sleep(acceptAfterStop / 2)
	require.NoError(t, r.Signal("n", syscall.SIGSTOP))
	var conns []net.Conn
	for i := range 100 {
		conn, err := net.Dial("tcp", r.Addresses("n").Client)
		require.NoError(t, err)
		defer conn.Close()
		conn.SetDeadline(time.Now().Add(patience))
		_, err = conn.Write([]byte(fake.Search{
			ID: fmt.Sprint("c", i), Type: "full-match", Shards: []int{0, 1, 2, 3},
			Patience: 2 * time.Second, Tenant: "acme",
		}.Encode()))
		require.NoError(t, err)
		conns = append(conns, conn)
	}
	time.Sleep(acceptAfterStop)
	require.NoError(t, r.Signal("n", syscall.SIGCONT))
	for i, conn := range conns {
		status, _, _, _, err := http1.NewReader(conn, make([]byte, 16<<10)).ReadResponse()
		require.NoError(t, err, "connection %d", i)
		require.Contains(t, []int{200, 503}, status, "connection %d", i)
	}
}

// While the co-ordinator stops, too, what came in time is read, though the process was held up and its time is over by the
// time it looks: a request's last bytes, and a request on a connection at rest.
func TestFinalReadAtShutdown(t *testing.T) {
	for name, client := range map[string]*clientConnection{
		"a request": {requestDeadline: time.Now().Add(-time.Second)},
		"at rest":   {stopReadDeadline: time.Now().Add(-time.Second)},
	} {
		t.Run(name, func(t *testing.T) {
			ln := listen(t)
			there, err := net.Dial("tcp", ln.Addr().String())
			require.NoError(t, err)
			defer there.Close()
			here, err := ln.Accept()
			require.NoError(t, err)
			defer here.Close()
			stopping, cancel := context.WithCancel(context.Background())
			cancel()
			client.clientListener, client.conn, client.answered = &clientListener{stopping: stopping}, here, make(chan struct{}, 1)
			_, err = there.Write([]byte("x"))
			require.NoError(t, err)
			client.interruptRead()
			n, err := client.Read(make([]byte, 2))
			require.NoError(t, err)
			require.Equal(t, 1, n)
			_, err = client.Read(make([]byte, 2)) // once
			want := errClosing
			if !client.requestDeadline.IsZero() {
				want = errReadTimeout
			}
			require.Equal(t, want, connectionEndOf(err))
		})
	}
}

// Every answer has the values of its own request, whatever else is open, given up, refused or sent in pieces then: room that
// is used again never shows another's. A client that leaves in between or sends ahead costs the others nothing.
func TestAnswersBelongToTheirRequests(t *testing.T) {
	const clients, each = 16, 60
	r := start(t, 256, nil)
	var g sync.WaitGroup
	var sound atomic.Int32
	faults := make(chan string, clients*each)
	for k := range clients {
		chance := rand.New(rand.NewSource(int64(k)))
		g.Go(func() {
			c := r.call()
			for i := range each {
				id := fmt.Sprintf("c%d-%d", k, i)
				what := id + strings.Repeat("/"+id, chance.Intn(40)*chance.Intn(40)) // some longer than the buffers
				if i%7 == 0 {
					what += `\"\u00fc` // has to be escaped again
				}
				body := strings.Replace(fourParts, `"what"`, `"`+what+`"`, 1)
				text := request(id, "all", "", body)
				if i%3 == 0 {
					at := chance.Intn(len(body)) + 1
					text = strings.Replace(request(id, "all", "", ""), "Content-Length: 0\r\n\r\n", fmt.Sprintf(
						"Transfer-Encoding: chunked\r\n\r\n%x;a=b\r\n%s\r\n", at, body[:at]), 1)
					if at < len(body) {
						text += fmt.Sprintf("%x\r\n%s\r\n", len(body)-at, body[at:])
					}
					text += "0\r\nT: 1\r\n\r\n"
				}
				switch chance.Intn(8) {
				case 0: // leaves
					c.Write([]byte(text))
					c.Close()
					c = r.call()
					continue
				case 1: // sends ahead
					c.Write([]byte(text + text))
					c.Close()
					c = r.call()
					continue
				case 2: // is refused
					c.Write([]byte(strings.Replace(text, "X-Tenant: acme", "X-Tenant: nobody", 1)))
					if status, _, got, _, err := c.rd.ReadResponse(); err != nil || status != 400 || string(got) != "{}" {
						faults <- fmt.Sprint(id, " refused: ", status, err)
						return
					}
				}
				for cut := chance.Intn(len(text)); text != ""; cut = len(text) {
					c.Write([]byte(text[:cut]))
					text = text[cut:]
				}
				var got struct {
					Answers []struct{ Blob string }
				}
				status, _, answer, _, err := c.rd.ReadResponse()
				if err == nil && status == 200 {
					err = json.Unmarshal(answer, &got)
				}
				var want string
				require.NoError(t, json.Unmarshal([]byte(`"`+what+`"`), &want))
				if err == nil && status == 503 { // a machine that is busy enough
					continue
				}
				if err != nil || status != 200 || len(got.Answers) != 4 {
					faults <- fmt.Sprintf("%s: %d %v %.200s", id, status, err, answer)
					return
				}
				for shard, one := range got.Answers {
					if one.Blob != fmt.Sprintf("%s@%d", want, shard) {
						faults <- fmt.Sprintf("%s got %.200s", id, one.Blob)
						return
					}
				}
				sound.Add(1)
			}
		})
	}
	g.Wait()
	close(faults)
	for text := range faults {
		t.Error(text)
	}
	require.Positive(t, sound.Load())
	r.end()
}

// A connection that waited for room has the time of any other for its first request from then on.
func TestFirstRequestAfterWaitingForRoom(t *testing.T) {
	t.Parallel()
	r := start(t, 16, nil)
	call, end := r.piped()
	gate := make(chan struct{})
	r.allow(func(a asked) { go func() { <-gate; a.ReplyGood() }() })
	var busy []*caller
	for i := range 8 { // all the room
		busy = append(busy, call(nil).send(request(fmt.Sprint("busy", i), "all", "", fourParts)))
	}
	r.eventually("parts are out", func() bool { return r.parts() == 4*len(busy) })
	c := call(nil)
	time.Sleep(requestReadTimeout + finalReadGrace)
	close(gate)
	for _, b := range busy {
		status, _, _, _ := b.answer()
		require.Equal(t, 200, status)
	}
	text := request("late", "all", "", fourParts)
	c.send(text[:100])
	time.Sleep(3 * finalReadGrace) // no verdict rests on its length: it is in the request's own time
	status, _, _, _ := c.send(text[100:]).answer()
	require.Equal(t, 200, status)
	end()
}

// As the co-ordinator stops, more requests in a piece than its buffer holds are answered one after another, each once.
func TestPipelinedRequestsAtShutdown(t *testing.T) {
	r := start(t, 256, nil)
	c := r.call()
	c.want("first", "all", 200, wholeOfAll)
	r.stop()
	r.logged("event=stopping")
	const many = 170 // some 60 KB
	var all strings.Builder
	for i := range many {
		what := strings.Replace(fourParts, `"what"`, fmt.Sprintf(`"what%d"`, i), 1)
		all.WriteString(request(fmt.Sprint("m", i), "all", "", what))
	}
	require.Greater(t, all.Len(), 3*bufferSize)
	go c.Write([]byte(all.String()))
	for i := range many {
		status, _, body, _ := c.answer()
		require.Equal(t, 200, status)
		require.JSONEq(t, strings.ReplaceAll(wholeOfAll, "what", fmt.Sprint("what", i)), body)
	}
	r.end()
	require.Equal(t, 4*(many+1), r.parts())
}
