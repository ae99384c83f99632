package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/mechanism"
	"github.com/barleyshelf/barleyshelf/internal/pause"
)

const (
	// workersWait bounds how long a request waits for the first list of workers.
	workersWait = 700 * time.Millisecond
	// configurationWait bounds how long a request waits for the first configuration.
	// Replicas that lost power with all other machines tell it some 200 ms after their
	// start, more where their logs are long; a client that is not even connected tries
	// again at once, and has few tries.
	configurationWait = time.Second
)

// awaitConfiguration holds a request while this process has not learned of any
// configuration yet.
func (g *Gateway) awaitConfiguration(ctx context.Context) {
	g.await(ctx, configurationWait, func() bool { return g.directory.View().Table != nil })
}

// awaitWorkers holds a request while this process has not learned of any worker
// yet, which takes some ten milliseconds after a start: refused, the request would
// cost its client one of few tries.
func (g *Gateway) awaitWorkers(ctx context.Context) {
	g.await(ctx, workersWait, func() bool { return g.directory.WorkersRevision() != 0 })
}

// await waits until something is known, for as long as the limit allows.
func (g *Gateway) await(ctx context.Context, limit time.Duration, known func() bool) {
	if known() || g.disabled(mechanism.HeldRequests) {
		return
	}
	timer := time.NewTimer(limit)
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
