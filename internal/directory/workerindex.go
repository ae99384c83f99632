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

// WorkerRecord is a worker with what this process has recorded about it. It is immutable.
type WorkerRecord struct {
	Worker
	// Lapsed workers have lost their entry without draining first. They only get requests when a
	// service has no other worker.
	Lapsed bool
	// ReceivedAt is when this process last received the worker's individual entry, by its own
	// clock. The entry was written earlier.
	ReceivedAt time.Time
	// rank orders the workers of a zone in the same way in all processes. A worker keeps its rank
	// when it restarts.
	rank uint64
}

// NewWorkerRecord returns the record of a worker whose entry was received at the given time.
func NewWorkerRecord(worker Worker, receivedAt time.Time) *WorkerRecord {
	return &WorkerRecord{Worker: worker, ReceivedAt: receivedAt, rank: xxhash.Sum64String(worker.Instance)}
}

// lessByZone orders workers by zone, then by rank and ID.
func lessByZone(a, b *WorkerRecord) bool {
	order := cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.rank, b.rank))
	return order < 0 || order == 0 && a.ID < b.ID
}

// Workers is a snapshot of the available workers of all services. It is immutable and shares
// unchanged nodes with the previous snapshot, so the cost of a change does not grow with the number
// of workers. A nil pointer is an empty snapshot.
type Workers struct {
	byID     *btree.BTreeG[*WorkerRecord]
	services map[string]*serviceWorkers
}

// serviceWorkers contains the workers of one service.
type serviceWorkers struct {
	// byZone is sorted by zone and rank; zones are the names of the zones.
	byZone *btree.BTreeG[*WorkerRecord]
	zones  []string
	// subset is the most recently computed subset.
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

// InService iterates over all workers of a service.
func (w *Workers) InService(service string) iter.Seq[*WorkerRecord] {
	return func(yield func(*WorkerRecord) bool) {
		if members := w.forService(service); members != nil {
			members.byZone.Scan(yield)
		}
	}
}

// List returns all workers of a service in a new slice.
func (w *Workers) List(service string) []*WorkerRecord { return slices.Collect(w.InService(service)) }

// Count returns the number of workers of a service.
func (w *Workers) Count(service string) int {
	if members := w.forService(service); members != nil {
		return members.byZone.Len()
	}
	return 0
}

// Subset returns up to perZone workers of each zone of a service, those with the lowest ranks. All
// processes get the same workers, and nearly the same ones when workers come and go. The slice is
// shared and must not be modified.
func (w *Workers) Subset(service string, perZone int) []*WorkerRecord {
	members := w.forService(service)
	if members == nil {
		return nil
	}
	if cached := members.subset.Load(); cached != nil && cached.perZone == perZone {
		return cached.workers
	}
	computed := &subset{perZone: perZone, workers: make([]*WorkerRecord, 0, min(members.byZone.Len(), perZone*len(members.zones)))}
	for _, zone := range members.zones {
		computed.workers = members.appendZone(computed.workers, zone, perZone)
	}
	members.subset.Store(computed)
	return computed.workers
}

// InZone returns up to limit workers of a zone for each service.
func (w *Workers) InZone(zone string, limit int) (found []*WorkerRecord) {
	if w == nil {
		return nil
	}
	for _, members := range w.services {
		found = members.appendZone(found, zone, limit)
	}
	return found
}

// appendZone appends up to limit workers of a zone in the order of their rank.
func (s *serviceWorkers) appendZone(target []*WorkerRecord, zone string, limit int) []*WorkerRecord {
	remaining := limit
	s.byZone.Ascend(&WorkerRecord{Worker: Worker{Zone: zone}}, func(worker *WorkerRecord) bool {
		if worker.Zone != zone || remaining == 0 {
			return false
		}
		remaining--
		target = append(target, worker)
		return true
	})
	return target
}

func (w *Workers) forService(service string) *serviceWorkers {
	if w == nil {
		return nil
	}
	return w.services[service]
}

// workerIndex is the modifiable index of the available workers. Its snapshots share their nodes
// with it.
type workerIndex struct {
	byID     *btree.BTreeG[*WorkerRecord]
	services map[string]*serviceIndex
	// lastSnapshot is the most recent snapshot. changed is set if the index has changed since.
	lastSnapshot *Workers
	changed      bool
}

// serviceIndex contains the workers of one service.
type serviceIndex struct {
	byZone *btree.BTreeG[*WorkerRecord]
	// zoneCounts is the number of workers by zone.
	zoneCounts map[string]int
	changed    bool
}

// btreeDegree allows up to 31 workers in a node. A change copies one node of about 250 bytes at
// each level.
const btreeDegree = 16

func newTree(less func(a, b *WorkerRecord) bool) *btree.BTreeG[*WorkerRecord] {
	return btree.NewBTreeGOptions(less, btree.Options{NoLocks: true, Degree: btreeDegree})
}

func newWorkerIndex() *workerIndex {
	byID := func(a, b *WorkerRecord) bool { return a.ID < b.ID }
	return &workerIndex{byID: newTree(byID), services: make(map[string]*serviceIndex)}
}

// find returns a worker by its ID, or nil.
func (t *workerIndex) find(id string) *WorkerRecord {
	found, _ := t.byID.Get(&WorkerRecord{Worker: Worker{ID: id}})
	return found
}

// put adds a worker and replaces the one with the same ID.
func (t *workerIndex) put(worker *WorkerRecord) {
	t.remove(worker.ID)
	service := t.services[worker.Service]
	if service == nil {
		service = &serviceIndex{byZone: newTree(lessByZone), zoneCounts: make(map[string]int)}
		t.services[worker.Service] = service
	}
	t.byID.Set(worker)
	service.byZone.Set(worker)
	service.zoneCounts[worker.Zone]++
	service.changed, t.changed = true, true
}

// remove removes a worker if it exists.
func (t *workerIndex) remove(id string) {
	worker, found := t.byID.Delete(&WorkerRecord{Worker: Worker{ID: id}})
	if !found {
		return
	}
	service := t.services[worker.Service]
	service.byZone.Delete(worker)
	if service.zoneCounts[worker.Zone]--; service.zoneCounts[worker.Zone] == 0 {
		delete(service.zoneCounts, worker.Zone)
	}
	service.changed, t.changed = true, true
}

// snapshot returns a snapshot of the current workers.
func (t *workerIndex) snapshot() *Workers {
	if t.lastSnapshot != nil && !t.changed {
		return t.lastSnapshot
	}
	next := &Workers{byID: t.byID.Copy(), services: make(map[string]*serviceWorkers, len(t.services))}
	for name, service := range t.services {
		switch {
		case service.byZone.Len() == 0:
			delete(t.services, name)
		case service.changed || t.lastSnapshot == nil:
			next.services[name] = &serviceWorkers{byZone: service.byZone.Copy(), zones: service.zoneNames()}
		default:
			next.services[name] = t.lastSnapshot.services[name]
		}
		service.changed = false
	}
	t.lastSnapshot, t.changed = next, false
	return next
}

func (s *serviceIndex) zoneNames() []string {
	names := make([]string, 0, len(s.zoneCounts))
	for name := range s.zoneCounts {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
