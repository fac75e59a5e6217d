package frontend

import (
	"bufio"
	"compress/gzip"
	"fmt"
	"io"
	"math"
	"net"
	"net/http/httptest"
	"regexp"
	"strings"
	"testing"
	"time"

	"chalkring/internal/golden"

	"github.com/stretchr/testify/require"

	"chalkring/control/residency"
	"chalkring/coordinator"
	"chalkring/internal/fake"
)

// volatile matches the parts of a response that differ from run to run: the date, the time taken, ports, start and running
// times. The golden files have # in their place. If anything in a body is replaced, so is its Content-Length.
var volatile = []*regexp.Regexp{
	regexp.MustCompile(`(\r\nDate: )[^\r]*()`), regexp.MustCompile(`("took":)\d+()`),
	regexp.MustCompile(`(127\.0\.0\.1:)\d+()`), regexp.MustCompile(`("start_time_in_millis":)\d+()`),
	regexp.MustCompile(`("running_time_in_nanos":)\d+()`),
}

var contentLength = regexp.MustCompile(`(\r\nContent-Length: )\d+`)

func normalised(text string) string {
	head, body, _ := strings.Cut(text, "\r\n\r\n")
	fixed := body
	for _, v := range volatile {
		head, fixed = v.ReplaceAllString(head, "${1}#${2}"), v.ReplaceAllString(fixed, "${1}#${2}")
	}
	if fixed != body {
		head = contentLength.ReplaceAllString(head, "${1}#")
	}
	return head + "\r\n\r\n" + fixed
}

// exchange sends a request on its own connection, which closes after the response, and appends the request and the response
// to the text of a golden file.
func (r *rig) exchange(out *strings.Builder, name, method, path, body string, head ...string) {
	conn, err := net.Dial("tcp", strings.TrimPrefix(r.url, "http://"))
	require.NoError(r.t, err)
	defer conn.Close()
	require.NoError(r.t, conn.SetDeadline(time.Now().Add(20*time.Second)))
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: x\r\nConnection: close\r\n", method, path)
	for _, line := range head {
		text += line + "\r\n"
	}
	_, err = fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n%s", text, len(body), body)
	require.NoError(r.t, err)
	response, err := io.ReadAll(bufio.NewReader(conn))
	require.NoError(r.t, err)
	if len(body) > 300 {
		body = "long"
	}
	fmt.Fprintf(out, "== %s\n> %s %s %s %q\n", name, method, path, strings.Join(head, ", "), body)
	for _, line := range strings.SplitAfter(normalised(string(response)), "\r\n") {
		if line != "" {
			fmt.Fprintf(out, "< %q\n", line)
		}
	}
}

func packed(t *testing.T, text string) string {
	var b strings.Builder
	z := gzip.NewWriter(&b)
	_, err := z.Write([]byte(text))
	require.NoError(t, err)
	require.NoError(t, z.Close())
	return b.String()
}

// Guards against unintended changes of the API's responses: each request gets exactly the bytes of the golden file.
func TestGoldenResponses(t *testing.T) {
	r := start(t)
	const sorted = `{"query":{"range":{"age":{"gte":60}}},"size":2,"sort":[{"age":"desc"},"town"],"track_total_hits":true}`
	var out strings.Builder
	for _, x := range []struct{ name, method, path, body, head string }{
		{"root", "GET", "/", "", ""},
		{"cluster health", "GET", "/_cluster/health", "", ""},
		{"indices", "GET", "/_cat/indices?v", "", ""},
		{"indices as JSON", "GET", "/_cat/indices?format=json", "", ""},
		{"shards", "GET", "/_cat/shards?v", "", ""},
		{"no tasks", "GET", "/_tasks", "", ""},
		{"search", "POST", "/members/_search", sorted, "X-Opaque-Id: caller-7"},
		{"search without hits", "GET", "/members/_search?size=0&track_total_hits=true", "{}", ""},
		{"search of one shard", "POST", "/members/_search?preference=_shards:3", `{"size":1,"_source":false}`, ""},
		{"aggregations", "POST", "/members/_search", `{"size":0,"aggs":{"towns":{"terms":{"field":"town"}},"mean":{"avg":{"field":"age"}}}}`, ""},
		{"count", "POST", "/members/_count", `{"query":{"term":{"town":"oslo"}}}`, ""},
		{"several searches", "POST", "/members/_msearch", "{}\n{\"size\":1}\n{\"index\":\"nowhere\"}\n{}\n{}\n{\"size\":-1}\n", ""},
		{"valid query", "POST", "/members/_validate/query", `{"query":{"match_all":{}}}`, ""},
		{"invalid query", "POST", "/members/_validate/query", `{"query":{"wildcard":{"a":"b"}}}`, ""},
		{"refused query", "POST", "/members/_search", `{"query":{"wildcard":{"a":"b"}}}`, ""},
		{"unknown index", "POST", "/nowhere/_search", `{}`, ""},
		{"no index", "POST", "/_search", `{}`, ""},
		{"wildcard", "POST", "/mem*/_search", `{}`, ""},
		{"unknown shard", "POST", "/members/_search?preference=_shards:9", `{}`, ""},
		{"unsupported preference", "POST", "/members/_search?preference=_local", `{}`, ""},
		{"unsupported parameter", "POST", "/members/_search?scroll=1m", `{}`, ""},
		{"unknown parameter", "POST", "/members/_search?sizes=1", `{}`, ""},
		{"method not allowed", "DELETE", "/members/_search", "", ""},
		{"no handler", "POST", "/members/_doc/1", "{}", ""},
		{"unknown task", "POST", "/_tasks/n0:999/_cancel", "", ""},
		{"odd number of lines", "POST", "/members/_msearch", "{}\n", ""},
		{"invalid gzip", "POST", "/members/_search", "{}", "Content-Encoding: gzip"},
		{"unsupported encoding", "POST", "/members/_search", "{}", "Content-Encoding: br"},
		{"body too long", "POST", "/members/_search", packed(t, strings.Repeat("x", maxBodyBytes+1)), "Content-Encoding: gzip"},
	} {
		var head []string
		if x.head != "" {
			head = append(head, x.head)
		}
		r.exchange(&out, x.name, x.method, x.path, x.body, head...)
	}
	golden.Require(t, "responses.golden", out.String())
}

// Guards against unintended changes of responses when hosts fail: a search that needs only some of the shards, a search of
// only those shards that answer, and a search whose hosts all fail get exactly the bytes of the golden file.
func TestGoldenPartialResponses(t *testing.T) {
	r := start(t)
	for _, i := range []int{0, 4} { // both hosts of two shards
		r.hosts[i].SetHandler(func(fake.ShardRequest) {})
	}
	var out strings.Builder
	const body = `{"size":0,"track_total_hits":true}`
	r.exchange(&out, "complete with some of the shards", "POST", "/picks/_search", body)
	r.exchange(&out, "only shards that answer", "POST", "/members/_search?preference=_shards:1,2", body)
	for _, h := range r.hosts {
		h.SetHandler(func(p fake.ShardRequest) { p.Reply("bad", "-", "") })
	}
	r.exchange(&out, "hosts that fail", "POST", "/members/_search", body)
	golden.Require(t, "partial_responses.golden", out.String())
}

// Guards against unintended changes of the 429 response, Retry-After included, to a search beyond the limit of open searches.
func TestGoldenTooManySearches(t *testing.T) {
	f := &Server{Indices: []Index{{Name: "members"}}, tasks: map[uint64]*task{}}
	for id := range uint64(maxOpenTasks) {
		f.tasks[id] = &task{id: id}
	}
	w := httptest.NewRecorder()
	f.ServeHTTP(w, httptest.NewRequest("POST", "/members/_search", strings.NewReader("{}")))
	var head strings.Builder
	require.NoError(t, w.Header().Write(&head))
	golden.Require(t, "too_many_searches.golden", fmt.Sprintf("%d\n%q\n%q\n", w.Code, head.String(), w.Body.String()))
}

// Guards against unintended changes of the task list, of the response to a cancel request and of the cancelled search's own
// response.
func TestGoldenTasks(t *testing.T) {
	r := start(t)
	for _, h := range r.hosts {
		h.SetHandler(func(fake.ShardRequest) {})
	}
	var out, search strings.Builder
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		r.exchange(&search, "the search", "POST", "/members/_search", "{}", "X-Opaque-Id: caller-7")
	}()
	require.Eventually(t, func() bool {
		_, m, _ := r.do("GET", "/_tasks", "")
		return len(m["nodes"].(map[string]any)["n0"].(map[string]any)["tasks"].(map[string]any)) == 1
	}, 20*time.Second, 5*time.Millisecond)
	r.exchange(&out, "tasks", "GET", "/_tasks", "")
	r.exchange(&out, "cancel", "POST", "/_tasks/n0:1/_cancel", "")
	<-ended
	golden.Require(t, "tasks.golden", out.String()+search.String())
}

// Guards against unintended changes of the response to a search that a contract refuses, and of errors that no request can
// cause reliably.
func TestGoldenRefusals(t *testing.T) {
	p, err := residency.ParsePolicy("contracts", []byte("generation: 1\ndefault: anywhere\ncontracts:\n- {tenant: scarce, zones: [moon]}"), residency.Site{})
	require.NoError(t, err)
	var registry residency.PolicyRegistry
	_, err = registry.AddPolicy(p)
	require.NoError(t, err)
	r := startWithOptions(t, false, nil, func(m *coordinator.Options) {
		m.Residency = coordinator.NewResidencyGuard(registry.Compile(math.MaxInt64), func() int64 { return time.Now().UnixMicro() / 100 })
	})
	var out strings.Builder
	r.exchange(&out, "contract", "POST", "/scarce/_search", "{}")
	refused := errorReply(429, "rejected_execution_exception", "there is no capacity for this search now")
	fmt.Fprintf(&out, "== no capacity\n< %d %q\n", refused.status, refused.body)
	plain := errorReplyOf(io.ErrUnexpectedEOF)
	fmt.Fprintf(&out, "== plain error\n< %d %q\n", plain.status, plain.body)
	golden.Require(t, "refusals.golden", out.String())
}
