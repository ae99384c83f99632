package replica

import (
	"context"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
)

// exchangeTimeout bounds one attempt to exchange what members hold; the next one goes on where it
// stopped. Each further member waits as much longer before it tries: two at a time bring
// everything twice.
const exchangeTimeout = 3 * time.Second

// exchange is how far this node has brought all records of one partition's members to all of them,
// in one epoch.
type exchange struct {
	epoch uint64
	// copies are what has come of each member, by node.
	copies map[string]*sourceCopy
	done   bool
}

// exchangeAfterRemoval brings all records to all members of a group from which one was removed,
// and reports whether they are there. What counted before may lie with one member alone of those
// that stayed: each other one knows the group, so that nothing more counts that they lack.
func (r *Replica) exchangeAfterRemoval(ctx context.Context, seen observation) bool {
	group := seen.group
	if group.Removed == nil {
		delete(r.exchanges, group.Partition)
		return false
	}
	known := r.exchanges[group.Partition]
	if known == nil || known.epoch != group.Epoch {
		known = &exchange{epoch: group.Epoch, copies: make(map[string]*sourceCopy)}
		r.exchanges[group.Partition] = known
	}
	turn := time.Duration(proposalRank(seen, r.options.Node)) * exchangeTimeout
	if known.done || !allSettled(seen) || !r.proposals.wantedFor(group, turn) {
		return known.done
	}
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	known.done = r.copyAll(ctx, group, known) && r.handOver(ctx, group)
	return known.done
}

// copyAll copies the records of every other member and reports whether that is complete: each
// shows the epoch, and so has acknowledged nothing since under the one before.
func (r *Replica) copyAll(ctx context.Context, group *replicav1.Group, known *exchange) bool {
	identity := r.state.currentIdentity(group.Partition)
	for _, member := range group.Members {
		if member.Node == r.options.Node {
			continue
		}
		copied := known.copies[member.Node]
		if copied == nil {
			copied = &sourceCopy{partBytes: maxPullBytes}
			known.copies[member.Node] = copied
		}
		standing := r.pullAll(ctx, group, member, identity, copied, nil).standing
		if standing == nil || !standing.Member || standing.Epoch != group.Epoch {
			return false
		}
	}
	return true
}
