package replica

import "github.com/barleyshelf/barleyshelf/internal/gen/replicav1"

// A system begins when its first groups are formed, by any replica that takes part in its first start. A process is told
// that only once: one that replaces it, a moment later, is not. The data folder therefore remembers it.

func firstStartRecord() *replicav1.Record {
	return &replicav1.Record{Kind: &replicav1.Record_FirstStart{FirstStart: &replicav1.FirstStart{}}}
}

// markFirstStart records that this folder was begun with the system. It returns after the record is on the disk, and
// before this process does anything that another one sees.
func (r *Replica) markFirstStart() {
	if !r.options.Bootstrap || r.state.hasHeldSeat() {
		return
	}
	if err := r.state.write(firstStartRecord()); err != nil {
		r.writeFailures.log(err)
	}
}

// isFromFirstStart reports whether this folder was begun with the system, before its first group was formed.
func (s *state) isFromFirstStart() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.fromFirstStart
}

// hasHeldSeat reports whether this folder has an identity in any partition.
func (s *state) hasHeldSeat() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, partition := range s.partitions {
		if partition.identity != nil {
			return true
		}
	}
	return false
}
