package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/mechanism"
	"github.com/barleyshelf/barleyshelf/internal/pause"
)

// holdReason names what a request waits for before it can be sent to a worker.
type holdReason string

// The reasons.
const (
	heldForConfiguration holdReason = "configuration"
	heldForWorkers       holdReason = "workers"
	heldForState         holdReason = "state"
	heldForBudget        holdReason = "budget"
	heldForRoom          holdReason = "room"
)

// minHoldTold is the time from which a wait is told in a request's story: everything
// shorter is the way to a replica and back.
const minHoldTold = 5 * time.Millisecond

// hold begins a wait and returns what ends it.
func (r *request) hold(reason holdReason) (end func()) {
	began := time.Now()
	return func() {
		took := time.Since(began)
		if r.held == nil {
			r.held = make(map[holdReason]time.Duration)
		}
		r.held[reason] += took
		if took >= minHoldTold {
			r.note(eventHeld, "reason", string(reason), "milliseconds", took.Milliseconds())
		}
	}
}

const (
	// workersWait is within what time after its start a gateway learns of the first
	// workers: replicas tell them some 200 ms after their own start, and where none does
	// they are listed at the store after listAfter and listSpread.
	workersWait = 700 * time.Millisecond
	// configurationWait is the same for the first configuration, which replicas whose
	// logs are long tell later.
	configurationWait = time.Second
)

// awaitConfiguration holds a request while this process has not learned of any
// configuration yet: a client that is refused has few tries left.
func (r *request) awaitConfiguration() {
	defer r.hold(heldForConfiguration)()
	r.gateway.await(r.incoming.Context(), configurationWait, func() bool { return r.gateway.directory.View().Table != nil })
}

// awaitWorkers holds a request while this process has not learned of any worker yet.
func (r *request) awaitWorkers(ctx context.Context) {
	defer r.hold(heldForWorkers)()
	r.gateway.await(ctx, workersWait, func() bool { return r.gateway.directory.WorkersRevision() != 0 })
}

// await waits until something is known, for as long as that usually takes from this
// process's start. What is not known by then may take any time: requests that come
// later are not held.
func (g *Gateway) await(ctx context.Context, usual time.Duration, known func() bool) {
	left := usual - time.Since(g.started)
	if known() || left <= 0 || g.disabled(mechanism.HeldRequests) {
		return
	}
	timer := time.NewTimer(left)
	defer timer.Stop()
	for {
		news := g.directory.News()
		if known() {
			return
		}
		select {
		case <-news:
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

const (
	// firstRoomPause and lastRoomPause bound the pauses, which double, before workers
	// that were full are asked again: some places of a worker become free within that
	// time.
	firstRoomPause = 10 * time.Millisecond
	lastRoomPause  = 80 * time.Millisecond
	// roomShare is the part of a request's time for which it may wait for room, and
	// maxRoomWait bounds that: then its client is told to come back.
	roomShare   = 3
	maxRoomWait = 400 * time.Millisecond
	// maxAwaitingRoom bounds the requests that wait; more are refused at once.
	maxAwaitingRoom = 128
)

// awaitRoom waits a little if workers turned the request away because they are
// full, and lets it go to them again. A refusal would cost the program one of few
// tries, and a call of a tool that is refused twice ends its program. It returns
// false once the request has waited for long enough, or too many others wait.
func (r *request) awaitRoom(ctx context.Context) bool {
	limit := min(maxRoomWait, r.deadline.Sub(r.received)/roomShare)
	if r.gateway.disabled(mechanism.HeldRequests) || len(r.full) == 0 || time.Since(r.received) > limit {
		return false
	}
	defer r.gateway.awaitingRoom.Add(-1)
	if r.gateway.awaitingRoom.Add(1) > maxAwaitingRoom {
		return false
	}
	defer r.hold(heldForRoom)()
	wait := min(lastRoomPause, firstRoomPause<<min(r.roomWaits, 8))
	r.roomWaits++
	if !pause.For(ctx, wait/2+rand.N(wait)) {
		return false
	}
	for _, id := range r.full {
		delete(r.tried, id)
	}
	r.full = nil
	return true
}
