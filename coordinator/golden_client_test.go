package coordinator

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"math"
	"net"
	"net/textproto"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"chalkring/internal/golden"

	"github.com/stretchr/testify/require"

	"chalkring/control/residency"
)

// quotedLines writes each line of a request or response, quoted, behind a mark: > for a sent line, which is cut if it is
// long, and < for a received line.
func quotedLines(out *strings.Builder, mark, text string) {
	for _, line := range strings.SplitAfter(text, "\r\n") {
		switch {
		case line == "":
		case mark == ">":
			fmt.Fprintf(out, "%s %.300q\n", mark, line)
		default:
			fmt.Fprintf(out, "%s %q\n", mark, line)
		}
	}
}

// rawConn is a client's connection that returns responses as raw bytes.
type rawConn struct {
	net.Conn
	t  *testing.T
	rd *bufio.Reader
}

func dialRaw(t *testing.T, addr string) *rawConn {
	conn, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	t.Cleanup(func() { conn.Close() })
	require.NoError(t, conn.SetDeadline(time.Now().Add(testTimeout)))
	return &rawConn{conn, t, bufio.NewReader(conn)}
}

func (c *rawConn) send(text string) *rawConn {
	_, err := c.Write([]byte(text))
	require.NoError(c.t, err)
	return c
}

// response reads the bytes of one response, by its Content-Length. If the response announces that the connection closes, it
// checks that the end of the stream follows.
func (c *rawConn) response() string {
	var text strings.Builder
	length, closes := 0, false
	for line := ""; line != "\r\n"; {
		var err error
		line, err = c.rd.ReadString('\n')
		require.NoError(c.t, err, text.String())
		text.WriteString(line)
		name, value, _ := strings.Cut(strings.TrimSpace(line), ": ")
		switch textproto.CanonicalMIMEHeaderKey(name) {
		case "Content-Length":
			length, err = strconv.Atoi(value)
			require.NoError(c.t, err)
		case "Connection":
			closes = value == "close"
		}
	}
	_, err := io.CopyN(&text, c.rd, int64(length))
	require.NoError(c.t, err, text.String())
	if closes {
		_, err := c.rd.ReadByte()
		require.ErrorIs(c.t, err, io.EOF)
	}
	return text.String()
}

// recordExchange sends a request on a new connection and appends it and its response to the text of a golden file.
func recordExchange(t *testing.T, out *strings.Builder, addr, name, text string) {
	c := dialRaw(t, addr)
	defer c.Close()
	response := c.send(text).response()
	fmt.Fprintf(out, "== %s\n", name)
	quotedLines(out, ">", text)
	quotedLines(out, "<", response)
}

// Rejected requests, and requests other than searches, get exactly the response bytes of the golden file, without
// normalisation. Each request has its own connection.
func TestGoldenClientErrors(t *testing.T) {
	r := start(t, 1024, nil)
	ok := request("id", "all", "", fourParts)
	with := func(old, new string) string {
		require.Contains(t, ok, old)
		return strings.Replace(ok, old, new, 1)
	}
	var out strings.Builder
	for _, x := range [][2]string{
		{"health", "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n"},
		{"health, HTTP/1.0", "GET /healthz HTTP/1.0\r\n\r\n"},
		{"health, HTTP/1.0 kept", "GET /healthz HTTP/1.0\r\nConnection: keep-alive\r\n\r\n"},
		{"health, close", "GET /healthz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"},
		{"health, other method", "PUT /healthz HTTP/1.1\r\nHost: x\r\n\r\n"},
		{"metrics off", "GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n"},
		{"no such path", "GET /other HTTP/1.1\r\nHost: x\r\n\r\n"},
		{"no such path, close", "GET /other HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"},
		{"method of a search", "GET /all HTTP/1.1\r\nHost: x\r\n\r\n"},
		{"unknown class", with("X-Class: all", "X-Class: none")},
		{"class of another path", with("X-Class: all", "X-Class: some")},
		{"unknown tenant", with("X-Tenant: acme", "X-Tenant: nobody")},
		{"no request id", with("X-Request-Id: id\r\n", "")},
		{"no deadline", with("X-Deadline: 8.000\r\n", "")},
		{"deadline of zero", with("8.000", "0")},
		{"body that ends early", request("id", "all", "", `{"ranges":`)},
		{"unknown shard", request("id", "all", "", `{"ranges":[{"range":4,"portion":1}],"predicate":"p"}`)},
		{"weights that lack", request("id", "all", "", `{"ranges":[{"range":0,"portion":0.2}],"predicate":"p"}`)},
		{"no request line", "nonsense\r\n\r\n"},
		{"no host", with("Host: x\r\n", "")},
		{"chunked and a length", with("Content-Length: ", "Transfer-Encoding: chunked\r\nContent-Length: ")},
		{"no length", "POST /all HTTP/1.1\r\nHost: x\r\n\r\n"},
		{"long body", with("Content-Length: ", "Content-Length: 99999")},
		{"long head", with("Host: x", "Host: x\r\nX-Long: "+strings.Repeat("a", 9000))},
		{"other coding", "POST /all HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n"},
		{"other version", with("HTTP/1.1", "HTTP/2.0")},
	} {
		recordExchange(t, &out, r.addr, x[0], x[1])
	}
	golden.Require(t, "client_errors.golden", out.String())
	r.shutDown()
}

// While no host is known, a health check gets exactly the response bytes of the golden file.
func TestGoldenHealthWithoutHosts(t *testing.T) {
	list, ln := startDiscovery(t), listen(t)
	initial, err := parsePlan(fmt.Appendf(nil, `{"name":"n","listen":%q,"discovery":%q,"seed":"1f",
		"limits":{"cores":1,"memory_mb":192,"sockets":99},"known":{"version":0,"servers":[]},"settings":%s}`,
		ln.Addr(), list.Listener.Addr(), testSettings))
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	ended := make(chan error, 1)
	go func() {
		ended <- Serve(ctx, initial, Options{
			Listener: ln, Dial: (&net.Dialer{}).DialContext, Clock: SystemClock{},
			Logger: NewLogger(io.Discard, false, slog.LevelInfo),
		})
	}()
	var out strings.Builder
	recordExchange(t, &out, ln.Addr().String(), "health", "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")
	golden.Require(t, "health_without_hosts.golden", out.String())
	cancel()
	require.NoError(t, <-ended)
}

// searchUnderTest is a search for which the test decides instead of the balancer.
type searchUnderTest struct {
	*rig
	scripted *scriptedBalancer
	id       uint64
}

// answerShards sends attempts for shard requests of a step and waits until they are answered.
func (s searchUnderTest) answerShards(step int, shards ...int) {
	for _, shard := range shards {
		s.eventually("the step begins", func() (found bool) {
			s.runInLoop(func(loop *eventLoop) {
				for _, request := range loop.searches.byID[s.id].shardRequests {
					if request.step == step && request.shard == shard {
						found = true
						loop.SendAttempt(request.id, []string{"a0", "b0"}[shard%2], 0)
					}
				}
			})
			return found
		})
		s.scripted.expectOutcome("Ok")
	}
}

// answer sends the final answer, or begins the next step if the search has one.
func (s searchUnderTest) answer(complete bool) {
	s.runInLoop(func(loop *eventLoop) { loop.AnswerSearch(s.id, complete) })
}

// Searches get exactly the response bytes of the golden file for each way in which they end: complete, partial, after two
// steps, shed, failed, and rejected before they begin. The test makes the balancer's decisions, so that the bytes are the
// same in each run and need no normalisation.
func TestGoldenClientResponses(t *testing.T) {
	r := start(t, 1024, nil)
	for _, host := range r.replicas {
		host.SetHandler(func(p receivedRequest) {
			switch {
			case p.Text == "escaped":
				p.Reply("good", "1", "quote \" backslash \\ line\nend\r tab\t bell\a del\x7f <&> é \u2028 🙂")
			case p.Shard == 0: // the lowest value, so that no second step has shard 0: the scripted balancer takes a request for shard 0 as a new search
				p.Reply("good", "-3", "zero")
			case p.Shard == 2:
				p.Reply("good", "7", "")
			default:
				p.ReplyGood()
			}
		})
	}
	scripted := r.useScriptedBalancer()
	var out strings.Builder
	for i, x := range []struct {
		name, class, head, body string
		then                    func(s searchUnderTest)
	}{
		{"whole", "all", "", fourParts, func(s searchUnderTest) { s.answerShards(1, 0, 1, 2, 3); s.answer(true) }},
		{"whole with some of the shards", "some", "", fourParts, func(s searchUnderTest) { s.answerShards(1, 3, 0); s.answer(true) }},
		{"partial", "some", "", fourParts, func(s searchUnderTest) { s.answerShards(1, 1); s.answer(false) }},
		{"partial, close", "some", "Connection: close\r\n", fourParts, func(s searchUnderTest) { s.answerShards(1, 0, 1); s.answer(false) }},
		{"partial without a shard", "some", "", fourParts, func(s searchUnderTest) { s.answer(false) }},
		{"escaped values", "all", "", strings.Replace(onePart, "what", "escaped", 1), func(s searchUnderTest) { s.answerShards(1, 0); s.answer(true) }},
		{"two steps", "deep", "", fourParts, func(s searchUnderTest) {
			s.answerShards(1, 0, 1, 2, 3)
			s.answer(true)
			s.answerShards(2, 3, 1)
			s.answer(true)
		}},
		{"two steps, the second partial", "deep", "", fourParts, func(s searchUnderTest) {
			s.answerShards(1, 3, 1)
			s.answer(false)
			s.answerShards(2, 1)
			s.answer(false)
		}},
		{"shed", "all", "", fourParts, func(s searchUnderTest) { s.runInLoop(func(loop *eventLoop) { loop.ShedSearch(s.id, 0) }) }},
		{"shed with a wait", "all", "", fourParts, func(s searchUnderTest) { s.runInLoop(func(loop *eventLoop) { loop.ShedSearch(s.id, 2500) }) }},
		{
			"shed with a wait, close", "all", "Connection: close\r\n", fourParts,
			func(s searchUnderTest) { s.runInLoop(func(loop *eventLoop) { loop.ShedSearch(s.id, 12345) }) },
		},
		{"failed", "all", "", fourParts, func(s searchUnderTest) { s.runInLoop(func(loop *eventLoop) { loop.FailSearch(s.id) }) }},
		{"failed, close", "all", "Connection: close\r\n", fourParts, func(s searchUnderTest) { s.runInLoop(func(loop *eventLoop) { loop.FailSearch(s.id) }) }},
	} {
		text := request(fmt.Sprint("q", i), x.class, x.head, x.body)
		c := dialRaw(t, r.addr).send(text)
		x.then(searchUnderTest{r, scripted, (<-scripted.searches)[0]})
		fmt.Fprintf(&out, "== %s\n", x.name)
		quotedLines(&out, ">", text)
		quotedLines(&out, "<", c.response())
		c.Close()
	}
	c := dialRaw(t, r.addr).send(request("same", "all", "", fourParts))
	id := (<-scripted.searches)[0]
	recordExchange(t, &out, r.addr, "request id that is in use", request("same", "all", "", fourParts))
	fmt.Fprintf(&out, "== sent ahead of the answer\n")
	quotedLines(&out, "<", c.send("POST /all HTTP/1.1\r\n").response())
	r.runInLoop(func(loop *eventLoop) { require.Nil(t, loop.searches.byID[id]) })
	golden.Require(t, "client_responses.golden", out.String())
	r.shutDown()
}

// Searches that a contract refuses get exactly the response bytes of the golden file, without normalisation.
func TestGoldenContractErrors(t *testing.T) {
	z := startZonedWith(t, eastOnly, map[string]string{"a0": "east", "a1": "east", "b0": "west", "b1": "west"}, false)
	var out strings.Builder
	recordExchange(t, &out, z.addr, "no holder", request("q1", "all", "", fourParts))
	z.guard.SetPolicy(z.guard.Policy().WithLeaseExpiry(z.clock() - 1))
	recordExchange(t, &out, z.addr, "lease ended", request("q2", "all", "Connection: close\r\n", fourParts))
	for _, why := range []string{residency.ReasonNoEligibleHost, residency.ReasonLeaseExpired, residency.ReasonContractEnded} {
		status, body := residencyRefusalBody(&residency.SearchRejectedError{Tenant: "a \"b\" <é>", Class: "all", Block: -1, Reason: why, Generation: 7})
		fmt.Fprintf(&out, "== body\n< %d %q\n", status, body)
	}
	golden.Require(t, "contract_errors.golden", out.String())
	z.shutDown()
}

var metricValues = regexp.MustCompile(`(?m) [-+.0-9e]+$`)

// The response to /metrics has the names, labels and help texts of the golden file. Values and Content-Length are replaced
// by #.
func TestGoldenMetricsResponse(t *testing.T) {
	shadowed := startWithShadow(t, map[string]string{"Permissions.SecondCopies": "false"})
	z := startZoned(t, eastOnly)
	z.guard.SetPolicy(z.policy(eastOnly, math.MaxInt64))
	var out strings.Builder
	for _, r := range []*rig{shadowed, z.rig} {
		c := dialRaw(t, r.addr)
		text := c.send("GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n").response()
		c.Close()
		head, body, _ := strings.Cut(text, "\r\n\r\n")
		head = regexp.MustCompile(`(Content-Length: )\d+`).ReplaceAllString(head, "${1}#")
		quotedLines(&out, "<", head)
		lines := strings.Split(strings.TrimSuffix(metricValues.ReplaceAllString(body, " #"), "\n"), "\n")
		if r == z.rig {
			slices.Sort(lines)
		}
		fmt.Fprintln(&out, strings.Join(lines, "\n"))
	}
	golden.Require(t, "metrics_response.golden", out.String())
	shadowed.shutDown()
	z.shutDown()
}
