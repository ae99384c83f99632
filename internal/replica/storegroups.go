package replica

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/directory"
	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
)

// storeUpdateDelay is how long a chosen group may be missing in the platform's store before a watcher
// that did not propose it writes it. It covers the proposer's calls and the watch of the store.
const storeUpdateDelay = 4 * reconcileInterval

// chosenGroups are the groups that this node's proposals have led to and that the platform's store
// may not list yet. It is safe for concurrent use.
type chosenGroups struct {
	mutex  sync.Mutex
	epochs map[uint32]uint64
	// added receives a value when a group is added.
	added chan struct{}
}

func newChosenGroups() *chosenGroups {
	return &chosenGroups{epochs: make(map[uint32]uint64), added: make(chan struct{}, 1)}
}

// add records that a group was chosen.
func (c *chosenGroups) add(group *replicav1.Group) {
	c.mutex.Lock()
	c.epochs[group.Partition] = group.Epoch
	c.mutex.Unlock()
	select {
	case c.added <- struct{}{}:
	default:
	}
}

// includes reports whether this node's proposal has led to a group.
func (c *chosenGroups) includes(group *replicav1.Group) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.epochs[group.Partition] == group.Epoch
}

// runStoreUpdates writes chosen groups to the platform's store, which gives them to processes that
// know no member. The proposer writes a group at once; if the store still lacks it later, watchers
// do, one after another.
func (r *Replica) runStoreUpdates(ctx context.Context) {
	missing := newProposals(time.Now)
	timer := time.NewTicker(reconcileInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.chosen.added:
		case <-timer.C:
		}
		for _, group := range r.directory.Groups() {
			if group != nil && r.directory.StoreEpoch(group.Partition) < group.Epoch && r.shouldUpdateStore(group, missing) {
				r.updateStore(ctx, group)
			}
		}
	}
}

// shouldUpdateStore reports whether it is this node's turn to write a group that the store lacks.
func (r *Replica) shouldUpdateStore(group *replicav1.Group, missing *proposals) bool {
	if !r.isStoreReachable() {
		return false
	}
	if r.chosen.includes(group) {
		return true
	}
	rank, isWatcher := r.watcherRank()
	return group.Agreed && isWatcher && missing.pendingFor(group, storeUpdateDelay+time.Duration(rank)*proposalStagger)
}

// watcherRank returns how many watchers write groups before this one, and false if this node is no
// watcher.
func (r *Replica) watcherRank() (rank int, isWatcher bool) {
	for i, watcher := range chooseWatchers(r.directory.Groups()) {
		if watcher.Node == r.options.Node {
			return i, true
		}
	}
	return 0, false
}

// updateStore writes a group to the store if that lists an earlier one.
func (r *Replica) updateStore(ctx context.Context, group *replicav1.Group) {
	stored, exists, err := r.store.Get(ctx, directory.KindGroup, directory.GroupName(group.Partition))
	switch {
	case err != nil || !exists:
		r.logStoreFailure(group, err)
		return
	case stored.Group.Epoch >= group.Epoch:
		r.directory.ApplyGroup(stored.Group, directory.SourceStore)
		return
	}
	stored.Group = storedGroup(stored.Group, group)
	if r.replaceStored(ctx, stored) {
		r.directory.ApplyGroup(group, directory.SourceStore)
	}
}

// replaceStored writes an object that was read before, and reports whether it is written.
func (r *Replica) replaceStored(ctx context.Context, stored directory.Object) bool {
	err := r.store.Replace(ctx, directory.KindGroup, stored)
	if err != nil {
		r.logStoreFailure(stored.Group, err)
	}
	return err == nil
}

// logStoreFailure logs that the store has not taken a group. A conflict with another writer is not
// a failure. A nil error means that the store does not list the group.
func (r *Replica) logStoreFailure(group *replicav1.Group, err error) {
	var conflict *directory.Conflict
	if errors.As(err, &conflict) || !r.proposals.shouldLogFailure(group.Partition) {
		return
	}
	cause := "the store lists no group of the partition"
	if err != nil {
		cause = err.Error()
	}
	eventNotStored.Log("partition", group.Partition, "epoch", group.Epoch, "cause", cause)
}

// askStoreForPromise asks the platform's store, as an acceptor, to take part in no lower ballot. It
// reports whether the store has done so.
func (r *Replica) askStoreForPromise(ctx context.Context, group *replicav1.Group, ballot uint64) bool {
	stored, found := r.readStoreAcceptor(ctx, group)
	if !found {
		return false
	}
	r.ballots.observe(stored.Group.Agreement.GetPromised())
	if stored.Group = storedPromise(stored.Group, group.Epoch, ballot); stored.Group == nil {
		return false
	}
	return r.replaceStored(ctx, stored)
}

// writeAcceptedGroup lets the platform's store accept a group that one of two members has accepted
// already. The group is chosen with it, so the store lists it at once.
func (r *Replica) writeAcceptedGroup(ctx context.Context, request *replicav1.AgreeRequest) bool {
	stored, found := r.readStoreAcceptor(ctx, request.Group)
	if !found {
		return false
	}
	if stored.Group = storedAcceptance(stored.Group, request); stored.Group == nil {
		return false
	}
	return r.replaceStored(ctx, stored)
}

// readStoreAcceptor reads the store's state as an acceptor of a group. It returns false if the store
// does not answer or knows of a later group.
func (r *Replica) readStoreAcceptor(ctx context.Context, group *replicav1.Group) (directory.Object, bool) {
	stored, exists, err := r.store.Get(ctx, directory.KindGroup, directory.GroupName(group.Partition))
	if err != nil || !exists {
		r.logStoreFailure(group, err)
		return stored, false
	}
	r.directory.ApplyGroup(stored.Group, directory.SourceStore)
	return stored, stored.Group.Epoch <= group.Epoch
}
