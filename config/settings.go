package config

import (
	"fmt"
	"maps"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"chalkring/config/settings"
)

// Shadow holds settings that are evaluated but not applied: the decisions that they would change are counted.
type Shadow struct {
	Settings map[string]any `yaml:"settings"`
}

var (
	// flatIndex matches the index into a list in a setting's flat name, as in Classes.0.Aim.
	flatIndex = regexp.MustCompile(`\.(\d+)`)
	// planListItem matches a setting of an item in one of the plan's lists. Its groups are the list, the index and the
	// setting of the item.
	planListItem = regexp.MustCompile(`^(Classes|Tenants)\.(\d+)\.(.+)$`)
)

// FlattenSettings returns a file's settings under the flat names that the plan's settings have. It leaves out the length
// of a list of objects, because an installation file may have settings for only some of the plan's classes and tenants.
func FlattenSettings(values map[string]any) map[string]string {
	flat := map[string]string{}
	_ = settings.Flatten(flat, "", values) // Parse reports duplicates
	maps.DeleteFunc(flat, func(name, _ string) bool { return strings.HasSuffix(name, settings.CountSuffix) })
	return flat
}

// settingPath returns the path in the file of a setting that the file gives in nested objects and lists, which begin at
// path.
func settingPath(path, flatName string) string {
	return path + "." + flatIndex.ReplaceAllString(flatName, "[$1]")
}

// checkSettings checks each setting on its own. It cannot check that lists by search class have a value for each class,
// because the plan is not known yet.
func (c *checker) checkSettings(path string, values map[string]any) {
	if err := settings.Flatten(map[string]string{}, "", values); err != nil {
		c.addError(path, "%v", err)
	}
	flat := FlattenSettings(values)
	for _, name := range slices.Sorted(maps.Keys(flat)) {
		if !settings.IsKnown(name) {
			c.addError(settingPath(path, name), "no such setting")
		} else if err := settings.Validate(name, flat[name]); err != nil {
			c.addError(settingPath(path, name), "%v", err)
		}
	}
}

func (c *checker) checkShadow(shadow *Shadow) {
	if shadow == nil {
		return
	}
	c.checkSettings("$.shadow.settings", shadow.Settings)
	if len(shadow.Settings) == 0 {
		c.addError("$.shadow", "has no settings to compare decisions with")
	}
}

// MisplacedSettings returns the settings that do not fit a plan with these classes and tenants, given in the plan's order.
// The result maps the flat name of each such setting to the reason. A setting does not fit if the plan has no item at its
// index, or if it is a `Name` other than that of the plan's item. Without this check, a setting for a missing item would
// be ignored silently, and one written for another order of the classes would apply to the wrong class.
func MisplacedSettings(flat map[string]string, classes, tenants []string) map[string]string {
	misplaced := map[string]string{}
	for name, value := range flat {
		match := planListItem.FindStringSubmatch(name)
		if match == nil {
			continue
		}
		list, indexText, field := match[1], match[2], match[3]
		names, noun := classes, "classes"
		if list == "Tenants" {
			names, noun = tenants, "tenants"
		}
		index, err := strconv.Atoi(indexText)
		switch {
		case err != nil || index >= len(names):
			misplaced[name] = fmt.Sprintf("the plan has %d %s, counted from 0", len(names), noun)
		case field == "Name" && value != names[index]:
			misplaced[name] = fmt.Sprintf("is %q, but the plan has %q at this index", value, names[index])
		}
	}
	return misplaced
}

// CheckAgainstPlan checks that the file's settings, including those of Shadow, fit a plan with these classes and tenants.
// If the file already has errors, it returns those without this check.
func (f *File) CheckAgainstPlan(classes, tenants []string) error {
	if f.document == nil {
		return nil
	}
	if err := f.document.Err(); err != nil {
		return err
	}
	f.checkIndicesAgainstPlan("$.settings", f.Settings, classes, tenants)
	if f.Shadow != nil {
		f.checkIndicesAgainstPlan("$.shadow.settings", f.Shadow.Settings, classes, tenants)
	}
	return f.document.Err()
}

func (f *File) checkIndicesAgainstPlan(path string, values map[string]any, classes, tenants []string) {
	misplaced := MisplacedSettings(FlattenSettings(values), classes, tenants)
	for _, name := range slices.Sorted(maps.Keys(misplaced)) {
		errorPath := settingPath(path, name)
		if _, isGivenByFlatName := values[name]; isGivenByFlatName {
			errorPath = path + ".'" + name + "'"
		}
		f.document.AddError(errorPath, "%s", misplaced[name])
	}
}
