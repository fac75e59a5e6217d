package main

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"time"

	"chalkring/control/residency"
	"chalkring/internal/advice"
)

const (
	zonesBucket = "residency" // of the store

	storeOpenTimeout  = 3 * time.Second  // for the store to open at the start
	policySaveTimeout = 30 * time.Second // a disk that takes longer hangs
)

// saveDone is the result of writing the policies to the disk.
type saveDone struct {
	generation, sum uint64 // newest generation and digest of what was written
	err             error
}

// load adds the stored policies to the registry, and reports whether they are all that this instance knew.
func (c *contracts) load() (complete bool) {
	select {
	case <-c.s.opened:
	case <-time.After(storeOpenTimeout):
		return c.logUnreadable(errors.New("the store is not open yet"))
	}
	if c.s.store == nil {
		if c.s.file.StoreFile != "" {
			return c.logUnreadable(errors.New("there is no store"))
		}
		return false
	}
	c.disk = c.s.store
	var faults []error
	err := c.disk.Load(zonesBucket, func(key string, value []byte) error {
		policy, err := residency.ParsePolicy("store "+key, value, residency.Site{})
		if err != nil {
			faults = append(faults, err)
			return nil
		}
		c.tell(policy)
		return nil
	})
	if err = errors.Join(append(faults, err)...); err != nil {
		return c.logUnreadable(err)
	}
	c.saved = c.book.NewestGeneration()
	return true
}

func (c *contracts) logUnreadable(err error) (complete bool) {
	c.s.log.Warn("residency_policies_unreadable", advice.LogAttrs(&residency.PoliciesUnreadableError{Err: err})...)
	return false
}

// loadLate loads the policies of a store that opened after the start, before save would overwrite them.
func (c *contracts) loadLate() {
	select {
	case <-c.s.opened:
	default:
		return
	}
	if c.disk == nil && c.s.store != nil {
		c.load()
		c.savedSum = 0
		c.s.zones.SetPolicy(c.book.Compile(c.lease.ExpiresAt()))
	}
}

// save writes the policies to the disk. Until that is done this instance acknowledges the generation before.
func (c *contracts) save() {
	c.loadLate()
	newest, sum := c.book.NewestGeneration(), c.sum
	if c.saving || c.savedSum == sum {
		return
	}
	if c.disk == nil {
		c.saved, c.savedSum = newest, sum
		return
	}
	puts, deletes, err := c.changedEntries()
	if err == nil && len(puts) == 0 && len(deletes) == 0 {
		c.saved, c.savedSum = newest, sum
		return
	}
	c.saving = true
	c.s.work.Go(func() {
		ctx, cancel := context.WithTimeout(c.s.ctx, policySaveTimeout)
		defer cancel()
		c.done <- saveDone{newest, sum, c.disk.Put(ctx, zonesBucket, puts, deletes)}
	})
}

// changedEntries returns how the store's entries have to change to hold the registry's policies. With an error, all
// policies are to be written.
func (c *contracts) changedEntries() (puts map[string][]byte, deletes []string, err error) {
	puts = map[string][]byte{}
	for i, policy := range c.book.Policies() {
		puts[fmt.Sprintf("%020d-%d", policy.Generation, i)] = policy.Text
	}
	err = c.disk.Load(zonesBucket, func(key string, value []byte) error {
		if text, exists := puts[key]; !exists {
			deletes = append(deletes, key)
		} else if string(text) == string(value) {
			delete(puts, key)
		}
		return nil
	})
	return puts, deletes, err
}

func (c *contracts) handleSaved(result saveDone) {
	c.saving = false
	if result.err == nil {
		c.saved, c.savedSum = max(c.saved, result.generation), result.sum
		c.beginRound()
	} else if c.s.ctx.Err() == nil {
		c.s.log.Warn("residency_save_failed", advice.LogAttrs(result.err, "generation", result.generation)...)
	}
}

// policiesDigest identifies a list of policies.
func policiesDigest(policies []*residency.Policy) uint64 {
	hash := fnv.New64a()
	for _, policy := range policies {
		_, _ = fmt.Fprintf(hash, "%d ", len(policy.Text)) // never fails
		_, _ = hash.Write(policy.Text)
	}
	return hash.Sum64()
}
