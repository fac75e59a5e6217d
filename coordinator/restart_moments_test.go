package coordinator

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"chalkring/coordinator/plan"

	"github.com/stretchr/testify/require"

	"chalkring/internal/advice"
	fleet "chalkring/internal/clustertest"
	"chalkring/internal/fake"
	"chalkring/internal/http1"
)

const endsWithin = 10 * time.Second // a process whose clients are gone; measured at under 2 s

// life is one process of the program over four hosts on loopback, with a plan in a file.
type life struct {
	t     *testing.T
	hosts []*fake.Host
	plan  map[string]any
	file  string
	addr  string
	cmd   *exec.Cmd
	log   *journal // what it wrote, where its output is not another's
	ended chan error
}

// newLife prepares a process and does not start it.
func newLife(t *testing.T) *life {
	l := &life{t: t, file: filepath.Join(t.TempDir(), "plan.json")}
	var entries []fake.Endpoint
	for _, id := range []string{"a0", "a1", "b0", "b1"} {
		h, err := fake.NewHost(id, int(id[0]-'a'), true, asked.ReplyGood)
		require.NoError(t, err)
		t.Cleanup(h.Close)
		l.hosts = append(l.hosts, h)
		entries = append(entries, fake.Endpoint{ID: id, Addr: h.Listener.Addr().String(), Zone: "z one", Kind: "small", Cell: h.Cell, State: "up"})
	}
	d, err := fake.NewDiscoveryServer(entries)
	require.NoError(t, err)
	t.Cleanup(d.Close)
	free := listen(t)
	l.addr = free.Addr().String()
	free.Close()
	text := fmt.Sprintf(`{"name":"n","listen":%q,"discovery":%q,"seed":"8c1f30d27a5be964",
		"limits":{"cores":1.0,"memory_mb":192,"sockets":256},"known":%s,"settings":%s}`, l.addr, d.Listener.Addr(), d.KnownEndpoints(), testSettings)
	require.NoError(t, json.Unmarshal([]byte(text), &l.plan))
	l.write()
	return l
}

func (l *life) write() {
	text, err := json.Marshal(l.plan)
	require.NoError(l.t, err)
	require.NoError(l.t, os.WriteFile(l.file, text, 0o600))
}

func (l *life) limit(name string, v float64) { l.plan["limits"].(map[string]any)[name] = v }

// start starts the process; its output goes to out, or to its journal without one.
func (l *life) start(out *os.File, before ...string) {
	ctx, cancel := context.WithTimeout(context.Background(), 6*patience) // the program is built first
	defer cancel()
	path, err := fleet.BuildProgram(ctx)
	require.NoError(l.t, err)
	args := append(before, path)
	l.cmd, l.log, l.ended = exec.Command(args[0], args[1:]...), &journal{}, make(chan error, 1)
	l.cmd.Env = append(os.Environ(), "GW_CONFIG="+l.file, "GW_NAME=", "GW_LISTEN=", "GW_DISCOVERY=")
	l.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	l.cmd.Stderr = l.log
	if out != nil {
		l.cmd.Stderr = out
	}
	require.NoError(l.t, l.cmd.Start())
	cmd, ended := l.cmd, l.ended
	go func() { ended <- cmd.Wait() }()
	l.t.Cleanup(func() { _ = cmd.Process.Kill() })
}

func (l *life) signal(s syscall.Signal) { require.NoError(l.t, l.cmd.Process.Signal(s)) }

func (l *life) eventually(why string, ok func() bool) {
	require.Eventually(l.t, ok, patience, 5*time.Millisecond, "%s\n%s", why, l.log)
}

func (l *life) logged(text string) {
	l.eventually("log line "+text, func() bool { return strings.Contains(l.log.String(), text) })
}

// ready waits until it serves.
func (l *life) ready() {
	l.eventually("ready", func() bool {
		conn, err := net.DialTimeout("tcp", l.addr, time.Second)
		if err != nil {
			return false
		}
		defer conn.Close()
		conn.SetDeadline(time.Now().Add(time.Second))
		conn.Write([]byte("GET /healthz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"))
		status, _, _, _, err := http1.NewReader(conn, make([]byte, 16<<10)).ReadResponse()
		return err == nil && status == 200
	})
}

// over waits for the end; code is the exit code that it has to have.
func (l *life) over(code int) {
	select {
	case err := <-l.ended:
		var failed *exec.ExitError
		if code == 0 {
			require.NoError(l.t, err, "%s", l.log)
		} else {
			require.ErrorAs(l.t, err, &failed, "%s", l.log)
			require.Equal(l.t, code, failed.ExitCode(), "%s", l.log)
		}
	case <-time.After(endsWithin):
		require.Fail(l.t, "does not end", "%s", l.log)
	}
}

func (l *life) dial() (net.Conn, *http1.Reader) {
	conn, err := net.Dial("tcp", l.addr)
	require.NoError(l.t, err)
	l.t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(patience))
	return conn, http1.NewReader(conn, make([]byte, 16<<10))
}

// served sends a search on a new connection, which has to have a whole answer.
func (l *life) served(id string) {
	conn, rd := l.dial()
	defer conn.Close()
	_, err := conn.Write([]byte(request(id, "all", "", fourParts)))
	require.NoError(l.t, err)
	status, _, body, _, err := rd.ReadResponse()
	require.NoError(l.t, err, "%s", l.log)
	require.Equal(l.t, 200, status)
	require.JSONEq(l.t, wholeOfAll, string(body))
}

// A log whose reader has gone ends nothing: the process goes on to serve, and ends as it is told to.
func TestClosedLogReader(t *testing.T) {
	l := newLife(t)
	rd, wr, err := os.Pipe()
	require.NoError(t, err)
	l.start(wr)
	wr.Close()
	l.ready()
	rd.Close()
	l.signal(syscall.SIGHUP) // writes a line
	time.Sleep(200 * time.Millisecond)
	l.served("a")
	l.signal(syscall.SIGTERM)
	l.over(0)
}

// A log that nobody reads holds up neither the start, nor new plans, nor the end.
func TestStalledLogReader(t *testing.T) {
	l := newLife(t)
	rd, wr, err := os.Pipe()
	require.NoError(t, err)
	defer rd.Close()
	full := bytes.Repeat([]byte("x"), 4096)
	for raw, err := wr.SyscallConn(); err == nil; {
		n := 0
		raw.Write(func(fd uintptr) bool { n, err = syscall.Write(int(fd), full); return true })
		if n <= 0 {
			err = errors.Join(err, syscall.EAGAIN)
		}
	}
	l.start(wr)
	wr.Close()
	l.ready()
	l.plan["name"] = ""
	l.write()
	l.signal(syscall.SIGHUP) // a line on its failure
	time.Sleep(100 * time.Millisecond)
	l.served("a")
	l.signal(syscall.SIGTERM)
	l.over(0)
}

// Connections that came while the process was held up are taken before its listener closes: a reset would lose what their
// clients have sent.
func TestConnectionsWaitingWhileListenerCloses(t *testing.T) {
	l := newLife(t)
	l.start(nil)
	l.ready()
	l.signal(syscall.SIGTERM)
	l.logged("event=stopping")
	l.signal(syscall.SIGSTOP)
	var readers []*http1.Reader
	for i := range 60 {
		conn, rd := l.dial()
		_, err := conn.Write([]byte(request(fmt.Sprint("w", i), "all", "", fourParts)))
		require.NoError(t, err)
		readers = append(readers, rd)
	}
	time.Sleep(acceptAfterStop + 100*time.Millisecond)
	l.signal(syscall.SIGCONT)
	for i, rd := range readers {
		status, _, _, _, err := rd.ReadResponse()
		require.NoError(t, err, "connection %d\n%s", i, l.log)
		require.Contains(t, []int{200, 503}, status)
	}
	l.over(0)
}

// A start while the process before it still has the address waits for it; one whose address stays another's says so.
func TestStartWhileAddressIsInUse(t *testing.T) {
	l := newLife(t)
	l.start(nil)
	l.ready()
	first := *l
	l.signal(syscall.SIGTERM)
	l.start(nil)
	first.over(0)
	l.ready()
	l.served("a")
	other := *l
	other.start(nil)
	other.logged("event=address_in_use")
	other.over(1)
	require.Contains(t, other.log.String(), "event=no_start")
	require.Contains(t, other.log.String(), "do=")
	l.served("b")
	other.start(nil) // told to end while it waits, it does
	other.logged("event=address_in_use")
	other.signal(syscall.SIGTERM)
	other.over(0)
	l.signal(syscall.SIGTERM)
	l.over(0)
}

// A new plan with other memory: what open searches may hold follows it, as the runtime's goal does.
func TestSearchMemoryFollowsReload(t *testing.T) {
	r := start(t, 256, nil)
	room := func() (now float64) {
		told := make(chan struct{})
		require.True(t, r.loop.submit(func() { now = r.loop.searches.memoryLimit; close(told) }))
		<-told
		return now
	}
	require.Equal(t, 48.0*(1<<20), room())
	for memory, want := range map[int]float64{64: 16 << 20, 4: 2 << 20, 512: 128 << 20} {
		p := *r.plan
		p.MemoryMB = memory
		r.plans <- &p
		r.eventually(fmt.Sprint("room of ", memory, " MB"), func() bool { return room() == want })
	}
	r.end()
}

// holding sets all hosts to keep their parts, and tells of each.
func (l *life) holding() chan asked {
	held := make(chan asked, 1024)
	for _, h := range l.hosts {
		h.SetHandler(func(p asked) { held <- p })
	}
	return held
}

// SIGTERM while replicas hang with parts out, clients are in the middle of a request or take no answer, discovery is silent
// and signals come again: what was sent has one final answer before the kill, nothing goes out after it, and the process ends.
func TestShutdownDuringSearches(t *testing.T) {
	l := newLife(t)
	l.start(nil)
	l.ready()
	held := l.holding()
	type one struct {
		conn net.Conn
		rd   *http1.Reader
	}
	var open []one
	for i := range 12 {
		conn, rd := l.dial()
		text := strings.Replace(request(fmt.Sprint("h", i), "all", "", fourParts), "X-Deadline: 8.000", "X-Deadline: 3.000", 1)
		conn.Write([]byte(text))
		open = append(open, one{conn, rd})
	}
	half, halfRd := l.dial()
	text := request("half", "all", "", fourParts)
	half.Write([]byte(text[:len(text)/2]))
	for range 8 { // two of each search are out
		<-held
	}
	for _, s := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP} {
		l.signal(s)
	}
	l.logged("event=stopping")
	half.Write([]byte(text[len(text)/2:]))
	open = append(open, one{half, halfRd})
	for i, c := range open {
		status, _, _, _, err := c.rd.ReadResponse()
		require.NoError(t, err, "connection %d\n%s", i, l.log)
		require.Contains(t, []int{200, 500, 503}, status)
		c.conn.Close()
	}
	time.Sleep(50 * time.Millisecond)
	sent := func() (n int) {
		for _, h := range l.hosts {
			n += h.CountRequests()
		}
		return n
	}
	before := sent()
	l.over(0)
	require.Equal(t, before, sent())
}

// A storm of SIGHUP, on plans that are whole, half, missing, a folder or very long, changes nothing but what the last whole
// one says, and searches go on.
func TestManyReloads(t *testing.T) {
	l := newLife(t)
	l.start(nil)
	l.ready()
	whole, err := os.ReadFile(l.file)
	require.NoError(t, err)
	for i := range 1000 {
		switch i {
		case 100:
			require.NoError(t, os.WriteFile(l.file, whole[:len(whole)/2], 0o600))
		case 300:
			require.NoError(t, os.Remove(l.file))
		case 400:
			require.NoError(t, os.Mkdir(l.file, 0o700))
		case 500:
			require.NoError(t, os.Remove(l.file))
		case 600:
			require.NoError(t, os.WriteFile(l.file, bytes.Repeat([]byte(`[`), plan.MaxFileSize+1), 0o600))
		}
		l.signal(syscall.SIGHUP)
		if i%100 == 50 {
			l.served(fmt.Sprint("s", i))
		}
	}
	l.logged("event=reload_failed")
	l.limit("sockets", 128)
	l.write()
	l.signal(syscall.SIGHUP)
	l.logged("sockets=128")
	l.served("last")
	l.signal(syscall.SIGTERM)
	l.over(0)
}

// A file that is far too long for a plan is not read to its end, and says what to do.
func TestPlanTooLarge(t *testing.T) {
	l := newLife(t)
	text, err := os.ReadFile(l.file)
	require.NoError(t, err)
	env := func(name string) string { return map[string]string{"GW_CONFIG": l.file}[name] }
	for long, fits := range map[int]bool{plan.MaxFileSize: true, plan.MaxFileSize + 1: false} {
		padded := append(bytes.Repeat([]byte(" "), long-len(text)), text...)
		require.NoError(t, os.WriteFile(l.file, padded, 0o600))
		_, err := readPlan(env)
		var no *plan.TooLargeError
		require.Equal(t, !fits, errors.As(err, &no), "%v", err)
		require.Equal(t, !fits, advice.For(err) != "")
	}
}

// With fewer descriptors than the plan grants, those there are are shared out: idle clients make room, and searches reach
// their replicas.
func TestDescriptorLimitBelowPlan(t *testing.T) {
	l := newLife(t)
	l.start(nil, "sh", "-c", `ulimit -n 64; exec "$0"`)
	l.ready()
	l.logged("event=few_descriptors")
	for range 100 {
		l.dial()
	}
	l.served("a")
	l.signal(syscall.SIGTERM)
	l.over(0)
	require.NotContains(t, l.log.String(), "too many open files")
}
