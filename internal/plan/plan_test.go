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

func load(t testing.TB, name string) structs.Declarations {
	loaded, err := declaration.Load("../../deploy/" + name)
	require.NoError(t, err)
	return loaded
}

// clone copies declarations deeply, so that a case can edit its own.
func clone(t require.TestingT, declarations structs.Declarations) structs.Declarations {
	var copied structs.Declarations
	text, err := json.Marshal(declarations)
	require.NoError(t, err)
	require.NoError(t, json.Unmarshal(text, &copied))
	return copied
}

func inForce(declarations structs.Declarations) *structs.Configuration {
	return &structs.Configuration{Version: 7, Declarations: declarations, Domains: placement.ExtendDomains(declarations, nil)}
}

// daemons returns three daemons in each zone.
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

// voltkaiUse has programs under way in each domain.
func voltkaiUse() Usage {
	return Usage{Complete: true, Counts: []ProgramCount{
		{Program: "door-session", Tenant: "riders", Domain: "changhua+taichung-1+taichung-2", Running: 40},
		{Program: "refund", Tenant: "riders", Domain: "changhua+taichung-1+taichung-2", Running: 2},
		{Program: "overnight-rebalance", Tenant: "dispatchers", Domain: "changhua+nantou+taichung-1+taichung-2", Running: 1},
	}}
}

func program(d *structs.Declarations, name structs.ProgramName) *structs.AgentProgram {
	for i := range d.Programs {
		if d.Programs[i].Name == name {
			return &d.Programs[i]
		}
	}
	return nil
}

func closeZones(d *structs.Declarations, names ...structs.ZoneName) {
	for i := range d.Zones {
		for _, name := range names {
			d.Zones[i].Draining = d.Zones[i].Draining || d.Zones[i].Name == name
		}
	}
}

func kinds(p *Plan) map[ConsequenceKind]int {
	counts := map[ConsequenceKind]int{}
	for _, consequence := range p.Consequences {
		counts[consequence.Kind]++
	}
	return counts
}

func TestFirstPlanLoadsAllModelsWithoutHarm(t *testing.T) {
	wanted := load(t, "voltkai")
	made := New(Input{Desired: wanted, Operator: "lin", Nodes: daemons(wanted), Now: now})
	require.Empty(t, made.Harms)
	require.Zero(t, made.BaseVersion)
	require.Len(t, made.Domains, 2)
	total := made.Consequences[len(made.Consequences)-1]
	require.Equal(t, LoadWeights, total.Kind)
	require.EqualValues(t, 10*16_000_000_000, total.Bytes)
	require.EqualValues(t, 160_000, total.Milliseconds)
}

// TestHarms also holds that a harm comes with the consequence of
// sideKind (with none where that is empty), that nobody under way means no harm
// and that an unknown count means harm.
func TestHarms(t *testing.T) {
	cases := []struct {
		name     string
		edit     func(d *structs.Declarations)
		harms    map[string]int
		sideKind ConsequenceKind
	}{
		{"program removed", func(d *structs.Declarations) { d.Programs = d.Programs[1:] }, map[string]int{"cut-off-program-door-session": 40}, RejectRequests},
		{"tool moves away", func(d *structs.Declarations) { d.Tools[4].Zone = "nantou" }, map[string]int{"cut-off-program-refund": 2}, ""},
		{"tool taken away", func(d *structs.Declarations) { program(d, "door-session").Tools = []structs.ToolName{"cabinet-status"} },
			map[string]int{"cut-off-program-door-session": 40}, RejectRequests},
		{"every token replaced", func(d *structs.Declarations) { d.Tenants[1].TokenSHA256 = d.Tenants[0].TokenSHA256 },
			map[string]int{"cut-off-tenant-riders": 42}, RejectRequests},
		{"history narrowed", func(d *structs.Declarations) {
			program(d, "overnight-rebalance").HistoryZones = []structs.ZoneName{"nantou"}
		}, map[string]int{"strand-program-overnight-rebalance": 1}, InsufficientCapacity},
		{"cache narrowed", func(d *structs.Declarations) {
			program(d, "door-session").CacheZones = []structs.ZoneName{"nantou"}
		}, map[string]int{"strand-program-door-session": 40}, ""},
		{"all zones of a domain drain", func(d *structs.Declarations) { closeZones(d, "taichung-1", "taichung-2", "changhua") },
			map[string]int{"strand-domain-changhua+taichung-1+taichung-2": 42, "cut-off-program-refund": 2}, DrainEngines},
	}
	base := load(t, "voltkai")
	for _, each := range cases {
		t.Run(each.name, func(t *testing.T) {
			wanted := clone(t, base)
			each.edit(&wanted)
			input := Input{Active: inForce(base), Desired: wanted, Usage: voltkaiUse(), Nodes: daemons(base)[9:], Now: now}
			if each.sideKind == DrainEngines {
				input.Nodes = daemons(base)
			}
			made := New(input)
			found := map[string]int{}
			for _, harm := range made.Harms {
				found[harm.Name] = harm.Programs
			}
			require.Equal(t, each.harms, found)
			require.Equal(t, each.sideKind == "", len(made.Consequences) == 0)
			require.Equal(t, each.sideKind == "", kinds(made)[each.sideKind] == 0)
			require.Len(t, made.UnacceptedHarms(nil), len(each.harms))

			input.Usage = Usage{Complete: true}
			require.Empty(t, New(input).Harms)
			input.Usage = Usage{}
			unknown := New(input).Harms
			require.NotEmpty(t, unknown)
			for _, harm := range unknown {
				require.Equal(t, UnknownCount, harm.Programs)
			}
		})
	}
}

// TestChangedSettingsDoNotHarmRunningPrograms: these keep what they were opened with, so other
// terms and a lost grant to open harm nobody.
func TestChangedSettingsDoNotHarmRunningPrograms(t *testing.T) {
	base := load(t, "voltkai")
	wanted := clone(t, base)
	door := program(&wanted, "door-session")
	door.Budget.Turns, door.MaxAnswerTokens, door.Tenants = 1, 1, []structs.TenantID{"dispatchers"}
	made := New(Input{Active: inForce(base), Desired: wanted, Usage: voltkaiUse(), Now: now})
	require.Empty(t, made.Harms)
	touched := map[ConsequenceKind]int{}
	for _, consequence := range made.Consequences {
		touched[consequence.Kind] += consequence.Programs
	}
	require.Equal(t, map[ConsequenceKind]int{RejectRequests: 40, ChangeSettings: 40}, touched)
}

func TestUnacceptedHarms(t *testing.T) {
	p := Plan{Harms: []Harm{{Name: "a"}, {Name: "b"}}}
	require.Equal(t, []Harm{{Name: "b"}}, p.UnacceptedHarms([]string{"a", "c"}))
	require.Empty(t, p.UnacceptedHarms([]string{"b", "a"}))
}

func TestDrainingOneZoneMovesReplicasWithoutHarm(t *testing.T) {
	base := load(t, "voltkai")
	wanted := clone(t, base)
	closeZones(&wanted, "changhua")
	nodes := daemons(base)
	made := New(Input{Active: inForce(base), Desired: wanted, Usage: voltkaiUse(), Nodes: nodes, Now: now})
	require.Empty(t, made.Harms)
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
	for _, consequence := range made.Consequences {
		if consequence.Kind == MoveReplicas {
			moved[consequence.Object] = consequence.Count
		}
	}
	require.Equal(t, expected, moved)
	require.Positive(t, expected["Domain/changhua+taichung-1+taichung-2"])
}

func TestNewModelVersionDrainsAndReloadsEngines(t *testing.T) {
	base := load(t, "hofbauer")
	wanted := clone(t, base)
	wanted.Models[0].Version = "6"
	wanted.Models[0].ReplicasPerZone["baumgarten"] = 1
	made := New(Input{Active: inForce(base), Desired: wanted, Usage: Usage{Complete: true}, Now: now})
	require.Equal(t, map[ConsequenceKind]int{DrainEngines: 3, LoadWeights: 4, UnloadWeights: 1}, kinds(made))
	total := made.Consequences[len(made.Consequences)-1]
	require.EqualValues(t, 9*28_000, total.Milliseconds)
	require.Empty(t, made.Harms)
}

func TestMissingEngineReportsAreInsufficientCapacity(t *testing.T) {
	base := load(t, "hofbauer")
	engines := []structs.EngineStatus{{ID: "a", Zone: "vienna-1"}, {ID: "b", Zone: "vienna-1", Leaving: true}}
	made := New(Input{Active: inForce(base), Desired: base, Engines: engines, Usage: Usage{Complete: true}, Now: now})
	require.True(t, made.IsEmpty())
	lacking := map[structs.ZoneName]int{}
	for _, consequence := range made.Consequences {
		require.Equal(t, InsufficientCapacity, consequence.Kind)
		lacking[consequence.Zone] = consequence.Count
	}
	require.Equal(t, map[structs.ZoneName]int{"vienna-1": 3, "vienna-2": 4, "baumgarten": 2}, lacking)
}

// TestDifferencesAreEmptyOnlyForEqualDeclarations edits declarations at
// random and compares with reflection, which knows nothing of JSON paths.
func TestDifferencesAreEmptyOnlyForEqualDeclarations(t *testing.T) {
	base := load(t, "voltkai")
	rapid.Check(t, func(t *rapid.T) {
		wanted := clone(t, base)
		for range rapid.IntRange(0, 3).Draw(t, "edits") {
			editAtRandom(t, &wanted)
		}
		differences := Differences(base, wanted)
		require.Equal(t, reflect.DeepEqual(base, wanted), len(differences) == 0)
		for _, difference := range differences {
			require.False(t, difference.Change == structs.ChangeChanged && difference.Before == difference.After)
		}
		one := New(Input{Active: inForce(base), Desired: wanted, Operator: "lin", Now: now})
		again := New(Input{Active: inForce(base), Desired: clone(t, wanted), Operator: "lin", Now: now.Add(time.Hour)})
		other := New(Input{Active: inForce(base), Desired: wanted, Operator: "wu", Now: now})
		require.Equal(t, one.ID, again.ID)
		require.NotEqual(t, one.ID, other.ID)
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
