package replica

import (
	"google.golang.org/protobuf/proto"

	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
)

// storedPromise returns the copy of a group in the platform's store after the store has promised a
// ballot in an epoch, or nil if it may not.
func storedPromise(stored *replicav1.Group, epoch, ballot uint64) *replicav1.Group {
	promised := stored.Agreement
	if stored.Epoch > epoch || promised.GetEpoch() > epoch || promised.GetEpoch() == epoch && promised.Promised >= ballot {
		return nil
	}
	next := proto.CloneOf(stored)
	next.Agreement = &replicav1.Agreement{Epoch: epoch, Promised: ballot}
	return next
}

// storedAcceptance returns the copy of a group in the platform's store after the store has accepted
// the next one, or nil if it may not: it must have promised this very ballot, so that an acceptor
// whose disk was lost in between can end the ballot by a higher promise of the store.
func storedAcceptance(stored *replicav1.Group, request *replicav1.AgreeRequest) *replicav1.Group {
	promised := stored.Agreement
	if stored.Epoch > request.Group.Epoch || promised.GetEpoch() != request.Group.Epoch || promised.Promised != request.Ballot {
		return nil
	}
	return request.Next
}

// storedGroup returns the copy in the platform's store of a group that was chosen without it. A
// promise about that group's successor stays.
func storedGroup(stored, chosen *replicav1.Group) *replicav1.Group {
	next := proto.CloneOf(chosen)
	if stored.Agreement.GetEpoch() >= chosen.Epoch {
		next.Agreement = stored.Agreement
	}
	return next
}
