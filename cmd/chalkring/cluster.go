package main

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"chalkring/cluster/gossip"
	"chalkring/cluster/membership"
	"chalkring/cluster/replication"
	"chalkring/config"
	"chalkring/coordinator"
	"chalkring/coordinator/plan"
	"chalkring/internal/advice"
	"chalkring/storage/store"
)

const (
	flushTimeout = time.Second     // for replicated entries to be on disk when the instance leaves
	leaveTimeout = 2 * time.Second // for that, the messages of leaving, and the end of background work
)

// sharing is this instance's part in a cluster: membership, replicated entries and the store for both. Rollouts, data
// residency and the gateway of subscribers are built on it.
type sharing struct {
	file     config.Cluster
	identity membership.Identity // of the cluster and its customer
	node     *gossip.Node
	book     *membership.Table
	log      *slog.Logger
	clock    func() int64 // the membership table's clock, in tenths of a millisecond

	work   sync.WaitGroup  // background work of the features, which ends with ctx
	ctx    context.Context // ends when the instance leaves
	stop   context.CancelFunc
	keep   *coordinator.Persistence // whose store is shared, nil where the cluster's store is its own file
	opened chan struct{}            // closed once store is set, or is known to stay nil
	store  *store.Store             // may be nil; read only after opened
	shared *replication.Replicator
	zones  *coordinator.ResidencyGuard // nil where there are no contracts

	handing   bool // another process is taking this one's place
	leaveOnce sync.Once
}

// sharingOf starts what the section fleet of the installation file turns on; nil where there is no such section. It
// waits neither for other instances nor for the disk.
func sharingOf(file *config.File, plan *plan.Plan, keep *coordinator.Persistence, log *slog.Logger) (*sharing, error) {
	if file.Cluster == nil {
		return nil, nil
	}
	own, err := file.Cluster.ForInstance(plan.Name)
	if err != nil {
		return nil, err
	}
	s := &sharing{
		file: own, identity: membership.NewIdentity(own.ClusterName, plan.ResidencySite().Tenants),
		log: log, opened: make(chan struct{}),
	}
	if keep != nil && keep.Path() == own.StoreFile {
		s.keep = keep
	}
	seed := time.Now().UnixNano()
	if err := s.startNode(seed); err != nil {
		return nil, err
	}
	s.shared = replication.Start(context.Background(), replication.Options{
		InstanceName: own.Name, Incarnation: s.book.Self().Incarnation, Transport: s.node, Peers: s.peers,
		OpenStorage: s.openStorage, Logger: log, Seed: seed + 1,
	})
	go s.initStore()
	return s, nil
}

// startNode joins the gossip of the cluster.
func (s *sharing) startNode(seed int64) error {
	own := s.file
	options := gossip.Options{
		Identity: s.identity, Voters: own.VotingMembers,
		Self:       membership.Member{Name: own.Name, Region: own.Region, Zone: own.Zone, ProgramVersion: buildVersion()},
		ListenAddr: own.Listen, JoinAddrs: own.Join, AddrOverrides: own.AddressOverrides, Logger: s.log, Seed: seed,
	}
	var err error
	if own.KeyFile != "" {
		if options.Key, options.OldKeys, err = gossip.ReadKeyFile(own.KeyFile); err != nil {
			return err
		}
	}
	if s.node, err = gossip.Start(context.Background(), options); err != nil {
		return err
	}
	s.book, s.clock = s.node.Membership(), s.node.Now
	s.ctx, s.stop = context.WithCancel(context.Background())
	return nil
}

// peers returns the other instances that are alive, and all that vote.
func (s *sharing) peers() (alive, listed []string) { return s.book.AlivePeers(), s.file.VotingMembers }

// leave announces that this instance leaves on purpose, and releases what it holds. It may be called again, and on nil.
func (s *sharing) leave() {
	if s != nil {
		s.leaveOnce.Do(s.shutDown)
	}
}

func (s *sharing) shutDown() {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	s.flushEntries(ctx)
	s.stop()
	if s.handing { // the process that takes over has the same name, and announces itself
		s.node.Close()
	} else if err := s.node.Leave(ctx); err != nil {
		s.log.Warn("fleet_leave", advice.LogAttrs(err)...)
	}
	released := make(chan struct{})
	go func() {
		defer close(released)
		s.work.Wait()
		s.closeStore()
	}()
	select {
	case <-released:
	case <-ctx.Done(): // the disk hangs: the file is released when it can be, or with the process
	}
}

// flushEntries writes replicated entries to disk. A disk that hangs does not use up the time for the messages of leaving.
func (s *sharing) flushEntries(ctx context.Context) {
	flushCtx, cancel := context.WithTimeout(ctx, flushTimeout)
	defer cancel()
	if err := s.shared.Close(flushCtx); err != nil {
		s.log.Warn("fleet_shared", advice.LogAttrs(err)...)
	}
}
