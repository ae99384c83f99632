package replica

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/directory"
	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
	"github.com/barleyshelf/barleyshelf/internal/mechanism"
)

const (
	// minWatchers is the minimum number of replicas that watch the platform's store. The store may
	// be unavailable to a third of the machines, and each other replica queries two watchers.
	minWatchers = 4
	// fallbackWatchSpread is the time over which replicas that reach no watcher start, at random
	// moments, to watch the store themselves. The first of them can answer the others before they
	// start.
	fallbackWatchSpread = 1500 * time.Millisecond
	// maxFallbackRetry is the maximum retry interval of a replica that watches the store in place
	// of the watchers. If its calls fail too, the store itself has probably failed.
	maxFallbackRetry = 2 * time.Second
)

// chooseWatchers returns the replicas that watch the platform's store and pass on its updates. They
// are the first members of each zone by name, so that the number of calls to the store grows with
// the zones and not with the machines. Replicas that know the same groups choose the same watchers.
func chooseWatchers(groups []*replicav1.Group) []directory.Replica {
	zones := make(map[string][]directory.Replica)
	for _, member := range directory.Members(groups) {
		zones[member.Zone] = append(zones[member.Zone], member)
	}
	var chosen []directory.Replica
	for _, inZone := range zones {
		slices.SortFunc(inZone, func(a, b directory.Replica) int { return strings.Compare(a.Node, b.Node) })
		perZone := (minWatchers + len(zones) - 1) / len(zones)
		chosen = append(chosen, inZone[:min(perZone, len(inZone))]...)
	}
	return chosen
}

// isWatcher reports whether this replica must watch the store: it was chosen, or it is a seed while
// no group is known.
func (r *Replica) isWatcher() bool {
	if r.options.DisabledMechanisms.Has(mechanism.LimitedWatchers) {
		return true
	}
	groups := r.directory.Groups()
	if len(groups) == 0 {
		return slices.Contains(*r.seeds.Load(), r.options.Address)
	}
	return hasNode(chooseWatchers(groups), r.options.Node)
}

// runStoreWatch watches the platform's store while this replica is a watcher, or while it reaches
// none.
func (r *Replica) runStoreWatch(ctx context.Context) {
	started, jitter := time.Now(), rand.N(fallbackWatchSpread)
	shouldWatch := func() bool {
		if r.isWatcher() {
			r.watcher.SetMaxBackoff(directory.ReplicaTimings.MaxBackoff)
			return true
		}
		r.watcher.SetMaxBackoff(maxFallbackRetry)
		return time.Since(started) > directory.InitialReplicaReportWait+jitter && !r.poller.FreshWithin(directory.MaxReplicaReportAge+jitter)
	}
	directory.RunWhile(ctx, shouldWatch, func(watchCtx context.Context) {
		go r.watcher.ListAndWatch(watchCtx, directory.KindReplica, "replicas", directory.WatchTimeout, r.nodes.updateReplicas)
		go r.watcher.ListAndWatch(watchCtx, directory.KindRetirement, "retirements", directory.WatchTimeout, r.nodes.updateRetirements)
		r.watcher.Run(watchCtx)
	})
}

// storeViewAge returns the age of this replica's view of the store, and false if it has no view.
func (r *Replica) storeViewAge() (age time.Duration, known bool) {
	if r.watcher.Healthy() {
		return 0, true
	}
	return r.poller.UpdateAge()
}

// isStoreReachable reports whether the store answers this replica or a replica that this one can
// reach.
func (r *Replica) isStoreReachable() bool {
	return r.watcher.Healthy() || r.poller.FreshWithin(directory.MaxReplicaReportAge)
}

// otherWatchers returns the watchers that this replica may query.
func (r *Replica) otherWatchers() []directory.Replica {
	return slices.DeleteFunc(chooseWatchers(r.directory.Groups()), func(watcher directory.Replica) bool {
		return watcher.Node == r.options.Node
	})
}
