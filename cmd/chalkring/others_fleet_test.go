package main

import (
	"context"
	"log/slog"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"chalkring/coordinator/plan"

	"github.com/stretchr/testify/require"

	"chalkring/config"
	"chalkring/control/rollout"
)

const (
	othersRollout = rollout.KeyPrefix + "kept"
	settleMost    = 20 * time.Second // for what has to come; no verdict rests on anything coming sooner
)

// ofCustomer is an instance of a fleet whose plan has these tenants, beside the store at path.
func ofCustomer(t *testing.T, path, tenant string, change func(f *config.Cluster)) *testInstance {
	plan, err := plan.Parse([]byte(strings.Replace(testPlan, `{"Name":"acme",`, `{"Name":"`+tenant+`",`, 1)))
	require.NoError(t, err)
	f := &config.Cluster{Name: "east-0", Listen: "127.0.0.1:0", VotingMembers: []string{"east-0"}, StoreFile: path}
	if change != nil {
		change(f)
	}
	l := &testInstance{t: t}
	l.sharing, err = startCluster(&config.File{Cluster: f}, plan, nil, slog.New(slog.NewTextHandler(l, nil)))
	require.NoError(t, err)
	t.Cleanup(l.sharing.leave)
	select {
	case <-l.sharing.replicator.Ready():
	case <-time.After(settleMost):
		t.Fatal("the store does not come")
	}
	<-l.sharing.opened
	return l
}

// fills leaves in a store what an instance keeps of changes, contracts and subscriptions.
func fills(t *testing.T, l *testInstance) {
	for _, name := range []string{othersRollout, "subscribers/one"} {
		_, err := l.sharing.replicator.Put(name, []byte("of the first fleet"))
		require.NoError(t, err)
	}
	ctx, stop := context.WithTimeout(t.Context(), settleMost)
	defer stop()
	require.NoError(t, l.sharing.replicator.WaitPersisted(ctx))
	st := &rolloutRunner{clusterInstance: l.sharing, state: rolloutState{Running: &rollout.Change{Name: "c", Number: 7, Settings: map[string]string{"Classes.0.Aim": "5"}}}}
	require.NoError(t, st.save())
	require.NoError(t, l.sharing.store.Put(ctx, residencyBucket, map[string][]byte{"policy": []byte("generation: 9")}, nil))
	l.sharing.leave()
}

// believed is what an instance has of what fills left.
func believed(l *testInstance) (all []string) {
	for _, name := range []string{othersRollout, "subscribers/one"} {
		if _, there := l.sharing.replicator.Get(name); there {
			all = append(all, name)
		}
	}
	st := &rolloutRunner{clusterInstance: l.sharing}
	st.load()
	if st.runningChange() != nil {
		all = append(all, "change")
	}
	if l.sharing.store != nil {
		if _, found, _ := l.sharing.store.Get(residencyBucket, "policy"); found {
			all = append(all, "policy")
		}
	}
	return all
}

var everything = []string{othersRollout, "subscribers/one", "change", "policy"}

// Nothing of a store that another customer's fleet has written is believed; its own fleet finds all of it as it was.
func TestAnotherFleetsStore(t *testing.T) {
	path := filepath.Join(t.TempDir(), "fleet.db")
	fills(t, ofCustomer(t, path, "acme", nil))
	two := ofCustomer(t, path, "globex", nil)
	require.Empty(t, believed(two))
	two.sharing.leave()
	require.Contains(t, two.logText(), "msg=cluster_store")
	require.Contains(t, two.logText(), "Set `fleet.store` to a file of this cluster's own")
	one := ofCustomer(t, path, "acme", nil)
	require.Equal(t, everything, believed(one), one.logText())
}

// Two fleets of one customer are told apart by their names; a store from before anything was kept of whose it is counts as
// the fleet's own.
func TestFleetsOfOneCustomer(t *testing.T) {
	named := func(name string) func(f *config.Cluster) { return func(f *config.Cluster) { f.ClusterName = name } }
	path := filepath.Join(t.TempDir(), "fleet.db")
	first := ofCustomer(t, path, "acme", named("live"))
	fills(t, first)
	two := ofCustomer(t, path, "acme", named("trial"))
	require.Empty(t, believed(two))
	two.sharing.leave()
	yet := ofCustomer(t, path, "acme", nil)
	require.Equal(t, everything, believed(yet), yet.logText())
	require.NoError(t, yet.sharing.store.Put(t.Context(), clusterBucket, nil, []string{identityKey}))
	yet.sharing.leave()
	old := ofCustomer(t, path, "acme", named("trial"))
	require.Equal(t, everything, believed(old), old.logText())
}
