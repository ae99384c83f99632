package replica

import (
	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
)

// keptWorkers is the list of workers as the disk has it: a whole list, and changes that follow on
// it. Each step is written alone: written whole, a list of 10,000 workers was a megabyte on each
// replica's disk twice a second while workers came and went.
type keptWorkers struct {
	revision int64
	byID     map[string]*replicav1.Worker
}

// take takes a whole list, or changes that follow on what is kept, and reports whether it says
// anything.
func (k *keptWorkers) take(list *replicav1.WorkerList) bool {
	switch {
	case list.Revision <= k.revision, list.Since > k.revision:
		return false
	case list.Since == 0:
		k.byID = make(map[string]*replicav1.Worker, len(list.Workers))
	}
	k.revision = list.Revision
	for _, gone := range list.Gone {
		delete(k.byID, gone)
	}
	for _, worker := range list.Workers {
		k.byID[instanceOf(worker)] = worker
	}
	return true
}

// instanceOf returns the instance of a worker; one from before workers had lives names it alone.
func instanceOf(worker *replicav1.Worker) string {
	if worker.Instance == "" {
		return worker.Id
	}
	return worker.Instance
}

// list returns the whole list, or nil where none is kept.
func (k *keptWorkers) list() *replicav1.WorkerList {
	if k.revision == 0 {
		return nil
	}
	list := &replicav1.WorkerList{Revision: k.revision, Workers: make([]*replicav1.Worker, 0, len(k.byID))}
	for _, worker := range k.byID {
		list.Workers = append(list.Workers, worker)
	}
	return list
}
