package subscribers

import (
	"fmt"
	"maps"
	"math/rand"
	"slices"

	"github.com/stretchr/testify/require"

	"chalkring/cluster/crdt"
)

const (
	modelStep    = second / 5
	modelRegions = 3

	// settlingTime is how long after the last fault all gateways hold the same list and each subscriber has one gateway.
	settlingTime = 25 * second
)

// fleetModel is a model of gateways in three regions on one clock, with links, disks and receivers. Its checks compare
// the requests that gateways accepted with what receivers got, and do not rely on the contents of records.
type fleetModel struct {
	t            require.TestingT
	rng          *rand.Rand
	now          int64
	gateways     []*modelGateway
	cutLinks     map[regionLink]bool // links that carry nothing
	exchangeRate float64             // probability that an exchange takes place
	lossRate     float64             // probability that a delivery is lost, or the reply to it
	healthySince int64               // since when there has been no fault, 0 while there is one
	lastCutAt    int64               // when a link was last cut
	values       map[Key]uint64      // what a search of a subscriber returns now
	requests     map[string]request  // by id
	received     map[Key][]receipt
	contents     map[string]string // of deliveries, by key and number
}

// regionLink is a link from one region to another, by their numbers.
type regionLink struct{ from, to int }

// request is a subscription, with the requests that its instance knew of, or an unsubscription.
type request struct {
	key       Key
	subscribe bool
	known     map[string]bool
}

// receipt is a delivery as its receiver got it.
type receipt struct {
	number  DeliveryNumber
	content string
	settled bool // the fleet was settled when it arrived
}

// modelGateway is one instance: its gateway, shared map, list and disk.
type modelGateway struct {
	model          *fleetModel
	index, region  int
	incarnation    int
	running        bool
	pausedUntil    int64
	diskFull       bool
	shared         *crdt.Map
	list           *List
	gateway        *Gateway
	known          map[string]bool // ids of the requests that it knows of
	disk           diskState
	olderDisks     []diskState
	entryDigests   map[string]uint64
	reachable      []int // as last reported by its membership
	incarnations   int   // sum of their incarnations
	changedAt      int64 // when the reachable gateways changed, 0 if they are as reported
	detectionDelay int64 // of its membership
}

type diskState struct {
	entries map[string]crdt.Entry
	known   map[string]bool
}

func newFleetModel(t require.TestingT, seed int64, gatewaysPerRegion, subscribers int) *fleetModel {
	m := &fleetModel{
		t: t, rng: rand.New(rand.NewSource(seed)), now: 1_700_000_000 * second, cutLinks: map[regionLink]bool{}, values: map[Key]uint64{},
		requests: map[string]request{}, received: map[Key][]receipt{}, contents: map[string]string{}, exchangeRate: 1,
	}
	for i := range modelRegions * gatewaysPerRegion {
		g := &modelGateway{model: m, index: i, region: i % modelRegions, disk: diskState{map[string]crdt.Entry{}, map[string]bool{}}}
		m.gateways = append(m.gateways, g)
		g.start(g.disk)
	}
	for i := range subscribers {
		m.values[Key{"t", fmt.Sprint("s", i)}] = 1
	}
	m.healthySince = m.now
	return m
}

func (g *modelGateway) name() string { return fmt.Sprint("g", g.index) }

func (g *modelGateway) member() Member {
	return Member{g.name(), fmt.Sprint("r", g.region), "", uint64(g.incarnation)}
}

// isActive reports whether the gateway's process runs and is not paused.
func (g *modelGateway) isActive() bool { return g.running && g.pausedUntil < g.model.now }

func (g *modelGateway) start(from diskState) {
	g.incarnation++
	g.running, g.reachable, g.entryDigests = true, nil, map[string]uint64{}
	g.shared, g.list = crdt.NewMap(fmt.Sprintf("%s#%d", g.name(), g.incarnation)), NewList()
	g.gateway = NewGateway(g.model.now, g.member(), PlacementRules{})
	g.known, g.detectionDelay = maps.Clone(from.known), 2*second+g.model.rng.Int63n(second)
	_, err := g.shared.Merge("disk", slices.Collect(maps.Values(from.entries)))
	require.NoError(g.model.t, err)
	g.apply(g.allEntries())
}

func (g *modelGateway) allEntries() (entries []crdt.Entry) {
	g.shared.ScanPrefix("", func(entry crdt.Entry) bool { entries = append(entries, entry); return true })
	return entries
}

func (g *modelGateway) entries(names ...string) (entries []crdt.Entry) {
	for _, name := range names {
		entry, _ := g.shared.Get(name)
		entries = append(entries, entry)
	}
	return entries
}

// save writes the shared map to the disk.
func (g *modelGateway) save() {
	if g.diskFull {
		return
	}
	g.disk = diskState{map[string]crdt.Entry{}, maps.Clone(g.known)}
	for _, entry := range g.allEntries() {
		g.disk.entries[entry.Name] = entry
	}
}

// pull merges another gateway's shared map into this one's.
func (g *modelGateway) pull(from *modelGateway) {
	if g.shared.Digest(crdt.TreeNode{}) == from.shared.Digest(crdt.TreeNode{}) {
		maps.Copy(g.known, from.known)
		return
	}
	var differing []crdt.Entry
	from.shared.ScanPrefix("", func(entry crdt.Entry) bool {
		if g.entryDigests[entry.Name] != from.entryDigests[entry.Name] {
			differing = append(differing, entry)
		}
		return true
	})
	changed, err := g.shared.Merge(from.name(), differing)
	require.NoError(g.model.t, err)
	maps.Copy(g.known, from.known)
	if len(changed) > 0 {
		g.apply(g.entries(changed...))
		g.save()
	}
}

// apply applies entries of the shared map to the list and the gateway.
func (g *modelGateway) apply(entries []crdt.Entry) {
	for _, entry := range entries {
		g.entryDigests[entry.Name] = EntryDigest(entry)
		prefix, name := entry.Name[:len(StatusMessageKeyPrefix)], entry.Name[len(StatusMessageKeyPrefix):]
		if prefix == StatusMessageKeyPrefix {
			g.gateway.HandleStatusMessage(name, DecodeStatusMessage(entry))
		} else if key, changed, _, err := g.list.ApplyEntry(entry); changed {
			require.NoError(g.model.t, err)
			record, exists := g.list.Get(key)
			g.gateway.SetRecord(g.model.now, key, record, exists)
		}
	}
}

// update runs an update as the program does: it reads, updates and puts in one step. A new subscription is recorded as
// a request.
func (g *modelGateway) update(key Key, update RecordUpdate) {
	t := g.model.t
	entry, _ := g.shared.Get(key.EntryName())
	before, _, _ := resolveEntry(entry)
	value, write, err := ApplyUpdate(entry, update)
	if err != nil || !write {
		return
	}
	_, err = g.shared.Put(key.EntryName(), value)
	require.NoError(t, err)
	after, err := DecodeRecord(value)
	require.NoError(t, err)
	if !after.IsUnsubscribed() && (before.IsUnsubscribed() || after.Consent > before.Consent) {
		id := fmt.Sprintf("%s#%d %d", g.name(), g.incarnation, g.shared.KnownVersion().LastCounter(g.shared.Actor()))
		g.model.requests[id], g.known[id] = request{key, true, maps.Clone(g.known)}, true
	}
	g.apply(g.entries(key.EntryName()))
	g.save()
}

// isCut reports whether the link between two regions is cut in at least one direction.
func (m *fleetModel) isCut(a, b int) bool {
	return m.cutLinks[regionLink{a, b}] || m.cutLinks[regionLink{b, a}]
}

func (m *fleetModel) canExchange(a, b *modelGateway) bool {
	return a.isActive() && b.isActive() && (a.region == b.region || !m.isCut(a.region, b.region))
}

// reachableFrom returns the gateways that a gateway reaches, directly or through other regions, including itself.
func (m *fleetModel) reachableFrom(g *modelGateway) (reachable []int) {
	var activeRegions, reachedRegions [modelRegions]bool
	for _, other := range m.gateways {
		activeRegions[other.region] = activeRegions[other.region] || other.isActive()
	}
	reachedRegions[g.region] = true
	for queue := []int{g.region}; len(queue) > 0; queue = queue[1:] {
		for region, reached := range reachedRegions {
			if !reached && activeRegions[region] && !m.isCut(queue[0], region) {
				reachedRegions[region], queue = true, append(queue, region)
			}
		}
	}
	for _, other := range m.gateways {
		if other == g || reachedRegions[other.region] && other.isActive() {
			reachable = append(reachable, other.index)
		}
	}
	return reachable
}

// step lets all gateways act once.
func (m *fleetModel) step() {
	m.now += modelStep
	if len(m.cutLinks) > 0 {
		m.lastCutAt = m.now
	}
	for _, g := range m.gateways {
		if !g.isActive() {
			continue
		}
		g.detectMembers()
		for range 2 {
			other := m.gateways[m.rng.Intn(len(m.gateways))]
			if other != g && m.canExchange(g, other) && m.rng.Float64() < m.exchangeRate {
				g.pull(other)
				other.pull(g)
			}
		}
		g.tick()
		g.runSearches()
	}
	m.requireOneOwner()
}

// detectMembers reports the reachable gateways to the gateway after the membership's detection delay.
func (g *modelGateway) detectMembers() {
	m := g.model
	reachable, incarnations := m.reachableFrom(g), 0
	for _, i := range reachable {
		incarnations += m.gateways[i].incarnation
	}
	if g.reachable != nil && slices.Equal(reachable, g.reachable) && incarnations == g.incarnations {
		g.changedAt = 0
		return
	}
	if g.changedAt == 0 {
		g.changedAt = m.now
	}
	if m.now-g.changedAt < g.detectionDelay && g.reachable != nil {
		return
	}
	g.reachable, g.incarnations, g.changedAt = reachable, incarnations, 0
	var members []Member
	for _, i := range g.reachable {
		members = append(members, m.gateways[i].member())
	}
	g.gateway.UpdateMembers(m.now, members, 2*len(members) > len(m.gateways))
}

func (g *modelGateway) tick() {
	now := g.model.now
	wasServing := g.gateway.serving
	status, publish := g.gateway.Tick(now, uint64(now/10))
	if g.gateway.serving && !wasServing && now-g.gateway.handoverSince < silentTimeout {
		g.requireNoneServesOtherView()
	}
	if !publish {
		return
	}
	name := StatusMessageKeyPrefix + g.name()
	_, err := g.shared.Put(name, status.Encode())
	require.NoError(g.model.t, err)
	g.gateway.ConfirmStatusMessage(status)
	g.entryDigests[name] = EntryDigest(g.entries(name)[0])
	g.save()
}

func (g *modelGateway) runSearches() {
	m := g.model
	searches, _ := g.gateway.StartDueSearches(m.now, 100)
	for _, search := range searches {
		delivery, ok := g.gateway.CompleteSearch(m.now, search, map[int]uint64{0: m.values[search.Key]})
		if !ok {
			continue
		}
		if m.rng.Float64() >= m.lossRate {
			m.receive(delivery)
		}
		arrived := m.rng.Float64() >= m.lossRate
		if checkpoint := g.gateway.CompleteDelivery(m.now, delivery, arrived); arrived {
			g.update(delivery.Key, RecordDelivery(delivery.Consent, checkpoint))
		}
	}
}
