package simwire

import (
	"strings"
	"testing"

	"chalkring/internal/golden"

	"github.com/stretchr/testify/require"
)

// Guards against a change in the bytes of any action that an instance can send to the simulator.
func TestGoldenActions(t *testing.T) {
	i := &instance{number: 7}
	i.SendAttempt(11, "10.0.0.1:7003", 29999)
	i.SendAttempt(4294967295, "r", 0)
	i.CancelAttempt(11, 2)
	i.AnswerSearch(10, true)
	i.AnswerSearch(10, false)
	i.ShedSearch(10, 12345)
	i.FailSearch(10)
	i.SetTimer(55, 1<<40)
	i.CancelTimer(55)
	i.ProbeReplica("10.0.0.1:7003")
	i.WatchEndpoints()
	i.LogMessage("some words")
	i.runGuarded(func() { panic("a\nfault  of words") })
	golden.Require(t, "actions.golden", string(i.actions))
}

// Guards against a change in the actions that answer recorded batches. The input contains every event of the simulator,
// and instances that fail.
func TestGoldenBatches(t *testing.T) {
	if golden.Updating() {
		input := batch(1, startEvents(3, 4)...) + batch(2, append(searchEvents(3, 10), searchEvents(4, 10)...)...) +
			batch(3, "returned 3 11 0 10.0.0.1:7003 Ok 99.5 1 latency_ms:3.5,novel:1", "first_byte 3 12 10.0.0.1:7003 0 1.0",
				"returned 4 11 0 10.0.0.2:7003 Failed 12.25 0 -", "checked 4 Ok 10.0.0.1:7003 2.0 load:1", "mail 4 1 00") +
			batch(4, "returned 3 12 0 10.0.0.2:7003 Ok 199.5 1 -", "withdrawn 4 10", "fired 3 999", "census 1 1",
				"m 10.0.0.3:7003 1 2 0 cordoned - 12.5", "members 3 Partial 2 1", "members 4 Error 0 0") +
			batch(5, "kill 3", "start 5 1 Classes.count=1 Specifics.Sets=x") + batch(6, append(startEvents(3), searchEvents(3, 20)...)...) + batch(7)
		golden.Write(t, "batches_in.golden", []byte(input))
	}
	input := string(golden.Read(t, "batches_in.golden"))
	var out strings.Builder
	require.NoError(t, Serve(strings.NewReader(input), &out))
	golden.Require(t, "batches_out.golden", out.String())
}
