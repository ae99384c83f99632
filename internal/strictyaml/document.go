package strictyaml

import (
	"errors"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// Document is one YAML document of a file. It is not safe for concurrent use.
type Document struct {
	// File is the path that problems name.
	File string
	body ast.Node
	// lines has the line of every field that was decoded, by dotted path.
	lines map[string]int
}

// Parse splits data into its documents; empty ones are left out. A fault of
// syntax is returned as the only problem.
func Parse(file string, data []byte) ([]*Document, []Problem) {
	parsed, err := parser.ParseBytes(data, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		return nil, []Problem{syntaxProblem(file, err)}
	}
	var documents []*Document
	for _, document := range parsed.Docs {
		if document.Body == nil || document.Body.Type() == ast.NullType || document.Body.Type() == ast.CommentType {
			continue
		}
		documents = append(documents, &Document{File: file, body: document.Body, lines: map[string]int{}})
	}
	return documents, nil
}

// Line returns the line of the field, or of its nearest enclosing field that
// the document has.
func (d *Document) Line(field string) int {
	for path := field; path != ""; path = enclosing(path) {
		if line, known := d.lines[path]; known {
			return line
		}
	}
	return lineOf(d.body)
}

// Problem returns a problem at the field's line.
func (d *Document) Problem(field, reason, allowed string) Problem {
	return Problem{File: d.File, Line: d.Line(field), Field: field, Reason: reason, Allowed: allowed}
}

// enclosing cuts the last ".key" or "[index]" off a path.
func enclosing(path string) string {
	cut := strings.LastIndexAny(path, ".[")
	if cut < 0 {
		return ""
	}
	return path[:cut]
}

func lineOf(node ast.Node) int {
	if mapping, ok := node.(*ast.MappingNode); ok && len(mapping.Values) > 0 {
		return mapping.Values[0].Key.GetToken().Position.Line
	}
	token := node.GetToken()
	if token == nil || token.Position == nil {
		return 0
	}
	return token.Position.Line
}

func syntaxProblem(file string, err error) Problem {
	problem := Problem{File: file, Reason: err.Error()}
	var located yaml.Error
	if errors.As(err, &located) {
		problem.Reason = located.GetMessage()
		if token := located.GetToken(); token != nil && token.Position != nil {
			problem.Line = token.Position.Line
		}
	}
	return problem
}
