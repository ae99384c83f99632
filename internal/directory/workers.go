package directory

import (
	"iter"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
)

// maxHistory is how many steps of the workers' list are remembered. Who asks for news
// is behind by one or two of them; who is behind by more gets the whole list.
const maxHistory = 64

// historyShare is how many changes are remembered, as a part of the workers that are listed, and
// leastHistory how many in any case: more of them are no smaller than the whole list.
const (
	historyShare = 4
	leastHistory = 256
)

// workerHistory is how the list of workers became what it is.
type workerHistory struct {
	steps []workerStep
	// changes counts those of all steps.
	changes int
}

// workerStep is what changed between two revisions of the platform's store.
type workerStep struct {
	since, revision int64
	changes         []Change
}

// add takes the next step, after which so many workers are listed.
func (h *workerHistory) add(since, revision int64, changes []Change, listed int) {
	if since == 0 {
		// Who knows nothing gets the whole list.
		return
	}
	h.steps = append(h.steps, workerStep{since: since, revision: revision, changes: changes})
	h.changes += len(changes)
	for len(h.steps) > maxHistory || h.changes > max(leastHistory, listed/historyShare) {
		h.changes -= len(h.steps[0].changes)
		h.steps = h.steps[1:]
	}
}

// after returns changes that lead from a revision to the newest one, or false if they
// are not known. They may begin before that revision: each says what a worker became,
// so that it does no harm twice.
func (h *workerHistory) after(revision int64) (changes []Change, known bool) {
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

// WorkerList returns the whole list of workers to pass on to others. It is shared and must stay
// as it is.
func (s *State) WorkerList() *replicav1.WorkerList {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.encodeOnce(0, s.encodeAll)
}

// WorkerChanges returns what has changed since a revision that another process knows,
// or the whole list where that is not known here. It is shared and must stay as it is.
func (s *State) WorkerChanges(since int64) *replicav1.WorkerList {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	changes, known := s.history.after(since)
	if since == 0 || !known {
		return s.encodeOnce(0, s.encodeAll)
	}
	return s.encodeOnce(since, func() *replicav1.WorkerList { return s.encodeChanges(since, changes) })
}

// encodeOnce makes a list of the present revision once for all who ask. The mutex is held.
func (s *State) encodeOnce(since int64, encode func() *replicav1.WorkerList) *replicav1.WorkerList {
	if known := s.encoded[since]; known != nil {
		return known
	}
	made := encode()
	if s.encoded != nil {
		s.encoded[since] = made
	}
	return made
}

// encodeAll returns the whole list. The mutex is held.
func (s *State) encodeAll() *replicav1.WorkerList {
	list := &replicav1.WorkerList{Revision: s.workersRevision, Workers: make([]*replicav1.Worker, 0, len(s.workers))}
	for _, known := range s.workers {
		list.Workers = append(list.Workers, encodeWorker(known.Worker))
	}
	return list
}

// encodeChanges returns changes that lead from a revision to the present one. The mutex is held.
func (s *State) encodeChanges(since int64, changes []Change) *replicav1.WorkerList {
	list := &replicav1.WorkerList{Revision: s.workersRevision, Since: since}
	last := make(map[string]Change, len(changes))
	for _, change := range changes {
		last[change.Object.Name] = change
	}
	for name, change := range last {
		switch {
		case change.Deleted:
			list.Gone = append(list.Gone, name)
		case change.Object.Worker != nil:
			list.Workers = append(list.Workers, encodeWorker(*change.Object.Worker))
		}
	}
	return list
}

// ApplyWorkerList takes a list, or changes, that another process passed on. Changes
// that follow on a later revision than the one known here are left: the next question
// brings those that fit.
func (s *State) ApplyWorkerList(list *replicav1.WorkerList) {
	if list == nil {
		return
	}
	if list.Since == 0 {
		s.offerWorkers(decoded(list.Workers), list.Revision, nil)
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

// decoded returns workers as they were passed on, one after another.
func decoded(workers []*replicav1.Worker) iter.Seq[Worker] {
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
		Instance: worker.Instance, StartedMs: worker.StartedMs,
	}
}

// decodeWorker takes what another process passed on. One from before workers had lives names
// the instance alone.
func decodeWorker(worker *replicav1.Worker) Worker {
	instance := worker.Instance
	if instance == "" {
		instance = worker.Id
	}
	return Worker{
		ID: IncarnationID(instance, worker.StartedMs), Instance: instance, StartedMs: worker.StartedMs,
		Service: worker.Service, Address: worker.Address, Zone: worker.Zone,
		Slots: int(worker.Slots), Draining: worker.Draining, ColdRemaining: time.Duration(worker.ColdForMs) * time.Millisecond,
	}
}
