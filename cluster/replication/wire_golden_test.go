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

// idleBook is a copy whose goroutines are not started, so that a test alone changes it.
func idleBook(actor string) *Replicator {
	return &Replicator{
		o: Options{InstanceName: crdt.ActorName(actor), Logger: slog.New(slog.DiscardHandler)}, ready: make(chan struct{}), found: make(chan struct{}),
		l: crdt.NewMap(actor), watches: map[*watch]bool{}, freshIn: map[string]bool{}, stirPush: make(chan struct{}, 1),
		dirty: map[string]bool{}, stirKeep: make(chan struct{}, 1), keptTold: make(chan struct{}), open: map[string]*running{},
		waiting: map[uint64]chan crdt.ExchangeResponse{}, told: map[string]int64{},
	}
}

// goldenBook holds a plain entry, a tombstone, concurrent siblings and one value of another instance.
func goldenBook(t *testing.T) *Replicator {
	b := idleBook("gateway-1#7")
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
		require.NoError(t, b.pushed("gateway-2", push{Actor: "gateway-2#9", Batch: batch}, true))
	}
	return b
}

// Messages between instances: the first byte tells the kind, the rest is one CBOR item.
func TestGoldenShareMessages(t *testing.T) {
	b := goldenBook(t)
	names := []string{"plan/a", "plan/b", "plan/c"}
	fresh := push{Actor: b.Actor(), Batch: b.l.BuildBatches(false, names)[0]}
	lacks := push{Actor: b.Actor(), Batch: b.l.BuildBatches(true, names)[0]}
	ask, ok := crdt.NewMap("gateway-3#4").NewExchange("gateway-1", 17).NextRequest()
	require.True(t, ok)
	answer, err := b.l.HandleRequest("gateway-3", ask)
	require.NoError(t, err)

	// A push is taken in by a copy that holds nothing, as a handler of the network would.
	received := func(encoded []byte) (any, error) {
		empty := idleBook("gateway-3#4")
		close(empty.ready)
		empty.handle("gateway-1", encoded)
		return contents(empty), nil
	}
	golden.RequireForms(t, "messages.golden", []golden.Form{
		{Name: "fresh", Encode: func() ([]byte, error) { return encode(kindFresh, fresh) }, Decode: received, Want: contents(b)},
		{Name: "lacks", Encode: func() ([]byte, error) { return encode(kindLacks, lacks) }, Decode: received, Want: contents(b)},
		{Name: "ask", Encode: func() ([]byte, error) { return encode(kindAsk, ask) }, Decode: func(encoded []byte) (any, error) {
			require.Equal(t, byte(1), encoded[0])
			var decoded crdt.ExchangeRequest
			err := cbor.Unmarshal(encoded[1:], &decoded)
			return decoded, err
		}, Want: ask},
		{Name: "answer", Encode: func() ([]byte, error) { return encode(kindAnswer, answer) }, Decode: func(encoded []byte) (any, error) {
			asker := idleBook("gateway-3#4")
			close(asker.ready)
			answers := make(chan crdt.ExchangeResponse, 1)
			asker.waiting[17] = answers
			asker.handle("gateway-1", encoded)
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
func TestGoldenShareStore(t *testing.T) {
	written := &disk{data: map[string][]byte{}}
	b := goldenBook(t)
	b.disk = written
	require.NoError(t, b.keepOnce(context.Background()))
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

	loaded := idleBook("gateway-1#8")
	loaded.o.OpenStorage = func(context.Context) (Storage, error) {
		return &disk{data: golden.ReadForms(t, "store.golden")}, nil
	}
	require.NoError(t, loaded.load(context.Background(), nil))
	require.Equal(t, want, contents(loaded))
	require.Equal(t, b.l.KnownVersion(), loaded.l.KnownVersion())
	require.Equal(t, "gateway-1#8", loaded.Actor())
}

func goldenRecord(b *Replicator, key string) any {
	if key == "known" {
		return b.l.KnownVersion()
	}
	entry, _ := b.l.StorableEntry(key[len("e/"):])
	return entry
}

// The topic among the network's messages, the kinds of bodies, the store's bucket and its keys.
func TestGoldenShareConstants(t *testing.T) {
	require.Equal(t, 2, Topic)
	require.Equal(t, []byte{1, 2, 3, 4}, []byte{kindAsk, kindAnswer, kindFresh, kindLacks})
	require.Equal(t, []string{"share", "e/", "known"}, []string{StoreBucket, entryKey, knownKey})
}
