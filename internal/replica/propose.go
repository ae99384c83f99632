package replica

import (
	"context"
	"errors"

	"github.com/barleyshelf/barleyshelf/internal/directory"
	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
)

// propose writes the next group on the condition that the present one still
// stands in the store.
func (r *Replica) propose(ctx context.Context, group, next *replicav1.Group, why changeReason) {
	found, exists, err := r.objects.Get(ctx, directory.KindGroup, directory.GroupName(group.Partition))
	if err != nil || !exists {
		r.notProposed(next, err)
		return
	}
	if found.Group.Epoch != group.Epoch {
		r.directory.ApplyGroup(found.Group, directory.SourceStore)
		return
	}
	found.Group = next
	if err := r.objects.Replace(ctx, directory.KindGroup, found); err != nil {
		r.notProposed(next, err)
		return
	}
	eventProposed.Log("partition", next.Partition, "epoch", next.Epoch, "members", nodesOf(next.Members), "inTransfer", nodesOf(transfers(next)),
		"removed", next.Removed.GetNode(), "system", next.System, "why", why)
	r.directory.ApplyGroup(next, directory.SourceSelf)
	if next.Removed != nil {
		// What follows waits until every member shows the epoch.
		r.announceGroup(ctx, next)
	}
}

// notProposed logs a proposal that failed. One that another member was faster with is no failure; nil is
// a group that the store does not list.
func (r *Replica) notProposed(next *replicav1.Group, err error) {
	var taken *directory.Conflict
	if errors.As(err, &taken) || !r.proposals.failureDue(next.Partition) {
		return
	}
	cause := "the store lists no group of the partition"
	if err != nil {
		cause = err.Error()
	}
	eventNotProposed.Log("partition", next.Partition, "epoch", next.Epoch, "cause", cause)
}
