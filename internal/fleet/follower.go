package fleet

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/pause"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

const (
	// Failed watches are opened again after a time that doubles up to a bound.
	firstReconnect = 200 * time.Millisecond
	lastReconnect  = 2 * time.Second
	// lostAfterFailures is how many watches in a row must fail to open before
	// the engine counts as lost without waiting for its silence.
	lostAfterFailures = 2
)

// follower follows one engine. What the request path reads of it is atomic.
type follower struct {
	endpoint Endpoint
	interval time.Duration
	cancel   context.CancelFunc

	report   atomic.Pointer[structs.EngineStatus]
	failures atomic.Int64
	// markedUntil is the Unix time in nanoseconds until which the engine counts
	// as leaving because MarkLeaving said so.
	markedUntil atomic.Int64
	sent        dispatches
}

// run keeps a watch of the engine's status open until the context ends.
func (f *follower) run(ctx context.Context, engines Engines) {
	wait := firstReconnect
	for ctx.Err() == nil {
		if f.watch(ctx, engines) {
			wait = firstReconnect
		}
		if !pause.For(ctx, jittered(wait)) {
			return
		}
		wait = min(2*wait, lastReconnect)
	}
}

// watch reads reports until the watch breaks or falls silent. It reports
// whether there was at least one.
func (f *follower) watch(ctx context.Context, engines Engines) (any bool) {
	watchContext, cancel := context.WithCancel(ctx)
	defer cancel()
	silence := time.AfterFunc(f.interval+silenceGrace, cancel)
	defer silence.Stop()
	reports, err := engines.WatchStatus(watchContext, f.endpoint.Address, f.interval)
	if err != nil {
		f.failures.Add(1)
		return false
	}
	// The watch is over in any case; its error says no more.
	defer func() { _ = reports.Close() }()
	for {
		status, err := reports.Next()
		if err != nil {
			if ctx.Err() == nil {
				f.failures.Add(1)
			}
			return any
		}
		silence.Reset(f.interval + silenceGrace)
		f.failures.Store(0)
		any = true
		f.accept(status)
	}
}

// accept takes a report. One of another incarnation, or from later than
// markSettle after a mark, ends the mark.
func (f *follower) accept(status structs.EngineStatus) {
	status.ID = f.endpoint.ID
	status.Zone = f.endpoint.Zone
	status.Address = f.endpoint.Address
	marked := f.markedUntil.Load()
	markedAt := time.Unix(0, marked).Add(-markDuration)
	former := f.report.Load()
	restarted := former != nil && former.Incarnation != status.Incarnation
	if marked != 0 && (restarted || status.ReportedAt.Sub(markedAt) > markSettle) {
		// A mark made in between stays.
		f.markedUntil.CompareAndSwap(marked, 0)
	}
	f.report.Store(&status)
}

// lost reports whether the engine gives no reports any more.
func (f *follower) lost(report *structs.EngineStatus, now time.Time) bool {
	return f.failures.Load() >= lostAfterFailures || now.Sub(report.ReportedAt) > f.interval+silenceGrace
}

// jittered returns a span from three to five quarters of the given one, so that
// daemons do not come back at the same moment.
func jittered(span time.Duration) time.Duration {
	return span*3/4 + rand.N(span/2+1)
}
