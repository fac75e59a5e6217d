package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// run is one run of a case: its record, its temporary folder and the processes that it has started.
type run struct {
	trouble bool
	began   time.Time
	dir     string

	mu        sync.Mutex
	file      *os.File
	out       *bufio.Writer
	processes []*process
	closed    bool
}

func newRun(recordPath string, trouble bool) (*run, error) {
	file, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	r := &run{trouble: trouble, began: time.Now(), dir: dir, file: file, out: bufio.NewWriter(file)}
	r.record("case", "begins, trouble %t", trouble)
	return r, nil
}

// record writes a line of what was sent, answered or run.
func (r *run) record(who, format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return
	}
	fmt.Fprintf(r.out, "%9.4f %-12s %s\n", time.Since(r.began).Seconds(), who, fmt.Sprintf(format, values...))
}

// close ends all processes and removes the temporary folder.
func (r *run) close() {
	for _, p := range r.processes {
		p.kill()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	r.out.Flush()
	r.file.Close()
	os.RemoveAll(r.dir)
}

func (r *run) writeFile(name, text string) (path string) {
	path = filepath.Join(r.dir, name)
	if err := os.WriteFile(path+".new", []byte(text), 0o644); err != nil {
		giveUp("%v", err)
	}
	if err := os.Rename(path+".new", path); err != nil {
		giveUp("%v", err)
	}
	return path
}

// freePort returns a free port of loopback.
func freePort() string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		giveUp("%v", err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

// process is a process of the project's program.
type process struct {
	name   string
	cmd    *exec.Cmd
	exited chan struct{}
	err    error
	log    string
}

// runLine returns the deploy file's command of a real co-ordinator.
func runLine() string {
	text, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		giveUp("%v", err)
	}
	for _, line := range strings.Split(string(text), "\n") {
		if rest, ok := strings.CutPrefix(line, `run = "`); ok {
			command, _, _ := strings.Cut(rest, `"`)
			return command
		}
	}
	giveUp("the deploy file has no run line")
	return ""
}

// start starts a co-ordinator by the deploy file's command, with further arguments, and a plan.
func (r *run) start(name, arguments, planPath string) *process {
	logPath := filepath.Join(r.dir, name+".log")
	logFile, err := os.OpenFile(logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		giveUp("%v", err)
	}
	defer logFile.Close()
	line := strings.TrimSpace(runLine() + " " + arguments)
	cmd := exec.Command("/bin/sh", "-c", line)
	cmd.Stdout, cmd.Stderr = logFile, logFile
	for _, variable := range os.Environ() {
		if !strings.HasPrefix(variable, "GW_") {
			cmd.Env = append(cmd.Env, variable)
		}
	}
	cmd.Env = append(cmd.Env, "GW_CONFIG="+planPath)
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		giveUp("%v", err)
	}
	p := &process{name: name, cmd: cmd, exited: make(chan struct{}), log: logPath}
	go func() {
		p.err = cmd.Wait()
		close(p.exited)
	}()
	r.mu.Lock()
	r.processes = append(r.processes, p)
	r.mu.Unlock()
	r.record(name, "started: %s (process %d)", strings.ReplaceAll(line, r.dir, "DIR"), cmd.Process.Pid)
	return p
}

// signal sends a signal to the process, and to the children that it has started itself.
func (p *process) signal(s syscall.Signal) { _ = syscall.Kill(-p.cmd.Process.Pid, s) }

func (p *process) kill() {
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	<-p.exited
}

func (p *process) hasEnded() bool {
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

// awaitReady waits until the health check of a co-ordinator answers 200.
func (r *run) awaitReady(p *process, addr string) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for until := time.Now().Add(30 * time.Second); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		if p.hasEnded() {
			break
		}
		response, err := client.Get("http://" + addr + "/healthz")
		if err != nil {
			continue
		}
		response.Body.Close()
		if response.StatusCode == http.StatusOK {
			r.record(p.name, "ready")
			return
		}
	}
	giveUp("%s is not ready; its log: %s", p.name, p.lastLog())
}

func (p *process) lastLog() string {
	text, _ := os.ReadFile(p.log)
	if len(text) > 2000 {
		text = text[len(text)-2000:]
	}
	return string(text)
}

// anonymousBytes returns the process's anonymous resident memory, 0 once it has ended.
func (p *process) anonymousBytes() int64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(text), "\n") {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, _ := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(rest), " kB"), 10, 64)
			return kb << 10
		}
	}
	return 0
}

// awaitListening waits until a co-ordinator's health check answers at all; without replicas it is 503.
func (r *run) awaitListening(p *process, addr string) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for until := time.Now().Add(30 * time.Second); time.Now().Before(until) && !p.hasEnded(); time.Sleep(20 * time.Millisecond) {
		if response, err := client.Get("http://" + addr + "/healthz"); err == nil {
			response.Body.Close()
			r.record(p.name, "listens")
			return
		}
	}
	giveUp("%s does not listen; its log: %s", p.name, p.lastLog())
}
