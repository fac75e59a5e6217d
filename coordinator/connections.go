package coordinator

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"os"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"
)

// ending is how a connection came to its end. It is the error of all code on that connection.
type ending int

const (
	_          ending = iota
	notUp             // refused, or not up in time
	starved           // not opened: this side has no descriptor or port left
	peerLeft          // the other side closed it between messages
	broken            // reset, or cut inside a message
	stuck             // a write failed or did not end in time
	slow              // a message was begun and not finished in time
	garbled           // what came cannot be used
	complained        // the other side could not use what we sent
	crowded           // its backlog was full
	unused            // closed here: nothing was on it for long
	retired           // closed here: its replica is gone or moved, or it has gone silent
	displaced         // closed here: it was longest at rest, and another needed its descriptor
	closing           // closed here after a last answer, or as the co-ordinator stops
	faulty            // closed here: what was done with what came has a fault
)

var endingWords = [...]string{
	"", "not_up", "starved", "peer_left", "broken", "stuck", "slow", "garbled",
	"complained", "crowded", "unused", "retired", "displaced", "closing", "faulty",
}

func (e ending) Error() string { return endingWords[e] }

// outcome is the one place where ends of connections become the module's words. What the other side ended: a
// part whose frame was never on it whole could not connect, any other was reset; but on a connection that had
// proved to work the first was just never sent, since no connect had failed. What this side ended: a part
// was never sent, or was called off, and may have run; the replica is not down for that. Guards against a
// spoilt answer that stands for a crash. But whoever spoils an answer has failed one part, the first.
func (e ending) outcome(written, first, worked bool) string {
	switch e {
	case notUp, peerLeft, broken, stuck:
		if written {
			return "ResetByPeer"
		}
		if !worked {
			return "ConnectError"
		}
	case slow, garbled, complained, faulty:
		if written && first {
			return "Failed"
		}
	}
	if written {
		return "Canceled"
	}
	return "Ignored"
}

// certain tells whether a connection's end leaves no doubt that what was out on it is over for the other side too: that
// side has ended it, or had just been heard as this side did. Our own end of a connection that has fallen silent does not
// arrive.
func (e ending) certain() bool {
	switch e {
	case notUp, peerLeft, broken, garbled, complained, faulty:
		return true
	}
	return false
}

// endingOf names what reading met.
func endingOf(err error) ending {
	var e ending
	switch {
	case errors.As(err, &e):
		return e
	case err == io.EOF:
		return peerLeft
	case errors.Is(err, context.Canceled), errors.Is(err, errDone):
		return closing
	case errors.Is(err, os.ErrDeadlineExceeded):
		return slow
	case errors.Is(err, syscall.EMFILE), errors.Is(err, syscall.ENFILE), errors.Is(err, syscall.ENOBUFS),
		errors.Is(err, syscall.EADDRNOTAVAIL):
		return starved
	}
	return broken
}

// buffers and readers are all of one size; what outgrew it is left to the collector.
var (
	buffers = sync.Pool{New: func() any { b := make([]byte, 0, bufferSize); return &b }}
	readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, bufferSize) }}
)

func lend() *[]byte { return buffers.Get().(*[]byte) }

func giveBack(b *[]byte) {
	if cap(*b) == bufferSize {
		*b = (*b)[:0]
		buffers.Put(b)
	}
}

// parcel is one message on its way to a socket.
type parcel struct {
	b       *[]byte
	last    bool // the connection ends after it
	fenced  bool // it may not be begun once the link's fence is up
	limited bool // it may not be begun after a time that the link knows
	stage   atomic.Int32
}

const (
	queued int32 = iota
	begun
	written
	called // back before it was begun
)

// recall takes a parcel back; false where its first byte may be out.
func (p *parcel) recall() bool { return p.stage.CompareAndSwap(queued, called) }

// link is one connection: its socket, and what waits to be written to it.
type link struct {
	backlog chan *parcel
	end     context.CancelCauseFunc
	ctx     context.Context

	fence  func() bool     // the writer asks it of each parcel that is fenced; nil for none
	clock  func() int64    // and for the time where one is limited; nil for none
	limits sync.Map        // of those that are: until when each may be begun
	missed func(p *parcel) // is told of each for which it was, and that was taken back

	log *notes // of faults; nil for none

	behind []behind    // what has to be out before the next message; who puts that sets it
	ended  atomic.Bool // the writer has
}

// behind is a message that is begun on another connection.
type behind struct {
	l *link
	p *parcel
}

// out tells that it is out whole, or never will be.
func (b behind) out() bool { return b.p.stage.Load() != begun || b.l.ended.Load() }

// settle waits until all is out. Guards against a part that is sent on after its search's final answer: its write may
// have been begun and not done, in a process that is held up between the two. One that does not come out ends its
// connection. It mostly is out at once, so it is looked for and not told of.
func settle(all []behind) {
	for _, b := range all {
		for tries := 0; !b.out(); tries++ {
			switch {
			case tries < begunTries:
				runtime.Gosched()
			case tries == begunTries+int(begunMost/begunLook):
				b.l.end(retired)
			default:
				time.Sleep(begunLook)
			}
		}
	}
}

// late tells whether the time of a limited parcel to be begun is over; asked once of each.
func (l *link) late(p *parcel) bool {
	by, _ := l.limits.LoadAndDelete(p)
	return l.clock() > by.(int64)
}

func newLink(ctx context.Context, room int) *link {
	l := &link{backlog: make(chan *parcel, room)}
	l.ctx, l.end = context.WithCancelCause(ctx)
	return l
}

// put hands a message over without waiting; a full backlog ends the connection.
func (l *link) put(p *parcel) {
	select {
	case l.backlog <- p:
	default:
		l.end(crowded)
	}
}

// serve runs a connection to its end: read in one goroutine, the writer in another. Deadlines of sockets
// are told by the system's clock, whichever the owner has.
func (l *link) serve(conn net.Conn, stall time.Duration, read func(context.Context) error,
	wrote func(*parcel) error,
) ending {
	g, ctx := errgroup.WithContext(l.ctx)
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	defer conn.Close()
	g.Go(func() error { return l.log.contain(func() error { return read(ctx) }) })
	write := func() error {
		var together []*parcel
		defer l.ended.Store(true)
		for {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case p := <-l.backlog:
				if ctx.Err() != nil { // guards against a message that is begun after the reader has seen the end
					return ctx.Err()
				}
				conn.SetWriteDeadline(time.Now().Add(stall))
				if err := l.write(conn, p, &together, wrote); err != nil {
					return err
				}
			}
		}
	}
	g.Go(func() error { return l.log.contain(write) })
	err := g.Wait()
	if cause := context.Cause(l.ctx); cause != nil {
		err = cause // this side ended it: reads and writes failed for that
	}
	end := endingOf(err)
	l.end(end) // a context that is not ended stays with its parent for good
	return end
}

// write writes a message, and in one piece with it those that wait behind it and are small.
func (l *link) write(conn net.Conn, p *parcel, room *[]*parcel, wrote func(*parcel) error) error {
	all := (*room)[:0]
	defer func() {
		clear(all)
		*room = all[:0]
	}()
	for size := 0; p != nil; {
		switch { // guards against a process that was stopped and goes on where it was, and a socket that took nothing for a while
		case p.fenced && l.fence():
			p.recall()
		case p.limited && l.late(p) && p.recall():
			l.missed(p)
		}
		if p.stage.CompareAndSwap(queued, begun) { // next to the write: what was begun may be out
			size += len(*p.b)
			if all = append(all, p); p.last || size > togetherMost || len(all) == togetherRoom {
				break
			}
		} else {
			giveBack(p.b)
		}
		select {
		case p = <-l.backlog:
		default:
			p = nil
		}
	}
	if len(all) == 0 {
		return nil
	}
	out := all[0].b
	if len(all) > 1 {
		out = lend()
		defer giveBack(out)
		for _, p := range all {
			*out = append(*out, *p.b...)
		}
	}
	if len(l.behind) > 0 {
		settle(l.behind)
		clear(l.behind)
		l.behind = l.behind[:0]
	}
	n, err := conn.Write(*out)
	for _, p := range all {
		if n -= len(*p.b); n < 0 { // it is not out whole, nor is what is behind it
			return stuck
		}
		p.stage.Store(written)
		err := wrote(p)
		giveBack(p.b)
		if err != nil {
			return err
		}
	}
	if err != nil {
		return stuck
	}
	return nil
}
