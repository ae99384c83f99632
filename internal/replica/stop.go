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
	// stopMargin is what of the grace is left when a replica that is to stop waits no longer: its
	// process ends in some ten ms.
	stopMargin = time.Second
	// leastStopWait is how long it waits at least, where the grace is shorter.
	leastStopWait = 3 * time.Second
	// standbyAnswersWithin is how long nodes that could take a seat have to say so: three
	// questions to more and more of them. Where all are gone, a stop takes this much longer.
	standbyAnswersWithin = 4 * reconcileEvery
	// stopPause is the time between two looks whether a replica may stop.
	stopPause = 30 * time.Millisecond
)

// handSeatsOver lets nodes that stand by take seats beside this node's before it stops, and returns
// once the groups have as many members without it as are wanted, where none stands by, or shortly
// before the grace is over. A member that merely fell silent would be
// replaced after suspectAfter: whoever replaces replicas one after another, each once the one
// before had its time to catch up, would take the second disk before the first seat is held.
func (r *Replica) handSeatsOver(ctx context.Context) {
	r.stopping.Store(true)
	ctx, cancel := context.WithTimeout(ctx, stopWait(r.options.ShutdownGracePeriod))
	defer cancel()
	r.announceStopping(ctx)
	began := time.Now()
	for _, group := range r.ownGroups() {
		for r.seatToHandOver(ctx, group.Partition, time.Since(began)) && pause.For(ctx, stopPause) {
		}
	}
	r.logWeakened(ctx, time.Since(began))
}

// stopWait returns how long a replica that is to stop waits at most for others to hold seats.
func stopWait(grace time.Duration) time.Duration { return max(leastStopWait, grace-stopMargin) }

// logWeakened logs the groups that this node leaves with fewer members than are wanted, though nodes
// could take a seat, since its grace is over.
func (r *Replica) logWeakened(ctx context.Context, waited time.Duration) {
	if ctx.Err() == nil {
		return
	}
	for _, group := range r.ownGroups() {
		if seen := r.observe(group); !enoughWithout(seen, r.options.Node, seen.settled) {
			eventStopsWeakened.Log("partition", group.Partition, "epoch", group.Epoch, "members", nodesOf(group.Members), "waited_ms", waited.Milliseconds())
		}
	}
}

// announceStopping tells every node that has a seat anywhere that this one is to stop, also where
// it has none itself: one that has just stopped would be given a seat for as long as its last
// word counts, and the seat would be empty for that long.
func (r *Replica) announceStopping(ctx context.Context) {
	message := &replicav1.AnnounceRequest{Node: r.options.Node, Stopping: true}
	var telling sync.WaitGroup
	for _, node := range directory.Members(r.directory.Groups()) {
		if node.Node != r.options.Node {
			telling.Go(func() { r.announceTo(ctx, &replicav1.Member{Node: node.Node, Address: node.Address}, message) })
		}
	}
	telling.Wait()
}

// enoughWithout reports whether a group has as many members as are wanted, beside a node, of which
// something holds.
func enoughWithout(seen observation, node string, holds func(node string) bool) bool {
	count := 0
	for _, member := range seen.group.Members {
		if member.Node != node && holds(member.Node) {
			count++
		}
	}
	return count >= wantedSeats(seen.group)
}

// seatToHandOver reports whether a node that has been stopping for a while still waits for
// one that takes a seat of a partition, or for one that has and does not hold it yet.
func (r *Replica) seatToHandOver(ctx context.Context, partition uint32, stopping time.Duration) bool {
	group := r.directory.Group(partition)
	seen := r.observe(group)
	if holder := passedSeatOf(group, r.options.Node); holder != nil {
		r.announceTo(ctx, holder, r.announcement(group))
		return !seen.settled(holder.Node)
	}
	if seatOf(group, r.options.Node) == nil || enoughWithout(seen, r.options.Node, seen.settled) {
		return false
	}
	if standbyNode(seen) != nil || enoughWithout(seen, r.options.Node, seen.healthy) {
		return true
	}
	return stopping < standbyAnswersWithin && len(standbys(seen))+len(transfers(group)) > 0
}
