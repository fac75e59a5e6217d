package store

import (
	"errors"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
	berrors "go.etcd.io/bbolt/errors"

	"chalkring/internal/advice"
)

// Guards against an error type without advice, or one that the page for engineers on call does not list.
func TestErrorTypesAreDocumented(t *testing.T) {
	cause := errors.New("any")
	errorTypes := map[string]advice.Provider{}
	for _, err := range []advice.Provider{
		&LockedError{}, &CorruptedError{}, &QuarantinedError{Cause: cause}, &QuarantineFullError{Cause: cause}, &RolledBackError{},
		&UnrecognizedFileError{}, &NewerFormatError{}, &DiskFullError{Err: cause}, &SizeLimitError{}, &ReadOnlyError{Err: cause},
		&WriteTimeoutError{Err: cause}, &IOError{Err: cause},
	} {
		errorTypes[fmt.Sprintf("%T", err)[len("*store."):]] = err
	}
	page, err := os.ReadFile("../../docs/oncall.md")
	require.NoError(t, err)
	file, err := parser.ParseFile(token.NewFileSet(), "errors.go", nil, 0)
	require.NoError(t, err)
	found := 0
	for _, declaration := range file.Decls {
		method, ok := declaration.(*ast.FuncDecl)
		if !ok || method.Name.Name != "Advice" {
			continue
		}
		found++
		name := method.Recv.List[0].Type.(*ast.StarExpr).X.(*ast.Ident).Name
		require.Contains(t, errorTypes, name)
		require.Greater(t, len(errorTypes[name].Advice()), 20, name)
		require.NotEmpty(t, errorTypes[name].Error(), name)
		require.Contains(t, string(page), "| `"+name+"` |")
	}
	require.Equal(t, len(errorTypes), found)
}

// Guards against a system or bbolt error that is reported with the wrong type, and so with the wrong advice.
func TestClassifyError(t *testing.T) {
	wrap := func(err error) error { return &fs.PathError{Op: "write", Path: "s", Err: err} }
	for want, err := range map[string]error{
		"*store.DiskFullError": wrap(syscall.ENOSPC), "*store.ReadOnlyError": wrap(syscall.EROFS),
		"*store.IOError": wrap(syscall.EIO), "*store.LockedError": berrors.ErrTimeout, "*store.SizeLimitError": berrors.ErrMaxSizeReached,
		"*store.CorruptedError": berrors.ErrChecksum,
	} {
		require.Equal(t, want, fmt.Sprintf("%T", classifyError("s", fmt.Errorf("open: %w", err))))
	}
	require.IsType(t, &DiskFullError{}, classifyError("s", errors.New("file resize error: "+syscall.EFBIG.Error())), "bbolt formats some errors into its messages without wrapping them")
	require.NoError(t, classifyError("s", nil))
	own := errors.Join(&LockedError{})
	require.Equal(t, own, classifyError("s", own))
}
