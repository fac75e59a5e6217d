package replication

import (
	"context"
	"errors"
	"log/slog"
	"testing"

	"chalkring/internal/golden"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"chalkring/cluster/crdt"
)

// idleReplicator is a copy whose goroutines are not started, so that a test alone changes it.
func idleReplicator(actor string) *Replicator {
	return &Replicator{
		options: Options{InstanceName: crdt.ActorName(actor), Logger: slog.New(slog.DiscardHandler)}, ready: make(chan struct{}), restored: make(chan struct{}),
		state: crdt.NewMap(actor), watchers: map[*watcher]bool{}, isPendingUpdate: map[string]bool{}, updateSignal: make(chan struct{}, 1),
		dirty: map[string]bool{}, persistSignal: make(chan struct{}, 1), persistAttempted: make(chan struct{}), openExchanges: map[string]*openExchange{},
		responseWaiters: map[uint64]chan crdt.ExchangeResponse{}, lastLoggedAt: map[string]int64{},
	}
}

// goldenReplicator holds a plain entry, a tombstone, concurrent siblings and one value of another instance.
func goldenReplicator(t *testing.T) *Replicator {
	b := idleReplicator("gateway-1#7")
	close(b.ready)
	_, err := b.Put("plan/a", []byte{0, 1, 0xff})
	require.NoError(t, err)
	_, err = b.Put("plan/b", []byte("old"))
	require.NoError(t, err)
	_, err = b.Delete("plan/b")
	require.NoError(t, err)
	other := crdt.NewMap("gateway-2#9")
	for _, name := range []string{"plan/a", "plan/c"} {
		_, err = other.Put(name, []byte("other"))
		require.NoError(t, err)
	}
	for _, batch := range other.BuildBatches(false, []string{"plan/a", "plan/c"}) {
		require.NoError(t, b.applyStates("gateway-2", stateMessage{Actor: "gateway-2#9", Batch: batch}, true))
	}
	return b
}

// Messages between instances: the first byte tells the kind, the rest is one CBOR item.
func TestGoldenMessages(t *testing.T) {
	b := goldenReplicator(t)
	names := []string{"plan/a", "plan/b", "plan/c"}
	fresh := stateMessage{Actor: b.Actor(), Batch: b.state.BuildBatches(false, names)[0]}
	lacks := stateMessage{Actor: b.Actor(), Batch: b.state.BuildBatches(true, names)[0]}
	ask, ok := crdt.NewMap("gateway-3#4").NewExchange("gateway-1", 17).NextRequest()
	require.True(t, ok)
	answer, err := b.state.HandleRequest("gateway-3", ask)
	require.NoError(t, err)

	// A push is taken in by a copy that holds nothing, as a handler of the network would.
	received := func(encoded []byte) (any, error) {
		empty := idleReplicator("gateway-3#4")
		close(empty.ready)
		empty.handleMessage("gateway-1", encoded)
		return contents(empty), nil
	}
	golden.RequireForms(t, "messages.golden", []golden.Form{
		{Name: "fresh", Encode: func() ([]byte, error) { return encodeMessage(kindUpdate, fresh) }, Decode: received, Want: contents(b)},
		{Name: "lacks", Encode: func() ([]byte, error) { return encodeMessage(kindRepair, lacks) }, Decode: received, Want: contents(b)},
		{Name: "ask", Encode: func() ([]byte, error) { return encodeMessage(kindRequest, ask) }, Decode: func(encoded []byte) (any, error) {
			require.Equal(t, byte(1), encoded[0])
			var decoded crdt.ExchangeRequest
			err := cbor.Unmarshal(encoded[1:], &decoded)
			return decoded, err
		}, Want: ask},
		{Name: "answer", Encode: func() ([]byte, error) { return encodeMessage(kindResponse, answer) }, Decode: func(encoded []byte) (any, error) {
			asker := idleReplicator("gateway-3#4")
			close(asker.ready)
			answers := make(chan crdt.ExchangeResponse, 1)
			asker.responseWaiters[17] = answers
			asker.handleMessage("gateway-1", encoded)
			select {
			case received := <-answers:
				return received, nil
			default:
				return nil, errors.New("the answer was not handed on")
			}
		}, Want: answer},
	})
}

// contents are the entries with a live value, by name, and the digest of all.
func contents(b *Replicator) map[string]any {
	all := map[string]any{"digest": b.Digest()}
	b.ScanPrefix("", func(e crdt.Entry) bool {
		all[e.Name] = e.Siblings
		return true
	})
	return all
}

// Records of the store, by key: what an earlier build kept is loaded, and the same bytes are written.
func TestGoldenStore(t *testing.T) {
	written := &memoryStorage{data: map[string][]byte{}}
	b := goldenReplicator(t)
	b.storage = written
	require.NoError(t, b.persistOnce(context.Background()))
	want := contents(b)
	forms := []golden.Form{}
	for _, key := range []string{"e/plan/a", "e/plan/b", "e/plan/c", "known"} {
		require.Contains(t, written.data, key)
		forms = append(forms, golden.Form{Name: key, Encode: func() ([]byte, error) { return written.data[key], nil }, Decode: func(encoded []byte) (any, error) {
			var err error
			if key == "known" {
				var known crdt.Version
				err = cbor.Unmarshal(encoded, &known)
				return known, err
			}
			var entry crdt.Entry
			err = cbor.Unmarshal(encoded, &entry)
			return entry, err
		}, Want: goldenRecord(b, key)})
	}
	require.Len(t, written.data, len(forms), "no other key is written")
	golden.RequireForms(t, "store.golden", forms)

	loaded := idleReplicator("gateway-1#8")
	loaded.options.OpenStorage = func(context.Context) (Storage, error) {
		return &memoryStorage{data: golden.ReadForms(t, "store.golden")}, nil
	}
	require.NoError(t, loaded.restore(context.Background(), nil))
	require.Equal(t, want, contents(loaded))
	require.Equal(t, b.state.KnownVersion(), loaded.state.KnownVersion())
	require.Equal(t, "gateway-1#8", loaded.Actor())
}

func goldenRecord(b *Replicator, key string) any {
	if key == "known" {
		return b.state.KnownVersion()
	}
	entry, _ := b.state.StorableEntry(key[len("e/"):])
	return entry
}

// The topic among the network's messages, the kinds of bodies, the store's bucket and its keys.
func TestGoldenConstants(t *testing.T) {
	require.Equal(t, 2, Topic)
	require.Equal(t, []byte{1, 2, 3, 4}, []byte{kindRequest, kindResponse, kindUpdate, kindRepair})
	require.Equal(t, []string{"share", "e/", "known"}, []string{StoreBucket, entryKey, knownKey})
}
