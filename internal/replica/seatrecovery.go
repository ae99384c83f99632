package replica

import (
	"context"
	"math/bits"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
	"github.com/barleyshelf/barleyshelf/internal/pause"
)

const (
	// seatPollInterval is the interval at which a node compares its seats with the groups. It is
	// short compared to the seconds that a copy takes.
	seatPollInterval = 60 * time.Millisecond
	// maxConcurrentCopies is the number of seats that a node fills at a time. Each has up to three
	// sources with a chunk of maxChunkBytes in flight, which is 3 MB in total.
	maxConcurrentCopies = 2
	// pullTimeout bounds the copy of one chunk, which takes some ten milliseconds between healthy
	// machines.
	pullTimeout = 1500 * time.Millisecond
	// firstLoggedAttempt is the number of consecutive insufficient attempts, a power of two, after
	// which a pending copy is logged. Copies between healthy machines succeed earlier.
	firstLoggedAttempt = 4
)

// reconcileSeats adapts this node's identities to the groups. For a seat that the data folder has
// no identity for, it starts a new incarnation, which then receives the records of the seat. Each
// recovery has its own goroutine, so that an unresponsive source delays only one seat.
func (r *Replica) reconcileSeats(ctx context.Context) {
	maintained := make(map[uint32]bool)
	for pause.For(ctx, seatPollInterval) {
		for _, group := range r.directory.Groups() {
			if group == nil || maintained[group.Partition] || !r.hasSeatOrIdentity(group) {
				continue
			}
			maintained[group.Partition] = true
			go r.maintainSeat(ctx, group.Partition)
		}
	}
}

// hasSeatOrIdentity reports whether this node has a seat in a group, or had one.
func (r *Replica) hasSeatOrIdentity(group *replicav1.Group) bool {
	return memberForNode(group, r.options.Node) != nil || r.state.currentIdentity(group.Partition) != nil
}

// maintainSeat adapts this node's identity in one partition to the group.
func (r *Replica) maintainSeat(ctx context.Context, partition uint32) {
	recovery := &seatRecovery{replica: r}
	strayLogged := false
	for pause.For(ctx, seatPollInterval) {
		group := r.directory.Group(partition)
		if r.hasStraySeat(group) {
			if !strayLogged {
				eventStraySeat.Log("partition", partition, "region", group.Region, "zone", r.options.Zone)
			}
			strayLogged = true
			continue
		}
		strayLogged = false
		if err := r.state.write(groupRecord(group)); err != nil {
			r.writeFailures.log(err)
			continue
		}
		if member := memberForNode(group, r.options.Node); member != nil {
			recovery.step(ctx, group, member)
		}
	}
}

// seatRecovery recovers this node's seat in one partition. It is used by one goroutine.
type seatRecovery struct {
	replica *Replica
	// copy is the progress of the present incarnation in copying the records of the seat, or nil if
	// nothing has to be copied.
	copy *seatCopy
}

// step performs the next step of the recovery.
func (s *seatRecovery) step(ctx context.Context, group *replicav1.Group, member *replicav1.Member) {
	r := s.replica
	identity := r.state.currentIdentity(group.Partition)
	started := identity != nil && identity.Seat == member.Seat && identity.Claim == member.Claim
	switch {
	case started && identity.Recovered:
		return
	case started && hasReceived(member, identity) && !isNewSeat(member):
		s.markRecovered(ctx, group, member, identity)
		return
	case r.hasNothingToRecover(group, member, identity):
		r.startIncarnation(group, member, true)
		return
	case !started:
		if !r.startIncarnation(group, member, false) {
			return
		}
		identity = r.state.currentIdentity(group.Partition)
		s.copy = s.copy.forNewSeat()
	case s.copy == nil:
		// The process was restarted and keeps its incarnation: the members may have agreed on a
		// group, unknown here, in which this incarnation has received its seat. An incomplete copy
		// starts again, because its progress was kept in memory.
		s.copy = newSeatCopy()
		s.copy.done = identity.Copied
	}
	done := s.copy.pendingStage(member, identity)
	if !*done {
		if !pause.For(ctx, s.copy.backoff()) || !s.copyRecords(ctx, group, member, identity) {
			return
		}
		*done = true
	}
	if inTransfer(member) {
		s.proposeTransferComplete(ctx, group, member, identity)
		return
	}
	s.markRecovered(ctx, group, member, identity)
}

// proposeTransferComplete records that this node has copied the records of its seat, and proposes
// the group that says so. The other members learn it from the standing and propose the same group,
// in case the store is unavailable to this node.
func (s *seatRecovery) proposeTransferComplete(ctx context.Context, group *replicav1.Group, member *replicav1.Member, identity *replicav1.Identity) {
	r := s.replica
	if !identity.Copied {
		identity = proto.CloneOf(identity)
		identity.Copied = true
		if err := r.state.write(identityRecord(group.Partition, identity)); err != nil {
			s.replica.writeFailures.log(err)
			return
		}
	}
	r.propose(ctx, r.groupStatus(group), groupWithTransferComplete(group, member.Seat, identity.Incarnation), changeTransferComplete)
	if r.directory.Group(group.Partition).GetEpoch() == group.Epoch {
		pause.For(ctx, reconcileInterval)
	}
}

// markRecovered records that this node holds all records of its seat, and announces it immediately:
// until the other members know the new incarnation, their answers do not count together with this
// node's.
func (s *seatRecovery) markRecovered(ctx context.Context, group *replicav1.Group, member *replicav1.Member, identity *replicav1.Identity) {
	recovered := proto.CloneOf(identity)
	recovered.Recovered, recovered.Copied = true, false
	// The seat had no vote before this incarnation received its records.
	recovered.KnowsStore = hasReceived(member, identity)
	if err := s.replica.state.write(identityRecord(group.Partition, recovered)); err != nil {
		s.replica.writeFailures.log(err)
		return
	}
	s.copy = nil
	eventRecovered.Log("partition", group.Partition, "seat", identity.Seat, "epoch", group.Epoch)
	s.replica.announceGroup(ctx, group)
}

func memberForNode(group *replicav1.Group, node string) *replicav1.Member {
	for _, member := range group.Members {
		if member.Node == node {
			return member
		}
	}
	return nil
}

// hasNothingToRecover reports whether a seat starts without a copy: this folder was begun before the
// first group was formed and has the seat since then, or there is no other member.
func (r *Replica) hasNothingToRecover(group *replicav1.Group, member *replicav1.Member, identity *replicav1.Identity) bool {
	first := r.state.isFromFirstStart() && identity == nil && member.Claim == firstEpoch
	return first || len(group.Members) == 1
}

// startIncarnation writes a new incarnation and reports whether it is on the disk.
func (r *Replica) startIncarnation(group *replicav1.Group, member *replicav1.Member, recovered bool) bool {
	identity := &replicav1.Identity{
		Seat: member.Seat, Claim: member.Claim, Incarnation: rand.Uint64() | 1, Recovered: recovered,
		KnowsStore: recovered && len(group.Members) > 1,
	}
	if err := r.state.write(identityRecord(group.Partition, identity)); err != nil {
		r.writeFailures.log(err)
		return false
	}
	eventIncarnationStarted.Log("partition", group.Partition, "seat", member.Seat, "claim", member.Claim, "recovered", recovered)
	return true
}

// copyRecords makes one attempt to copy all records from enough recovered members that no
// acknowledged record can be missing or, if the seat is in transfer, from its previous holder. It
// returns false if more attempts are needed.
func (s *seatRecovery) copyRecords(ctx context.Context, group *replicav1.Group, member *replicav1.Member, identity *replicav1.Identity) bool {
	r := s.replica
	select {
	case r.copySlots <- struct{}{}:
		defer func() { <-r.copySlots }()
	case <-ctx.Done():
		return false
	}
	start := time.Now()
	attempt := s.startAttempt(ctx, group, member, identity)
	defer attempt.stop()
	standings, sufficient, gotRecords := attempt.collect()
	if sufficient == nil {
		s.copy.recordFailure(gotRecords)
		r.copyReports.set(group.Partition, reportInsufficientAttempt(attempt.copyGroup, attempt.finished, s.copy.failedAttempts))
		s.logPendingCopy(group, member, attempt.queried, standings)
		return false
	}
	r.copyReports.clear(group.Partition)
	records := incarnationRecordsFrom(sufficient, group.Partition, member.Seat)
	for _, agreement := range attempt.agreements {
		if agreement != nil {
			records = append(records, agreementRecord(group.Partition, agreement))
		}
	}
	if err := r.state.write(records...); err != nil {
		s.replica.writeFailures.log(err)
		return false
	}
	eventCopied.Log("partition", group.Partition, "seat", member.Seat, "epoch", group.Epoch,
		"sources", len(sufficient), "milliseconds", time.Since(start).Milliseconds())
	return true
}

// logPendingCopy logs, at exponentially growing intervals, which sources an insufficient copy waits
// for.
func (s *seatRecovery) logPendingCopy(group *replicav1.Group, member *replicav1.Member, queried []*replicav1.Member, standings []*replicav1.Standing) {
	failed := s.copy.failedAttempts
	if failed < firstLoggedAttempt || bits.OnesCount(uint(failed)) != 1 {
		return
	}
	needed, _ := sourcesNeeded(group)
	eventCopyPending.Log("partition", group.Partition, "seat", member.Seat, "epoch", group.Epoch, "attempts", failed,
		"needed", needed, "asked", nodeNames(queried), "whole", seatNumbers(standings))
}

func nodeNames(members []*replicav1.Member) (nodes []string) {
	for _, member := range members {
		nodes = append(nodes, member.Node)
	}
	return nodes
}

// seatNumbers returns the seats of the sources that were copied completely and are recovered.
func seatNumbers(standings []*replicav1.Standing) (seats []uint32) {
	for _, standing := range standings {
		seats = append(seats, standing.Seat)
	}
	return seats
}
