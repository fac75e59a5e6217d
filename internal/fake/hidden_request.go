package fake

import (
	"fmt"
	"math/rand"
	"strings"
)

// ambiguousFramings are header fields that state a body's end in two ways, or in one that readers understand differently. %d
// is the length of all that follows the head, of which a chunked body is the first part.
var ambiguousFramings = []string{
	"Content-Length: %d\r\nTransfer-Encoding: chunked\r\n",
	"Transfer-Encoding: chunked\r\nContent-Length: %d\r\n",
	"transfer-encoding:chunked\r\ncontent-length:%d\r\n",
	"Content-Length: %d\r\nTransfer-Encoding:\t Chunked \r\n",
	"Content-Length: %d\r\nTransfer-Encoding: identity, chunked\r\n",
	"Content-Length: %d\r\nTransfer-Encoding: identity\r\n",
	"Content-Length: %d\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
	"Content-Length: %d\r\nTransfer-Encoding : chunked\r\n",
	"Content-Length: %d\r\nTransfer-Encoding:\r\n chunked\r\n",
	"Content-Length: %d\r\nContent-Length: 5\r\n",
	"Content-Length: 5\r\nContent-Length: %d\r\n",
	"Content-Length: 5, %d\r\n",
	"Content-Length: +%d\r\n",
	"Content-Length: -%d\r\n",
	"Content-Length: 0x%d\r\n",
	"Content-Length: %d\r\nTransfer-Encoding: xchunked\r\n",
}

// DrawHiddenRequest returns a request whose head is ambiguous about where the body ends: start is its start line and header
// fields, body the body that it has as chunks, and hidden the request that follows for a reader of the chunks. No server may
// serve either.
func DrawHiddenRequest(chance *rand.Rand, start, body, hidden string) string {
	cut := 1 + chance.Intn(len(body))
	var rest strings.Builder
	for _, chunk := range []string{body[:cut], body[cut:]} {
		if chunk != "" {
			fmt.Fprintf(&rest, "%x\r\n%s\r\n", len(chunk), chunk)
		}
	}
	rest.WriteString("0\r\n\r\n" + hidden)
	framing := ambiguousFramings[chance.Intn(len(ambiguousFramings))]
	fields := strings.ReplaceAll(framing, "%d", fmt.Sprint(rest.Len()))
	return start + fields + "\r\n" + rest.String()
}
