// Package frontend is the OpenSearch-style way in for clients: it turns the API's requests into searches for the
// owner and their results into the API's answers. It decides nothing about hosts: package query reads and merges, the
// module behind the door picks, repeats and sheds. docs/opensearch.md has the table of what is done.
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

	"golang.org/x/net/netutil"
	"golang.org/x/sync/errgroup"

	"chalkring/coordinator"
	"chalkring/opensearch/query"
)

const (
	headTime     = 2500 * time.Millisecond // for a request's head to come: as on the own front
	bodyTime     = 5 * time.Second         // for a whole request: a msearch of 4 MiB
	idleTime     = 3 * time.Second         // a connection at rest is closed
	headMost     = 8 << 10                 // bytes of a head
	bodyMost     = 1 << 20                 // bytes of a search, unpacked too
	multiMost    = 4 << 20                 // bytes of a msearch
	searchesMost = 100                     // searches of a msearch
	atOnceUsual  = 8                       // of them at once, where the request does not say
	atOnceMost   = 32                      // and at the most
	tasksMost    = 4096                    // searches that are open: more are refused before they are read
	packLeast    = 1 << 10                 // bytes of an answer worth packing
	answerStall  = 5 * time.Second         // for a client to take its answer
	partLong     = 10 * time.Millisecond   // shortest patience that a search is taken with
	opaqueMost   = 256                     // bytes of an X-Opaque-Id that are kept
	productWords = "chalkring: OpenSearch-style queries"
)

// Index is one index of the installation: what its searches are to the module.
type Index struct {
	Name, SearchType, Tenant string
	Blocks                   []int
	Placement                *query.Placement // the rule by which members are in them, nil where it is not the API's
}

// Server serves the API on a listener.
type Server struct {
	Listener  net.Listener
	TLSConfig *tls.Config // nil for plain HTTP
	Indices   []Index

	d      *coordinator.SearchAPI
	prefix string // of its searches' names: no other start has the same

	mu    sync.Mutex
	tasks map[uint64]*task
	last  uint64
}

// task is one open search.
type task struct {
	id     uint64
	action string
	opaque string
	index  string
	began  time.Time
	stop   context.CancelCauseFunc
}

var (
	errCancelled = errors.New("cancelled by a task request")
	errLeft      = errors.New("the client has left")
)

// Serve implements coordinator.Frontend.
func (f *Server) Serve(ctx, stopping context.Context, d *coordinator.SearchAPI) error {
	f.d, f.prefix, f.tasks = d, fmt.Sprintf("os-%s-%d-", d.CoordinatorName, time.Now().UnixNano()), map[uint64]*task{}
	for _, x := range f.Indices {
		if err := d.ValidateTypeAndTenant(x.SearchType, x.Tenant); err != nil {
			f.Listener.Close()
			return fmt.Errorf("index %s: %w", x.Name, err)
		}
		for _, b := range x.Blocks {
			if b < 0 || b >= d.BlockCount() {
				f.Listener.Close()
				return fmt.Errorf("index %s: there is no block %d, %d are known", x.Name, b, d.BlockCount())
			}
		}
	}
	s := &http.Server{
		Handler: f, ReadHeaderTimeout: headTime, ReadTimeout: bodyTime, IdleTimeout: idleTime,
		MaxHeaderBytes: headMost, TLSConfig: f.TLSConfig, ErrorLog: nil, BaseContext: func(net.Listener) context.Context { return ctx },
	}
	ln := netutil.LimitListener(f.Listener, d.MaxConnections)
	if f.TLSConfig != nil {
		ln = tls.NewListener(ln, f.TLSConfig)
	}
	var g errgroup.Group
	g.Go(func() error {
		<-stopping.Done()
		if s.Shutdown(ctx) != nil { // ctx ended first
			s.Close()
		}
		return nil
	})
	err := s.Serve(ln)
	if !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return g.Wait()
}

// reply is an answer on its way.
type reply struct {
	status int
	body   []byte
	wait   time.Duration // Retry-After, 0 for none
	text   bool
}

func fault(status int, kind, format string, v ...any) reply {
	e := &query.APIError{Status: status, Type: kind, Reason: fmt.Sprintf(format, v...)}
	return reply{status: status, body: e.ResponseBody()}
}

func faultOf(err error) reply {
	var e *query.APIError
	if errors.As(err, &e) {
		return reply{status: e.Status, body: e.ResponseBody()}
	}
	return fault(400, "illegal_argument_exception", "%v", err)
}

// ServeHTTP answers one request.
func (f *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if opaque := r.Header.Get("X-Opaque-Id"); opaque != "" {
		w.Header().Set("X-Opaque-Id", opaque[:min(len(opaque), opaqueMost)])
	}
	out := f.route(r)
	http.NewResponseController(w).SetWriteDeadline(time.Now().Add(answerStall))
	h := w.Header()
	if h.Set("Content-Type", "application/json; charset=UTF-8"); out.text {
		h.Set("Content-Type", "text/plain; charset=UTF-8")
	}
	if out.wait > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(out.wait.Seconds())))) // whole seconds: what HTTP's clients read
	}
	if len(out.body) >= packLeast && strings.Contains(r.Header.Get("Accept-Encoding"), "gzip") {
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

// route finds what a request asks for.
func (f *Server) route(r *http.Request) reply {
	path := strings.Split(strings.Trim(r.URL.Path, "/"), "/")
	get, post := r.Method == http.MethodGet || r.Method == http.MethodHead, r.Method == http.MethodPost
	index := ""
	if len(path) > 1 && !strings.HasPrefix(path[0], "_") {
		index, path = path[0], path[1:]
	}
	where := strings.Join(path, "/")
	allow := func(ok bool, do func() reply) reply {
		if !ok {
			return fault(405, "method_not_allowed", "method [%s] is not allowed for [%s]", r.Method, r.URL.Path)
		}
		return do()
	}
	switch {
	case where == "" && index == "":
		return allow(get, f.root)
	case where == "_search":
		return allow(get || post, func() reply { return f.search(r, index, false) })
	case where == "_count":
		return allow(get || post, func() reply { return f.search(r, index, true) })
	case where == "_msearch":
		return allow(get || post, func() reply { return f.multi(r, index) })
	case where == "_validate/query":
		return allow(get || post, func() reply { return f.validate(r, index) })
	case where == "_cluster/health" && index == "":
		return allow(get, f.health)
	case where == "_cat/shards" && index == "":
		return allow(get, func() reply { return f.catShards(r) })
	case where == "_cat/indices" && index == "":
		return allow(get, func() reply { return f.catIndices(r) })
	case where == "_tasks" && index == "":
		return allow(get, f.listTasks)
	case len(path) == 3 && path[0] == "_tasks" && path[2] == "_cancel":
		return allow(post, func() reply { return f.cancelTask(path[1]) })
	}
	return fault(400, "illegal_argument_exception", "no handler found for uri [%.200s] and method [%s]", r.URL.Path, r.Method)
}

// body reads a request's body, unpacked. Guards against one that grows without end when it is unpacked.
func body(r *http.Request, most int64) ([]byte, error) {
	var in io.Reader = http.MaxBytesReader(nil, r.Body, most)
	switch packed := r.Header.Get("Content-Encoding"); packed {
	case "", "identity":
	case "gzip":
		z, err := gzip.NewReader(in)
		if err != nil {
			return nil, &query.APIError{Status: 400, Type: "parse_exception", Reason: "the body is no gzip"}
		}
		in = z
	default:
		return nil, &query.APIError{Status: 415, Type: "illegal_argument_exception", Reason: fmt.Sprintf("Content-Encoding [%.40s]", packed)}
	}
	text, err := io.ReadAll(io.LimitReader(in, most+1))
	var large *http.MaxBytesError
	var late net.Error
	switch {
	case errors.As(err, &large) || int64(len(text)) > most:
		return nil, &query.APIError{Status: 413, Type: "illegal_argument_exception", Reason: fmt.Sprintf("a body of over %d bytes", most)}
	case errors.As(err, &late) && late.Timeout():
		return nil, &query.APIError{Status: 408, Type: "timeout_exception", Reason: "the body did not come in time"}
	case err != nil:
		return nil, &query.APIError{Status: 400, Type: "parse_exception", Reason: "the body cannot be read"}
	}
	return text, nil
}

// find gives the index of a name, the only one where none is named. A block that no listed host holds ends a search
// before anything is sent.
func (f *Server) find(name string) (Index, error) {
	if name == "" || name == "_all" || name == "*" {
		if len(f.Indices) == 1 {
			return f.Indices[0], nil
		}
		return Index{}, &query.APIError{
			Status: 400, Type: "illegal_argument_exception",
			Reason: "a search over several indices is known to the API and not done here: name one",
		}
	}
	if strings.ContainsAny(name, ",*") {
		return Index{}, &query.APIError{
			Status: 400, Type: "illegal_argument_exception",
			Reason: fmt.Sprintf("index [%.100s]: lists and wildcards are known to the API and not done here", name),
		}
	}
	i := slices.IndexFunc(f.Indices, func(x Index) bool { return x.Name == name })
	if i < 0 {
		return Index{}, notFound(name, "no such index [%.100s]", name)
	}
	return f.Indices[i], nil
}

func notFound(index, format string, v ...any) error {
	return &query.APIError{Status: 404, Type: "index_not_found_exception", Reason: fmt.Sprintf(format, v...)}
}

// open registers a search; its context ends by a task request too.
func (f *Server) open(ctx context.Context, action, opaque, index string) (context.Context, *task, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.tasks) >= tasksMost {
		return nil, nil, &query.APIError{Status: 429, Type: "rejected_execution_exception", Reason: "too many searches are open"}
	}
	f.last++
	ctx, stop := context.WithCancelCause(ctx)
	t := &task{id: f.last, action: action, opaque: opaque[:min(len(opaque), opaqueMost)], index: index, began: time.Now(), stop: stop}
	f.tasks[t.id] = t
	return ctx, t, nil
}

func (f *Server) close(t *task) {
	f.mu.Lock()
	defer f.mu.Unlock()
	t.stop(errLeft)
	delete(f.tasks, t.id)
}

func encoded(v any) reply {
	text, _ := json.Marshal(v)
	return reply{status: 200, body: text}
}

func (f *Server) root() reply {
	return encoded(map[string]any{
		"name": f.d.CoordinatorName, "cluster_name": "chalkring", "tagline": productWords,
		"version": map[string]any{"distribution": "chalkring", "number": "2.0.0", "minimum_wire_compatibility_version": "2.0.0"},
	})
}

// health is green where every block of every index has two holders, yellow with one, red with none.
func (f *Server) health() reply {
	status, active, lacking := "green", 0, 0
	for _, x := range f.Indices {
		for _, b := range x.Blocks {
			switch names, _ := f.d.BlockHosts(b); len(names) {
			case 0:
				status, lacking = "red", lacking+1
			case 1:
				if active++; status == "green" {
					status = "yellow"
				}
			default:
				active++
			}
		}
	}
	return encoded(map[string]any{
		"cluster_name": "chalkring", "status": status, "timed_out": false,
		"number_of_nodes": f.d.HostCount(), "number_of_data_nodes": f.d.HostCount(), "active_primary_shards": active,
		"active_shards": active, "relocating_shards": 0, "initializing_shards": 0, "unassigned_shards": lacking,
	})
}

// table answers a _cat request: lines of text, or JSON where that is asked for.
func table(r *http.Request, names []string, rows [][]string) reply {
	if r.URL.Query().Get("format") == "json" {
		all := []map[string]string{}
		for _, row := range rows {
			m := map[string]string{}
			for i, name := range names {
				m[name] = row[i]
			}
			all = append(all, m)
		}
		return encoded(all)
	}
	var b strings.Builder
	if r.URL.Query().Has("v") {
		fmt.Fprintln(&b, strings.Join(names, " "))
	}
	for _, row := range rows {
		fmt.Fprintln(&b, strings.Join(row, " "))
	}
	return reply{status: 200, body: []byte(b.String()), text: true}
}

func (f *Server) catShards(r *http.Request) reply {
	var rows [][]string
	for _, x := range f.Indices {
		for _, b := range x.Blocks {
			names, addrs := f.d.BlockHosts(b)
			if len(names) == 0 {
				rows = append(rows, []string{x.Name, strconv.Itoa(b), "p", "UNASSIGNED", "-", "-"})
			}
			for i, name := range names {
				rows = append(rows, []string{x.Name, strconv.Itoa(b), map[bool]string{true: "p", false: "r"}[i == 0], "STARTED", addrs[i], name})
			}
		}
	}
	return table(r, []string{"index", "shard", "prirep", "state", "ip", "node"}, rows)
}

func (f *Server) catIndices(r *http.Request) reply {
	var rows [][]string
	for _, x := range f.Indices {
		rows = append(rows, []string{x.Name, "open", strconv.Itoa(len(x.Blocks)), x.SearchType})
	}
	return table(r, []string{"index", "status", "pri", "type"}, rows)
}

func (f *Server) listTasks() reply {
	f.mu.Lock()
	defer f.mu.Unlock()
	all := map[string]any{}
	for id, t := range f.tasks {
		headers := map[string]string{}
		if t.opaque != "" {
			headers["X-Opaque-Id"] = t.opaque
		}
		all[fmt.Sprintf("%s:%d", f.d.CoordinatorName, id)] = map[string]any{
			"node": f.d.CoordinatorName, "id": id, "action": t.action,
			"description": "indices[" + t.index + "]", "cancellable": true, "headers": headers,
			"start_time_in_millis": t.began.UnixMilli(), "running_time_in_nanos": time.Since(t.began).Nanoseconds(),
		}
	}
	return encoded(map[string]any{"nodes": map[string]any{f.d.CoordinatorName: map[string]any{"name": f.d.CoordinatorName, "tasks": all}}})
}

func (f *Server) cancelTask(name string) reply {
	node, number, _ := strings.Cut(name, ":")
	id, err := strconv.ParseUint(number, 10, 64)
	f.mu.Lock()
	defer f.mu.Unlock()
	t := f.tasks[id]
	if err != nil || node != f.d.CoordinatorName || t == nil {
		return fault(404, "resource_not_found_exception", "task [%.100s] is not open", name)
	}
	t.stop(errCancelled)
	return encoded(map[string]any{"nodes": map[string]any{f.d.CoordinatorName: map[string]any{
		"name":  f.d.CoordinatorName,
		"tasks": map[string]any{name: map[string]any{"node": f.d.CoordinatorName, "id": id, "action": t.action, "cancelled": true}},
	}}})
}

// LoadTLS reads the files of a front with LoadTLS; with authorities, clients need a certificate that comes from them.
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
		return nil, fmt.Errorf("authorities %s: no certificate in it", authorities)
	}
	return conf, nil
}
