package config

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const sampleFile = `peers:
  name: n0
  listen: 127.0.0.1:7400
  ask: [{name: n1, address: "127.0.0.1:7401"}]
  allow: [n1]
  refresh: 30s
  tls: {certificate: a.pem, key: /k/a.key, authorities: ca.pem}
background:
  ask: {concurrent: 2}
log: {format: json}
`

// Guards against keys, defaults and relative paths that are read wrongly, and against features that are on by default.
func TestFileIsRead(t *testing.T) {
	path := filepath.Join(t.TempDir(), "i.yaml")
	require.NoError(t, os.WriteFile(path, []byte(sampleFile), 0o600))
	file, err := Read(path)
	require.NoError(t, err)
	require.Equal(t, 30*time.Second, file.Peers.RefreshInterval)
	require.Equal(t, []Peer{{"n1", "127.0.0.1:7401"}}, file.Peers.PollTargets)
	require.Equal(t, filepath.Join(filepath.Dir(path), "a.pem"), file.Peers.TLS.Certificate)
	require.Equal(t, "/k/a.key", file.Peers.TLS.Key)
	require.Equal(t, 2, file.Background["ask"].MaxConcurrent)
	require.Positive(t, file.Background["answer"].BytesPerSecond, "a budget that is left out gets its default")
	require.Equal(t, Log{"json", "info"}, file.Log)
	file, err = Parse(nil, "")
	require.NoError(t, err)
	require.Nil(t, file.Peers, "nothing is on by default")
	_, err = Read(path + ".not")
	require.Error(t, err)
}

// Guards against an invalid file that is accepted, or reported without the position and path of the fault.
func TestErrorsHaveTheirPosition(t *testing.T) {
	for _, c := range []struct{ text, wantError string }{
		{"peers:\n  lisen: x\n", `[2:3] unknown field "lisen"`},
		{"peers:\n  listen: here\n", `[2:11] peers.listen: "here" is not an IP address`},
		{"peers:\n  listen: 127.0.0.1:0\n", `[2:11] peers.listen`},
		{"peers:\n  ask:\n    - {name: a, address: b}\n", `[3:26] peers.ask[0].address: "b"`},
		{"peers:\n  ask:\n    - name: a b\n      address: 1.2.3.4:5\n", `[3:13] peers.ask[0].name`},
		{"peers:\n  ask:\n    - {name: a, address: \"127.0.0.1:1\"}\n    - {name: a, address: \"127.0.0.1:2\"}\n", `[4:14] peers.ask[1].name: "a" is given more than once`},
		{"peers:\n  allow: [n1]\n", `peers.allow: peers are allowed to poll, but listen is not set`},
		{"peers:\n  refresh: 1ms\n", `[2:12] peers.refresh`},
		{"peers:\n  refresh: soon\n", `[2:12]`},
		{"peers:\n  tls: {certificate: a, key: b}\n", `peers.tls.authorities: is missing`},
		{"background:\n  sweep: {concurrent: 1}\n", `background.sweep: unknown kind of background work`},
		{"background:\n  ask: {concurrent: 65}\n", `[2:21] background.ask.concurrent`},
		{"background:\n  ask: {bytes_per_second: -1}\n", `[2:27] background.ask.bytes_per_second`},
		{"background:\n  ask: {cpu_per_second: 1.5}\n", `background.ask.cpu_per_second`},
		{"hosts:\n  a: {index: i, placed: {number_of_shards: 5, number_of_routing_shards: 8}}\n", `hosts.a.placed: number_of_shards`},
		{"members: {files: []}\n", `[1:18] members.files`},
		{"owners: 65\n", `[1:9] owners`},
		{"opensearch: {listen: here}\n", `[1:22] opensearch.listen`},
		{"opensearch:\n  listen: 127.0.0.1:9200\n  indices:\n    - {name: _a, type: t, blocks: [1]}\n", `[4:14] opensearch.indices[0].name`},
		{"opensearch:\n  listen: 127.0.0.1:9200\n  indices:\n    - {name: a, type: t, blocks: [1, 1]}\n", `opensearch.indices[0].blocks: a block is repeated`},
		{"opensearch:\n  listen: 127.0.0.1:9200\n  indices:\n    - {name: a, type: t}\n", `lists no blocks`},
		{"log:\n  format: xml\n", `[2:11] log.format`},
		{"log:\n  level: loud\n", `[2:10] log.level`},
		{"log: {level: info}\nlog: {level: info}\n", `[2:1]`},
		{"settings:\n  Permissions:\n    SecondCopy: false\n", `[3:17] settings.Permissions.SecondCopy: no such setting`},
		{"settings:\n  Permissions: {SecondCopies: maybe}\n", `[2:31] settings.Permissions.SecondCopies: setting Permissions.SecondCopies: "maybe"`},
		{"settings: {Specifics: {ClassFloor: [0.5, 1.5]}}\n", `settings.Specifics.ClassFloor: setting Specifics.ClassFloor: item 1: 1.5 is greater than 1`},
		{"settings: {Classes: [{Deadline: -1}]}\n", `settings.Classes[0].Deadline: setting Classes.0.Deadline: -1 is less than 0`},
		{"shadow:\n  settings:\n    Safety: {DrainGrace: soon}\n", `[3:26] shadow.settings.Safety.DrainGrace`},
		{"shadow: {}\n", `shadow: has no settings`},
		{"shadow: {setings: {}}\n", `[1:10] unknown field "setings"`},
		{"peers: [1\n", `[1:`},
		{"peers: 7\n", `[1:8]`},
		{"log: {level: info}\n---\nlog: {level: info}\n", `more than one document`},
	} {
		_, err := Parse([]byte(c.text), "")
		require.ErrorContains(t, err, c.wantError, c.text)
	}
	_, err := Parse(make([]byte, maxFileBytes+1), "")
	require.Error(t, err)
}

// Guards against texts that crash Parse, and against relative paths that it leaves unresolved.
func FuzzParse(f *testing.F) {
	f.Add([]byte(sampleFile))
	f.Add([]byte("peers: {ask: [{name: &a x, address: *a}]}"))
	f.Fuzz(func(t *testing.T, text []byte) {
		if file, err := Parse(text, "/d"); err == nil && file.Peers != nil && file.Peers.TLS != nil {
			require.True(t, filepath.IsAbs(file.Peers.TLS.Key))
		}
	})
}
