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
// a seat that the folder was not begun for starts a new incarnation, which is
// recovered from the other members.
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
		identity := r.state.currentIdentity()
		if identity != nil && identity.Seat == member.Seat && identity.Claim == member.Claim && identity.Recovered {
			continue
		}
		if r.beginsWithGroup(group, member, identity) {
			r.startIdentity(member, true)
			continue
		}
		if identity == nil || identity.Seat != member.Seat || identity.Claim != member.Claim || !r.pulling {
			r.startIdentity(member, false)
		}
		r.pulling = true
		if r.recover(ctx, group, member) {
			r.pulling = false
		}
	}
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

// recover pulls all records from enough other recovered members that no
// acknowledged one can be missing, and then marks the identity recovered.
func (r *Replica) recover(ctx context.Context, group *replicav1.Group, member *replicav1.Member) bool {
	began := time.Now()
	identity := r.state.currentIdentity()
	results := make(chan *replicav1.Standing, len(group.Members))
	asked := 0
	for _, other := range group.Members {
		if other.Seat == member.Seat {
			continue
		}
		asked++
		go func() { results <- r.pullAll(ctx, group, other, identity) }()
	}
	var standings []*replicav1.Standing
	for range asked {
		if standing := <-results; standing != nil {
			standings = append(standings, standing)
		}
		if quorum.Choose(group.Epoch, standings, quorum.RecoverSize(len(group.Members))) == nil {
			continue
		}
		recovered := proto.CloneOf(identity)
		recovered.Recovered = true
		if err := r.state.write(append(seenBy(standings, member.Seat), identityRecord(recovered))...); err != nil {
			eventWriteFailed.Log("cause", err.Error())
			return false
		}
		eventRecovered.Log("seat", member.Seat, "epoch", group.Epoch, "milliseconds", time.Since(began).Milliseconds())
		return true
	}
	return false
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
