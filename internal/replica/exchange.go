package replica

import (
	"context"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
	"github.com/barleyshelf/barleyshelf/internal/quorum"
)

// exchangeTimeout bounds one attempt to exchange what members hold; the next one goes on where it
// stopped. Each further member waits as much longer before it tries: two at a time bring
// everything twice.
const exchangeTimeout = 3 * time.Second

// exchange is how far this node has brought all records of one partition's members to all of them,
// in one epoch.
type exchange struct {
	epoch uint64
	// copy is what has come of each member.
	copy *seatCopy
	done bool
}

// exchangePartners returns the members that exchange what they hold after a removal, or nil while
// they are too few. That is all of them; without one that has failed meanwhile it is those that
// together hold everything that counted before the removal, and make up a majority since.
func exchangePartners(seen observation) (partners []*replicav1.Member) {
	for _, member := range seen.group.Members {
		switch {
		case seen.settled(member.Node):
			partners = append(partners, member)
		case !seen.leavesFor(memberFailed, member.Node):
			return nil
		}
	}
	voters := quorum.VoterCount(seen.group)
	if len(partners) < max(quorum.RecoveryQuorum(voters+1), quorum.WriteQuorum(voters)) {
		return nil
	}
	return partners
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
		known = &exchange{epoch: group.Epoch, copy: newSeatCopy()}
		r.exchanges[group.Partition] = known
	}
	turn := time.Duration(proposalRank(seen, r.options.Node)) * exchangeTimeout
	partners := exchangePartners(seen)
	if known.done || partners == nil || !r.proposals.wantedFor(group, turn) {
		return known.done
	}
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	known.done = r.copyAll(ctx, group, partners, known.copy) && r.handOver(ctx, group, partners)
	return known.done
}

// copyAll copies the records of every other partner and reports whether that is complete: each
// shows the epoch, and so has acknowledged nothing since under the one before.
func (r *Replica) copyAll(ctx context.Context, group *replicav1.Group, partners []*replicav1.Member, copied *seatCopy) bool {
	identity := r.state.currentIdentity(group.Partition)
	for _, member := range partners {
		if member.Node == r.options.Node {
			continue
		}
		standing := r.pullAll(ctx, group, member, identity, copied.of(member.Node), nil).standing
		if standing == nil || !standing.Member || standing.Epoch != group.Epoch {
			return false
		}
	}
	return true
}
