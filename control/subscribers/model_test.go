package subscribers

import (
	"fmt"
	"maps"
	"math/rand"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"chalkring/cluster/crdt"
)

// world is a model of gateways in three regions on one clock, with links, disks and receivers. It judges by what was
// asked of the gateways and by what receivers got, not by what records say.
type world struct {
	t      require.TestingT
	r      *rand.Rand
	now    int64
	nodes  []*gate
	cut    map[[2]int]bool // a link from one region to another that carries nothing
	talk   float64         // share of exchanges that come about
	loss   float64         // of deliveries, and of answers to them
	calm   int64           // since when all is well
	split  int64           // when a link was cut last
	truth  map[Key]uint64
	subs   map[string]asking // by id
	got    map[Key][]receipt
	nums   map[string]string // content by key and number
	double int
}

// asking is a subscription (with the unsubscriptions that were seen then) or an unsubscription.
type asking struct {
	key  Key
	on   bool
	seen map[string]bool
}

type receipt struct {
	at      int64
	number  DeliveryNumber
	content string
	calm    bool
}

type gate struct {
	w       *world
	i, life int
	region  int
	up      bool
	stopped int64 // until
	full    bool  // its disk takes nothing
	led     *crdt.Map
	list    *List
	gw      *Gateway
	seen    map[string]bool // askings it knows of
	disk    state
	old     []state
	heard   []int
	lives   int // of those heard, all together
	heardAt int64
	lag     int64
	stamps  map[string]uint64
}

type state struct {
	entries map[string]crdt.Entry
	seen    map[string]bool
}

func newWorld(t require.TestingT, seed int64, regions, each, keys int) *world {
	w := &world{
		t: t, r: rand.New(rand.NewSource(seed)), now: 1_700_000_000 * second, cut: map[[2]int]bool{}, truth: map[Key]uint64{},
		subs: map[string]asking{}, got: map[Key][]receipt{}, nums: map[string]string{}, talk: 1,
	}
	for i := range regions * each {
		n := &gate{w: w, i: i, region: i % regions, disk: state{map[string]crdt.Entry{}, map[string]bool{}}}
		w.nodes = append(w.nodes, n)
		n.start(n.disk)
	}
	for i := range keys {
		w.truth[Key{"t", fmt.Sprint("s", i)}] = 1
	}
	w.calm = w.now
	return w
}

func (n *gate) name() string { return fmt.Sprint("g", n.i) }

func (n *gate) me() Member {
	return Member{n.name(), fmt.Sprint("r", n.region), "", uint64(n.life)}
}

func (n *gate) start(from state) {
	n.life++
	n.up, n.heard, n.stamps = true, nil, map[string]uint64{}
	n.led, n.list, n.gw = crdt.NewMap(fmt.Sprintf("%s#%d", n.name(), n.life)), NewList(), NewGateway(n.w.now, n.me(), PlacementRules{})
	n.seen, n.lag = maps.Clone(from.seen), 2*second+n.w.r.Int63n(second)
	_, err := n.led.Merge("disk", slices.Collect(maps.Values(from.entries)))
	require.NoError(n.w.t, err)
	n.take(n.all())
}

func (n *gate) all() (all []crdt.Entry) {
	n.led.ScanPrefix("", func(e crdt.Entry) bool { all = append(all, e); return true })
	return all
}

// save keeps what the ledger holds on the disk, and older states of it.
func (n *gate) save() {
	if n.full {
		return
	}
	n.disk = state{map[string]crdt.Entry{}, maps.Clone(n.seen)}
	for _, e := range n.all() {
		n.disk.entries[e.Name] = e
	}
}

// exchange takes in what another holds.
func (n *gate) exchange(o *gate) {
	if n.led.Digest(crdt.TreeNode{}) == o.led.Digest(crdt.TreeNode{}) {
		maps.Copy(n.seen, o.seen)
		return
	}
	var other []crdt.Entry
	o.led.ScanPrefix("", func(e crdt.Entry) bool {
		if n.stamps[e.Name] != o.stamps[e.Name] {
			other = append(other, e)
		}
		return true
	})
	changed, err := n.led.Merge(o.name(), other)
	require.NoError(n.w.t, err)
	if maps.Copy(n.seen, o.seen); len(changed) > 0 {
		n.take(n.named(changed...))
		n.save()
	}
}

func (n *gate) named(names ...string) (all []crdt.Entry) {
	for _, name := range names {
		e, _ := n.led.Get(name)
		all = append(all, e)
	}
	return all
}

// take reads what is new in the ledger.
func (n *gate) take(entries []crdt.Entry) {
	for _, e := range entries {
		n.stamps[e.Name] = EntryDigest(e)
		if name, word := e.Name[len(StatusMessageKeyPrefix):], e.Name[:len(StatusMessageKeyPrefix)] == StatusMessageKeyPrefix; word {
			n.gw.HandleStatusMessage(name, DecodeStatusMessage(e))
		} else if k, changed, _, err := n.list.ApplyEntry(e); changed {
			require.NoError(n.w.t, err)
			r, there := n.list.Get(k)
			n.gw.SetRecord(n.w.now, k, r, there)
		}
	}
}

// do runs an op as the program does: read, decide and put in one step; what it came to is noted as asked.
func (n *gate) do(k Key, op RecordUpdate) {
	e, _ := n.led.Get(k.LedgerKey())
	before, _, _ := resolve(e)
	value, write, err := ApplyUpdate(e, op)
	if err != nil || !write {
		return
	}
	_, err = n.led.Put(k.LedgerKey(), value)
	require.NoError(n.w.t, err)
	after, err := DecodeRecord(value)
	require.NoError(n.w.t, err)
	id := fmt.Sprintf("%s#%d %d", n.name(), n.life, n.led.KnownVersion().LastCounter(n.led.Actor()))
	if !after.IsUnsubscribed() && (before.IsUnsubscribed() || after.Consent > before.Consent) {
		n.w.subs[id], n.seen[id] = asking{k, true, maps.Clone(n.seen)}, true
	}
	n.take(n.named(k.LedgerKey()))
	n.save()
}

func (w *world) linked(a, b *gate) bool {
	return a.up && b.up && a.stopped < w.now && b.stopped < w.now && (a.region == b.region || !w.cut[[2]int{a.region, b.region}] && !w.cut[[2]int{b.region, a.region}])
}

// hears is which others a gateway hears, over other regions too.
func (w *world) hears(n *gate) (all []int) {
	met, todo := []bool{0: n.region == 0, 1: n.region == 1, 2: n.region == 2}, []int{n.region}
	awake := []bool{false, false, false}
	for _, m := range w.nodes {
		awake[m.region] = awake[m.region] || m.up && m.stopped < w.now
	}
	for len(todo) > 0 {
		at := todo[0]
		todo = todo[1:]
		for o := range met {
			if !met[o] && awake[o] && !w.cut[[2]int{at, o}] && !w.cut[[2]int{o, at}] {
				met[o], todo = true, append(todo, o)
			}
		}
	}
	for _, m := range w.nodes {
		if m == n || met[m.region] && m.up && m.stopped < w.now {
			all = append(all, m.i)
		}
	}
	return all
}

const step = second / 5

// step is a fifth of a second of all gateways.
func (w *world) step() {
	if w.now += step; len(w.cut) > 0 {
		w.split = w.now
	}
	for _, n := range w.nodes {
		if !n.up || n.stopped >= w.now {
			continue
		}
		hears, lives := w.hears(n), 0
		for _, i := range hears {
			lives += w.nodes[i].life
		}
		if n.heard == nil || !slices.Equal(hears, n.heard) || lives != n.lives {
			if n.heardAt == 0 {
				n.heardAt = w.now
			}
			if w.now-n.heardAt >= n.lag || n.heard == nil {
				n.heard, n.lives, n.heardAt = hears, lives, 0
				var members []Member
				for _, i := range n.heard {
					members = append(members, w.nodes[i].me())
				}
				n.gw.UpdateMembers(w.now, members, 2*len(members) > len(w.nodes))
			}
		} else {
			n.heardAt = 0
		}
		for range 2 {
			if o := w.nodes[w.r.Intn(len(w.nodes))]; o != n && w.linked(n, o) && w.r.Float64() < w.talk {
				n.exchange(o)
				o.exchange(n)
			}
		}
		was := n.gw.open
		word, say := n.gw.Tick(w.now, uint64(w.now/10))
		if n.gw.open && !was && w.now-n.gw.since < handMost {
			n.handedOver()
		}
		if say {
			_, err := n.led.Put(StatusMessageKeyPrefix+n.name(), word.Encode())
			require.NoError(w.t, err)
			n.gw.ConfirmStatusMessage(word)
			n.stamps[StatusMessageKeyPrefix+n.name()] = EntryDigest(n.named(StatusMessageKeyPrefix + n.name())[0])
			n.save()
		}
		runs, _ := n.gw.StartDueSearches(w.now, 100)
		for _, r := range runs {
			d, ok := n.gw.CompleteSearch(w.now, r, map[int]uint64{0: w.truth[r.Key]})
			if !ok {
				continue
			}
			if w.r.Float64() >= w.loss {
				w.receive(n, d)
			}
			arrived := w.r.Float64() >= w.loss
			if mark := n.gw.CompleteDelivery(w.now, d, arrived); arrived {
				n.do(d.Key, RecordDelivery(d.Consent, mark))
			}
		}
	}
	w.one()
}

const settled = 25 * second // after the last fault, by when there is one list and one gateway for each subscriber

func (w *world) calmNow() bool { return w.calm > 0 && w.now-w.calm > settled }

// receive judges a delivery as its receiver sees it.
func (w *world) receive(n *gate, d Delivery) {
	content := fmt.Sprint(d.Consent, d.Blocks, d.values)
	name := d.Key.LedgerKey() + d.Number.String()
	if was, again := w.nums[name]; again {
		require.Equal(w.t, was, content, "a number came with other content")
		return
	}
	w.nums[name] = content
	for _, was := range w.got[d.Key] {
		if was.number.Gateway == d.Number.Gateway || w.now-w.split > settled {
			require.Positive(w.t, d.Number.Compare(was.number), "numbers went backward: %v after %v", d.Number, was.number)
		}
		if was.content == content {
			w.double++
			require.False(w.t, was.calm && w.calmNow() && w.loss == 0, "the same came twice without a fault")
		}
	}
	w.got[d.Key] = append(w.got[d.Key], receipt{w.now, d.Number, content, w.calmNow()})
}

// handedOver judges that none of the view serves by another one when all had said that they end.
func (n *gate) handedOver() {
	for _, m := range n.gw.view {
		for _, o := range n.w.nodes {
			if m.Name == o.name() && o.up && o.stopped < n.w.now && len(n.w.cut) == 0 {
				require.False(n.w.t, o.gw.open && o.gw.hash != n.gw.hash, "%s begins and %s has not ended", n.name(), o.name())
			}
		}
	}
}

// one judges that of those with one view no two serve one subscriber, and later that one does at all.
func (w *world) one() {
	for k := range w.truth {
		var by []*gate
		for _, n := range w.nodes {
			if s := n.gw.subscriptions[k]; n.up && s != nil && s.served {
				for _, o := range by {
					require.False(w.t, o.gw.hash == n.gw.hash, "%v is served by %s and %s by one view", k, o.name(), n.name())
				}
				by = append(by, n)
			}
		}
		if w.calmNow() {
			r, _ := w.nodes[0].list.Get(k)
			require.Equal(w.t, !r.IsUnsubscribed(), len(by) == 1, "%v: %d gateways serve, off %v", k, len(by), r.IsUnsubscribed())
		}
	}
}

// end heals all and judges the lists.
func (w *world) end() {
	clear(w.cut)
	w.loss = 0
	for _, n := range w.nodes {
		n.stopped, n.full = 0, false
		if !n.up {
			n.start(n.disk)
		}
	}
	w.calm = w.now
	for range settled/step + 50 {
		w.step()
	}
	known := map[string]bool{}
	for _, n := range w.nodes {
		maps.Copy(known, n.seen)
	}
	for k := range w.truth {
		on, left := false, map[string]bool{}
		for id, a := range w.subs {
			if a.key == k && known[id] {
				if on = on || a.on; !a.on {
					left[id] = true
				}
			}
		}
		for id, a := range w.subs {
			if a.key == k && a.on && known[id] {
				for u := range a.seen {
					delete(left, u)
				}
			}
		}
		want := on && len(left) == 0
		var form []byte
		for _, n := range w.nodes {
			r, there := n.list.Get(k)
			require.Equal(w.t, want, there && !r.IsUnsubscribed(), "%v at %s: %s; not answered: %v", k, n.name(), r.Describe(), left)
			if r.PriorHashes = nil; form == nil {
				form = r.Encode()
			}
			require.Equal(w.t, form, r.Encode(), "%v is two at the end", k)
		}
	}
}

func (w *world) key() Key { return Key{"t", fmt.Sprint("s", w.r.Intn(len(w.truth)))} }

func (w *world) details() Details {
	return Details{Type: "lookup", Query: fmt.Sprint(w.r.Intn(4)), Interval: (1 + w.r.Int63n(4)) * second}
}

// ask has someone ask something of a gateway.
func (w *world) ask() {
	n, k := w.nodes[w.r.Intn(len(w.nodes))], w.key()
	if !n.up || n.stopped >= w.now {
		return
	}
	switch w.r.Intn(4) {
	case 0:
		id := fmt.Sprint("left ", len(w.subs))
		w.subs[id], n.seen[id] = asking{key: k}, true
		n.do(k, Unsubscribe(k, n.name(), uint64(w.now/10)))
	case 1:
		n.do(k, ChangeDetails(k, w.details()))
	default:
		n.do(k, Subscribe(k, n.me().Region, w.details()))
	}
}

// fault does one thing to the world.
func (w *world) fault(what string) {
	n := w.nodes[w.r.Intn(len(w.nodes))]
	a, b := w.r.Intn(3), w.r.Intn(3)
	switch what {
	case "cut":
		w.cut[[2]int{a, b}], w.cut[[2]int{b, a}] = true, true
	case "one way":
		w.cut[[2]int{a, b}] = true
	case "region":
		for o := range 3 {
			w.cut[[2]int{a, o}], w.cut[[2]int{o, a}] = true, true
		}
	case "heal":
		clear(w.cut)
	case "two heal":
		delete(w.cut, [2]int{a, b})
		delete(w.cut, [2]int{b, a})
	case "flap":
		for range 4 {
			w.fault("region")
			w.run(2 * second)
			w.fault("heal")
			w.run(2 * second)
		}
	case "kill":
		n.up = false
	case "restart":
		n.start(n.disk)
	case "remember":
		for _, n := range w.nodes {
			n.old = append(n.old, n.disk)
		}
	case "older disk":
		if len(n.old) > 0 {
			n.disk = n.old[w.r.Intn(len(n.old))]
			n.start(n.disk)
		}
	case "restart all":
		for _, n := range w.nodes {
			n.start(n.disk)
		}
	case "stop":
		n.stopped = w.now + w.r.Int63n(15*second)
	case "loss":
		w.loss = 0.3
	case "full disk":
		n.full = true
	case "storm":
		for range 30 {
			w.ask()
		}
	}
}

func (w *world) run(long int64) {
	for end := w.now + long; w.now < end; {
		if w.r.Intn(4) == 0 {
			w.ask()
		}
		if w.r.Intn(3) == 0 {
			w.truth[w.key()]++
		}
		w.step()
	}
}

var faults = []string{
	"cut", "one way", "region", "heal", "two heal", "flap", "kill", "restart", "remember", "older disk",
	"restart all", "stop", "loss", "full disk", "storm",
}

func TestListsBecomeOneWhateverHappens(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, rapid.Int64().Draw(t, "seed"), 3, 2, 6)
		w.talk = rapid.SampledFrom([]float64{0.15, 0.4, 1}).Draw(t, "talk")
		for range 30 {
			w.ask()
		}
		w.run(12 * second)
		for _, what := range rapid.SliceOfN(rapid.SampledFrom(faults), 1, 8).Draw(t, "faults") {
			w.calm = 0
			w.fault(what)
			w.run(1 + w.r.Int63n(12*second))
		}
		w.end()
	})
}

// A large fleet in three regions, of which one is cut off and comes back: one list, each served once, and the searches
// of those taken over come spread over their period.
func TestLargeFleet(t *testing.T) {
	w := newWorld(t, 3, 3, 25, 60)
	for range 200 {
		w.ask()
	}
	for range 60 {
		w.step()
	}
	w.calm = 0
	w.fault("region")
	for range 60 {
		w.step()
	}
	w.end()
}
