package subscribers

import (
	"testing"

	"github.com/stretchr/testify/require"

	"chalkring/cluster/crdt"
)

var (
	testKey     = Key{"acme", "s1"}
	testDetails = Details{Type: "lookup", Query: "a", Interval: 30 * second}
)

// instance is one instance's shared map and list, which its methods use as the program does.
type instance struct {
	t *testing.T
	*crdt.Map
	list *List
}

func newInstance(t *testing.T, actor string) *instance {
	return &instance{t, crdt.NewMap(actor), NewList()}
}

func (i *instance) update(key Key, update RecordUpdate) error {
	entry, _ := i.Get(key.EntryName())
	value, write, err := ApplyUpdate(entry, update)
	if write {
		entry, err = i.Put(key.EntryName(), value)
		require.NoError(i.t, err)
		_, _, _, err = i.list.ApplyEntry(entry)
	}
	return err
}

// receive merges another instance's entries, including deletes, and returns the reported conflicts.
func (i *instance) receive(from *instance, keys ...Key) (conflicts []WriteConflict) {
	for _, key := range keys {
		entry, _ := from.Get(key.EntryName())
		_, err := i.MergeBatch("o", crdt.Batch{Known: from.KnownVersion(), Entries: []crdt.Entry{entry}})
		require.NoError(i.t, err)
		entry, _ = i.Get(key.EntryName())
		_, _, reported, err := i.list.ApplyEntry(entry)
		require.NoError(i.t, err)
		conflicts = append(conflicts, reported...)
	}
	return conflicts
}

func (i *instance) isSubscribed(key Key) bool {
	record, exists := i.list.Get(key)
	return exists && !record.IsUnsubscribed()
}

func withQuery(query string) Details {
	details := testDetails
	details.Query = query
	return details
}

// An instance restored from an older disk must not reuse the number of an unsubscription that a later subscription has
// seen, or the new unsubscription would have no effect.
func TestUnsubscriptionAfterRestoreCountsAsNew(t *testing.T) {
	a, c := newInstance(t, "a#1"), newInstance(t, "c#1")
	require.NoError(t, a.update(testKey, Subscribe(testKey, "eu", testDetails)))
	require.NoError(t, a.update(testKey, Unsubscribe(testKey, "a", 1000)))
	c.receive(a, testKey)
	require.NoError(t, c.update(testKey, Subscribe(testKey, "us", testDetails)))
	require.True(t, c.isSubscribed(testKey))
	older := newInstance(t, "a#2") // its disk is from before the subscription
	require.NoError(t, older.update(testKey, Unsubscribe(testKey, "a", 2000)))
	c.receive(older, testKey)
	require.False(t, c.isSubscribed(testKey), "the new subscription had not seen the second unsubscription")
}

// Of an unsubscription and a concurrent change the unsubscription must win on all instances, and each must report the
// lost change once, not at every exchange.
func TestConflictIsReportedOnceWithBothRecords(t *testing.T) {
	a, b := newInstance(t, "a#1"), newInstance(t, "b#1")
	require.NoError(t, a.update(testKey, Subscribe(testKey, "eu", testDetails)))
	b.receive(a, testKey)
	require.NoError(t, a.update(testKey, Unsubscribe(testKey, "a", 1000)))
	require.NoError(t, b.update(testKey, ChangeDetails(testKey, withQuery("b"))))
	for _, pair := range [][2]*instance{{a, b}, {b, a}} {
		receiver, sender := pair[0], pair[1]
		conflicts := receiver.receive(sender, testKey)
		require.Len(t, conflicts, 1)
		require.Contains(t, conflicts[0].Kept, "unsubscribed")
		require.Contains(t, conflicts[0].Discarded, "revision 2")
		require.Empty(t, receiver.receive(sender, testKey))
		require.False(t, receiver.isSubscribed(testKey))
	}
	var notSubscribed *NotSubscribedError
	require.ErrorAs(t, b.update(testKey, ChangeDetails(testKey, testDetails)), &notSubscribed)
	require.NoError(t, b.update(testKey, Subscribe(testKey, "us", testDetails)))
	require.True(t, b.isSubscribed(testKey))
}

// A change written by an instance that was unreachable for longer than the retention must not resubscribe a subscriber
// whose unsubscribed entry has been deleted.
func TestChangeConcurrentWithTombstoneDoesNotResubscribe(t *testing.T) {
	a, away := newInstance(t, "a#1"), newInstance(t, "z#1")
	require.NoError(t, a.update(testKey, Subscribe(testKey, "eu", testDetails)))
	away.receive(a, testKey)
	require.NoError(t, a.update(testKey, Unsubscribe(testKey, "a", 1000)))
	require.Empty(t, a.list.FindExpiredTombstones(1000+tombstoneRetentionMS, 10))
	require.Equal(t, []Key{testKey}, a.list.FindExpiredTombstones(1001+tombstoneRetentionMS, 10))
	entry, err := a.Delete(testKey.EntryName())
	require.NoError(t, err)
	_, changed, _, err := a.list.ApplyEntry(entry)
	require.NoError(t, err)
	require.True(t, changed)
	require.NoError(t, away.update(testKey, ChangeDetails(testKey, withQuery("b")))) // away for longer than the retention
	a.receive(away, testKey)
	require.False(t, a.isSubscribed(testKey))
}

// An update must not overwrite a record that this version cannot decode.
func TestRecordOfNewerVersionIsNotOverwritten(t *testing.T) {
	a := newInstance(t, "a#1")
	_, err := a.Put(testKey.EntryName(), []byte("another version's"))
	require.NoError(t, err)
	var invalid *InvalidRecordError
	require.ErrorAs(t, a.update(testKey, Subscribe(testKey, "eu", testDetails)), &invalid)
	entry, _ := a.Get(testKey.EntryName())
	require.Equal(t, "another version's", string(entry.Siblings[0].Value))
}
