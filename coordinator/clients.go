package coordinator

import (
	"container/list"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/url"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"chalkring/internal/http1"
)

// front is the clients' side: it turns HTTP requests into searches for the owner and results into responses.
type front struct {
	o                *owner
	gate             *gate
	classes, tenants map[string]int
	stopping         context.Context // done once no new connections are taken, takeOn after the co-ordinator was told to end
}

// accept takes clients' connections in until the listener is closed.
func (f *front) accept() error {
	o := f.o
	for taken := false; ; { // some connection, since the listener was last given its time
		conn, err := o.Listener.Accept()
		if errors.Is(err, os.ErrDeadlineExceeded) { // see takeLast
			// Guards against a wait for room that lasts over that time: the others that have come would be reset.
			if taken {
				taken = false
				o.takeLast()
				continue
			}
			o.Listener.Close()
			err = net.ErrClosed
		}
		if errors.Is(err, net.ErrClosed) {
			o.post(func() { o.ending = true })
			return nil
		}
		if err != nil {
			o.log.often("accept", "accept_failed", "error", err)
			select {
			case <-o.Clock.After(acceptPause):
			case <-o.ctx.Done():
			}
			continue
		}
		taken = true
		c := &client{
			front: f, link: newLink(o.ctx, clientRoom), conn: conn,
			answered: make(chan struct{}, 1),
		}
		c.log = o.log
		if !f.gate.enter(c, o.ctx.Done()) {
			conn.Close()
			return nil
		}
		c.first = time.Now().Add(headTime) // it may have waited for room longer than that
		o.post(func() { o.clients[c.link] = true })
		o.g.Go(func() error {
			end := c.serve(conn, clientStall, c.read, c.wrote)
			f.gate.leave(c)
			o.post(func() {
				delete(o.clients, c.link)
				o.unsent.Add(-c.unsent.Swap(0))
				if c.search != nil { // whichever way it ended: a search still on it has lost its client
					o.withdraw(c.search)
				}
			})
			switch end {
			case slow, garbled, crowded, stuck, displaced, faulty:
				o.log.often("client "+end.Error(), "client_connection_ended", "client", conn.RemoteAddr().String(), "end", end)
			}
			return nil
		})
	}
}

// client is one client's connection. Its fields are the reading goroutine's, but for over.
type client struct {
	*front
	*link
	place    *list.Element // in the gate's list, while no request is at work; the gate's
	coming   bool          // a request is, and is not there yet; the gate's
	conn     net.Conn
	rd       *http1.Reader
	now      func(p []byte) (int, error) // reads without waiting; nil where that is not known
	first    time.Time                   // limit of the first request; zero once that is there
	until    time.Time                   // of the request that is being read
	search   *search                     // the last one
	waiting  bool                        // for an answer
	looked   time.Time                   // until when a last request is awaited, since the one before it; zero while it need not be
	late     bool                        // its time was over and it was looked once more, since the request before
	answered chan struct{}
	over     atomic.Bool  // the last answer is out
	more     atomic.Bool  // bytes have come behind the request that is open, as the co-ordinator stops
	asked    atomic.Bool  // to make room for another; the gate's
	unsent   atomic.Int64 // bytes of answers that it has not taken
}

func (c *client) awaits() bool {
	select {
	case <-c.answered:
		c.waiting = false
	default:
	}
	return c.waiting
}

// Read reads on over the deadlines that others set to wake it.
func (c *client) Read(p []byte) (int, error) {
	for {
		if c.more.Load() && !c.awaits() {
			return 0, errInTurn
		}
		n, err := c.conn.Read(p)
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
		switch now := time.Now(); {
		case c.over.Load() && !now.Before(c.until):
			return 0, closing
		case c.asked.Load() && !c.more.Load(): // what has been read ahead is looked at first
			// Guards against a newcomer that makes room for the next before its request, which is there, has been read.
			if c.now != nil {
				if n, _ := c.now(p); n > 0 {
					return n, nil
				}
			}
			return 0, displaced
		case !c.until.IsZero() && now.Before(c.until):
			c.limit(c.until)
		case c.until.IsZero() && c.awaits():
			c.unlimited()
		case c.until.IsZero() && c.looksOn(now):
			c.limit(c.looked)
		case !c.late:
			// guards against a process that was held up: what came meanwhile lies there, and no time was left to read it
			c.late = true
			c.limit(now.Add(lateLook))
		case !c.until.IsZero():
			return 0, slow
		case c.stopping.Err() != nil:
			return 0, closing
		default:
			return 0, unused
		}
	}
}

// looksOn tells whether a request that comes soon is still taken, as the co-ordinator stops; more than one may wake it meanwhile.
func (c *client) looksOn(now time.Time) bool {
	if c.stopping.Err() == nil {
		return false
	}
	if c.looked.IsZero() {
		c.looked = now.Add(stopQuiet)
	}
	return now.Before(c.looked)
}

// read takes requests one after another. While a search is on, it waits for the next request, and so sees
// the client leave.
func (c *client) read(ctx context.Context) error {
	unhook := context.AfterFunc(c.stopping, c.kick)
	defer unhook()
	buf := lend()
	defer giveBack(buf)
	c.rd, c.now = http1.NewReader(c, (*buf)[:bufferSize]), atOnce(c.conn)
	for {
		c.until = time.Time{}
		switch {
		case !c.first.IsZero():
			c.rest(c.first)
		case c.awaits():
			c.unlimited()
		default:
			c.rest(time.Now().Add(quietTime))
		}
		if err := c.rd.AwaitMessage(); err != nil {
			return endingOf(err)
		}
		if c.awaits() {
			next := c.ahead
			if c.o.told() {
				next = c.inTurn
			}
			if err := next(ctx); err != nil && !c.over.Load() {
				return endingOf(err)
			}
		}
		// After what is awaited, since an answer sets it first. Guards against a request that is sent on though it was read
		// after the shutdown: a last answer may go out between two looks.
		if c.over.Load() {
			c.linger((*buf)[:bufferSize])
			return closing
		}
		c.gate.comes(c)
		if c.until = c.first; c.first.IsZero() {
			c.until = time.Now().Add(headTime)
		} else if c.late {
			c.until = time.Now().Add(lateLook)
		}
		c.limit(c.until)
		method, target, head, body, keep, err := c.rd.ReadRequest()
		came := c.o.Clock.Now()
		c.first, c.looked, c.late = time.Time{}, time.Time{}, false
		if err == nil {
			c.gate.begin(c)
			c.waiting = true
			err = c.request(method, target, head, body, keep, came)
		}
		var no refusal
		var bad http1.InvalidMessageError
		switch {
		case errors.As(err, &no): // the next request can be told from this one
			c.o.log.often("refused", "refused", "client", c.conn.RemoteAddr().String(), "status", no.status, "error", no.text)
			c.respond(no.status, "", []byte("{}"), keep)
		case errors.As(err, &bad):
			c.o.log.often("bad_request", "bad_request", "client", c.conn.RemoteAddr().String(),
				"status", bad.Status, "error", bad.Message)
			c.respond(bad.Status, "", []byte("{}"), false)
			c.linger((*buf)[:bufferSize])
			c.settled(ctx)
			return garbled
		case err != nil:
			return endingOf(err)
		}
	}
}

// ahead looks at bytes that came before the answer to the request before them. If that answer is on its way,
// its client may have it already. Otherwise the client sends ahead, which the protocol rules out.
// Guards against hundreds of requests sent at once: the one that is open is withdrawn and gets an error.
func (c *client) ahead(ctx context.Context) error {
	s := c.search
	c.o.post(func() {
		if s != nil && !s.over {
			c.link.behind = append(c.link.behind, c.o.withdraw(s)...)
			c.o.log.often("sent_ahead", "sent_ahead", "client", c.conn.RemoteAddr().String())
			c.respond(400, "", []byte("{}"), false)
		}
	})
	return c.settled(ctx)
}

// inTurn waits for the answer to the request before, so that the next is taken after it. Guards, as the co-ordinator
// stops, against a connection that is closed under a request: its client may have sent it before it could know. It reads
// on meanwhile, as far as there is room, and so sees the client leave.
func (c *client) inTurn(ctx context.Context) error {
	c.more.Store(true)
	defer c.more.Store(false)
	for c.awaits() {
		switch err := c.rd.ReadAhead(); {
		case errors.Is(err, http1.ErrBufferFull):
			return c.settled(ctx)
		case err != nil && !errors.Is(err, errInTurn):
			return err
		}
	}
	if c.over.Load() {
		return closing
	}
	return nil
}

// errInTurn ends what is read ahead: the answer that was awaited is out.
var errInTurn = errors.New("the next request's turn")

// settled waits for the answer that is awaited.
func (c *client) settled(ctx context.Context) error {
	select {
	case <-c.answered:
		c.waiting = false
	case <-ctx.Done():
		return closing
	}
	if c.over.Load() {
		return closing
	}
	return nil
}

// linger reads on with a last answer, which then is not cut off by a reset, so that the client can read why; not for good.
func (c *client) linger(buf []byte) {
	c.until = time.Now().Add(lingerTime)
	c.limit(c.until)
	for left := lingerMost; left > 0; {
		n, err := c.Read(buf)
		if left -= n; err != nil {
			return
		}
	}
}

// limit lets reading wait up to a time. Guards against a newcomer whose kick came just before.
func (c *client) limit(at time.Time) {
	c.conn.SetReadDeadline(at)
	if c.asked.Load() {
		c.kick()
	}
}

// rest lets the connection be unused up to a time. Guards against a stop whose kick came just before.
func (c *client) rest(limit time.Time) {
	c.limit(limit)
	if c.stopping.Err() != nil {
		c.kick()
	}
}

// unlimited reads on for as long as an answer is awaited. Guards against one that went out just then: the limit that it
// set has been taken away.
func (c *client) unlimited() {
	c.conn.SetReadDeadline(time.Time{})
	switch {
	case c.awaits():
	case c.over.Load():
		c.conn.SetReadDeadline(time.Now().Add(lingerTime))
	default:
		c.rest(time.Now().Add(quietTime))
	}
}

func (c *client) kick() { c.conn.SetReadDeadline(time.Unix(1, 0)) }

// wrote is told of each answer that is out whole.
func (c *client) wrote(p *parcel) error {
	c.holds(-len(*p.b))
	if p.last {
		c.over.Store(true)
		half, ok := c.conn.(interface{ CloseWrite() error })
		if !ok || half.CloseWrite() != nil {
			return closing
		}
		c.conn.SetReadDeadline(time.Now().Add(lingerTime))
	}
	c.gate.rest(c, p.last)
	select {
	case c.answered <- struct{}{}:
	default:
	}
	switch { // after it counts as answered: the reader that is woken here looks for that
	case p.last:
	case c.more.Load():
		c.kick()
	default:
		c.rest(time.Now().Add(quietTime))
	}
	return nil
}

// ends tells what an answer says of its connection: keep, that it stays for further requests, and last, that it ends
// here. As the co-ordinator stops, the client is told to close, and what it sends all the same is answered.
func (c *client) ends(keeps bool) (keep, last bool) {
	if !keeps || c.stopping.Err() == nil {
		return keeps, !keeps
	}
	last = c.o.lastly.Load()
	return c.more.Load() && !last, last
}

func (c *client) respond(status int, extra string, body []byte, keep bool) {
	keep, last := c.ends(keep)
	b := lend()
	*b = http1.AppendResponse(*b, status, extra, body, keep)
	c.give(&parcel{b: b, last: last})
}

// give hands an answer to the writer; until it is taken, it is held.
func (c *client) give(p *parcel) {
	c.holds(len(*p.b))
	c.put(p)
}

func (c *client) holds(n int) {
	c.unsent.Add(int64(n))
	c.o.unsent.Add(int64(n))
}

// refusal is what a request gets that can be read and not be used.
type refusal struct {
	status int
	text   string
}

func (r refusal) Error() string { return r.text }

func refuse(format string, v ...any) error { return refusal{400, fmt.Sprintf(format, v...)} }

// request hands one request to the owner.
func (c *client) request(method, target string, head map[string]string, body []byte, keep bool,
	came time.Time,
) error {
	o := c.o
	path, key, err := place(target)
	if err != nil {
		return refuse("target %.40q", target)
	}
	first, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	_, known := c.classes[first]
	if path == "/healthz" && (method == "GET" || !known) { // a class may bear that name
		if method != "GET" {
			return refusal{405, "method of /healthz"}
		}
		o.post(func() {
			status := 200
			if !o.listed || o.told() {
				status = 503
			}
			c.respond(status, "", []byte("{}"), keep)
		})
		return nil
	}
	if path == "/metrics" && method == "GET" && (o.counts != nil || o.zones != nil) {
		body := o.metricsBody()
		o.post(func() { c.respond(200, "Content-Type: text/plain; version=0.0.4", body, keep) })
		return nil
	}
	qtype, ok := c.classes[head["x-class"]]
	switch {
	case method != "POST" && known:
		return refusal{405, "method of a search"}
	case method != "POST":
		return refusal{404, "no such path"}
	case !ok:
		return refuse("X-Class %.40q", head["x-class"])
	case first != head["x-class"]:
		return refuse("X-Class is not the path's")
	}
	s := &search{
		name: head["x-request-id"], key: key, qtype: qtype, came: came,
		retry: head["x-retry"] == "1",
	}
	if !plainName(s.name) {
		return refuse("X-Request-Id %.40q", s.name)
	}
	if s.tenant, ok = c.tenants[head["x-tenant"]]; !ok && len(c.tenants) > 0 {
		return refuse("X-Tenant %.40q", head["x-tenant"])
	}
	wait, err := strconv.ParseFloat(head["x-deadline"], 64)
	if err != nil || strings.Trim(head["x-deadline"], "0123456789.") != "" || wait <= 0 {
		return refuse("X-Deadline %.40q", head["x-deadline"])
	}
	s.patience = o.within(time.Duration(math.Min(wait, longWait.Seconds())*float64(time.Second)), came)
	if err := s.read(body, o.blocks); err != nil {
		return err
	}
	if err := c.left(); err != nil {
		return err
	}
	s.reply = func(r result) { c.answer(r, keep) }
	c.search, s.client = s, c
	o.post(func() { o.take(s) })
	return nil
}

// left looks once more, without waiting, whether the client has gone. Guards against a request that is sent on for nobody,
// in a process that comes late to read it.
func (c *client) left() error {
	if c.now == nil {
		return nil
	}
	err := c.rd.ReadAvailable(c.now)
	if errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET) {
		return endingOf(err)
	}
	return nil // there is nothing more, or it is not known
}

// rawOf is a connection's socket, nil where it has none or is closed here.
func rawOf(conn net.Conn) syscall.RawConn {
	there, ok := conn.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := there.SyscallConn()
	if err != nil {
		return nil
	}
	return raw
}

// gone tells whether the client has ended its side of the connection, as far as the system knows.
func (c *client) gone() (ended bool) {
	raw := rawOf(c.conn)
	if raw == nil {
		return false
	}
	closed := raw.Control(func(fd uintptr) {
		at := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(at, 0)
		ended = err == nil && n > 0 && at[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	})
	return ended || closed != nil
}

// atOnce gives a read of a connection that does not wait, made once for all its requests; nil where there is none.
func atOnce(conn net.Conn) func(p []byte) (int, error) {
	raw := rawOf(conn)
	if raw == nil {
		return nil
	}
	var into []byte
	var n int
	var err error
	read := func(fd uintptr) { n, err = syscall.Read(int(fd), into) }
	return func(p []byte) (int, error) {
		into = p
		if ended := raw.Control(read); ended != nil { // not Read, which fails once the connection's limit is over
			return 0, ended
		}
		if n == 0 && err == nil {
			return 0, io.EOF
		}
		return n, err
	}
}

// plainName tells whether text can stand in a frame's line.
func plainName(text string) bool {
	for i := 0; i < len(text); i++ {
		if text[i] <= ' ' || text[i] >= 127 {
			return false
		}
	}
	return text != "" && len(text) <= nameMost
}

// place takes a target apart: its path, and what the request is about.
func place(target string) (path, key string, err error) {
	path, query, _ := strings.Cut(target, "?")
	key, plain := strings.CutPrefix(query, "k=")
	if plainName(target) && target[0] == '/' && !strings.ContainsAny(target, "%+&;#") && (plain || query == "") {
		return path, key, nil
	}
	u, err := url.ParseRequestURI(target)
	if err != nil {
		return "", "", err
	}
	return u.Path, u.Query().Get("k"), nil
}

// answer writes a final answer; an owner's call.
func (c *client) answer(r result, keep bool) {
	c.link.behind = append(c.link.behind, r.behind...)
	switch r.kind {
	case taken:
		c.respond(409, "", []byte("{}"), keep)
	case barred:
		status, body := barredBody(r.barred)
		c.respond(status, "", body, keep)
	case errored:
		c.respond(500, "", []byte("{}"), keep)
	case shed:
		extra := ""
		if r.retryIn > 0 {
			extra = "Retry-After: " + strconv.FormatFloat(float64(r.retryIn)/10_000, 'f', 4, 64)
		}
		c.respond(503, extra, []byte("{}"), keep)
	default:
		size, plain := answerSize(r)
		b := lend()
		if size+headRoom > cap(*b) {
			giveBack(b)
			b = new([]byte)
			*b = make([]byte, 0, size+headRoom)
		}
		if !plain { // what is escaped has to be written before its length is known
			*b = appendAnswer(*b, r)
			c.respond(200, "", *b, keep)
			giveBack(b)
			return
		}
		keep, last := c.ends(keep)
		*b = appendAnswer(http1.AppendResponseHead(*b, 200, "", size, keep), r)
		c.give(&parcel{b: b, last: last})
	}
}
