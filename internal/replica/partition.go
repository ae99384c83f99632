package replica

import (
	"time"

	"github.com/barleyshelf/barleyshelf/internal/directory"
	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
	"github.com/barleyshelf/barleyshelf/internal/loan"
	"github.com/barleyshelf/barleyshelf/internal/quorum"
	"github.com/barleyshelf/barleyshelf/internal/turn"
)

// partitionState is the state of one partition on one replica: the group, this folder's identity,
// the incarnations seen of other seats, the records, and the loan accounts. It is not safe for
// concurrent use.
type partitionState struct {
	number           uint32
	store            *turn.Store
	group            *replicav1.Group
	identity         *replicav1.Identity
	seenIncarnations map[uint32]uint64
	// agreement is what this folder has promised and accepted about the group that follows group. It
	// is void if its epoch differs from that of group.
	agreement *replicav1.Agreement
	// accounts holds the accounts of loans that were made to this folder. They are local: other
	// replicas do not copy them.
	accounts *loan.AccountSet
	now      func() time.Time
}

func newPartitionState(partition uint32, now func() time.Time) *partitionState {
	return &partitionState{
		number: partition, store: turn.NewStore(), seenIncarnations: make(map[uint32]uint64),
		accounts: loan.NewAccountSet(quorum.SettleDelay), now: now,
	}
}

// apply applies a record and reports whether it changed anything.
func (p *partitionState) apply(record *replicav1.Record) bool {
	switch kind := record.Kind.(type) {
	case *replicav1.Record_Identity:
		if p.identity.GetIncarnation() != kind.Identity.Incarnation {
			// The incarnation seen in this seat so far belongs to a previous holder. If it were
			// kept, this folder would always report that its own incarnation is not the newest.
			delete(p.seenIncarnations, kind.Identity.Seat)
		}
		p.identity = kind.Identity
	case *replicav1.Record_Incarnation:
		if p.seenIncarnations[kind.Incarnation.Seat] == kind.Incarnation.Incarnation {
			return false
		}
		p.seenIncarnations[kind.Incarnation.Seat] = kind.Incarnation.Incarnation
	case *replicav1.Record_Group:
		if p.group != nil && (p.group.Epoch >= kind.Group.Epoch || !directory.AcceptsGroup(p.group.System, kind.Group)) {
			return false
		}
		p.setGroup(kind.Group)
	case *replicav1.Record_Agreement:
		return p.applyAgreement(kind.Agreement)
	case *replicav1.Record_Account:
		return p.accounts.Apply(p.now(), kind.Account, time.Duration(record.RetentionMs)*time.Millisecond)
	default:
		return p.store.Apply(p.now(), record)
	}
	return true
}

// setGroup sets a newer group. If this folder regains its seat, the incarnation seen in it
// meanwhile is dropped: that node no longer holds the seat.
func (p *partitionState) setGroup(group *replicav1.Group) {
	_, heldBefore := p.member()
	p.group = group
	if _, holds := p.member(); holds && !heldBefore {
		delete(p.seenIncarnations, p.identity.Seat)
	}
}

// member returns this node's member in the group, if the folder's identity belongs to a present
// recovery.
func (p *partitionState) member() (*replicav1.Member, bool) {
	if p.group == nil || p.identity == nil {
		return nil, false
	}
	for _, member := range p.group.Members {
		if member.Seat == p.identity.Seat && member.Claim == p.identity.Claim {
			return member, true
		}
	}
	return nil, false
}

// standing returns this replica's standing for a caller that knows an epoch.
func (p *partitionState) standing(epoch uint64) *replicav1.Standing {
	standing := &replicav1.Standing{}
	if p.group != nil {
		standing.Epoch = p.group.Epoch
		if epoch < p.group.Epoch {
			standing.Group = p.group
		}
	}
	if p.identity != nil {
		_, standing.Member = p.member()
		standing.Seat, standing.Claim = p.identity.Seat, p.identity.Claim
		standing.Incarnation = p.identity.Incarnation
		standing.Recovered = p.identity.Recovered
		standing.Copied = p.identity.Copied
	}
	standing.Agrees = true
	for seat, incarnation := range p.seenIncarnations {
		standing.Seen = append(standing.Seen, &replicav1.SeatIncarnation{Seat: seat, Incarnation: incarnation})
	}
	return standing
}

// metadataRecords returns the records of the partition outside the turn store.
func (p *partitionState) metadataRecords() (records []*replicav1.Record) {
	if p.identity != nil {
		records = append(records, identityRecord(p.number, p.identity))
	}
	if p.group != nil {
		records = append(records, groupRecord(p.group))
	}
	if p.agreement != nil {
		records = append(records, agreementRecord(p.number, p.agreement))
	}
	for seat, incarnation := range p.seenIncarnations {
		records = append(records, incarnationRecord(p.number, seat, incarnation))
	}
	for _, account := range p.accounts.Accounts() {
		records = append(records, accountRecord(p.number, account.Account, account.Retention))
	}
	return records
}

func groupRecord(group *replicav1.Group) *replicav1.Record {
	return &replicav1.Record{Partition: group.Partition, Kind: &replicav1.Record_Group{Group: group}}
}

func identityRecord(partition uint32, identity *replicav1.Identity) *replicav1.Record {
	return &replicav1.Record{Partition: partition, Kind: &replicav1.Record_Identity{Identity: identity}}
}

func incarnationRecord(partition, seat uint32, incarnation uint64) *replicav1.Record {
	seen := &replicav1.SeatIncarnation{Seat: seat, Incarnation: incarnation}
	return &replicav1.Record{Partition: partition, Kind: &replicav1.Record_Incarnation{Incarnation: seen}}
}
