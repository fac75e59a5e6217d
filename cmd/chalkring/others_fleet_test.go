package main

import (
	"context"
	"log/slog"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chalkring/config"
	"chalkring/control/rollout"
	"chalkring/coordinator"
)

const (
	othersRollout = rollout.KeyPrefix + "kept"
	settleMost    = 20 * time.Second // for what has to come; no verdict rests on anything coming sooner
)

// ofCustomer is an instance of a fleet whose plan has these tenants, beside the store at path.
func ofCustomer(t *testing.T, path, tenant string, change func(f *config.Cluster)) *lived {
	plan, err := coordinator.Parse([]byte(strings.Replace(zonedPlan, `{"Name":"acme",`, `{"Name":"`+tenant+`",`, 1)))
	require.NoError(t, err)
	f := &config.Cluster{Name: "east-0", Listen: "127.0.0.1:0", VotingMembers: []string{"east-0"}, StoreFile: path}
	if change != nil {
		change(f)
	}
	l := &lived{t: t}
	l.s, err = sharingOf(&config.File{Fleet: f}, plan, nil, slog.New(slog.NewTextHandler(l, nil)))
	require.NoError(t, err)
	t.Cleanup(l.s.leave)
	select {
	case <-l.s.shared.Ready():
	case <-time.After(settleMost):
		t.Fatal("the store does not come")
	}
	<-l.s.opened
	return l
}

// fills leaves in a store what an instance keeps of changes, contracts and subscriptions.
func fills(t *testing.T, l *lived) {
	for _, name := range []string{othersRollout, "subscribers/one"} {
		_, err := l.s.shared.Put(name, []byte("of the first fleet"))
		require.NoError(t, err)
	}
	ctx, stop := context.WithTimeout(t.Context(), settleMost)
	defer stop()
	require.NoError(t, l.s.shared.WaitPersisted(ctx))
	st := &stages{sharing: l.s, state: standing{Runs: &rollout.Change{Name: "c", Number: 7, Settings: map[string]string{"Classes.0.Aim": "5"}}}}
	require.NoError(t, st.save())
	require.NoError(t, l.s.store.Put(ctx, zonesBucket, map[string][]byte{"policy": []byte("generation: 9")}, nil))
	l.s.leave()
}

// believed is what an instance has of what fills left.
func believed(l *lived) (all []string) {
	for _, name := range []string{othersRollout, "subscribers/one"} {
		if _, there := l.s.shared.Get(name); there {
			all = append(all, name)
		}
	}
	st := &stages{sharing: l.s}
	st.load()
	if st.runs() != nil {
		all = append(all, "change")
	}
	if l.s.store != nil {
		if _, found, _ := l.s.store.Get(zonesBucket, "policy"); found {
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
	two.s.leave()
	require.Contains(t, two.text(), "msg=fleet_store")
	require.Contains(t, two.text(), "Give `fleet.store` a file of this fleet's own")
	one := ofCustomer(t, path, "acme", nil)
	require.Equal(t, everything, believed(one), one.text())
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
	two.s.leave()
	yet := ofCustomer(t, path, "acme", nil)
	require.Equal(t, everything, believed(yet), yet.text())
	require.NoError(t, yet.s.store.Put(t.Context(), clusterBucket, nil, []string{identityKey}))
	yet.s.leave()
	old := ofCustomer(t, path, "acme", named("trial"))
	require.Equal(t, everything, believed(old), old.text())
}
