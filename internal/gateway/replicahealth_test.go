package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/quorum"
)

func TestGatewayIsIsolatedOnlyIfNoReplicaAnswers(t *testing.T) {
	answered := false
	health := newReplicaHealth(nil, func(time.Duration) bool { return answered })
	health.recordCall(&StateUnavailable{Cause: &quorum.Unavailable{Needed: 2}}, minSilentCall-1)
	require.False(t, health.isolated(), "a call that ended early is ignored")
	health.recordCall(&quorum.Unavailable{Needed: 2, Answered: 1}, time.Second)
	require.False(t, health.isolated(), "some replica answered, so another gateway would not do better")
	answered = true
	health.recordCall(&quorum.Unavailable{Needed: 2}, minSilentCall)
	require.False(t, health.isolated(), "another call was answered, so this gateway is slow, not isolated")
	answered = false
	health.recordCall(&quorum.Unavailable{Needed: 2}, minSilentCall)
	require.True(t, health.isolated())
	health.recordCall(&quorum.Unavailable{Needed: 2, Answered: 1}, time.Second)
	require.True(t, health.isolated(), "a call without a majority does not end the isolation")
	health.recordCall(nil, time.Millisecond)
	require.False(t, health.isolated())
}
