package fanout

import (
	"flag"
	"os"
	"path/filepath"
	"testing"

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
