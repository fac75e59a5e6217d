package settings

import "fmt"

// The errors of this package say what is wrong in their text. They give no advice of their own: each caller names the
// place in its file, and a plan's errors are logged without advice.

// InvalidSettingError is a setting with a value that the balancer cannot use.
type InvalidSettingError struct{ Setting, Problem string }

func (e *InvalidSettingError) Error() string {
	return fmt.Sprintf("setting %s: %s", e.Setting, e.Problem)
}

// ListLengthError is a list by search class that has not one place for each class.
type ListLengthError struct {
	Setting         string
	Places, Classes int
}

func (e *ListLengthError) Error() string {
	return fmt.Sprintf("setting %s has %d places for %d classes", e.Setting, e.Places, e.Classes)
}

// DuplicateSettingError is a setting that is given both in an object and by its flat name.
type DuplicateSettingError struct{ Setting string }

func (e *DuplicateSettingError) Error() string {
	return fmt.Sprintf("setting %s is there twice", e.Setting)
}
