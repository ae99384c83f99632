package config

import (
	"encoding/json"
	"reflect"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// listDelta is the difference between two lists of named objects.
type listDelta[T any] struct {
	// Changed are added or replaced objects.
	Changed []T `json:"c,omitempty"`
	// Removed are names of objects that are gone.
	Removed []string `json:"r,omitempty"`
	// Order lists all names where replacing in place and appending does not
	// give the order wanted.
	Order []string `json:"o,omitempty"`
}

// configurationDelta is the difference between two configurations.
type configurationDelta struct {
	PlanID     string                          `json:"p"`
	Audit      *structs.AuditRecord            `json:"u,omitempty"`
	Hash       uint64                          `json:"h"`
	Deployment *structs.Deployment             `json:"d,omitempty"`
	Zones      listDelta[structs.Zone]         `json:"z"`
	Tenants    listDelta[structs.Tenant]       `json:"t"`
	Models     listDelta[structs.Model]        `json:"m"`
	Tools      listDelta[structs.Tool]         `json:"s"`
	Programs   listDelta[structs.AgentProgram] `json:"a"`
	Domains    listDelta[structs.Domain]       `json:"n"`
}

func zoneName(z *structs.Zone) string            { return string(z.Name) }
func tenantName(t *structs.Tenant) string        { return string(t.Name) }
func modelName(m *structs.Model) string          { return string(m.Name) }
func toolName(t *structs.Tool) string            { return string(t.Name) }
func programName(p *structs.AgentProgram) string { return string(p.Name) }
func domainName(d *structs.Domain) string        { return d.Name }

// diff returns what leads from one configuration, of the given hash, to another.
func diff(from, to *structs.Configuration, hash uint64) *configurationDelta {
	delta := &configurationDelta{
		PlanID:   to.PlanID,
		Audit:    to.Audit,
		Zones:    diffList(from.Declarations.Zones, to.Declarations.Zones, zoneName),
		Tenants:  diffList(from.Declarations.Tenants, to.Declarations.Tenants, tenantName),
		Models:   diffList(from.Declarations.Models, to.Declarations.Models, modelName),
		Tools:    diffList(from.Declarations.Tools, to.Declarations.Tools, toolName),
		Programs: diffList(from.Declarations.Programs, to.Declarations.Programs, programName),
		Domains:  diffList(from.Domains, to.Domains, domainName),
	}
	if from.Declarations.Deployment != to.Declarations.Deployment {
		delta.Deployment = &to.Declarations.Deployment
	}
	delta.Hash = delta.nextHash(from, hash)
	return delta
}

// apply returns the configuration that the delta leads to. Lists without a
// change are shared with the old one.
func (d *configurationDelta) apply(from *structs.Configuration, version uint64) *structs.Configuration {
	to := &structs.Configuration{
		Version: version,
		PlanID:  d.PlanID,
		Audit:   d.Audit,
		Declarations: structs.Declarations{
			Deployment: from.Declarations.Deployment,
			Zones:      applyList(from.Declarations.Zones, d.Zones, zoneName),
			Tenants:    applyList(from.Declarations.Tenants, d.Tenants, tenantName),
			Models:     applyList(from.Declarations.Models, d.Models, modelName),
			Tools:      applyList(from.Declarations.Tools, d.Tools, toolName),
			Programs:   applyList(from.Declarations.Programs, d.Programs, programName),
		},
		Domains: applyList(from.Domains, d.Domains, domainName),
	}
	if d.Deployment != nil {
		to.Declarations.Deployment = *d.Deployment
	}
	return to
}

// nextHash returns the hash of the configuration that apply gives, from that
// of the old one, at the cost of the changed objects alone.
func (d *configurationDelta) nextHash(from *structs.Configuration, hash uint64) uint64 {
	if d.Deployment != nil {
		hash ^= objectHash("deployment", from.Declarations.Deployment) ^ objectHash("deployment", *d.Deployment)
	}
	hash ^= listHashChange("zone", from.Declarations.Zones, d.Zones, zoneName)
	hash ^= listHashChange("tenant", from.Declarations.Tenants, d.Tenants, tenantName)
	hash ^= listHashChange("model", from.Declarations.Models, d.Models, modelName)
	hash ^= listHashChange("tool", from.Declarations.Tools, d.Tools, toolName)
	hash ^= listHashChange("program", from.Declarations.Programs, d.Programs, programName)
	hash ^= listHashChange("domain", from.Domains, d.Domains, domainName)
	return hash
}

// hashConfiguration is the exclusive or over the hashes of all objects.
func hashConfiguration(c *structs.Configuration) uint64 {
	hash := objectHash("deployment", c.Declarations.Deployment)
	hash ^= listHash("zone", c.Declarations.Zones)
	hash ^= listHash("tenant", c.Declarations.Tenants)
	hash ^= listHash("model", c.Declarations.Models)
	hash ^= listHash("tool", c.Declarations.Tools)
	hash ^= listHash("program", c.Declarations.Programs)
	hash ^= listHash("domain", c.Domains)
	return hash
}

func listHash[T any](kind string, list []T) uint64 {
	var hash uint64
	for _, object := range list {
		hash ^= objectHash(kind, object)
	}
	return hash
}

func objectHash(kind string, object any) uint64 {
	encoded, err := json.Marshal(object)
	if err != nil {
		// The declared types hold nothing that JSON can't encode.
		return 0
	}
	digest := xxhash.New()
	_, _ = digest.WriteString(kind)
	_, _ = digest.Write(encoded)
	return digest.Sum64()
}

func listHashChange[T any](kind string, from []T, delta listDelta[T], name func(*T) string) uint64 {
	var hash uint64
	for i := range delta.Changed {
		if at := indexOf(from, name(&delta.Changed[i]), name); at >= 0 {
			hash ^= objectHash(kind, from[at])
		}
		hash ^= objectHash(kind, delta.Changed[i])
	}
	for _, removed := range delta.Removed {
		if at := indexOf(from, removed, name); at >= 0 {
			hash ^= objectHash(kind, from[at])
		}
	}
	return hash
}

func indexOf[T any](list []T, wanted string, name func(*T) string) int {
	for i := range list {
		if name(&list[i]) == wanted {
			return i
		}
	}
	return -1
}

func diffList[T any](from, to []T, name func(*T) string) listDelta[T] {
	var delta listDelta[T]
	before := make(map[string]int, len(from))
	for i := range from {
		before[name(&from[i])] = i
	}
	for i := range to {
		key := name(&to[i])
		if at, known := before[key]; !known || !reflect.DeepEqual(from[at], to[i]) {
			delta.Changed = append(delta.Changed, to[i])
		}
		delete(before, key)
	}
	for i := range from {
		if _, gone := before[name(&from[i])]; gone {
			delta.Removed = append(delta.Removed, name(&from[i]))
		}
	}
	wanted := names(to, name)
	if !slices.Equal(names(applyList(from, delta, name), name), wanted) {
		delta.Order = wanted
	}
	return delta
}

func names[T any](list []T, name func(*T) string) []string {
	all := make([]string, len(list))
	for i := range list {
		all[i] = name(&list[i])
	}
	return all
}

// applyList replaces changed objects in place, appends new ones and drops
// removed ones; then it puts them into the order wanted, if one is given.
func applyList[T any](from []T, delta listDelta[T], name func(*T) string) []T {
	if len(delta.Changed) == 0 && len(delta.Removed) == 0 && len(delta.Order) == 0 {
		return from
	}
	to := slices.Grow(slices.Clone(from), len(delta.Changed))
	for i := range delta.Changed {
		if at := indexOf(to, name(&delta.Changed[i]), name); at >= 0 {
			to[at] = delta.Changed[i]
		} else {
			to = append(to, delta.Changed[i])
		}
	}
	for _, removed := range delta.Removed {
		if at := indexOf(to, removed, name); at >= 0 {
			to = slices.Delete(to, at, at+1)
		}
	}
	if len(delta.Order) > 0 {
		to = reorder(to, delta.Order, name)
	}
	if len(to) == 0 {
		return nil
	}
	return to
}

func reorder[T any](list []T, order []string, name func(*T) string) []T {
	byName := map[string]int{}
	for i := range list {
		byName[name(&list[i])] = i
	}
	ordered := make([]T, 0, len(list))
	for _, wanted := range order {
		if at, known := byName[wanted]; known {
			ordered = append(ordered, list[at])
		}
	}
	return ordered
}
