package balancer

import (
	"fmt"
	"strconv"
	"strings"
)

func (b *balancer) maxAttempts() int {
	return int(b.settings.optionalNumber("Permissions.MaxAttempts", 1))
}

// settings holds what the site told at start, by name. A fact that is needed and missing, or any fact that
// cannot be read, panics with its name; the protocol reports that and drops the instance.
type settings struct {
	values map[string]string
	parsed map[string]float64 // numbers read before

	fieldNames  map[settingKey]string // of facts of query types and tenants
	listNumbers map[settingKey]float64
}

// settingKey names a fact of a query type or tenant, or a settingKey in a list.
type settingKey struct {
	list  string
	index int
	field string
}

func newSettings(text map[string]string) settings {
	return settings{text, map[string]float64{}, map[settingKey]string{}, map[settingKey]float64{}}
}

func (f settings) parse(name, text string) float64 {
	if v, ok := f.parsed[name]; ok {
		return v
	}
	v, err := strconv.ParseFloat(text, 64)
	if err != nil || v != v {
		panic(fmt.Sprintf("setting %s: %q is no number", name, text))
	}
	f.parsed[name] = v
	return v
}

// number reads a number that is needed.
func (f settings) number(name string) float64 {
	if v, ok := f.parsed[name]; ok {
		return v
	}
	text, ok := f.values[name]
	if !ok {
		panic("setting " + name + " is missing")
	}
	return f.parse(name, text)
}

// optionalNumber reads a number that may be missing.
func (f settings) optionalNumber(name string, missing float64) float64 {
	if v, ok := f.parsed[name]; ok {
		return v
	}
	if text, ok := f.values[name]; ok {
		return f.parse(name, text)
	}
	return missing
}

// duration reads a time, told in milliseconds, as tenths.
func (f settings) duration(name string) int64 { return int64(f.optionalNumber(name, 0) * 10) }

// isEnabled reads a switch that may be missing: off then.
func (f settings) isEnabled(name string) bool {
	switch text := f.values[name]; text {
	case "true", "1":
		return true
	case "false", "0", "":
		return false
	default:
		panic(fmt.Sprintf("setting %s: %q is neither true nor false", name, text))
	}
}

// listNumber reads a place in a list of numbers; the list may be missing.
func (f settings) listNumber(name string, i int, missing float64) float64 {
	if v, ok := f.listNumbers[settingKey{name, i, ""}]; ok {
		return v
	}
	text, ok := f.values[name]
	if !ok {
		return missing
	}
	items := strings.Split(text, ",")
	if i >= len(items) {
		panic(fmt.Sprintf("setting %s has no place %d", name, i))
	}
	v := f.parse(name+","+strconv.Itoa(i), items[i])
	f.listNumbers[settingKey{name, i, ""}] = v
	return v
}

// fieldName names a fact fieldName a query type or tenant.
func (f settings) fieldName(list string, i int, field string) string {
	at := settingKey{list, i, field}
	name, ok := f.fieldNames[at]
	if !ok {
		name = list + "." + strconv.Itoa(i) + "." + field
		f.fieldNames[at] = name
	}
	return name
}
