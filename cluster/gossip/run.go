package gossip

import (
	"maps"
	"net"
	"slices"
	"time"

	"github.com/hashicorp/memberlist"
	"golang.org/x/time/rate"

	"chalkring/cluster/membership"
	"chalkring/internal/advice"
)

// event is what the library told last of a life.
type event struct {
	node  memberlist.Node // a copy
	there bool
}

// delegate takes the library's calls, which hold its lock: nothing here calls it back or waits.
type delegate Node

func (d *delegate) node() *Node { return (*Node)(d) }

func (d *delegate) NodeMeta(limit int) []byte {
	text, err := d.node().encodeMember(d.book.Self())
	if err != nil || len(text) > limit {
		return nil // Start and Update have looked at it
	}
	return text
}

func (d *delegate) GetBroadcasts(overhead, limit int) [][]byte { return nil }

func (d *delegate) LocalState(join bool) []byte { return encodeEnds(d.book.EndedIncarnations()) }

func (d *delegate) MergeRemoteState(text []byte, join bool) { d.node().takeEnds(text) }

func (d *delegate) NotifyJoin(node *memberlist.Node)   { d.note(node, true) }
func (d *delegate) NotifyUpdate(node *memberlist.Node) { d.note(node, true) }
func (d *delegate) NotifyLeave(node *memberlist.Node)  { d.note(node, false) }

// NotifyAlive looks at each word that an instance is there before the library takes it. Guards against another customer's
// fleet at the same addresses, with the same key or none: its ledger, changes and contracts would come in here.
func (d *delegate) NotifyAlive(node *memberlist.Node) error {
	n := d.node()
	err := n.other(node)
	if err != nil && n.others.Allow() {
		n.log.Warn("fleet_other", advice.LogAttrs(err)...)
	}
	return err
}

// NotifyMerge looks at all that one tells who joins, or is joined: of a fleet that is another's whole nothing is taken, words
// that lives are over neither. One that has a foreign instance among its own is heard, and that one left out by NotifyAlive.
func (d *delegate) NotifyMerge(nodes []*memberlist.Node) error {
	var last error
	own := len(nodes) == 0
	for _, node := range nodes {
		if err := d.NotifyAlive(node); err != nil {
			last = err
		} else {
			own = true
		}
	}
	if own {
		return nil
	}
	return last
}

// other tells whether an instance is of another fleet.
func (n *Node) other(node *memberlist.Node) error {
	var w word
	if len(node.Meta) > metaMost || n.decoding.Unmarshal(node.Meta, &w) != nil || !w.Whose.IsValid() || !n.o.Identity.ConflictsWith(w.Whose) {
		return nil // what cannot be read is left to takeEvents
	}
	return &membership.ForeignInstanceError{Name: w.Name, Addr: node.Address(), Theirs: w.Whose, Ours: n.o.Identity}
}

// stranger tells whether an instance that sends has not been taken in, here or by the library.
func (n *Node) stranger(name string, incarnation uint64) bool {
	if !n.o.Identity.IsSpecified() { // nobody is refused
		return false
	}
	if _, known := n.book.IncarnationState(name, incarnation); known {
		return false
	}
	n.events.Lock()
	defer n.events.Unlock()
	return !n.events.of[keyOf(name, incarnation)].there
}

func (d *delegate) note(node *memberlist.Node, there bool) {
	d.events.Lock()
	if _, waits := d.events.of[node.Name]; !waits {
		d.events.order = append(d.events.order, node.Name)
	}
	d.events.of[node.Name] = event{*node, there}
	d.events.Unlock()
	d.node().wake()
}

// NotifyMsg takes a message: one of the library's goroutines a connection, or the one that reads all packets.
func (d *delegate) NotifyMsg(text []byte) {
	n := d.node()
	topic, from, incarnation, body, err := cut(text)
	if err != nil {
		return
	}
	if topic == wordTopic {
		if n.takeEnds(body) { // one has a life of mine as over and may not know of this one
			n.unheard.Store(true)
			n.wake()
		}
		return
	}
	if state, known := n.book.IncarnationState(from, incarnation); known && state.IsTerminal() { // guards against an old voice
		return
	}
	// Guards against an instance of another fleet at an address where one of this fleet was: who was refused is not heard.
	for until := time.Now().Add(strangerMost); n.stranger(from, incarnation); {
		if n.ctx.Err() != nil || time.Now().After(until) {
			return
		}
		time.Sleep(strangerLook)
	}
	n.mu.Lock()
	queue := n.handlers[topic]
	n.mu.Unlock()
	if queue == nil {
		return
	}
	wait := time.NewTimer(queueWait)
	defer wait.Stop()
	select {
	case queue <- message{from, slices.Clone(body)}:
	case <-n.ctx.Done():
	case <-wait.C: // the handler has fallen behind
	}
}

// takeEnds takes words that lives are over, and tells whether one of mine is among them.
func (n *Node) takeEnds(text []byte) (mine bool) {
	all, err := n.decodeEnds(text)
	if err != nil {
		return false
	}
	for _, m := range all {
		n.book.ApplyUpdate(n.Now(), m)
		mine = mine || m.Name == n.o.Self.Name
	}
	n.wake()
	return mine
}

func (n *Node) wake() {
	select {
	case n.kick <- struct{}{}:
	default:
	}
}

type answer struct {
	key string
	ok  bool
}

// seen is what run has told of last.
type seen struct {
	members   map[string]membership.Member
	conflicts []string
	majority  bool
	me        membership.Member
	said      time.Time // when I said last how I stand
	joined    time.Time
	refused   time.Time
	alone     time.Time
	anybody   bool
}

// run owns the watch's steps, what is said of this instance, and the looking for those that are not there.
func (n *Node) run() {
	answers := make(chan answer, 64)
	tick := time.NewTicker(stepEvery)
	defer tick.Stop()
	s := &seen{members: map[string]membership.Member{}, alone: n.began.Add(aloneAfter - aloneEvery)}
	joining := make(chan struct{}, 1)
	lines := rate.NewLimiter(linesRate, linesBurst)
	for {
		select {
		case <-n.ctx.Done():
			return
		case <-n.kick:
		case a := <-answers:
			n.mu.Lock()
			n.watch.RecordPingResult(n.Now(), a.key, a.ok)
			n.mu.Unlock()
		case <-tick.C:
		}
		n.mu.Lock()
		n.takeEvents()
		n.watch.Tick(n.Now())
		due, refused := n.watch.DuePings(n.Now()), []membership.RejectedNode(nil)
		if time.Since(s.refused) >= refusedEvery {
			s.refused = time.Now()
			refused = n.watch.RejectedNodes()
		}
		nodes := make(map[string]memberlist.Node, len(due))
		for _, key := range due {
			nodes[key] = n.nodes[key]
		}
		for _, r := range refused {
			nodes[r.NodeName] = n.nodes[r.NodeName]
		}
		n.mu.Unlock()
		for _, key := range due {
			node := nodes[key]
			n.work.Go(func() { n.ping(key, node, answers) })
		}
		for _, r := range refused {
			node := nodes[r.NodeName]
			n.list.SendBestEffort(&node, head(wordTopic, n.book.Self(), encodeEnds(r.EndedIncarnations)))
		}
		if me := n.book.Self(); !me.EqualMetadata(s.me) || me.Incarnation != s.me.Incarnation ||
			n.unheard.Load() && time.Since(s.said) >= sayEvery { // guards against words of mine that were lost on the way
			n.unheard.Store(false)
			s.said = time.Now()
			s.me = me                           // the first time too: guards against an Update between the library's start and this loop's
			n.list.UpdateNode(time.Millisecond) // it is queued; that nobody has it yet is no failure
		}
		n.tell(s, lines)
		if time.Since(s.joined) >= joinEvery {
			s.joined = time.Now()
			select {
			case joining <- struct{}{}:
				n.join(s, joining)
			default: // the last tries are still under way
			}
		}
	}
}

func (n *Node) ping(key string, node memberlist.Node, answers chan<- answer) {
	_, err := n.list.Ping(key, &net.UDPAddr{IP: node.Addr, Port: int(node.Port)})
	select {
	case answers <- answer{key, err == nil}:
	case <-n.ctx.Done():
	}
}

// takeEvents hands what the library told to the watch.
func (n *Node) takeEvents() {
	n.events.Lock()
	order, of := n.events.order, n.events.of
	n.events.order, n.events.of = nil, map[string]event{}
	n.events.Unlock()
	now := n.Now()
	for _, key := range order {
		e := of[key]
		if key == n.own {
			continue
		}
		if !e.there {
			n.watch.RecordNodeMissing(now, key)
			continue
		}
		m, err := n.decodeMember(e.node.Meta, e.node.Address())
		if err != nil {
			continue
		}
		n.watch.RecordNodeAlive(now, key, m)
		n.nodes[key] = e.node
		if n.book.IsVoter(m.Name) {
			n.last[m.Name] = m.Addr
		}
	}
	for key := range n.nodes { // lives that the watch has done with
		if !n.watch.IsTracked(key) {
			delete(n.nodes, key)
		}
	}
}

// tell tells the log what has changed.
func (n *Node) tell(s *seen, lines *rate.Limiter) {
	now := map[string]membership.Member{}
	for _, m := range n.book.Members() {
		now[m.Name] = m
	}
	for _, name := range slices.Sorted(maps.Keys(now)) {
		m, was := now[name], s.members[name]
		if was.Name != "" && m.State == was.State && m.Incarnation == was.Incarnation && m.EqualMetadata(was) && m.Addr == was.Addr {
			continue
		}
		if lines.Allow() {
			n.log.Info("fleet_member", "name", m.Name, "state", m.State.String(), "incarnation", m.Incarnation, "addr", m.Addr,
				"region", m.Region, "zone", m.Zone, "program", m.ProgramVersion, "generation", m.SettingsGeneration)
		}
	}
	conflicts := n.book.NameConflicts()
	for _, name := range conflicts {
		if !slices.Contains(s.conflicts, name) {
			n.log.Error("fleet_name_twice", advice.LogAttrs(&NameConflictError{name})...)
		}
	}
	for _, name := range s.conflicts {
		if !slices.Contains(conflicts, name) {
			n.log.Info("fleet_name_settled", "name", name)
		}
	}
	if majority := n.book.HasMajority(n.Now()); majority != s.majority {
		heard, of := n.book.CountAliveVoters(n.Now())
		n.log.Info("fleet_majority", "majority", majority, "heard", heard, "of", of)
		s.majority = majority
	}
	s.members, s.conflicts = now, conflicts
}

// join tries some of those that are not there, in the background.
func (n *Node) join(s *seen, joining <-chan struct{}) {
	absent := n.absent()
	n.mu.Lock()
	s.anybody = s.anybody || len(n.nodes) > 0
	n.mu.Unlock()
	if !s.anybody && len(n.o.JoinAddrs) > 0 && time.Since(s.alone) >= aloneEvery {
		s.alone = time.Now()
		n.log.Warn("fleet_alone", advice.LogAttrs(&IsolatedError{Tried: n.o.JoinAddrs})...)
	}
	n.chance.Shuffle(len(absent), func(i, j int) { absent[i], absent[j] = absent[j], absent[i] })
	absent = absent[:min(len(absent), joinAtOnce)]
	n.work.Go(func() {
		tries := make(chan struct{}, joinAtOnce)
		for _, addr := range absent {
			n.work.Go(func() {
				n.list.Join([]string{addr}) // that it fails is what the next try is for
				tries <- struct{}{}
			})
		}
		for range absent {
			<-tries
		}
		<-joining
	})
}

// absent are the addresses of listed instances, and of those to begin with, at which nobody is there.
func (n *Node) absent() (all []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	there := map[string]bool{n.book.Self().Addr: true}
	for key, node := range n.nodes {
		if n.watch.IsPresent(key) {
			there[node.Address()] = true
		}
	}
	for _, addr := range n.o.JoinAddrs {
		if !there[addr] {
			there[addr] = true
			all = append(all, addr)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(n.last)) {
		if addr := n.last[name]; !there[addr] && n.book.IsVoter(name) {
			there[addr] = true
			all = append(all, addr)
		}
	}
	return all
}
