package main

import (
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"sync"
	"testing"

	"chalkring/internal/golden"

	"github.com/stretchr/testify/require"
)

const (
	openSearchAnswer = `{"took":3,"timed_out":false,"_shards":{"total":3,"successful":2,"skipped":0,"failed":1,
"failures":[{"shard":2,"index":"books","reason":{"type":"timed_out","reason":"no answer in time"}}]},
"hits":{"total":{"value":12,"relation":"gte"},"max_score":1.25,"hits":[
{"_index":"books","_id":"a","_score":1.25,"_source":{"title":"x"}},{"_index":"books","_id":"b","_score":null,"_source":{"title":"y"}}]},
"aggregations":{"n":{"value":2}}}`
	openSearchError = `{"error":{"type":"circuit_breaking_exception","reason":"too many searches"},"status":429}`
	ownAnswer       = `{"total":true,"answers":[{"range":0,"blob":"what@0"},{"range":1,"blob":"what@1"}]}`
)

// searchServer answers each search with a status and a body, and writes down what it was sent.
type searchServer struct {
	mu       sync.Mutex
	requests strings.Builder
}

func (s *searchServer) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	body, _ := io.ReadAll(req.Body)
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(&s.requests, "%s %s\n", req.Method, req.RequestURI)
	for _, name := range slices.Sorted(maps.Keys(req.Header)) {
		switch name {
		case "Accept-Encoding", "User-Agent", "Content-Length":
		case "X-Request-Id":
			fmt.Fprintf(&s.requests, "  %s: %d characters\n", name, len(req.Header.Get(name)))
		default:
			fmt.Fprintf(&s.requests, "  %s: %s\n", name, req.Header.Get(name))
		}
	}
	fmt.Fprintf(&s.requests, "  body: %s\n", body)
	switch {
	case strings.HasPrefix(req.URL.Path, "/busy"):
		w.Header().Set("Retry-After", "2")
		w.WriteHeader(http.StatusTooManyRequests)
		io.WriteString(w, openSearchError)
	case strings.HasPrefix(req.URL.Path, "/other"):
		io.WriteString(w, "no JSON")
	case strings.HasSuffix(req.URL.Path, "/_search"):
		io.WriteString(w, openSearchAnswer)
	default:
		io.WriteString(w, ownAnswer)
	}
}

// The requests that `chalkring search` sends to both frontends, and how it shows their answers.
func TestGoldenSearch(t *testing.T) {
	s := &searchServer{}
	server := httptest.NewServer(s)
	defer server.Close()
	dir := t.TempDir()
	require.NoError(t, os.WriteFile(filepath.Join(dir, "body.json"), []byte(`{"query":{"match_all":{}}}`), 0o600))
	address := strings.TrimPrefix(server.URL, "http://")
	var out strings.Builder
	for _, args := range [][]string{
		{"--index=books"},
		{"--index=books", `--query={"term":{"a":1}}`, "--size=3", "--wait=1500ms", "--blocks=0,2"},
		{"--index=books", "--file=body.json"},
		{"--index=books", "--json"},
		{"--index=busy"},
		{"--index=other"},
		{"--type=full", "--partner=acme", "--blocks=0,1,2"},
		{"--type=full", "--blocks=1", "--file=body.json", "--json"},
		{"--type=busy", "--blocks=1"},
		{"--type=full"},
		{"--index=books", "--query={"},
		{},
	} {
		command(t, &out, dir, nil, append([]string{"search", "--address=" + address}, args...)...)
	}
	text := strings.ReplaceAll(out.String(), address, "ADDRESS")
	text = regexp.MustCompile(` in [0-9.]+[mµn]?s`).ReplaceAllString(text, " in TIME")
	golden.Require(t, "search.golden", text)
	golden.Require(t, "search_requests.golden", s.requests.String())
}

// The table of `chalkring peers`, with a peer that is not there.
func TestGoldenPeers(t *testing.T) {
	dir := t.TempDir()
	for name, text := range map[string]string{
		"none.yaml": "log: {format: json}\n",
		"one.yaml":  "peers:\n  name: a\n  ask: [{name: b, address: '127.0.0.1:1'}]\n",
	} {
		require.NoError(t, os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600))
	}
	var out strings.Builder
	command(t, &out, dir, nil, "peers", "--installation=none.yaml")
	command(t, &out, dir, nil, "peers", "--installation=one.yaml")
	golden.Require(t, "peers.golden", out.String())
}
