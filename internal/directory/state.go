package directory

import (
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
	"github.com/barleyshelf/barleyshelf/internal/route"
)

// foreignLogInterval is the minimum time between two log lines about groups of another system.
const foreignLogInterval = 10 * time.Second

// View is a snapshot of everything known. It is immutable.
type View struct {
	// Table is nil until a configuration is known.
	Table *route.Table
	// Workers are the available workers of all services, or nil until a list was received.
	Workers *Workers
	// WorkersListedAt is when the last full list of workers was received. A full list refreshes
	// every worker, including those that did not change.
	WorkersListedAt time.Time
	// Groups are the groups by partition. It is empty until one is known, and unknown groups are
	// nil.
	Groups []*replicav1.Group
	// Drains are the drained zones, whose workers get no requests.
	Drains ZoneDrains
}

// Group returns the group of a partition, or nil.
func (v *View) Group(partition uint32) *replicav1.Group {
	if int(partition) >= len(v.Groups) {
		return nil
	}
	return v.Groups[partition]
}

// Epochs returns the epochs of the groups by partition, 0 for unknown groups.
func (v *View) Epochs() []uint64 {
	epochs := make([]uint64, 0, len(v.Groups))
	for _, group := range v.Groups {
		epochs = append(epochs, group.GetEpoch())
	}
	return epochs
}

// LastReceived returns when this process last received a worker's entry, by its own clock. It is
// the zero time for a lapsed worker, which has no entry.
func (v *View) LastReceived(worker *WorkerRecord) time.Time {
	switch {
	case worker.Lapsed:
		return time.Time{}
	case v.WorkersListedAt.After(worker.ReceivedAt):
		return v.WorkersListedAt
	}
	return worker.ReceivedAt
}

// WorkerUpdate is the difference between the workers of a view and of the previous view, as worker
// IDs.
type WorkerUpdate struct {
	// Added workers have become available, or were lapsed before. Removed workers are no longer
	// available. Lapsed workers have lost their entry without draining.
	Added, Removed, Lapsed []string
}

// State builds views from updates of several sources. Configurations and groups are only replaced
// by higher versions, workers and zone drains by later revisions.
type State struct {
	view atomic.Pointer[View]
	now  func() time.Time
	// afterFunc runs a function after a delay on its own goroutine.
	afterFunc func(time.Duration, func())

	mutex sync.Mutex
	// viewChanged is closed and replaced when a new view is published.
	viewChanged chan struct{}
	// storeEpochs are the epochs of the newest groups that the platform's store is known to list, by
	// partition.
	storeEpochs map[uint32]uint64
	// foreignLoggedAt is when a group of another system was last logged.
	foreignLoggedAt time.Time
	// onUnverifiedGroup, if not nil, is called with each group from a peer while no group is known.
	onUnverifiedGroup func(*replicav1.Group)
	// workers are the registered workers by instance, including draining ones.
	workers map[string]*registration
	// listGeneration counts the full lists that were applied.
	listGeneration uint64
	incarnations   incarnations
	// available are the workers that can get requests, including lapsed ones.
	available       *workerIndex
	workersRevision int64
	history         workerHistory
	// lapsed are the lapsed workers by instance. expiryScheduled is set while a timer is running
	// that removes the expired ones.
	lapsed          map[string]lapsedWorker
	expiryScheduled bool
	// previousRecords has the record in the last published view of each worker that has changed
	// since, or nil if it was not in that view.
	previousRecords map[string]*WorkerRecord
	onChange        func(*View, WorkerUpdate)
	// encodedLists caches the messages for the current revision by the revision that they start
	// from.
	encodedLists map[int64]*replicav1.WorkerList
}

// NewState returns an empty state. onChange, if not nil, is called with each new view; calls do not
// overlap.
func NewState(now func() time.Time, onChange func(*View, WorkerUpdate)) *State {
	state := &State{
		now: now, afterFunc: func(delay time.Duration, run func()) { time.AfterFunc(delay, run) }, onChange: onChange, viewChanged: make(chan struct{}),
		workers: make(map[string]*registration), incarnations: make(incarnations), lapsed: make(map[string]lapsedWorker),
		available: newWorkerIndex(), previousRecords: make(map[string]*WorkerRecord), storeEpochs: make(map[uint32]uint64),
	}
	state.view.Store(&View{})
	return state
}

// SetUnverifiedGroupHandler sets a handler for groups that arrive from peers while no group is
// known, because such a peer may belong to another system. The handler must not block. It must be
// set before the state is shared.
func (s *State) SetUnverifiedGroupHandler(handler func(*replicav1.Group)) {
	s.onUnverifiedGroup = handler
}

// AcceptsPeerGroups reports whether groups from peers are applied instead of being passed to the
// handler for unverified groups.
func (s *State) AcceptsPeerGroups() bool {
	return s.onUnverifiedGroup == nil || AnyGroup(s.Groups()) != nil
}

// AnyGroup returns one of the known groups, or nil.
func AnyGroup(groups []*replicav1.Group) *replicav1.Group {
	for _, group := range groups {
		if group != nil {
			return group
		}
	}
	return nil
}

// View returns the current view.
func (s *State) View() *View { return s.view.Load() }

// ViewChanged returns a channel that is closed when the next view is published.
func (s *State) ViewChanged() <-chan struct{} {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.viewChanged
}

// WorkersRevision returns the revision of the known workers.
func (s *State) WorkersRevision() int64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.workersRevision
}

// ApplyConfiguration applies a configuration if it is newer than the current one.
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

// SystemOf returns the system that the groups belong to, or 0 if it is unknown.
func SystemOf(groups []*replicav1.Group) uint64 {
	for _, group := range groups {
		if group.GetSystem() != 0 {
			return group.System
		}
	}
	return 0
}

// MayBeSameSystem reports whether two system IDs are equal or at least one of them is unknown.
func MayBeSameSystem(a, b uint64) bool { return a == b || a == 0 || b == 0 }

// AcceptsGroup reports whether a process of the given system, 0 if unknown, may apply a group. Once
// the system is known, a group without a system counts as foreign.
func AcceptsGroup(own uint64, group *replicav1.Group) bool {
	return own == 0 || own == group.GetSystem()
}

// ApplyPeerGroup applies a group that the named peer has sent. It differs from ApplyGroup in that
// the peer may belong to another system.
func (s *State) ApplyPeerGroup(group *replicav1.Group, source string) {
	if group != nil && !s.AcceptsPeerGroups() {
		s.onUnverifiedGroup(group)
		return
	}
	s.ApplyGroup(group, source)
}

// ApplyGroup applies the group of a partition if its epoch is higher than that of the current one.
// It rejects groups of another system from any source, because addresses can be reassigned. The
// source is only logged.
func (s *State) ApplyGroup(group *replicav1.Group, source string) {
	if group == nil {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	current := s.view.Load()
	if own := SystemOf(current.Groups); !AcceptsGroup(own, group) {
		s.logForeignGroup(group, own, source)
		return
	}
	if source == SourceStore {
		s.storeEpochs[group.Partition] = max(s.storeEpochs[group.Partition], group.Epoch)
	}
	if current.Group(group.Partition).GetEpoch() >= group.Epoch {
		return
	}
	if group.Agreement != nil {
		// The store's own state as an acceptor is not a part of the group.
		group = proto.CloneOf(group)
		group.Agreement = nil
	}
	partitions := max(len(current.Groups), partitionCount(group))
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

// logForeignGroup logs a rejected group of another system, at most once per foreignLogInterval. The
// mutex must be held.
func (s *State) logForeignGroup(group *replicav1.Group, own uint64, source string) {
	now := s.now()
	if now.Sub(s.foreignLoggedAt) < foreignLogInterval {
		return
	}
	s.foreignLoggedAt = now
	eventForeignGroup.Log("partition", group.Partition, "epoch", group.Epoch, "source", source, "system", group.System, "own", own)
}

// publish publishes a view whose workers have not changed.
func (s *State) publish(next *View) { s.publishUpdate(next, WorkerUpdate{}) }

func (s *State) publishUpdate(next *View, update WorkerUpdate) {
	s.view.Store(next)
	close(s.viewChanged)
	s.viewChanged = make(chan struct{})
	if s.onChange != nil {
		s.onChange(next, update)
	}
}

// StoreEpoch returns the epoch of the newest group of a partition that the platform's store is known
// to list, or 0.
func (s *State) StoreEpoch(partition uint32) uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.storeEpochs[partition]
}

// Group returns the current group of a partition, or nil.
func (s *State) Group(partition uint32) *replicav1.Group { return s.View().Group(partition) }

// Groups returns the known groups by partition. Unknown groups are nil.
func (s *State) Groups() []*replicav1.Group { return s.View().Groups }

// Members returns the distinct members of the groups.
func Members(groups []*replicav1.Group) []Replica {
	seen := make(map[string]bool)
	var members []Replica
	for _, group := range groups {
		for _, member := range group.GetMembers() {
			if !seen[member.Node] {
				seen[member.Node] = true
				members = append(members, Replica{Node: member.Node, Address: member.Address, Zone: member.Zone})
			}
		}
	}
	return members
}

// partitionCount returns the number of partitions that a group declares. Groups of releases without
// partitions declare none and are the only group.
func partitionCount(group *replicav1.Group) int { return max(1, int(group.Partitions)) }
