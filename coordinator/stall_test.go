package coordinator

import (
	"fmt"
	"net"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chalkring/coordinator/plan"
	"chalkring/endpoints"
	"chalkring/internal/fake"
	"chalkring/internal/frame"
	"chalkring/internal/http1"
)

const (
	stallLength = 900 * time.Millisecond // about the longest stall that the operators' pages name
	socketSlack = 50 * time.Millisecond  // by which each limit is longer on sockets
	heldUpSlack = 150 * time.Millisecond // for which a process may be held up between reading its clock and writing
	lateSlack   = 500 * time.Millisecond // after its time in which a final answer is late; after it, the search is lost
	drainGrace  = 250 * time.Millisecond // of testSettings
)

// suspend suspends the process and returns once it no longer runs.
func (l *childProcess) suspend() {
	l.signal(syscall.SIGSTOP)
	l.eventually("the process is suspended", func() bool {
		text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", l.cmd.Process.Pid))
		require.NoError(l.t, err)
		return strings.Contains(string(text), ") T ")
	})
}

// resume lets a suspended process go on.
func (l *childProcess) resume() { l.signal(syscall.SIGCONT) }

// A process that is suspended while it has nothing to do notices it when it goes on. Guards against a stall that is
// noticed only while searches are open.
func TestIdleProcessNoticesStall(t *testing.T) {
	t.Parallel()
	l := newChildProcess(t)
	l.start(nil)
	l.ready()
	time.Sleep(4 * stallCheckInterval) // a timer of the start does not show the stall
	l.suspend()
	time.Sleep(400 * time.Millisecond)
	l.resume()
	l.logged("event=stalled")
}

// attemptLog records the attempts that hosts receive.
type attemptLog struct {
	mu  sync.Mutex
	all []loggedAttempt
}

// loggedAttempt is an attempt as a host received it.
type loggedAttempt struct {
	receivedRequest
	host string
	at   time.Time
}

// stated returns how long the coordinator waits for the attempt, as it stated.
func (a loggedAttempt) stated(t *testing.T) time.Duration {
	wait, _, _ := strings.Cut(strings.TrimPrefix(a.List, "d="), ",")
	milliseconds, err := strconv.Atoi(wait)
	require.NoError(t, err, a.List)
	return time.Duration(milliseconds) * time.Millisecond
}

// recordAttempts records the attempts that all hosts receive from now on, and answers them unless they are to hang.
func (l *childProcess) recordAttempts(hang bool) *attemptLog {
	log := &attemptLog{}
	for i, host := range l.hosts {
		host.SetHandler(func(a receivedRequest) {
			log.mu.Lock()
			log.all = append(log.all, loggedAttempt{a, l.endpoints[i].ID, time.Now()})
			log.mu.Unlock()
			if !hang {
				a.ReplyGood()
			}
		})
	}
	return log
}

// received returns the attempts that hosts have received for a search; for an empty name, all.
func (g *attemptLog) received(searchName string) (found []loggedAttempt) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, attempt := range g.all {
		if searchName == "" || strings.HasPrefix(attempt.ID, searchName+".") {
			found = append(found, attempt)
		}
	}
	return found
}

// A client counts its time from when it sent its request, also if the process was suspended then and read it much later.
// Guards against a final answer that comes up to the length of a stall after its client's time, and against attempts that
// state a longer time than the client has left.
func TestTimeOfRequestThatArrivesDuringStall(t *testing.T) {
	const patience = 1600 * time.Millisecond
	for name, isBusy := range map[string]bool{"while idle": false, "while a search is open": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l := newChildProcess(t)
			l.start(nil)
			l.ready()
			l.served("before")
			kept, keptReader := l.dial()
			_, err := kept.Write([]byte(request("kept", "all", "", fourParts)))
			require.NoError(t, err)
			_, _, _, _, err = keptReader.ReadResponse()
			require.NoError(t, err)
			attempts := l.recordAttempts(true)
			if isBusy {
				open, _ := l.dial()
				_, err := open.Write([]byte(request("open", "all", "", fourParts)))
				require.NoError(t, err)
				l.eventually("a search is open", func() bool { return len(attempts.received("open")) == 4 })
			} else {
				time.Sleep(2 * stallCheckInterval)
			}
			l.suspend()
			suspendedAt := time.Now()
			time.Sleep(15 * time.Millisecond)
			fresh, freshReader := l.dial()
			var clients sync.WaitGroup
			for searchName, client := range map[string]struct {
				net.Conn
				reader *http1.Reader
			}{"on-kept-connection": {kept, keptReader}, "on-new-connection": {fresh, freshReader}} {
				text := strings.Replace(request(searchName, "all", "", fourParts), "X-Deadline: 8.000", fmt.Sprintf("X-Deadline: %.3f", patience.Seconds()), 1)
				_, err := client.Write([]byte(text))
				require.NoError(t, err)
				sentAt := time.Now()
				clients.Go(func() {
					_, _, _, _, err := client.reader.ReadResponse()
					late := time.Since(sentAt) - patience
					if err != nil || late > lateSlack+socketSlack+heldUpSlack {
						t.Errorf("%s: final answer %v after its client's time, error %v\n%s", searchName, late, err, l.log)
					}
					for _, attempt := range attempts.received(searchName) {
						if left := patience - attempt.at.Sub(sentAt); attempt.stated(t) > left+socketSlack+heldUpSlack {
							t.Errorf("%s: attempt %s states %v, its client has %v left", searchName, attempt.ID, attempt.stated(t), left)
						}
					}
				})
			}
			time.Sleep(time.Until(suspendedAt.Add(stallLength)))
			l.resume()
			clients.Wait()
			require.NotEmpty(t, attempts.received("on-kept-connection"), "the search has time left, and is sent to hosts")
		})
	}
}

// What is read soon after a stall may have arrived at its start; what is read before it or long after it arrived when it
// was read.
func TestEarliestArrival(t *testing.T) {
	const second = int64(time.Second / tick)
	stalls := &stallTracker{}
	stalls.lastRunAt.Store(100 * second)
	require.Equal(t, 100*second+5, stalls.earliestArrival(100*second+5), "the event loop has just run")
	require.Equal(t, 100*second, stalls.earliestArrival(101*second), "a stall that the event loop has not noticed yet")
	stalls.lastStall.Store(&stall{from: 100 * second, until: 101 * second})
	stalls.lastRunAt.Store(101 * second)
	margin := int64(lateReadMargin / tick)
	for readAt, want := range map[int64]int64{
		100*second - 1:        100*second - 1,
		100 * second:          100 * second,
		101 * second:          100 * second,
		101*second + margin:   100 * second,
		101*second + margin/2: 100 * second,
	} {
		require.Equal(t, want, stalls.earliestArrival(readAt), "%d", readAt)
	}
	stalls.lastRunAt.Store(102 * second)
	require.Equal(t, 102*second, stalls.earliestArrival(102*second))
}

// After a stall, a request counts from when the system received it, or from the stall's start where the system does not
// tell.
func TestArrivalAfterStall(t *testing.T) {
	const receivedBefore = 300 * time.Millisecond
	clientSide, serverSide := tcpPair(t)
	_, err := clientSide.Write([]byte("request"))
	require.NoError(t, err)
	time.Sleep(receivedBefore)

	now := time.Now()
	loop := &eventLoop{Options: Options{Clock: SystemClock{}}, startedAt: now.Add(-time.Minute)}
	loop.stalls.lastRunAt.Store(loop.ticksAt(now))
	arrivalOn := func(conn net.Conn) time.Duration {
		return now.Sub(loop.arrivalOf(&search{arrivedAt: now, client: &clientConnection{conn: conn}}))
	}
	require.Zero(t, arrivalOn(serverSide), "there was no stall")
	loop.stalls.lastStall.Store(&stall{from: loop.ticksAt(now.Add(-stallLength)), until: loop.ticksAt(now)})
	require.InDelta(t, receivedBefore, arrivalOn(serverSide), float64(50*time.Millisecond))
	piped, other := net.Pipe()
	defer piped.Close()
	defer other.Close()
	require.Equal(t, stallLength, arrivalOn(piped))
	require.Equal(t, stallLength, now.Sub(loop.arrivalOf(&search{arrivedAt: now})), "a search of another frontend")
	loop.stalls.lastStall.Store(&stall{from: loop.ticksAt(now.Add(-receivedBefore / 3)), until: loop.ticksAt(now)})
	require.Equal(t, receivedBefore/3, arrivalOn(serverSide), "what arrived before the stall has been read before it")

	// Bytes that came just now, in the system's words 0 ms ago. That is believed from a system that has told other times.
	loop.stalls.lastStall.Store(&stall{from: loop.ticksAt(now.Add(-stallLength)), until: loop.ticksAt(now.Add(stallLength))})
	_, err = clientSide.Write([]byte("again"))
	require.NoError(t, err)
	readAt := time.Now()
	arrivalNow := func() time.Duration {
		return readAt.Sub(loop.arrivalOf(&search{arrivedAt: readAt, client: &clientConnection{conn: serverSide}}))
	}
	require.Less(t, arrivalNow(), receivedBefore/2)
	loop.stalls.tellsReceiveTimes.Store(false)
	if ago, _ := lastReceivedAgo(serverSide); ago == 0 {
		require.GreaterOrEqual(t, arrivalNow(), stallLength, "the system may not tell")
	}
}

// listWith returns the endpoint list with one host in another state.
func (l *childProcess) listWith(hostID, state string) []fake.Endpoint {
	list := slices.Clone(l.endpoints)
	for i := range list {
		if list[i].ID == hostID {
			list[i].State = state
		}
	}
	return list
}

// A process without open searches is suspended, is told that a host drains, and then gets searches: once it goes on, it
// sends that host nothing. Guards against a stall that an idle process does not notice, and against searches that are
// handled before a list that arrived before them.
func TestDrainToldDuringStall(t *testing.T) {
	t.Parallel()
	l := newChildProcess(t)
	l.start(nil)
	l.ready()
	l.served("before")
	for _, endpoint := range l.endpoints {
		conns, readers := make([]net.Conn, 2), make([]*http1.Reader, 2)
		ask := func(i int, searchName string) {
			_, err := conns[i].Write([]byte(request(fmt.Sprint(searchName, "-", endpoint.ID, "-", i), "all", "", fourParts)))
			require.NoError(t, err)
		}
		answered := func(i int) {
			status, _, _, _, err := readers[i].ReadResponse()
			require.NoError(t, err, "%s", l.log)
			require.Equal(t, 200, status)
		}
		for i := range conns {
			conns[i], readers[i] = l.dial()
			ask(i, "first")
			answered(i)
		}
		time.Sleep(500 * time.Millisecond)
		attempts := l.recordAttempts(false)
		l.suspend()
		suspendedAt := time.Now()
		l.discovery.SetEndpoints(l.listWith(endpoint.ID, "draining"))
		toldAt := time.Now()
		time.Sleep(time.Until(suspendedAt.Add(400 * time.Millisecond)))
		for i := range conns {
			ask(i, "second")
		}
		time.Sleep(time.Until(suspendedAt.Add(stallLength)))
		l.resume()
		for i := range conns {
			answered(i)
		}
		for _, attempt := range attempts.received("") {
			if after := attempt.at.Sub(toldAt); attempt.host == endpoint.ID && after > drainGrace+socketSlack+heldUpSlack {
				t.Errorf("attempt %s came to %s %v after the list that says that it drains\n%s", attempt.ID, attempt.host, after, l.log)
			}
		}
		l.discovery.SetEndpoints(l.endpoints)
		time.Sleep(100 * time.Millisecond) // for the list to be applied
	}
}

// A list arrives while an idle process is suspended for longer than its call may take: it is in force before searches that
// came after it. Guards against a stall that is not noticed, and against a list that counts as never received.
func TestListThatArrivesDuringLongStall(t *testing.T) {
	t.Parallel()
	l := newChildProcess(t)
	l.start(nil)
	l.ready()
	l.served("before")
	time.Sleep(4 * stallCheckInterval) // a timer of the start or the search does not show the stall
	l.suspend()
	l.discovery.SetEndpoints(l.listWith("a0", "draining"))
	time.Sleep(2*watchInterval + watchAnswerSlack) // the deadline of the call that is open
	attempts := l.recordAttempts(false)
	for i := range 4 {
		conn, _ := l.dial()
		_, err := conn.Write([]byte(request(fmt.Sprint("during", i), "all", "", fourParts)))
		require.NoError(t, err)
	}
	l.resume()
	l.eventually("shard requests are sent", func() bool { return len(attempts.received("")) == 16 })
	for _, attempt := range attempts.received("") {
		require.NotEqual(t, "a0", attempt.host, "%s\n%s", attempt.ID, l.log)
	}
}

// An answer of discovery that has arrived is read after its call's deadline too; then reads time out. Guards against a list
// that is dropped unread because the process stalled until the deadline had passed.
func TestListAnswerIsReadAfterDeadline(t *testing.T) {
	ownSide, discoverySide := tcpPair(t)
	_, err := discoverySide.Write([]byte("answer"))
	require.NoError(t, err)
	awaitArrival(t, ownSide.(*net.TCPConn))

	conn, buffer := newDiscoveryConn(ownSide), make([]byte, 16)
	require.True(t, conn.hasNews(), "it is unread")
	conn.SetDeadline(time.Now().Add(-time.Second))
	n, err := conn.Read(buffer)
	require.NoError(t, err)
	require.Equal(t, "answer", string(buffer[:n]))
	require.True(t, conn.hasNews(), "it is not handed on yet")
	_, err = conn.Read(buffer)
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
	conn.SetDeadline(time.Now().Add(testTimeout))
	go func() { _, _ = conn.Read(buffer) }()
	require.Eventually(t, func() bool { return !conn.hasNews() }, testTimeout, time.Millisecond, "the reader has come back for more")
}

// A catch-up ends only once what has arrived from discovery has been read and handed on, or after maxListWaits. Guards against
// searches that are decided before a list that takes longer to read than the tasks of the stall.
func TestCatchUpWaitsForList(t *testing.T) {
	for name, isRead := range map[string]bool{"that is read late": true, "that is never read": false} {
		t.Run(name, func(t *testing.T) {
			ownSide, discoverySide := tcpPair(t)
			_, err := discoverySide.Write([]byte("answer"))
			require.NoError(t, err)
			awaitArrival(t, ownSide.(*net.TCPConn))
			conn, began := newDiscoveryConn(ownSide), time.Now()
			loop := &eventLoop{Options: Options{Clock: SystemClock{}}, ctx: t.Context(), startedAt: began.Add(-time.Minute)}
			loop.stalls.lastStall.Store(&stall{})
			loop.discovery.openConn.Store(conn)
			var isHandedOn atomic.Bool
			if isRead {
				go func() {
					time.Sleep(10 * catchUpWait)
					_, _ = conn.Read(make([]byte, 16))
					time.Sleep(5 * catchUpWait) // as if it were decoded
					isHandedOn.Store(true)
					_, _ = conn.Read(make([]byte, 16))
				}()
			}
			require.True(t, loop.catchUp())
			require.Equal(t, isRead, isHandedOn.Load())
			if !isRead {
				require.GreaterOrEqual(t, time.Since(began), maxListWaits*catchUpWait)
			}
		})
	}
}

// A list is applied before the searches that wait for the event loop, also if these came first and fill its queue, from
// discovery alone and merged with other sources. Guards against searches that are sent to a host which drains by a list
// that had arrived.
func TestListsGoBeforeSearches(t *testing.T) {
	for name, updates := range map[string]chan endpoints.Update{"of discovery": nil, "of several sources": make(chan endpoints.Update)} {
		t.Run(name, func(t *testing.T) {
			r := startWithOptions(t, nil, 256, nil, nil, nil, func(m *Options) {
				if updates != nil {
					m.EndpointUpdates = updates
				}
			})
			<-r.list.Targets
			gate, isBlocked := make(chan struct{}), make(chan struct{})
			r.loop.submit(func() { close(isBlocked); <-gate })
			<-isBlocked
			var clients []*testClient
			for i := range 8 {
				clients = append(clients, r.connect().send(request(fmt.Sprint("q", i), "all", "", fourParts)))
			}
			r.eventually("the searches wait for the event loop", func() bool { return len(r.loop.tasks) >= 2*len(clients) })
			for len(r.loop.tasks) < maxQueuedTasks {
				r.loop.submit(func() {})
			}
			r.list.Responses <- fmt.Sprintf(`{"version":8,"full":false,"servers":[%s]}`, r.entry("a0", "draining"))
			select {
			case <-r.list.Targets: // the next call, so the list has been handed on
			case <-time.After(time.Second):
				t.Error("the list waits behind the searches")
			}
			close(gate)
			for _, client := range clients {
				status, _, _, _ := client.readAnswer()
				require.Equal(t, 200, status)
			}
			require.Zero(t, r.replicas["a0"].CountRequests(), r.log)
			r.shutDown()
		})
	}
}

// What waits for a connection to a host that drains is taken back half the grace after the list may have arrived: at once if
// the list was read after a long stall. Guards against attempts that go out a stall and half the grace after a drain was told.
func TestDrainCountsFromListArrival(t *testing.T) {
	for name, hasStalled := range map[string]bool{"read as it came": false, "read after a stall": true} {
		t.Run(name, func(t *testing.T) {
			loop, conn, search := oneAttemptInFlight(stageQueued)
			waiting := search.shardRequests[0].attempts[0]
			loop.plan = &plan.Plan{Settings: map[string]string{"Safety.DrainGrace": "250"}}
			loop.now = int64(time.Minute / tick)
			loop.stalls.lastRunAt.Store(loop.now)
			if hasStalled {
				loop.stalls.lastStall.Store(&stall{from: loop.now - int64(stallLength/tick), until: loop.now})
			}
			conn.replica.connections = []*replicaConnection{conn}
			loop.replicas.byID = map[string]*replica{"a0": conn.replica}
			loop.placeReplica("a0", "", "", 0, false, true)
			require.Equal(t, hasStalled, waiting.batch == nil, "taken back at once")
			if !hasStalled {
				require.Len(t, loop.timers.queue.timers, 1)
				require.Equal(t, loop.now+int64(drainGrace/2/tick), loop.timers.queue.timers[0].at)
			}
		})
	}
}

// While the event loop has not run for long, nothing is written to hosts: it may take back what is queued. Guards against
// attempts that were queued when the process was suspended and are sent when it goes on, though their clients have left.
func TestWritesWaitForEventLoopAfterStall(t *testing.T) {
	r := start(t, 256, nil)
	r.connect().expect("first", "all", 200, completeAnswer)
	messages, stages := map[string]*outboundMessage{}, map[string]int32{}
	r.runInLoop(func(loop *eventLoop) {
		time.Sleep(2 * (stallCheckInterval + stallThreshold))
		for hostID, replica := range loop.replicas.byID {
			for _, conn := range replica.connections {
				buffer := borrowBuffer()
				*buffer = frame.AppendCancel(*buffer, "late.0")
				messages[hostID] = &outboundMessage{buffer: buffer}
				conn.enqueue(messages[hostID])
			}
		}
		time.Sleep(50 * time.Millisecond)
		for hostID, message := range messages {
			if stages[hostID] = message.stage.Load(); hostID[0] == 'a' {
				message.recall()
			}
		}
	})
	require.NotEmpty(t, messages)
	for hostID, stage := range stages {
		require.Equal(t, stageQueued, stage, hostID)
	}
	for hostID, message := range messages {
		if hostID[0] == 'a' {
			continue
		}
		r.eventually("the event loop runs, and messages are written", func() bool { return message.stage.Load() == stageWritten })
		r.eventually("the message arrives", func() bool {
			_, canceled, _, _ := r.replicas[hostID].Observed()
			return slices.Contains(canceled, "late.0")
		})
	}
	for _, hostID := range []string{"a0", "a1"} {
		_, canceled, _, _ := r.replicas[hostID].Observed()
		require.Empty(t, canceled)
	}
	r.shutDown()
}

// A batch that was queued before a stall and is not sent yet is encoded anew after it. Guards against a frame that states
// the time that its client had left before the stall.
func TestUnsentBatchesAreRenewedAfterStall(t *testing.T) {
	for stage, isRenewed := range map[int32]bool{stageQueued: true, stageWriting: false, stageWritten: false} {
		loop, conn, search := oneAttemptInFlight(stage)
		loop.replicas.byID = map[string]*replica{"a0": conn.replica}
		conn.replica.connections, conn.connectedAt = []*replicaConnection{conn}, 1
		current := search.shardRequests[0].attempts[0]
		before := current.batch.message
		text := []byte("encoded before the stall")
		before.buffer, current.deadline = &text, 10_000
		loop.now = 9000
		loop.renewUnsentBatches()
		require.Equal(t, isRenewed, before != current.batch.message, "stage %d", stage)
		if !isRenewed {
			require.Equal(t, stage, before.stage.Load())
			require.Empty(t, conn.queue)
			continue
		}
		require.Equal(t, stageRecalled, before.stage.Load())
		require.Same(t, current.batch.message, <-conn.queue)
		require.Contains(t, string(*current.batch.message.buffer), " d=100 ")
	}
}

// SIGTERM comes while the process is suspended: the platform counts the time until SIGKILL from then on, and so does the
// process when it goes on. Guards against final answers that are due only after SIGKILL.
func TestAnswersBeforeSIGKILLAfterStall(t *testing.T) {
	t.Parallel()
	l := newChildProcess(t)
	l.start(nil)
	l.ready()
	conn, reader := l.dial()
	_, err := conn.Write([]byte(request("before", "all", "", fourParts)))
	require.NoError(t, err)
	_, _, _, _, err = reader.ReadResponse()
	require.NoError(t, err)
	l.recordAttempts(true)
	l.suspend()
	suspendedAt := time.Now()
	l.signal(syscall.SIGTERM)
	kill := suspendedAt.Add(plan.MaxTerminationGrace)
	time.Sleep(stallLength)
	l.resume()
	l.logged("event=stopping")
	time.Sleep(catchUpInterval) // the request is not taken for one that came during the stall
	_, err = conn.Write([]byte(request("late", "all", "", fourParts)))
	require.NoError(t, err)
	status, _, _, _, err := reader.ReadResponse()
	require.NoError(t, err)
	require.Contains(t, []int{500, 503}, status)
	require.True(t, time.Now().Before(kill), "the answer came %v after SIGKILL", time.Since(kill))
	conn.Close()
	l.waitForExit(0)
}

// A request that comes during shutdown before the answer to the one ahead of it counts from when it came, not from when it is
// its turn. Guards against a final answer that comes up to the length of that wait after its client's time.
func TestTimeOfRequestBehindAnother(t *testing.T) {
	t.Parallel()
	const patience = 1600 * time.Millisecond
	r := start(t, 256, nil)
	held := make(chan receivedRequest, 16)
	r.setHandlers(func(a receivedRequest) { held <- a })
	client := r.connect().send(request("ahead", "all", "", fourParts))
	r.eventually("shard requests are sent", func() bool { return len(held) == 4 })
	r.stop()
	r.logged("event=stopping")
	for _, searchName := range []string{"behind", "last"} {
		client.send(strings.Replace(request(searchName, "all", "", fourParts), "X-Deadline: 8.000", fmt.Sprintf("X-Deadline: %.3f", patience.Seconds()), 1))
	}
	sentAt := time.Now()
	time.Sleep(stallLength)
	for range 4 {
		(<-held).ReplyGood()
	}
	status, _, _, _ := client.readAnswer()
	require.Equal(t, 200, status)
	for range 2 {
		client.readAnswer()
		require.LessOrEqual(t, time.Since(sentAt)-patience, lateSlack+socketSlack+heldUpSlack)
	}
	r.shutDown()
}

// A connection may have waited as long as the one before it waited for room, unless the system's queue was found empty since.
func TestAcceptQueue(t *testing.T) {
	start := time.Unix(1_700_000_000, 0)
	at := func(milliseconds int) time.Time { return start.Add(time.Duration(milliseconds) * time.Millisecond) }
	var queue acceptQueue
	for _, step := range []struct {
		called, accepted, admitted int // milliseconds
		wantSince                  int // milliseconds, 0 for none
	}{
		{called: 1, accepted: 1, admitted: 1},
		{called: 1, accepted: 50, admitted: 400, wantSince: 50},
		{called: 400, accepted: 400, admitted: 400, wantSince: 50}, // it queued behind the one before
		{called: 400, accepted: 401, admitted: 700, wantSince: 50},
		{called: 700, accepted: 720, admitted: 720}, // it came when the queue was empty
		{called: 720, accepted: 720, admitted: 800, wantSince: 720},
		{called: 1801, accepted: 1801, admitted: 1801}, // long after the wait
	} {
		queue.accepted(at(step.called), at(step.accepted))
		since := queue.admitted(at(step.accepted), at(step.admitted))
		if step.wantSince == 0 {
			require.True(t, since.IsZero(), "%+v", step)
		} else {
			require.Equal(t, at(step.wantSince), since, "%+v", step)
		}
	}
}

// A request that arrives while its connection waits for room counts from when it arrived, and one that comes after the wait
// from then. Guards against a final answer that comes up to the length of that wait after its client's time.
func TestTimeOfRequestThatWaitsForRoom(t *testing.T) {
	t.Parallel()
	const patience = 1600 * time.Millisecond
	r := start(t, 16, nil)
	r.setHandlers(func(receivedRequest) {})
	var busy []*testClient
	for i := range 8 { // takes all the room
		busy = append(busy, r.connect().send(request(fmt.Sprint("busy", i), "all", "", fourParts)))
	}
	r.eventually("shard requests are sent", func() bool { return r.parts() == 4*len(busy) })
	impatient := func(searchName string) string {
		return strings.Replace(request(searchName, "all", "", fourParts), "X-Deadline: 8.000", fmt.Sprintf("X-Deadline: %.3f", patience.Seconds()), 1)
	}
	waiting, quiet := r.connect().send(impatient("waiting")), r.connect()
	sentAt := time.Now()
	time.Sleep(stallLength)
	for _, client := range busy[:2] {
		client.Close()
	}
	waiting.readAnswer()
	late := time.Since(sentAt) - patience
	require.LessOrEqual(t, late, lateSlack+socketSlack+heldUpSlack)
	quiet.send(impatient("after-the-wait"))
	sentAt = time.Now()
	quiet.readAnswer()
	require.Greater(t, time.Since(sentAt), patience-stallLength/2, "it has its full time")
	r.shutDown()
}
