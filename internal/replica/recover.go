package replica

import (
	"context"
	"math/rand/v2"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
	"github.com/barleyshelf/barleyshelf/internal/pause"
	"github.com/barleyshelf/barleyshelf/internal/quorum"
)

const (
	settlePause = 60 * time.Millisecond
	pullTimeout = 1500 * time.Millisecond
)

// takeSeat brings this node's identity in line with the group, again and again:
// a seat that the folder was not begun for starts a new incarnation, which
// receives what the seat held.
func (r *Replica) takeSeat(ctx context.Context) {
	for pause.For(ctx, settlePause) {
		group := r.directory.Group()
		if group == nil {
			continue
		}
		if err := r.state.write(groupRecord(group)); err != nil {
			continue
		}
		member := seatOf(group, r.options.Node)
		if member == nil {
			continue
		}
		r.fillSeat(ctx, group, member)
	}
}

// fillSeat takes one step towards holding everything that the seat held.
func (r *Replica) fillSeat(ctx context.Context, group *replicav1.Group, member *replicav1.Member) {
	identity := r.state.currentIdentity()
	begun := identity != nil && identity.Seat == member.Seat && identity.Claim == member.Claim
	switch {
	case begun && identity.Recovered:
		return
	case begun && identity.Incarnation == member.Predecessor.GetReceivedBy():
		r.markRecovered(group, identity)
		return
	case r.beginsWithGroup(group, member, identity):
		r.startIdentity(member, true)
		return
	case !begun || !r.pulling:
		r.startIdentity(member, false)
		r.copied = 0
	}
	r.pulling = true
	identity = r.state.currentIdentity()
	if identity.Incarnation != r.copied && !r.copySeat(ctx, group, member, identity) {
		return
	}
	r.copied = identity.Incarnation
	if inTransfer(member) {
		r.propose(ctx, group, receivedGroup(group, member.Seat, identity.Incarnation))
		return
	}
	r.markRecovered(group, identity)
}

// markRecovered notes that this node holds everything that its seat held.
func (r *Replica) markRecovered(group *replicav1.Group, identity *replicav1.Identity) {
	recovered := proto.CloneOf(identity)
	recovered.Recovered = true
	if err := r.state.write(identityRecord(recovered)); err != nil {
		eventWriteFailed.Log("cause", err.Error())
		return
	}
	r.pulling, r.copied = false, 0
	eventRecovered.Log("seat", identity.Seat, "epoch", group.Epoch)
}

func seatOf(group *replicav1.Group, node string) *replicav1.Member {
	for _, member := range group.Members {
		if member.Node == node {
			return member
		}
	}
	return nil
}

// beginsWithGroup reports whether there is nothing to recover: the whole system
// starts for the first time, or no other member holds anything.
func (r *Replica) beginsWithGroup(group *replicav1.Group, member *replicav1.Member, identity *replicav1.Identity) bool {
	first := r.options.Bootstrap && identity == nil && member.Claim == firstEpoch
	return first || len(group.Members) == 1
}

// startIdentity writes a new incarnation.
func (r *Replica) startIdentity(member *replicav1.Member, recovered bool) {
	identity := &replicav1.Identity{
		Seat: member.Seat, Claim: member.Claim, Incarnation: rand.Uint64() | 1, Recovered: recovered,
	}
	if err := r.state.write(identityRecord(identity)); err != nil {
		eventWriteFailed.Log("cause", err.Error())
		return
	}
	eventSeatTaken.Log("seat", member.Seat, "claim", member.Claim, "recovered", recovered)
}

// copySeat pulls all records from enough other recovered members that no
// acknowledged one can be missing, or, while the seat is in transfer, from the
// node that held it before.
func (r *Replica) copySeat(ctx context.Context, group *replicav1.Group, member *replicav1.Member, identity *replicav1.Identity) bool {
	began := time.Now()
	sources := recoverySources(group, member)
	results := make(chan *replicav1.Standing, len(sources))
	for _, source := range sources {
		go func() { results <- r.pullAll(ctx, group, source, identity) }()
	}
	var standings []*replicav1.Standing
	for range sources {
		if standing := <-results; standing != nil {
			standings = append(standings, standing)
		}
		enough := enoughToRecover(group, member, standings)
		if enough == nil {
			continue
		}
		if err := r.state.write(seenBy(enough, member.Seat)...); err != nil {
			eventWriteFailed.Log("cause", err.Error())
			return false
		}
		eventCopied.Log("seat", member.Seat, "epoch", group.Epoch, "sources", len(enough), "milliseconds", time.Since(began).Milliseconds())
		return true
	}
	return false
}

// recoverySources returns the other members and, while the seat is in transfer,
// the node that held it before.
func recoverySources(group *replicav1.Group, member *replicav1.Member) []*replicav1.Member {
	var sources []*replicav1.Member
	for _, other := range group.Members {
		if other.Seat != member.Seat {
			sources = append(sources, other)
		}
	}
	if before := member.Predecessor; inTransfer(member) {
		sources = append(sources, &replicav1.Member{Seat: member.Seat, Node: before.Node, Address: before.Address, Claim: before.Claim})
	}
	return sources
}

// enoughToRecover returns those standings of nodes that were copied whole after
// which no acknowledged record of the seat can be missing, or nil.
func enoughToRecover(group *replicav1.Group, member *replicav1.Member, standings []*replicav1.Standing) []*replicav1.Standing {
	var others []*replicav1.Standing
	for _, standing := range standings {
		if passesSeatOn(group, member, standing) {
			return []*replicav1.Standing{standing}
		}
		if standing.Member {
			others = append(others, standing)
		}
	}
	chosen := quorum.Choose(group.Epoch, others, quorum.RecoverSize(len(group.Members)))
	if chosen == nil {
		return nil
	}
	enough := make([]*replicav1.Standing, 0, len(chosen))
	for _, i := range chosen {
		enough = append(enough, others[i])
	}
	return enough
}

// passesSeatOn reports whether a standing is that of the seat's holder before,
// with everything that the seat held. Since it knows the group in which it has
// lost the seat, it acknowledges nothing under an earlier one any more; and while
// the seat is in transfer, no later holder has acknowledged anything.
func passesSeatOn(group *replicav1.Group, member *replicav1.Member, standing *replicav1.Standing) bool {
	before := member.Predecessor
	return inTransfer(member) && !standing.Member && standing.Recovered && standing.Epoch >= group.Epoch &&
		standing.Seat == member.Seat && standing.Claim == before.Claim
}

// seenBy returns what the members that were copied know of the other seats'
// incarnations. A replica that forgot it would count answers of former lives.
func seenBy(standings []*replicav1.Standing, own uint32) []*replicav1.Record {
	known := make(map[uint32]uint64)
	for _, standing := range standings {
		for _, seen := range standing.Seen {
			known[seen.Seat] = seen.Incarnation
		}
	}
	for _, standing := range standings {
		known[standing.Seat] = standing.Incarnation
	}
	delete(known, own)
	records := make([]*replicav1.Record, 0, len(known))
	for seat, incarnation := range known {
		records = append(records, incarnationRecord(seat, incarnation))
	}
	return records
}

// pullAll copies all records of another member. It returns that member's
// standing if the copy is whole and the member itself was recovered.
func (r *Replica) pullAll(ctx context.Context, group *replicav1.Group, other *replicav1.Member, identity *replicav1.Identity) *replicav1.Standing {
	request := &replicav1.PullRequest{
		Epoch: group.Epoch, Seat: identity.Seat, Incarnation: identity.Incarnation, Claim: identity.Claim,
	}
	r.announceTo(ctx, other, r.announcement(group))
	var life uint64
	for {
		call, cancel := context.WithTimeout(ctx, pullTimeout)
		response, err := r.quorum.At(other.Address).Pull(call, connect.NewRequest(request))
		cancel()
		if err != nil {
			return nil
		}
		part := response.Msg
		r.directory.OfferGroup(part.Standing.Group)
		if life != 0 && part.Life != life {
			return nil
		}
		life = part.Life
		if err := r.state.write(part.Records...); err != nil {
			return nil
		}
		if !part.More {
			if !part.Standing.Recovered {
				return nil
			}
			return part.Standing
		}
		request.After = part.Next
	}
}
