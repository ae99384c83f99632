package directory

import (
	"context"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/pause"
)

const (
	// firstDiscoveryPause and lastDiscoveryPause bound the pauses between two questions which
	// system this is. They double.
	firstDiscoveryPause = 50 * time.Millisecond
	lastDiscoveryPause  = 30 * time.Second
)

// DiscoverSystem asks the platform's store for the group that names its system until the store
// answers or the time is over, and returns the error of the last try then. A process that knows no
// group asks before it believes others: the addresses that it was given may be another system's.
func DiscoverSystem(ctx context.Context, objects Store, state *State, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for wait := firstDiscoveryPause; len(state.Groups()) == 0; wait *= 2 {
		found, exists, err := objects.Get(ctx, KindGroup, GroupName(0))
		if err == nil && exists {
			state.ApplyGroup(found.Group, SourceStore)
		}
		if err == nil {
			return nil
		}
		if !pause.For(ctx, wait) {
			return err
		}
	}
	return nil
}

// VerifySystem asks the platform's store until it names the system, and returns an error if that
// is another one than the one that this process follows.
func VerifySystem(ctx context.Context, objects Store, state *State) error {
	for wait := firstDiscoveryPause; pause.For(ctx, wait); wait = min(2*wait, lastDiscoveryPause) {
		found, exists, err := objects.Get(ctx, KindGroup, GroupName(0))
		own := SystemOf(state.Groups())
		if err != nil || !exists || own == 0 {
			continue
		}
		if !AcceptsGroup(own, found.Group) {
			return &ForeignSystem{Own: own, Other: found.Group.GetSystem()}
		}
		return nil
	}
	return nil
}
