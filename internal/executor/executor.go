// Package executor runs agent programs. It routes requests of callers to the leader of
// their shard, dispatches calls to engines and tools once their records are committed
// by a majority, streams answers, and performs the duties that programs leave behind,
// such as freeing engine memory. It executes decisions that packages program and
// schedule make.
package executor

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/engine"
	"github.com/barleyshelf/barleyshelf/internal/gen/peerv1"
	"github.com/barleyshelf/barleyshelf/internal/limit"
	"github.com/barleyshelf/barleyshelf/internal/replication"
	"github.com/barleyshelf/barleyshelf/internal/schedule"
	"github.com/barleyshelf/barleyshelf/internal/structs"
	"github.com/barleyshelf/barleyshelf/internal/tool"
)

const (
	// retryRatio is the number of retries allowed per successful attempt.
	// retriesPerSecond is the number of retries per second allowed regardless of
	// successes. With these values the streams of a full engine that fails are retried
	// within two seconds, and if all engines fail, they receive little more than their
	// load once.
	retryRatio       = 0.2
	retriesPerSecond = 16
)

// Replicator is the replicated journal; *replication.Host implements it.
type Replicator interface {
	// ProposeInTerm proposes data and returns nil once it is committed and applied on
	// this daemon. It proposes nothing unless this daemon leads the shard in term.
	ProposeInTerm(ctx context.Context, shard structs.ShardID, term uint64, data []byte) error
	ConfirmLeadership(ctx context.Context, shard structs.ShardID) error
	EnsureLeader(ctx context.Context, shard structs.ShardID) (structs.NodeID, error)
	Status(shard structs.ShardID) (replication.Status, bool)
}

// Forwarder sends operations to other daemons.
type Forwarder interface {
	// Forward runs the request at node and calls receive for each event.
	Forward(ctx context.Context, node structs.NodeID, request *peerv1.ForwardRequest, receive func(*peerv1.ForwardEvent) error) error
}

// Directory knows which daemons hold replicas of a shard, as reported by peers.
type Directory interface {
	// Members returns the nodes to ask, the presumed leader first.
	Members(shard structs.ShardID) []structs.NodeID
}

// Engines is this daemon's view of the model engines.
type Engines interface {
	// Snapshot returns the current view; it is immutable.
	Snapshot() *schedule.Snapshot
	// StreamStarted adds a stream that starts now to the view. The returned function
	// removes it when the stream ends.
	StreamStarted(id structs.EngineID, tokens int64) func()
	// ReportFailure reports that the engine failed to answer.
	ReportFailure(id structs.EngineID)
	// RequestEngines asks to follow engines in the zones that serve the model, because
	// none of the engines followed so far can take a call.
	RequestEngines(zones []structs.ZoneName, model structs.ModelName)
}

// Options configures an Executor. All fields except Seed are required.
type Options struct {
	Self         structs.Node
	Replicator   Replicator
	Forwarder    Forwarder
	Directory    Directory
	Engines      Engines
	EngineClient *engine.Client
	ToolClient   *tool.Client
	// Configuration returns the active configuration, or nil if there is none.
	Configuration func() *structs.Configuration
	// Policy returns the current scheduling policy.
	Policy func() schedule.Policy
	// Seed makes random choices reproducible.
	Seed uint64
}

// Executor runs the programs of the shards that this daemon leads.
type Executor struct {
	options Options

	context    context.Context
	cancel     context.CancelFunc
	background sync.WaitGroup

	shardMutex sync.RWMutex
	shards     map[structs.ShardID]*shard

	randomMutex sync.Mutex
	random      *rand.Rand

	pauseEstimator  *schedule.PauseEstimator
	growthEstimator *schedule.GrowthEstimator

	retryBudget *limit.RetryBudget

	quiescence     quiescence
	forwardTracker forwardTracker
}

// New returns an executor. Start starts its background work.
func New(options Options) *Executor {
	ctx, cancel := context.WithCancel(context.Background())
	return &Executor{
		options:         options,
		context:         ctx,
		cancel:          cancel,
		shards:          map[structs.ShardID]*shard{},
		pauseEstimator:  schedule.NewPauseEstimator(),
		growthEstimator: schedule.NewGrowthEstimator(),
		retryBudget:     limit.NewRetryBudget(time.Now(), retryRatio, retriesPerSecond),
		random:          rand.New(rand.NewPCG(options.Seed, uint64(options.Self.Incarnation))),
	}
}

// Start starts performing the duties of the shards that this daemon leads.
func (e *Executor) Start() {
	e.runInBackground(e.runDutyLoop)
}

// Close stops all work immediately, without handing anything over to another daemon.
func (e *Executor) Close() {
	e.cancel()
	e.background.Wait()
}

// SetReplicator sets the journal. The journal is created with the state machines of
// the executor and therefore after it. SetReplicator must be called before Start.
func (e *Executor) SetReplicator(replicator Replicator) {
	e.options.Replicator = replicator
}

// NewStateMachine returns the state machine of a shard of which this daemon holds a
// replica.
func (e *Executor) NewStateMachine(id structs.ShardID) replication.StateMachine {
	replica := newShard(e, id)
	e.shardMutex.Lock()
	defer e.shardMutex.Unlock()
	e.shards[id] = replica
	return replica
}

// LeadershipChanged records that this daemon became the leader of a shard, with every
// committed record applied, or is no longer its leader.
func (e *Executor) LeadershipChanged(id structs.ShardID, leading bool, term uint64) {
	replica, found := e.localShard(id)
	if !found {
		return
	}
	if leading {
		replica.becomeLeader(term)
		return
	}
	replica.becomeFollower()
}

func (e *Executor) localShard(id structs.ShardID) (*shard, bool) {
	e.shardMutex.RLock()
	defer e.shardMutex.RUnlock()
	replica, found := e.shards[id]
	return replica, found
}

func (e *Executor) localShards() []*shard {
	e.shardMutex.RLock()
	defer e.shardMutex.RUnlock()
	replicas := make([]*shard, 0, len(e.shards))
	for _, replica := range e.shards {
		replicas = append(replicas, replica)
	}
	return replicas
}

// runInBackground runs work in a goroutine. Close waits for it.
func (e *Executor) runInBackground(work func()) {
	e.background.Add(1)
	go func() {
		defer e.background.Done()
		work()
	}()
}

// chooseEngine runs the policy with a random source derived from the executor's own.
func (e *Executor) chooseEngine(request *schedule.Request) (schedule.Choice, error) {
	e.randomMutex.Lock()
	random := rand.New(rand.NewPCG(e.random.Uint64(), e.random.Uint64()))
	e.randomMutex.Unlock()
	return e.options.Policy().Choose(time.Now(), e.options.Engines.Snapshot(), request, random)
}
