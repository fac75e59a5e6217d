package httpserver

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const testBodyLimit = 100 << 10

// testMemory is a memory that connections share. It counts what they hold, and refuses what is over its limit.
type testMemory struct {
	mu          sync.Mutex
	limit, held int
	evict       func() // of the request that is arriving last
}

// testHolding is the holding of one connection.
type testHolding struct{ *testMemory }

func (h testHolding) MarkArriving(evict func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.evict = evict
}

func (h testHolding) MarkComplete() { h.MarkArriving(func() {}) }

func (h testHolding) Reserve(bytes int) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.held+bytes > h.limit {
		return errors.New("full")
	}
	h.held += bytes
	return nil
}

func (h testHolding) Release(bytes int) { _ = h.Reserve(-bytes) }

func (m *testMemory) setLimit(bytes int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.limit = bytes
}

// read returns what is held, and evict.
func (m *testMemory) read() (held int, evict func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.held, m.evict
}

// testServer is a server that runs until the test's end.
type testServer struct {
	t      *testing.T
	addr   string
	stop   context.CancelFunc
	ended  chan error
	events atomic.Int64 // log lines
	memory testMemory
}

func startServer(t *testing.T, handler http.HandlerFunc, edits ...func(s *Server, listener *net.Listener)) *testServer {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	stopping, stop := context.WithCancel(t.Context())
	started := &testServer{t: t, addr: listener.Addr().String(), stop: stop, ended: make(chan error, 1), memory: testMemory{limit: 1 << 30}}
	server := &Server{
		Handler: handler, MaxConnections: 64, HeadTimeout: 10 * time.Second, RequestTimeout: 10 * time.Second, IdleTimeout: 10 * time.Second,
		StopGrace: 10 * time.Second, WriteTimeout: 10 * time.Second, NewHolding: func() Holding { return testHolding{&started.memory} }, BodyLimit: func(string) int { return testBodyLimit },
		WriteError: func(w http.ResponseWriter, status int, message string) {
			w.WriteHeader(status)
			_, _ = io.WriteString(w, message)
		},
		LogEvent: func(string, string, ...any) { started.events.Add(1) },
	}
	for _, edit := range edits {
		edit(server, &listener)
	}
	go func() { started.ended <- server.Serve(context.WithoutCancel(t.Context()), stopping, listener) }()
	t.Cleanup(func() {
		stop()
		select {
		case err := <-started.ended:
			require.NoError(t, err)
			held, _ := started.memory.read()
			require.Zero(t, held, "held when all connections have ended")
		case <-time.After(20 * time.Second):
			t.Error("the server did not end within 20 s of its stop")
		}
	})
	return started
}

// dial opens a connection that ends with the test.
func (s *testServer) dial() (net.Conn, *bufio.Reader) {
	conn, err := net.Dial("tcp", s.addr)
	require.NoError(s.t, err)
	s.t.Cleanup(func() { conn.Close() })
	require.NoError(s.t, conn.SetDeadline(time.Now().Add(30*time.Second)))
	return conn, bufio.NewReader(conn)
}

// send opens a connection and writes a text.
func (s *testServer) send(text string) (net.Conn, *bufio.Reader) {
	conn, source := s.dial()
	_, err := io.WriteString(conn, text)
	require.NoError(s.t, err)
	return conn, source
}

// readResponse reads the response to a request of a method.
func (s *testServer) readResponse(source *bufio.Reader, method string) (*http.Response, string) {
	response, err := http.ReadResponse(source, &http.Request{Method: method})
	require.NoError(s.t, err)
	body, err := io.ReadAll(response.Body)
	require.NoError(s.t, err)
	return response, string(body)
}

// requireClosed requires that nothing more comes on a connection.
func (s *testServer) requireClosed(source *bufio.Reader) {
	s.t.Helper()
	_, err := source.ReadByte()
	require.ErrorIs(s.t, err, io.EOF)
}

// echo answers with what it was asked for.
func echo(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	fmt.Fprintf(w, "%s %s %s %s %d ", r.Method, r.URL.Path, r.URL.RawQuery, r.Header.Get("X-Opaque-Id"), r.ContentLength)
	_, _ = w.Write(body)
}

// drawRequest returns a sound request and what echo answers to it.
func drawRequest(chance *rand.Rand) (text, want string) {
	path, id := fmt.Sprintf("/p%d", chance.Intn(1000)), fmt.Sprint(chance.Intn(1000))
	body := strings.Repeat("abcdefghij", chance.Intn(1<<chance.Intn(14)))
	head := fmt.Sprintf("POST %s?k=v HTTP/1.1\r\nHost: x\r\nx-opaque-id: %s\r\n", path, id)
	want = fmt.Sprintf("POST %s k=v %s %d %s", path, id, len(body), body)
	switch chance.Intn(3) {
	case 0:
		return head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body), want
	case 1:
		return head + "\r\n", fmt.Sprintf("POST %s k=v %s 0 ", path, id)
	}
	text = head + "Transfer-Encoding: chunked\r\n\r\n"
	for rest := body; rest != ""; {
		n := 1 + chance.Intn(len(rest))
		text += fmt.Sprintf("%x\r\n%s\r\n", n, rest[:n])
		rest = rest[n:]
	}
	return text + "0\r\n\r\n", want
}

// Guards against requests that reach the handler changed, or whose responses come out of order, however they are framed and
// into whatever pieces the network divides them.
func TestDrawnRequestsArriveUnchanged(t *testing.T) {
	server := startServer(t, echo)
	for seed := range int64(30) {
		chance := rand.New(rand.NewSource(seed))
		var all strings.Builder
		var wanted []string
		for range 1 + chance.Intn(8) {
			text, want := drawRequest(chance)
			all.WriteString(text)
			wanted = append(wanted, want)
		}
		conn, source := server.dial()
		written := make(chan struct{})
		go func() {
			defer close(written)
			for rest := all.String(); rest != ""; {
				n := min(len(rest), 1+chance.Intn(20_000))
				if _, err := io.WriteString(conn, rest[:n]); err != nil {
					return
				}
				rest = rest[n:]
			}
		}()
		for i, want := range wanted {
			response, body := server.readResponse(source, http.MethodPost)
			require.Equal(t, http.StatusOK, response.StatusCode)
			require.Equal(t, want, body, "seed %d, request %d", seed, i)
		}
		<-written
		conn.Close()
	}
}

// Guards against a request that cannot be read and gets no answer, is handled, or leaves the connection open.
func TestUnreadableRequestsAreRefused(t *testing.T) {
	server := startServer(t, func(http.ResponseWriter, *http.Request) { t.Error("an unreadable request is handled") })
	const begin = "POST / HTTP/1.1\r\nHost: x\r\n"
	for text, want := range map[string]int{
		begin + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n": 400,
		"GET / HTTP/1.1\r\n\r\n":                                  400,
		"GET x HTTP/1.1\r\nHost: x\r\n\r\n":                       400,
		"hello\r\n\r\n":                                           400,
		begin + "Content-Length: 10\r\n\r\nhalf":                  408,
		"GET / HTTP/1.1\r\nHost:":                                 408,
		begin + "Content-Length: 999999\r\n\r\n":                  413,
		begin + "Expect: a miracle\r\nContent-Length: 1\r\n\r\n":  417,
		begin + "Long: " + strings.Repeat("a", 9000) + "\r\n\r\n": 431,
		begin + strings.Repeat("a:\r\n", 101) + "\r\n":            431,
		begin + "Transfer-Encoding: gzip\r\n\r\n":                 501,
		"PRI * HTTP/2.0\r\n\r\n":                                  505,
	} {
		t.Run(fmt.Sprintf("%d %.60q", want, text), func(t *testing.T) {
			t.Parallel()
			_, source := server.send(text)
			response, _ := server.readResponse(source, http.MethodPost)
			require.Equal(t, want, response.StatusCode)
			require.True(t, response.Close)
			server.requireClosed(source)
		})
	}
}

// Guards against clients that stop within a request and get neither an answer nor a close.
func TestRequestsThatStopAreAnsweredInTime(t *testing.T) {
	server := startServer(t, func(http.ResponseWriter, *http.Request) { t.Error("a part of a request is handled") },
		func(s *Server, _ *net.Listener) { s.HeadTimeout, s.RequestTimeout = 500*time.Millisecond, time.Second })
	const begin = "POST / HTTP/1.1\r\nHost: x\r\n"
	for _, text := range []string{
		"GET / HTTP/1.1\r\nHost:", begin + "Content-Length: 10\r\n\r\nhalf", begin + "Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n",
	} {
		_, source := server.send(text)
		response, _ := server.readResponse(source, http.MethodPost)
		require.Equal(t, http.StatusRequestTimeout, response.StatusCode, "%q", text)
		require.True(t, response.Close)
		server.requireClosed(source)
	}
	_, silent := server.dial()
	server.requireClosed(silent)
}

// Guards against memory that the requests of all connections take together without a bound: one that finds no room, also for
// what its handler needs, is refused, one that has to make room gives up, and both give back what they hold.
func TestRequestsShareMemory(t *testing.T) {
	const limit = 64 << 10
	server := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		if err := ReserveMemory(r.Context(), limit/2); err != nil {
			w.WriteHeader(http.StatusTooManyRequests)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
	server.memory.setLimit(limit)
	post := func(length, sent int) string {
		return fmt.Sprintf("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", length, strings.Repeat("a", sent))
	}
	for _, x := range []struct{ length, want int }{{10_000, 200}, {limit * 3 / 4, 429}, {limit + 1, 429}, {10_000, 200}} {
		conn, source := server.send(post(x.length, x.length))
		response, _ := server.readResponse(source, http.MethodPost)
		require.Equal(t, x.want, response.StatusCode, "%d bytes", x.length)
		conn.Close()
		require.Eventually(t, func() bool { held, _ := server.memory.read(); return held == 0 }, 10*time.Second, time.Millisecond)
	}
	_, source := server.send(post(limit, 20_000))
	require.Eventually(t, func() bool { held, _ := server.memory.read(); return held >= 20_000 }, 10*time.Second, time.Millisecond)
	_, evict := server.memory.read()
	evict()
	response, _ := server.readResponse(source, http.MethodPost)
	require.Equal(t, http.StatusTooManyRequests, response.StatusCode)
	server.requireClosed(source)
}

// Guards against responses that clients of each kind cannot read: HEAD, HTTP/1.0 with and without kept connections, clients
// that wait for 100 Continue, and those that ask to close.
func TestKindsOfClients(t *testing.T) {
	server := startServer(t, echo)
	for _, x := range []struct {
		text, method, want string
		keeps              bool
	}{
		{"HEAD /a HTTP/1.1\r\nHost: x\r\n\r\n", http.MethodHead, "", true},
		{"GET /a HTTP/1.0\r\n\r\n", http.MethodGet, "GET /a   0 ", false},
		{"GET /a HTTP/1.0\r\nConnection: keep-alive\r\n\r\n", http.MethodGet, "GET /a   0 ", true},
		{"GET /a HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", http.MethodGet, "GET /a   0 ", false},
	} {
		_, source := server.send(x.text)
		response, body := server.readResponse(source, x.method)
		require.Equal(t, x.want, body)
		require.NotEmpty(t, response.Header.Get("Date"))
		require.Equal(t, x.keeps, !response.Close, "%q", x.text)
		if !x.keeps {
			server.requireClosed(source)
		}
	}
	conn, source := server.send("POST /a HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n")
	interim, err := http.ReadResponse(source, nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusContinue, interim.StatusCode)
	_, err = io.WriteString(conn, "ok")
	require.NoError(t, err)
	_, body := server.readResponse(source, http.MethodPost)
	require.Equal(t, "POST /a   2 ok", body)
}

// Guards against work for clients that have left: the request's context ends, also behind a further request.
func TestRequestEndsWhenItsClientLeaves(t *testing.T) {
	handling, cancelled := make(chan struct{}, 2), make(chan struct{}, 2)
	server := startServer(t, func(_ http.ResponseWriter, r *http.Request) {
		handling <- struct{}{}
		<-r.Context().Done()
		cancelled <- struct{}{}
	})
	for range 2 { // the second time with two requests in one write
		conn, _ := server.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n")
		<-handling
		conn.Close()
		<-cancelled
		conn, _ = server.send(strings.Repeat("GET / HTTP/1.1\r\nHost: x\r\n\r\n", 2))
		<-handling
		conn.Close()
		<-cancelled
	}
	require.Empty(t, handling, "a request is handled whose client has left")
}

// Guards against a panic of the handler that ends more than its own connection.
func TestPanicEndsOneConnection(t *testing.T) {
	server := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/panic" {
			panic("fault")
		}
		echo(w, r)
	})
	_, source := server.send("GET /panic HTTP/1.1\r\nHost: x\r\n\r\n")
	response, _ := server.readResponse(source, http.MethodGet)
	require.Equal(t, http.StatusInternalServerError, response.StatusCode)
	server.requireClosed(source)
	_, source = server.send("GET /a HTTP/1.1\r\nHost: x\r\n\r\n")
	response, _ = server.readResponse(source, http.MethodGet)
	require.Equal(t, http.StatusOK, response.StatusCode)
	require.EqualValues(t, 1, server.events.Load())
}

// Guards against a stop that drops requests: an open one is answered and its connection closed, and so is one on its way.
func TestStopAnswersOpenRequests(t *testing.T) {
	handling, release := make(chan struct{}), make(chan struct{})
	server := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/open" {
			close(handling)
			<-release
		}
		echo(w, r)
	})
	_, open := server.send("GET /open HTTP/1.1\r\nHost: x\r\n\r\n")
	<-handling
	idleConn, idle := server.send("GET /first HTTP/1.1\r\nHost: x\r\n\r\n")
	_, _ = server.readResponse(idle, http.MethodGet)
	server.stop()
	_, err := io.WriteString(idleConn, "GET /second HTTP/1.1\r\nHost: x\r\n\r\n")
	require.NoError(t, err)
	for _, source := range []*bufio.Reader{idle, open} {
		response, _ := server.readResponse(source, http.MethodGet)
		require.Equal(t, http.StatusOK, response.StatusCode)
		require.True(t, response.Close)
		server.requireClosed(source)
		if source == idle {
			close(release)
		}
	}
}

// failingListener fails a number of times before it accepts.
type failingListener struct {
	net.Listener
	failures int
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.failures--; l.failures >= 0 {
		return nil, errors.New("too many open files")
	}
	return l.Listener.Accept()
}

// Guards against a server that ends because accepting a connection fails for a while.
func TestFailedAcceptsAreRetried(t *testing.T) {
	server := startServer(t, echo, func(_ *Server, listener *net.Listener) { *listener = &failingListener{*listener, 3} })
	_, source := server.send("GET /a HTTP/1.1\r\nHost: x\r\n\r\n")
	response, _ := server.readResponse(source, http.MethodGet)
	require.Equal(t, http.StatusOK, response.StatusCode)
	require.EqualValues(t, 3, server.events.Load())
}

// countingListener counts the connections that are accepted and not closed yet.
type countingListener struct {
	net.Listener
	mu         sync.Mutex
	open, most int
}

func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.add(1)
	return &countedConn{Conn: conn, listener: l}, nil
}

func (l *countingListener) add(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open += n
	l.most = max(l.most, l.open)
}

type countedConn struct {
	net.Conn
	listener *countingListener
	closed   sync.Once
}

func (c *countedConn) Close() error {
	c.closed.Do(func() { c.listener.add(-1) })
	return c.Conn.Close()
}

// Guards against more connections than are allowed, and against places that ended connections keep.
func TestConnectionsAreBounded(t *testing.T) {
	counting := &countingListener{}
	server := startServer(t, echo, func(s *Server, listener *net.Listener) {
		s.MaxConnections, s.HeadTimeout = 2, 300*time.Millisecond
		counting.Listener = *listener
		*listener = counting
	})
	for range 6 {
		server.dial() // silent
	}
	require.Eventually(t, func() bool {
		_, source := server.send("GET /a HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
		response, err := http.ReadResponse(source, nil)
		return err == nil && response.StatusCode == http.StatusOK
	}, 20*time.Second, time.Millisecond)
	counting.mu.Lock()
	defer counting.mu.Unlock()
	require.Equal(t, 2, counting.most)
}
