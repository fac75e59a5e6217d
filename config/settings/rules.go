package settings

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
)

// rule returns what is wrong with the text of a setting, or the empty string if the text is valid.
type rule func(text string) (problem string)

// rules are the settings that the balancer reads, by name. A star stands for the index into a list of objects.
var rules = map[string]rule{
	"Balancers": positive,
	"Tick":      nonNegative,

	"Specifics.Sets":        positiveInteger,
	"Specifics.Reach":       positiveInteger,
	"Specifics.Ranges":      positiveInteger,
	"Specifics.PerCall":     positiveInteger,
	"Specifics.NeedByClass": listOf(fraction),
	"Specifics.ClassFloor":  listOf(fraction),
	"Specifics.ShortWorth":  listOf(fraction),
	"Specifics.FollowUp":    listOf(integer),

	"Permissions.SecondCopies":   boolean,
	"Permissions.Cancelling":     boolean,
	"Permissions.RetryAfter":     boolean,
	"Permissions.MaxRetryAfter":  nonNegative,
	"Permissions.MaxAttempts":    positiveInteger,
	"Permissions.ConnIdle":       positive,
	"Permissions.DialTimeout":    positive,
	"Permissions.StreamsPerConn": integer,

	"Safety.AskWithin":    nonNegative,
	"Safety.Cold":         nonNegative,
	"Safety.ColdFrom":     fraction,
	"Safety.DrainGrace":   nonNegative,
	"Safety.Fall":         nonNegative,
	"Safety.FallMultiple": nonNegative,
	"Safety.ExtraFloor":   nonNegative,
	"Safety.FurtherRatio": nonNegative,
	"Safety.LookBack":     nonNegative,

	"Classes.*.Aim":          nonNegative,
	"Classes.*.Deadline":     nonNegative,
	"Classes.*.RepeatWindow": nonNegative,
	"Classes.*.LateShare":    fraction,
	"Classes.*.Effect":       oneOf("retryable", "dedup", "fragile"),

	"Tenants.*.QuotaPerS": nonNegative,
}

// listsByClass are the settings that have one value for each search class.
var listsByClass = []string{
	"Specifics.NeedByClass", "Specifics.ClassFloor", "Specifics.ShortWorth", "Specifics.FollowUp",
}

// parseNonNegative returns the number and "", or 0 and a description of the problem.
func parseNonNegative(text string) (value float64, problem string) {
	value, err := strconv.ParseFloat(text, 64)
	switch {
	case err != nil || math.IsNaN(value) || math.IsInf(value, 0):
		return 0, fmt.Sprintf("%q is not a finite number", text)
	case value < 0:
		return 0, fmt.Sprintf("%s is less than 0", text)
	}
	return value, ""
}

func nonNegative(text string) string {
	_, problem := parseNonNegative(text)
	return problem
}

func positive(text string) string {
	value, problem := parseNonNegative(text)
	if problem == "" && value == 0 {
		return fmt.Sprintf("%s is not greater than 0", text)
	}
	return problem
}

// integer accepts whole numbers that are not negative. It is for counts, whose fractional part the balancer would ignore.
func integer(text string) string {
	value, problem := parseNonNegative(text)
	if problem == "" && (value != math.Trunc(value) || value > math.MaxInt32) {
		return fmt.Sprintf("%s is not a whole number of at most 2147483647", text)
	}
	return problem
}

func positiveInteger(text string) string {
	if problem := integer(text); problem != "" {
		return problem
	}
	return positive(text)
}

// fraction is a number from 0 to 1.
func fraction(text string) string {
	value, problem := parseNonNegative(text)
	if problem == "" && value > 1 {
		return fmt.Sprintf("%s is greater than 1", text)
	}
	return problem
}

func boolean(text string) string {
	switch text {
	case "true", "1", "false", "0":
		return ""
	}
	return fmt.Sprintf("%q is neither true nor false", text)
}

func oneOf(values ...string) rule {
	return func(text string) string {
		if slices.Contains(values, text) {
			return ""
		}
		return fmt.Sprintf("%q is not one of %s", text, strings.Join(values, ", "))
	}
}

// listOf returns a rule for lists separated by commas that applies the given rule to each item.
func listOf(item rule) rule {
	return func(text string) string {
		for i, value := range strings.Split(text, ",") {
			if problem := item(value); problem != "" {
				return fmt.Sprintf("item %d: %s", i, problem)
			}
		}
		return ""
	}
}
