// Package plan computes the effects of a change of the declarations: the differences
// from the active configuration, their consequences, and the harms that a confirmation
// must accept by name. It does no I/O and reads no clock.
package plan

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/placement"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// The format of a plan ID is "plan-<base>-<hash>".
const (
	idParts     = 3
	idHexDigits = 16
)

// Input holds everything from which a plan is computed.
type Input struct {
	// Active is the active configuration; nil before the first one.
	Active *structs.Configuration
	// Desired are the new declarations, already validated by package declaration.
	Desired structs.Declarations
	// Operator is the operator who requests the plan.
	Operator string
	// Usage counts the running programs.
	Usage Usage
	// Nodes are the currently known daemons; empty if the membership is unknown.
	Nodes []structs.Node
	// Members are the current members of replica groups, as far as known.
	Members map[structs.ShardID][]structs.NodeID
	// Engines are the last reports of the engines; empty if there are none.
	Engines []structs.EngineStatus
	// Now is the creation time of the plan.
	Now time.Time
}

// Plan is a change that awaits confirmation.
type Plan struct {
	// ID is derived from the base version, the operator and the declarations:
	// requesting the same change again results in the same ID. It contains the base
	// version (see BaseVersionOf).
	ID string `json:"id"`
	// BaseVersion is the version of the active configuration that the plan is based on.
	BaseVersion  uint64               `json:"baseVersion"`
	Operator     string               `json:"operator"`
	CreatedAt    time.Time            `json:"createdAt"`
	Differences  []structs.Difference `json:"differences"`
	Consequences []Consequence        `json:"consequences"`
	Harms        []Harm               `json:"harms"`
	// Declarations and Domains are the configuration that the plan activates.
	Declarations structs.Declarations `json:"declarations"`
	Domains      []structs.Domain     `json:"domains"`
}

// New computes a plan. The same input always results in the same plan.
func New(input Input) *Plan {
	active := structs.Configuration{}
	if input.Active != nil {
		active = *input.Active
	}
	c := &comparison{
		input:         input,
		before:        active.Declarations,
		after:         input.Desired,
		beforeIndex:   newIndex(active.Declarations),
		afterIndex:    newIndex(input.Desired),
		activeDomains: active.Domains,
	}
	c.desiredDomains = placement.ExtendDomains(input.Desired, active.Domains)
	c.compareModels()
	c.compareZones()
	c.comparePrograms()
	return &Plan{
		ID:           planID(active.Version, input),
		BaseVersion:  active.Version,
		Operator:     input.Operator,
		CreatedAt:    input.Now,
		Differences:  Differences(active.Declarations, input.Desired),
		Consequences: c.consequences,
		Harms:        c.harms,
		Declarations: input.Desired,
		Domains:      c.desiredDomains,
	}
}

// IsEmpty reports whether the plan changes nothing.
func (p *Plan) IsEmpty() bool { return len(p.Differences) == 0 }

// UnacceptedHarms returns the harms whose names are not accepted.
func (p *Plan) UnacceptedHarms(accepted []string) []Harm {
	isAccepted := map[string]bool{}
	for _, name := range accepted {
		isAccepted[name] = true
	}
	var unaccepted []Harm
	for _, harm := range p.Harms {
		if !isAccepted[harm.Name] {
			unaccepted = append(unaccepted, harm)
		}
	}
	return unaccepted
}

// idContent is the content that a plan's ID is the hash of. The field names are part of
// the hash.
type idContent struct {
	Base     uint64
	Operator string
	Wanted   structs.Declarations
}

func planID(base uint64, input Input) string {
	// All declared values can be represented in JSON, and maps are encoded in the order
	// of their keys, so the encoding is deterministic.
	content, err := json.Marshal(idContent{base, input.Operator, input.Desired})
	if err != nil {
		content = []byte(err.Error())
	}
	hash := sha256.Sum256(content)
	return fmt.Sprintf("plan-%d-%s", base, hex.EncodeToString(hash[:])[:idHexDigits])
}

// BaseVersionOf returns the base version that a plan's ID contains, and whether the ID
// is well formed.
func BaseVersionOf(id string) (uint64, bool) {
	parts := strings.Split(id, "-")
	if len(parts) != idParts || parts[0] != "plan" || len(parts[2]) != idHexDigits {
		return 0, false
	}
	if _, err := hex.DecodeString(parts[2]); err != nil {
		return 0, false
	}
	base, err := strconv.ParseUint(parts[1], 10, 64)
	return base, err == nil
}

// comparison is the state of one call of New.
type comparison struct {
	input                         Input
	before, after                 structs.Declarations
	beforeIndex, afterIndex       index
	activeDomains, desiredDomains []structs.Domain
	consequences                  []Consequence
	harms                         []Harm
}

// index maps names to declared objects.
type index struct {
	zones    map[structs.ZoneName]structs.Zone
	tenants  map[structs.TenantID]structs.Tenant
	models   map[structs.ModelName]structs.Model
	tools    map[structs.ToolName]structs.Tool
	programs map[structs.ProgramName]structs.AgentProgram
}

func newIndex(d structs.Declarations) index {
	return index{
		zones:    byName(d.Zones, func(z structs.Zone) structs.ZoneName { return z.Name }),
		tenants:  byName(d.Tenants, func(t structs.Tenant) structs.TenantID { return t.Name }),
		models:   byName(d.Models, func(m structs.Model) structs.ModelName { return m.Name }),
		tools:    byName(d.Tools, func(t structs.Tool) structs.ToolName { return t.Name }),
		programs: byName(d.Programs, func(p structs.AgentProgram) structs.ProgramName { return p.Name }),
	}
}

func byName[T any, N comparable](objects []T, nameOf func(T) N) map[N]T {
	index := make(map[N]T, len(objects))
	for _, object := range objects {
		index[nameOf(object)] = object
	}
	return index
}

// isOpen reports whether the zone is declared and accepts work.
func (i index) isOpen(zone structs.ZoneName) bool {
	zoneDeclaration, exists := i.zones[zone]
	return exists && !zoneDeclaration.Draining
}

// openZones returns the open zones among the given ones.
func (i index) openZones(zones []structs.ZoneName) []structs.ZoneName {
	var open []structs.ZoneName
	for _, zone := range zones {
		if i.isOpen(zone) {
			open = append(open, zone)
		}
	}
	return open
}
