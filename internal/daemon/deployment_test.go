package daemon_test

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/caller"
	"github.com/barleyshelf/barleyshelf/internal/caller/client"
	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/lab/demo"
	"github.com/barleyshelf/barleyshelf/internal/lab/topology"
	"github.com/barleyshelf/barleyshelf/internal/placement"
	"github.com/barleyshelf/barleyshelf/internal/platform"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

const (
	testTenant  = "riders"
	testProgram = "door-session"
	testModel   = "swap-agent"
	// startTimeout is generous: it ends a test that hangs, and decides nothing else.
	startTimeout = 60 * time.Second
)

// deployment is real daemons in three zones before stand-ins, over loopback.
type deployment struct {
	outside *topology.Outside
	cluster *topology.Cluster
}

func testDeclarations() structs.Declarations {
	zones := []structs.ZoneName{"z1", "z2", "z3"}
	declared := structs.Declarations{
		Deployment: structs.Deployment{Name: "test", ShardsPerDomain: 4, Replicas: 3},
		Tenants:    []structs.Tenant{{Name: testTenant}},
		Models: []structs.Model{{
			Name: testModel, Version: "1", PricePerMillionTokens: 1, ContextTokens: 100_000,
			ReplicasPerZone: map[structs.ZoneName]int{"z1": 1},
		}},
		Programs: []structs.AgentProgram{{
			Name: testProgram, Tenants: []structs.TenantID{testTenant}, Models: []structs.ModelName{testModel},
			HistoryZones: zones, CacheZones: zones, MaxAnswerTokens: 1000,
			Budget: structs.Amount{Tokens: 1 << 40, CostMicros: 1 << 40, Turns: 1 << 30, Milliseconds: 1 << 40},
		}},
	}
	for _, zone := range zones {
		declared.Zones = append(declared.Zones, structs.Zone{Name: zone, Region: "r"})
	}
	declared.Zones[0].Engines = []structs.EngineEndpoint{{ID: "z1-engine"}}
	return declared
}

// startDeployment runs a daemon in each zone, each with a disk, and the
// stand-ins until the test ends.
func startDeployment(t testing.TB) *deployment { return startDaemons(t, 1) }

// startDaemons runs that many daemons in each zone, of which the first has a
// disk.
func startDaemons(t testing.TB, perZone int) *deployment {
	network := topology.NewNetwork(topology.Delays{})
	outside, err := topology.StartOutside(topology.OutsideOptions{Declarations: testDeclarations(), EngineScale: 0.1}, network)
	require.NoError(t, err)
	t.Cleanup(outside.Close)
	cluster, err := topology.NewCluster(topology.ClusterOptions{
		Zones: outside.Declarations.Zones, PerZone: perZone, DataFolder: t.TempDir(),
		PlatformAddress: outside.Platform.Address(), Factory: demo.RealDaemon, Seed: 1,
	}, network)
	require.NoError(t, err)
	t.Cleanup(cluster.Close)
	started := &deployment{outside: outside, cluster: cluster}
	started.configure(t)
	require.NoError(t, cluster.Start(t.Context()))
	return started
}

func (d *deployment) configure(t testing.TB) {
	encoded, err := json.Marshal(structs.Configuration{
		PlanID: "first", Declarations: d.outside.Declarations, Domains: placement.ExtendDomains(d.outside.Declarations, nil),
	})
	require.NoError(t, err)
	_, err = platform.NewClient(d.outside.Platform.Address(), http.DefaultClient).Put(t.Context(), "config/root", 0, encoded)
	require.NoError(t, err)
}

// client returns a caller's client of one daemon.
func (d *deployment) client(member int) *client.Client {
	address := "http://" + d.cluster.Members[member].Spec.CallerAddress
	return client.New(address, topology.Token(testTenant), http.DefaultClient)
}

// open opens a program, however long the daemons take to be ready.
func (d *deployment) open(t testing.TB, member int, key string) caller.ProgramStatus {
	status, err := untilServed(t, func() (caller.ProgramStatus, error) {
		return d.client(member).Open(t.Context(), caller.OpenRequest{Program: testProgram, Key: key})
	})
	require.NoError(t, err)
	return status
}

// untilServed repeats a request while it is refused as not run for now.
func untilServed[T any](t testing.TB, request func() (T, error)) (T, error) {
	ctx, cancel := context.WithTimeout(t.Context(), startTimeout)
	defer cancel()
	for {
		answer, err := request()
		known, isFailure := failure.As(err)
		if err == nil || !isFailure || !known.Retry().Allowed || ctx.Err() != nil {
			return answer, err
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// call issues a model call and returns its whole answer.
func (d *deployment) call(t testing.TB, member int, id structs.ProgramID, number structs.CallNumber) (client.Answer, error) {
	return untilServed(t, func() (client.Answer, error) {
		return d.client(member).CallWhole(t.Context(), id, modelCall(number, "hello"), true)
	})
}

func modelCall(number structs.CallNumber, input string) caller.CallRequest {
	return caller.CallRequest{
		Number: number, Kind: caller.CallModel, Target: testModel, Repeatable: true,
		Input: []byte(strings.Repeat(input+" ", 20)), MaxAnswerTokens: 16,
	}
}
