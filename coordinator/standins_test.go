package coordinator

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chalkring/internal/frame"
	"chalkring/internal/http1"
)

// patience is how long a test waits for what has to come; no verdict rests on anything coming sooner.
const patience = 20 * time.Second

// Class some is whole with half of its parts; all needs every part; deep needs all and has a second step
// at two shards. Cell 0 holds the even shards, cell 1 the odd ones.
const testSettings = `{"Family":"fanout","Discovery":"subscribe","Balancers":1,"Tick":5.0,
"FailureDomains":["z one"],"MachineTypes":["small"],"Clients":{"MarksRetry":true},
"Classes":[{"Name":"some","Aim":4000.0,"Deadline":8000.0,"Effect":"retryable","LateShare":0.5},
{"Name":"all","Aim":4000.0,"Deadline":8000.0,"Effect":"retryable","LateShare":0.5},
{"Name":"deep","Aim":4000.0,"Deadline":8000.0,"Effect":"retryable","LateShare":0.5}],
"Tenants":[{"Name":"acme","QuotaPerS":1000.0},{"Name":"other","QuotaPerS":1000.0}],
"Specifics":{"Sets":2,"Reach":1,"Ranges":4,"PerCall":2,"NeedByClass":[0.5,1.0,1.0],
"ClassFloor":[0.5,1.0,1.0],"FollowUp":[0,0,2]},
"Permissions":{"MaxAttempts":3,"ConnIdle":60000.0,"DialTimeout":2000.0,"StreamsPerConn":8,
"SecondCopies":true,"Cancelling":true,"RetryAfter":true,"MaxRetryAfter":500.0},
"Safety":{"Cold":1000.0,"ColdFrom":0.3,"FallMultiple":3.0,"Fall":2000.0,"DrainGrace":250.0,"AskWithin":500.0}}`

// asked is one part as a replica got it.
type asked struct {
	id    string
	shard int
	list  string
	text  string
	conn  net.Conn
}

func (a asked) reply(end string, score string, value string) {
	a.conn.Write(frame.End(append(frame.Begin(nil, frame.Answer),
		fmt.Sprintf("%s %s %s -\n%s", a.id, end, score, value)...), 0))
}

// good answers with a value that tells what was asked.
func (a asked) good() {
	value := fmt.Sprintf("%s@%d", a.text, a.shard)
	if strings.HasSuffix(a.id, ".r") {
		value += "!"
	}
	a.reply("good", fmt.Sprint(100+a.shard%3), value)
}

// writes collects what is written to a connection.
type writes struct {
	net.Conn
	to *strings.Builder
}

func (w writes) Write(p []byte) (int, error) { return w.to.Write(p) }

// writesMore writes more behind each message, in one piece with it.
type writesMore struct {
	net.Conn
	more []byte
}

func (w writesMore) Write(p []byte) (int, error) {
	return w.Conn.Write(append(append([]byte(nil), p...), w.more...))
}

// standReplica is a replica: do is called for each part, in a goroutine a connection.
type standReplica struct {
	id   string
	cell int
	ln   net.Listener

	mu     sync.Mutex
	do     func(a asked)
	parts  []asked
	frames []int // parts in each call
	given  []string
	conns  int
	open   int
}

func (s *standReplica) set(do func(a asked)) {
	s.mu.Lock()
	s.do = do
	s.mu.Unlock()
}

// seen gives the parts it got, the ids that were given up, and its connections made and open.
func (s *standReplica) seen() (parts []asked, given []string, conns, open int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]asked(nil), s.parts...), append([]string(nil), s.given...), s.conns, s.open
}

// calls gives the parts of each call.
func (s *standReplica) calls() []int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]int(nil), s.frames...)
}

func (s *standReplica) serve() {
	for {
		conn, err := s.ln.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns++
		s.open++
		s.mu.Unlock()
		go s.talk(conn)
	}
}

func (s *standReplica) talk(conn net.Conn) {
	defer func() {
		conn.Close()
		s.mu.Lock()
		s.open--
		s.mu.Unlock()
	}()
	src := bufio.NewReader(conn)
	for {
		letter, rest, err := frame.Read(src)
		if err != nil {
			return
		}
		if letter == frame.Cancel {
			s.mu.Lock()
			s.given = append(s.given, string(rest))
			s.mu.Unlock()
			continue
		}
		s.mu.Lock()
		s.frames = append(s.frames, 0)
		s.mu.Unlock()
		for len(rest) > 0 {
			line, more, _ := bytes.Cut(rest, []byte("\n"))
			a, length := asked{conn: conn}, 0
			fmt.Sscanf(string(line), "%s %d %s %d", &a.id, &a.shard, &a.list, &length)
			a.text, rest = string(more[:length]), more[length:]
			s.mu.Lock()
			do := s.do
			s.parts = append(s.parts, a)
			s.frames[len(s.frames)-1]++
			s.mu.Unlock()
			do(a)
		}
	}
}

// standList is discovery: each call is answered by the next text of answers.
type standList struct {
	ln      net.Listener
	answers chan string
	calls   chan string // targets
}

func newList(t *testing.T) *standList {
	d := &standList{ln: listen(t), answers: make(chan string, 16), calls: make(chan string, 64)}
	go d.serve()
	return d
}

func (d *standList) serve() {
	for {
		conn, err := d.ln.Accept()
		if err != nil {
			return
		}
		go func() {
			defer conn.Close()
			rd := http1.NewReader(conn, make([]byte, bufferSize))
			for {
				_, target, _, _, _, err := rd.Request()
				if err != nil {
					return
				}
				d.calls <- target
				text, ok := <-d.answers
				if !ok || text == "" {
					return
				}
				if !strings.HasPrefix(text, "HTTP/") {
					text = string(http1.AppendResponse(nil, 200, "", []byte(text), true))
				}
				conn.Write([]byte(text))
			}
		}()
	}
}

// rig is one co-ordinator with stand-ins around it.
type rig struct {
	t        *testing.T
	replicas map[string]*standReplica
	list     *standList
	plans    chan *Plan
	plan     *Plan
	addr     string
	stop     context.CancelFunc
	ended    chan error
	log      *journal
	owner    *owner
}

type journal struct {
	mu   sync.Mutex
	text strings.Builder
}

func (j *journal) Write(p []byte) (int, error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.text.Write(p)
}

func (j *journal) String() string {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.text.String()
}

func (r *rig) eventually(why string, ok func() bool) {
	require.Eventually(r.t, ok, patience, time.Millisecond, "%s\n%s", why, r.log)
}

// parts counts those that all replicas got.
func (r *rig) parts() (n int) {
	for _, s := range r.replicas {
		parts, _, _, _ := s.seen()
		n += len(parts)
	}
	return n
}

func (r *rig) logged(text string) {
	r.eventually("log line "+text, func() bool { return strings.Contains(r.log.String(), text) })
}

func listen(t *testing.T) net.Listener {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { ln.Close() })
	return ln
}

// entry is a replica's line in discovery's form.
func (r *rig) entry(id, state string) string {
	s := r.replicas[id]
	return fmt.Sprintf(`{"id":%q,"addr":%q,"zone":"z one","kind":"small","cell":%d,"state":%q,"weight":1.0,"started_ms":0}`,
		id, s.ln.Addr(), s.cell, state)
}

// start sets up replicas a0 and a1 of cell 0, b0 and b1 of cell 1, and serves. edit changes the settings.
func start(t *testing.T, sockets int, edit func(settings map[string]any)) *rig {
	r := &rig{t: t, replicas: map[string]*standReplica{}, log: &journal{}, ended: make(chan error, 1),
		list: newList(t), plans: make(chan *Plan)}
	var known []string
	for _, id := range []string{"a0", "a1", "b0", "b1"} {
		s := &standReplica{id: id, cell: int(id[0] - 'a'), ln: listen(t), do: asked.good}
		r.replicas[id] = s
		known = append(known, r.entry(id, "up"))
		go s.serve()
	}
	settings := map[string]any{}
	require.NoError(t, json.Unmarshal([]byte(testSettings), &settings))
	if edit != nil {
		edit(settings)
	}
	text, _ := json.Marshal(settings)
	ln := listen(t)
	p, err := Parse(fmt.Appendf(nil, `{"name":"n","listen":%q,"discovery":%q,"seed":"8c1f30d27a5be964",
		"limits":{"cores":1.0,"memory_mb":192,"sockets":%d},"known":{"version":7,"full":true,"servers":[%s]},
		"settings":%s}`, ln.Addr(), r.list.ln.Addr(), sockets, strings.Join(known, ","), text))
	require.NoError(t, err)
	ctx, stop := context.WithCancel(context.Background())
	r.addr, r.stop, r.plan = ln.Addr().String(), stop, p
	look := make(chan *owner, 1)
	go func() {
		r.ended <- p.Serve(ctx, Means{Listener: ln, Dial: (&net.Dialer{}).DialContext, Clock: SystemClock{},
			Log: NewLog(r.log, false, slog.LevelInfo), Plans: r.plans, look: look})
	}()
	r.owner = <-look
	t.Cleanup(stop)
	return r
}

// end stops the co-ordinator and waits for it.
func (r *rig) end() {
	r.stop()
	select {
	case err := <-r.ended:
		require.NoError(r.t, err)
	case <-time.After(patience):
		require.Fail(r.t, "does not end", r.log.String())
	}
}

// caller is a client's connection.
type caller struct {
	net.Conn
	r  *rig
	rd *http1.Reader
}

func (r *rig) call() *caller {
	conn, err := net.Dial("tcp", r.addr)
	require.NoError(r.t, err)
	r.t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(patience))
	return &caller{conn, r, http1.NewReader(conn, make([]byte, bufferSize))}
}

// request is a search's text; head is added to its headers.
func request(id, class, head, body string) string {
	return fmt.Sprintf("POST /%s?k=7f HTTP/1.1\r\nHost: x\r\nX-Request-Id: %s\r\nX-Class: %s\r\nX-Tenant: acme\r\n"+
		"X-Deadline: 8.000\r\n%sContent-Length: %d\r\n\r\n%s", class, id, class, head, len(body), body)
}

const fourParts = `{"ranges":[{"range":0,"portion":0.25},{"range":1,"portion":0.25},{"range":2,"portion":0.25,` +
	`"price":9000,"hash":"5be2a07c19f04d63"},{"range":3,"portion":0.25}],"predicate":"what"}`

func (c *caller) send(text string) *caller {
	_, err := c.Write([]byte(text))
	require.NoError(c.r.t, err)
	return c
}

func (c *caller) answer() (status int, head map[string]string, body string, keep bool) {
	status, head, text, keep, err := c.rd.Response()
	require.NoError(c.r.t, err, "%s", c.r.log)
	return status, head, string(text), keep
}

// want sends a search of four parts and looks at the answer.
func (c *caller) want(id, class string, status int, body string) {
	c.send(request(id, class, "", fourParts))
	got, _, text, _ := c.answer()
	require.Equal(c.r.t, status, got, "%s\n%s", text, c.r.log)
	if body != "" {
		require.JSONEq(c.r.t, body, text)
	}
}

const wholeOfAll = `{"total":true,"answers":[{"range":0,"blob":"what@0"},{"range":1,"blob":"what@1"},
	{"range":2,"blob":"what@2"},{"range":3,"blob":"what@3"}]}`
