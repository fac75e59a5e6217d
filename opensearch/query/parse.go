package query

import (
	"encoding/json"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"
)

// Clause is one clause of a query, checked.
type Clause struct {
	Kind               string
	Field              string
	Values             []any                // of term, terms, ids, prefix and match
	Bounds             map[string]any       // of range: gt, gte, lt, lte
	MatchAll           bool                 // of match: every word has to be there
	Clauses            map[string][]*Clause // of bool: must, filter, should, must_not; of constant_score: filter
	MinimumShouldMatch int                  // of bool: should clauses that have to match
	Boost              float64
}

// SortKey is one key of a sort; Missing is "_first" or "_last", or a value that stands for a missing one.
type SortKey struct {
	Field      string
	Descending bool
	Missing    any
}

// Aggregation is one aggregation.
type Aggregation struct {
	Name, Kind, Field     string
	Size                  int       // of terms
	Percentiles           []float64 // of percentiles
	OrderByKey, Ascending bool      // of terms: the order
	SubAggregations       []Aggregation
}

// Request is a search, checked and normalised.
type Request struct {
	Query          *Clause
	From, Size     int
	Sort           []SortKey // the last is _id
	SortRequested  bool      // the client named a sort: hits carry their sort values
	SearchAfter    []any
	IncludeSource  bool
	SourceIncludes []string
	SourceExcludes []string
	TrackTotalHits int // hits counted at least; math.MaxInt for all, 0 for none
	MinScore       *float64
	Timeout        time.Duration // 0 for none
	TerminateAfter int
	Aggregations   []Aggregation
}

const (
	defaultSize  = 10     // hits where a search names no size: the API's
	defaultTrackTotalHits = 10_000 // hits counted where a search does not say: the API's
	defaultTermsSize = 10     // buckets where an aggregation names no size: the API's
)

var defaultPercents = []float64{1, 5, 25, 50, 75, 95, 99} // the API's

// Known words of the API that are not done here: they are refused by name, not as unknown.
var (
	unsupportedFields = words("highlight suggest collapse rescore script_fields stored_fields docvalue_fields fields explain version " +
		"seq_no_primary_term indices_boost post_filter profile pit slice stats runtime_mappings knn ext derived search_pipeline " +
		"include_named_queries_score verbose_pipeline")
	unsupportedClauses = words("fuzzy wildcard regexp match_phrase match_phrase_prefix match_bool_prefix multi_match query_string " +
		"simple_query_string nested has_child has_parent parent_id geo_distance geo_bounding_box geo_polygon geo_shape " +
		"function_score script script_score dis_max boosting more_like_this percolate terms_set distance_feature rank_feature " +
		"intervals knn neural hybrid pinned wrapper span_term span_near span_or span_not span_first span_multi xy_shape template")
	knownAggs = words("stats extended_stats date_histogram histogram range date_range ip_range filter filters global missing nested " +
		"reverse_nested children parent significant_terms significant_text sampler diversified_sampler composite top_hits " +
		"geohash_grid geotile_grid geo_bounds geo_centroid matrix_stats median_absolute_deviation percentile_ranks rare_terms " +
		"scripted_metric weighted_avg variable_width_histogram auto_date_histogram adjacency_matrix multi_terms avg_bucket " +
		"sum_bucket min_bucket max_bucket stats_bucket percentiles_bucket derivative cumulative_sum bucket_script bucket_selector " +
		"bucket_sort serial_diff moving_avg moving_fn")
)

func words(text string) map[string]bool {
	m := map[string]bool{}
	for _, w := range strings.Fields(text) {
		m[w] = true
	}
	return m
}

// unsupportedOrUnknown tells a known word that is not done from an unknown one.
func (r *parser) unsupportedOrUnknown(known map[string]bool, word string, at int, what string) error {
	if known[word] {
		return illegalArgument("%s [%s] is known to the API and not done here", what, word)
	}
	return r.parsingError(at, "unknown %s [%.100s]", what, word)
}

// ParseRequest reads and checks a search's body.
func ParseRequest(text []byte) (*Request, error) {
	r, n, err := readTree(text)
	if err != nil {
		return nil, err
	}
	q := &Request{Query: &Clause{Kind: "match_all", Boost: 1}, Size: defaultSize, IncludeSource: true, TrackTotalHits: defaultTrackTotalHits}
	clauses := 0
	for i, f := range n.fields {
		word := n.names[i].text
		switch word {
		case "query":
			q.Query, err = r.clause(f, &clauses)
		case "from":
			q.From, err = r.integer(f, word, 0, MaxResultWindow)
		case "size":
			q.Size, err = r.integer(f, word, 0, MaxResultWindow)
		case "sort":
			err = r.sort(f, q)
		case "search_after":
			err = r.searchAfter(f, q)
		case "_source":
			err = r.source(f, q)
		case "track_total_hits":
			err = r.trackTotalHits(f, q)
		case "min_score":
			var v float64
			v, err = r.number(f, word)
			q.MinScore = &v
		case "track_scores":
			err = r.requireKind(f, kindBool, word)
		case "timeout":
			q.Timeout, err = r.timeout(f)
		case "terminate_after":
			q.TerminateAfter, err = r.integer(f, word, 0, math.MaxInt32)
		case "aggs", "aggregations":
			if len(q.Aggregations) > 0 {
				err = r.parsingError(n.names[i].offset, "both aggs and aggregations")
				break
			}
			count := 0
			q.Aggregations, err = r.aggs(f, 1, &count)
		default:
			err = r.unsupportedOrUnknown(unsupportedFields, word, n.names[i].offset, "part of a search")
		}
		if err != nil {
			return nil, err
		}
	}
	return q, q.check()
}

// check looks at what belongs together.
func (q *Request) check() error {
	if q.From+q.Size > MaxResultWindow {
		return illegalArgument("Result window is too large, from + size must be less than or equal to: [%d] but was [%d]. "+
			"Use search_after beyond it.", MaxResultWindow, q.From+q.Size)
	}
	if len(q.Sort) == 0 {
		q.Sort = []SortKey{{Field: "_score", Descending: true}}
	}
	if len(q.SearchAfter) > 0 {
		if !q.SortRequested {
			return illegalArgument("search_after needs a sort")
		}
		if q.From > 0 {
			return illegalArgument("`from` parameter must be set to 0 when `search_after` is used.")
		}
		if n := len(q.Sort); len(q.SearchAfter) != n && !(len(q.SearchAfter) == n+1 && q.Sort[n-1].Field != "_id") {
			return illegalArgument("search_after has %d value(s) but sort has %d.", len(q.SearchAfter), n)
		}
	}
	for i, k := range q.Sort {
		if k.Field == "_id" && i < len(q.Sort)-1 {
			return illegalArgument("sort by [_id] comes last: no two members share one")
		}
	}
	if q.Sort[len(q.Sort)-1].Field != "_id" {
		q.Sort = append(q.Sort, SortKey{Field: "_id", Missing: "_last"})
	}
	if n := len(q.SearchAfter); n > 0 && n < len(q.Sort) { // behind all members that share the values told, as the API has it
		q.SearchAfter = append(q.SearchAfter, string(utf8.MaxRune))
	}
	return nil
}

func (r *parser) clause(n *node, count *int) (*Clause, error) {
	if *count++; *count > maxClauses {
		return nil, &APIError{Status: 400, Type: "too_many_clauses", Reason: "maxClauseCount is set to " + strconv.Itoa(maxClauses)}
	}
	if err := r.requireKind(n, kindObject, "query"); err != nil {
		return nil, err
	}
	if len(n.names) != 1 {
		return nil, r.parsingError(n.offset, "a clause has one name, this has %d", len(n.names))
	}
	kind, body := n.names[0].text, n.fields[0]
	c := &Clause{Kind: kind, Boost: 1}
	var err error
	switch kind {
	case "match_all", "match_none":
		if err = r.requireKind(body, kindObject, kind); err == nil {
			err = r.parseFields(body, kind, c, nil)
		}
	case "term", "prefix", "match":
		err = r.fieldClause(body, c)
	case "terms":
		err = r.terms(body, c)
	case "range":
		err = r.rangeClause(body, c)
	case "exists":
		err = r.requireKind(body, kindObject, kind)
		if err == nil {
			err = r.parseFields(body, kind, c, func(word string, f *node) (bool, error) {
				if word != "field" {
					return false, nil
				}
				c.Field = f.text
				return true, r.requireKind(f, kindString, "field")
			})
		}
		if err == nil && c.Field == "" {
			err = r.parsingError(body.offset, "[exists] names no field")
		}
	case "ids":
		err = r.requireKind(body, kindObject, kind)
		if err == nil {
			err = r.parseFields(body, kind, c, func(word string, f *node) (bool, error) {
				if word != "values" {
					return false, nil
				}
				var err error
				c.Values, err = r.values(f, "values")
				return true, err
			})
		}
		for _, v := range c.Values {
			if _, text := v.(string); !text && err == nil {
				err = r.parsingError(body.offset, "an id is no string")
			}
		}
	case "bool":
		err = r.boolClause(body, c, count)
	case "constant_score":
		c.Clauses = map[string][]*Clause{}
		err = r.requireKind(body, kindObject, kind)
		if err == nil {
			err = r.parseFields(body, kind, c, func(word string, f *node) (bool, error) {
				if word != "filter" {
					return false, nil
				}
				sub, err := r.clause(f, count)
				c.Clauses[word] = []*Clause{sub}
				return true, err
			})
		}
		if err == nil && len(c.Clauses["filter"]) == 0 {
			err = r.parsingError(body.offset, "[constant_score] has no filter")
		}
	default:
		err = r.unsupportedOrUnknown(unsupportedClauses, kind, n.names[0].offset, "query")
	}
	return c, err
}

// parseFields walks an object's fields: boost and _name everywhere, the rest by take; what it does not take is unknown.
func (r *parser) parseFields(n *node, what string, c *Clause, take func(word string, f *node) (bool, error)) error {
	for i, f := range n.fields {
		word := n.names[i].text
		if word == "boost" {
			v, err := r.number(f, word)
			if err != nil {
				return err
			}
			if v < 0 {
				return r.parsingError(f.offset, "[boost] is under 0")
			}
			c.Boost = v
			continue
		}
		if take != nil {
			taken, err := take(word, f)
			if err != nil {
				return err
			}
			if taken {
				continue
			}
		}
		if slices.Contains([]string{
			"_name", "case_insensitive", "fuzziness", "analyzer", "zero_terms_query", "format",
			"relation", "time_zone", "rewrite", "minimum_should_match", "lenient", "value_type",
		}, word) {
			return illegalArgument("[%s] of [%s] is known to the API and not done here", word, what)
		}
		return r.parsingError(n.names[i].offset, "[%s] does not know [%.100s]", what, word)
	}
	return nil
}

// singleField gives the field that a clause such as term names.
func (r *parser) singleField(n *node, what string) (string, *node, error) {
	if err := r.requireKind(n, kindObject, what); err != nil {
		return "", nil, err
	}
	if len(n.names) != 1 {
		return "", nil, r.parsingError(n.offset, "[%s] names %d fields, not one", what, len(n.names))
	}
	return n.names[0].text, n.fields[0], r.checkFieldName(n.names[0])
}

func (r *parser) checkFieldName(n fieldName) error {
	if n.text == "" || len(n.text) > maxNameBytes {
		return r.parsingError(n.offset, "a field's name of %d bytes, 1 to %d are wanted", len(n.text), maxNameBytes)
	}
	return nil
}

func (r *parser) fieldClause(n *node, c *Clause) error {
	field, f, err := r.singleField(n, c.Kind)
	if err != nil {
		return err
	}
	c.Field = field
	if f.kind == kindObject {
		word := map[string]string{"term": "value", "prefix": "value", "match": "query"}[c.Kind]
		err = r.parseFields(f, c.Kind, c, func(w string, g *node) (bool, error) {
			if c.Kind == "match" && w == "operator" {
				op := strings.ToLower(g.text)
				if c.MatchAll = op == "and"; op != "and" && op != "or" {
					return true, r.parsingError(g.offset, "[operator] is neither and nor or")
				}
				return true, nil
			}
			if w != word {
				return false, nil
			}
			v, err := r.scalar(g, w)
			c.Values = []any{v}
			return true, err
		})
	} else {
		var v any
		v, err = r.scalar(f, field)
		c.Values = []any{v}
	}
	if err == nil && len(c.Values) == 0 {
		err = r.parsingError(f.offset, "[%s] has no value", c.Kind)
	}
	if _, text := first(c.Values).(string); err == nil && c.Kind == "prefix" && !text {
		err = r.parsingError(f.offset, "[prefix] wants a string")
	}
	return err
}

func first(all []any) any {
	if len(all) == 0 {
		return nil
	}
	return all[0]
}

func (r *parser) values(n *node, what string) ([]any, error) {
	if err := r.requireKind(n, kindArray, what); err != nil {
		return nil, err
	}
	if len(n.items) > maxTerms {
		return nil, illegalArgument("[%s] has %d values, %d at the most", what, len(n.items), maxTerms)
	}
	var all []any
	for _, item := range n.items {
		v, err := r.scalar(item, what)
		if err != nil {
			return nil, err
		}
		all = append(all, v)
	}
	return all, nil
}

func (r *parser) terms(n *node, c *Clause) error {
	if err := r.requireKind(n, kindObject, c.Kind); err != nil {
		return err
	}
	return r.parseFields(n, c.Kind, c, func(word string, f *node) (bool, error) {
		if f.kind == kindObject {
			return true, illegalArgument("a lookup in [terms] is known to the API and not done here")
		}
		if c.Field != "" {
			return true, r.parsingError(f.offset, "[terms] names two fields")
		}
		c.Field = word
		var err error
		c.Values, err = r.values(f, word)
		return true, err
	})
}

func (r *parser) rangeClause(n *node, c *Clause) error {
	field, f, err := r.singleField(n, c.Kind)
	if err == nil {
		err = r.requireKind(f, kindObject, c.Kind)
	}
	if err != nil {
		return err
	}
	c.Field, c.Bounds = field, map[string]any{}
	return r.parseFields(f, c.Kind, c, func(word string, g *node) (bool, error) {
		if !slices.Contains([]string{"gt", "gte", "lt", "lte"}, word) {
			return false, nil
		}
		if g.kind == kindNull { // the API's 'no bound'
			return true, nil
		}
		v, err := r.scalar(g, word)
		c.Bounds[word] = v
		return true, err
	})
}

func (r *parser) boolClause(n *node, c *Clause, count *int) error {
	if err := r.requireKind(n, kindObject, c.Kind); err != nil {
		return err
	}
	c.Clauses = map[string][]*Clause{}
	var least *node
	err := r.parseFields(n, c.Kind, c, func(word string, f *node) (bool, error) {
		switch word {
		case "must", "filter", "should", "must_not":
			all := f.items
			if f.kind != kindArray {
				all = []*node{f}
			}
			for _, item := range all {
				sub, err := r.clause(item, count)
				if err != nil {
					return true, err
				}
				c.Clauses[word] = append(c.Clauses[word], sub)
			}
			return true, nil
		case "minimum_should_match":
			least = f
			return true, nil
		}
		return false, nil
	})
	if err != nil {
		return err
	}
	should := len(c.Clauses["should"])
	if c.MinimumShouldMatch = 0; should > 0 && len(c.Clauses["must"])+len(c.Clauses["filter"]) == 0 {
		c.MinimumShouldMatch = 1
	}
	if least == nil {
		return nil
	}
	text, percent := least.text, false
	if least.kind == kindString {
		text, percent = strings.CutSuffix(text, "%")
	}
	v, err := strconv.Atoi(text)
	if err != nil || least.kind != kindString && least.kind != kindNumber {
		return illegalArgument("minimum_should_match [%.40s] is known to the API and not done here: a whole number or a percentage", least.text)
	}
	if percent {
		if v < -100 || v > 100 {
			return r.parsingError(least.offset, "[minimum_should_match] is no percentage")
		}
		v = int(float64(v) / 100 * float64(should)) // towards nothing, as the API rounds
	}
	if v < 0 {
		v = should + v
	}
	c.MinimumShouldMatch = max(0, v)
	return nil
}

func (r *parser) sort(n *node, q *Request) error {
	all := n.items
	if n.kind != kindArray {
		all = []*node{n}
	}
	if len(all) > maxSortKeys {
		return illegalArgument("%d sort keys, %d at the most", len(all), maxSortKeys)
	}
	for _, item := range all {
		k := SortKey{Missing: "_last"}
		switch {
		case item.kind == kindString:
			k.Field = item.text
			k.Descending = k.Field == "_score"
		case item.kind == kindObject && len(item.names) == 1:
			k.Field = item.names[0].text
			k.Descending = k.Field == "_score"
			f := item.fields[0]
			if f.kind == kindString {
				f = &node{kind: kindObject, offset: f.offset, names: []fieldName{{"order", f.offset}}, fields: []*node{f}}
			}
			if err := r.requireKind(f, kindObject, "sort"); err != nil {
				return err
			}
			for i, g := range f.fields {
				switch word := f.names[i].text; word {
				case "order":
					if k.Descending = g.text == "desc"; g.kind != kindString || g.text != "asc" && g.text != "desc" {
						return r.parsingError(g.offset, "[order] is neither asc nor desc")
					}
				case "missing":
					v, err := r.scalar(g, word)
					if err != nil {
						return err
					}
					k.Missing = v
				case "mode", "nested", "unmapped_type", "numeric_type", "format":
					return illegalArgument("[%s] of [sort] is known to the API and not done here", word)
				default:
					return r.parsingError(f.names[i].offset, "[sort] does not know [%.100s]", word)
				}
			}
		default:
			return r.parsingError(item.offset, "a sort key is a name or an object with one")
		}
		switch {
		case k.Field == "" || len(k.Field) > maxNameBytes:
			return r.parsingError(item.offset, "a sort key without a proper name")
		case k.Field == "_script" || k.Field == "_geo_distance" || k.Field == "_doc":
			return illegalArgument("sort by [%s] is known to the API and not done here", k.Field)
		case slices.ContainsFunc(q.Sort, func(o SortKey) bool { return o.Field == k.Field }):
			return r.parsingError(item.offset, "sort key [%.100s] is there twice", k.Field)
		}
		q.Sort, q.SortRequested = append(q.Sort, k), true
	}
	return nil
}

func (r *parser) searchAfter(n *node, q *Request) error {
	if err := r.requireKind(n, kindArray, "search_after"); err != nil {
		return err
	}
	for _, item := range n.items {
		if item.kind == kindObject || item.kind == kindArray {
			return r.parsingError(item.offset, "[search_after] holds plain values")
		}
		q.SearchAfter = append(q.SearchAfter, item.scalar())
	}
	if len(q.SearchAfter) == 0 || len(q.SearchAfter) > maxSortKeys+1 {
		return r.parsingError(n.offset, "[search_after] has %d values", len(q.SearchAfter))
	}
	return nil
}

func (r *parser) source(n *node, q *Request) error {
	strs := func(n *node) ([]string, error) {
		all := n.items
		if n.kind != kindArray {
			all = []*node{n}
		}
		var out []string
		for _, item := range all {
			if err := r.requireKind(item, kindString, "_source"); err != nil {
				return nil, err
			}
			out = append(out, item.text)
		}
		return out, nil
	}
	var err error
	switch n.kind {
	case kindBool:
		q.IncludeSource = n.text == "true"
	case kindString, kindArray:
		q.SourceIncludes, err = strs(n)
	case kindObject:
		for i, f := range n.fields {
			switch n.names[i].text {
			case "includes", "include":
				q.SourceIncludes, err = strs(f)
			case "excludes", "exclude":
				q.SourceExcludes, err = strs(f)
			default:
				err = r.parsingError(n.names[i].offset, "[_source] does not know [%.100s]", n.names[i].text)
			}
			if err != nil {
				return err
			}
		}
	default:
		err = r.parsingError(n.offset, "[_source] is %s", kindNames[n.kind])
	}
	return err
}

func (r *parser) trackTotalHits(n *node, q *Request) (err error) {
	switch {
	case n.kind == kindBool && n.text == "true":
		q.TrackTotalHits = math.MaxInt
	case n.kind == kindBool:
		q.TrackTotalHits = 0
	default:
		q.TrackTotalHits, err = r.integer(n, "track_total_hits", 1, math.MaxInt32)
	}
	return err
}

func (r *parser) timeout(n *node) (time.Duration, error) {
	if err := r.requireKind(n, kindString, "timeout"); err != nil {
		return 0, err
	}
	d, err := ParseDuration(n.text)
	if err != nil {
		return 0, r.parsingError(n.offset, "%v", err)
	}
	return d, nil
}

// ParseDuration reads a time in the API's units: nanos, micros, ms, s, m, h, d.
func ParseDuration(text string) (time.Duration, error) {
	for _, u := range []struct {
		word string
		each time.Duration
	}{
		{"nanos", time.Nanosecond},
		{"micros", time.Microsecond},
		{"ms", time.Millisecond},
		{"s", time.Second},
		{"m", time.Minute},
		{"h", time.Hour},
		{"d", 24 * time.Hour},
	} {
		if digits, ok := strings.CutSuffix(text, u.word); ok {
			v, err := strconv.ParseUint(digits, 10, 31)
			if err != nil {
				continue
			}
			if float64(v)*float64(u.each) > float64(math.MaxInt64/2) {
				break
			}
			return time.Duration(v) * u.each, nil
		}
	}
	return 0, illegalArgument("[%.40s] is no time such as 500ms or 2s", text)
}

func (r *parser) aggs(n *node, depth int, count *int) ([]Aggregation, error) {
	if err := r.requireKind(n, kindObject, "aggs"); err != nil {
		return nil, err
	}
	if depth > maxAggDepth {
		return nil, illegalArgument("aggregations over %d deep", maxAggDepth)
	}
	var all []Aggregation
	for i, f := range n.fields {
		if *count++; *count > maxAggs {
			return nil, illegalArgument("over %d aggregations", maxAggs)
		}
		a := Aggregation{Name: n.names[i].text}
		if a.Name == "" || len(a.Name) > maxNameBytes || strings.ContainsAny(a.Name, "[]>") {
			return nil, r.parsingError(n.names[i].offset, "[%.100s] is no name for an aggregation", a.Name)
		}
		if err := r.requireKind(f, kindObject, "aggs"); err != nil {
			return nil, err
		}
		var subs *node
		for j, g := range f.fields {
			word := f.names[j].text
			if word == "aggs" || word == "aggregations" {
				subs = g
				continue
			}
			if word == "meta" {
				return nil, illegalArgument("[meta] of an aggregation is known to the API and not done here")
			}
			if a.Kind != "" {
				return nil, r.parsingError(f.names[j].offset, "[%.100s] has two kinds", a.Name)
			}
			a.Kind = word
			if err := r.agg(g, &a, f.names[j].offset); err != nil {
				return nil, err
			}
		}
		if a.Kind == "" {
			return nil, r.parsingError(f.offset, "[%.100s] has no kind", a.Name)
		}
		if subs != nil {
			if a.Kind != "terms" {
				return nil, r.parsingError(subs.offset, "[%s] takes no aggregations of its own", a.Kind)
			}
			var err error
			if a.SubAggregations, err = r.aggs(subs, depth+1, count); err != nil {
				return nil, err
			}
		}
		all = append(all, a)
	}
	return all, nil
}

func (r *parser) agg(n *node, a *Aggregation, at int) error {
	switch a.Kind {
	case "terms", "min", "max", "sum", "avg", "value_count", "cardinality", "percentiles":
	default:
		return r.unsupportedOrUnknown(knownAggs, a.Kind, at, "aggregation")
	}
	if err := r.requireKind(n, kindObject, a.Kind); err != nil {
		return err
	}
	a.Size, a.Percentiles = defaultTermsSize, defaultPercents
	var err error
	for i, f := range n.fields {
		word := n.names[i].text
		switch {
		case word == "field":
			a.Field, err = f.text, r.requireKind(f, kindString, word)
		case word == "size" && a.Kind == "terms":
			a.Size, err = r.integer(f, word, 1, maxBuckets)
		case word == "order" && a.Kind == "terms":
			err = r.order(f, a)
		case word == "percents" && a.Kind == "percentiles":
			err = r.percents(f, a)
		case slices.Contains([]string{
			"missing", "script", "format", "shard_size", "min_doc_count", "include", "exclude", "keyed",
			"precision_threshold", "tdigest", "hdr", "show_term_doc_count_error", "collect_mode", "execution_hint",
			"value_type", "shard_min_doc_count",
		}, word):
			err = illegalArgument("[%s] of [%s] is known to the API and not done here", word, a.Kind)
		default:
			err = r.parsingError(n.names[i].offset, "[%s] does not know [%.100s]", a.Kind, word)
		}
		if err != nil {
			return err
		}
	}
	if a.Field == "" || len(a.Field) > maxNameBytes {
		return r.parsingError(n.offset, "[%s] names no proper field", a.Kind)
	}
	return nil
}

func (r *parser) order(n *node, a *Aggregation) error {
	if n.kind != kindObject || len(n.names) != 1 {
		return illegalArgument("an order of several keys is known to the API and not done here")
	}
	if a.OrderByKey = n.names[0].text == "_key"; !a.OrderByKey && n.names[0].text != "_count" {
		return illegalArgument("order by [%.100s] is known to the API and not done here; by _count or _key is", n.names[0].text)
	}
	if a.Ascending = n.fields[0].text == "asc"; !a.Ascending && n.fields[0].text != "desc" {
		return r.parsingError(n.fields[0].offset, "[order] is neither asc nor desc")
	}
	if a.Ascending && !a.OrderByKey {
		return illegalArgument("order by rising _count is known to the API and not done here: its errors have no bound")
	}
	return nil
}

func (r *parser) percents(n *node, a *Aggregation) error {
	if err := r.requireKind(n, kindArray, "percents"); err != nil {
		return err
	}
	a.Percentiles = nil
	for _, item := range n.items {
		v, err := r.number(item, "percents")
		if err != nil {
			return err
		}
		if v < 0 || v > 100 {
			return r.parsingError(item.offset, "a percent of %g", v)
		}
		a.Percentiles = append(a.Percentiles, v)
	}
	if len(a.Percentiles) == 0 || len(a.Percentiles) > 100 {
		return r.parsingError(n.offset, "%d percents", len(a.Percentiles))
	}
	return nil
}

// number is a JSON number or any float as a float.
func number(v any) (float64, bool) {
	switch v := v.(type) {
	case json.Number:
		f, err := v.Float64()
		return f, err == nil
	case float64:
		return v, true
	}
	return 0, false
}
