package coordinator

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	fleet "chalkring/internal/clustertest"

	"github.com/stretchr/testify/require"

	"chalkring/internal/fake"
	"chalkring/internal/http1"
)

const exitTimeout = 10 * time.Second // for a process without clients, which needs under 2 s

// childProcess runs the program as a process with four fake hosts on loopback and its plan in a file.
type childProcess struct {
	t         *testing.T
	hosts     []*fake.Host
	endpoints []fake.Endpoint // of the hosts, as discovery lists them at the start
	discovery *fake.DiscoveryServer
	plan      map[string]any
	file      string
	addr      string
	cmd       *exec.Cmd
	log       *logBuffer // its output, unless start was given another file
	ended     chan error
}

// write writes the plan to its file.
func (l *childProcess) write() {
	text, err := json.Marshal(l.plan)
	require.NoError(l.t, err)
	require.NoError(l.t, os.WriteFile(l.file, text, 0o600))
}

func (l *childProcess) setLimit(name string, value float64) {
	l.plan["limits"].(map[string]any)[name] = value
}

// start starts the process. Its output goes to out, or to l.log if out is nil. If before is not empty, it is a command that
// gets the program's path as its last argument.
func (l *childProcess) start(out *os.File, before ...string) {
	ctx, cancel := context.WithTimeout(context.Background(), 6*testTimeout) // the program is built first
	defer cancel()
	path, err := fleet.BuildProgram(ctx)
	require.NoError(l.t, err)
	args := append(before, path)
	l.cmd, l.log, l.ended = exec.Command(args[0], args[1:]...), &logBuffer{}, make(chan error, 1)
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

func (l *childProcess) signal(s syscall.Signal) { require.NoError(l.t, l.cmd.Process.Signal(s)) }

func (l *childProcess) eventually(why string, ok func() bool) {
	require.Eventually(l.t, ok, testTimeout, 5*time.Millisecond, "%s\n%s", why, l.log)
}

func (l *childProcess) logged(text string) {
	l.eventually("log line "+text, func() bool { return strings.Contains(l.log.String(), text) })
}

// ready waits until the process answers health checks with status 200.
func (l *childProcess) ready() {
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

// waitForExit waits until the process ends and checks its exit code.
func (l *childProcess) waitForExit(code int) {
	select {
	case err := <-l.ended:
		var failed *exec.ExitError
		if code == 0 {
			require.NoError(l.t, err, "%s", l.log)
		} else {
			require.ErrorAs(l.t, err, &failed, "%s", l.log)
			require.Equal(l.t, code, failed.ExitCode(), "%s", l.log)
		}
	case <-time.After(exitTimeout):
		require.Fail(l.t, "process does not end", "%s", l.log)
	}
}

func (l *childProcess) dial() (net.Conn, *http1.Reader) {
	conn, err := net.Dial("tcp", l.addr)
	require.NoError(l.t, err)
	l.t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(testTimeout))
	return conn, http1.NewReader(conn, make([]byte, 16<<10))
}

// served sends a search on a new connection and checks that its answer is complete.
func (l *childProcess) served(searchName string) {
	conn, rd := l.dial()
	defer conn.Close()
	_, err := conn.Write([]byte(request(searchName, "all", "", fourParts)))
	require.NoError(l.t, err)
	status, _, body, _, err := rd.ReadResponse()
	require.NoError(l.t, err, "%s", l.log)
	require.Equal(l.t, 200, status)
	require.JSONEq(l.t, completeAnswer, string(body))
}

// holdAttempts makes all hosts leave shard requests unanswered, and returns a channel on which these are sent.
func (l *childProcess) holdAttempts() chan receivedRequest {
	held := make(chan receivedRequest, 1024)
	for _, h := range l.hosts {
		h.SetHandler(func(p receivedRequest) { held <- p })
	}
	return held
}

// freeAddress returns an address on loopback where nothing listens, with an IP address of its own: no other listener and no
// connection can take its port before the process listens there.
func freeAddress(t *testing.T) string {
	id, n := os.Getpid(), childProcessCount.Add(1)
	free, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 64+id>>8%64, id%256, 1+n%254))
	require.NoError(t, err)
	defer free.Close()
	return free.Addr().String()
}

var childProcessCount atomic.Int64 // of this test binary

// newChildProcess prepares a process without starting it.
func newChildProcess(t *testing.T) *childProcess {
	l := &childProcess{t: t, file: filepath.Join(t.TempDir(), "plan.json")}
	for _, hostID := range []string{"a0", "a1", "b0", "b1"} {
		h, err := fake.NewHost(hostID, int(hostID[0]-'a'), true, receivedRequest.ReplyGood)
		require.NoError(t, err)
		t.Cleanup(h.Close)
		l.hosts = append(l.hosts, h)
		l.endpoints = append(l.endpoints, fake.Endpoint{ID: hostID, Addr: h.Listener.Addr().String(), Zone: "z one", Kind: "small", Cell: h.Cell, State: "up"})
	}
	d, err := fake.NewDiscoveryServer(l.endpoints)
	require.NoError(t, err)
	t.Cleanup(d.Close)
	l.discovery = d
	l.addr = freeAddress(t)
	text := fmt.Sprintf(`{"name":"n","listen":%q,"discovery":%q,"seed":"8c1f30d27a5be964",
		"limits":{"cores":1.0,"memory_mb":192,"sockets":256},"known":%s,"settings":%s}`, l.addr, d.Listener.Addr(), d.KnownEndpoints(), testSettings)
	require.NoError(t, json.Unmarshal([]byte(text), &l.plan))
	l.write()
	return l
}
