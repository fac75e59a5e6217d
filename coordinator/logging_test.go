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

// A log whose reader has gone ends nothing: the process serves on, and ends when it is told to.
func TestClosedLogReader(t *testing.T) {
	l := newChildProcess(t)
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
	l.waitForExit(0)
}

// A log that nobody reads delays neither the start, nor reloads, nor the shutdown.
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
	l.signal(syscall.SIGHUP) // a line on its failure
	time.Sleep(100 * time.Millisecond)
	l.served("a")
	l.signal(syscall.SIGTERM)
	l.waitForExit(0)
}
