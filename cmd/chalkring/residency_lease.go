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
	residencyTopic = 'Z' // of gossip's messages between instances

	residencySendTimeout = time.Second    // a lease has three rounds
	resendInterval       = ticksPerSecond // before an instance is sent the same policies again
	maxQueuedMessages    = 64             // two rounds of a small fleet
)

// Kinds of messages.
const (
	leaseQuestion = iota + 1
	leaseAcknowledgement
	policyTransfer
)

// residencyMessage is a message between instances: a lease's question, an acknowledgement of it, or a policy.
type residencyMessage struct {
	_          struct{} `cbor:",toarray"`
	Kind       uint8
	Nonce      uint64 // of the round
	Generation uint64 // the newest: in force at the asking instance, on the disk too at the acknowledging one
	Digest     uint64 // digest of all policies, to tell differing texts of one generation apart
	WallTime   int64  // the acknowledging instance's clock
	Voter      bool   // the acknowledging instance has a vote
	PolicyText []byte // of a policy
}

type receivedMessage struct {
	from    string
	content residencyMessage
}

// sentPolicies is what another instance was sent last.
type sentPolicies struct {
	digest uint64
	at     int64
}

// receive queues a message. It runs in gossip's goroutine.
func (c *residencyService) receive(from string, body []byte) {
	var content residencyMessage
	if err := cbor.Unmarshal(body, &content); err != nil {
		return
	}
	select {
	case c.messages <- receivedMessage{from, content}:
	case <-c.sharing.ctx.Done():
	}
}

// send sends a message without waiting. One that is lost is sent again with the next round.
func (c *residencyService) send(to string, content residencyMessage) {
	body, err := cbor.Marshal(content)
	if err != nil {
		return
	}
	c.sharing.background.Go(func() {
		ctx, cancel := context.WithTimeout(c.sharing.ctx, residencySendTimeout)
		defer cancel()
		_ = c.sharing.node.Send(ctx, to, residencyTopic, body)
	})
}

// beginRound asks other instances which generation they have. The question carries the newest one in force here, so that
// an instance with a newer one sends it.
func (c *residencyService) beginRound() {
	now, inForce := c.clock(), c.sharing.residencyGuard.Policy()
	c.nextRound = now + residency.RenewalInterval(inForce.LeaseDuration)
	if c.lease.RenewSoleMember(now, inForce.LeaseDuration) {
		c.applyRenewal()
		return
	}
	question := residencyMessage{Kind: leaseQuestion, Nonce: c.lease.BeginRound(now), Generation: c.registry.NewestGeneration(), Digest: c.digest}
	for _, to := range c.lease.SelectPeers() {
		c.send(to, question)
	}
}

func (c *residencyService) handleMessage(from string, content residencyMessage) {
	switch content.Kind {
	case leaseQuestion:
		c.handleQuestion(from, content)
	case leaseAcknowledgement:
		c.handleAcknowledgement(from, content)
	case policyTransfer:
		policy, err := residency.ParsePolicy("instance "+from, content.PolicyText, residency.Site{})
		if err != nil { // of a newer version; that its rules are unknown here shows in the lease
			c.sharing.log.Warn("residency_policy_rejected", advice.LogAttrs(err, "added", false)...)
			return
		}
		c.enforce(policy)
	}
}

func (c *residencyService) handleQuestion(from string, question residencyMessage) {
	newest := c.registry.NewestGeneration()
	c.send(from, residencyMessage{
		Kind: leaseAcknowledgement, Nonce: question.Nonce, Generation: min(c.storedGeneration, newest), Digest: c.digest,
		WallTime: c.clock(), Voter: c.lease.IsVoter(),
	})
	if question.Generation < newest {
		c.sendPolicies(from)
	}
}

func (c *residencyService) handleAcknowledgement(from string, answer residencyMessage) {
	newest := c.registry.NewestGeneration()
	if answer.Generation < newest || answer.Generation == newest && answer.Digest != c.digest {
		c.sendPolicies(from)
	}
	conflicts := c.sharing.members.NameConflicts()
	if slices.Contains(conflicts, from) {
		return
	}
	hasUniqueName := !slices.Contains(conflicts, c.sharing.file.Name)
	now, inForce := c.clock(), c.sharing.residencyGuard.Policy()
	ack := residency.LeaseAcknowledgement{
		From: from, Nonce: answer.Nonce, Generation: answer.Generation, WallTime: answer.WallTime, Voter: answer.Voter,
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
func (c *residencyService) sendPolicies(to string) {
	now := c.clock()
	if last := c.lastSent[to]; last.digest == c.digest && now < last.at+resendInterval {
		return
	}
	c.lastSent[to] = sentPolicies{c.digest, now}
	for _, policy := range c.registry.Policies() {
		c.send(to, residencyMessage{Kind: policyTransfer, PolicyText: policy.Text})
	}
}

// applyRenewal puts a later end of the lease in force.
func (c *residencyService) applyRenewal() {
	c.sharing.residencyGuard.SetPolicy(c.sharing.residencyGuard.Policy().WithLeaseExpiry(c.lease.ExpiresAt()))
	if c.isExpired {
		c.isExpired = false
		c.sharing.log.Info("residency_lease_renewed", "generation", c.registry.NewestGeneration())
	}
}

// checkLeaseExpiry logs that the lease has expired. Searches check its end themselves.
func (c *residencyService) checkLeaseExpiry() {
	if c.isExpired || c.clock() < c.lease.ExpiresAt() {
		return
	}
	c.isExpired = true
	reachable, listed := c.sharing.members.CountAliveVoters(c.sharing.clock())
	err := &residency.LeaseExpiredError{Generation: c.registry.NewestGeneration(), Reachable: reachable, Listed: listed, SkewedClocks: c.lease.CountSkewedClocks()}
	c.sharing.log.Warn("residency_lease_expired", advice.LogAttrs(err)...)
}

// logMajority logs that a quorum has a generation, and from when on it is in force everywhere.
func (c *residencyService) logMajority(now int64, inForce *residency.CompiledPolicy) {
	generation, enforcedAt := c.lease.MajorityGeneration(), now+inForce.LeaseDuration
	c.sharing.log.Info("residency_majority_reached", "generation", generation, "enforced_everywhere_at", formatTicks(enforcedAt))
	if inForce.EnforcementDeadline > 0 && enforcedAt > inForce.EnforcementDeadline {
		err := &residency.EnforcementOverdueError{Generation: generation, Deadline: formatTicks(inForce.EnforcementDeadline)}
		c.sharing.log.Warn("residency_enforcement_overdue", advice.LogAttrs(err)...)
	}
}

func formatTicks(wallTime int64) string {
	return time.UnixMicro(wallTime * 100).UTC().Format(time.RFC3339)
}
