package balancer

import (
	"fmt"
	"strconv"
	"strings"
)

// siteFacts holds what the site told at start, by name. A fact that is needed and missing, or any fact that
// cannot be read, panics with its name; the protocol reports that and drops the instance.
type siteFacts struct {
	text map[string]string
	read map[string]float64 // numbers read before

	names map[place]string // of facts of query types and tenants
	lists map[place]float64
}

// place names a fact of a query type or tenant, or a place in a list.
type place struct {
	list  string
	i     int
	field string
}

func newFacts(text map[string]string) siteFacts {
	return siteFacts{text, map[string]float64{}, map[place]string{}, map[place]float64{}}
}

func (f siteFacts) parse(name, text string) float64 {
	if v, ok := f.read[name]; ok {
		return v
	}
	v, err := strconv.ParseFloat(text, 64)
	if err != nil || v != v {
		panic(fmt.Sprintf("setting %s: %q is no number", name, text))
	}
	f.read[name] = v
	return v
}

// num reads a number that is needed.
func (f siteFacts) num(name string) float64 {
	if v, ok := f.read[name]; ok {
		return v
	}
	text, ok := f.text[name]
	if !ok {
		panic("setting " + name + " is missing")
	}
	return f.parse(name, text)
}

// opt reads a number that may be missing.
func (f siteFacts) opt(name string, missing float64) float64 {
	if v, ok := f.read[name]; ok {
		return v
	}
	if text, ok := f.text[name]; ok {
		return f.parse(name, text)
	}
	return missing
}

// span reads a time, told in milliseconds, as tenths.
func (f siteFacts) span(name string) int64 { return int64(f.opt(name, 0) * 10) }

// yes reads a switch that may be missing: off then.
func (f siteFacts) yes(name string) bool {
	switch text := f.text[name]; text {
	case "true", "1":
		return true
	case "false", "0", "":
		return false
	default:
		panic(fmt.Sprintf("setting %s: %q is neither true nor false", name, text))
	}
}

// nth reads a place in a list of numbers; the list may be missing.
func (f siteFacts) nth(name string, i int, missing float64) float64 {
	if v, ok := f.lists[place{name, i, ""}]; ok {
		return v
	}
	text, ok := f.text[name]
	if !ok {
		return missing
	}
	items := strings.Split(text, ",")
	if i >= len(items) {
		panic(fmt.Sprintf("setting %s has no place %d", name, i))
	}
	v := f.parse(name+","+strconv.Itoa(i), items[i])
	f.lists[place{name, i, ""}] = v
	return v
}

// of names a fact of a query type or tenant.
func (f siteFacts) of(list string, i int, field string) string {
	at := place{list, i, field}
	name, ok := f.names[at]
	if !ok {
		name = list + "." + strconv.Itoa(i) + "." + field
		f.names[at] = name
	}
	return name
}
