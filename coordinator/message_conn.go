package coordinator

import (
	"context"
	"net"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	maxCoalescedBytes    = 8 << 10                // bytes of messages that are written at once: a buffer holds two such
	maxCoalescedMessages = 64                     // messages written at once: one iteration's batches to one replica
	maxWriteWait         = 20 * time.Millisecond  // for a message whose write has begun to be written: a socket takes one at once
	writeWaitYields      = 16                     // checks of it that only yield the processor
	writeWaitPoll        = 100 * time.Microsecond // between two checks after that
)

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
		l.end(errQueueFull)
	}
}

// missedDeadline tells whether the time of a limited parcel to be begun is over; asked once of each.
func (l *messageConn) missedDeadline(message *outboundMessage) bool {
	by, _ := l.deadlines.LoadAndDelete(message)
	return l.clockTicks() > by.(int64)
}

// serve runs a connection to its end: read in one goroutine, the writer in another. Deadlines of sockets
// are told by the system's clock, whichever the owner has.
func (l *messageConn) serve(conn net.Conn, stall time.Duration, read func(context.Context) error,
	wrote func(*outboundMessage) error,
) connectionEndError {
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
			return errWriteFailed
		}
		message.stage.Store(stageWritten)
		err := wrote(message)
		returnBuffer(message.buffer)
		if err != nil {
			return err
		}
	}
	if err != nil {
		return errWriteFailed
	}
	return nil
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
				write.conn.end(errRetired)
			default:
				time.Sleep(writeWaitPoll)
			}
		}
	}
}
