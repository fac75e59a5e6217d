package coordinator

import (
	"bytes"
	"errors"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// When the reader of the log's pipe exits, the process continues to serve and shuts down on SIGTERM; SIGPIPE or a write
// error must not end it.
func TestClosedLogReader(t *testing.T) {
	l := newChildProcess(t)
	rd, wr, err := os.Pipe()
	require.NoError(t, err)
	l.start(wr)
	wr.Close()
	l.ready()
	rd.Close()
	l.signal(syscall.SIGHUP) // the reload writes a log line
	time.Sleep(200 * time.Millisecond)
	l.served("a")
	l.signal(syscall.SIGTERM)
	l.waitForExit(0)
}

// A log pipe that nobody reads, and that is full from the start, delays neither the start nor reloads nor the shutdown.
func TestStalledLogReader(t *testing.T) {
	l := newChildProcess(t)
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
	l.signal(syscall.SIGHUP) // the failed reload writes a log line
	time.Sleep(100 * time.Millisecond)
	l.served("a")
	l.signal(syscall.SIGTERM)
	l.waitForExit(0)
}
