package plan

import "fmt"

// TooLargeError reports a file that is larger than any plan.
type TooLargeError struct{ Path string }

func (e *TooLargeError) Error() string {
	return fmt.Sprintf("%s is larger than %d bytes, the limit for a plan", e.Path, MaxFileSize)
}

// Advice says what an operator can do.
func (e *TooLargeError) Advice() string {
	return "Check that GW_CONFIG names the plan file; even a plan with 20,000 known hosts is shorter."
}

// DuplicateNameError reports two names in the settings that are the same, or become the same in the balancer's form.
type DuplicateNameError struct{ Setting, Name, OtherSetting, OtherName string }

func (e *DuplicateNameError) Error() string {
	if e.Name == e.OtherName {
		return fmt.Sprintf("setting %s: %q is already the value of %s", e.Setting, e.Name, e.OtherSetting)
	}
	return fmt.Sprintf("setting %s: %q is indistinguishable from %q in %s", e.Setting, e.Name, e.OtherName, e.OtherSetting)
}

// Advice says what an operator can do.
func (e *DuplicateNameError) Advice() string {
	return "Give each class, tenant and zone of the plan a unique name; blanks and commas count as underscores."
}

// The errors below have no Advice method: their texts name both the fault and the setting that has it.

// InvalidSeedError reports a seed that is not a hexadecimal number of up to 16 digits.
type InvalidSeedError struct{ Seed string }

func (e *InvalidSeedError) Error() string {
	return fmt.Sprintf("seed %q is not a string of up to 16 hexadecimal digits", e.Seed)
}

// MissingSettingError reports that a setting is missing that the coordinator or its balancer needs.
type MissingSettingError struct{ Setting string }

func (e *MissingSettingError) Error() string { return fmt.Sprintf("setting %s is missing", e.Setting) }

// NotANumberError reports a setting whose value is not a finite number.
type NotANumberError struct{ Setting, Value string }

func (e *NotANumberError) Error() string {
	return fmt.Sprintf("setting %s: %q is no number", e.Setting, e.Value)
}

// NotAListError reports a setting that has to be a list of objects and is not.
type NotAListError struct{ Setting string }

func (e *NotAListError) Error() string {
	return fmt.Sprintf("setting %s is not a list of objects", e.Setting)
}

// NotPositiveError reports a setting that has to be above 0 and is not.
type NotPositiveError struct{ Setting string }

func (e *NotPositiveError) Error() string {
	return fmt.Sprintf("setting %s has to be above 0", e.Setting)
}

// UnsupportedFamilyError reports a plan for another family of services than fanout.
type UnsupportedFamilyError struct{ Family string }

func (e *UnsupportedFamilyError) Error() string {
	return fmt.Sprintf("setting Family: %q is not supported, expected fanout", e.Family)
}

// ListLengthError reports a list setting that does not have one item per class.
type ListLengthError struct {
	Setting         string
	Length, Classes int
}

func (e *ListLengthError) Error() string {
	return fmt.Sprintf("setting %s has %d places for %d classes", e.Setting, e.Length, e.Classes)
}

// MissingVariableError reports that a required environment variable is not set.
type MissingVariableError struct {
	Variable string
	InFile   bool // the plan file could have the value instead, but does not
}

func (e *MissingVariableError) Error() string {
	if e.InFile {
		return e.Variable + " is not set, and the plan file does not have the value either"
	}
	return e.Variable + " is not set"
}

// InvalidEntryError reports an unusable entry of an endpoint list.
type InvalidEntryError struct {
	ID, Addr, State string
	Cell            any
}

func (e *InvalidEntryError) Error() string {
	return fmt.Sprintf("entry id=%q addr=%q state=%q cell=%v: expected an id and a state of up, draining or removed; if the state is not removed, also an addr and a whole number as cell", e.ID, e.Addr, e.State, e.Cell)
}
