package coordinator

import (
	"context"
	"net"
	"runtime"
	"sync"
	"sync/atomic"
	"time"
)

const (
	maxCoalescedBytes    = 8 << 10                // bytes of messages after which no more are added to a write: half a buffer
	maxCoalescedMessages = 64                     // messages in one write: one iteration's batches to one replica
	maxWriteWait         = 20 * time.Millisecond  // wait for a write that has begun: a socket takes a message at once
	writeWaitYields      = 16                     // checks of such a write between which the goroutine only yields the processor
	writeWaitPoll        = 100 * time.Microsecond // between two checks after those
)

// outboundMessage is one message on its way to a socket. Its stage goes from queued to writing and written, or from
// queued to recalled.
type outboundMessage struct {
	buffer           *[]byte
	closesConnection bool // the last message of its connection
	leaseFenced      bool // its write may not begin once the residency lease has expired
	hasDeadline      bool // its write may not begin after its time in the connection's deadlines
	stage            atomic.Int32
}

// Stages of an outbound message.
const (
	stageQueued int32 = iota
	stageWriting
	stageWritten
	stageRecalled // taken back before its write began
)

// recall takes a message back. It returns false if bytes of the message may have been sent already.
func (p *outboundMessage) recall() bool { return p.stage.CompareAndSwap(stageQueued, stageRecalled) }

// messageConn is one connection and the messages that wait to be written to it. The writer drops messages that may not
// be sent any more: those that were recalled, are past their deadline, or need a residency lease that has expired.
type messageConn struct {
	queue chan *outboundMessage
	end   context.CancelCauseFunc
	ctx   context.Context

	awaitEventLoop   func(context.Context)    // is called before each write, and returns once the event loop knows of any stall of the process; nil if writes need not wait
	leaseExpired     func() bool              // checked for each leaseFenced message; nil if there are none
	clockTicks       func() int64             // checked for each message with a deadline; nil if there are none
	deadlines        sync.Map                 // by message: the time by which its write has to begin
	onMissedDeadline func(p *outboundMessage) // is called for each message that is dropped for its deadline

	log *asyncLogger // for panics; nil for no log

	pendingWrites []pendingWrite // writes on other connections that have to end before the next message is written; set by the caller of enqueue

	mu           sync.Mutex
	writer       func() // writes what is queued; nil while the connection is not served
	isWriting    bool
	writersEnded sync.WaitGroup
	collected    []*outboundMessage // empty; its array is reused by each write
	writerEnded  atomic.Bool        // nothing is written any more
}

// newMessageConn returns a connection whose queue has room for the given number of messages.
func newMessageConn(ctx context.Context, room int) *messageConn {
	l := &messageConn{queue: make(chan *outboundMessage, room)}
	l.ctx, l.end = context.WithCancelCause(ctx)
	return l
}

// enqueue hands a message to the writer without waiting; a full queue ends the connection.
func (l *messageConn) enqueue(message *outboundMessage) {
	select {
	case l.queue <- message:
		l.startWriter()
	default:
		l.end(errQueueFull)
	}
}

// startWriter starts a goroutine that writes the queued messages, unless one runs already or the connection is not served.
func (l *messageConn) startWriter() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.writer == nil || l.isWriting || len(l.queue) == 0 {
		return
	}
	l.isWriting = true
	l.writersEnded.Add(1)
	go l.writer()
}

// stopWriting ends writing for good, and waits for a write that has begun.
func (l *messageConn) stopWriting() {
	l.mu.Lock()
	l.writer = nil
	l.mu.Unlock()
	l.writersEnded.Wait()
	l.writerEnded.Store(true)
}

// nextMessage returns the next queued message, or nil, after which the writer has to return.
func (l *messageConn) nextMessage() *outboundMessage {
	select {
	case message := <-l.queue:
		return message
	default:
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case message := <-l.queue: // it came before the lock
		return message
	default:
		l.isWriting = false
		return nil
	}
}

// missedDeadline says whether a message is past its deadline. It removes the deadline, so it may be called only once for
// each message.
func (l *messageConn) missedDeadline(message *outboundMessage) bool {
	by, _ := l.deadlines.LoadAndDelete(message)
	return l.clockTicks() > by.(int64)
}

// serve runs a connection to its end and returns why it ended. It reads on its own goroutine; another one writes while there
// are messages. A write that takes longer than writeTimeout fails; wrote is called for each written message. Deadlines of
// sockets are in the system clock's time.
func (l *messageConn) serve(conn net.Conn, writeTimeout time.Duration, read func(context.Context) error,
	wrote func(*outboundMessage) error,
) connectionEndError {
	ctx, cancel := context.WithCancelCause(l.ctx) // the cause is the first error of reading and writing
	defer cancel(nil)
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	defer conn.Close()
	write := func() error { return l.writeQueued(ctx, conn, writeTimeout, wrote) }
	l.mu.Lock()
	l.writer = func() {
		defer l.writersEnded.Done()
		if err := l.log.recoverPanic(write); err != nil {
			l.writerEnded.Store(true)
			cancel(err)
		}
	}
	l.mu.Unlock()
	l.startWriter()
	cancel(l.log.recoverPanic(func() error { return read(ctx) }))
	l.stopWriting()
	err := context.Cause(ctx)
	if cause := context.Cause(l.ctx); cause != nil {
		err = cause // this side ended it, which made reads and writes fail
	}
	end := connectionEndOf(err)
	l.end(end) // releases the context, which its parent would otherwise keep
	return end
}

// writeQueued writes messages until none is queued. After an error nothing may be written any more.
func (l *messageConn) writeQueued(ctx context.Context, conn net.Conn, writeTimeout time.Duration, wrote func(*outboundMessage) error) error {
	for {
		message := l.nextMessage()
		if message == nil {
			return nil
		}
		if l.awaitEventLoop != nil {
			l.awaitEventLoop(ctx)
		}
		if ctx.Err() != nil { // no write may begin after the reader has seen the connection's end
			return ctx.Err()
		}
		conn.SetWriteDeadline(time.Now().Add(writeTimeout))
		if err := l.writeCoalesced(conn, message, wrote); err != nil {
			return err
		}
	}
}

// writeCoalesced writes a message and, in the same write, messages queued behind it, up to the limits of collect.
func (l *messageConn) writeCoalesced(conn net.Conn, message *outboundMessage, wrote func(*outboundMessage) error) error {
	all := l.collected[:0]
	defer func() {
		clear(all)
		l.collected = all[:0]
	}()
	all = l.collect(message, all)
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
		if n -= len(*message.buffer); n < 0 { // neither this message nor any after it is completely written
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

// collect appends the messages of one write: the given one and those queued behind it, up to maxCoalescedBytes and
// maxCoalescedMessages. It leaves out messages that may not be sent any more.
func (l *messageConn) collect(message *outboundMessage, all []*outboundMessage) []*outboundMessage {
	for size := 0; message != nil; {
		switch { // lease or deadline may have ended while the process was stalled or the socket took no bytes
		case message.leaseFenced && l.leaseExpired():
			message.recall()
		case message.hasDeadline && l.missedDeadline(message) && message.recall():
			l.onMissedDeadline(message)
		}
		if message.stage.CompareAndSwap(stageQueued, stageWriting) { // right before the write: from here on bytes may have been sent
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
	return all
}

// pendingWrite is a message whose write has begun on another connection.
type pendingWrite struct {
	conn    *messageConn
	message *outboundMessage
}

// isWritten says whether the message is completely written, or never will be.
func (b pendingWrite) isWritten() bool {
	return b.message.stage.Load() != stageWriting || b.conn.writerEnded.Load()
}

// awaitWritten blocks until all writes have ended. Without it, a search's final answer could overtake the write of an
// attempt in a stalled process. A write that does not end in time ends its connection. It polls, since most writes have
// ended already.
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
