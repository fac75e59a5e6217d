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
	for _, e := range []advice.Provider{&Busy{}, &Damaged{}, &Aside{Why: errAnew}, &Crowded{Why: errAnew}, &Rewound{}, &NotStore{}, &Newer{},
		&Full{Err: errAnew}, &Bounded{}, &ReadOnly{Err: errAnew}, &Slow{Err: errAnew}, &Failed{Err: errAnew}} {
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
	for want, err := range map[string]error{"*store.Full": wrap(syscall.ENOSPC), "*store.ReadOnly": wrap(syscall.EROFS),
		"*store.Failed": wrap(syscall.EIO), "*store.Busy": berrors.ErrTimeout, "*store.Bounded": berrors.ErrMaxSizeReached,
		"*store.Damaged": berrors.ErrChecksum} {
		require.Equal(t, want, fmt.Sprintf("%T", typed("s", fmt.Errorf("open: %w", err))))
	}
	require.IsType(t, &Full{}, typed("s", fmt.Errorf("file resize error: %s", syscall.EFBIG)), "the library wraps by words")
	require.NoError(t, typed("s", nil))
	own := errors.Join(&Busy{})
	require.Equal(t, own, typed("s", own))
}
