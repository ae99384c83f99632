// Package coldstart decides which workers one process considers cold. A cold worker can only
// handle a few requests for a while, because it has just started or was idle. The package works
// with the updates that the process receives and with the times of their receipt by the process's
// own monotonic clock. It does no I/O.
//
// Invariant: a cold worker counts as cold from the moment at which this process receives its
// entry, or any event after which workers may be cold. This ends with the worker's own report, or
// after the time declared by its service. Unknown workers count as cold. An entry is older than
// its receipt, so the cold period that it contains ends later here than at the worker.
package coldstart

import (
	"iter"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/directory"
	"github.com/barleyshelf/barleyshelf/internal/route"
)

// MaxEntryAge is the maximum age of an entry when a process receives it. It covers a call to the
// platform's store, the time during which changes are batched, and two polls of replicas, one of
// them slow. The content of an entry may be that much older.
const MaxEntryAge = 3 * time.Second

// Reason is why a worker counts as cold. The zero value means that it does not.
type Reason string

// Values of Reason.
const (
	// Warm means that the worker is not cold.
	Warm Reason = ""
	// Reported means that the worker itself reports that it is cold.
	Reported Reason = "told"
	// Unknown means that this process has no entry of the worker, or has not processed the latest
	// view.
	Unknown Reason = "unheard"
	// InitialList means that the worker is in the first list received by this process, which may
	// be older than the worker's present state.
	InitialList Reason = "first_list"
	// WorkerAdded means that the worker was added to the list.
	WorkerAdded Reason = "new"
	// DrainEnded means that the drain of the worker's zone has ended.
	DrainEnded Reason = "drain_ended"
	// EntryLapsed means that the worker's entry disappeared without notice, and possibly came
	// back.
	EntryLapsed Reason = "lapsed"
	// Unreachable means that requests of this process did not reach the worker, or got no answer.
	Unreachable Reason = "unreached"
)

// Tracker tracks which workers count as cold. It is safe for concurrent use.
type Tracker struct {
	now func() time.Time
	// onCold is called with workers that start to count as cold. It may be nil.
	onCold   func(reason Reason, workers []string)
	snapshot atomic.Pointer[snapshot]

	mutex sync.Mutex
	// listedServices are the services with cold workers whose first list was received.
	listedServices map[string]bool
	workers        map[string]*workerState
	drains         directory.ZoneDrains
	// viewNumber is the number of views processed so far.
	viewNumber uint64
}

// snapshot is the state for one view. It is immutable except for the cold periods of its workers.
type snapshot struct {
	view *directory.View
	// coldServices are the services whose workers may be cold.
	coldServices map[string]route.Cold
	// workers are the workers of coldServices.
	workers map[string]*workerState
}

// coldPeriod is a period in which a worker counts as cold.
type coldPeriod struct {
	until  time.Time
	reason Reason
}

// workerState is what is known about one worker.
type workerState struct {
	service, address, zone string
	// receivedAt is when the newest entry was received, coldRemaining is the remaining cold time in
	// that entry.
	receivedAt    time.Time
	coldRemaining time.Duration
	lapsed        bool
	// viewNumber is the number of the last view that contained the worker.
	viewNumber uint64
	// reportedUntil is the end of the cold time reported by the worker.
	reportedUntil time.Time
	// assumed is a cold period assumed after an event that may have made the worker cold,
	// regardless of its earlier reports. assumedAt is when the event happened.
	assumed   coldPeriod
	assumedAt time.Time
	// current is the cold period that results from reportedUntil and assumed. The other fields
	// are protected by the tracker's mutex.
	current atomic.Pointer[coldPeriod]
}

// NewTracker returns a tracker without any workers.
func NewTracker(now func() time.Time, onCold func(reason Reason, workers []string)) *Tracker {
	tracker := &Tracker{now: now, onCold: onCold, listedServices: make(map[string]bool), workers: make(map[string]*workerState)}
	tracker.snapshot.Store(&snapshot{})
	return tracker
}

// ColdStatus returns why a worker of a service counts as cold in a view, and its limits while cold.
// The workers of a view that has not been passed to Update yet are unknown.
func (t *Tracker) ColdStatus(view *directory.View, service, worker string) (route.Cold, Reason) {
	current := t.snapshot.Load()
	if current.view != view {
		limits, found := coldServicesOf(view)[service]
		if !found {
			return route.Cold{}, Warm
		}
		return limits, Unknown
	}
	limits, found := current.coldServices[service]
	if !found {
		return route.Cold{}, Warm
	}
	state, found := current.workers[worker]
	if !found {
		return limits, Unknown
	}
	return limits, state.current.Load().reasonAt(t.now())
}

// reasonAt returns the period's reason, or Warm if it has ended.
func (p *coldPeriod) reasonAt(now time.Time) Reason {
	if now.Before(p.until) {
		return p.reason
	}
	return Warm
}

// ColdCount returns the number of workers that count as cold.
func (t *Tracker) ColdCount() (count int) {
	now := t.now()
	for _, worker := range t.snapshot.Load().workers {
		if worker.current.Load().reasonAt(now) != Warm {
			count++
		}
	}
	return count
}

// MayBeCold reports whether any worker of a service may be cold in a view.
func (t *Tracker) MayBeCold(view *directory.View, service string) bool {
	current := t.snapshot.Load()
	coldServices := current.coldServices
	if current.view != view {
		coldServices = coldServicesOf(view)
	}
	_, found := coldServices[service]
	return found
}

// Update processes the next view. Views must be passed in order.
func (t *Tracker) Update(view *directory.View) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	coldServices := coldServicesOf(view)
	if len(coldServices) == 0 && len(t.workers) == 0 && len(t.listedServices) == 0 {
		t.drains = view.Drains
		t.snapshot.Store(&snapshot{view: view})
		return
	}
	for service := range t.listedServices {
		if _, found := coldServices[service]; !found {
			delete(t.listedServices, service)
		}
	}
	t.viewNumber++
	for service, cold := range coldServices {
		for listed := range view.Workers.InService(service) {
			t.updateWorker(listed, view.LastReceived(listed), cold, view.Drains)
		}
		if view.Workers != nil {
			t.listedServices[service] = true
		}
	}
	maps.DeleteFunc(t.workers, func(_ string, state *workerState) bool { return state.viewNumber != t.viewNumber })
	t.drains = view.Drains
	t.publish(maps.Keys(t.workers))
	t.snapshot.Store(&snapshot{view: view, coldServices: coldServices, workers: maps.Clone(t.workers)})
}

// coldServicesOf returns the services of a view whose workers may be cold.
func coldServicesOf(view *directory.View) map[string]route.Cold {
	if view.Table == nil {
		return nil
	}
	var coldServices map[string]route.Cold
	for name, service := range view.Table.Configuration().Services {
		if service.Cold == nil {
			continue
		}
		if coldServices == nil {
			coldServices = make(map[string]route.Cold)
		}
		coldServices[name] = *service.Cold
	}
	return coldServices
}

// updateWorker processes one worker of a view. The caller must hold the mutex.
func (t *Tracker) updateWorker(listed *directory.WorkerRecord, receivedAt time.Time, cold route.Cold, drains directory.ZoneDrains) {
	now := t.now()
	state := t.workers[listed.ID]
	if state == nil || state.service != listed.Service || state.address != listed.Address {
		state = t.addWorker(listed, receivedAt, cold, now)
	} else if !listed.Lapsed && (state.receivedAt != receivedAt || state.coldRemaining != listed.ColdRemaining) {
		state.applyEntry(listed, receivedAt)
	}
	if listed.Lapsed || state.lapsed {
		state.assumeCold(now, cold.For, EntryLapsed)
	}
	if t.drains.Has(state.zone) && !drains.Has(state.zone) {
		state.assumeCold(now, cold.For, DrainEnded)
	}
	state.lapsed, state.viewNumber = listed.Lapsed, t.viewNumber
}

// addWorker starts to track a worker. The caller must hold the mutex.
func (t *Tracker) addWorker(listed *directory.WorkerRecord, receivedAt time.Time, cold route.Cold, now time.Time) *workerState {
	state := &workerState{
		service: listed.Service, address: listed.Address, zone: listed.Zone, receivedAt: receivedAt,
		coldRemaining: listed.ColdRemaining, reportedUntil: receivedAt.Add(listed.ColdRemaining),
	}
	t.workers[listed.ID] = state
	switch {
	case !t.listedServices[listed.Service]:
		state.assumeCold(now, min(MaxEntryAge, cold.For), InitialList)
	case listed.ColdRemaining == 0:
		state.assumeCold(now, cold.For, WorkerAdded)
	}
	return state
}

// applyEntry applies a worker's next entry. The entry does not end an assumed cold period if it
// may have been written before the assumption.
func (s *workerState) applyEntry(listed *directory.WorkerRecord, receivedAt time.Time) {
	s.receivedAt, s.coldRemaining, s.zone = receivedAt, listed.ColdRemaining, listed.Zone
	s.reportedUntil = receivedAt.Add(listed.ColdRemaining)
	if !receivedAt.Before(s.assumedAt.Add(MaxEntryAge)) {
		s.assumed = coldPeriod{}
	}
}

// assumeCold assumes that the worker is cold for a duration, because of an event that happened
// now.
func (s *workerState) assumeCold(now time.Time, duration time.Duration, reason Reason) {
	s.assumedAt = now
	if until := now.Add(duration); until.After(s.assumed.until) {
		s.assumed = coldPeriod{until: until, reason: reason}
	}
}

// updateCurrent updates the current cold period. It returns the reason if the worker starts to
// count as cold, and Warm otherwise.
func (s *workerState) updateCurrent(now time.Time) Reason {
	next := coldPeriod{until: s.reportedUntil, reason: Reported}
	if s.assumed.until.After(s.reportedUntil) {
		next = s.assumed
	}
	previous := s.current.Load()
	if previous != nil && *previous == next {
		return Warm
	}
	stored := next
	s.current.Store(&stored)
	if previous != nil && previous.reasonAt(now) != Warm {
		return Warm
	}
	return next.reasonAt(now)
}

// RecordUnreachable records that a worker was not reached or stopped answering. It may have been
// restarted without its entry showing it yet.
func (t *Tracker) RecordUnreachable(worker string) {
	t.modify(worker, func(state *workerState, cold route.Cold, now time.Time) {
		state.assumeCold(now, cold.For, Unreachable)
	})
}

// RecordReport records how long a worker remains cold by its own report, which came with the
// answer to a request sent at sentAt. If it is not cold, this ends whatever was reported or
// assumed before sentAt.
func (t *Tracker) RecordReport(worker string, sentAt time.Time, coldRemaining time.Duration) {
	t.modify(worker, func(state *workerState, _ route.Cold, now time.Time) {
		if coldRemaining > 0 {
			state.reportedUntil = now.Add(coldRemaining)
			return
		}
		if state.receivedAt.Before(sentAt) {
			state.reportedUntil = sentAt
		}
		if state.assumedAt.Before(sentAt) {
			state.assumed = coldPeriod{}
		}
	})
}

// modify changes the state of a worker.
func (t *Tracker) modify(worker string, change func(state *workerState, cold route.Cold, now time.Time)) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	state, current := t.workers[worker], t.snapshot.Load()
	if state == nil {
		return
	}
	change(state, current.coldServices[state.service], t.now())
	t.publish(slices.Values([]string{worker}))
}

// publish updates the current cold periods of workers, and reports those that start to count as
// cold. The caller must hold the mutex.
func (t *Tracker) publish(workers iter.Seq[string]) {
	now := t.now()
	started := make(map[Reason][]string)
	for id := range workers {
		if reason := t.workers[id].updateCurrent(now); reason != Warm {
			started[reason] = append(started[reason], id)
		}
	}
	if t.onCold == nil {
		return
	}
	for _, reason := range slices.Sorted(maps.Keys(started)) {
		slices.Sort(started[reason])
		t.onCold(reason, started[reason])
	}
}
