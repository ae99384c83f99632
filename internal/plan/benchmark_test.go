package plan

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/declaration"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// BenchmarkPlan loads the declarations of each example, validates them and plans the
// drain of a zone; "target" plans it at the project's target size.
func BenchmarkPlan(b *testing.B) {
	for _, name := range []string{"voltkai", "hofbauer"} {
		b.Run(name, func(b *testing.B) {
			base := loadExample(b, name)
			for b.Loop() {
				desired, err := declaration.Load("../../deploy/" + name)
				require.NoError(b, err)
				planDrain(b, base, desired)
			}
		})
	}
	b.Run("target", func(b *testing.B) {
		base := targetDeclarations()
		for b.Loop() {
			desired := clone(b, base)
			planDrain(b, base, desired)
		}
	})
}

func planDrain(b *testing.B, base, desired structs.Declarations) {
	nodes := daemons(base)
	if len(base.Zones) > 4 {
		nodes = manyDaemons(base, 1500)
	}
	desired.Zones[0].Draining = true
	plan := New(Input{Active: activeConfiguration(base), Desired: desired, Usage: voltkaiUsage(), Nodes: nodes, Now: now})
	require.Len(b, plan.Differences, 1)
}

func manyDaemons(declarations structs.Declarations, count int) []structs.Node {
	nodes := make([]structs.Node, count)
	for i := range nodes {
		zone := declarations.Zones[i%len(declarations.Zones)].Name
		nodes[i] = structs.Node{ID: structs.NodeID(fmt.Sprintf("node-%d", i)), Zone: zone, State: structs.NodeAlive}
	}
	return nodes
}

// targetDeclarations returns declarations with 17 zones, 11,000 engines, 7,700 tenants,
// 3 models and 60 programs in 17 placement domains.
func targetDeclarations() structs.Declarations {
	const zones, engines, tenants, models, programs = 17, 11_000, 7_700, 3, 60
	d := structs.Declarations{Deployment: structs.Deployment{Name: "target", ShardsPerDomain: 64, Replicas: 3, WeightStoreBytesPerSecond: 1e9}}
	for i := range zones {
		d.Zones = append(d.Zones, structs.Zone{Name: structs.ZoneName(fmt.Sprintf("zone-%02d", i)), Region: fmt.Sprintf("region-%d", i%6)})
	}
	for i := range engines {
		zone := &d.Zones[i%zones]
		zone.Engines = append(zone.Engines, structs.EngineEndpoint{ID: structs.EngineID(fmt.Sprintf("engine-%d", i)), Address: fmt.Sprintf("http://10.0.%d.%d:9000", i/250, i%250)})
	}
	for i := range tenants {
		d.Tenants = append(d.Tenants, structs.Tenant{Name: structs.TenantID(fmt.Sprintf("tenant-%d", i)), TokenSHA256: []string{fmt.Sprintf("%064x", i)}})
	}
	for i := range models {
		model := structs.Model{Name: structs.ModelName(fmt.Sprintf("model-%d", i)), Version: "1", WeightsBytes: 1e11, ReplicasPerZone: map[structs.ZoneName]int{}}
		for _, zone := range d.Zones {
			model.ReplicasPerZone[zone.Name] = len(zone.Engines) / models
		}
		d.Models = append(d.Models, model)
	}
	for i := range programs {
		var history []structs.ZoneName
		for offset := range 3 {
			history = append(history, d.Zones[(i+offset)%zones].Name)
		}
		d.Programs = append(d.Programs, structs.AgentProgram{Name: structs.ProgramName(fmt.Sprintf("program-%d", i)), Models: []structs.ModelName{"model-0"}, HistoryZones: history, CacheZones: history})
	}
	return d
}
