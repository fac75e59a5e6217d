// Package hostfile reads host lists from files and watches the files for changes. A file is accepted as a whole or
// rejected; package endpoints merges its hosts with those of other sources.
package hostfile

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/goccy/go-yaml/ast"

	"chalkring/config/strictyaml"
	"chalkring/endpoints"
	"chalkring/internal/guard"
)

const (
	maxFileBytes   = 16 << 20    // 20,000 hosts of several hundred bytes each, and some to spare
	checksumPrefix = "# xxh64: " // of an optional first line with the checksum of the rest of the file
	defaultWeight  = 1.0
)

// fileContent is the content of a host file in YAML, or in JSON, which is also YAML. docs/endpoints.md describes it.
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
	Weight    *float64 `yaml:"weight"` // defaultWeight if it is left out
	StartedMS int64    `yaml:"started_ms"`
}

var hostStates = map[string]endpoints.State{
	"": endpoints.StateUp, "up": endpoints.StateUp, "draining": endpoints.StateDraining, "removed": endpoints.StateRemoved,
}

// position is a line and column in a file, both 0 if they are not known.
type position struct{ line, column int }

// parseFault is the reason why a file is rejected, with the position and host if they are known.
type parseFault struct {
	position
	hostID string
	reason string
}

func fileFault(format string, values ...any) *parseFault {
	return &parseFault{reason: fmt.Sprintf(format, values...)}
}

// Parse parses a file's text as an update from the source called name. Its error is an endpoints.InvalidListError, with
// line and column if they are known.
func Parse(name string, text []byte) (endpoints.Update, error) {
	var fault *parseFault
	update, err := guard.Read(func() (update endpoints.Update, err error) {
		update, fault = parse(text)
		return update, nil
	})
	if err != nil {
		fault = fileFault("%v", err)
	}
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
		return endpoints.Update{}, fileFault("the file is over the limit of %d bytes", maxFileBytes)
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

// verifyChecksum compares the text after the first line with the checksum in that line, if there is one.
func verifyChecksum(text []byte) *parseFault {
	firstLine, rest, hasRest := bytes.Cut(text, []byte("\n"))
	if !hasRest || !bytes.HasPrefix(firstLine, []byte(checksumPrefix)) {
		return nil
	}
	want := strings.TrimSpace(string(firstLine[len(checksumPrefix):]))
	if got := fmt.Sprintf("%016x", xxhash.Sum64(rest)); got != want {
		fault := fileFault("the checksum line has %.40q, but the text after it has checksum %s", want, got)
		fault.position = position{1, len(checksumPrefix) + 1}
		return fault
	}
	return nil
}

// decode decodes a text and returns its content with the positions of its hosts.
func decode(text []byte) (content fileContent, positions []position, fault *parseFault) {
	tree, err := strictyaml.ParseTree(text, maxFileBytes)
	if err != nil {
		return content, nil, decodeFault(err)
	}
	if len(tree.Docs) != 1 || tree.Docs[0].Body == nil {
		return content, nil, fileFault("got %d YAML documents; expected exactly one that is not empty", len(tree.Docs))
	}
	if err := strictyaml.DecodeTree(text, &content); err != nil {
		return content, nil, decodeFault(err)
	}
	if content.Hosts == nil { // an empty file is more likely truncated than intended
		fault = fileFault("no hosts given; write an empty list as hosts: []")
		fault.position = position{1, 1}
		return content, nil, fault
	}
	return content, hostPositions(tree.Docs[0].Body), nil
}

// toHost returns the entry as a host, or why it is invalid.
func (e hostEntry) toHost() (host endpoints.Host, reason string) {
	state, isKnown := hostStates[e.State]
	if !isKnown {
		return host, fmt.Sprintf("state %.40q is unknown: expected up, draining or removed", e.State)
	}
	weight := defaultWeight
	if e.Weight != nil {
		weight = *e.Weight
	}
	if math.IsNaN(weight) || math.IsInf(weight, 0) {
		return host, fmt.Sprintf("weight %g is not a finite number", weight)
	}
	return endpoints.Host{
		ID: e.ID, Addr: e.Address, Zone: e.Zone, Kind: e.Kind, Cell: e.Cell,
		State: state, Weight: weight, StartedMS: e.StartedMS,
	}, ""
}

// decodeFault returns the fault of a text that cannot be decoded.
func decodeFault(err error) *parseFault {
	var invalid *strictyaml.InvalidFileError
	if errors.As(err, &invalid) {
		return &parseFault{position: position{invalid.Line, invalid.Column}, reason: invalid.Problem}
	}
	return fileFault("%v", err)
}

// hostPositions returns the positions of the hosts in the order of the file.
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
