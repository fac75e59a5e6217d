package golden

import (
	"encoding/hex"
	"fmt"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"
)

// RequireCBOR fails the test unless the CBOR library's defaults encode value as a golden file of hex digits, and decode
// that file to value.
func RequireCBOR[Value any](t testing.TB, name string, value Value) {
	t.Helper()
	encoded, err := cbor.Marshal(value)
	require.NoError(t, err)
	RequireHex(t, name, encoded)
	var decoded Value
	require.NoError(t, cbor.Unmarshal(ReadHex(t, name), &decoded))
	require.Equal(t, value, decoded, "decoded from golden file %s", name)
}

// CBORMessage is one message of a golden file with several, for Require: its name, its bytes in hex and, for the reader,
// the same in diagnostic notation.
func CBORMessage(t testing.TB, messageName string, encoded []byte) string {
	t.Helper()
	diagnosis, err := cbor.Diagnose(encoded)
	require.NoError(t, err)
	return fmt.Sprintf("%s\n  %x\n  %s\n", messageName, encoded, diagnosis)
}

// ReadCBORMessage returns the bytes of one message of a golden file that CBORMessage has made.
func ReadCBORMessage(t testing.TB, name, messageName string) []byte {
	t.Helper()
	lines := strings.Split(string(Read(t, name)), "\n")
	line := slices.Index(lines, messageName)
	require.GreaterOrEqual(t, line, 0, "%s has no %s", filepath.Join(folder, name), messageName)
	require.Greater(t, len(lines), line+1, "%s has no bytes", messageName)
	encoded, err := hex.DecodeString(strings.TrimSpace(lines[line+1]))
	require.NoError(t, err)
	return encoded
}
