package telemetry

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
)

// definedNames finds telemetry.Define(telemetry.Definition{Name: "…"}) in the
// project's files.
func definedNames(t *testing.T) []string {
	var names []string
	err := filepath.WalkDir("..", func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		ast.Inspect(file, func(node ast.Node) bool {
			if name, found := definedName(node); found {
				names = append(names, Namespace+name)
			}
			return true
		})
		return nil
	})
	require.NoError(t, err)
	return names
}

func definedName(node ast.Node) (string, bool) {
	literal, ok := node.(*ast.CompositeLit)
	if !ok {
		return "", false
	}
	kind, ok := literal.Type.(*ast.SelectorExpr)
	if !ok || kind.Sel.Name != "Definition" {
		return "", false
	}
	for _, element := range literal.Elts {
		pair, ok := element.(*ast.KeyValueExpr)
		if !ok || pair.Key.(*ast.Ident).Name != "Name" {
			continue
		}
		name, err := strconv.Unquote(pair.Value.(*ast.BasicLit).Value)
		return name, err == nil
	}
	return "", false
}

func TestThePageListsEveryMetric(t *testing.T) {
	page, err := os.ReadFile("../../docs/operations/metrics.md")
	require.NoError(t, err)
	var listed []string
	for _, match := range regexp.MustCompile("(?m)^\\| `(barleyshelf_[a-z_]+)`").FindAllStringSubmatch(string(page), -1) {
		listed = append(listed, match[1])
	}
	defined := definedNames(t)
	require.Greater(t, len(defined), 5, "the search found the metrics")
	require.ElementsMatch(t, defined, listed)
}
