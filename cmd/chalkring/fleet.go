package main

import (
	"context"
	"encoding/binary"
	"log/slog"
	"sync"
	"time"

	"chalkring/coordinator/plan"

	"github.com/fxamacker/cbor/v2"

	"chalkring/cluster/gossip"
	"chalkring/cluster/membership"
	"chalkring/cluster/replication"
	"chalkring/config"
	"chalkring/coordinator"
	"chalkring/internal/advice"
	"chalkring/storage/store"
)

const (
	closeMost   = time.Second            // for what is shared to be on the disk as the instance goes
	leaveMost   = 2 * time.Second        // for that, the words of leaving, and the store to be let go of
	lifeWait    = 30 * time.Second       // for this life to be on the disk: one that takes longer is stuck
	lifeSoon    = 2 * time.Second        // that the features wait for it: what a disk that cannot be written holds can be read
	openAgain   = 500 * time.Millisecond // between tries for a store that another process holds: one before it that ends
	fleetBucket = "fleet"
	lifeKey     = "life"
	whoseKey    = "whose" // which fleet and customer wrote the store
)

// sharing is what an installation's instances share: who is there, and what is kept about it. Its features rest on it.
type sharing struct {
	file  config.Cluster
	whose membership.Identity
	node  *gossip.Node
	book  *membership.Table
	log   *slog.Logger
	clock func() int64 // tenths of a millisecond, the book's

	work   sync.WaitGroup  // what features do in the background, until ctx ends
	ctx    context.Context // ends as the instance leaves
	stop   context.CancelFunc
	keep   *coordinator.Persistence    // whose store it is, nil where it is the instances' own
	opened chan struct{}               // closed once the store is there, or is known not to be
	store  *store.Store                // nil where there is none
	shared *replication.Replicator     // what the instances share
	zones  *coordinator.ResidencyGuard // nil where there are no contracts

	handing bool // another process takes this one's place at once
	left    sync.Once
}

// sharingOf starts what the section fleet turns on; nil where there is no such section. It waits for no other instance and
// for no disk.
func sharingOf(file *config.File, plan *plan.Plan, keep *coordinator.Persistence, log *slog.Logger) (*sharing, error) {
	if file.Cluster == nil {
		return nil, nil
	}
	own, err := file.Cluster.ForInstance(plan.Name)
	if err != nil {
		return nil, err
	}
	whose := membership.NewIdentity(own.ClusterName, plan.ResidencySite().Tenants)
	o := gossip.Options{
		Identity: whose, Self: membership.Member{Name: own.Name, Region: own.Region, Zone: own.Zone, ProgramVersion: buildVersion()}, Voters: own.VotingMembers,
		ListenAddr: own.Listen, JoinAddrs: own.Join, AddrOverrides: own.AddressOverrides, Logger: log, Seed: time.Now().UnixNano(),
	}
	if own.KeyFile != "" {
		if o.Key, o.OldKeys, err = gossip.ReadKeyFile(own.KeyFile); err != nil {
			return nil, err
		}
	}
	s := &sharing{file: own, whose: whose, log: log, opened: make(chan struct{})}
	if keep != nil && keep.Path() == own.StoreFile {
		s.keep = keep
	}
	s.ctx, s.stop = context.WithCancel(context.Background())
	if s.node, err = gossip.Start(context.Background(), o); err != nil {
		s.stop()
		return nil, err
	}
	s.book, s.clock = s.node.Membership(), s.node.Now
	s.shared = replication.Start(context.Background(), replication.Options{
		InstanceName: own.Name, Incarnation: s.book.Self().Incarnation, Transport: s.node, Peers: s.peers,
		OpenStorage: s.disk, Logger: log, Seed: o.Seed + 1,
	})
	go s.open()
	return s, nil
}

// peers are the others that are there now, and all that count.
func (s *sharing) peers() (alive, listed []string) { return s.book.AlivePeers(), s.file.VotingMembers }

// disk waits for the store, as what is shared is kept there too.
func (s *sharing) disk(ctx context.Context) (replication.Storage, error) {
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

// open opens the store and keeps whose it is and which life this is: the one before it is over, whatever others still
// believe. A store of another fleet is left as it is.
func (s *sharing) open() {
	told := sync.OnceFunc(func() { close(s.opened) })
	defer told()
	kept := s.openStore()
	if kept == nil {
		return
	}
	if err := s.mine(kept); err != nil {
		s.complain(err)
		if s.keep == nil {
			ctx, stop := context.WithTimeout(context.Background(), closeMost)
			defer stop()
			if err := kept.Close(ctx); err != nil {
				s.complain(err)
			}
		}
		return
	}
	s.store = kept
	before, found, err := kept.Get(fleetBucket, lifeKey)
	if err != nil {
		s.complain(err)
	} else if found && len(before) == 8 {
		s.node.EndPreviousIncarnation(binary.BigEndian.Uint64(before))
	}
	// Nothing else is written before whose the store is; guards against a disk that hangs: what it holds is there all the same.
	late := time.AfterFunc(lifeSoon, told)
	defer late.Stop()
	ctx, stop := context.WithTimeout(s.ctx, lifeWait)
	defer stop()
	puts := map[string][]byte{lifeKey: binary.BigEndian.AppendUint64(nil, s.book.Self().Incarnation)}
	if s.whose.IsSpecified() {
		if puts[whoseKey], err = cbor.Marshal(s.whose); err != nil {
			s.complain(err)
			delete(puts, whoseKey)
		}
	}
	if err := kept.Put(ctx, fleetBucket, puts, nil); err != nil && s.ctx.Err() == nil {
		s.complain(err)
	}
}

// mine looks whose a store is. Guards against another fleet's or customer's: its change of settings would be laid over these,
// its contracts would hold here. A store from before this was kept counts as this fleet's.
func (s *sharing) mine(kept *store.Store) error {
	text, found, err := kept.Get(fleetBucket, whoseKey)
	if err != nil || !found {
		return err
	}
	var theirs membership.Identity
	if err := cbor.Unmarshal(text, &theirs); err != nil {
		return err
	}
	if theirs.ConflictsWith(s.whose) {
		return &membership.ForeignStoreError{Theirs: theirs, Ours: s.whose}
	}
	return nil
}

func (s *sharing) complain(err error) {
	s.log.Warn("fleet_store", advice.LogAttrs(err, "path", s.file.StoreFile)...)
}

// openStore opens the store, nil where there is none.
func (s *sharing) openStore() *store.Store {
	if s.file.StoreFile == "" {
		return nil
	}
	if s.keep != nil {
		kept, err := s.keep.WaitForStore(s.ctx)
		if err != nil { // it has told what is wrong
			return nil
		}
		return kept
	}
	for told := false; ; told = true {
		kept, err := store.Open(s.file.StoreFile, store.Options{OnRecovery: s.complain})
		if err == nil {
			return kept
		}
		if s.ctx.Err() == nil && !told {
			s.complain(err)
		}
		if !advice.HasType[*store.LockedError](err) {
			return nil
		}
		select { // guards against a process before it that is slow to let go: without a store nothing of its changes and contracts holds
		case <-time.After(openAgain):
		case <-s.ctx.Done():
			return nil
		}
	}
}

// leave tells the others that this instance goes on purpose, and lets go of all.
func (s *sharing) leave() {
	if s != nil {
		s.left.Do(s.letGo)
	}
}

func (s *sharing) letGo() {
	ctx, stop := context.WithTimeout(context.Background(), leaveMost)
	defer stop()
	write, enough := context.WithTimeout(ctx, closeMost) // guards against a disk that hangs: the others are told all the same
	if err := s.shared.Close(write); err != nil {
		s.log.Warn("fleet_shared", advice.LogAttrs(err)...)
	}
	enough()
	s.stop()
	if s.handing { // its next life speaks over this one
		s.node.Close()
	} else if err := s.node.Leave(ctx); err != nil {
		s.log.Warn("fleet_leave", advice.LogAttrs(err)...)
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		s.work.Wait()
		<-s.opened
		if s.store == nil || s.keep != nil {
			return
		}
		// Guards against a process that lives on, answering what it holds: whoever follows it needs the file, however late.
		late, stop := context.WithTimeout(context.Background(), lifeWait)
		defer stop()
		if err := s.store.Close(late); err != nil {
			s.complain(err)
		}
	}()
	select {
	case <-ended:
	case <-ctx.Done(): // the disk hangs, and lets go of the file when it can, or with the process
	}
}
