package journal

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// A learner got its vote while a voter was gone and not yet suspected; when the learner was lost too,
// two of four voters were no majority.
func TestLearnerIsNotPromotedBesideVoterThatDoesNotAnswer(t *testing.T) {
	s := newSimulation(seededChooser(1), simulationFaults{}, profile{}, 4, 3)
	leader, gone, learner := s.nodes["a"], s.nodes["b"], s.nodes["d"]
	leader.replica.EnsureLeader()
	leader.processReady()
	for range 20 {
		s.healRound(nil, 0)
	}
	require.True(t, leader.replica.Serving())
	for _, name := range s.nodeNames {
		s.blocked[[2]structs.NodeID{name, gone.id.Node}], s.blocked[[2]structs.NodeID{gone.id.Node, name}] = true, true
	}
	leader.replica.SetDesiredVoters([]Member{
		{Node: "a", Incarnation: 1}, {Node: "c", Incarnation: 1}, {Node: learner.id.Node, Incarnation: learner.id.Incarnation},
	})
	voters := func() int { return leader.replica.currentMembership().voterCount() }
	for range 40 {
		leader.replica.Tick()
		leader.processReady()
		s.deliverAndStoreAll()
		require.LessOrEqual(t, voters(), 3)
	}
	leader.replica.SetSuspected(gone.id, true)
	for range 40 {
		leader.replica.Tick()
		leader.processReady()
		s.deliverAndStoreAll()
		require.LessOrEqual(t, voters(), 3)
	}
	member, found := leader.replica.currentMembership().find(learner.replica.Self())
	require.True(t, found && !member.Learner, "the learner replaces the voter once that is suspected")
}
