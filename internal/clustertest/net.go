package clustertest

import (
	"errors"
	"fmt"
	"io"
	"math/rand"
	"net"
	"strconv"
	"sync"
	"syscall"
	"time"
)

const (
	chunk      = 16 << 10               // bytes that a relay reads at once
	backlog    = 16                     // chunks on their way in a direction: what a slow link holds
	queued     = 1024                   // datagrams on their way over a link; more are lost, as in a full queue
	again      = 200 * time.Millisecond // after which lost bytes of a stream are sent again, as TCP does at first
	trickle    = 20 * time.Millisecond  // between two pieces of a stream that trickles
	portLow    = 12000                  // ports that are given to instances: below those that the system hands out
	portHigh   = 31000
	slotSize   = 950              // ports of a process: three rigs of six instances
	portWithin = 10 * time.Second // for what was killed to let go of its ports: a write to a busy disk takes seconds
	portEach   = 10 * time.Millisecond
	dialWait   = 2 * time.Second // for an instance that is stopped or gone
	udpLongest = 64 << 10
)

// LinkFault is what a link does to what is carried one way. The zero value carries all at once.
type LinkFault struct {
	Cut            bool          // nothing comes through: datagrams are lost, bytes and connects wait until it is over
	Hang           bool          // as Cut for streams alone: connections stand and carry nothing
	Refuse         bool          // open connections and each new one are reset, datagrams are lost
	Drop           float64       // share of datagrams that is lost; so large a share of a stream's pieces comes 200 ms late
	Delay          time.Duration // before anything comes through
	Jitter         time.Duration // up to so much more, drawn; streams keep their order, datagrams do not
	BytesPerSecond int           // bytes a second of a stream; 0 for no bound
}

// network is the relays of a rig with the faults of their links.
type network struct {
	mu      sync.Mutex
	links   map[[2]string]bool // relays there are; complete before the first fault
	faults  map[[2]string]LinkFault
	changed chan struct{}
	open    map[*stream]bool
	chance  *rand.Rand
	done    chan struct{}
	all     sync.WaitGroup
	closers []io.Closer
	ports   []string // of relays
}

func newNetwork(seed int64) *network {
	return &network{
		links: map[[2]string]bool{}, faults: map[[2]string]LinkFault{}, changed: make(chan struct{}), open: map[*stream]bool{},
		chance: rand.New(rand.NewSource(seed)), done: make(chan struct{}),
	}
}

// edit changes what a link does one way.
func (n *network) edit(from, to string, do func(f *LinkFault)) {
	n.mu.Lock()
	f := n.faults[[2]string{from, to}]
	do(&f)
	n.faults[[2]string{from, to}] = f
	close(n.changed)
	n.changed = make(chan struct{})
	n.mu.Unlock()
	if f.Refuse {
		n.reset(from, to)
	}
}

// reset ends the open connections that were made from one to the other.
func (n *network) reset(from, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for s := range n.open {
		if s.from == from && s.to == to {
			s.end(true)
		}
	}
}

func (n *network) at(from, to string) (LinkFault, chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.faults[[2]string{from, to}], n.changed
}

// heal ends the faults of all links.
func (n *network) heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.faults)
	close(n.changed)
	n.changed = make(chan struct{})
}

// knows tells whether there is a relay between two, either way.
func (n *network) knows(from, to string) bool {
	return n.links[[2]string{from, to}] || n.links[[2]string{to, from}]
}

func (n *network) lucky(share float64) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.chance.Float64() < share
}

func (n *network) wait(f LinkFault) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	d := f.Delay
	if f.Jitter > 0 {
		d += time.Duration(n.chance.Int63n(int64(f.Jitter)))
	}
	return d
}

func (n *network) close() {
	close(n.done)
	n.mu.Lock()
	for _, c := range n.closers {
		c.Close()
	}
	for s := range n.open {
		s.end(true)
	}
	n.mu.Unlock()
	n.all.Wait()
	freed(n.ports)
}

// ports are those that this process may use for instances and relays: one of the slots of the range, which it holds as
// long as it lives by listening on the slot's first port. Guards against another rig that takes a port whose instance is
// just restarted.
var ports struct {
	sync.Mutex
	slot net.Listener
	from int
	next int
	used map[int]bool // by rigs that are open
}

// letGo waits until ports can be listened on, TCP and UDP. Guards against what an instance had started and is killed with
// it: it ends by itself, later than the instance while it is held in a write to the disk.
func letGo(within time.Duration, addrs ...string) error {
	until := time.Now().Add(within)
	for _, addr := range addrs {
		for {
			err := vacant(addr)
			if err == nil {
				break
			}
			if time.Now().After(until) {
				return fmt.Errorf("an earlier life has not let go of its port within %v: %w", within, err)
			}
			time.Sleep(portEach)
		}
	}
	return nil
}

// vacant tells whether an address can be listened on, TCP and UDP. No process is started meanwhile: until it executes its
// program, it would have copies of the sockets opened here, and the address would still be in use when vacant returns.
func vacant(addr string) error {
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	defer ln.Close()
	pc, err := net.ListenPacket("udp", addr)
	if err != nil {
		return err
	}
	return pc.Close()
}

// port finds one that is free for TCP and UDP, and that no outgoing connection and no other rig is given meanwhile.
func port() (string, error) {
	ports.Lock()
	defer ports.Unlock()
	for at := portLow; ports.slot == nil && at < portHigh; at += slotSize {
		var err error
		if ports.slot, err = net.Listen("tcp", loopback(at)); err == nil {
			ports.from, ports.next, ports.used = at, at, map[int]bool{}
		}
	}
	if ports.slot == nil {
		return "", errors.New("all slots of ports are in use by other processes")
	}
	for range slotSize {
		if ports.next++; ports.next >= ports.from+slotSize {
			ports.next = ports.from + 1
		}
		if ports.used[ports.next] {
			continue
		}
		if vacant(loopback(ports.next)) != nil {
			continue
		}
		ports.used[ports.next] = true
		return loopback(ports.next), nil
	}
	return "", errors.New("no free port")
}

// ReserveAddress returns a loopback address that is free for TCP and UDP. It is outside the range that the system gives to
// outgoing connections, and no other test process that uses this package is given it until release is called.
func ReserveAddress() (addr string, release func(), err error) {
	if addr, err = port(); err != nil {
		return "", nil, err
	}
	return addr, func() { freed([]string{addr}) }, nil
}

// freed gives ports back.
func freed(all []string) {
	ports.Lock()
	defer ports.Unlock()
	for _, addr := range all {
		_, text, _ := net.SplitHostPort(addr)
		number, _ := strconv.Atoi(text)
		delete(ports.used, number)
	}
}

func loopback(port int) string { return net.JoinHostPort("127.0.0.1", strconv.Itoa(port)) }

// relay opens a way from one to the other, who listens at addr, for TCP and, where wanted, UDP; it returns where it
// listens itself.
func (n *network) relay(from, to, addr string, udp bool) (string, error) {
	at, err := port()
	if err != nil {
		return "", err
	}
	n.ports = append(n.ports, at)
	ln, err := net.Listen("tcp", at)
	if err != nil {
		return "", fmt.Errorf("relay %s>%s: %w", from, to, err)
	}
	n.closers, n.links[[2]string{from, to}] = append(n.closers, ln), true
	n.all.Go(func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			n.all.Go(func() { n.carry(from, to, addr, conn.(*net.TCPConn)) })
		}
	})
	if !udp {
		return at, nil
	}
	front, err := net.ListenPacket("udp", at)
	if err != nil {
		return "", fmt.Errorf("relay %s>%s: %w", from, to, err)
	}
	n.closers = append(n.closers, front)
	back, err := net.Dial("udp", addr)
	if err != nil {
		return "", fmt.Errorf("relay %s>%s: %w", from, to, err)
	}
	n.closers = append(n.closers, back)
	var mu sync.Mutex
	var last net.Addr // who sent over it last: where what comes back goes
	n.all.Go(func() {
		n.packets(from, to, func(b []byte) (int, error) {
			got, who, err := front.ReadFrom(b)
			mu.Lock()
			last = who
			mu.Unlock()
			return got, err
		}, func(b []byte) { back.Write(b) })
	})
	n.all.Go(func() {
		n.packets(to, from, back.Read, func(b []byte) {
			mu.Lock()
			defer mu.Unlock()
			if last != nil {
				front.WriteTo(b, last)
			}
		})
	})
	return at, nil
}

// packets carries datagrams one way until the network ends.
func (n *network) packets(from, to string, read func([]byte) (int, error), write func([]byte)) {
	room := make(chan struct{}, queued)
	buf := make([]byte, udpLongest)
	for {
		got, err := read(buf)
		select {
		case <-n.done:
			return
		default:
		}
		if err != nil {
			continue // nobody listens there: a datagram is lost, and the next may come through
		}
		f, _ := n.at(from, to)
		if f.Cut || f.Refuse || f.Drop > 0 && n.lucky(f.Drop) {
			continue
		}
		text := append([]byte(nil), buf[:got]...)
		if d := n.wait(f); d > 0 {
			select {
			case room <- struct{}{}:
				time.AfterFunc(d, func() { write(text); <-room })
			default:
			}
			continue
		}
		write(text)
	}
}

// stream is one connection through a relay.
type stream struct {
	from, to  string
	near, far *net.TCPConn
	once      sync.Once
	ended     chan struct{}
}

func (s *stream) end(reset bool) {
	s.once.Do(func() {
		close(s.ended)
		for _, c := range []*net.TCPConn{s.near, s.far} {
			if c != nil {
				if reset {
					c.SetLinger(0)
				}
				c.Close()
			}
		}
	})
}

func (n *network) carry(from, to, addr string, near *net.TCPConn) {
	s := &stream{from: from, to: to, near: near, ended: make(chan struct{})}
	n.mu.Lock()
	n.open[s] = true
	n.mu.Unlock()
	defer func() {
		s.end(false)
		n.mu.Lock()
		delete(n.open, s)
		n.mu.Unlock()
	}()
	// a connect needs both ways, and none that is cut, hung or refused
	for _, way := range [][2]string{{from, to}, {to, from}} {
		if f, ok := n.free(s, way[0], way[1]); !ok || f.Refuse {
			s.end(true)
			return
		}
	}
	f, _ := n.at(from, to)
	if d := n.wait(f); d > 0 && !s.sleep(d) {
		return
	}
	conn, err := net.DialTimeout("tcp", addr, dialWait)
	if err != nil {
		s.end(true)
		return
	}
	far := conn.(*net.TCPConn)
	n.mu.Lock()
	s.far = far
	n.mu.Unlock()
	select {
	case <-s.ended:
		far.Close()
		return
	default:
	}
	var g sync.WaitGroup
	g.Go(func() { n.pump(s, from, to, near, far) })
	g.Go(func() { n.pump(s, to, from, far, near) })
	g.Wait()
}

// free waits until the link carries streams that way.
func (n *network) free(s *stream, from, to string) (LinkFault, bool) {
	for {
		f, changed := n.at(from, to)
		if !f.Cut && !f.Hang {
			return f, true
		}
		select {
		case <-changed:
		case <-s.ended:
			return f, false
		case <-n.done:
			return f, false
		}
	}
}

func (s *stream) sleep(d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-s.ended:
		return false
	}
}

type piece struct {
	text []byte
	due  time.Time
	err  error // in place of text: the sender has ended
}

// pump carries a stream's bytes one way, in order, and its end.
func (n *network) pump(s *stream, from, to string, src, dst *net.TCPConn) {
	way := make(chan piece, backlog)
	n.all.Go(func() {
		defer close(way)
		for {
			buf := make([]byte, chunk)
			got, err := src.Read(buf)
			f, _ := n.at(from, to)
			d := n.wait(f)
			if f.Drop > 0 && n.lucky(f.Drop) {
				d += again
			}
			p := piece{buf[:got], time.Now().Add(d), err}
			select {
			case way <- p:
			case <-s.ended:
				return
			}
			if err != nil {
				return
			}
		}
	})
	for p := range way {
		if d := time.Until(p.due); d > 0 && !s.sleep(d) {
			return
		}
		for rest := p.text; len(rest) > 0; {
			f, ok := n.free(s, from, to)
			if !ok {
				return
			}
			size := len(rest)
			if f.BytesPerSecond > 0 {
				size = min(size, max(1, f.BytesPerSecond*int(trickle)/int(time.Second)))
				if !s.sleep(time.Duration(size) * time.Second / time.Duration(f.BytesPerSecond)) {
					return
				}
			}
			if _, err := dst.Write(rest[:size]); err != nil {
				s.end(true)
				return
			}
			rest = rest[size:]
		}
		if p.err != nil {
			if _, ok := n.free(s, from, to); !ok {
				return
			}
			if errors.Is(p.err, io.EOF) {
				dst.CloseWrite()
				return
			}
			s.end(true)
			return
		}
	}
}
