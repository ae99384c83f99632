package replica

import (
	"context"
	"errors"

	"github.com/barleyshelf/barleyshelf/internal/directory"
	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
)

// propose writes the next group if the present one is still current in the store.
func (r *Replica) propose(ctx context.Context, group, next *replicav1.Group, reason changeReason) {
	stored, exists, err := r.store.Get(ctx, directory.KindGroup, directory.GroupName(group.Partition))
	if err != nil || !exists {
		r.logProposalFailure(next, err)
		return
	}
	if stored.Group.Epoch != group.Epoch {
		r.directory.ApplyGroup(stored.Group, directory.SourceStore)
		return
	}
	stored.Group = next
	if err := r.store.Replace(ctx, directory.KindGroup, stored); err != nil {
		r.logProposalFailure(next, err)
		return
	}
	eventProposed.Log("partition", next.Partition, "epoch", next.Epoch, "members", nodeNames(next.Members), "inTransfer", nodeNames(membersInTransfer(next)),
		"removed", next.Removed.GetNode(), "system", next.System, "why", reason)
	r.directory.ApplyGroup(next, directory.SourceSelf)
	if next.Removed != nil {
		// The next change waits until every member reports the new epoch.
		r.announceGroup(ctx, next)
	}
}

// logProposalFailure logs a failed proposal. A conflict with another member's proposal is not a
// failure. A nil error means that the store does not list the group.
func (r *Replica) logProposalFailure(next *replicav1.Group, err error) {
	var conflict *directory.Conflict
	if errors.As(err, &conflict) || !r.proposals.shouldLogFailure(next.Partition) {
		return
	}
	cause := "the store lists no group of the partition"
	if err != nil {
		cause = err.Error()
	}
	eventNotProposed.Log("partition", next.Partition, "epoch", next.Epoch, "cause", cause)
}
