package subscribers

import (
	"fmt"
	"maps"

	"github.com/stretchr/testify/require"
)

// isSettled reports whether there is no fault, and none that the fleet still has to recover from.
func (m *fleetModel) isSettled() bool {
	return m.healthySince > 0 && m.now-m.healthySince > settlingTime
}

// receive judges a delivery as its receiver sees it.
func (m *fleetModel) receive(delivery Delivery) {
	content := fmt.Sprint(delivery.Consent, delivery.Blocks, delivery.values)
	id := delivery.Key.LedgerKey() + delivery.Number.String()
	if previous, repeated := m.contents[id]; repeated {
		require.Equal(m.t, previous, content, "a number came with other content")
		return
	}
	m.contents[id] = content
	for _, previous := range m.received[delivery.Key] {
		if previous.number.Gateway == delivery.Number.Gateway || m.now-m.lastCutAt > settlingTime {
			require.Positive(m.t, delivery.Number.Compare(previous.number), "numbers went backward: %v after %v", delivery.Number, previous.number)
		}
		if previous.content == content {
			require.False(m.t, previous.settled && m.isSettled() && m.lossRate == 0, "the same came twice without a fault")
		}
	}
	m.received[delivery.Key] = append(m.received[delivery.Key], receipt{delivery.Number, content, m.isSettled()})
}

// requireOthersHaveEnded checks that no gateway of the view serves by another view once all have agreed.
func (g *modelGateway) requireOthersHaveEnded() {
	m := g.model
	for _, member := range g.gateway.view.members {
		for _, other := range m.gateways {
			if member.Name == other.name() && other.isActive() && len(m.cutLinks) == 0 {
				servesOtherView := other.gateway.serving && other.gateway.view.hash != g.gateway.view.hash
				require.False(m.t, servesOtherView, "%s begins and %s has not ended", g.name(), other.name())
			}
		}
	}
}

// requireOneOwner checks that of the gateways with one view no two serve one subscriber, and, once the fleet is settled,
// that exactly one does.
func (m *fleetModel) requireOneOwner() {
	for key := range m.values {
		var owners []*modelGateway
		for _, g := range m.gateways {
			s := g.gateway.subscriptions[key]
			if !g.running || s == nil || !s.served {
				continue
			}
			for _, other := range owners {
				require.False(m.t, other.gateway.view.hash == g.gateway.view.hash, "%v is served by %s and %s by one view", key, other.name(), g.name())
			}
			owners = append(owners, g)
		}
		if m.isSettled() {
			record, _ := m.gateways[0].list.Get(key)
			require.Equal(m.t, !record.IsUnsubscribed(), len(owners) == 1, "%v: %d gateways serve, unsubscribed %v", key, len(owners), record.IsUnsubscribed())
		}
	}
}

// recover ends all faults, lets the fleet settle and checks the lists.
func (m *fleetModel) recover() {
	clear(m.cutLinks)
	m.lossRate = 0
	for _, g := range m.gateways {
		g.pausedUntil, g.diskFull = 0, false
		if !g.running {
			g.start(g.disk)
		}
	}
	m.healthySince = m.now
	for range settlingTime/modelStep + 50 {
		m.step()
	}
	known := map[string]bool{}
	for _, g := range m.gateways {
		maps.Copy(known, g.known)
	}
	for key := range m.values {
		m.requireListed(key, known)
	}
}

// requireListed checks that all gateways hold the same record of a subscriber, and that it is subscribed if it asked for
// it and each unsubscription is followed by a subscription that was made knowing of it. Requests that were lost with all
// disks that had them do not count.
func (m *fleetModel) requireListed(key Key, known map[string]bool) {
	subscribed, unanswered := false, map[string]bool{}
	for id, request := range m.requests {
		if request.key != key || !known[id] {
			continue
		}
		if request.subscribe {
			subscribed = true
		} else {
			unanswered[id] = true
		}
	}
	for id, request := range m.requests {
		if request.key == key && request.subscribe && known[id] {
			for seen := range request.known {
				delete(unanswered, seen)
			}
		}
	}
	want := subscribed && len(unanswered) == 0
	var encoded []byte
	for _, g := range m.gateways {
		record, exists := g.list.Get(key)
		require.Equal(m.t, want, exists && !record.IsUnsubscribed(), "%v at %s: %s; unanswered: %v", key, g.name(), record.Describe(), unanswered)
		record.PriorHashes = nil
		if encoded == nil {
			encoded = record.Encode()
		}
		require.Equal(m.t, encoded, record.Encode(), "%v differs at the end", key)
	}
}
