package settings

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
)

// CountSuffix follows the name of a list of objects in the name of the setting that holds the list's length.
const CountSuffix = ".count"

// Flatten adds a decoded JSON or YAML value to flat, with names and values in the form that the simulator's protocol uses:
// names in nested objects are joined by dots, lists of plain values are joined by commas, and items of a list of objects
// are named by their index, with the list's length under CountSuffix. It returns a DuplicateSettingError for the first
// setting that is given both in an object and by its flat name; flat then holds one of the two values.
func Flatten(flat map[string]string, path string, value any) error {
	switch value := value.(type) {
	case map[string]any:
		return flattenObject(flat, path, value)
	case []any:
		return flattenList(flat, path, value)
	}
	return putOnce(flat, path, FormatValue(value))
}

func flattenObject(flat map[string]string, path string, object map[string]any) (firstErr error) {
	for _, name := range sortedNames(object) {
		memberPath := name
		if path != "" {
			memberPath = path + "." + name
		}
		if err := Flatten(flat, memberPath, object[name]); firstErr == nil {
			firstErr = err
		}
	}
	return firstErr
}

func flattenList(flat map[string]string, path string, list []any) (firstErr error) {
	var plain []string
	for i, item := range list {
		switch item.(type) {
		case map[string]any, []any:
			if err := Flatten(flat, path+"."+strconv.Itoa(i), item); firstErr == nil {
				firstErr = err
			}
		default:
			plain = append(plain, FormatValue(item))
		}
	}
	name, text := path, strings.Join(plain, ",")
	if len(plain) < len(list) {
		name, text = path+CountSuffix, strconv.Itoa(len(list))
	}
	if err := putOnce(flat, name, text); firstErr == nil {
		firstErr = err
	}
	return firstErr
}

func putOnce(flat map[string]string, name, text string) error {
	_, exists := flat[name]
	flat[name] = text
	if exists {
		return &DuplicateSettingError{Setting: name}
	}
	return nil
}

// sortedNames returns the names in order, so that of several errors the same one is returned each time.
func sortedNames[V any](values map[string]V) []string { return slices.Sorted(maps.Keys(values)) }

// FormatValue returns a plain value in the form that the simulator's protocol uses: with underscores in place of spaces
// and commas, and "-" for null.
func FormatValue(value any) string {
	switch value := value.(type) {
	case nil:
		return "-"
	case string:
		return strings.NewReplacer(" ", "_", ",", "_").Replace(value)
	}
	return fmt.Sprint(value)
}
