package frontend

import (
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// drawnExtras returns a write fault that adds, by seed, to one write in four: a second copy in the same write or some time
// later, another status, noise, or the begin of a response.
func drawnExtras(seed int64, count *atomic.Int64) func(written []byte) ([]byte, time.Duration) {
	var mu sync.Mutex
	chance := rand.New(rand.NewSource(seed))
	return func(written []byte) ([]byte, time.Duration) {
		mu.Lock()
		defer mu.Unlock()
		if chance.Intn(4) > 0 {
			return nil, 0
		}
		count.Add(1)
		delay := []time.Duration{0, time.Duration(chance.Intn(2000)) * time.Microsecond, 30 * time.Millisecond}[chance.Intn(3)]
		switch chance.Intn(8) {
		case 0:
			return []byte("HTTP/1.1 429 Too Many Requests\r\nContent-Length: 2\r\n\r\n{}"), delay
		case 1:
			return []byte("\r\nnoise"), delay
		case 2: // a piece, the rest of which never comes
			return written[:1+chance.Intn(len(written))], delay
		case 3: // behind an empty line
			return append([]byte("\r\n"), written...), delay
		}
		return written, delay
	}
}

// Guards against answers with the members of another search: hosts of the OpenSearch-style API write second copies or noise
// behind their responses, at once, some time later, or while the connection's next request is on its way. Every search gets the one member that
// it asks for, whether the hosts name the request in their responses or not.
func TestSecondAnswersOfHosts(t *testing.T) {
	for seed := range int64(4) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			r := startWithHosts(t, true)
			var extras atomic.Int64
			for i, h := range r.searchHosts {
				h.SetAnonymous(seed%2 == 0)
				h.SetWriteFault(drawnExtras(seed<<8+int64(i), &extras))
			}
			var clients sync.WaitGroup
			var served, refused atomic.Int64
			for c := range 12 {
				clients.Go(func() {
					for n := range 40 {
						want := r.whole.Documents[(c*40+n)%len(r.whole.Documents)].ID
						status, m, _ := r.do("POST", "/members/_search", fmt.Sprintf(`{"query":{"ids":{"values":[%q]}}}`, want))
						if status != 200 { // a part may fail at all of its attempts
							refused.Add(1)
							continue
						}
						served.Add(1)
						assert.Equal(t, []string{want}, ids(m), "client %d, search %d", c, n)
					}
				})
			}
			clients.Wait()
			t.Logf("%d searches served, %d not; %d extras", served.Load(), refused.Load(), extras.Load())
			require.Greater(t, served.Load(), 10*refused.Load())
		})
	}
}

// Guards against memory that hosts take by heads of responses that never end: the coordinator closes the connection once a
// head is over its limit, however long the host would go on.
func TestEndlessHeadsOfHosts(t *testing.T) {
	const socketBuffers = 16 << 20 // what a connection's kernel buffers take at most on loopback
	r := startWithHosts(t, true)
	var written, closed atomic.Int64
	r.searchHosts[0].SetHandler(func(w http.ResponseWriter, _ *http.Request, _ []byte) {
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		defer closed.Add(1)
		fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nLong: ")
		for line := strings.Repeat("a", 64<<10); ; {
			n, err := io.WriteString(conn, line)
			written.Add(int64(n))
			if err != nil {
				return
			}
		}
	})
	for range 8 {
		status, m, _ := r.do("POST", "/members/_search", `{}`)
		require.Equal(t, 200, status, "%v", m)
	}
	require.Positive(t, closed.Load())
	require.Less(t, written.Load(), closed.Load()*socketBuffers)
}
