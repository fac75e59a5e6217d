package coordinator

import (
	"context"
	"errors"
	"runtime"
	"sync"
	"time"

	"chalkring/coordinator/ingress"
)

const (
	turnCost         = 20 * time.Microsecond  // of waking a connection's goroutine and reading
	byteCost         = 20 * time.Nanosecond   // of reading and parsing a byte
	maxFirstTurnWait = 250 * time.Millisecond // for the first turn of a request, of which nothing has been read
	maxLingerWait    = 100 * time.Millisecond // for a turn of a connection whose last answer has been written
	answerCost       = 80 * time.Microsecond  // of an answer that the connection's own goroutine gives
	connectionCost   = 100 * time.Microsecond // of accepting and ending a connection
	searchCost       = 60 * time.Microsecond  // of a request in the event loop
	maxPromptTurn    = time.Millisecond       // wait for a turn that does not count
	maxRefused       = 2                      // requests in a row that could not be served, after which a client is suspect
	maxPieces        = 16                     // reads for one request, after which its client is suspect
	maxFirstPieces   = 2                      // the same while nothing of the client's has been served: few need more
)

// errNoIngressRoom ends the reading of a request for which there is no memory, or no processor time within its time. Its
// client gets status 503.
var errNoIngressRoom = errors.New("no room for the request; lower the load, or raise memory_mb or cores")

// ingressControl lets client connections take turns on the processor, and accounts for the memory that their requests
// take. All goroutines of connections use it.
type ingressControl struct {
	startedAt time.Time

	mu        sync.Mutex
	scheduler *ingress.Scheduler
	memory    *ingress.Memory
	wake      *time.Timer // grants turns once there is credit for them
}

// newIngressControl returns a control for a number of cores and so many bytes for requests.
func newIngressControl(cores float64, memory int) *ingressControl {
	control := &ingressControl{
		startedAt: time.Now(),
		scheduler: ingress.NewScheduler(cores, 0), memory: ingress.NewMemory(memory),
	}
	control.wake = time.AfterFunc(time.Hour, control.grant)
	control.wake.Stop()
	return control
}

// resize changes the number of cores and the memory for requests.
func (g *ingressControl) resize(cores float64, memory int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.scheduler.SetCores(cores, time.Since(g.startedAt))
	g.memory.SetLimit(memory)
}

// grant grants the turns that may begin.
func (g *ingressControl) grant() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.grantLocked()
}

func (g *ingressControl) grantLocked() {
	if wait := g.scheduler.Grant(time.Since(g.startedAt)); wait > 0 {
		g.wake.Reset(wait)
	}
}

// clientTurn is one connection's turns, one after another, and the timer of its waits for them.
type clientTurn struct {
	*ingress.Turn
	late  *time.Timer   // nil before the first wait
	leave chan struct{} // receives a value when the connection has to make room for another one
}

func newClientTurn() clientTurn {
	return clientTurn{Turn: ingress.NewTurn(), leave: make(chan struct{}, 1)}
}

// makeRoom ends a wait for a turn. Any goroutine may call it.
func (t *clientTurn) makeRoom() {
	select {
	case t.leave <- struct{}{}:
	default:
	}
}

// forgetLeave forgets that the connection had to make room, since it need not any more.
func (t *clientTurn) forgetLeave() {
	select {
	case <-t.leave:
	default:
	}
}

// begin waits for a turn until a time. It returns errNoIngressRoom if that has passed or the connection has to make room
// meanwhile, and errClosing if ctx ends.
func (g *ingressControl) begin(ctx context.Context, turn *clientTurn, priority ingress.Priority, until time.Time) error {
	g.mu.Lock()
	g.scheduler.Request(turn.Turn, priority, time.Since(g.startedAt))
	g.grantLocked()
	g.mu.Unlock()
	select {
	case <-turn.Granted():
	default:
		if err := g.await(ctx, turn, until); err != nil {
			return err
		}
	}
	if priority != ingress.Trusted {
		runtime.Gosched() // goroutines of the event loop and of replicas that can run go first
	}
	return nil
}

// await waits for a turn that was not granted at once.
func (g *ingressControl) await(ctx context.Context, turn *clientTurn, until time.Time) (err error) {
	if turn.late == nil {
		turn.late = time.NewTimer(time.Until(until))
	} else {
		turn.late.Reset(time.Until(until))
	}
	defer turn.late.Stop()
	select {
	case <-turn.Granted():
		return nil
	case <-turn.late.C:
		err = errNoIngressRoom
	case <-turn.leave:
		err = errNoIngressRoom
	case <-ctx.Done():
		err = errClosing
	}
	g.mu.Lock()
	isWaiting := g.scheduler.Withdraw(turn.Turn)
	g.mu.Unlock()
	if isWaiting {
		return err
	}
	<-turn.Granted()
	return nil
}

// end ends a turn that has cost so much processor time.
func (g *ingressControl) end(turn *clientTurn, cost time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.scheduler.Finish(turn.Turn, cost, time.Since(g.startedAt))
	g.grantLocked()
}

// reserve adds to what a connection holds, or returns errNoIngressRoom.
func (g *ingressControl) reserve(holding *ingress.Holding, bytes int) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.memory.Reserve(holding, bytes) {
		return errNoIngressRoom
	}
	return nil
}

// release takes from what a connection holds.
func (g *ingressControl) release(holding *ingress.Holding, bytes int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.memory.Release(holding, bytes)
}

// markArriving records that a request arrives on a connection, and what is called if it has to make room.
func (g *ingressControl) markArriving(holding *ingress.Holding, evict func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	holding.Evict = evict
}

// markComplete records that the request has arrived completely, so that it need not make room any more.
func (g *ingressControl) markComplete(holding *ingress.Holding) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.memory.Complete(holding)
}

// clientShare is one connection's part in the ingress control. It belongs to the connection's reading goroutine, except for
// atomic fields and those of the control.
type clientShare struct {
	turn     clientTurn
	inTurn   bool
	cost     time.Duration // of the turn so far, as estimated: times measured would include those of other goroutines
	holding  ingress.Holding
	standing standing
	pieces   int // reads since the last complete request
}
