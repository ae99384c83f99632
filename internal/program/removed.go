package program

import "github.com/barleyshelf/barleyshelf/internal/structs"

// removedPrograms remembers the ids of removed programs for RemovedTime.
type removedPrograms struct {
	times map[structs.ProgramID]int64
	// order holds the same ids, oldest removal first.
	order []structs.ProgramID
}

func newRemovedPrograms() removedPrograms {
	return removedPrograms{times: map[structs.ProgramID]int64{}}
}

func (r *removedPrograms) contains(id structs.ProgramID) bool {
	_, found := r.times[id]
	return found
}

// add remembers the id and forgets those whose time is over.
func (r *removedPrograms) add(id structs.ProgramID, unixMilliseconds int64) {
	r.times[id] = unixMilliseconds
	r.order = append(r.order, id)
	oldest := unixMilliseconds - RemovedTime.Milliseconds()
	for len(r.order) > 0 && r.times[r.order[0]] < oldest {
		delete(r.times, r.order[0])
		r.order = r.order[1:]
	}
}
