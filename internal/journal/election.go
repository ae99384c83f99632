package journal

import (
	"github.com/barleyshelf/barleyshelf/internal/gen/journalv1"
)

// election is the state of a campaign.
type election struct {
	granted map[MemberID]bool
	// retryIn and giveUpIn count down in ticks.
	retryIn, giveUpIn int
	transfer          bool
	// patience counts the ticks for which the replica leaves the campaign to
	// another candidate.
	patience int
}

// LeaderSearch is what a replica has done to find a leader since it last had one, for logs.
type LeaderSearch struct {
	// Rounds counts the rounds in which it asked for votes.
	Rounds int
	// Granted, Refused and Silent are what the other voters answered in its last round.
	Granted, Refused, Unanswered []MemberID
}

// LeaderSearch returns how the search for a leader goes; it is empty where a leader is known.
func (r *Replica) LeaderSearch() LeaderSearch {
	if r.leader != (MemberID{}) || r.role == Leader {
		return LeaderSearch{}
	}
	search := LeaderSearch{Rounds: r.search.rounds}
	for _, member := range r.current().members {
		id := member.ID()
		switch {
		case member.Learner || id == r.config.Self:
		case r.search.granted[id]:
			search.Granted = append(search.Granted, id)
		case r.search.refused[id]:
			search.Refused = append(search.Refused, id)
		default:
			search.Unanswered = append(search.Unanswered, id)
		}
	}
	return search
}

// search is what Search tells. Unlike election it outlasts a campaign that was given up.
type search struct {
	rounds           int
	granted, refused map[MemberID]bool
}

// doubt is what a replica holds of its leader's silence.
type doubt struct {
	probing bool
	// waited counts ticks since the probe was first sent.
	waited int
	// campaign says that the replica wants to campaign if the probe fails.
	campaign bool
}

// EnsureLeader makes sure that the leader, if one is known, still leads, and
// campaigns when it does not answer. It does nothing at a leader or while a
// campaign is under way.
func (r *Replica) EnsureLeader() {
	if r.role != Follower || r.removed || r.election.patience > 0 {
		return
	}
	if r.leader == (MemberID{}) || r.suspected[r.leader.WithoutAdmission()] {
		r.Campaign()
		return
	}
	r.probeLeader(true)
}

// LeaderConfirmed reports that a leader is known and no probe of it is open.
func (r *Replica) LeaderConfirmed() bool {
	if r.role == Leader {
		return true
	}
	return r.role == Follower && r.leader != (MemberID{}) && !r.doubt.probing && !r.suspected[r.leader.WithoutAdmission()]
}

func (r *Replica) probeLeader(campaign bool) {
	if !r.doubt.probing {
		r.doubt = doubt{probing: true}
		r.sendProbe()
	}
	r.doubt.campaign = r.doubt.campaign || campaign
}

func (r *Replica) sendProbe() {
	r.sendEarly(r.leader, &journalv1.Message{
		Type: journalv1.MessageType_MESSAGE_TYPE_PROBE, Term: r.term, Index: r.log.last(),
	})
}

// leaderLost is called when the leader is known not to lead.
func (r *Replica) leaderLost() {
	campaign := r.doubt.campaign
	r.doubt = doubt{}
	r.leader = MemberID{}
	if campaign {
		r.Campaign()
	}
}

// Campaign asks the voters whether they would elect this replica, and if a
// majority would, stands for election. Only a voter campaigns.
func (r *Replica) Campaign() {
	if r.role == Leader || r.removed || !r.current().isVoter(r.config.Self) {
		return
	}
	if r.role == Follower {
		r.election.giveUpIn = r.config.CampaignTicks
	}
	r.role = PreCandidate
	r.leader = MemberID{}
	r.doubt = doubt{}
	r.startPreVote()
}

func (r *Replica) startPreVote() {
	r.startRound(journalv1.MessageType_MESSAGE_TYPE_PRE_VOTE, r.term+1)
	r.election.granted[r.config.Self] = true
	r.countVotes()
}

// stand is the election proper, after a majority granted the pre-vote.
func (r *Replica) stand() {
	r.role = Candidate
	r.leader = MemberID{}
	r.doubt = doubt{}
	r.term++
	r.vote = r.config.Self
	r.stateChanged = true
	r.startRound(journalv1.MessageType_MESSAGE_TYPE_VOTE, r.term)
	if r.broken.countUnstoredVote {
		r.election.granted[r.config.Self] = true
		r.countVotes()
		return
	}
	// The own vote counts only when it is stored, like any other's.
	r.sendStored(r.config.Self, &journalv1.Message{
		Type: journalv1.MessageType_MESSAGE_TYPE_VOTE_ANSWER, Term: r.term,
	})
}

func (r *Replica) startRound(kind journalv1.MessageType, term uint64) {
	r.election.granted = map[MemberID]bool{}
	r.search = search{rounds: r.search.rounds + 1, granted: map[MemberID]bool{}, refused: map[MemberID]bool{}}
	r.election.retryIn = r.config.ElectionTicks + r.config.Random.IntN(r.config.ElectionTicks)
	index, logTerm := r.log.last(), r.log.lastTerm()
	for _, member := range r.current().members {
		if member.Learner || member.ID() == r.config.Self {
			continue
		}
		r.sendStored(member.ID(), &journalv1.Message{
			Type: kind, Term: term, Index: index, LogTerm: logTerm, Transfer: r.election.transfer,
		})
	}
}

func (r *Replica) countVotes() {
	if !r.majority(func(id MemberID) bool { return r.election.granted[id] }) {
		return
	}
	if r.role == PreCandidate {
		r.stand()
		return
	}
	r.becomeLeader()
}

// majority reports whether the voters in force that agree are a majority.
func (r *Replica) majority(agrees func(MemberID) bool) bool {
	if r.broken.commitAlone {
		return true
	}
	if r.broken.learnersCount {
		return r.current().agreeing(agrees, true) >= r.current().quorum()
	}
	return r.current().reached(agrees)
}

func (r *Replica) tickElection() {
	r.election.giveUpIn--
	r.election.retryIn--
	if r.election.giveUpIn <= 0 {
		r.becomeFollower(r.term, MemberID{})
		return
	}
	if r.election.retryIn <= 0 {
		r.role = PreCandidate
		r.startPreVote()
	}
}

func (r *Replica) tickDoubt() {
	r.election.patience = max(0, r.election.patience-1)
	if !r.doubt.probing {
		return
	}
	r.doubt.waited++
	if r.doubt.waited >= r.config.ProbeTicks || r.suspected[r.leader.WithoutAdmission()] {
		r.leaderLost()
		return
	}
	r.sendProbe()
}

func (r *Replica) stepPreVote(from MemberID, m *journalv1.Message) {
	if r.role == Leader {
		r.introduce(from)
	}
	if !r.upToDate(m) {
		// The candidate cannot win, and whoever asked it may never ask here.
		r.EnsureLeader()
	}
	granted := r.mayElect(from, m) && m.Term > r.term && r.upToDate(m) && r.yields(from, m)
	if granted {
		r.leaveToAnother()
	}
	r.sendEarly(from, &journalv1.Message{
		Type: journalv1.MessageType_MESSAGE_TYPE_PRE_VOTE_ANSWER, Term: answerTerm(granted, m.Term, r.term), Reject: !granted,
	})
}

// introduce shows this leader to a candidate that does not know it, as one that
// restarted does not: an idle leader sends nothing else.
func (r *Replica) introduce(candidate MemberID) {
	if peer, known := r.leading.peers[candidate]; known && peer.snapshot == 0 {
		r.sendProbeAppend(candidate, peer)
	}
}

func answerTerm(granted bool, asked, own uint64) uint64 {
	if granted {
		return asked
	}
	return own
}

// yields reports whether the candidate goes before this replica, if that is a
// candidate itself: the one with the longer log, and else the lower identity,
// so that two that begin at the same time do not split the votes.
func (r *Replica) yields(candidate MemberID, m *journalv1.Message) bool {
	if r.role == Follower {
		return true
	}
	if m.Index != r.log.last() || m.LogTerm != r.log.lastTerm() {
		return true
	}
	return compareIDs(candidate, r.config.Self) < 0
}

// leaveToAnother ends an own campaign in favour of another one.
func (r *Replica) leaveToAnother() {
	if r.role != Follower {
		r.becomeFollower(r.term, MemberID{})
	}
	r.election.patience = r.config.ElectionTicks
}

// mayElect reports whether the replica holds that there is no leader. Where it
// holds that there is one, it probes it, and answers the next attempt by what
// it learnt.
func (r *Replica) mayElect(candidate MemberID, m *journalv1.Message) bool {
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

func (r *Replica) upToDate(m *journalv1.Message) bool {
	if r.broken.skipElectionCheck {
		return true
	}
	index, term := r.log.last(), r.log.lastTerm()
	return m.LogTerm > term || m.LogTerm == term && m.Index >= index
}

func (r *Replica) stepVote(from MemberID, m *journalv1.Message) {
	free := r.vote == (MemberID{}) && r.leader == (MemberID{}) || r.vote == from || r.broken.forgetVote
	granted := free && r.upToDate(m) && r.role != Leader
	if granted {
		r.vote = from
		r.stateChanged = true
		r.leaveToAnother()
	}
	r.sendStored(from, &journalv1.Message{
		Type: journalv1.MessageType_MESSAGE_TYPE_VOTE_ANSWER, Term: r.term, Reject: !granted,
	})
}

func (r *Replica) stepVoteAnswer(from MemberID, m *journalv1.Message, role Role) {
	wanted := r.term
	if role == PreCandidate {
		wanted = r.term + 1
	}
	if r.role != role {
		return
	}
	if m.Reject || m.Term != wanted {
		r.search.refused[from] = true
		return
	}
	r.search.granted[from] = true
	r.election.granted[from] = true
	r.countVotes()
}

func (r *Replica) stepProbe(from MemberID) {
	r.sendEarly(from, &journalv1.Message{
		Type: journalv1.MessageType_MESSAGE_TYPE_PROBE_ANSWER, Term: r.term,
		Leading: r.role == Leader, Leaving: r.role == Leader && r.unwanted(from),
	})
}

func (r *Replica) stepProbeAnswer(from MemberID, m *journalv1.Message) {
	if r.role != Follower || from != r.leader || m.Term != r.term {
		return
	}
	if m.Leading {
		r.doubt = doubt{}
		r.toldLeaving = m.Leaving
		return
	}
	r.leaderLost()
}
