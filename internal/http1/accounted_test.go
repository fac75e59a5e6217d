package http1

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"
)

var errNoMemory = errors.New("no memory")

// accountedStream is a source that allows a number of bytes.
type accountedStream struct {
	io.Reader
	allowed, held, most int
}

func (s *accountedStream) AwaitBytes() error { return nil }

func (s *accountedStream) Reserve(n int) error {
	if s.held+n > s.allowed {
		return errNoMemory
	}
	s.held += n
	s.most = max(s.most, s.held)
	return nil
}

func (s *accountedStream) Release(n int) { s.held -= n }

// Guards against an accounted reader that reads anything else than one with a fixed buffer does, or keeps what it reserved.
func FuzzAccountedReader(f *testing.F) {
	f.Add([]byte("POST /a?k=1 HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabcGET / HTTP/1.0\r\n\r\n"), 1)
	f.Add([]byte("POST / HTTP/1.1\r\nHost: x\r\nLong: "+strings.Repeat("a", 7000)+"\r\nContent-Length: 9000\r\n\r\n"+strings.Repeat("b", 9000)), 1000)
	f.Add([]byte("POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"+strings.Repeat("1\r\nc\r\n", 5000)+"1388\r\n"+strings.Repeat("d", 5000)+"\r\n0\r\n\r\n"), 100)
	f.Add([]byte("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 65536\r\n\r\n"+strings.Repeat("e", 65536)+"GET / HTTP/1.1\r\nHost: y\r\n\r\n"), 5000)
	f.Fuzz(func(t *testing.T, stream []byte, piece int) {
		fixed := newTestReader(bytes.NewReader(stream))
		pieces := &pieceReader{}
		for rest, n := string(stream), max(1, piece); rest != ""; {
			*pieces = append(*pieces, rest[:min(n, len(rest))])
			rest = rest[min(n, len(rest)):]
		}
		source := &accountedStream{Reader: pieces, allowed: maxBufferBytes + maxBodyBytes}
		accounted := NewAccountedReader(source)
		for {
			errAwait := accounted.AwaitMessage()
			if errAwait == nil {
				require.NoError(t, fixed.AwaitMessage())
			} else {
				require.Equal(t, fixed.AwaitMessage(), errAwait)
				break
			}
			method, target, fields, body, keepAlive, err := fixed.ReadRequest()
			method2, target2, fields2, body2, keepAlive2, err2 := accounted.ReadRequest()
			require.Equal(t, err, err2)
			if err != nil {
				break
			}
			require.Equal(t, []any{method, target, fields, string(body), keepAlive}, []any{method2, target2, fields2, string(body2), keepAlive2})
		}
		accounted.Close()
		require.Zero(t, source.held)
		require.LessOrEqual(t, source.most, 2*len(stream)+minBufferBytes+minBodyBytes)
	})
}

// Guards against memory that is taken for what a length field says before the bytes have arrived, and against a read that
// goes on although no memory was granted.
func TestAccountedReaderTakesMemoryAsBytesArrive(t *testing.T) {
	head := "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 65536\r\n\r\n"
	source := &accountedStream{Reader: iotest.ErrReader(io.EOF), allowed: 1 << 20}
	source.Reader = io.MultiReader(strings.NewReader(head), strings.NewReader("some"))
	reader := NewAccountedReader(source)
	_, _, _, _, _, err := reader.ReadRequest()
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
	require.LessOrEqual(t, source.most, minBufferBytes+minBodyBytes)
	source = &accountedStream{Reader: strings.NewReader(head + strings.Repeat("a", 65536)), allowed: 10_000}
	_, _, _, _, _, err = NewAccountedReader(source).ReadRequest()
	require.ErrorIs(t, err, errNoMemory)
}
