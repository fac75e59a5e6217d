// Package settings knows which settings the decision module reads and what they may be. A plan and an installation's file
// are held against it before anything starts: a bad setting ends the start and not a search. It decides nothing else.
package settings

import (
	"fmt"
	"maps"
	"math"
	"regexp"
	"slices"
	"strconv"
	"strings"
)

// rule tells what is wrong with a setting's text, "" for nothing.
type rule func(text string) string

// rules are by name; a star stands for a place in a list of objects.
var rules = map[string]rule{
	"Balancers": some, "Tick": amount,
	"Specifics.Sets": count, "Specifics.Reach": count, "Specifics.Ranges": count, "Specifics.PerCall": count,
	"Specifics.NeedByClass": each(share), "Specifics.ClassFloor": each(share), "Specifics.ShortWorth": each(share),
	"Specifics.FollowUp":       each(whole),
	"Permissions.SecondCopies": toggle, "Permissions.Cancelling": toggle, "Permissions.RetryAfter": toggle,
	"Permissions.MaxRetryAfter": amount, "Permissions.MaxAttempts": count, "Permissions.ConnIdle": some,
	"Permissions.DialTimeout": some, "Permissions.StreamsPerConn": whole,
	"Safety.AskWithin": amount, "Safety.Cold": amount, "Safety.ColdFrom": share, "Safety.DrainGrace": amount,
	"Safety.Fall": amount, "Safety.FallMultiple": amount, "Safety.ExtraFloor": amount, "Safety.FurtherRatio": amount,
	"Safety.LookBack": amount,
	"Classes.*.Aim":   amount, "Classes.*.Deadline": amount, "Classes.*.RepeatWindow": amount, "Classes.*.LateShare": share,
	"Classes.*.Effect": one("retryable", "dedup", "fragile"), "Tenants.*.QuotaPerS": amount,
}

var place = regexp.MustCompile(`\.\d+\.`)

// IsKnown tells whether the module reads a setting of this name.
func IsKnown(name string) bool { return rules[place.ReplaceAllString(name, ".*.")] != nil }

// Validate looks at one setting. A name that the module does not read may be anything.
func Validate(name, text string) error {
	ok := rules[place.ReplaceAllString(name, ".*.")]
	if ok == nil {
		return nil
	}
	if wrong := ok(text); wrong != "" {
		return fmt.Errorf("setting %s: %s", name, wrong)
	}
	return nil
}

// ValidateAll looks at all settings, and at the lists by query type: they have a place for each of so many.
func ValidateAll(all map[string]string, types int) error {
	var names []string
	for name := range all {
		names = append(names, name)
	}
	slices.Sort(names) // the same fault each time
	for _, name := range names {
		if err := Validate(name, all[name]); err != nil {
			return err
		}
		switch name {
		case "Specifics.NeedByClass", "Specifics.ClassFloor", "Specifics.ShortWorth", "Specifics.FollowUp":
			if n := strings.Count(all[name], ",") + 1; n != types {
				return fmt.Errorf("setting %s has %d places for %d classes", name, n, types)
			}
		}
	}
	return nil
}

func amount(text string) string {
	if v, err := strconv.ParseFloat(text, 64); err != nil || math.IsNaN(v) || math.IsInf(v, 0) {
		return fmt.Sprintf("%q is no number", text)
	} else if v < 0 {
		return fmt.Sprintf("%s is under 0", text)
	}
	return ""
}

// some is an amount that nothing can do without.
func some(text string) string {
	if wrong := amount(text); wrong != "" {
		return wrong
	}
	if v, _ := strconv.ParseFloat(text, 64); v == 0 {
		return fmt.Sprintf("%s is not above 0", text)
	}
	return ""
}

// whole guards against a number whose part behind the point is lost where it counts things: half a part is none.
func whole(text string) string {
	if wrong := amount(text); wrong != "" {
		return wrong
	}
	if v, _ := strconv.ParseFloat(text, 64); v != math.Trunc(v) || v > math.MaxInt32 {
		return fmt.Sprintf("%s is no whole number", text)
	}
	return ""
}

func count(text string) string {
	if wrong := whole(text); wrong != "" {
		return wrong
	}
	return some(text)
}

func share(text string) string {
	if wrong := amount(text); wrong != "" {
		return wrong
	}
	if v, _ := strconv.ParseFloat(text, 64); v > 1 {
		return fmt.Sprintf("%s is over 1", text)
	}
	return ""
}

func toggle(text string) string {
	switch text {
	case "true", "1", "false", "0":
		return ""
	}
	return fmt.Sprintf("%q is neither true nor false", text)
}

func one(of ...string) rule {
	return func(text string) string {
		if slices.Contains(of, text) {
			return ""
		}
		return fmt.Sprintf("%q is none of %s", text, strings.Join(of, ", "))
	}
}

func each(ok rule) rule {
	return func(text string) string {
		for i, item := range strings.Split(text, ",") {
			if wrong := ok(item); wrong != "" {
				return fmt.Sprintf("place %d: %s", i, wrong)
			}
		}
		return ""
	}
}

// Flatten names settings as the simulator's wire does: paths, lists of plain values joined by commas, lists of objects
// by number with their count. An error names a setting that is told by its flat name too: which of both would hold is not said.
func Flatten(into map[string]string, path string, v any) (err error) {
	put := func(name, text string) {
		if _, twice := into[name]; twice && err == nil {
			err = fmt.Errorf("setting %s is there twice", name)
		}
		into[name] = text
	}
	more := func(name string, v any) {
		if wrong := Flatten(into, name, v); err == nil {
			err = wrong
		}
	}
	switch v := v.(type) {
	case map[string]any:
		for _, name := range slices.Sorted(maps.Keys(v)) { // the same fault each time
			at := name
			if path != "" {
				at = path + "." + name
			}
			more(at, v[name])
		}
	case []any:
		var plain []string
		for i, item := range v {
			switch item.(type) {
			case map[string]any, []any:
				more(path+"."+strconv.Itoa(i), item)
			default:
				plain = append(plain, FormatValue(item))
			}
		}
		if len(plain) < len(v) {
			put(path+".count", strconv.Itoa(len(v)))
		} else {
			put(path, strings.Join(plain, ","))
		}
	default:
		put(path, FormatValue(v))
	}
	return err
}

// FormatValue is a plain value as the wire writes it.
func FormatValue(v any) string {
	switch v := v.(type) {
	case nil:
		return "-"
	case string:
		return strings.NewReplacer(" ", "_", ",", "_").Replace(v)
	default:
		return fmt.Sprint(v)
	}
}
