package plan

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"sort"

	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// Differences lists what differs, by object and field. A whole object that was
// added or removed is one difference; the fields of a changed one are one each.
func Differences(before, after structs.Declarations) []structs.Difference {
	var all []structs.Difference
	// There is one deployment, so a new name is a changed field of it.
	name := cmp.Or(after.Deployment.Name, before.Deployment.Name)
	all = append(all, compareLists("Deployment", deploymentList(before), deploymentList(after),
		func(structs.Deployment) string { return name })...)
	all = append(all, compareLists("Zone", before.Zones, after.Zones, func(z structs.Zone) string { return string(z.Name) })...)
	all = append(all, compareLists("Tenant", before.Tenants, after.Tenants, func(t structs.Tenant) string { return string(t.Name) })...)
	all = append(all, compareLists("Model", before.Models, after.Models, func(m structs.Model) string { return string(m.Name) })...)
	all = append(all, compareLists("Tool", before.Tools, after.Tools, func(t structs.Tool) string { return string(t.Name) })...)
	all = append(all, compareLists("AgentProgram", before.Programs, after.Programs,
		func(p structs.AgentProgram) string { return string(p.Name) })...)
	return all
}

// deploymentList is empty before the first configuration.
func deploymentList(d structs.Declarations) []structs.Deployment {
	if d.Deployment.Name == "" {
		return nil
	}
	return []structs.Deployment{d.Deployment}
}

func compareLists[T any](kind string, before, after []T, name func(T) string) []structs.Difference {
	earlier, later := byName(before, name), byName(after, name)
	names := map[string]bool{}
	for each := range earlier {
		names[each] = true
	}
	for each := range later {
		names[each] = true
	}
	var found []structs.Difference
	for _, each := range sorted(names) {
		old, had := earlier[each]
		wanted, has := later[each]
		object := objectName(kind, each)
		switch {
		case !had:
			found = append(found, structs.Difference{Object: object, Change: structs.ChangeAdded})
		case !has:
			found = append(found, structs.Difference{Object: object, Change: structs.ChangeRemoved})
		default:
			found = append(found, compareFields(object, old, wanted)...)
		}
	}
	return found
}

func compareFields(object string, before, after any) []structs.Difference {
	oldText, newText := asJSON(before), asJSON(after)
	if bytes.Equal(oldText, newText) {
		return nil
	}
	earlier, later := flatten(oldText), flatten(newText)
	paths := map[string]bool{}
	for path := range earlier {
		paths[path] = true
	}
	for path := range later {
		paths[path] = true
	}
	var found []structs.Difference
	for _, path := range sorted(paths) {
		if earlier[path] == later[path] {
			continue
		}
		found = append(found, structs.Difference{
			Object: object,
			Change: structs.ChangeChanged,
			Field:  path,
			Before: earlier[path],
			After:  later[path],
		})
	}
	return found
}

// flatten maps the dotted path of every leaf of a JSON object to its text.
// Lists of objects with an id are addressed by it; other lists are leaves.
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
			leaves[path] = string(asJSON(typed))
			return
		}
		for _, child := range typed {
			identified := child.(map[string]any)
			flattenInto(leaves, fmt.Sprintf("%s[%v]", path, identified["id"]), child)
		}
	default:
		leaves[path] = string(asJSON(typed))
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

// asJSON encodes declared values, which hold nothing that JSON can't carry.
func asJSON(value any) []byte {
	text, err := json.Marshal(value)
	if err != nil {
		return []byte(err.Error())
	}
	return text
}

func sorted(set map[string]bool) []string {
	names := make([]string, 0, len(set))
	for name := range set {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
