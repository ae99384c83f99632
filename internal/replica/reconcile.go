package replica

import (
	"context"
	"slices"
	"time"

	"connectrpc.com/connect"

	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
	"github.com/barleyshelf/barleyshelf/internal/pause"
	"github.com/barleyshelf/barleyshelf/internal/quorum"
)

const (
	announceEvery   = 400 * time.Millisecond
	announceTimeout = 700 * time.Millisecond
	reconcileEvery  = 300 * time.Millisecond
	// shrinkAfter is how long nodes that could take a seat have to say that they are
	// there before a group shrinks instead: two questions of lookForStandbys, and the
	// time that the first may take. A group of two rests while one of them is away.
	shrinkAfter = 2*reconcileEvery + announceTimeout
)

// announce tells the other members of each group that this node has a seat in, or lost one of, again
// and again, that it is here and with which incarnation, and notes their answers.
func (r *Replica) announce(ctx context.Context) {
	for pause.For(ctx, announceEvery) {
		for _, group := range r.directory.Groups() {
			if group != nil && speaksFor(group, r.options.Node) != nil {
				r.announceGroup(ctx, group)
			}
		}
	}
}

// speaksFor returns the member whose incarnation a node tells: its seat in the group, or the one
// that it was removed from and that the others may still copy. It is nil where there is neither.
func speaksFor(group *replicav1.Group, node string) *replicav1.Member {
	if member := seatOf(group, node); member != nil || group.Removed.GetNode() != node {
		return member
	}
	return group.Removed
}

// announceGroup tells the other members of a group once that this node is here.
func (r *Replica) announceGroup(ctx context.Context, group *replicav1.Group) {
	message := r.announcement(group)
	for _, member := range speaking(group) {
		if member.Node != r.options.Node {
			go r.announceTo(ctx, member, message)
		}
	}
}

// speaking returns the members that tell each other their incarnations: those of the group, and
// the one that was removed last, which an empty one may copy.
func speaking(group *replicav1.Group) []*replicav1.Member {
	if group.Removed == nil {
		return group.Members
	}
	return append(slices.Clone(group.Members), group.Removed)
}

// ownGroups returns the groups that this node has a seat in.
func (r *Replica) ownGroups() (own []*replicav1.Group) {
	for _, group := range r.directory.Groups() {
		if group != nil && seatOf(group, r.options.Node) != nil {
			own = append(own, group)
		}
	}
	return own
}

// announcementOf returns what a node tells the members of a group.
func announcementOf(state *state, group *replicav1.Group, node string) *replicav1.AnnounceRequest {
	message := &replicav1.AnnounceRequest{Group: group, Node: node}
	if identity := state.currentIdentity(group.Partition); identity != nil && speaksFor(group, node) != nil {
		message.Seat, message.Incarnation = identity.Seat, identity.Incarnation
	}
	return message
}

// announcement is announcementOf for this node, with whether it is to stop.
func (r *Replica) announcement(group *replicav1.Group) *replicav1.AnnounceRequest {
	message := announcementOf(r.state, group, r.options.Node)
	message.Stopping = r.stopping.Load()
	return message
}

// announceTo announces this node to another one, and takes what that says of itself.
func (r *Replica) announceTo(ctx context.Context, member *replicav1.Member, message *replicav1.AnnounceRequest) {
	call, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	response, err := r.quorum.ReplicaClient(member.Address).Announce(call, connect.NewRequest(message))
	if err != nil {
		// Its silence is what counts; the next announcement follows.
		return
	}
	standing := response.Msg.Standing
	r.directory.ApplyPeerGroup(standing.Group, member.Node)
	if answering := response.Msg.Node; answering != "" && answering != member.Node {
		// A node that has come to the address of one that is gone does not speak for it.
		return
	}
	if response.Msg.Stopping {
		r.peers.observeStopping(member.Node)
		return
	}
	r.peers.observeKeepsSystem(member.Node, quorum.ReportsSystem(response.Header()))
	r.peers.observeStanding(member.Node, message.Group.GetPartition(), standing)
}

// reconcile brings the groups in line with the nodes that are there, again and
// again, one change of each at a time.
func (r *Replica) reconcile(ctx context.Context) {
	began := time.Now()
	for pause.For(ctx, reconcileEvery) {
		r.peers.observeSelf()
		if r.options.Bootstrap && r.timeToForm(time.Since(began)) {
			r.form(ctx)
		}
		if !r.storeAnswers() {
			continue
		}
		r.retire(ctx)
		r.formConfined(ctx)
		own := r.ownGroups()
		r.underReplicated.forget(own)
		for _, group := range own {
			r.improve(ctx, group)
		}
	}
}

// improve proposes a partition's next group, if there is a better one. Any member may propose a
// change, but one that works and leaves without a successor hands over what it holds and does so itself.
func (r *Replica) improve(ctx context.Context, group *replicav1.Group) {
	seen := r.observe(group)
	seen.exchanged = r.exchangeAfterRemoval(ctx, seen)
	r.underReplicated.observe(seen, r.lookForStandbys(ctx, seen))
	next := nextGroup(seen)
	if next == nil {
		next = namedGroup(seen, systemFor(group.Partition, r.directory.Groups()))
	}
	if next == nil {
		if group.Removed == nil {
			r.proposals.settled(group.Partition)
		}
		return
	}
	switch leaving := handsOver(seen, next); {
	case leaving == nil:
		if r.proposals.due(group, proposalRank(seen, r.options.Node)) {
			r.propose(ctx, group, next, reasonFor(seen))
		}
	case leaving.Node == r.options.Node:
		r.leaveGroup(ctx, seen, next)
	}
}

// leaveGroup proposes a group without this node, once nodes that could take its seat have had
// their time and the others hold what it holds.
func (r *Replica) leaveGroup(ctx context.Context, seen observation, next *replicav1.Group) {
	if !r.proposals.wantedFor(seen.group, shrinkAfter) && len(standbys(seen)) > 0 {
		return
	}
	if r.handOver(ctx, seen.group, seen.group.Members) {
		r.propose(ctx, seen.group, next, reasonFor(seen))
	}
}

// lookForStandbys asks nodes that could take a seat whether they are there, if one is
// wanted, and returns their names. Nodes without a seat announce nothing to the members.
func (r *Replica) lookForStandbys(ctx context.Context, seen observation) (asked []string) {
	switch {
	case wantsSeat(seen):
	case !r.mayTakeMore(seen):
		r.standbys.end(seen.group.Partition)
		return nil
	case !r.standbys.growthDue(seen.group.Partition):
		return nil
	}
	message := &replicav1.AnnounceRequest{Group: seen.group, Node: r.options.Node, Stopping: r.stopping.Load()}
	for _, node := range r.standbys.next(seen.group.Partition, standbys(seen), seen.healthy) {
		asked = append(asked, node.Node)
		go r.announceTo(ctx, &replicav1.Member{Node: node.Node, Address: node.Address}, message)
	}
	return asked
}

// wantsSeat reports whether a group has fewer members than are wanted, or one of them leaves. Every
// member looks for nodes then, at each look.
func wantsSeat(seen observation) bool {
	return nextDeparture(seen) != nil || len(seen.group.Members) < wantedSeats(seen.group)
}

// mayTakeMore reports whether this node is the one that looks for nodes by which a group could have
// more members than are wanted.
func (r *Replica) mayTakeMore(seen observation) bool {
	return len(seen.group.Members) < maxSeats && proposalRank(seen, r.options.Node) == 0
}
