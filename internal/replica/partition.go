package replica

import (
	"time"

	"github.com/barleyshelf/barleyshelf/internal/directory"
	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
	"github.com/barleyshelf/barleyshelf/internal/loan"
	"github.com/barleyshelf/barleyshelf/internal/quorum"
	"github.com/barleyshelf/barleyshelf/internal/turn"
)

// partitionState is what one replica knows of one partition: its group, this folder's
// seat there, the incarnations seen of the other seats, and the records. It is not
// safe for concurrent use.
type partitionState struct {
	partition uint32
	store     *turn.Store
	group     *replicav1.Group
	identity  *replicav1.Identity
	seen      map[uint32]uint64
	// book is the accounts of loans that this folder holds. They are its own: no other
	// replica copies them.
	book *loan.AccountSet
	now  func() time.Time
}

func newPartitionState(partition uint32, now func() time.Time) *partitionState {
	return &partitionState{
		partition: partition, store: turn.NewStore(), seen: make(map[uint32]uint64),
		book: loan.NewAccountSet(quorum.SettleDelay), now: now,
	}
}

// apply takes a record and reports whether it changed anything.
func (p *partitionState) apply(record *replicav1.Record) bool {
	switch kind := record.Kind.(type) {
	case *replicav1.Record_Identity:
		if p.identity.GetIncarnation() != kind.Identity.Incarnation {
			// What was seen of the seat until now was of its holders before. Kept, it would
			// say for ever that this one is not the newest.
			delete(p.seen, kind.Identity.Seat)
		}
		p.identity = kind.Identity
	case *replicav1.Record_Incarnation:
		if p.seen[kind.Incarnation.Seat] == kind.Incarnation.Incarnation {
			return false
		}
		p.seen[kind.Incarnation.Seat] = kind.Incarnation.Incarnation
	case *replicav1.Record_Group:
		if p.group != nil && (p.group.Epoch >= kind.Group.Epoch || !directory.AcceptsGroup(p.group.System, kind.Group)) {
			return false
		}
		p.takeGroup(kind.Group)
	case *replicav1.Record_Account:
		return p.book.Apply(p.now(), kind.Account, time.Duration(record.RetentionMs)*time.Millisecond)
	default:
		return p.store.Apply(p.now(), record)
	}
	return true
}

// takeGroup takes a newer group. Whoever was seen in a seat that this folder gets back has not
// held it.
func (p *partitionState) takeGroup(group *replicav1.Group) {
	_, before := p.member()
	p.group = group
	if _, holds := p.member(); holds && !before {
		delete(p.seen, p.identity.Seat)
	}
}

// member returns this node's seat in the group, if it has one that its folder
// was begun for.
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

// standing describes this replica's seat to a caller that knows an epoch.
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
	for seat, incarnation := range p.seen {
		standing.Seen = append(standing.Seen, &replicav1.SeatIncarnation{Seat: seat, Incarnation: incarnation})
	}
	return standing
}

// ownRecords returns what this replica knows of itself and the group.
func (p *partitionState) ownRecords() (records []*replicav1.Record) {
	if p.identity != nil {
		records = append(records, identityRecord(p.partition, p.identity))
	}
	if p.group != nil {
		records = append(records, groupRecord(p.group))
	}
	for seat, incarnation := range p.seen {
		records = append(records, incarnationRecord(p.partition, seat, incarnation))
	}
	for _, account := range p.book.Accounts() {
		records = append(records, accountRecord(p.partition, account.Account, account.Retention))
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
