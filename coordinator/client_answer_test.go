package coordinator

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chalkring/internal/http1"
)

// The length of an answer's body, which is computed before the body is encoded, is exact for all values without escapes; a
// wrong Content-Length would cut the answer off or leave its client waiting.
func TestAnswerBodySize(t *testing.T) {
	for _, values := range [][]string{{}, {""}, {"a", "Grüße, 世界", "\x7f"}, {`"`}, {"a\nb", `\`}, {strings.Repeat("v", 40_000), "x"}} {
		for _, complete := range []bool{true, false} {
			outcome := searchOutcome{complete: complete}
			for i, v := range values {
				outcome.parts = append(outcome.parts, &shardRequest{shard: i * 37, value: []byte(v)})
			}
			text := appendAnswerBody(nil, outcome)
			size, plain := answerBodySize(outcome)
			require.Equal(t, !strings.ContainsAny(strings.Join(values, ""), "\"\n\\"), plain)
			if plain {
				require.Len(t, text, size)
			}
			var got struct{ Answers []struct{ Blob string } }
			require.NoError(t, json.Unmarshal(text, &got))
			for i, v := range values {
				require.Equal(t, v, got.Answers[i].Blob)
			}
		}
	}
}

// pipeListener accepts pipes, on which a write blocks until the other side reads.
type pipeListener struct {
	conns chan net.Conn
	once  sync.Once
}

func (p *pipeListener) Accept() (net.Conn, error) {
	if conn, ok := <-p.conns; ok {
		return conn, nil
	}
	return nil, net.ErrClosed
}

func (p *pipeListener) Close() error { p.once.Do(func() { close(p.conns) }); return nil }

func (p *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// A client that does not read its answer must not delay others. The bytes of its answer stay counted as unsent until it
// reads them or leaves.
func TestClientThatDoesNotReadHoldsItsAnswer(t *testing.T) {
	r := start(t, 256, nil)
	p, started, ended := &pipeListener{conns: make(chan net.Conn)}, make(chan *eventLoop, 1), make(chan error, 1)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		ended <- Serve(ctx, r.plan, Options{
			Listener: p, Dial: (&net.Dialer{}).DialContext, Clock: SystemClock{},
			Logger: NewLogger(r.log, false, slog.LevelInfo), onStart: started,
		})
	}()
	loop := <-started
	call := func() *testClient {
		own, other := net.Pipe()
		p.conns <- other
		t.Cleanup(func() { own.Close() })
		return &testClient{own, r, http1.NewReader(own, make([]byte, bufferSize))}
	}
	slow, gone, healthy := call(), call(), call()
	slow.send(request("slow", "all", "", fourParts))
	r.eventually("one answer is unsent", func() bool { return loop.searches.unsentBytes.Load() > 0 })
	one := loop.searches.unsentBytes.Load()
	gone.send(request("gone", "all", "", fourParts))
	r.eventually("two answers are unsent", func() bool { return loop.searches.unsentBytes.Load() == 2*one })
	for i := range 5 {
		healthy.expect(fmt.Sprint("healthy", i), "all", 200, completeAnswer)
	}
	r.eventually("still two answers are unsent", func() bool { return loop.searches.unsentBytes.Load() == 2*one })
	status, _, text, _ := slow.readAnswer()
	require.Equal(t, 200, status)
	require.JSONEq(t, completeAnswer, text)
	r.eventually("one answer is unsent again", func() bool { return loop.searches.unsentBytes.Load() == one })
	gone.Close()
	r.eventually("no answer is unsent", func() bool { return loop.searches.unsentBytes.Load() == 0 })
	cancel()
	select {
	case err := <-ended:
		require.NoError(t, err)
	case <-time.After(testTimeout):
		require.Fail(t, "the coordinator does not end")
	}
	r.shutDown()
}
