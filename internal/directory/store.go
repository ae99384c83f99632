// Package directory holds what a process knows of the configuration, the workers, the drained zones
// and the groups of replicas. It lists and watches the platform's store, and receives updates from
// replicas when the store does not answer.
package directory

import (
	"context"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
	"github.com/barleyshelf/barleyshelf/internal/route"
	"github.com/barleyshelf/barleyshelf/internal/telemetry"
)

// Kind is a kind of object in the platform's store.
type Kind int

// The kinds that this project reads or writes.
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

// Object is one object of the store. Only the field of its kind is set.
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

// Worker describes one incarnation of a back end, as the worker registered it.
type Worker struct {
	// ID is the worker's IncarnationID.
	ID string
	// Instance is the name that the worker is registered as. It stays the same after a restart.
	Instance string
	// StartedMs is the start of this incarnation in Unix ms by the worker's clock, or 0 if unknown.
	StartedMs int64
	Service   string
	// Address is an IP address and a port.
	Address string
	Zone    string
	// Version is the version of the worker's software; empty if unknown.
	Version string
	Slots   int
	// Draining workers accept no new requests.
	Draining bool
	// ColdRemaining is how much longer the worker is cold, by its own statement when it wrote its
	// entry. A cold worker accepts only a few requests per second. 0 means that it is not cold.
	ColdRemaining time.Duration
}

// Replica is a node that can be a member of a group.
type Replica struct {
	Node    string
	Address string
	Zone    string
}

// Retirement requests that a node be evacuated.
type Retirement struct {
	Node string
	// Completed is set once the node and its disk can be removed.
	Completed bool
}

// ZoneDrain requests that the workers of a zone get no requests while the object exists.
type ZoneDrain struct {
	Zone string
}

// Listing contains all objects of a kind at a revision.
type Listing struct {
	Objects  []Object
	Revision int64
	// Unusable are the unusable entries, which are not in Objects.
	Unusable []UnusableEntry
}

// Change is one event of a watch. A deleted object has only a name.
type Change struct {
	Object  Object
	Deleted bool
	// Unusable is set if the entry has become unusable. Such a change also has Deleted set.
	Unusable *UnusableEntry
}

// Store is the platform's store.
type Store interface {
	// List returns all objects of a kind.
	List(ctx context.Context, kind Kind) (Listing, error)
	// Watch waits up to timeout for changes after a revision and returns the revision to continue
	// from. It fails with *HistoryLost if the history since that revision is gone.
	Watch(ctx context.Context, kind Kind, revision int64, timeout time.Duration) ([]Change, int64, error)
	// Get returns one object. found is false if it does not exist.
	Get(ctx context.Context, kind Kind, name string) (object Object, found bool, err error)
	// Create creates an object. It fails with *Conflict if the name is in use.
	Create(ctx context.Context, kind Kind, object Object) error
	// Replace writes an object if its revision in the store is still object.Revision. Otherwise it
	// fails with *Conflict.
	Replace(ctx context.Context, kind Kind, object Object) error
	// SetRetirement writes the state of a retirement.
	SetRetirement(ctx context.Context, node string, completed bool) error
}

// MeteredStore is a Store with metrics of its own.
type MeteredStore interface {
	Store
	// RegisterMetrics registers the metrics.
	RegisterMetrics(registry *telemetry.Registry)
}
