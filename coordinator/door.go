package coordinator

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"chalkring/control/residency"
)

const frontShare = 0.15 // of the descriptors go to other fronts' clients, out of those for clients

// Front is another way in for clients. Serve takes requests until stopping is done, finishes what it has, and
// returns; it ends at once with ctx. It hands searches in by the door.
type Front interface {
	Serve(ctx, stopping context.Context, d *Door) error
}

// Door hands other fronts' searches to the owner: the same module and the same rules as for the own front.
type Door struct {
	Name        string // of the co-ordinator
	Connections int    // that the front may hold
	RetryAfter  bool   // clients may be told when to come back
	Log         func(kind, event string, v ...any)

	o                *owner
	classes, tenants map[string]int
	patience         []time.Duration // by type
	sets, reach      int

	mu      sync.Mutex
	cells   map[string]int // of the hosts that are listed
	addrs   map[string]string
	holders map[int]int // listed hosts by cell
}

// Asked is one search. Check looks at a host's value for a part before it counts as in, in the goroutine of the
// connection it came on: one that it refuses is an errored sub-request. What it gives back stands in the result.
type Asked struct {
	Name     string // of all that are open, no two may bear one
	Type     string
	Tenant   string
	Text     []byte
	Shards   []int // in equal weights
	Retry    bool
	Patience time.Duration
	Check    func(shard int, value []byte) (any, error)
}

// How a search ended.
const (
	Answered = answered
	Shed     = shed
	Errored  = errored
	NameOpen = taken
	Barred   = barred
	Left     = left // of an End alone
)

// Given is a final answer.
type Given struct {
	Kind    int
	Whole   bool
	RetryIn time.Duration // of Shed, 0 where none is named
	Sent    bool          // of Shed and Errored: hosts were asked
	Parts   []GivenPart   // that are in
	Barred  *residency.Refused
}

// GivenPart is a part that is in, with what Check gave for it.
type GivenPart struct {
	Shard int
	Read  any
}

// ErrAsked is a search that cannot be taken.
var ErrAsked = errors.New("no such type or partner")

func newDoor(o *owner) *Door {
	d := &Door{Name: o.plan.Name, o: o, RetryAfter: o.plan.facts["Permissions.RetryAfter"] == "true", classes: o.plan.names("Classes"), tenants: o.plan.names("Tenants"),
		Connections: max(1, int(frontShare*float64(o.plan.Sockets))), Log: o.log.often, cells: map[string]int{},
		addrs: map[string]string{}, holders: map[int]int{}, sets: int(o.plan.fact("Specifics.Sets")), reach: int(o.plan.fact("Specifics.Reach"))}
	for _, v := range o.plan.spans("Deadline") {
		if v <= 0 || v > longWait {
			v = longWait
		}
		d.patience = append(d.patience, v)
	}
	return d
}

// Knows tells whether there is such a type, and such a partner where partners are named at all.
func (d *Door) Knows(qtype, tenant string) error {
	if _, ok := d.classes[qtype]; !ok {
		return fmt.Errorf("%w: type %q", ErrAsked, qtype)
	}
	if _, ok := d.tenants[tenant]; !ok && len(d.tenants) > 0 {
		return fmt.Errorf("%w: partner %q", ErrAsked, tenant)
	}
	return nil
}

// Patience is how long a search of a type may take at the most.
func (d *Door) Patience(qtype string) time.Duration { return d.patience[d.classes[qtype]] }

// Busy is how much time the owner has spent in turns so far: background work holds back by it.
func (d *Door) Busy() time.Duration { return time.Duration(d.o.busy.Load()) }

// Blocks tells how many blocks there are.
func (d *Door) Blocks() int { return d.o.plan.Blocks() }

// Held tells whether a listed host holds a block.
func (d *Door) Held(block int) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for j := range d.reach {
		if d.holders[(block+j)%d.sets] > 0 {
			return true
		}
	}
	return false
}

// Holders names the listed hosts that hold a block, with their addresses.
func (d *Door) Holders(block int) (names, addrs []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, cell := range d.cells {
		if (cell-block%d.sets+d.sets)%d.sets < d.reach {
			names = append(names, id)
		}
	}
	slices.Sort(names)
	for _, id := range names {
		addrs = append(addrs, d.addrs[id])
	}
	return names, addrs
}

// Hosts counts the listed hosts.
func (d *Door) Hosts() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.cells)
}

// listed takes in a list or changes of it.
func (d *Door) listed(full bool, hosts []listedHost) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if full {
		clear(d.cells)
		clear(d.addrs)
	}
	for _, h := range hosts {
		if delete(d.cells, h.id); !h.gone {
			d.cells[h.id], d.addrs[h.id] = h.cell, h.addr
		}
	}
	clear(d.holders)
	for _, cell := range d.cells {
		d.holders[(cell%d.sets+d.sets)%d.sets]++
	}
}

// Search hands a search in and waits for its final answer. When ctx ends, the search is withdrawn: its client has left.
func (d *Door) Search(ctx context.Context, a Asked) (Given, error) {
	if err := d.Knows(a.Type, a.Tenant); err != nil {
		return Given{}, err
	}
	if !plainName(a.Name) || strings.ContainsRune(a.Name, '.') || len(a.Shards) == 0 {
		return Given{}, fmt.Errorf("a search named %.40q over %d blocks", a.Name, len(a.Shards))
	}
	o := d.o
	out, first := make(chan Given, 1), []behind(nil)
	now := o.Clock.Now()
	s := &search{name: a.Name, text: a.Text, qtype: d.classes[a.Type], tenant: d.tenants[a.Tenant], retry: a.Retry,
		came: now, patience: o.within(min(a.Patience, longWait), now), shards: slices.Clone(a.Shards), check: a.Check}
	for range a.Shards {
		s.weights = append(s.weights, 1/float64(len(a.Shards)))
	}
	s.reply = func(r result) {
		first = slices.Clone(r.behind)
		g := Given{Kind: r.kind, Whole: r.whole, RetryIn: time.Duration(r.retryIn) * tenth, Sent: r.sent, Barred: r.barred}
		for _, p := range r.parts {
			g.Parts = append(g.Parts, GivenPart{Shard: p.shard, Read: p.read})
		}
		out <- g
	}
	if !o.post(func() { o.take(s) }) {
		return Given{}, closing
	}
	select {
	case g := <-out:
		settle(first)
		return g, nil
	case <-ctx.Done():
		o.post(func() { o.withdraw(s) })
		return Given{}, ctx.Err()
	case <-o.ctx.Done():
		return Given{}, closing
	}
}
