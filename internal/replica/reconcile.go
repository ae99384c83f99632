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
	announceInterval  = 400 * time.Millisecond
	announceTimeout   = 700 * time.Millisecond
	reconcileInterval = 300 * time.Millisecond
	// shrinkDelay is how long a group waits for standbys to respond before it shrinks instead. It
	// covers two rounds of queryStandbys and the timeout of the first one. A group of two cannot
	// write while one of its members is unavailable.
	shrinkDelay = 2*reconcileInterval + announceTimeout
)

// runAnnouncements periodically announces this node and its incarnation to the other members of
// each group in which it has a seat, or from which it was removed last, and records their answers.
func (r *Replica) runAnnouncements(ctx context.Context) {
	for pause.For(ctx, announceInterval) {
		for _, group := range r.directory.Groups() {
			if group != nil && announcedMember(group, r.options.Node) != nil {
				r.announceGroup(ctx, group)
			}
		}
	}
}

// announcedMember returns the member whose incarnation a node announces: the node's member in the
// group, or the removed member if the node was removed last, because the others may still copy from
// it. Otherwise it returns nil.
func announcedMember(group *replicav1.Group, node string) *replicav1.Member {
	if member := memberForNode(group, node); member != nil || group.Removed.GetNode() != node {
		return member
	}
	return group.Removed
}

// announceGroup announces this node once to the other members of a group.
func (r *Replica) announceGroup(ctx context.Context, group *replicav1.Group) {
	message := r.announcement(group)
	for _, member := range announcingMembers(group) {
		if member.Node != r.options.Node {
			go r.announceTo(ctx, member, message)
		}
	}
}

// announcingMembers returns the members that announce their incarnations to each other: those of
// the group, and the most recently removed one, from which an empty member may copy.
func announcingMembers(group *replicav1.Group) []*replicav1.Member {
	if group.Removed == nil {
		return group.Members
	}
	return append(slices.Clone(group.Members), group.Removed)
}

// ownGroups returns the groups in which this node has a seat.
func (r *Replica) ownGroups() (groups []*replicav1.Group) {
	for _, group := range r.directory.Groups() {
		if group != nil && memberForNode(group, r.options.Node) != nil {
			groups = append(groups, group)
		}
	}
	return groups
}

// newAnnouncement returns the announcement of a node to the members of a group.
func newAnnouncement(state *state, group *replicav1.Group, node string) *replicav1.AnnounceRequest {
	message := &replicav1.AnnounceRequest{Group: group, Node: node}
	if identity := state.currentIdentity(group.Partition); identity != nil && announcedMember(group, node) != nil {
		message.Seat, message.Incarnation = identity.Seat, identity.Incarnation
	}
	return message
}

// announcement returns the announcement of this node, including whether it is stopping and whether
// its disk is unavailable.
func (r *Replica) announcement(group *replicav1.Group) *replicav1.AnnounceRequest {
	return r.withProcessStatus(newAnnouncement(r.state, group, r.options.Node))
}

// withProcessStatus adds to an announcement whether this node is stopping and whether its disk is
// unavailable.
func (r *Replica) withProcessStatus(message *replicav1.AnnounceRequest) *replicav1.AnnounceRequest {
	message.Stopping, message.DiskUnavailable = r.stopping.Load(), r.state.diskUnavailable()
	return message
}

// announceTo announces this node to another one and processes the answer.
func (r *Replica) announceTo(ctx context.Context, member *replicav1.Member, message *replicav1.AnnounceRequest) {
	callCtx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	response, err := r.quorum.ReplicaClient(member.Address).Announce(callCtx, connect.NewRequest(message))
	if err != nil {
		// The missing contact is recorded by the failure detector. The next announcement is the
		// retry.
		return
	}
	standing := response.Msg.Standing
	r.directory.ApplyPeerGroup(standing.Group, member.Node)
	if respondent := response.Msg.Node; respondent != "" && respondent != member.Node {
		// Another node has taken over the address. Its answer says nothing about the member.
		return
	}
	if response.Msg.Stopping {
		r.peers.observeStopping(member.Node)
		return
	}
	r.peers.observeStoresSystemID(member.Node, quorum.ReportsSystem(response.Header()))
	r.peers.observeStanding(member.Node, message.Group.GetPartition(), standing)
}

// runSelfPauseChecks checks periodically whether this process was paused, also while
// reconcileGroups waits for calls, which must not be taken for a pause.
func (r *Replica) runSelfPauseChecks(ctx context.Context) {
	for pause.For(ctx, reconcileInterval) {
		r.peers.checkSelfPause()
	}
}

// reconcileGroups periodically adapts the groups to the present nodes, with one change of each
// group at a time.
func (r *Replica) reconcileGroups(ctx context.Context) {
	started := time.Now()
	for pause.For(ctx, reconcileInterval) {
		r.peers.checkSelfPause()
		r.peers.watchMembers(r.ownGroups())
		if r.state.isFromFirstStart() && r.shouldFormGroups(time.Since(started)) {
			r.formGroups(ctx)
		}
		storeReachable := r.isStoreReachable()
		if storeReachable {
			r.retire(ctx)
			r.formConfinedGroups(ctx)
		}
		ownGroups := r.ownGroups()
		r.peers.watchMembers(ownGroups)
		r.underReplicated.retainGroups(ownGroups)
		for _, group := range ownGroups {
			if group.Agreed || storeReachable {
				r.reconcileGroup(ctx, group)
			}
		}
	}
}

// reconcileGroup proposes the next group of a partition if it has to change. Any member with a vote
// may propose a change, except that a healthy member which leaves without a successor first pushes
// its records to the others and then proposes the change itself. A member without a vote has not
// been in contact with the others for long and only proposes the end of its own transfer.
func (r *Replica) reconcileGroup(ctx context.Context, group *replicav1.Group) {
	if own := memberForNode(group, r.options.Node); own == nil || quorum.IsJoining(own) {
		return
	}
	r.queryStoreIfUnknown(ctx, group)
	status := r.groupStatus(group)
	status.exchangeComplete = r.exchangeAfterRemoval(ctx, status)
	r.underReplicated.observe(status, r.queryStandbys(ctx, status))
	next := nextGroup(status)
	if next == nil {
		next = groupWithSystemID(status, systemIDFor(group.Partition, r.directory.Groups()))
	}
	if next == nil {
		next = groupWithAgreement(status)
	}
	if next == nil {
		if group.Removed == nil {
			r.proposals.clear(group.Partition)
		}
		return
	}
	switch leaving := selfRemovingMember(status, next); {
	case leaving == nil:
		if r.proposals.isDue(group, proposalRank(status, r.options.Node)) {
			r.propose(ctx, status, next, changeReasonFor(status))
		}
	case leaving.Node == r.options.Node:
		r.removeSelf(ctx, status, next)
	}
}

// removeSelf proposes a group without this node. It first waits for standbys to respond, and pushes
// its records to the other members.
func (r *Replica) removeSelf(ctx context.Context, status groupStatus, next *replicav1.Group) {
	if !r.proposals.pendingFor(status.group, shrinkDelay) && len(standbyCandidates(status)) > 0 {
		return
	}
	if r.pushRecords(ctx, status.group, status.group.Members) {
		r.propose(ctx, status, next, changeReasonFor(status))
	}
}

// queryStandbys announces this node to possible standbys if the group needs one, and returns their
// names. A node without a seat sends no announcements itself, so it has to be queried.
func (r *Replica) queryStandbys(ctx context.Context, status groupStatus) (queried []string) {
	switch {
	case needsStandby(status):
	case !r.shouldSeekGrowth(status):
		r.standbySearch.reset(status.group.Partition)
		return nil
	case !r.standbySearch.growthDue(status.group.Partition):
		return nil
	}
	message := r.withProcessStatus(&replicav1.AnnounceRequest{Group: status.group, Node: r.options.Node})
	for _, node := range r.standbySearch.next(status.group.Partition, standbyCandidates(status), status.isHealthy) {
		queried = append(queried, node.Node)
		go r.announceTo(ctx, &replicav1.Member{Node: node.Node, Address: node.Address}, message)
	}
	return queried
}

// needsStandby reports whether a group has fewer members than desired, or a member leaves. In that
// case every member queries standbys in every round.
func needsStandby(status groupStatus) bool {
	return nextDeparture(status) != nil || len(status.group.Members) < desiredSeats(status.group)
}

// shouldSeekGrowth reports whether this node is the member that queries standbys for growth beyond
// the desired size.
func (r *Replica) shouldSeekGrowth(status groupStatus) bool {
	return len(status.group.Members) < maxSeats && proposalRank(status, r.options.Node) == 0
}
