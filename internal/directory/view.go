package directory

import (
	"iter"
	"slices"
	"sync"
	"sync/atomic"
	"time"
	"unique"

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
	// Workers are those of all services; nil until a list was heard.
	Workers *Workers
	// WorkersListed is when the last whole list of workers was heard: it has each worker's
	// entry anew, also those that did not change.
	WorkersListed time.Time
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

// Heard returns when this process last heard a worker's entry, by its own clock; the zero time
// for a lapsed worker, which has none.
func (v *View) Heard(worker *Listed) time.Time {
	switch {
	case worker.Lapsed:
		return time.Time{}
	case v.WorkersListed.After(worker.Heard):
		return v.WorkersListed
	}
	return worker.Heard
}

// WorkerUpdate is how the workers of a view differ from those of the view before it, by ID.
type WorkerUpdate struct {
	// In may take work and could not before, or only as a last resort; Out may not any more;
	// Lapsed have become a last resort.
	In, Out, Lapsed []string
}

// State builds views out of what several sources tell. A configuration and a
// group are replaced by higher versions only, the workers by later revisions.
type State struct {
	view atomic.Pointer[View]
	now  func() time.Time
	// after runs a function after a time, on a goroutine of its own.
	after func(time.Duration, func())

	mutex sync.Mutex
	// news is closed, and replaced, with each new view.
	news chan struct{}
	// workers are those that are listed, by instance.
	workers map[string]*listing
	// listings counts the whole lists that were taken.
	listings uint64
	lives    lives
	// usable are those that may take work, lapsed ones among them.
	usable          *workerTrees
	workersRevision int64
	history         workerHistory
	// lapsed are by instance; expiring is set while a timer is to look for those whose time is
	// over.
	lapsed   map[string]lapsedWorker
	expiring bool
	// touched is how each worker that has changed since the last view stood in it; nil is
	// not at all.
	touched map[string]*Listed
	changed func(*View, WorkerUpdate)
	// encoded are the lists that were passed on of the present revision, by the revision
	// that they follow.
	encoded map[int64]*replicav1.WorkerList
}

// listing is the entry of one instance.
type listing struct {
	*Listed
	// inList is the last whole list that had it.
	inList uint64
}

type lapsedWorker struct {
	id    string
	until time.Time
}

// NewState returns a state that knows nothing. changed, if not nil, is told of
// each new view, one at a time.
func NewState(now func() time.Time, changed func(*View, WorkerUpdate)) *State {
	state := &State{
		now: now, after: func(wait time.Duration, run func()) { time.AfterFunc(wait, run) }, changed: changed, news: make(chan struct{}),
		workers: make(map[string]*listing), lives: make(lives), lapsed: make(map[string]lapsedWorker),
		usable: newWorkerTrees(), touched: make(map[string]*Listed),
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
	s.offerWorkers(slices.Values(workers), revision, unusable)
}

func (s *State) offerWorkers(workers iter.Seq[Worker], revision int64, unusable []Unusable) {
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
			changes = append(changes, Change{Object: Object{Name: entry.Name}, Gone: true})
		}
	}
	for instance, known := range s.workers {
		if known.inList != s.listings {
			s.drop(instance)
			s.lapse(known.Worker)
			changes = append(changes, Change{Object: Object{Name: instance}, Gone: true})
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
	s.noteChanges(revision, taken)
	s.publishWorkers(s.view.Load().WorkersListed)
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
	case change.Gone && found:
		s.drop(change.Object.Name)
		s.lapse(known.Worker)
	case change.Gone:
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
	entry := &listing{Listed: NewListed(worker, heard)}
	s.workers[worker.Instance] = entry
	// It is back, or has started again: then its former life has ended.
	s.forgetLapsed(worker.Instance)
	if !worker.Draining {
		s.touch(worker.ID)
		s.usable.put(entry.Listed)
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
	last := NewListed(worker, time.Time{})
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
		s.publishWorkers(s.view.Load().WorkersListed)
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
	next.Workers, next.WorkersListed = s.usable.snapshot(), listed
	s.publishUpdate(&next, s.takeUpdate())
}

// takeUpdate returns what has changed since the last view.
func (s *State) takeUpdate() (update WorkerUpdate) {
	for id, before := range s.touched {
		now := s.usable.find(id)
		switch {
		case now == nil && before != nil:
			update.Out = append(update.Out, id)
		case now == nil:
		case now.Lapsed && (before == nil || !before.Lapsed):
			update.Lapsed = append(update.Lapsed, id)
		case !now.Lapsed && (before == nil || before.Lapsed):
			update.In = append(update.In, id)
		}
	}
	s.touched = make(map[string]*Listed)
	return update
}

// publish publishes a view with the same workers.
func (s *State) publish(next *View) { s.publishUpdate(next, WorkerUpdate{}) }

func (s *State) publishUpdate(next *View, update WorkerUpdate) {
	s.view.Store(next)
	close(s.news)
	s.news = make(chan struct{})
	if s.changed != nil {
		s.changed(next, update)
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
