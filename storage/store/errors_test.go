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

// Each error type of the package has advice and stands in the page for those on call.
func TestErrorTypesAreListed(t *testing.T) {
	all := map[string]advice.Provider{}
	for _, e := range []advice.Provider{
		&LockedError{}, &CorruptedError{}, &QuarantinedError{Cause: errRecreateRequested}, &QuarantineFullError{Cause: errRecreateRequested}, &RolledBackError{}, &UnrecognizedFileError{}, &NewerFormatError{},
		&DiskFullError{Err: errRecreateRequested}, &SizeLimitError{}, &ReadOnlyError{Err: errRecreateRequested}, &WriteTimeoutError{Err: errRecreateRequested}, &IOError{Err: errRecreateRequested},
	} {
		all[fmt.Sprintf("%T", e)[len("*store."):]] = e
	}
	page, err := os.ReadFile("../../docs/oncall.md")
	require.NoError(t, err)
	file, err := parser.ParseFile(token.NewFileSet(), "errors.go", nil, 0)
	require.NoError(t, err)
	found := 0
	for _, d := range file.Decls {
		f, ok := d.(*ast.FuncDecl)
		if !ok || f.Name.Name != "Advice" {
			continue
		}
		found++
		name := f.Recv.List[0].Type.(*ast.StarExpr).X.(*ast.Ident).Name
		require.Contains(t, all, name)
		require.Greater(t, len(all[name].Advice()), 20, name)
		require.NotEmpty(t, all[name].Error(), name)
		require.Contains(t, string(page), "| `"+name+"` |")
	}
	require.Equal(t, len(all), found)
}

func TestErrorsOfTheSystemGetTheirType(t *testing.T) {
	wrap := func(err error) error { return &fs.PathError{Op: "write", Path: "s", Err: err} }
	for want, err := range map[string]error{
		"*store.DiskFullError": wrap(syscall.ENOSPC), "*store.ReadOnlyError": wrap(syscall.EROFS),
		"*store.IOError": wrap(syscall.EIO), "*store.LockedError": berrors.ErrTimeout, "*store.SizeLimitError": berrors.ErrMaxSizeReached,
		"*store.CorruptedError": berrors.ErrChecksum,
	} {
		require.Equal(t, want, fmt.Sprintf("%T", classifyError("s", fmt.Errorf("open: %w", err))))
	}
	require.IsType(t, &DiskFullError{}, classifyError("s", fmt.Errorf("file resize error: %s", syscall.EFBIG)), "the library wraps by words")
	require.NoError(t, classifyError("s", nil))
	own := errors.Join(&LockedError{})
	require.Equal(t, own, classifyError("s", own))
}
