package main

import (
	"syscall"
	"time"
)

const (
	leaveRounds  = 60
	leaveClients = 12
)

// stallLeave is no case, but shows the entry of KNOWN-RED.txt: a co-ordinator is stopped within 1.5 ms after twelve clients have sent a
// search each, and the clients leave before it goes on. It counts the attempts that come to leaves after that.
func stallLeave(rec *record, root string, trouble bool, seed int64) (int, error) {
	w, err := newWorld(rec, maePing(), root, seed, func(w *world, p *part) {
		time.Sleep(time.Duration(90+p.shard*3) * time.Millisecond)
		p.answer("good")
	})
	if err != nil {
		return notRun, err
	}
	defer w.close()
	received := func() (n int) {
		for _, r := range w.replicas {
			n += len(r.received())
		}
		return n
	}
	target, stops, total := w.coordinators[0], 0, 0
	for range leaveRounds {
		for range leaveClients {
			r := w.drawOf("counter-check")
			r.leaveAfter = 60 * time.Millisecond
			w.send(r, target, time.Second)
		}
		w.mu.Lock()
		wait := time.Duration(1500*w.random.Float64()) * time.Microsecond
		w.mu.Unlock()
		time.Sleep(wait)
		if trouble {
			target.signal(syscall.SIGSTOP)
		}
		time.Sleep(450 * time.Millisecond)
		before := received()
		if trouble {
			target.signal(syscall.SIGCONT)
		}
		time.Sleep(800 * time.Millisecond)
		if n := received() - before; n > 0 {
			stops++
			total += n
		}
	}
	rec.say("%d stops; after %d of them %d attempts came, 0.38 s or more after their clients had left", leaveRounds, stops, total)
	if total > 0 {
		return broken, nil
	}
	return held, nil
}
