// Package settings knows which settings the balancer reads and which values each may have. A plan and an installation
// file are checked against it before anything starts, so that a bad setting ends the start and not a search. All
// functions are pure.
//
// Settings are named by paths as on the simulator's wire: Specifics.NeedByClass, Classes.0.Aim. Flatten makes such names
// from nested objects.
package settings

import (
	"regexp"
	"slices"
	"strings"
)

// listIndex matches the index into a list of objects in a setting's name.
var listIndex = regexp.MustCompile(`\.\d+\.`)

func ruleFor(name string) rule { return rules[listIndex.ReplaceAllString(name, ".*.")] }

// IsKnown reports whether the balancer reads a setting of this name.
func IsKnown(name string) bool { return ruleFor(name) != nil }

// Validate checks one setting. A setting that the balancer does not read may have any value. It returns an
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

// ValidateAll checks all settings, and that lists by search class have a place for each of classCount classes. It returns
// an InvalidSettingError or a ListLengthError for the first bad setting in the order of names.
func ValidateAll(values map[string]string, classCount int) error {
	for _, name := range sortedNames(values) {
		if err := Validate(name, values[name]); err != nil {
			return err
		}
		if !slices.Contains(listsByClass, name) {
			continue
		}
		if places := strings.Count(values[name], ",") + 1; places != classCount {
			return &ListLengthError{Setting: name, Places: places, Classes: classCount}
		}
	}
	return nil
}
