package fanout

import (
	"bufio"
	"encoding/json"
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// repeatingReceiver accepts or rejects each delivery by its seed, and writes half of its replies twice.
type repeatingReceiver struct {
	mu       sync.Mutex
	chance   *rand.Rand
	accepted map[string]bool // by the subscriber's id
}

// draw decides about a delivery.
func (r *repeatingReceiver) draw(id string) (accepted, twice bool, delay time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	accepted, twice = r.chance.Intn(2) == 0, r.chance.Intn(2) == 0
	r.accepted[id] = accepted
	return accepted, twice, time.Duration(r.chance.Intn(2)*r.chance.Intn(1000)) * time.Microsecond
}

// serve answers the requests of a connection.
func (r *repeatingReceiver) serve(conn net.Conn) {
	defer conn.Close()
	for source := bufio.NewReader(conn); ; {
		request, err := http.ReadRequest(source)
		if err != nil {
			return
		}
		var message DeliveryMessage
		if json.NewDecoder(request.Body).Decode(&message) != nil {
			return
		}
		reply := "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n"
		accepted, twice, delay := r.draw(message.ID)
		if accepted {
			reply = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
		}
		fmt.Fprint(conn, reply)
		if twice {
			time.Sleep(delay)
			fmt.Fprint(conn, reply)
		}
	}
}

// serveEach accepts connections until the test ends and returns the URL of the listener.
func serveEach(t *testing.T, serve func(conn net.Conn)) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	return "http://" + listener.Addr().String()
}

// Guards against a delivery that counts as accepted although its receiver rejected it: the second copy of a reply is not taken
// for the reply to the next delivery.
func TestSecondRepliesOfReceivers(t *testing.T) {
	for seed := range int64(4) {
		receiver := &repeatingReceiver{chance: rand.New(rand.NewSource(seed)), accepted: map[string]bool{}}
		deliver := DeliverByHTTP(serveEach(t, receiver.serve))
		for n := range 200 {
			id := fmt.Sprint("s", n)
			err := deliver(t.Context(), DeliveryMessage{Tenant: "acme", ID: id})
			receiver.mu.Lock()
			accepted, arrived := receiver.accepted[id]
			receiver.mu.Unlock()
			require.True(t, arrived, "seed %d, delivery %d", seed, n)
			require.Equal(t, accepted, err == nil, "seed %d, delivery %d: %v", seed, n, err)
		}
	}
}

// Guards against memory that receivers take by long heads of replies: such a reply accepts nothing.
func TestLongReplyHeadOfReceiver(t *testing.T) {
	deliver := DeliverByHTTP(serveEach(t, func(conn net.Conn) {
		defer conn.Close()
		_, _ = http.ReadRequest(bufio.NewReader(conn))
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nLong: %s\r\n\r\n", strings.Repeat("a", 4*maxReplyHead))
	}))
	require.Error(t, deliver(t.Context(), DeliveryMessage{Tenant: "acme", ID: "s1"}))
}
