package replica

import (
	"context"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
	"github.com/barleyshelf/barleyshelf/internal/quorum"
)

// exchangeTimeout bounds one attempt to exchange records; the next attempt resumes where it
// stopped. Each further member waits that much longer before it starts an attempt, because two
// concurrent attempts would transfer all records twice.
const exchangeTimeout = 3 * time.Second

// exchange is this node's progress in bringing the records of all members of a partition to each of
// them, in one epoch.
type exchange struct {
	epoch uint64
	// progress is what was copied from each member.
	progress *seatCopy
	done     bool
}

// exchangePartners returns the members that exchange their records after a removal, or nil if they
// are too few. They are all members with a vote except those that have failed meanwhile. The partners must
// together hold every record acknowledged before the removal, and must be a majority of the present
// group.
func exchangePartners(status groupStatus) (partners []*replicav1.Member) {
	for _, member := range status.group.Members {
		switch {
		case quorum.IsJoining(member):
			// It has no vote, so no record depends on it.
		case status.isInSync(member.Node):
			partners = append(partners, member)
		case !status.mustLeave(memberFailed, member.Node):
			return nil
		}
	}
	voters := quorum.VoterCount(status.group)
	if len(partners) < max(quorum.RecoveryQuorum(voters+1), quorum.WriteQuorum(voters)) {
		return nil
	}
	return partners
}

// exchangeAfterRemoval brings all records to all members of a group from which a member was
// removed, and reports whether that is complete. A record acknowledged before the removal may be
// held by only one of the remaining members. All of them know the new group, so no further record
// is acknowledged that they lack.
func (r *Replica) exchangeAfterRemoval(ctx context.Context, status groupStatus) bool {
	group := status.group
	if group.Removed == nil {
		delete(r.exchanges, group.Partition)
		return false
	}
	current := r.exchanges[group.Partition]
	if current == nil || current.epoch != group.Epoch {
		current = &exchange{epoch: group.Epoch, progress: newSeatCopy()}
		r.exchanges[group.Partition] = current
	}
	rankDelay := time.Duration(proposalRank(status, r.options.Node)) * exchangeTimeout
	partners := exchangePartners(status)
	if current.done || partners == nil || !r.proposals.pendingFor(group, rankDelay) {
		return current.done
	}
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	current.done = r.copyFromPartners(ctx, group, partners, current.progress) && r.pushRecords(ctx, group, partners)
	return current.done
}

// copyFromPartners copies the records of every other partner and reports whether that is complete.
// Each partner must report the current epoch, because it then has acknowledged nothing more under
// the previous one.
func (r *Replica) copyFromPartners(ctx context.Context, group *replicav1.Group, partners []*replicav1.Member, progress *seatCopy) bool {
	identity := r.state.currentIdentity(group.Partition)
	for _, member := range partners {
		if member.Node == r.options.Node {
			continue
		}
		standing := r.pullRecords(ctx, group, member, identity, progress.source(member.Node), nil).standing
		if standing == nil || !standing.Member || standing.Epoch != group.Epoch {
			return false
		}
	}
	return true
}
