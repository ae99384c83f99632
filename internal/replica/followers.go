package replica

import (
	"sync"

	"github.com/barleyshelf/barleyshelf/internal/directory"
)

// followed keeps the registered nodes and the retirements as the platform's
// store tells them.
type followed struct {
	mutex       sync.Mutex
	replicas    map[string]directory.Replica
	retirements map[string]directory.Retirement
}

func newFollowed() *followed {
	return &followed{
		replicas: make(map[string]directory.Replica), retirements: make(map[string]directory.Retirement),
	}
}

// takeReplicas takes a listing, if it has a revision, or changes.
func (f *followed) takeReplicas(listing directory.Listing, changes []directory.Change, _ int64) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	take(f.replicas, listing, changes, func(object directory.Object) directory.Replica { return *object.Replica })
}

// takeRetirements takes a listing, if it has a revision, or changes.
func (f *followed) takeRetirements(listing directory.Listing, changes []directory.Change, _ int64) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	take(f.retirements, listing, changes, func(object directory.Object) directory.Retirement { return *object.Retirement })
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
		if change.Gone {
			delete(known, change.Object.Name)
			continue
		}
		known[change.Object.Name] = of(change.Object)
	}
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
