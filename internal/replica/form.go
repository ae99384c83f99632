package replica

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/directory"
	"github.com/barleyshelf/barleyshelf/internal/pause"
)

const (
	// formAfter is how long the first groups wait for nodes that start late, and
	// formStagger how much longer each further node waits for the one before it to
	// form them.
	formAfter   = 2 * time.Second
	formStagger = 2 * reconcileEvery
	// lateRegions is how much longer they wait for a first node of each region: one that
	// none has come of by then gets no partition of its own, ever. Callers wait for the
	// first groups that much longer only where a region has no replicas at all.
	lateRegions = 4 * time.Second
	// registerPause is the time between two tries to register.
	registerPause = 500 * time.Millisecond
)

// register keeps this node's entry in the platform's store.
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
		if !pause.For(ctx, registerPause) {
			return
		}
	}
}

func (r *Replica) registerOnce(ctx context.Context, own directory.Object) error {
	if r.options.Bootstrap {
		var taken *directory.Conflict
		if err := r.objects.Create(ctx, directory.KindReplica, own); err == nil || !errors.As(err, &taken) {
			return err
		}
	}
	found, exists, err := r.objects.Get(ctx, directory.KindReplica, own.Name)
	if err != nil {
		return err
	}
	if !exists {
		return r.objects.Create(ctx, directory.KindReplica, own)
	}
	if *found.Replica == *own.Replica {
		return nil
	}
	own.Revision = found.Revision
	return r.objects.Replace(ctx, directory.KindReplica, own)
}

// timeToForm reports whether this node, which has run for so long, is to form the groups
// of a new system.
func (r *Replica) timeToForm(running time.Duration) bool {
	if running < formAfter+time.Duration(r.rank())*formStagger {
		return false
	}
	return running > formAfter+lateRegions || regionsHeard(r.followers.nodes(), r.options.RegionOf)
}

// form creates the groups of a new system that are not there yet. Nodes that form
// them at the same time agree on the first group that is created, and so on the number
// of partitions; of each other group too the one that is created first stands.
func (r *Replica) form(ctx context.Context) {
	known := r.directory.Groups()
	if !missing(known) {
		return
	}
	if len(known) == 0 && !r.firstGroupMissing(ctx) {
		return
	}
	nodes := r.followers.nodes()
	if !hasNode(nodes, r.options.Node) {
		// The list of nodes has not come in yet.
		return
	}
	founding := foundingGroups(nodes, r.options.RegionOf)
	if table := r.directory.View().Table; table != nil && table.RestrictsRegions() {
		founding = append(founding, wholeConfined(founding, nodes, r.options.RegionOf)...)
	}
	system := directory.SystemOf(known)
	if system == 0 {
		system = drawSystem()
	}
	for _, group := range founding {
		group.System = system
		if !sameLayout(group, directory.AnyGroup(r.directory.Groups())) || r.directory.Group(group.Partition) != nil {
			continue
		}
		err := r.objects.Create(ctx, directory.KindGroup, directory.Object{Name: directory.GroupName(group.Partition), Group: group})
		var taken *directory.Conflict
		switch {
		case err == nil:
			r.directory.ApplyGroup(group, directory.SourceSelf)
		case group.Partition == 0 || !errors.As(err, &taken):
			// Another node's first group, and with it the number of partitions, comes
			// in with the watch.
			return
		}
	}
}

// drawSystem names a new system. It stays exact where a store reads numbers as floating-point ones.
func drawSystem() uint64 { return rand.Uint64N(1<<53-1) + 1 }

// rank returns how many registered nodes come before this one by name.
func (r *Replica) rank() (before int) {
	for _, node := range r.followers.nodes() {
		if node.Node < r.options.Node {
			before++
		}
	}
	return before
}

// firstGroupMissing reports whether the store answers that there is no group.
func (r *Replica) firstGroupMissing(ctx context.Context) bool {
	found, exists, err := r.objects.Get(ctx, directory.KindGroup, directory.GroupName(0))
	if exists {
		r.directory.ApplyGroup(found.Group, directory.SourceStore)
	}
	return err == nil && !exists
}
