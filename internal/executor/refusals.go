package executor

import (
	"sync"

	"github.com/barleyshelf/barleyshelf/internal/failure"
)

// refusalCounter counts the failures told to callers, by type.
type refusalCounter struct {
	counts sync.Map // failure.Type to *refusalCount
}

type refusalCount struct {
	mutex sync.Mutex
	total uint64
}

// note counts err and returns it.
func (e *Executor) note(err error) error {
	if err == nil {
		return nil
	}
	kind := failure.Classify(err).Type()
	if kind == (&failure.Internal{}).Type() {
		eventInternal.Log("cause", err)
	}
	entry, _ := e.refused.counts.LoadOrStore(kind, &refusalCount{})
	count := entry.(*refusalCount)
	count.mutex.Lock()
	defer count.mutex.Unlock()
	count.total++
	return err
}

// Refusals returns how many failures of each type callers were told.
func (e *Executor) Refusals() map[failure.Type]uint64 {
	totals := map[failure.Type]uint64{}
	e.refused.counts.Range(func(kind, entry any) bool {
		count := entry.(*refusalCount)
		count.mutex.Lock()
		totals[kind.(failure.Type)] = count.total
		count.mutex.Unlock()
		return true
	})
	return totals
}
