package gateway

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/directory"
	"github.com/barleyshelf/barleyshelf/internal/quorum"
)

func TestSettlementDelay(t *testing.T) {
	turn := &turnState{request: &request{}}
	used, unused := &stream{events: 3}, &stream{}
	require.Zero(t, turn.settleIn(used), "a reservation that was not granted ran nothing")
	turn.granted = time.Now()
	require.Zero(t, turn.settleIn(unused))
	require.Greater(t, turn.settleIn(used), quorum.SettleDelay/2)
	turn.granted = time.Now().Add(-quorum.SettleDelay)
	require.Zero(t, turn.settleIn(used))
}

func TestRequestWaitsForFirstWorkers(t *testing.T) {
	r := requestOf(&Gateway{directory: directory.NewState(time.Now, nil), started: time.Now()})
	held := make(chan struct{})
	go func() {
		r.awaitWorkers(t.Context())
		close(held)
	}()
	select {
	case <-held:
		t.Fatal("not held")
	case <-time.After(20 * time.Millisecond):
	}
	r.gateway.directory.ReplaceWorkers([]directory.Worker{{ID: "w", Instance: "w", Service: "s"}}, 1)
	<-held
	require.Positive(t, r.held[heldForWorkers])
	r.awaitWorkers(t.Context())
}

// requestOf returns a request that a gateway has just received.
func requestOf(g *Gateway) *request {
	return &request{gateway: g, received: time.Now(), tried: make(map[string]bool), ran: make(map[string]bool)}
}

// TestRequestDoesNotWaitForWorkersLongAfterStart brings requests to a gateway that has
// learned of no worker long after its start.
func TestRequestDoesNotWaitForWorkersLongAfterStart(t *testing.T) {
	r := requestOf(&Gateway{directory: directory.NewState(time.Now, nil), started: time.Now().Add(-time.Minute)})
	began := time.Now()
	r.awaitWorkers(t.Context())
	require.Less(t, time.Since(began), workersWait/2)
}

// TestIsolatedGatewayRefusesTurnsAtOnce: another gateway may reach them.
func TestIsolatedGatewayRefusesTurnsAtOnce(t *testing.T) {
	known := directory.NewState(time.Now, nil)
	g := &Gateway{
		directory: known, quorum: quorum.NewClient(known, "", http.DefaultClient), spent: newSpentTokens(time.Now), fastest: newFastestAnswers(),
		state: &stateHealth{alone: true},
	}
	r := requestOfKind(g, 0, time.Minute)
	r.route.Stateful = true
	began := time.Now()
	_, err := r.beginTurn(t.Context())
	var refused *Isolated
	require.ErrorAs(t, err, &refused)
	require.Less(t, time.Since(began), comeBackAfter)
}

func TestUndeclaredRoutesAndServicesAreRemoved(t *testing.T) {
	g := gatewayWithSlotQueues()
	g.fastest.of(routeOfService{route: "gone"}).Observe(time.Second)
	kept := g.fastest.of(routeOfService{route: "kept"})
	waits := g.slotQueues.of("waits").join(0, time.Now().Add(time.Minute))
	none := func(string) bool { return false }
	g.fastest.forget(func(route string) bool { return route == "kept" })
	g.slotQueues.forget(none)
	require.Same(t, kept, g.fastest.of(routeOfService{route: "kept"}))
	require.Equal(t, 1, g.slotQueues.waiting(), "something waits for it")
	waits.end(false)
	g.slotQueues.forget(none)
	require.NotSame(t, waits.queue, g.slotQueues.of("waits"))
}

func TestCancelledRequestDoesNotWait(t *testing.T) {
	r := requestOf(&Gateway{directory: directory.NewState(time.Now, nil), started: time.Now()})
	left, leave := context.WithCancel(t.Context())
	leave()
	r.awaitWorkers(left)
}
