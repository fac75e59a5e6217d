package fanout

import (
	"context"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chalkring/cluster/crdt"
	"chalkring/cluster/replication"
	"chalkring/control/subscribers"
	"chalkring/internal/advice"
	"chalkring/internal/clustertest"
)

const (
	firstLine  = "- {tenant: acme, id: s1, type: full-match, query: a, every: 1s}"
	secondLine = "- {tenant: acme, id: s2, type: full-match, query: b, every: 1s}"
)

var (
	firstKey  = subscribers.Key{Tenant: "acme", ID: "s1"}
	secondKey = subscribers.Key{Tenant: "acme", ID: "s2"}
)

// A subscriber must get only what has changed, also after failed deliveries and a restart, and must get nothing after it
// has unsubscribed, even if the file still has its line.
func TestDeliversOnlyChangedValues(t *testing.T) {
	t.Parallel()
	s := newTestSite(t)
	s.writeFile(1, firstLine, secondLine)
	gateway, store, stop := s.start(1)
	s.await("first delivery to both", func() bool { return len(s.deliveries("s1")) > 0 && len(s.deliveries("s2")) > 0 })
	first := s.deliveries("s1")[0]
	require.Len(t, first.Values, clustertest.BlockCount, "the first delivery has all blocks")
	s.rejectDeliveries.Store(true)
	s.valueVersion.Add(1)
	s.await("a repeated delivery", func() bool { return len(s.deliveries("s1")) >= 3 })
	s.rejectDeliveries.Store(false)
	messages := s.deliveries("s1")
	require.Len(t, messages[1].Values, 1, "only the changed block")
	require.Equal(t, messages[1], messages[2], "a repeated number has the same content")
	require.Positive(t, messages[1].Number.Compare(first.Number))
	require.Equal(t, first.Number, messages[1].Previous)

	requireStaysUnsubscribed(t, s, gateway, store)
	stop()
	requireRestartContinues(t, s)
}

// requireStaysUnsubscribed unsubscribes the first subscriber and checks that its line in the file does not resubscribe
// it.
func requireStaysUnsubscribed(t *testing.T, s *testSite, gateway *Gateway, store *replication.Replicator) {
	require.NoError(t, gateway.Unsubscribe(t.Context(), firstKey))
	_, subscribed := gateway.Get(firstKey)
	require.False(t, subscribed)
	s.writeFile(2, firstLine, secondLine)
	s.await("the stale line is reported", s.logged("consent: 2"))
	before := s.deliveries("s2")
	s.valueVersion.Add(1)
	s.await("the other subscriber is still served", func() bool { return len(s.deliveries("s2")) > len(before) })
	s.await("the checkpoint is stored", func() bool {
		entry, _ := store.Get(secondKey.EntryName())
		record, _ := subscribers.ResolveEntry(entry)
		return len(record.Checkpoint.ValueHashes) > 0
	})
}

// requireRestartContinues restarts the instance on the same disk and file, which has both lines, and checks that
// deliveries continue where they ended.
func requireRestartContinues(t *testing.T, s *testSite) {
	countBefore := len(s.deliveries("s1"))
	last := s.lastDelivery("s2")
	s.valueVersion.Add(1)
	gateway, _, _ := s.start(2)
	s.await("a later epoch", func() bool { return s.lastDelivery("s2").Number.Epoch > last.Number.Epoch })
	require.Len(t, s.lastDelivery("s2").Values, 1, "what was delivered before the restart is not repeated")
	require.Len(t, s.deliveries("s1"), countBefore, "an unsubscribed subscriber stays unsubscribed")
	details := subscribers.Details{Type: "full-match", Query: "a", Interval: subscribers.MinInterval}
	require.NoError(t, gateway.Subscribe(t.Context(), firstKey, details))
	s.await("subscribed again", func() bool { return len(s.deliveries("s1")) > countBefore })
	require.EqualValues(t, 2, s.deliveries("s1")[countBefore].Consent)
	s.writeFile(3, secondLine)
	s.await("a subscription made by a call stays", func() bool { _, subscribed := gateway.Get(firstKey); return subscribed })
	s.writeFile(4)
	s.await("the line was removed", func() bool { _, subscribed := gateway.Get(secondKey); return !subscribed })
}

// With a full disk a call returns an error that it was not persisted, but still takes effect.
func TestFullDiskIsReported(t *testing.T) {
	t.Parallel()
	s := newTestSite(t)
	s.writeFile(1, firstLine)
	gateway, _, _ := s.start(1)
	s.await("served", func() bool { return len(s.deliveries("s1")) > 0 })
	s.disk.Lock()
	s.disk.full = true
	s.disk.Unlock()
	ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
	defer cancel()
	err := gateway.Unsubscribe(ctx, firstKey)
	var notPersisted *replication.NotPersistedError
	require.ErrorAs(t, err, &notPersisted)
	require.NotEmpty(t, advice.For(err))
	_, subscribed := gateway.Get(firstKey)
	require.False(t, subscribed, "it is unsubscribed in memory")
}

// An entry or a file that cannot be used must be reported, and must not end a subscription.
func TestInvalidEntriesAndFilesAreReported(t *testing.T) {
	t.Parallel()
	s := newTestSite(t)
	s.writeFile(5, firstLine, "- {tenant: nobody, id: s2, type: full-match, query: a, every: 1s}")
	gateway, store, _ := s.start(1)
	s.await("served", func() bool { return len(s.deliveries("s1")) > 0 })
	s.await("no result", s.logged("subscriber_search_failed"))
	invalid := subscribers.Key{Tenant: "acme", ID: "s3"}
	_, err := store.Update(invalid.EntryName(), func(crdt.Entry) ([]byte, bool, error) { return []byte("?"), true, nil })
	require.NoError(t, err)
	s.await("invalid entry", s.logged("subscriber_entry_invalid"))
	s.writeFile(4)
	s.await("older file", s.logged("has generation 4, but generation 5 is active"))
	require.NoError(t, os.WriteFile(s.path, []byte("region: us\ngeneration: 6\ncount: 0\n"), 0o600))
	s.await("another region's file", s.logged("the file belongs to region us"))
	require.NoError(t, os.WriteFile(s.path, []byte("region: eu\ngeneration: 6\ncount: 1\n"), 0o600))
	s.await("incomplete file", s.logged("the file is incomplete"))
	_, subscribed := gateway.Get(firstKey)
	require.True(t, subscribed)
}

// A subscription must not be stored if an instance is in a zone that the tenant's contract forbids.
func TestTenantOfForbiddenZoneIsRejected(t *testing.T) {
	t.Parallel()
	s := newTestSite(t)
	s.writeFile(5, firstLine)
	gateway, store, _ := s.start(1)
	s.await("served", func() bool { return len(s.deliveries("s1")) > 0 })
	forbiddenKey := subscribers.Key{Tenant: "other", ID: "s4"}
	var forbidden *ZoneForbiddenError
	details := subscribers.Details{Type: "full-match", Interval: subscribers.MinInterval}
	require.ErrorAs(t, gateway.Subscribe(t.Context(), forbiddenKey, details), &forbidden)
	s.writeFile(7, "- {tenant: other, id: s4, type: full-match, query: a, every: 1s}")
	s.await("rejected", s.logged("may not be in zone"))
	_, exists := store.Get(forbiddenKey.EntryName())
	require.False(t, exists, "no part of it is stored")
}

func TestOnCallPageListsEachError(t *testing.T) {
	page, err := os.ReadFile("../../docs/oncall.md")
	require.NoError(t, err)
	for _, err := range []error{
		&subscribers.InvalidRecordError{}, &subscribers.InvalidSubscriptionError{}, &subscribers.NotSubscribedError{}, &subscribers.ListFullError{}, &subscribers.StaleFileError{},
		&subscribers.StaleLineError{}, &subscribers.InvalidLineError{}, &RegionMismatchError{}, &DeliveryFailedError{Err: os.ErrClosed}, &SearchFailedError{}, &ZoneForbiddenError{},
	} {
		require.NotEmpty(t, advice.For(fmt.Errorf("wrapped: %w", err)))
		require.Contains(t, string(page), "`"+strings.TrimPrefix(fmt.Sprintf("%T", err), "*")+"`")
	}
}

func TestDeployedRegionFileIsValid(t *testing.T) {
	file, err := ReadRegionFile("../../deploy/subscribers.yaml")
	require.NoError(t, err)
	require.Len(t, file.Lines, 2)
	require.EqualValues(t, 2, file.Lines[subscribers.Key{Tenant: "acme", ID: "all-picks"}].Consent)
	require.True(t, IsRegionFile("../../deploy/subscribers.yaml"))
	require.False(t, IsRegionFile("../../deploy/fleet.yaml"))
}
