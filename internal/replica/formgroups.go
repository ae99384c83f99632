package replica

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/directory"
	"github.com/barleyshelf/barleyshelf/internal/pause"
)

const (
	// formDelay is how long the formation of the first groups waits for nodes that start late.
	// formStagger is how much longer each further node waits for its predecessor to form them.
	formDelay   = 2 * time.Second
	formStagger = 2 * reconcileInterval
	// missingRegionWait is how much longer the formation waits if a region has no node yet. A
	// region without nodes by then never gets partitions of its own. The added wait occurs only if
	// a region has no replicas at all.
	missingRegionWait = 4 * time.Second
	// registerRetryInterval is the interval between attempts to register.
	registerRetryInterval = 500 * time.Millisecond
)

// register creates or updates this node's entry in the platform's store.
func (r *Replica) register(ctx context.Context) {
	own := directory.Object{
		Name:    r.options.Node,
		Replica: &directory.Replica{Node: r.options.Node, Address: r.options.Address, Zone: r.options.Zone},
	}
	for {
		err := r.registerOnce(ctx, own)
		if err == nil {
			return
		}
		if !pause.For(ctx, registerRetryInterval) {
			return
		}
	}
}

func (r *Replica) registerOnce(ctx context.Context, own directory.Object) error {
	if r.options.Bootstrap {
		var conflict *directory.Conflict
		if err := r.store.Create(ctx, directory.KindReplica, own); err == nil || !errors.As(err, &conflict) {
			return err
		}
	}
	registered, exists, err := r.store.Get(ctx, directory.KindReplica, own.Name)
	if err != nil {
		return err
	}
	if !exists {
		return r.store.Create(ctx, directory.KindReplica, own)
	}
	if *registered.Replica == *own.Replica {
		return nil
	}
	own.Revision = registered.Revision
	return r.store.Replace(ctx, directory.KindReplica, own)
}

// shouldFormGroups reports whether it is this node's turn to form the groups of a new system, after
// the given running time.
func (r *Replica) shouldFormGroups(running time.Duration) bool {
	if running < formDelay+time.Duration(r.nodeRank())*formStagger {
		return false
	}
	return running > formDelay+missingRegionWait || allRegionsHaveNodes(r.nodes.list(), r.options.RegionOf)
}

// formGroups creates the missing groups of a new system. Nodes that form groups concurrently agree
// on the first group that is created, and with it on the number of partitions. For every other
// group, too, the first one created remains.
func (r *Replica) formGroups(ctx context.Context) {
	groups := r.directory.Groups()
	if !lacksUnconfinedGroup(groups) {
		return
	}
	if len(groups) == 0 && !r.firstGroupMissing(ctx) {
		return
	}
	nodes := r.nodes.list()
	if !hasNode(nodes, r.options.Node) {
		// The list of nodes has not been received yet.
		return
	}
	if isAloneAmongSeeds(r.options.Address, len(nodes), *r.seeds.Load()) {
		r.aloneLogged.Do(func() { eventAlone.Log("seeds", *r.seeds.Load()) })
		return
	}
	initial := initialGroups(nodes, r.options.RegionOf)
	if table := r.directory.View().Table; table != nil && table.RestrictsRegions() {
		initial = append(initial, initialConfinedGroups(initial, nodes, r.options.RegionOf)...)
	}
	system := directory.SystemOf(groups)
	if system == 0 {
		system = newSystemID()
	}
	for _, group := range initial {
		group.System, group.Agreed = system, true
		if !sameLayout(group, directory.AnyGroup(r.directory.Groups())) || r.directory.Group(group.Partition) != nil {
			continue
		}
		err := r.store.Create(ctx, directory.KindGroup, directory.Object{Name: directory.GroupName(group.Partition), Group: group})
		var conflict *directory.Conflict
		switch {
		case err == nil:
			r.directory.ApplyGroup(group, directory.SourceSelf)
		case group.Partition == 0 || !errors.As(err, &conflict):
			// Another node has created the first group. It arrives with the watch and contains the
			// number of partitions.
			return
		}
	}
}

// isAloneAmongSeeds reports whether a replica is the only registered one although seeds name another. A group of it
// alone would acknowledge records that lie on one disk.
func isAloneAmongSeeds(ownAddress string, registered int, seeds []string) bool {
	isOther := func(seed string) bool { return seed != ownAddress }
	return registered < 2 && slices.ContainsFunc(seeds, isOther)
}

// newSystemID returns a random ID for a new system. It has 53 bits, so that it stays exact in a
// store that reads numbers as floating-point values.
func newSystemID() uint64 { return rand.Uint64N(1<<53-1) + 1 }

// nodeRank returns the number of registered nodes whose names sort before this one's.
func (r *Replica) nodeRank() (before int) {
	for _, node := range r.nodes.list() {
		if node.Node < r.options.Node {
			before++
		}
	}
	return before
}

// firstGroupMissing reports whether the store answers that no group exists.
func (r *Replica) firstGroupMissing(ctx context.Context) bool {
	stored, exists, err := r.store.Get(ctx, directory.KindGroup, directory.GroupName(0))
	if exists {
		r.directory.ApplyGroup(stored.Group, directory.SourceStore)
	}
	return err == nil && !exists
}
