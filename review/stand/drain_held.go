package main

import (
	"os"
	"time"
)

// drainHeld: co-ordinators with a store are told that a quarter of the profile hosts drain, both holders of one set among them. Without
// the trouble one host drains.
func drainHeld(rec *record, root string, trouble bool, seed int64) (int, error) {
	s := ebene()
	s.wholeFirst = true
	if os.Getenv("STORE") != "0" {
		s.installation = "store: kept-%[1]d.db\n"
	}
	w, err := newWorld(rec, s, root, seed, func(w *world, p *part) {
		time.Sleep(time.Duration(100+p.shard*3) * time.Millisecond)
		p.answer("good")
	})
	if err != nil {
		return notRun, err
	}
	defer w.close()
	stop := make(chan struct{})
	for _, c := range w.coordinators {
		go w.load(c, 5, 2*time.Second, stop)
	}
	time.Sleep(8 * time.Second)
	draining := []string{"s-02a"}
	if trouble {
		draining = []string{"s-00a", "s-00b", "s-02a"}
	}
	told := w.discovery.set("draining", draining...)
	time.Sleep(25 * time.Second)
	close(stop)
	w.clients.Wait()
	total := 0
	for _, id := range draining {
		late := 0
		for _, p := range w.replica(id).received() {
			if after := p.at.Sub(told); after > s.drainGrace+slack {
				if late++; late <= 3 {
					rec.say("DRAIN: part %s came to %s %.3f s after the list was written that says that it drains", p.id, id, after.Seconds())
				}
			}
		}
		rec.say("%s: %d parts in all, %d later than the grace", id, len(w.replica(id).received()), late)
		total += late
	}
	for _, c := range w.coordinators {
		if c.hasEnded() {
			return notRun, nil
		}
	}
	w.noteLogs("list_held")
	if total > 0 {
		return broken, nil
	}
	return held, nil
}
