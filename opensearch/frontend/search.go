package frontend

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"chalkring/coordinator"
	"chalkring/opensearch/query"
)

// asked is one search with what its URL or header line says.
type asked struct {
	index   Index
	q       *query.Request
	blocks  []int
	partial bool          // less than the whole is wanted too
	within  time.Duration // cancel_after_time_interval, 0 for none
	count   bool
	opaque  string
	retry   bool
}

var (
	taken = []string{
		"allow_partial_search_results", "cancel_after_time_interval", "preference", "routing", "pretty", "size", "from",
		"timeout", "track_total_hits", "sort", "max_concurrent_searches", "index", "ignore_unavailable", "rest_total_hits_as_int",
		"error_trace", "human", "typed_keys", "search_type", "request_cache",
	}
	known = []string{
		"q", "df", "analyzer", "default_operator", "scroll", "batched_reduce_size", "ccs_minimize_roundtrips",
		"pre_filter_shard_size", "max_concurrent_shard_requests", "stored_fields", "docvalue_fields", "_source", "_source_includes",
		"_source_excludes", "explain", "version", "lenient", "terminate_after", "expand_wildcards", "allow_no_indices",
		"filter_path", "search_pipeline", "phase_took", "seq_no_primary_term", "stats", "suggest_field", "min_score", "rewrite",
		"all_shards",
	}
	// Words that change nothing of what is answered here, or not for the worse.
	idle = []string{"pretty", "error_trace", "human", "ignore_unavailable", "max_concurrent_searches", "index", "request_cache"}
)

// read makes a search of a body and what stands in its URL or header line.
func (f *Server) read(index string, values url.Values, text []byte) (*asked, error) {
	x, err := f.find(index)
	if err != nil {
		return nil, err
	}
	q, err := query.ParseRequest(text)
	if err != nil {
		return nil, err
	}
	a := &asked{index: x, q: q, blocks: x.Blocks, partial: true}
	for name, all := range values {
		v := all[len(all)-1]
		switch {
		case slices.Contains(idle, name):
		case slices.Contains(known, name):
			err = fmt.Errorf("parameter [%s] is known to the API and not done here", name)
		case !slices.Contains(taken, name):
			err = fmt.Errorf("request contains unrecognized parameter: [%.100s]", name)
		case name == "allow_partial_search_results":
			a.partial, err = strconv.ParseBool(v)
		case name == "cancel_after_time_interval":
			a.within, err = query.ParseDuration(v)
		case name == "timeout":
			q.Timeout, err = query.ParseDuration(v)
		case name == "size":
			q.Size, err = bounded(v, query.MaxResultWindow-q.From)
		case name == "from":
			q.From, err = bounded(v, query.MaxResultWindow-q.Size)
		case name == "track_total_hits":
			switch v {
			case "true":
				q.TrackTotalHits = math.MaxInt
			case "false":
				q.TrackTotalHits = 0
			default:
				q.TrackTotalHits, err = bounded(v, math.MaxInt32)
			}
		case name == "preference":
			err = a.prefer(v)
		case name == "routing":
			err = a.route(v)
		case name == "search_type" && v == "query_then_fetch":
		default:
			err = fmt.Errorf("parameter [%s] with [%.40s] is known to the API and not done here", name, v)
		}
		if err != nil {
			var e *query.APIError
			if errors.As(err, &e) {
				return nil, e
			}
			return nil, &query.APIError{Status: 400, Type: "illegal_argument_exception", Reason: err.Error()}
		}
	}
	for _, b := range a.blocks {
		if !f.d.HasBlockHost(b) {
			return nil, notFound(x.Name, "no such shard [%s][%d]: no listed host holds it", x.Name, b)
		}
	}
	return a, nil
}

func bounded(text string, most int) (int, error) {
	v, err := strconv.Atoi(text)
	if err != nil || v < 0 || v > most {
		return 0, fmt.Errorf("[%.40s] is no whole number from 0 to %d", text, most)
	}
	return v, nil
}

// prefer takes preference=_shards:1,2; other preferences choose hosts, which is the module's.
func (a *asked) prefer(v string) error {
	list, ok := strings.CutPrefix(v, "_shards:")
	if !ok {
		return fmt.Errorf("preference [%.40s] is known to the API and not done here; _shards: is", v)
	}
	list, _, more := strings.Cut(list, "|")
	if more {
		return fmt.Errorf("a second preference behind _shards: is known to the API and not done here")
	}
	return a.only(strings.Split(list, ","))
}

// route takes routing as numbers of blocks: where a member is, its partner knows.
func (a *asked) route(v string) error { return a.only(strings.Split(v, ",")) }

func (a *asked) only(list []string) error {
	var blocks []int
	for _, one := range list {
		b, err := strconv.Atoi(one)
		if err != nil {
			return fmt.Errorf("[%.40s] is no number of a block", one)
		}
		if !slices.Contains(a.index.Blocks, b) {
			return &query.APIError{
				Status: 404, Type: "index_not_found_exception",
				Reason: fmt.Sprintf("no such shard [%s][%d]", a.index.Name, b),
			}
		}
		if slices.Contains(a.blocks, b) && !slices.Contains(blocks, b) {
			blocks = append(blocks, b)
		}
	}
	if len(blocks) == 0 {
		return errors.New("no block is left to search")
	}
	a.blocks = blocks
	return nil
}

func (f *Server) search(r *http.Request, index string, count bool) reply {
	text, err := body(r, bodyMost)
	if err != nil {
		return faultOf(err)
	}
	a, err := f.read(index, r.URL.Query(), text)
	if err != nil {
		return faultOf(err)
	}
	a.opaque, a.retry = r.Header.Get("X-Opaque-Id"), r.Header.Get("X-Retry") == "1"
	if a.count = count; count {
		a.q.Size, a.q.From, a.q.TrackTotalHits, a.q.Aggregations = 0, 0, math.MaxInt, nil
	}
	return f.run(r.Context(), a)
}

// run hands a search in and makes its final answer.
func (f *Server) run(ctx context.Context, a *asked) reply {
	action := "indices:data/read/search"
	ctx, t, err := f.open(ctx, action, a.opaque, a.index.Name)
	if err != nil {
		out := faultOf(err)
		out.wait = time.Second
		return out
	}
	defer f.close(t)
	patience := f.d.SearchTimeout(a.index.SearchType)
	for _, v := range []time.Duration{a.q.Timeout, a.within} {
		if v > 0 {
			patience = min(patience, max(v, partLong))
		}
	}
	given, err := f.d.Search(ctx, coordinator.SearchRequest{
		ID:   f.prefix + strconv.FormatUint(t.id, 10),
		Type: a.index.SearchType, Tenant: a.index.Tenant, Body: a.q.ShardRequestBody(), Shards: a.blocks, Timeout: patience, IsRetry: a.retry,
		DecodeValue: a.check,
	})
	switch {
	case errors.Is(context.Cause(ctx), errCancelled):
		return fault(400, "task_cancelled_exception", "%v", errCancelled)
	case err != nil:
		return fault(503, "search_phase_execution_exception", "the co-ordinator is stopping")
	case given.Outcome == coordinator.OutcomeResidencyRefused:
		return fault(403, "security_exception", "residency: %v", given.ResidencyRefusal)
	case given.Outcome == coordinator.OutcomeShed && given.Dispatched: // not for want of room: hosts failed it
		return fault(503, "search_phase_execution_exception", "not enough blocks could be asked; trying again is harmless")
	case given.Outcome == coordinator.OutcomeShed:
		out := fault(429, "rejected_execution_exception", "there is no room for this search now")
		if f.d.SendRetryAfter {
			out.wait = max(given.RetryAfter, time.Millisecond) // whole seconds on the wire: one at least
		}
		return out
	case given.Outcome != coordinator.OutcomeAnswered && time.Since(t.began) >= patience-2*partLong:
		return fault(504, "timeout_exception", "not enough blocks answered within %v", patience)
	case given.Outcome != coordinator.OutcomeAnswered:
		return fault(503, "search_phase_execution_exception", "not enough blocks answered")
	case !given.Complete && !a.partial:
		return fault(503, "search_phase_execution_exception",
			"Partial shards failure: %d of %d blocks answered, and the whole is asked for", len(given.Parts), len(a.blocks))
	}
	return a.answer(given, time.Since(t.began))
}

// check looks at a host's value for a part. What its host calls the index is the hosts' side's to look at; towards the
// client a hit is of the index that was asked.
func (a *asked) check(shard int, value []byte) (any, error) {
	read, err := a.q.ParseResponse(shard, "", value)
	if err == nil {
		err = read.CheckPlacement(a.index.Placement)
	}
	if err != nil {
		return nil, err
	}
	for i := range read.Hits {
		read.Hits[i].Index = a.index.Name
	}
	return read, nil
}

// answer puts together what a search has come to. Blocks that are not in stand among the failures, those that were
// not needed too: what they hold is not in the answer.
func (a *asked) answer(given coordinator.SearchResult, took time.Duration) reply {
	o := query.SearchOutcome{TookMillis: took.Milliseconds(), TimedOut: !given.Complete}
	in := map[int]bool{}
	for _, p := range given.Parts {
		if read, ok := p.Value.(*query.ShardResponse); ok {
			o.Responses = append(o.Responses, read)
			in[p.Shard] = true
		}
	}
	for _, b := range a.blocks {
		if in[b] {
			continue
		}
		failure := query.ShardFailure{Shard: b, Index: a.index.Name, Type: "timeout_exception", Reason: "no answer in time"}
		if given.Complete {
			failure.Type, failure.Reason = "task_cancelled_exception", "called off: enough blocks for a "+a.index.SearchType+" search were in"
		}
		o.Failures = append(o.Failures, failure)
	}
	text := a.q.MergeResponses(o)
	if !a.count {
		return reply{status: 200, body: text}
	}
	var m struct {
		Shards json.RawMessage `json:"_shards"`
		Hits   struct {
			Total struct {
				Value int `json:"value"`
			} `json:"total"`
		} `json:"hits"`
	}
	json.Unmarshal(text, &m)
	return encoded(map[string]any{"count": m.Hits.Total.Value, "_shards": m.Shards})
}

// multi runs the searches of a msearch, each by itself: each has one final answer, in order.
func (f *Server) multi(r *http.Request, index string) reply {
	text, err := body(r, multiMost)
	if err != nil {
		return faultOf(err)
	}
	lines := bytes.Split(bytes.TrimSuffix(text, []byte("\n")), []byte("\n"))
	if len(lines)%2 != 0 || len(bytes.TrimSpace(text)) == 0 {
		return fault(400, "illegal_argument_exception", "a msearch has pairs of lines: a header and a body; this has %d lines", len(lines))
	}
	if len(lines)/2 > searchesMost {
		return fault(400, "illegal_argument_exception", "%d searches, %d at the most", len(lines)/2, searchesMost)
	}
	values := r.URL.Query()
	atOnce := atOnceUsual
	if v := values.Get("max_concurrent_searches"); v != "" {
		if atOnce, err = bounded(v, math.MaxInt32); err != nil || atOnce == 0 {
			return fault(400, "illegal_argument_exception", "max_concurrent_searches [%.40s]", v)
		}
		atOnce = min(atOnce, atOnceMost)
	}
	began, out := time.Now(), make([]reply, len(lines)/2)
	var g errgroup.Group
	g.SetLimit(atOnce)
	for i := range out {
		g.Go(func() error {
			out[i] = f.one(r, index, values, lines[2*i], lines[2*i+1])
			return nil
		})
	}
	g.Wait()
	all := bytes.NewBufferString(fmt.Sprintf(`{"took":%d,"responses":[`, time.Since(began).Milliseconds()))
	for i, one := range out {
		if i > 0 {
			all.WriteByte(',')
		}
		if one.status == 200 {
			all.Write(bytes.TrimSuffix(one.body, []byte("}")))
			all.WriteString(`,"status":200}`)
		} else {
			all.Write(one.body)
		}
	}
	all.WriteString("]}")
	return reply{status: 200, body: all.Bytes()}
}

// one is one search of a msearch. What is wrong with its lines spoils it alone.
func (f *Server) one(r *http.Request, index string, values url.Values, head, text []byte) reply {
	own := url.Values{}
	for name, v := range values {
		own[name] = v
	}
	if len(bytes.TrimSpace(head)) > 0 {
		var fields map[string]any
		if err := json.Unmarshal(head, &fields); err != nil {
			return fault(400, "parsing_exception", "the header line is no JSON object: %v", err)
		}
		for name, v := range fields {
			if text, ok := v.(string); ok && name == "index" {
				index = text
			} else if list, ok := v.([]any); ok && name == "index" && len(list) == 1 {
				index = fmt.Sprint(list[0])
			} else if name == "index" {
				return fault(400, "illegal_argument_exception", "several indices are known to the API and not done here")
			} else {
				own.Set(name, fmt.Sprint(v))
			}
		}
	}
	a, err := f.read(index, own, text)
	if err != nil {
		return faultOf(err)
	}
	a.opaque, a.retry = r.Header.Get("X-Opaque-Id"), r.Header.Get("X-Retry") == "1"
	return f.run(r.Context(), a)
}

// validate tells whether a query can be used, without sending anything.
func (f *Server) validate(r *http.Request, index string) reply {
	text, err := body(r, bodyMost)
	if err != nil {
		return faultOf(err)
	}
	x, err := f.find(index)
	if err != nil {
		return faultOf(err)
	}
	explain := r.URL.Query().Get("explain") != "" && r.URL.Query().Get("explain") != "false"
	_, err = query.ParseRequest(text)
	out := map[string]any{"valid": err == nil, "_shards": map[string]any{"total": 1, "successful": 1, "failed": 0}}
	if explain {
		one := map[string]any{"index": x.Name, "valid": err == nil}
		if err != nil {
			one["error"] = err.Error()
		}
		out["explanations"] = []any{one}
	}
	return encoded(out)
}
