package plan

import "fmt"

// TooLargeError is a file with more bytes than any plan has.
type TooLargeError struct{ Path string }

func (e *TooLargeError) Error() string {
	return fmt.Sprintf("%s has more than %d bytes", e.Path, MaxFileSize)
}

// Advice says what an operator can do.
func (e *TooLargeError) Advice() string {
	return "Look whether GW_CONFIG names the plan; a plan with 20,000 known hosts is shorter."
}

// DuplicateNameError is two names in the settings that a request or a host could mean by one word.
type DuplicateNameError struct{ Setting, Name, OtherSetting, OtherName string }

func (e *DuplicateNameError) Error() string {
	if e.Name == e.OtherName {
		return fmt.Sprintf("setting %s: %q is %s too", e.Setting, e.Name, e.OtherSetting)
	}
	return fmt.Sprintf("setting %s: %q cannot be told from %q in %s", e.Setting, e.Name, e.OtherName, e.OtherSetting)
}

// Advice says what an operator can do.
func (e *DuplicateNameError) Advice() string {
	return "Give each class, tenant and zone of the plan a name of its own; a blank or a comma counts as an underscore."
}

// The errors below have no advice of their own: their texts name the fault and its place.

// InvalidSeedError is a seed in another form than 16 hexadecimal digits.
type InvalidSeedError struct{ Seed string }

func (e *InvalidSeedError) Error() string { return fmt.Sprintf("seed %q is not 16 hex digits", e.Seed) }

// MissingSettingError is a setting that the coordinator or its balancer needs.
type MissingSettingError struct{ Setting string }

func (e *MissingSettingError) Error() string { return fmt.Sprintf("setting %s is missing", e.Setting) }

// NotANumberError is a setting whose value is not a finite number.
type NotANumberError struct{ Setting, Value string }

func (e *NotANumberError) Error() string {
	return fmt.Sprintf("setting %s: %q is no number", e.Setting, e.Value)
}

// NotAListError is a setting that has to be a list of objects.
type NotAListError struct{ Setting string }

func (e *NotAListError) Error() string {
	return fmt.Sprintf("setting %s is no list of objects", e.Setting)
}

// NotPositiveError is a setting that has to be above 0.
type NotPositiveError struct{ Setting string }

func (e *NotPositiveError) Error() string {
	return fmt.Sprintf("setting %s has to be above 0", e.Setting)
}

// UnsupportedFamilyError is a plan of another family of services than this coordinator's.
type UnsupportedFamilyError struct{ Family string }

func (e *UnsupportedFamilyError) Error() string {
	return fmt.Sprintf("setting Family: %q is not fanout", e.Family)
}

// ListLengthError is a list of the settings that has not one place for each class.
type ListLengthError struct {
	Setting         string
	Length, Classes int
}

func (e *ListLengthError) Error() string {
	return fmt.Sprintf("setting %s has %d places for %d classes", e.Setting, e.Length, e.Classes)
}

// MissingVariableError is an environment variable that is needed.
type MissingVariableError struct {
	Variable string
	InFile   bool // the file may have the value in its place
}

func (e *MissingVariableError) Error() string {
	if e.InFile {
		return e.Variable + " is not set, nor is it in the file"
	}
	return e.Variable + " is not set"
}

// InvalidEntryError is an entry of an endpoint list that cannot be used.
type InvalidEntryError struct {
	ID, Addr, State string
	Cell            any
}

func (e *InvalidEntryError) Error() string {
	return fmt.Sprintf("entry id=%q addr=%q state=%q cell=%v", e.ID, e.Addr, e.State, e.Cell)
}
