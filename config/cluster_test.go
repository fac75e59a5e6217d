package config

import (
	"os"
	"testing"

	"github.com/stretchr/testify/require"

	"chalkring/internal/advice"
)

// Guards against an example file in deploy/ that is no longer valid, and against a section that loses its name, address
// overrides or file paths when it is read.
func TestExampleOfACluster(t *testing.T) {
	file, err := Read("../deploy/fleet.yaml")
	require.NoError(t, err)
	section, err := file.Cluster.ForInstance("n9")
	require.NoError(t, err)
	require.Equal(t, "east-0", section.Name)
	require.Equal(t, "10.1.0.9:7500", section.AddressOverrides["10.2.0.1:7500"])
	require.Contains(t, section.StoreFile, "../deploy/")
}

// Guards against an invalid section that is accepted, or reported without its position or without advice, and against a
// NotListedError that docs/oncall.md does not list.
func TestClusterErrors(t *testing.T) {
	const valid = "fleet:\n  listen: 127.0.0.1:7500\n  listed: [a, b]\n"
	file, err := Parse([]byte(valid), "")
	require.NoError(t, err)
	_, err = file.Cluster.ForInstance("c")
	require.True(t, advice.HasType[*NotListedError](err))
	require.NotEmpty(t, advice.For(err))
	page, err := os.ReadFile("../docs/oncall.md")
	require.NoError(t, err)
	require.Contains(t, string(page), "| `NotListedError` |")
	section, err := file.Cluster.ForInstance("b")
	require.NoError(t, err)
	require.Equal(t, "b", section.Name)
	for text, want := range map[string]string{
		"fleet:\n  listen: 0.0.0.0:7500\n  listed: [a]\n":         `[2:11] fleet.listen: "0.0.0.0:7500" is not an address at which`,
		"fleet:\n  listen: here\n  listed: [a]\n":                 `[2:11] fleet.listen: "here" is not an IP address`,
		"fleet:\n  listed: [a]\n":                                 `fleet.listen: "" is not an IP address`,
		"fleet:\n  listen: 127.0.0.1:7500\n":                      `fleet.listed: 0 names`,
		valid + "  join: [127.0.0.1:1, b:2]\n":                    `[4:23] fleet.join[1]: "b:2" is not an IP address`,
		valid + "  name: c\n":                                     `[3:11] fleet.listed: "c", this instance's own name`,
		valid + "  zone: 'a b'\n":                                 `[4:9] fleet.zone: "a b" is not a valid name`,
		valid + "  via: {'127.0.0.1:1': x}\n":                     `fleet.via.'127.0.0.1:1': "x" is not an IP address`,
		valid + "  via: {x: '127.0.0.1:1'}\n":                     `fleet.via: "x" is not an IP address`,
		valid + "  quorum: 2\n":                                   `[4:3] unknown field "quorum"`,
		"fleet:\n  listen: 127.0.0.1:7500\n  listed: [a, b, a]\n": `[3:18] fleet.listed[2]: "a" is given more than once`,
	} {
		_, err := Parse([]byte(text), "")
		require.ErrorContains(t, err, want, text)
		require.NotEmpty(t, advice.For(err), text)
	}
}
