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

// clusterInstance is this instance's part in a cluster: membership, replicated entries and the store for both. Rollouts, data
// residency and the gateway of subscribers are built on it.
type clusterInstance struct {
	file     config.Cluster
	identity membership.Identity // of the cluster and its customer
	node     *gossip.Node
	members  *membership.Table
	log      *slog.Logger
	clock    func() int64 // the membership table's clock, in tenths of a millisecond

	background     sync.WaitGroup  // background work of the features, which ends with ctx
	ctx            context.Context // ends when the instance leaves
	stop           context.CancelFunc
	persistence    *coordinator.Persistence // whose store is shared, nil where the cluster's store is its own file
	opened         chan struct{}            // closed once store is set, or is known to stay nil
	store          *store.Store             // may be nil; read only after opened
	replicator     *replication.Replicator
	residencyGuard *coordinator.ResidencyGuard // nil where there are no contracts

	handingOver bool // another process is taking this one's place
	leaveOnce   sync.Once
}

// startCluster starts what the section fleet of the installation file turns on; nil where there is no such section. It
// waits neither for other instances nor for the disk.
func startCluster(file *config.File, plan *plan.Plan, keep *coordinator.Persistence, log *slog.Logger) (*clusterInstance, error) {
	if file.Cluster == nil {
		return nil, nil
	}
	own, err := file.Cluster.ForInstance(plan.Name)
	if err != nil {
		return nil, err
	}
	s := &clusterInstance{
		file: own, identity: membership.NewIdentity(own.ClusterName, plan.ResidencySite().Tenants),
		log: log, opened: make(chan struct{}),
	}
	if keep != nil && keep.Path() == own.StoreFile {
		s.persistence = keep
	}
	seed := time.Now().UnixNano()
	if err := s.startNode(seed); err != nil {
		return nil, err
	}
	s.replicator = replication.Start(context.Background(), replication.Options{
		InstanceName: own.Name, Incarnation: s.members.Self().Incarnation, Transport: s.node, Peers: s.peers,
		OpenStorage: s.openStorage, Logger: log, Seed: seed + 1,
	})
	go s.initStore()
	return s, nil
}

// startNode joins the gossip of the cluster.
func (s *clusterInstance) startNode(seed int64) error {
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
	s.members, s.clock = s.node.Membership(), s.node.Now
	s.ctx, s.stop = context.WithCancel(context.Background())
	return nil
}

// peers returns the other instances that are alive, and all that vote.
func (s *clusterInstance) peers() (alive, listed []string) {
	return s.members.AlivePeers(), s.file.VotingMembers
}

// leave announces that this instance leaves on purpose, and releases what it holds. It may be called again, and on nil.
func (s *clusterInstance) leave() {
	if s != nil {
		s.leaveOnce.Do(s.shutDown)
	}
}

func (s *clusterInstance) shutDown() {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	s.flushEntries(ctx)
	s.stop()
	if s.handingOver { // the process that takes over has the same name, and announces itself
		s.node.Close()
	} else if err := s.node.Leave(ctx); err != nil {
		s.log.Warn("cluster_leave_failed", advice.LogAttrs(err)...)
	}
	released := make(chan struct{})
	go func() {
		defer close(released)
		s.background.Wait()
		s.closeStore()
	}()
	select {
	case <-released:
	case <-ctx.Done(): // the disk hangs: the file is released when it can be, or with the process
	}
}

// flushEntries writes replicated entries to disk. A disk that hangs does not use up the time for the messages of leaving.
func (s *clusterInstance) flushEntries(ctx context.Context) {
	flushCtx, cancel := context.WithTimeout(ctx, flushTimeout)
	defer cancel()
	if err := s.replicator.Close(flushCtx); err != nil {
		s.log.Warn("cluster_state_unsaved", advice.LogAttrs(err)...)
	}
}
