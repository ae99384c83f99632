package journal

import (
	"github.com/barleyshelf/barleyshelf/internal/gen/journalv1"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// Replica is the state machine of one member of a shard's log. It is not safe
// for concurrent use.
type Replica struct {
	config       Config
	injected     injectedFaults
	role         Role
	term         uint64
	votedFor     MemberID
	leader       MemberID
	log          entryLog
	commitIndex  uint64
	appliedIndex uint64
	// storedIndex is the last entry reported by Persisted, handedOutIndex the
	// last entry that a Ready returned for storing.
	storedIndex, handedOutIndex uint64
	// memberships holds the membership of the snapshot or of the initial state
	// and those of entries still in the log, ordered by index. The last one is
	// current.
	memberships []membership
	removed     bool

	election    election
	voteAnswers voteAnswers
	leaderProbe leaderProbe
	leaderState leaderState
	incoming    incomingSnapshot
	suspected   map[MemberID]bool
	// desiredVoters are the members toward which a leader moves the group.
	desiredVoters []Member
	// leavingReportedByLeader is set if the leader is moving the group toward
	// members without this replica.
	leavingReportedByLeader bool
	// confirmationRound is the last confirmation round started in any term.
	confirmationRound uint64

	stateChanged bool
	ready        Ready
}

// InitialState is what a member loaded from its store, or the BootstrapState of
// its group.
type InitialState struct {
	State      *journalv1.State
	Index      uint64
	Term       uint64
	Membership *journalv1.Membership
	Entries    []*journalv1.Entry
}

// BootstrapState returns the initial state of a shard with the given first members.
func BootstrapState(members []Member) InitialState {
	return InitialState{Membership: &journalv1.Membership{Members: encodeMembers(members)}}
}

// New returns a replica that continues from the initial state. The applied
// state of the shard must be at initial.Index.
func New(config Config, initial InitialState) *Replica {
	state := initial.State
	if state == nil {
		state = &journalv1.State{}
	}
	r := &Replica{
		config: config, term: state.Term,
		votedFor: MemberID{
			Node: structs.NodeID(state.VotedNode), Incarnation: structs.Incarnation(state.VotedIncarnation),
			Admission: state.VotedAdmission,
		},
		commitIndex: initial.Index, appliedIndex: initial.Index,
		suspected: map[MemberID]bool{},
	}
	r.log.reset(initial.Index, initial.Term)
	r.memberships = []membership{newMembership(initial.Membership.GetIndex(), initial.Membership)}
	for _, entry := range initial.Entries {
		r.appendEntry(entry)
	}
	r.storedIndex, r.handedOutIndex = r.log.lastIndex(), r.log.lastIndex()
	r.commitIndex = max(r.commitIndex, min(state.Commit, r.log.lastIndex()))
	return r
}

// Ready returns the pending work and marks it as handed out.
func (r *Replica) Ready() Ready {
	ready := r.ready
	r.ready = Ready{}
	if r.stateChanged {
		ready.State = r.State()
		r.stateChanged = false
	}
	if r.handedOutIndex < r.log.lastIndex() {
		ready.Entries = r.log.entriesBetween(r.handedOutIndex, r.log.lastIndex(), maxInt)
		r.handedOutIndex = r.log.lastIndex()
	}
	if r.appliedIndex < r.commitIndex {
		ready.CommittedEntries = r.log.entriesBetween(r.appliedIndex, r.commitIndex, maxInt)
		r.appliedIndex = r.commitIndex
	}
	return ready
}

const maxInt = int(^uint(0) >> 1)

// HasReady reports whether Ready would return work.
func (r *Replica) HasReady() bool {
	return !r.ready.Empty() || r.stateChanged || r.handedOutIndex < r.log.lastIndex() || r.appliedIndex < r.commitIndex
}

// Persisted reports that the log up to the entry (index, term) is stored.
func (r *Replica) Persisted(index, term uint64) {
	ownTerm, found := r.log.term(index)
	if !found || ownTerm != term || index <= r.storedIndex {
		return
	}
	r.storedIndex = index
	if r.role == Leader {
		r.advanceCommit()
	}
}

// State returns the state that must survive a restart.
func (r *Replica) State() *journalv1.State {
	state := &journalv1.State{
		Term: r.term, Commit: r.commitIndex, Admission: r.config.Self.Admission, Removed: r.removed,
	}
	if !r.injected.forgetVote {
		state.VotedNode, state.VotedIncarnation = string(r.votedFor.Node), uint64(r.votedFor.Incarnation)
		state.VotedAdmission = r.votedFor.Admission
	}
	return state
}

// Tombstone returns what a removed member must keep after its log is dropped:
// the admission that has ended.
func (r *Replica) Tombstone() *journalv1.State {
	return &journalv1.State{Admission: r.config.Self.Admission, Removed: true}
}

// Compact drops applied entries from the front of the log until at most
// keepBytes of entries are left. Entries after a snapshot that is being sent
// are kept longer, so that its receiver can continue with them.
func (r *Replica) Compact(keepBytes int) {
	limit := min(r.appliedIndex, r.storedIndex)
	if r.leaderState.offeredSnapshot != nil && r.log.bytes < snapshotKeepFactor*keepBytes {
		limit = min(limit, r.leaderState.offeredSnapshot.Index)
	}
	r.log.compact(r.log.compactionIndex(limit, keepBytes))
	for len(r.memberships) > 1 && r.memberships[1].index <= r.log.baseIndex {
		r.memberships = r.memberships[1:]
	}
}

// snapshotKeepFactor limits what Compact keeps for the receiver of a snapshot,
// in multiples of its argument.
const snapshotKeepFactor = 8

// LogBytes returns the size of the entries in memory.
func (r *Replica) LogBytes() int { return r.log.bytes }

// AppliedPosition returns the index and term of the last applied entry and the
// membership at that entry.
func (r *Replica) AppliedPosition() (index, term uint64, members *journalv1.Membership) {
	term, _ = r.log.term(r.appliedIndex)
	return r.appliedIndex, term, r.membershipAt(r.appliedIndex).encode()
}

// BasicStatus returns the role, term, leader, commit index and applied index.
func (r *Replica) BasicStatus() (role Role, term uint64, leader MemberID, commit, applied uint64) {
	return r.role, r.term, r.leader, r.commitIndex, r.appliedIndex
}

// Members returns the members of the current membership.
func (r *Replica) Members() []Member { return r.currentMembership().members }

// Self returns the replica's own identity.
func (r *Replica) Self() MemberID { return r.config.Self }

// MembershipIndex returns the index of the entry that set the current
// membership.
func (r *Replica) MembershipIndex() uint64 { return r.currentMembership().index }

// Serving reports whether the replica is the leader and has committed an entry
// of its own term. It then knows all entries that were committed before.
func (r *Replica) Serving() bool {
	if r.role != Leader {
		return false
	}
	return r.injected.serveBeforeFirstEntry || r.commitIndex >= r.leaderState.firstIndex
}

func (r *Replica) currentMembership() membership { return r.memberships[len(r.memberships)-1] }

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
	r.handedOutIndex = min(r.handedOutIndex, last)
	r.storedIndex = min(r.storedIndex, last)
	for len(r.memberships) > 1 && r.currentMembership().index > last {
		r.memberships = r.memberships[:len(r.memberships)-1]
	}
}

func (r *Replica) setCommit(commit uint64) {
	if commit <= r.commitIndex {
		return
	}
	r.commitIndex = commit
	if r.role == Leader {
		r.checkOwnRemoval()
	}
}

func (r *Replica) markRemoved() {
	r.removed = true
	r.ready.Removed = true
	r.becomeFollower(r.term, MemberID{})
}

func (r *Replica) sendAfterStore(to MemberID, message *journalv1.Message) {
	r.ready.MessagesAfterStore = append(r.ready.MessagesAfterStore, r.envelope(to, message))
}

func (r *Replica) sendImmediately(to MemberID, message *journalv1.Message) {
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
		r.votedFor = MemberID{}
		r.stateChanged = true
	}
	r.role = Follower
	r.leader = leader
	r.leaderState = leaderState{}
	r.election = election{}
	r.leaderProbe = leaderProbe{}
	if leader != (MemberID{}) {
		r.voteAnswers = voteAnswers{}
	}
}
