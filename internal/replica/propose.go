package replica

import (
	"context"

	"github.com/barleyshelf/barleyshelf/internal/directory"
	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
)

// propose makes an attempt to install the next group: its members choose it, or the platform's store
// does if a member may run a release that cannot.
func (r *Replica) propose(ctx context.Context, status groupStatus, next *replicav1.Group, reason changeReason) {
	if status.group.Agreed {
		r.proposeToMembers(ctx, status, next, reason)
		return
	}
	r.proposeToStore(ctx, status.group, next, reason)
}

// proposeToMembers lets the members of a group choose the next one. The platform's store is told
// afterwards.
func (r *Replica) proposeToMembers(ctx context.Context, status groupStatus, next *replicav1.Group, reason changeReason) {
	chosen, err := r.agree(ctx, status.group, next, seatsToConfirm(status.group, next, nextDeparture(status)))
	if err != nil {
		r.logProposalFailure(next, err)
		return
	}
	r.install(chosen, reason)
	r.chosen.add(chosen)
	// The members learn the group from each other, and the next change waits until they know it.
	r.announceGroup(ctx, chosen)
}

// proposeToStore writes the next group if the present one is still current in the store.
func (r *Replica) proposeToStore(ctx context.Context, group, next *replicav1.Group, reason changeReason) {
	stored, exists, err := r.store.Get(ctx, directory.KindGroup, directory.GroupName(group.Partition))
	if err != nil || !exists {
		r.logStoreFailure(next, err)
		return
	}
	if stored.Group.Epoch != group.Epoch {
		r.directory.ApplyGroup(stored.Group, directory.SourceStore)
		return
	}
	stored.Group = next
	if !r.replaceStored(ctx, stored) {
		return
	}
	r.install(next, reason)
	if next.Removed != nil {
		// The next change waits until every member reports the new epoch.
		r.announceGroup(ctx, next)
	}
}

// install applies a group that was chosen on this node's proposal.
func (r *Replica) install(next *replicav1.Group, reason changeReason) {
	eventProposed.Log("partition", next.Partition, "epoch", next.Epoch, "members", nodeNames(next.Members), "inTransfer", nodeNames(membersInTransfer(next)),
		"removed", next.Removed.GetNode(), "system", next.System, "why", reason)
	r.directory.ApplyGroup(next, directory.SourceSelf)
}

// logProposalFailure logs an attempt in which too few acceptors took part.
func (r *Replica) logProposalFailure(next *replicav1.Group, err error) {
	if r.proposals.shouldLogFailure(next.Partition) {
		eventNotProposed.Log("partition", next.Partition, "epoch", next.Epoch, "cause", err.Error())
	}
}
