package demo

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/caller/client"
	"github.com/barleyshelf/barleyshelf/internal/lab/promise"
	"github.com/barleyshelf/barleyshelf/internal/lab/report"
	"github.com/barleyshelf/barleyshelf/internal/lab/session"
	"github.com/barleyshelf/barleyshelf/internal/lab/topology"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// bench is the running deployment with all that is recorded of it.
type bench struct {
	options  Options
	network  *topology.Network
	outside  *topology.Outside
	cluster  *topology.Cluster
	operator *operator
	measured *report.Meter
	// failover and pauseFailover are the times without an answer after a daemon
	// crashed and after one was paused.
	failover      *report.Distribution
	pauseFailover *report.Distribution
	http          *http.Client

	requests requestsInProgress

	mutex     sync.Mutex
	endpoints map[structs.TenantID][]session.Endpoint
	programs  []promise.Program
	evidence  promise.Evidence
	injected  map[string]int
	failed    map[string]int
}

// newBench starts the stand-ins and plans the daemons.
func newBench(options Options) (*bench, error) {
	network := topology.NewNetwork(options.Delays)
	outside, err := startOutside(options, network)
	if err != nil {
		return nil, err
	}
	created := &bench{
		options:       options,
		network:       network,
		outside:       outside,
		measured:      report.NewMeter(),
		failover:      report.NewDistribution(),
		pauseFailover: report.NewDistribution(),
		endpoints:     map[structs.TenantID][]session.Endpoint{},
		injected:      map[string]int{},
		failed:        map[string]int{},
		http:          clientHTTP(network),
	}
	if created.cluster, err = planCluster(options, outside, network); err == nil {
		created.operator, err = newOperator(created)
	}
	if err != nil {
		outside.Close()
		return nil, err
	}
	return created, nil
}

func startOutside(options Options, network *topology.Network) (*topology.Outside, error) {
	declarations := options.Declarations
	declarations.Tenants = append(append([]structs.Tenant(nil), declarations.Tenants...), structs.Tenant{Name: probeTenant})
	outside, err := topology.StartOutside(topology.OutsideOptions{
		Declarations: declarations,
		EngineScale:  engineTimeScale,
		ToolWork:     toolWork,
		RateScale:    1 / engineTimeScale,
		MachineLag:   machineListLag,
		Seed:         options.Seed,
	}, network)
	if err != nil {
		return nil, err
	}
	network.Register(hostPort(outside.Platform.Address()), topology.Place{})
	return outside, nil
}

func planCluster(options Options, outside *topology.Outside, network *topology.Network) (*topology.Cluster, error) {
	return topology.NewCluster(topology.ClusterOptions{
		Zones:           options.Declarations.Zones,
		PerZone:         options.DaemonsPerZone,
		DataFolder:      options.DataFolder,
		PlatformAddress: outside.Platform.Address(),
		Policy:          options.Policy,
		Factory:         options.Factory,
		Seed:            options.Seed,
	}, network)
}

const idleConnections = 256

// clientHTTP returns what callers and operators connect with.
func clientHTTP(network *topology.Network) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:         network.Dialer(topology.Place{Client: true}),
		MaxIdleConnsPerHost: idleConnections,
	}}
}

func (b *bench) close() {
	b.cluster.Close()
	b.outside.Close()
	b.http.CloseIdleConnections()
}

// endpointsOf returns all daemons, as a tenant reaches them. Callers learn from
// refusals alone which of them is down.
func (b *bench) endpointsOf(tenant structs.TenantID) []session.Endpoint {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if known, made := b.endpoints[tenant]; made {
		return known
	}
	var made []session.Endpoint
	for _, member := range b.cluster.Members {
		made = append(made, session.Endpoint{
			Daemon: member.Spec.Node,
			Client: b.callerClient(member, topology.Token(string(tenant))),
		})
	}
	b.endpoints[tenant] = made
	return made
}

func (b *bench) callerClient(member *topology.Member, token string) *client.Client {
	return client.New("http://"+member.Spec.CallerAddress, token, b.http)
}

func (b *bench) sessionOptions() session.Options {
	return session.Options{
		Endpoints: b.endpointsOf,
		Observer:  b.measured,
		Declared:  b.declaredBudget,
		Track:     b.requests.track,
		TimeScale: pauseScale,
		Patience:  callerPatience,
		Stall:     callerStall,
	}
}

func (b *bench) declaredBudget(name structs.ProgramName) structs.Amount {
	for _, program := range b.options.Declarations.Programs {
		if program.Name == name {
			return program.Budget
		}
	}
	return structs.Amount{}
}

// impair notes a span in which a daemon could not learn.
func (b *bench) impair(daemon structs.NodeID, from, to time.Time) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.evidence.Impaired = append(b.evidence.Impaired, promise.Impairment{Daemon: daemon, From: from, To: to})
}

func (b *bench) progress(format string, arguments ...any) {
	// A progress line that cannot be written is no reason to stop.
	_, _ = fmt.Fprintf(b.options.Progress, format+"\n", arguments...)
}

// random returns a source of its own for one purpose.
func (b *bench) random(purpose uint64) *rand.Rand {
	return rand.New(rand.NewPCG(b.options.Seed, purpose))
}

// Purposes of random sources.
const (
	forArrivals uint64 = iota + 1
	forBehavior
	forRoutine
	forFaults
	forProbes
)
