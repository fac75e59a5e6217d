package strictyaml

import (
	"errors"
	"fmt"
	"regexp"
	"strings"
	"testing"

	"chalkring/internal/golden"
)

// goField matches the Go struct and field that the YAML library names in its errors. The golden file leaves them out, so
// that renaming a field does not change it.
var goField = regexp.MustCompile(`Go struct field \S+`)

// Guards against changes to the error texts, positions and advice that operators see: for texts that cannot be decoded,
// for errors that a caller adds at paths in the file and at paths missing from it, and for a missing file.
func TestGoldenErrors(t *testing.T) {
	type item struct {
		Share float64 `yaml:"share"`
		Label string  `yaml:"label"`
	}
	type file struct {
		Stages []item         `yaml:"stages"`
		Small  int8           `yaml:"small"`
		Any    map[string]any `yaml:"any"`
	}
	var out strings.Builder
	write := func(title string, err error) {
		fmt.Fprintf(&out, "%s\n", title)
		for _, line := range strings.Split(fmt.Sprint(err), "\n") {
			fmt.Fprintf(&out, "  error: %s\n", goField.ReplaceAllString(line, "Go struct field FIELD"))
		}
		var advised interface{ Advice() string }
		if errors.As(err, &advised) {
			fmt.Fprintf(&out, "  advice: %s\n", advised.Advice())
		}
	}
	for _, text := range []string{
		"", "stages: []\n", "other: 1\n", "stages:\n  - {share: 1, lable: x}\n", "small: 1000\n",
		"small: x\n", "small: [1\n", "small: 1\n---\nsmall: 2\n", "small: 1\nsmall: 2\n", "stages: 7\n", "- 1\n",
		"stages:\n\t- share: 1\n", "small: *unknown\n", "any: {a: 1}\n" + strings.Repeat("#", 200),
	} {
		var v file
		_, err := Decode([]byte(text), 100, &v)
		write(fmt.Sprintf("%.60q", text), err)
	}
	text := "stages:\n  - share: 0.1\n  - share: 3\n    label: x\nany: {a.b: 1, c: [1, {d: 2}]}\n"
	for _, path := range []string{
		"$.stages[1].share", "$.stages[1].label", "$.stages[0].label", "$.stages[7].share", "$.stages",
		"$.small", "$.any.c[1].d", "$.any.'a.b'", "$.any.'x.y'", "$", "",
	} {
		var v file
		doc, err := Decode([]byte(text), 1000, &v)
		if err != nil {
			t.Fatal(err)
		}
		doc.AddError(path, "%d is over %d", 3, 1)
		write(path, doc.Err())
		doc.AddErrorWithRemedy(path, "Say how long.", "is missing")
		write(path+" twice", doc.Err())
	}
	_, err := ReadFile("testdata/nowhere.yaml", 10)
	write("no such file", err)
	golden.Require(t, "errors.golden", out.String())
}
