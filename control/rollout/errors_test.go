package rollout

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"chalkring/internal/advice"
)

// Every error that an operator may see has advice and a row in docs/oncall.md.
func TestErrorsAreDocumented(t *testing.T) {
	page, err := os.ReadFile("../../docs/oncall.md")
	require.NoError(t, err)
	var tested []string
	for _, provider := range []advice.Provider{
		&InvalidChangeFileError{},
		&InvalidEntryError{},
		&ChangeStoppedError{},
		&ConflictingChangesError{},
		&StaleChangeFileError{},
		&MemberListMismatchError{},
		&ChangeNotAppliedError{},
		&ChangeTooLargeError{},
		&StepDelayedError{},
	} {
		require.NotEmpty(t, provider.Advice(), "%T", provider)
		tested = append(tested, reflect.TypeOf(provider).Elem().Name())
	}
	declared := adviceProviders(t, "*.go")
	require.ElementsMatch(t, declared, tested)
	for _, pattern := range []string{"../../cmd/chalkring/rollout*.go", "../../cmd/chalkring/supervisor*.go"} {
		declared = append(declared, adviceProviders(t, pattern)...)
	}
	for _, name := range declared {
		require.True(t, strings.Contains(string(page), "| `"+name+"` |"), "%s is not in docs/oncall.md", name)
	}
}

// adviceProviders returns the types with a method Advice in the source files that match a pattern.
func adviceProviders(t *testing.T, pattern string) (names []string) {
	t.Helper()
	files, err := filepath.Glob(pattern)
	require.NoError(t, err)
	for _, file := range files {
		if strings.HasSuffix(file, "_test.go") {
			continue
		}
		tree, err := parser.ParseFile(token.NewFileSet(), file, nil, 0)
		require.NoError(t, err)
		for _, declaration := range tree.Decls {
			if function, ok := declaration.(*ast.FuncDecl); ok && function.Name.Name == "Advice" {
				names = append(names, function.Recv.List[0].Type.(*ast.StarExpr).X.(*ast.Ident).Name)
			}
		}
	}
	require.NotEmpty(t, names, pattern)
	return names
}
