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
	"chalkring/coordinator/ingress"
	"chalkring/coordinator/plan"
)

const maxClientTimeout = time.Hour // longer client timeouts are cut to this: bounds the memory for open searches

const frontendDescriptorShare = 0.15 // of all descriptors, for other frontends: part of the clients' share

// Frontend serves clients over another protocol and submits their searches through the SearchAPI. Serve accepts requests
// until the context stopping is done, then finishes the open ones and returns; when ctx is done it returns at once.
type Frontend interface {
	Serve(ctx, stopping context.Context, d *SearchAPI) error
}

// SearchAPI submits searches of other frontends to the event loop, which treats them like those of its own clients. It is
// safe for concurrent use.
type SearchAPI struct {
	CoordinatorName string
	MaxConnections  int  // how many the frontend may have open
	SendRetryAfter  bool // answers may carry a Retry-After
	LogEvent        func(kind, event string, v ...any)

	loop                   *eventLoop
	requests               *ingressControl
	classes, tenants       map[string]int
	timeouts               []time.Duration // by class
	blockSets, setsPerHost int

	mu              sync.Mutex
	cellByHost      map[string]int
	addrByHost      map[string]string
	hostCountByCell map[int]int // number of listed hosts
}

// SearchRequest is one search. DecodeValue checks and decodes a host's value for a shard before the shard counts as
// completed, on the goroutine that reads the host's connection: if it returns an error, the attempt has failed. The
// decoded value is in the result.
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
	OutcomeClientGone       = outcomeClientGone // only in a SearchEnd
)

// SearchResult is a final answer.
type SearchResult struct {
	Outcome          int
	Complete         bool
	RetryAfter       time.Duration // with OutcomeShed; 0 for none
	Dispatched       bool          // with OutcomeShed and OutcomeFailed: an attempt was made
	Parts            []PartResult  // of the completed shards
	ResidencyRefusal *residency.SearchRejectedError
}

// PartResult is a shard's answer. Value is what DecodeValue returned.
type PartResult struct {
	Shard int
	Value any
}

// ErrUnknownTypeOrTenant is the error for a search whose type or tenant is not in the plan.
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

// ValidateTypeAndTenant returns an error if the plan does not have the type, or does not have the tenant. A plan without
// tenants allows any.
func (d *SearchAPI) ValidateTypeAndTenant(qtype, tenant string) error {
	if _, ok := d.classes[qtype]; !ok {
		return fmt.Errorf("%w: type %q", ErrUnknownTypeOrTenant, qtype)
	}
	if _, ok := d.tenants[tenant]; !ok && len(d.tenants) > 0 {
		return fmt.Errorf("%w: partner %q", ErrUnknownTypeOrTenant, tenant)
	}
	return nil
}

// SearchTimeout returns how long a search of a type may take at most.
func (d *SearchAPI) SearchTimeout(qtype string) time.Duration { return d.timeouts[d.classes[qtype]] }

// BusyTime returns how much time the event loop has spent in iterations. Background work paces itself by it.
func (d *SearchAPI) BusyTime() time.Duration { return time.Duration(d.loop.busyNanos.Load()) }

// BlockCount returns into how many blocks the data is divided.
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

// BlockHosts returns the ids and addresses of the listed hosts that hold a block, sorted by id.
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

// RequestHolding is what the request of one connection holds of the memory that the requests of all clients share. Its methods
// may be called by any goroutine.
type RequestHolding struct {
	control *ingressControl
	holding ingress.Holding
}

// NewRequestHolding returns the holding of a connection.
func (d *SearchAPI) NewRequestHolding() *RequestHolding {
	return &RequestHolding{control: d.requests}
}

// MarkArriving records that a request arrives. Until MarkComplete, evict may be called, on any goroutine, because other
// requests need the memory; it must not block.
func (h *RequestHolding) MarkArriving(evict func()) { h.control.markArriving(&h.holding, evict) }

// MarkComplete records that the request has arrived, or that its reading has failed.
func (h *RequestHolding) MarkComplete() { h.control.markComplete(&h.holding) }

// Reserve adds to what the request holds. It returns an error if there is no room.
func (h *RequestHolding) Reserve(bytes int) error { return h.control.reserve(&h.holding, bytes) }

// Release takes from what the request holds.
func (h *RequestHolding) Release(bytes int) { h.control.release(&h.holding, bytes) }

// updateHosts applies a full endpoint list, or changes of it.
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

// Search submits a search and waits for its final answer. When ctx is done, the search is withdrawn: its client has left.
func (d *SearchAPI) Search(ctx context.Context, request SearchRequest) (SearchResult, error) {
	if err := d.ValidateTypeAndTenant(request.Type, request.Tenant); err != nil {
		return SearchResult{}, err
	}
	if !isPlainName(request.ID) || strings.ContainsRune(request.ID, '.') || len(request.Shards) == 0 {
		return SearchResult{}, fmt.Errorf("invalid search: id %.40q, %d blocks; expected an id of plain characters without a dot, and at least one block", request.ID, len(request.Shards))
	}
	loop := d.loop
	out, pending := make(chan SearchResult, 1), []pendingWrite(nil)
	now := loop.Clock.Now()
	current := &search{
		name: request.ID, text: request.Body, class: d.classes[request.Type], tenant: d.tenants[request.Tenant], isRetry: request.IsRetry,
		arrivedAt: now, timeout: loop.limitTimeout(min(request.Timeout, maxClientTimeout), now), shards: slices.Clone(request.Shards), decodeValue: request.DecodeValue,
	}
	for range request.Shards {
		current.weights = append(current.weights, 1/float64(len(request.Shards)))
	}
	current.reply = func(outcome searchOutcome) {
		pending = slices.Clone(outcome.pendingWrites)
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
		awaitWritten(pending)
		return result, nil
	case <-ctx.Done():
		loop.submit(func() { loop.withdrawSearch(current) })
		return SearchResult{}, ctx.Err()
	case <-loop.ctx.Done():
		return SearchResult{}, errClosing
	}
}
