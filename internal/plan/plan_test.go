package plan

import (
	"encoding/json"
	"fmt"
	"reflect"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/barleyshelf/barleyshelf/internal/declaration"
	"github.com/barleyshelf/barleyshelf/internal/placement"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

var now = time.Unix(1_700_000_000, 0).UTC()

func loadExample(t testing.TB, name string) structs.Declarations {
	loaded, err := declaration.Load("../../deploy/" + name)
	require.NoError(t, err)
	return loaded
}

// clone returns a deep copy, so that each test can edit its own declarations.
func clone(t require.TestingT, declarations structs.Declarations) structs.Declarations {
	var copied structs.Declarations
	text, err := json.Marshal(declarations)
	require.NoError(t, err)
	require.NoError(t, json.Unmarshal(text, &copied))
	return copied
}

func activeConfiguration(declarations structs.Declarations) *structs.Configuration {
	return &structs.Configuration{Version: 7, Declarations: declarations, Domains: placement.ExtendDomains(declarations, nil)}
}

// daemons returns three daemons for each zone.
func daemons(declarations structs.Declarations) []structs.Node {
	var nodes []structs.Node
	for _, zone := range declarations.Zones {
		for i := range 3 {
			id := structs.NodeID(fmt.Sprintf("%s-%d", zone.Name, i))
			nodes = append(nodes, structs.Node{ID: id, Zone: zone.Name, State: structs.NodeAlive, HasDisk: i == 0})
		}
	}
	return nodes
}

// voltkaiUsage returns the usage of a deployment with running programs in each domain.
func voltkaiUsage() Usage {
	return Usage{Complete: true, Counts: []ProgramCount{
		{Program: "door-session", Tenant: "riders", Domain: "changhua+taichung-1+taichung-2", Running: 40},
		{Program: "refund", Tenant: "riders", Domain: "changhua+taichung-1+taichung-2", Running: 2},
		{Program: "overnight-rebalance", Tenant: "dispatchers", Domain: "changhua+nantou+taichung-1+taichung-2", Running: 1},
	}}
}

func findProgram(d *structs.Declarations, name structs.ProgramName) *structs.AgentProgram {
	for i := range d.Programs {
		if d.Programs[i].Name == name {
			return &d.Programs[i]
		}
	}
	return nil
}

func drainZones(d *structs.Declarations, zones ...structs.ZoneName) {
	for i := range d.Zones {
		for _, zone := range zones {
			d.Zones[i].Draining = d.Zones[i].Draining || d.Zones[i].Name == zone
		}
	}
}

func countKinds(p *Plan) map[ConsequenceKind]int {
	counts := map[ConsequenceKind]int{}
	for _, consequence := range p.Consequences {
		counts[consequence.Kind]++
	}
	return counts
}

func TestFirstPlanLoadsAllModelsWithoutHarm(t *testing.T) {
	desired := loadExample(t, "voltkai")
	plan := New(Input{Desired: desired, Operator: "lin", Nodes: daemons(desired), Now: now})
	require.Empty(t, plan.Harms)
	require.Zero(t, plan.BaseVersion)
	require.Len(t, plan.Domains, 2)
	total := plan.Consequences[len(plan.Consequences)-1]
	require.Equal(t, LoadWeights, total.Kind)
	require.EqualValues(t, 10*16_000_000_000, total.Bytes)
	require.EqualValues(t, 160_000, total.Milliseconds)
}

// Each edit must result in the expected harms with their numbers of programs, and in
// consequences of kind expectedConsequence (in none if it is empty). There is no harm
// without running programs, and there is harm if the count is unknown.
func TestHarms(t *testing.T) {
	cases := []struct {
		name                string
		edit                func(d *structs.Declarations)
		harms               map[string]int
		expectedConsequence ConsequenceKind
	}{
		{"program removed", func(d *structs.Declarations) { d.Programs = d.Programs[1:] }, map[string]int{"cut-off-program-door-session": 40}, RejectRequests},
		{"tool moved to another zone", func(d *structs.Declarations) { d.Tools[4].Zone = "nantou" }, map[string]int{"cut-off-program-refund": 2}, ""},
		{"tool removed from program", func(d *structs.Declarations) {
			findProgram(d, "door-session").Tools = []structs.ToolName{"cabinet-status"}
		},
			map[string]int{"cut-off-program-door-session": 40}, RejectRequests},
		{"every token replaced", func(d *structs.Declarations) { d.Tenants[1].TokenSHA256 = d.Tenants[0].TokenSHA256 },
			map[string]int{"cut-off-tenant-riders": 42}, RejectRequests},
		{"history zones reduced", func(d *structs.Declarations) {
			findProgram(d, "overnight-rebalance").HistoryZones = []structs.ZoneName{"nantou"}
		}, map[string]int{"strand-program-overnight-rebalance": 1}, InsufficientCapacity},
		{"cache zones reduced", func(d *structs.Declarations) {
			findProgram(d, "door-session").CacheZones = []structs.ZoneName{"nantou"}
		}, map[string]int{"strand-program-door-session": 40}, ""},
		{"all zones of a domain drain", func(d *structs.Declarations) { drainZones(d, "taichung-1", "taichung-2", "changhua") },
			map[string]int{"strand-domain-changhua+taichung-1+taichung-2": 42, "cut-off-program-refund": 2}, DrainEngines},
	}
	base := loadExample(t, "voltkai")
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			desired := clone(t, base)
			test.edit(&desired)
			input := Input{Active: activeConfiguration(base), Desired: desired, Usage: voltkaiUsage(), Nodes: daemons(base)[9:], Now: now}
			if test.expectedConsequence == DrainEngines {
				input.Nodes = daemons(base)
			}
			plan := New(input)
			programsByHarm := map[string]int{}
			for _, harm := range plan.Harms {
				programsByHarm[harm.Name] = harm.Programs
			}
			require.Equal(t, test.harms, programsByHarm)
			require.Equal(t, test.expectedConsequence == "", len(plan.Consequences) == 0)
			require.Equal(t, test.expectedConsequence == "", countKinds(plan)[test.expectedConsequence] == 0)
			require.Len(t, plan.UnacceptedHarms(nil), len(test.harms))

			input.Usage = Usage{Complete: true}
			require.Empty(t, New(input).Harms)
			input.Usage = Usage{}
			harmsOfUnknown := New(input).Harms
			require.NotEmpty(t, harmsOfUnknown)
			for _, harm := range harmsOfUnknown {
				require.Equal(t, UnknownCount, harm.Programs)
			}
		})
	}
}

// Running programs keep the settings that they were started with, so changed settings
// and a withdrawn permission to start the program do no harm.
func TestChangedSettingsDoNotHarmRunningPrograms(t *testing.T) {
	base := loadExample(t, "voltkai")
	desired := clone(t, base)
	program := findProgram(&desired, "door-session")
	program.Budget.Turns, program.MaxAnswerTokens, program.Tenants = 1, 1, []structs.TenantID{"dispatchers"}
	plan := New(Input{Active: activeConfiguration(base), Desired: desired, Usage: voltkaiUsage(), Now: now})
	require.Empty(t, plan.Harms)
	programsByKind := map[ConsequenceKind]int{}
	for _, consequence := range plan.Consequences {
		programsByKind[consequence.Kind] += consequence.Programs
	}
	require.Equal(t, map[ConsequenceKind]int{RejectRequests: 40, ChangeSettings: 40}, programsByKind)
}

func TestUnacceptedHarms(t *testing.T) {
	p := Plan{Harms: []Harm{{Name: "a"}, {Name: "b"}}}
	require.Equal(t, []Harm{{Name: "b"}}, p.UnacceptedHarms([]string{"a", "c"}))
	require.Empty(t, p.UnacceptedHarms([]string{"b", "a"}))
}

func TestDrainingOneZoneMovesReplicasWithoutHarm(t *testing.T) {
	base := loadExample(t, "voltkai")
	desired := clone(t, base)
	drainZones(&desired, "changhua")
	nodes := daemons(base)
	plan := New(Input{Active: activeConfiguration(base), Desired: desired, Usage: voltkaiUsage(), Nodes: nodes, Now: now})
	require.Empty(t, plan.Harms)
	expected := map[string]int{}
	for _, domain := range placement.ExtendDomains(base, nil) {
		for shard := domain.FirstShard; shard < domain.FirstShard+structs.ShardID(domain.ShardCount); shard++ {
			for _, member := range placement.SelectReplicas(domain, shard, nodes, 3) {
				if member.Zone == "changhua" {
					expected[objectName("Domain", domain.Name)]++
				}
			}
		}
	}
	moved := map[string]int{}
	for _, consequence := range plan.Consequences {
		if consequence.Kind == MoveReplicas {
			moved[consequence.Object] = consequence.Count
		}
	}
	require.Equal(t, expected, moved)
	require.Positive(t, expected["Domain/changhua+taichung-1+taichung-2"])
}

func TestNewModelVersionDrainsAndReloadsEngines(t *testing.T) {
	base := loadExample(t, "hofbauer")
	desired := clone(t, base)
	desired.Models[0].Version = "6"
	desired.Models[0].ReplicasPerZone["baumgarten"] = 1
	plan := New(Input{Active: activeConfiguration(base), Desired: desired, Usage: Usage{Complete: true}, Now: now})
	require.Equal(t, map[ConsequenceKind]int{DrainEngines: 3, LoadWeights: 4, UnloadWeights: 1}, countKinds(plan))
	total := plan.Consequences[len(plan.Consequences)-1]
	require.EqualValues(t, 9*28_000, total.Milliseconds)
	require.Empty(t, plan.Harms)
}

func TestMissingEngineReportsAreInsufficientCapacity(t *testing.T) {
	base := loadExample(t, "hofbauer")
	engines := []structs.EngineStatus{{ID: "a", Zone: "vienna-1"}, {ID: "b", Zone: "vienna-1", Leaving: true}}
	plan := New(Input{Active: activeConfiguration(base), Desired: base, Engines: engines, Usage: Usage{Complete: true}, Now: now})
	require.True(t, plan.IsEmpty())
	missingByZone := map[structs.ZoneName]int{}
	for _, consequence := range plan.Consequences {
		require.Equal(t, InsufficientCapacity, consequence.Kind)
		missingByZone[consequence.Zone] = consequence.Count
	}
	require.Equal(t, map[structs.ZoneName]int{"vienna-1": 3, "vienna-2": 4, "baumgarten": 2}, missingByZone)
}

// Declarations are edited at random and compared by reflection, which is independent of
// JSON paths.
func TestDifferencesAreEmptyOnlyForEqualDeclarations(t *testing.T) {
	base := loadExample(t, "voltkai")
	rapid.Check(t, func(t *rapid.T) {
		desired := clone(t, base)
		for range rapid.IntRange(0, 3).Draw(t, "edits") {
			editAtRandom(t, &desired)
		}
		differences := Differences(base, desired)
		require.Equal(t, reflect.DeepEqual(base, desired), len(differences) == 0)
		for _, difference := range differences {
			require.False(t, difference.Change == structs.ChangeChanged && difference.Before == difference.After)
		}
		plan := New(Input{Active: activeConfiguration(base), Desired: desired, Operator: "lin", Now: now})
		samePlan := New(Input{Active: activeConfiguration(base), Desired: clone(t, desired), Operator: "lin", Now: now.Add(time.Hour)})
		otherOperator := New(Input{Active: activeConfiguration(base), Desired: desired, Operator: "wu", Now: now})
		require.Equal(t, plan.ID, samePlan.ID)
		require.NotEqual(t, plan.ID, otherOperator.ID)
	})
}

func editAtRandom(t *rapid.T, d *structs.Declarations) {
	switch rapid.IntRange(0, 4).Draw(t, "kind") {
	case 0:
		d.Models[0].ReplicasPerZone["nantou"] = rapid.IntRange(0, 2).Draw(t, "replicas")
	case 1:
		d.Zones[1].Engines[0].Address = rapid.SampledFrom([]string{"http://127.0.0.1:9006", "http://127.0.0.1:1"}).Draw(t, "address")
	case 2:
		d.Tools[0].Retries = rapid.IntRange(0, 2).Draw(t, "retries")
	case 3:
		d.Programs = d.Programs[:rapid.IntRange(1, len(d.Programs)).Draw(t, "programs")]
	default:
		d.Tenants[0].Weight = rapid.Float64Range(0, 2).Draw(t, "weight")
	}
}
