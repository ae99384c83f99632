package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/quorum"
)

func TestGatewayIsIsolatedOnlyIfNoReplicaAnswers(t *testing.T) {
	heard := false
	health := newStateHealth(nil, func(time.Duration) bool { return heard })
	health.note(&StateUnavailable{Cause: &quorum.Unavailable{Needed: 2}}, silentCall-1)
	require.False(t, health.isolated(), "a call that ended early says nothing")
	health.note(&quorum.Unavailable{Needed: 2, Answered: 1}, time.Second)
	require.False(t, health.isolated(), "another gateway would find no majority either")
	heard = true
	health.note(&quorum.Unavailable{Needed: 2}, silentCall)
	require.False(t, health.isolated(), "another call was answered: this gateway is slow")
	heard = false
	health.note(&quorum.Unavailable{Needed: 2}, silentCall)
	require.True(t, health.isolated())
	health.note(&quorum.Unavailable{Needed: 2, Answered: 1}, time.Second)
	require.True(t, health.isolated(), "not yet back")
	health.note(nil, time.Millisecond)
	require.False(t, health.isolated())
}
