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
	// wantedWatchers is how many replicas follow the platform's store in all, at least:
	// it may turn a third of the machines away, and each of the others asks two.
	wantedWatchers = 4
	// standInSpread is the time over which replicas that no watcher answers begin, each at
	// a moment of its own, to follow the store themselves: the first of them answers
	// the others before they begin.
	standInSpread = 1500 * time.Millisecond
	// standInRetry is the longest time between failed calls of a replica that stands
	// in for watchers: where they fail too, it is likely the store.
	standInRetry = 2 * time.Second
)

// watchers returns the replicas that follow the platform's store and pass on what it
// tells, so that calls to it grow with zones and not with machines. All that know the
// same groups choose alike: the first members of each zone, by name.
func watchers(groups []*replicav1.Group) []directory.Replica {
	zones := make(map[string][]directory.Replica)
	for _, member := range directory.Members(groups) {
		zones[member.Zone] = append(zones[member.Zone], member)
	}
	var chosen []directory.Replica
	for _, inZone := range zones {
		slices.SortFunc(inZone, func(a, b directory.Replica) int { return strings.Compare(a.Node, b.Node) })
		each := (wantedWatchers + len(zones) - 1) / len(zones)
		chosen = append(chosen, inZone[:min(each, len(inZone))]...)
	}
	return chosen
}

// watches reports whether this replica is to follow the store in any case: it is chosen,
// or it is a seed while no group is known.
func (r *Replica) watches() bool {
	if r.options.DisabledMechanisms.Has(mechanism.LimitedWatchers) {
		return true
	}
	groups := r.directory.Groups()
	if len(groups) == 0 {
		return slices.Contains(*r.seeds.Load(), r.options.Address)
	}
	return hasNode(watchers(groups), r.options.Node)
}

// followStore follows the platform's store while this replica is to, or while it hears
// of none that does.
func (r *Replica) followStore(ctx context.Context) {
	began, late := time.Now(), rand.N(standInSpread)
	wanted := func() bool {
		if r.watches() {
			r.feed.SetMaxBackoff(directory.ReplicaTimings.MaxBackoff)
			return true
		}
		r.feed.SetMaxBackoff(standInRetry)
		return time.Since(began) > directory.InitialReplicaReportWait+late && !r.relay.FreshWithin(directory.MaxReplicaReportAge+late)
	}
	directory.RunWhile(ctx, wanted, func(following context.Context) {
		go r.feed.ListAndWatch(following, directory.KindReplica, "replicas", directory.WatchTimeout, r.followers.takeReplicas)
		go r.feed.ListAndWatch(following, directory.KindRetirement, "retirements", directory.WatchTimeout, r.followers.takeRetirements)
		r.feed.Run(following)
	})
}

// storeReportAge returns how old this replica's view of the store is, or false if it has none.
func (r *Replica) storeReportAge() (age time.Duration, known bool) {
	if r.feed.Healthy() {
		return 0, true
	}
	return r.relay.UpdateAge()
}

// storeAnswers reports whether the store answers this replica, or one that answers it.
func (r *Replica) storeAnswers() bool {
	return r.feed.Healthy() || r.relay.FreshWithin(directory.MaxReplicaReportAge)
}

// otherWatchers returns the watchers that this replica may ask for news.
func (r *Replica) otherWatchers() []directory.Replica {
	return slices.DeleteFunc(watchers(r.directory.Groups()), func(watcher directory.Replica) bool {
		return watcher.Node == r.options.Node
	})
}
