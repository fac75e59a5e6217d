// Package gossip finds the other instances of a cluster and sends messages between them, on one TCP and UDP port, using
// hashicorp/memberlist. Each incarnation of an instance is a separate node in memberlist, so that a restarted instance is
// never mistaken for its predecessor. Package membership decides which members are alive; this package has the sockets,
// clocks and goroutines. docs/cluster.md describes the rules, the choice of the library and what an operator does.
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
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/memberlist"
	"golang.org/x/time/rate"

	"chalkring/cluster/membership"
)

const (
	// MaxDetectionTime is the time after which an instance that has ended or is cut off no longer counts towards a
	// majority, in clusters of up to 300 instances.
	MaxDetectionTime = 6 * time.Second

	// clockTick is the unit of Now and of the times in package membership.
	clockTick = 100 * time.Microsecond
)

// Options configure an instance.
type Options struct {
	Identity      membership.Identity // of the cluster; instances of other clusters are rejected
	Self          membership.Member   // name and metadata; an Incarnation of 0 is replaced by the start time in ns
	Voters        []string            // names of all instances that count towards a majority
	ListenAddr    string              // address and port, TCP and UDP, at which others reach it
	JoinAddrs     []string            // addresses of other instances; one that is running is enough
	AddrOverrides map[string]string   // by an instance's address: the address of a relay or NAT to use instead
	Key           []byte              // 16, 24 or 32 bytes; if empty, nothing is encrypted or authenticated
	OldKeys       [][]byte            // keys that other instances may still use
	Logger        *slog.Logger
	Seed          int64                  // of this package's random numbers; memberlist's cannot be seeded
	ShouldDrop    func(addr string) bool // for tests: reports whether packets and connections to an address are dropped
}

// Node is this instance in the cluster. Its methods are safe for concurrent use.
type Node struct {
	options           Options
	logger            *slog.Logger
	table             *membership.Table
	nodeName          string // name of this incarnation in memberlist
	list              *memberlist.Memberlist
	transport         *transport
	decMode           cbor.DecMode
	startedAt         time.Time
	ctx               context.Context
	cancel            context.CancelFunc
	goroutines        sync.WaitGroup
	sendSlots         chan struct{}
	foreignLogLimiter *rate.Limiter
	mustRepublish     atomic.Bool // another instance may know only an ended incarnation of this one
	rng               *rand.Rand  // used by the event loop only
	events            eventBuffer
	wake              chan struct{} // makes the event loop iterate at once

	mu        sync.Mutex
	detector  *membership.FailureDetector
	nodes     map[string]memberlist.Node // by node name
	lastAddrs map[string]string          // by a voter's name: the address at which it was last seen
	handlers  map[byte]chan message
	closed    bool
	closeOnce sync.Once
	done      chan struct{} // closed once all goroutines have ended
}

// Start listens and begins to join the other instances in the background. The node runs until Leave or Close is called or ctx
// ends. Only Leave tells the others.
func Start(ctx context.Context, options Options) (*Node, error) {
	listenAddr, err := checkOptions(options)
	if err != nil {
		return nil, err
	}
	n := newNode(options)
	libraryLogger := stdlog.New(newMemberlistLog(n.logger), "", 0)
	if err := n.listen(listenAddr, libraryLogger); err != nil {
		return nil, err
	}
	self := options.Self
	self.Addr = net.JoinHostPort(listenAddr.Addr().String(), fmt.Sprint(n.transport.GetAutoBindPort()))
	if self.Incarnation == 0 {
		self.Incarnation = uint64(time.Now().UnixNano())
	}
	n.table = membership.NewTable(self, options.Voters)
	n.detector = membership.NewFailureDetector(n.table, rand.New(rand.NewSource(options.Seed+1)))
	err = n.checkMember(self)
	n.ctx, n.cancel = context.WithCancel(ctx) // before Create, because messages may arrive as soon as memberlist runs
	if err == nil {
		n.list, err = memberlist.Create(n.memberlistConfig(listenAddr, libraryLogger))
	}
	if err != nil {
		n.cancel()
		return nil, errors.Join(err, n.transport.Shutdown())
	}
	n.goroutines.Go(newEventLoop(n).run)
	context.AfterFunc(n.ctx, n.shutDown)
	return n, nil
}

func checkOptions(options Options) (listenAddr netip.AddrPort, err error) {
	listenAddr, err = netip.ParseAddrPort(options.ListenAddr)
	if err == nil && listenAddr.Addr().IsUnspecified() {
		err = errors.New("other instances cannot reach an unspecified address; expected an address of this machine")
	}
	if err != nil {
		return listenAddr, &InvalidAddressError{options.ListenAddr, err}
	}
	for _, key := range append([][]byte{options.Key}, options.OldKeys...) {
		if _, err := aes.NewCipher(key); err != nil && len(key) > 0 {
			return listenAddr, &InvalidKeyFileError{Path: "given", Reason: keyLengthReason(len(key))}
		}
	}
	return listenAddr, nil
}

func newNode(options Options) *Node {
	n := &Node{
		options: options, logger: options.Logger, decMode: newDecMode(), startedAt: time.Now(),
		sendSlots: make(chan struct{}, maxConcurrentSends), rng: rand.New(rand.NewSource(options.Seed)),
		foreignLogLimiter: rate.NewLimiter(rate.Every(foreignLogInterval), 1),
		wake:              make(chan struct{}, 1), done: make(chan struct{}),
		nodes: map[string]memberlist.Node{}, lastAddrs: map[string]string{}, handlers: map[byte]chan message{},
	}
	n.events.latest = map[string]nodeEvent{}
	if n.logger == nil {
		n.logger = slog.New(slog.DiscardHandler)
	}
	return n
}

// checkMember returns an error if other instances would not accept a member entry for this instance.
func (n *Node) checkMember(m membership.Member) error {
	if !m.IsValid() {
		return &InvalidMemberError{Name: m.Name}
	}
	_, err := n.encodeMember(m)
	return err
}

// Membership returns the table of members that this instance knows. Only this package may change it.
func (n *Node) Membership() *membership.Table { return n.table }

// Now returns the time on the table's clock: tenths of a millisecond since the start.
func (n *Node) Now() int64 { return int64(time.Since(n.startedAt) / clockTick) }

// BytesSent returns the number of bytes sent since the start.
func (n *Node) BytesSent() int64 { return n.transport.bytesSent.Load() }

// UpdateSelf publishes new metadata of this instance. Name, incarnation and address do not change.
func (n *Node) UpdateSelf(m membership.Member) error {
	self := n.table.Self()
	m.Name, m.Incarnation, m.MetaVersion, m.Addr, m.State = self.Name, self.Incarnation, self.MetaVersion+1, self.Addr, self.State
	if err := n.checkMember(m); err != nil {
		return err
	}
	n.table.UpdateSelf(m)
	n.wakeLoop()
	return nil
}

// EndPreviousIncarnation declares that the previous incarnation of this instance, read from its store, has ended.
func (n *Node) EndPreviousIncarnation(incarnation uint64) {
	self := n.table.Self()
	if incarnation != self.Incarnation {
		n.table.ApplyUpdate(n.Now(), membership.Member{Name: self.Name, Incarnation: incarnation, State: membership.Dead})
		n.wakeLoop()
	}
}

// wakeLoop makes the event loop iterate at once.
func (n *Node) wakeLoop() {
	select {
	case n.wake <- struct{}{}:
	default:
	}
}
