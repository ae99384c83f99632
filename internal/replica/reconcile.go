package replica

import (
	"context"
	"errors"
	"slices"
	"time"

	"connectrpc.com/connect"

	"github.com/barleyshelf/barleyshelf/internal/directory"
	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
	"github.com/barleyshelf/barleyshelf/internal/pause"
)

const (
	announceEvery   = 400 * time.Millisecond
	announceTimeout = 700 * time.Millisecond
	reconcileEvery  = 300 * time.Millisecond
	// formAfter is how long the first groups wait for nodes that start late, and
	// formStagger how much longer each further node waits for the one before it to
	// form them.
	formAfter   = 2 * time.Second
	formStagger = 2 * reconcileEvery
	// standbysAsked is how many nodes are asked at a time whether they can take a
	// seat: some may be in the same trouble as the member that they are to replace.
	standbysAsked = 3
	// registerPause is the time between two tries to register.
	registerPause = 500 * time.Millisecond
)

// announce tells the other members of each group that this node has a seat in, again
// and again, that it is here and with which incarnation, and notes their answers.
func (r *Replica) announce(ctx context.Context) {
	for pause.For(ctx, announceEvery) {
		for _, group := range r.ownGroups() {
			message := announcementOf(r.state, group, r.options.Node)
			for _, member := range group.Members {
				if member.Node != r.options.Node {
					go r.announceTo(ctx, member, message)
				}
			}
		}
	}
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
	if identity := state.currentIdentity(group.Partition); identity != nil && seatOf(group, node) != nil {
		message.Seat, message.Incarnation = identity.Seat, identity.Incarnation
	}
	return message
}

func (r *Replica) announceTo(ctx context.Context, member *replicav1.Member, message *replicav1.AnnounceRequest) {
	call, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	response, err := r.quorum.At(member.Address).Announce(call, connect.NewRequest(message))
	if err != nil {
		// Its silence is what counts; the next announcement follows.
		return
	}
	standing := response.Msg.Standing
	r.directory.OfferGroup(standing.Group)
	r.heard.noteStanding(member.Node, message.Group.Partition, standing)
}

// register keeps this node's entry in the platform's store.
func (r *Replica) register(ctx context.Context) {
	own := directory.Object{
		Name:    r.options.Node,
		Replica: &directory.Replica{Node: r.options.Node, Address: r.options.Address, Zone: r.options.Zone},
	}
	for {
		err := r.registerOnce(ctx, own)
		if err == nil {
			return
		}
		if !pause.For(ctx, registerPause) {
			return
		}
	}
}

func (r *Replica) registerOnce(ctx context.Context, own directory.Object) error {
	if r.options.Bootstrap {
		var taken *directory.Conflict
		if err := r.objects.Create(ctx, directory.KindReplica, own); err == nil || !errors.As(err, &taken) {
			return err
		}
	}
	found, exists, err := r.objects.Get(ctx, directory.KindReplica, own.Name)
	if err != nil {
		return err
	}
	if !exists {
		return r.objects.Create(ctx, directory.KindReplica, own)
	}
	if *found.Replica == *own.Replica {
		return nil
	}
	own.Revision = found.Revision
	return r.objects.Replace(ctx, directory.KindReplica, own)
}

// reconcile brings the groups in line with the nodes that are there, again and
// again, one change of each at a time.
func (r *Replica) reconcile(ctx context.Context) {
	began := time.Now()
	for pause.For(ctx, reconcileEvery) {
		if r.options.Bootstrap && time.Since(began) > formAfter+time.Duration(r.rank())*formStagger {
			r.form(ctx)
		}
		if !r.storeAnswers() {
			continue
		}
		r.retire(ctx)
		for _, group := range r.ownGroups() {
			r.improve(ctx, group)
		}
	}
}

// improve proposes a partition's next group, if there is a better one. A group that
// shrinks reads from fewer members: the node that leaves it does so by itself,
// after it has handed over what it holds. A seat that moves takes with it what
// it held, and any member may propose that.
func (r *Replica) improve(ctx context.Context, group *replicav1.Group) {
	seen := r.observe(group)
	r.lookForStandbys(ctx, seen)
	next := nextGroup(seen)
	if next == nil {
		r.proposals.settled(group.Partition)
		return
	}
	if len(next.Members) < len(group.Members) {
		if seatOf(next, r.options.Node) != nil || !r.handOver(ctx, group) {
			return
		}
		r.propose(ctx, group, next)
		return
	}
	if r.proposals.due(group, proposalRank(seen, r.options.Node)) {
		r.propose(ctx, group, next)
	}
}

// lookForStandbys asks nodes that could take a seat whether they are there, if one is
// wanted. Nodes without a seat announce nothing to the members.
func (r *Replica) lookForStandbys(ctx context.Context, seen observation) {
	if leavingMember(seen) == nil && len(seen.group.Members) >= int(seen.group.Target) {
		return
	}
	message := &replicav1.AnnounceRequest{Group: seen.group, Node: r.options.Node}
	able := standbys(seen)
	for _, node := range able[:min(len(able), standbysAsked)] {
		go r.announceTo(ctx, &replicav1.Member{Node: node.Node, Address: node.Address}, message)
	}
}

// form creates the groups of a new system that are not there yet. Nodes that form
// them at the same time agree on the first group that is created, and so on the number
// of partitions; of each other group too the one that is created first stands.
func (r *Replica) form(ctx context.Context) {
	known := r.directory.Groups()
	if len(known) > 0 && !slices.Contains(known, nil) {
		return
	}
	if len(known) == 0 && !r.firstGroupMissing(ctx) {
		return
	}
	nodes := r.followers.nodes()
	if !slices.ContainsFunc(nodes, func(node directory.Replica) bool { return node.Node == r.options.Node }) {
		// The list of nodes has not come in yet.
		return
	}
	for _, group := range firstGroups(nodes) {
		partitions := len(r.directory.Groups())
		if partitions != 0 && (partitions != int(group.Partitions) || r.directory.Group(group.Partition) != nil) {
			continue
		}
		err := r.objects.Create(ctx, directory.KindGroup, directory.Object{Name: directory.GroupName(group.Partition), Group: group})
		var taken *directory.Conflict
		switch {
		case err == nil:
			r.directory.OfferGroup(group)
		case group.Partition == 0 || !errors.As(err, &taken):
			// Another node's first group, and with it the number of partitions, comes
			// in with the watch.
			return
		}
	}
}

// rank returns how many registered nodes come before this one by name.
func (r *Replica) rank() (before int) {
	for _, node := range r.followers.nodes() {
		if node.Node < r.options.Node {
			before++
		}
	}
	return before
}

// firstGroupMissing reports whether the store answers that there is no group.
func (r *Replica) firstGroupMissing(ctx context.Context) bool {
	found, exists, err := r.objects.Get(ctx, directory.KindGroup, directory.GroupName(0))
	if exists {
		r.directory.OfferGroup(found.Group)
	}
	return err == nil && !exists
}

func (r *Replica) observe(group *replicav1.Group) observation {
	own := r.options.Node
	return observation{
		group: group, nodes: r.followers.nodes(), retiring: r.followers.retiring(), seats: seatsHeld(r.directory.Groups()),
		alive: func(node string) bool { return node == own || r.heard.alive(node) },
		settled: func(node string) bool {
			if node != own {
				return r.heard.settled(node, group.Partition, group.Epoch)
			}
			standing := r.state.standing(group.Partition, group.Epoch)
			return standing.Member && standing.Recovered && standing.Epoch == group.Epoch
		},
	}
}

// propose writes the next group on the condition that the present one still
// stands in the store.
func (r *Replica) propose(ctx context.Context, group, next *replicav1.Group) {
	found, exists, err := r.objects.Get(ctx, directory.KindGroup, directory.GroupName(group.Partition))
	if err != nil || !exists {
		return
	}
	if found.Group.Epoch != group.Epoch {
		r.directory.OfferGroup(found.Group)
		return
	}
	found.Group = next
	if err := r.objects.Replace(ctx, directory.KindGroup, found); err != nil {
		return
	}
	eventProposed.Log("partition", next.Partition, "epoch", next.Epoch, "members", len(next.Members))
	r.directory.OfferGroup(next)
}

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
	if len(groups) == 0 || slices.Contains(groups, nil) || len(r.ownGroups()) > 0 {
		return
	}
	for _, group := range groups {
		if !r.emptied(ctx, group) {
			return
		}
	}
	if err := r.objects.SetRetirement(ctx, r.options.Node, true); err == nil {
		r.retired = true
		eventRetired.Log("node", r.options.Node)
	}
}

// emptied reports whether this node, which holds no seat of a group, may go: it never
// held one, or the node that took its seat holds everything that the seat held, or
// every member has all records of this one.
func (r *Replica) emptied(ctx context.Context, group *replicav1.Group) bool {
	if r.state.currentIdentity(group.Partition) == nil {
		return true
	}
	if passedSeatOf(group, r.options.Node) != nil {
		return r.transferDone(ctx, group)
	}
	return r.handOver(ctx, group)
}

// transferDone asks the members of a group that this node has left whether each holds
// everything that its seat held.
func (r *Replica) transferDone(ctx context.Context, group *replicav1.Group) bool {
	message := announcementOf(r.state, group, r.options.Node)
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

// handOver writes all records that this node has of a partition to every member. An attempt goes on where
// the one before it stopped.
func (r *Replica) handOver(ctx context.Context, group *replicav1.Group) bool {
	if err := r.state.write(groupRecord(group)); err != nil {
		return false
	}
	for _, member := range group.Members {
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
		response, err := r.quorum.At(member.Address).Append(call, connect.NewRequest(request))
		cancel()
		if err != nil {
			return false
		}
		standing := response.Msg.Standing
		if !standing.Member || !standing.Recovered || standing.Epoch != group.Epoch {
			r.directory.OfferGroup(standing.Group)
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
