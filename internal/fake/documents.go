package fake

import (
	"encoding/json"
	"fmt"
	"slices"
	"sort"
	"strings"
)

// defaultHits is the number of hits in a response where the request names none, as in the API.
const defaultHits = 10

// Document is one document of a shard: its id and its fields.
type Document struct {
	ID     string
	Fields map[string]any // string, float64, bool, or a list of them
}

// ShardDocuments are the documents of one shard, held in memory. Search answers the OpenSearch-style language over them as one
// shard of an index does. It reads plain JSON and shares no code with opensearch/query, so that each checks the other.
type ShardDocuments struct {
	Index     string
	Documents []Document
}

// hit is a document that matches a query.
type hit struct {
	document *Document
	score    float64
	sortKey  []any
}

// Search returns the response body for a search's request body. It fails on a body that is no JSON object.
func (s *ShardDocuments) Search(text []byte) ([]byte, error) {
	var request map[string]any
	if err := json.Unmarshal(text, &request); err != nil {
		return nil, err
	}
	hits := s.match(request)
	sortFields, _ := request["sort"].([]any)
	sortHits(sortFields, hits)
	var aggregations map[string]any
	if requested, ok := request["aggs"].(map[string]any); ok {
		aggregations = aggregate(requested, hits)
	}
	total, relation := totalHits(request, len(hits))
	if after, ok := request["search_after"].([]any); ok {
		hits = slices.DeleteFunc(hits, func(h hit) bool {
			return compareSortKeys(sortFields, h.sortKey[:len(after)], after) <= 0
		})
	}
	hitList := map[string]any{"max_score": nil, "hits": s.encodeHits(request, hits)}
	if request["track_total_hits"] != false {
		hitList["total"] = map[string]any{"value": total, "relation": relation}
	}
	response := map[string]any{
		"took": 1, "timed_out": false,
		"_shards": map[string]any{"total": 1, "successful": 1, "skipped": 0, "failed": 0},
		"hits":    hitList,
	}
	if aggregations != nil {
		response["aggregations"] = aggregations
	}
	return json.Marshal(response)
}

// match returns the documents that match the request's query and minimum score.
func (s *ShardDocuments) match(request map[string]any) (hits []hit) {
	query, hasQuery := request["query"].(map[string]any)
	minScore, hasMinScore := request["min_score"].(float64)
	for i := range s.Documents {
		document := &s.Documents[i]
		matches, score := true, 1.0
		if hasQuery {
			matches, score = matchQuery(query, document)
		}
		if matches && (!hasMinScore || score >= minScore) {
			hits = append(hits, hit{document: document, score: score})
		}
	}
	return hits
}

// totalHits returns the number of hits as the response reports it, cut at the request's track_total_hits.
func totalHits(request map[string]any, count int) (total int, relation string) {
	if limit, ok := request["track_total_hits"].(float64); ok && count > int(limit) {
		return int(limit), "gte"
	}
	return count, "eq"
}

func (s *ShardDocuments) encodeHits(request map[string]any, hits []hit) []any {
	size := defaultHits
	if value, ok := request["size"].(float64); ok {
		size = int(value)
	}
	encoded := []any{}
	for _, h := range hits[:min(size, len(hits))] {
		entry := map[string]any{"_index": s.Index, "_id": h.document.ID, "_score": h.score, "sort": h.sortKey}
		if source, included := filterSource(request["_source"], h.document.Fields); included {
			entry["_source"] = source
		}
		encoded = append(encoded, entry)
	}
	return encoded
}

// filterSource returns the fields that the request's _source wants, and whether the source is wanted at all.
func filterSource(source any, fields map[string]any) (map[string]any, bool) {
	if source == false {
		return nil, false
	}
	filter, _ := source.(map[string]any)
	includes, excludes := fieldPatterns(filter["includes"]), fieldPatterns(filter["excludes"])
	kept := map[string]any{}
	for name, value := range fields {
		if (len(includes) == 0 || matchesPattern(name, includes)) && !matchesPattern(name, excludes) {
			kept[name] = value
		}
	}
	return kept, true
}

func fieldPatterns(list any) (patterns []string) {
	entries, _ := list.([]any)
	for _, entry := range entries {
		patterns = append(patterns, fmt.Sprint(entry))
	}
	return patterns
}

func matchesPattern(name string, patterns []string) bool {
	return slices.ContainsFunc(patterns, func(pattern string) bool {
		prefix, isWildcard := strings.CutSuffix(pattern, "*")
		return pattern == name || isWildcard && strings.HasPrefix(name, prefix)
	})
}

// fieldValues returns the values of a field as a list.
func fieldValues(document *Document, field string) []any {
	switch value := document.Fields[field].(type) {
	case nil:
		return nil
	case []any:
		return value
	default:
		return []any{value}
	}
}

func sortHits(sortFields []any, hits []hit) {
	for i := range hits {
		hits[i].sortKey = sortKey(sortFields, hits[i])
	}
	sort.SliceStable(hits, func(i, j int) bool {
		return compareSortKeys(sortFields, hits[i].sortKey, hits[j].sortKey) < 0
	})
}
