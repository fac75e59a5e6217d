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
	"chalkring/coordinator/plan"
)

const maxClientTimeout = time.Hour // the longest client timeout that is honored: bounds what is held

const frontendDescriptorShare = 0.15 // of the descriptors go to other frontends, out of those for clients

// Frontend is another way in for clients. Serve takes requests until stopping is done, finishes what it has, and
// returns; it ends at once with ctx. It submits searches through the SearchAPI.
type Frontend interface {
	Serve(ctx, stopping context.Context, d *SearchAPI) error
}

// SearchAPI submits other frontends' searches to the event loop, under the same rules as those of its own clients. It
// is safe for concurrent use.
type SearchAPI struct {
	CoordinatorName string
	MaxConnections  int  // that the frontend may hold
	SendRetryAfter  bool // answers may have a Retry-After
	LogEvent        func(kind, event string, v ...any)

	loop                   *eventLoop
	classes, tenants       map[string]int
	timeouts               []time.Duration // by class
	blockSets, setsPerHost int

	mu              sync.Mutex
	cellByHost      map[string]int
	addrByHost      map[string]string
	hostCountByCell map[int]int // of listed hosts
}

// SearchRequest is one search. DecodeValue checks a host's value for a shard before it counts as completed, on the
// goroutine of the connection that it came on: a value that it refuses is a failed attempt. What it returns stands in
// the result.
type SearchRequest struct {
	ID          string // unique among open searches
	Type        string
	Tenant      string
	Body        []byte
	Shards      []int // with equal weights
	IsRetry     bool
	Timeout     time.Duration
	DecodeValue func(shard int, value []byte) (any, error)
}

// Outcomes of a search.
const (
	OutcomeAnswered         = outcomeAnswered
	OutcomeShed             = outcomeShed
	OutcomeFailed           = outcomeFailed
	OutcomeDuplicateID      = outcomeDuplicateID
	OutcomeResidencyRefused = outcomeResidencyRefused
	OutcomeClientGone       = outcomeClientGone // in a SearchEnd alone
)

// SearchResult is a final answer.
type SearchResult struct {
	Outcome          int
	Complete         bool
	RetryAfter       time.Duration // of OutcomeShed, 0 for none
	Dispatched       bool          // of OutcomeShed and OutcomeFailed: attempts were made
	Parts            []PartResult  // completed
	ResidencyRefusal *residency.SearchRejectedError
}

// PartResult is a shard's answer: what DecodeValue returned for it.
type PartResult struct {
	Shard int
	Value any
}

// ErrUnknownTypeOrTenant is a search whose type or tenant the plan does not have.
var ErrUnknownTypeOrTenant = errors.New("no such type or partner")

// newSearchAPI returns the API of an event loop.
func newSearchAPI(loop *eventLoop) *SearchAPI {
	api := &SearchAPI{
		CoordinatorName: loop.plan.Name, loop: loop, SendRetryAfter: loop.plan.Settings["Permissions.RetryAfter"] == "true", classes: loop.plan.PositionsByName("Classes"), tenants: loop.plan.PositionsByName("Tenants"),
		MaxConnections: max(1, int(frontendDescriptorShare*float64(loop.plan.MaxSockets))), LogEvent: loop.log.warnLimited, cellByHost: map[string]int{},
		addrByHost: map[string]string{}, hostCountByCell: map[int]int{}, blockSets: int(loop.plan.Number("Specifics.Sets")), setsPerHost: int(loop.plan.Number("Specifics.Reach")),
	}
	for _, v := range loop.plan.ClassDurations("Deadline") {
		if v <= 0 || v > maxClientTimeout {
			v = maxClientTimeout
		}
		api.timeouts = append(api.timeouts, v)
	}
	return api
}

// ValidateTypeAndTenant returns an error for a type that the plan does not have, or a tenant, where it has any.
func (d *SearchAPI) ValidateTypeAndTenant(qtype, tenant string) error {
	if _, ok := d.classes[qtype]; !ok {
		return fmt.Errorf("%w: type %q", ErrUnknownTypeOrTenant, qtype)
	}
	if _, ok := d.tenants[tenant]; !ok && len(d.tenants) > 0 {
		return fmt.Errorf("%w: partner %q", ErrUnknownTypeOrTenant, tenant)
	}
	return nil
}

// SearchTimeout returns how long a search of a type may take at the most.
func (d *SearchAPI) SearchTimeout(qtype string) time.Duration { return d.timeouts[d.classes[qtype]] }

// BusyTime returns how much time the event loop has spent in iterations: background work waits by it.
func (d *SearchAPI) BusyTime() time.Duration { return time.Duration(d.loop.busyNanos.Load()) }

// BlockCount returns how many blocks the data is in.
func (d *SearchAPI) BlockCount() int { return d.loop.plan.BlockCount() }

// HasBlockHost says whether a listed host holds a block.
func (d *SearchAPI) HasBlockHost(block int) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for j := range d.setsPerHost {
		if d.hostCountByCell[(block+j)%d.blockSets] > 0 {
			return true
		}
	}
	return false
}

// BlockHosts returns the ids and addresses of the listed hosts that hold a block, by id.
func (d *SearchAPI) BlockHosts(block int) (names, addrs []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for hostID, cell := range d.cellByHost {
		if (cell-block%d.blockSets+d.blockSets)%d.blockSets < d.setsPerHost {
			names = append(names, hostID)
		}
	}
	slices.Sort(names)
	for _, hostID := range names {
		addrs = append(addrs, d.addrByHost[hostID])
	}
	return names, addrs
}

// HostCount returns the number of listed hosts.
func (d *SearchAPI) HostCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.cellByHost)
}

// updateHosts applies a list or changes of it.
func (d *SearchAPI) updateHosts(full bool, hosts []plan.ListedHost) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if full {
		clear(d.cellByHost)
		clear(d.addrByHost)
	}
	for _, host := range hosts {
		if delete(d.cellByHost, host.ID); !host.Removed {
			d.cellByHost[host.ID], d.addrByHost[host.ID] = host.Cell, host.Addr
		}
	}
	clear(d.hostCountByCell)
	for _, cell := range d.cellByHost {
		d.hostCountByCell[(cell%d.blockSets+d.blockSets)%d.blockSets]++
	}
}

// Search submits a search and waits for its final answer. When ctx ends, the search is withdrawn: its client has left.
func (d *SearchAPI) Search(ctx context.Context, request SearchRequest) (SearchResult, error) {
	if err := d.ValidateTypeAndTenant(request.Type, request.Tenant); err != nil {
		return SearchResult{}, err
	}
	if !isPlainName(request.ID) || strings.ContainsRune(request.ID, '.') || len(request.Shards) == 0 {
		return SearchResult{}, fmt.Errorf("a search named %.40q over %d blocks", request.ID, len(request.Shards))
	}
	loop := d.loop
	out, first := make(chan SearchResult, 1), []pendingWrite(nil)
	now := loop.Clock.Now()
	current := &search{
		name: request.ID, text: request.Body, class: d.classes[request.Type], tenant: d.tenants[request.Tenant], isRetry: request.IsRetry,
		arrivedAt: now, timeout: loop.limitTimeout(min(request.Timeout, maxClientTimeout), now), shards: slices.Clone(request.Shards), decodeValue: request.DecodeValue,
	}
	for range request.Shards {
		current.weights = append(current.weights, 1/float64(len(request.Shards)))
	}
	current.reply = func(outcome searchOutcome) {
		first = slices.Clone(outcome.pendingWrites)
		result := SearchResult{Outcome: outcome.outcome, Complete: outcome.complete, RetryAfter: time.Duration(outcome.retryAfter) * tick, Dispatched: outcome.dispatched, ResidencyRefusal: outcome.refusal}
		for _, shardReq := range outcome.parts {
			result.Parts = append(result.Parts, PartResult{Shard: shardReq.shard, Value: shardReq.decoded})
		}
		out <- result
	}
	if !loop.submit(func() { loop.startSearch(current) }) {
		return SearchResult{}, errClosing
	}
	select {
	case result := <-out:
		awaitWritten(first)
		return result, nil
	case <-ctx.Done():
		loop.submit(func() { loop.withdrawSearch(current) })
		return SearchResult{}, ctx.Err()
	case <-loop.ctx.Done():
		return SearchResult{}, errClosing
	}
}
