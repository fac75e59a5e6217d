package benchmark

import (
	"context"
	"encoding/json"
	"log/slog"
	"net"
	"net/http"
	"os"
	"runtime"
	"time"

	"chalkring/cluster/crdt"
	"chalkring/cluster/gossip"
	who "chalkring/cluster/membership"
	"chalkring/cluster/replication"
	"chalkring/config"
	"chalkring/storage/store"
)

// sharerOp writes a name, or deletes it where Value is nil.
type sharerOp struct {
	Name  string
	Value *string
}

// sharerState is what an instance says of its copy.
type sharerState struct {
	Actor  string
	Digest uint64
	Alive  int   // others that are there
	RSS    int64 // bytes
	Heap   uint64
	Stats  replication.Stats
}

// RunReplicator is an instance of the measurement of the ledger: a process with the program's membership, ledger and store, and in
// place of its front and features a listener by which the measurement writes and reads entries. It runs until it is killed.
func RunReplicator(ctx context.Context, path string) error {
	file, err := config.Read(path)
	if err != nil {
		return err
	}
	text, err := os.ReadFile(os.Getenv("GW_CONFIG"))
	if err != nil {
		return err
	}
	var plan struct{ Listen string }
	if err := json.Unmarshal(text, &plan); err != nil {
		return err
	}
	own, err := file.Cluster.ForInstance(file.Cluster.Name)
	if err != nil {
		return err
	}
	log := slog.New(slog.NewTextHandler(os.Stdout, nil))
	node, err := gossip.Start(ctx, gossip.Options{
		Self:   who.Member{Name: own.Name, Region: own.Region, Zone: own.Zone},
		Voters: own.VotingMembers, ListenAddr: own.Listen, JoinAddrs: own.Join, AddrOverrides: own.AddressOverrides, Logger: log, Seed: time.Now().UnixNano(),
	})
	if err != nil {
		return err
	}
	peers := func() (alive, listed []string) {
		return node.Membership().AlivePeers(), own.VotingMembers
	}
	disk := func(ctx context.Context) (replication.Storage, error) {
		s, err := store.Open(own.StoreFile, store.Options{OnRecovery: func(err error) { log.Warn("cluster_store", "error", err) }})
		if err != nil {
			return nil, err
		}
		return s, nil
	}
	book := replication.Start(ctx, replication.Options{
		InstanceName: own.Name, Incarnation: node.Membership().Self().Incarnation, Transport: node, Peers: peers, OpenStorage: disk,
		Logger: log, Seed: time.Now().UnixNano(),
	})
	mux := http.NewServeMux()
	mux.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) {
		select {
		case <-book.Ready():
		default:
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	mux.HandleFunc("/do", func(w http.ResponseWriter, r *http.Request) {
		var ops []sharerOp
		if err := json.NewDecoder(r.Body).Decode(&ops); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		done := make([]bool, len(ops)) // a delete of what is not here does nothing
		for i, op := range ops {
			var err error
			if op.Value == nil {
				if _, done[i] = book.Get(op.Name); done[i] {
					_, err = book.Delete(op.Name)
				}
			} else {
				_, err = book.Put(op.Name, []byte(*op.Value))
				done[i] = true
			}
			if err != nil {
				http.Error(w, err.Error(), http.StatusInternalServerError)
				return
			}
		}
		if err := book.WaitPersisted(r.Context()); err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		_ = json.NewEncoder(w).Encode(done)
	})
	mux.HandleFunc("/state", func(w http.ResponseWriter, r *http.Request) {
		alive, _ := peers()
		s := sharerState{Actor: book.Actor(), Digest: book.Digest(), Alive: len(alive), Stats: book.Stats()}
		if r.URL.RawQuery == "memory" {
			runtime.GC()
			var m runtime.MemStats
			runtime.ReadMemStats(&m)
			s.Heap, s.RSS = m.HeapAlloc, int64(resident(os.Getpid()))
		}
		_ = json.NewEncoder(w).Encode(s)
	})
	mux.HandleFunc("/all", func(w http.ResponseWriter, r *http.Request) {
		var all []string
		book.ScanPrefix(r.URL.RawQuery, func(e crdt.Entry) bool { all = append(all, e.Name); return true })
		_ = json.NewEncoder(w).Encode(all)
	})
	ln, err := net.Listen("tcp", plan.Listen)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: mux}
	go func() {
		<-ctx.Done()
		server.Close()
	}()
	if err := server.Serve(ln); ctx.Err() == nil {
		return err
	}
	return nil
}
