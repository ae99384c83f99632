package directory

import (
	"cmp"
	"iter"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/tidwall/btree"
)

// WorkerRecord is a worker that may take work. It is immutable.
type WorkerRecord struct {
	Worker
	// Lapsed workers are no longer listed and went without notice; they take
	// work only where no other worker is left.
	Lapsed bool
	// LastReceived is when this process last heard the worker's entry by itself, by its own clock;
	// the entry was written before.
	ReceivedAt time.Time
	// rank orders the workers of a zone, alike in all processes. A worker that starts again
	// keeps its place.
	rank uint64
}

// NewWorkerRecord returns a listed worker.
func NewWorkerRecord(worker Worker, heard time.Time) *WorkerRecord {
	return &WorkerRecord{Worker: worker, ReceivedAt: heard, rank: xxhash.Sum64String(worker.Instance)}
}

// orderedByZone orders workers by zone, then by rank.
func orderedByZone(a, b *WorkerRecord) bool {
	order := cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.rank, b.rank))
	return order < 0 || order == 0 && a.ID < b.ID
}

// Workers are the workers that may take work at one moment, of all services. They are
// immutable and share all that did not change with those of the moment before: a change costs
// what has changed, whatever the number of workers. The nil value is that none was heard of.
type Workers struct {
	byID     *btree.BTreeG[*WorkerRecord]
	services map[string]*serviceWorkers
}

// serviceWorkers are those of one service.
type serviceWorkers struct {
	// ordered are all of them, by zone and rank; zones names their zones.
	ordered *btree.BTreeG[*WorkerRecord]
	zones   []string
	// subset is the last one that was asked for.
	subset atomic.Pointer[subset]
}

type subset struct {
	perZone int
	workers []*WorkerRecord
}

// Find returns a worker by its ID.
func (w *Workers) Find(id string) (*WorkerRecord, bool) {
	if w == nil {
		return nil, false
	}
	return w.byID.Get(&WorkerRecord{Worker: Worker{ID: id}})
}

// InService returns all workers of a service.
func (w *Workers) InService(service string) iter.Seq[*WorkerRecord] {
	return func(yield func(*WorkerRecord) bool) {
		if of := w.of(service); of != nil {
			of.ordered.Scan(yield)
		}
	}
}

// List returns all workers of a service in a list of its own.
func (w *Workers) List(service string) []*WorkerRecord { return slices.Collect(w.InService(service)) }

// Count returns how many workers a service has.
func (w *Workers) Count(service string) int {
	if of := w.of(service); of != nil {
		return of.ordered.Len()
	}
	return 0
}

// Subset returns so many workers of each zone of a service at most, those of the lowest rank: the
// same ones in all processes, and nearly the same ones when workers come and go. The list is
// shared and must stay as it is.
func (w *Workers) Subset(service string, perZone int) []*WorkerRecord {
	of := w.of(service)
	if of == nil {
		return nil
	}
	if known := of.subset.Load(); known != nil && known.perZone == perZone {
		return known.workers
	}
	made := &subset{perZone: perZone, workers: make([]*WorkerRecord, 0, min(of.ordered.Len(), perZone*len(of.zones)))}
	for _, zone := range of.zones {
		made.workers = of.appendZone(made.workers, zone, perZone)
	}
	of.subset.Store(made)
	return made.workers
}

// InZone returns so many workers of a zone, of each service, at most.
func (w *Workers) InZone(zone string, most int) (there []*WorkerRecord) {
	if w == nil {
		return nil
	}
	for _, of := range w.services {
		there = of.appendZone(there, zone, most)
	}
	return there
}

// appendZone appends so many workers of a zone at most, by rank.
func (s *serviceWorkers) appendZone(to []*WorkerRecord, zone string, most int) []*WorkerRecord {
	left := most
	s.ordered.Ascend(&WorkerRecord{Worker: Worker{Zone: zone}}, func(each *WorkerRecord) bool {
		if each.Zone != zone || left == 0 {
			return false
		}
		left--
		to = append(to, each)
		return true
	})
	return to
}

func (w *Workers) of(service string) *serviceWorkers {
	if w == nil {
		return nil
	}
	return w.services[service]
}

// workerTrees are the workers that may take work, as they change. Snapshots share their nodes.
type workerTrees struct {
	byID     *btree.BTreeG[*WorkerRecord]
	services map[string]*serviceTree
	// last is the last snapshot, changed whether there was a change since.
	last    *Workers
	changed bool
}

// serviceTree are those of one service.
type serviceTree struct {
	ordered *btree.BTreeG[*WorkerRecord]
	// zones counts the workers of each zone.
	zones   map[string]int
	changed bool
}

// treeDegree makes nodes of up to 31 workers: a change copies one node of each level, about
// 250 bytes each.
const treeDegree = 16

func newTree(less func(a, b *WorkerRecord) bool) *btree.BTreeG[*WorkerRecord] {
	return btree.NewBTreeGOptions(less, btree.Options{NoLocks: true, Degree: treeDegree})
}

func newWorkerTrees() *workerTrees {
	byID := func(a, b *WorkerRecord) bool { return a.ID < b.ID }
	return &workerTrees{byID: newTree(byID), services: make(map[string]*serviceTree)}
}

// find returns a worker, or nil.
func (t *workerTrees) find(id string) *WorkerRecord {
	found, _ := t.byID.Get(&WorkerRecord{Worker: Worker{ID: id}})
	return found
}

// put adds a worker in place of the one with its ID.
func (t *workerTrees) put(worker *WorkerRecord) {
	t.remove(worker.ID)
	of := t.services[worker.Service]
	if of == nil {
		of = &serviceTree{ordered: newTree(orderedByZone), zones: make(map[string]int)}
		t.services[worker.Service] = of
	}
	t.byID.Set(worker)
	of.ordered.Set(worker)
	of.zones[worker.Zone]++
	of.changed, t.changed = true, true
}

// remove takes a worker off, if it is there.
func (t *workerTrees) remove(id string) {
	worker, found := t.byID.Delete(&WorkerRecord{Worker: Worker{ID: id}})
	if !found {
		return
	}
	of := t.services[worker.Service]
	of.ordered.Delete(worker)
	if of.zones[worker.Zone]--; of.zones[worker.Zone] == 0 {
		delete(of.zones, worker.Zone)
	}
	of.changed, t.changed = true, true
}

// snapshot returns the workers of this moment.
func (t *workerTrees) snapshot() *Workers {
	if t.last != nil && !t.changed {
		return t.last
	}
	next := &Workers{byID: t.byID.Copy(), services: make(map[string]*serviceWorkers, len(t.services))}
	for name, of := range t.services {
		switch {
		case of.ordered.Len() == 0:
			delete(t.services, name)
		case of.changed || t.last == nil:
			next.services[name] = &serviceWorkers{ordered: of.ordered.Copy(), zones: of.zoneNames()}
		default:
			next.services[name] = t.last.services[name]
		}
		of.changed = false
	}
	t.last, t.changed = next, false
	return next
}

func (s *serviceTree) zoneNames() []string {
	names := make([]string, 0, len(s.zones))
	for name := range s.zones {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
