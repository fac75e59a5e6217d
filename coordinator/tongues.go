package coordinator

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"
	"unicode/utf8"

	"chalkring/internal/frame"
	"chalkring/opensearch/query"
)

const (
	hostBodyMost = 1 << 20         // bytes of an OpenSearch host's answer: hits of a deep page
	hostBodyTime = 2 * time.Second // from an answer's first byte to its last: a megabyte on a slow way
)

// tongue is what a kind of host speaks. It is the one place that differs from kind to kind: which replica gets a part,
// when it is given up and what its end means are the same for all.
type tongue interface {
	perCall(o *owner) int // parts that travel together
	streams(o *owner) int // calls on one connection at once
	waits() bool          // a call beyond that may wait on a connection
	call(o *owner, dst []byte, c *call) []byte
	cancel(l *line, sub *subRequest) // what is written already
	hear(o *owner, l *line, conn net.Conn) error
}

// HostKind is a kind of host, by the list's kind, that speaks the OpenSearch-style API; its members are in Index, in
// blocks by the API's rule where Placed says so.
type HostKind struct {
	Index     string
	Placement *query.Placement
}

func (o *owner) tongueOf(kind string) tongue {
	if k, ok := o.HostKinds[kind]; ok {
		return openSearch{k}
	}
	return frames{}
}

// frames is the platform's protocol.
type frames struct{}

func (frames) perCall(o *owner) int { return o.perCall }
func (frames) streams(o *owner) int { return o.streams }
func (frames) waits() bool          { return true }

func (frames) call(o *owner, dst []byte, c *call) []byte {
	dst = frame.Begin(dst, frame.TypeBatch)
	var room [listMost]byte
	for _, sub := range c.subs {
		list := strconv.AppendInt(append(room[:0], "d="...), max(1, (sub.due-o.now)/10), 10)
		if s := sub.p.s; sub.p.step == 2 {
			for i, shard := range s.from {
				word := "+"
				if i == 0 {
					word = ",from="
				}
				list = strconv.AppendInt(append(list, word...), int64(shard), 10)
			}
			if s.whole {
				list = append(list, ",whole=1"...)
			} else {
				list = append(list, ",whole=0"...)
			}
		}
		dst = frame.AppendShardRequest(dst, sub.name, sub.p.shard, list, sub.p.s.text)
	}
	return frame.End(dst, 0)
}

func (frames) cancel(l *line, sub *subRequest) {
	b := lend()
	*b = frame.AppendCancel(*b, sub.name)
	l.put(&parcel{b: b})
}

var zero = []byte("0") // the score of hosts that tell none

var outcomes = map[string]string{"good": "Ok", "bad": "Failed", "later": "QueueFull"}

// hear reads a replica's frames to the end of the connection. Once one has begun, its rest has to follow: guards
// against a length that says more than comes. What has come together is told together.
func (frames) hear(o *owner, l *line, conn net.Conn) error {
	src := readers.Get().(*bufio.Reader)
	src.Reset(conn)
	defer readers.Put(src)
	for limited := false; ; {
		if limited {
			conn.SetReadDeadline(time.Time{})
		}
		if _, err := src.Peek(1); err != nil {
			return endingOf(err)
		}
		if limited = !frame.IsBuffered(src); limited {
			conn.SetReadDeadline(time.Now().Add(frameTime))
		}
		tell, err := hearOne(o, l, src)
		if err == nil && frame.IsBuffered(src) {
			all := []func(){tell}
			for err == nil && frame.IsBuffered(src) {
				if tell, err = hearOne(o, l, src); tell != nil {
					all = append(all, tell)
				}
			}
			tell = func() {
				for _, do := range all {
					do()
				}
			}
		}
		if tell != nil && !o.post(tell) {
			return closing
		}
		if err != nil {
			return err
		}
	}
}

// hearOne reads one frame and gives what the owner is to do with it; nil for one that cannot be used.
func hearOne(o *owner, l *line, src *bufio.Reader) (tell func(), err error) {
	letter, rest, err := frame.Read(src)
	if err != nil && !errors.Is(err, frame.ErrMalformed) {
		return nil, endingOf(err)
	}
	if letter == frame.TypeReject && err == nil {
		o.log.often("frame_refused", "frame_refused", "replica", l.r.id, "words", string(rest[:min(len(rest), wordsMost)]))
		return nil, complained
	}
	if letter != frame.TypeAnswer && err == nil {
		err = fmt.Errorf("%w: letter %q", frame.ErrMalformed, letter)
	}
	var id, end, score, value []byte
	var report map[string]float64
	if err == nil {
		own := bytes.Clone(rest) // what it lies in is read over; the reader of a connection holds no more than that
		id, end, score, report, value, err = frame.ParseAnswer(own)
	}
	outcome := outcomes[string(end)]
	if err == nil && (outcome == "" || outcome == "Ok" && (score == nil || !utf8.Valid(value))) {
		err = fmt.Errorf("%w: end %.20q, score %s, value %.40q", frame.ErrMalformed, end, score, value)
	}
	if err != nil {
		o.log.often("bad_frame", "bad_frame", "replica", l.r.id, "error", err)
		return nil, garbled
	}
	var read any
	if outcome == "Ok" {
		if read, err = o.looked(id, value); err != nil {
			outcome = "Failed"
			o.log.often("bad_value", "bad_value", "replica", l.r.id, "error", err)
		}
	}
	fits := frame.IsPlausibleReply(src)
	return func() {
		l.shut = l.shut || !fits // a good answer counts whatever comes behind it
		o.answer(l, id, outcome, score, report, value, read)
	}, nil
}

// openSearch is the OpenSearch-style API: one part a request, one request a connection at a time. A part that is given
// up ends its connection, which cancels it at the host; what the host still answers is not read.
type openSearch struct{ HostKind }

func (openSearch) perCall(*owner) int { return 1 }
func (openSearch) streams(*owner) int { return 1 }
func (openSearch) waits() bool        { return false }

func (k openSearch) call(o *owner, dst []byte, c *call) []byte {
	sub := c.subs[0]
	left := max(1, (sub.due-o.now)/10)
	dst = fmt.Appendf(dst, "POST /%s/_search?preference=_shards:%d&cancel_after_time_interval=%dms&allow_partial_search_results=false"+
		" HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\nX-Opaque-Id: %s\r\nContent-Length: %d\r\n\r\n",
		url.PathEscape(k.Index), sub.p.shard, left, c.line.r.addr, sub.name, len(sub.p.s.text))
	return append(dst, sub.p.s.text...)
}

func (openSearch) cancel(l *line, _ *subRequest) { l.cut(retired) }

// outcome is the one table from what an OpenSearch host answers to the module's outcomes. 429 and 503 have not run; whatever else is no good answer may have.
func (k openSearch) outcome(status int, body []byte, shard int) (outcome string, err error) {
	switch {
	case status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable:
		return "QueueFull", nil
	case status != http.StatusOK:
		return "Failed", fmt.Errorf("status %d", status)
	}
	if err := query.CheckResponse(k.Index, k.Placement, shard, body); err != nil {
		return "Failed", err
	}
	return "Ok", nil
}

// hear reads a host's answers, each to the one part that is out on its connection. What comes where none is out, or
// cannot be read, is spoilt, and the connection ends.
func (k openSearch) hear(o *owner, l *line, conn net.Conn) error {
	src := readers.Get().(*bufio.Reader)
	src.Reset(conn)
	defer readers.Put(src)
	for {
		conn.SetReadDeadline(time.Time{})
		if _, err := src.Peek(1); err != nil {
			return endingOf(err)
		}
		conn.SetReadDeadline(time.Now().Add(hostBodyTime))
		res, err := http.ReadResponse(src, nil)
		if err != nil {
			return k.spoilt(o, l, err)
		}
		var b bytes.Buffer
		n, err := io.Copy(&b, io.LimitReader(res.Body, hostBodyMost+1))
		res.Body.Close()
		if err != nil || n > hostBodyMost {
			return k.spoilt(o, l, fmt.Errorf("%d bytes: %w", n, errors.Join(err, frame.ErrMalformed)))
		}
		asked := make(chan *subRequest, 1)
		if !o.post(func() {
			if len(l.subs) == 1 {
				asked <- l.subs[0]
			}
			close(asked)
		}) {
			return closing
		}
		sub, open := <-asked
		if !open {
			return k.spoilt(o, l, errors.New("an answer to nothing"))
		}
		id, shard := []byte(sub.name), sub.p.shard // neither changes
		body := b.Bytes()
		outcome, why := k.outcome(res.StatusCode, body, shard)
		if outcome == "Ok" && !utf8.Valid(body) {
			outcome, why = "Failed", errors.New("no text")
		}
		var read any
		if outcome == "Ok" {
			if read, why = o.looked(id, body); why != nil {
				outcome = "Failed"
			}
		}
		if why != nil {
			o.log.often("bad_value", "bad_value", "replica", l.r.id, "error", why)
		}
		last := res.Close
		var report map[string]float64
		if wait, err := strconv.ParseFloat(res.Header.Get("Retry-After"), 64); err == nil && wait > 0 && outcome == "QueueFull" {
			report = map[string]float64{"RetryAfter": 1000 * min(wait, longWait.Seconds())}
		}
		if !o.post(func() {
			l.shut = l.shut || last
			o.answer(l, id, outcome, zero, report, body, read)
			if last {
				o.mayClose(l)
			}
		}) {
			return closing
		}
	}
}

func (openSearch) spoilt(o *owner, l *line, err error) error {
	var late net.Error
	if errors.As(err, &late) && late.Timeout() {
		return slow
	}
	if errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, net.ErrClosed) {
		return endingOf(err)
	}
	o.log.often("bad_frame", "bad_frame", "replica", l.r.id, "error", err)
	return garbled
}
