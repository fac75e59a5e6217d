package advice

import (
	"errors"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

type full struct{ path string }

func (f *full) Error() string  { return f.path + " is full" }
func (f *full) Advice() string { return "Make room on " + f.path + "." }

func TestAdviceIsFoundThroughWraps(t *testing.T) {
	a, b := &full{"/a"}, &full{"/b"}
	err := fmt.Errorf("start: %w", errors.Join(fmt.Errorf("one: %w", a), errors.New("plain"), b, a))
	require.Equal(t, "Make room on /a. Make room on /b.", For(err))
	require.Equal(t, []any{"store", 1, "error", err, "do", "Make room on /a. Make room on /b."}, LogAttrs(err, "store", 1))
	require.True(t, HasType[*full](err))
	require.False(t, HasType[*full](errors.New("plain")))
	require.Equal(t, "plain", Describe(errors.New("plain")))
	require.Equal(t, "/a is full\n  what to do: Make room on /a.", Describe(a))
	require.Empty(t, For(nil))
}
