package directory

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
	"github.com/barleyshelf/barleyshelf/internal/route"
)

// foreignLogInterval is how often groups of another system are logged.
const foreignLogInterval = 10 * time.Second

// View is what is known at one moment. It is immutable.
type View struct {
	// Table is nil until a configuration is known.
	Table *route.Table
	// Workers are those of all services; nil until a list was heard.
	Workers *Workers
	// WorkersListedAt is when the last whole list of workers was heard: it has each worker's
	// entry anew, also those that did not change.
	WorkersListedAt time.Time
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

// LastReceived returns when this process last heard a worker's entry, by its own clock; the zero time
// for a lapsed worker, which has none.
func (v *View) LastReceived(worker *WorkerRecord) time.Time {
	switch {
	case worker.Lapsed:
		return time.Time{}
	case v.WorkersListedAt.After(worker.ReceivedAt):
		return v.WorkersListedAt
	}
	return worker.ReceivedAt
}

// WorkerUpdate is how the workers of a view differ from those of the view before it, by ID.
type WorkerUpdate struct {
	// Added may take work and could not before, or only as a last resort; Out may not any more;
	// Lapsed have become a last resort.
	Added, Removed, Lapsed []string
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
	// foreignLogged is when a group of another system was logged last.
	foreignLogged time.Time
	// unproven, if not nil, is called with each group that a peer offers while none is known.
	unproven func(*replicav1.Group)
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
	touched map[string]*WorkerRecord
	changed func(*View, WorkerUpdate)
	// encoded are the lists that were passed on of the present revision, by the revision
	// that they follow.
	encoded map[int64]*replicav1.WorkerList
}

// NewState returns a state that knows nothing. changed, if not nil, is told of
// each new view, one at a time.
func NewState(now func() time.Time, changed func(*View, WorkerUpdate)) *State {
	state := &State{
		now: now, after: func(wait time.Duration, run func()) { time.AfterFunc(wait, run) }, changed: changed, news: make(chan struct{}),
		workers: make(map[string]*listing), lives: make(lives), lapsed: make(map[string]lapsedWorker),
		usable: newWorkerTrees(), touched: make(map[string]*WorkerRecord),
	}
	state.view.Store(&View{})
	return state
}

// SetUnverifiedGroupHandler has groups that peers offer while none is known passed to unproven, which must not
// block: a peer may be of another system. It is called before the state is shared.
func (s *State) SetUnverifiedGroupHandler(unproven func(*replicav1.Group)) { s.unproven = unproven }

// AcceptsPeerGroups reports whether groups that peers offer are taken.
func (s *State) AcceptsPeerGroups() bool { return s.unproven == nil || AnyGroup(s.Groups()) != nil }

// AnyGroup returns one of the groups that are known, or nil.
func AnyGroup(groups []*replicav1.Group) *replicav1.Group {
	for _, group := range groups {
		if group != nil {
			return group
		}
	}
	return nil
}

// View returns the newest view.
func (s *State) View() *View { return s.view.Load() }

// ViewChanged returns a channel that is closed with the next view.
func (s *State) ViewChanged() <-chan struct{} {
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

// ApplyConfiguration takes a configuration if it is newer than the one known.
func (s *State) ApplyConfiguration(configuration *route.Configuration) {
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

// SystemOf returns the system that groups belong to; 0 is not known.
func SystemOf(groups []*replicav1.Group) uint64 {
	for _, group := range groups {
		if group.GetSystem() != 0 {
			return group.System
		}
	}
	return 0
}

// MayBeSameSystem reports whether two systems may be one, as far as both processes know theirs.
func MayBeSameSystem(one, other uint64) bool { return one == other || one == 0 || other == 0 }

// AcceptsGroup reports whether a process that knows its system may take a group. Once a system has a
// name, a group without one is of another system.
func AcceptsGroup(own uint64, group *replicav1.Group) bool {
	return own == 0 || own == group.GetSystem()
}

// ApplyPeerGroup is ApplyGroup for a group that another process, the source, offers: it may be of
// another system.
func (s *State) ApplyPeerGroup(group *replicav1.Group, source string) {
	if group != nil && !s.AcceptsPeerGroups() {
		s.unproven(group)
		return
	}
	s.ApplyGroup(group, source)
}

// ApplyGroup takes a partition's group if its epoch is higher than the one known. One of another
// system is refused, whoever reports it: addresses change hands. source is for the log.
func (s *State) ApplyGroup(group *replicav1.Group, source string) {
	if group == nil {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	current := s.view.Load()
	if known := SystemOf(current.Groups); !AcceptsGroup(known, group) {
		s.logForeign(group, known, source)
		return
	}
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
	eventGroup.Log("partition", group.Partition, "epoch", group.Epoch, "before", current.Group(group.Partition).GetEpoch(),
		"source", source, "members", memberNodes(group))
	s.publish(&next)
}

// logForeign logs, now and then, that a group of another system was told. The mutex is held.
func (s *State) logForeign(group *replicav1.Group, known uint64, source string) {
	now := s.now()
	if now.Sub(s.foreignLogged) < foreignLogInterval {
		return
	}
	s.foreignLogged = now
	eventForeignGroup.Log("partition", group.Partition, "epoch", group.Epoch, "source", source, "system", group.System, "own", known)
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
