package replica

import (
	"sync"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
)

// proposalStagger is how much longer each further member waits before it proposes a change that all
// members want. It covers two rounds of reconcileGroups, in which the group that an earlier member
// has proposed arrives in its announcement.
const proposalStagger = 2 * reconcileInterval

// failureLogInterval is the minimum interval between log lines about failed proposals of one
// partition, and between those about failed writes.
const failureLogInterval = 2 * time.Second

// proposals staggers the proposals of the members. Each proposal costs two rounds of calls to
// the members and competes with the others.
//
// Its methods are not safe for concurrent use, except shouldLogFailure.
type proposals struct {
	now func() time.Time
	// mutex guards lastFailureLogs, the times at which a failed proposal was last logged, by
	// partition.
	mutex           sync.Mutex
	lastFailureLogs map[uint32]time.Time
	// pending are the changes that are due, by partition, with the time since when they have been.
	pending map[uint32]pendingChange
}

type pendingChange struct {
	epoch uint64
	since time.Time
}

func newProposals(now func() time.Time) *proposals {
	return &proposals{now: now, pending: make(map[uint32]pendingChange), lastFailureLogs: make(map[uint32]time.Time)}
}

// isDue reports whether a member may propose a change of the group now. rank is the number of
// members that propose before it.
func (p *proposals) isDue(group *replicav1.Group, rank int) bool {
	return p.pendingFor(group, time.Duration(rank)*proposalStagger)
}

// pendingFor reports whether a change of the group has been pending for the given duration. The
// first call starts the time.
func (p *proposals) pendingFor(group *replicav1.Group, duration time.Duration) bool {
	change, found := p.pending[group.Partition]
	if !found || change.epoch != group.Epoch {
		change = pendingChange{epoch: group.Epoch, since: p.now()}
		p.pending[group.Partition] = change
	}
	return p.now().Sub(change.since) >= duration
}

// shouldLogFailure reports whether to log a failed proposal: at most one per failureLogInterval.
func (p *proposals) shouldLogFailure(partition uint32) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	lastLogged, logged := p.lastFailureLogs[partition]
	if logged && p.now().Sub(lastLogged) < failureLogInterval {
		return false
	}
	p.lastFailureLogs[partition] = p.now()
	return true
}

// clear records that no change of a partition's group is pending.
func (p *proposals) clear(partition uint32) { delete(p.pending, partition) }

// proposalRank returns the number of members that propose before a node: the healthy ones before it
// in the order of the group. A stopping member proposes before all others, and so does the holder
// of a seat that reports the completion of its own transfer.
func proposalRank(status groupStatus, node string) int {
	rank := 0
	switch leaving := nextDeparture(status); {
	case nextCompletedTransfer(status, leaving) != nil:
		rank = 1
	case leaving != nil && leaving.reason == memberStopping:
		if leaving.member.Node == node {
			return 0
		}
		rank = 1
	}
	for _, member := range status.group.Members {
		if member.Node == node {
			break
		}
		if status.isHealthy(member.Node) {
			rank++
		}
	}
	return rank
}
