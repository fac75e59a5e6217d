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
	"syscall"
	"testing"
	"time"

	fleet "chalkring/internal/clustertest"

	"github.com/stretchr/testify/require"

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

// holding sets all hosts to keep their parts, and tells of each.
func (l *life) holding() chan asked {
	held := make(chan asked, 1024)
	for _, h := range l.hosts {
		h.SetHandler(func(p asked) { held <- p })
	}
	return held
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
