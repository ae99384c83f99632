package replica

import (
	"google.golang.org/protobuf/proto"

	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
	"github.com/barleyshelf/barleyshelf/internal/quorum"
)

// isAcceptor reports whether this folder takes part in the choice of the group that follows the
// present one: it holds all records of a seat with a vote. While a seat is in transfer, its previous
// holder keeps its part in the choice, although it stores nothing more.
//
// In a group of two, the platform's store is a third acceptor. A folder that was recovered from the
// other member alone does not know what an earlier incarnation of it accepted together with the
// store, and first has to query the store.
func (p *partitionState) isAcceptor() bool {
	if !p.identity.GetRecovered() || !p.group.GetAgreed() {
		return false
	}
	if _, holds := p.member(); holds {
		return p.identity.KnowsStore || !storeIsAcceptor(p.group)
	}
	return p.transferredMember() != nil
}

// transferredMember returns the member that this folder passes its seat on to, or nil.
func (p *partitionState) transferredMember() *replicav1.Member {
	for _, member := range p.group.GetMembers() {
		if inTransfer(member) && !quorum.IsJoining(member) && member.Seat == p.identity.GetSeat() && member.Predecessor.Claim == p.identity.GetClaim() {
			return member
		}
	}
	return nil
}

// currentAgreement returns what this folder has promised and accepted about the group that follows
// the present one. The result must not be modified.
func (p *partitionState) currentAgreement() *replicav1.Agreement {
	if epoch := p.group.GetEpoch(); p.agreement.GetEpoch() != epoch {
		return &replicav1.Agreement{Epoch: epoch}
	}
	return p.agreement
}

// vote answers a request to take part in a ballot, and reports whether this folder does. The
// returned record, if any, has to be on the disk before the answer is sent.
func (p *partitionState) vote(request *replicav1.AgreeRequest) (record *replicav1.Record, granted bool) {
	if p.group.GetEpoch() != request.Group.GetEpoch() || !p.isAcceptor() || !p.isConsistentWith(request.Promises) {
		return nil, false
	}
	current := p.currentAgreement()
	if request.Next == nil && request.Ballot <= current.Promised || request.Ballot < current.Promised {
		return nil, false
	}
	voted := proto.CloneOf(current)
	voted.Promised = request.Ballot
	if request.Next != nil {
		voted.Accepted, voted.Group = request.Ballot, request.Next
	}
	return agreementRecord(p.number, voted), true
}

// isConsistentWith reports whether this folder has seen no later incarnation of an acceptor that is
// said to have promised a ballot. Its promise is void: its disk has been lost since. A seat in
// transfer is left out, because its new holder may have been seen while the previous one promises.
func (p *partitionState) isConsistentWith(promises []*replicav1.SeatIncarnation) bool {
	for _, promise := range promises {
		known := p.seenIncarnations[promise.Seat]
		if promise.Seat == p.identity.GetSeat() {
			known = p.identity.GetIncarnation()
		}
		member := memberForSeat(p.group, promise.Seat)
		if known != 0 && known != promise.Incarnation && member != nil && !inTransfer(member) {
			return false
		}
	}
	return true
}

// applyAgreement applies what this folder, or one that it has copied, has promised and accepted. It
// reports whether that changed anything.
func (p *partitionState) applyAgreement(agreement *replicav1.Agreement) bool {
	if agreement.Epoch != p.group.GetEpoch() {
		return false
	}
	merged := mergeAgreements(p.currentAgreement(), agreement)
	if proto.Equal(merged, p.agreement) {
		return false
	}
	p.agreement = merged
	return true
}

// mergeAgreements returns the higher promise and the later accepted group of two acceptors of one
// epoch. A replica that recovers takes over those of its sources: a majority that knew its earlier
// incarnation's part includes one of them.
func mergeAgreements(one, other *replicav1.Agreement) *replicav1.Agreement {
	merged := proto.CloneOf(one)
	merged.Promised = max(one.Promised, other.Promised)
	if other.Accepted > one.Accepted {
		merged.Accepted, merged.Group = other.Accepted, other.Group
	}
	return merged
}

func agreementRecord(partition uint32, agreement *replicav1.Agreement) *replicav1.Record {
	return &replicav1.Record{Partition: partition, Kind: &replicav1.Record_Agreement{Agreement: agreement}}
}

// answerVote lets this folder take part in a ballot, and returns the answer to its proposer after the
// vote is on the disk.
func (s *state) answerVote(request *replicav1.AgreeRequest) (*replicav1.AgreeResponse, error) {
	if err := s.write(groupRecord(request.Group)); err != nil {
		return nil, err
	}
	answer := &replicav1.AgreeResponse{}
	err := s.update(request.Group.Partition, func(partition *partitionState, write func(*replicav1.Record)) {
		record, granted := partition.vote(request)
		if granted {
			write(record)
		}
		answer.Granted = granted
	})
	if err != nil {
		return nil, err
	}
	// The standing is read after the vote, so that it includes what this replica learned meanwhile.
	answer.Standing, answer.Agreement = s.agreement(request.Group.Partition, request.Group.Epoch)
	return answer, nil
}

// agreement returns a partition's standing together with what was promised and accepted by then.
func (s *state) agreement(partition uint32, epoch uint64) (*replicav1.Standing, *replicav1.Agreement) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	current := s.partition(partition)
	return current.standing(epoch), current.currentAgreement()
}

// markStoreKnown records that an incarnation knows what the store has promised and accepted in an
// epoch. It promises the same ballot.
func (s *state) markStoreKnown(group *replicav1.Group, identity *replicav1.Identity, ballot uint64) error {
	return s.update(group.Partition, func(partition *partitionState, write func(*replicav1.Record)) {
		if partition.group.GetEpoch() != group.Epoch || partition.identity.GetIncarnation() != identity.Incarnation {
			return
		}
		knowing := proto.CloneOf(partition.identity)
		knowing.KnowsStore = true
		write(agreementRecord(group.Partition, &replicav1.Agreement{Epoch: group.Epoch, Promised: ballot}))
		write(identityRecord(group.Partition, knowing))
	})
}
