package coordinator

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chalkring/coordinator/plan"
)

// oneAttemptInFlight returns a search with one attempt in flight, whose message is at the given stage.
func oneAttemptInFlight(stage int32) (*eventLoop, *replicaConnection, *search) {
	loop := &eventLoop{plan: &plan.Plan{}, searches: searchTable{byID: map[uint64]*search{}, names: map[string]bool{}, shardRequests: map[uint64]*shardRequest{}}, rules: dispatchRules{allowsSecondCopies: true}}
	conn := &replicaConnection{messageConn: newMessageConn(context.Background(), 2), replica: &replica{id: "a0"}, protocol: frameProtocol{}, openBatches: 1}
	current := &search{id: 1, name: "q"}
	request := &shardRequest{id: 2, search: current, unreported: 1}
	inFlight := &attempt{shardRequest: request, name: "q.0", batch: &batch{connection: conn, message: &outboundMessage{}}}
	inFlight.batch.attempts, conn.attempts, request.attempts, current.shardRequests = []*attempt{inFlight}, []*attempt{inFlight}, []*attempt{inFlight}, []*shardRequest{request}
	loop.searches.byID[1], loop.searches.shardRequests[2] = current, request
	inFlight.batch.message.stage.Store(stage)
	return loop, conn, current
}

// A final answer is not sent while a frame of its search is being written; a write that does not end in time ends its
// connection. Otherwise a stalled process could send attempts after the answer.
func TestFinalAnswerAwaitsPendingWrites(t *testing.T) {
	own, other := net.Pipe() // a write lasts until the other side reads
	defer other.Close()
	l := newMessageConn(context.Background(), 4)
	ended := make(chan connectionEndError, 1)
	go func() {
		ended <- l.serve(own, time.Minute, func(ctx context.Context) error { <-ctx.Done(); return ctx.Err() },
			func(*outboundMessage) error { return nil })
	}()
	text := []byte("part")
	message := &outboundMessage{buffer: &text}
	l.enqueue(message)
	require.Eventually(t, func() bool { return message.stage.Load() == stageWriting }, testTimeout, time.Millisecond)
	write := pendingWrite{l, message}
	require.False(t, write.isWritten())
	written := make(chan bool, 1)
	go func() { awaitWritten([]pendingWrite{write}); written <- message.stage.Load() == stageWritten }()
	select {
	case <-written:
		t.Fatal("awaitWritten returned before the other side had read the frame")
	case <-time.After(5 * time.Millisecond):
	}
	_, _ = other.Read(make([]byte, 16)) // blocks until something comes or the connection ends
	require.True(t, <-written, "awaitWritten returned, and the frame is not marked as written")

	next := &outboundMessage{buffer: &text}
	l.enqueue(next)
	require.Eventually(t, func() bool { return next.stage.Load() == stageWriting }, testTimeout, time.Millisecond)
	awaitWritten([]pendingWrite{{l, next}}) // nobody reads: the connection ends after maxWriteWait
	require.Equal(t, errRetired, <-ended)
	require.True(t, l.writerEnded.Load())
}

// A final answer waits for a frame of its search that is being written, and ends its connection if that takes too long.
// A frame that is written already delays no answer, and its connection stays open.
func TestNothingSentAfterFinalAnswer(t *testing.T) {
	for stage, waits := range map[int32]bool{stageWriting: true, stageWritten: false} {
		loop, conn, search := oneAttemptInFlight(stage)
		pending := loop.finishSearch(search)
		require.Equal(t, waits, len(pending) == 1, "stage %d", stage)
		context.AfterFunc(conn.ctx, func() { conn.writerEnded.Store(true) }) // as its writer would
		awaitWritten(pending)
		require.Equal(t, waits, conn.ctx.Err() != nil, "stage %d", stage)
	}
}

// A final answer also waits for the frame of an attempt that was given up while the frame was being written, as happens to
// a second copy when the first attempt is answered. An attempt that is given up after the answer adds no write to wait
// for.
func TestNothingCanceledAfterFinalAnswer(t *testing.T) {
	for stage, waits := range map[int32]bool{stageWriting: true, stageWritten: false} {
		loop, _, search := oneAttemptInFlight(stage)
		loop.CancelAttempt(2, 0)
		require.Equal(t, waits, len(loop.finishSearch(search)) == 1, "stage %d", stage)

		loop, _, search = oneAttemptInFlight(stage)
		loop.finishSearch(search)
		loop.CancelAttempt(2, 0)
		require.Empty(t, search.pendingWrites, "stage %d", stage)
	}
}
