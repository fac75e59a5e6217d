package replication

import (
	"context"
	"errors"
	"testing"

	"chalkring/internal/golden"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"chalkring/cluster/crdt"
)

// idleReplicator returns a replicator without background work, so that only the test changes it.
func idleReplicator(actor string) *Replicator {
	return newReplicator(context.Background(), Options{InstanceName: crdt.ActorInstance(actor), Incarnation: crdt.ActorIncarnation(actor)})
}

// goldenReplicator returns a replicator with a plain entry, a tombstone, concurrent siblings and one value of another
// instance.
func goldenReplicator(t *testing.T) *Replicator {
	replicator := idleReplicator("gateway-1#7")
	close(replicator.ready)
	_, err := replicator.Put("plan/a", []byte{0, 1, 0xff})
	require.NoError(t, err)
	_, err = replicator.Put("plan/b", []byte("old"))
	require.NoError(t, err)
	_, err = replicator.Delete("plan/b")
	require.NoError(t, err)
	other := crdt.NewMap("gateway-2#9")
	for _, name := range []string{"plan/a", "plan/c"} {
		_, err = other.Put(name, []byte("other"))
		require.NoError(t, err)
	}
	for _, batch := range other.BuildBatches(false, []string{"plan/a", "plan/c"}) {
		require.NoError(t, replicator.applyStates(stateMessage{Actor: "gateway-2#9", Batch: batch}, true))
	}
	return replicator
}

// Messages between instances keep their encoding: the first byte is the kind, the rest is one CBOR item.
func TestGoldenMessages(t *testing.T) {
	replicator := goldenReplicator(t)
	names := []string{"plan/a", "plan/b", "plan/c"}
	update := stateMessage{Actor: replicator.Actor(), Batch: replicator.state.BuildBatches(false, names)[0]}
	repair := stateMessage{Actor: replicator.Actor(), Batch: replicator.state.BuildBatches(true, names)[0]}
	request, ok := crdt.NewMap("gateway-3#4").NewExchange("gateway-1", 17).NextRequest()
	require.True(t, ok)
	response, err := replicator.state.HandleRequest("gateway-3", request)
	require.NoError(t, err)

	// An update is merged into an empty replica, as when the network delivers it.
	received := func(encoded []byte) (any, error) {
		empty := idleReplicator("gateway-3#4")
		close(empty.ready)
		empty.handleMessage("gateway-1", encoded)
		return contents(empty), nil
	}
	golden.RequireForms(t, "messages.golden", []golden.Form{
		{Name: "fresh", Encode: func() ([]byte, error) { return encodeMessage(kindUpdate, update) }, Decode: received, Want: contents(replicator)},
		{Name: "lacks", Encode: func() ([]byte, error) { return encodeMessage(kindRepair, repair) }, Decode: received, Want: contents(replicator)},
		{Name: "ask", Encode: func() ([]byte, error) { return encodeMessage(kindRequest, request) }, Decode: func(encoded []byte) (any, error) {
			require.Equal(t, byte(1), encoded[0])
			var decoded crdt.ExchangeRequest
			err := cbor.Unmarshal(encoded[1:], &decoded)
			return decoded, err
		}, Want: request},
		{Name: "answer", Encode: func() ([]byte, error) { return encodeMessage(kindResponse, response) }, Decode: func(encoded []byte) (any, error) {
			initiator := idleReplicator("gateway-3#4")
			close(initiator.ready)
			responses := make(chan crdt.ExchangeResponse, 1)
			initiator.responseWaiters[17] = responses
			initiator.handleMessage("gateway-1", encoded)
			select {
			case received := <-responses:
				return received, nil
			default:
				return nil, errors.New("the response was not passed to its exchange")
			}
		}, Want: response},
	})
}

// contents returns the entries with a live value by name, and the digest of the replica.
func contents(replicator *Replicator) map[string]any {
	all := map[string]any{"digest": replicator.Digest()}
	replicator.ScanPrefix("", func(e crdt.Entry) bool {
		all[e.Name] = e.Siblings
		return true
	})
	return all
}

// Records that an earlier build stored are loaded, and the same bytes are written.
func TestGoldenStore(t *testing.T) {
	written := newMemoryStorage()
	replicator := goldenReplicator(t)
	replicator.storage = written
	require.NoError(t, replicator.persistOnce(context.Background()))
	want := contents(replicator)
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
		}, Want: goldenRecord(replicator, key)})
	}
	require.Len(t, written.data, len(forms), "no other key is written")
	golden.RequireForms(t, "store.golden", forms)

	loaded := idleReplicator("gateway-1#8")
	loaded.options.OpenStorage = func(context.Context) (Storage, error) {
		return &memoryStorage{data: golden.ReadForms(t, "store.golden")}, nil
	}
	require.NoError(t, loaded.restore(context.Background(), nil))
	require.Equal(t, want, contents(loaded))
	require.Equal(t, replicator.state.KnownVersion(), loaded.state.KnownVersion())
	require.Equal(t, "gateway-1#8", loaded.Actor())
}

func goldenRecord(replicator *Replicator, key string) any {
	if key == "known" {
		return replicator.state.KnownVersion()
	}
	entry, _ := replicator.state.StorableEntry(key[len("e/"):])
	return entry
}

// The topic, the kinds of messages, the store's bucket and its keys are the same in every build.
func TestGoldenConstants(t *testing.T) {
	require.Equal(t, 2, Topic)
	require.Equal(t, []byte{1, 2, 3, 4}, []byte{kindRequest, kindResponse, kindUpdate, kindRepair})
	require.Equal(t, []string{"share", "e/", "known"}, []string{StoreBucket, entryKeyPrefix, knownKey})
}
