package main

import (
	"fmt"
	"math/rand"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// mode is how a replica behaves now.
type mode struct {
	name  string
	share float64
}

// playRandom plays random troubles at a site and checks all rules. SITE names the site, MODES the kinds, RATE the searches a second of
// each co-ordinator.
func playRandom(rec *record, root string, trouble bool, seed int64) (int, error) {
	sites := map[string]func() *site{
		"mae": maePing, "periyar": periyar, "muscat": muscat, "kolkata": kolkata, "laurentides": laurentides,
		"brink": brink, "ebene": ebene,
	}
	if sites[os.Getenv("SITE")] == nil {
		return notRun, fmt.Errorf("SITE %q is unknown", os.Getenv("SITE"))
	}
	s := sites[os.Getenv("SITE")]()
	random := rand.New(rand.NewSource(seed))
	var mu sync.Mutex
	modes, drained := map[string]mode{}, map[string]bool{}
	float := func() float64 {
		mu.Lock()
		defer mu.Unlock()
		return random.Float64()
	}
	w, err := newWorld(rec, s, root, seed, func(w *world, p *part) {
		mu.Lock()
		m := modes[p.replica.id]
		mu.Unlock()
		delay := time.Duration((60 + 100*float()) * float64(time.Millisecond))
		hit := float() < m.share
		switch {
		case !hit || m.name == "":
			time.Sleep(delay)
			p.answer("good")
		case m.name == "hang":
		case m.name == "slow":
			time.Sleep(delay * 8)
			p.answer("good")
		case m.name == "bad":
			time.Sleep(delay / 10)
			p.answer("bad")
		case m.name == "later":
			time.Sleep(delay / 20)
			p.answer("later")
		case m.name == "reset", m.name == "close":
			time.Sleep(time.Duration(float() * float64(delay)))
			if m.name == "reset" {
				p.conn.(*net.TCPConn).SetLinger(0)
			}
			p.conn.Close()
		case m.name == "garbled":
			time.Sleep(delay)
			p.conn.Write([]byte("noise that is no frame"))
		case m.name == "late":
			time.Sleep(delay * 25)
			p.answer("good")
		case m.name == "twice":
			time.Sleep(delay)
			p.answer("good")
			p.answer("good")
		}
	})
	if err != nil {
		return notRun, err
	}
	defer w.close()
	rate := 8.0
	if text := os.Getenv("RATE"); text != "" {
		rate, _ = strconv.ParseFloat(text, 64)
	}
	w.leaving = 0.2
	stop := make(chan struct{})
	for _, c := range w.coordinators {
		go w.load(c, rate, 2*time.Second, stop)
	}
	allowed := strings.Split(os.Getenv("MODES"), ",")
	time.Sleep(2 * time.Second)
	for began := time.Now(); time.Since(began) < 60*time.Second && trouble; {
		r := w.replicas[int(float()*float64(len(w.replicas)))]
		switch kind := allowed[int(float()*float64(len(allowed)))]; kind {
		case "stall":
			c := w.coordinators[0]
			c.signal(syscall.SIGSTOP)
			time.Sleep(time.Duration(310+float()*600) * time.Millisecond)
			c.signal(syscall.SIGCONT)
		case "term":
			if err := w.coordinators[1].restart(root, w.folder); err != nil {
				return notRun, err
			}
		case "hold":
			c := w.coordinators[0]
			c.signal(syscall.SIGSTOP)
			time.Sleep(140 * time.Millisecond)
			c.signal(syscall.SIGCONT)
		case "drain":
			if mu.Lock(); drained[r.id] {
				mu.Unlock()
				continue
			}
			drained[r.id] = true
			mu.Unlock()
			w.discovery.set("draining", r.id)
			from := time.Now()
			go func() {
				time.Sleep(time.Duration(1+float()*6) * time.Second)
				to := time.Now()
				w.mu.Lock()
				w.drains = append(w.drains, drain{r.id, from, to})
				w.mu.Unlock()
				w.discovery.set("up", r.id)
				mu.Lock()
				drained[r.id] = false
				mu.Unlock()
			}()
			time.Sleep(time.Second)
		case "cut":
			rec.note("replica %s resets all connections", r.id)
			r.resetConnections()
		default:
			m := mode{kind, 0.3 + 0.7*float()}
			rec.note("replica %s is %s, share %.2f", r.id, m.name, m.share)
			mu.Lock()
			modes[r.id] = m
			mu.Unlock()
			go func() {
				time.Sleep(time.Duration(1+float()*8) * time.Second)
				mu.Lock()
				if modes[r.id] == m {
					modes[r.id] = mode{}
				}
				mu.Unlock()
			}()
		}
		time.Sleep(time.Duration(float()*1500) * time.Millisecond)
	}
	close(stop)
	w.clients.Wait()
	time.Sleep(8 * time.Second)
	w.mu.Lock()
	defer w.mu.Unlock()
	breaks := w.audit()
	counts := map[int]int{}
	for _, r := range w.requests {
		counts[r.status]++
	}
	rec.say("requests %d, by status %v, breaks %v", len(w.requests), counts, breaks)
	if len(breaks) > 0 {
		return broken, nil
	}
	return held, nil
}
