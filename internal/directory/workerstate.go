package directory

import (
	"iter"
	"slices"
	"time"
	"unique"

	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
)

// lapsedGracePeriod is how long a lapsed worker stays available as a last resort. Entries also
// disappear when the store has problems, and the worker's next heartbeat writes them again.
const lapsedGracePeriod = 1500 * time.Millisecond

// registration is the registered worker of one instance.
type registration struct {
	*WorkerRecord
	// listGeneration is the generation of the last full list that contained the instance.
	listGeneration uint64
}

type lapsedWorker struct {
	id        string
	expiresAt time.Time
}

// ReplaceWorkers replaces all workers if the revision is newer than the known one. unusable are the
// unusable entries of the list.
func (s *State) ReplaceWorkers(workers []Worker, revision int64, unusable ...UnusableEntry) {
	s.replaceWorkers(slices.Values(workers), revision, unusable)
}

func (s *State) replaceWorkers(workers iter.Seq[Worker], revision int64, unusable []UnusableEntry) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if revision <= s.workersRevision {
		return
	}
	s.listGeneration++
	now := s.now()
	changes := s.registerListed(workers, now)
	for _, entry := range unusable {
		if _, found := s.workers[entry.Name]; found {
			s.deregister(entry.Name)
			changes = append(changes, Change{Object: Object{Name: entry.Name}, Deleted: true})
		}
	}
	for instance, current := range s.workers {
		if current.listGeneration != s.listGeneration {
			s.deregister(instance)
			s.markLapsed(current.Worker)
			changes = append(changes, Change{Object: Object{Name: instance}, Deleted: true})
		}
	}
	s.recordChanges(revision, changes)
	s.incarnations.prune(func(instance string) bool { return s.workers[instance] != nil })
	s.publishWorkers(now)
}

// registerListed registers the workers of a full list and returns the changes.
func (s *State) registerListed(workers iter.Seq[Worker], now time.Time) (changes []Change) {
	for worker := range workers {
		current := s.workers[worker.Instance]
		if !s.incarnations.admit(worker, now) {
			if current != nil {
				current.listGeneration = s.listGeneration
			}
			continue
		}
		if current == nil || current.Worker != worker {
			current = s.register(worker, now)
			changes = append(changes, Change{Object: Object{Name: worker.Instance, Worker: &current.Worker}})
		}
		current.listGeneration = s.listGeneration
	}
	return changes
}

// ApplyWorkerChanges applies the changes of a watch, which lead to the given revision.
func (s *State) ApplyWorkerChanges(changes []Change, revision int64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if revision <= s.workersRevision {
		return
	}
	applied := make([]Change, 0, len(changes))
	for _, change := range changes {
		if s.applyChange(change) {
			applied = append(applied, change)
		}
	}
	// Rejected changes are not relayed, because they would replace the accepted entry at the
	// receiver.
	s.recordChanges(revision, applied)
	s.publishWorkers(s.view.Load().WorkersListedAt)
}

// recordChanges adds the changes that led to a revision to the history. The mutex must be held.
func (s *State) recordChanges(revision int64, changes []Change) {
	s.history.add(s.workersRevision, revision, changes, len(s.workers))
	s.workersRevision = revision
	s.encodedLists = make(map[int64]*replicav1.WorkerList)
}

// applyChange applies one change and reports whether it must be relayed. The mutex must be held.
func (s *State) applyChange(change Change) bool {
	current, found := s.workers[change.Object.Name]
	switch {
	case change.Unusable != nil:
		s.deregister(change.Object.Name)
	case change.Deleted && found:
		s.deregister(change.Object.Name)
		s.markLapsed(current.Worker)
	case change.Deleted:
		// The worker may still be registered at the receivers of relayed changes.
	case change.Object.Worker == nil || !s.incarnations.admit(*change.Object.Worker, s.now()):
		return false
	default:
		s.register(*change.Object.Worker, s.now())
	}
	return true
}

// register registers a worker in place of the previous one of its instance. The mutex must be held.
// Strings that many workers share are stored once.
func (s *State) register(worker Worker, receivedAt time.Time) *registration {
	s.deregister(worker.Instance)
	worker.Service, worker.Zone, worker.Version = unique.Make(worker.Service).Value(), unique.Make(worker.Zone).Value(), unique.Make(worker.Version).Value()
	current := &registration{WorkerRecord: NewWorkerRecord(worker, receivedAt)}
	s.workers[worker.Instance] = current
	// The worker has returned or restarted, which ends the previous incarnation.
	s.removeLapsed(worker.Instance)
	if !worker.Draining {
		s.savePrevious(worker.ID)
		s.available.put(current.WorkerRecord)
	}
	return current
}

// FindInstance returns the worker that is registered under an instance.
func (s *State) FindInstance(instance string) (Worker, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	current, found := s.workers[instance]
	if !found {
		return Worker{}, false
	}
	return current.Worker, true
}

// deregister removes the worker of an instance. The mutex must be held.
func (s *State) deregister(instance string) {
	current, found := s.workers[instance]
	if !found {
		return
	}
	delete(s.workers, instance)
	s.savePrevious(current.ID)
	s.available.remove(current.ID)
}

// markLapsed keeps a worker that was not draining as a last resort after its entry has disappeared.
// The mutex must be held.
func (s *State) markLapsed(worker Worker) {
	if worker.Draining {
		return
	}
	s.lapsed[worker.Instance] = lapsedWorker{id: worker.ID, expiresAt: s.now().Add(lapsedGracePeriod)}
	s.savePrevious(worker.ID)
	record := NewWorkerRecord(worker, time.Time{})
	record.Lapsed = true
	s.available.put(record)
	s.scheduleExpiry(lapsedGracePeriod)
}

// removeLapsed removes the lapsed worker of an instance, if any. The mutex must be held.
func (s *State) removeLapsed(instance string) {
	if lapsed, found := s.lapsed[instance]; found {
		delete(s.lapsed, instance)
		s.savePrevious(lapsed.id)
		s.available.remove(lapsed.id)
	}
}

// scheduleExpiry starts a timer that removes expired workers, unless one is running. A single timer
// serves all lapsed workers. The mutex must be held.
func (s *State) scheduleExpiry(delay time.Duration) {
	if !s.expiryScheduled {
		s.expiryScheduled = true
		s.afterFunc(delay, s.expireLapsed)
	}
}

func (s *State) expireLapsed() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.expiryScheduled = false
	now, next, removed := s.now(), lapsedGracePeriod, false
	for instance, lapsed := range s.lapsed {
		if remaining := lapsed.expiresAt.Sub(now); remaining > 0 {
			next = min(next, remaining)
			continue
		}
		s.removeLapsed(instance)
		removed = true
	}
	if len(s.lapsed) > 0 {
		s.scheduleExpiry(next)
	}
	if removed {
		s.publishWorkers(s.view.Load().WorkersListedAt)
	}
}

// savePrevious saves the record of a worker in the last published view before the first change to
// it. The mutex must be held.
func (s *State) savePrevious(id string) {
	if _, found := s.previousRecords[id]; !found {
		s.previousRecords[id] = s.available.find(id)
	}
}

// publishWorkers publishes a view with the current workers. The mutex must be held.
func (s *State) publishWorkers(listedAt time.Time) {
	next := *s.view.Load()
	next.Workers, next.WorkersListedAt = s.available.snapshot(), listedAt
	s.publishUpdate(&next, s.collectUpdate())
}

// collectUpdate returns the difference to the last published view and resets it. The mutex must be
// held.
func (s *State) collectUpdate() (update WorkerUpdate) {
	for id, previous := range s.previousRecords {
		current := s.available.find(id)
		switch {
		case current == nil && previous != nil:
			update.Removed = append(update.Removed, id)
		case current == nil:
		case current.Lapsed && (previous == nil || !previous.Lapsed):
			update.Lapsed = append(update.Lapsed, id)
		case !current.Lapsed && (previous == nil || previous.Lapsed):
			update.Added = append(update.Added, id)
		}
	}
	s.previousRecords = make(map[string]*WorkerRecord)
	return update
}
