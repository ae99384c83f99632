package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/route"
)

func TestSpentTokensNeverDecreaseUntilExpiry(t *testing.T) {
	now := time.Unix(1000, 0)
	spent := newSpentTokens(func() time.Time { return now })
	require.Zero(t, spent.get("p"))
	spent.record("p", 40)
	spent.record("p", 30)
	require.EqualValues(t, 40, spent.get("p"))
	now = now.Add(spentTokensTTL + 1)
	require.Zero(t, spent.get("p"), "a program may start again after its retention")
	spent.removeExpired()
	require.Empty(t, spent.programs)
}

func TestKnownSpentTokensRefuseTurnWithoutReplicaCall(t *testing.T) {
	// The gateway has no quorum client, so a call to replicas would panic.
	g := &Gateway{spentTokens: newSpentTokens(time.Now)}
	g.spentTokens.record("p", 60)
	turn := &turnState{request: &request{gateway: g, route: &route.Route{}, programKey: "p", metadata: RequestMetadata{Program: "p", MaxTokens: 50, TokenBudget: 100}}}
	err := turn.reserve(t.Context())
	var refused *BudgetSpent
	require.ErrorAs(t, err, &refused)
	require.EqualValues(t, 60, refused.Committed)
	require.False(t, turn.hasReservation, "there is no reservation to settle")
}
