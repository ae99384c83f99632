// Package executor carries programs out: it takes callers' requests to the
// leader of their shard, dispatches calls to engines and tools once their
// records are on a majority, streams answers, and meets the duties that
// programs leave behind. Decisions are those of packages program and schedule.
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
	// retryRatio is how many attempts may be repeated for each one that
	// succeeded, and retriesPerSecond how many may be without any: the streams
	// of a full engine that is lost are repeated within two seconds, and engines
	// that all fail get little more than their load once.
	retryRatio       = 0.2
	retriesPerSecond = 16
)

// Replicator is the replicated journal, as *replication.Host provides it.
type Replicator interface {
	// ProposeInTerm returns nil once data is committed and applied here. It
	// proposes nothing unless this daemon leads the shard in term.
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

// Directory knows which daemons hold replicas of a shard, by what peers told.
type Directory interface {
	// Members returns nodes to ask, the believed leader first.
	Members(shard structs.ShardID) []structs.NodeID
}

// Engines is this daemon's view of the model engines.
type Engines interface {
	// Snapshot returns the current view; it is immutable.
	Snapshot() *schedule.Snapshot
	// StreamStarted corrects the view by a stream sent now; the function that it
	// returns takes the correction back when the stream ends.
	StreamStarted(id structs.EngineID, tokens int64) func()
	// ReportFailure tells that the engine did not answer.
	ReportFailure(id structs.EngineID)
	// RequestEngines asks for engines that serve the model in the zones to be followed:
	// none of those followed could take a call.
	RequestEngines(zones []structs.ZoneName, model structs.ModelName)
}

// Options set up an Executor. All fields but Seed are required.
type Options struct {
	Self         structs.Node
	Replicator   Replicator
	Forwarder    Forwarder
	Directory    Directory
	Engines      Engines
	EngineClient *engine.Client
	ToolClient   *tool.Client
	// Configuration returns the version in force; nil while there is none.
	Configuration func() *structs.Configuration
	// Policy returns the scheduling policy now in use.
	Policy func() schedule.Policy
	// Seed makes the executor's random choices repeatable.
	Seed uint64
}

// Executor carries out the programs of the shards that this daemon leads.
type Executor struct {
	options Options

	context context.Context
	cancel  context.CancelFunc
	tasks   sync.WaitGroup

	shardMutex sync.RWMutex
	shards     map[structs.ShardID]*shard

	randomMutex sync.Mutex
	random      *rand.Rand

	pauses *schedule.PauseEstimator
	growth *schedule.GrowthEstimator

	retries *limit.RetryBudget

	quiesced quiescence
	forwards forwards
}

// New returns an executor; Start begins its duties.
func New(options Options) *Executor {
	ctx, cancel := context.WithCancel(context.Background())
	return &Executor{
		options: options,
		context: ctx,
		cancel:  cancel,
		shards:  map[structs.ShardID]*shard{},
		pauses:  schedule.NewPauseEstimator(),
		growth:  schedule.NewGrowthEstimator(),
		retries: limit.NewRetryBudget(time.Now(), retryRatio, retriesPerSecond),
		random:  rand.New(rand.NewPCG(options.Seed, uint64(options.Self.Incarnation))),
	}
}

// Start begins to look after the duties of the shards led here.
func (e *Executor) Start() {
	e.task(e.runDuties)
}

// Close stops all work at once; nothing is handed over.
func (e *Executor) Close() {
	e.cancel()
	e.tasks.Wait()
}

// SetReplicator sets the journal, which is made with the executor's own state
// machines and so after it. It must be called before Start.
func (e *Executor) SetReplicator(replicator Replicator) {
	e.options.Replicator = replicator
}

// NewStateMachine returns the state machine of a shard that this daemon holds a
// replica of.
func (e *Executor) NewStateMachine(id structs.ShardID) replication.StateMachine {
	created := newShard(e, id)
	e.shardMutex.Lock()
	defer e.shardMutex.Unlock()
	e.shards[id] = created
	return created
}

// LeadershipChanged takes note of a shard that this daemon leads from now on,
// with every committed record applied, or leads no more.
func (e *Executor) LeadershipChanged(id structs.ShardID, leading bool, term uint64) {
	held, known := e.shard(id)
	if !known {
		return
	}
	if leading {
		held.lead(term)
		return
	}
	held.follow()
}

func (e *Executor) shard(id structs.ShardID) (*shard, bool) {
	e.shardMutex.RLock()
	defer e.shardMutex.RUnlock()
	held, known := e.shards[id]
	return held, known
}

func (e *Executor) heldShards() []*shard {
	e.shardMutex.RLock()
	defer e.shardMutex.RUnlock()
	held := make([]*shard, 0, len(e.shards))
	for _, each := range e.shards {
		held = append(held, each)
	}
	return held
}

// task runs work until it returns; Close waits for it.
func (e *Executor) task(work func()) {
	e.tasks.Add(1)
	go func() {
		defer e.tasks.Done()
		work()
	}()
}

// choose runs the policy under the executor's own random source.
func (e *Executor) choose(request *schedule.Request) (schedule.Choice, error) {
	e.randomMutex.Lock()
	random := rand.New(rand.NewPCG(e.random.Uint64(), e.random.Uint64()))
	e.randomMutex.Unlock()
	return e.options.Policy().Choose(time.Now(), e.options.Engines.Snapshot(), request, random)
}
