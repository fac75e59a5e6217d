package balancer

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// timerProtocol records timers.
type timerProtocol struct {
	Actions
	waits     []int64
	cancelled []uint64
}

func (p *timerProtocol) SetTimer(wait int64, _ uint64) { p.waits = append(p.waits, wait) }
func (p *timerProtocol) CancelTimer(label uint64)      { p.cancelled = append(p.cancelled, label) }

// A timer runs once, waits at least one unit of time, and does nothing after it is cancelled.
func TestTimers(t *testing.T) {
	protocol := &timerProtocol{}
	b := New(protocol).(*balancer)
	fired := 0
	first := b.setTimer(-5, timerFunc(func() { fired++ }))
	second := b.setTimer(20, timerFunc(func() { fired += 10 }))
	require.Equal(t, []int64{1, 20}, protocol.waits)
	b.HandleTimer(first)
	b.HandleTimer(first)
	require.Equal(t, 1, fired)
	b.cancelTimer(first)
	require.Empty(t, protocol.cancelled, "it has fired")
	b.cancelTimer(second)
	b.cancelTimer(second)
	require.Equal(t, []uint64{second}, protocol.cancelled)
	b.HandleTimer(second)
	require.Equal(t, 1, fired)
}
