package replica

import (
	"math/rand/v2"
	"slices"
	"sync"

	"google.golang.org/protobuf/proto"

	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
	"github.com/barleyshelf/barleyshelf/internal/quorum"
)

// proposerBits is the number of low bits of a ballot that identify its proposer. The bits above
// count rounds. Ballots have 53 bits, so that they stay exact in a store that reads numbers as
// floating-point values.
const proposerBits = 33

// ballots draws ballots that no other process draws. It is safe for concurrent use.
type ballots struct {
	proposer uint64
	mutex    sync.Mutex
	round    uint64
}

func newBallots() *ballots { return &ballots{proposer: rand.Uint64N(1 << proposerBits)} }

// next returns a ballot higher than all that were drawn or observed.
func (b *ballots) next() uint64 {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.round++
	return b.round<<proposerBits | b.proposer
}

// observe makes later ballots higher than one that an acceptor has promised.
func (b *ballots) observe(promised uint64) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.round = max(b.round, promised>>proposerBits)
}

// storeIsAcceptor reports whether the platform's store takes part in the choice of the next group.
// One of two members is no majority, so that nothing could be chosen once the other has failed.
func storeIsAcceptor(group *replicav1.Group) bool { return quorum.VoterCount(group) == 2 }

// acceptors returns the members that choose the next group: those with a vote. A seat in transfer is
// represented by its previous holder.
func acceptors(group *replicav1.Group) (chosen []*replicav1.Member) {
	for _, member := range group.Members {
		switch {
		case quorum.IsJoining(member):
		case inTransfer(member):
			chosen = append(chosen, previousHolder(member))
		default:
			chosen = append(chosen, member)
		}
	}
	return chosen
}

// ballotResult holds the answers of the acceptors to one request.
type ballotResult struct {
	group *replicav1.Group
	// granted are the standings of the acceptors that take part.
	granted []*replicav1.Standing
	// storeGranted is set if the platform's store takes part.
	storeGranted bool
	// promised is the highest ballot that any acceptor has promised, and accepted the accepted group
	// of the highest ballot among the acceptors that take part.
	promised uint64
	accepted *replicav1.Agreement
}

// add adds the answer of an acceptor.
func (b *ballotResult) add(answer *replicav1.AgreeResponse) {
	b.promised = max(b.promised, answer.Agreement.GetPromised())
	if !answer.Granted {
		return
	}
	b.granted = append(b.granted, acceptorStanding(b.group, answer.Standing))
	if answer.Agreement.GetAccepted() > b.accepted.GetAccepted() {
		b.accepted = answer.Agreement
	}
}

// acceptorStanding returns the standing of an acceptor in the form that counts together with
// others. That a seat in transfer has a new holder, which others may have seen, says nothing against
// its previous one.
func acceptorStanding(group *replicav1.Group, standing *replicav1.Standing) *replicav1.Standing {
	counted := proto.CloneOf(standing)
	counted.Member = true
	for _, member := range group.Members {
		if inTransfer(member) {
			counted.Seen = slices.DeleteFunc(counted.Seen, func(seen *replicav1.SeatIncarnation) bool { return seen.Seat == member.Seat })
		}
	}
	return counted
}

// isMajority reports whether the acceptors that take part are enough: any two such sets share an
// acceptor that has not lost its disk in between.
func (b *ballotResult) isMajority() bool {
	voters := quorum.VoterCount(b.group)
	if b.storeGranted && storeIsAcceptor(b.group) {
		return len(b.granted) > 0
	}
	return quorum.ChooseConsistent(b.group.Epoch, b.granted, quorum.WriteQuorum(voters)) != nil
}

// includes reports whether the acceptors of all given seats take part.
func (b *ballotResult) includes(seats []uint32) bool {
	if len(seats) == 0 {
		return true
	}
	var standings []*replicav1.Standing
	for _, standing := range b.granted {
		if slices.Contains(seats, standing.Seat) {
			standings = append(standings, standing)
		}
	}
	return quorum.ChooseConsistent(b.group.Epoch, standings, len(seats)) != nil
}

// acceptRequest returns the request that follows the promises of a ballot, or nil if they are not
// enough. It proposes the accepted group of the highest ballot, which may have been chosen already,
// or else the wanted one, if the acceptors of all given seats take part.
func (b *ballotResult) acceptRequest(ballot uint64, wanted *replicav1.Group, confirm []uint32) *replicav1.AgreeRequest {
	if !b.isMajority() || b.accepted == nil && !b.includes(confirm) {
		return nil
	}
	request := &replicav1.AgreeRequest{Group: b.group, Ballot: ballot, Next: wanted}
	if b.accepted != nil {
		request.Next = b.accepted.Group
	}
	for _, standing := range b.granted {
		request.Promises = append(request.Promises, &replicav1.SeatIncarnation{Seat: standing.Seat, Incarnation: standing.Incarnation})
	}
	return request
}

// seatsToConfirm returns the seats whose acceptors all have to take part before a change is made
// that could wait. A change that makes writes need more members needs every member, and the removal
// of a responsive member every other one: with a member that has failed and is not known to have,
// the group would tolerate less after the change than before. An unresponsive member is removed by
// a majority.
func seatsToConfirm(group, next *replicav1.Group, leaving *departure) (seats []uint32) {
	before, after := quorum.VoterCount(group), quorum.VoterCount(next)
	grows := quorum.WriteQuorum(after) > quorum.WriteQuorum(before)
	if !grows && (after >= before || leaving.isUnresponsive()) {
		return nil
	}
	for _, acceptor := range acceptors(group) {
		if grows || memberForSeat(next, acceptor.Seat) != nil {
			seats = append(seats, acceptor.Seat)
		}
	}
	return seats
}

// memberForSeat returns the member with a seat, or nil.
func memberForSeat(group *replicav1.Group, seat uint32) *replicav1.Member {
	for _, member := range group.Members {
		if member.Seat == seat {
			return member
		}
	}
	return nil
}
