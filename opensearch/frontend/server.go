// Package frontend serves the OpenSearch-style API: it turns the API's requests into searches of the coordinator and
// their results into the API's answers. Package query parses the requests and merges the shard responses; the coordinator
// chooses hosts, retries and sheds, so this package decides nothing about hosts. docs/opensearch.md has the table of what
// is supported.
package frontend

import (
	"compress/gzip"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"chalkring/coordinator"
	"chalkring/internal/httpserver"
	"chalkring/opensearch/query"
)

const (
	headTimeout               = 2500 * time.Millisecond // for reading a request's head, as on the native frontend
	bodyTimeout               = 5 * time.Second         // for reading a whole request, at most a msearch of 4 MiB
	idleTimeout               = 3 * time.Second         // after which an idle connection is closed
	maxBodyBytes              = 1 << 20                 // of a search's body, before and after decompression
	maxMultiSearchBytes       = 4 << 20                 // of a msearch's body
	maxMultiSearches          = 100                     // in one msearch
	defaultConcurrentSearches = 8                       // of one msearch, if the request sets no max_concurrent_searches
	maxConcurrentSearches     = 32                      // upper limit for max_concurrent_searches
	maxOpenTasks              = 4096                    // open searches; further ones are refused before they are dispatched
	minGzipBytes              = 1 << 10                 // smaller answers are sent uncompressed
	writeTimeout              = 5 * time.Second         // for writing an answer to the client
	minTimeout                = 10 * time.Millisecond   // shorter timeouts of a request are raised to this
	maxOpaqueIDBytes          = 256                     // longer X-Opaque-Id values are cut to this
	tagline                   = "chalkring: OpenSearch-style queries"
)

// Index is one index of the installation, with the search type, tenant and blocks that its searches have in the coordinator.
type Index struct {
	Name, SearchType, Tenant string
	Blocks                   []int
	Placement                *query.Placement // the rule that assigns documents to blocks; nil if it is another rule than OpenSearch's
}

// Server serves the API on a listener.
type Server struct {
	Listener  net.Listener
	TLSConfig *tls.Config // nil for plain HTTP
	Indices   []Index

	api      *coordinator.SearchAPI
	idPrefix string // of the searches' IDs; a new one at each start

	mu         sync.Mutex
	tasks      map[uint64]*task
	lastTaskID uint64
}

// task is one open search.
type task struct {
	id        uint64
	action    string
	opaqueID  string
	index     string
	startedAt time.Time
	cancel    context.CancelCauseFunc
}

var (
	errCancelled = errors.New("cancelled by a task request")
	errEnded     = errors.New("the search has ended")
)

// Serve implements coordinator.Frontend.
func (f *Server) Serve(ctx, stopping context.Context, api *coordinator.SearchAPI) error {
	f.api, f.idPrefix, f.tasks = api, fmt.Sprintf("os-%s-%d-", api.CoordinatorName, time.Now().UnixNano()), map[uint64]*task{}
	for _, x := range f.Indices {
		if err := api.ValidateTypeAndTenant(x.SearchType, x.Tenant); err != nil {
			f.Listener.Close()
			return fmt.Errorf("index %s: %w", x.Name, err)
		}
		for _, b := range x.Blocks {
			if b < 0 || b >= api.BlockCount() {
				f.Listener.Close()
				return fmt.Errorf("index %s: block %d does not exist, the number of blocks is %d", x.Name, b, api.BlockCount())
			}
		}
	}
	server := httpserver.Server{
		Handler: f, TLSConfig: f.TLSConfig, MaxConnections: api.MaxConnections, HeadTimeout: headTimeout, RequestTimeout: bodyTimeout,
		IdleTimeout: idleTimeout, WriteTimeout: writeTimeout, BodyLimit: bodyLimit, WriteError: writeError, LogEvent: api.LogEvent,
	}
	return server.Serve(ctx, stopping, f.Listener)
}

// bodyLimit returns how many bytes the body of a request for a path may have.
func bodyLimit(path string) int {
	if strings.HasSuffix(strings.TrimRight(path, "/"), "/_msearch") {
		return maxMultiSearchBytes
	}
	return maxBodyBytes
}

// writeError writes the response to a request that cannot be read, or whose handler has panicked.
func writeError(w http.ResponseWriter, status int, message string) {
	kind := "parse_exception"
	switch status {
	case http.StatusInternalServerError:
		kind = "exception"
	case http.StatusRequestTimeout:
		kind = "timeout_exception"
	case http.StatusRequestEntityTooLarge, http.StatusRequestHeaderFieldsTooLarge:
		kind = "illegal_argument_exception"
	}
	errorReply(status, kind, "%s", message).write(w, false)
}

// reply is an HTTP response that is yet to be written.
type reply struct {
	status     int
	body       []byte
	retryAfter time.Duration // Retry-After header; 0 for none
	plainText  bool
}

func errorReply(status int, kind, format string, v ...any) reply {
	e := &query.APIError{Status: status, Type: kind, Reason: fmt.Sprintf(format, v...)}
	return reply{status: status, body: e.ResponseBody()}
}

func errorReplyOf(err error) reply {
	var e *query.APIError
	if errors.As(err, &e) {
		return reply{status: e.Status, body: e.ResponseBody()}
	}
	return errorReply(400, "illegal_argument_exception", "%v", err)
}

// ServeHTTP answers one request.
func (f *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if opaque := r.Header.Get("X-Opaque-Id"); opaque != "" {
		w.Header().Set("X-Opaque-Id", opaque[:min(len(opaque), maxOpaqueIDBytes)])
	}
	f.route(r).write(w, strings.Contains(r.Header.Get("Accept-Encoding"), "gzip"))
}

// write writes a reply, compressed if the client allows it and it is long.
func (out reply) write(w http.ResponseWriter, allowGzip bool) {
	h := w.Header()
	if h.Set("Content-Type", "application/json; charset=UTF-8"); out.plainText {
		h.Set("Content-Type", "text/plain; charset=UTF-8")
	}
	if out.retryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(out.retryAfter.Seconds())))) // HTTP clients expect whole seconds
	}
	if allowGzip && len(out.body) >= minGzipBytes {
		h.Set("Content-Encoding", "gzip")
		w.WriteHeader(out.status)
		z := gzip.NewWriter(w)
		z.Write(out.body)
		z.Close()
		return
	}
	h.Set("Content-Length", strconv.Itoa(len(out.body)))
	w.WriteHeader(out.status)
	w.Write(out.body)
}

// route dispatches a request by its path and method.
func (f *Server) route(r *http.Request) reply {
	path := strings.Split(strings.Trim(r.URL.Path, "/"), "/")
	getOrHead, post := r.Method == http.MethodGet || r.Method == http.MethodHead, r.Method == http.MethodPost
	index := ""
	if len(path) > 1 && !strings.HasPrefix(path[0], "_") {
		index, path = path[0], path[1:]
	}
	apiPath := strings.Join(path, "/")
	allow := func(ok bool, do func() reply) reply {
		if !ok {
			return errorReply(405, "method_not_allowed", "method [%s] is not allowed for [%s]", r.Method, r.URL.Path)
		}
		return do()
	}
	switch {
	case apiPath == "" && index == "":
		return allow(getOrHead, f.root)
	case apiPath == "_search":
		return allow(getOrHead || post, func() reply { return f.search(r, index, false) })
	case apiPath == "_count":
		return allow(getOrHead || post, func() reply { return f.search(r, index, true) })
	case apiPath == "_msearch":
		return allow(getOrHead || post, func() reply { return f.multiSearch(r, index) })
	case apiPath == "_validate/query":
		return allow(getOrHead || post, func() reply { return f.validate(r, index) })
	case apiPath == "_cluster/health" && index == "":
		return allow(getOrHead, f.health)
	case apiPath == "_cat/shards" && index == "":
		return allow(getOrHead, func() reply { return f.catShards(r) })
	case apiPath == "_cat/indices" && index == "":
		return allow(getOrHead, func() reply { return f.catIndices(r) })
	case apiPath == "_tasks" && index == "":
		return allow(getOrHead, f.listTasks)
	case len(path) == 3 && path[0] == "_tasks" && path[2] == "_cancel":
		return allow(post, func() reply { return f.cancelTask(path[1]) })
	}
	return errorReply(400, "illegal_argument_exception", "no handler found for uri [%.200s] and method [%s]", r.URL.Path, r.Method)
}

// readBody reads a request's body and decompresses it. The limit applies before and after decompression, so that a small
// body cannot decompress to a huge one.
func readBody(r *http.Request, limit int64) ([]byte, error) {
	var in io.Reader = http.MaxBytesReader(nil, r.Body, limit)
	switch encoding := r.Header.Get("Content-Encoding"); encoding {
	case "", "identity":
	case "gzip":
		z, err := gzip.NewReader(in)
		if err != nil {
			return nil, &query.APIError{Status: 400, Type: "parse_exception", Reason: "Content-Encoding is gzip, but the body is not valid gzip"}
		}
		in = z
	default:
		return nil, &query.APIError{Status: 415, Type: "illegal_argument_exception", Reason: fmt.Sprintf("Content-Encoding [%.40s] is not supported: expected gzip or identity", encoding)}
	}
	text, err := io.ReadAll(io.LimitReader(in, limit+1))
	var tooLarge *http.MaxBytesError
	var netErr net.Error
	switch {
	case errors.As(err, &tooLarge) || int64(len(text)) > limit:
		return nil, &query.APIError{Status: 413, Type: "illegal_argument_exception", Reason: fmt.Sprintf("the body is longer than %d bytes", limit)}
	case errors.As(err, &netErr) && netErr.Timeout():
		return nil, &query.APIError{Status: 408, Type: "timeout_exception", Reason: "the body did not arrive in time"}
	case err != nil:
		return nil, &query.APIError{Status: 400, Type: "parse_exception", Reason: "the body cannot be read"}
	}
	return text, nil
}

// findIndex returns the index with this name. Without a name, or with _all or *, it returns the installation's only index,
// and an error if there are several.
func (f *Server) findIndex(name string) (Index, error) {
	if name == "" || name == "_all" || name == "*" {
		if len(f.Indices) == 1 {
			return f.Indices[0], nil
		}
		return Index{}, &query.APIError{
			Status: 400, Type: "illegal_argument_exception",
			Reason: "a search over several indices is part of the API but not supported here: name one index",
		}
	}
	if strings.ContainsAny(name, ",*") {
		return Index{}, &query.APIError{
			Status: 400, Type: "illegal_argument_exception",
			Reason: fmt.Sprintf("index [%.100s]: lists and wildcards are part of the API but not supported here", name),
		}
	}
	i := slices.IndexFunc(f.Indices, func(x Index) bool { return x.Name == name })
	if i < 0 {
		return Index{}, indexNotFound(name, "no such index [%.100s]", name)
	}
	return f.Indices[i], nil
}

func indexNotFound(index, format string, v ...any) error {
	return &query.APIError{Status: 404, Type: "index_not_found_exception", Reason: fmt.Sprintf(format, v...)}
}

// openTask registers a search. The returned context also ends when a _tasks request cancels the search.
func (f *Server) openTask(ctx context.Context, action, opaque, index string) (context.Context, *task, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.tasks) >= maxOpenTasks {
		return nil, nil, &query.APIError{Status: 429, Type: "rejected_execution_exception", Reason: "too many searches are open"}
	}
	f.lastTaskID++
	ctx, cancel := context.WithCancelCause(ctx)
	t := &task{id: f.lastTaskID, action: action, opaqueID: opaque[:min(len(opaque), maxOpaqueIDBytes)], index: index, startedAt: time.Now(), cancel: cancel}
	f.tasks[t.id] = t
	return ctx, t, nil
}

func (f *Server) closeTask(t *task) {
	f.mu.Lock()
	defer f.mu.Unlock()
	t.cancel(errEnded)
	delete(f.tasks, t.id)
}

func jsonReply(v any) reply {
	text, _ := json.Marshal(v)
	return reply{status: 200, body: text}
}

func (f *Server) root() reply {
	return jsonReply(map[string]any{
		"name": f.api.CoordinatorName, "cluster_name": "chalkring", "tagline": tagline,
		"version": map[string]any{"distribution": "chalkring", "number": "2.0.0", "minimum_wire_compatibility_version": "2.0.0"},
	})
}

// health reports green if each block of each index has at least two hosts, yellow if one has a single host, and red if one
// has none.
func (f *Server) health() reply {
	status, active, unassigned := "green", 0, 0
	for _, x := range f.Indices {
		for _, b := range x.Blocks {
			switch names, _ := f.api.BlockHosts(b); len(names) {
			case 0:
				status, unassigned = "red", unassigned+1
			case 1:
				if active++; status == "green" {
					status = "yellow"
				}
			default:
				active++
			}
		}
	}
	return jsonReply(map[string]any{
		"cluster_name": "chalkring", "status": status, "timed_out": false,
		"number_of_nodes": f.api.HostCount(), "number_of_data_nodes": f.api.HostCount(), "active_primary_shards": active,
		"active_shards": active, "relocating_shards": 0, "initializing_shards": 0, "unassigned_shards": unassigned,
	})
}

// catReply answers a _cat request with lines of text, or with JSON for format=json.
func catReply(r *http.Request, names []string, rows [][]string) reply {
	if r.URL.Query().Get("format") == "json" {
		all := []map[string]string{}
		for _, row := range rows {
			m := map[string]string{}
			for i, name := range names {
				m[name] = row[i]
			}
			all = append(all, m)
		}
		return jsonReply(all)
	}
	var b strings.Builder
	if r.URL.Query().Has("v") {
		fmt.Fprintln(&b, strings.Join(names, " "))
	}
	for _, row := range rows {
		fmt.Fprintln(&b, strings.Join(row, " "))
	}
	return reply{status: 200, body: []byte(b.String()), plainText: true}
}

func (f *Server) catShards(r *http.Request) reply {
	var rows [][]string
	for _, x := range f.Indices {
		for _, b := range x.Blocks {
			names, addrs := f.api.BlockHosts(b)
			if len(names) == 0 {
				rows = append(rows, []string{x.Name, strconv.Itoa(b), "p", "UNASSIGNED", "-", "-"})
			}
			for i, name := range names {
				rows = append(rows, []string{x.Name, strconv.Itoa(b), map[bool]string{true: "p", false: "r"}[i == 0], "STARTED", addrs[i], name})
			}
		}
	}
	return catReply(r, []string{"index", "shard", "prirep", "state", "ip", "node"}, rows)
}

func (f *Server) catIndices(r *http.Request) reply {
	var rows [][]string
	for _, x := range f.Indices {
		rows = append(rows, []string{x.Name, "open", strconv.Itoa(len(x.Blocks)), x.SearchType})
	}
	return catReply(r, []string{"index", "status", "pri", "type"}, rows)
}

func (f *Server) listTasks() reply {
	f.mu.Lock()
	defer f.mu.Unlock()
	all := map[string]any{}
	for id, t := range f.tasks {
		headers := map[string]string{}
		if t.opaqueID != "" {
			headers["X-Opaque-Id"] = t.opaqueID
		}
		all[fmt.Sprintf("%s:%d", f.api.CoordinatorName, id)] = map[string]any{
			"node": f.api.CoordinatorName, "id": id, "action": t.action,
			"description": "indices[" + t.index + "]", "cancellable": true, "headers": headers,
			"start_time_in_millis": t.startedAt.UnixMilli(), "running_time_in_nanos": time.Since(t.startedAt).Nanoseconds(),
		}
	}
	return jsonReply(map[string]any{"nodes": map[string]any{f.api.CoordinatorName: map[string]any{"name": f.api.CoordinatorName, "tasks": all}}})
}

func (f *Server) cancelTask(name string) reply {
	node, number, _ := strings.Cut(name, ":")
	id, err := strconv.ParseUint(number, 10, 64)
	f.mu.Lock()
	defer f.mu.Unlock()
	t := f.tasks[id]
	if err != nil || node != f.api.CoordinatorName || t == nil {
		return errorReply(404, "resource_not_found_exception", "task [%.100s] is not open", name)
	}
	t.cancel(errCancelled)
	return jsonReply(map[string]any{"nodes": map[string]any{f.api.CoordinatorName: map[string]any{
		"name":  f.api.CoordinatorName,
		"tasks": map[string]any{name: map[string]any{"node": f.api.CoordinatorName, "id": id, "action": t.action, "cancelled": true}},
	}}})
}

// LoadTLS reads a listener's certificate and key files. If authorities names a file, clients must present a
// certificate issued by one of the authorities in it.
func LoadTLS(certificate, key, authorities string) (*tls.Config, error) {
	pair, err := tls.LoadX509KeyPair(certificate, key)
	if err != nil {
		return nil, fmt.Errorf("certificate %s with key %s: %w", certificate, key, err)
	}
	conf := &tls.Config{MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{pair}}
	if authorities == "" {
		return conf, nil
	}
	text, err := os.ReadFile(authorities)
	if err != nil {
		return nil, err
	}
	conf.ClientCAs, conf.ClientAuth = x509.NewCertPool(), tls.RequireAndVerifyClientCert
	if !conf.ClientCAs.AppendCertsFromPEM(text) {
		return nil, fmt.Errorf("authorities %s: the file has no PEM certificate", authorities)
	}
	return conf, nil
}
