package coordinator

import (
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
)

// valueDecoders are the decoders of the open searches that have one, by the search's name. They are safe for concurrent
// use, as the readers of replica connections call them.
type valueDecoders struct {
	byName sync.Map
	count  atomic.Int64
}

type decodeFunc = func(shard int, value []byte) (any, error)

func (d *valueDecoders) add(name string, decode decodeFunc) {
	d.byName.Store(name, decode)
	d.count.Add(1)
}

func (d *valueDecoders) remove(name string) {
	d.byName.Delete(name)
	d.count.Add(-1)
}

// decode decodes the value of an answer with the decoder of its search; it returns nil if the search has none. It catches
// a host whose answers are well-formed but lack what was requested: without it, the shard request would count as
// completed.
func (d *valueDecoders) decode(attemptName, value []byte) (any, error) {
	if d.count.Load() == 0 {
		return nil, nil
	}
	name := strings.TrimSuffix(string(attemptName), secondStepSuffix)
	dot := strings.LastIndexByte(name, '.')
	decode, ok := d.byName.Load(name[:max(0, dot)])
	if !ok {
		return nil, nil
	}
	shard, err := strconv.Atoi(name[dot+1:])
	if err != nil {
		return nil, err
	}
	return decode.(decodeFunc)(shard, value)
}
