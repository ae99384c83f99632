// Package journal is the replicated log of one shard: a state machine in the
// manner of Raft that takes messages and ticks and gives back messages, entries
// to store and entries to apply. It does no I/O, starts no goroutine and reads
// no clock.
//
// It differs from plain Raft in three ways. There are no heartbeats: a member
// campaigns only when asked to (Campaign), and an idle shard sends nothing. A
// member is a node together with an incarnation and an admission, so that a
// daemon that lost its memory, or that was removed and dropped its log, is
// another member, which counts in no majority until it was admitted anew. A member that doubts its leader probes it before it grants or
// starts a campaign.
package journal

import (
	"math/rand/v2"

	"github.com/barleyshelf/barleyshelf/internal/gen/journalv1"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// MemberID identifies a member: one admission of one life of one daemon. What
// was promised under one identity binds no other.
type MemberID struct {
	Node        structs.NodeID
	Incarnation structs.Incarnation
	// Admission is the position of the entry that admitted the member, its term
	// before its index; 0 for the first members of a group. Of two admissions
	// of a life, the higher one is later, or the lower one was never committed.
	Admission uint64
}

// indexBits is the width of the index in a position.
const indexBits = 40

// position orders entries by their term and then their index.
func position(term, index uint64) uint64 { return term<<indexBits | index }

// WithoutAdmission returns the identity without its admission.
func (id MemberID) WithoutAdmission() MemberID {
	id.Admission = 0
	return id
}

// Member is one replica of a shard.
type Member struct {
	Node        structs.NodeID
	Incarnation structs.Incarnation
	Zone        structs.ZoneName
	// Disk says that the member keeps the shard in a data folder.
	Disk bool
	// Learner members receive the log and count in no majority.
	Learner bool
	// Admission is set by the leader that admits the member.
	Admission uint64
}

// ID returns the member's identity.
func (m Member) ID() MemberID {
	return MemberID{Node: m.Node, Incarnation: m.Incarnation, Admission: m.Admission}
}

// Role is what a replica does in its term.
type Role int

// The roles of a replica.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String returns the role's name.
func (r Role) String() string {
	names := [...]string{"follower", "pre-candidate", "candidate", "leader"}
	return names[r]
}

// Config holds a replica's constants. Ticks are the caller's unit of time.
type Config struct {
	Shard structs.ShardID
	Self  MemberID
	// Random spreads election timeouts.
	Random *rand.Rand
	// ElectionTicks is the least time after which a campaign is repeated; the
	// time is drawn from [ElectionTicks, 2*ElectionTicks).
	ElectionTicks int
	// ProbeTicks is how long a leader may leave a probe unanswered.
	ProbeTicks int
	// CampaignTicks is how long a campaign goes on without success.
	CampaignTicks int
	// RetransmitTicks is the time after which unacknowledged work is sent again.
	RetransmitTicks int
	// QuorumTicks is how long a leader with work outstanding goes on without
	// an answer from a majority.
	QuorumTicks int
	// MaxAppendBytes bounds the entries of one message.
	MaxAppendBytes int
	// MaxInflightBytes bounds what is sent to one member and not acknowledged.
	MaxInflightBytes int
	// MaxUncommittedBytes bounds the entries that are not yet committed.
	MaxUncommittedBytes int
	// SnapshotChunkBytes is the size of one chunk of a snapshot.
	SnapshotChunkBytes int
}

// DefaultConfig returns the constants for ticks of 20 ms.
func DefaultConfig(shard structs.ShardID, self MemberID, random *rand.Rand) Config {
	return Config{
		Shard: shard, Self: self, Random: random,
		ElectionTicks: 4, ProbeTicks: 4, CampaignTicks: 100,
		RetransmitTicks: 4, QuorumTicks: 75,
		MaxAppendBytes: 256 << 10, MaxInflightBytes: 4 << 20,
		MaxUncommittedBytes: 16 << 20, SnapshotChunkBytes: 256 << 10,
	}
}

// Envelope is a message and the member it is for, which may be the sender.
type Envelope struct {
	To      MemberID
	Message *journalv1.Message
}

// Snapshot is the state of a shard after the entry at Index.
type Snapshot struct {
	Index      uint64
	Term       uint64
	Membership *journalv1.Membership
	Data       []byte
}

// Ready is what a replica wants done, in this order: send Early; store
// Snapshot, State and Entries; then send Messages and call Persisted; restore
// Snapshot; apply Committed and call Applied.
type Ready struct {
	// ImmediateMessages messages do not depend on anything being stored.
	ImmediateMessages []Envelope
	// Snapshot replaces the whole log and state, or is nil.
	Snapshot *Snapshot
	// State is to be stored, or is nil.
	State *journalv1.State
	// Entries are to be stored; they replace stored entries from the same
	// index on.
	Entries []*journalv1.Entry
	// MessagesAfterStore may be sent only when all of the above is stored.
	MessagesAfterStore []Envelope
	// CommittedEntries entries are to be applied.
	CommittedEntries []*journalv1.Entry
	// ConfirmedRound is the highest confirmation round that a majority answered.
	ConfirmedRound uint64
	// SnapshotNeeded asks for OfferSnapshot of the state after Applied.
	SnapshotNeeded bool
	// Removed says that a committed membership no longer names the replica.
	Removed bool
}

// Empty reports whether there is nothing to do.
func (r *Ready) Empty() bool {
	return len(r.ImmediateMessages) == 0 && r.Snapshot == nil && r.State == nil &&
		len(r.Entries) == 0 && len(r.MessagesAfterStore) == 0 && len(r.CommittedEntries) == 0 &&
		r.ConfirmedRound == 0 && !r.SnapshotNeeded && !r.Removed
}

// breakage switches single rules of the protocol off. Tests set it to show
// that the checker notices; nothing else does.
type breakage struct {
	commitAlone         bool
	countOlderTerms     bool
	concurrentChanges   bool
	forgetVote          bool
	skipLogMatching     bool
	skipElectionCheck   bool
	serveBeforeNoop     bool
	confirmAlone        bool
	acknowledgeUnstored bool
	countUnstoredVote   bool
	reuseAdmission      bool
	learnersCount       bool
}
