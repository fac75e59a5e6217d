package plan

import (
	"fmt"
	"math"
	"strconv"
	"strings"

	"chalkring/config/settings"
)

// Lists of objects in the settings; each object has a Name.
const (
	classList  = "Classes"
	tenantList = "Tenants"
)

// zoneList is the settings' list of zone names.
const zoneList = "FailureDomains"

// namedSetting is a name and the setting that gives it.
type namedSetting struct{ setting, name string }

// readNames stores the names of classes and tenants in the file's spelling, which requests use; the balancer's form has
// no blanks or commas. It refuses two classes, tenants or zones whose names are the same in either form: a request
// could be handled under the settings of another.
func (p *Plan) readNames(values map[string]any) error {
	p.namesInFile = map[string][]string{}
	for _, list := range []string{classList, tenantList} {
		if err := p.readNamesOfList(list, values[list]); err != nil {
			return err
		}
	}
	return validateZoneNames(values)
}

func (p *Plan) readNamesOfList(list string, value any) error {
	items, ok := value.([]any)
	if !ok && value != nil {
		return &NotAListError{list}
	}
	seen := map[string]namedSetting{}
	for i, item := range items {
		object, ok := item.(map[string]any)
		if !ok {
			return &NotAListError{list}
		}
		name, setting := nameOf(object), fmt.Sprintf("%s.%d.Name", list, i)
		if name == "" {
			return &MissingSettingError{setting}
		}
		if other, exists := seen[settings.FormatValue(name)]; exists {
			return &DuplicateNameError{setting, name, other.setting, other.name}
		}
		seen[settings.FormatValue(name)] = namedSetting{setting, name}
		p.namesInFile[list] = append(p.namesInFile[list], name)
	}
	return nil
}

// nameOf returns an object's name. Numbers and booleans are converted to text; any other value counts as no name.
func nameOf(object map[string]any) string {
	switch name := object["Name"].(type) {
	case nil, map[string]any, []any:
		return ""
	case string:
		return name
	default:
		return settings.FormatValue(name)
	}
}

func validateZoneNames(values map[string]any) error {
	zones, _ := values[zoneList].([]any)
	seen := map[string]namedSetting{}
	for i, zone := range zones {
		name, setting := stringOf(zone), fmt.Sprintf("%s.%d", zoneList, i)
		other, exists := seen[settings.FormatValue(name)]
		if exists && other.name != name { // a zone may be listed twice in the same spelling
			return &DuplicateNameError{setting, name, other.setting, other.name}
		}
		seen[settings.FormatValue(name)] = namedSetting{setting, name}
	}
	return nil
}

// validate checks that all settings that the coordinator reads are present, and that all that the balancer reads are in
// range.
func (p *Plan) validate() error {
	if p.Settings["Family"] != "fanout" {
		return &UnsupportedFamilyError{p.Settings["Family"]}
	}
	required, err := p.requiredNumbers()
	if err != nil {
		return err
	}
	for _, name := range required {
		if value, err := p.parseNumber(name); err != nil {
			return err
		} else if value <= 0 && strings.HasPrefix(name, "Specifics.") {
			return &NotPositiveError{name}
		}
	}
	classes := p.Count(classList)
	for _, name := range []string{"Specifics.NeedByClass", "Specifics.ClassFloor", "Specifics.FollowUp"} {
		if n := len(p.List(name)); n != classes {
			return &ListLengthError{Setting: name, Length: n, Classes: classes}
		}
	}
	return settings.ValidateAll(p.Settings, classes)
}

// requiredNumbers returns the names of the settings that have to be numbers, and an error if a class has no name.
func (p *Plan) requiredNumbers() ([]string, error) {
	required := []string{
		"Balancers", "Tick", "Specifics.Sets", "Specifics.Reach", "Specifics.Ranges",
		"Specifics.PerCall", "Permissions.MaxAttempts", "Permissions.ConnIdle",
		"Permissions.DialTimeout", "Permissions.StreamsPerConn", "Classes.count",
	}
	for i := range p.Count(classList) {
		required = append(required, fmt.Sprintf("Classes.%d.Aim", i), fmt.Sprintf("Classes.%d.LateShare", i))
		if name := fmt.Sprintf("Classes.%d.Name", i); p.Settings[name] == "" {
			return nil, &MissingSettingError{name}
		}
	}
	for i := range p.Count(tenantList) {
		required = append(required, fmt.Sprintf("Tenants.%d.QuotaPerS", i))
	}
	return required, nil
}

func (p *Plan) parseNumber(name string) (float64, error) {
	text, ok := p.Settings[name]
	if !ok {
		return 0, &MissingSettingError{name}
	}
	value, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(value) || math.IsInf(value, 0) {
		return 0, &NotANumberError{name, text}
	}
	return value, nil
}
