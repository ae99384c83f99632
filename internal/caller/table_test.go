package caller

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/failure"
)

// operatorSide lists the packages whose failures never reach a caller: they
// serve operators and the settings, or run in the caller's own process. Those
// of the gateway and of the replicas reach a gateway's clients instead; the
// gateway's own table test covers them.
var operatorSide = map[string]bool{
	"operator": true, "plan": true, "declaration": true, "settings": true,
	"strictyaml": true, "client": true, "daemon": true, "gen": true, "lab": true,
	"gateway": true, "flowcontrol": true, "quorum": true, "worker": true, "directory": true, "recordlog": true, "replica": true,
}

// usedTypes returns what the Type methods of the project's failures return.
func usedTypes(t *testing.T) map[failure.Type]string {
	used := map[failure.Type]string{}
	err := filepath.WalkDir("..", func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() && operatorSide[entry.Name()] {
			return filepath.SkipDir
		}
		if !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return nil
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		for _, declared := range file.Decls {
			if kind, found := typeReturned(declared); found {
				used[kind] = path
			}
		}
		return nil
	})
	require.NoError(t, err)
	return used
}

// typeReturned finds `func (…) Type() … { return "kind" }`.
func typeReturned(declared ast.Decl) (failure.Type, bool) {
	method, ok := declared.(*ast.FuncDecl)
	if !ok || method.Recv == nil || method.Name.Name != "Type" || method.Body == nil || len(method.Body.List) != 1 {
		return "", false
	}
	returned, ok := method.Body.List[0].(*ast.ReturnStmt)
	if !ok || len(returned.Results) != 1 {
		return "", false
	}
	literal, ok := returned.Results[0].(*ast.BasicLit)
	if !ok || literal.Kind != token.STRING {
		return "", false
	}
	kind, err := strconv.Unquote(literal.Value)
	return failure.Type(kind), err == nil
}

func TestEveryFailureTypeHasARow(t *testing.T) {
	used := usedTypes(t)
	require.Greater(t, len(used), 30, "the search found the failures")
	for kind, path := range used {
		require.Contains(t, problemKinds, kind, "defined in %s", path)
	}
	for kind := range problemKinds {
		require.Contains(t, used, kind, "a row without a failure")
	}
}

func TestThePageHasTheSameTable(t *testing.T) {
	page, err := os.ReadFile("../../docs/API.md")
	require.NoError(t, err)
	row := regexp.MustCompile("(?m)^\\| `([a-z_]+)` \\| ([0-9]{3}) \\| ([^|]+) \\|")
	listed := map[failure.Type]problemKind{}
	for _, match := range row.FindAllStringSubmatch(string(page), -1) {
		status, err := strconv.Atoi(match[2])
		require.NoError(t, err)
		listed[failure.Type(match[1])] = problemKind{status: status, title: strings.TrimSpace(match[3])}
	}
	require.Equal(t, problemKinds, listed)
}
