package coordinator

import (
	"context"
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"chalkring/balancer"
	"chalkring/cluster/peerprotocol"
	"chalkring/cluster/peerreport"
	fleet "chalkring/internal/clustertest"
	"chalkring/internal/fake"
	"chalkring/internal/scheduler"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m, goleak.Cleanup(func(code int) {
		fleet.RemoveBuilds()
		os.Exit(code)
	}))
}

// peerOptionsNamed returns the options of a coordinator that polls some peers and listens on a free port.
func peerOptionsNamed(t *testing.T, name string, polled ...PeerAddress) *PeerOptions {
	return &PeerOptions{
		Name: name, Listener: listen(t), PollTargets: polled, AllowedPeers: []string{"a", "b", "c"},
		Budgets: map[string]scheduler.Budget{"ask": {MaxConcurrent: 4}, "answer": {MaxConcurrent: 4}},
	}
}

// at returns the address at which other coordinators poll this one.
func (p *PeerOptions) at() PeerAddress { return PeerAddress{p.Name, p.Listener.Addr().String()} }

// hasObservation says whether the balancer has an observation of a host.
func (r *rig) hasObservation(hostID string) (found bool) {
	exported := make(chan struct{})
	var observed []string
	require.True(r.t, r.loop.submit(func() {
		r.loop.balancer.ExportObservations(0, 100, func(b balancer.Observation) { observed = append(observed, b.Replica) })
		close(exported)
	}))
	<-exported
	return strings.Contains(strings.Join(observed, " "), hostID)
}

// A coordinator that starts while a peer is running imports the peer's observations at once.
func TestImportsReportOfRunningPeer(t *testing.T) {
	pa := peerOptionsNamed(t, "a")
	a := startWith(t, 256, nil, pa)
	a.replicas["a0"].Listener.Close()
	for i := range 40 {
		a.connect().expect(fmt.Sprint("w", i), "all", 200, "")
	}
	require.True(t, a.hasObservation("a0"))
	pb := peerOptionsNamed(t, "b", pa.at())
	b := startWith(t, 256, nil, pb)
	b.logged("event=observations_imported peer=a")
	b.connect().expect("q", "all", 200, completeAnswer)
	status, err := (&peerprotocol.Client{Addr: pb.at().Addr, LocalName: "a", Dial: (&net.Dialer{}).DialContext}).FetchStatus(context.Background())
	require.NoError(t, err)
	require.Equal(t, uint32(4), status.HostCount)
	require.Equal(t, "told", status.Peers[0].LastOutcome)
	a.shutDown()
	b.shutDown()
}

// Searches, health checks and reloads do not wait for peers that do not answer, cannot be reached or are this
// coordinator itself, and a shutdown during polls ends.
func TestFailingPeersDelayNothing(t *testing.T) {
	deaf := listen(t)
	gone := listen(t)
	gone.Close()
	options := peerOptionsNamed(t, "a", PeerAddress{"deaf", deaf.Addr().String()}, PeerAddress{"gone", gone.Addr().String()})
	options.PollTargets = append(options.PollTargets, PeerAddress{"self", options.at().Addr})
	began := time.Now()
	r := startWith(t, 256, nil, options)
	c := r.connect()
	c.send("GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")
	status, _, _, _ := c.readAnswer()
	require.Equal(t, 200, status)
	c.expect("q", "all", 200, completeAnswer)
	require.Less(t, time.Since(began), 2*time.Second, "less than the timeout of a poll that is not answered")
	r.plans <- r.plan // a reload during polls
	r.logged("event=reloaded")
	r.logged("how=failed")
	r.logged("how=myself")
	r.shutDown()
}

// Two coordinators that start without observations poll each other, and a third imports from both while its endpoint
// list changes.
func TestStartingPeersPollEachOther(t *testing.T) {
	pa, pb := peerOptionsNamed(t, "a"), peerOptionsNamed(t, "b")
	pa.PollTargets, pb.PollTargets = []PeerAddress{pb.at()}, []PeerAddress{pa.at()}
	a, b := startWith(t, 256, nil, pa), startWith(t, 256, nil, pb)
	a.logged("event=observations_imported peer=b")
	b.logged("event=observations_imported peer=a")
	for i := range 20 {
		a.connect().expect(fmt.Sprint("x", i), "all", 200, completeAnswer)
		b.connect().expect(fmt.Sprint("y", i), "some", 200, "")
	}
	pc := peerOptionsNamed(t, "c", pa.at(), pb.at())
	c := startWith(t, 256, nil, pc)
	for i := range 8 {
		c.list.Responses <- fmt.Sprintf(`{"version":%d,"full":false,"servers":[%s]}`, 8+i,
			c.entry("a0", []string{"draining", "up"}[i%2]))
		c.connect().expect(fmt.Sprint("z", i), "all", 200, completeAnswer)
	}
	c.logged("how=Partial version=15")
	c.logged("event=observations_imported")
	c.shutDown()
	a.shutDown()
	b.shutDown()
}

// Fifty coordinators poll one at the same time: some are answered, the others deferred. The polled coordinator answers
// all its searches meanwhile, and shuts down.
func TestFiftyPeersPollOne(t *testing.T) {
	options := peerOptionsNamed(t, "a")
	for i := range 50 {
		options.AllowedPeers = append(options.AllowedPeers, fmt.Sprint("n", i))
	}
	r := startWith(t, 256, nil, options)
	var g sync.WaitGroup
	var mu sync.Mutex
	count := map[peerreport.Outcome]int{}
	for i := range 50 {
		g.Go(func() {
			outcome, retryAfter, _ := (&peerprotocol.Client{
				PeerName: "a", Addr: options.at().Addr, LocalName: fmt.Sprint("n", i), Dial: (&net.Dialer{}).DialContext,
				OnHeader: func(peerreport.ReportHeader) error { return nil }, OnObservations: func([]peerreport.Observation) error { return nil },
			}).FetchReport(context.Background())
			mu.Lock()
			defer mu.Unlock()
			if count[outcome]++; outcome == peerreport.OutcomeDeferred && retryAfter <= 0 {
				count[peerreport.OutcomeFailed]++
			}
		})
	}
	c := r.connect()
	for i := range 40 {
		c.expect(fmt.Sprint("q", i), "all", 200, completeAnswer)
	}
	g.Wait()
	require.Equal(t, 50, count[peerreport.OutcomeReceived]+count[peerreport.OutcomeDeferred], "%v", count)
	require.Positive(t, count[peerreport.OutcomeReceived])
	r.shutDown()
}

// A host whose address changes is another machine: observations of the former one are dropped.
func TestReportsOfMovedHostAreDropped(t *testing.T) {
	ln := listen(t)
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan error)
	server := &peerprotocol.Server{
		Name: "b", InstanceID: 1, AllowedNames: []string{"a"}, Release: func() {}, OnRejected: func(string, string) {},
		Admit: func(string) (bool, time.Duration) { return true, 0 },
		BuildReport: func(context.Context) (peerreport.ReportHeader, []peerreport.Observation, error) {
			return peerreport.ReportHeader{Peer: "b", HostCount: 1}, []peerreport.Observation{{HostID: "a0", IsOutlier: true}}, nil
		},
	}
	go func() { served <- server.Serve(ctx, ln) }()
	options := peerOptionsNamed(t, "a", PeerAddress{"b", ln.Addr().String()})
	r := startWith(t, 256, nil, options)
	r.logged("event=observations_imported peer=b hosts=1")
	cancel()
	require.NoError(t, <-served)
	exchange := r.loop.peers
	outliers := func() (n int) {
		exchange.mu.Lock()
		defer exchange.mu.Unlock()
		for _, h := range exchange.reports.Combine(r.loop.clockTicks(), func(string) (int64, bool) { return 0, true }) {
			if h.Outlier {
				n++
			}
		}
		return n
	}
	require.Equal(t, 1, outliers())
	other, err := fake.NewHost("a0", 0, true, receivedRequest.ReplyGood)
	require.NoError(t, err)
	t.Cleanup(other.Close)
	r.list.Responses <- fmt.Sprintf(`{"version":8,"full":false,"servers":[%s]}`,
		strings.Replace(r.entry("a0", "up"), r.replicas["a0"].Listener.Addr().String(), other.Listener.Addr().String(), 1))
	r.eventually("the observation of the former machine is dropped", func() bool { return outliers() == 0 })
	r.connect().expect("q", "all", 200, completeAnswer)
	r.shutDown()
}
