package coordinator

import (
	"context"
	"errors"
	"net"
	"os"
	"time"

	"golang.org/x/sys/unix"

	"chalkring/coordinator/ingress"
)

const (
	acceptRetryDelay   = 100 * time.Millisecond // before the next accept after a failed one, so that descriptors can become free
	clientWriteTimeout = 5 * time.Second        // without a byte of an answer written, after which the client counts as gone
	clientQueueSize    = 4                      // answers queued on a client's connection; clients send one request at a time
)

// clientTable is the event loop's view of clients and frontends.
type clientTable struct {
	connections    map[*messageConn]bool
	listenerClosed bool // no new client connections are accepted
	openFrontends  int  // other frontends that still serve
}

// clientListener accepts clients' connections, hands their HTTP requests to the event loop as searches, and sends the
// outcomes as responses.
type clientListener struct {
	loop             *eventLoop
	limiter          *connectionLimiter
	control          *ingressControl // nil in tests that need none
	acceptTurn       *clientTurn     // of the goroutine that accepts connections
	classes, tenants map[string]int
	stopping         context.Context // done when no new connections are accepted any more, acceptAfterStop after the stop
}

// newClientListener returns a listener for an event loop. stopping is done once no new connections are accepted.
func newClientListener(loop *eventLoop, stopping context.Context) *clientListener {
	acceptTurn := newClientTurn()
	return &clientListener{
		loop: loop, limiter: newConnectionLimiter(maxClientConnections(loop.plan)),
		control: newIngressControl(loop.plan.Cores, loop.plan.RequestMemory()), acceptTurn: &acceptTurn,
		classes: loop.plan.PositionsByName("Classes"), tenants: loop.plan.PositionsByName("Tenants"), stopping: stopping,
	}
}

// accept accepts clients' connections until the listener is closed.
func (f *clientListener) accept() error {
	loop := f.loop
	var queue acceptQueue
	for acceptedOne := false; ; { // acceptedOne: since the listener's last deadline
		calledAt := loop.Clock.Now()
		conn, err := loop.Listener.Accept()
		acceptedAt := loop.Clock.Now()
		queue.accepted(calledAt, acceptedAt)
		if errors.Is(err, os.ErrDeadlineExceeded) { // see acceptLast
			// Waiting for room may have taken longer than the deadline, so further connections may have arrived, which the
			// close would reset.
			if acceptedOne {
				acceptedOne = false
				loop.acceptLast()
				continue
			}
			loop.Listener.Close()
			err = net.ErrClosed
		}
		if errors.Is(err, net.ErrClosed) {
			loop.submit(func() { loop.clients.listenerClosed = true })
			return nil
		}
		if err != nil {
			loop.log.warnLimited("accept", "accept_failed", "error", err)
			select {
			case <-loop.Clock.After(acceptRetryDelay):
			case <-loop.ctx.Done():
			}
			continue
		}
		acceptedOne = true
		if pollSocket(conn, unix.POLLRDHUP) != 0 { // its client has left meanwhile; others may wait behind it
			conn.Close()
			continue
		}
		client := f.admit(conn, acceptedAt, &queue)
		if client == nil {
			return nil
		}
		loop.submit(func() { loop.clients.connections[client.messageConn] = true })
		loop.group.Go(func() error {
			f.serveClient(client)
			return nil
		})
	}
}

// admit waits until there is room for an accepted connection and processor time for it. It returns nil, and closes the connection, if the coordinator
// ends meanwhile.
func (f *clientListener) admit(conn net.Conn, acceptedAt time.Time, queue *acceptQueue) *clientConnection {
	loop := f.loop
	client := &clientConnection{
		clientListener: f, messageConn: newMessageConn(loop.ctx, clientQueueSize), conn: conn,
		answered: make(chan struct{}, 1), share: clientShare{turn: newClientTurn()},
	}
	client.log = loop.log
	if f.chargeConnection() != nil || !f.limiter.admit(client, loop.ctx.Done()) {
		conn.Close()
		return nil
	}
	admittedAt := loop.Clock.Now()
	if since := queue.admitted(acceptedAt, admittedAt); !since.IsZero() {
		client.unread = stall{from: loop.ticksAt(since), until: loop.ticksAt(admittedAt)}
	}
	client.firstDeadline = time.Now().Add(requestReadTimeout) // waiting for room does not count
	return client
}

// chargeConnection counts the cost of an accepted connection, and waits while connections have used up their share of the
// processor.
func (f *clientListener) chargeConnection() error {
	err := f.control.begin(f.loop.ctx, f.acceptTurn, ingress.Accepting, time.Now().Add(requestReadTimeout))
	if errors.Is(err, errNoIngressRoom) {
		return nil
	}
	if err == nil {
		f.control.end(f.acceptTurn, connectionCost)
	}
	return err
}

// serveClient serves a client's connection until it ends, and then releases what it holds.
func (f *clientListener) serveClient(client *clientConnection) {
	loop := f.loop
	end := client.serve(client.conn, clientWriteTimeout, client.readRequests, client.handleWritten)
	f.limiter.release(client)
	loop.submit(func() {
		delete(loop.clients.connections, client.messageConn)
		loop.searches.unsentBytes.Add(-client.unsentBytes.Swap(0))
		if client.lastSearch != nil { // an open search has no client any more, whatever ended the connection
			loop.withdrawSearch(client.lastSearch)
		}
	})
	switch end {
	case errReadTimeout, errMalformed, errQueueFull, errWriteFailed, errDisplaced, errFault, errOverloaded:
		loop.log.warnLimited("client "+end.Error(), "client_connection_ended", "client", client.conn.RemoteAddr().String(), "end", end)
	}
}
