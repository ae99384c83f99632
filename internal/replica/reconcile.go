package replica

import (
	"context"
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
	// formAfter is how long the first group waits for nodes that start late.
	formAfter = 2 * time.Second
	// registerPause is the time between two tries to register.
	registerPause = 500 * time.Millisecond
)

// announce tells all members, again and again, who is here and with which
// incarnation, and notes their answers.
func (r *Replica) announce(ctx context.Context) {
	for pause.For(ctx, announceEvery) {
		group := r.directory.Group()
		if group == nil {
			continue
		}
		message := announcementOf(r.state, group, r.options.Node)
		for _, member := range group.Members {
			if member.Node != r.options.Node {
				go r.announceTo(ctx, member, message)
			}
		}
	}
}

// announcementOf returns what a node tells the members of a group.
func announcementOf(state *state, group *replicav1.Group, node string) *replicav1.AnnounceRequest {
	message := &replicav1.AnnounceRequest{Group: group, Node: node}
	if identity := state.currentIdentity(); identity != nil && seatOf(group, node) != nil {
		message.Seat, message.Incarnation = identity.Seat, identity.Incarnation
	}
	return message
}

func (r *Replica) announceTo(ctx context.Context, member *replicav1.Member, message *replicav1.AnnounceRequest) {
	call, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	response, err := r.quorum.At(member.Address).Announce(call, connect.NewRequest(message))
	if err != nil {
		return
	}
	standing := response.Msg.Standing
	r.directory.OfferGroup(standing.Group)
	r.heard.noteStanding(member.Node, standing)
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

// reconcile brings the group in line with the nodes that are there, again and
// again, one change at a time.
func (r *Replica) reconcile(ctx context.Context) {
	began := time.Now()
	for pause.For(ctx, reconcileEvery) {
		group := r.directory.Group()
		if group == nil {
			if r.options.Bootstrap && time.Since(began) > formAfter {
				r.form(ctx)
			}
			continue
		}
		if r.feed.Failing() {
			continue
		}
		r.retire(ctx, group)
		if seatOf(group, r.options.Node) == nil {
			continue
		}
		r.improve(ctx, group)
	}
}

// improve proposes the next group, if there is a better one. A group that
// shrinks reads from fewer members: the node that leaves it does so by itself,
// after it has handed over what it holds. A seat that moves takes with it what
// it held, and any member may propose that.
func (r *Replica) improve(ctx context.Context, group *replicav1.Group) {
	next := nextGroup(r.observe(group))
	if next == nil {
		return
	}
	if len(next.Members) < len(group.Members) {
		if seatOf(next, r.options.Node) != nil || !r.handOver(ctx, group) {
			return
		}
	}
	r.propose(ctx, group, next)
}

func (r *Replica) form(ctx context.Context) {
	_, exists, err := r.objects.Get(ctx, directory.KindGroup, directory.GroupName)
	if err != nil || exists {
		return
	}
	nodes := r.followers.nodes()
	if len(nodes) == 0 {
		return
	}
	group := firstGroup(nodes)
	// A group that another node has formed comes in with the watch.
	if err := r.objects.Create(ctx, directory.KindGroup, directory.Object{Name: directory.GroupName, Group: group}); err == nil {
		r.directory.OfferGroup(group)
	}
}

func (r *Replica) observe(group *replicav1.Group) observation {
	own := r.options.Node
	return observation{
		group: group, nodes: r.followers.nodes(), retiring: r.followers.retiring(),
		alive: func(node string) bool { return node == own || r.heard.alive(node) },
		settled: func(node string) bool {
			if node != own {
				return r.heard.settled(node, group.Epoch)
			}
			standing := r.state.standing(group.Epoch)
			return standing.Member && standing.Recovered && standing.Epoch == group.Epoch
		},
	}
}

// propose writes the next group on the condition that the present one still
// stands in the store.
func (r *Replica) propose(ctx context.Context, group, next *replicav1.Group) {
	found, exists, err := r.objects.Get(ctx, directory.KindGroup, directory.GroupName)
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
	eventProposed.Log("epoch", next.Epoch, "members", len(next.Members))
	r.directory.OfferGroup(next)
}

// retire empties this node when that is asked. The node may go once it holds no
// seat and what it holds is not needed any more.
func (r *Replica) retire(ctx context.Context, group *replicav1.Group) {
	retirement, asked := r.followers.retirement(r.options.Node)
	if !asked || retirement.Completed || r.retired {
		return
	}
	if !r.retiring {
		r.retiring = r.objects.SetRetirement(ctx, r.options.Node, false) == nil
	}
	if seatOf(group, r.options.Node) != nil || !r.emptied(ctx, group) {
		return
	}
	if err := r.objects.SetRetirement(ctx, r.options.Node, true); err == nil {
		r.retired = true
		eventRetired.Log("node", r.options.Node, "epoch", group.Epoch)
	}
}

// emptied reports whether this node, which holds no seat, may go: the node that
// took its seat holds everything that the seat held, or else every member has
// all records of this one.
func (r *Replica) emptied(ctx context.Context, group *replicav1.Group) bool {
	if passedSeatOf(group, r.options.Node) != nil {
		return allSettled(r.observe(group))
	}
	return r.handOver(ctx, group)
}

// handOver is how far a member has got this node's records.
type handOver struct {
	// incarnation is the life of the member's folder that got them.
	incarnation uint64
	// position is the one after the last of them.
	position uint64
}

// handOver writes all records of this node to every member. An attempt goes on where
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
	done := r.handOvers[member.Node]
	for {
		records, next, more, err := r.state.after(done.position, maxPullBytes)
		if err != nil {
			return false
		}
		call, cancel := context.WithTimeout(ctx, pullTimeout)
		request := &replicav1.AppendRequest{Epoch: group.Epoch, Records: records}
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
		r.handOvers[member.Node] = done
		if !more {
			return true
		}
	}
}
