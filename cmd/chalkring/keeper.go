package main

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"os/exec"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"

	"chalkring/internal/advice"
)

// Where an installation takes part in changes in stages, its process is a keeper: it holds the listening socket and has
// one child, the program that serves. A change is a new child on the same socket, so that clients are never refused; the
// old one lets go of store and network, answers what it holds beside the new, and ends. A
// child that ends, hangs or does not serve in time is followed by the one before it. The keeper decides nothing else,
// reads no settings and has no other state: killed, it takes its child with it, and the store tells the next one.

const (
	keptEnv     = "CHALKRING_KEPT"       // in a child's environment: the program's path as the keeper started it
	fellEnv     = "CHALKRING_FELL"       // why the one before it fell
	ownEnv      = "CHALKRING_OWN"        // the installed program
	listenerFd  = 3                      // in a child
	keeperFd    = 4                      // to the keeper, lines of said
	crashWait   = 100 * time.Millisecond // before a child that crashed is followed, doubled up to
	crashMost   = 5 * time.Second
	crashSound  = time.Minute      // after which a child counts as sound again
	finishMost  = 30 * time.Second // for a child to answer what it holds: a stop takes 21 s at the most
	lastWords   = time.Second      // for what a child said last
	versionMost = 5 * time.Second  // for a program to tell its version
	sayMost     = 1 << 16          // bytes of a line to the keeper
)

// said is what a child tells its keeper.
type said struct {
	Serving bool  `json:"serving,omitempty"`
	Next    *next `json:"next,omitempty"`
}

// next is what is to follow a child once it has ended.
type next struct {
	Program string        `json:"program"`
	Ready   time.Duration `json:"ready"` // in which the next has to serve
	After   bool          `json:"after"` // once this one has ended; it holds what the next needs
}

// DidNotServe is a child that was to take a change and fell.
type DidNotServe struct {
	Program string
	Why     string
}

func (e *DidNotServe) Error() string { return fmt.Sprintf("%s: %s", e.Program, e.Why) }

// Advice tells an operator what to do.
func (e *DidNotServe) Advice() string {
	return "Read what it logged before it ended; the program before it serves again."
}

type keeper struct {
	log     *slog.Logger
	socket  *os.File
	own     string // the installed program
	good    string // that served last
	program string // that runs
	fell    string
	old     sync.WaitGroup // children that finish what they hold beside the one that serves
}

// keepUp serves by children until ctx ends and they have finished.
func keepUp(ctx context.Context, address string, hangUps chan os.Signal, log *slog.Logger) error {
	runtime.LockOSThread() // a child ends with the thread that started it
	defer runtime.UnlockOSThread()
	own, err := os.Executable()
	if err != nil {
		return err
	}
	ln, err := listen(ctx, address, log)
	if err != nil {
		return err
	}
	defer ln.Close()
	socket, err := ln.(*net.TCPListener).File()
	if err != nil {
		return err
	}
	defer socket.Close()
	k := &keeper{log: log, socket: socket, own: own, good: own, program: own}
	defer k.old.Wait()
	wait, served, trying := crashWait, false, time.Duration(0)
	for {
		began := time.Now()
		end := k.child(ctx, hangUps, trying)
		served = served || end.served
		switch {
		case ctx.Err() != nil:
			return end.err
		case end.next != nil && (end.served || trying == 0):
			trying, k.fell = end.next.Ready, ""
			if end.served {
				k.good = k.program
			}
			k.program = end.next.Program
		case trying > 0 && !end.served:
			why := &DidNotServe{k.program, end.why()}
			log.Error("rollout_fell", advice.LogAttrs(why, "program", k.good)...)
			k.program, k.fell, trying = k.good, end.why(), 0
		case !served: // a start that fails is told as ever
			return end.err
		default:
			if time.Since(began) > crashSound {
				wait = crashWait
			}
			log.Error("rollout_crashed", "program", k.program, "error", end.why(), "wait", wait)
			select {
			case <-time.After(wait):
			case <-ctx.Done():
				return end.err
			}
			wait, trying, k.fell = min(2*wait, crashMost), 0, ""
		}
	}
}

// ended is how a child's life went, or its serving.
type ended struct {
	served bool
	late   bool // it was killed: not serving in time
	next   *next
	err    error
}

func (e ended) why() string {
	switch {
	case e.late:
		return "did not serve in time"
	case e.err == nil:
		return "ended"
	}
	return e.err.Error()
}

// child runs one child until another may take its place; trying is the time in which it has to serve, 0 for no limit.
func (k *keeper) child(ctx context.Context, hangUps chan os.Signal, trying time.Duration) (e ended) {
	from, to, err := os.Pipe()
	if err != nil {
		return ended{err: err}
	}
	cmd := exec.Command(k.program, os.Args[1:]...)
	cmd.Stdin, cmd.Stdout, cmd.Stderr, cmd.ExtraFiles = os.Stdin, os.Stdout, os.Stderr, []*os.File{k.socket, to}
	cmd.Env = append(os.Environ(), keptEnv+"="+k.program, fellEnv+"="+k.fell, ownEnv+"="+k.own)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	err = cmd.Start()
	to.Close()
	if err != nil {
		from.Close()
		return ended{err: err}
	}
	words, over, gone := make(chan said), make(chan error, 1), make(chan struct{})
	defer close(gone)
	go func() {
		defer from.Close()
		defer close(words)
		lines := bufio.NewScanner(from)
		lines.Buffer(nil, sayMost)
		for lines.Scan() {
			var s said
			if json.Unmarshal(lines.Bytes(), &s) != nil {
				continue
			}
			select {
			case words <- s:
			case <-gone:
				return
			}
		}
	}()
	go func() { over <- cmd.Wait() }()
	var limit <-chan time.Time
	if trying > 0 {
		limit = time.After(trying)
	}
	done := ctx.Done()
	for {
		select {
		case s, ok := <-words:
			switch {
			case !ok:
				words = nil
			case s.Next != nil && !s.Next.After:
				e.next = s.Next
				k.old.Go(func() { k.finish(cmd, over) })
				return e
			case s.Next != nil:
				e.next, limit = s.Next, time.After(finishMost)
			case s.Serving:
				e.served, limit = true, nil
			}
		case <-limit: // guards against a child that hangs
			e.late = true
			cmd.Process.Kill()
		case s := <-hangUps:
			cmd.Process.Signal(s)
		case <-done:
			done = nil
			cmd.Process.Signal(syscall.SIGTERM)
		case e.err = <-over:
			for last := time.After(lastWords); words != nil; {
				select {
				case s, ok := <-words:
					if !ok {
						words = nil
					} else if s.Next != nil {
						e.next = s.Next
					}
				case <-last: // something that it started has its end of the pipe
					words = nil
				}
			}
			var code *exec.ExitError
			if ctx.Err() != nil && errors.As(e.err, &code) && code.ExitCode() > 0 {
				e.err = exitCodeError(code.ExitCode())
			}
			return e
		}
	}
}

// finish waits for a child that answers what it holds, and no more is given.
func (k *keeper) finish(cmd *exec.Cmd, over chan error) {
	select {
	case <-over:
	case <-time.After(finishMost): // guards against one that hangs
		k.log.Error("rollout_unfinished", "program", cmd.Path)
		cmd.Process.Kill()
		<-over
	}
}

// kept tells whether this process has a keeper.
func kept() bool { return os.Getenv(keptEnv) != "" }

// toKeeper is the way to it, and the socket that it handed over.
func toKeeper() (*os.File, net.Listener, error) {
	for _, fd := range []int{listenerFd, keeperFd} {
		syscall.CloseOnExec(fd)
	}
	socket := os.NewFile(listenerFd, "listener")
	defer socket.Close()
	ln, err := net.FileListener(socket)
	if err != nil {
		return nil, nil, err
	}
	return os.NewFile(keeperFd, "keeper"), ln, nil
}

func tellKeeper(to *os.File, s said) error {
	text, err := json.Marshal(s)
	if err != nil {
		return err
	}
	_, err = to.Write(append(text, '\n'))
	return err
}

// versionOf asks a program what it is.
func versionOf(ctx context.Context, path string) (string, error) {
	ctx, stop := context.WithTimeout(ctx, versionMost)
	defer stop()
	text, err := exec.CommandContext(ctx, path, "version").Output()
	return strings.TrimSpace(string(text)), err
}
