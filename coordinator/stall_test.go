package coordinator

import (
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chalkring/internal/http1"
)

const (
	stallLength = 900 * time.Millisecond // about the longest stall that the operators' pages name
	socketSlack = 50 * time.Millisecond  // by which each limit is longer on sockets
	heldUpSlack = 150 * time.Millisecond // for which a process may be held up between reading its clock and writing
	lateSlack   = 500 * time.Millisecond // after its time in which a final answer is late; after it, the search is lost
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
	listener := listen(t)
	clientSide, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	defer clientSide.Close()
	serverSide, err := listener.Accept()
	require.NoError(t, err)
	defer serverSide.Close()
	_, err = clientSide.Write([]byte("request"))
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
}
