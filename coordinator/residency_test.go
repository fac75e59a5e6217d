package coordinator

import (
	"fmt"
	"io"
	"math"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chalkring/balancer"
	"chalkring/control/residency"
	"chalkring/endpoints"
)

// zonedRig is a rig with contracts. By default a0 and b0 are in zone east, a1 and b1 in zone west.
type zonedRig struct {
	*rig
	guard           *ResidencyGuard
	registry        residency.PolicyRegistry
	clockOffset     atomic.Int64 // ticks by which the guard's clock is ahead of the machine's
	endpointUpdates chan endpoints.Update
}

const eastOnly = "generation: 1\ndefault: anywhere\nhost_rest: 1h\ncontracts:\n- {tenant: acme, zones: [east]}"

func (z *zonedRig) clock() int64 { return time.Now().UnixMicro()/100 + z.clockOffset.Load() }

// policy compiles contracts with a lease until the given tick.
func (z *zonedRig) policy(text string, until int64) *residency.CompiledPolicy {
	p, err := residency.ParsePolicy("contracts", []byte(text), residency.Site{})
	require.NoError(z.t, err)
	_, err = z.registry.AddPolicy(p)
	require.NoError(z.t, err)
	return z.registry.Compile(until)
}

func startZoned(t *testing.T, text string) *zonedRig { return startZonedWith(t, text, nil, false) }

func startZonedWith(t *testing.T, text string, zones map[string]string, hasUpdates bool) *zonedRig {
	z := &zonedRig{rig: &rig{t: t}, endpointUpdates: make(chan endpoints.Update)}
	z.guard = NewResidencyGuard(z.policy(text, math.MaxInt64), z.clock)
	if zones == nil {
		zones = map[string]string{"a0": "east", "b0": "east", "a1": "west", "b1": "west"}
	}
	z.rig = startWithOptions(t, zones, 256, func(s map[string]any) { s["FailureDomains"] = []string{"east", "west"} }, nil, nil, func(m *Options) {
		if m.Residency = z.guard; hasUpdates {
			m.EndpointUpdates = z.endpointUpdates
		}
	})
	return z
}

// attemptsOutside counts acme's attempts at hosts other than those named.
func (z *zonedRig) attemptsOutside(in ...string) (n int) {
	for hostID, h := range z.replicas {
		if parts, _, _, _ := h.Observed(); !strings.Contains(strings.Join(in, " "), hostID) {
			for _, p := range parts {
				if !strings.HasPrefix(p.ID, "other") {
					n++
				}
			}
		}
	}
	return n
}

func (z *zonedRig) searchAs(tenant, searchName, class string) (status int, body string) {
	c := z.connect()
	c.send(strings.Replace(request(searchName, class, "", fourParts), "X-Tenant: acme", "X-Tenant: "+tenant, 1))
	status, _, body, _ = c.readAnswer()
	return status, body
}

// First attempts, second steps, hedged attempts and retries of a tenant with a contract reach only hosts in its zones, as
// the hosts themselves record; a tenant without one uses all hosts. The balancer alone ensures this: the check before
// sending stops nothing.
func TestAttemptsStayInAllowedZones(t *testing.T) {
	z := startZoned(t, eastOnly)
	z.replicas["a0"].SetHandler(func(p receivedRequest) { // slow and failing, which causes hedged attempts and retries
		if time.Sleep(400 * time.Millisecond); p.Shard == 0 {
			p.Reply("bad", "0", "")
			return
		}
		p.ReplyGood()
	})
	var g sync.WaitGroup
	for i := range 12 {
		g.Go(func() {
			for _, class := range []string{"some", "deep"} {
				z.searchAs("acme", fmt.Sprint("acme", class, i), class)
				z.searchAs("other", fmt.Sprint("other", class, i), class)
			}
		})
	}
	g.Wait()
	z.replicas["a0"].SetHandler(receivedRequest.ReplyGood)
	for n, until := 0, time.Now().Add(testTimeout); ; n++ {
		if status, _ := z.searchAs("acme", fmt.Sprint("acme-again", n), "all"); status == 200 {
			break
		}
		require.True(t, time.Now().Before(until), "complete answers again\n%s", z.log)
	}
	require.Zero(t, z.attemptsOutside("a0", "b0"))
	parts, _, _, _ := z.replicas["a1"].Observed()
	require.NotEmpty(t, parts, "the tenant without a contract uses all hosts")
	require.Zero(t, z.guard.BlockedDispatches())
}

// unrestrictedBalancer is a balancer that ignores restrictions.
type unrestrictedBalancer struct{ balancer.Balancer }

func (unrestrictedBalancer) RestrictReplicas(uint64, *balancer.ReplicaRestriction, func(int) bool) {}

// With a balancer that ignores restrictions, the check before sending stops and counts each forbidden attempt, none is sent,
// and the search gets one final answer.
func TestCheckBeforeSendingFailsClosed(t *testing.T) {
	z := startZoned(t, strings.Replace(eastOnly, "[east]", "[north]", 1))
	z.loop.submit(func() { z.loop.balancer = unrestrictedBalancer{z.loop.balancer} })
	status, _ := z.searchAs("acme", "acme1", "all")
	require.Contains(t, []int{500, 503}, status)
	require.Zero(t, z.attemptsOutside())
	require.Positive(t, z.guard.BlockedDispatches())
	z.logged("event=residency_guard tenant=acme")
	req, err := http.NewRequest(http.MethodGet, "http://"+z.addr+"/metrics", nil)
	require.NoError(t, err)
	req.Close = true
	res, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	text, _ := io.ReadAll(res.Body)
	res.Body.Close()
	require.Contains(t, string(text), fmt.Sprintf("chalkring_residency_caught_total %d", z.guard.BlockedDispatches()))
	z.shutDown()
}

// If a block has no allowed host, the search is refused at once with an error that names tenant and block, or gets a partial
// answer if contract and class allow one. It is refused in any case once the lease has expired.
func TestBlockWithoutAllowedHost(t *testing.T) {
	z := startZonedWith(t, eastOnly, map[string]string{"a0": "east", "a1": "east", "b0": "west", "b1": "west"}, false)
	began := time.Now()
	status, body := z.searchAs("acme", "acme1", "all")
	require.Equal(t, 451, status)
	require.JSONEq(t, `{"error":"residency","tenant":"acme","block":1,"why":"`+residency.ReasonNoEligibleHost+`"}`, body)
	require.Less(t, time.Since(began), 6*time.Second, "refused before its deadline of 8 s")
	require.Zero(t, z.parts())
	z.logged("event=residency_refused")
	z.logged("block 1: " + residency.ReasonNoEligibleHost)
	part := strings.Replace(strings.Replace(eastOnly, "generation: 1", "generation: 2", 1), "[east]", "[east], otherwise: part", 1)
	z.guard.SetPolicy(z.policy(part, math.MaxInt64))
	status, body = z.searchAs("acme", "acme2", "some") // a partial answer with half of the shards is enough for this class
	require.Equal(t, 200, status, body)
	require.NotContains(t, body, `"range":1`)
	status, _ = z.searchAs("acme", "acme3", "all")
	require.Equal(t, 451, status)
	z.guard.SetPolicy(z.guard.Policy().WithLeaseExpiry(z.clock() - 1))
	status, body = z.searchAs("acme", "acme4", "some")
	require.Equal(t, 503, status)
	require.Contains(t, body, residency.ReasonLeaseExpired)
	status, _ = z.searchAs("other", "other1", "all")
	require.Equal(t, 200, status)
	require.Zero(t, z.attemptsOutside("a0", "a1"))
	require.Zero(t, z.guard.BlockedDispatches())
}

// When a tighter policy is set during a search, its attempts at hosts that are now forbidden are canceled, no new ones are
// sent there, and the search gets one answer: complete from allowed hosts, or a refusal if a block has none. The same holds
// when the lease expires.
func TestTightenedPolicyCancelsAttempts(t *testing.T) {
	for _, how := range []string{"other hosts are allowed", "no host is allowed", "lease expires"} {
		t.Run(how, func(t *testing.T) {
			z := startZoned(t, strings.Replace(eastOnly, "[east]", "[west]", 1))
			for _, h := range z.replicas {
				h.SetHandler(func(receivedRequest) {})
			}
			c := z.connect().send(request("acme1", "all", "", fourParts))
			z.eventually("shard requests are sent", func() bool { return z.parts() == 4 })
			require.Zero(t, z.attemptsOutside("a1", "b1"))
			for _, h := range z.replicas {
				h.SetHandler(receivedRequest.ReplyGood)
			}
			want := 200
			next := strings.Replace(eastOnly, "generation: 1", "generation: 2", 1)
			switch how {
			case "other hosts are allowed":
				z.guard.SetPolicy(z.policy(next, math.MaxInt64))
			case "no host is allowed":
				want = 451
				z.guard.SetPolicy(z.policy(strings.Replace(next, "[east]", "[north]", 1), math.MaxInt64))
			case "lease expires":
				want = 503
				z.guard.SetPolicy(z.guard.Policy().WithLeaseExpiry(z.clock() + 2_000))
			}
			if how != "lease expires" { // SetPolicy has returned, so all attempts are canceled already
				done := make(chan int)
				z.loop.submit(func() { done <- z.loop.enforcer.inFlightOn("a1", "b1") })
				require.Zero(t, <-done)
			}
			status, _, body, _ := c.readAnswer()
			require.Equal(t, want, status, body)
			z.eventually("attempts are canceled at the hosts", func() bool {
				n := 0
				for _, hostID := range []string{"a1", "b1"} {
					_, canceled, _, _ := z.replicas[hostID].Observed()
					n += len(canceled)
				}
				return n == 4
			})
			if want == 200 {
				require.JSONEq(t, completeAnswer, body)
				require.Equal(t, 8, z.parts())
				require.Equal(t, 4, z.attemptsOutside("a1", "b1"), "each shard request is sent again, to an allowed host")
			} else {
				require.Equal(t, 4, z.parts())
			}
			require.Zero(t, z.guard.BlockedDispatches())
		})
	}
}

// When a host of a search's second step becomes forbidden, its attempt is canceled, and as its block has no other host, the
// search is refused at once.
func TestSecondStepOutsideAllowedZones(t *testing.T) {
	z := startZonedWith(t, strings.Replace(eastOnly, "[east]", "[east, west]", 1),
		map[string]string{"a0": "east", "a1": "east", "b0": "west", "b1": "west"}, false)
	for _, h := range z.replicas {
		h.SetHandler(func(p receivedRequest) {
			if !strings.HasSuffix(p.ID, ".r") {
				p.ReplyGood()
			}
		})
	}
	c := z.connect().send(request("acme1", "deep", "", fourParts))
	second := func() (n int) {
		for _, h := range z.replicas {
			for _, p := range firstResult(h.Observed()) {
				if strings.HasSuffix(p.ID, ".r") {
					n++
				}
			}
		}
		return n
	}
	z.eventually("the second step is sent", func() bool { return second() == 2 })
	z.guard.SetPolicy(z.policy(strings.Replace(eastOnly, "generation: 1", "generation: 2", 1), math.MaxInt64))
	status, _, body, _ := c.readAnswer()
	require.Equal(t, 451, status)
	require.Contains(t, body, `"block":1`)
	require.Equal(t, 2, second())
	require.Zero(t, z.guard.BlockedDispatches())
}

// inFlightOn returns the number of attempts in flight at the given hosts.
func (b *residencyEnforcer) inFlightOn(ids ...string) (n int) {
	for _, hostID := range ids {
		for _, conn := range b.loop.replicas.byID[hostID].connections {
			n += len(conn.attempts)
		}
	}
	return n
}

// When a second source puts a host into another zone during a search, the host is in no zone any more, since its sources
// conflict: attempts there are canceled and retried at allowed hosts, and no new ones are sent there.
func TestHostChangesZoneDuringSearch(t *testing.T) {
	z := startZonedWith(t, eastOnly, map[string]string{"a0": "east", "a1": "east", "b0": "east", "b1": "east"}, true)
	release := make(chan struct{})
	for _, hostID := range []string{"a0", "a1"} {
		z.replicas[hostID].SetHandler(func(p receivedRequest) { <-release; p.ReplyGood() })
	}
	c := z.connect().send(request("acme1", "all", "", fourParts))
	z.eventually("shard requests are sent", func() bool { return z.parts() >= 4 })
	file := func(hostID, zone string, v int64) endpoints.Update {
		h := z.replicas[hostID]
		return endpoints.Update{Source: "hosts.yaml", Rank: endpoints.RankFile, Version: v, Confirmed: true, Hosts: []endpoints.Host{
			{ID: hostID, Addr: h.Listener.Addr().String(), Zone: zone, Kind: "small", Cell: h.Cell, Weight: 1},
		}}
	}
	z.endpointUpdates <- file("a0", "west", 1)
	zone := func(hostID string) string {
		got := make(chan string)
		z.loop.submit(func() { got <- z.loop.enforcer.hosts.Zone(z.loop.enforcer.now, hostID) })
		return <-got
	}
	z.eventually("a0 is in no zone", func() bool { return zone("a0") == "" })
	require.Equal(t, "east", zone("a1"))
	before := len(firstResult(z.replicas["a0"].Observed()))
	close(release)
	status, _, body, _ := c.readAnswer()
	require.Equal(t, 200, status, body)
	for i := range 10 {
		status, body = z.searchAs("acme", fmt.Sprint("acme-after", i), "all")
		require.Equal(t, 200, status, body)
	}
	require.Len(t, firstResult(z.replicas["a0"].Observed()), before, "no new attempts at a host whose sources conflict")
	require.Zero(t, z.guard.BlockedDispatches())
}

// firstResult returns the first result of Host.Observed.
func firstResult[T any](value T, _ []string, _, _ int) T { return value }

// A contract takes effect at its from time without a new policy or an endpoint update.
func TestContractBeginsDuringRun(t *testing.T) {
	from := time.Now().Add(time.Hour).UTC().Format(time.RFC3339)
	z := startZoned(t, strings.Replace(eastOnly, "[east]", "[north], from: "+from, 1))
	status, _ := z.searchAs("acme", "acme1", "all")
	require.Equal(t, 200, status)
	z.clockOffset.Store(3600 * 10_000)
	status, _ = z.searchAs("acme", "acme2", "all")
	require.Equal(t, 451, status)
}

// Fenced messages that are queued on a connection while the process is stopped are not written if the lease has expired in
// the meantime; messages that are not fenced are.
func TestExpiredLeaseStopsWaitingMessages(t *testing.T) {
	l, expired := newMessageConn(t.Context(), 4), false
	l.leaseExpired = func() bool { return expired }
	var out strings.Builder
	newMessages := func() (all []*outboundMessage) {
		for _, fenced := range []bool{true, false, true} {
			buffer := borrowBuffer()
			*buffer = fmt.Appendf(*buffer, "%t ", fenced)
			all = append(all, &outboundMessage{buffer: buffer, leaseFenced: fenced})
		}
		return all
	}
	for _, expired = range []bool{false, true} {
		all := newMessages()
		l.enqueue(all[1])
		l.enqueue(all[2])
		require.NoError(t, l.writeCoalesced(writes{to: &out}, all[0], func(*outboundMessage) error { return nil }))
		require.Equal(t, expired, all[0].stage.Load() == stageRecalled)
	}
	require.Equal(t, "true false true false ", out.String())
}
