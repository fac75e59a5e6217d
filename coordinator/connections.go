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

// connectionEnd is how a connection came to its end. It is the error of all code on that connection.
type connectionEnd int

const (
	_                 connectionEnd = iota
	endNotConnected                 // refused, or not up in time
	endNoDescriptors                // not opened: this side has no descriptor or port left
	endPeerClosed                   // the other side closed it between messages
	endReset                        // reset, or cut inside a message
	endWriteFailed                  // a write failed or did not end in time
	endReadTimeout                  // a message was begun and not finished in time
	endMalformed                    // what came cannot be used
	endRejectedByPeer               // the other side could not use what we sent
	endQueueFull                    // its backlog was full
	endIdle                         // closed here: nothing was on it for long
	endRetired                      // closed here: its replica is gone or moved, or it has gone silent
	endDisplaced                    // closed here: it was longest at rest, and another needed its descriptor
	endClosing                      // closed here after a last answer, or as the co-ordinator stops
	endFault                        // closed here: what was done with what came has a fault
)

var connectionEndNames = [...]string{
	"", "not_up", "starved", "peer_left", "broken", "stuck", "slow", "garbled",
	"complained", "crowded", "unused", "retired", "displaced", "closing", "faulty",
}

func (e connectionEnd) Error() string { return connectionEndNames[e] }

// attemptOutcome is the one place where ends of connections become the module's words. What the other side ended: a
// part whose frame was never on it whole could not connect, any other was reset; but on a connection that had
// proved to work the first was just never sent, since no connect had failed. What this side ended: a part
// was never sent, or was called off, and may have run; the replica is not down for that. Guards against a
// spoilt answer that stands for a crash. But whoever spoils an answer has failed one part, the first.
func (e connectionEnd) attemptOutcome(written, first, worked bool) string {
	switch e {
	case endNotConnected, endPeerClosed, endReset, endWriteFailed:
		if written {
			return "ResetByPeer"
		}
		if !worked {
			return "ConnectError"
		}
	case endReadTimeout, endMalformed, endRejectedByPeer, endFault:
		if written && first {
			return "Failed"
		}
	}
	if written {
		return "Canceled"
	}
	return "Ignored"
}

// isCertain tells whether a connection's end leaves no doubt that what was out on it is over for the other side too: that
// side has ended it, or had just been heard as this side did. Our own end of a connection that has fallen silent does not
// arrive.
func (e connectionEnd) isCertain() bool {
	switch e {
	case endNotConnected, endPeerClosed, endReset, endMalformed, endRejectedByPeer, endFault:
		return true
	}
	return false
}

// connectionEndOf names what reading met.
func connectionEndOf(err error) connectionEnd {
	var e connectionEnd
	switch {
	case errors.As(err, &e):
		return e
	case err == io.EOF:
		return endPeerClosed
	case errors.Is(err, context.Canceled), errors.Is(err, errAllAnswered):
		return endClosing
	case errors.Is(err, os.ErrDeadlineExceeded):
		return endReadTimeout
	case errors.Is(err, syscall.EMFILE), errors.Is(err, syscall.ENFILE), errors.Is(err, syscall.ENOBUFS),
		errors.Is(err, syscall.EADDRNOTAVAIL):
		return endNoDescriptors
	}
	return endReset
}

// buffers and readers are all of one size; what outgrew it is left to the collector.
var (
	buffers         = sync.Pool{New: func() any { b := make([]byte, 0, bufferSize); return &b }}
	bufferedReaders = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, bufferSize) }}
)

func borrowBuffer() *[]byte { return buffers.Get().(*[]byte) }

func returnBuffer(buffer *[]byte) {
	if cap(*buffer) == bufferSize {
		*buffer = (*buffer)[:0]
		buffers.Put(buffer)
	}
}

// outboundMessage is one message on its way to a socket.
type outboundMessage struct {
	buffer           *[]byte
	closesConnection bool // the connection ends after it
	leaseFenced      bool // it may not be begun once the link's fence is up
	hasDeadline      bool // it may not be begun after a time that the link knows
	stage            atomic.Int32
}

const (
	stageQueued int32 = iota
	stageWriting
	stageWritten
	stageRecalled // back before it was begun
)

// recall takes a parcel back; false where its first byte may be out.
func (p *outboundMessage) recall() bool { return p.stage.CompareAndSwap(stageQueued, stageRecalled) }

// messageConn is one connection: its socket, and what waits to be written to it.
type messageConn struct {
	queue chan *outboundMessage
	end   context.CancelCauseFunc
	ctx   context.Context

	leaseExpired     func() bool              // the writer asks it of each parcel that is fenced; nil for none
	clockTicks       func() int64             // and for the time where one is limited; nil for none
	deadlines        sync.Map                 // of those that are: until when each may be begun
	onMissedDeadline func(p *outboundMessage) // is told of each for which it was, and that was taken back

	log *asyncLogger // of faults; nil for none

	pendingWrites []pendingWrite // what has to be out before the next message; who puts that sets it
	writerEnded   atomic.Bool    // the writer has
}

// pendingWrite is a message that is begun on another connection.
type pendingWrite struct {
	conn    *messageConn
	message *outboundMessage
}

// isWritten tells that it is isWritten whole, or never will be.
func (b pendingWrite) isWritten() bool {
	return b.message.stage.Load() != stageWriting || b.conn.writerEnded.Load()
}

// awaitWritten waits until all is out. Guards against a part that is sent on after its search's final answer: its write may
// have been begun and not done, in a process that is held up between the two. One that does not come out ends its
// connection. It mostly is out at once, so it is looked for and not told of.
func awaitWritten(all []pendingWrite) {
	for _, write := range all {
		for tries := 0; !write.isWritten(); tries++ {
			switch {
			case tries < writeWaitYields:
				runtime.Gosched()
			case tries == writeWaitYields+int(maxWriteWait/writeWaitPoll):
				write.conn.end(endRetired)
			default:
				time.Sleep(writeWaitPoll)
			}
		}
	}
}

// missedDeadline tells whether the time of a limited parcel to be begun is over; asked once of each.
func (l *messageConn) missedDeadline(message *outboundMessage) bool {
	by, _ := l.deadlines.LoadAndDelete(message)
	return l.clockTicks() > by.(int64)
}

func newMessageConn(ctx context.Context, room int) *messageConn {
	l := &messageConn{queue: make(chan *outboundMessage, room)}
	l.ctx, l.end = context.WithCancelCause(ctx)
	return l
}

// enqueue hands a message over without waiting; a full backlog ends the connection.
func (l *messageConn) enqueue(message *outboundMessage) {
	select {
	case l.queue <- message:
	default:
		l.end(endQueueFull)
	}
}

// serve runs a connection to its end: read in one goroutine, the writer in another. Deadlines of sockets
// are told by the system's clock, whichever the owner has.
func (l *messageConn) serve(conn net.Conn, stall time.Duration, read func(context.Context) error,
	wrote func(*outboundMessage) error,
) connectionEnd {
	g, ctx := errgroup.WithContext(l.ctx)
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	defer conn.Close()
	g.Go(func() error { return l.log.recoverPanic(func() error { return read(ctx) }) })
	write := func() error {
		var together []*outboundMessage
		defer l.writerEnded.Store(true)
		for {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case message := <-l.queue:
				if ctx.Err() != nil { // guards against a message that is begun after the reader has seen the end
					return ctx.Err()
				}
				conn.SetWriteDeadline(time.Now().Add(stall))
				if err := l.writeCoalesced(conn, message, &together, wrote); err != nil {
					return err
				}
			}
		}
	}
	g.Go(func() error { return l.log.recoverPanic(write) })
	err := g.Wait()
	if cause := context.Cause(l.ctx); cause != nil {
		err = cause // this side ended it: reads and writes failed for that
	}
	end := connectionEndOf(err)
	l.end(end) // a context that is not ended stays with its parent for good
	return end
}

// writeCoalesced writes a message, and in one piece with it those that wait behind it and are small.
func (l *messageConn) writeCoalesced(conn net.Conn, message *outboundMessage, room *[]*outboundMessage, wrote func(*outboundMessage) error) error {
	all := (*room)[:0]
	defer func() {
		clear(all)
		*room = all[:0]
	}()
	for size := 0; message != nil; {
		switch { // guards against a process that was stopped and goes on where it was, and a socket that took nothing for a while
		case message.leaseFenced && l.leaseExpired():
			message.recall()
		case message.hasDeadline && l.missedDeadline(message) && message.recall():
			l.onMissedDeadline(message)
		}
		if message.stage.CompareAndSwap(stageQueued, stageWriting) { // next to the write: what was begun may be out
			size += len(*message.buffer)
			if all = append(all, message); message.closesConnection || size > maxCoalescedBytes || len(all) == maxCoalescedMessages {
				break
			}
		} else {
			returnBuffer(message.buffer)
		}
		select {
		case message = <-l.queue:
		default:
			message = nil
		}
	}
	if len(all) == 0 {
		return nil
	}
	out := all[0].buffer
	if len(all) > 1 {
		out = borrowBuffer()
		defer returnBuffer(out)
		for _, message := range all {
			*out = append(*out, *message.buffer...)
		}
	}
	if len(l.pendingWrites) > 0 {
		awaitWritten(l.pendingWrites)
		clear(l.pendingWrites)
		l.pendingWrites = l.pendingWrites[:0]
	}
	n, err := conn.Write(*out)
	for _, message := range all {
		if n -= len(*message.buffer); n < 0 { // it is not out whole, nor is what is behind it
			return endWriteFailed
		}
		message.stage.Store(stageWritten)
		err := wrote(message)
		returnBuffer(message.buffer)
		if err != nil {
			return err
		}
	}
	if err != nil {
		return endWriteFailed
	}
	return nil
}
