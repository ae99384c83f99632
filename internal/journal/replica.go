package journal

import (
	"github.com/barleyshelf/barleyshelf/internal/gen/journalv1"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// Replica is one member's state machine of a shard's log. It is not safe for
// concurrent use.
type Replica struct {
	config  Config
	broken  breakage
	role    Role
	term    uint64
	vote    MemberID
	leader  MemberID
	log     entryLog
	commit  uint64
	applied uint64
	// stored is the last entry that Persisted reported; handed the last that
	// a Ready handed out to be stored.
	stored, handed uint64
	// memberships holds those set by the snapshot or genesis and by entries
	// still in the log, in the order of their index. The last is in force.
	memberships []membership
	removed     bool

	election  election
	search    search
	doubt     doubt
	leading   leading
	incoming  incomingSnapshot
	suspected map[MemberID]bool
	// wanted are the members that a leading replica moves the group toward.
	wanted []Member
	// toldLeaving says that the leader moves the group toward members without
	// this replica.
	toldLeaving bool
	// round is the last confirmation round begun in any term.
	round uint64

	stateChanged bool
	ready        Ready
}

// InitialState is what a member found in its store, or the genesis of its group.
type InitialState struct {
	State      *journalv1.State
	Index      uint64
	Term       uint64
	Membership *journalv1.Membership
	Entries    []*journalv1.Entry
}

// BootstrapState returns the beginning of a shard whose first members are given.
func BootstrapState(members []Member) InitialState {
	return InitialState{Membership: &journalv1.Membership{Members: encodeMembers(members)}}
}

// New returns a replica that goes on from what was stored. The state machine
// must stand at restored.Index.
func New(config Config, restored InitialState) *Replica {
	state := restored.State
	if state == nil {
		state = &journalv1.State{}
	}
	r := &Replica{
		config: config, term: state.Term,
		vote: MemberID{
			Node: structs.NodeID(state.VotedNode), Incarnation: structs.Incarnation(state.VotedIncarnation),
			Admission: state.VotedAdmission,
		},
		commit: restored.Index, applied: restored.Index,
		suspected: map[MemberID]bool{},
	}
	r.log.reset(restored.Index, restored.Term)
	r.memberships = []membership{newMembership(restored.Membership.GetIndex(), restored.Membership)}
	for _, entry := range restored.Entries {
		r.appendEntry(entry)
	}
	r.stored, r.handed = r.log.last(), r.log.last()
	r.commit = max(r.commit, min(state.Commit, r.log.last()))
	return r
}

// Ready returns what is to be done and forgets it.
func (r *Replica) Ready() Ready {
	ready := r.ready
	r.ready = Ready{}
	if r.stateChanged {
		ready.State = r.State()
		r.stateChanged = false
	}
	if r.handed < r.log.last() {
		ready.Entries = r.log.between(r.handed, r.log.last(), maxInt)
		r.handed = r.log.last()
	}
	if r.applied < r.commit {
		ready.CommittedEntries = r.log.between(r.applied, r.commit, maxInt)
		r.applied = r.commit
	}
	return ready
}

const maxInt = int(^uint(0) >> 1)

// HasReady reports whether Ready would return something.
func (r *Replica) HasReady() bool {
	return !r.ready.Empty() || r.stateChanged || r.handed < r.log.last() || r.applied < r.commit
}

// Persisted reports that the log up to the entry (index, term) is stored.
func (r *Replica) Persisted(index, term uint64) {
	held, known := r.log.term(index)
	if !known || held != term || index <= r.stored {
		return
	}
	r.stored = index
	if r.role == Leader {
		r.advanceCommit()
	}
}

// State returns what must not be forgotten.
func (r *Replica) State() *journalv1.State {
	state := &journalv1.State{
		Term: r.term, Commit: r.commit, Admission: r.config.Self.Admission, Removed: r.removed,
	}
	if !r.broken.forgetVote {
		state.VotedNode, state.VotedIncarnation = string(r.vote.Node), uint64(r.vote.Incarnation)
		state.VotedAdmission = r.vote.Admission
	}
	return state
}

// Tombstone returns what a removed member must keep once its log is dropped:
// the admission that is over.
func (r *Replica) Tombstone() *journalv1.State {
	return &journalv1.State{Admission: r.config.Self.Admission, Removed: true}
}

// Compact drops applied entries from the front of the log until at most
// keepBytes of entries are left. Entries after a snapshot that is being sent
// are kept a while longer, so that its receiver can go on with them.
func (r *Replica) Compact(keepBytes int) {
	limit := min(r.applied, r.stored)
	if r.leading.offered != nil && r.log.bytes < keepFactor*keepBytes {
		limit = min(limit, r.leading.offered.Index)
	}
	r.log.compact(r.log.excess(limit, keepBytes))
	for len(r.memberships) > 1 && r.memberships[1].index <= r.log.base {
		r.memberships = r.memberships[1:]
	}
}

// keepFactor bounds what Compact keeps for the receiver of a snapshot, in
// multiples of its argument.
const keepFactor = 8

// LogBytes is the size of the entries held in memory.
func (r *Replica) LogBytes() int { return r.log.bytes }

// AppliedPosition returns the index and term of the last applied entry and the
// membership as of it.
func (r *Replica) AppliedPosition() (index, term uint64, members *journalv1.Membership) {
	term, _ = r.log.term(r.applied)
	return r.applied, term, r.membershipAt(r.applied).encode()
}

// BasicStatus returns role, term, leader and the commit index.
func (r *Replica) BasicStatus() (role Role, term uint64, leader MemberID, commit, applied uint64) {
	return r.role, r.term, r.leader, r.commit, r.applied
}

// Members returns the members in force.
func (r *Replica) Members() []Member { return r.current().members }

// Self returns the identity under which the replica is a member.
func (r *Replica) Self() MemberID { return r.config.Self }

// MembershipIndex returns the index of the entry that set Members.
func (r *Replica) MembershipIndex() uint64 { return r.current().index }

// Serving reports whether the replica leads and has committed an entry of its
// own term, so that it knows all that was committed before.
func (r *Replica) Serving() bool {
	if r.role != Leader {
		return false
	}
	return r.broken.serveBeforeNoop || r.commit >= r.leading.noop
}

func (r *Replica) current() membership { return r.memberships[len(r.memberships)-1] }

func (r *Replica) membershipAt(index uint64) membership {
	found := r.memberships[0]
	for _, candidate := range r.memberships {
		if candidate.index <= index {
			found = candidate
		}
	}
	return found
}

func (r *Replica) appendEntry(entry *journalv1.Entry) {
	r.log.append(entry)
	if entry.Type == journalv1.EntryType_ENTRY_TYPE_MEMBERSHIP {
		r.memberships = append(r.memberships, newMembership(entry.Index, entry.Membership))
	}
}

func (r *Replica) truncate(last uint64) {
	r.log.truncate(last)
	r.handed = min(r.handed, last)
	r.stored = min(r.stored, last)
	for len(r.memberships) > 1 && r.current().index > last {
		r.memberships = r.memberships[:len(r.memberships)-1]
	}
}

func (r *Replica) setCommit(commit uint64) {
	if commit <= r.commit {
		return
	}
	r.commit = commit
	if r.role == Leader {
		r.noteCommitted()
	}
}

func (r *Replica) markRemoved() {
	r.removed = true
	r.ready.Removed = true
	r.becomeFollower(r.term, MemberID{})
}

func (r *Replica) sendStored(to MemberID, message *journalv1.Message) {
	r.ready.MessagesAfterStore = append(r.ready.MessagesAfterStore, r.envelope(to, message))
}

func (r *Replica) sendEarly(to MemberID, message *journalv1.Message) {
	r.ready.ImmediateMessages = append(r.ready.ImmediateMessages, r.envelope(to, message))
}

func (r *Replica) envelope(to MemberID, message *journalv1.Message) Envelope {
	message.Shard = uint32(r.config.Shard)
	message.FromAdmission, message.ToAdmission = r.config.Self.Admission, to.Admission
	return Envelope{To: to, Message: message}
}

func (r *Replica) becomeFollower(term uint64, leader MemberID) {
	if term > r.term {
		r.term = term
		r.vote = MemberID{}
		r.stateChanged = true
	}
	r.role = Follower
	r.leader = leader
	r.leading = leading{}
	r.election = election{}
	r.doubt = doubt{}
	if leader != (MemberID{}) {
		r.search = search{}
	}
}
