package directory

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
	"github.com/barleyshelf/barleyshelf/internal/route"
)

// lapseGrace is how long a worker whose entry went without notice is still a
// last resort. Entries also go while the store is in trouble, and come back
// with the worker's next heartbeat.
const lapseGrace = 1500 * time.Millisecond

// View is what is known at one moment. It is immutable.
type View struct {
	// Table is nil until a configuration is known.
	Table *route.Table
	// Workers are the workers of each service, by id.
	Workers map[string][]Listed
	// Heard is when this process last heard each worker's entry, by its own clock; the
	// entry was written before. Lapsed workers are not in it.
	Heard map[string]time.Time
	// Groups are those of all partitions, by partition; empty until one is known, and
	// nil for those that are not.
	Groups []*replicav1.Group
	// Drains are the zones whose workers are to get nothing.
	Drains ZoneDrains
}

// Group returns the group of a partition, or nil.
func (v *View) Group(partition uint32) *replicav1.Group {
	if int(partition) >= len(v.Groups) {
		return nil
	}
	return v.Groups[partition]
}

// Epochs returns the epochs of the groups by partition; 0 is one that is not known.
func (v *View) Epochs() []uint64 {
	epochs := make([]uint64, 0, len(v.Groups))
	for _, group := range v.Groups {
		epochs = append(epochs, group.GetEpoch())
	}
	return epochs
}

// Listed is a worker of a view.
type Listed struct {
	Worker
	// Lapsed workers are no longer listed and went without notice; they take
	// work only where no other worker is left.
	Lapsed bool
}

// State builds views out of what several sources tell. A configuration and a
// group are replaced by higher versions only, the workers by later revisions.
type State struct {
	view atomic.Pointer[View]
	now  func() time.Time

	mutex sync.Mutex
	// news is closed, and replaced, with each new view.
	news chan struct{}
	// workers are those that are listed, by instance.
	workers map[string]Worker
	lives   lives
	// heard is when each worker's entry was last heard.
	heard           map[string]time.Time
	workersRevision int64
	history         workerHistory
	lapsed          map[string]lapsedWorker
	changed         func(*View)
}

type lapsedWorker struct {
	worker Worker
	until  time.Time
}

// NewState returns a state that knows nothing. changed, if not nil, is told of
// each new view, one at a time.
func NewState(now func() time.Time, changed func(*View)) *State {
	state := &State{
		now: now, changed: changed, news: make(chan struct{}),
		workers: make(map[string]Worker), lives: make(lives), lapsed: make(map[string]lapsedWorker), heard: make(map[string]time.Time),
	}
	state.view.Store(&View{})
	return state
}

// View returns the newest view.
func (s *State) View() *View { return s.view.Load() }

// News returns a channel that is closed with the next view.
func (s *State) News() <-chan struct{} {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.news
}

// WorkersRevision returns the revision up to which workers are known.
func (s *State) WorkersRevision() int64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.workersRevision
}

// OfferConfiguration takes a configuration if it is newer than the one known.
func (s *State) OfferConfiguration(configuration *route.Configuration) {
	if configuration == nil || configuration.Version == 0 {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	current := s.view.Load()
	if current.Table != nil && current.Table.Version() >= configuration.Version {
		return
	}
	next := *current
	next.Table = route.NewTable(configuration)
	s.publish(&next)
}

// OfferGroup takes a partition's group if its epoch is higher than the one known.
func (s *State) OfferGroup(group *replicav1.Group) {
	if group == nil {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	current := s.view.Load()
	if current.Group(group.Partition).GetEpoch() >= group.Epoch {
		return
	}
	partitions := max(len(current.Groups), partitionsOf(group))
	if int(group.Partition) >= partitions {
		return
	}
	next := *current
	next.Groups = make([]*replicav1.Group, partitions)
	copy(next.Groups, current.Groups)
	next.Groups[group.Partition] = group
	s.publish(&next)
}

// OfferWorkers takes a whole list if its revision is later than what is known. unusable are
// the instances whose entries name no worker to use.
func (s *State) OfferWorkers(workers []Worker, revision int64, unusable ...Unusable) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if revision <= s.workersRevision {
		return
	}
	listed, now := make(map[string]Worker, len(workers)), s.now()
	for _, worker := range workers {
		if !s.lives.admits(worker, now) {
			known, found := s.workers[worker.Instance]
			if !found {
				continue
			}
			worker = known
		}
		listed[worker.Instance] = worker
	}
	var changes []Change
	for _, entry := range unusable {
		if known, found := s.workers[entry.Name]; found {
			s.drop(known)
			changes = append(changes, Change{Object: Object{Name: entry.Name}, Gone: true})
		}
	}
	for instance, worker := range s.workers {
		if _, found := listed[instance]; !found {
			s.lapse(worker)
			changes = append(changes, Change{Object: Object{Name: instance}, Gone: true})
		}
	}
	clear(s.heard)
	for instance, worker := range listed {
		s.heard[worker.ID] = now
		if known, found := s.workers[instance]; !found || known != worker {
			changes = append(changes, Change{Object: Object{Name: instance, Worker: &worker}})
		}
	}
	s.history.add(s.workersRevision, revision, changes)
	s.workers, s.workersRevision = listed, revision
	s.lives.forget(listed)
	s.rebuild()
}

// ChangeWorkers takes the changes of a watch and the revision they lead to.
func (s *State) ChangeWorkers(changes []Change, revision int64) {
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
	s.history.add(s.workersRevision, revision, taken)
	s.workersRevision = revision
	s.rebuild()
}

// takeChange takes one change of a worker's entry and reports whether it says anything.
func (s *State) takeChange(change Change) bool {
	known, found := s.workers[change.Object.Name]
	switch {
	case change.Unusable != nil:
		s.drop(known)
	case change.Gone && found:
		s.drop(known)
		s.lapse(known)
	case change.Gone:
		// It may be listed where this is passed on to.
	case change.Object.Worker == nil || !s.lives.admits(*change.Object.Worker, s.now()):
		return false
	default:
		s.drop(known)
		s.workers[change.Object.Name] = *change.Object.Worker
		s.heard[change.Object.Worker.ID] = s.now()
	}
	return true
}

// drop takes a worker off the list, with its life.
func (s *State) drop(worker Worker) {
	delete(s.workers, worker.Instance)
	delete(s.heard, worker.ID)
}

// lapse remembers a worker whose entry went while it was not leaving.
func (s *State) lapse(worker Worker) {
	if !worker.Draining {
		s.lapsed[worker.ID] = lapsedWorker{worker: worker, until: s.now().Add(lapseGrace)}
		time.AfterFunc(lapseGrace, s.expire)
	}
}

func (s *State) expire() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now, dropped := s.now(), false
	for id, lapsed := range s.lapsed {
		if !now.Before(lapsed.until) {
			delete(s.lapsed, id)
			dropped = true
		}
	}
	if dropped {
		s.rebuild()
	}
}

// rebuild publishes the workers that may take work.
func (s *State) rebuild() {
	next := *s.view.Load()
	next.Workers, next.Heard = make(map[string][]Listed), maps.Clone(s.heard)
	for id, lapsed := range s.lapsed {
		if _, again := s.workers[lapsed.worker.Instance]; again {
			// It is back, or has started again: then its former life has ended.
			delete(s.lapsed, id)
		}
	}
	for _, worker := range s.workers {
		if !worker.Draining {
			next.Workers[worker.Service] = append(next.Workers[worker.Service], Listed{Worker: worker})
		}
	}
	for _, lapsed := range s.lapsed {
		service := lapsed.worker.Service
		next.Workers[service] = append(next.Workers[service], Listed{Worker: lapsed.worker, Lapsed: true})
	}
	s.publish(&next)
}

func (s *State) publish(next *View) {
	s.view.Store(next)
	close(s.news)
	s.news = make(chan struct{})
	if s.changed != nil {
		s.changed(next)
	}
}

// Group returns the group in force of a partition, or nil.
func (s *State) Group(partition uint32) *replicav1.Group { return s.View().Group(partition) }

// Groups returns the groups of all partitions by partition, as far as they are known.
func (s *State) Groups() []*replicav1.Group { return s.View().Groups }

// Members returns the members of groups, each node once.
func Members(groups []*replicav1.Group) []Replica {
	known := make(map[string]bool)
	var members []Replica
	for _, group := range groups {
		for _, member := range group.GetMembers() {
			if !known[member.Node] {
				known[member.Node] = true
				members = append(members, Replica{Node: member.Node, Address: member.Address, Zone: member.Zone})
			}
		}
	}
	return members
}

// partitionsOf returns how many partitions a group says there are. A group from
// before there were partitions says nothing, and is the only one.
func partitionsOf(group *replicav1.Group) int { return max(1, int(group.Partitions)) }
