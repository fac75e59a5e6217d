// Package golden compares what tests produce with golden files in the testdata folder of the package under test. It is
// for tests only.
//
// Golden files pin the forms that other programs, or other builds of this one, read and write: messages, stored values,
// texts of the command line. With the flag -update-golden a test replaces the golden files that differ, and fails all
// the same: no run that records a form also passes. Look at the difference, then run without the flag.
package golden

import (
	"encoding/hex"
	"encoding/json"
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const (
	folder     = "testdata" // beside the test
	fileMode   = 0o644
	folderMode = 0o755
)

var update = flag.Bool("update-golden", false, "replace golden files that differ; the test fails all the same")

// Updating tells whether this run replaces golden files, for tests that build the content of a file only then.
func Updating() bool { return *update }

// Write replaces a golden file by content if they differ, and marks the test as failed then. It must be called only if
// Updating.
func Write(t testing.TB, name string, content []byte) {
	t.Helper()
	path := filepath.Join(folder, name)
	if present, err := os.ReadFile(path); err == nil && string(present) == string(content) {
		return
	}
	require.NoError(t, os.MkdirAll(filepath.Dir(path), folderMode))
	require.NoError(t, os.WriteFile(path, content, fileMode))
	t.Errorf("%s was written: look at the difference, then run again without -update-golden", path)
}

// Read returns the content of a golden file.
func Read(t testing.TB, name string) []byte {
	t.Helper()
	content, err := os.ReadFile(filepath.Join(folder, name))
	require.NoError(t, err)
	return content
}

// Require fails the test unless got equals a golden file byte for byte.
func Require[Text ~string | ~[]byte](t testing.TB, name string, got Text) {
	t.Helper()
	if Updating() {
		Write(t, name, []byte(got))
	}
	require.Equal(t, string(Read(t, name)), string(got), "it differs from golden file %s", name)
}

// RequireHex fails the test unless got equals the bytes of a golden file, which has them as one line of hex digits.
func RequireHex(t testing.TB, name string, got []byte) {
	t.Helper()
	if Updating() {
		Write(t, name, []byte(hex.EncodeToString(got)+"\n"))
	}
	require.Equal(t, hex.EncodeToString(ReadHex(t, name)), hex.EncodeToString(got), "it differs from golden file %s", name)
}

// ReadHex returns the bytes that a golden file has as one line of hex digits.
func ReadHex(t testing.TB, name string) []byte {
	t.Helper()
	encoded, err := hex.DecodeString(strings.TrimSpace(string(Read(t, name))))
	require.NoError(t, err)
	return encoded
}

// RequireJSON fails the test unless got equals the value that a golden file has as indented JSON.
func RequireJSON[Value any](t testing.TB, name string, got Value) {
	t.Helper()
	if Updating() {
		content, err := json.MarshalIndent(got, "", "  ")
		require.NoError(t, err)
		Write(t, name, append(content, '\n'))
	}
	require.Equal(t, ReadJSON[Value](t, name), got, "it differs from golden file %s", name)
}

// ReadJSON returns the value that a golden file has as JSON.
func ReadJSON[Value any](t testing.TB, name string) Value {
	t.Helper()
	var value Value
	require.NoError(t, json.Unmarshal(Read(t, name), &value))
	return value
}
