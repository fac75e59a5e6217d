package golden

import (
	"bufio"
	"bytes"
	"encoding/hex"
	"fmt"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"
)

// Form is one value of a golden file with many: how the present code encodes it, and what it decodes it to.
type Form struct {
	Name   string // has no blank
	Encode func() ([]byte, error)
	Decode func(encoded []byte) (any, error)
	Want   any // decoded
}

// CBORForm is a value that is encoded and decoded by the CBOR library's defaults. want is what it is decoded to.
func CBORForm[Value any](name string, value, want Value) Form {
	return Form{
		Name:   name,
		Encode: func() ([]byte, error) { return cbor.Marshal(value) },
		Decode: func(encoded []byte) (any, error) {
			var decoded Value
			err := cbor.Unmarshal(encoded, &decoded)
			return decoded, err
		},
		Want: want,
	}
}

// RequireForms fails the test unless each form is encoded as in a golden file, its bytes there are decoded to Want, and
// the file has no other form. The file has a line "name hex" for each form.
func RequireForms(t *testing.T, name string, forms []Form) {
	t.Helper()
	lines := readLines(t, name, forms)
	for _, form := range forms {
		t.Run(form.Name, func(t *testing.T) { requireForm(t, lines, form) })
	}
}

// readLines returns the encoded forms of a golden file, and fails the test unless there are as many as forms.
func readLines(t testing.TB, name string, forms []Form) map[string][]byte {
	t.Helper()
	if Updating() {
		Write(t, name, encodeForms(t, forms))
	}
	lines := ReadForms(t, name)
	require.Len(t, forms, len(lines), "each line of golden file %s is compared", name)
	return lines
}

func requireForm(t testing.TB, lines map[string][]byte, form Form) {
	t.Helper()
	require.Contains(t, lines, form.Name)
	encoded, err := form.Encode()
	require.NoError(t, err)
	require.Equal(t, hex.EncodeToString(lines[form.Name]), hex.EncodeToString(encoded), "encoded form")
	decoded, err := form.Decode(bytes.Clone(lines[form.Name]))
	require.NoError(t, err)
	require.Equal(t, form.Want, decoded, "decoded golden form")
}

// ReadForms returns the encoded forms of a golden file by name.
func ReadForms(t testing.TB, name string) map[string][]byte {
	t.Helper()
	forms := map[string][]byte{}
	lines := bufio.NewScanner(bytes.NewReader(Read(t, name)))
	for lines.Scan() {
		formName, digits, found := strings.Cut(lines.Text(), " ")
		require.True(t, found, "a line without a value: %q", lines.Text())
		require.NotContains(t, forms, formName)
		encoded, err := hex.DecodeString(digits)
		require.NoError(t, err)
		forms[formName] = encoded
	}
	require.NoError(t, lines.Err())
	return forms
}

func encodeForms(t testing.TB, forms []Form) []byte {
	t.Helper()
	var text bytes.Buffer
	for _, form := range forms {
		encoded, err := form.Encode()
		require.NoError(t, err)
		fmt.Fprintf(&text, "%s %x\n", form.Name, encoded)
	}
	return text.Bytes()
}
