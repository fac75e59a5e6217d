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
	residencyBucket = "residency" // of the store

	storeOpenTimeout  = 3 * time.Second  // for the store to open at the start
	policySaveTimeout = 30 * time.Second // a disk that takes longer hangs
)

// saveResult is the result of writing the policies to the disk.
type saveResult struct {
	generation, digest uint64 // newest generation and digest of what was written
	err                error
}

// loadStored adds the stored policies to the registry, and reports whether they are all that this instance knew.
func (c *residencyService) loadStored() (complete bool) {
	select {
	case <-c.sharing.opened:
	case <-time.After(storeOpenTimeout):
		return c.logUnreadable(errors.New("the store is not open yet"))
	}
	if c.sharing.store == nil {
		if c.sharing.file.StoreFile != "" {
			return c.logUnreadable(errors.New("there is no store"))
		}
		return false
	}
	c.store = c.sharing.store
	var faults []error
	err := c.store.Load(residencyBucket, func(key string, value []byte) error {
		policy, err := residency.ParsePolicy("store "+key, value, residency.Site{})
		if err != nil {
			faults = append(faults, err)
			return nil
		}
		c.addPolicy(policy)
		return nil
	})
	if err = errors.Join(append(faults, err)...); err != nil {
		return c.logUnreadable(err)
	}
	c.storedGeneration = c.registry.NewestGeneration()
	return true
}

func (c *residencyService) logUnreadable(err error) (complete bool) {
	c.sharing.log.Warn("residency_policies_unreadable", advice.LogAttrs(&residency.PoliciesUnreadableError{Err: err})...)
	return false
}

// loadLate loads the policies of a store that opened after the start, before save would overwrite them.
func (c *residencyService) loadLate() {
	select {
	case <-c.sharing.opened:
	default:
		return
	}
	if c.store == nil && c.sharing.store != nil {
		c.loadStored()
		c.storedDigest = 0
		c.sharing.residencyGuard.SetPolicy(c.registry.Compile(c.lease.ExpiresAt()))
	}
}

// savePolicies writes the policies to the disk. Until that is done this instance acknowledges the generation before.
func (c *residencyService) savePolicies() {
	c.loadLate()
	newest, sum := c.registry.NewestGeneration(), c.digest
	if c.saving || c.storedDigest == sum {
		return
	}
	if c.store == nil {
		c.storedGeneration, c.storedDigest = newest, sum
		return
	}
	puts, deletes, err := c.changedEntries()
	if err == nil && len(puts) == 0 && len(deletes) == 0 {
		c.storedGeneration, c.storedDigest = newest, sum
		return
	}
	c.saving = true
	c.sharing.background.Go(func() {
		ctx, cancel := context.WithTimeout(c.sharing.ctx, policySaveTimeout)
		defer cancel()
		c.saveResults <- saveResult{newest, sum, c.store.Put(ctx, residencyBucket, puts, deletes)}
	})
}

// changedEntries returns how the store's entries have to change to hold the registry's policies. With an error, all
// policies are to be written.
func (c *residencyService) changedEntries() (puts map[string][]byte, deletes []string, err error) {
	puts = map[string][]byte{}
	for i, policy := range c.registry.Policies() {
		puts[fmt.Sprintf("%020d-%d", policy.Generation, i)] = policy.Text
	}
	err = c.store.Load(residencyBucket, func(key string, value []byte) error {
		if text, exists := puts[key]; !exists {
			deletes = append(deletes, key)
		} else if string(text) == string(value) {
			delete(puts, key)
		}
		return nil
	})
	return puts, deletes, err
}

func (c *residencyService) handleSaved(result saveResult) {
	c.saving = false
	if result.err == nil {
		c.storedGeneration, c.storedDigest = max(c.storedGeneration, result.generation), result.digest
		c.beginRound()
	} else if c.sharing.ctx.Err() == nil {
		c.sharing.log.Warn("residency_save_failed", advice.LogAttrs(result.err, "generation", result.generation)...)
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
