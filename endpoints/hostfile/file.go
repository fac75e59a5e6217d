// Package hostfile reads host lists from files and tells of each change, whole or not at all. file.go is the form,
// watch.go sees when a file is at rest. What is in force then is package endpoints' to decide.
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
	fileMost  = 16 << 20    // bytes of a file: 20,000 hosts at some hundred bytes each, and room
	sumPrefix = "# xxh64: " // before the checksum of all that follows its line
)

// form is what a file holds; JSON is read as well, being YAML. docs/membership.md tells it.
type form struct {
	Meant bool    `yaml:"meant"` // an operator knows of what the guards would hold back
	Hosts *[]host `yaml:"hosts"`
}

type host struct {
	ID        string   `yaml:"id"`
	Address   string   `yaml:"address"`
	Zone      string   `yaml:"zone"`
	Kind      string   `yaml:"kind"`
	Cell      int      `yaml:"cell"`
	State     string   `yaml:"state"`
	Weight    *float64 `yaml:"weight"` // 1 where left out
	StartedMS int64    `yaml:"started_ms"`
}

var states = map[string]endpoints.State{"": endpoints.StateUp, "up": endpoints.StateUp, "draining": endpoints.StateDraining, "removed": endpoints.StateRemoved}

// Parse reads a file's text. A fault names line and column where it can.
func Parse(name string, text []byte) (endpoints.Update, error) {
	told := endpoints.Update{Source: name, Rank: endpoints.RankFile}
	fault := func(line, column int, id, format string, v ...any) (endpoints.Update, error) {
		return endpoints.Update{}, endpoints.InvalidListError{Source: name, HostID: id, Line: line, Column: column, Reason: fmt.Sprintf(format, v...)}
	}
	if len(text) > fileMost {
		return fault(0, 0, "", "over %d bytes", fileMost)
	}
	if first, rest, ok := bytes.Cut(text, []byte("\n")); ok && bytes.HasPrefix(first, []byte(sumPrefix)) {
		want := strings.TrimSpace(string(first[len(sumPrefix):]))
		if got := fmt.Sprintf("%016x", xxhash.Sum64(rest)); got != want {
			return fault(1, len(sumPrefix)+1, "", "checksum %.40q, but what follows has %s", want, got)
		}
	}
	tree, err := parser.ParseBytes(text, 0)
	if err != nil {
		return fault(0, 0, "", "%s", firstLine(err))
	}
	if len(tree.Docs) != 1 || tree.Docs[0].Body == nil {
		return fault(0, 0, "", "%d documents; one with hosts is wanted", len(tree.Docs))
	}
	var f form
	if err := yaml.NewDecoder(bytes.NewReader(text), yaml.Strict()).Decode(&f); err != nil && !errors.Is(err, io.EOF) {
		return fault(0, 0, "", "%s", firstLine(err))
	}
	if f.Hosts == nil { // an empty file is more likely cut than meant
		return fault(1, 1, "", "no hosts; an empty list is hosts: []")
	}
	told.Confirmed = f.Meant
	at := places(tree.Docs[0].Body)
	for i, h := range *f.Hosts {
		line, column := 0, 0
		if i < len(at) {
			line, column = at[i][0], at[i][1]
		}
		state, known := states[h.State]
		if !known {
			return fault(line, column, h.ID, "state %.40q is none of up, draining and removed", h.State)
		}
		weight := 1.0
		if h.Weight != nil {
			weight = *h.Weight
		}
		if math.IsNaN(weight) || math.IsInf(weight, 0) {
			return fault(line, column, h.ID, "weight %g", weight)
		}
		told.Hosts = append(told.Hosts, endpoints.Host{
			ID: h.ID, Addr: h.Address, Zone: h.Zone, Kind: h.Kind, Cell: h.Cell,
			State: state, Weight: weight, StartedMS: h.StartedMS, Line: line, Column: column,
		})
	}
	return told, nil
}

// firstLine is a library's error in one line, with its position.
func firstLine(err error) string {
	line, _, _ := strings.Cut(err.Error(), "\n")
	return line
}

// places are where the hosts stand, in their order.
func places(body ast.Node) (at [][2]int) {
	var values []*ast.MappingValueNode
	switch n := body.(type) {
	case *ast.MappingNode:
		values = n.Values
	case *ast.MappingValueNode:
		values = []*ast.MappingValueNode{n}
	}
	for _, v := range values {
		list, ok := v.Value.(*ast.SequenceNode)
		if !ok || v.Key.String() != "hosts" && v.Key.String() != `"hosts"` {
			continue
		}
		for _, item := range list.Values {
			p := item.GetToken().Position
			if m, ok := item.(*ast.MappingNode); ok && len(m.Values) > 0 {
				p = m.Values[0].Key.GetToken().Position
			}
			at = append(at, [2]int{p.Line, p.Column})
		}
	}
	return at
}
