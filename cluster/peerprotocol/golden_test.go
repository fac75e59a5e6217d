package peerprotocol

import (
	"bufio"
	"bytes"
	"encoding/hex"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

var updateGolden = flag.Bool("update-golden", false, "write the golden files anew; the tests then fail, so that no run passes that way")

// goldenForm is one encoded value: what the present code must write for it, and read it as.
type goldenForm struct {
	name   string
	encode func() ([]byte, error)
	decode func(encoded []byte) (any, error)
	want   any // decoded
}

// requireGolden compares forms with a file of lines "name hex", which an earlier build has written.
func requireGolden(t *testing.T, file string, forms []goldenForm) {
	t.Helper()
	path := filepath.Join("testdata", file)
	if *updateGolden {
		writeGolden(t, path, forms)
	}
	golden := readGolden(t, path)
	require.Len(t, forms, len(golden), "each golden line is compared")
	for _, form := range forms {
		t.Run(form.name, func(t *testing.T) {
			require.Contains(t, golden, form.name)
			encoded, err := form.encode()
			require.NoError(t, err)
			require.Equal(t, hex.EncodeToString(golden[form.name]), hex.EncodeToString(encoded), "encoded form")
			decoded, err := form.decode(bytes.Clone(golden[form.name]))
			require.NoError(t, err)
			require.Equal(t, form.want, decoded, "decoded golden form")
		})
	}
}

func readGolden(t *testing.T, path string) map[string][]byte {
	t.Helper()
	text, err := os.ReadFile(path)
	require.NoError(t, err)
	golden := map[string][]byte{}
	lines := bufio.NewScanner(bytes.NewReader(text))
	for lines.Scan() {
		name, digits, found := strings.Cut(lines.Text(), " ")
		require.True(t, found, "a line without a value: %q", lines.Text())
		require.NotContains(t, golden, name)
		golden[name], err = hex.DecodeString(digits)
		require.NoError(t, err)
	}
	require.NoError(t, lines.Err())
	return golden
}

func writeGolden(t *testing.T, path string, forms []goldenForm) {
	t.Helper()
	var text strings.Builder
	for _, form := range forms {
		encoded, err := form.encode()
		require.NoError(t, err)
		fmt.Fprintf(&text, "%s %x\n", form.name, encoded)
	}
	require.NoError(t, os.MkdirAll(filepath.Dir(path), 0o755))
	require.NoError(t, os.WriteFile(path, []byte(text.String()), 0o644))
	t.Fatalf("%s was written anew: look at the difference, then run without -update-golden", path)
}
