package journal

import (
	"github.com/barleyshelf/barleyshelf/internal/gen/journalv1"
)

// election is the state of a campaign.
type election struct {
	granted map[MemberID]bool
	// retryTicksLeft and giveUpTicksLeft are the ticks until the vote requests
	// are repeated and until the campaign ends.
	retryTicksLeft, giveUpTicksLeft int
	// isTransfer is set if the previous leader asked for the election.
	isTransfer bool
	// yieldTicksLeft is the number of ticks for which the replica does not
	// campaign because it yielded to another candidate.
	yieldTicksLeft int
}

// LeaderSearch describes, for logs, the attempts of a replica to find a leader
// since it last knew one.
type LeaderSearch struct {
	// Rounds is the number of vote rounds that it started.
	Rounds int
	// Granted, Refused and Unanswered group the other voters by their answer
	// in the last round.
	Granted, Refused, Unanswered []MemberID
}

// LeaderSearch returns the state of the search for a leader. It is empty if a
// leader is known.
func (r *Replica) LeaderSearch() LeaderSearch {
	if r.leader != (MemberID{}) || r.role == Leader {
		return LeaderSearch{}
	}
	search := LeaderSearch{Rounds: r.voteAnswers.rounds}
	for _, member := range r.currentMembership().members {
		id := member.ID()
		switch {
		case member.Learner || id == r.config.Self:
		case r.voteAnswers.granted[id]:
			search.Granted = append(search.Granted, id)
		case r.voteAnswers.refused[id]:
			search.Refused = append(search.Refused, id)
		default:
			search.Unanswered = append(search.Unanswered, id)
		}
	}
	return search
}

// voteAnswers is the state that LeaderSearch reports. Unlike election, it is
// kept when a campaign is given up.
type voteAnswers struct {
	rounds           int
	granted, refused map[MemberID]bool
}

// leaderProbe is the state of a probe of the leader.
type leaderProbe struct {
	active bool
	// waitedTicks counts the ticks since the probe was first sent.
	waitedTicks int
	// campaignOnFailure is set if the replica is to campaign if the probe
	// fails.
	campaignOnFailure bool
}

// EnsureLeader probes the leader, if one is known, and campaigns if it does not
// answer or if none is known. It does nothing on a leader, during a campaign, or
// while the replica yields to another candidate.
func (r *Replica) EnsureLeader() {
	if r.role != Follower || r.removed || r.election.yieldTicksLeft > 0 {
		return
	}
	if r.leader == (MemberID{}) || r.suspected[r.leader.WithoutAdmission()] {
		r.Campaign()
		return
	}
	r.probeLeader(true)
}

// LeaderConfirmed reports whether a leader is known and no probe of it is
// pending.
func (r *Replica) LeaderConfirmed() bool {
	if r.role == Leader {
		return true
	}
	return r.role == Follower && r.leader != (MemberID{}) && !r.leaderProbe.active && !r.suspected[r.leader.WithoutAdmission()]
}

func (r *Replica) probeLeader(campaign bool) {
	if !r.leaderProbe.active {
		r.leaderProbe = leaderProbe{active: true}
		r.sendProbe()
	}
	r.leaderProbe.campaignOnFailure = r.leaderProbe.campaignOnFailure || campaign
}

func (r *Replica) sendProbe() {
	r.sendImmediately(r.leader, &journalv1.Message{
		Type: journalv1.MessageType_MESSAGE_TYPE_PROBE, Term: r.term, Index: r.log.lastIndex(),
	})
}

// handleLeaderLost forgets the leader after it failed a probe, and campaigns
// if that was requested.
func (r *Replica) handleLeaderLost() {
	campaign := r.leaderProbe.campaignOnFailure
	r.leaderProbe = leaderProbe{}
	r.leader = MemberID{}
	if campaign {
		r.Campaign()
	}
}

// Campaign requests pre-votes and, if a majority grants them, starts an
// election. Only a voter campaigns.
func (r *Replica) Campaign() {
	if r.role == Leader || r.removed || !r.currentMembership().isVoter(r.config.Self) {
		return
	}
	if r.role == Follower {
		r.election.giveUpTicksLeft = r.config.CampaignTicks
	}
	r.role = PreCandidate
	r.leader = MemberID{}
	r.leaderProbe = leaderProbe{}
	r.startPreVote()
}

func (r *Replica) startPreVote() {
	r.requestVotes(journalv1.MessageType_MESSAGE_TYPE_PRE_VOTE, r.term+1)
	r.election.granted[r.config.Self] = true
	r.countVotes()
}

// startElection starts the election after a majority granted the pre-vote.
func (r *Replica) startElection() {
	r.role = Candidate
	r.leader = MemberID{}
	r.leaderProbe = leaderProbe{}
	r.term++
	r.votedFor = r.config.Self
	r.stateChanged = true
	r.requestVotes(journalv1.MessageType_MESSAGE_TYPE_VOTE, r.term)
	if r.injected.countVoteBeforeStore {
		r.election.granted[r.config.Self] = true
		r.countVotes()
		return
	}
	// The replica's own vote counts only once it is stored, like any other
	// vote.
	r.sendAfterStore(r.config.Self, &journalv1.Message{
		Type: journalv1.MessageType_MESSAGE_TYPE_VOTE_ANSWER, Term: r.term,
	})
}

func (r *Replica) requestVotes(kind journalv1.MessageType, term uint64) {
	r.election.granted = map[MemberID]bool{}
	r.voteAnswers = voteAnswers{rounds: r.voteAnswers.rounds + 1, granted: map[MemberID]bool{}, refused: map[MemberID]bool{}}
	r.election.retryTicksLeft = r.config.ElectionTicks + r.config.Random.IntN(r.config.ElectionTicks)
	index, logTerm := r.log.lastIndex(), r.log.lastTerm()
	for _, member := range r.currentMembership().members {
		if member.Learner || member.ID() == r.config.Self {
			continue
		}
		r.sendAfterStore(member.ID(), &journalv1.Message{
			Type: kind, Term: term, Index: index, LogTerm: logTerm, Transfer: r.election.isTransfer,
		})
	}
}

func (r *Replica) countVotes() {
	if !r.majorityAgrees(func(id MemberID) bool { return r.election.granted[id] }) {
		return
	}
	if r.role == PreCandidate {
		r.startElection()
		return
	}
	r.becomeLeader()
}

// majorityAgrees reports whether a majority of the current voters agrees.
func (r *Replica) majorityAgrees(agrees func(MemberID) bool) bool {
	if r.injected.commitWithoutMajority {
		return true
	}
	if r.injected.countLearners {
		return r.currentMembership().countAgreeing(agrees, true) >= r.currentMembership().quorum()
	}
	return r.currentMembership().hasMajority(agrees)
}

func (r *Replica) tickCampaign() {
	r.election.giveUpTicksLeft--
	r.election.retryTicksLeft--
	if r.election.giveUpTicksLeft <= 0 {
		r.becomeFollower(r.term, MemberID{})
		return
	}
	if r.election.retryTicksLeft <= 0 {
		r.role = PreCandidate
		r.startPreVote()
	}
}

func (r *Replica) tickLeaderProbe() {
	r.election.yieldTicksLeft = max(0, r.election.yieldTicksLeft-1)
	if !r.leaderProbe.active {
		return
	}
	r.leaderProbe.waitedTicks++
	if r.leaderProbe.waitedTicks >= r.config.ProbeTicks || r.suspected[r.leader.WithoutAdmission()] {
		r.handleLeaderLost()
		return
	}
	r.sendProbe()
}

func (r *Replica) stepPreVote(from MemberID, m *journalv1.Message) {
	if r.role == Leader {
		r.announceLeadership(from)
	}
	if !r.candidateUpToDate(m) {
		// The candidate cannot win, and the caller that asked it for a leader
		// may never ask this replica.
		r.EnsureLeader()
	}
	granted := r.mayGrantPreVote(from, m) && m.Term > r.term && r.candidateUpToDate(m) && r.yieldsTo(from, m)
	if granted {
		r.yieldCampaign()
	}
	r.sendImmediately(from, &journalv1.Message{
		Type: journalv1.MessageType_MESSAGE_TYPE_PRE_VOTE_ANSWER, Term: preVoteAnswerTerm(granted, m.Term, r.term), Reject: !granted,
	})
}

// announceLeadership sends an append to a candidate that does not know the
// leader, for example after a restart. An idle leader sends no other messages.
func (r *Replica) announceLeadership(candidate MemberID) {
	if peer, known := r.leaderState.peers[candidate]; known && peer.snapshotIndex == 0 {
		r.sendProbeAppend(candidate, peer)
	}
}

func preVoteAnswerTerm(granted bool, candidateTerm, ownTerm uint64) uint64 {
	if granted {
		return candidateTerm
	}
	return ownTerm
}

// yieldsTo reports whether this replica lets the candidate take precedence. A
// follower always does. A candidate does if the logs differ, because only a
// candidate with a longer log gets this far, or if the other identity is lower,
// so that two candidates that start at the same time do not split the votes.
func (r *Replica) yieldsTo(candidate MemberID, m *journalv1.Message) bool {
	if r.role == Follower {
		return true
	}
	if m.Index != r.log.lastIndex() || m.LogTerm != r.log.lastTerm() {
		return true
	}
	return compareIDs(candidate, r.config.Self) < 0
}

// yieldCampaign ends the replica's own campaign in favor of another candidate.
func (r *Replica) yieldCampaign() {
	if r.role != Follower {
		r.becomeFollower(r.term, MemberID{})
	}
	r.election.yieldTicksLeft = r.config.ElectionTicks
}

// mayGrantPreVote reports whether the replica assumes that there is no leader.
// Otherwise it probes the leader, and the result decides how it answers the
// next attempt.
func (r *Replica) mayGrantPreVote(candidate MemberID, m *journalv1.Message) bool {
	if m.Transfer {
		return true
	}
	if r.role == Leader {
		return false
	}
	if r.leader == (MemberID{}) || r.leader == candidate || r.suspected[r.leader.WithoutAdmission()] {
		return true
	}
	r.probeLeader(false)
	return false
}

func (r *Replica) candidateUpToDate(m *journalv1.Message) bool {
	if r.injected.skipUpToDateCheck {
		return true
	}
	index, term := r.log.lastIndex(), r.log.lastTerm()
	return m.LogTerm > term || m.LogTerm == term && m.Index >= index
}

func (r *Replica) stepVote(from MemberID, m *journalv1.Message) {
	mayVote := r.votedFor == (MemberID{}) && r.leader == (MemberID{}) || r.votedFor == from || r.injected.forgetVote
	granted := mayVote && r.candidateUpToDate(m) && r.role != Leader
	if granted {
		r.votedFor = from
		r.stateChanged = true
		r.yieldCampaign()
	}
	r.sendAfterStore(from, &journalv1.Message{
		Type: journalv1.MessageType_MESSAGE_TYPE_VOTE_ANSWER, Term: r.term, Reject: !granted,
	})
}

func (r *Replica) stepVoteAnswer(from MemberID, m *journalv1.Message, role Role) {
	expectedTerm := r.term
	if role == PreCandidate {
		expectedTerm = r.term + 1
	}
	if r.role != role {
		return
	}
	if m.Reject || m.Term != expectedTerm {
		r.voteAnswers.refused[from] = true
		return
	}
	r.voteAnswers.granted[from] = true
	r.election.granted[from] = true
	r.countVotes()
}

func (r *Replica) stepProbe(from MemberID) {
	r.sendImmediately(from, &journalv1.Message{
		Type: journalv1.MessageType_MESSAGE_TYPE_PROBE_ANSWER, Term: r.term,
		Leading: r.role == Leader, Leaving: r.role == Leader && r.isLeaving(from),
	})
}

func (r *Replica) stepProbeAnswer(from MemberID, m *journalv1.Message) {
	if r.role != Follower || from != r.leader || m.Term != r.term {
		return
	}
	if m.Leading {
		r.leaderProbe = leaderProbe{}
		r.leavingReportedByLeader = m.Leaving
		return
	}
	r.handleLeaderLost()
}
