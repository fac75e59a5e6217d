package settings

import "fmt"

// The errors of this package have no advice of their own. For a setting in an installation file, the caller adds the
// position and the advice; for a setting in a plan, the error is logged without advice.

// InvalidSettingError reports a setting whose value the balancer cannot use.
type InvalidSettingError struct{ Setting, Problem string }

func (e *InvalidSettingError) Error() string {
	return fmt.Sprintf("setting %s: %s", e.Setting, e.Problem)
}

// ListLengthError reports a list by search class that does not have exactly one value for each class.
type ListLengthError struct {
	Setting         string
	Values, Classes int
}

func (e *ListLengthError) Error() string {
	return fmt.Sprintf("setting %s has %d values for %d classes", e.Setting, e.Values, e.Classes)
}

// DuplicateSettingError reports a setting that is given both in an object and by its flat name.
type DuplicateSettingError struct{ Setting string }

func (e *DuplicateSettingError) Error() string {
	return fmt.Sprintf("setting %s is given more than once", e.Setting)
}
