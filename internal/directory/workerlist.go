package directory

import (
	"iter"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
)

// maxHistorySteps is the maximum number of steps in the history of workers. Processes that ask for
// updates are usually one or two steps behind; those further behind than the history get the full
// list.
const maxHistorySteps = 64

// The history keeps changes of at most 1/historyDivisor of the registered workers, or
// minHistoryChanges if that is more. A larger set of changes would not be smaller than the full
// list.
const (
	historyDivisor    = 4
	minHistoryChanges = 256
)

// workerHistory holds the most recent changes of the workers.
type workerHistory struct {
	steps []workerStep
	// changeCount is the number of changes in all steps.
	changeCount int
}

// workerStep holds the changes between two revisions of the platform's store.
type workerStep struct {
	since, revision int64
	changes         []Change
}

// add appends a step. registered is the number of registered workers after it.
func (h *workerHistory) add(since, revision int64, changes []Change, registered int) {
	if since == 0 {
		// A process without any revision gets the full list.
		return
	}
	h.steps = append(h.steps, workerStep{since: since, revision: revision, changes: changes})
	h.changeCount += len(changes)
	for len(h.steps) > maxHistorySteps || h.changeCount > max(minHistoryChanges, registered/historyDivisor) {
		h.changeCount -= len(h.steps[0].changes)
		h.steps = h.steps[1:]
	}
}

// changesSince returns the changes from the given revision to the latest one, or false if they are
// not in the history. The changes may start at an earlier revision. Applying a change twice is
// harmless, because each one has the worker's complete new state.
func (h *workerHistory) changesSince(revision int64) (changes []Change, found bool) {
	for i, step := range h.steps {
		if revision < step.since || revision >= step.revision {
			continue
		}
		for _, later := range h.steps[i:] {
			changes = append(changes, later.changes...)
		}
		return changes, true
	}
	return nil, false
}

// WorkerList returns the full list of workers as a message for other processes. It is shared and
// must not be modified.
func (s *State) WorkerList() *replicav1.WorkerList {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.encodeCached(0, s.encodeAll)
}

// WorkerChanges returns the changes since a revision as a message for other processes, or the full
// list if the changes are not in the history. It is shared and must not be modified.
func (s *State) WorkerChanges(since int64) *replicav1.WorkerList {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	changes, found := s.history.changesSince(since)
	if since == 0 || !found {
		return s.encodeCached(0, s.encodeAll)
	}
	return s.encodeCached(since, func() *replicav1.WorkerList { return s.encodeChanges(since, changes) })
}

// encodeCached returns the cached message that starts from a revision, or encodes and caches it.
// The mutex must be held.
func (s *State) encodeCached(since int64, encode func() *replicav1.WorkerList) *replicav1.WorkerList {
	if cached := s.encodedLists[since]; cached != nil {
		return cached
	}
	encoded := encode()
	if s.encodedLists != nil {
		s.encodedLists[since] = encoded
	}
	return encoded
}

// encodeAll returns the full list. The mutex must be held.
func (s *State) encodeAll() *replicav1.WorkerList {
	list := &replicav1.WorkerList{Revision: s.workersRevision, Workers: make([]*replicav1.Worker, 0, len(s.workers))}
	for _, registered := range s.workers {
		list.Workers = append(list.Workers, encodeWorker(registered.Worker))
	}
	return list
}

// encodeChanges returns a message with the changes from a revision to the latest one. The mutex
// must be held.
func (s *State) encodeChanges(since int64, changes []Change) *replicav1.WorkerList {
	list := &replicav1.WorkerList{Revision: s.workersRevision, Since: since}
	latest := make(map[string]Change, len(changes))
	for _, change := range changes {
		latest[change.Object.Name] = change
	}
	for name, change := range latest {
		switch {
		case change.Deleted:
			list.Gone = append(list.Gone, name)
		case change.Object.Worker != nil:
			list.Workers = append(list.Workers, encodeWorker(*change.Object.Worker))
		}
	}
	return list
}

// ApplyWorkerList applies a full list, or changes, from another process. Changes that start at a
// later revision than the known one are ignored; the next request returns changes that connect.
func (s *State) ApplyWorkerList(list *replicav1.WorkerList) {
	if list == nil {
		return
	}
	if list.Since == 0 {
		s.replaceWorkers(decodeWorkers(list.Workers), list.Revision, nil)
		return
	}
	if list.Since > s.WorkersRevision() {
		return
	}
	changes := make([]Change, 0, len(list.Workers)+len(list.Gone))
	for _, id := range list.Gone {
		changes = append(changes, Change{Object: Object{Name: id}, Deleted: true})
	}
	for _, worker := range list.Workers {
		decoded := decodeWorker(worker)
		changes = append(changes, Change{Object: Object{Name: decoded.Instance, Worker: &decoded}})
	}
	s.ApplyWorkerChanges(changes, list.Revision)
}

// decodeWorkers iterates over the workers of a message.
func decodeWorkers(workers []*replicav1.Worker) iter.Seq[Worker] {
	return func(yield func(Worker) bool) {
		for _, worker := range workers {
			if !yield(decodeWorker(worker)) {
				return
			}
		}
	}
}

func encodeWorker(worker Worker) *replicav1.Worker {
	return &replicav1.Worker{
		Id: worker.ID, Service: worker.Service, Address: worker.Address, Zone: worker.Zone,
		Slots: uint32(worker.Slots), Draining: worker.Draining, ColdForMs: uint32(worker.ColdRemaining.Milliseconds()),
		Instance: worker.Instance, StartedMs: worker.StartedMs, Version: worker.Version,
	}
}

// decodeWorker decodes a worker of a message. Releases without incarnations send only the instance,
// as the ID.
func decodeWorker(worker *replicav1.Worker) Worker {
	instance := worker.Instance
	if instance == "" {
		instance = worker.Id
	}
	return Worker{
		ID: IncarnationID(instance, worker.StartedMs), Instance: instance, StartedMs: worker.StartedMs,
		Service: worker.Service, Address: worker.Address, Zone: worker.Zone, Version: worker.Version,
		Slots: int(worker.Slots), Draining: worker.Draining, ColdRemaining: time.Duration(worker.ColdForMs) * time.Millisecond,
	}
}
