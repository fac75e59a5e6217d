package strictyaml

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against errors without a position: an error at a missing key has the position of its parent.
func TestErrorsHaveTheirPosition(t *testing.T) {
	var target struct {
		Stages []struct{ Share float64 }
	}
	document, err := Decode([]byte("stages:\n  - share: 0.1\n  - share: 3\n"), 1000, &target)
	require.NoError(t, err)
	require.NoError(t, document.Err())
	document.AddError("$.stages[1].share", "%g is over 1", target.Stages[1].Share)
	document.AddErrorWithRemedy("$.stages[0].watch", "Say how long.", "is missing")
	require.EqualError(t, document.Err(), "[3:12] stages[1].share: 3 is over 1\n[2:10] stages[0].watch: is missing")
	var invalid *InvalidFileError
	require.ErrorAs(t, document.Err(), &invalid)
	require.NotEmpty(t, invalid.Advice())
}

// Guards against a text that is accepted although it has an unknown key, two documents, a syntax error or too many bytes,
// and against such an error without advice.
func TestInvalidTextIsRejected(t *testing.T) {
	for name, text := range map[string]string{
		"unknown key": "other: 1\n", "two documents": "a: 1\n---\na: 2\n", "syntax": "a: [1\n",
		"size": "a: 10000000000\n",
	} {
		var target struct{ A int8 }
		_, err := Decode([]byte(text), 12, &target)
		var invalid *InvalidFileError
		require.ErrorAs(t, err, &invalid, name)
		require.NotEmpty(t, invalid.Advice(), name)
	}
}
