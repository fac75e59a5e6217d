package strictyaml

import (
	"fmt"
	"strings"
	"syscall"
	"testing"
	"time"

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

// usedProcessorTime returns the time that the process has used, which other processes of a busy machine do not change.
func usedProcessorTime(t *testing.T) time.Duration {
	var usage syscall.Rusage
	require.NoError(t, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// Guards against a text that takes memory or time out of proportion to its length, and against a limit that rejects what it
// should not: each text is accepted at the limit and rejected above it, in time.
func TestCostOfTextIsBounded(t *testing.T) {
	list := func(n int) string { return strings.Repeat("[", n) + strings.Repeat("]", n) }
	keys := func(n int) string {
		var text strings.Builder
		for i := range n {
			fmt.Fprintf(&text, "  k%d: 1\n", i)
		}
		return "a:\n" + text.String()
	}
	indented := func(n int) string {
		var text strings.Builder
		for i := range n {
			text.WriteString(strings.Repeat(" ", i) + "a:\n")
		}
		return text.String()
	}
	aliases := func(levels int) string {
		text := "a0: &a0 [1, 1, 1, 1, 1, 1, 1, 1, 1, 1]\n"
		for i := range levels {
			repeated := strings.Repeat(fmt.Sprintf("*a%d, ", i), 10)
			text += fmt.Sprintf("a%d: &a%d [%s]\n", i+1, i+1, strings.TrimSuffix(repeated, ", "))
		}
		return text
	}
	for _, x := range []struct{ name, within, beyond, problem string }{
		{"lists", "a: " + list(maxNesting-1), "a: " + list(maxNesting), "nested over 32 deep"},
		{"open lists", "a: [1]", "a: " + strings.Repeat("[", 200_000), "nested over 32 deep"},
		{"open mappings", "a: {b: 1}", strings.Repeat("{a: ", 200_000), "nested over 32 deep"},
		{"dashes", "a:\n" + strings.Repeat("- ", maxNesting-3) + "1", "a:\n" + strings.Repeat("- ", 200_000), "nested over 32 deep"},
		{"dashes in a mapping", "a: {b: 1}", "a: {b: " + strings.Repeat("- ", 200_000), "nested over 32 deep"},
		{"anchors", "a: &a 1", strings.Repeat("&a ", 20_000), "unexpected scalar value type"},
		{"question marks", "? a\n: 1\n", strings.Repeat("? ", 200_000), "nested over 32 deep"},
		{"indented mappings", indented(maxNesting), indented(maxNesting + 1), "nested over 32 deep"},
		{"keys", keys(maxKeys), keys(maxKeys + 1), "over 10000 keys"},
		{"list", "a:\n" + strings.Repeat("- 1\n", 2*maxKeys), "a:\n" + strings.Repeat("- 1\n", 2*maxKeys) + keys(maxKeys+1), "over 10000 keys"},
		{"aliases", aliases(2), aliases(4), "the aliases stand for over 16384 values"},
		{"many levels of aliases", "a: &a 1\nb: *a\n", aliases(1000), "the aliases stand for over 16384 values"},
		{"tags", "a: !!str 1\n", "a: !str 1", "tag !str is not supported"},
	} {
		usedBefore := usedProcessorTime(t)
		_, err := Decode([]byte(x.within), 1<<20, &map[string]any{})
		require.NoError(t, err, x.name)
		_, err = Decode([]byte(x.beyond), 1<<20, &map[string]any{})
		require.ErrorContains(t, err, x.problem, x.name)
		require.Less(t, usedProcessorTime(t)-usedBefore, 5*time.Second, x.name)
	}
}

// Guards against an error of unbounded length for a file with very many errors.
func TestErrorsOfOneFileAreBounded(t *testing.T) {
	document, err := Decode([]byte("a: 1\n"), 100, &map[string]any{})
	require.NoError(t, err)
	for range 10 * maxErrors {
		document.AddError("$.a", "is wrong")
	}
	text := document.Err().Error()
	require.Equal(t, maxErrors, strings.Count(text, "is wrong"))
	require.True(t, strings.HasSuffix(text, "\n900 further errors"))
}
