// Package plan works out what a change of the declarations would do: the
// differences from the configuration in force, their consequences, and the
// harms that a confirmation must name. It does no I/O and reads no clock.
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

// An identifier is "plan-<base>-<hash>".
const (
	idParts     = 3
	idHexDigits = 16
)

// Input is everything that a plan is made from.
type Input struct {
	// Active is the configuration in force; nil before the first one.
	Active *structs.Configuration
	// Desired are the declarations, checked by package declaration.
	Desired structs.Declarations
	// Operator is who asks.
	Operator string
	// Usage counts the programs under way.
	Usage Usage
	// Nodes are the daemons now known; empty where the view isn't known.
	Nodes []structs.Node
	// Members are the present members of replica groups, as far as known.
	Members map[structs.ShardID][]structs.NodeID
	// Engines are the engines' last reports; empty where none is known.
	Engines []structs.EngineStatus
	// Now stamps the plan.
	Now time.Time
}

// Plan is a change that waits for its confirmation.
type Plan struct {
	// ID is derived from base, operator and declarations: asking for the same
	// change again gives the same plan. It carries the base (see BaseVersionOf).
	ID string `json:"id"`
	// BaseVersion is the version in force that the plan was made from.
	BaseVersion  uint64               `json:"baseVersion"`
	Operator     string               `json:"operator"`
	CreatedAt    time.Time            `json:"createdAt"`
	Differences  []structs.Difference `json:"differences"`
	Consequences []Consequence        `json:"consequences"`
	Harms        []Harm               `json:"harms"`
	// Declarations and Domains are what the plan puts in force.
	Declarations structs.Declarations `json:"declarations"`
	Domains      []structs.Domain     `json:"domains"`
}

// New works out the plan. The same input always gives the same plan.
func New(input Input) *Plan {
	inForce := structs.Configuration{}
	if input.Active != nil {
		inForce = *input.Active
	}
	run := &comparison{
		input:  input,
		before: inForce.Declarations,
		after:  input.Desired,
		old:    indexOf(inForce.Declarations),
		new:    indexOf(input.Desired),
		held:   inForce.Domains,
	}
	run.domains = placement.ExtendDomains(input.Desired, inForce.Domains)
	run.models()
	run.places()
	run.programs()
	return &Plan{
		ID:           identifier(inForce.Version, input),
		BaseVersion:  inForce.Version,
		Operator:     input.Operator,
		CreatedAt:    input.Now,
		Differences:  Differences(inForce.Declarations, input.Desired),
		Consequences: run.consequences,
		Harms:        run.harms,
		Declarations: input.Desired,
		Domains:      run.domains,
	}
}

// IsEmpty reports whether the plan changes nothing.
func (p *Plan) IsEmpty() bool { return len(p.Differences) == 0 }

// UnacceptedHarms returns the harms whose names are not among those accepted.
func (p *Plan) UnacceptedHarms(accepted []string) []Harm {
	named := map[string]bool{}
	for _, name := range accepted {
		named[name] = true
	}
	var missing []Harm
	for _, harm := range p.Harms {
		if !named[harm.Name] {
			missing = append(missing, harm)
		}
	}
	return missing
}

// identity is what a plan's identifier is the hash of.
type identity struct {
	Base     uint64
	Operator string
	Wanted   structs.Declarations
}

func identifier(base uint64, input Input) string {
	// The declarations hold nothing that JSON can't carry: numbers, texts and
	// maps by name, which are written in the order of their keys.
	content, err := json.Marshal(identity{base, input.Operator, input.Desired})
	if err != nil {
		content = []byte(err.Error())
	}
	sum := sha256.Sum256(content)
	return fmt.Sprintf("plan-%d-%s", base, hex.EncodeToString(sum[:])[:idHexDigits])
}

// BaseVersionOf returns the base version that a plan's identifier carries, and whether
// the identifier is well formed.
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

// comparison is one run of Make.
type comparison struct {
	input         Input
	before, after structs.Declarations
	old, new      index
	held, domains []structs.Domain
	consequences  []Consequence
	harms         []Harm
}

// index finds declared objects by name.
type index struct {
	zones    map[structs.ZoneName]structs.Zone
	tenants  map[structs.TenantID]structs.Tenant
	models   map[structs.ModelName]structs.Model
	tools    map[structs.ToolName]structs.Tool
	programs map[structs.ProgramName]structs.AgentProgram
}

func indexOf(d structs.Declarations) index {
	return index{
		zones:    byName(d.Zones, func(z structs.Zone) structs.ZoneName { return z.Name }),
		tenants:  byName(d.Tenants, func(t structs.Tenant) structs.TenantID { return t.Name }),
		models:   byName(d.Models, func(m structs.Model) structs.ModelName { return m.Name }),
		tools:    byName(d.Tools, func(t structs.Tool) structs.ToolName { return t.Name }),
		programs: byName(d.Programs, func(p structs.AgentProgram) structs.ProgramName { return p.Name }),
	}
}

func byName[T any, N comparable](all []T, name func(T) N) map[N]T {
	found := make(map[N]T, len(all))
	for _, one := range all {
		found[name(one)] = one
	}
	return found
}

// open reports whether the zone is declared and takes work.
func (i index) open(zone structs.ZoneName) bool {
	declared, known := i.zones[zone]
	return known && !declared.Draining
}

// openZones returns those of zones that are open.
func (i index) openZones(zones []structs.ZoneName) []structs.ZoneName {
	var open []structs.ZoneName
	for _, zone := range zones {
		if i.open(zone) {
			open = append(open, zone)
		}
	}
	return open
}
