// Package operator keeps plans and puts them in force. The platform's object
// API holds everything that lasts: the root object with the configuration in
// force, the plans, and the audit trail. A change is one compare-and-swap of
// the root object, so operators that race each other see one accepted change
// for each version. docs/design/plan-apply.md weighs the other ways.
package operator

import (
	"context"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/plan"
	"github.com/barleyshelf/barleyshelf/internal/platform"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// Platform is the part of the platform's object API that operators need.
// *platform.Client implements it; package platform documents the errors.
type Platform interface {
	Get(ctx context.Context, key string) (platform.Object, error)
	// Put stores value in place of the expected version; 0 creates.
	Put(ctx context.Context, key string, expected uint64, value []byte) (uint64, error)
}

// Backend is the daemon as operators see it.
type Backend interface {
	// InForceVersions returns the version that each daemon acts on. Daemons
	// that gave no answer are left out.
	InForceVersions(ctx context.Context) map[structs.NodeID]uint64
	// Use counts the programs under way over all shards.
	Use(ctx context.Context) plan.Usage
	// Nodes returns the daemons of the membership view.
	Nodes() []structs.Node
	// Engines returns the last reports of the engines that the daemon knows, and
	// whether these are all of them: a daemon may follow a part of the fleet.
	Engines() (reports []structs.EngineStatus, all bool)
	// Shards returns the replica groups as their members know them.
	Shards(ctx context.Context) []ShardStatus
	// DrainNode starts the planned stop of a daemon. It returns once the daemon
	// takes no new work; the stop itself goes on.
	DrainNode(ctx context.Context, id structs.NodeID) error
}

// ShardStatus is one replica group.
type ShardStatus struct {
	Shard   structs.ShardID  `json:"shard"`
	Domain  string           `json:"domain"`
	Leader  structs.NodeID   `json:"leader,omitempty"`
	Term    uint64           `json:"term"`
	Members []structs.NodeID `json:"members"`
}

// Options configures a Service.
type Options struct {
	Platform Platform
	Backend  Backend
	// Now gives the time; nil means time.Now.
	Now func() time.Time
	// Sleep waits between attempts; nil waits by a timer, until ctx ends.
	Sleep func(ctx context.Context, wait time.Duration) error
}

// Service makes and applies plans. It keeps no state of its own and is safe
// for concurrent use, here and on all daemons at once.
type Service struct {
	platform Platform
	backend  Backend
	now      func() time.Time
	sleep    func(context.Context, time.Duration) error
}

// NewService returns a service over the platform and the daemon.
func NewService(options Options) *Service {
	service := &Service{platform: options.Platform, backend: options.Backend, now: options.Now, sleep: options.Sleep}
	if service.now == nil {
		service.now = time.Now
	}
	if service.sleep == nil {
		service.sleep = sleepByTimer
	}
	return service
}

func sleepByTimer(ctx context.Context, wait time.Duration) error {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
