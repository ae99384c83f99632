package replica

import (
	"sync"

	"github.com/barleyshelf/barleyshelf/internal/directory"
	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
)

// nodeRegistry holds the registered nodes and the retirements, as received from the platform's
// store or from another replica. Later revisions replace earlier ones.
type nodeRegistry struct {
	mutex               sync.Mutex
	replicas            map[string]directory.Replica
	retirements         map[string]directory.Retirement
	replicasRevision    int64
	retirementsRevision int64
	// changes is closed and replaced after each change.
	changes chan struct{}
}

func newNodeRegistry() *nodeRegistry {
	return &nodeRegistry{
		replicas: make(map[string]directory.Replica), retirements: make(map[string]directory.Retirement),
		changes: make(chan struct{}),
	}
}

// changeNotification returns a channel that is closed on the next change, or nil if wanted is
// false.
func (r *nodeRegistry) changeNotification(wanted bool) <-chan struct{} {
	if !wanted {
		return nil
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.changes
}

// updateReplicas applies a full listing, if it has a revision, or else changes.
func (r *nodeRegistry) updateReplicas(listing directory.Listing, changes []directory.Change, revision int64) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if revision <= r.replicasRevision {
		return
	}
	applyListing(r.replicas, listing, changes, func(object directory.Object) directory.Replica { return *object.Replica })
	r.replicasRevision = revision
	r.notify()
}

// updateRetirements applies a full listing, if it has a revision, or else changes.
func (r *nodeRegistry) updateRetirements(listing directory.Listing, changes []directory.Change, revision int64) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if revision <= r.retirementsRevision {
		return
	}
	applyListing(r.retirements, listing, changes, func(object directory.Object) directory.Retirement { return *object.Retirement })
	r.retirementsRevision = revision
	r.notify()
}

// notify wakes up all goroutines that wait for changes. The mutex must be held.
func (r *nodeRegistry) notify() {
	close(r.changes)
	r.changes = make(chan struct{})
}

// applyListing updates entries of one kind, which are keyed by name.
func applyListing[T any](entries map[string]T, listing directory.Listing, changes []directory.Change, value func(directory.Object) T) {
	if listing.Revision != 0 {
		clear(entries)
	}
	for _, object := range listing.Objects {
		entries[object.Name] = value(object)
	}
	for _, change := range changes {
		if change.Deleted {
			delete(entries, change.Object.Name)
			continue
		}
		entries[change.Object.Name] = value(change.Object)
	}
}

// Revisions returns the revisions of the known nodes and retirements in the platform's store.
func (r *nodeRegistry) Revisions() *replicav1.NodeRevisions {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return &replicav1.NodeRevisions{Nodes: r.replicasRevision, Retirements: r.retirementsRevision}
}

// Apply applies lists from another replica. A nil list is ignored.
func (r *nodeRegistry) Apply(nodes *replicav1.NodeList, retirements *replicav1.RetirementList) {
	if nodes != nil {
		listing := directory.Listing{Revision: nodes.Revision}
		for _, node := range nodes.Nodes {
			registered := directory.Replica{Node: node.Name, Address: node.Address, Zone: node.Zone}
			listing.Objects = append(listing.Objects, directory.Object{Name: node.Name, Replica: &registered})
		}
		r.updateReplicas(listing, nil, nodes.Revision)
	}
	if retirements != nil {
		listing := directory.Listing{Revision: retirements.Revision}
		for _, retirement := range retirements.Retirements {
			registered := directory.Retirement{Node: retirement.Node, Completed: retirement.Completed}
			listing.Objects = append(listing.Objects, directory.Object{Name: retirement.Node, Retirement: &registered})
		}
		r.updateRetirements(listing, nil, retirements.Revision)
	}
}

// nodesSince returns the registered nodes, or nil if they have not changed since a revision.
func (r *nodeRegistry) nodesSince(revision int64) *replicav1.NodeList {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.replicasRevision <= revision {
		return nil
	}
	list := &replicav1.NodeList{Revision: r.replicasRevision}
	for _, node := range r.replicas {
		list.Nodes = append(list.Nodes, &replicav1.Node{Name: node.Node, Address: node.Address, Zone: node.Zone})
	}
	return list
}

// retirementsSince returns the retirements, or nil if they have not changed since a revision.
func (r *nodeRegistry) retirementsSince(revision int64) *replicav1.RetirementList {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.retirementsRevision <= revision {
		return nil
	}
	list := &replicav1.RetirementList{Revision: r.retirementsRevision}
	for _, retirement := range r.retirements {
		list.Retirements = append(list.Retirements, &replicav1.Retirement{Node: retirement.Node, Completed: retirement.Completed})
	}
	return list
}

func (r *nodeRegistry) list() []directory.Replica {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	nodes := make([]directory.Replica, 0, len(r.replicas))
	for _, node := range r.replicas {
		nodes = append(nodes, node)
	}
	return nodes
}

func (r *nodeRegistry) retiringNodes() map[string]bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	retiringNodes := make(map[string]bool, len(r.retirements))
	for node := range r.retirements {
		retiringNodes[node] = true
	}
	return retiringNodes
}

func (r *nodeRegistry) retirement(node string) (directory.Retirement, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	retirement, found := r.retirements[node]
	return retirement, found
}
