package golden

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"
)

// recorder is a test that may fail without failing the real one.
type recorder struct {
	testing.TB
	failures []string
}

func (r *recorder) Helper() {}

func (r *recorder) Errorf(format string, args ...any) {
	r.failures = append(r.failures, fmt.Sprintf(format, args...))
}

func (r *recorder) FailNow() { runtime.Goexit() }

// failures runs check and returns how it failed the test that it was given.
func failures(t *testing.T, check func(t testing.TB)) []string {
	t.Helper()
	r := &recorder{TB: t}
	done := make(chan struct{})
	go func() {
		defer close(done)
		check(r)
	}()
	<-done
	return r.failures
}

// inFolder changes to a new folder whose testdata has these files.
func inFolder(t *testing.T, files map[string]string) {
	t.Helper()
	t.Chdir(t.TempDir())
	require.NoError(t, os.Mkdir(folder, folderMode))
	for name, content := range files {
		require.NoError(t, os.WriteFile(filepath.Join(folder, name), []byte(content), fileMode))
	}
}

func setUpdating(t *testing.T) {
	before := *update
	*update = true
	t.Cleanup(func() { *update = before })
}

type pair struct {
	First  string `json:"first"`
	Second int    `json:"second"`
}

// checks are all functions that compare a value with a golden file: the content of the file, and the check of a value
// that equals it and of one that does not.
func checks(t *testing.T) map[string]struct {
	content          string
	equal, different func(t testing.TB)
} {
	encoded, err := cbor.Marshal(pair{"a", 1})
	require.NoError(t, err)
	return map[string]struct {
		content          string
		equal, different func(t testing.TB)
	}{
		"text": {
			"one\n",
			func(t testing.TB) { Require(t, "text", "one\n") },
			func(t testing.TB) { Require(t, "text", []byte("two\n")) },
		},
		"hex": {
			"00ff\n",
			func(t testing.TB) { RequireHex(t, "hex", []byte{0, 0xff}) },
			func(t testing.TB) { RequireHex(t, "hex", []byte{0, 0xfe}) },
		},
		"json": {
			"{\n  \"first\": \"a\",\n  \"second\": 1\n}\n",
			func(t testing.TB) { RequireJSON(t, "json", pair{"a", 1}) },
			func(t testing.TB) { RequireJSON(t, "json", pair{"a", 2}) },
		},
		"cbor": {
			fmt.Sprintf("%x\n", encoded),
			func(t testing.TB) { RequireCBOR(t, "cbor", pair{"a", 1}) },
			func(t testing.TB) { RequireCBOR(t, "cbor", pair{"b", 1}) },
		},
	}
}

func TestEqualValuesPass(t *testing.T) {
	for name, check := range checks(t) {
		inFolder(t, map[string]string{name: check.content})
		require.Empty(t, failures(t, check.equal), name)
	}
}

func TestDifferentValuesFailAndLeaveTheFile(t *testing.T) {
	for name, check := range checks(t) {
		inFolder(t, map[string]string{name: check.content})
		require.NotEmpty(t, failures(t, check.different), name)
		require.Equal(t, check.content, string(Read(t, name)))
	}
}

func TestMissingFileFails(t *testing.T) {
	for name, check := range checks(t) {
		inFolder(t, nil)
		require.NotEmpty(t, failures(t, check.equal), name)
		require.NoFileExists(t, filepath.Join(folder, name))
	}
}

func TestUpdateWritesDifferentFilesAndFails(t *testing.T) {
	setUpdating(t)
	for name, check := range checks(t) {
		t.Run(name, func(t *testing.T) {
			inFolder(t, map[string]string{name: check.content})
			require.Empty(t, failures(t, check.equal), "nothing to write")
			require.Len(t, failures(t, check.different), 1)
			require.NotEqual(t, check.content, string(Read(t, name)))
			require.Empty(t, failures(t, check.different), "the file has the value now")

			inFolder(t, nil)
			require.NoError(t, os.Remove(folder))
			require.Len(t, failures(t, check.equal), 1, "a new file")
			require.Equal(t, check.content, string(Read(t, name)))
		})
	}
}

func TestForms(t *testing.T) {
	forms := []Form{CBORForm("one", 1, 1), CBORForm("pair", pair{"a", 1}, pair{"a", 1})}
	inFolder(t, map[string]string{"forms": string(encodeForms(t, forms))})
	require.Contains(t, string(Read(t, "forms")), "one 01\npair a2")
	RequireForms(t, "forms", forms)
	require.NotEmpty(t, failures(t, func(t testing.TB) { readLines(t, "forms", forms[:1]) }), "a line that is not compared")

	lines := ReadForms(t, "forms")
	broken := errors.New("broken")
	for name, form := range map[string]Form{
		"not in the file":    CBORForm("two", 2, 2),
		"other bytes":        CBORForm("one", 2, 2),
		"other value":        CBORForm("one", 1, 2),
		"cannot be encoded":  {Name: "one", Encode: func() ([]byte, error) { return nil, broken }, Decode: forms[0].Decode, Want: 1},
		"cannot be decoded":  {Name: "one", Encode: forms[0].Encode, Decode: func([]byte) (any, error) { return 1, broken }, Want: 1},
		"wrong golden bytes": {Name: "pair", Encode: forms[0].Encode, Decode: forms[1].Decode, Want: pair{"a", 1}},
	} {
		require.NotEmpty(t, failures(t, func(t testing.TB) { requireForm(t, lines, form) }), name)
	}
}

func TestUpdateWritesForms(t *testing.T) {
	setUpdating(t)
	inFolder(t, map[string]string{"forms": "one 02\n"})
	forms := []Form{CBORForm("one", 1, 1)}
	require.Len(t, failures(t, func(t testing.TB) { readLines(t, "forms", forms) }), 1)
	require.Equal(t, "one 01\n", string(Read(t, "forms")))
}

func TestFormsFileWithFaultsFails(t *testing.T) {
	for _, content := range []string{"one\n", "one 01\none 02\n", "one 0\n"} {
		inFolder(t, map[string]string{"forms": content})
		require.NotEmpty(t, failures(t, func(t testing.TB) { ReadForms(t, "forms") }), content)
	}
}

func TestCBORMessages(t *testing.T) {
	encoded, err := cbor.Marshal(pair{"a", 1})
	require.NoError(t, err)
	text := CBORMessage(t, "first", []byte{1}) + CBORMessage(t, "second", encoded)
	require.Equal(t, fmt.Sprintf("first\n  01\n  1\nsecond\n  %x\n  {\"first\": \"a\", \"second\": 1}\n", encoded), text)
	inFolder(t, map[string]string{"messages": text, "cut": "first"})
	require.Equal(t, encoded, ReadCBORMessage(t, "messages", "second"))
	require.NotEmpty(t, failures(t, func(t testing.TB) { ReadCBORMessage(t, "messages", "third") }))
	require.NotEmpty(t, failures(t, func(t testing.TB) { ReadCBORMessage(t, "cut", "first") }))
	require.NotEmpty(t, failures(t, func(t testing.TB) { CBORMessage(t, "none", nil) }))
}
