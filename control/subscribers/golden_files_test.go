package subscribers

import (
	"encoding/hex"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"
)

var writeGolden = flag.Bool("write-golden", false, "write golden files that differ; the test still fails")

// requireGolden compares bytes with a golden file. With -write-golden it replaces a file that differs, and fails all
// the same, so that no run that records a form also passes.
func requireGolden(t *testing.T, name string, got []byte) {
	t.Helper()
	path := filepath.Join("testdata", name)
	want, err := os.ReadFile(path)
	if *writeGolden && string(want) != string(got) {
		require.NoError(t, os.WriteFile(path, got, 0o644))
		t.Fatalf("%s was written: run again without -write-golden", path)
	}
	require.NoError(t, err)
	require.Equal(t, string(want), string(got), path)
}

// cborLine is one message of a golden file: its name, its bytes in hex, and the same in diagnostic notation for the
// reader.
func cborLine(t *testing.T, name string, text []byte) string {
	t.Helper()
	diagnosis, err := cbor.Diagnose(text)
	require.NoError(t, err)
	return fmt.Sprintf("%s\n  %x\n  %s\n", name, text, diagnosis)
}

// goldenCBOR reads the bytes of one message back out of a golden file.
func goldenCBOR(t *testing.T, file, name string) []byte {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("testdata", file))
	require.NoError(t, err)
	lines := strings.Split(string(text), "\n")
	at := slices.Index(lines, name)
	require.GreaterOrEqual(t, at, 0, "%s has no %s", file, name)
	value, err := hex.DecodeString(strings.TrimSpace(lines[at+1]))
	require.NoError(t, err)
	return value
}
