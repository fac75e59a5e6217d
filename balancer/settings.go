package balancer

import (
	"fmt"
	"strconv"
	"strings"
)

// Units of time. The package counts time in tenths of a millisecond.
const (
	millisecond = 10
	second      = 1_000 * millisecond
)

// settings holds the settings by name and caches parsed values. A required setting that is missing, and any setting
// that cannot be parsed, causes a panic that names it; the protocol reports this and drops the balancer.
type settings struct {
	values map[string]string
	parsed map[string]float64

	fieldNames  map[settingKey]string // full names of the fields of query types and tenants
	listNumbers map[settingKey]float64
}

// settingKey names a field of a query type or tenant, or an item of a list of numbers.
type settingKey struct {
	list  string
	index int
	field string
}

func newSettings(values map[string]string) settings {
	return settings{
		values:      values,
		parsed:      map[string]float64{},
		fieldNames:  map[settingKey]string{},
		listNumbers: map[settingKey]float64{},
	}
}

func (s settings) parse(name, text string) float64 {
	if value, ok := s.parsed[name]; ok {
		return value
	}
	value, err := strconv.ParseFloat(text, 64)
	isNaN := value != value
	if err != nil || isNaN {
		panic(fmt.Sprintf("setting %s: %q is no number", name, text))
	}
	s.parsed[name] = value
	return value
}

// number returns a required number.
func (s settings) number(name string) float64 {
	if value, ok := s.parsed[name]; ok {
		return value
	}
	text, ok := s.values[name]
	if !ok {
		panic("setting " + name + " is missing")
	}
	return s.parse(name, text)
}

// optionalNumber returns a number, or a default if it is missing.
func (s settings) optionalNumber(name string, defaultValue float64) float64 {
	if value, ok := s.parsed[name]; ok {
		return value
	}
	if text, ok := s.values[name]; ok {
		return s.parse(name, text)
	}
	return defaultValue
}

// duration returns a setting given in milliseconds as tenths of a millisecond, or 0 if it is missing.
func (s settings) duration(name string) int64 {
	return int64(s.optionalNumber(name, 0) * millisecond)
}

// isEnabled returns the value of a switch, which is off if it is missing.
func (s settings) isEnabled(name string) bool {
	switch text := s.values[name]; text {
	case "true", "1":
		return true
	case "false", "0", "":
		return false
	default:
		panic(fmt.Sprintf("setting %s: %q is neither true nor false", name, text))
	}
}

// listNumber returns an item of a comma-separated list of numbers, or a default if the list is missing.
func (s settings) listNumber(name string, index int, defaultValue float64) float64 {
	key := settingKey{list: name, index: index}
	if value, ok := s.listNumbers[key]; ok {
		return value
	}
	text, ok := s.values[name]
	if !ok {
		return defaultValue
	}
	items := strings.Split(text, ",")
	if index >= len(items) {
		panic(fmt.Sprintf("setting %s has no place %d", name, index))
	}
	value := s.parse(name+","+strconv.Itoa(index), items[index])
	s.listNumbers[key] = value
	return value
}

// fieldName returns the full name of a field of a query type or tenant.
func (s settings) fieldName(list string, index int, field string) string {
	key := settingKey{list, index, field}
	name, ok := s.fieldNames[key]
	if !ok {
		name = list + "." + strconv.Itoa(index) + "." + field
		s.fieldNames[key] = name
	}
	return name
}

// queryTypeDuration returns a duration from the settings of a query type.
func (s settings) queryTypeDuration(queryType int, field string) int64 {
	return s.duration(s.fieldName(listQueryTypes, queryType, field))
}

func (s settings) maxAttempts() int { return int(s.optionalNumber(settingMaxAttempts, 1)) }

// allowsHedging tells whether two attempts of a shard request may run at the same time.
func (s settings) allowsHedging() bool { return s.isEnabled(settingHedging) }

// allowsCancelling tells whether an attempt may be cancelled.
func (s settings) allowsCancelling() bool { return s.isEnabled(settingCancelling) }
