package clustertest

import (
	"context"
	"errors"
	"fmt"
	"math/rand"
	"net"
	"sync"
	"syscall"
	"time"

	"chalkring/internal/fake"
	"chalkring/internal/http1"
)

const extraWait = 2 * time.Millisecond // for a second answer that is there already when a connection is put away

// ScheduledSearch is a search of a client's schedule with the instances that it goes to: the first, and where no answer comes of
// that, the next.
type ScheduledSearch struct {
	fake.Search
	Targets []string
}

// DrawSearches draws searches at a rate for so long, over all blocks, two of three of the first type, tenants and instances
// (each followed by all others) by turns of chance.
func (r *Cluster) DrawSearches(seed int64, name string, rate float64, length, patience time.Duration, tenants ...string) (all []ScheduledSearch) {
	chance, names := rand.New(rand.NewSource(seed)), r.InstanceNames()
	shards := make([]int, BlockCount)
	for i := range shards {
		shards[i] = i
	}
	for at := time.Duration(0); ; {
		at += time.Duration(chance.ExpFloat64() / rate * float64(time.Second))
		if at >= length {
			return all
		}
		id, first := fmt.Sprintf("%s-%d", name, len(all)), chance.Intn(len(names))
		a := ScheduledSearch{Search: fake.Search{At: at, ID: id, Query: id, Type: "quick-picks", Shards: shards, Patience: patience}}
		if chance.Intn(3) == 0 {
			a.Type = "full-match"
		}
		if len(tenants) > 0 {
			a.Tenant = tenants[chance.Intn(len(tenants))]
		}
		for i := range names {
			a.Targets = append(a.Targets, names[(first+i)%len(names)])
		}
		all = append(all, a)
	}
}

// PlaySearches sends searches at their times, however slow the answers before them are, over kept connections, and returns what
// came of each once all have ended. Without Query a search's own id is asked for, so that answers cannot be mixed up.
func (r *Cluster) PlaySearches(ctx context.Context, asks []ScheduledSearch) []ClientResult {
	answers, pools := make([]ClientResult, len(asks)), map[string]*pool{}
	for _, name := range r.InstanceNames() {
		pools[name] = &pool{addr: r.Addresses(name).Client}
		defer pools[name].close()
	}
	var g sync.WaitGroup
	start := time.Now()
	for i, a := range asks {
		select {
		case <-time.After(a.At - time.Since(start)):
		case <-ctx.Done():
			g.Wait()
			return answers[:i]
		}
		if a.Query == "" {
			a.Query = a.ID
		}
		g.Go(func() { answers[i] = one(a, pools) })
	}
	g.Wait()
	return answers
}

// one plays a search to its end.
func one(a ScheduledSearch, pools map[string]*pool) (out ClientResult) {
	out = ClientResult{ScheduledSearch: a, Sent: time.Now()}
	defer func() { out.Latency = time.Since(out.Sent) }()
	for i, to := range a.Targets {
		s := a.Search
		if s.Patience = time.Until(out.Sent.Add(a.Patience)); s.Patience <= 0 {
			break
		}
		if i > 0 {
			s.ID = fmt.Sprint(a.ID, againBy, i)
		}
		t := Attempt{Target: to, StartedAt: time.Now()}
		done := pools[to].ask(s, &t, &out)
		t.EndedAt = time.Now()
		if out.Attempts = append(out.Attempts, t); done {
			break
		}
	}
	return out
}

// kept is a connection of a client.
type kept struct {
	net.Conn
	rd   *http1.Reader
	used bool
}

type pool struct {
	addr string
	mu   sync.Mutex
	free []*kept
}

func (p *pool) take(wait time.Duration) (*kept, error) {
	p.mu.Lock()
	if n := len(p.free); n > 0 {
		c := p.free[n-1]
		p.free = p.free[:n-1]
		p.mu.Unlock()
		return c, nil
	}
	p.mu.Unlock()
	conn, err := net.DialTimeout("tcp", p.addr, wait)
	if err != nil {
		return nil, err
	}
	return &kept{Conn: conn, rd: http1.NewReader(conn, make([]byte, 16<<10))}, nil
}

func (p *pool) close() {
	for _, c := range p.free {
		c.Close()
	}
}

// ask sends a search to one instance; done where nothing more is to be tried. A kept connection that the other side has
// closed before any byte of the answer is followed by another one at the same instance: clients cannot know of the close.
func (p *pool) ask(s fake.Search, t *Attempt, out *ClientResult) (done bool) {
	until := time.Now().Add(s.Patience + giveUp)
	for {
		c, err := p.take(time.Until(until))
		if err != nil {
			t.Failure, t.Refused = err.Error(), errors.Is(err, syscall.ECONNREFUSED)
			return false
		}
		c.SetDeadline(until)
		begun := false // an answer
		if _, err = c.Write([]byte(s.Encode())); err == nil {
			t.WrittenAt = time.Now()
			if err = c.rd.AwaitMessage(); err == nil {
				begun = true
				var body []byte
				var keep bool
				if out.Status, _, body, keep, err = c.rd.ReadResponse(); err == nil {
					out.Body, out.FinalCount, t.Failure = string(body), out.FinalCount+1, ""
					p.put(c, keep, out)
					return true
				}
			}
		}
		c.Close()
		out.Status, t.Failure = 0, err.Error()
		var timeout net.Error
		if errors.As(err, &timeout) && timeout.Timeout() {
			return true
		}
		if begun || !c.used {
			t.Closed = true
			return false
		}
		out.StaleConnections++
	}
}

// put keeps a connection for the next search, once it is seen that no second answer stands on it.
func (p *pool) put(c *kept, keep bool, out *ClientResult) {
	c.SetReadDeadline(time.Now().Add(extraWait))
	if err := c.rd.AwaitMessage(); err == nil {
		out.FinalCount++
		keep = false
	} else if e, ok := err.(net.Error); !ok || !e.Timeout() {
		keep = false
	}
	if !keep {
		c.Close()
		return
	}
	c.used = true
	p.mu.Lock()
	p.free = append(p.free, c)
	p.mu.Unlock()
}
