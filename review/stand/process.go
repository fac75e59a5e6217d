package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"sync/atomic"
	"syscall"
	"time"
)

// coordinator is one process of the program, started with the deploy file's command.
type coordinator struct {
	name, addr string
	cmd        *exec.Cmd
	rec        *record
	ended      chan struct{}
	plan       map[string]any
	down       atomic.Bool // clients do not come to it
	killed     []time.Time // the times of SIGTERM of lives that SIGKILL ended; for the audit, after all restarts
}

// probe asks whether a process is ready, on a new connection each time.
var probe = http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: time.Second}

// freeAddr returns a loopback address that nobody listens on.
func freeAddr() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// runLine returns the deploy file's command that starts a coordinator.
func runLine(root string) (string, error) {
	text, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		return "", err
	}
	found := regexp.MustCompile(`(?m)^run = "(.*)"$`).FindSubmatch(text)
	if found == nil {
		return "", fmt.Errorf("the deploy file has no line run")
	}
	return string(found[1]), nil
}

// startCoordinator starts a process by the deploy file's command, with further arguments, and waits until it is ready.
func startCoordinator(rec *record, root, folder, name, arguments string, plan map[string]any) (*coordinator, error) {
	line, err := runLine(root)
	if err != nil {
		return nil, err
	}
	addr, _ := plan["listen"].(string) // it has one already after a restart
	if addr == "" {
		if addr, err = freeAddr(); err != nil {
			return nil, err
		}
	}
	plan["name"], plan["listen"] = name, addr
	text, err := json.MarshalIndent(plan, "", " ")
	if err != nil {
		return nil, err
	}
	path := filepath.Join(folder, name+".json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(folder, name+".log"))
	if err != nil {
		return nil, err
	}
	c := &coordinator{name: name, addr: addr, rec: rec, plan: plan, ended: make(chan struct{})}
	c.cmd = exec.Command("/bin/sh", "-c", line+arguments)
	c.cmd.Dir, c.cmd.Stdout, c.cmd.Stderr = root, log, log
	c.cmd.Env = append(os.Environ(), "GW_CONFIG="+path)
	c.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if err := c.cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		c.cmd.Wait()
		close(c.ended)
	}()
	rec.note("started coordinator %s at %s, process %d", name, addr, c.cmd.Process.Pid)
	for limit := time.Now().Add(15 * time.Second); time.Now().Before(limit); time.Sleep(20 * time.Millisecond) {
		if response, err := probe.Get("http://" + addr + "/healthz"); err == nil {
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return c, nil
			}
		}
	}
	c.kill()
	return nil, fmt.Errorf("coordinator %s was not ready in 15 s", name)
}

// restart ends the process by SIGTERM, by SIGKILL if it runs 3.7 s later, and starts it again with the plan that it had. New connections
// come for 0.3 s after SIGTERM.
func (c *coordinator) restart(root, folder string) error {
	told := time.Now()
	c.signal(syscall.SIGTERM)
	time.Sleep(300 * time.Millisecond)
	c.down.Store(true)
	defer c.down.Store(false)
	select {
	case <-c.ended:
	case <-time.After(3400 * time.Millisecond):
		c.rec.note("coordinator %s is killed", c.name)
		c.kill()
		c.killed = append(c.killed, told)
	}
	again, err := startCoordinator(c.rec, root, folder, c.name, "", c.plan)
	if err == nil {
		c.cmd, c.ended = again.cmd, again.ended
	}
	return err
}

// signal sends a signal to the process.
func (c *coordinator) signal(s syscall.Signal) {
	c.rec.note("coordinator %s gets %v", c.name, s)
	c.cmd.Process.Signal(s)
}

// hasEnded tells whether the process has ended.
func (c *coordinator) hasEnded() bool {
	select {
	case <-c.ended:
		return true
	default:
		return false
	}
}

// kill ends the process.
func (c *coordinator) kill() {
	c.cmd.Process.Kill()
	<-c.ended
}
