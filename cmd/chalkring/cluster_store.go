package main

import (
	"context"
	"encoding/binary"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"chalkring/cluster/membership"
	"chalkring/cluster/replication"
	"chalkring/internal/advice"
	"chalkring/storage/store"
)

// The bucket of the cluster's store for what belongs to no feature, and its keys.
const (
	clusterBucket  = "fleet"
	incarnationKey = "life"  // of the run that opened the store last
	identityKey    = "whose" // of the cluster and customer that wrote the store

	incarnationBytes = 8 // big endian
)

const (
	storeTimeout      = 30 * time.Second       // for a write or the end of one: a disk that takes longer hangs
	slowStoreDelay    = 2 * time.Second        // after which features read a store whose first write is not done
	lockRetryInterval = 500 * time.Millisecond // between attempts to open a store that a stopping process still holds
)

// openStorage waits for the cluster's store, where replicated entries are stored too. Both results are nil where there
// is none.
func (s *clusterInstance) openStorage(ctx context.Context) (replication.Storage, error) {
	select {
	case <-s.opened:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if s.store == nil {
		return nil, nil
	}
	return s.store, nil
}

// initStore opens the store, ends the previous incarnation, which others may still believe alive, and records this one.
// The store of another cluster is left as it is, and this instance goes on without one.
func (s *clusterInstance) initStore() {
	reportOpened := sync.OnceFunc(func() { close(s.opened) })
	defer reportOpened()
	opened := s.openStore()
	if opened == nil {
		return
	}
	if err := s.checkIdentity(opened); err != nil {
		s.logStoreError(err)
		s.closeForeignStore(opened)
		return
	}
	s.store = opened
	s.endPreviousIncarnation()
	// The identity is the first thing that is written. If the disk hangs meanwhile, features can read the store all the same.
	slow := time.AfterFunc(slowStoreDelay, reportOpened)
	defer slow.Stop()
	s.recordIncarnation()
}

func (s *clusterInstance) endPreviousIncarnation() {
	previous, found, err := s.store.Get(clusterBucket, incarnationKey)
	if err != nil {
		s.logStoreError(err)
	} else if found && len(previous) == incarnationBytes {
		s.node.EndPreviousIncarnation(binary.BigEndian.Uint64(previous))
	}
}

// recordIncarnation writes this run's incarnation and, where the cluster has one, its identity.
func (s *clusterInstance) recordIncarnation() {
	ctx, cancel := context.WithTimeout(s.ctx, storeTimeout)
	defer cancel()
	puts := map[string][]byte{incarnationKey: binary.BigEndian.AppendUint64(nil, s.members.Self().Incarnation)}
	if s.identity.IsSpecified() {
		encoded, err := cbor.Marshal(s.identity)
		if err != nil {
			s.logStoreError(err)
		} else {
			puts[identityKey] = encoded
		}
	}
	if err := s.store.Put(ctx, clusterBucket, puts, nil); err != nil && s.ctx.Err() == nil {
		s.logStoreError(err)
	}
}

// checkIdentity checks that the store is not another cluster's or customer's, whose settings and contracts would take
// effect here. A store without an identity counts as this cluster's: earlier versions wrote none.
func (s *clusterInstance) checkIdentity(opened *store.Store) error {
	encoded, found, err := opened.Get(clusterBucket, identityKey)
	if err != nil || !found {
		return err
	}
	var theirs membership.Identity
	if err := cbor.Unmarshal(encoded, &theirs); err != nil {
		return err
	}
	if theirs.ConflictsWith(s.identity) {
		return &membership.ForeignStoreError{Theirs: theirs, Ours: s.identity}
	}
	return nil
}

func (s *clusterInstance) logStoreError(err error) {
	s.log.Warn("cluster_store", advice.LogAttrs(err, "path", s.file.StoreFile)...)
}

// openStore opens the store and returns nil where there is none. It waits as long as another process holds the store:
// without a store, none of its rollouts and contracts take effect.
func (s *clusterInstance) openStore() *store.Store {
	if s.file.StoreFile == "" {
		return nil
	}
	if s.persistence != nil {
		shared, err := s.persistence.WaitForStore(s.ctx)
		if err != nil { // the persistence has logged it
			return nil
		}
		return shared
	}
	for logged := false; ; logged = true {
		opened, err := store.Open(s.file.StoreFile, store.Options{OnRecovery: s.logStoreError})
		if err == nil {
			return opened
		}
		if s.ctx.Err() == nil && !logged {
			s.logStoreError(err)
		}
		if !advice.HasType[*store.LockedError](err) {
			return nil
		}
		select {
		case <-time.After(lockRetryInterval):
		case <-s.ctx.Done():
			return nil
		}
	}
}

// closeForeignStore closes a store that is not used, unless the persistence owns it.
func (s *clusterInstance) closeForeignStore(opened *store.Store) {
	if s.persistence != nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	if err := opened.Close(ctx); err != nil {
		s.logStoreError(err)
	}
}

// closeStore closes the store once it has been opened, unless the persistence owns it. It takes its time: a process that
// stays alive to finish searches must release the file for the one that follows.
func (s *clusterInstance) closeStore() {
	<-s.opened
	if s.store == nil || s.persistence != nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	if err := s.store.Close(ctx); err != nil {
		s.logStoreError(err)
	}
}
