package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/route"
	"github.com/barleyshelf/barleyshelf/internal/telemetry"
)

// requestOfKind returns a request of a kind with some time left, at a gateway that knows
// no worker.
func requestOfKind(g *Gateway, priority int, left time.Duration) *request {
	r := requestOf(g)
	r.route, r.service = &route.Route{Name: "kind", Kind: route.Unsafe, Priority: priority}, route.Service{Name: "s"}
	r.deadline = time.Now().Add(left)
	return r
}

func gatewayWithSlotQueues() *Gateway {
	return &Gateway{slotQueues: newSlotQueues(), fastest: newFastestAnswers(), metrics: newMetrics(telemetry.NewRegistry())}
}

func TestMoreUrgentRequestGetsSlotFirst(t *testing.T) {
	slotQueues := newSlotQueues()
	slotQueue := slotQueues.of("s")
	less := slotQueue.join(1, time.Now().Add(time.Minute))
	require.True(t, slotQueue.moreUrgentThan(2))
	require.False(t, slotQueue.moreUrgentThan(1), "its equals ask workers as it does")
	urgent := slotQueue.join(0, time.Now().Add(time.Hour))
	turn, _ := less.takeTurn()
	require.False(t, turn, "it came first, and is less urgent")
	turn, _ = urgent.takeTurn()
	require.True(t, turn)
	urgent.rejoin()
	turn, _ = less.takeTurn()
	require.False(t, turn, "the urgent one was turned away and waits again")
	require.Equal(t, 2, slotQueues.waiting())
	urgent.end(true)
	require.True(t, less.await(t.Context()), "it is told that its turn has come")
	less.end(true)
	require.Zero(t, slotQueues.waiting())
}

// TestRequestAtWorkerDoesNotBlockQueue: a worker that takes a call answers it only when
// its work is done.
func TestRequestAtWorkerDoesNotBlockQueue(t *testing.T) {
	slotQueue := newSlotQueues().of("s")
	taken, next := slotQueue.join(0, time.Now().Add(time.Minute)), slotQueue.join(0, time.Now().Add(time.Hour))
	require.True(t, taken.await(t.Context()))
	require.True(t, next.await(t.Context()), "the first one is at a worker")
	taken.end(true)
	next.end(true)
}

func TestFreedSlotWakesFirstWaiter(t *testing.T) {
	slotQueues := newSlotQueues()
	place := slotQueues.of("s").join(0, time.Now().Add(time.Minute))
	place.pauses = 8
	slotQueues.freed("other")
	require.Empty(t, place.wake)
	slotQueues.freed("s")
	require.True(t, place.await(t.Context()))
	require.Zero(t, place.pauses, "it was woken, and did not ask by itself")
}

func TestCancelledSlotWaiterIsRefused(t *testing.T) {
	g := gatewayWithSlotQueues()
	r := requestOfKind(g, 0, time.Minute)
	r.full = []string{"w"}
	ctx, leave := context.WithCancel(t.Context())
	leave()
	var refused *NoWorker
	require.ErrorAs(t, r.mayAwaitSlot(ctx), &refused)
	r.leaveSlotQueue(false)
	require.Zero(t, g.slotQueues.waiting())
}

func TestFullServiceIsRefusedWithRetryAfter(t *testing.T) {
	g := gatewayWithSlotQueues()
	for range maxAwaitingSlot {
		require.NotNil(t, g.slotQueues.of("s").join(0, time.Now().Add(time.Minute)))
	}
	r := requestOfKind(g, 1, time.Minute)
	r.full = []string{"w"}
	began := time.Now()
	var refused *ServiceFull
	require.ErrorAs(t, r.mayAwaitSlot(t.Context()), &refused)
	require.Less(t, time.Since(began), firstSlotPause, "what cannot be served is not held")
	require.LessOrEqual(t, refused.Retry().After, lastSlotComeBack)
}

func TestRequestWithTooLittleTimeIsRefused(t *testing.T) {
	g := gatewayWithSlotQueues()
	r := requestOfKind(g, 0, 20*time.Millisecond)
	require.NoError(t, r.checkTime(), "nothing is known of its kind yet")
	for range 64 {
		r.fastest().Observe(time.Second)
	}
	var refused *TimeTooShort
	require.ErrorAs(t, r.checkTime(), &refused)
	require.Equal(t, time.Second, refused.FastestResponse)
	require.NoError(t, requestOfKind(g, 0, time.Minute).checkTime())
}
