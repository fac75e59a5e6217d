package hostfile

import (
	"fmt"
	"os"
	"regexp"
	"strings"
	"testing"

	"chalkring/internal/golden"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"

	"chalkring/endpoints"
)

// goName matches the name of a Go type or field in an error of the YAML library; the golden file leaves it out.
var goName = regexp.MustCompile(`Go (struct field|value of type) \S+`)

// describeHosts writes each value of a host file, or its error.
func describeHosts(out *strings.Builder, name, text string) {
	update, err := Parse(name, []byte(text))
	if err != nil {
		fmt.Fprintf(out, "  error: %s\n", goName.ReplaceAllString(err.Error(), "Go $1 NAME"))
		return
	}
	fmt.Fprintf(out, "  source=%s rank=%d version=%d partial=%t meant=%t\n", update.Source, update.Rank, update.Version, update.Partial, update.Confirmed)
	for _, h := range update.Hosts {
		fmt.Fprintf(out, "  id=%q address=%q zone=%q kind=%q cell=%d state=%d weight=%g started_ms=%d at [%d:%d]\n",
			h.ID, h.Addr, h.Zone, h.Kind, h.Cell, h.State, h.Weight, h.StartedMS, h.Line, h.Column)
	}
}

const allHostKeysYAML = `meant: true
hosts:
  - id: a
    address: 127.0.0.1:1
    zone: hall
    kind: std
    cell: 3
    state: draining
    weight: 2.5
    started_ms: 1700000000000
  - {id: b, address: "127.0.0.1:2", zone: "hall 2", kind: large, cell: 0, state: removed, weight: 0}
  - {id: c, address: "127.0.0.1:3", state: up}
  - {id: d, state: ""}
`

const allHostKeysJSON = `{
  "meant": false,
  "hosts": [
    {"id": "a", "address": "127.0.0.1:1", "zone": "hall", "kind": "std", "cell": 3, "state": "draining", "weight": 2.5, "started_ms": 7},
    {"id": "b", "address": "127.0.0.1:2", "cell": 0}
  ]
}
`

// Guards against unintended changes in how host files are read: YAML, JSON, files with a checksum line, and the sample of
// deploy/.
func TestGoldenHostFiles(t *testing.T) {
	sample, err := os.ReadFile("../../deploy/hosts.yaml")
	require.NoError(t, err)
	var out strings.Builder
	for _, file := range [][2]string{
		{"all keys, YAML", allHostKeysYAML},
		{"all keys, JSON", allHostKeysJSON},
		{"no hosts, YAML", "hosts: []\n"},
		{"no hosts, JSON", `{"hosts":[]}`},
		{"checksum", "# xxh64: 861e901973133b9e\nhosts: []\n"},
		{"other comment", "# xxh32: 1\nhosts: []\n"},
		{"sample", string(sample)},
	} {
		fmt.Fprintf(&out, "%s\n", file[0])
		describeHosts(&out, "hosts.yaml", file[1])
	}
	golden.Require(t, "host_files.golden", out.String())
}

// Guards against unintended changes of the errors of invalid host files.
func TestGoldenHostFileErrors(t *testing.T) {
	var out strings.Builder
	for _, text := range []string{
		"", "{}", "meant: true\n", "hosts:\n", "hosts: 7\n", "hosts: {a: 1}\n", "hostz: []\n", "Hosts: []\n",
		"meant: perhaps\nhosts: []\n", "hosts:\n  - {id: a, adress: x}\n", "hosts:\n  - id: a\n  - id: b\n    Zone: x\n", //nolint:misspell // an unknown key
		"hosts:\n  - {id: a, state: gone}\n", "hosts:\n  - {id: a}\n  - id: b\n    state: Up\n",
		`{"hosts": [{"id": "a"}, {"id": "b", "state": "down"}]}`, "hosts:\n  - {id: a, weight: .nan}\n",
		"hosts:\n  - {id: a, weight: .inf}\n", "hosts:\n  - {id: a, weight: heavy}\n", "hosts:\n  - {id: a, cell: x}\n",
		"hosts:\n  - {id: a, cell: 1.5}\n", "hosts:\n  - {id: a, started_ms: soon}\n", "hosts:\n  - {id: [a]}\n",
		"hosts:\n  - {id: a, id: b}\n", "hosts: []\nhosts: []\n", "hosts: []\n---\nhosts: []\n", "hosts: [", `{"hosts":[`,
		"hosts:\n\t- id: a\n", "# xxh64: 0\nhosts: []\n", "# xxh64:  0000000000000000 \nhosts: []\n",
		"# xxh64: " + strings.Repeat("0", 60) + "\nhosts: []\n",
	} {
		fmt.Fprintf(&out, "%q\n", text)
		describeHosts(&out, "hosts.yaml", text)
	}
	fmt.Fprintf(&out, "too long\n")
	describeHosts(&out, "hosts.yaml", strings.Repeat("#", 16<<20+1))
	_, err := Read("testdata/nowhere.yaml")
	fmt.Fprintf(&out, "no such file\n  error: %v\n", err)
	golden.Require(t, "host_file_errors.golden", out.String())
}

// Guards against a change of the checksum, which is XXH64 of all bytes after its line, in 16 lower-case hex digits.
func TestGoldenHostFileChecksum(t *testing.T) {
	text := fmt.Sprintf("# xxh64: %016x\n%s", xxhash.Sum64String(allHostKeysYAML), allHostKeysYAML)
	golden.Require(t, "host_file_with_checksum.golden.yaml", text)
	_, err := Read("testdata/host_file_with_checksum.golden.yaml")
	require.NoError(t, err)
	_, err = Parse("f", []byte(strings.Replace(text, "hall", "hell", 1)))
	require.ErrorAs(t, err, new(endpoints.InvalidListError))
}
