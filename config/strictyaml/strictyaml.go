// Package strictyaml reads an operator's YAML file strictly: one document, bounded in size, without unknown or repeated
// keys. Each error gives the line, the column and the path, and advice for the operator.
//
// Decode fills a value from the file. The caller then makes its own checks, reports each fault by AddError, and returns
// Err, so that an operator sees all errors of a file at once.
package strictyaml

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/lexer"
	"github.com/goccy/go-yaml/parser"

	"chalkring/internal/guard"
)

// maxErrors is how many errors of a file are kept; finding the position of each takes time.
const maxErrors = 100

// defaultRemedy is the advice of errors whose text already says what to correct.
const defaultRemedy = "Correct the file at the place that the error names, then run `chalkring check FILE`."

// InvalidFileError describes one fault in a file.
type InvalidFileError struct {
	Line, Column int    // 0 if the error concerns the file as a whole or has no position
	Path         string // such as contracts[0].zones; empty if the error concerns the file as a whole
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

// Document is a decoded file and the errors found in it. It is not safe for concurrent use.
type Document struct {
	tree    *ast.File
	errors  []error
	leftOut int // errors beyond maxErrors
}

// ReadFile reads a file that is then passed to Decode with the same maxBytes. However large the file is, it reads at most
// one byte more than maxBytes; with that extra byte, Decode rejects the text as too large.
func ReadFile(path string, maxBytes int) ([]byte, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	return io.ReadAll(io.LimitReader(file, int64(maxBytes)+1))
}

// Decode reads text of at most maxBytes into the value that target points at; an empty text leaves it unchanged. It
// returns an InvalidFileError if the text cannot be decoded, in which case the caller has nothing to check.
func Decode(text []byte, maxBytes int, target any) (*Document, error) {
	if len(text) > maxBytes {
		return nil, &InvalidFileError{
			Problem: fmt.Sprintf("the file is larger than %d bytes", maxBytes), Remedy: "Split the file, or check that it is the right one.",
		}
	}
	tree, err := ParseTree(text, maxBytes)
	if err != nil {
		return nil, err
	}
	if len(tree.Docs) > 1 {
		return nil, &InvalidFileError{
			Problem: "the file has more than one document", Remedy: "Keep one document: remove the lines of three dashes.",
		}
	}
	if err := DecodeTree(text, target); err != nil {
		return nil, err
	}
	return &Document{tree: tree}, nil
}

// ParseTree parses text of a file that may have at most maxBytes. It returns an InvalidFileError if the text is not valid, is
// nested too deeply, or has tags without a meaning here.
func ParseTree(text []byte, maxBytes int) (*ast.File, error) {
	return guardLibrary(func() (*ast.File, error) {
		tokens := lexer.Tokenize(string(text) + "\n") // without a last line end, the lexer leaves out a last tag
		if err := checkStructure(tokens); err != nil {
			return nil, err
		}
		tree, err := parser.Parse(tokens, 0)
		if err != nil {
			return nil, newDecodeError(err)
		}
		return tree, checkAliases(tree, maxBytes)
	})
}

// DecodeTree decodes text that ParseTree has accepted into the value that target points at; an empty text leaves it unchanged.
// Its error is an InvalidFileError.
func DecodeTree(text []byte, target any) error {
	_, err := guardLibrary(func() (struct{}, error) {
		err := yaml.NewDecoder(bytes.NewReader(text), yaml.Strict()).Decode(target)
		if err != nil && !errors.Is(err, io.EOF) {
			return struct{}{}, newDecodeError(err)
		}
		return struct{}{}, nil
	})
	return err
}

// guardLibrary calls the YAML library, which panics over some texts that it should reject.
func guardLibrary[V any](call func() (V, error)) (V, error) {
	value, err := guard.Read(call)
	var panicked *guard.PanicError
	if errors.As(err, &panicked) {
		err = &InvalidFileError{
			Problem: fmt.Sprintf("the text cannot be decoded (%.200s)", fmt.Sprint(panicked.Cause)),
			Remedy:  "Look for a value of another form than its key has, such as a single value in the place of a list; then run `chalkring check FILE`.",
		}
	}
	return value, err
}

// newDecodeError keeps the first line of the YAML library's error, which has the position and the problem. The source is left
// out: quoting it takes time and memory that grow with the square of its longest line.
func newDecodeError(err error) error {
	firstLine, _, _ := strings.Cut(yaml.FormatError(err, false, false), "\n")
	return &InvalidFileError{Problem: strings.TrimSpace(firstLine), Remedy: defaultRemedy}
}

// AddError adds an error for a path such as $.peers.ask[0].address. The error has the position of that path, or of its
// nearest ancestor that is in the file.
func (d *Document) AddError(path, format string, args ...any) {
	d.AddErrorWithRemedy(path, defaultRemedy, format, args...)
}

// AddErrorWithRemedy is AddError with the given advice in place of defaultRemedy.
func (d *Document) AddErrorWithRemedy(path, remedy, format string, args ...any) {
	if len(d.errors) >= maxErrors {
		d.leftOut++
		return
	}
	invalid := &InvalidFileError{
		Path: strings.TrimPrefix(path, "$."), Problem: fmt.Sprintf(format, args...), Remedy: remedy,
	}
	for ancestor := path; ancestor != "" && invalid.Line == 0; {
		invalid.Line, invalid.Column = d.Position(ancestor)
		ancestor = ancestor[:max(0, strings.LastIndexAny(ancestor, ".["))]
	}
	d.errors = append(d.errors, invalid)
}

// Position returns the line and column of a path, both counted from 1, or 0, 0 if the path is not in the file.
func (d *Document) Position(path string) (line, column int) {
	node, err := guardLibrary(func() (ast.Node, error) {
		yamlPath, err := yaml.PathString(path)
		if err != nil {
			return nil, err
		}
		return yamlPath.FilterFile(d.tree)
	})
	if err != nil || node == nil || node.GetToken() == nil {
		return 0, 0
	}
	position := node.GetToken().Position
	return position.Line, position.Column
}

// Err joins the errors added so far, in the order of their addition. It returns nil if there are none.
func (d *Document) Err() error {
	all := d.errors
	if d.leftOut > 0 {
		all = append(slices.Clone(all), &InvalidFileError{Problem: fmt.Sprintf("%d further errors", d.leftOut), Remedy: defaultRemedy})
	}
	return errors.Join(all...)
}
