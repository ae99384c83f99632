package replica

import (
	"sync"

	"github.com/barleyshelf/barleyshelf/internal/directory"
	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
)

// followed keeps the registered nodes and the retirements, as the platform's store or
// another replica tells them. Later revisions replace earlier ones.
type followed struct {
	mutex               sync.Mutex
	replicas            map[string]directory.Replica
	retirements         map[string]directory.Retirement
	replicasRevision    int64
	retirementsRevision int64
	// news is closed, and replaced, with each change.
	news chan struct{}
}

func newFollowed() *followed {
	return &followed{
		replicas: make(map[string]directory.Replica), retirements: make(map[string]directory.Retirement),
		news: make(chan struct{}),
	}
}

// changed returns a channel that is closed with the next change, or nil if that does
// not matter to the caller.
func (f *followed) changed(matters bool) <-chan struct{} {
	if !matters {
		return nil
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.news
}

// takeReplicas takes a listing, if it has a revision, or changes.
func (f *followed) takeReplicas(listing directory.Listing, changes []directory.Change, revision int64) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if revision <= f.replicasRevision {
		return
	}
	take(f.replicas, listing, changes, func(object directory.Object) directory.Replica { return *object.Replica })
	f.replicasRevision = revision
	f.publish()
}

// takeRetirements takes a listing, if it has a revision, or changes.
func (f *followed) takeRetirements(listing directory.Listing, changes []directory.Change, revision int64) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if revision <= f.retirementsRevision {
		return
	}
	take(f.retirements, listing, changes, func(object directory.Object) directory.Retirement { return *object.Retirement })
	f.retirementsRevision = revision
	f.publish()
}

// publish wakes those who wait for changes. The mutex is held.
func (f *followed) publish() {
	close(f.news)
	f.news = make(chan struct{})
}

// take brings what is known of one kind of objects, by name, up to date.
func take[T any](known map[string]T, listing directory.Listing, changes []directory.Change, of func(directory.Object) T) {
	if listing.Revision != 0 {
		clear(known)
	}
	for _, object := range listing.Objects {
		known[object.Name] = of(object)
	}
	for _, change := range changes {
		if change.Deleted {
			delete(known, change.Object.Name)
			continue
		}
		known[change.Object.Name] = of(change.Object)
	}
}

// Revisions returns up to which revisions of the platform's store nodes and
// retirements are known.
func (f *followed) Revisions() *replicav1.NodeRevisions {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return &replicav1.NodeRevisions{Nodes: f.replicasRevision, Retirements: f.retirementsRevision}
}

// Apply takes lists that another replica passed on; nil is none.
func (f *followed) Apply(nodes *replicav1.NodeList, retirements *replicav1.RetirementList) {
	if nodes != nil {
		listing := directory.Listing{Revision: nodes.Revision}
		for _, node := range nodes.Nodes {
			known := directory.Replica{Node: node.Name, Address: node.Address, Zone: node.Zone}
			listing.Objects = append(listing.Objects, directory.Object{Name: node.Name, Replica: &known})
		}
		f.takeReplicas(listing, nil, nodes.Revision)
	}
	if retirements != nil {
		listing := directory.Listing{Revision: retirements.Revision}
		for _, retirement := range retirements.Retirements {
			known := directory.Retirement{Node: retirement.Node, Completed: retirement.Completed}
			listing.Objects = append(listing.Objects, directory.Object{Name: retirement.Node, Retirement: &known})
		}
		f.takeRetirements(listing, nil, retirements.Revision)
	}
}

// nodesAfter returns the registered nodes if they have changed since a revision.
func (f *followed) nodesAfter(revision int64) *replicav1.NodeList {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.replicasRevision <= revision {
		return nil
	}
	list := &replicav1.NodeList{Revision: f.replicasRevision}
	for _, node := range f.replicas {
		list.Nodes = append(list.Nodes, &replicav1.Node{Name: node.Node, Address: node.Address, Zone: node.Zone})
	}
	return list
}

// retirementsAfter returns the retirements if they have changed since a revision.
func (f *followed) retirementsAfter(revision int64) *replicav1.RetirementList {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.retirementsRevision <= revision {
		return nil
	}
	list := &replicav1.RetirementList{Revision: f.retirementsRevision}
	for _, retirement := range f.retirements {
		list.Retirements = append(list.Retirements, &replicav1.Retirement{Node: retirement.Node, Completed: retirement.Completed})
	}
	return list
}

func (f *followed) nodes() []directory.Replica {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	nodes := make([]directory.Replica, 0, len(f.replicas))
	for _, node := range f.replicas {
		nodes = append(nodes, node)
	}
	return nodes
}

func (f *followed) retiring() map[string]bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	retiring := make(map[string]bool, len(f.retirements))
	for node := range f.retirements {
		retiring[node] = true
	}
	return retiring
}

func (f *followed) retirement(node string) (directory.Retirement, bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	found, asked := f.retirements[node]
	return found, asked
}
