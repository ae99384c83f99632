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
	// listAfter is how long replicas have to pass the workers on after the start
	// before they are listed once at the store, and listSpread the time over which
	// gateways that start together do so. Replicas that lost power with all other
	// machines answer after 200 ms; requests are held meanwhile (workersWait).
	listAfter  = 250 * time.Millisecond
	listSpread = 250 * time.Millisecond
	// listPatience is for how long after its start a gateway that hears replicas waits for them
	// to pass the workers on. When all machines start for the first time replicas know as little
	// as gateways for a moment; each gateway's own list of a whole fleet would be tens of calls
	// and a megabyte of the store's.
	listPatience = 4 * time.Second
	// fewGateways is up to how many gateways before the same replicas each watches the
	// configuration by itself: that makes one path more, and costs a call for each
	// change and gateway.
	fewGateways = 8
	// startSpread is the time over which gateways that start together, and hear of no
	// replica, begin to follow the store.
	startSpread = 2 * time.Second
	// storeListing is what listing one kind at the store takes at most while it answers,
	// with the time until it is noticed that no replica is heard.
	storeListing = 500 * time.Millisecond
	// countedAfter is how long after the start the number of gateways is known:
	// replicas that have just started have heard few.
	countedAfter = 3 * time.Second
)

// followStore follows the platform's store while no replica passes on what it tells.
// Each call to it has its price, and the store bears only so many readers; so the more
// gateways there are, the later each of them does so.
func (g *Gateway) followStore(ctx context.Context) {
	began, late := time.Now(), rand.Float64()
	unheard := func(patience time.Duration) bool {
		if g.disabled(mechanism.ReplicaUpdates) {
			return true
		}
		g.feed.SetMaxBackoff(g.lastRetry(g.relay.AnsweredWithin(directory.MaxReplicaReportAge)))
		start := directory.InitialReplicaReportWait + time.Duration(late*float64(startSpread))
		return time.Since(began) > start && !g.relay.FreshWithin(patience)
	}
	patience := func() time.Duration {
		return time.Duration((1 + late) * g.crowd() * float64(directory.MaxReplicaReportAge))
	}
	pressing := func() bool { return unheard(g.pressingPatience(patience(), late)) }
	go directory.RunWhile(ctx, func() bool { return unheard(patience()) }, func(following context.Context) {
		eventDirect.Log()
		g.feed.WatchWorkersAndGroups(following)
	})
	go directory.RunWhile(ctx, func() bool { return pressing() || g.watchesConfiguration(began) }, g.feed.WatchConfiguration)
	if g.options.WatchZoneDrains {
		go directory.RunWhile(ctx, pressing, g.feed.WatchZoneDrains)
	}
	go g.listOnce(ctx)
}

// lastRetry returns the longest time between failed calls to the store. Replicas that are
// heard try much sooner and tell when it answers; where none is, the drain bound counts.
func (g *Gateway) lastRetry(heard bool) time.Duration {
	longest := time.Duration(g.crowd() * float64(directory.GatewayTimings.MaxBackoff))
	if heard {
		return longest
	}
	return g.bounded(longest)
}

// bounded caps a time at half of the drain bound, where drains are followed.
func (g *Gateway) bounded(limit time.Duration) time.Duration {
	if !g.options.WatchZoneDrains || g.options.MaxDrainDelay <= 0 {
		return limit
	}
	return min(limit, g.options.MaxDrainDelay/2)
}

// pressingPatience returns for how long no replica may have been heard before the drained
// zones and the configuration are followed at the store, given how long that is for the
// rest. Where drains are followed they are in force within half of their bound after the
// last word of a replica, which may be oldWord old (1.4 s): of a bound of 5 s, 1.1 s are left
// for a call that the store answers late. Gateways that lost the replicas together begin
// over the second half of the patience.
func (g *Gateway) pressingPatience(patience time.Duration, late float64) time.Duration {
	capped := g.bounded(patience+storeListing) - storeListing
	if capped >= patience {
		return patience
	}
	return max(directory.MaxReplicaReportAge, time.Duration((1+late)/2*float64(capped)))
}

// crowd returns how many times fewGateways there are before the same replicas; 1 at
// least.
func (g *Gateway) crowd() float64 { return max(1, float64(g.relay.GatewayCount())/fewGateways) }

// watchesConfiguration reports whether gateways are few enough for each to watch the
// configuration beside what replicas tell.
func (g *Gateway) watchesConfiguration(began time.Time) bool {
	return time.Since(began) > countedAfter && g.relay.GatewayCount() <= fewGateways
}

// listOnce lists the workers and the groups at the store, the drained zones, and the
// configuration, if no replica has told them soon after the start.
func (g *Gateway) listOnce(ctx context.Context) {
	pause.For(ctx, listAfter+rand.N(listSpread))
	awaited := listPatience - rand.N(listPatience/2)
	unknown := func() bool {
		return g.directory.WorkersRevision() == 0 && g.relay.AnsweredWithin(directory.MaxReplicaReportAge)
	}
	for unknown() && time.Since(g.started) < awaited && pause.For(ctx, listSpread) {
	}
	if g.directory.WorkersRevision() == 0 {
		g.feed.ListWorkersGroupsAndDrains(ctx)
	} else if !g.drainsKnown() {
		g.feed.ListZoneDrains(ctx)
	}
	if g.directory.View().Table == nil {
		g.feed.ListConfiguration(ctx)
	}
}
