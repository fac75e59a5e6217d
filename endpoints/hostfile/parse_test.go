package hostfile

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"

	"chalkring/endpoints"
)

const validFile = `hosts:
  - {id: a, address: "127.0.0.1:1", zone: hall, kind: std, cell: 0}
  - id: b
    address: 127.0.0.1:2
    cell: 1
    state: draining
    weight: 2.5
    started_ms: 7
`

// Guards against valid host files that are rejected or misread, in YAML and JSON, with and without a checksum.
func TestParse(t *testing.T) {
	update, err := Parse("f", []byte(validFile))
	require.NoError(t, err)
	require.Equal(t, []endpoints.Host{
		{ID: "a", Addr: "127.0.0.1:1", Zone: "hall", Kind: "std", Weight: 1, Line: 2, Column: 6},
		{ID: "b", Addr: "127.0.0.1:2", Cell: 1, State: endpoints.StateDraining, Weight: 2.5, StartedMS: 7, Line: 3, Column: 5},
	}, update.Hosts)
	json, err := Parse("f", []byte(`{"meant": true, "hosts": [{"id": "a", "address": "127.0.0.1:1", "cell": 0}]}`))
	require.NoError(t, err)
	require.True(t, json.Confirmed)
	require.Len(t, json.Hosts, 1)
	withChecksum := fmt.Sprintf("%s%016x\n%s", checksumPrefix, xxhash.Sum64String(validFile), validFile)
	_, err = Parse("f", []byte(withChecksum))
	require.NoError(t, err)
	empty, err := Parse("f", []byte("hosts: []\n"))
	require.NoError(t, err)
	require.Empty(t, empty.Hosts)
}

// Guards against invalid or truncated host files that are accepted, and errors that do not say what is wrong.
func TestParseRejectsInvalidFiles(t *testing.T) {
	withChecksum := fmt.Sprintf("%s%016x\n%s", checksumPrefix, xxhash.Sum64String(validFile), validFile)
	for text, want := range map[string]string{
		"":                                    "f: ",
		"{}":                                  "no hosts",
		"meant: true\n":                       "no hosts",
		"hosts:\n":                            "no hosts",
		"hosts: 7\n":                          "[1:8]",
		"hostz: []\n":                         `unknown field "hostz"`,
		"hosts:\n  - {id: a, adress: x}\n":    `[2:13] unknown field "adress"`, //nolint:misspell // an unknown key
		"hosts:\n  - {id: a, state: gone}\n":  `[2:6] host "a": state "gone"`,
		"hosts:\n  - {id: a, weight: .nan}\n": `weight NaN`,
		"hosts:\n  - {id: a, cell: x}\n":      `[2:19]`,
		"hosts: []\n---\nhosts: []\n":         "got 2 YAML documents",
		strings.Replace(withChecksum, "id: b", "id: c", 1): "the checksum line has",
		validFile[:40]:                      "f: ",
		"hosts: [":                          "f: ",
		strings.Repeat("x", maxFileBytes+1): "over the limit",
	} {
		_, err := Parse("f", []byte(text))
		require.ErrorContains(t, err, want, "%.60q", text)
		require.ErrorAs(t, err, new(endpoints.InvalidListError))
	}
}

// Guards against texts that crash the parser, or whose rejection has another error type or still returns hosts.
func FuzzParse(f *testing.F) {
	f.Add([]byte(validFile))
	f.Add([]byte(`{"hosts":[{"id":"a"}]}`))
	f.Add([]byte("hosts: &a [*a]"))
	f.Add([]byte("? hosts\n: - !!str x"))
	f.Fuzz(func(t *testing.T, text []byte) {
		update, err := Parse("f", text)
		if err != nil {
			require.ErrorAs(t, err, new(endpoints.InvalidListError))
			require.Empty(t, update.Hosts)
		}
	})
}
