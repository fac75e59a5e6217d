package frontend

import (
	"bufio"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chalkring/internal/fake"
)

// searchText returns a search for the members of a town, up to the fields that frame its body, and the body.
func searchText(town string) (start, body string) {
	return "POST /members/_search HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\n", fmt.Sprintf(`{"query":{"term":{"town":%q}}}`, town)
}

// Guards against request smuggling: a request whose body's end is ambiguous is refused and its connection closed, and what
// hides in the body never reaches a host. A good request beside it is answered.
func TestHiddenRequestsAreNotServed(t *testing.T) {
	r := start(t)
	var goodRequests, otherRequests atomic.Int64
	for _, h := range r.hosts {
		h.SetHandler(func(p fake.ShardRequest) {
			if strings.Contains(p.Text, "oslo") {
				goodRequests.Add(1)
			} else {
				otherRequests.Add(1)
			}
			r.replyCorrectly(p)
		})
	}
	hiddenStart, hiddenBody := searchText("hidden")
	hidden := fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", hiddenStart, len(hiddenBody), hiddenBody)
	_, goodBody := searchText("oslo")
	for seed := range int64(40) {
		begin, body := searchText("visible")
		text := fake.DrawHiddenRequest(rand.New(rand.NewSource(seed)), begin, body, hidden)
		conn, err := net.Dial("tcp", strings.TrimPrefix(r.url, "http://"))
		require.NoError(t, err)
		require.NoError(t, conn.SetDeadline(time.Now().Add(10*time.Second)))
		_, err = io.WriteString(conn, text)
		require.NoError(t, err)
		status, _, _ := r.do("POST", "/members/_search", goodBody)
		require.Equal(t, http.StatusOK, status, "seed %d: the good request", seed)
		source := bufio.NewReader(conn)
		response, err := http.ReadResponse(source, nil)
		require.NoError(t, err, "seed %d", seed)
		require.GreaterOrEqual(t, response.StatusCode, 400, "seed %d: %q", seed, text)
		_, err = io.Copy(io.Discard, response.Body)
		require.NoError(t, err, "seed %d", seed)
		_, err = source.ReadByte()
		require.ErrorIs(t, err, io.EOF, "seed %d: something follows the refusal", seed)
		conn.Close()
	}
	require.Zero(t, otherRequests.Load(), "shard requests of refused or hidden requests")
	require.GreaterOrEqual(t, goodRequests.Load(), int64(40*len(r.blocks)))
}

// Guards against a panic over one search of a msearch that ends the process: it comes up on the goroutine that serves the
// request, where the server ends this request alone.
func TestPanicInMultiSearchEndsItsRequestAlone(t *testing.T) {
	f := &Server{Indices: []Index{{Name: "members", Blocks: []int{0}}}} // without the coordinator, a search panics
	request := httptest.NewRequest(http.MethodPost, "/members/_msearch", strings.NewReader("{}\n{}\n{}\n{}\n"))
	require.Panics(t, func() { f.ServeHTTP(httptest.NewRecorder(), request) })
}
