// Package directory keeps what a process knows of the configuration, the
// workers and the group of replicas: learned from the platform's store by list
// and watch, and from replicas where the store does not answer.
package directory

import (
	"context"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
	"github.com/barleyshelf/barleyshelf/internal/route"
)

// Kind is a kind of object in the platform's store.
type Kind int

// The kinds that the product reads or writes.
const (
	KindConfiguration Kind = iota
	KindWorker
	KindReplica
	KindGroup
	KindRetirement
	KindZoneDrain
)

// String returns the kind's name in logs.
func (k Kind) String() string {
	names := [...]string{"configuration", "worker", "replica", "group", "retirement", "zone drain"}
	return names[k]
}

// Object is one object of the store. Exactly the field of its kind is set.
type Object struct {
	Name     string
	Revision int64

	Configuration *route.Configuration
	Worker        *Worker
	Replica       *Replica
	Group         *replicav1.Group
	Retirement    *Retirement
	ZoneDrain     *ZoneDrain
}

// Worker is one life of a back end as it describes itself.
type Worker struct {
	// ID is its IncarnationID.
	ID string
	// Instance is the name that it is registered as, which a later life may have too.
	Instance string
	// StartedMs is the start of this life in Unix ms by the worker's clock; 0 is not known.
	StartedMs int64
	Service   string
	// Address is an IP and a port.
	Address string
	Zone    string
	Slots   int
	// Draining workers take no new work.
	Draining bool
	// ColdRemaining is for how long the worker said, when it wrote its entry, that it bears
	// few requests a second; 0 is none.
	ColdRemaining time.Duration
}

// Replica is a node that can hold a seat of the group.
type Replica struct {
	Node    string
	Address string
	Zone    string
}

// Retirement asks that a node be emptied.
type Retirement struct {
	Node string
	// Completed is set once the node may go with its disk.
	Completed bool
}

// ZoneDrain asks that the workers of a zone get nothing while it stands.
type ZoneDrain struct {
	Zone string
}

// Listing is every object of a kind as of a revision.
type Listing struct {
	Objects  []Object
	Revision int64
	// UnusableEntry are the entries that name no object to use. They are not in Objects.
	Unusable []UnusableEntry
}

// Change is one event of a watch. Of a deleted object only the name is set.
type Change struct {
	Object  Object
	Deleted bool
	// UnusableEntry is why the entry names no object to use any more; such a change is Deleted.
	Unusable *UnusableEntry
}

// Store is the platform's store.
type Store interface {
	// List returns all objects of a kind.
	List(ctx context.Context, kind Kind) (Listing, error)
	// Watch waits up to wait for changes after a revision and returns the
	// revision to go on from. It fails with *HistoryLost when that history is
	// gone.
	Watch(ctx context.Context, kind Kind, revision int64, wait time.Duration) ([]Change, int64, error)
	// Get returns one object; found is false where there is none.
	Get(ctx context.Context, kind Kind, name string) (object Object, found bool, err error)
	// Create makes an object. It fails with *Conflict where the name is taken.
	Create(ctx context.Context, kind Kind, object Object) error
	// Replace writes an object if its revision is still object.Revision, else it
	// fails with *Conflict.
	Replace(ctx context.Context, kind Kind, object Object) error
	// SetRetirement writes a retirement's state.
	SetRetirement(ctx context.Context, node string, completed bool) error
}
