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

// Whatever comes, reading ends with a message inside the limits or an error, and the same however the
// stream is split.
func FuzzRequest(f *testing.F) {
	f.Add([]byte("\r\nPOST /a?k=1 HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabcGET / HTTP/1.0\r\n\r\n"))
	f.Add([]byte("POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n3;a=b\r\nabc\r\n0\r\nT: 1\r\n\r\n"))
	f.Add([]byte("POST / HTTP/1.1\nHost:x\nContent-Length: 18446744073709551616\n\n"))
	f.Add([]byte("GET / HTTP/1.1\r\n" + strings.Repeat("A: b\r\n", 2000)))
	f.Fuzz(func(t *testing.T, text []byte) {
		one := NewReader(bytes.NewReader(text), make([]byte, 16<<10))
		two := NewReader(iotest.OneByteReader(bytes.NewReader(text)), make([]byte, 16<<10))
		for {
			method, target, head, body, keep, err := one.ReadRequest()
			method2, target2, head2, body2, keep2, err2 := two.ReadRequest()
			require.Equal(t, err, err2)
			if err != nil {
				var bad InvalidMessageError
				require.True(t, errors.As(err, &bad) || errors.Is(err, io.ErrUnexpectedEOF), err)
				return
			}
			require.LessOrEqual(t, len(body), bodyMost)
			require.Equal(t, []any{method, target, head, body, keep}, []any{method2, target2, head2, body2, keep2})
		}
	})
}

func FuzzResponse(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}HTTP/1.1 204 No\r\n\r\n"))
	f.Add([]byte("HTTP/1.0 200\r\n\r\nto the end"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		r := NewReader(bytes.NewReader(text), make([]byte, 16<<10))
		for {
			_, _, body, _, err := r.ReadResponse()
			if err != nil {
				return
			}
			require.LessOrEqual(t, len(body), bodyMost)
			if r.r == r.w {
				return
			}
		}
	})
}

func TestResponses(t *testing.T) {
	text := AppendResponse(nil, 503, "Retry-After: 0.0500", []byte("{}"), false)
	r := NewReader(iotest.OneByteReader(bytes.NewReader(text)), make([]byte, 16<<10))
	status, head, body, keep, err := r.ReadResponse()
	require.NoError(t, err)
	require.Equal(t, 503, status)
	require.Equal(t, "0.0500", head["retry-after"])
	require.Equal(t, "{}", string(body))
	require.False(t, keep)
	for text, want := range map[string]string{
		"HTTP/1.0 200 OK\r\n\r\nto the end":                                                   "to the end",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n": "abc",
	} {
		_, _, body, _, err := NewReader(strings.NewReader(text), make([]byte, 16<<10)).ReadResponse()
		require.NoError(t, err)
		require.Equal(t, want, string(body))
	}
	_, _, _, _, err = NewReader(strings.NewReader("HTTP/1.1 200 OK\r\n\r\n"+strings.Repeat("a", bodyMost+1)),
		make([]byte, 16<<10)).ReadResponse()
	require.ErrorContains(t, err, "body over")
}

// pieces gives its texts one after another, one a read.
type pieces []string

func (p *pieces) Read(buf []byte) (int, error) {
	if len(*p) == 0 {
		return 0, io.EOF
	}
	n := copy(buf, (*p)[0])
	if (*p)[0] = (*p)[0][n:]; (*p)[0] == "" {
		*p = (*p)[1:]
	}
	return n, nil
}

// A body in chunks is the same wherever the stream was cut, also where the bytes behind a chunk that is there whole, or
// the next message, come later and are longer than all before them.
func TestChunksInPieces(t *testing.T) {
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
		text := start + head + body + start + "Content-Length: 3000\r\n\r\n" + next
		for cut := 1; cut < len(text); cut++ {
			r := NewReader(&pieces{text[:cut], text[cut:]}, make([]byte, 16<<10))
			got, err := read(r)
			require.NoError(t, err)
			require.Equal(t, first+second, string(got), "cut at %d", cut)
			got, err = read(r)
			require.NoError(t, err)
			require.Equal(t, next, string(got), "cut at %d", cut)
		}
	}
}

// Each form of framing that could be read in two ways gets an error, and none is read as another's.
func TestFramingInTwoWays(t *testing.T) {
	for fields, status := range map[string]int{
		"Content-Length: 5, 5":                                           400,
		"Content-Length: 5\r\nContent-Length: 5":                         400,
		"Content-Length : 5":                                             400,
		"Content-Length: 5\r\n 5":                                        400, // folded
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
		for _, one := range []bool{false, true} {
			var src io.Reader = strings.NewReader("POST /a HTTP/1.1\r\nHost: x\r\n" + fields + "\r\n\r\nhello")
			if one {
				src = iotest.OneByteReader(src)
			}
			_, _, _, _, _, err := NewReader(src, make([]byte, 16<<10)).ReadRequest()
			var bad InvalidMessageError
			require.ErrorAs(t, err, &bad, "%q", fields)
			require.Equal(t, status, bad.Status, "%q", fields)
		}
	}
}
