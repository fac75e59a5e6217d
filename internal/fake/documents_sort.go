package fake

import (
	"cmp"
	"slices"
	"strings"
)

// sortKey returns a hit's values for the fields that a request sorts by.
func sortKey(sortFields []any, h hit) (key []any) {
	for _, sortField := range sortFields {
		for field, options := range sortField.(map[string]any) {
			switch field {
			case "_score":
				key = append(key, h.score)
			case "_id":
				key = append(key, h.document.ID)
			default:
				key = append(key, fieldSortValue(h.document, field, options.(map[string]any)))
			}
		}
	}
	return key
}

// fieldSortValue is the smallest value of a field, the largest in descending order, or what stands for a missing one.
func fieldSortValue(document *Document, field string, options map[string]any) any {
	values := slices.Clone(fieldValues(document, field))
	slices.SortFunc(values, func(a, b any) int {
		order, _ := compareValues(a, b)
		return order
	})
	if len(values) == 0 {
		missing := options["missing"]
		if missing == "_first" || missing == "_last" {
			return nil
		}
		return missing
	}
	if options["order"] == "desc" {
		return values[len(values)-1]
	}
	return values[0]
}

// compareSortKeys compares as many values as both keys have.
func compareSortKeys(sortFields, a, b []any) int {
	for i, sortField := range sortFields {
		if i >= len(a) || i >= len(b) {
			return 0
		}
		for _, options := range sortField.(map[string]any) {
			if order := compareSortValues(options.(map[string]any), a[i], b[i]); order != 0 {
				return order
			}
		}
	}
	return 0
}

func compareSortValues(options map[string]any, a, b any) int {
	if a == nil || b == nil {
		return compareMissing(options, a, b)
	}
	order, _ := compareValues(a, b)
	if options["order"] == "desc" {
		return -order
	}
	return order
}

// compareMissing puts a missing value last, or first where the options say so.
func compareMissing(options map[string]any, a, b any) (order int) {
	switch {
	case a == nil && b != nil:
		order = 1
	case a != nil:
		order = -1
	}
	if options["missing"] == "_first" {
		return -order
	}
	return order
}

// compareValues compares two numbers or two strings; comparable is false for anything else.
func compareValues(a, b any) (order int, comparable bool) {
	switch x := a.(type) {
	case float64:
		y, ok := b.(float64)
		return cmp.Compare(x, y), ok
	case string:
		y, ok := b.(string)
		return strings.Compare(x, y), ok
	}
	return 0, false
}
