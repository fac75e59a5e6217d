package main

import (
	"context"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"chalkring/control/residency"
	"chalkring/internal/advice"
)

const (
	zonesTopic = 'Z' // of gossip's messages between instances

	residencySendTimeout = time.Second    // a lease has three rounds
	resendInterval       = ticksPerSecond // before an instance is sent the same policies again
	maxQueuedMessages    = 64             // two rounds of a small fleet
)

// Kinds of messages.
const (
	zonesQuestion = iota + 1
	zonesAnswer
	zonesPolicy
)

// zonesWord is a message between instances: a lease's question, an acknowledgement of it, or a policy.
type zonesWord struct {
	_          struct{} `cbor:",toarray"`
	Kind       uint8
	Nonce      uint64 // of the round
	Generation uint64 // the newest: in force at the asking instance, on the disk too at the acknowledging one
	Sum        uint64 // digest of all policies, to tell differing texts of one generation apart
	Wall       int64  // the acknowledging instance's clock
	Sure       bool   // the acknowledging instance has a vote
	Text       []byte // of a policy
}

type receivedMessage struct {
	from    string
	content zonesWord
}

// sentPolicies is what another instance was sent last.
type sentPolicies struct {
	digest uint64
	at     int64
}

// receive queues a message. It runs in gossip's goroutine.
func (c *contracts) receive(from string, body []byte) {
	var content zonesWord
	if err := cbor.Unmarshal(body, &content); err != nil {
		return
	}
	select {
	case c.messages <- receivedMessage{from, content}:
	case <-c.s.ctx.Done():
	}
}

// send sends a message without waiting. One that is lost is sent again with the next round.
func (c *contracts) send(to string, content zonesWord) {
	body, err := cbor.Marshal(content)
	if err != nil {
		return
	}
	c.s.work.Go(func() {
		ctx, cancel := context.WithTimeout(c.s.ctx, residencySendTimeout)
		defer cancel()
		_ = c.s.node.Send(ctx, to, zonesTopic, body)
	})
}

// beginRound asks other instances which generation they have. The question carries the newest one in force here, so that
// an instance with a newer one sends it.
func (c *contracts) beginRound() {
	now, inForce := c.clock(), c.s.zones.Policy()
	c.nextRound = now + residency.RenewalInterval(inForce.LeaseDuration)
	if c.lease.RenewSoleMember(now, inForce.LeaseDuration) {
		c.applyRenewal()
		return
	}
	question := zonesWord{Kind: zonesQuestion, Nonce: c.lease.BeginRound(now), Generation: c.book.NewestGeneration(), Sum: c.sum}
	for _, to := range c.lease.SelectPeers() {
		c.send(to, question)
	}
}

func (c *contracts) handleMessage(from string, content zonesWord) {
	switch content.Kind {
	case zonesQuestion:
		c.handleQuestion(from, content)
	case zonesAnswer:
		c.handleAcknowledgement(from, content)
	case zonesPolicy:
		policy, err := residency.ParsePolicy("instance "+from, content.Text, residency.Site{})
		if err != nil { // of a newer version; that its rules are unknown here shows in the lease
			c.s.log.Warn("residency_policy_rejected", advice.LogAttrs(err, "added", false)...)
			return
		}
		c.enforce(policy)
	}
}

func (c *contracts) handleQuestion(from string, question zonesWord) {
	newest := c.book.NewestGeneration()
	c.send(from, zonesWord{
		Kind: zonesAnswer, Nonce: question.Nonce, Generation: min(c.saved, newest), Sum: c.sum,
		Wall: c.clock(), Sure: c.lease.IsVoter(),
	})
	if question.Generation < newest {
		c.sendPolicies(from)
	}
}

func (c *contracts) handleAcknowledgement(from string, answer zonesWord) {
	newest := c.book.NewestGeneration()
	if answer.Generation < newest || answer.Generation == newest && answer.Sum != c.sum {
		c.sendPolicies(from)
	}
	conflicts := c.s.book.NameConflicts()
	if slices.Contains(conflicts, from) {
		return
	}
	hasUniqueName := !slices.Contains(conflicts, c.s.file.Name)
	now, inForce := c.clock(), c.s.zones.Policy()
	ack := residency.LeaseAcknowledgement{
		From: from, Nonce: answer.Nonce, Generation: answer.Generation, WallTime: answer.Wall, Voter: answer.Sure,
	}
	majority := c.lease.MajorityGeneration()
	if c.lease.HandleAcknowledgement(now, ack, newest, inForce.LeaseDuration, inForce.MaxClockSkew, hasUniqueName) {
		c.applyRenewal()
	}
	if c.lease.MajorityGeneration() > majority {
		c.logMajority(now, inForce)
	}
}

// sendPolicies sends an instance all policies, the same ones again only after resendInterval: it may be writing them.
func (c *contracts) sendPolicies(to string) {
	now := c.clock()
	if last := c.lastSent[to]; last.digest == c.sum && now < last.at+resendInterval {
		return
	}
	c.lastSent[to] = sentPolicies{c.sum, now}
	for _, policy := range c.book.Policies() {
		c.send(to, zonesWord{Kind: zonesPolicy, Text: policy.Text})
	}
}

// applyRenewal puts a later end of the lease in force.
func (c *contracts) applyRenewal() {
	c.s.zones.SetPolicy(c.s.zones.Policy().WithLeaseExpiry(c.lease.ExpiresAt()))
	if c.isExpired {
		c.isExpired = false
		c.s.log.Info("residency_lease_renewed", "generation", c.book.NewestGeneration())
	}
}

// checkLeaseExpiry logs that the lease has expired. Searches check its end themselves.
func (c *contracts) checkLeaseExpiry() {
	if c.isExpired || c.clock() < c.lease.ExpiresAt() {
		return
	}
	c.isExpired = true
	reachable, listed := c.s.book.CountAliveVoters(c.s.clock())
	err := &residency.LeaseExpiredError{Generation: c.book.NewestGeneration(), Reachable: reachable, Listed: listed, SkewedClocks: c.lease.CountSkewedClocks()}
	c.s.log.Warn("residency_lease_expired", advice.LogAttrs(err)...)
}

// logMajority logs that a quorum has a generation, and from when on it is in force everywhere.
func (c *contracts) logMajority(now int64, inForce *residency.CompiledPolicy) {
	generation, enforcedAt := c.lease.MajorityGeneration(), now+inForce.LeaseDuration
	c.s.log.Info("residency_majority_reached", "generation", generation, "enforced_everywhere_at", formatTicks(enforcedAt))
	if inForce.EnforcementDeadline > 0 && enforcedAt > inForce.EnforcementDeadline {
		err := &residency.EnforcementOverdueError{Generation: generation, Deadline: formatTicks(inForce.EnforcementDeadline)}
		c.s.log.Warn("residency_enforcement_overdue", advice.LogAttrs(err)...)
	}
}

func formatTicks(wallTime int64) string {
	return time.UnixMicro(wallTime * 100).UTC().Format(time.RFC3339)
}
