package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/directory"
	"github.com/barleyshelf/barleyshelf/internal/quorum"
)

func TestASettlementWaitsUntilItsDelayIsOver(t *testing.T) {
	turn := &turnState{request: &request{}}
	used, unused := &stream{events: 3}, &stream{}
	require.Zero(t, turn.settleIn(used), "a reservation that was not granted ran nothing")
	turn.granted = time.Now()
	require.Zero(t, turn.settleIn(unused))
	require.Greater(t, turn.settleIn(used), quorum.SettleDelay/2)
	turn.granted = time.Now().Add(-quorum.SettleDelay)
	require.Zero(t, turn.settleIn(used))
}

func TestARequestWaitsForTheFirstListOfWorkers(t *testing.T) {
	g := &Gateway{directory: directory.NewState(time.Now, nil)}
	held := make(chan struct{})
	go func() {
		g.awaitWorkers(t.Context())
		close(held)
	}()
	select {
	case <-held:
		t.Fatal("not held")
	case <-time.After(20 * time.Millisecond):
	}
	g.directory.OfferWorkers([]directory.Worker{{ID: "w", Service: "s"}}, 1)
	<-held
	g.awaitWorkers(t.Context())
}

func TestAClientThatLeavesIsNotHeld(t *testing.T) {
	g := &Gateway{directory: directory.NewState(time.Now, nil)}
	left, leave := context.WithCancel(t.Context())
	leave()
	g.awaitWorkers(left)
}
