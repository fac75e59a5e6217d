// Package strictyaml reads an operator's YAML file whole: one document, no field that is not known, and each fault
// with line, column and what to do. Decode fills what the file describes; the caller checks it with Fault and asks Err.
package strictyaml

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// InvalidFileError is one thing wrong with a file.
type InvalidFileError struct {
	Line, Column    int    // 0 where the file as a whole is meant
	Path            string // such as contracts[0].zones; empty for the file as a whole
	Problem, Remedy string
}

func (f *InvalidFileError) Error() string {
	where := ""
	if f.Line > 0 {
		where = fmt.Sprintf("[%d:%d] ", f.Line, f.Column)
	}
	if f.Path != "" {
		where += f.Path + ": "
	}
	return where + f.Problem
}

// Advice tells an operator what to do.
func (f *InvalidFileError) Advice() string { return f.Remedy }

const mendFile = "Mend the place that is named; `chalkring check FILE` looks at the file again."

// Document is a file that was read, and what is wrong with it.
type Document struct {
	tree   *ast.File
	faults []error
}

// ReadFile is a file's text, cut a byte beyond the most that Decode is to take.
func ReadFile(path string, most int) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	return io.ReadAll(io.LimitReader(f, int64(most)+1))
}

// Decode reads text of at most so many bytes into what into points at. An error means that nothing more can be checked.
func Decode(text []byte, most int, into any) (*Document, error) {
	if len(text) > most {
		return nil, &InvalidFileError{Problem: fmt.Sprintf("over %d bytes", most), Remedy: "Split the file, or look whether it is the right one."}
	}
	tree, err := parser.ParseBytes(text, 0)
	if err != nil {
		return nil, plain(err)
	}
	if len(tree.Docs) > 1 {
		return nil, &InvalidFileError{Problem: "more than one document", Remedy: "Keep one document; take out the lines of three dashes."}
	}
	if err := yaml.NewDecoder(bytes.NewReader(text), yaml.Strict()).Decode(into); err != nil && err != io.EOF {
		return nil, plain(err)
	}
	return &Document{tree: tree}, nil
}

// plain is a library's error in one line: position and words, without the piece of source it shows.
func plain(err error) error {
	line, _, _ := strings.Cut(err.Error(), "\n")
	return &InvalidFileError{Problem: strings.TrimSpace(line), Remedy: mendFile}
}

// AddError notes what is wrong at a path such as $.peers.ask[0].address, or at the nearest place above it that is there.
func (d *Document) AddError(path, format string, v ...any) {
	d.AddErrorWithRemedy(path, mendFile, format, v...)
}

// AddErrorWithRemedy is Fault with advice of its own.
func (d *Document) AddErrorWithRemedy(path, do, format string, v ...any) {
	f := &InvalidFileError{Path: strings.TrimPrefix(path, "$."), Problem: fmt.Sprintf(format, v...), Remedy: do}
	for at := path; at != "" && f.Line == 0; {
		f.Line, f.Column = d.Position(at)
		at = at[:max(0, strings.LastIndexAny(at, ".["))]
	}
	d.faults = append(d.faults, f)
}

// Position is line and column of a path; 0, 0 where it is not in the file.
func (d *Document) Position(path string) (line, column int) {
	p, err := yaml.PathString(path)
	if err != nil {
		return 0, 0
	}
	node, err := p.FilterFile(d.tree)
	if err != nil || node == nil || node.GetToken() == nil {
		return 0, 0
	}
	pos := node.GetToken().Position
	return pos.Line, pos.Column
}

// Err is all that was noted, nil for nothing.
func (d *Document) Err() error { return errors.Join(d.faults...) }
