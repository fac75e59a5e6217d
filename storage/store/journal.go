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

const (
	MaxEvents = 10_000 // events kept: some weeks of an installation's trouble, under 3 MB
	wordsMost = 240    // bytes of an event's words
	nextKey   = "next" // where the number of the next event is kept
)

// Event is something that happened, for those who look back.
type Event struct {
	_        struct{} `cbor:",toarray"`
	Sequence uint64   // one more with each; numbers go on over restarts
	UnixMs   int64    // Unix ms
	Kind     string
	Message  string
}

// EventLog keeps the last events in a bucket: each has the place of the one so many before it.
type EventLog struct {
	s      *Store
	bucket string
	most   uint64
	mu     sync.Mutex
	next   uint64
}

// NewEventLog goes on with what is in the bucket. most is how many events are kept, 0 for MaxEvents.
func NewEventLog(s *Store, bucket string, most int) (*EventLog, error) {
	j := &EventLog{s: s, bucket: bucket, most: uint64(cmp.Or(most, MaxEvents))}
	v, found, err := s.Get(bucket, nextKey)
	if err == nil && found && len(v) == 8 {
		j.next = binary.LittleEndian.Uint64(v)
	}
	return j, err
}

// Append writes events, all or none. Their numbers are the journal's.
func (j *EventLog) Append(ctx context.Context, events []Event) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	next, puts := j.next, map[string][]byte{}
	for _, e := range events {
		e.Sequence = next
		e.Message = e.Message[:min(len(e.Message), wordsMost)]
		text, err := cbor.Marshal(e)
		if err != nil {
			return err
		}
		puts[fmt.Sprintf("%08d", next%j.most)] = text
		next++
	}
	puts[nextKey] = binary.LittleEndian.AppendUint64(nil, next)
	err := j.s.Put(ctx, j.bucket, puts, nil)
	if err == nil {
		j.next = next
	}
	return err
}

// ForEach gives the events from a time on, of one kind or, where that is empty, of all, the oldest first.
func (j *EventLog) ForEach(since int64, kind string, f func(e Event) bool) error {
	var all []Event
	err := j.s.Load(j.bucket, func(key string, value []byte) error {
		if key == nextKey {
			return nil
		}
		var e Event
		if err := cbor.Unmarshal(value, &e); err != nil {
			return &CorruptedError{j.s.path, fmt.Sprintf("event %s: %v", key, err)}
		}
		if e.UnixMs >= since && (kind == "" || e.Kind == kind) {
			all = append(all, e)
		}
		return nil
	})
	slices.SortFunc(all, func(a, b Event) int { return cmp.Compare(a.Sequence, b.Sequence) })
	for i := 0; err == nil && i < len(all) && f(all[i]); i++ {
	}
	return err
}
