package clustertest

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	outMost  = 1 << 20                    // bytes of an instance's output that are kept, the newest
	upWithin = 15 * time.Second           // for a start on a machine that is busy
	upEach   = 10 * time.Millisecond      // between looks at /healthz meanwhile
	endMost  = 10 * time.Second           // from SIGTERM to the end: open searches and some more
	lifeMark = "-- launched by the rig\n" // in an instance's output, before each life
	folder   = "chalkring-rig-"           // of built programs, with the process id of the one that built them
)

var built struct {
	sync.Mutex
	paths map[string]string
}

// BuildProgram builds cmd/chalkring with the given flags of go build (none, or such as -ldflags=-X=...), once in the life of
// this process for each set of flags, and returns its path. Folders that earlier processes left are taken away.
func BuildProgram(ctx context.Context, flags ...string) (string, error) {
	built.Lock()
	defer built.Unlock()
	key := strings.Join(flags, "\x00")
	if path, ok := built.paths[key]; ok {
		return path, nil
	}
	if built.paths == nil {
		built.paths = map[string]string{}
		old, _ := filepath.Glob(filepath.Join(os.TempDir(), folder+"*"))
		for _, dir := range old {
			pid, err := strconv.Atoi(strings.TrimPrefix(filepath.Base(dir), folder))
			if err == nil && syscall.Kill(pid, 0) == syscall.ESRCH {
				os.RemoveAll(dir)
			}
		}
	}
	dir := filepath.Join(os.TempDir(), folder+strconv.Itoa(os.Getpid()))
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return "", err
	}
	path := filepath.Join(dir, fmt.Sprintf("chalkring-%d", len(built.paths)))
	cmd := exec.CommandContext(ctx, "go", append(append([]string{"build", "-o", path}, flags...), "chalkring/cmd/chalkring")...)
	if out, err := cmd.CombinedOutput(); err != nil {
		return "", fmt.Errorf("build: %w\n%s", err, out)
	}
	built.paths[key] = path
	return path, nil
}

// RemoveBuilds takes away what Program built; for TestMain and the end of a measurement.
func RemoveBuilds() {
	built.Lock()
	defer built.Unlock()
	built.paths = nil
	os.RemoveAll(filepath.Join(os.TempDir(), folder+strconv.Itoa(os.Getpid())))
}

// output keeps the newest bytes of what a process writes.
type output struct {
	mu   sync.Mutex
	text []byte
	more chan struct{}
}

func (o *output) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.text = append(o.text, p...)
	if len(o.text) > outMost {
		o.text = append([]byte(nil), o.text[len(o.text)-outMost/2:]...)
	}
	close(o.more)
	o.more = make(chan struct{})
	return len(p), nil
}

func (o *output) seen() (string, chan struct{}) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return string(o.text), o.more
}

// process is one life of an instance.
type process struct {
	cmd   *exec.Cmd
	ended chan struct{} // closed once it is reaped
	err   error         // how, after that
	mu    sync.Mutex
	gone  bool // reaped: its id may be another's
}

// launch starts a program in a process group of its own, which ends with this process whatever happens to it.
func launch(path string, args, env []string, dir string, out *output) (*process, error) {
	p := &process{cmd: exec.Command(path, args...), ended: make(chan struct{})}
	p.cmd.Env, p.cmd.Dir, p.cmd.Stdout, p.cmd.Stderr = append(os.Environ(), env...), dir, out, out
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	p.cmd.WaitDelay = time.Second // for output of a child that outlives it
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		pid := p.cmd.Process.Pid
		for unix.Waitid(unix.P_PID, pid, nil, unix.WEXITED|unix.WNOWAIT, nil) == unix.EINTR {
		}
		p.mu.Lock()
		syscall.Kill(-pid, syscall.SIGKILL) // what it started ends with it; the id is still its own
		p.gone, p.err = true, p.cmd.Wait()
		p.mu.Unlock()
		close(p.ended)
	}()
	return p, nil
}

// signal reaches the process itself, or its group.
func (p *process) signal(s syscall.Signal, group bool) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.gone {
		return os.ErrProcessDone
	}
	pid := p.cmd.Process.Pid
	if group {
		pid = -pid
	}
	return syscall.Kill(pid, s)
}

func (p *process) wait(ctx context.Context, most time.Duration) error {
	t := time.NewTimer(most)
	defer t.Stop()
	select {
	case <-p.ended:
		return nil
	case <-t.C:
		return fmt.Errorf("process %d does not end within %v", p.cmd.Process.Pid, most)
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (p *process) over() bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}
