package replica

import (
	"context"

	"connectrpc.com/connect"

	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
)

// retire empties this node when that is asked. The node may go once it holds no
// seat and what it holds is not needed any more.
func (r *Replica) retire(ctx context.Context) {
	retirement, asked := r.followers.retirement(r.options.Node)
	if !asked || retirement.Completed || r.retired {
		return
	}
	if !r.retiring {
		r.retiring = r.objects.SetRetirement(ctx, r.options.Node, false) == nil
	}
	groups := r.directory.Groups()
	if missing(groups) || len(r.ownGroups()) > 0 || r.state.owesLoans() {
		return
	}
	for partition, group := range groups {
		if group == nil && r.state.currentIdentity(uint32(partition)) != nil {
			// It was formed, and is not known here yet.
			return
		}
		if group != nil && !r.emptied(ctx, group) {
			return
		}
	}
	// It would be taken for one that stands by for as long as its last word counts.
	r.stopping.Store(true)
	r.announceStopping(ctx)
	if err := r.objects.SetRetirement(ctx, r.options.Node, true); err == nil {
		r.retired = true
		eventRetired.Log("node", r.options.Node)
	}
}

// emptied reports whether this node, which holds no seat of a group, may go: it never
// held one, or the node that took its seat holds everything that the seat held, or
// the members have exchanged what they hold since its seat was removed.
func (r *Replica) emptied(ctx context.Context, group *replicav1.Group) bool {
	if r.state.currentIdentity(group.Partition) == nil {
		return true
	}
	if group.Removed.GetNode() == r.options.Node {
		// A member that loses its disk before the others have exchanged what they hold needs this node.
		return false
	}
	if passedSeatOf(group, r.options.Node) != nil {
		return r.transferDone(ctx, group)
	}
	return true
}

// transferDone asks the members of a group that this node has left whether each holds
// everything that its seat held.
func (r *Replica) transferDone(ctx context.Context, group *replicav1.Group) bool {
	message := r.announcement(group)
	for _, member := range group.Members {
		r.announceTo(ctx, member, message)
	}
	return allSettled(r.observe(group))
}

// handOverKey names a member of a partition's group.
type handOverKey struct {
	partition uint32
	node      string
}

// handOver is how far a member has got this node's records.
type handOver struct {
	// incarnation is the life of the member's folder that got them.
	incarnation uint64
	// position is the one after the last of them.
	position uint64
}

// handOver writes all records that this node has of a partition to members of its group. An
// attempt goes on where the one before it stopped.
func (r *Replica) handOver(ctx context.Context, group *replicav1.Group, members []*replicav1.Member) bool {
	if err := r.state.write(groupRecord(group)); err != nil {
		return false
	}
	for _, member := range members {
		if member.Node != r.options.Node && !r.handOverTo(ctx, group, member) {
			return false
		}
	}
	return true
}

func (r *Replica) handOverTo(ctx context.Context, group *replicav1.Group, member *replicav1.Member) bool {
	key := handOverKey{partition: group.Partition, node: member.Node}
	done := r.handOvers[key]
	for {
		records, next, more, err := r.state.after(group.Partition, done.position, maxPullBytes)
		if err != nil {
			return false
		}
		call, cancel := context.WithTimeout(ctx, pullTimeout)
		request := &replicav1.AppendRequest{Epoch: group.Epoch, Partition: group.Partition, Records: records}
		response, err := r.quorum.ReplicaClient(member.Address).Append(call, connect.NewRequest(request))
		cancel()
		if err != nil {
			return false
		}
		standing := response.Msg.Standing
		if !standing.Member || !standing.Recovered || standing.Epoch != group.Epoch {
			r.directory.ApplyPeerGroup(standing.Group, member.Node)
			return false
		}
		if done.incarnation != standing.Incarnation {
			restart := done.position != 0
			done = handOver{incarnation: standing.Incarnation}
			if restart {
				// What went to a former life of the member's folder is lost.
				continue
			}
		}
		done.position = next
		r.handOvers[key] = done
		if !more {
			return true
		}
	}
}
