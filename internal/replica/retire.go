package replica

import (
	"context"

	"connectrpc.com/connect"

	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
)

// retire processes a requested retirement of this node. It marks the retirement as started in the
// store, and as completed once the node holds no seat and its records are not needed any more.
// reconcileGroup moves the seats.
func (r *Replica) retire(ctx context.Context) {
	retirement, found := r.nodes.retirement(r.options.Node)
	if !found || retirement.Completed || r.retirementCompleted {
		return
	}
	if !r.retirementStarted {
		r.retirementStarted = r.store.SetRetirement(ctx, r.options.Node, false) == nil
	}
	groups := r.directory.Groups()
	if lacksUnconfinedGroup(groups) || len(r.ownGroups()) > 0 || r.state.hasUnreturnedLoans() {
		return
	}
	for partition, group := range groups {
		if group == nil && r.state.currentIdentity(uint32(partition)) != nil {
			// The group exists but is not known here yet.
			return
		}
		if group != nil && !r.isReleasedFrom(ctx, group) {
			return
		}
	}
	// The other nodes would otherwise use this node as a standby for as long as its last contact
	// counts.
	r.stopping.Store(true)
	r.announceStopping(ctx)
	if err := r.store.SetRetirement(ctx, r.options.Node, true); err == nil {
		r.retirementCompleted = true
		eventRetired.Log("node", r.options.Node)
	}
}

// isReleasedFrom reports whether a group no longer needs this node, which holds no seat in it. That
// is so if the node never held a seat, if its successor holds all records of the seat, or if the
// members have exchanged their records after the removal of its seat.
func (r *Replica) isReleasedFrom(ctx context.Context, group *replicav1.Group) bool {
	if r.state.currentIdentity(group.Partition) == nil {
		return true
	}
	if group.Removed.GetNode() == r.options.Node {
		// A member that loses its disk before the members have exchanged their records needs this
		// node.
		return false
	}
	if successorOf(group, r.options.Node) != nil {
		return r.confirmAllInSync(ctx, group)
	}
	return true
}

// confirmAllInSync queries the members of a group that this node has left, and reports whether all
// of them are in sync.
func (r *Replica) confirmAllInSync(ctx context.Context, group *replicav1.Group) bool {
	message := r.announcement(group)
	for _, member := range group.Members {
		r.announceTo(ctx, member, message)
	}
	return allInSync(r.groupStatus(group))
}

// pushTarget identifies a member of a partition's group.
type pushTarget struct {
	partition uint32
	node      string
}

// pushProgress is how far this node's records were pushed to a member.
type pushProgress struct {
	// incarnation is the member's incarnation that received the records.
	incarnation uint64
	// nextPosition is the position after the last pushed record.
	nextPosition uint64
}

// pushRecords writes all records that this node has of a partition to the given members, and reports
// whether that is complete. An attempt resumes where the previous one stopped.
func (r *Replica) pushRecords(ctx context.Context, group *replicav1.Group, members []*replicav1.Member) bool {
	if err := r.state.write(groupRecord(group)); err != nil {
		return false
	}
	for _, member := range members {
		if member.Node != r.options.Node && !r.pushRecordsTo(ctx, group, member) {
			return false
		}
	}
	return true
}

func (r *Replica) pushRecordsTo(ctx context.Context, group *replicav1.Group, member *replicav1.Member) bool {
	key := pushTarget{partition: group.Partition, node: member.Node}
	progress := r.pushes[key]
	for {
		records, next, more, err := r.state.recordsAfter(group.Partition, progress.nextPosition, maxChunkBytes)
		if err != nil {
			return false
		}
		callCtx, cancel := context.WithTimeout(ctx, pullTimeout)
		request := &replicav1.AppendRequest{Epoch: group.Epoch, Partition: group.Partition, Records: records}
		response, err := r.quorum.ReplicaClient(member.Address).Append(callCtx, connect.NewRequest(request))
		cancel()
		if err != nil {
			return false
		}
		standing := response.Msg.Standing
		if !standing.Member || !standing.Recovered || standing.Epoch != group.Epoch {
			r.directory.ApplyPeerGroup(standing.Group, member.Node)
			return false
		}
		if progress.incarnation != standing.Incarnation {
			restart := progress.nextPosition != 0
			progress = pushProgress{incarnation: standing.Incarnation}
			if restart {
				// The records sent to an earlier incarnation of the member are lost.
				continue
			}
		}
		progress.nextPosition = next
		r.pushes[key] = progress
		if !more {
			return true
		}
	}
}
