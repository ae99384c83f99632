package directory

import (
	"iter"
	"slices"
	"time"
	"unique"

	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
)

// lapseGrace is how long a worker whose entry went without notice is still a
// last resort. Entries also go while the store is in trouble, and come back
// with the worker's next heartbeat.
const lapseGrace = 1500 * time.Millisecond

// listing is the entry of one instance.
type listing struct {
	*WorkerRecord
	// inList is the last whole list that had it.
	inList uint64
}

type lapsedWorker struct {
	id    string
	until time.Time
}

// ReplaceWorkers takes a whole list if its revision is later than what is known. unusable are
// the instances whose entries name no worker to use.
func (s *State) ReplaceWorkers(workers []Worker, revision int64, unusable ...UnusableEntry) {
	s.offerWorkers(slices.Values(workers), revision, unusable)
}

func (s *State) offerWorkers(workers iter.Seq[Worker], revision int64, unusable []UnusableEntry) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if revision <= s.workersRevision {
		return
	}
	s.listings++
	now := s.now()
	changes := s.takeListed(workers, now)
	for _, entry := range unusable {
		if _, found := s.workers[entry.Name]; found {
			s.drop(entry.Name)
			changes = append(changes, Change{Object: Object{Name: entry.Name}, Deleted: true})
		}
	}
	for instance, known := range s.workers {
		if known.inList != s.listings {
			s.drop(instance)
			s.lapse(known.Worker)
			changes = append(changes, Change{Object: Object{Name: instance}, Deleted: true})
		}
	}
	s.noteChanges(revision, changes)
	s.lives.forget(func(instance string) bool { return s.workers[instance] != nil })
	s.publishWorkers(now)
}

// takeListed takes the entries of a whole list and returns those that differ from what was known.
func (s *State) takeListed(workers iter.Seq[Worker], now time.Time) (changes []Change) {
	for worker := range workers {
		known := s.workers[worker.Instance]
		if !s.lives.admits(worker, now) {
			if known != nil {
				known.inList = s.listings
			}
			continue
		}
		if known == nil || known.Worker != worker {
			known = s.list(worker, now)
			changes = append(changes, Change{Object: Object{Name: worker.Instance, Worker: &known.Worker}})
		}
		known.inList = s.listings
	}
	return changes
}

// ApplyWorkerChanges takes the changes of a watch and the revision they lead to.
func (s *State) ApplyWorkerChanges(changes []Change, revision int64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if revision <= s.workersRevision {
		return
	}
	taken := make([]Change, 0, len(changes))
	for _, change := range changes {
		if s.takeChange(change) {
			taken = append(taken, change)
		}
	}
	// What was not taken is not passed on: it would stand in place of what was.
	s.noteChanges(revision, taken)
	s.publishWorkers(s.view.Load().WorkersListedAt)
}

// noteChanges remembers what has led to a revision.
func (s *State) noteChanges(revision int64, changes []Change) {
	s.history.add(s.workersRevision, revision, changes, len(s.workers))
	s.workersRevision = revision
	s.encoded = make(map[int64]*replicav1.WorkerList)
}

// takeChange takes one change of a worker's entry and reports whether it says anything.
func (s *State) takeChange(change Change) bool {
	known, found := s.workers[change.Object.Name]
	switch {
	case change.Unusable != nil:
		s.drop(change.Object.Name)
	case change.Deleted && found:
		s.drop(change.Object.Name)
		s.lapse(known.Worker)
	case change.Deleted:
		// It may be listed where this is passed on to.
	case change.Object.Worker == nil || !s.lives.admits(*change.Object.Worker, s.now()):
		return false
	default:
		s.list(*change.Object.Worker, s.now())
	}
	return true
}

// list puts a worker on the list, in place of the one of its instance. What is kept of many
// workers is kept once.
func (s *State) list(worker Worker, heard time.Time) *listing {
	s.drop(worker.Instance)
	worker.Service, worker.Zone = unique.Make(worker.Service).Value(), unique.Make(worker.Zone).Value()
	entry := &listing{WorkerRecord: NewWorkerRecord(worker, heard)}
	s.workers[worker.Instance] = entry
	// It is back, or has started again: then its former life has ended.
	s.forgetLapsed(worker.Instance)
	if !worker.Draining {
		s.touch(worker.ID)
		s.usable.put(entry.WorkerRecord)
	}
	return entry
}

// drop takes an instance off the list, with its life.
func (s *State) drop(instance string) {
	known, found := s.workers[instance]
	if !found {
		return
	}
	delete(s.workers, instance)
	s.touch(known.ID)
	s.usable.remove(known.ID)
}

// lapse remembers a worker whose entry went while it was not leaving.
func (s *State) lapse(worker Worker) {
	if worker.Draining {
		return
	}
	s.lapsed[worker.Instance] = lapsedWorker{id: worker.ID, until: s.now().Add(lapseGrace)}
	s.touch(worker.ID)
	last := NewWorkerRecord(worker, time.Time{})
	last.Lapsed = true
	s.usable.put(last)
	s.expireAfter(lapseGrace)
}

// forgetLapsed takes the lapsed worker of an instance off, if there is one.
func (s *State) forgetLapsed(instance string) {
	if lapsed, found := s.lapsed[instance]; found {
		delete(s.lapsed, instance)
		s.touch(lapsed.id)
		s.usable.remove(lapsed.id)
	}
}

// expireAfter looks for lapsed workers whose time is over, once for all that lapse meanwhile.
func (s *State) expireAfter(wait time.Duration) {
	if !s.expiring {
		s.expiring = true
		s.after(wait, s.expire)
	}
}

func (s *State) expire() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.expiring = false
	now, next, dropped := s.now(), lapseGrace, false
	for instance, lapsed := range s.lapsed {
		if left := lapsed.until.Sub(now); left > 0 {
			next = min(next, left)
			continue
		}
		s.forgetLapsed(instance)
		dropped = true
	}
	if len(s.lapsed) > 0 {
		s.expireAfter(next)
	}
	if dropped {
		s.publishWorkers(s.view.Load().WorkersListedAt)
	}
}

// touch remembers how a worker stood in the last view, before it is changed.
func (s *State) touch(id string) {
	if _, found := s.touched[id]; !found {
		s.touched[id] = s.usable.find(id)
	}
}

// publishWorkers publishes the workers that may take work.
func (s *State) publishWorkers(listed time.Time) {
	next := *s.view.Load()
	next.Workers, next.WorkersListedAt = s.usable.snapshot(), listed
	s.publishUpdate(&next, s.takeUpdate())
}

// takeUpdate returns what has changed since the last view.
func (s *State) takeUpdate() (update WorkerUpdate) {
	for id, before := range s.touched {
		now := s.usable.find(id)
		switch {
		case now == nil && before != nil:
			update.Removed = append(update.Removed, id)
		case now == nil:
		case now.Lapsed && (before == nil || !before.Lapsed):
			update.Lapsed = append(update.Lapsed, id)
		case !now.Lapsed && (before == nil || before.Lapsed):
			update.Added = append(update.Added, id)
		}
	}
	s.touched = make(map[string]*WorkerRecord)
	return update
}
