package replica

import (
	"context"
	"sync"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/directory"
	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
	"github.com/barleyshelf/barleyshelf/internal/pause"
)

const (
	// stopMargin is the part of the grace period that remains for the end of the process, which
	// takes some ten milliseconds.
	stopMargin = time.Second
	// minStopWait is the minimum wait of a stopping replica, even if its grace period is shorter.
	minStopWait = 3 * time.Second
	// standbyResponseTimeout is the time that standbys have to respond, which covers three rounds
	// of queries to a growing number of nodes. If none of them runs, a stop takes this much longer.
	standbyResponseTimeout = 4 * reconcileInterval
	// stopPollInterval is the interval at which a stopping replica checks whether it may stop.
	stopPollInterval = 30 * time.Millisecond
)

// awaitReplacements lets standbys take seats in this node's groups before it stops. It returns once
// the groups have the desired number of members in sync without this node, once no standby is
// available, or shortly before the end of the grace period. A member that only stopped responding
// would be replaced after suspectAfter. In a rolling restart with a fixed wait per replica, the
// second disk would then be gone before the first seat is filled.
func (r *Replica) awaitReplacements(ctx context.Context) {
	r.stopping.Store(true)
	ctx, cancel := context.WithTimeout(ctx, maxStopWait(r.options.ShutdownGracePeriod))
	defer cancel()
	r.announceStopping(ctx)
	started := time.Now()
	for _, group := range r.ownGroups() {
		for r.awaitsReplacement(ctx, group.Partition, time.Since(started)) && pause.For(ctx, stopPollInterval) {
		}
	}
	r.logUnderReplicatedStop(ctx, time.Since(started))
}

// maxStopWait returns the maximum time that a stopping replica waits for replacements.
func maxStopWait(grace time.Duration) time.Duration { return max(minStopWait, grace-stopMargin) }

// logUnderReplicatedStop logs the groups that this node leaves with fewer members in sync than
// desired because its grace period has ended while standbys were available.
func (r *Replica) logUnderReplicatedStop(ctx context.Context, waited time.Duration) {
	if ctx.Err() == nil {
		return
	}
	for _, group := range r.ownGroups() {
		if status := r.groupStatus(group); !hasEnoughMembersWithout(status, r.options.Node, status.isInSync) {
			eventStoppedUnderReplicated.Log("partition", group.Partition, "epoch", group.Epoch, "members", nodeNames(group.Members), "waited_ms", waited.Milliseconds())
		}
	}
}

// announceStopping announces to every node with a seat that this node is stopping, even if it has
// no seat itself. Otherwise the node could still be given a seat for as long as its last contact
// counts, and the seat would be empty for that time.
func (r *Replica) announceStopping(ctx context.Context) {
	message := &replicav1.AnnounceRequest{Node: r.options.Node, Stopping: true}
	var calls sync.WaitGroup
	for _, node := range directory.Members(r.directory.Groups()) {
		if node.Node != r.options.Node {
			calls.Go(func() { r.announceTo(ctx, &replicav1.Member{Node: node.Node, Address: node.Address}, message) })
		}
	}
	calls.Wait()
}

// hasEnoughMembersWithout reports whether a group has the desired number of members that satisfy
// qualifies, not counting one node.
func hasEnoughMembersWithout(status groupStatus, node string, qualifies func(node string) bool) bool {
	count := 0
	for _, member := range status.group.Members {
		if member.Node != node && qualifies(member.Node) {
			count++
		}
	}
	return count >= desiredSeats(status.group)
}

// awaitsReplacement reports whether a node that has been stopping for the elapsed time still waits
// for a standby to take a seat of a partition, or for its successor to be in sync.
func (r *Replica) awaitsReplacement(ctx context.Context, partition uint32, elapsed time.Duration) bool {
	group := r.directory.Group(partition)
	status := r.groupStatus(group)
	if successor := successorOf(group, r.options.Node); successor != nil {
		r.announceTo(ctx, successor, r.announcement(group))
		return !status.isInSync(successor.Node)
	}
	if memberForNode(group, r.options.Node) == nil || hasEnoughMembersWithout(status, r.options.Node, status.isInSync) {
		return false
	}
	if healthyStandby(status) != nil || hasEnoughMembersWithout(status, r.options.Node, status.isHealthy) {
		return true
	}
	return elapsed < standbyResponseTimeout && len(standbyCandidates(status))+len(membersInTransfer(group)) > 0
}
