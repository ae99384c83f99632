package plan

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"sort"

	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// Differences lists the differences between two sets of declarations by object and
// field. An added or removed object is one difference; a changed object has one for
// each changed field.
func Differences(before, after structs.Declarations) []structs.Difference {
	var differences []structs.Difference
	// There is only one deployment, so a new name counts as a changed field.
	name := cmp.Or(after.Deployment.Name, before.Deployment.Name)
	differences = append(differences, compareLists("Deployment", deploymentList(before), deploymentList(after),
		func(structs.Deployment) string { return name })...)
	differences = append(differences, compareLists("Zone", before.Zones, after.Zones, func(z structs.Zone) string { return string(z.Name) })...)
	differences = append(differences, compareLists("Tenant", before.Tenants, after.Tenants, func(t structs.Tenant) string { return string(t.Name) })...)
	differences = append(differences, compareLists("Model", before.Models, after.Models, func(m structs.Model) string { return string(m.Name) })...)
	differences = append(differences, compareLists("Tool", before.Tools, after.Tools, func(t structs.Tool) string { return string(t.Name) })...)
	differences = append(differences, compareLists("AgentProgram", before.Programs, after.Programs,
		func(p structs.AgentProgram) string { return string(p.Name) })...)
	return differences
}

// deploymentList returns the deployment; none before the first configuration.
func deploymentList(d structs.Declarations) []structs.Deployment {
	if d.Deployment.Name == "" {
		return nil
	}
	return []structs.Deployment{d.Deployment}
}

func compareLists[T any](kind string, before, after []T, nameOf func(T) string) []structs.Difference {
	beforeByName, afterByName := byName(before, nameOf), byName(after, nameOf)
	names := map[string]bool{}
	for name := range beforeByName {
		names[name] = true
	}
	for name := range afterByName {
		names[name] = true
	}
	var differences []structs.Difference
	for _, name := range sortedNames(names) {
		oldObject, existed := beforeByName[name]
		newObject, exists := afterByName[name]
		object := objectName(kind, name)
		switch {
		case !existed:
			differences = append(differences, structs.Difference{Object: object, Change: structs.ChangeAdded})
		case !exists:
			differences = append(differences, structs.Difference{Object: object, Change: structs.ChangeRemoved})
		default:
			differences = append(differences, compareFields(object, oldObject, newObject)...)
		}
	}
	return differences
}

func compareFields(object string, before, after any) []structs.Difference {
	oldText, newText := encodeJSON(before), encodeJSON(after)
	if bytes.Equal(oldText, newText) {
		return nil
	}
	beforeLeaves, afterLeaves := flatten(oldText), flatten(newText)
	paths := map[string]bool{}
	for path := range beforeLeaves {
		paths[path] = true
	}
	for path := range afterLeaves {
		paths[path] = true
	}
	var differences []structs.Difference
	for _, path := range sortedNames(paths) {
		if beforeLeaves[path] == afterLeaves[path] {
			continue
		}
		differences = append(differences, structs.Difference{
			Object: object,
			Change: structs.ChangeChanged,
			Field:  path,
			Before: beforeLeaves[path],
			After:  afterLeaves[path],
		})
	}
	return differences
}

// flatten maps the dotted path of each leaf of a JSON object to the leaf's text.
// Elements of lists of objects with an "id" are addressed by it; other lists are
// leaves.
func flatten(text []byte) map[string]string {
	var value any
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.UseNumber()
	leaves := map[string]string{}
	if err := decoder.Decode(&value); err != nil {
		leaves[""] = string(text)
		return leaves
	}
	flattenInto(leaves, "", value)
	return leaves
}

func flattenInto(leaves map[string]string, path string, value any) {
	switch typed := value.(type) {
	case map[string]any:
		for key, child := range typed {
			flattenInto(leaves, joinPath(path, key), child)
		}
	case []any:
		if !haveIDs(typed) {
			leaves[path] = string(encodeJSON(typed))
			return
		}
		for _, child := range typed {
			object := child.(map[string]any)
			flattenInto(leaves, fmt.Sprintf("%s[%v]", path, object["id"]), child)
		}
	default:
		leaves[path] = string(encodeJSON(typed))
	}
}

func haveIDs(list []any) bool {
	for _, child := range list {
		object, isObject := child.(map[string]any)
		if !isObject || object["id"] == nil {
			return false
		}
	}
	return len(list) > 0
}

func joinPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

// encodeJSON encodes declared values, all of which can be represented in JSON.
func encodeJSON(value any) []byte {
	text, err := json.Marshal(value)
	if err != nil {
		return []byte(err.Error())
	}
	return text
}

func sortedNames(set map[string]bool) []string {
	names := make([]string, 0, len(set))
	for name := range set {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
