// Package hostfile reads host lists from files and watches the files for changes. A list is read as a whole or rejected;
// package endpoints decides what is in force.
package hostfile

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"math"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"

	"chalkring/endpoints"
)

const (
	maxFileBytes   = 16 << 20    // 20,000 hosts at some hundred bytes each, and room
	checksumPrefix = "# xxh64: " // of a first line with the checksum of all that follows it
	defaultWeight  = 1.0
)

// fileContent is what a host file holds: YAML, or JSON, which is YAML too. docs/endpoints.md describes it.
type fileContent struct {
	Confirmed bool         `yaml:"meant"`
	Hosts     *[]hostEntry `yaml:"hosts"`
}

type hostEntry struct {
	ID        string   `yaml:"id"`
	Address   string   `yaml:"address"`
	Zone      string   `yaml:"zone"`
	Kind      string   `yaml:"kind"`
	Cell      int      `yaml:"cell"`
	State     string   `yaml:"state"`
	Weight    *float64 `yaml:"weight"` // defaultWeight where it is left out
	StartedMS int64    `yaml:"started_ms"`
}

var hostStates = map[string]endpoints.State{
	"": endpoints.StateUp, "up": endpoints.StateUp, "draining": endpoints.StateDraining, "removed": endpoints.StateRemoved,
}

// position is a line and column of a file, both 0 where they are not known.
type position struct{ line, column int }

// parseFault is why a file is rejected.
type parseFault struct {
	position
	hostID string
	reason string
}

func fileFault(format string, values ...any) *parseFault {
	return &parseFault{reason: fmt.Sprintf(format, values...)}
}

// Parse parses a file's text as an update of the source name. Its error is an endpoints.InvalidListError, with line and
// column where they are known.
func Parse(name string, text []byte) (endpoints.Update, error) {
	update, fault := parse(text)
	if fault != nil {
		return endpoints.Update{}, endpoints.InvalidListError{
			Source: name, HostID: fault.hostID, Line: fault.line, Column: fault.column, Reason: fault.reason,
		}
	}
	update.Source, update.Rank = name, endpoints.RankFile
	return update, nil
}

func parse(text []byte) (endpoints.Update, *parseFault) {
	if len(text) > maxFileBytes {
		return endpoints.Update{}, fileFault("over %d bytes", maxFileBytes)
	}
	if fault := verifyChecksum(text); fault != nil {
		return endpoints.Update{}, fault
	}
	content, positions, fault := decode(text)
	if fault != nil {
		return endpoints.Update{}, fault
	}
	update := endpoints.Update{Confirmed: content.Confirmed}
	for i, entry := range *content.Hosts {
		var at position
		if i < len(positions) {
			at = positions[i]
		}
		host, reason := entry.toHost()
		if reason != "" {
			return endpoints.Update{}, &parseFault{at, entry.ID, reason}
		}
		host.Line, host.Column = at.line, at.column
		update.Hosts = append(update.Hosts, host)
	}
	return update, nil
}

// verifyChecksum compares a text with the checksum in its first line, if it has one.
func verifyChecksum(text []byte) *parseFault {
	firstLine, rest, hasRest := bytes.Cut(text, []byte("\n"))
	if !hasRest || !bytes.HasPrefix(firstLine, []byte(checksumPrefix)) {
		return nil
	}
	want := strings.TrimSpace(string(firstLine[len(checksumPrefix):]))
	if got := fmt.Sprintf("%016x", xxhash.Sum64(rest)); got != want {
		fault := fileFault("checksum %.40q, but what follows has %s", want, got)
		fault.position = position{1, len(checksumPrefix) + 1}
		return fault
	}
	return nil
}

// decode decodes a text and returns the positions of its hosts.
func decode(text []byte) (content fileContent, positions []position, fault *parseFault) {
	tree, err := parser.ParseBytes(text, 0)
	if err != nil {
		return content, nil, fileFault("%s", firstLineOf(err))
	}
	if len(tree.Docs) != 1 || tree.Docs[0].Body == nil {
		return content, nil, fileFault("%d documents; one with hosts is wanted", len(tree.Docs))
	}
	err = yaml.NewDecoder(bytes.NewReader(text), yaml.Strict()).Decode(&content)
	if err != nil && !errors.Is(err, io.EOF) {
		return content, nil, fileFault("%s", firstLineOf(err))
	}
	if content.Hosts == nil { // an empty file is more likely truncated than meant
		fault = fileFault("no hosts; an empty list is hosts: []")
		fault.position = position{1, 1}
		return content, nil, fault
	}
	return content, hostPositions(tree.Docs[0].Body), nil
}

// toHost returns the entry as a host, or why it is invalid.
func (e hostEntry) toHost() (host endpoints.Host, reason string) {
	state, isKnown := hostStates[e.State]
	if !isKnown {
		return host, fmt.Sprintf("state %.40q is none of up, draining and removed", e.State)
	}
	weight := defaultWeight
	if e.Weight != nil {
		weight = *e.Weight
	}
	if math.IsNaN(weight) || math.IsInf(weight, 0) {
		return host, fmt.Sprintf("weight %g", weight)
	}
	return endpoints.Host{
		ID: e.ID, Addr: e.Address, Zone: e.Zone, Kind: e.Kind, Cell: e.Cell,
		State: state, Weight: weight, StartedMS: e.StartedMS,
	}, ""
}

// firstLineOf returns the first line of the YAML library's error, which has the position; more lines quote the text.
func firstLineOf(err error) string {
	line, _, _ := strings.Cut(err.Error(), "\n")
	return line
}

// hostPositions returns the positions of the hosts in their order.
func hostPositions(body ast.Node) (positions []position) {
	var values []*ast.MappingValueNode
	switch node := body.(type) {
	case *ast.MappingNode:
		values = node.Values
	case *ast.MappingValueNode:
		values = []*ast.MappingValueNode{node}
	}
	for _, value := range values {
		list, isList := value.Value.(*ast.SequenceNode)
		key := value.Key.String()
		if !isList || key != "hosts" && key != `"hosts"` {
			continue
		}
		for _, item := range list.Values {
			at := item.GetToken().Position
			if mapping, isMapping := item.(*ast.MappingNode); isMapping && len(mapping.Values) > 0 {
				at = mapping.Values[0].Key.GetToken().Position
			}
			positions = append(positions, position{at.Line, at.Column})
		}
	}
	return positions
}
