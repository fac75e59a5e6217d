package http1

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against request smuggling by a coding that readers of HTTP/1.0 ignore: they take the chunks for further requests.
func TestTransferCodingNeedsHTTP11(t *testing.T) {
	const fields = "Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n"
	_, _, _, _, _, err := newTestReader(strings.NewReader("POST / HTTP/1.0\r\n" + fields)).ReadRequest()
	var invalid InvalidMessageError
	require.ErrorAs(t, err, &invalid)
	require.Equal(t, 400, invalid.Status)
	_, _, _, body, _, err := newTestReader(strings.NewReader("POST / HTTP/1.1\r\nHost: x\r\n" + fields)).ReadRequest()
	require.NoError(t, err)
	require.Equal(t, "a", string(body))
}

// Guards against a head of many short fields, or a body of many short chunks, that costs many times its length.
func TestFieldsAndChunksAreBounded(t *testing.T) {
	for text, status := range map[string]int{
		"GET / HTTP/1.1\r\nHost: x\r\n" + strings.Repeat("a:\r\n", maxHeadFields) + "\r\n":                                                           431,
		"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1\r\na\r\n", 14_000) + "0\r\n\r\n":                      413,
		"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n" + strings.Repeat("a:\r\n", maxHeadFields+1) + "\r\n":                 431,
		"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1;"+strings.Repeat("e", 8000)+"\r\na\r\n", 9) + "0\r\n": 413,
	} {
		_, _, _, _, _, err := newTestReader(strings.NewReader(text)).ReadRequest()
		var invalid InvalidMessageError
		require.ErrorAs(t, err, &invalid, "%.80q", text)
		require.Equal(t, status, invalid.Status, "%.80q", text)
	}
	body := strings.Repeat("1\r\na\r\n", 13_000) + "0\r\n\r\n"
	_, _, _, got, _, err := newTestReader(strings.NewReader("POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n" + body)).ReadRequest()
	require.NoError(t, err)
	require.Len(t, got, 13_000)
}
