// Package swimsim plays a fleet on one handed-in clock: instances with the books and watches of package membership, over a model
// of the gossip library's protocol and a drawn network that loses, delays and cuts. It has no I/O. Tests and lab look at
// thousands of histories and at 300 instances with it, which no machine's sockets would give in time.
package swimsim

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand"
	"slices"

	"chalkring/cluster/membership"
)

// The library's times as package gossip sets them, in tenths of a millisecond, and about the sizes that it sends.
const (
	ms         = 10
	Second     = 1000 * ms
	probeEvery = 500 * ms
	ackMost    = membership.PingTimeout
	newsEvery  = 200 * ms
	newsNodes  = 3
	newsMost   = 12 // items of a packet: 1400 bytes
	helpers    = 3  // asked to probe one that did not answer
	pullEvery  = 15 * Second
	deadTold   = 30 * Second
	stepEvery  = 100 * ms
	joinEvery  = Second
	joinAtOnce = 3
	tellEvery  = 500 * ms
	pingBytes  = 90  // a ping or its answer
	newsBytes  = 110 // an item of news, with its share of the packet
	listBytes  = 130 // a member in an exchange of all
)

// Cluster is the clock, the network and the instances.
type Cluster struct {
	Now           int64
	PacketLoss    float64                    // share of packets; streams come through
	MaxLatency    int64                      // longest way from one to another
	IsPartitioned func(from, to int) bool    // by number; nil for none
	Instances     []*Instance                // in order of number, with their latest lives
	OnStep        func(at int64, w *Cluster) // called every 100 ms; may be nil

	dice   *rand.Rand
	queue  events
	serial int
	listed []string
	spare  int64 // incarnations
}

// Instance is one process's life.
type Instance struct {
	Index     int
	NodeName  string
	Running   bool
	Paused    bool // stopped by SIGSTOP
	Table     *membership.Table
	BytesSent int64 // bytes

	w       *Cluster
	watch   *membership.FailureDetector
	nodes   map[string]*node
	ids     []string // of nodes, in the order in which they came
	round   []string
	inc     uint32
	news    []*item
	said    membership.Member
	spoke   int64          // when
	unheard bool           // somebody still speaks of a life before
	held    []func()       // what its timers would have done meanwhile
	last    map[string]int // number under which a name was there last: its address
}

type node struct {
	m     membership.Member
	no    int
	inc   uint32
	state membership.State // Alive, Suspect, Gone
	since int64
}

// item is a word that goes round.
type item struct {
	key   string
	m     membership.Member
	no    int
	inc   uint32
	state membership.State
	left  int
}

type event struct {
	at     int64
	serial int
	do     func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].serial < e[j].serial
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// NewCluster makes a world of so many instances, all up, that know the first few of them to begin with.
func NewCluster(seed int64, n int) *Cluster {
	w := &Cluster{dice: rand.New(rand.NewSource(seed)), MaxLatency: 40 * ms}
	for no := range n {
		w.listed = append(w.listed, InstanceName(no))
	}
	for no := range n {
		w.Instances = append(w.Instances, nil)
		w.Start(no)
	}
	return w
}

// Converge has all know each other, with no word on its way, as a fleet does that has stood for long.
func (w *Cluster) Converge() {
	for _, i := range w.Instances {
		for _, o := range w.Instances {
			if o != i {
				i.alive(item{key: o.NodeName, m: o.said, no: o.Index, inc: 0, state: membership.Alive})
			}
		}
		i.news = nil
	}
}

// InstanceName is the name of an instance.
func InstanceName(no int) string { return fmt.Sprintf("n%03d", no) }

func (w *Cluster) after(wait int64, do func()) {
	w.serial++
	heap.Push(&w.queue, event{w.Now + wait, w.serial, do})
}

// later calls f while the life lasts; one that is held calls it as it goes on.
func (i *Instance) later(wait int64, f func()) {
	i.w.after(wait, func() {
		if i.Paused {
			i.held = append(i.held, f)
		} else if i.Running {
			f()
		}
	})
}

// every calls f first after a drawn part of the period, and then each period, while the life lasts.
func (i *Instance) every(period int64, f func()) {
	var again func()
	again = func() {
		f()
		i.later(period, again)
	}
	i.later(i.w.dice.Int63n(period), again)
}

// Pause stops a process as SIGSTOP does; what is sent to it is lost. Go lets it go on.
func (w *Cluster) Pause(no int) { w.Instances[no].Paused = true }

func (w *Cluster) Resume(no int) {
	i := w.Instances[no]
	if !i.Paused {
		return
	}
	i.Paused = false
	late := i.held
	i.held = nil
	for _, f := range late {
		if i.Running {
			f()
		}
	}
}

// RunUntil plays until a time.
func (w *Cluster) RunUntil(until int64) {
	for next := w.Now; len(w.queue) > 0 && w.queue[0].at <= until; {
		e := heap.Pop(&w.queue).(event)
		for ; w.OnStep != nil && next <= e.at; next += stepEvery {
			w.Now = next
			w.OnStep(next, w)
		}
		w.Now = e.at
		e.do()
	}
	w.Now = until
}

// Start begins a new life of an instance that is down or has not been.
func (w *Cluster) Start(no int) {
	w.spare += 1000
	me := membership.Member{Name: InstanceName(no), Incarnation: uint64(w.spare), Addr: fmt.Sprint("addr-", no)}
	i := &Instance{
		Index: no, NodeName: fmt.Sprintf("%s#%d", me.Name, me.Incarnation), Running: true, w: w, Table: membership.NewTable(me, w.listed),
		nodes: map[string]*node{}, last: map[string]int{}, said: me,
	}
	i.watch = membership.NewFailureDetector(i.Table, rand.New(rand.NewSource(w.dice.Int63())))
	w.Instances[no] = i
	i.every(probeEvery, i.probe)
	i.every(newsEvery, i.gossip)
	pulls := int64(max(1, math.Ceil(math.Log2(float64(len(w.listed)))-5)+1)) // above 32 instances it is done less often
	i.every(pulls*pullEvery, func() {
		if key := i.some(1, func(n *node) bool { return n.state == membership.Alive }); len(key) > 0 {
			i.exchange(i.nodes[key[0]].no)
		}
	})
	i.every(stepEvery, i.step)
	i.every(joinEvery, i.join)
	i.every(tellEvery, i.tell)
}

// Kill ends a life without a word.
func (w *Cluster) Kill(no int) { w.Instances[no].Running, w.Instances[no].Paused = false, false }

// Leave ends one on purpose.
func (w *Cluster) Leave(no int) {
	i := w.Instances[no]
	i.Table.Leave(w.Now)
	i.sayMe()
	word := membership.Member{Name: i.said.Name, Incarnation: i.said.Incarnation, State: membership.Left}
	for _, key := range i.ids {
		if n := i.nodes[key]; n != nil && n.state != membership.Dead {
			i.packet(n.no, pingBytes, func(to *Instance) { to.Table.ApplyUpdate(w.Now, word) })
		}
	}
	i.gossip()
	w.after(newsEvery, func() { i.gossip(); i.Running = false })
}

// packet carries f to another, if it comes through; whoever is up there gets it.
func (i *Instance) packet(no, size int, f func(to *Instance)) {
	w := i.w
	i.BytesSent += int64(size)
	if w.cut(i.Index, no) || w.dice.Float64() < w.PacketLoss {
		return
	}
	w.after(ms+w.dice.Int63n(w.MaxLatency), func() {
		if to := w.Instances[no]; to.Running && !to.Paused && !w.cut(i.Index, no) {
			f(to)
		}
	})
}

// laden is a packet that takes news along, as pings and their answers do.
func (i *Instance) laden(no, size int, f func(to *Instance)) {
	batch := i.batch()
	i.packet(no, size+newsBytes*len(batch), func(to *Instance) {
		for _, t := range batch {
			to.take(t)
		}
		f(to)
	})
}

// batch is the news that goes with one packet: what has gone out least first.
func (i *Instance) batch() (batch []item) {
	if len(i.news) == 0 {
		return nil
	}
	slices.SortStableFunc(i.news, func(a, b *item) int { return b.left - a.left })
	done := false
	for _, t := range i.news[:min(newsMost, len(i.news))] {
		t.left--
		done = done || t.left <= 0
		batch = append(batch, *t)
	}
	if done {
		i.news = slices.DeleteFunc(i.news, func(t *item) bool { return t.left <= 0 })
	}
	return batch
}

// ping asks a life for an answer; done is called once.
func (i *Instance) ping(key string, no int, done func(ok bool)) {
	over := false
	i.laden(no, pingBytes, func(to *Instance) {
		if to.NodeName != key {
			return // another life at that address
		}
		to.laden(i.Index, pingBytes, func(back *Instance) {
			if back == i && !over {
				over = true
				done(true)
			}
		})
	})
	i.later(ackMost, func() {
		if !over {
			over = true
			done(false)
		}
	})
}

// some draws nodes of a kind.
func (i *Instance) some(n int, of func(*node) bool) (keys []string) {
	if len(i.ids) == 0 {
		return nil
	}
	for range 3*n + 10 {
		key := i.ids[i.w.dice.Intn(len(i.ids))]
		if of(i.nodes[key]) && !slices.Contains(keys, key) {
			if keys = append(keys, key); len(keys) == n {
				break
			}
		}
	}
	return keys
}

// probe looks at the next of the round, by itself and then through others and a stream.
func (i *Instance) probe() {
	i.reap()
	if len(i.round) == 0 {
		i.round = slices.Clone(i.ids)
		i.w.dice.Shuffle(len(i.round), func(a, b int) { i.round[a], i.round[b] = i.round[b], i.round[a] })
	}
	for len(i.round) > 0 {
		key := i.round[0]
		i.round = i.round[1:]
		n := i.nodes[key]
		if n == nil || n.state == membership.Dead {
			continue
		}
		inc := n.inc
		i.ping(key, n.no, func(ok bool) {
			if ok {
				return
			}
			found := i.streamed(key, n.no)
			for _, help := range i.some(helpers, func(o *node) bool { return o.state == membership.Alive }) {
				i.packet(i.nodes[help].no, pingBytes, func(h *Instance) {
					h.ping(key, n.no, func(ok bool) { found = found || ok })
				})
			}
			i.later(probeEvery-ackMost, func() {
				if !found {
					i.suspect(key, inc)
				}
			})
		})
		return
	}
}

// cut tells whether packets of one to another are lost.
func (w *Cluster) cut(from, to int) bool { return w.IsPartitioned != nil && w.IsPartitioned(from, to) }

// reaches tells whether a connection to another would come up.
func (i *Instance) reaches(to *Instance) bool {
	return to.Running && !to.Paused && !i.w.cut(i.Index, to.Index) && !i.w.cut(to.Index, i.Index)
}

// streamed tells whether a connection to a life would bring an answer.
func (i *Instance) streamed(key string, no int) bool {
	to := i.w.Instances[no]
	return to.NodeName == key && i.reaches(to)
}

func (i *Instance) reap() {
	i.ids = slices.DeleteFunc(i.ids, func(key string) bool {
		if n := i.nodes[key]; n.state == membership.Dead && i.w.Now-n.since > deadTold {
			delete(i.nodes, key)
			return true
		}
		return false
	})
}

func (i *Instance) spread(key string, n *node) {
	i.news = slices.DeleteFunc(i.news, func(t *item) bool { return t.key == key })
	times := 4 * int(math.Ceil(math.Log10(float64(len(i.ids)+2))))
	i.news = append(i.news, &item{key, n.m, n.no, n.inc, n.state, times})
}

func (i *Instance) gossip() {
	if len(i.news) == 0 {
		return
	}
	for _, key := range i.some(newsNodes, func(n *node) bool { return n.state != membership.Dead || i.w.Now-n.since < deadTold }) {
		if len(i.news) > 0 {
			i.laden(i.nodes[key].no, 0, func(*Instance) {})
		}
	}
}

func (i *Instance) take(t item) {
	switch t.state {
	case membership.Alive:
		i.alive(t)
	case membership.Suspect:
		i.suspect(t.key, t.inc)
	default:
		i.dead(t.key, t.inc)
	}
}

// refute answers words that this life is doubted.
func (i *Instance) refute(inc uint32) {
	i.inc = max(i.inc, inc) + 1
	i.spread(i.NodeName, &node{m: i.said, no: i.Index, inc: i.inc, state: membership.Alive})
}

func (i *Instance) alive(t item) {
	if t.key == i.NodeName {
		if t.inc > i.inc {
			i.refute(t.inc)
		}
		return
	}
	n := i.nodes[t.key]
	if n == nil {
		n = &node{state: membership.Dead}
		i.nodes[t.key] = n
		i.ids = append(i.ids, t.key)
	} else if t.inc <= n.inc {
		return
	}
	was := *n
	n.m, n.no, n.inc, n.state, n.since = t.m, t.no, t.inc, membership.Alive, i.w.Now
	i.spread(t.key, n)
	i.last[n.m.Name] = n.no
	if was.state == membership.Dead || !was.m.EqualMetadata(n.m) || was.m.Incarnation != n.m.Incarnation || was.m.State != n.m.State {
		i.watch.RecordNodeAlive(i.w.Now, t.key, n.m)
	}
}

// worse takes a word that a life is suspect or gone, nil where it is no news; of this life it is refuted.
func (i *Instance) worse(key string, inc uint32, state membership.State) *node {
	if key == i.NodeName {
		if inc >= i.inc {
			i.refute(inc)
		}
		return nil
	}
	n := i.nodes[key]
	if n == nil || inc < n.inc || n.state >= state {
		return nil
	}
	n.inc, n.state, n.since = inc, state, i.w.Now
	i.spread(key, n)
	return n
}

func (i *Instance) suspect(key string, inc uint32) {
	n := i.worse(key, inc, membership.Suspect)
	if n == nil {
		return
	}
	wait := int64(3 * max(1, math.Log10(float64(len(i.ids)+1))) * probeEvery)
	i.later(wait, func() {
		if n.state == membership.Suspect && n.inc == inc {
			i.dead(key, inc)
		}
	})
}

func (i *Instance) dead(key string, inc uint32) {
	if i.worse(key, inc, membership.Dead) != nil {
		i.watch.RecordNodeMissing(i.w.Now, key)
	}
}

// exchange gives both sides all that the other knows, over a stream.
func (i *Instance) exchange(no int) {
	to := i.w.Instances[no]
	if to == i || !i.reaches(to) {
		return
	}
	i.w.after(2*ms+i.w.dice.Int63n(2*i.w.MaxLatency), func() {
		if !i.Running || i.Paused || !i.reaches(to) {
			return
		}
		mine, his := i.whole(), to.whole()
		i.merge(his, to.Table.EndedIncarnations())
		to.merge(mine, i.Table.EndedIncarnations())
		i.BytesSent += int64(listBytes * len(mine))
		to.BytesSent += int64(listBytes * len(his))
	})
}

func (i *Instance) whole() (all []item) {
	all = append(all, item{key: i.NodeName, m: i.said, no: i.Index, inc: i.inc, state: membership.Alive})
	for _, key := range i.ids {
		n := i.nodes[key]
		state := n.state
		if state == membership.Dead {
			state = membership.Suspect // what one has given up the other looks at first
		}
		all = append(all, item{key: key, m: n.m, no: n.no, inc: n.inc, state: state})
	}
	return all
}

func (i *Instance) merge(all []item, ended []membership.Member) {
	for _, t := range all {
		i.take(t)
	}
	for _, m := range ended {
		i.Table.ApplyUpdate(i.w.Now, m)
	}
}

// step is what package gossip does ten times a second.
func (i *Instance) step() {
	now := i.w.Now
	i.watch.Tick(now)
	for _, key := range i.watch.DuePings(now) {
		n := i.nodes[key]
		if n == nil { // the library has forgotten it
			i.watch.RecordPingResult(now, key, false)
			continue
		}
		i.ping(key, n.no, func(ok bool) { i.watch.RecordPingResult(i.w.Now, key, ok) })
	}
	if me := i.Table.Self(); me.Incarnation != i.said.Incarnation || !me.EqualMetadata(i.said) || i.unheard && now-i.spoke >= Second {
		i.unheard, i.spoke = false, now
		i.sayMe()
	}
}

func (i *Instance) sayMe() {
	i.said = i.Table.Self()
	i.inc++
	i.spread(i.NodeName, &node{m: i.said, no: i.Index, inc: i.inc, state: membership.Alive})
}

func (i *Instance) tell() {
	for _, r := range i.watch.RejectedNodes() {
		i.packet(i.nodes[r.NodeName].no, pingBytes, func(to *Instance) {
			for _, m := range r.EndedIncarnations {
				to.Table.ApplyUpdate(i.w.Now, m)
			}
			to.unheard = true
		})
	}
}

// join tries some of those that are not there; the first few instances are known to begin with.
func (i *Instance) join() {
	there := map[int]bool{i.Index: true}
	for _, key := range i.ids {
		if i.watch.IsPresent(key) {
			there[i.nodes[key].no] = true
		}
	}
	var absent []int
	for no := range min(3, len(i.w.Instances)) {
		if !there[no] {
			there[no], absent = true, append(absent, no)
		}
	}
	for _, name := range i.w.listed {
		if no, known := i.last[name]; known && !there[no] {
			there[no], absent = true, append(absent, no)
		}
	}
	i.w.dice.Shuffle(len(absent), func(a, b int) { absent[a], absent[b] = absent[b], absent[a] })
	for _, no := range absent[:min(len(absent), joinAtOnce)] {
		i.exchange(no)
	}
}
