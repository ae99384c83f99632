package directory

import (
	"time"

	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
)

// maxHistory is how many steps of the workers' list are remembered. Who asks for news
// is behind by one or two of them; who is behind by more gets the whole list.
const maxHistory = 64

// workerHistory is how the list of workers became what it is.
type workerHistory struct {
	steps []workerStep
}

// workerStep is what changed between two revisions of the platform's store.
type workerStep struct {
	since, revision int64
	changes         []Change
}

// add takes the next step.
func (h *workerHistory) add(since, revision int64, changes []Change) {
	h.steps = append(h.steps, workerStep{since: since, revision: revision, changes: changes})
	if len(h.steps) > maxHistory {
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

// WorkerList returns the whole list of workers to pass on to others.
func (s *State) WorkerList() *replicav1.WorkerList {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	list := &replicav1.WorkerList{Revision: s.workersRevision}
	for _, worker := range s.workers {
		list.Workers = append(list.Workers, encodeWorker(worker))
	}
	return list
}

// WorkerChanges returns what has changed since a revision that another process knows,
// or the whole list where that is not known here.
func (s *State) WorkerChanges(since int64) *replicav1.WorkerList {
	s.mutex.Lock()
	changes, known := s.history.after(since)
	revision := s.workersRevision
	s.mutex.Unlock()
	if since == 0 || !known {
		return s.WorkerList()
	}
	list := &replicav1.WorkerList{Revision: revision, Since: since}
	last := make(map[string]Change, len(changes))
	for _, change := range changes {
		last[change.Object.Name] = change
	}
	for name, change := range last {
		switch {
		case change.Gone:
			list.Gone = append(list.Gone, name)
		case change.Object.Worker != nil:
			list.Workers = append(list.Workers, encodeWorker(*change.Object.Worker))
		}
	}
	return list
}

// OfferWorkerList takes a list, or changes, that another process passed on. Changes
// that follow on a later revision than the one known here are left: the next question
// brings those that fit.
func (s *State) OfferWorkerList(list *replicav1.WorkerList) {
	if list == nil {
		return
	}
	if list.Since == 0 {
		workers := make([]Worker, 0, len(list.Workers))
		for _, worker := range list.Workers {
			workers = append(workers, decodeWorker(worker))
		}
		s.OfferWorkers(workers, list.Revision)
		return
	}
	if list.Since > s.WorkersRevision() {
		return
	}
	changes := make([]Change, 0, len(list.Workers)+len(list.Gone))
	for _, id := range list.Gone {
		changes = append(changes, Change{Object: Object{Name: id}, Gone: true})
	}
	for _, worker := range list.Workers {
		decoded := decodeWorker(worker)
		changes = append(changes, Change{Object: Object{Name: decoded.Instance, Worker: &decoded}})
	}
	s.ChangeWorkers(changes, list.Revision)
}

func encodeWorker(worker Worker) *replicav1.Worker {
	return &replicav1.Worker{
		Id: worker.ID, Service: worker.Service, Address: worker.Address, Zone: worker.Zone,
		Slots: uint32(worker.Slots), Draining: worker.Draining, ColdForMs: uint32(worker.ColdLeft.Milliseconds()),
		Instance: worker.Instance, StartedMs: worker.Started,
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
		ID: LifeID(instance, worker.StartedMs), Instance: instance, Started: worker.StartedMs,
		Service: worker.Service, Address: worker.Address, Zone: worker.Zone,
		Slots: int(worker.Slots), Draining: worker.Draining, ColdLeft: time.Duration(worker.ColdForMs) * time.Millisecond,
	}
}
