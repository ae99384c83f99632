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
	if listing.Revision != 0 {
		clear(f.replicas)
	}
	for _, object := range listing.Objects {
		f.replicas[object.Name] = *object.Replica
	}
	for _, change := range changes {
		if change.Gone {
			delete(f.replicas, change.Object.Name)
			continue
		}
		f.replicas[change.Object.Name] = *change.Object.Replica
	}
}

func (f *followed) takeRetirements(listing directory.Listing, changes []directory.Change, _ int64) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if listing.Revision != 0 {
		clear(f.retirements)
	}
	for _, object := range listing.Objects {
		f.retirements[object.Name] = *object.Retirement
	}
	for _, change := range changes {
		if change.Gone {
			delete(f.retirements, change.Object.Name)
			continue
		}
		f.retirements[change.Object.Name] = *change.Object.Retirement
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
