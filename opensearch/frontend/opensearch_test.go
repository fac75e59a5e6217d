package frontend

import (
	"bytes"
	"compress/gzip"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"encoding/pem"
	"fmt"
	"io"
	"log/slog"
	"math"
	"math/rand"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"chalkring/coordinator/plan"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"chalkring/control/residency"
	"chalkring/coordinator"
	"chalkring/internal/fake"
	"chalkring/opensearch/query"
)

const settings = `{"Family":"fanout","Discovery":"subscribe","Balancers":1,"Tick":5.0,"FailureDomains":["hall"],
"MachineTypes":["std"],"Classes":[
{"Name":"quick-picks","Aim":4000.0,"Deadline":6000.0,"Effect":"retryable","LateShare":0.5},
{"Name":"full-match","Aim":4000.0,"Deadline":6000.0,"Effect":"retryable","LateShare":0.5}],
"Tenants":[{"Name":"acme","QuotaPerS":100000.0},{"Name":"scarce","QuotaPerS":1.0}],
"Specifics":{"Sets":4,"Reach":1,"Ranges":9,"PerCall":1,"NeedByClass":[0.75,1.0],"ClassFloor":[0.75,1.0],"FollowUp":[0,0]},
"Permissions":{"MaxAttempts":3,"ConnIdle":60000.0,"DialTimeout":500.0,"StreamsPerConn":32,"SecondCopies":true,
"Cancelling":true,"RetryAfter":true,"MaxRetryAfter":500.0},
"Safety":{"Cold":1000.0,"ColdFrom":0.3,"FallMultiple":3.0,"Fall":2000.0,"DrainGrace":250.0,"AskWithin":500.0}}`

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// rig is a coordinator with this frontend and eight blocks of the index members, each on two hosts.
type rig struct {
	t           *testing.T
	url         string
	hosts       []*fake.Host
	searchHosts []*fake.SearchHost // used instead of hosts if the hosts speak the OpenSearch API
	nativeAddr  string             // address of the native frontend
	blocks      []*fake.ShardDocuments
	whole       fake.ShardDocuments // all documents in a single block, which gives the expected answers
	discovery   *fake.DiscoveryServer
	stop        context.CancelFunc
	ended       chan error
	client      *http.Client
	responses   atomic.Int64
}

func start(t *testing.T) *rig { return startWithHosts(t, false) }

func startWithHosts(t *testing.T, openSearch bool) *rig {
	return startWithOptions(t, openSearch, nil)
}

func startWithOptions(t *testing.T, openSearch bool, conf *tls.Config, edits ...func(m *coordinator.Options)) *rig {
	r := &rig{t: t, ended: make(chan error, 1), client: &http.Client{Transport: &http.Transport{DisableCompression: true}}}
	rng := rand.New(rand.NewSource(7))
	r.whole.Index = "members"
	placement := &query.Placement{Shards: 8}
	for range 8 {
		r.blocks = append(r.blocks, &fake.ShardDocuments{Index: "members"})
	}
	towns := []string{"oslo", "bergen", "hamar"}
	for i := range 400 {
		m := fake.Document{ID: fmt.Sprintf("m%03d", i), Fields: map[string]any{"town": towns[rng.Intn(3)], "age": float64(18 + rng.Intn(50))}}
		r.whole.Documents = append(r.whole.Documents, m)
		b := r.blocks[placement.ShardFor(m.ID)]
		b.Documents = append(b.Documents, m)
	}
	var entries []fake.Endpoint
	for i := range 8 {
		if openSearch {
			held := map[int]*fake.ShardDocuments{i % 4: r.blocks[i%4], i%4 + 4: r.blocks[i%4+4]}
			h, err := fake.NewSearchHost(fmt.Sprintf("h%d", i), i%4, held)
			require.NoError(t, err)
			t.Cleanup(h.Close)
			r.searchHosts = append(r.searchHosts, h)
			entries = append(entries, fake.Endpoint{ID: h.ID, Addr: h.Listener.Addr().String(), Zone: "hall", Kind: "search", State: "up", Cell: h.Cell})
			continue
		}
		h, err := fake.NewHost(fmt.Sprintf("h%d", i), i%4, false, r.replyCorrectly)
		require.NoError(t, err)
		t.Cleanup(h.Close)
		r.hosts = append(r.hosts, h)
		entries = append(entries, fake.Endpoint{ID: h.ID, Addr: h.Listener.Addr().String(), Zone: "hall", Kind: "std", State: "up", Cell: h.Cell})
	}
	var err error
	r.discovery, err = fake.NewDiscoveryServer(entries)
	require.NoError(t, err)
	t.Cleanup(r.discovery.Close)
	listen := func() net.Listener {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		return ln
	}
	native, openSearchListener := listen(), listen()
	r.nativeAddr = native.Addr().String()
	plan, err := plan.Parse(fmt.Appendf(nil, `{"name":"n0","listen":%q,"discovery":%q,"seed":"8c1f30d27a5be964",
		"limits":{"cores":1.0,"memory_mb":192,"sockets":512},"known":%s,"settings":%s}`, native.Addr(), r.discovery.Listener.Addr(),
		r.discovery.KnownEndpoints(), settings))
	require.NoError(t, err)
	allBlocks := []int{0, 1, 2, 3, 4, 5, 6, 7}
	front := &Server{Listener: openSearchListener, TLSConfig: conf, Indices: []Index{
		{"members", "full-match", "acme", allBlocks, placement},
		{"picks", "quick-picks", "acme", allBlocks, placement},
		{"scarce", "full-match", "scarce", allBlocks, placement},
	}}
	ctx, stop := context.WithCancel(context.Background())
	r.stop, r.url = stop, "http://"+openSearchListener.Addr().String()
	go func() {
		options := coordinator.Options{
			Listener: native, Dial: (&net.Dialer{}).DialContext, Clock: coordinator.SystemClock{},
			Logger: coordinator.NewLogger(io.Discard, false, slog.LevelError), Frontends: []coordinator.Frontend{front},
			HostKinds: map[string]coordinator.HostKind{"search": {Index: "members", Placement: placement}},
		}
		for _, edit := range edits {
			edit(&options)
		}
		r.ended <- coordinator.Serve(ctx, plan, options)
	}()
	t.Cleanup(func() {
		stop()
		r.client.CloseIdleConnections()
		select {
		case err := <-r.ended:
			require.NoError(t, err)
		case <-time.After(20 * time.Second):
			t.Error("the coordinator did not end within 20 s of its stop")
		}
	})
	return r
}

// correctResponse returns the response of a correct host to a shard request.
func (r *rig) correctResponse(p fake.ShardRequest) []byte {
	b := *r.blocks[p.Shard]
	text, err := b.Search([]byte(p.Text))
	if err != nil {
		return []byte("{}")
	}
	return text
}

func (r *rig) replyCorrectly(p fake.ShardRequest) { p.Reply("good", "1", string(r.correctResponse(p))) }

func (r *rig) do(method, path, body string, head ...string) (int, map[string]any, http.Header) {
	req, err := http.NewRequest(method, r.url+path, strings.NewReader(body))
	require.NoError(r.t, err)
	for i := 0; i+1 < len(head); i += 2 {
		req.Header.Set(head[i], head[i+1])
	}
	res, err := r.client.Do(req)
	require.NoError(r.t, err)
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	require.NoError(r.t, err)
	r.responses.Add(1)
	if res.Header.Get("Content-Encoding") == "gzip" {
		z, err := gzip.NewReader(bytes.NewReader(text))
		require.NoError(r.t, err)
		text, err = io.ReadAll(z)
		require.NoError(r.t, err)
	}
	var m map[string]any
	if json.Unmarshal(text, &m) != nil {
		m = map[string]any{"text": string(text)}
	}
	return res.StatusCode, m, res.Header
}

func ids(m map[string]any) (out []string) {
	for _, h := range m["hits"].(map[string]any)["hits"].([]any) {
		out = append(out, h.(map[string]any)["_id"].(string))
	}
	return out
}

func reason(m map[string]any) string { return fmt.Sprint(m["error"].(map[string]any)["reason"]) }

// Guards against wrong merges: a complete answer equals that of a single block with all documents, even if one host hangs
// and another returns malformed responses.
func TestSearches(t *testing.T) {
	r := start(t)
	r.hosts[0].SetHandler(func(fake.ShardRequest) {})
	r.hosts[5].SetHandler(func(p fake.ShardRequest) { p.Reply("good", "1", `{"timed_out":false}`) })
	var g sync.WaitGroup
	for i := range 40 {
		g.Go(func() {
			body := fmt.Sprintf(`{"query":{"range":{"age":{"gte":%d}}},"size":15,"sort":[{"age":"desc"},"town"],"track_total_hits":true}`, 20+i)
			status, m, _ := r.do("POST", "/members/_search", body)
			require.Equal(t, 200, status, "%v", m)
			text, _ := r.whole.Search([]byte(strings.Replace(body, `[{"age":"desc"},"town"]`,
				`[{"age":{"order":"desc"}},{"town":{}},{"_id":{}}]`, 1)))
			var want map[string]any
			require.NoError(t, json.Unmarshal(text, &want))
			require.Equal(t, want["hits"].(map[string]any)["total"], m["hits"].(map[string]any)["total"])
			require.Equal(t, ids(want), ids(m))
			shards := m["_shards"].(map[string]any)
			require.Equal(t, []any{8.0, 8.0, 0.0}, []any{shards["total"], shards["successful"], shards["failed"]})
		})
	}
	g.Wait()
	require.Equal(t, int64(40), r.responses.Load())
	status, m, _ := r.do("GET", "/members/_count", `{"query":{"term":{"town":"oslo"}}}`)
	require.Equal(t, 200, status)
	n := 0.0
	for _, one := range r.whole.Documents {
		if one.Fields["town"] == "oslo" {
			n++
		}
	}
	require.Equal(t, n, m["count"])
}

// Guards against partial answers that look complete: quick-picks is complete with six of eight blocks and lists the other two
// as failures; full-match is refused without all eight.
func TestMissingBlocks(t *testing.T) {
	r := start(t)
	for _, i := range []int{0, 4} { // both hosts of two blocks
		r.hosts[i].SetHandler(func(fake.ShardRequest) {})
	}
	status, _, _ := r.do("POST", "/nowhere/_search", `{}`)
	require.Equal(t, 404, status)
	status, m, _ := r.do("POST", "/picks/_search?allow_partial_search_results=false", `{"track_total_hits":true}`)
	require.Equal(t, 200, status, "%v", m)
	shards := m["_shards"].(map[string]any)
	require.Equal(t, []any{8.0, 6.0, 2.0}, []any{shards["total"], shards["successful"], shards["failed"]})
	require.Contains(t, fmt.Sprint(shards["failures"]), "cancelled: enough blocks")
	require.Equal(t, "gte", m["hits"].(map[string]any)["total"].(map[string]any)["relation"])
	began := time.Now()
	status, m, head := r.do("POST", "/members/_search?timeout=700ms", `{}`, "X-Opaque-Id", "mine")
	require.Contains(t, []int{503, 504, 429}, status, "%v", m)
	require.Equal(t, "mine", head.Get("X-Opaque-Id"))
	require.Less(t, time.Since(began), 3*time.Second)
}

// Guards against wrong documents in an answer: if a host of the native protocol responds well-formed but with another block's
// documents, the attempt counts as failed, and the block's other host answers.
func TestHostAnswersFromAnotherBlock(t *testing.T) {
	r := start(t)
	r.hosts[0].SetHandler(func(p fake.ShardRequest) {
		text, _ := r.blocks[(p.Shard+4)%8].Search([]byte(p.Text))
		p.Reply("good", "1", string(text))
	})
	text, _ := r.whole.Search([]byte(`{"size":30,"sort":[{"age":{"order":"asc"}},{"_id":{}}]}`))
	var want map[string]any
	require.NoError(t, json.Unmarshal(text, &want))
	for range 5 {
		code, m, _ := r.do("POST", "/members/_search", `{"size":30,"sort":["age"]}`)
		require.Equal(t, 200, code, "%v", m)
		require.Equal(t, ids(want), ids(m))
	}
}

// Guards against shard requests for searches that cannot succeed: a search of a block that no listed host holds gets 404 before
// anything is sent.
func TestBlocksWithoutHosts(t *testing.T) {
	r := start(t)
	var remaining []fake.Endpoint
	for i, h := range r.hosts {
		if i%4 != 3 {
			remaining = append(remaining, fake.Endpoint{ID: h.ID, Addr: h.Listener.Addr().String(), Zone: "hall", Kind: "std", State: "up", Cell: h.Cell})
		}
	}
	r.discovery.SetEndpoints(remaining)
	require.Eventually(t, func() bool { s, _, _ := r.do("POST", "/members/_search", `{}`); return s == 404 }, 10*time.Second, 5*time.Millisecond)
	before := 0
	for _, h := range r.hosts {
		before += h.CountRequests()
	}
	status, m, _ := r.do("POST", "/members/_search", `{}`)
	require.Equal(t, 404, status)
	require.Contains(t, reason(m), "no such shard [members][3]")
	after := 0
	for _, h := range r.hosts {
		after += h.CountRequests()
	}
	require.Equal(t, before, after)
	status, _, _ = r.do("POST", "/members/_search?preference=_shards:0,1", `{}`)
	require.Equal(t, 200, status)
	_, m, _ = r.do("GET", "/_cluster/health", "")
	require.Equal(t, "red", m["status"])
	_, m, _ = r.do("GET", "/_cat/shards?v", "")
	require.Contains(t, m["text"], "members 3 p UNASSIGNED")
}

// Guards against incomplete answers that look complete when all hosts of a block leave the endpoint list during a search:
// quick-picks lists the block as failed, and full-match is refused.
func TestBlockLeavesMeanwhile(t *testing.T) {
	r := start(t)
	release := make(chan struct{})
	var lock sync.Mutex
	searches := map[string]bool{} // IDs of searches whose shard requests have reached a host; a hedged attempt adds no ID
	for i, h := range r.hosts {
		if i%4 == 3 {
			h.SetHandler(func(fake.ShardRequest) {})
		} else {
			h.SetHandler(func(p fake.ShardRequest) {
				lock.Lock()
				searches[p.ID[:strings.LastIndexByte(p.ID, '.')]] = true
				lock.Unlock()
				go func() { <-release; r.replyCorrectly(p) }()
			})
		}
	}
	type end struct {
		status int
		m      map[string]any
	}
	got := make(chan end, 2)
	for _, index := range []string{"picks", "members"} {
		go func() {
			s, m, _ := r.do("POST", "/"+index+"/_search?timeout=2s", `{}`)
			got <- end{s, m}
		}()
	}
	require.Eventually(t, func() bool {
		lock.Lock()
		defer lock.Unlock()
		return len(searches) == 2
	}, 10*time.Second, time.Millisecond)
	var remaining []fake.Endpoint
	for i, h := range r.hosts {
		if i%4 != 3 {
			remaining = append(remaining, fake.Endpoint{ID: h.ID, Addr: h.Listener.Addr().String(), Zone: "hall", Kind: "std", State: "up", Cell: h.Cell})
		}
	}
	r.discovery.SetEndpoints(remaining)
	close(release)
	for range 2 {
		e := <-got
		if e.status == 200 { // quick-picks, complete without the block
			failures := fmt.Sprint(e.m["_shards"].(map[string]any)["failures"])
			require.Contains(t, failures, "shard:3")
			require.Equal(t, 6.0, e.m["_shards"].(map[string]any)["successful"])
			continue
		}
		require.Contains(t, []int{429, 503, 504}, e.status, "full-match must not be answered without all blocks: %v", e.m)
	}
}

// Guards against one bad search of a msearch failing the others, and against searches that stay open when their client
// disconnects.
func TestMultiSearch(t *testing.T) {
	r := start(t)
	var lines []string
	for i := range 50 {
		switch i {
		case 7:
			lines = append(lines, `{"index":"members"}`, `{"query":{"nonsense":{}}}`)
		case 9:
			lines = append(lines, `{not json`, `{}`)
		case 11:
			lines = append(lines, `{"index":"nowhere"}`, `{}`)
		default:
			lines = append(lines, `{"index":"members"}`, fmt.Sprintf(`{"query":{"ids":{"values":["m%03d"]}}}`, i))
		}
	}
	text := strings.Join(lines, "\n") // without the final newline
	status, m, _ := r.do("POST", "/_msearch", text)
	require.Equal(t, 200, status)
	for i, one := range m["responses"].([]any) {
		got := one.(map[string]any)
		switch i {
		case 7, 9:
			require.Equal(t, 400.0, got["status"])
		case 11:
			require.Equal(t, 404.0, got["status"])
		default:
			require.Equal(t, 200.0, got["status"], "%v", got)
			require.Equal(t, []string{fmt.Sprintf("m%03d", i)}, ids(got))
		}
	}
	status, _, _ = r.do("POST", "/_msearch", strings.Repeat("{}\n{}\n", 101))
	require.Equal(t, 400, status)
	status, _, _ = r.do("POST", "/_msearch", "{}\n")
	require.Equal(t, 400, status)

	// A client that disconnects during a msearch of fifty searches ends all of them.
	for _, h := range r.hosts {
		h.SetHandler(func(fake.ShardRequest) {})
	}
	ctx, disconnect := context.WithCancel(context.Background())
	req, _ := http.NewRequestWithContext(ctx, "POST", r.url+"/_msearch", strings.NewReader(text))
	requestErr := make(chan error)
	go func() {
		res, err := r.client.Do(req)
		if err == nil {
			res.Body.Close()
		}
		requestErr <- err
	}()
	open := func() int {
		_, m, _ := r.do("GET", "/_tasks", "")
		return len(m["nodes"].(map[string]any)["n0"].(map[string]any)["tasks"].(map[string]any))
	}
	require.Eventually(t, func() bool { return open() == 8 }, 10*time.Second, 5*time.Millisecond)
	disconnect()
	require.Error(t, <-requestErr)
	require.Eventually(t, func() bool { return open() == 0 }, 10*time.Second, 5*time.Millisecond)
}

// Guards against searches that _tasks does not list or cannot cancel, also if several have the same X-Opaque-Id.
func TestTasks(t *testing.T) {
	r := start(t)
	for _, h := range r.hosts {
		h.SetHandler(func(fake.ShardRequest) {})
	}
	type end struct {
		status int
		m      map[string]any
	}
	ended := make(chan end, 2)
	for range 2 { // both with the same X-Opaque-Id
		go func() {
			s, m, _ := r.do("POST", "/members/_search", `{}`, "X-Opaque-Id", "same")
			ended <- end{s, m}
		}()
	}
	var names []string
	require.Eventually(t, func() bool {
		_, m, _ := r.do("GET", "/_tasks", "")
		names = nil
		for name, one := range m["nodes"].(map[string]any)["n0"].(map[string]any)["tasks"].(map[string]any) {
			require.Contains(t, fmt.Sprint(one), "same")
			names = append(names, name)
		}
		return len(names) == 2
	}, 10*time.Second, 5*time.Millisecond)
	for _, name := range names {
		status, _, _ := r.do("POST", "/_tasks/"+name+"/_cancel", "")
		require.Equal(t, 200, status)
		e := <-ended
		require.Equal(t, 400, e.status)
		require.Contains(t, reason(e.m), "cancelled")
	}
	status, _, _ := r.do("POST", "/_tasks/n0:999/_cancel", "")
	require.Equal(t, 404, status)
}

// Guards against a search beyond its tenant's quota that waits or is refused without Retry-After: it gets 429 with
// that header.
func TestRefusedBeyondQuota(t *testing.T) {
	r := start(t)
	began := time.Now()
	var g sync.WaitGroup
	for _, h := range r.hosts {
		h.SetHandler(func(fake.ShardRequest) {})
	}
	var refused, other atomic.Int64
	for range 60 {
		g.Go(func() {
			status, m, head := r.do("POST", "/scarce/_search?timeout=1s", `{}`)
			if status == 429 {
				require.NotEmpty(t, head.Get("Retry-After"))
				require.Equal(t, "rejected_execution_exception", m["error"].(map[string]any)["type"])
				refused.Add(1)
			} else {
				other.Add(1)
			}
		})
	}
	g.Wait()
	require.Positive(t, refused.Load())
	require.Equal(t, int64(60), refused.Load()+other.Load())
	require.Less(t, time.Since(began), 10*time.Second)
}

// Guards against residency contracts that affect other tenants: a tenant whose contract leaves no eligible host gets 403
// with the tenant's name in the reason, and another tenant's search succeeds.
func TestRefusedByContract(t *testing.T) {
	p, err := residency.ParsePolicy("contracts", []byte("generation: 1\ndefault: anywhere\ncontracts:\n- {tenant: scarce, zones: [moon]}"), residency.Site{})
	require.NoError(t, err)
	var registry residency.PolicyRegistry
	_, err = registry.AddPolicy(p)
	require.NoError(t, err)
	r := startWithOptions(t, false, nil, func(m *coordinator.Options) {
		m.Residency = coordinator.NewResidencyGuard(registry.Compile(math.MaxInt64), func() int64 { return time.Now().UnixMicro() / 100 })
	})
	status, m, _ := r.do("POST", "/scarce/_search", `{}`)
	require.Equal(t, 403, status)
	require.Contains(t, reason(m), "tenant scarce, block 0: "+residency.ReasonNoEligibleHost)
	status, _, _ = r.do("POST", "/members/_search", `{}`)
	require.Equal(t, 200, status)
}

// Guards against TLS that is configured but not used: the frontend serves HTTPS, and requires client certificates
// if authorities are configured.
func TestTLS(t *testing.T) {
	_, err := LoadTLS("nowhere.pem", "nowhere.key", "")
	require.Error(t, err)
	s := httptest.NewTLSServer(nil) // has a certificate for the loopback addresses
	defer s.Close()
	dir := t.TempDir()
	key, err := x509.MarshalPKCS8PrivateKey(s.TLS.Certificates[0].PrivateKey)
	require.NoError(t, err)
	for name, block := range map[string]*pem.Block{"c.pem": {Type: "CERTIFICATE", Bytes: s.Certificate().Raw}, "c.key": {Type: "PRIVATE KEY", Bytes: key}} {
		require.NoError(t, os.WriteFile(filepath.Join(dir, name), pem.EncodeToMemory(block), 0o600))
	}
	file := func(name string) string { return filepath.Join(dir, name) }
	conf, err := LoadTLS(file("c.pem"), file("c.key"), "")
	require.NoError(t, err)
	require.Equal(t, tls.NoClientCert, conf.ClientAuth)
	strict, err := LoadTLS(file("c.pem"), file("c.key"), file("c.pem"))
	require.NoError(t, err)
	require.Equal(t, tls.RequireAndVerifyClientCert, strict.ClientAuth)
	_, err = LoadTLS(file("c.pem"), file("c.key"), file("c.key"))
	require.Error(t, err)
	r := startWithOptions(t, false, conf)
	r.client = s.Client()
	r.client.Transport.(*http.Transport).DisableCompression = true
	defer r.client.CloseIdleConnections()
	r.url = strings.Replace(r.url, "http://", "https://", 1)
	status, m, _ := r.do("POST", "/members/_search", `{}`)
	require.Equal(t, 200, status, "%v", m)
}

// Guards against mistakes in reading compressed bodies, in enforcing size limits, in refusing parameters, in the positions
// that errors report and in the status endpoints.
func TestRequestsAndErrors(t *testing.T) {
	r := start(t)
	pack := func(text string) string {
		var b bytes.Buffer
		z := gzip.NewWriter(&b)
		z.Write([]byte(text))
		z.Close()
		return b.String()
	}
	status, m, head := r.do("POST", "/members/_search", pack(`{"size":200}`), "Content-Encoding", "gzip", "Accept-Encoding", "gzip")
	require.Equal(t, 200, status, "%v", m)
	require.Equal(t, "gzip", head.Get("Content-Encoding"))
	require.Len(t, ids(m), 200)
	status, _, _ = r.do("POST", "/members/_search", pack(strings.Repeat(" ", 50<<20)), "Content-Encoding", "gzip")
	require.Equal(t, 413, status, "a small body that decompresses to 50 MiB")
	for path, want := range map[string]string{
		"/members/_search?bogus=1":                      "unrecognized parameter: [bogus]",
		"/members/_search?q=a":                          "parameter [q] is part of the API but not supported here",
		"/members/_search?preference=_local":            "not supported here",
		"/members/_search?preference=_shards:9":         "no such shard [members][9]",
		"/members/_search?routing=x":                    "is not a block number",
		"/members/_search?size=99999":                   "is not a whole number from 0",
		"/_search":                                      "name one",
		"/members,picks/_search":                        "not supported here",
		"/nothing/here":                                 "no handler found",
		"/members/_search?timeout=-1":                   "is not a duration such as",
		"/members/_search?cancel_after_time_interval=x": "is not a duration such as",
	} {
		status, m, _ := r.do("POST", path, `{}`)
		require.Contains(t, []int{400, 404}, status, path)
		require.Contains(t, reason(m), want, path)
	}
	status, _, _ = r.do("DELETE", "/members/_search", "")
	require.Equal(t, 405, status)
	status, m, _ = r.do("POST", "/members/_search", "{\n\"sizes\":1}")
	require.Equal(t, 400, status)
	require.Equal(t, []any{2.0, 1.0}, []any{m["error"].(map[string]any)["line"], m["error"].(map[string]any)["col"]})
	status, m, _ = r.do("POST", "/members/_search", `{"size":0,"aggs":{"t":{"terms":{"field":"town"}}}}`)
	require.Equal(t, 200, status)
	require.Empty(t, ids(m))
	require.Len(t, m["aggregations"].(map[string]any)["t"].(map[string]any)["buckets"], 3)
	_, m, _ = r.do("POST", "/members/_validate/query?explain=true", `{"query":{"wildcard":{}}}`)
	require.Equal(t, false, m["valid"])
	_, m, _ = r.do("GET", "/", "")
	require.Equal(t, "n0", m["name"])
	_, m, _ = r.do("GET", "/_cluster/health", "")
	require.Equal(t, "green", m["status"])
	_, m, _ = r.do("GET", "/_cat/indices", "")
	require.Contains(t, m["text"], "members open 8 full-match")
}

// Guards against a shutdown that drops open searches: a search that is open when the shutdown begins gets its answer, and new
// connections are refused.
func TestStop(t *testing.T) {
	r := start(t)
	release := make(chan struct{})
	for _, h := range r.hosts {
		h.SetHandler(func(p fake.ShardRequest) { go func() { <-release; r.replyCorrectly(p) }() })
	}
	got := make(chan int)
	go func() { s, _, _ := r.do("POST", "/members/_search", `{}`); got <- s }()
	require.Eventually(t, func() bool { return r.hosts[0].CountRequests()+r.hosts[4].CountRequests() > 0 }, 10*time.Second, time.Millisecond)
	r.stop()
	require.Eventually(t, func() bool {
		conn, err := net.Dial("tcp", strings.TrimPrefix(r.url, "http://"))
		if err == nil {
			conn.Close()
		}
		return err != nil
	}, 10*time.Second, 10*time.Millisecond)
	close(release)
	require.Equal(t, 200, <-got)
}

// searchNative sends a search of all blocks to the native frontend.
func (r *rig) searchNative(id, class, query string) (int, map[string]any) {
	var parts []string
	for b := range 8 {
		parts = append(parts, fmt.Sprintf(`{"range":%d,"portion":0.125}`, b))
	}
	text, _ := json.Marshal(query)
	req, err := http.NewRequest("POST", "http://"+r.nativeAddr+"/"+class, strings.NewReader(
		fmt.Sprintf(`{"ranges":[%s],"predicate":%s}`, strings.Join(parts, ","), text)))
	require.NoError(r.t, err)
	for name, v := range map[string]string{"X-Request-Id": id, "X-Class": class, "X-Tenant": "acme", "X-Deadline": "6.000"} {
		req.Header.Set(name, v)
	}
	res, err := r.client.Do(req)
	require.NoError(r.t, err)
	defer res.Body.Close()
	var m map[string]any
	require.NoError(r.t, json.NewDecoder(res.Body).Decode(&m))
	return res.StatusCode, m
}

// Guards against a faulty OpenSearch host spoiling answers: whatever it responds to a shard request, the block's other host
// completes the search.
func TestFaultySearchHosts(t *testing.T) {
	r := startWithHosts(t, true)
	edit := func(old, new string) func(http.ResponseWriter, *http.Request, []byte) {
		return func(w http.ResponseWriter, _ *http.Request, good []byte) {
			w.Write([]byte(strings.Replace(string(good), old, new, 1)))
		}
	}
	status := func(code int) func(http.ResponseWriter, *http.Request, []byte) {
		return func(w http.ResponseWriter, _ *http.Request, _ []byte) { http.Error(w, `{}`, code) }
	}
	body := `{"size":30,"sort":[{"age":{"order":"asc"}}],"track_total_hits":true}`
	text, _ := r.whole.Search([]byte(`{"size":30,"sort":[{"age":{"order":"asc"}},{"_id":{}}],"track_total_hits":true}`))
	var want map[string]any
	require.NoError(t, json.Unmarshal(text, &want))
	q, err := query.ParseRequest([]byte(body))
	require.NoError(t, err)
	for name, do := range map[string]func(http.ResponseWriter, *http.Request, []byte){
		"correct": nil,
		"another block": func(w http.ResponseWriter, req *http.Request, _ []byte) {
			var block int
			_, _ = fmt.Sscanf(req.URL.Query().Get("preference"), "_shards:%d", &block)
			text, _ := r.blocks[(block+4)%8].Search(q.ShardRequestBody())
			w.Write(text)
		},
		"429":               status(429),
		"503":               status(503),
		"500":               status(500),
		"404":               status(404),
		"timed out":         edit(`"timed_out":false`, `"timed_out":true`),
		"failed shard":      edit(`"failed":0`, `"failed":1`),
		"no shard searched": edit(`"total":1`, `"total":0`),
		"another index":     edit(`"_index":"members"`, `"_index":"others"`),
		"non-numeric score": edit(`"_score":1`, `"_score":"NaN"`),
		"cut off":           func(w http.ResponseWriter, _ *http.Request, good []byte) { w.Write(good[:len(good)/2]) },
		"unsorted":          edit(`"sort":[`, `"sort":[9999,`),
		"lying total":       edit(`"value":`, `"value":0,"was":`),
		"not JSON":          func(w http.ResponseWriter, _ *http.Request, _ []byte) { w.Write([]byte("hello")) },
		"hangs":             func(_ http.ResponseWriter, r *http.Request, _ []byte) { <-r.Context().Done() },
		"closes": func(w http.ResponseWriter, _ *http.Request, _ []byte) {
			conn, _, _ := w.(http.Hijacker).Hijack()
			conn.Close()
		},
		"noise": func(w http.ResponseWriter, _ *http.Request, _ []byte) {
			conn, _, _ := w.(http.Hijacker).Hijack()
			conn.Write([]byte("noise in place of an answer\r\n\r\n"))
			conn.Close()
		},
		"endless head": func(w http.ResponseWriter, _ *http.Request, _ []byte) {
			conn, _, _ := w.(http.Hijacker).Hijack()
			defer conn.Close()
			fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nLong: ")
			for line := strings.Repeat("a", 64<<10); ; {
				if _, err := io.WriteString(conn, line); err != nil {
					return // the coordinator has closed the connection
				}
			}
		},
		"many header fields": func(w http.ResponseWriter, _ *http.Request, good []byte) {
			for i := range 200 {
				w.Header().Set(fmt.Sprint("X-Field-", i), "1")
			}
			w.Write(good)
		},
		"two lengths": func(w http.ResponseWriter, _ *http.Request, good []byte) {
			conn, _, _ := w.(http.Hijacker).Hijack()
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(good), len(good), good)
			conn.Close()
		},
		"another request's response": func(w http.ResponseWriter, _ *http.Request, good []byte) {
			w.Header().Set("X-Opaque-Id", "os-n0-1-1.0")
			w.Write(good)
		},
		"second response": func(w http.ResponseWriter, _ *http.Request, good []byte) {
			conn, _, _ := w.(http.Hijacker).Hijack()
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%sHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}", len(good), good)
			conn.Close()
		},
		"trickles": func(w http.ResponseWriter, req *http.Request, good []byte) {
			for i := range good {
				w.Write(good[i : i+1])
				w.(http.Flusher).Flush()
				select {
				case <-time.After(50 * time.Millisecond):
				case <-req.Context().Done():
					return
				}
			}
		},
	} {
		r.searchHosts[0].SetHandler(do)
		for range 3 {
			code, m, _ := r.do("POST", "/members/_search", body)
			require.Equal(t, 200, code, "%s: %v", name, m)
			require.Equal(t, want["hits"].(map[string]any)["total"], m["hits"].(map[string]any)["total"], name)
			require.Equal(t, ids(want), ids(m), name)
		}
		code, m := r.searchNative(strings.ReplaceAll("native "+name, " ", "-"), "full-match", `{"size":3,"sort":[{"_id":{}}]}`)
		require.Equal(t, 200, code, name)
		require.Equal(t, true, m["total"])
		require.Len(t, m["answers"], 8)
	}
	// An abandoned attempt closes its connection, and the host detects that.
	r.searchHosts[0].SetHandler(func(_ http.ResponseWriter, req *http.Request, _ []byte) { <-req.Context().Done() })
	_, before := r.searchHosts[0].CountRequests()
	require.Eventually(t, func() bool {
		code, _, _ := r.do("POST", "/picks/_search", `{}`)
		_, left := r.searchHosts[0].CountRequests()
		return code == 200 && left > before
	}, 15*time.Second, 10*time.Millisecond)
}
