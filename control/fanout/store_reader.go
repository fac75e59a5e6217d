package fanout

import (
	"time"

	"chalkring/cluster/crdt"
	"chalkring/control/subscribers"
	"chalkring/internal/advice"
)

const (
	// A scan looks at every subscription. While the list changes, the time between two scans is scanCostFactor times the
	// duration of the last scan, but at least minScanInterval and at most maxScanInterval.
	minScanInterval = 250 * time.Millisecond
	maxScanInterval = 2 * time.Second
	scanCostFactor  = 4

	// maxEntriesPerTick limits how many scanned entries are applied in one tick: some 40 ms of a core.
	maxEntriesPerTick = 4000
)

// readStore applies what has changed in the store, as much as fits in a tick.
func (g *Gateway) readStore(t time.Time) {
	if g.loop.statusesChanged {
		g.loop.statusesChanged = false
		g.readStatuses()
	}
	switch {
	case len(g.loop.unapplied) > 0:
		g.applyScanned()
	case g.loop.listChanged && t.Sub(g.loop.lastScan) >= g.loop.scanInterval:
		g.loop.listChanged = false
		g.scanList()
		g.loop.lastScan = time.Now()
		scanTime := g.loop.lastScan.Sub(t)
		g.loop.scanInterval = min(maxScanInterval, max(minScanInterval, scanCostFactor*scanTime))
	}
}

// publishStatus puts this gateway's status into the store.
func (g *Gateway) publishStatus(status subscribers.StatusMessage) {
	if _, err := g.options.Store.Put(subscribers.StatusMessageKeyPrefix+g.options.Self.Name, status.Encode()); err != nil {
		g.warnLimited("subscriber_update_failed", advice.LogAttrs(err, "subscriber", "the status of this gateway, which serves no subscribers until it is stored")...)
		return
	}
	g.loop.decisions.ConfirmStatusMessage(status)
	g.loop.statsChanged = true
}

// readStatuses processes the gateways' statuses that have changed.
func (g *Gateway) readStatuses() {
	var entries []crdt.Entry
	g.options.Store.ScanPrefix(subscribers.StatusMessageKeyPrefix, func(entry crdt.Entry) bool {
		entries = append(entries, entry)
		return true
	})
	for _, entry := range entries {
		digest := subscribers.EntryDigest(entry)
		if g.loop.statusDigests[entry.Name] == digest {
			continue
		}
		g.loop.statusDigests[entry.Name] = digest
		gateway := entry.Name[len(subscribers.StatusMessageKeyPrefix):]
		g.loop.decisions.HandleStatusMessage(gateway, subscribers.DecodeStatusMessage(entry))
	}
}

// scanList collects the entries that have changed, and removes deleted ones from the list.
func (g *Gateway) scanList() {
	g.loop.list.BeginScan()
	g.options.Store.ScanPrefix(subscribers.KeyPrefix, func(entry crdt.Entry) bool {
		if g.loop.list.NeedsUpdate(entry) {
			g.loop.unapplied = append(g.loop.unapplied, entry)
		}
		return true
	})
	for _, key := range g.loop.list.FindRemoved() {
		g.loop.list.Remove(key)
		g.loop.decisions.SetRecord(now(), key, subscribers.Record{}, false)
		g.loop.statsChanged, g.loop.fileApplied = true, false
	}
}

// applyScanned applies as many scanned entries as fit in a tick.
func (g *Gateway) applyScanned() {
	step := g.loop.unapplied[:min(len(g.loop.unapplied), maxEntriesPerTick)]
	appliedAt := now()
	for _, entry := range step {
		g.applyEntry(appliedAt, entry)
	}
	g.loop.unapplied = g.loop.unapplied[len(step):]
	if len(g.loop.unapplied) == 0 {
		g.loop.unapplied = nil // frees the entries
	}
	subscribed, unsubscribed := g.loop.list.CountSubscriptions()
	g.listedCount.Store(int64(subscribed + unsubscribed))
}

func (g *Gateway) applyEntry(appliedAt int64, entry crdt.Entry) {
	key, changed, conflicts, err := g.loop.list.ApplyEntry(entry)
	if err != nil {
		g.reportInvalidEntry(entry, err)
	}
	for _, conflict := range conflicts {
		g.loop.conflictCount++
		g.warnLimited("subscriber_conflict", "subscriber", conflict.Key, "kept", conflict.Kept, "discarded", conflict.Discarded)
	}
	if changed {
		g.loop.statsChanged, g.loop.fileApplied = true, false
		record, exists := g.loop.list.Get(key)
		g.loop.decisions.SetRecord(appliedAt, key, record, exists)
	}
}

// reportInvalidEntry reports an entry that cannot be decoded, once until it changes.
func (g *Gateway) reportInvalidEntry(entry crdt.Entry, err error) {
	digest := subscribers.EntryDigest(entry)
	if g.loop.reportedInvalid[entry.Name] == digest {
		return
	}
	if len(g.loop.reportedInvalid) > maxRememberedReports {
		clear(g.loop.reportedInvalid)
	}
	g.loop.reportedInvalid[entry.Name] = digest
	g.warnLimited("subscriber_entry_invalid", advice.LogAttrs(err)...)
}
