package main

import (
	"bytes"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"time"

	"github.com/cespare/xxhash/v2"

	"chalkring/cluster/crdt"
	"chalkring/control/rollout"
	"chalkring/endpoints/hostfile"
	"chalkring/internal/advice"
)

// changeFileInterval is the time between two reads of the change file.
const changeFileInterval = 500 * time.Millisecond

// updateController hands the controller all that is new, and returns the time of that.
func (r *rolloutRunner) updateController() (now int64) {
	r.changeFile.update(r.controller)
	now = r.clock()
	r.handleEntries(now)
	var instances []rollout.Instance
	for _, member := range r.members.Members() {
		instances = append(instances, rollout.Instance{Name: member.Name, Region: member.Region, Zone: member.Zone})
	}
	r.controller.SetInstances(instances, r.members.NameConflicts())
	r.controller.SetStats(r.counters.snapshot())
	return now
}

// handleEntries hands the controller the replicated entries that have changed.
func (r *rolloutRunner) handleEntries(now int64) {
	var changed []crdt.Entry
	r.replicator.ScanPrefix(rollout.KeyPrefix, func(entry crdt.Entry) bool {
		if hash := hashEntry(entry); r.seenEntries[entry.Name] != hash {
			r.seenEntries[entry.Name] = hash
			changed = append(changed, entry)
		}
		return true
	})
	for _, entry := range changed {
		for _, sibling := range entry.Siblings {
			if sibling.Deleted {
				continue
			}
			if err := r.controller.HandleEntry(now, entry.Name, sibling.Value); err != nil {
				r.log.Warn("rollout_entry", advice.LogAttrs(err)...)
			}
		}
	}
}

// hashEntry tells the states of an entry apart.
func hashEntry(entry crdt.Entry) uint64 {
	hash := xxhash.New()
	for _, sibling := range entry.Siblings {
		_, _ = fmt.Fprint(hash, sibling.Dot, sibling.Deleted) // a hash takes every write
	}
	return hash.Sum64()
}

// carryOut writes a decision's entries and events. A restart is left to the caller.
func (r *rolloutRunner) carryOut(decision *rollout.Decision) {
	for key, value := range decision.Put {
		if _, err := r.replicator.Put(key, value); err != nil {
			r.log.Warn("rollout_put", advice.LogAttrs(err, "name", key)...)
		}
	}
	for _, key := range decision.Delete {
		if _, err := r.replicator.Delete(key); err != nil {
			r.log.Warn("rollout_put", advice.LogAttrs(err, "name", key)...)
		}
	}
	for _, event := range decision.Events {
		if event.Err != nil {
			r.log.Warn(event.Name, advice.LogAttrs(event.Err, event.Attrs...)...)
		} else {
			r.log.Info(event.Name, event.Attrs...)
		}
	}
}

// changeFileReader reads the operator's change file whenever it has changed.
type changeFileReader struct {
	path   string
	log    *slog.Logger
	text   []byte // as it was read last, nil without a file
	readAt time.Time
}

// update reads the file if the interval has passed since the last read, and hands a new one to the controller.
func (c *changeFileReader) update(controller *rollout.Controller) {
	if time.Since(c.readAt) > changeFileInterval {
		c.readAt = time.Now()
		c.read(controller)
	}
}

// read reads the file. One that cannot be used is logged once and changes nothing.
func (c *changeFileReader) read(controller *rollout.Controller) {
	text, err := hostfile.ReadText(c.path)
	switch {
	case errors.Is(err, os.ErrNotExist):
		c.text = nil
		controller.SetFile(nil)
	case err != nil:
		if c.text != nil {
			c.log.Warn("rollout_file", advice.LogAttrs(&rollout.InvalidChangeFileError{Path: c.path, Err: err})...)
		}
		c.text = nil
	case !bytes.Equal(text, c.text):
		c.text = text
		c.use(text, controller)
	}
}

func (c *changeFileReader) use(text []byte, controller *rollout.Controller) {
	file, err := rollout.ParseChangeFile(c.path, text)
	if err != nil {
		c.log.Warn("rollout_file", advice.LogAttrs(err)...)
		return
	}
	c.log.Info("rollout_file", "change", file.Change.Name, "number", file.Change.Number, "order", file.Order, "turn", file.Epoch)
	controller.SetFile(file)
}
