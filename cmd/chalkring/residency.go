package main

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"slices"
	"time"

	"chalkring/coordinator/plan"

	"github.com/fxamacker/cbor/v2"

	"chalkring/control/residency"
	"chalkring/coordinator"
	"chalkring/endpoints/hostfile"
	"chalkring/internal/advice"
	"chalkring/storage/store"
)

const (
	zonesTopic  = 'Z' // of messages on contracts
	zonesBucket = "residency"
	zonesKept   = 3 * time.Second  // for the store to tell at the start what was kept
	zonesSave   = 30 * time.Second // for policies to be on the disk: one that takes longer is stuck
	zonesSend   = time.Second      // for a message to be taken: a lease has three rounds
	zonesAgain  = 10_000           // tenths of a millisecond before an instance is sent the same again
	zonesRoom   = 64               // messages that wait to be looked at: two rounds of a small fleet
)

// Kinds of messages on contracts.
const (
	zonesQuestion = iota + 1
	zonesAnswer
	zonesPolicy
)

// zonesWord is a message on contracts.
type zonesWord struct {
	_          struct{} `cbor:",toarray"`
	Kind       uint8
	Nonce      uint64 // of the round
	Generation uint64 // the newest: in force at a questioner, on the disk too at an answerer
	Sum        uint64 // of all that is held, to tell files that differ
	Wall       int64
	Sure       bool   // the answerer's word counts
	Text       []byte // of a policy
}

// contracts keeps which contracts are in force in this process: it reads the operator's file, asks the other instances
// what they have, and tells them. One goroutine has it.
type contracts struct {
	s     *sharing
	site  residency.Site
	disk  *store.Store // what it keeps is in the book; nil where there is none as yet
	clock func() int64

	book   residency.PolicyRegistry
	sum    uint64 // of all that the book holds, to tell it from what is not
	lease  *residency.Lease
	saved  uint64 // generation that a kill cannot take away
	kept   uint64 // sum of what is on the disk
	saving bool
	next   int64 // the next round
	taught map[string]lesson
	lapsed bool

	files chan hostfile.Event
	words chan zonesMessage
	done  chan saveDone
}

type zonesMessage struct {
	from string
	word zonesWord
}

type saveDone struct {
	generation, sum uint64
	err             error
}

// lesson is what another instance was sent last.
type lesson struct {
	sum uint64
	at  int64
}

// contractsOf starts what the section fleet's residency turns on; nil where it names no file. A file that cannot be used
// ends the start: nobody could tell whom it would have bound.
func contractsOf(plan *plan.Plan, s *sharing) (*coordinator.ResidencyGuard, error) {
	if s == nil || s.file.ResidencyFile == "" {
		return nil, nil
	}
	start := time.Now()
	base := start.UnixMicro() / 100
	c := &contracts{
		s: s, site: plan.ResidencySite(), files: make(chan hostfile.Event), words: make(chan zonesMessage, zonesRoom), taught: map[string]lesson{},
		done: make(chan saveDone, 1), lapsed: true, clock: func() int64 { return base + int64(time.Since(start)/(100*time.Microsecond)) },
	}
	text, err := hostfile.ReadText(s.file.ResidencyFile)
	if err != nil {
		return nil, err
	}
	p, err := residency.ParsePolicy(s.file.ResidencyFile, text, c.site)
	if err != nil {
		return nil, err
	}
	kept := c.load()
	c.lease = residency.NewLease(s.file.Name, s.file.VotingMembers, kept)
	c.tell(p)
	s.zones = coordinator.NewResidencyGuard(c.book.Compile(c.lease.ExpiresAt()), c.clock)
	s.node.Handle(zonesTopic, c.hear)
	s.work.Go(func() {
		files := &hostfile.Watcher{Paths: []string{s.file.ResidencyFile}, RawText: true, Notify: func(e hostfile.Event) {
			select {
			case c.files <- e:
			case <-s.ctx.Done():
			}
		}}
		files.Run(s.ctx)
	})
	s.work.Go(c.run)
	return s.zones, nil
}

// load takes what was kept, and tells whether that is all that this instance knew.
func (c *contracts) load() bool {
	unread := func(err error) bool {
		c.s.log.Warn("residency_policies_unreadable", advice.LogAttrs(&residency.PoliciesUnreadableError{Err: err})...)
		return false
	}
	select {
	case <-c.s.opened:
	case <-time.After(zonesKept):
		return unread(errors.New("the store is not open yet"))
	}
	if c.s.store == nil {
		if c.s.file.StoreFile != "" {
			return unread(errors.New("there is no store"))
		}
		return false
	}
	c.disk = c.s.store
	var faults []error
	err := c.disk.Load(zonesBucket, func(key string, value []byte) error {
		p, err := residency.ParsePolicy("store "+key, value, residency.Site{})
		if err != nil {
			faults = append(faults, err)
			return nil
		}
		c.tell(p)
		return nil
	})
	if err = errors.Join(append(faults, err)...); err != nil {
		return unread(err)
	}
	c.saved = c.book.NewestGeneration()
	return true
}

// tell takes a policy into the book and says what has come of it.
func (c *contracts) tell(p *residency.Policy) (changed bool) {
	before := c.book.NewestGeneration()
	changed, err := c.book.AddPolicy(p)
	if err != nil {
		c.s.log.Warn("residency_policy_rejected", advice.LogAttrs(err, "added", changed)...)
	}
	if changed {
		c.sum = sumOfPolicies(c.book.Policies())
		c.s.log.Info("residency_policy_added", "source", p.Source, "generation", p.Generation, "companion", p.CompanionGeneration, "contracts", len(p.Contracts),
			"previous_newest", before)
		if lacks := c.book.MissingPolicy(); lacks != nil {
			c.s.log.Warn("residency_policy_missing", advice.LogAttrs(lacks)...)
		}
	}
	return changed
}

// take puts a policy in force: first here, then on the disk, then in what others are told.
func (c *contracts) take(p *residency.Policy) {
	if c.tell(p) {
		c.s.zones.SetPolicy(c.book.Compile(c.lease.ExpiresAt()))
		c.save()
		c.ask()
	}
}

func (c *contracts) run() {
	c.save()
	c.ask()
	for {
		now := c.clock()
		wait := max(1, c.next-now)
		if !c.lapsed {
			wait = min(wait, max(1, c.lease.ExpiresAt()-now))
		}
		select {
		case <-c.s.ctx.Done():
			return
		case e := <-c.files:
			c.file(e)
		case m := <-c.words:
			c.word(m)
		case d := <-c.done:
			c.saving = false
			if d.err != nil && c.s.ctx.Err() == nil {
				c.s.log.Warn("residency_save_failed", advice.LogAttrs(d.err, "generation", d.generation)...)
			} else if d.err == nil {
				c.saved, c.kept = max(c.saved, d.generation), d.sum
				c.ask()
			}
		case <-time.After(time.Duration(wait) * 100 * time.Microsecond):
			if c.look(); c.clock() >= c.next {
				c.save()
				c.ask()
			}
		}
	}
}

// look notices that the lease has ended. Searches go by its end themselves; this is for the log.
func (c *contracts) look() {
	if now := c.clock(); c.lapsed || now < c.lease.ExpiresAt() {
		return
	}
	c.lapsed = true
	heard, of := c.s.book.CountAliveVoters(c.s.clock())
	err := &residency.LeaseExpiredError{Generation: c.book.NewestGeneration(), Reachable: heard, Listed: of, SkewedClocks: c.lease.CountSkewedClocks()}
	c.s.log.Warn("residency_lease_expired", advice.LogAttrs(err)...)
}

// renewed puts a later end of the lease in force.
func (c *contracts) renewed() {
	c.s.zones.SetPolicy(c.s.zones.Policy().WithLeaseExpiry(c.lease.ExpiresAt()))
	if c.lapsed {
		c.lapsed = false
		c.s.log.Info("residency_lease_renewed", "generation", c.book.NewestGeneration())
	}
}

func (c *contracts) file(e hostfile.Event) {
	if e.Err != nil {
		c.s.log.Warn("residency_file_invalid", advice.LogAttrs(e.Err, "path", e.Path, "in_force", c.book.NewestGeneration())...)
		return
	}
	p, err := residency.ParsePolicy(e.Path, e.Text, c.site)
	if err != nil {
		c.s.log.Warn("residency_file_invalid", advice.LogAttrs(err, "path", e.Path, "in_force", c.book.NewestGeneration())...)
		return
	}
	c.take(p)
}

// late takes what was kept in a store that came after the start. Guards against writing over it.
func (c *contracts) late() {
	select {
	case <-c.s.opened:
	default:
		return
	}
	if c.disk == nil && c.s.store != nil {
		c.load()
		c.kept = 0
		c.s.zones.SetPolicy(c.book.Compile(c.lease.ExpiresAt()))
	}
}

// save has what is held written where a kill cannot take it away; until then this instance's word is the one before.
func (c *contracts) save() {
	c.late()
	top, sum := c.book.NewestGeneration(), c.sum
	if c.saving || c.kept == sum {
		return
	}
	if c.disk == nil {
		c.saved, c.kept = top, sum
		return
	}
	puts := map[string][]byte{}
	for i, p := range c.book.Policies() {
		puts[fmt.Sprintf("%020d-%d", p.Generation, i)] = p.Text
	}
	var old []string
	err := c.disk.Load(zonesBucket, func(key string, value []byte) error {
		if text, held := puts[key]; !held {
			old = append(old, key)
		} else if string(text) == string(value) {
			delete(puts, key)
		}
		return nil
	})
	if err == nil && len(puts) == 0 && len(old) == 0 {
		c.saved, c.kept = top, sum
		return
	}
	c.saving = true
	c.s.work.Go(func() {
		ctx, stop := context.WithTimeout(c.s.ctx, zonesSave)
		defer stop()
		c.done <- saveDone{top, sum, c.disk.Put(ctx, zonesBucket, puts, old)}
	})
}

// ask begins a round. The question tells what is in force here, so that whoever lacks it is told.
func (c *contracts) ask() {
	now, in := c.clock(), c.s.zones.Policy()
	c.next = now + residency.RenewalInterval(in.LeaseDuration)
	if c.lease.RenewSoleMember(now, in.LeaseDuration) {
		c.renewed()
		return
	}
	q := zonesWord{Kind: zonesQuestion, Nonce: c.lease.BeginRound(now), Generation: c.book.NewestGeneration(), Sum: c.sum}
	for _, to := range c.lease.SelectPeers() {
		c.send(to, q)
	}
}

// send hands a message on without waiting for it.
func (c *contracts) send(to string, w zonesWord) {
	body, err := cbor.Marshal(w)
	if err != nil {
		return
	}
	c.s.work.Go(func() {
		ctx, stop := context.WithTimeout(c.s.ctx, zonesSend)
		defer stop()
		c.s.node.Send(ctx, to, zonesTopic, body) // one that is lost is asked again
	})
}

func (c *contracts) hear(from string, body []byte) {
	var w zonesWord
	if err := cbor.Unmarshal(body, &w); err != nil {
		return
	}
	select {
	case c.words <- zonesMessage{from, w}:
	case <-c.s.ctx.Done():
	}
}

func (c *contracts) word(m zonesMessage) {
	w, top := m.word, c.book.NewestGeneration()
	switch w.Kind {
	case zonesQuestion:
		c.send(m.from, zonesWord{Kind: zonesAnswer, Nonce: w.Nonce, Generation: min(c.saved, top), Sum: c.sum, Wall: c.clock(), Sure: c.lease.IsVoter()})
		if w.Generation < top {
			c.teach(m.from)
		}
	case zonesAnswer:
		if w.Generation < top || w.Generation == top && w.Sum != c.sum {
			c.teach(m.from)
		}
		conflicts := c.s.book.NameConflicts()
		if slices.Contains(conflicts, m.from) {
			return
		}
		now, in := c.clock(), c.s.zones.Policy()
		v := residency.LeaseAcknowledgement{From: m.from, Nonce: w.Nonce, Generation: w.Generation, WallTime: w.Wall, Voter: w.Sure}
		agreed := c.lease.MajorityGeneration()
		if c.lease.HandleAcknowledgement(now, v, top, in.LeaseDuration, in.MaxClockSkew, !slices.Contains(conflicts, c.s.file.Name)) {
			c.renewed()
		}
		if c.lease.MajorityGeneration() > agreed {
			c.told(now, in)
		}
	case zonesPolicy:
		p, err := residency.ParsePolicy("instance "+m.from, w.Text, residency.Site{})
		if err != nil { // its form is newer than this program: what it says is not known, and the lease shows it
			c.s.log.Warn("residency_policy_rejected", advice.LogAttrs(err, "added", false)...)
			return
		}
		c.take(p)
	}
}

// told says since when a generation is known to be with more than half, and until when all keep to it.
func (c *contracts) told(now int64, in *residency.CompiledPolicy) {
	at := func(t int64) string { return time.UnixMicro(t * 100).UTC().Format(time.RFC3339) }
	c.s.log.Info("residency_majority_reached", "generation", c.lease.MajorityGeneration(), "enforced_everywhere_at", at(now+in.LeaseDuration))
	if in.EnforcementDeadline > 0 && now+in.LeaseDuration > in.EnforcementDeadline {
		c.s.log.Warn("residency_enforcement_overdue", advice.LogAttrs(&residency.EnforcementOverdueError{Generation: c.lease.MajorityGeneration(), Deadline: at(in.EnforcementDeadline)})...)
	}
}

// teach sends all policies that are held, the same ones again only after a while: they may be on their way to a disk.
func (c *contracts) teach(to string) {
	now, sum := c.clock(), c.sum
	if l := c.taught[to]; l.sum == sum && now < l.at+zonesAgain {
		return
	}
	c.taught[to] = lesson{sum, now}
	for _, p := range c.book.Policies() {
		c.send(to, zonesWord{Kind: zonesPolicy, Text: p.Text})
	}
}

// sumOfPolicies tells what is held from what is not.
func sumOfPolicies(all []*residency.Policy) uint64 {
	h := fnv.New64a()
	for _, p := range all {
		fmt.Fprintf(h, "%d ", len(p.Text))
		h.Write(p.Text)
	}
	return h.Sum64()
}

// holds tells whether what is kept about a tenant's searches may be in a zone: written there, or sent to an instance in
// it. Others hold counts and digests. Without contracts it may be anywhere.
func (s *sharing) holds(tenant, zone string) bool {
	return s.zones == nil || s.zones.MayStoreInZone(tenant, zone)
}

// checkContracts looks at a file of contracts, with a plan against its tenants, zones and blocks.
func checkContracts(path string, text []byte, plan *plan.Plan) (told string, err error) {
	site := residency.Site{}
	if plan != nil {
		site = plan.ResidencySite()
	}
	p, err := residency.ParsePolicy(path, text, site)
	if err != nil {
		return "", err
	}
	if plan == nil {
		return fmt.Sprintf("can be used, %d contracts; no plan was named to hold them against", len(p.Contracts)), nil
	}
	var faults []error
	for _, u := range p.FindUnreachableBlocks(plan.BlockCount(), plan.ZoneHoldsBlockFunc()) {
		faults = append(faults, u)
	}
	return fmt.Sprintf("can be used, %d contracts", len(p.Contracts)), errors.Join(faults...)
}
