package main

import (
	"fmt"
	"math/rand"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// world is a small deployment: stand-ins for replicas, discovery and clients, and the program's processes.
type world struct {
	rec          *record
	site         *site
	root, folder string
	replicas     []*replica
	discovery    *discovery
	coordinators []*coordinator
	random       *rand.Rand
	leaving      float64 // the share of clients that leave early

	mu       sync.Mutex
	requests []*request
	owner    map[string]*coordinator // of a request
	told     map[string]time.Time    // of a replica that drains or is gone, until it is up again
	drains   []drain
	byID     map[string]*request
	clients  sync.WaitGroup
}

// newWorld starts the replicas, discovery and the co-ordinators.
func newWorld(rec *record, s *site, root string, seed int64, onPart func(w *world, p *part)) (*world, error) {
	folder, err := os.MkdirTemp("", "case-")
	if err != nil {
		return nil, err
	}
	w := &world{rec: rec, site: s, root: root, folder: folder, random: rand.New(rand.NewSource(seed)), byID: map[string]*request{}, owner: map[string]*coordinator{}}
	var entries []entry
	for cell := range s.cells {
		for i := range s.each {
			id, zone := fmt.Sprintf("s-%02d%c", cell, 'a'+rune(i)), s.zones[(cell+i)%len(s.zones)]
			r, err := newReplica(rec, id, zone, cell, func(p *part) { onPart(w, p) })
			if err != nil {
				return nil, err
			}
			w.replicas = append(w.replicas, r)
			entries = append(entries, entry{id: id, addr: r.addr(), zone: zone, kind: "std", state: "up", cell: cell, version: firstVersion})
		}
	}
	if w.discovery, err = newDiscovery(rec, entries); err != nil {
		return nil, err
	}
	w.discovery.wholeFirst = s.wholeFirst
	for i := range s.coordinators {
		c, err := startCoordinator(rec, root, folder, fmt.Sprintf("n%d", i), w.arguments(i), s.plan(w.discovery, seed*100+int64(i), s.zones[0]))
		if err != nil {
			w.close()
			return nil, err
		}
		w.coordinators = append(w.coordinators, c)
	}
	return w, nil
}

// arguments returns what follows the deploy file's command: nothing, or an installation file.
func (w *world) arguments(i int) string {
	if w.site.installation == "" {
		return ""
	}
	path := filepath.Join(w.folder, fmt.Sprintf("installation-%d.yaml", i))
	if err := os.WriteFile(path, []byte(fmt.Sprintf(w.site.installation, i)), 0o600); err != nil {
		w.rec.note("%v", err)
	}
	return " serve --installation " + path
}

// close ends all processes.
func (w *world) close() {
	for _, c := range w.coordinators {
		c.kill()
	}
	os.RemoveAll(w.folder)
}

// replica returns a replica by its id.
func (w *world) replica(id string) *replica {
	for _, r := range w.replicas {
		if r.id == id {
			return r
		}
	}
	return nil
}

// draw returns a search of a class by the shares, with the parts that the site names.
func (w *world) draw() *request {
	w.mu.Lock()
	defer w.mu.Unlock()
	s, x := w.site, w.random.Float64()
	chosen := s.classes[len(s.classes)-1]
	for _, c := range s.classes {
		if x -= c.share; x < 0 {
			chosen = c
			break
		}
	}
	return w.build(chosen)
}

func (w *world) build(c class) *request {
	shards := w.random.Perm(w.site.shards)[:c.least+w.random.Intn(c.most-c.least+1)]
	deadline := time.Duration((0.6 + 0.4*w.random.Float64()) * float64(c.deadline)).Round(time.Millisecond)
	return newRequest(c.name, w.site.tenants[w.random.Intn(len(w.site.tenants))], deadline, shards)
}

// drawOf returns a search of one class.
func (w *world) drawOf(name string) *request {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, c := range w.site.classes {
		if c.name == name {
			return w.build(c)
		}
	}
	return nil
}

// send sends a request to a co-ordinator on a connection of its own, in the background.
func (w *world) send(r *request, c *coordinator, patience time.Duration) {
	w.mu.Lock()
	w.requests = append(w.requests, r)
	w.byID[r.id], w.owner[r.id] = r, c
	w.mu.Unlock()
	w.clients.Add(1)
	go func() {
		defer w.clients.Done()
		r.do(w.rec, c.addr, patience)
	}()
}

// load sends searches to a co-ordinator at a mean rate until stop is closed.
func (w *world) load(c *coordinator, perSecond float64, patience time.Duration, stop <-chan struct{}) {
	for {
		w.mu.Lock()
		wait := time.Duration(w.random.ExpFloat64() / perSecond * float64(time.Second))
		w.mu.Unlock()
		select {
		case <-stop:
			return
		case <-time.After(wait):
			if c.down.Load() {
				continue
			}
			r := w.draw()
			w.mu.Lock()
			if w.leaving > 0 && w.random.Float64() < w.leaving {
				r.leaveAfter = time.Duration(float64(r.deadline) * w.random.Float64() * 0.4)
			}
			w.mu.Unlock()
			w.send(r, c, patience)
		}
	}
}

// noteLogs writes the lines of the processes' logs that contain a word to the record.
func (w *world) noteLogs(word string) {
	for _, c := range w.coordinators {
		text, _ := os.ReadFile(filepath.Join(w.folder, c.name+".log"))
		for line := range strings.Lines(string(text)) {
			if strings.Contains(line, word) {
				w.rec.note("log of %s: %s", c.name, strings.TrimSpace(line))
			}
		}
	}
}
