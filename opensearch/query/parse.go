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

// Clause is one checked clause of a query.
type Clause struct {
	Kind               string
	Field              string
	Values             []any                // of term, terms, ids, prefix and match
	Bounds             map[string]any       // of range: gt, gte, lt, lte
	MatchAll           bool                 // of match: every word must match
	Clauses            map[string][]*Clause // of bool: must, filter, should, must_not; of constant_score: filter
	MinimumShouldMatch int                  // of bool: number of should clauses that must match
	Boost              float64
}

// SortKey is one key of a sort; Missing is "_first" or "_last", or a value that replaces a missing one.
type SortKey struct {
	Field      string
	Descending bool
	Missing    any
}

// Aggregation is one checked aggregation; Kind is its type in the API.
type Aggregation struct {
	Name, Kind, Field     string
	Size                  int       // of terms
	Percentiles           []float64 // of percentiles
	OrderByKey, Ascending bool      // of terms: the order
	SubAggregations       []Aggregation
}

// Request is a checked and normalised search.
type Request struct {
	Query          *Clause
	From, Size     int
	Sort           []SortKey // the last is _id
	SortRequested  bool      // whether the client gave a sort: only then do the hits of the answer have their sort values
	SearchAfter    []any
	IncludeSource  bool
	SourceIncludes []string
	SourceExcludes []string
	TrackTotalHits int // number up to which hits are counted; math.MaxInt for all, 0 for none
	MinScore       *float64
	Timeout        time.Duration // 0 for none
	TerminateAfter int
	Aggregations   []Aggregation
}

const (
	defaultSize           = 10     // hits if a search has no size: the API's default
	defaultTrackTotalHits = 10_000 // hits counted if a search has no track_total_hits: the API's default
	defaultTermsSize      = 10     // buckets if an aggregation has no size: the API's default
)

var defaultPercents = []float64{1, 5, 25, 50, 75, 95, 99} // the API's default

// Names that the API has but that are not supported here. The error says so; any other name is called unknown.
var (
	unsupportedFields = wordSet("highlight suggest collapse rescore script_fields stored_fields docvalue_fields fields explain version " +
		"seq_no_primary_term indices_boost post_filter profile pit slice stats runtime_mappings knn ext derived search_pipeline " +
		"include_named_queries_score verbose_pipeline")
	unsupportedClauses = wordSet("fuzzy wildcard regexp match_phrase match_phrase_prefix match_bool_prefix multi_match query_string " +
		"simple_query_string nested has_child has_parent parent_id geo_distance geo_bounding_box geo_polygon geo_shape " +
		"function_score script script_score dis_max boosting more_like_this percolate terms_set distance_feature rank_feature " +
		"intervals knn neural hybrid pinned wrapper span_term span_near span_or span_not span_first span_multi xy_shape template")
	unsupportedAggs = wordSet("stats extended_stats date_histogram histogram range date_range ip_range filter filters global missing nested " +
		"reverse_nested children parent significant_terms significant_text sampler diversified_sampler composite top_hits " +
		"geohash_grid geotile_grid geo_bounds geo_centroid matrix_stats median_absolute_deviation percentile_ranks rare_terms " +
		"scripted_metric weighted_avg variable_width_histogram auto_date_histogram adjacency_matrix multi_terms avg_bucket " +
		"sum_bucket min_bucket max_bucket stats_bucket percentiles_bucket derivative cumulative_sum bucket_script bucket_selector " +
		"bucket_sort serial_diff moving_avg moving_fn")
)

func wordSet(text string) map[string]bool {
	m := map[string]bool{}
	for _, w := range strings.Fields(text) {
		m[w] = true
	}
	return m
}

// unsupportedOrUnknown returns the error for a name that can't be used here: not supported if the set unsupported has it,
// else unknown.
func (r *parser) unsupportedOrUnknown(unsupported map[string]bool, name string, at int, what string) error {
	if unsupported[name] {
		return illegalArgument("%s [%s] is part of the API but not supported here", what, name)
	}
	return r.parsingError(at, "unknown %s [%.100s]", what, name)
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
		name := n.names[i].text
		switch name {
		case "query":
			q.Query, err = r.clause(f, &clauses)
		case "from":
			q.From, err = r.integer(f, name, 0, MaxResultWindow)
		case "size":
			q.Size, err = r.integer(f, name, 0, MaxResultWindow)
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
			v, err = r.number(f, name)
			q.MinScore = &v
		case "track_scores":
			err = r.requireKind(f, kindBool, name)
		case "timeout":
			q.Timeout, err = r.timeout(f)
		case "terminate_after":
			q.TerminateAfter, err = r.integer(f, name, 0, math.MaxInt32)
		case "aggs", "aggregations":
			if len(q.Aggregations) > 0 {
				err = r.parsingError(n.names[i].offset, "only one of [aggs] and [aggregations] is allowed")
				break
			}
			count := 0
			q.Aggregations, err = r.aggs(f, 1, &count)
		default:
			err = r.unsupportedOrUnknown(unsupportedFields, name, n.names[i].offset, "search field")
		}
		if err != nil {
			return nil, err
		}
	}
	return q, q.normalize()
}

// normalize checks the fields that depend on one another and fills in the sort.
func (q *Request) normalize() error {
	if q.From+q.Size > MaxResultWindow {
		return illegalArgument("Result window is too large, from + size must be less than or equal to: [%d] but was [%d]. "+
			"Use search_after beyond it.", MaxResultWindow, q.From+q.Size)
	}
	if len(q.Sort) == 0 {
		q.Sort = []SortKey{{Field: "_score", Descending: true}}
	}
	if len(q.SearchAfter) > 0 {
		if !q.SortRequested {
			return illegalArgument("[search_after] requires a [sort]")
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
			return illegalArgument("sort by [_id] must come last: no two documents share an _id")
		}
	}
	if q.Sort[len(q.Sort)-1].Field != "_id" {
		q.Sort = append(q.Sort, SortKey{Field: "_id", Missing: "_last"})
	}
	if n := len(q.SearchAfter); n > 0 && n < len(q.Sort) { // no _id given: continue after all documents with the given values, as the API does
		q.SearchAfter = append(q.SearchAfter, string(utf8.MaxRune))
	}
	return nil
}

// clause parses a clause and the clauses in it; count is the number of clauses so far in the whole query.
func (r *parser) clause(n *node, count *int) (*Clause, error) {
	if *count++; *count > maxClauses {
		return nil, &APIError{Status: 400, Type: "too_many_clauses", Reason: "maxClauseCount is set to " + strconv.Itoa(maxClauses)}
	}
	if err := r.requireKind(n, kindObject, "query"); err != nil {
		return nil, err
	}
	if len(n.names) != 1 {
		return nil, r.parsingError(n.offset, "a clause must have exactly one name, got %d", len(n.names))
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
			err = r.parseFields(body, kind, c, func(name string, f *node) (bool, error) {
				if name != "field" {
					return false, nil
				}
				c.Field = f.text
				return true, r.requireKind(f, kindString, "field")
			})
		}
		if err == nil && c.Field == "" {
			err = r.parsingError(body.offset, "[exists] requires a [field]")
		}
	case "ids":
		err = r.requireKind(body, kindObject, kind)
		if err == nil {
			err = r.parseFields(body, kind, c, func(name string, f *node) (bool, error) {
				if name != "values" {
					return false, nil
				}
				var err error
				c.Values, err = r.values(f, "values")
				return true, err
			})
		}
		for _, v := range c.Values {
			if _, isString := v.(string); !isString && err == nil {
				err = r.parsingError(body.offset, "[ids] has a value that is not a string")
			}
		}
	case "bool":
		err = r.boolClause(body, c, count)
	case "constant_score":
		c.Clauses = map[string][]*Clause{}
		err = r.requireKind(body, kindObject, kind)
		if err == nil {
			err = r.parseFields(body, kind, c, func(name string, f *node) (bool, error) {
				if name != "filter" {
					return false, nil
				}
				sub, err := r.clause(f, count)
				c.Clauses[name] = []*Clause{sub}
				return true, err
			})
		}
		if err == nil && len(c.Clauses["filter"]) == 0 {
			err = r.parsingError(body.offset, "[constant_score] requires a [filter]")
		}
	default:
		err = r.unsupportedOrUnknown(unsupportedClauses, kind, n.names[0].offset, "query")
	}
	return c, err
}

// parseFields parses the fields of a clause's object. It parses boost itself and passes each other field to parseField,
// which reports whether it knows the field. One that it doesn't know is rejected as unsupported or unknown.
func (r *parser) parseFields(n *node, what string, c *Clause, parseField func(name string, f *node) (bool, error)) error {
	for i, f := range n.fields {
		name := n.names[i].text
		if name == "boost" {
			v, err := r.number(f, name)
			if err != nil {
				return err
			}
			if v < 0 {
				return r.parsingError(f.offset, "[boost] is negative")
			}
			c.Boost = v
			continue
		}
		if parseField != nil {
			known, err := parseField(name, f)
			if err != nil {
				return err
			}
			if known {
				continue
			}
		}
		if slices.Contains([]string{
			"_name", "case_insensitive", "fuzziness", "analyzer", "zero_terms_query", "format",
			"relation", "time_zone", "rewrite", "minimum_should_match", "lenient", "value_type",
		}, name) {
			return illegalArgument("[%s] of [%s] is part of the API but not supported here", name, what)
		}
		return r.parsingError(n.names[i].offset, "[%s] has an unknown field [%.100s]", what, name)
	}
	return nil
}

// singleField returns the name and value of the one field that a clause such as term has.
func (r *parser) singleField(n *node, what string) (string, *node, error) {
	if err := r.requireKind(n, kindObject, what); err != nil {
		return "", nil, err
	}
	if len(n.names) != 1 {
		return "", nil, r.parsingError(n.offset, "[%s] names %d fields, expected one", what, len(n.names))
	}
	return n.names[0].text, n.fields[0], r.checkFieldName(n.names[0])
}

func (r *parser) checkFieldName(n fieldName) error {
	if n.text == "" || len(n.text) > maxNameBytes {
		return r.parsingError(n.offset, "field name of %d bytes, expected 1 to %d", len(n.text), maxNameBytes)
	}
	return nil
}

// fieldClause parses a term, prefix or match clause.
func (r *parser) fieldClause(n *node, c *Clause) error {
	field, f, err := r.singleField(n, c.Kind)
	if err != nil {
		return err
	}
	c.Field = field
	if f.kind == kindObject {
		valueName := map[string]string{"term": "value", "prefix": "value", "match": "query"}[c.Kind]
		err = r.parseFields(f, c.Kind, c, func(name string, g *node) (bool, error) {
			if c.Kind == "match" && name == "operator" {
				op := strings.ToLower(g.text)
				if c.MatchAll = op == "and"; op != "and" && op != "or" {
					return true, r.parsingError(g.offset, "[operator] must be [and] or [or]")
				}
				return true, nil
			}
			if name != valueName {
				return false, nil
			}
			v, err := r.scalar(g, name)
			c.Values = []any{v}
			return true, err
		})
	} else {
		var v any
		v, err = r.scalar(f, field)
		c.Values = []any{v}
	}
	if err == nil && len(c.Values) == 0 {
		err = r.parsingError(f.offset, "[%s] requires a value", c.Kind)
	}
	if _, isString := firstValue(c.Values).(string); err == nil && c.Kind == "prefix" && !isString {
		err = r.parsingError(f.offset, "[prefix] requires a string")
	}
	return err
}

func firstValue(all []any) any {
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
		return nil, illegalArgument("[%s] has %d values, the maximum is %d", what, len(n.items), maxTerms)
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
	return r.parseFields(n, c.Kind, c, func(name string, f *node) (bool, error) {
		if f.kind == kindObject {
			return true, illegalArgument("a lookup in [terms] is part of the API but not supported here")
		}
		if c.Field != "" {
			return true, r.parsingError(f.offset, "[terms] names more than one field")
		}
		c.Field = name
		var err error
		c.Values, err = r.values(f, name)
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
	return r.parseFields(f, c.Kind, c, func(name string, g *node) (bool, error) {
		if !slices.Contains([]string{"gt", "gte", "lt", "lte"}, name) {
			return false, nil
		}
		if g.kind == kindNull { // null means no bound in the API
			return true, nil
		}
		v, err := r.scalar(g, name)
		c.Bounds[name] = v
		return true, err
	})
}

func (r *parser) boolClause(n *node, c *Clause, count *int) error {
	if err := r.requireKind(n, kindObject, c.Kind); err != nil {
		return err
	}
	c.Clauses = map[string][]*Clause{}
	var minimum *node
	err := r.parseFields(n, c.Kind, c, func(name string, f *node) (bool, error) {
		switch name {
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
				c.Clauses[name] = append(c.Clauses[name], sub)
			}
			return true, nil
		case "minimum_should_match":
			minimum = f
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
	if minimum == nil {
		return nil
	}
	text, percent := minimum.text, false
	if minimum.kind == kindString {
		text, percent = strings.CutSuffix(text, "%")
	}
	v, err := strconv.Atoi(text)
	if err != nil || minimum.kind != kindString && minimum.kind != kindNumber {
		return illegalArgument("minimum_should_match [%.40s] is part of the API but not supported here: expected a whole number or a percentage", minimum.text)
	}
	if percent {
		if v < -100 || v > 100 {
			return r.parsingError(minimum.offset, "[minimum_should_match] must be a percentage from -100 to 100")
		}
		v = int(float64(v) / 100 * float64(should)) // rounded towards zero, as in the API
	}
	if v < 0 { // a negative number is how many should clauses need not match
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
		return illegalArgument("%d sort keys, the maximum is %d", len(all), maxSortKeys)
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
				switch name := f.names[i].text; name {
				case "order":
					if k.Descending = g.text == "desc"; g.kind != kindString || g.text != "asc" && g.text != "desc" {
						return r.parsingError(g.offset, "[order] must be [asc] or [desc]")
					}
				case "missing":
					v, err := r.scalar(g, name)
					if err != nil {
						return err
					}
					k.Missing = v
				case "mode", "nested", "unmapped_type", "numeric_type", "format":
					return illegalArgument("[%s] of [sort] is part of the API but not supported here", name)
				default:
					return r.parsingError(f.names[i].offset, "[sort] has an unknown field [%.100s]", name)
				}
			}
		default:
			return r.parsingError(item.offset, "a sort key must be a name or an object with exactly one name")
		}
		switch {
		case k.Field == "" || len(k.Field) > maxNameBytes:
			return r.parsingError(item.offset, "sort key name is empty or too long")
		case k.Field == "_script" || k.Field == "_geo_distance" || k.Field == "_doc":
			return illegalArgument("sort by [%s] is part of the API but not supported here", k.Field)
		case slices.ContainsFunc(q.Sort, func(o SortKey) bool { return o.Field == k.Field }):
			return r.parsingError(item.offset, "duplicate sort key [%.100s]", k.Field)
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
			return r.parsingError(item.offset, "[search_after] must hold plain values only")
		}
		q.SearchAfter = append(q.SearchAfter, item.scalar())
	}
	if len(q.SearchAfter) == 0 || len(q.SearchAfter) > maxSortKeys+1 {
		return r.parsingError(n.offset, "[search_after] has %d values, expected one for each sort key", len(q.SearchAfter))
	}
	return nil
}

func (r *parser) source(n *node, q *Request) error {
	stringList := func(n *node) ([]string, error) {
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
		q.SourceIncludes, err = stringList(n)
	case kindObject:
		for i, f := range n.fields {
			switch n.names[i].text {
			case "includes", "include":
				q.SourceIncludes, err = stringList(f)
			case "excludes", "exclude":
				q.SourceExcludes, err = stringList(f)
			default:
				err = r.parsingError(n.names[i].offset, "[_source] has an unknown field [%.100s]", n.names[i].text)
			}
			if err != nil {
				return err
			}
		}
	default:
		err = r.parsingError(n.offset, "[_source] is %s, expected a boolean, a string, an array or an object", kindNames[n.kind])
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

// ParseDuration parses a duration in the API's units: nanos, micros, ms, s, m, h, d.
func ParseDuration(text string) (time.Duration, error) {
	for _, u := range []struct {
		suffix string
		unit   time.Duration
	}{
		{"nanos", time.Nanosecond},
		{"micros", time.Microsecond},
		{"ms", time.Millisecond},
		{"s", time.Second},
		{"m", time.Minute},
		{"h", time.Hour},
		{"d", 24 * time.Hour},
	} {
		if digits, ok := strings.CutSuffix(text, u.suffix); ok {
			v, err := strconv.ParseUint(digits, 10, 31)
			if err != nil {
				continue
			}
			if float64(v)*float64(u.unit) > float64(math.MaxInt64/2) {
				break
			}
			return time.Duration(v) * u.unit, nil
		}
	}
	return 0, illegalArgument("[%.40s] is not a duration such as 500ms or 2s", text)
}

// aggs parses an object of aggregations; count is the number of aggregations so far in the whole search.
func (r *parser) aggs(n *node, depth int, count *int) ([]Aggregation, error) {
	if err := r.requireKind(n, kindObject, "aggs"); err != nil {
		return nil, err
	}
	if depth > maxAggDepth {
		return nil, illegalArgument("aggregations are nested more than %d levels deep", maxAggDepth)
	}
	var all []Aggregation
	for i, f := range n.fields {
		if *count++; *count > maxAggs {
			return nil, illegalArgument("more than %d aggregations", maxAggs)
		}
		a := Aggregation{Name: n.names[i].text}
		if a.Name == "" || len(a.Name) > maxNameBytes || strings.ContainsAny(a.Name, "[]>") {
			return nil, r.parsingError(n.names[i].offset, "[%.100s] is not a valid aggregation name", a.Name)
		}
		if err := r.requireKind(f, kindObject, "aggs"); err != nil {
			return nil, err
		}
		var subs *node
		for j, g := range f.fields {
			name := f.names[j].text
			if name == "aggs" || name == "aggregations" {
				subs = g
				continue
			}
			if name == "meta" {
				return nil, illegalArgument("[meta] of an aggregation is part of the API but not supported here")
			}
			if a.Kind != "" {
				return nil, r.parsingError(f.names[j].offset, "aggregation [%.100s] has more than one type", a.Name)
			}
			a.Kind = name
			if err := r.agg(g, &a, f.names[j].offset); err != nil {
				return nil, err
			}
		}
		if a.Kind == "" {
			return nil, r.parsingError(f.offset, "aggregation [%.100s] has no type", a.Name)
		}
		if subs != nil {
			if a.Kind != "terms" {
				return nil, r.parsingError(subs.offset, "[%s] does not support sub-aggregations", a.Kind)
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
		return r.unsupportedOrUnknown(unsupportedAggs, a.Kind, at, "aggregation")
	}
	if err := r.requireKind(n, kindObject, a.Kind); err != nil {
		return err
	}
	a.Size, a.Percentiles = defaultTermsSize, defaultPercents
	var err error
	for i, f := range n.fields {
		name := n.names[i].text
		switch {
		case name == "field":
			a.Field, err = f.text, r.requireKind(f, kindString, name)
		case name == "size" && a.Kind == "terms":
			a.Size, err = r.integer(f, name, 1, maxBuckets)
		case name == "order" && a.Kind == "terms":
			err = r.order(f, a)
		case name == "percents" && a.Kind == "percentiles":
			err = r.percents(f, a)
		case slices.Contains([]string{
			"missing", "script", "format", "shard_size", "min_doc_count", "include", "exclude", "keyed",
			"precision_threshold", "tdigest", "hdr", "show_term_doc_count_error", "collect_mode", "execution_hint",
			"value_type", "shard_min_doc_count",
		}, name):
			err = illegalArgument("[%s] of [%s] is part of the API but not supported here", name, a.Kind)
		default:
			err = r.parsingError(n.names[i].offset, "[%s] has an unknown field [%.100s]", a.Kind, name)
		}
		if err != nil {
			return err
		}
	}
	if a.Field == "" || len(a.Field) > maxNameBytes {
		return r.parsingError(n.offset, "[%s] requires a [field] that is not empty or too long", a.Kind)
	}
	return nil
}

func (r *parser) order(n *node, a *Aggregation) error {
	if n.kind != kindObject || len(n.names) != 1 {
		return illegalArgument("an order of several keys is part of the API but not supported here")
	}
	if a.OrderByKey = n.names[0].text == "_key"; !a.OrderByKey && n.names[0].text != "_count" {
		return illegalArgument("order by [%.100s] is part of the API but not supported here; use _count or _key", n.names[0].text)
	}
	if a.Ascending = n.fields[0].text == "asc"; !a.Ascending && n.fields[0].text != "desc" {
		return r.parsingError(n.fields[0].offset, "[order] must be [asc] or [desc]")
	}
	if a.Ascending && !a.OrderByKey {
		return illegalArgument("order by ascending _count is part of the API but not supported here: its error has no upper bound")
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
			return r.parsingError(item.offset, "percent %g, expected 0 to 100", v)
		}
		a.Percentiles = append(a.Percentiles, v)
	}
	if len(a.Percentiles) == 0 || len(a.Percentiles) > 100 {
		return r.parsingError(n.offset, "[percents] has %d values, expected 1 to 100", len(a.Percentiles))
	}
	return nil
}

// toFloat returns a json.Number or float64 as a float64; false for any other value.
func toFloat(v any) (float64, bool) {
	switch v := v.(type) {
	case json.Number:
		f, err := v.Float64()
		return f, err == nil
	case float64:
		return v, true
	}
	return 0, false
}
