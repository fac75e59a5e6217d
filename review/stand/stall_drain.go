package main

import (
	"bufio"
	"net"
	"syscall"
	"time"
)

const drainRounds = 6

// stallDrain: one of three co-ordinators has no open search as it stands still; meanwhile it is told that a leaf drains, and later gets
// two searches.
func stallDrain(rec *record, root string, trouble bool, seed int64) (int, error) {
	w, err := newWorld(rec, maePing(), root, seed, func(w *world, p *part) {
		time.Sleep(time.Duration(90+p.shard*3) * time.Millisecond)
		p.answer("good")
	})
	if err != nil {
		return notRun, err
	}
	defer w.close()
	target, total := w.coordinators[0], 0
	for i := range drainRounds {
		id := w.replicas[2*i].id
		var conns []net.Conn
		var readers []*bufio.Reader
		for range 2 {
			conn, err := net.Dial("tcp", target.addr)
			if err != nil {
				return notRun, err
			}
			defer conn.Close()
			src := bufio.NewReader(conn)
			r := w.drawOf("counter-check")
			if r.doOn(rec, conn, src, time.Second); r.status != 200 {
				rec.say("a search before the stall got status %d", r.status)
				return notRun, r.err
			}
			conns, readers = append(conns, conn), append(readers, src)
		}
		time.Sleep(500 * time.Millisecond)
		began := time.Now()
		if trouble {
			target.signal(syscall.SIGSTOP)
		}
		time.Sleep(10 * time.Millisecond)
		told := w.discovery.set("draining", id)
		time.Sleep(time.Until(began.Add(400 * time.Millisecond)))
		for j, conn := range conns {
			go w.drawOf("counter-check").doOn(rec, conn, readers[j], time.Second)
		}
		time.Sleep(time.Until(began.Add(stallLength)))
		if trouble {
			target.signal(syscall.SIGCONT)
		}
		time.Sleep(2 * time.Second)
		late := 0
		for _, p := range w.replica(id).received() {
			if after := p.at.Sub(told); after > w.site.drainGrace+slack {
				late++
				rec.say("DRAIN: part %s came to %s %.3f s after the list was written that says that it drains", p.id, id, after.Seconds())
			}
		}
		total += late
		w.discovery.set("up", id)
		time.Sleep(500 * time.Millisecond)
	}
	rec.say("%d drains, %d parts later than the grace", drainRounds, total)
	switch {
	case target.hasEnded():
		return notRun, nil
	case total > 0:
		return broken, nil
	}
	return held, nil
}
