package strictyaml

import (
	"fmt"
	"reflect"
	"sort"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
)

// Decode fills the struct that into points to and returns all problems. What
// can be decoded is set also when other fields have problems, so that a caller
// can go on checking. Keys are matched to the yaml tag of a field, else to its
// json tag; keys named in omit are refused as unknown.
func (d *Document) Decode(into any, omit ...string) []Problem {
	return d.DecodeAt("", into, omit...)
}

// DecodeAt decodes the value of the top-level key field, or the whole document
// for an empty field. A missing key leaves into as it is.
func (d *Document) DecodeAt(field string, into any, omit ...string) []Problem {
	node := d.body
	if field != "" {
		if node = d.topLevel(field); node == nil {
			return nil
		}
	}
	run := decoding{document: d, omitted: omit, top: field}
	run.value(field, node, reflect.ValueOf(into).Elem())
	return run.problems
}

func (d *Document) topLevel(key string) ast.Node {
	mapping, ok := d.body.(*ast.MappingNode)
	if !ok {
		return nil
	}
	for _, pair := range mapping.Values {
		if pair.Key.GetToken().Value == key {
			return pair.Value
		}
	}
	return nil
}

// Raw is a field whose value is decoded later, by DecodeAt.
type Raw struct{}

// decoding is one run of Decode.
type decoding struct {
	document *Document
	problems []Problem
	omitted  []string
	top      string
}

func (r *decoding) report(path string, node ast.Node, reason, allowed string) {
	r.problems = append(r.problems, Problem{
		File: r.document.File, Line: lineOf(node), Field: path, Reason: reason, Allowed: allowed,
	})
}

var rawType = reflect.TypeFor[Raw]()

func (r *decoding) value(path string, node ast.Node, target reflect.Value) {
	if target.Type() == rawType {
		return
	}
	switch node.Type() {
	case ast.AnchorType, ast.AliasType, ast.TagType, ast.MergeKeyType:
		r.report(path, node, "anchors, aliases, merge keys and tags are not read", "the value itself")
		return
	case ast.NullType:
		r.report(path, node, "has no value", allowedFor(target.Type()))
		return
	}
	switch target.Kind() {
	case reflect.Struct:
		r.object(path, node, target)
	case reflect.Map:
		r.dictionary(path, node, target)
	case reflect.Slice:
		r.list(path, node, target)
	default:
		r.scalar(path, node, target)
	}
}

func (r *decoding) object(path string, node ast.Node, target reflect.Value) {
	fields := r.fieldsOf(path, target)
	r.eachPair(path, node, target, func(key, fieldPath string, pair *ast.MappingValueNode) {
		field, known := fields[key]
		if !known {
			r.report(fieldPath, pair.Key, "unknown key", strings.Join(sortedKeys(fields), ", "))
			return
		}
		r.value(fieldPath, pair.Value, field)
	})
}

func (r *decoding) dictionary(path string, node ast.Node, target reflect.Value) {
	filled := reflect.MakeMap(target.Type())
	r.eachPair(path, node, target, func(key, fieldPath string, pair *ast.MappingValueNode) {
		element := reflect.New(target.Type().Elem()).Elem()
		r.value(fieldPath, pair.Value, element)
		filled.SetMapIndex(reflect.ValueOf(key).Convert(target.Type().Key()), element)
	})
	target.Set(filled)
}

// pairVisitor takes one key of a mapping, its path and its pair.
type pairVisitor func(key, fieldPath string, pair *ast.MappingValueNode)

// eachPair visits the keys of a mapping and reports duplicates.
func (r *decoding) eachPair(path string, node ast.Node, target reflect.Value, visit pairVisitor) {
	mapping, ok := node.(*ast.MappingNode)
	if !ok {
		r.report(path, node, "must be a mapping", allowedFor(target.Type()))
		return
	}
	seen := map[string]int{}
	for _, pair := range mapping.Values {
		key := pair.Key.GetToken().Value
		fieldPath := join(path, key)
		line := pair.Key.GetToken().Position.Line
		if earlier, twice := seen[key]; twice {
			r.report(fieldPath, pair.Key, fmt.Sprintf("key stands twice, first in line %d", earlier), "each key once")
			continue
		}
		seen[key] = line
		r.document.lines[fieldPath] = line
		visit(key, fieldPath, pair)
	}
}

func (r *decoding) list(path string, node ast.Node, target reflect.Value) {
	sequence, ok := node.(*ast.SequenceNode)
	if !ok {
		r.report(path, node, "must be a list", allowedFor(target.Type()))
		return
	}
	filled := reflect.MakeSlice(target.Type(), len(sequence.Values), len(sequence.Values))
	for i, entry := range sequence.Values {
		entryPath := fmt.Sprintf("%s[%d]", path, i)
		r.document.lines[entryPath] = lineOf(entry)
		r.value(entryPath, entry, filled.Index(i))
	}
	target.Set(filled)
}

func (r *decoding) scalar(path string, node ast.Node, target reflect.Value) {
	if !scalarFits(node.Type(), target.Kind()) {
		r.report(path, node, fmt.Sprintf("must not be a %s", strings.ToLower(node.Type().String())), allowedFor(target.Type()))
		return
	}
	if err := yaml.NodeToValue(node, target.Addr().Interface()); err != nil {
		r.report(path, node, "value out of range", allowedFor(target.Type()))
	}
}

func scalarFits(node ast.NodeType, target reflect.Kind) bool {
	switch {
	case target == reflect.String:
		return node == ast.StringType || node == ast.LiteralType
	case target == reflect.Bool:
		return node == ast.BoolType
	case isFloat(target):
		return node == ast.FloatType || node == ast.IntegerType
	default:
		return node == ast.IntegerType
	}
}

func isFloat(kind reflect.Kind) bool { return kind == reflect.Float64 || kind == reflect.Float32 }

// allowedFor says in words what a value of the type looks like.
func allowedFor(target reflect.Type) string {
	switch {
	case target.Kind() == reflect.Struct:
		return "a mapping with " + strings.Join(keysOf(target), ", ")
	case target.Kind() == reflect.Map:
		return "a mapping of names to values"
	case target.Kind() == reflect.Slice:
		return "a list"
	case target.Kind() == reflect.String:
		return "text; quote it where it reads as a number or a boolean"
	case target.Kind() == reflect.Bool:
		return "true or false"
	case isFloat(target.Kind()):
		return "a number"
	case strings.HasPrefix(target.Kind().String(), "uint"):
		return "a whole number from 0"
	default:
		return "a whole number"
	}
}

// fieldsOf maps the keys of a struct to its fields, less those omitted.
func (r *decoding) fieldsOf(path string, target reflect.Value) map[string]reflect.Value {
	fields := map[string]reflect.Value{}
	for i := range target.NumField() {
		fields[keyOf(target.Type().Field(i))] = target.Field(i)
	}
	if path == r.top {
		for _, key := range r.omitted {
			delete(fields, key)
		}
	}
	return fields
}

func keysOf(target reflect.Type) []string {
	keys := make([]string, 0, target.NumField())
	for i := range target.NumField() {
		keys = append(keys, keyOf(target.Field(i)))
	}
	return keys
}

func keyOf(field reflect.StructField) string {
	tag := field.Tag.Get("yaml")
	if tag == "" {
		tag = field.Tag.Get("json")
	}
	key, _, _ := strings.Cut(tag, ",")
	return key
}

func sortedKeys(fields map[string]reflect.Value) []string {
	keys := make([]string, 0, len(fields))
	for key := range fields {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}

func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}
