package subscribers

import (
	"fmt"
	"maps"

	"github.com/stretchr/testify/require"
)

// isSettled reports whether the fleet has been without faults for long enough to have recovered from earlier ones.
func (m *fleetModel) isSettled() bool {
	return m.healthySince > 0 && m.now-m.healthySince > settlingTime
}

// receive checks a delivery as its receiver sees it.
func (m *fleetModel) receive(delivery Delivery) {
	content := fmt.Sprint(delivery.Consent, delivery.Blocks, delivery.valueHashes)
	id := delivery.Key.EntryName() + delivery.Number.String()
	if previous, repeated := m.contents[id]; repeated {
		require.Equal(m.t, previous, content, "a number was reused with other content")
		return
	}
	m.contents[id] = content
	for _, previous := range m.received[delivery.Key] {
		if previous.number.Gateway == delivery.Number.Gateway || m.now-m.lastCutAt > settlingTime {
			require.Positive(m.t, delivery.Number.Compare(previous.number), "numbers went backward: %v after %v", delivery.Number, previous.number)
		}
		if previous.content == content {
			require.False(m.t, previous.settled && m.isSettled() && m.lossRate == 0, "the same content was delivered twice without a fault")
		}
	}
	m.received[delivery.Key] = append(m.received[delivery.Key], receipt{delivery.Number, content, m.isSettled()})
}

// requireNoneServesOtherView checks, when a gateway begins to serve, that no gateway of its view still serves under
// another view.
func (g *modelGateway) requireNoneServesOtherView() {
	m := g.model
	for _, member := range g.gateway.view.members {
		for _, other := range m.gateways {
			if member.Name == other.name() && other.isActive() && len(m.cutLinks) == 0 {
				servesOtherView := other.gateway.serving && other.gateway.view.hash != g.gateway.view.hash
				require.False(m.t, servesOtherView, "%s begins to serve while %s still serves under another view", g.name(), other.name())
			}
		}
	}
}

// requireOneOwner checks that no two gateways with the same view serve the same subscriber, and that exactly one
// gateway does once the fleet is settled.
func (m *fleetModel) requireOneOwner() {
	for key := range m.values {
		var owners []*modelGateway
		for _, g := range m.gateways {
			s := g.gateway.subscriptions[key]
			if !g.running || s == nil || !s.served {
				continue
			}
			for _, other := range owners {
				require.False(m.t, other.gateway.view.hash == g.gateway.view.hash, "%v is served by both %s and %s under the same view", key, other.name(), g.name())
			}
			owners = append(owners, g)
		}
		if m.isSettled() {
			record, _ := m.gateways[0].list.Get(key)
			require.Equal(m.t, !record.IsUnsubscribed(), len(owners) == 1, "%v: %d gateways serve it, unsubscribed: %v", key, len(owners), record.IsUnsubscribed())
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

// requireListed checks that all gateways hold the same record of a subscriber, and that it is subscribed if it asked
// for that and each unsubscription was seen by a later subscription. Requests that were lost with all disks that had
// them do not count.
func (m *fleetModel) requireListed(key Key, known map[string]bool) {
	subscribed, unseen := false, map[string]bool{}
	for id, request := range m.requests {
		if request.key != key || !known[id] {
			continue
		}
		if request.subscribe {
			subscribed = true
		} else {
			unseen[id] = true
		}
	}
	for id, request := range m.requests {
		if request.key == key && request.subscribe && known[id] {
			for seen := range request.known {
				delete(unseen, seen)
			}
		}
	}
	want := subscribed && len(unseen) == 0
	var encoded []byte
	for _, g := range m.gateways {
		record, exists := g.list.Get(key)
		require.Equal(m.t, want, exists && !record.IsUnsubscribed(), "%v at %s: %s; unseen: %v", key, g.name(), record.Describe(), unseen)
		record.PriorHashes = nil
		if encoded == nil {
			encoded = record.Encode()
		}
		require.Equal(m.t, encoded, record.Encode(), "%v differs at the end", key)
	}
}
