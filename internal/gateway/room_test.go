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

func gatewayWithRooms() *Gateway {
	return &Gateway{rooms: newRooms(), fastest: newFastestAnswers(), metrics: newMetrics(telemetry.NewRegistry())}
}

func TestALessUrgentRequestIsNeverBeforeAMoreUrgentOne(t *testing.T) {
	rooms := newRooms()
	room := rooms.of("s")
	less := room.join(1, time.Now().Add(time.Minute))
	require.True(t, room.moreUrgentThan(2))
	require.False(t, room.moreUrgentThan(1), "its equals ask workers as it does")
	urgent := room.join(0, time.Now().Add(time.Hour))
	turn, _ := less.takeTurn()
	require.False(t, turn, "it came first, and is less urgent")
	turn, _ = urgent.takeTurn()
	require.True(t, turn)
	urgent.rejoin()
	turn, _ = less.takeTurn()
	require.False(t, turn, "the urgent one was turned away and waits again")
	require.Equal(t, 2, rooms.waiting())
	urgent.end(true)
	require.True(t, less.await(t.Context()), "it is told that its turn has come")
	less.end(true)
	require.Zero(t, rooms.waiting())
}

// TestOneThatWasTakenDoesNotKeepOthersBack: a worker that takes a call answers it only when
// its work is done.
func TestOneThatWasTakenDoesNotKeepOthersBack(t *testing.T) {
	room := newRooms().of("s")
	taken, next := room.join(0, time.Now().Add(time.Minute)), room.join(0, time.Now().Add(time.Hour))
	require.True(t, taken.await(t.Context()))
	require.True(t, next.await(t.Context()), "the first one is at a worker")
	taken.end(true)
	next.end(true)
}

func TestAFreedPlaceWakesTheFirst(t *testing.T) {
	rooms := newRooms()
	place := rooms.of("s").join(0, time.Now().Add(time.Minute))
	place.pauses = 8
	rooms.freed("other")
	require.Empty(t, place.wake)
	rooms.freed("s")
	require.True(t, place.await(t.Context()))
	require.Zero(t, place.pauses, "it was woken, and did not ask by itself")
}

func TestAClientThatLeavesWhileItWaitsForRoomGoesToNoWorker(t *testing.T) {
	g := gatewayWithRooms()
	r := requestOfKind(g, 0, time.Minute)
	r.full = []string{"w"}
	ctx, leave := context.WithCancel(t.Context())
	leave()
	var refused *NoWorker
	require.ErrorAs(t, r.mayAwaitRoom(ctx), &refused)
	r.leaveRoom(false)
	require.Zero(t, g.rooms.waiting())
}

func TestAFullServiceIsToldWithATimeToComeBack(t *testing.T) {
	g := gatewayWithRooms()
	for range maxAwaitingRoom {
		require.NotNil(t, g.rooms.of("s").join(0, time.Now().Add(time.Minute)))
	}
	r := requestOfKind(g, 1, time.Minute)
	r.full = []string{"w"}
	began := time.Now()
	var refused *ServiceFull
	require.ErrorAs(t, r.mayAwaitRoom(t.Context()), &refused)
	require.Less(t, time.Since(began), firstRoomPause, "what cannot be served is not held")
	require.LessOrEqual(t, refused.Retry().After, lastRoomComeBack)
}

func TestARequestWithLessTimeThanAnyAnswerTookIsRefusedAtOnce(t *testing.T) {
	g := gatewayWithRooms()
	r := requestOfKind(g, 0, 20*time.Millisecond)
	require.NoError(t, r.checkTime(), "nothing is known of its kind yet")
	for range 64 {
		r.fastest().Observe(time.Second)
	}
	var refused *TimeTooShort
	require.ErrorAs(t, r.checkTime(), &refused)
	require.Equal(t, time.Second, refused.Fastest)
	require.NoError(t, requestOfKind(g, 0, time.Minute).checkTime())
}
