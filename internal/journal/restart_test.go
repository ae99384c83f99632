package journal

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestRestartedMemberFindsTheIdleLeader checks a restarted member, which does
// not know its leader while the leader has nothing to send. Repeated calls of
// EnsureLeader must find that leader and must not replace it.
func TestRestartedMemberFindsTheIdleLeader(t *testing.T) {
	s := newSimulation(seededChooser(1), simulationFaults{}, profile{}, 3, 3)
	leader, restarted := s.nodes[s.nodeNames[0]], s.nodes[s.nodeNames[1]]
	leader.replica.EnsureLeader()
	leader.processReady()
	for range 20 {
		s.healRound(nil, 0)
	}
	require.True(t, leader.replica.Serving())
	term := leader.replica.term
	restarted.crash()
	restarted.startReplica()
	found := false
	for range 100 {
		restarted.replica.EnsureLeader()
		restarted.processReady()
		s.deliverAndStoreAll()
		found = found || restarted.replica.LeaderConfirmed()
		restarted.replica.Tick()
		restarted.processReady()
	}
	require.True(t, found)
	require.Equal(t, term, leader.replica.term)
	require.True(t, leader.replica.Serving())
}
