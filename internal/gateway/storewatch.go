package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/directory"
	"github.com/barleyshelf/barleyshelf/internal/mechanism"
	"github.com/barleyshelf/barleyshelf/internal/pause"
)

const (
	// initialListDelay is how long after its start a gateway waits for replicas to report the
	// workers before it lists them once at the store. initialListJitter spreads the lists of
	// gateways that start together. After a power loss of all machines replicas answer after
	// 200 ms. Requests wait in the meantime (maxWorkersWait).
	initialListDelay  = 250 * time.Millisecond
	initialListJitter = 250 * time.Millisecond
	// maxInitialListDelay is how long after its start a gateway that reaches replicas waits for
	// them to report the workers. When all machines start for the first time, replicas know no
	// more than gateways for a moment. If every gateway listed a whole fleet, that would cost
	// the store tens of calls and a megabyte each.
	maxInitialListDelay = 4 * time.Second
	// maxWatchingGateways is the number of gateways connected to the same replicas up to which
	// each watches the configuration itself. That adds a redundant path, at the cost of one
	// store call per change and gateway.
	maxWatchingGateways = 8
	// watchStartJitter spreads the time at which gateways that start together and reach no
	// replica begin to watch the store.
	watchStartJitter = 2 * time.Second
	// maxStoreListTime is the longest time to list one kind of object at a store that answers,
	// including the time to notice that no replica has fresh updates.
	maxStoreListTime = 500 * time.Millisecond
	// gatewayCountDelay is the time after the start at which the number of gateways is known.
	// Replicas that have just started know only a few of them.
	gatewayCountDelay = 3 * time.Second
)

// watchStore watches the platform's store while no replica forwards its updates. Every call
// loads the store, which supports a limited number of readers, so the more gateways there are,
// the later each of them begins.
func (g *Gateway) watchStore(ctx context.Context) {
	start, startOffset := time.Now(), rand.Float64()
	noFreshReplica := func(watchDelay time.Duration) bool {
		if g.disabled(mechanism.ReplicaUpdates) {
			return true
		}
		g.watcher.SetMaxBackoff(g.maxStoreBackoff(g.poller.AnsweredWithin(directory.MaxReplicaReportAge)))
		earliest := directory.InitialReplicaReportWait + time.Duration(startOffset*float64(watchStartJitter))
		return time.Since(start) > earliest && !g.poller.FreshWithin(watchDelay)
	}
	watchDelay := func() time.Duration {
		return time.Duration((1 + startOffset) * g.gatewayLoadFactor() * float64(directory.MaxReplicaReportAge))
	}
	urgent := func() bool { return noFreshReplica(g.urgentWatchDelay(watchDelay(), startOffset)) }
	go directory.RunWhile(ctx, func() bool { return noFreshReplica(watchDelay()) }, func(watchContext context.Context) {
		eventStoreWatched.Log()
		g.watcher.WatchWorkersAndGroups(watchContext)
	})
	go directory.RunWhile(ctx, func() bool { return urgent() || g.mayWatchConfiguration(start) }, g.watcher.WatchConfiguration)
	if g.options.WatchZoneDrains {
		go directory.RunWhile(ctx, urgent, g.watcher.WatchZoneDrains)
	}
	go g.listStoreIfUninformed(ctx)
}

// maxStoreBackoff returns the longest time between failed calls to the store. Replicas
// retry much sooner and report when the store answers again. If no replica answers,
// MaxDrainDelay limits the interval.
func (g *Gateway) maxStoreBackoff(replicasAnswer bool) time.Duration {
	longest := time.Duration(g.gatewayLoadFactor() * float64(directory.GatewayTimings.MaxBackoff))
	if replicasAnswer {
		return longest
	}
	return g.capAtHalfDrainDelay(longest)
}

// capAtHalfDrainDelay caps a duration at half of MaxDrainDelay if zone drains are watched.
func (g *Gateway) capAtHalfDrainDelay(duration time.Duration) time.Duration {
	if !g.options.WatchZoneDrains || g.options.MaxDrainDelay <= 0 {
		return duration
	}
	return min(duration, g.options.MaxDrainDelay/2)
}

// urgentWatchDelay returns how long no replica may have been fresh before zone drains and the
// configuration are watched in the store, given that delay for everything else. If zone drains
// are watched, they take effect within half of MaxDrainDelay after the last update from a
// replica, which may be 1.4 s old. With a MaxDrainDelay of 5 s that leaves 1.1 s for a slow
// answer of the store. Gateways that lose the replicas together begin at random during the
// second half of the delay.
func (g *Gateway) urgentWatchDelay(watchDelay time.Duration, startOffset float64) time.Duration {
	capped := g.capAtHalfDrainDelay(watchDelay+maxStoreListTime) - maxStoreListTime
	if capped >= watchDelay {
		return watchDelay
	}
	return max(directory.MaxReplicaReportAge, time.Duration((1+startOffset)/2*float64(capped)))
}

// gatewayLoadFactor returns the number of gateways connected to the same replicas as a multiple
// of maxWatchingGateways, at least 1.
func (g *Gateway) gatewayLoadFactor() float64 {
	return max(1, float64(g.poller.GatewayCount())/maxWatchingGateways)
}

// mayWatchConfiguration reports whether there are few enough gateways for each to watch the
// configuration in addition to the updates from replicas.
func (g *Gateway) mayWatchConfiguration(start time.Time) bool {
	return time.Since(start) > gatewayCountDelay && g.poller.GatewayCount() <= maxWatchingGateways
}

// listStoreIfUninformed lists workers, groups, zone drains and the configuration at the store
// if no replica has reported them soon after the start.
func (g *Gateway) listStoreIfUninformed(ctx context.Context) {
	pause.For(ctx, initialListDelay+rand.N(initialListJitter))
	maxDelay := maxInitialListDelay - rand.N(maxInitialListDelay/2)
	uninformed := func() bool {
		return g.directory.WorkersRevision() == 0 && g.poller.AnsweredWithin(directory.MaxReplicaReportAge)
	}
	for uninformed() && time.Since(g.startedAt) < maxDelay && pause.For(ctx, initialListJitter) {
	}
	if g.directory.WorkersRevision() == 0 {
		g.watcher.ListWorkersGroupsAndDrains(ctx)
	} else if !g.drainsKnown() {
		g.watcher.ListZoneDrains(ctx)
	}
	if g.directory.View().Table == nil {
		g.watcher.ListConfiguration(ctx)
	}
}
