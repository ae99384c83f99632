package journal

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// A member that comes back with its store does not know its leader, which may
// have nothing to send. However often it is asked for a leader at once, it
// learns of the one that leads, and does not unseat it.
func TestRestartedMemberFindsTheIdleLeader(t *testing.T) {
	s := newSimulation(seeded(1), faults{}, profile{}, 3, 3)
	leader, restarted := s.members[s.names[0]], s.members[s.names[1]]
	leader.replica.EnsureLeader()
	leader.work()
	for range 20 {
		s.healRound(nil, 0)
	}
	require.True(t, leader.replica.Serving())
	term := leader.replica.term
	restarted.crash()
	restarted.begin()
	found := false
	for range 100 {
		restarted.replica.EnsureLeader()
		restarted.work()
		s.exchange()
		found = found || restarted.replica.LeaderConfirmed()
		restarted.replica.Tick()
		restarted.work()
	}
	require.True(t, found)
	require.Equal(t, term, leader.replica.term)
	require.True(t, leader.replica.Serving())
}
