package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/route"
	"github.com/barleyshelf/barleyshelf/internal/telemetry"
)

// requestWithPriority returns a request with the given priority and time left, at a gateway
// that knows no workers.
func requestWithPriority(g *Gateway, priority int, timeLeft time.Duration) *request {
	r := newRequest(g)
	r.route, r.service = &route.Route{Name: "kind", Kind: route.Unsafe, Priority: priority}, route.Service{Name: "s"}
	r.deadline = time.Now().Add(timeLeft)
	return r
}

func gatewayWithSlotQueues() *Gateway {
	return &Gateway{slotQueues: newSlotQueues(), fastestResponses: newFastestResponses(), metrics: newMetrics(telemetry.NewRegistry())}
}

func TestMoreUrgentRequestGetsSlotFirst(t *testing.T) {
	queues := newSlotQueues()
	queue := queues.getOrCreate("s")
	lessUrgent := queue.enqueue(1, time.Now().Add(time.Minute))
	require.True(t, queue.hasHigherPriority(2))
	require.False(t, queue.hasHigherPriority(1), "an equally urgent request is not more urgent")
	urgent := queue.enqueue(0, time.Now().Add(time.Hour))
	dequeued, _ := lessUrgent.tryDequeue()
	require.False(t, dequeued, "a less urgent request is not first although it joined earlier")
	dequeued, _ = urgent.tryDequeue()
	require.True(t, dequeued)
	urgent.requeue()
	dequeued, _ = lessUrgent.tryDequeue()
	require.False(t, dequeued, "the more urgent request was rejected and waits again")
	require.Equal(t, 2, queues.waitingCount())
	urgent.remove(true)
	require.True(t, lessUrgent.awaitFront(t.Context()), "the request is woken as first")
	lessUrgent.remove(true)
	require.Zero(t, queues.waitingCount())
}

// TestRequestAtWorkerDoesNotBlockQueue verifies that the next request becomes first while the
// previous one is at a worker, which responds only when its work is done.
func TestRequestAtWorkerDoesNotBlockQueue(t *testing.T) {
	queue := newSlotQueues().getOrCreate("s")
	taken, next := queue.enqueue(0, time.Now().Add(time.Minute)), queue.enqueue(0, time.Now().Add(time.Hour))
	require.True(t, taken.awaitFront(t.Context()))
	require.True(t, next.awaitFront(t.Context()), "the first request is at a worker")
	taken.remove(true)
	next.remove(true)
}

func TestFreedSlotWakesFirstWaiter(t *testing.T) {
	queues := newSlotQueues()
	ticket := queues.getOrCreate("s").enqueue(0, time.Now().Add(time.Minute))
	ticket.backoffs = 8
	queues.slotFreed("other")
	require.Empty(t, ticket.wake)
	queues.slotFreed("s")
	require.True(t, ticket.awaitFront(t.Context()))
	require.Zero(t, ticket.backoffs, "a wake-up resets the backoff")
}

func TestCancelledSlotWaiterIsRefused(t *testing.T) {
	g := gatewayWithSlotQueues()
	r := requestWithPriority(g, 0, time.Minute)
	r.fullWorkers = []string{"w"}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	var refused *NoWorker
	require.ErrorAs(t, r.awaitSlotUnlessUnreachable(ctx), &refused)
	r.leaveSlotQueue(false)
	require.Zero(t, g.slotQueues.waitingCount())
}

func TestFullServiceIsRefusedWithRetryAfter(t *testing.T) {
	g := gatewayWithSlotQueues()
	for range maxSlotWaiters {
		require.NotNil(t, g.slotQueues.getOrCreate("s").enqueue(0, time.Now().Add(time.Minute)))
	}
	r := requestWithPriority(g, 1, time.Minute)
	r.fullWorkers = []string{"w"}
	start := time.Now()
	var refused *ServiceFull
	require.ErrorAs(t, r.awaitSlotUnlessUnreachable(t.Context()), &refused)
	require.Less(t, time.Since(start), initialSlotBackoff, "a hopeless request does not wait")
	require.LessOrEqual(t, refused.Retry().After, maxSlotRetryAfter)
}

func TestRequestWithTooLittleTimeIsRefused(t *testing.T) {
	g := gatewayWithSlotQueues()
	r := requestWithPriority(g, 0, 20*time.Millisecond)
	require.NoError(t, r.checkRemainingTime(), "no response time is known yet")
	for range 64 {
		r.fastestResponse().Observe(time.Now(), time.Second)
	}
	var refused *TimeTooShort
	require.ErrorAs(t, r.checkRemainingTime(), &refused)
	require.Equal(t, time.Second, refused.FastestResponse)
	require.NoError(t, requestWithPriority(g, 0, time.Minute).checkRemainingTime())
}
