package fake

import (
	"fmt"
	"slices"
	"strings"
)

// matchQuery tells whether a document matches a query clause, and its score.
func matchQuery(query map[string]any, document *Document) (matches bool, score float64) {
	for kind, clause := range query {
		body := clause.(map[string]any)
		boost := boostOf(body, 1)
		switch kind {
		case "match_all":
			return true, boost
		case "match_none":
			return false, 0
		case "bool":
			return matchBool(body, document, boost)
		case "constant_score":
			matches, _ := matchQuery(body["filter"].(map[string]any), document)
			return matches, boost
		case "ids":
			return slices.Contains(body["values"].([]any), any(document.ID)), boost
		case "exists":
			return len(fieldValues(document, body["field"].(string))) > 0, boost
		case "terms":
			return matchTerms(body, document, boost)
		default:
			return matchField(kind, body, document, boost)
		}
	}
	return false, 0
}

func boostOf(body map[string]any, otherwise float64) float64 {
	if boost, ok := body["boost"].(float64); ok {
		return boost
	}
	return otherwise
}

func matchTerms(body map[string]any, document *Document, boost float64) (matches bool, score float64) {
	for field, list := range body {
		if wanted, ok := list.([]any); ok {
			return slices.ContainsFunc(fieldValues(document, field), func(value any) bool {
				return slices.Contains(wanted, value)
			}), boost
		}
	}
	return false, 0
}

// matchField evaluates a clause that names one field: term, prefix, match or range.
func matchField(kind string, body map[string]any, document *Document, boost float64) (matches bool, score float64) {
	for field, condition := range body {
		options := condition.(map[string]any)
		boost = boostOf(options, boost)
		best := 0.0
		for _, value := range fieldValues(document, field) {
			best = max(best, matchValue(kind, options, value))
		}
		return best > 0, best * boost
	}
	return false, 0
}

// matchValue is how well one value matches: 0 for not at all, and for match the number of words.
func matchValue(kind string, options map[string]any, value any) float64 {
	matches := false
	switch kind {
	case "term":
		matches = value == options["value"]
	case "prefix":
		text, isText := value.(string)
		matches = isText && strings.HasPrefix(text, options["value"].(string))
	case "match":
		return matchWords(options, value)
	case "range":
		matches = matchRange(options, value)
	}
	if matches {
		return 1
	}
	return 0
}

// matchWords counts the words of the query that the value has; with the operator and it needs all of them.
func matchWords(options map[string]any, value any) float64 {
	present := strings.Fields(strings.ToLower(fmt.Sprint(value)))
	wanted := strings.Fields(strings.ToLower(fmt.Sprint(options["query"])))
	found := 0
	for _, word := range wanted {
		if slices.Contains(present, word) {
			found++
		}
	}
	if options["operator"] == "and" && found < len(wanted) {
		return 0
	}
	return float64(found)
}

func matchRange(options map[string]any, value any) bool {
	for bound, limit := range options {
		if bound == "boost" {
			continue
		}
		order, comparable := compareValues(value, limit)
		if !comparable || !isWithin(bound, order) {
			return false
		}
	}
	return true
}

// isWithin tells whether a value that compares with a bound's limit by order is inside the bound.
func isWithin(bound string, order int) bool {
	switch bound {
	case "gt":
		return order > 0
	case "gte":
		return order >= 0
	case "lt":
		return order < 0
	case "lte":
		return order <= 0
	}
	return true
}

func matchBool(body map[string]any, document *Document, boost float64) (matches bool, score float64) {
	matchEach := func(occurrence string) (clauses, matched int, score float64) {
		list, _ := body[occurrence].([]any)
		for _, clause := range list {
			if ok, clauseScore := matchQuery(clause.(map[string]any), document); ok {
				matched++
				score += clauseScore
			}
		}
		return len(list), matched, score
	}
	must, mustMatched, mustScore := matchEach("must")
	filter, filterMatched, _ := matchEach("filter")
	_, mustNotMatched, _ := matchEach("must_not")
	_, shouldMatched, shouldScore := matchEach("should")
	minShould := 0
	if value, ok := body["minimum_should_match"].(float64); ok {
		minShould = int(value)
	}
	matches = mustMatched == must && filterMatched == filter && mustNotMatched == 0 && shouldMatched >= minShould
	return matches, (mustScore + shouldScore) * boost
}
