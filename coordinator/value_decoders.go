package coordinator

import (
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
)

// valueDecoders are the decoders of open searches that have one, by the search's name. Any goroutine may use them: the
// readers of replica connections do.
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

// decode passes the value of an answer to the decoder of its search, where that has one. It handles a host that answers
// in good form and leaves out what was asked: without it, its shard request would count as completed.
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
