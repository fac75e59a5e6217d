package fake

import (
	"fmt"
	"math"
	"slices"
)

// aggregate returns the requested aggregations over hits, by name.
func aggregate(requested map[string]any, hits []hit) map[string]any {
	results := map[string]any{}
	for name, entry := range requested {
		aggregation := entry.(map[string]any)
		for kind, options := range aggregation {
			if kind == "aggs" {
				continue
			}
			body := options.(map[string]any)
			field := body["field"].(string)
			if kind == "terms" {
				subAggregations, _ := aggregation["aggs"].(map[string]any)
				results[name] = aggregateTerms(body, field, subAggregations, hits)
			} else if result := aggregateMetric(kind, body, field, hits); result != nil {
				results[name] = result
			}
		}
	}
	return results
}

// aggregateMetric returns value_count, stats or percentiles of a field, nil for any other kind.
func aggregateMetric(kind string, body map[string]any, field string, hits []hit) map[string]any {
	count, numbers := collectValues(field, hits)
	switch kind {
	case "value_count":
		return map[string]any{"value": count}
	case "stats":
		return statistics(count, numbers)
	case "percentiles":
		values := map[string]any{}
		for _, percent := range body["percents"].([]any) {
			values[fmt.Sprintf("%.1f", percent)] = percentile(numbers, percent.(float64))
		}
		return map[string]any{"values": values}
	}
	return nil
}

// collectValues counts all values of a field, and returns the numbers among them in order.
func collectValues(field string, hits []hit) (count int, numbers []float64) {
	for _, h := range hits {
		for _, value := range fieldValues(h.document, field) {
			count++
			if number, ok := value.(float64); ok {
				numbers = append(numbers, number)
			}
		}
	}
	slices.Sort(numbers)
	return count, numbers
}

func statistics(count int, sorted []float64) map[string]any {
	if len(sorted) == 0 {
		return map[string]any{"count": count, "sum": 0.0, "min": nil, "max": nil, "avg": nil}
	}
	sum := 0.0
	for _, number := range sorted {
		sum += number
	}
	return map[string]any{
		"count": count, "sum": sum, "min": sorted[0], "max": sorted[len(sorted)-1], "avg": sum / float64(len(sorted)),
	}
}

// percentile interpolates between the two nearest values; nil where there is none.
func percentile(sorted []float64, percent float64) any {
	if len(sorted) == 0 {
		return nil
	}
	position := percent / 100 * float64(len(sorted)-1)
	low := int(math.Floor(position))
	high := min(low+1, len(sorted)-1)
	return sorted[low] + (sorted[high]-sorted[low])*(position-float64(low))
}

// aggregateTerms groups hits by the values of a field.
func aggregateTerms(body map[string]any, field string, subAggregations map[string]any, hits []hit) map[string]any {
	groups := groupByValue(field, hits)
	order, _ := body["order"].(map[string]any)
	size, others, buckets := int(body["size"].(float64)), 0, []any{}
	for i, key := range sortedGroupKeys(groups, order) {
		if i >= size {
			others += len(groups[key])
			continue
		}
		bucket := map[string]any{"key": key, "doc_count": len(groups[key])}
		if subAggregations != nil {
			for name, result := range aggregate(subAggregations, groups[key]) {
				bucket[name] = result
			}
		}
		buckets = append(buckets, bucket)
	}
	return map[string]any{"doc_count_error_upper_bound": 0, "sum_other_doc_count": others, "buckets": buckets}
}

func groupByValue(field string, hits []hit) map[any][]hit {
	groups := map[any][]hit{}
	for _, h := range hits {
		seen := map[any]bool{}
		for _, value := range fieldValues(h.document, field) {
			if !seen[value] {
				seen[value] = true
				groups[value] = append(groups[value], h)
			}
		}
	}
	return groups
}

// sortedGroupKeys orders groups by size, the largest first, or by key where the request says so.
func sortedGroupKeys(groups map[any][]hit, order map[string]any) []any {
	keys := make([]any, 0, len(groups))
	for key := range groups {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b any) int {
		if order["_key"] == nil && len(groups[a]) != len(groups[b]) {
			return len(groups[b]) - len(groups[a])
		}
		result, _ := compareValues(a, b)
		if order["_key"] == "desc" {
			return -result
		}
		return result
	})
	return keys
}
