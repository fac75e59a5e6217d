package coordinator

import (
	"context"
	"errors"
	"net"
	"os"
	"time"
)

const (
	acceptRetryDelay   = 100 * time.Millisecond // before the next accept when no descriptor is left: some will be free
	clientWriteTimeout = 5 * time.Second        // for a client to take a byte of its answer; after that it counts as gone
	clientQueueSize    = 4                      // answers that wait on a client's connection: clients send one request at a time
)

// clientTable is the event loop's view of clients and frontends.
type clientTable struct {
	connections    map[*messageConn]bool
	listenerClosed bool // no new client connections come
	openFrontends  int  // other frontends that have not finished
}

// clientListener accepts clients' connections. It turns HTTP requests into searches of the event loop, and their
// outcomes into responses.
type clientListener struct {
	loop             *eventLoop
	limiter          *connectionLimiter
	classes, tenants map[string]int
	stopping         context.Context // done once no new connections are taken, acceptAfterStop after the stop
}

// newClientListener returns a listener that takes new connections until stopping is done.
func newClientListener(loop *eventLoop, stopping context.Context) *clientListener {
	return &clientListener{
		loop: loop, limiter: newConnectionLimiter(clientDescriptors(loop.plan.MaxSockets)),
		classes: loop.plan.PositionsByName("Classes"), tenants: loop.plan.PositionsByName("Tenants"), stopping: stopping,
	}
}

// accept accepts clients' connections until the listener is closed.
func (f *clientListener) accept() error {
	loop := f.loop
	for taken := false; ; { // a connection was accepted since the listener's last deadline
		conn, err := loop.Listener.Accept()
		if errors.Is(err, os.ErrDeadlineExceeded) { // see acceptLast
			// The wait for room may have outlasted the deadline: connections that have arrived would be reset by the close.
			if taken {
				taken = false
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
		taken = true
		client := &clientConnection{
			clientListener: f, messageConn: newMessageConn(loop.ctx, clientQueueSize), conn: conn,
			answered: make(chan struct{}, 1),
		}
		client.log = loop.log
		if !f.limiter.admit(client, loop.ctx.Done()) {
			conn.Close()
			return nil
		}
		client.firstDeadline = time.Now().Add(requestReadTimeout) // the wait for room does not count
		loop.submit(func() { loop.clients.connections[client.messageConn] = true })
		loop.group.Go(func() error {
			f.serveClient(client)
			return nil
		})
	}
}

// serveClient runs a client's connection to its end.
func (f *clientListener) serveClient(client *clientConnection) {
	loop := f.loop
	end := client.serve(client.conn, clientWriteTimeout, client.readRequests, client.handleWritten)
	f.limiter.release(client)
	loop.submit(func() {
		delete(loop.clients.connections, client.messageConn)
		loop.searches.unsentBytes.Add(-client.unsentBytes.Swap(0))
		if client.lastSearch != nil { // an open search has lost its client, whatever ended the connection
			loop.withdrawSearch(client.lastSearch)
		}
	})
	switch end {
	case errReadTimeout, errMalformed, errQueueFull, errWriteFailed, errDisplaced, errFault:
		loop.log.warnLimited("client "+end.Error(), "client_connection_ended", "client", client.conn.RemoteAddr().String(), "end", end)
	}
}
