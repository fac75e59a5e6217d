package residency

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const (
	modelLease = 3 * second
	modelSkew  = second / 2
	modelStep  = second / 10
)

// leaseModel simulates a fleet whose instances renew their leases over links that lose, duplicate and delay messages. One
// instance is given a stricter policy. The model checks that one lease duration after a majority has it, no instance runs
// a shard request that only the old policy allows.
type leaseModel struct {
	t      require.TestingT
	rng    *rand.Rand
	counts *leaseModelCounts

	loose, strict *Policy // generations 1 and 2
	compiled      map[uint64]*CompiledPolicy

	now, faultsEndAt int64 // from faultsEndAt on all links work and no instance restarts; one clock may stay wrong
	names            []string
	instances        []*modelInstance
	messages         []modelMessage
	cutOff           []bool // instances that receive nothing
	side             []int  // on which side of a partition each instance is
	tightenAt        int64  // when the first instance is given the strict policy
	tightened        bool
	majoritySince    int64 // since when more than half of the instances have the strict policy; 0 before
}

// leaseModelCounts counts events, to show that the drawn histories cover what they are meant to cover.
type leaseModelCounts struct{ renewals, rejections, isolated int }

type modelInstance struct {
	lease       *Lease
	registry    *PolicyRegistry
	stored      *Policy // on its disk, besides the loose policy
	clockOffset int64
	nextRound   int64 // by its own clock
	incarnation int
}

type modelMessage struct {
	deliverAt int64
	deliver   func()
}

func newLeaseModel(t require.TestingT, rng *rand.Rand, counts *leaseModelCounts, size int, faultsEndAt int64) *leaseModel {
	m := &leaseModel{
		t: t, rng: rng, counts: counts, faultsEndAt: faultsEndAt, compiled: map[uint64]*CompiledPolicy{},
		loose:     parsePolicy(t, "generation: 1\nlease: 3s\ndefault: anywhere\ncontracts:\n- {tenant: acme, zones: [eu-1, us-1]}"),
		strict:    parsePolicy(t, "generation: 2\nlease: 3s\ndefault: anywhere\ncontracts:\n- {tenant: acme, zones: [eu-1]}"),
		instances: make([]*modelInstance, size), cutOff: make([]bool, size), side: make([]int, size),
	}
	for _, policy := range []*Policy{m.loose, m.strict} {
		var registry PolicyRegistry
		m.add(&registry, policy)
		m.compiled[policy.Generation] = registry.Compile(0)
	}
	for i := range size {
		m.names = append(m.names, fmt.Sprintf("n%03d", i))
	}
	for i := range m.instances {
		m.instances[i] = &modelInstance{clockOffset: rng.Int63n(modelSkew/2) - modelSkew/4}
		m.start(i, true)
	}
	if size > 2 && rng.Intn(3) == 0 {
		m.instances[size-1].clockOffset += 3600 * second
	}
	m.tightenAt = rng.Int63n(faultsEndAt / 2)
	return m
}

func (m *leaseModel) add(registry *PolicyRegistry, policy *Policy) {
	_, err := registry.AddPolicy(policy)
	require.NoError(m.t, err)
}

// start starts or restarts an instance, with or without its disk. The first instance reads the operator's file.
func (m *leaseModel) start(i int, withDisk bool) {
	instance := m.instances[i]
	instance.incarnation++
	instance.lease, instance.registry, instance.nextRound = NewLease(m.names[i], m.names, withDisk), &PolicyRegistry{}, 0
	m.add(instance.registry, m.loose)
	if withDisk && instance.stored != nil {
		m.add(instance.registry, instance.stored)
	}
	if i == 0 && m.tightened {
		m.add(instance.registry, m.strict)
	}
}

// learnStrict gives an instance the strict policy, which is on its disk before it answers other instances.
func (m *leaseModel) learnStrict(i int) {
	m.instances[i].stored = m.strict
	m.add(m.instances[i].registry, m.strict)
}

// send sends a message once or twice. Each copy may be lost or late, and is lost if its receiver restarts meanwhile.
func (m *leaseModel) send(sentAt int64, from, to int, deliver func()) {
	for copies := 1 + m.rng.Intn(2); copies > 0; copies-- {
		if m.side[from] != m.side[to] || m.cutOff[to] || sentAt <= m.faultsEndAt && m.rng.Intn(8) == 0 {
			continue
		}
		incarnation := m.instances[to].incarnation
		delay := m.rng.Int63n(2 * modelStep)
		if sentAt < m.faultsEndAt && m.rng.Intn(10) == 0 {
			delay = m.rng.Int63n(2 * modelLease)
		}
		m.messages = append(m.messages, modelMessage{sentAt + delay, func() {
			if m.instances[to].incarnation == incarnation {
				deliver()
			}
		}})
	}
}

func (m *leaseModel) deliverDue() {
	pending := m.messages
	m.messages = nil
	for _, message := range pending {
		if message.deliverAt <= m.now {
			message.deliver()
		} else {
			m.messages = append(m.messages, message)
		}
	}
}

// injectFaults partitions, heals, cuts off and restarts instances at random. A restart keeps the disk of an instance that
// is alone, and of all instances if one clock is wrong, since all members' acknowledgements of a round then never count.
func (m *leaseModel) injectFaults() {
	if m.now > m.faultsEndAt {
		clear(m.cutOff)
		clear(m.side)
	} else if m.rng.Intn(30) == 0 {
		for i := range m.side {
			m.side[i] = m.rng.Intn(3) / 2
			m.cutOff[i] = m.rng.Intn(6) == 0
		}
	}
	if m.now < m.faultsEndAt && m.rng.Intn(60) == 0 {
		size := len(m.instances)
		i := m.rng.Intn(size)
		m.start(i, m.rng.Intn(3) > 0 || size == 1 || m.instances[size-1].clockOffset > second)
	}
}

// step advances the fleet by one time step, in which every instance acts once.
func (m *leaseModel) step() {
	m.injectFaults()
	if !m.tightened && m.now >= m.tightenAt {
		m.tightened = true
		m.learnStrict(0)
	}
	m.deliverDue()
	votersWithStrict := 0
	for i, instance := range m.instances {
		localTime := m.now + instance.clockOffset
		if instance.lease.RenewSoleMember(localTime, modelLease) {
			m.counts.renewals++
		}
		if localTime >= instance.nextRound {
			instance.nextRound = localTime + RenewalInterval(modelLease)
			m.beginRound(i, localTime)
		}
		if instance.registry.NewestGeneration() == 2 && instance.lease.IsVoter() {
			votersWithStrict++
		}
	}
	if votersWithStrict > len(m.instances)/2 && m.majoritySince == 0 {
		m.majoritySince = m.now
	}
	m.requireStrictPolicyAfterOneLease()
}

// beginRound has an instance ask its peers. A peer that lacks the strict policy always gets it with a question; an asker
// that lacks it gets it with some of the acknowledgements, drawn at random.
func (m *leaseModel) beginRound(i int, localTime int64) {
	askedAt, asker := m.now, m.instances[i]
	nonce, generation := asker.lease.BeginRound(localTime), asker.registry.NewestGeneration()
	for _, name := range asker.lease.SelectPeers() {
		j, _ := slices.BinarySearch(m.names, name)
		m.send(askedAt, i, j, func() {
			if generation == 2 && m.instances[j].registry.NewestGeneration() < 2 {
				m.learnStrict(j)
			}
			m.acknowledge(askedAt, nonce, i, j)
		})
	}
}

// acknowledge has instance j answer instance i. Both clocks are read at the time of the question, askedAt.
func (m *leaseModel) acknowledge(askedAt int64, nonce uint64, i, j int) {
	asker, answerer := m.instances[i], m.instances[j]
	ack := LeaseAcknowledgement{
		From: m.names[j], Nonce: nonce, Generation: answerer.registry.NewestGeneration(),
		WallTime: askedAt + answerer.clockOffset, Voter: answerer.lease.IsVoter(),
	}
	m.send(askedAt, j, i, func() {
		if ack.Generation == 2 && asker.registry.NewestGeneration() < 2 && m.rng.Intn(2) == 0 {
			m.learnStrict(i)
		}
		if asker.lease.HandleAcknowledgement(askedAt+asker.clockOffset, ack, asker.registry.NewestGeneration(), modelLease, modelSkew, true) {
			m.counts.renewals++
		}
	})
}

func (m *leaseModel) requireStrictPolicyAfterOneLease() {
	for i, instance := range m.instances {
		policy := m.compiled[instance.registry.NewestGeneration()].WithLeaseExpiry(instance.lease.ExpiresAt())
		localTime := m.now + instance.clockOffset
		if m.majoritySince > 0 && m.now > m.majoritySince+modelLease {
			require.False(m.t, policy.allows(localTime, "acme", "deep", 0, "us-1"), "instance %d at %d, majority since %d", i, m.now, m.majoritySince)
		}
		if !policy.allows(localTime, "acme", "deep", 0, "eu-1") {
			m.counts.rejections++
		}
	}
}

// requireRecovered checks that all instances have the strict policy, and that all serve except one with a wrong clock.
func (m *leaseModel) requireRecovered(end int64) {
	for i, instance := range m.instances {
		require.Equal(m.t, uint64(2), instance.registry.NewestGeneration(), "instance %d", i)
		policy := instance.registry.Compile(instance.lease.ExpiresAt())
		allowed := policy.allows(end+instance.clockOffset, "acme", "deep", 0, "eu-1")
		if instance.clockOffset < 1800*second {
			require.True(m.t, allowed, "instance %d of %d", i, len(m.instances))
		} else {
			m.counts.isolated++
			require.False(m.t, allowed, "its clock is an hour off")
		}
	}
}

func (m *leaseModel) run(end int64) {
	for m.now = modelStep; m.now <= end; m.now += modelStep {
		m.step()
	}
	m.requireRecovered(end)
}

// Guards against an instance that goes on serving by an old policy. Random histories of up to five instances, and one of
// 300, have late, duplicated and lost messages, partitions, clocks that differ (one by an hour), and restarts with and
// without a disk, while one instance is given a stricter policy. One lease duration after more than half have that
// policy, no instance runs a shard request that it forbids. At the end, with all links working, all instances have it and
// all serve again, except one with a wrong clock.
func TestStricterPolicyIsEnforcedEverywhereAfterOneLease(t *testing.T) {
	var counts leaseModelCounts
	rapid.Check(t, func(t *rapid.T) {
		rng := rand.New(rand.NewSource(rapid.Int64().Draw(t, "seed")))
		newLeaseModel(t, rng, &counts, rapid.IntRange(1, 5).Draw(t, "instances"), 30*second).run(60 * second)
	})
	newLeaseModel(t, rand.New(rand.NewSource(1)), &counts, 300, 9*second).run(21 * second)
	require.Positive(t, counts.renewals)
	require.Positive(t, counts.rejections)
	require.Positive(t, counts.isolated)
}
