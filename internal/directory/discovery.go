package directory

import (
	"context"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/pause"
)

const (
	// The delay between two requests that ask the store for the system doubles from
	// initialDiscoveryBackoff up to maxDiscoveryBackoff.
	initialDiscoveryBackoff = 50 * time.Millisecond
	maxDiscoveryBackoff     = 30 * time.Second
)

// DiscoverSystem asks the platform's store for the group that identifies its system until the store
// responds or the timeout expires. On timeout it returns the error of the last attempt. A process
// that knows no group calls it before it trusts its peers, because a configured address may belong
// to another system.
func DiscoverSystem(ctx context.Context, store Store, state *State, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for backoff := initialDiscoveryBackoff; len(state.Groups()) == 0; backoff *= 2 {
		found, exists, err := store.Get(ctx, KindGroup, GroupName(0))
		if err == nil && exists {
			state.ApplyGroup(found.Group, SourceStore)
		}
		if err == nil {
			return nil
		}
		if !pause.For(ctx, backoff) {
			return err
		}
	}
	return nil
}

// VerifySystem asks the platform's store until it returns the system, and returns an error if that
// system differs from the one that this process has joined.
func VerifySystem(ctx context.Context, store Store, state *State) error {
	for backoff := initialDiscoveryBackoff; pause.For(ctx, backoff); backoff = min(2*backoff, maxDiscoveryBackoff) {
		found, exists, err := store.Get(ctx, KindGroup, GroupName(0))
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
