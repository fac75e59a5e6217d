package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	fleetSize     = 20                      // instances beside the one that is watched and the one that is away
	restartRound  = 2600 * time.Millisecond // in which each of them is killed and started again
	restartRounds = 28
	spinTime      = 20 * time.Second // for which a thread may neither wait nor end
)

// processorTime returns the processor time that the process has used.
func (p *process) processorTime() time.Duration {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(text), ") ")
	fields, ticks := strings.Fields(rest), 0
	for _, field := range fields[11:13] { // user and system time, in hundredths of a second
		n, _ := strconv.Atoi(field)
		ticks += n
	}
	return time.Duration(ticks) * 10 * time.Millisecond
}

// awayMember: a fleet with one listed instance that is away. The others are killed and started again, round after
// round. The one that is left has no client and no search.
func awayMember(r *run) verdict {
	d := newDiscovery(r, 1, nil)
	r.writeFile("subscribers.yaml", "region: eu\ngeneration: 1\ncount: 1\nsubscriptions:\n  - {tenant: acme, id: a, type: lookup, query: x, every: 60s}\n")
	var names, gossip []string
	for i := range fleetSize + 1 {
		names = append(names, fmt.Sprintf("coordinator-%02d.searches.second-spring-match.ebene-dc1.first-hall.of-the-indian-ocean-region.inter", i))
		gossip = append(gossip, freePort())
	}
	prepare := func(i int) (start func() *process, listen string) {
		s := defaultSite(fmt.Sprintf("n%02d", i))
		s.discovery, s.known, s.tenant = d.addr, d.known(), "acme"
		s.classes = []class{{name: "lookup", aim: 1500, deadline: 3000, effect: "retryable", need: 1, floor: 1, lateShare: 0.3}}
		more := ""
		if i == 0 {
			more = "  subscribers: subscribers.yaml\n"
		}
		installation := r.writeFile(s.name+".yaml", fmt.Sprintf("fleet:\n  cluster: review\n  name: %s\n  region: eu\n  zone: dc1\n  listen: %s\n"+
			"  join: [%s]\n  listed: [%s, coordinator-away]\n%s", names[i], gossip[i], gossip[0], strings.Join(names, ", "), more))
		plan := r.writeFile(s.name+".json", s.plan())
		return func() *process { return r.start(s.name, "serve --installation "+installation, plan) }, s.listen
	}
	start, listen := prepare(0)
	watched := start()
	r.awaitListening(watched, listen)
	var restarts atomic.Int64
	var others sync.WaitGroup
	last := make([]*process, fleetSize+1)
	began := time.Now()
	for i := 1; i <= fleetSize; i++ {
		startOther, _ := prepare(i)
		isRestarted := r.trouble
		others.Go(func() {
			time.Sleep(restartRound * time.Duration(i) / fleetSize)
			p := startOther()
			for round := 1; isRestarted && round <= restartRounds; round++ {
				time.Sleep(time.Until(began.Add(restartRound*time.Duration(round) + restartRound*time.Duration(i)/fleetSize)))
				p.signal(syscall.SIGKILL)
				<-p.exited
				restarts.Add(1)
				p = startOther()
			}
			last[i] = p
		})
	}
	others.Wait()
	time.Sleep(time.Until(began.Add(restartRound * (restartRounds + 1))))
	for _, p := range last[1:] {
		p.kill()
	}
	time.Sleep(time.Second)
	r.record("case", "%d restarts; the others are stopped, and nothing is done for %s", restarts.Load(), spinTime)
	if watched.hasEnded() {
		giveUp("the process that is watched has ended: %v; its log: %s", watched.err, watched.lastLog())
	}
	before := watched.processorTime()
	time.Sleep(spinTime)
	used := watched.processorTime() - before
	r.record("n00", "used %s of processor time in %s", used, spinTime)
	watched.signal(syscall.SIGTERM)
	r.record("n00", "SIGTERM")
	hasEnded := false
	select {
	case <-watched.exited:
		hasEnded = true
	case <-time.After(8 * time.Second):
	}
	r.record("n00", "has ended 8 s after SIGTERM: %t", hasEnded)
	return verdict{used > spinTime*9/10 && !hasEnded, fmt.Sprintf("%d restarts; the process that is left used %s of processor time in %s without any work, and had ended 8 s after SIGTERM: %t",
		restarts.Load(), used, spinTime, hasEnded)}
}
