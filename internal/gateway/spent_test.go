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
	require.Zero(t, spent.of("p"))
	spent.note("p", 40)
	spent.note("p", 30)
	require.EqualValues(t, 40, spent.of("p"))
	now = now.Add(spentMemory + 1)
	require.Zero(t, spent.of("p"), "a program may begin anew after its retention")
	spent.sweep()
	require.Empty(t, spent.programs)
}

func TestKnownSpentTokensRefuseTurnWithoutReplicaCall(t *testing.T) {
	// The gateway has no client for replicas: a call would panic.
	g := &Gateway{spent: newSpentTokens(time.Now)}
	g.spent.note("p", 60)
	turn := &turnState{request: &request{gateway: g, route: &route.Route{}, program: "p", envelope: RequestMetadata{Program: "p", MaxTokens: 50, TokenBudget: 100}}}
	err := turn.reserve(t.Context())
	var refused *BudgetSpent
	require.ErrorAs(t, err, &refused)
	require.EqualValues(t, 60, refused.Committed)
	require.False(t, turn.reserved, "nothing is to be settled")
}
