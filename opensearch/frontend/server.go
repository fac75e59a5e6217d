// Package frontend serves the OpenSearch-style API: it turns the API's requests into searches of the coordinator and
// their results into the API's answers. Package query parses the requests and merges the shard responses; the coordinator
// chooses hosts, retries and sheds, so this package decides nothing about hosts. docs/opensearch.md has the table of what
// is supported.
package frontend

import (
	"compress/gzip"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
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
	stopGrace                 = 50 * time.Millisecond   // during a stop, for a further request that is already on its way
	maxBodyBytes              = 1 << 20                 // of a search's body, before and after decompression
	maxMultiSearchBytes       = 4 << 20                 // of a msearch's body
	maxMultiSearches          = 100                     // in one msearch
	defaultConcurrentSearches = 8                       // of one msearch, if the request sets no max_concurrent_searches
	maxConcurrentSearches     = 32                      // upper limit for max_concurrent_searches
	maxOpenTasks              = 4096                    // open searches; further ones are refused before they are dispatched
	minGzipBytes              = 1 << 10                 // smaller answers are sent uncompressed
	writeTimeout              = 5 * time.Second         // for writing an answer to the client
	retryAfterFullMemory      = time.Second             // told to clients whose requests found no memory
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
		IdleTimeout: idleTimeout, StopGrace: stopGrace, WriteTimeout: writeTimeout, BodyLimit: bodyLimit, WriteError: f.writeError, LogEvent: api.LogEvent,
		NewHolding: func() httpserver.Holding { return api.NewRequestHolding() },
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

// ServeHTTP answers one request.
func (f *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if opaque := r.Header.Get("X-Opaque-Id"); opaque != "" {
		w.Header().Set("X-Opaque-Id", opaque[:min(len(opaque), maxOpaqueIDBytes)])
	}
	f.route(r).write(w, strings.Contains(r.Header.Get("Accept-Encoding"), "gzip"))
}

// apiHandler answers the requests for one path of the API.
type apiHandler struct {
	allowsIndex bool // the path may follow an index
	allowsPost  bool // beside GET and HEAD
	handle      func(f *Server, r *http.Request, index string) reply
}

// apiHandlers are the handlers by path, without the index before it.
var apiHandlers = map[string]apiHandler{
	"":                {handle: func(f *Server, _ *http.Request, _ string) reply { return f.root() }},
	"_search":         {true, true, func(f *Server, r *http.Request, index string) reply { return f.search(r, index, false) }},
	"_count":          {true, true, func(f *Server, r *http.Request, index string) reply { return f.search(r, index, true) }},
	"_msearch":        {true, true, (*Server).multiSearch},
	"_validate/query": {true, true, (*Server).validate},
	"_cluster/health": {handle: func(f *Server, _ *http.Request, _ string) reply { return f.health() }},
	"_cat/shards":     {handle: func(f *Server, r *http.Request, _ string) reply { return f.catShards(r) }},
	"_cat/indices":    {handle: func(f *Server, r *http.Request, _ string) reply { return f.catIndices(r) }},
	"_tasks":          {handle: func(f *Server, _ *http.Request, _ string) reply { return f.listTasks() }},
}

// route dispatches a request by its path and method.
func (f *Server) route(r *http.Request) reply {
	path := strings.Split(strings.Trim(r.URL.Path, "/"), "/")
	isPost := r.Method == http.MethodPost
	index := ""
	if len(path) > 1 && !strings.HasPrefix(path[0], "_") {
		index, path = path[0], path[1:]
	}
	if len(path) == 3 && path[0] == "_tasks" && path[2] == "_cancel" {
		if !isPost {
			return methodNotAllowed(r)
		}
		return f.cancelTask(path[1])
	}
	handler, isKnown := apiHandlers[strings.Join(path, "/")]
	if !isKnown || index != "" && !handler.allowsIndex {
		return errorReply(400, "illegal_argument_exception", "no handler found for uri [%.200s] and method [%s]", r.URL.Path, r.Method)
	}
	isAllowed := r.Method == http.MethodGet || r.Method == http.MethodHead || isPost && handler.allowsPost
	if !isAllowed {
		return methodNotAllowed(r)
	}
	return handler.handle(f, r, index)
}

func methodNotAllowed(r *http.Request) reply {
	return errorReply(405, "method_not_allowed", "method [%s] is not allowed for [%s]", r.Method, r.URL.Path)
}

// readAllFactor is how many times the length of a text io.ReadAll takes at most, since it copies the text as it grows.
const readAllFactor = 2

// reservingReader reserves the memory for what io.ReadAll reads from it.
type reservingReader struct {
	ctx    context.Context // of the request
	source io.Reader
}

func (r reservingReader) Read(p []byte) (int, error) {
	n, err := r.source.Read(p)
	if reserveErr := httpserver.ReserveMemory(r.ctx, readAllFactor*n); reserveErr != nil {
		return 0, reserveErr
	}
	return n, err
}

// readBody reads a request's body and decompresses it. The limit applies before and after decompression, so that a small
// body cannot decompress to a huge one.
func readBody(r *http.Request, limit int64) ([]byte, error) {
	var in io.Reader = http.MaxBytesReader(nil, r.Body, limit)
	switch encoding := r.Header.Get("Content-Encoding"); encoding {
	case "", "identity":
		if text, isReceived := httpserver.ReceivedBody(r); isReceived && int64(len(text)) <= limit {
			return text, nil
		}
	case "gzip":
		z, err := gzip.NewReader(in)
		if err != nil {
			return nil, &query.APIError{Status: 400, Type: "parse_exception", Reason: "Content-Encoding is gzip, but the body is not valid gzip"}
		}
		in = z
	default:
		return nil, &query.APIError{Status: 415, Type: "illegal_argument_exception", Reason: fmt.Sprintf("Content-Encoding [%.40s] is not supported: expected gzip or identity", encoding)}
	}
	text, err := io.ReadAll(reservingReader{r.Context(), io.LimitReader(in, limit+1)})
	var tooLarge *http.MaxBytesError
	var netErr net.Error
	switch {
	case errors.As(err, &tooLarge) || int64(len(text)) > limit:
		return nil, &query.APIError{Status: 413, Type: "illegal_argument_exception", Reason: fmt.Sprintf("the body is longer than %d bytes", limit)}
	case errors.Is(err, httpserver.ErrNoMemory):
		return nil, &query.APIError{Status: 429, Type: "rejected_execution_exception", Reason: err.Error()}
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
