package hollow

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/barleyshelf/barleyshelf/internal/structs"
)

const (
	modelCount = 3
	// tenantsPerProgram gives the number of declared agent programs.
	tenantsPerProgram = 10
)

// newConfiguration makes the first configuration of a run.
func newConfiguration(o Options) *structs.Configuration {
	c := &structs.Configuration{Version: 1, PlanID: "plan-1"}
	d := &c.Declarations
	d.Deployment = structs.Deployment{Name: "hollow", ShardsPerDomain: 64, Replicas: 3}
	for i := range o.Zones {
		zone, region := place(i, o.Zones)
		d.Zones = append(d.Zones, structs.Zone{Name: zone, Region: region})
	}
	for i := range o.Workers {
		zone := &d.Zones[i%o.Zones]
		id := fmt.Sprintf("engine-%05d", i)
		endpoint := structs.EngineEndpoint{ID: structs.EngineID(id), Address: "http://" + address(i+1<<20)}
		zone.Engines = append(zone.Engines, endpoint)
	}
	for i := range modelCount {
		replicas := map[structs.ZoneName]int{}
		for _, zone := range d.Zones {
			replicas[zone.Name] = len(zone.Engines) / modelCount
		}
		d.Models = append(d.Models, structs.Model{
			Name: structs.ModelName(fmt.Sprintf("model-%d", i)), Version: "1", WeightsBytes: 1 << 37, ReplicasPerZone: replicas,
		})
	}
	for i := range o.Tenants {
		d.Tenants = append(d.Tenants, newTenant(i))
	}
	for i := range o.Tenants/tenantsPerProgram + 1 {
		d.Programs = append(d.Programs, newProgram(i, d))
	}
	return c
}

func newTenant(index int) structs.Tenant {
	name := fmt.Sprintf("tenant-%05d", index)
	token := fmt.Sprintf("%016x", xxhash.Sum64String(name))
	return structs.Tenant{
		Name:              structs.TenantID(name),
		TokenSHA256:       []string{token + token + token + token},
		RequestsPerSecond: 10,
		Weight:            1,
	}
}

func newProgram(index int, d *structs.Declarations) structs.AgentProgram {
	program := structs.AgentProgram{
		Name:   structs.ProgramName(fmt.Sprintf("program-%04d", index)),
		Models: []structs.ModelName{d.Models[index%modelCount].Name},
		Budget: structs.Amount{Tokens: 1 << 20, CostMicros: 1 << 20, Turns: 130, Milliseconds: 1 << 20},
	}
	for i := range tenantsPerProgram {
		program.Tenants = append(program.Tenants, d.Tenants[(index*tenantsPerProgram+i)%len(d.Tenants)].Name)
	}
	for i := range min(3, len(d.Zones)) {
		zone := d.Zones[(index+i)%len(d.Zones)].Name
		program.HistoryZones = append(program.HistoryZones, zone)
		program.CacheZones = append(program.CacheZones, zone)
	}
	return program
}

// Of a thousand changes so many touch programs, models and zones; the rest
// touch tenants.
const (
	programChanges = 150
	modelChanges   = 40
	zoneChanges    = 10
)

// changed returns the next version, with one object changed.
func changed(c *structs.Configuration, random *rand.Rand) *structs.Configuration {
	next := *c
	next.Version++
	next.PlanID = fmt.Sprintf("plan-%d", next.Version)
	d := &next.Declarations
	switch draw := random.IntN(1000); {
	case draw < zoneChanges:
		d.Zones = slices.Clone(d.Zones)
		zone := &d.Zones[random.IntN(len(d.Zones))]
		zone.Draining = !zone.Draining
	case draw < zoneChanges+modelChanges:
		d.Models = slices.Clone(d.Models)
		d.Models[random.IntN(len(d.Models))].Version = next.PlanID
	case draw < zoneChanges+modelChanges+programChanges:
		d.Programs = slices.Clone(d.Programs)
		d.Programs[random.IntN(len(d.Programs))].Budget.Tokens++
	default:
		d.Tenants = slices.Clone(d.Tenants)
		d.Tenants[random.IntN(len(d.Tenants))].RequestsPerSecond++
	}
	return &next
}

// encodedSize is the size of the platform's form.
func encodedSize(c *structs.Configuration) int {
	encoded, err := json.Marshal(c)
	if err != nil {
		return 0
	}
	return len(encoded)
}

// copyConfiguration copies a configuration with all that it refers to.
func copyConfiguration(c *structs.Configuration) *structs.Configuration {
	copied := &structs.Configuration{}
	encoded, err := json.Marshal(c)
	if err == nil {
		err = json.Unmarshal(encoded, copied)
	}
	if err != nil {
		return c
	}
	return copied
}
