package journal

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/gen/journalv1"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// TestLeaderSearchGroupsVotersByAnswer lets one voter grant, one refuse and
// two not answer.
func TestLeaderSearchGroupsVotersByAnswer(t *testing.T) {
	var members []Member
	for _, node := range []string{"a", "b", "c", "d", "e"} {
		members = append(members, Member{Node: structs.NodeID(node), Incarnation: 1})
	}
	self := members[0].ID()
	replica := New(DefaultConfig(1, self, rand.New(rand.NewPCG(1, 1))), BootstrapState(members))
	replica.Campaign()
	answer := func(from Member, reject bool) {
		term := uint64(1)
		if reject {
			// A refusal carries the voter's own term.
			term = 0
		}
		replica.Step(from.ID(), self, &journalv1.Message{
			Shard: 1, Type: journalv1.MessageType_MESSAGE_TYPE_PRE_VOTE_ANSWER, Term: term, Reject: reject,
		})
	}
	answer(members[1], false)
	answer(members[2], true)
	search := replica.LeaderSearch()
	require.Equal(t, 1, search.Rounds)
	require.Equal(t, []MemberID{members[1].ID()}, search.Granted)
	require.Equal(t, []MemberID{members[2].ID()}, search.Refused)
	require.Equal(t, []MemberID{members[3].ID(), members[4].ID()}, search.Unanswered)
	answer(members[3], false)
	require.Equal(t, Candidate, replica.role)
	require.Equal(t, 2, replica.LeaderSearch().Rounds, "a vote round must follow the pre-vote round")
}
