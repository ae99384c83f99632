package program

import "github.com/barleyshelf/barleyshelf/internal/structs"

// removedPrograms keeps the IDs of removed programs for RemovedTime.
type removedPrograms struct {
	times map[structs.ProgramID]int64
	// order holds the same IDs, oldest removal first.
	order []structs.ProgramID
}

func newRemovedPrograms() removedPrograms {
	return removedPrograms{times: map[structs.ProgramID]int64{}}
}

func (r *removedPrograms) contains(id structs.ProgramID) bool {
	_, found := r.times[id]
	return found
}

// add adds the ID and drops the IDs that are older than RemovedTime.
func (r *removedPrograms) add(id structs.ProgramID, unixMs int64) {
	r.times[id] = unixMs
	r.order = append(r.order, id)
	oldest := unixMs - RemovedTime.Milliseconds()
	for len(r.order) > 0 && r.times[r.order[0]] < oldest {
		delete(r.times, r.order[0])
		r.order = r.order[1:]
	}
}
