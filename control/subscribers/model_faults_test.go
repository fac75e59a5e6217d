package subscribers

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// modelFault is an event that the model injects.
type modelFault string

const (
	cutLink       modelFault = "cut link"
	cutOneWay     modelFault = "cut link one way"
	isolateRegion modelFault = "isolate region"
	heal          modelFault = "heal"
	healOneLink   modelFault = "heal one link"
	flap          modelFault = "flap"
	kill          modelFault = "kill"
	restart       modelFault = "restart"
	copyDisks     modelFault = "copy disks"
	restoreDisk   modelFault = "restore older disk"
	restartAll    modelFault = "restart all"
	pause         modelFault = "pause"
	loseMessages  modelFault = "lose deliveries"
	fillDisk      modelFault = "fill disk"
	burst         modelFault = "burst of requests"
)

var modelFaults = []modelFault{
	cutLink, cutOneWay, isolateRegion, heal, healOneLink, flap, kill, restart, copyDisks, restoreDisk,
	restartAll, pause, loseMessages, fillDisk, burst,
}

// inject applies one event to the fleet.
func (m *fleetModel) inject(fault modelFault) {
	g := m.gateways[m.rng.Intn(len(m.gateways))]
	a, b := m.rng.Intn(modelRegions), m.rng.Intn(modelRegions)
	switch fault {
	case cutLink, cutOneWay, isolateRegion, heal, healOneLink, flap:
		m.changeLinks(fault, a, b)
	case kill:
		g.running = false
	case restart:
		g.start(g.disk)
	case copyDisks:
		for _, g := range m.gateways {
			g.olderDisks = append(g.olderDisks, g.disk)
		}
	case restoreDisk:
		if len(g.olderDisks) > 0 {
			g.disk = g.olderDisks[m.rng.Intn(len(g.olderDisks))]
			g.start(g.disk)
		}
	case restartAll:
		for _, g := range m.gateways {
			g.start(g.disk)
		}
	case pause:
		g.pausedUntil = m.now + m.rng.Int63n(15*second)
	case loseMessages:
		m.lossRate = 0.3
	case fillDisk:
		g.diskFull = true
	case burst:
		for range 30 {
			m.sendRequest()
		}
	}
}

// changeLinks cuts or heals the links of region a, or the link between a and b.
func (m *fleetModel) changeLinks(fault modelFault, a, b int) {
	switch fault {
	case cutLink:
		m.cutLinks[regionLink{a, b}], m.cutLinks[regionLink{b, a}] = true, true
	case cutOneWay:
		m.cutLinks[regionLink{a, b}] = true
	case isolateRegion:
		for other := range modelRegions {
			m.cutLinks[regionLink{a, other}], m.cutLinks[regionLink{other, a}] = true, true
		}
	case heal:
		clear(m.cutLinks)
	case healOneLink:
		delete(m.cutLinks, regionLink{a, b})
		delete(m.cutLinks, regionLink{b, a})
	case flap:
		for range 4 {
			m.inject(isolateRegion)
			m.run(2 * second)
			m.inject(heal)
			m.run(2 * second)
		}
	}
}

func (m *fleetModel) randomKey() Key { return Key{"t", fmt.Sprint("s", m.rng.Intn(len(m.values)))} }

func (m *fleetModel) randomDetails() Details {
	return Details{Type: "lookup", Query: fmt.Sprint(m.rng.Intn(4)), Interval: (1 + m.rng.Int63n(4)) * second}
}

// sendRequest sends a random subscriber's request to a random gateway.
func (m *fleetModel) sendRequest() {
	g, key := m.gateways[m.rng.Intn(len(m.gateways))], m.randomKey()
	if !g.isActive() {
		return
	}
	switch m.rng.Intn(4) {
	case 0:
		id := fmt.Sprint("unsubscription ", len(m.requests))
		m.requests[id], g.known[id] = request{key: key}, true
		g.update(key, Unsubscribe(key, g.name(), uint64(m.now/10)))
	case 1:
		g.update(key, ChangeDetails(key, m.randomDetails()))
	default:
		g.update(key, Subscribe(key, g.member().Region, m.randomDetails()))
	}
}

// run lets time pass while requests arrive and values change.
func (m *fleetModel) run(duration int64) {
	for end := m.now + duration; m.now < end; {
		if m.rng.Intn(4) == 0 {
			m.sendRequest()
		}
		if m.rng.Intn(3) == 0 {
			m.values[m.randomKey()]++
		}
		m.step()
	}
}

// After random faults have ended, all gateways must hold the same list, without a lost subscription or a resubscribed
// subscriber, and each subscriber must be served by one gateway.
func TestListsConvergeAfterAnyFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newFleetModel(t, rapid.Int64().Draw(t, "seed"), 2, 6)
		m.exchangeRate = rapid.SampledFrom([]float64{0.15, 0.4, 1}).Draw(t, "exchange rate")
		for range 30 {
			m.sendRequest()
		}
		m.run(12 * second)
		for _, fault := range rapid.SliceOfN(rapid.SampledFrom(modelFaults), 1, 8).Draw(t, "faults") {
			m.healthySince = 0
			m.inject(fault)
			m.run(1 + m.rng.Int63n(12*second))
		}
		m.recover()
	})
}

// After one of three regions of a large fleet has been cut off and reconnected, all gateways must hold the same list and
// each subscriber must be served by one gateway.
func TestLargeFleetConvergesAfterPartition(t *testing.T) {
	m := newFleetModel(t, 3, 25, 60)
	for range 200 {
		m.sendRequest()
	}
	for range 60 {
		m.step()
	}
	m.healthySince = 0
	m.inject(isolateRegion)
	for range 60 {
		m.step()
	}
	m.recover()
}
