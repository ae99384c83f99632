// Package journal implements the replicated log of one shard. It is a state
// machine based on Raft: it takes messages and ticks, and returns messages,
// entries to store and entries to apply. It does no I/O, starts no goroutine
// and reads no clock.
//
// It differs from Raft in three ways. There are no heartbeats: a member
// campaigns only when asked to (Campaign), and an idle shard sends nothing. A
// member is identified by its node, an incarnation and an admission. A daemon
// that lost its memory, or that was removed and dropped its log, is therefore
// a different member, and counts in no majority until it is admitted again. A
// member that does not know whether its leader is alive probes it before it
// grants a pre-vote or starts a campaign.
package journal

import (
	"math/rand/v2"

	"github.com/barleyshelf/barleyshelf/internal/gen/journalv1"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// MemberID identifies a member: one admission of one incarnation of one node.
// Votes and acknowledgements given under one identity do not bind another.
type MemberID struct {
	Node        structs.NodeID
	Incarnation structs.Incarnation
	// Admission is the position of the entry that admitted the member, with
	// the term in the higher bits and the index in the lower bits. It is 0 for
	// the first members of a group. Of two admissions of one incarnation,
	// either the higher one is later or the lower one was never committed.
	Admission uint64
}

// indexBits is the width of the index in a position.
const indexBits = 40

// position combines a term and an index into a number that is ordered by term
// and then by index.
func position(term, index uint64) uint64 { return term<<indexBits | index }

// WithoutAdmission returns the identity with a zero admission. It identifies
// the incarnation of the node.
func (id MemberID) WithoutAdmission() MemberID {
	id.Admission = 0
	return id
}

// Member is one replica of a shard.
type Member struct {
	Node        structs.NodeID
	Incarnation structs.Incarnation
	Zone        structs.ZoneName
	// Disk reports whether the member stores the shard in a data directory.
	Disk bool
	// Learner reports whether the member only receives the log and counts in
	// no majority.
	Learner bool
	// Admission is set by the leader that admits the member.
	Admission uint64
}

// ID returns the member's identity.
func (m Member) ID() MemberID {
	return MemberID{Node: m.Node, Incarnation: m.Incarnation, Admission: m.Admission}
}

// Role is the role of a replica in its term.
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

// Config configures a replica. Times are in ticks, whose length the caller
// chooses.
type Config struct {
	Shard structs.ShardID
	Self  MemberID
	// Random randomizes the election timeouts.
	Random *rand.Rand
	// ElectionTicks is the minimum time after which vote requests are
	// repeated. The actual time is random in [ElectionTicks, 2*ElectionTicks).
	ElectionTicks int
	// ProbeTicks is the time after which an unanswered probe of the leader
	// fails.
	ProbeTicks int
	// CampaignTicks is the time after which an unsuccessful campaign ends.
	CampaignTicks int
	// RetransmitTicks is the time after which unacknowledged messages are sent
	// again.
	RetransmitTicks int
	// QuorumTicks is the time after which a leader with outstanding work steps
	// down if no majority answers.
	QuorumTicks int
	// MaxAppendBytes is the maximum size of the entries in one message.
	MaxAppendBytes int
	// MaxInflightBytes is the maximum size of the unacknowledged data sent to
	// one member.
	MaxInflightBytes int
	// MaxUncommittedBytes is the maximum size of the uncommitted entries.
	// Propose returns an error above it.
	MaxUncommittedBytes int
	// SnapshotChunkBytes is the size of one chunk of a snapshot.
	SnapshotChunkBytes int
}

// DefaultConfig returns the configuration for ticks of 20 ms.
func DefaultConfig(shard structs.ShardID, self MemberID, random *rand.Rand) Config {
	return Config{
		Shard: shard, Self: self, Random: random,
		ElectionTicks: 4, ProbeTicks: 4, CampaignTicks: 100,
		RetransmitTicks: 4, QuorumTicks: 75,
		MaxAppendBytes: 256 << 10, MaxInflightBytes: 4 << 20,
		MaxUncommittedBytes: 16 << 20, SnapshotChunkBytes: 256 << 10,
	}
}

// Envelope is a message and its recipient, which may be the sender.
type Envelope struct {
	To      MemberID
	Message *journalv1.Message
}

// Snapshot is the state of a shard after the entry at Index is applied.
type Snapshot struct {
	Index      uint64
	Term       uint64
	Membership *journalv1.Membership
	Data       []byte
}

// Ready is the work that a replica requests, in this order: send
// ImmediateMessages; store Snapshot, State and Entries; send
// MessagesAfterStore and call Persisted; restore Snapshot; apply
// CommittedEntries.
type Ready struct {
	// ImmediateMessages do not depend on anything being stored.
	ImmediateMessages []Envelope
	// Snapshot replaces the whole log and state, or is nil.
	Snapshot *Snapshot
	// State must be stored, or is nil.
	State *journalv1.State
	// Entries must be stored. They replace all stored entries from the index
	// of the first one on.
	Entries []*journalv1.Entry
	// MessagesAfterStore may be sent only after all of the above is stored.
	MessagesAfterStore []Envelope
	// CommittedEntries must be applied.
	CommittedEntries []*journalv1.Entry
	// ConfirmedRound is the highest confirmation round that a majority
	// answered.
	ConfirmedRound uint64
	// SnapshotNeeded requests a call of OfferSnapshot with the state at
	// AppliedPosition.
	SnapshotNeeded bool
	// Removed is set if a committed membership no longer includes the replica.
	Removed bool
}

// Empty reports whether there is no work.
func (r *Ready) Empty() bool {
	return len(r.ImmediateMessages) == 0 && r.Snapshot == nil && r.State == nil &&
		len(r.Entries) == 0 && len(r.MessagesAfterStore) == 0 && len(r.CommittedEntries) == 0 &&
		r.ConfirmedRound == 0 && !r.SnapshotNeeded && !r.Removed
}

// injectedFaults disable single rules of the protocol. Only tests set them, to
// check that the violations are detected.
type injectedFaults struct {
	commitWithoutMajority  bool
	commitOlderTerms       bool
	allowConcurrentChanges bool
	forgetVote             bool
	skipLogMatching        bool
	skipUpToDateCheck      bool
	serveBeforeFirstEntry  bool
	confirmWithoutMajority bool
	acknowledgeBeforeStore bool
	countVoteBeforeStore   bool
	reuseAdmission         bool
	countLearners          bool
}
