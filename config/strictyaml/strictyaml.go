// Package strictyaml reads an operator's YAML file strictly: one document, bounded in size, without unknown or repeated
// keys. Each error names line, column and path, and says what to do.
//
// Decode fills a value from the file. The caller then checks what only it knows, reports what is wrong by AddError, and
// returns Err: an operator sees all errors of a file at once.
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

// defaultRemedy is the advice of errors whose text says what to mend.
const defaultRemedy = "Mend the place that is named; `chalkring check FILE` looks at the file again."

// InvalidFileError is one thing wrong with a file.
type InvalidFileError struct {
	Line, Column int    // 0 where the file as a whole is meant
	Path         string // such as contracts[0].zones; empty for the file as a whole
	Problem      string
	Remedy       string // the advice
}

func (e *InvalidFileError) Error() string {
	position := ""
	if e.Line > 0 {
		position = fmt.Sprintf("[%d:%d] ", e.Line, e.Column)
	}
	if e.Path != "" {
		position += e.Path + ": "
	}
	return position + e.Problem
}

// Advice implements advice.Provider.
func (e *InvalidFileError) Advice() string { return e.Remedy }

// Document is a decoded file and the errors that were found in it. It is not safe for concurrent use.
type Document struct {
	tree   *ast.File
	errors []error
}

// ReadFile reads a file for Decode with the same limit. Of a larger file it returns one byte more than the limit, so that
// Decode rejects it, whatever the file's size.
func ReadFile(path string, maxBytes int) ([]byte, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	return io.ReadAll(io.LimitReader(file, int64(maxBytes)+1))
}

// Decode reads text of at most maxBytes into the value that target points at; an empty text leaves it as it is. It
// returns an InvalidFileError where the text cannot be decoded, so that nothing more can be checked.
func Decode(text []byte, maxBytes int, target any) (*Document, error) {
	if len(text) > maxBytes {
		return nil, &InvalidFileError{
			Problem: fmt.Sprintf("over %d bytes", maxBytes), Remedy: "Split the file, or look whether it is the right one.",
		}
	}
	tree, err := parser.ParseBytes(text, 0)
	if err != nil {
		return nil, newSyntaxError(err)
	}
	if len(tree.Docs) > 1 {
		return nil, &InvalidFileError{
			Problem: "more than one document", Remedy: "Keep one document; take out the lines of three dashes.",
		}
	}
	err = yaml.NewDecoder(bytes.NewReader(text), yaml.Strict()).Decode(target)
	if err != nil && !errors.Is(err, io.EOF) {
		return nil, newSyntaxError(err)
	}
	return &Document{tree: tree}, nil
}

// newSyntaxError takes the first line of the YAML library's error, which has position and problem. The lines after it
// show the source.
func newSyntaxError(err error) error {
	firstLine, _, _ := strings.Cut(err.Error(), "\n")
	return &InvalidFileError{Problem: strings.TrimSpace(firstLine), Remedy: defaultRemedy}
}

// AddError reports what is wrong at a path such as $.peers.ask[0].address. The error has the position of that path, or of
// the nearest one above it that is in the file.
func (d *Document) AddError(path, format string, args ...any) {
	d.AddErrorWithRemedy(path, defaultRemedy, format, args...)
}

// AddErrorWithRemedy is AddError with advice of its own.
func (d *Document) AddErrorWithRemedy(path, remedy, format string, args ...any) {
	invalid := &InvalidFileError{
		Path: strings.TrimPrefix(path, "$."), Problem: fmt.Sprintf(format, args...), Remedy: remedy,
	}
	for ancestor := path; ancestor != "" && invalid.Line == 0; {
		invalid.Line, invalid.Column = d.Position(ancestor)
		ancestor = ancestor[:max(0, strings.LastIndexAny(ancestor, ".["))]
	}
	d.errors = append(d.errors, invalid)
}

// Position returns line and column of a path, both from 1; 0, 0 where it is not in the file.
func (d *Document) Position(path string) (line, column int) {
	yamlPath, err := yaml.PathString(path)
	if err != nil {
		return 0, 0
	}
	node, err := yamlPath.FilterFile(d.tree)
	if err != nil || node == nil || node.GetToken() == nil {
		return 0, 0
	}
	position := node.GetToken().Position
	return position.Line, position.Column
}

// Err joins all errors that were added, in their order; nil for none.
func (d *Document) Err() error { return errors.Join(d.errors...) }
