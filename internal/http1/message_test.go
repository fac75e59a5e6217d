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

// bufferBytes is large enough for a head and a body of usual size.
const bufferBytes = 16 << 10

func newTestReader(source io.Reader) *Reader { return NewReader(source, make([]byte, bufferBytes)) }

// Guards against a request reader that exceeds its limits, fails with an unexpected kind of error, or whose result
// depends on where the stream is split between reads.
func FuzzRequest(f *testing.F) {
	f.Add([]byte("\r\nPOST /a?k=1 HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabcGET / HTTP/1.0\r\n\r\n"))
	f.Add([]byte("POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n3;a=b\r\nabc\r\n0\r\nT: 1\r\n\r\n"))
	f.Add([]byte("POST / HTTP/1.1\nHost:x\nContent-Length: 18446744073709551616\n\n"))
	f.Add([]byte("GET / HTTP/1.1\r\n" + strings.Repeat("A: b\r\n", 2000)))
	f.Fuzz(func(t *testing.T, stream []byte) {
		atOnce := newTestReader(bytes.NewReader(stream))
		byteByByte := newTestReader(iotest.OneByteReader(bytes.NewReader(stream)))
		for {
			method, target, fields, body, keepAlive, err := atOnce.ReadRequest()
			method2, target2, fields2, body2, keepAlive2, err2 := byteByByte.ReadRequest()
			require.Equal(t, err, err2)
			if err != nil {
				var invalid InvalidMessageError
				require.True(t, errors.As(err, &invalid) || errors.Is(err, io.ErrUnexpectedEOF), err)
				return
			}
			require.LessOrEqual(t, len(body), maxBodyBytes)
			require.Equal(t, []any{method, target, fields, body, keepAlive}, []any{method2, target2, fields2, body2, keepAlive2})
		}
	})
}

// Guards against a response reader that returns a body over the limit or panics on arbitrary input.
func FuzzResponse(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}HTTP/1.1 204 No\r\n\r\n"))
	f.Add([]byte("HTTP/1.0 200\r\n\r\nto the end"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n"))
	f.Fuzz(func(t *testing.T, stream []byte) {
		r := newTestReader(bytes.NewReader(stream))
		for {
			_, _, body, _, err := r.ReadResponse()
			if err != nil {
				return
			}
			require.LessOrEqual(t, len(body), maxBodyBytes)
			if r.start == r.end {
				return
			}
		}
	})
}

// Guards against a writer whose response this package's reader understands differently.
func TestWrittenResponseIsRead(t *testing.T) {
	message := AppendResponse(nil, 503, "Retry-After: 0.0500", []byte("{}"), false)
	status, fields, body, keepAlive, err := newTestReader(iotest.OneByteReader(bytes.NewReader(message))).ReadResponse()
	require.NoError(t, err)
	require.Equal(t, 503, status)
	require.Equal(t, "0.0500", fields["retry-after"])
	require.Equal(t, "{}", string(body))
	require.False(t, keepAlive)
}

// Guards against losing or cutting off bodies without a Content-Length, and against reading one without a limit.
func TestBodiesWithoutALength(t *testing.T) {
	for message, want := range map[string]string{
		"HTTP/1.0 200 OK\r\n\r\nto the end":                                                   "to the end",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n": "abc",
	} {
		_, _, body, _, err := newTestReader(strings.NewReader(message)).ReadResponse()
		require.NoError(t, err)
		require.Equal(t, want, string(body))
	}
	tooLong := "HTTP/1.1 200 OK\r\n\r\n" + strings.Repeat("a", maxBodyBytes+1)
	_, _, _, _, err := newTestReader(strings.NewReader(tooLong)).ReadResponse()
	require.ErrorContains(t, err, "body over")
}

// pieceReader returns its texts one after another, at most one per read.
type pieceReader []string

func (p *pieceReader) Read(buffer []byte) (int, error) {
	if len(*p) == 0 {
		return 0, io.EOF
	}
	n := copy(buffer, (*p)[0])
	if (*p)[0] = (*p)[0][n:]; (*p)[0] == "" {
		*p = (*p)[1:]
	}
	return n, nil
}

// Guards against a chunked body that is overwritten in the buffer when later bytes are read. This can happen if a
// complete chunk has been received, and the bytes after it, or the next message, arrive later and are longer than
// everything before them.
func TestChunkedBodyInPieces(t *testing.T) {
	first, second, next := strings.Repeat("a", 100), strings.Repeat("b", 3000), strings.Repeat("c", 3000)
	head := "Transfer-Encoding: chunked\r\n\r\n"
	body := "64\r\n" + first + "\r\nbb8;x=\"y\"\r\n" + second + "\r\n0\r\nTrailer: 1\r\n\r\n"
	for start, read := range map[string]func(r *Reader) ([]byte, error){
		"POST /a HTTP/1.1\r\nHost: x\r\n": func(r *Reader) ([]byte, error) {
			_, _, _, body, _, err := r.ReadRequest()
			return body, err
		},
		"HTTP/1.1 200 OK\r\n": func(r *Reader) ([]byte, error) {
			_, _, body, _, err := r.ReadResponse()
			return body, err
		},
	} {
		stream := start + head + body + start + "Content-Length: 3000\r\n\r\n" + next
		for cut := 1; cut < len(stream); cut++ {
			r := newTestReader(&pieceReader{stream[:cut], stream[cut:]})
			got, err := read(r)
			require.NoError(t, err)
			require.Equal(t, first+second, string(got), "cut at %d", cut)
			got, err = read(r)
			require.NoError(t, err)
			require.Equal(t, next, string(got), "cut at %d", cut)
		}
	}
}

// Guards against request smuggling: framing that another program could understand differently has to be an error.
func TestAmbiguousFramingIsRejected(t *testing.T) {
	for fields, status := range map[string]int{
		"Content-Length: 5, 5":                                           400,
		"Content-Length: 5\r\nContent-Length: 5":                         400,
		"Content-Length : 5":                                             400,
		"Content-Length: 5\r\n 5":                                        400, // line folding
		"X: a\r\n\tContent-Length: 5":                                    400,
		"Content-Length: 0x5":                                            400,
		"Content-Length: 5_0":                                            400,
		"Content-Length: ":                                               400,
		"Content-Length: 5\r\nTransfer-Encoding: chunked":                400,
		"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked":       501,
		"Transfer-Encoding: \vchunked":                                   400,
		"Transfer-Encoding: chunked, identity":                           501,
		"X: a\rTransfer-Encoding: chunked\r\nContent-Length: 5":          400,
		"Content-Length: 5\x00":                                          400,
		"Content-Length\r\n: 5":                                          400,
		"Transfer-Encoding: xchunked\r\nContent-Length: 5":               400,
		"Transfer-Encoding: chunked\r\n\r\n+5\r\nhello\r\n0\r\n\r\nGET ": 400,
		"Transfer-Encoding: chunked\r\n\r\n 5\r\nhello\r\n0\r\n\r\nGET ": 400,
		"Transfer-Encoding: chunked\r\n\r\n5\r\nhelloX\r\n0\r\n\r\nGET ": 400,
	} {
		for _, byteByByte := range []bool{false, true} {
			var source io.Reader = strings.NewReader("POST /a HTTP/1.1\r\nHost: x\r\n" + fields + "\r\n\r\nhello")
			if byteByByte {
				source = iotest.OneByteReader(source)
			}
			_, _, _, _, _, err := newTestReader(source).ReadRequest()
			var invalid InvalidMessageError
			require.ErrorAs(t, err, &invalid, "%q", fields)
			require.Equal(t, status, invalid.Status, "%q", fields)
		}
	}
}
