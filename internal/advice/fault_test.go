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
	require.Equal(t, "Make room on /a. Make room on /b.", Advice(err))
	require.Equal(t, []any{"store", 1, "error", err, "do", "Make room on /a. Make room on /b."}, Attrs(err, "store", 1))
	require.True(t, Is[*full](err))
	require.False(t, Is[*full](errors.New("plain")))
	require.Equal(t, "plain", Text(errors.New("plain")))
	require.Equal(t, "/a is full\n  what to do: Make room on /a.", Text(a))
	require.Empty(t, Advice(nil))
}
