package advice

import (
	"errors"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

type diskFullError struct{ path string }

func (e *diskFullError) Error() string  { return e.path + " is full" }
func (e *diskFullError) Advice() string { return "Make room on " + e.path + "." }

// Guards against advice that is lost or repeated when the errors that have it are wrapped and joined.
func TestAdviceIsFoundThroughWrappedErrors(t *testing.T) {
	first, second := &diskFullError{"/a"}, &diskFullError{"/b"}
	err := fmt.Errorf("start: %w", errors.Join(fmt.Errorf("one: %w", first), errors.New("plain"), second, first))
	require.Equal(t, "Make room on /a. Make room on /b.", For(err))
	require.Equal(t, []any{"store", 1, "error", err, "do", "Make room on /a. Make room on /b."}, LogAttrs(err, "store", 1))
	require.True(t, HasType[*diskFullError](err))
	require.False(t, HasType[*diskFullError](errors.New("plain")))
	require.Equal(t, "plain", Describe(errors.New("plain")))
	require.Equal(t, "/a is full\n  what to do: Make room on /a.", Describe(first))
	require.Empty(t, For(nil))
}

// Guards against a log line or terminal flooded with advice when a file has many faults.
func TestAdviceIsBounded(t *testing.T) {
	var faults []error
	for i := range 3 * maxSentences {
		faults = append(faults, NewError("fault", fmt.Sprintf("Mend %c.", 'a'+i)))
	}
	require.Equal(t, "Mend a. Mend b. Mend c. Mend d. Mend e. Mend f. Mend g. Mend h.", For(errors.Join(faults...)))
}

// Guards against two sentinel errors with the same text and advice being taken for the same error by errors.Is.
func TestNewErrorValuesAreDistinct(t *testing.T) {
	first, second := NewError("text", "Do this."), NewError("text", "Do this.")
	require.EqualError(t, first, "text")
	require.Equal(t, "Do this.", For(first))
	require.ErrorIs(t, fmt.Errorf("wrapped: %w", first), first)
	require.NotErrorIs(t, first, second)
}
