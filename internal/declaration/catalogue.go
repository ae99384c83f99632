package declaration

import (
	"fmt"
	"sort"

	"github.com/barleyshelf/barleyshelf/internal/strictyaml"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// Kind is the kind of a declared object.
type Kind string

// The kinds that a document can declare.
const (
	KindDeployment   Kind = "Deployment"
	KindZone         Kind = "Zone"
	KindTenant       Kind = "Tenant"
	KindModel        Kind = "Model"
	KindTool         Kind = "Tool"
	KindAgentProgram Kind = "AgentProgram"
)

const allowedKinds = "Deployment, Zone, Tenant, Model, Tool, AgentProgram"

// nameKey is the key that a spec must not repeat: the name is in the metadata.
const nameKey = "name"

// header is what all documents have in common.
type header struct {
	APIVersion string         `yaml:"apiVersion"`
	Kind       Kind           `yaml:"kind"`
	Metadata   metadata       `yaml:"metadata"`
	Spec       strictyaml.Raw `yaml:"spec"`
}

type metadata struct {
	Name string `yaml:"name"`
}

// entry is a declared object with the document it stands in.
type entry[T any] struct {
	name     string
	value    T
	document *strictyaml.Document
}

// catalogue collects the documents of all files.
type catalogue struct {
	deployments []entry[structs.Deployment]
	zones       []entry[structs.Zone]
	tenants     []entry[structs.Tenant]
	models      []entry[structs.Model]
	tools       []entry[structs.Tool]
	programs    []entry[structs.AgentProgram]
	problems    []strictyaml.Problem
}

func (c *catalogue) addFile(path string, data []byte) {
	documents, problems := strictyaml.Parse(path, data)
	c.problems = append(c.problems, problems...)
	for _, document := range documents {
		c.addDocument(document)
	}
}

func (c *catalogue) addDocument(document *strictyaml.Document) {
	var head header
	problems := document.Decode(&head)
	c.problems = append(c.problems, problems...)
	if len(problems) > 0 && head.Kind == "" {
		return
	}
	if head.APIVersion != APIVersion {
		c.report(document, "apiVersion", fmt.Sprintf("unknown version %q", head.APIVersion), APIVersion)
	}
	name := head.Metadata.Name
	if !namePattern.MatchString(name) {
		c.report(document, "metadata.name", fmt.Sprintf("malformed name %q", name), allowedName)
	}
	c.addObject(document, head.Kind, name)
}

func (c *catalogue) addObject(document *strictyaml.Document, kind Kind, name string) {
	switch kind {
	case KindDeployment:
		addSpec(c, &c.deployments, document, name)
	case KindZone:
		addSpec(c, &c.zones, document, name)
	case KindTenant:
		addSpec(c, &c.tenants, document, name)
	case KindModel:
		addSpec(c, &c.models, document, name)
	case KindTool:
		addSpec(c, &c.tools, document, name)
	case KindAgentProgram:
		addSpec(c, &c.programs, document, name)
	default:
		c.report(document, "kind", fmt.Sprintf("unknown kind %q", kind), allowedKinds)
	}
}

func addSpec[T any](c *catalogue, entries *[]entry[T], document *strictyaml.Document, name string) {
	var value T
	c.problems = append(c.problems, document.DecodeAt("spec", &value, nameKey)...)
	for _, earlier := range *entries {
		if earlier.name != name {
			continue
		}
		place := fmt.Sprintf("%s:%d", earlier.document.File, earlier.document.Line("metadata.name"))
		c.report(document, "metadata.name", fmt.Sprintf("name %q is taken by %s", name, place), "a name of its own within the kind")
		return
	}
	*entries = append(*entries, entry[T]{name: name, value: value, document: document})
}

func (c *catalogue) report(document *strictyaml.Document, field, reason, allowed string) {
	c.problems = append(c.problems, document.Problem(field, reason, allowed))
}

// declarations sorts the entries by name, sets the names and returns the values.
func (c *catalogue) declarations() structs.Declarations {
	var all structs.Declarations
	if len(c.deployments) > 0 {
		all.Deployment = c.deployments[0].value
		all.Deployment.Name = c.deployments[0].name
	}
	all.Zones = values(c.zones, func(z *structs.Zone, name string) { z.Name = structs.ZoneName(name) })
	all.Tenants = values(c.tenants, func(t *structs.Tenant, name string) { t.Name = structs.TenantID(name) })
	all.Models = values(c.models, func(m *structs.Model, name string) { m.Name = structs.ModelName(name) })
	all.Tools = values(c.tools, func(t *structs.Tool, name string) { t.Name = structs.ToolName(name) })
	all.Programs = values(c.programs, func(p *structs.AgentProgram, name string) { p.Name = structs.ProgramName(name) })
	return all
}

func values[T any](entries []entry[T], setName func(*T, string)) []T {
	sort.SliceStable(entries, func(i, j int) bool { return entries[i].name < entries[j].name })
	sorted := make([]T, 0, len(entries))
	for _, one := range entries {
		setName(&one.value, one.name)
		sorted = append(sorted, one.value)
	}
	return sorted
}

// documentOf returns the document of the object, or nil.
func (c *catalogue) documentOf(kind Kind, name string) *strictyaml.Document {
	switch kind {
	case KindDeployment:
		return find(c.deployments, name)
	case KindZone:
		return find(c.zones, name)
	case KindTenant:
		return find(c.tenants, name)
	case KindModel:
		return find(c.models, name)
	case KindTool:
		return find(c.tools, name)
	default:
		return find(c.programs, name)
	}
}

func find[T any](entries []entry[T], name string) *strictyaml.Document {
	for _, one := range entries {
		if one.name == name {
			return one.document
		}
	}
	return nil
}
