package fanout

import (
	"context"
	"time"

	"chalkring/cluster/crdt"
	"chalkring/control/subscribers"
)

// callTimeout limits how long a call waits for the store.
const callTimeout = 5 * time.Second

// Subscribe subscribes a subscriber, or changes the details of one that is subscribed. Like the methods below it
// returns once the change is on disk, if there is a disk; other instances receive it shortly afterwards. If the write
// to disk fails, the error is a replication.NotPersistedError, and the subscription is still valid in memory.
func (g *Gateway) Subscribe(ctx context.Context, key subscribers.Key, details subscribers.Details) error {
	if err := g.checkZones(key.Tenant); err != nil {
		return err
	}
	count := g.listedCount.Load()
	if _, exists := g.options.Store.Get(key.EntryName()); !exists && count >= subscribers.MaxSubscriptions {
		return &subscribers.ListFullError{Count: int(count), Max: subscribers.MaxSubscriptions}
	}
	return g.updateAndPersist(ctx, key, subscribers.Subscribe(key, g.options.Self.Region, details))
}

// ChangeDetails changes the details of a subscriber that is subscribed.
func (g *Gateway) ChangeDetails(ctx context.Context, key subscribers.Key, details subscribers.Details) error {
	if err := g.checkZones(key.Tenant); err != nil {
		return err
	}
	return g.updateAndPersist(ctx, key, subscribers.ChangeDetails(key, details))
}

// Unsubscribe unsubscribes a subscriber.
func (g *Gateway) Unsubscribe(ctx context.Context, key subscribers.Key) error {
	return g.updateAndPersist(ctx, key, subscribers.Unsubscribe(key, g.options.Self.Name, wallMS()))
}

// Get returns a subscriber's record, and whether the subscriber is subscribed.
func (g *Gateway) Get(key subscribers.Key) (subscribers.Record, bool) {
	entry, _ := g.options.Store.Get(key.EntryName())
	record, err := subscribers.ResolveEntry(entry)
	return record, err == nil && !record.IsUnsubscribed()
}

func (g *Gateway) updateAndPersist(ctx context.Context, key subscribers.Key, update subscribers.RecordUpdate) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	select {
	case <-g.options.Store.Ready(): // before the store is loaded, a write would not supersede the record on disk
	case <-ctx.Done():
		return ctx.Err()
	}
	if err := g.update(key, update); err != nil {
		return err
	}
	return g.options.Store.WaitPersisted(ctx)
}

func (g *Gateway) update(key subscribers.Key, update subscribers.RecordUpdate) error {
	_, err := g.options.Store.Update(key.EntryName(), func(entry crdt.Entry) ([]byte, bool, error) {
		return subscribers.ApplyUpdate(entry, update)
	})
	return err
}

// checkZones returns an error if a tenant's contract forbids its entries in the zone of any instance, since every
// instance holds the whole list.
func (g *Gateway) checkZones(tenant string) error {
	allowsTenantData := g.options.Rules().AllowsTenantData
	if allowsTenantData == nil {
		return nil
	}
	for _, zone := range g.options.Membership().Zones {
		if !allowsTenantData(tenant, zone) {
			return &ZoneForbiddenError{tenant, zone}
		}
	}
	return nil
}
