package subscribers

import (
	"cmp"
	"container/heap"
	"fmt"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"chalkring/cluster/crdt"
)

const (
	StatusMessageKeyPrefix = "subat/"     // of the ledger's names under which gateways say what they serve by
	settle                 = 1 * second   // that the members heard stand still before they count: a healing brings many at once
	unsettled              = 5 * second   // of change upon change after which they count as they are
	handMost               = 10 * second  // wait for the word of one that says nothing before serving without it: one that hangs is found out by then
	handTop                = 30 * second  // and for those that say another view: hearing each other one-sidedly must not end all service
	startWait              = 10 * second  // that a new process waits for others to be heard, so that it does not take itself for a side
	stallMost              = 2 * second   // between two turns of the owner, after which a gateway takes itself for replaced
	stallWait              = 5 * second   // then to hear how the others stand
	takeAfter              = 60 * second  // that a region is not heard before a majority serves those attached to it
	lateMost               = 600 * second // that a clock may be set on before the times of searches are drawn anew
	wordMost               = 256          // bytes of a gateway's word
	flightMost             = 256          // searches and deliveries at once
)

// Member is a gateway that is alive and takes part. Life is another with each start.
type Member struct {
	Name, Region, Zone string
	Incarnation        uint64
}

// StatusMessage is what a gateway says in the ledger: by which view it serves, having ended all that was another's by that
// view; in which round of agreement; and the highest turn it has taken. Rounds only rise, so that a word from before a
// split is not taken for one after it.
type StatusMessage struct {
	View  uint64 `cbor:"1,keyasint"`
	Round uint64 `cbor:"2,keyasint"`
	Epoch uint64 `cbor:"3,keyasint"`
}

// Encode is its form in the ledger.
func (w StatusMessage) Encode() []byte {
	text, err := cbor.Marshal(w)
	if err != nil {
		panic(err) // no value of the type fails
	}
	return text
}

func (w StatusMessage) compare(o StatusMessage) int {
	return cmp.Or(cmp.Compare(w.Round, o.Round), cmp.Compare(w.Epoch, o.Epoch), cmp.Compare(w.View, o.View))
}

// DecodeStatusMessage reads it: the last of those that stand.
func DecodeStatusMessage(e crdt.Entry) (w StatusMessage) {
	for _, s := range e.Siblings {
		var t StatusMessage
		if !s.Deleted && len(s.Value) <= wordMost && reading.Unmarshal(s.Value, &t) == nil && t.compare(w) > 0 {
			w = t
		}
	}
	return w
}

// DueSearch is a standing search that is due.
type DueSearch struct {
	Key     Key
	Consent uint64
	Details
	Period int64 // counted from 1970 by the subscriber's own beat
	of     *subscription
}

// Delivery is what is handed over: the blocks whose values are others than those delivered last.
type Delivery struct {
	Key              Key
	Consent          uint64
	Number, Previous DeliveryNumber // Last is the one before, as far as it is known
	Period           int64
	Blocks           []int
	values           map[int]uint64
	of               *subscription
}

// PlacementRules say where a tenant's subscribers may be served.
type PlacementRules struct {
	AllowsTenantData func(tenant, zone string) bool // whether a tenant's entries may be in a zone; nil for anywhere
	Generation       uint64                         // changes with them, alike on all gateways
}

// GatewayStats is what a gateway has done.
type GatewayStats struct {
	Served, Listed, Unassigned         int // subscribers: served here, on the list, without a gateway that may serve them
	Runs, Deliveries, Failed, Repeated int
	ViewChanges                        int
	Epoch                              uint64
	Gateways                           int    // of the view
	View                               uint64 // that is served by, 0 while a hand-over is under way
}

// Gateway decides which subscribers this instance serves, when their searches run and what deliveries are numbered.
// It is one goroutine's, which calls Tick at least every second.
//
// A view is the gateways that are heard. When it changes, a gateway ends all it serves, says so in the ledger, waits
// until all of the view have said the same in this round, takes a turn above all that were seen, and begins when that
// stands in the ledger. So of those with one view no two serve one subscriber, and numbers rise from one to the next.
type Gateway struct {
	me            Member
	rules         PlacementRules
	words         map[string]StatusMessage
	spoke         map[string]int64 // when each word was heard
	subscriptions map[Key]*subscription
	due           beats
	last          int64 // turn of the owner

	heard     []Member // as told
	majority  bool
	heardAt   int64            // since when so
	changedAt int64            // since when other than the view, 0 while it is the view
	gone      map[string]int64 // regions known and not heard, since when
	taken     map[string]bool  // of them, those whose subscribers are served here
	regions   map[string]bool

	view    []member
	allowed map[string][]member // of it, by tenant
	hash    uint64              // of the view, 0 for none
	round   uint64
	said    StatusMessage // stands in the ledger
	claimed uint64
	since   int64 // of the pause
	open    bool  // subscribers are served
	turn    uint64
	n       uint64
	most    uint64 // turn that was seen
	rounds  uint64 // likewise
	starts  int64  // from when on a view counts also without a majority
	not     int64  // before then none does
	flight  int    // searches and deliveries
	handing int    // deliveries
	counts  GatewayStats
}

type member struct {
	Member
	hash uint64
}

type subscription struct {
	Record
	key          Key
	hash         uint64
	served       bool
	flying       bool
	nextSearchAt int64 // of its next search
	place        int
	pending      *Delivery // handed over, and it is not known whether it arrived
	content      uint64
}

// NewGateway begins at a time and serves nobody yet.
func NewGateway(now int64, me Member, rules PlacementRules) *Gateway {
	return &Gateway{
		me: me, rules: rules, words: map[string]StatusMessage{}, spoke: map[string]int64{}, subscriptions: map[Key]*subscription{}, gone: map[string]int64{},
		allowed: map[string][]member{}, taken: map[string]bool{}, regions: map[string]bool{}, last: now, starts: now + startWait,
	}
}

// UpdateMembers takes in which gateways are alive, this one among them, and whether they are more than half of those listed.
func (g *Gateway) UpdateMembers(now int64, members []Member, majority bool) {
	members = slices.Clone(members)
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	if majority != g.majority || !slices.Equal(members, g.heard) {
		g.heard, g.majority, g.heardAt = members, majority, now
	}
	here := map[string]bool{}
	for _, m := range members {
		here[m.Region], g.regions[m.Region] = true, true
		delete(g.gone, m.Region)
		delete(g.taken, m.Region)
	}
	for region := range g.regions {
		if _, known := g.gone[region]; !known && !here[region] {
			g.gone[region] = now
		}
	}
}

// SetRules takes in the rules that hold now.
func (g *Gateway) SetRules(now int64, rules PlacementRules) {
	if rules.Generation != g.rules.Generation {
		g.heardAt = now
	}
	g.rules = rules
}

// IsServing tells that no hand-over is under way.
func (g *Gateway) IsServing() bool { return g.open }

// CountDeliveries tells how many deliveries are on their way.
func (g *Gateway) CountDeliveries() int { return g.handing }

// HandleStatusMessage takes in a gateway's word out of the ledger, also its own of an earlier life.
func (g *Gateway) HandleStatusMessage(name string, w StatusMessage) {
	if g.words[name] != w {
		g.spoke[name] = g.last
	}
	g.words[name], g.most, g.rounds = w, max(g.most, w.Epoch), max(g.rounds, w.Round)
}

// ConfirmStatusMessage takes in that a word of this gateway stands in the ledger.
func (g *Gateway) ConfirmStatusMessage(w StatusMessage) {
	g.said = w
	g.HandleStatusMessage(g.me.Name, w)
}

// SetRecord takes in what the list holds for a subscriber; there is false for one that is not on it.
func (g *Gateway) SetRecord(now int64, k Key, r Record, there bool) {
	s := g.subscriptions[k]
	if !there || r.IsUnsubscribed() {
		if s != nil {
			g.end(s)
			delete(g.subscriptions, k)
		}
		return
	}
	g.most = max(g.most, r.Checkpoint.Number.Epoch)
	if s == nil {
		s = &subscription{key: k, hash: xxhash.Sum64String(k.LedgerKey()), place: -1}
		g.subscriptions[k] = s
	}
	if s.Consent != r.Consent || !s.Details.same(r.Details) {
		s.pending = nil
	}
	beat := s.Details.Interval != r.Details.Interval
	for region := range r.Attachments {
		if !g.regions[region] {
			g.regions[region], g.gone[region] = true, now
		}
	}
	if s.Consent == r.Consent && s.Checkpoint.after(r.Checkpoint) > 0 { // its own, on the way to the ledger
		r.Checkpoint = s.Checkpoint
	}
	s.Record = r
	if !g.place(s, now) && beat && s.served {
		g.beat(s, now)
	}
}

// place begins or ends a subscriber, its searches from a time on. One that comes while the view is open begins at once:
// by the same view it was nobody else's.
func (g *Gateway) place(s *subscription, from int64) (began bool) {
	switch mine := g.open && g.ownerOf(s) == g.me.Name; {
	case mine && !s.served:
		s.served = true
		g.beat(s, from)
		return true
	case !mine:
		g.end(s)
	}
	return false
}

func (g *Gateway) end(s *subscription) {
	if s.place >= 0 {
		heap.Remove(&g.due, s.place)
	}
	s.served = false
}

// ownerOf names the gateway that serves a subscriber by the view: of all that may, the one with the highest hash with it,
// wherever it is attached, so that gateways with one view agree even while what they know of the subscriber differs.
// A side serves those attached to it; a majority also those of regions that it has not heard for long.
func (g *Gateway) ownerOf(s *subscription) string {
	if !g.attached(s) {
		return ""
	}
	name, _ := g.rank(s.key.Tenant, s.hash, "")
	return name
}

func (g *Gateway) attached(s *subscription) bool {
	for region := range s.Attachments {
		if _, gone := g.gone[region]; !gone || g.taken[region] {
			return true
		}
	}
	return false
}

// rank names the gateway with the highest hash, and how many are above this one; of one region, or of all.
func (g *Gateway) rank(tenant string, hash uint64, region string) (first string, above int) {
	mine := mixed(xxhash.Sum64String(g.me.Name), hash)
	var best uint64
	for _, m := range g.may(tenant) {
		if region != "" && m.Region != region {
			continue
		}
		v := mixed(m.hash, hash)
		if first == "" || v > best {
			first, best = m.Name, v
		}
		if v > mine && m.Name != g.me.Name {
			above++
		}
	}
	return first, above
}

// may are the gateways of the view that stand in a zone where the tenant's entries may be.
func (g *Gateway) may(tenant string) []member {
	if g.rules.AllowsTenantData == nil {
		return g.view
	}
	all, known := g.allowed[tenant]
	if !known {
		for _, m := range g.view {
			if g.rules.AllowsTenantData(tenant, m.Zone) {
				all = append(all, m)
			}
		}
		g.allowed[tenant] = all
	}
	return all
}

// FileWriterRank tells how many gateways of this one's region come before it with a file's line about a subscriber: one writes,
// and the next ones only if it does not.
func (g *Gateway) FileWriterRank(k Key) int {
	_, above := g.rank(k.Tenant, xxhash.Sum64String(k.LedgerKey()), g.me.Region)
	return above
}

// Tick moves the view on. word is to be put into the ledger under this gateway's name where say is true; the caller
// tells by Said once it stands there.
func (g *Gateway) Tick(now int64, wallMS uint64) (word StatusMessage, say bool) {
	if now-g.last > stallMost { // guards against a process that was stopped: others may serve in its place
		g.hash, g.not = 0, now+stallWait
		g.pause(now)
	}
	g.last = max(now, g.last)
	if now < g.not || now < g.starts && !g.majority || g.heard == nil {
		return StatusMessage{}, false
	}
	if hash := g.sum(); hash == g.hash {
		g.changedAt = 0
	} else if g.changedAt == 0 {
		g.changedAt = now
	} else if now-g.heardAt >= settle || now-g.changedAt >= unsettled {
		g.adopt(now, hash)
	}
	switch {
	case g.hash == 0:
		return StatusMessage{}, false
	case g.raise():
		g.pause(now)
	case g.open:
		g.takeOver(now)
		return StatusMessage{}, false
	case g.handing > 0 && now-g.since < handMost: // an end is on its way: the other must not begin
		return StatusMessage{}, false
	}
	if g.claimed == 0 && g.said.View == g.hash && g.said.Round == g.round && (g.agreed() || g.late(now)) {
		g.claimed = max(g.most+1, wallMS)
	}
	if want := (StatusMessage{g.hash, g.round, max(g.claimed, g.said.Epoch)}); want != g.said {
		return want, true
	}
	if g.claimed > 0 { // the turn stands in the ledger
		g.open, g.turn, g.n = true, g.claimed, 0
		g.takeOver(now)
		for _, s := range g.subscriptions {
			g.place(s, g.since-handMost) // searches that fell into the hand-over, or before it was seen, run now
		}
	}
	return StatusMessage{}, false
}

// raise takes part in another's later round, and goes past words of an earlier life that stand beside this one's.
func (g *Gateway) raise() (raised bool) {
	if own := g.words[g.me.Name]; own != g.said {
		g.words[g.me.Name], g.round, raised = g.said, g.rounds+1, true
	}
	for _, m := range g.view {
		if w := g.words[m.Name]; w.View == g.hash && w.Round > g.round {
			g.round, raised = w.Round, true
		}
	}
	return raised
}

// takeOver serves those of regions that have been gone for long, where more than half of all are heard.
func (g *Gateway) takeOver(now int64) {
	for region, since := range g.gone {
		if over := g.majority && now-since >= takeAfter; over != g.taken[region] {
			g.taken[region] = over
			for _, s := range g.subscriptions {
				if _, there := s.Attachments[region]; there {
					g.place(s, now)
				}
			}
		}
	}
}

// sum names the view that is heard now.
func (g *Gateway) sum() uint64 {
	d := newDigest()
	d.number(g.rules.Generation)
	for _, m := range g.heard {
		d.text(m.Name)
		d.text(m.Region)
		d.text(m.Zone)
		d.number(m.Incarnation)
	}
	return max(1, d.sum())
}

// adopt makes the gateways that are heard the view.
func (g *Gateway) adopt(now int64, hash uint64) {
	g.counts.ViewChanges++
	clear(g.allowed)
	g.hash, g.changedAt, g.round, g.view = hash, 0, g.rounds+1, nil
	for _, m := range g.heard {
		g.view = append(g.view, member{m, xxhash.Sum64String(m.Name)})
	}
	g.pause(now)
}

// pause ends all that is served here, until a turn is taken by the view there is now.
func (g *Gateway) pause(now int64) {
	if g.open || g.since == 0 || g.since < g.last-handTop {
		g.since = now
	}
	g.open, g.claimed = false, 0
	for _, s := range g.subscriptions {
		g.end(s)
	}
}

// agreed tells whether all of the view serve by it, as of this round.
func (g *Gateway) agreed() bool {
	return !slices.ContainsFunc(g.view, g.apart)
}

// apart tells whether another of the view does not serve by it, as of this round.
func (g *Gateway) apart(m member) bool {
	w := g.words[m.Name]
	return m.Name != g.me.Name && (w.View != g.hash || w.Round < g.round)
}

// late tells whether it has been waited enough for those that have not agreed.
func (g *Gateway) late(now int64) bool {
	if now-g.since < handMost {
		return false
	}
	return now-g.since >= handTop || !slices.ContainsFunc(g.view, func(m member) bool {
		return g.apart(m) && now-g.spoke[m.Name] < handMost
	})
}

// beat sets the time of the next search: each subscriber has a beat of its own within its period, the same on all
// gateways, so that those of a gateway that is gone come spread over the period.
func (g *Gateway) beat(s *subscription, from int64) {
	every := s.Details.Interval
	s.nextSearchAt = from + every - ((from-int64(s.hash%uint64(every)))%every+every)%every
	if s.place >= 0 {
		heap.Fix(&g.due, s.place)
	} else if s.served && !s.flying {
		heap.Push(&g.due, s)
	}
}

func (s *subscription) period(now int64) int64 {
	return (now - int64(s.hash%uint64(s.Details.Interval))) / s.Details.Interval
}

// StartDueSearches names searches to start now, so many at the most; each is ended by Ran. next is when to ask again, 0 for not
// before something changes.
func (g *Gateway) StartDueSearches(now int64, most int) (runs []DueSearch, next int64) {
	for len(g.due) > 0 && g.due[0].nextSearchAt <= now && len(runs) < most && g.flight < flightMost {
		if s := g.due[0]; g.rules.AllowsTenantData != nil && !g.rules.AllowsTenantData(s.key.Tenant, g.me.Zone) { // a contract's time has come, or nobody can know
			g.beat(s, now)
			continue
		}
		s := heap.Pop(&g.due).(*subscription)
		s.flying = true
		g.flight++
		g.counts.Runs++
		runs = append(runs, DueSearch{s.key, s.Consent, s.Details, s.period(now), s})
	}
	if len(g.due) > 0 {
		next = g.due[0].nextSearchAt
		if next > now+lateMost+g.due[0].Details.Interval { // guards against a clock that was set back by far
			g.beat(g.due[0], now)
		}
	}
	return runs, next
}

// CompleteSearch takes in how a search ended: hashes of the values by block, without those that are not in. It tells what is to be
// delivered; then Handed ends the run. Nothing is delivered for one who has left or is another's since.
func (g *Gateway) CompleteSearch(now int64, r DueSearch, values map[int]uint64) (d Delivery, ok bool) {
	s := r.of
	changed, content := []int{}, newDigest()
	for _, b := range slices.Sorted(maps.Keys(values)) {
		if v, had := s.Checkpoint.Values[b]; !had || v != values[b] {
			changed = append(changed, b)
			content.number(uint64(b))
			content.number(values[b])
		}
	}
	if !s.served || s.Consent != r.Consent || !s.Details.same(r.Details) || len(changed) == 0 || now-g.last > stallMost {
		g.landed(now, s)
		return d, false
	}
	d = Delivery{Key: r.Key, Consent: r.Consent, Previous: s.Checkpoint.Number, Period: r.Period, Blocks: changed, values: map[int]uint64{}, of: s}
	for b, v := range s.Checkpoint.Values {
		if len(r.Blocks) == 0 || slices.Contains(r.Blocks, b) {
			d.values[b] = v
		}
	}
	maps.Copy(d.values, values)
	if sum := content.sum(); s.pending != nil && s.content == sum && s.pending.Number.Epoch == g.turn {
		d.Number = s.pending.Number // the same again: the first one may have arrived
		g.counts.Repeated++
	} else {
		g.n++
		s.content, d.Number = sum, DeliveryNumber{g.turn, g.n, g.me.Name}
	}
	s.pending = &d
	g.handing++
	g.counts.Deliveries++
	return d, true
}

// CompleteDelivery takes in how a delivery ended. Of one that arrived it gives what the ledger is to hold.
func (g *Gateway) CompleteDelivery(now int64, d Delivery, arrived bool) (mark DeliveryCheckpoint) {
	s := d.of
	g.handing--
	if arrived {
		mark = DeliveryCheckpoint{d.Number, d.values}
		if s.pending = nil; s.Consent == d.Consent && mark.after(s.Checkpoint) > 0 {
			s.Checkpoint = mark
		}
	} else {
		g.counts.Failed++
	}
	g.landed(now, s)
	return mark
}

func (g *Gateway) landed(now int64, s *subscription) {
	g.flight--
	if s.flying = false; s.served {
		g.beat(s, now)
	}
}

// Stats tells how the gateway stands.
func (g *Gateway) Stats() GatewayStats {
	c := g.counts
	if c.Listed, c.Epoch, c.Gateways = len(g.subscriptions), g.turn, len(g.view); g.open {
		c.View = g.hash
	}
	for _, s := range g.subscriptions {
		if s.served {
			c.Served++
		} else if !g.attached(s) || len(g.may(s.key.Tenant)) == 0 {
			c.Unassigned++
		}
	}
	return c
}

func (n DeliveryNumber) String() string {
	return fmt.Sprintf("%d.%d.%s", n.Epoch, n.Sequence, n.Gateway)
}

// beats are the subscribers served here, in the order of their next searches.
type beats []*subscription

func (b beats) Len() int { return len(b) }
func (b beats) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(b[i].nextSearchAt, b[j].nextSearchAt), cmp.Compare(b[i].hash, b[j].hash)) < 0
}

func (b beats) Swap(i, j int) {
	b[i], b[j] = b[j], b[i]
	b[i].place, b[j].place = i, j
}

func (b *beats) Push(v any) {
	v.(*subscription).place = len(*b)
	*b = append(*b, v.(*subscription))
}

func (b *beats) Pop() any {
	last := len(*b) - 1
	s := (*b)[last]
	(*b)[last], s.place = nil, -1
	*b = (*b)[:last]
	return s
}
