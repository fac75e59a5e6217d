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
	"chalkring/internal/guard"
	"chalkring/opensearch/query"
)

// parsedSearch is one search: its body and the parameters of its URL or msearch header line.
type parsedSearch struct {
	index        Index
	q            *query.Request
	blocks       []int
	allowPartial bool          // allow_partial_search_results
	cancelAfter  time.Duration // cancel_after_time_interval; 0 for none
	countOnly    bool
	opaqueID     string
	isRetry      bool
}

var (
	// Parameters that are not refused as unrecognized. Those without a case in parseSearch are refused as not supported.
	recognizedParams = []string{
		"allow_partial_search_results", "cancel_after_time_interval", "preference", "routing", "pretty", "size", "from",
		"timeout", "track_total_hits", "sort", "max_concurrent_searches", "index", "ignore_unavailable", "rest_total_hits_as_int",
		"error_trace", "human", "typed_keys", "search_type", "request_cache",
	}
	unsupportedParams = []string{
		"q", "df", "analyzer", "default_operator", "scroll", "batched_reduce_size", "ccs_minimize_roundtrips",
		"pre_filter_shard_size", "max_concurrent_shard_requests", "stored_fields", "docvalue_fields", "_source", "_source_includes",
		"_source_excludes", "explain", "version", "lenient", "terminate_after", "expand_wildcards", "allow_no_indices",
		"filter_path", "search_pipeline", "phase_took", "seq_no_primary_term", "stats", "suggest_field", "min_score", "rewrite",
		"all_shards",
	}
	// Parameters that are accepted and ignored: without them the answer is the same, or no worse for the client.
	ignoredParams = []string{"pretty", "error_trace", "human", "ignore_unavailable", "max_concurrent_searches", "index", "request_cache"}
)

// parseSearch makes a search from a body and the parameters of its URL or header line. A search of a block that no listed
// host holds is refused here, before anything is sent.
func (f *Server) parseSearch(index string, values url.Values, text []byte) (*parsedSearch, error) {
	x, err := f.findIndex(index)
	if err != nil {
		return nil, err
	}
	q, err := query.ParseRequest(text)
	if err != nil {
		return nil, err
	}
	a := &parsedSearch{index: x, q: q, blocks: x.Blocks, allowPartial: true}
	for name, all := range values {
		if err := a.applyParameter(name, all[len(all)-1]); err != nil {
			var e *query.APIError
			if errors.As(err, &e) {
				return nil, e
			}
			return nil, &query.APIError{Status: 400, Type: "illegal_argument_exception", Reason: err.Error()}
		}
	}
	for _, b := range a.blocks {
		if !f.api.HasBlockHost(b) {
			return nil, indexNotFound(x.Name, "no such shard [%s][%d]: no listed host holds it", x.Name, b)
		}
	}
	return a, nil
}

// applyParameter applies a parameter of the URL or header line.
func (a *parsedSearch) applyParameter(name, v string) (err error) {
	switch {
	case slices.Contains(ignoredParams, name):
	case slices.Contains(unsupportedParams, name):
		err = fmt.Errorf("parameter [%s] is part of the API but not supported here", name)
	case !slices.Contains(recognizedParams, name):
		err = fmt.Errorf("request contains unrecognized parameter: [%.100s]", name)
	case name == "allow_partial_search_results":
		a.allowPartial, err = strconv.ParseBool(v)
	case name == "cancel_after_time_interval":
		a.cancelAfter, err = query.ParseDuration(v)
	case name == "timeout":
		a.q.Timeout, err = query.ParseDuration(v)
	case name == "size":
		a.q.Size, err = parseBounded(v, query.MaxResultWindow-a.q.From)
	case name == "from":
		a.q.From, err = parseBounded(v, query.MaxResultWindow-a.q.Size)
	case name == "track_total_hits":
		switch v {
		case "true":
			a.q.TrackTotalHits = math.MaxInt
		case "false":
			a.q.TrackTotalHits = 0
		default:
			a.q.TrackTotalHits, err = parseBounded(v, math.MaxInt32)
		}
	case name == "preference":
		err = a.applyPreference(v)
	case name == "routing":
		err = a.applyRouting(v)
	case name == "search_type" && v == "query_then_fetch":
	default:
		err = fmt.Errorf("parameter [%s] with value [%.40s] is part of the API but not supported here", name, v)
	}
	return err
}

func parseBounded(text string, limit int) (int, error) {
	v, err := strconv.Atoi(text)
	if err != nil || v < 0 || v > limit {
		return 0, fmt.Errorf("[%.40s] is not a whole number from 0 to %d", text, limit)
	}
	return v, nil
}

// applyPreference handles preference=_shards:1,2. Other preferences choose hosts, but only the coordinator may do that.
func (a *parsedSearch) applyPreference(v string) error {
	list, ok := strings.CutPrefix(v, "_shards:")
	if !ok {
		return fmt.Errorf("preference [%.40s] is part of the API but not supported here; only _shards: is", v)
	}
	list, _, more := strings.Cut(list, "|")
	if more {
		return fmt.Errorf("a second preference after _shards: is part of the API but not supported here")
	}
	return a.restrictBlocks(strings.Split(list, ","))
}

// applyRouting takes the routing values as block numbers: the partner knows which block holds a document.
func (a *parsedSearch) applyRouting(v string) error { return a.restrictBlocks(strings.Split(v, ",")) }

// restrictBlocks limits the search to the listed blocks. After a second call, the blocks that are in both lists remain.
func (a *parsedSearch) restrictBlocks(list []string) error {
	var blocks []int
	for _, one := range list {
		b, err := strconv.Atoi(one)
		if err != nil {
			return fmt.Errorf("[%.40s] is not a block number", one)
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
		return errors.New("preference and routing have no block in common")
	}
	a.blocks = blocks
	return nil
}

func (f *Server) search(r *http.Request, index string, count bool) reply {
	text, err := readBody(r, maxBodyBytes)
	if err != nil {
		return errorReplyOf(err)
	}
	a, err := f.parseSearch(index, r.URL.Query(), text)
	if err != nil {
		return errorReplyOf(err)
	}
	a.opaqueID, a.isRetry = r.Header.Get("X-Opaque-Id"), r.Header.Get("X-Retry") == "1"
	if a.countOnly = count; count {
		a.q.Size, a.q.From, a.q.TrackTotalHits, a.q.Aggregations = 0, 0, math.MaxInt, nil
	}
	return f.runSearch(r.Context(), a)
}

// runSearch passes a search to the coordinator and turns its result into the response.
func (f *Server) runSearch(ctx context.Context, a *parsedSearch) reply {
	action := "indices:data/read/search"
	ctx, t, err := f.openTask(ctx, action, a.opaqueID, a.index.Name)
	if err != nil {
		out := errorReplyOf(err)
		out.retryAfter = time.Second
		return out
	}
	defer f.closeTask(t)
	timeout := f.api.SearchTimeout(a.index.SearchType)
	for _, v := range []time.Duration{a.q.Timeout, a.cancelAfter} {
		if v > 0 {
			timeout = min(timeout, max(v, minTimeout))
		}
	}
	result, err := f.api.Search(ctx, coordinator.SearchRequest{
		ID:   f.idPrefix + strconv.FormatUint(t.id, 10),
		Type: a.index.SearchType, Tenant: a.index.Tenant, Body: a.q.ShardRequestBody(), Shards: a.blocks, Timeout: timeout, IsRetry: a.isRetry,
		DecodeValue: a.decodeResponse,
	})
	switch {
	case errors.Is(context.Cause(ctx), errCancelled):
		return errorReply(400, "task_cancelled_exception", "%v", errCancelled)
	case err != nil:
		return errorReply(503, "search_phase_execution_exception", "the coordinator is stopping")
	case result.Outcome == coordinator.OutcomeResidencyRefused:
		return errorReply(403, "security_exception", "residency: %v", result.ResidencyRefusal)
	case result.Outcome == coordinator.OutcomeShed && result.Dispatched: // hosts failed; not a lack of capacity
		return errorReply(503, "search_phase_execution_exception", "not enough blocks could be searched; the request can be retried safely")
	case result.Outcome == coordinator.OutcomeShed:
		out := errorReply(429, "rejected_execution_exception", "there is no capacity for this search now")
		if f.api.SendRetryAfter {
			out.retryAfter = max(result.RetryAfter, time.Millisecond) // the header rounds it up to whole seconds, so to at least 1
		}
		return out
	case result.Outcome != coordinator.OutcomeAnswered && time.Since(t.startedAt) >= timeout-2*minTimeout:
		return errorReply(504, "timeout_exception", "not enough blocks answered within %v", timeout)
	case result.Outcome != coordinator.OutcomeAnswered:
		return errorReply(503, "search_phase_execution_exception", "not enough blocks answered")
	case !result.Complete && !a.allowPartial:
		return errorReply(503, "search_phase_execution_exception",
			"Partial shards failure: %d of %d blocks answered, but allow_partial_search_results is false", len(result.Parts), len(a.blocks))
	}
	return a.mergedReply(result, time.Since(t.startedAt))
}

// decodeResponse parses a host's response to a shard request and checks that its hits belong to the shard. It does not
// check the index name in the hits, because the coordinator's OpenSearch protocol code does, but replaces it by the name of
// the index that the client searched.
func (a *parsedSearch) decodeResponse(shard int, value []byte) (any, error) {
	response, err := a.q.ParseResponse(shard, "", value)
	if err == nil {
		err = response.CheckPlacement(a.index.Placement)
	}
	if err != nil {
		return nil, err
	}
	for i := range response.Hits {
		response.Hits[i].Index = a.index.Name
	}
	return response, nil
}

// mergedReply merges the shard responses into the API's answer. Each block without a response is listed as a failure,
// even if the search was complete without it, because its documents are missing from the answer.
func (a *parsedSearch) mergedReply(result coordinator.SearchResult, took time.Duration) reply {
	o := query.SearchOutcome{TookMillis: took.Milliseconds(), TimedOut: !result.Complete}
	answered := map[int]bool{}
	for _, p := range result.Parts {
		if response, ok := p.Value.(*query.ShardResponse); ok {
			o.Responses = append(o.Responses, response)
			answered[p.Shard] = true
		}
	}
	for _, b := range a.blocks {
		if answered[b] {
			continue
		}
		failure := query.ShardFailure{Shard: b, Index: a.index.Name, Type: "timeout_exception", Reason: "the block did not answer in time"}
		if result.Complete {
			failure.Type, failure.Reason = "task_cancelled_exception", "cancelled: enough blocks for a "+a.index.SearchType+" search had answered"
		}
		o.Failures = append(o.Failures, failure)
	}
	text := a.q.MergeResponses(o)
	if !a.countOnly {
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
	if err := json.Unmarshal(text, &m); err != nil {
		return errorReply(500, "exception", "the merged answer cannot be read: %v", err)
	}
	return jsonReply(map[string]any{"count": m.Hits.Total.Value, "_shards": m.Shards})
}

// multiSearch runs the searches of a msearch independently of each other and returns their answers in order.
func (f *Server) multiSearch(r *http.Request, index string) reply {
	text, err := readBody(r, maxMultiSearchBytes)
	if err != nil {
		return errorReplyOf(err)
	}
	text = bytes.TrimSuffix(text, []byte("\n"))
	count := 1 + bytes.Count(text, []byte("\n")) // before they are split, since a slice of many empty lines is long
	if count%2 != 0 || len(bytes.TrimSpace(text)) == 0 {
		return errorReply(400, "illegal_argument_exception", "a msearch must have pairs of lines, a header and a body each, but this one has %d lines", count)
	}
	if count/2 > maxMultiSearches {
		return errorReply(400, "illegal_argument_exception", "a msearch of %d searches exceeds the limit of %d", count/2, maxMultiSearches)
	}
	lines := bytes.Split(text, []byte("\n"))
	values := r.URL.Query()
	concurrent := defaultConcurrentSearches
	if v := values.Get("max_concurrent_searches"); v != "" {
		if concurrent, err = parseBounded(v, math.MaxInt32); err != nil || concurrent == 0 {
			return errorReply(400, "illegal_argument_exception", "max_concurrent_searches [%.40s] is not a positive whole number", v)
		}
		concurrent = min(concurrent, maxConcurrentSearches)
	}
	began, out := time.Now(), make([]reply, len(lines)/2)
	var g errgroup.Group
	g.SetLimit(concurrent)
	for i := range out {
		g.Go(func() error {
			return guard.Run(func() error {
				out[i] = f.searchFromLines(r, index, values, lines[2*i], lines[2*i+1])
				return nil
			})
		})
	}
	if err := g.Wait(); err != nil {
		panic(err) // on the connection's goroutine, where it ends this request alone
	}
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

// searchFromLines runs one search of a msearch. An error in its lines fails this search alone.
func (f *Server) searchFromLines(r *http.Request, index string, values url.Values, head, text []byte) reply {
	params := url.Values{}
	for name, v := range values {
		params[name] = v
	}
	if len(bytes.TrimSpace(head)) > 0 {
		var fields map[string]any
		if err := json.Unmarshal(head, &fields); err != nil {
			return errorReply(400, "parsing_exception", "the header line is not a JSON object: %v", err)
		}
		for name, v := range fields {
			if text, ok := v.(string); ok && name == "index" {
				index = text
			} else if list, ok := v.([]any); ok && name == "index" && len(list) == 1 {
				index = fmt.Sprint(list[0])
			} else if name == "index" {
				return errorReply(400, "illegal_argument_exception", "several indices are part of the API but not supported here")
			} else {
				params.Set(name, fmt.Sprint(v))
			}
		}
	}
	a, err := f.parseSearch(index, params, text)
	if err != nil {
		return errorReplyOf(err)
	}
	a.opaqueID, a.isRetry = r.Header.Get("X-Opaque-Id"), r.Header.Get("X-Retry") == "1"
	return f.runSearch(r.Context(), a)
}

// validate reports whether a query is valid, without sending it to any host.
func (f *Server) validate(r *http.Request, index string) reply {
	text, err := readBody(r, maxBodyBytes)
	if err != nil {
		return errorReplyOf(err)
	}
	x, err := f.findIndex(index)
	if err != nil {
		return errorReplyOf(err)
	}
	explain := r.URL.Query().Get("explain") != "" && r.URL.Query().Get("explain") != "false"
	_, err = query.ParseRequest(text)
	out := map[string]any{"valid": err == nil, "_shards": map[string]any{"total": 1, "successful": 1, "failed": 0}}
	if explain {
		explanation := map[string]any{"index": x.Name, "valid": err == nil}
		if err != nil {
			explanation["error"] = err.Error()
		}
		out["explanations"] = []any{explanation}
	}
	return jsonReply(out)
}
