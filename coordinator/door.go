package coordinator

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"chalkring/coordinator/plan"

	"chalkring/control/residency"
)

const frontShare = 0.15 // of the descriptors go to other fronts' clients, out of those for clients

// Frontend is another way in for clients. Serve takes requests until stopping is done, finishes what it has, and
// returns; it ends at once with ctx. It hands searches in by the door.
type Frontend interface {
	Serve(ctx, stopping context.Context, d *SearchAPI) error
}

// SearchAPI hands other fronts' searches to the owner: the same module and the same rules as for the own front.
type SearchAPI struct {
	CoordinatorName string // of the co-ordinator
	MaxConnections  int    // that the front may hold
	SendRetryAfter  bool   // clients may be told when to come back
	LogEvent        func(kind, event string, v ...any)

	o                *owner
	classes, tenants map[string]int
	patience         []time.Duration // by type
	sets, reach      int

	mu      sync.Mutex
	cells   map[string]int // of the hosts that are listed
	addrs   map[string]string
	holders map[int]int // listed hosts by cell
}

// SearchRequest is one search. Check looks at a host's value for a part before it counts as in, in the goroutine of the
// connection it came on: one that it refuses is an errored sub-request. What it gives back stands in the result.
type SearchRequest struct {
	ID          string // of all that are open, no two may bear one
	Type        string
	Tenant      string
	Body        []byte
	Shards      []int // in equal weights
	IsRetry     bool
	Timeout     time.Duration
	DecodeValue func(shard int, value []byte) (any, error)
}

// How a search ended.
const (
	OutcomeAnswered         = answered
	OutcomeShed             = shed
	OutcomeFailed           = errored
	OutcomeDuplicateID      = taken
	OutcomeResidencyRefused = barred
	OutcomeClientGone       = left // of an End alone
)

// SearchResult is a final answer.
type SearchResult struct {
	Outcome          int
	Complete         bool
	RetryAfter       time.Duration // of Shed, 0 where none is named
	Dispatched       bool          // of Shed and Errored: hosts were asked
	Parts            []PartResult  // that are in
	ResidencyRefusal *residency.SearchRejectedError
}

// PartResult is a part that is in, with what Check gave for it.
type PartResult struct {
	Shard int
	Value any
}

// ErrUnknownTypeOrTenant is a search that cannot be taken.
var ErrUnknownTypeOrTenant = errors.New("no such type or partner")

func newDoor(o *owner) *SearchAPI {
	d := &SearchAPI{
		CoordinatorName: o.plan.Name, o: o, SendRetryAfter: o.plan.Settings["Permissions.RetryAfter"] == "true", classes: o.plan.PositionsByName("Classes"), tenants: o.plan.PositionsByName("Tenants"),
		MaxConnections: max(1, int(frontShare*float64(o.plan.MaxSockets))), LogEvent: o.log.often, cells: map[string]int{},
		addrs: map[string]string{}, holders: map[int]int{}, sets: int(o.plan.Number("Specifics.Sets")), reach: int(o.plan.Number("Specifics.Reach")),
	}
	for _, v := range o.plan.ClassDurations("Deadline") {
		if v <= 0 || v > longWait {
			v = longWait
		}
		d.patience = append(d.patience, v)
	}
	return d
}

// ValidateTypeAndTenant tells whether there is such a type, and such a partner where partners are named at all.
func (d *SearchAPI) ValidateTypeAndTenant(qtype, tenant string) error {
	if _, ok := d.classes[qtype]; !ok {
		return fmt.Errorf("%w: type %q", ErrUnknownTypeOrTenant, qtype)
	}
	if _, ok := d.tenants[tenant]; !ok && len(d.tenants) > 0 {
		return fmt.Errorf("%w: partner %q", ErrUnknownTypeOrTenant, tenant)
	}
	return nil
}

// SearchTimeout is how long a search of a type may take at the most.
func (d *SearchAPI) SearchTimeout(qtype string) time.Duration { return d.patience[d.classes[qtype]] }

// BusyTime is how much time the owner has spent in turns so far: background work holds back by it.
func (d *SearchAPI) BusyTime() time.Duration { return time.Duration(d.o.busy.Load()) }

// BlockCount tells how many blocks there are.
func (d *SearchAPI) BlockCount() int { return d.o.plan.BlockCount() }

// HasBlockHost tells whether a listed host holds a block.
func (d *SearchAPI) HasBlockHost(block int) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for j := range d.reach {
		if d.holders[(block+j)%d.sets] > 0 {
			return true
		}
	}
	return false
}

// BlockHosts names the listed hosts that hold a block, with their addresses.
func (d *SearchAPI) BlockHosts(block int) (names, addrs []string) {
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

// HostCount counts the listed hosts.
func (d *SearchAPI) HostCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.cells)
}

// listed takes in a list or changes of it.
func (d *SearchAPI) listed(full bool, hosts []plan.ListedHost) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if full {
		clear(d.cells)
		clear(d.addrs)
	}
	for _, h := range hosts {
		if delete(d.cells, h.ID); !h.Removed {
			d.cells[h.ID], d.addrs[h.ID] = h.Cell, h.Addr
		}
	}
	clear(d.holders)
	for _, cell := range d.cells {
		d.holders[(cell%d.sets+d.sets)%d.sets]++
	}
}

// Search hands a search in and waits for its final answer. When ctx ends, the search is withdrawn: its client has left.
func (d *SearchAPI) Search(ctx context.Context, a SearchRequest) (SearchResult, error) {
	if err := d.ValidateTypeAndTenant(a.Type, a.Tenant); err != nil {
		return SearchResult{}, err
	}
	if !plainName(a.ID) || strings.ContainsRune(a.ID, '.') || len(a.Shards) == 0 {
		return SearchResult{}, fmt.Errorf("a search named %.40q over %d blocks", a.ID, len(a.Shards))
	}
	o := d.o
	out, first := make(chan SearchResult, 1), []behind(nil)
	now := o.Clock.Now()
	s := &search{
		name: a.ID, text: a.Body, qtype: d.classes[a.Type], tenant: d.tenants[a.Tenant], retry: a.IsRetry,
		came: now, patience: o.within(min(a.Timeout, longWait), now), shards: slices.Clone(a.Shards), check: a.DecodeValue,
	}
	for range a.Shards {
		s.weights = append(s.weights, 1/float64(len(a.Shards)))
	}
	s.reply = func(r result) {
		first = slices.Clone(r.behind)
		g := SearchResult{Outcome: r.kind, Complete: r.whole, RetryAfter: time.Duration(r.retryIn) * tenth, Dispatched: r.sent, ResidencyRefusal: r.barred}
		for _, p := range r.parts {
			g.Parts = append(g.Parts, PartResult{Shard: p.shard, Value: p.read})
		}
		out <- g
	}
	if !o.post(func() { o.take(s) }) {
		return SearchResult{}, closing
	}
	select {
	case g := <-out:
		settle(first)
		return g, nil
	case <-ctx.Done():
		o.post(func() { o.withdraw(s) })
		return SearchResult{}, ctx.Err()
	case <-o.ctx.Done():
		return SearchResult{}, closing
	}
}
