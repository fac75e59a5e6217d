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

// Shadow holds settings that are not in force. Decisions that they would change are counted.
type Shadow struct {
	Settings map[string]any `yaml:"settings"`
}

var (
	// flatIndex matches the index into a list in a setting's flat name, as in Classes.0.Aim.
	flatIndex = regexp.MustCompile(`\.(\d+)`)
	// planListItem matches a setting of an item of one of the plan's lists: the list, the index, what it sets there.
	planListItem = regexp.MustCompile(`^(Classes|Tenants)\.(\d+)\.(.+)$`)
)

// FlattenSettings names a file's settings as the plan's are named. A list of objects in an installation file sets some of
// the plan's items, so its length is left out.
func FlattenSettings(values map[string]any) map[string]string {
	flat := map[string]string{}
	_ = settings.Flatten(flat, "", values) // Parse reports duplicates
	maps.DeleteFunc(flat, func(name, _ string) bool { return strings.HasSuffix(name, settings.CountSuffix) })
	return flat
}

// settingPath is the path of a flat name below the settings at path, where it was given in nested objects and lists.
func settingPath(path, flatName string) string {
	return path + "." + flatIndex.ReplaceAllString(flatName, "[$1]")
}

// checkSettings checks each setting by itself. Lists by search class are checked against the plan when it is known.
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
		c.addError("$.shadow", "names no settings to hold decisions against")
	}
}

// MisplacedSettings returns, by flat name, why settings do not fit a plan with these classes and tenants, in the plan's
// order: an index that the plan does not have, or one at which the plan has another name than the setting `Name` states.
// Such settings would be ignored silently, or would apply to another class where a plan has another order.
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
			misplaced[name] = fmt.Sprintf("is %q, the plan has %q at this place", value, names[index])
		}
	}
	return misplaced
}

// CheckAgainstPlan checks that the file's settings, and those of Shadow, fit a plan with these classes and tenants. It
// returns the file's other errors too.
func (f *File) CheckAgainstPlan(classes, tenants []string) error {
	if f.document == nil {
		return nil
	}
	if err := f.document.Err(); err != nil {
		return err
	}
	f.checkPlacesAgainstPlan("$.settings", f.Settings, classes, tenants)
	if f.Shadow != nil {
		f.checkPlacesAgainstPlan("$.shadow.settings", f.Shadow.Settings, classes, tenants)
	}
	return f.document.Err()
}

func (f *File) checkPlacesAgainstPlan(path string, values map[string]any, classes, tenants []string) {
	misplaced := MisplacedSettings(FlattenSettings(values), classes, tenants)
	for _, name := range slices.Sorted(maps.Keys(misplaced)) {
		errorPath := settingPath(path, name)
		if _, isFlatInFile := values[name]; isFlatInFile {
			errorPath = path + ".'" + name + "'"
		}
		f.document.AddError(errorPath, "%s", misplaced[name])
	}
}
