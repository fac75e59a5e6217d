package fake

import (
	"context"
	"fmt"
	"io"
	"math/rand"
	"net"
	"strings"
	"sync"
	"time"

	"chalkring/internal/http1"
)

const (
	hostileDialTimeout  = time.Second
	hostileRedialPause  = 20 * time.Millisecond // after a failed dial, and between two connections of clients that only hold them
	hostileHoldTime     = 5 * time.Second       // that clients which stop in the middle of a request stay
	slowWritePause      = 30 * time.Millisecond
	maxSlowWriteBytes   = 40
	maxHostileBodyBytes = 64 << 10 // the longest body of the protocol
	maxHostileHeadBytes = 8 << 10
	floodBatchRequests  = 64 // requests in one write of a client that does not wait for answers
	maxHostileCrowd     = 500
	maxHostileFlooders  = 16
	hostileBlocks       = 8 // that a search may name
)

// HostileKind is a kind of client that misbehaves. Its play function plays one connection after another until ctx ends.
type HostileKind struct {
	Name  string
	Crowd bool // comes by the hundreds and holds its connections; others send at full speed over a few connections
	play  func(ctx context.Context, client hostileClient)
}

// hostileClient is one client of a kind.
type hostileClient struct {
	addr   string
	class  string // that the coordinator knows
	name   string // begins the ids of its requests
	chance *rand.Rand
}

// HostileKinds lists every kind, in an order that drawing depends on.
var HostileKinds = []HostileKind{
	{"slow writers", true, playSlowWriter},
	{"stop half way through a large body", true, playHalfBody},
	{"stop within a head of many fields", true, playHalfHead},
	{"large bodies in tiny chunks that stop", true, playHalfChunks},
	{"silent", true, playSilent},
	{"sound searches of the longest body over all blocks", true, playLongSearches},
	{"sound searches, gone before the answer", false, playSearchAndLeave},
	{"one byte at a time at full speed", false, playDribble},
	{"heads of many fields", false, floodOf(manyFieldsHead)},
	{"heads that repeat one field", false, floodOf(repeatedFieldHead)},
	{"nested bodies", false, floodOf(nestedBody)},
	{"small unsound bodies", false, floodOf(unsoundBody)},
	{"small requests under new names", false, floodOf(unknownNames)},
	{"bodies with new member names", false, floodOf(newMemberNames)},
	{"tiny chunks", false, floodOf(tinyChunks)},
	{"empty lines", false, floodOf(func(hostileClient) string { return strings.Repeat("\r\n", 4<<10) })},
	{"health checks", false, floodOf(func(hostileClient) string { return "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n" })},
	{"sound searches of the longest body", false, floodOf(longSearch)},
	{"requests without reading", false, playWithoutReading},
	{"many requests at once, then gone", false, playPipelineAndLeave},
	{"connect and close", false, playConnectAndClose},
}

// HostileCrowd is one kind's clients at a time of a run.
type HostileCrowd struct {
	Kind    HostileKind
	Clients int
	Start   time.Duration
	Length  time.Duration
}

func (c HostileCrowd) String() string {
	return fmt.Sprintf("%v to %v: %d clients, %s", c.Start, c.Start+c.Length, c.Clients, c.Kind.Name)
}

// DrawHostileCrowds draws the hostile clients of a run by its seed: one after another, each for a share of the time, some beside the one
// before.
func DrawHostileCrowds(seed int64, length time.Duration) (all []HostileCrowd) {
	const crowds = 4
	chance := rand.New(rand.NewSource(seed))
	for i, kind := range chance.Perm(len(HostileKinds))[:crowds] {
		crowd := HostileCrowd{Kind: HostileKinds[kind], Clients: 1 + chance.Intn(maxHostileFlooders)}
		if crowd.Kind.Crowd {
			crowd.Clients = maxHostileCrowd/2 + chance.Intn(maxHostileCrowd/2)
		}
		crowd.Start = time.Duration(i) * length / crowds
		crowd.Length = length/crowds + time.Duration(chance.Int63n(int64(length/crowds)))
		all = append(all, crowd)
	}
	return all
}

// PlayHostileCrowds plays hostile clients against a coordinator and returns when the last has ended. class is one that it knows.
func PlayHostileCrowds(ctx context.Context, seed int64, addr, class string, crowds []HostileCrowd) {
	var running sync.WaitGroup
	for k, crowd := range crowds {
		running.Go(func() {
			if !sleepFor(ctx, crowd.Start) {
				return
			}
			ctx, cancel := context.WithTimeout(ctx, crowd.Length)
			defer cancel()
			crowd.play(ctx, func(i int) hostileClient {
				return hostileClient{
					addr: addr, class: class, name: fmt.Sprintf("hostile-%d-%d-%d", seed, k, i),
					chance: rand.New(rand.NewSource(seed<<20 + int64(k)<<12 + int64(i))),
				}
			})
		})
	}
	running.Wait()
}

// play plays all clients of a crowd until ctx ends.
func (c HostileCrowd) play(ctx context.Context, newClient func(i int) hostileClient) {
	var running sync.WaitGroup
	for i := range c.Clients {
		running.Go(func() { c.Kind.play(ctx, newClient(i)) })
	}
	running.Wait()
}

// sleepFor returns false if ctx ends before the time is over.
func sleepFor(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// eachConnection calls play with one connection after another until ctx ends, which closes the connection.
func (c hostileClient) eachConnection(ctx context.Context, play func(conn net.Conn)) {
	for ctx.Err() == nil {
		conn, err := net.DialTimeout("tcp", c.addr, hostileDialTimeout)
		if err != nil {
			sleepFor(ctx, hostileRedialPause)
			continue
		}
		stop := context.AfterFunc(ctx, func() { conn.Close() })
		play(conn)
		stop()
		conn.Close()
	}
}

// holdOpen reads whatever comes until the coordinator closes the connection, for at most hostileHoldTime.
func holdOpen(ctx context.Context, conn net.Conn) {
	conn.SetReadDeadline(time.Now().Add(hostileHoldTime))
	_, _ = io.Copy(io.Discard, conn)
	sleepFor(ctx, hostileRedialPause)
}

// floodOf returns the play function of clients that send one request after another at full speed. Half of them wait for each answer; the
// others send on, and read what comes. A connection that the coordinator closes is followed by the next.
func floodOf(request func(c hostileClient) string) func(ctx context.Context, c hostileClient) {
	return func(ctx context.Context, c hostileClient) {
		waits := c.chance.Intn(2) == 0
		c.eachConnection(ctx, func(conn net.Conn) {
			if waits {
				sendAndAwait(conn, func() string { return request(c) })
				return
			}
			ended := make(chan struct{})
			go func() {
				_, _ = io.Copy(io.Discard, conn)
				conn.Close()
				close(ended)
			}()
			for {
				if _, err := io.WriteString(conn, request(c)); err != nil {
					break
				}
			}
			<-ended
		})
	}
}

// sendAndAwait sends one request after another, each after the answer to the one before, until the connection ends.
func sendAndAwait(conn net.Conn, request func() string) {
	reader := http1.NewReader(conn, make([]byte, readBufferSize))
	for {
		if _, err := io.WriteString(conn, request()); err != nil {
			return
		}
		if _, _, _, keepAlive, err := reader.ReadResponse(); err != nil || !keepAlive {
			return
		}
	}
}

// searchHead returns the head of a search up to its last fields.
func (c hostileClient) searchHead(id string) string {
	return fmt.Sprintf("POST /%s HTTP/1.1\r\nHost: x\r\nX-Request-Id: %s\r\nX-Class: %s\r\nX-Tenant: acme\r\nX-Deadline: 1.000\r\n",
		c.class, id, c.class)
}

// newID returns an id that nobody has used.
func (c hostileClient) newID() string { return fmt.Sprintf("%s-%016x", c.name, c.chance.Uint64()) }

// withBody returns a search with a body.
func (c hostileClient) withBody(body string) string {
	return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", c.searchHead(c.newID()), len(body), body)
}

func playSlowWriter(ctx context.Context, c hostileClient) {
	c.eachConnection(ctx, func(conn net.Conn) {
		text := longSearch(c)
		for len(text) > 0 {
			n := min(len(text), 1+c.chance.Intn(maxSlowWriteBytes))
			if _, err := io.WriteString(conn, text[:n]); err != nil || !sleepFor(ctx, slowWritePause) {
				return
			}
			text = text[n:]
		}
	})
}

func playHalfBody(ctx context.Context, c hostileClient) {
	c.eachConnection(ctx, func(conn net.Conn) {
		text := longSearch(c)
		_, _ = io.WriteString(conn, text[:len(text)-1-c.chance.Intn(len(text)/2)])
		holdOpen(ctx, conn)
	})
}

func playHalfHead(ctx context.Context, c hostileClient) {
	c.eachConnection(ctx, func(conn net.Conn) {
		text := manyFieldsHead(c)
		_, _ = io.WriteString(conn, text[:len(text)-4-c.chance.Intn(len(text)/4)])
		holdOpen(ctx, conn)
	})
}

func playHalfChunks(ctx context.Context, c hostileClient) {
	c.eachConnection(ctx, func(conn net.Conn) {
		text := tinyChunks(c)
		_, _ = io.WriteString(conn, text[:len(text)-7-c.chance.Intn(len(text)/4)])
		holdOpen(ctx, conn)
	})
}

func playLongSearches(ctx context.Context, c hostileClient) {
	c.eachConnection(ctx, func(conn net.Conn) {
		sendAndAwait(conn, func() string {
			var ranges []string
			for block := range hostileBlocks {
				ranges = append(ranges, fmt.Sprintf(`{"range":%d,"portion":%g}`, block, 1.0/hostileBlocks))
			}
			text := strings.Repeat("x", maxHostileBodyBytes-1024)
			return c.withBody(fmt.Sprintf(`{"ranges":[%s],"predicate":%q}`, strings.Join(ranges, ","), text))
		})
	})
}

func playSearchAndLeave(ctx context.Context, c hostileClient) {
	c.eachConnection(ctx, func(conn net.Conn) { _, _ = io.WriteString(conn, c.withBody(soundBody("x"))) })
}

func playSilent(ctx context.Context, c hostileClient) {
	c.eachConnection(ctx, func(conn net.Conn) { holdOpen(ctx, conn) })
}

func playDribble(ctx context.Context, c hostileClient) {
	c.eachConnection(ctx, func(conn net.Conn) {
		go func() { _, _ = io.Copy(io.Discard, conn) }()
		text := longSearch(c)
		for i := range len(text) {
			if _, err := io.WriteString(conn, text[i:i+1]); err != nil {
				return
			}
		}
	})
}

func playWithoutReading(ctx context.Context, c hostileClient) {
	c.eachConnection(ctx, func(conn net.Conn) {
		for {
			if _, err := io.WriteString(conn, strings.Repeat(unsoundBody(c), floodBatchRequests)); err != nil {
				return
			}
		}
	})
}

func playPipelineAndLeave(ctx context.Context, c hostileClient) {
	c.eachConnection(ctx, func(conn net.Conn) {
		var all strings.Builder
		for range 4 * floodBatchRequests {
			all.WriteString(c.withBody(soundBody("x")))
		}
		_, _ = io.WriteString(conn, all.String())
	})
}

func playConnectAndClose(ctx context.Context, c hostileClient) {
	c.eachConnection(ctx, func(net.Conn) {})
}

// manyFieldsHead returns a request whose head is nearly as long as the protocol's parser allows, of short fields.
func manyFieldsHead(c hostileClient) string {
	var head strings.Builder
	head.WriteString(c.searchHead(c.newID()))
	for i := 0; head.Len() < maxHostileHeadBytes-32; i++ {
		fmt.Fprintf(&head, "%x%c:\r\n", c.chance.Intn(1<<12), 'g'+i%16)
	}
	return head.String() + "Content-Length: 2\r\n\r\n{}"
}

func repeatedFieldHead(c hostileClient) string {
	head := c.searchHead(c.newID())
	head += strings.Repeat("a:b\r\n", (maxHostileHeadBytes-len(head)-32)/len("a:b\r\n"))
	return head + "Content-Length: 2\r\n\r\n{}"
}

func nestedBody(c hostileClient) string {
	depth := 1 + c.chance.Intn(maxHostileBodyBytes/8)
	return c.withBody(`{"ranges":` + strings.Repeat(`{"a":`, depth) + "1" + strings.Repeat("}", depth) + "}")
}

func unsoundBody(c hostileClient) string {
	return c.withBody([]string{`{"ranges":[{"range":0,"portion":1d}]}`, `{}`, `[]`, `{"ranges":[{"range":99,"portion":1}],"predicate":"x"}`}[c.chance.Intn(4)])
}

func unknownNames(c hostileClient) string {
	return fmt.Sprintf("POST /%x?k=%x HTTP/1.1\r\nHost: x\r\n%x: 1\r\nX-Class: %x\r\nX-Request-Id: %s\r\nContent-Length: 2\r\n\r\n{}",
		c.chance.Uint32(), c.chance.Uint64(), c.chance.Uint64(), c.chance.Uint32(), c.newID())
}

func newMemberNames(c hostileClient) string {
	var body strings.Builder
	body.WriteString(`{`)
	for body.Len() < maxHostileBodyBytes/2 {
		fmt.Fprintf(&body, `"\u0041%x":{},`, c.chance.Uint64())
	}
	return c.withBody(body.String() + `"ranges":[]}`)
}

func tinyChunks(c hostileClient) string {
	return c.searchHead(c.newID()) + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1\r\n \r\n", maxHostileBodyBytes-1) + "0\r\n\r\n"
}

// soundBody returns the body of a search of block 0.
func soundBody(text string) string {
	return fmt.Sprintf(`{"ranges":[{"range":0,"portion":1}],"predicate":%q}`, text)
}

func longSearch(c hostileClient) string {
	return c.withBody(soundBody(strings.Repeat("x", maxHostileBodyBytes-64)))
}
