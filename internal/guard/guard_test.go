package guard

import (
	"errors"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a panic that is not turned into an error, an error that lacks its place, and a value that is returned with
// an error.
func TestPanicBecomesError(t *testing.T) {
	var missing map[string]int
	var panicked *PanicError
	require.ErrorAs(t, Run(func() error { missing["a"] = 1; return nil }), &panicked)
	require.Regexp(t, `^internal fault at guard_test\.go:\d+: assignment to entry in nil map$`, panicked.Error())
	require.Contains(t, panicked.Stack, "guard_test.go")
	require.NotEmpty(t, panicked.Advice())
	failure := errors.New("failure")
	value, err := Read(func() (int, error) { return 3, failure })
	require.Equal(t, []any{0, failure}, []any{value, err})
	value, err = Read(func() (int, error) { return 3, nil })
	require.Equal(t, []any{3, nil}, []any{value, err})
	_, err = Read(func() (int, error) { panic("fault") })
	require.ErrorAs(t, err, &panicked)
}
