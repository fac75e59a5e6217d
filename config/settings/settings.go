// Package settings defines which settings the balancer reads and which values are valid for each. Plans and installation
// files are checked with it before anything starts, so that an invalid setting makes the start fail rather than a search.
// All functions are pure.
//
// Settings are named by paths as in the simulator's protocol: Specifics.NeedByClass, Classes.0.Aim. Flatten makes such
// names from nested objects.
package settings

import (
	"regexp"
	"slices"
	"strings"
)

// listIndex matches the index of an item in a list of objects, within a setting's name.
var listIndex = regexp.MustCompile(`\.\d+\.`)

func ruleFor(name string) rule { return rules[listIndex.ReplaceAllString(name, ".*.")] }

// IsKnown reports whether the balancer reads a setting of this name.
func IsKnown(name string) bool { return ruleFor(name) != nil }

// Validate checks one setting. A setting that the balancer does not read may have any value. The error is an
// InvalidSettingError.
func Validate(name, text string) error {
	check := ruleFor(name)
	if check == nil {
		return nil
	}
	if problem := check(text); problem != "" {
		return &InvalidSettingError{Setting: name, Problem: problem}
	}
	return nil
}

// ValidateAll checks all settings, and that lists by search class have one value for each of classCount classes. It
// returns an InvalidSettingError or a ListLengthError for the first invalid setting in the order of names.
func ValidateAll(values map[string]string, classCount int) error {
	for _, name := range sortedNames(values) {
		if err := Validate(name, values[name]); err != nil {
			return err
		}
		if !slices.Contains(listsByClass, name) {
			continue
		}
		if count := strings.Count(values[name], ",") + 1; count != classCount {
			return &ListLengthError{Setting: name, Values: count, Classes: classCount}
		}
	}
	return nil
}
