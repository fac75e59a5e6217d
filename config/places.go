package config

import (
	"fmt"
	"maps"
	"regexp"
	"slices"
	"strconv"
)

// inList is a setting of an object in one of the plan's lists: the list, the place, and what it sets there.
var inList = regexp.MustCompile(`^(Classes|Tenants)\.(\d+)\.(.+)$`)

// MisplacedSettings tells which settings do not fit a plan with these classes and tenants, in its order, and why: a place that there
// is not, or one that holds another name than `Name` says. Guards against settings that are passed over in silence, or land on
// another class where a plan has another order.
func MisplacedSettings(over map[string]string, classes, tenants []string) map[string]string {
	wrong := map[string]string{}
	for name, value := range over {
		part := inList.FindStringSubmatch(name)
		if part == nil {
			continue
		}
		names, what := classes, "classes"
		if part[1] == "Tenants" {
			names, what = tenants, "tenants"
		}
		at, err := strconv.Atoi(part[2])
		switch {
		case err != nil || at >= len(names):
			wrong[name] = fmt.Sprintf("the plan has %d %s, counted from 0", len(names), what)
		case part[3] == "Name" && value != names[at]:
			wrong[name] = fmt.Sprintf("is %q, the plan has %q at this place", value, names[at])
		}
	}
	return wrong
}

// CheckAgainstPlan looks whether a file's settings, and those that decisions are held against, fit a plan with these classes and tenants.
func (f *File) CheckAgainstPlan(classes, tenants []string) error {
	if f.doc == nil {
		return nil
	}
	c, before := &checker{doc: f.doc}, f.doc.Err()
	if before != nil {
		return before
	}
	look := func(at string, settings map[string]any) {
		wrong := MisplacedSettings(FlattenSettings(settings), classes, tenants)
		for _, name := range slices.Sorted(maps.Keys(wrong)) {
			path := at + "." + index.ReplaceAllString(name, "[$1]")
			if _, flat := settings[name]; flat {
				path = at + ".'" + name + "'"
			}
			c.fault(path, "%s", wrong[name])
		}
	}
	look("$.settings", f.Settings)
	if f.Shadow != nil {
		look("$.shadow.settings", f.Shadow.Settings)
	}
	return f.doc.Err()
}
