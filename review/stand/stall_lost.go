package main

import (
	"os"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	stallLength = 900 * time.Millisecond  // mae-ping-esign: 310 to 910 ms
	stallPeriod = 4300 * time.Millisecond // every 3.1 to 4.4 s
	stallRounds = 4                       // 17 s of 16 to 28 s
	lateAnswer  = 500 * time.Millisecond  // up to this long after its time an answer only earns nothing
)

// stallLost: one of three co-ordinators stands still now and then, while two of twelve leaves take parts and answer none.
func stallLost(rec *record, root string, trouble bool, seed int64) (int, error) {
	var hanging atomic.Bool
	w, err := newWorld(rec, maePing(), root, seed, func(w *world, p *part) {
		if hanging.Load() && (p.replica.id == "s-00a" || p.replica.id == "s-03b") {
			return
		}
		time.Sleep(time.Duration(90+p.shard*3) * time.Millisecond)
		p.answer("good")
	})
	if err != nil {
		return notRun, err
	}
	defer w.close()
	stop := make(chan struct{})
	for _, c := range w.coordinators {
		go w.load(c, 4, 2*time.Second, stop)
	}
	time.Sleep(3 * time.Second)
	target := w.coordinators[0]
	type span struct{ from, to time.Time }
	var stalls []span
	stalling, hangs := trouble && os.Getenv("PART") != "hang", trouble && os.Getenv("PART") != "stall" // PART plays one of the two alone
	if hangs {
		rec.note("leaves s-00a and s-03b begin to take parts and answer none")
		hanging.Store(true)
	}
	for range stallRounds {
		began := time.Now()
		if stalling {
			target.signal(syscall.SIGSTOP)
		}
		for range 5 {
			time.Sleep(15 * time.Millisecond)
			r := w.drawOf("signing-trail")
			r.deadline = r.deadline*4/5 - 80*time.Millisecond // 60 to 78% of the client timeout: it is over before the next stall
			r.deadline = max(r.deadline, 2400*time.Millisecond)
			w.send(r, target, 2*time.Second)
		}
		time.Sleep(time.Until(began.Add(stallLength)))
		if stalling {
			target.signal(syscall.SIGCONT)
			stalls = append(stalls, span{began, time.Now()})
		}
		time.Sleep(time.Until(began.Add(stallPeriod)))
	}
	rec.note("the leaves answer again")
	hanging.Store(false)
	close(stop)
	w.clients.Wait()
	lost, excused := 0, 0
	for _, r := range w.requests {
		if r.sent.IsZero() {
			return notRun, r.err
		}
		until := r.sent.Add(r.deadline)
		by := until.Add(lateAnswer + slack)
		if !r.answered.IsZero() && !r.answered.After(by) {
			continue
		}
		isExcused := false
		for _, s := range stalls { // it stood still as the answer was due
			isExcused = isExcused || s.from.Before(by) && s.to.After(until)
		}
		if isExcused {
			excused++
			continue
		}
		lost++
		rec.say("LOST: search %s, sent at %.3f for %.3f s, had its final answer (status %d) %.3f s after its time", r.id, rec.at(r.sent), r.deadline.Seconds(),
			r.status, r.answered.Sub(until).Seconds())
	}
	longer := 0
	for _, r := range w.replicas {
		for _, p := range r.received() {
			if q := w.byID[p.search]; q != nil && p.wait > q.sent.Add(q.deadline).Sub(p.at)+slack {
				longer++
			}
		}
	}
	rec.say("%d parts told their leaf a longer time than their client had left, by over %v", longer, slack)
	rec.say("%d searches, %d lost, %d more whose time was over while their co-ordinator stood still", len(w.requests), lost, excused)
	if target.hasEnded() {
		return notRun, nil
	}
	if lost > 0 {
		return broken, nil
	}
	return held, nil
}
