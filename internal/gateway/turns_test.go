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
	used, unused := &stream{eventCount: 3}, &stream{}
	require.Zero(t, turn.settlementDelay(used), "a turn without a granted reservation has not run")
	turn.grantedAt = time.Now()
	require.Zero(t, turn.settlementDelay(unused))
	require.Greater(t, turn.settlementDelay(used), quorum.SettleDelay/2)
	turn.grantedAt = time.Now().Add(-quorum.SettleDelay)
	require.Zero(t, turn.settlementDelay(used))
}

func TestRequestWaitsForFirstWorkers(t *testing.T) {
	r := newRequest(&Gateway{directory: directory.NewState(time.Now, nil), startedAt: time.Now()})
	done := make(chan struct{})
	go func() {
		r.awaitWorkers(t.Context())
		close(done)
	}()
	select {
	case <-done:
		t.Fatal("the request did not wait")
	case <-time.After(20 * time.Millisecond):
	}
	r.gateway.directory.ReplaceWorkers([]directory.Worker{{ID: "w", Instance: "w", Service: "s"}}, 1)
	<-done
	require.Positive(t, r.waitTimes[waitForWorkers])
	r.awaitWorkers(t.Context())
}

// newRequest returns a request that a gateway has just received.
func newRequest(g *Gateway) *request {
	return &request{gateway: g, receivedAt: time.Now(), tried: make(map[string]bool), mayHaveRun: make(map[string]bool)}
}

// TestRequestDoesNotWaitForWorkersLongAfterStart uses a gateway that still knows no workers
// long after its start.
func TestRequestDoesNotWaitForWorkersLongAfterStart(t *testing.T) {
	r := newRequest(&Gateway{directory: directory.NewState(time.Now, nil), startedAt: time.Now().Add(-time.Minute)})
	start := time.Now()
	r.awaitWorkers(t.Context())
	require.Less(t, time.Since(start), maxWorkersWait/2)
}

// TestIsolatedGatewayRefusesTurnsAtOnce verifies the immediate refusal, as another gateway may
// reach the replicas.
func TestIsolatedGatewayRefusesTurnsAtOnce(t *testing.T) {
	state := directory.NewState(time.Now, nil)
	g := &Gateway{
		directory: state, quorum: quorum.NewClient(state, "", http.DefaultClient), spentTokens: newSpentTokens(time.Now), fastestResponses: newFastestResponses(),
		replicaHealth: &replicaHealth{isolatedNow: true},
	}
	r := requestWithPriority(g, 0, time.Minute)
	r.route.Stateful = true
	start := time.Now()
	_, err := r.beginTurn(t.Context())
	var refused *Isolated
	require.ErrorAs(t, err, &refused)
	require.Less(t, time.Since(start), defaultRetryAfter)
}

func TestUndeclaredRoutesAndServicesAreRemoved(t *testing.T) {
	g := gatewayWithSlotQueues()
	g.fastestResponses.getOrCreate(routeAndService{route: "gone"}).Observe(time.Now(), time.Second)
	kept := g.fastestResponses.getOrCreate(routeAndService{route: "kept"})
	ticket := g.slotQueues.getOrCreate("waits").enqueue(0, time.Now().Add(time.Minute))
	nothingDeclared := func(string) bool { return false }
	g.fastestResponses.removeUndeclared(func(route string) bool { return route == "kept" })
	g.slotQueues.removeUndeclared(nothingDeclared)
	require.Same(t, kept, g.fastestResponses.getOrCreate(routeAndService{route: "kept"}))
	require.Equal(t, 1, g.slotQueues.waitingCount(), "a queue with a waiting request is kept")
	ticket.remove(false)
	g.slotQueues.removeUndeclared(nothingDeclared)
	require.NotSame(t, ticket.queue, g.slotQueues.getOrCreate("waits"))
}

func TestCancelledRequestDoesNotWait(t *testing.T) {
	r := newRequest(&Gateway{directory: directory.NewState(time.Now, nil), startedAt: time.Now()})
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	r.awaitWorkers(ctx)
}
