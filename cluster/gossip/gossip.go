// Package gossip finds out which instances of the fleet are there and carries messages between them, on one TCP and UDP
// port, with hashicorp/memberlist behind it. Each life of an instance is a node of its own there, so that a restart never
// speaks for the life before it. What is believed of whom is decided in package membership; this one has the sockets, clocks
// and goroutines. docs/fleet.md tells why this library, the rules, and what an operator does.
package gossip

import (
	"context"
	"crypto/aes"
	"errors"
	"fmt"
	stdlog "log"
	"log/slog"
	"math/rand"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/memberlist"
	"golang.org/x/time/rate"

	"chalkring/cluster/membership"
)

const (
	MaxBodyBytes     = 1 << 20                // bytes of a message's body
	MaxDetectionTime = 6 * time.Second        // within which one that has ended, or is cut off, counts no more, up to 300 instances
	probeEvery       = 500 * time.Millisecond // between the library's probes of one instance after the other
	missMost         = 3                      // probe times (more above 10 instances) that a suspect has to answer
	busyMost         = 2                      // times that a probe may take longer while this instance is slow itself
	gossipEvery      = 200 * time.Millisecond // between packets of news, to three instances each
	gossipNodes      = 3                      // instances that news goes to at once
	pushPull         = 15 * time.Second       // between exchanges of all that is known, longer above 32 instances
	deadTold         = 30 * time.Second       // that one given up is still sent news: it may be back
	dialMost         = time.Second            // for a connection to come up: longer than any way round the earth
	streamMost       = 5 * time.Second        // for an exchange or message on a connection: 1 MiB at 2 Mbit/s
	stepEvery        = 100 * time.Millisecond // between looks at what is due
	joinEvery        = time.Second            // between tries to reach those that are not there
	joinAtOnce       = 3                      // of them that are tried at once
	sayEvery         = time.Second            // between words of mine to those that still speak of an earlier life
	refusedEvery     = 500 * time.Millisecond // between words to one whose life is over here
	aloneAfter       = 10 * time.Second       // without anybody reached, before the log says so
	aloneEvery       = time.Minute            // between such lines
	leaveMost        = 500 * time.Millisecond // for the word of leaving to go out
	sendsMost        = 16                     // messages on their way at once
	queueMost        = 16                     // messages of a topic that wait for their handler
	queueWait        = 2 * time.Second        // for room there
	othersEvery      = 10 * time.Second       // between lines on other fleets' instances: each second brings a try
	strangerMost     = time.Second            // for word of an instance to come after a message of its: both go out at once
	strangerLook     = 10 * time.Millisecond  // between looks for it
	portTries        = 20                     // for a free port where any will do
	wordTopic        = 0                      // the package's own messages: words that lives are over
)

var errDropped = errors.New("dropped on purpose")

// Options are what an instance starts with.
type Options struct {
	Identity      membership.Identity // of the fleet: instances of another are refused
	Self          membership.Member   // name, region, zone and the like; Incarnation is the start's time in ns where it is 0
	Voters        []string            // names of all instances that count for a majority
	ListenAddr    string              // address and port, TCP and UDP, under which others reach it
	JoinAddrs     []string            // addresses of others to begin with; any one that is up will do
	AddrOverrides map[string]string   // by address that an instance names: where to reach it instead, through relays or NAT
	Key           []byte              // 16, 24 or 32 bytes; without it all is plain and anybody is believed
	OldKeys       [][]byte            // keys that others may still use
	Logger        *slog.Logger
	Seed          int64                  // of all chance here; the library's own is not seeded
	ShouldDrop    func(addr string) bool // tests: whether what goes to an address is lost
}

// Node is this instance in the fleet.
type Node struct {
	o        Options
	log      *slog.Logger
	book     *membership.Table
	own      string // the library's name of this life
	list     *memberlist.Memberlist
	wire     *transport
	decoding cbor.DecMode
	began    time.Time
	stop     context.CancelFunc
	ctx      context.Context
	work     sync.WaitGroup
	sends    chan struct{}
	others   *rate.Limiter // of lines on other fleets' instances
	unheard  atomic.Bool   // somebody still speaks of a life of mine that is over
	chance   *rand.Rand    // of run

	events struct { // what the library has told and run has not looked at
		sync.Mutex
		of    map[string]event
		order []string
	}
	kick chan struct{}

	mu       sync.Mutex
	watch    *membership.FailureDetector
	nodes    map[string]memberlist.Node // by the library's name
	last     map[string]string          // address under which a listed name was there last
	handlers map[byte]chan message
	closed   bool
	ends     sync.Once
	gone     chan struct{}
}

type message struct {
	from string
	body []byte
}

// Start listens and begins to look for the others; it waits for none of them. The node ends with ctx, without a word, or
// by Leave.
func Start(ctx context.Context, o Options) (*Node, error) {
	at, err := netip.ParseAddrPort(o.ListenAddr)
	if err == nil && at.Addr().IsUnspecified() {
		err = errors.New("others cannot reach it under that")
	}
	if err != nil {
		return nil, &InvalidAddressError{o.ListenAddr, err}
	}
	for _, key := range append([][]byte{o.Key}, o.OldKeys...) {
		if _, err := aes.NewCipher(key); err != nil && len(key) > 0 {
			return nil, &InvalidKeyFileError{Path: "given", Reason: fmt.Sprintf("%d bytes, 16, 24 or 32 are wanted", len(key))}
		}
	}
	n := &Node{
		o: o, log: o.Logger, decoding: newDecoding(), began: time.Now(), sends: make(chan struct{}, sendsMost),
		chance: rand.New(rand.NewSource(o.Seed)), kick: make(chan struct{}, 1), nodes: map[string]memberlist.Node{},
		last: map[string]string{}, handlers: map[byte]chan message{}, gone: make(chan struct{}), others: rate.NewLimiter(rate.Every(othersEvery), 1),
	}
	n.events.of = map[string]event{}
	if n.log == nil {
		n.log = slog.New(slog.DiscardHandler)
	}
	logger := stdlog.New(&lines{n: n, limit: rate.NewLimiter(linesRate, linesBurst), keys: rate.NewLimiter(rate.Every(keysEvery), 1)}, "", 0)
	if err := n.listen(at, logger); err != nil {
		return nil, err
	}
	me := o.Self
	me.Addr = net.JoinHostPort(at.Addr().String(), fmt.Sprint(n.wire.GetAutoBindPort()))
	if me.Incarnation == 0 {
		me.Incarnation = uint64(time.Now().UnixNano())
	}
	n.book = membership.NewTable(me, o.Voters)
	n.watch = membership.NewFailureDetector(n.book, rand.New(rand.NewSource(o.Seed+1)))
	if !me.IsValid() {
		err = errWord
	} else {
		_, err = n.encodeMember(me)
	}
	n.ctx, n.stop = context.WithCancel(ctx) // messages come as soon as the list is there
	if err == nil {
		n.list, err = memberlist.Create(n.config(at, logger))
	}
	if err != nil {
		n.stop()
		n.wire.Shutdown()
		return nil, err
	}
	n.work.Go(n.run)
	context.AfterFunc(n.ctx, n.end)
	return n, nil
}

func (n *Node) listen(at netip.AddrPort, logger *stdlog.Logger) error {
	tries := portTries // one that is free by TCP may be taken by UDP
	if at.Port() != 0 {
		tries = 1
		if err := free(at.String()); errors.Is(err, syscall.EADDRINUSE) {
			return &AddressInUseError{at.String(), err}
		} else if err != nil {
			return &InvalidAddressError{at.String(), err}
		}
	}
	var wire *memberlist.NetTransport
	var err error
	for range tries {
		if wire, err = memberlist.NewNetTransport(&memberlist.NetTransportConfig{
			BindAddrs: []string{at.Addr().String()},
			BindPort:  int(at.Port()), Logger: logger,
		}); err == nil {
			n.wire = &transport{NetTransport: wire, via: n.o.AddrOverrides, drop: n.o.ShouldDrop}
			return nil
		}
	}
	return &InvalidAddressError{at.String(), err}
}

// free looks by hand whether an address can be listened on, since the library tells a taken port only in words.
func free(addr string) error {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	ln.Close()
	pc, err := net.ListenPacket("udp", addr)
	if err != nil {
		return err
	}
	pc.Close()
	return nil
}

// keyOf is the library's name of a life.
func keyOf(name string, incarnation uint64) string { return fmt.Sprintf("%s#%x", name, incarnation) }

func (n *Node) config(at netip.AddrPort, logger *stdlog.Logger) *memberlist.Config {
	c := memberlist.DefaultLANConfig()
	me := n.book.Self()
	n.own = keyOf(me.Name, me.Incarnation)
	c.Name = n.own
	c.Transport, c.Logger = n.wire, logger
	c.BindAddr, c.AdvertiseAddr = at.Addr().String(), at.Addr().String()
	c.BindPort, c.AdvertisePort = n.wire.GetAutoBindPort(), n.wire.GetAutoBindPort()
	c.ProbeInterval, c.ProbeTimeout = probeEvery, membership.PingTimeout*100*time.Microsecond
	c.SuspicionMult, c.SuspicionMaxTimeoutMult, c.AwarenessMaxMultiplier = missMost, 1, busyMost
	c.GossipInterval, c.GossipNodes, c.GossipToTheDeadTime = gossipEvery, gossipNodes, deadTold
	c.PushPullInterval, c.TCPTimeout = pushPull, streamMost
	c.EnableCompression = false // its kind takes 50 ms of a core for a message of 1 MiB
	c.DNSConfigPath = ""
	c.Delegate, c.Events, c.Alive, c.Merge = (*delegate)(n), (*delegate)(n), (*delegate)(n), (*delegate)(n)
	if len(n.o.Key) > 0 {
		c.SecretKey = n.o.Key
		c.Keyring, _ = memberlist.NewKeyring(n.o.OldKeys, n.o.Key) // lengths were looked at by Start
	}
	return c
}

// Membership is who is there. It is changed by this package alone.
func (n *Node) Membership() *membership.Table { return n.book }

// Now is the clock by which the book's times are told: tenths of a millisecond since the start.
func (n *Node) Now() int64 { return int64(time.Since(n.began) / (100 * time.Microsecond)) }

// BytesSent is how many bytes have been sent so far.
func (n *Node) BytesSent() int64 { return n.wire.sent.Load() }

// UpdateSelf says anew what this instance runs and can take part in; name, incarnation and address stay.
func (n *Node) UpdateSelf(m membership.Member) error {
	me := n.book.Self()
	m.Name, m.Incarnation, m.MetaVersion, m.Addr, m.State = me.Name, me.Incarnation, me.MetaVersion+1, me.Addr, me.State
	if !m.IsValid() {
		return errWord
	}
	if _, err := n.encodeMember(m); err != nil {
		return err
	}
	n.book.UpdateSelf(m)
	n.wake()
	return nil
}

// EndPreviousIncarnation takes from this instance's own store which life it had before: that one is over, whatever others believe.
func (n *Node) EndPreviousIncarnation(incarnation uint64) {
	me := n.book.Self()
	if incarnation != me.Incarnation {
		n.book.ApplyUpdate(n.Now(), membership.Member{Name: me.Name, Incarnation: incarnation, State: membership.Dead})
		n.wake()
	}
}

// Send hands a message to an instance that is there, on a connection of its own. It waits for the bytes to be written,
// so it is for background work alone; nil does not say that the other has handled them.
func (n *Node) Send(ctx context.Context, to string, topic byte, body []byte) error {
	if len(body) > MaxBodyBytes {
		return &MessageTooLargeError{to, len(body)}
	}
	n.mu.Lock()
	node, there := n.nodes[n.watch.NodeName(to)]
	closed := n.closed
	n.mu.Unlock()
	if !there || closed {
		return &PeerUnavailableError{to}
	}
	select {
	case n.sends <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	case <-n.ctx.Done():
		return &PeerUnavailableError{to}
	}
	done := make(chan error, 1)
	n.mu.Lock()
	if n.closed {
		n.mu.Unlock()
		<-n.sends
		return &PeerUnavailableError{to}
	}
	n.work.Go(func() {
		defer func() { <-n.sends }()
		done <- n.list.SendReliable(&node, head(topic, n.book.Self(), body))
	})
	n.mu.Unlock()
	select {
	case err := <-done:
		if err != nil {
			return fmt.Errorf("to %s: %w", to, err)
		}
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Handle gives a topic, 1 or above, its handler: called by one goroutine of the topic's own, one message after the other.
func (n *Node) Handle(topic byte, f func(from string, body []byte)) {
	queue := make(chan message, queueMost)
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed || topic == wordTopic || n.handlers[topic] != nil {
		return
	}
	n.handlers[topic] = queue
	n.work.Go(func() {
		for {
			select {
			case m := <-queue:
				f(m.from, m.body)
			case <-n.ctx.Done():
				return
			}
		}
	})
}

// Leave tells the others that this instance goes on purpose, and ends it.
func (n *Node) Leave(ctx context.Context) error {
	if n.ctx.Err() != nil {
		return nil
	}
	n.book.Leave(n.Now())
	most := leaveMost
	if until, ok := ctx.Deadline(); ok {
		most = max(time.Millisecond, min(most, time.Until(until)/3))
	}
	said := n.list.UpdateNode(most)
	me := n.book.Self()
	word := head(wordTopic, me, encodeEnds([]membership.Member{me}))
	for _, one := range n.list.Members() { // guards against the library's word of leaving coming before ours
		if one.Name != n.list.LocalNode().Name {
			said = errors.Join(said, n.list.SendBestEffort(one, word))
		}
	}
	said = errors.Join(said, n.list.Leave(most))
	n.stop()
	<-n.gone
	return said
}

// Close ends the node without a word, as a kill would.
func (n *Node) Close() {
	n.stop()
	<-n.gone
}

func (n *Node) end() {
	n.ends.Do(func() {
		n.mu.Lock()
		n.closed = true
		n.mu.Unlock()
		n.list.Shutdown()
		n.work.Wait()
		close(n.gone)
	})
}
