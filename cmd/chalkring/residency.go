package main

import (
	"errors"
	"fmt"
	"time"

	"chalkring/coordinator/plan"

	"chalkring/control/residency"
	"chalkring/coordinator"
	"chalkring/endpoints/hostfile"
	"chalkring/internal/advice"
	"chalkring/storage/store"
)

// ticksPerSecond converts to the times of package residency, tenths of a millisecond.
const ticksPerSecond = 10_000

// residencyService keeps the residency policies of this process in force: it reads the operator's file, asks the other
// instances which policies they have, and sends them those that they lack. It belongs to one goroutine.
type residencyService struct {
	sharing *clusterInstance
	site    residency.Site
	clock   func() int64 // wall time that never goes back

	registry residency.PolicyRegistry
	digest   uint64 // digest of the registry's policies
	lease    *residency.Lease

	store            *store.Store // nil until it is open and its policies are in the registry
	storedGeneration uint64       // newest generation that a kill cannot take away
	storedDigest     uint64       // digest of the policies on the disk
	saving           bool
	saveResults      chan saveResult
	nextRound        int64
	lastSent         map[string]sentPolicies // by instance
	isExpired        bool                    // the lease has expired, and that was logged
	fileEvents       chan hostfile.Event
	messages         chan receivedMessage
}

// startResidency starts what the section fleet's residency turns on; nil where it names no file. A file that cannot be used
// ends the start, since nobody could tell whom it would bind.
func startResidency(sitePlan *plan.Plan, s *clusterInstance) (*coordinator.ResidencyGuard, error) {
	if s == nil || s.file.ResidencyFile == "" {
		return nil, nil
	}
	c := &residencyService{
		sharing: s, site: sitePlan.ResidencySite(), clock: newMonotonicWallClock(), isExpired: true, lastSent: map[string]sentPolicies{},
		saveResults: make(chan saveResult, 1), fileEvents: make(chan hostfile.Event), messages: make(chan receivedMessage, maxQueuedMessages),
	}
	text, err := hostfile.ReadText(s.file.ResidencyFile)
	if err != nil {
		return nil, err
	}
	policy, err := residency.ParsePolicy(s.file.ResidencyFile, text, c.site)
	if err != nil {
		return nil, err
	}
	stored := c.loadStored()
	c.lease = residency.NewLease(s.file.Name, s.file.VotingMembers, stored)
	c.addPolicy(policy)
	s.residencyGuard = coordinator.NewResidencyGuard(c.registry.Compile(c.lease.ExpiresAt()), c.clock)
	s.node.Handle(residencyTopic, c.receive)
	s.background.Go(c.watchFile)
	s.background.Go(c.run)
	return s.residencyGuard, nil
}

// newMonotonicWallClock returns a clock that reads the wall time once and counts on from there.
func newMonotonicWallClock() func() int64 {
	start := time.Now()
	base := start.UnixMicro() / 100
	return func() int64 { return base + int64(time.Since(start)/(100*time.Microsecond)) }
}

func (c *residencyService) watchFile() {
	watcher := &hostfile.Watcher{Paths: []string{c.sharing.file.ResidencyFile}, RawText: true, Notify: func(event hostfile.Event) {
		select {
		case c.fileEvents <- event:
		case <-c.sharing.ctx.Done():
		}
	}}
	watcher.Run(c.sharing.ctx)
}

func (c *residencyService) run() {
	c.savePolicies()
	c.beginRound()
	for {
		select {
		case <-c.sharing.ctx.Done():
			return
		case event := <-c.fileEvents:
			c.handleFile(event)
		case message := <-c.messages:
			c.handleMessage(message.from, message.content)
		case result := <-c.saveResults:
			c.handleSaved(result)
		case <-time.After(c.timeToNextDeadline()):
			c.checkLeaseExpiry()
			if c.clock() >= c.nextRound {
				c.savePolicies()
				c.beginRound()
			}
		}
	}
}

// timeToNextDeadline returns how long it is until the next round or the lease's end.
func (c *residencyService) timeToNextDeadline() time.Duration {
	now := c.clock()
	ticks := max(1, c.nextRound-now)
	if !c.isExpired {
		ticks = min(ticks, max(1, c.lease.ExpiresAt()-now))
	}
	return time.Duration(ticks) * 100 * time.Microsecond
}

func (c *residencyService) handleFile(event hostfile.Event) {
	policy, err := (*residency.Policy)(nil), event.Err
	if err == nil {
		policy, err = residency.ParsePolicy(event.Path, event.Text, c.site)
	}
	if err != nil {
		c.sharing.log.Warn("residency_file_invalid", advice.LogAttrs(err, "path", event.Path, "in_force", c.registry.NewestGeneration())...)
		return
	}
	c.enforce(policy)
}

// addPolicy adds a policy to the registry, logs what that changes, and reports whether it changes anything.
func (c *residencyService) addPolicy(policy *residency.Policy) (changed bool) {
	previous := c.registry.NewestGeneration()
	changed, err := c.registry.AddPolicy(policy)
	if err != nil {
		c.sharing.log.Warn("residency_policy_rejected", advice.LogAttrs(err, "added", changed)...)
	}
	if !changed {
		return false
	}
	c.digest = policiesDigest(c.registry.Policies())
	c.sharing.log.Info("residency_policy_added", "source", policy.Source, "generation", policy.Generation, "companion", policy.CompanionGeneration,
		"contracts", len(policy.Contracts), "previous_newest", previous)
	if missing := c.registry.MissingPolicy(); missing != nil {
		c.sharing.log.Warn("residency_policy_missing", advice.LogAttrs(missing)...)
	}
	return true
}

// enforce puts a policy in force: first here, then on the disk, then in the acknowledgements to other instances.
func (c *residencyService) enforce(policy *residency.Policy) {
	if c.addPolicy(policy) {
		c.sharing.residencyGuard.SetPolicy(c.registry.Compile(c.lease.ExpiresAt()))
		c.savePolicies()
		c.beginRound()
	}
}

// allowsTenantData reports whether the stored data of a tenant's searches may be in a zone: written there, or sent to an instance in
// it. Counts and digests are not such data. Without policies it may be anywhere.
func (s *clusterInstance) allowsTenantData(tenant, zone string) bool {
	return s.residencyGuard == nil || s.residencyGuard.MayStoreInZone(tenant, zone)
}

// checkPolicyFile checks a policy file, and against a plan's tenants, zones and blocks where a plan is given.
func checkPolicyFile(path string, text []byte, sitePlan *plan.Plan) (summary string, err error) {
	site := residency.Site{}
	if sitePlan != nil {
		site = sitePlan.ResidencySite()
	}
	policy, err := residency.ParsePolicy(path, text, site)
	if err != nil {
		return "", err
	}
	if sitePlan == nil {
		return fmt.Sprintf("can be used, %d contracts; no plan was named to hold them against", len(policy.Contracts)), nil
	}
	var faults []error
	for _, unreachable := range policy.FindUnreachableBlocks(sitePlan.BlockCount(), sitePlan.ZoneHoldsBlockFunc()) {
		faults = append(faults, unreachable)
	}
	return fmt.Sprintf("can be used, %d contracts", len(policy.Contracts)), errors.Join(faults...)
}
