package store

import (
	"cmp"
	"context"
	"encoding/binary"
	"fmt"
	"slices"
	"sync"

	"github.com/fxamacker/cbor/v2"
)

// MaxEvents is the default number of events that a log keeps: some weeks of an installation's faults in under 3 MB.
const MaxEvents = 10_000

const (
	maxMessageBytes = 240    // bytes of an event's message; the rest is cut off
	nextSequenceKey = "next" // its value is the sequence number of the next event
	sequenceBytes   = 8      // length of that value
)

// Event is an entry of the event log, in which operators see what happened earlier. It is stored as a CBOR array.
type Event struct {
	_        struct{} `cbor:",toarray"`
	Sequence uint64   // increases by one with each event, also across restarts; Append sets it
	UnixMs   int64
	Kind     string
	Message  string
}

// EventLog is a ring of the newest events in one bucket: each event replaces the one that was added maxEvents events
// earlier. Its methods may be called from any goroutine.
type EventLog struct {
	store        *Store
	bucket       string
	maxEvents    uint64
	mu           sync.Mutex
	nextSequence uint64
}

// NewEventLog opens the log in a bucket and continues its sequence numbers. It keeps maxEvents events; 0 stands for the
// constant MaxEvents. A log must be opened with the same number each time.
func NewEventLog(s *Store, bucket string, maxEvents int) (*EventLog, error) {
	l := &EventLog{store: s, bucket: bucket, maxEvents: uint64(cmp.Or(maxEvents, MaxEvents))}
	value, found, err := s.Get(bucket, nextSequenceKey)
	if err == nil && found && len(value) == sequenceBytes {
		l.nextSequence = binary.LittleEndian.Uint64(value)
	}
	return l, err
}

// Append numbers the events and writes them in one transaction. Its errors are those of Store.Put.
func (l *EventLog) Append(ctx context.Context, events []Event) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	nextSequence, puts := l.nextSequence, map[string][]byte{}
	for _, event := range events {
		event.Sequence = nextSequence
		event.Message = event.Message[:min(len(event.Message), maxMessageBytes)]
		encoded, err := cbor.Marshal(event)
		if err != nil {
			return err
		}
		puts[fmt.Sprintf("%08d", nextSequence%l.maxEvents)] = encoded
		nextSequence++
	}
	puts[nextSequenceKey] = binary.LittleEndian.AppendUint64(nil, nextSequence)
	err := l.store.Put(ctx, l.bucket, puts, nil)
	if err == nil {
		l.nextSequence = nextSequence
	}
	return err
}

// ForEach calls visit with each event of a kind since a time in Unix milliseconds, oldest first, until visit returns
// false. An empty kind stands for all kinds.
func (l *EventLog) ForEach(sinceUnixMs int64, kind string, visit func(event Event) bool) error {
	events, err := l.load(sinceUnixMs, kind)
	if err != nil {
		return err
	}
	slices.SortFunc(events, func(a, b Event) int { return cmp.Compare(a.Sequence, b.Sequence) })
	for _, event := range events {
		if !visit(event) {
			return nil
		}
	}
	return nil
}

func (l *EventLog) load(sinceUnixMs int64, kind string) ([]Event, error) {
	var events []Event
	err := l.store.Load(l.bucket, func(key string, value []byte) error {
		if key == nextSequenceKey {
			return nil
		}
		var event Event
		if err := cbor.Unmarshal(value, &event); err != nil {
			return &CorruptedError{l.store.path, fmt.Sprintf("event with key %s cannot be decoded: %v", key, err)}
		}
		if event.UnixMs >= sinceUnixMs && (kind == "" || event.Kind == kind) {
			events = append(events, event)
		}
		return nil
	})
	return events, err
}
