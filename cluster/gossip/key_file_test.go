package gossip

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"chalkring/internal/advice"
)

// A key file with an invalid line, too many keys or too many bytes must be refused with an error that names the line, and
// comments and empty lines must be skipped.
func TestReadKeyFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "fleet.key")
	write := func(text string) { require.NoError(t, os.WriteFile(path, []byte(text), 0o600)) }
	first, second := strings.Repeat("A", 43)+"=", strings.Repeat("B", 42)+"A="
	write("# new\n" + first + "\n\n" + second + "\n")
	key, oldKeys, err := ReadKeyFile(path)
	require.NoError(t, err)
	require.Equal(t, make([]byte, 32), key)
	require.Len(t, oldKeys, 1)
	for text, want := range map[string]string{
		"": "the file has no key", "A": "line 1: not valid base64", first + "\nAAAA\n": "line 2: the key has 3 bytes",
		strings.Repeat(first+"\n", 5): "line 5: the file has more than 4 keys", strings.Repeat(" ", maxKeyFileBytes+1): "larger than",
	} {
		write(text)
		_, _, err := ReadKeyFile(path)
		require.True(t, advice.HasType[*InvalidKeyFileError](err))
		require.ErrorContains(t, err, want)
	}
	_, _, err = ReadKeyFile(path + ".missing")
	require.True(t, advice.HasType[*InvalidKeyFileError](err))
}
