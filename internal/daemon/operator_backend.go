package daemon

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/barleyshelf/barleyshelf/internal/gen/peerv1"
	"github.com/barleyshelf/barleyshelf/internal/operator"
	"github.com/barleyshelf/barleyshelf/internal/placement"
	"github.com/barleyshelf/barleyshelf/internal/plan"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

const (
	// askTimeout bounds asking one daemon on behalf of an operator.
	askTimeout = 2 * time.Second
	// askConcurrency bounds how many daemons are asked at once.
	askConcurrency = 64
)

// operatorBackend answers operators about the whole deployment by asking every
// daemon of this one's view.
type operatorBackend struct{ daemon *Daemon }

var _ operator.Backend = operatorBackend{}

// askAll calls ask for every member, many at once, and returns what those that
// answered said.
func askAll[T any](ctx context.Context, d *Daemon, ask func(context.Context, structs.Node) (T, error)) map[structs.NodeID]T {
	var mutex sync.Mutex
	answers := map[structs.NodeID]T{}
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(askConcurrency)
	for _, node := range d.cluster.View().Members() {
		group.Go(func() error {
			bounded, cancel := context.WithTimeout(ctx, askTimeout)
			defer cancel()
			answer, err := ask(bounded, node)
			if err != nil {
				return nil
			}
			mutex.Lock()
			defer mutex.Unlock()
			answers[node.ID] = answer
			return nil
		})
	}
	_ = group.Wait()
	return answers
}

// InForceVersions returns the version that each daemon acts on.
func (b operatorBackend) InForceVersions(ctx context.Context) map[structs.NodeID]uint64 {
	return askAll(ctx, b.daemon, func(ctx context.Context, node structs.Node) (uint64, error) {
		if node.ID == b.daemon.self.ID {
			return b.daemon.ConfigInForce(), nil
		}
		return b.daemon.peers.ConfigInForce(ctx, node.PeerAddress)
	})
}

// inspections asks every daemon what it holds.
func (b operatorBackend) inspections(ctx context.Context) map[structs.NodeID]*peerv1.InspectResponse {
	return askAll(ctx, b.daemon, func(ctx context.Context, node structs.Node) (*peerv1.InspectResponse, error) {
		if node.ID == b.daemon.self.ID {
			return b.daemon.Inspect(), nil
		}
		return b.daemon.peers.Inspect(ctx, node.PeerAddress)
	})
}

// Use counts the programs under way over all shards.
func (b operatorBackend) Use(ctx context.Context) plan.Usage {
	configuration := b.daemon.store.InForce()
	if configuration == nil {
		return plan.Usage{}
	}
	led := map[uint32]bool{}
	counts := map[plan.ProgramCount]int{}
	for _, answer := range b.inspections(ctx) {
		for _, shard := range answer.GetShards() {
			led[shard.GetShard()] = led[shard.GetShard()] || shard.GetServing()
		}
		for _, count := range answer.GetPrograms() {
			domain, _ := placement.DomainOfShard(configuration.Domains, structs.ShardID(count.GetShard()))
			key := plan.ProgramCount{
				Program: structs.ProgramName(count.GetProgram()),
				Tenant:  structs.TenantID(count.GetTenant()),
				Domain:  domain.Name,
			}
			counts[key] += int(count.GetUnderWay())
		}
	}
	return useOf(counts, allLed(configuration, led))
}

func useOf(counts map[plan.ProgramCount]int, known bool) plan.Usage {
	use := plan.Usage{Complete: known}
	for key, inFlight := range counts {
		key.Running = inFlight
		use.Counts = append(use.Counts, key)
	}
	return use
}

// allLed reports whether every shard was counted by its leader.
func allLed(configuration *structs.Configuration, led map[uint32]bool) bool {
	for _, domain := range configuration.Domains {
		for number := range domain.ShardCount {
			if !led[uint32(domain.FirstShard)+number] {
				return false
			}
		}
	}
	return true
}

// Nodes returns the daemons of the membership view.
func (b operatorBackend) Nodes() []structs.Node { return b.daemon.cluster.View().Nodes }

// Engines returns the last reports of the engines that this daemon follows, and
// whether these are all that are declared.
func (b operatorBackend) Engines() (reports []structs.EngineStatus, all bool) {
	for _, engine := range b.daemon.fleet.View().Engines {
		reports = append(reports, engine.EngineStatus)
	}
	configuration := b.daemon.store.InForce()
	if configuration == nil {
		return reports, false
	}
	declared := 0
	for _, zone := range configuration.Declarations.Zones {
		declared += len(zone.Engines)
	}
	return reports, len(reports) == declared
}

// Shards returns the replica groups: as their leaders know them, or else as the
// member with the highest term does.
func (b operatorBackend) Shards(ctx context.Context) []operator.ShardStatus {
	configuration := b.daemon.store.InForce()
	if configuration == nil {
		return nil
	}
	best := map[uint32]*peerv1.ShardState{}
	for _, answer := range b.inspections(ctx) {
		for _, shard := range answer.GetShards() {
			if held := best[shard.GetShard()]; held == nil || newerState(shard, held) {
				best[shard.GetShard()] = shard
			}
		}
	}
	return shardStatuses(configuration, best)
}

func newerState(candidate, held *peerv1.ShardState) bool {
	if candidate.GetTerm() != held.GetTerm() {
		return candidate.GetTerm() > held.GetTerm()
	}
	return candidate.GetServing() && !held.GetServing()
}

func shardStatuses(configuration *structs.Configuration, states map[uint32]*peerv1.ShardState) []operator.ShardStatus {
	var statuses []operator.ShardStatus
	for _, domain := range configuration.Domains {
		for number := range domain.ShardCount {
			shard := domain.FirstShard + structs.ShardID(number)
			status := operator.ShardStatus{Shard: shard, Domain: domain.Name}
			if state := states[uint32(shard)]; state != nil {
				status.Leader = structs.NodeID(state.GetLeader())
				status.Term = state.GetTerm()
				for _, member := range state.GetMembers() {
					status.Members = append(status.Members, structs.NodeID(member))
				}
			}
			statuses = append(statuses, status)
		}
	}
	return statuses
}

// DrainNode begins the planned stop of a daemon.
func (b operatorBackend) DrainNode(ctx context.Context, id structs.NodeID) error {
	if id == b.daemon.self.ID {
		b.daemon.BeginStop()
		return nil
	}
	address, known := b.daemon.peerAddress(id)
	if !known {
		return &operator.UnknownObject{Object: "daemon " + string(id)}
	}
	return b.daemon.peers.Drain(ctx, address)
}
