// Package coldstart decides which workers count as cold for one process: such as bear few
// requests for a while, because they have started a moment ago or lay idle. It takes what the
// process receives, with the times of that by its own steady clock. It does no I/O.
//
// Invariant: a worker that is cold counts as cold from the moment at which this process receives
// its entry, or anything after which workers are cold, until the worker's own report, or the
// time that its service declares, ends that. What is not known counts as cold. An entry
// is older than its receipt, so the time that it names ends here later than at the worker.
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

// MaxEntryAge is how old an entry may be when a process receives it: a call to the platform's store,
// the time over which changes are gathered, and two questions of replicas, with a slow one
// among them. What an entry says may have been written that much before.
const MaxEntryAge = 3 * time.Second

// Reason names why a worker counts as cold; the zero value is that it does not.
type Reason string

// The reasons.
const (
	// Warm is no reason.
	Warm Reason = ""
	// Reported is that the worker reports it itself.
	Reported Reason = "told"
	// Unknown is that this process has received nothing of the worker, or nothing lately.
	Unknown Reason = "unheard"
	// InitialList is that the worker stands in the first list that this process received, which
	// may be older than the worker's present state.
	InitialList Reason = "first_list"
	// WorkerAdded is that the worker came into the list.
	WorkerAdded Reason = "new"
	// DrainEnded is that its zone gets requests again.
	DrainEnded Reason = "drain_ended"
	// EntryLapsed is that its entry went without notice, or came back after that.
	EntryLapsed Reason = "lapsed"
	// Unreachable is that requests of this process did not reach it, or got no answer.
	Unreachable Reason = "unreached"
)

// Tracker keeps which workers count as cold. It is safe for concurrent use.
type Tracker struct {
	now func() time.Time
	// changed, if not nil, is called with workers that begin to count as cold.
	changed func(reason Reason, workers []string)
	state   atomic.Pointer[state]

	mutex sync.Mutex
	// followed are the services with cold workers whose first list was received.
	followed map[string]bool
	workers  map[string]*standing
	drains   directory.ZoneDrains
	// taken counts the views.
	taken uint64
}

// state is what holds as of a view. It is immutable, but for the spells of its workers.
type state struct {
	view *directory.View
	// declared are the services whose workers may be cold.
	declared map[string]route.Cold
	// workers are those of these services.
	workers map[string]*standing
}

// spell is a time for which a worker counts as cold.
type spell struct {
	until  time.Time
	reason Reason
}

// standing is what is known of one worker.
type standing struct {
	service, address, zone string
	// received is when the newest entry came, left for how long it named the worker cold.
	received time.Time
	left     time.Duration
	lapsed   bool
	// taken is the number of the last view that had the worker.
	taken uint64
	// reportedUntil ends the time for which the worker reported that it is cold.
	reportedUntil time.Time
	// doubt is what happened after which a worker may be cold, whatever it reported before;
	// doubted is when.
	doubt   spell
	doubted time.Time
	// holds is what follows from reportedUntil and doubt. The other fields belong to the tracker's
	// mutex.
	holds atomic.Pointer[spell]
}

// NewTracker returns a tracker that has received nothing.
func NewTracker(now func() time.Time, changed func(reason Reason, workers []string)) *Tracker {
	tracker := &Tracker{now: now, changed: changed, followed: make(map[string]bool), workers: make(map[string]*standing)}
	tracker.state.Store(&state{})
	return tracker
}

// ColdStatus returns why a worker of a service counts as cold as of a view, and what it bears then.
// Of a view that Take was not given yet nothing is known.
func (t *Tracker) ColdStatus(view *directory.View, service, worker string) (route.Cold, Reason) {
	known := t.state.Load()
	if known.view != view {
		declared, found := declaredIn(view)[service]
		if !found {
			return route.Cold{}, Warm
		}
		return declared, Unknown
	}
	declared, found := known.declared[service]
	if !found {
		return route.Cold{}, Warm
	}
	standing, found := known.workers[worker]
	if !found {
		return declared, Unknown
	}
	return declared, standing.holds.Load().at(t.now())
}

// at returns the spell's reason while it lasts.
func (s *spell) at(now time.Time) Reason {
	if now.Before(s.until) {
		return s.reason
	}
	return Warm
}

// ColdCount returns how many workers count as cold.
func (t *Tracker) ColdCount() (count int) {
	now := t.now()
	for _, each := range t.state.Load().workers {
		if each.holds.Load().at(now) != Warm {
			count++
		}
	}
	return count
}

// MayBeCold reports whether workers of a service may be cold as of a view, without saying which.
func (t *Tracker) MayBeCold(view *directory.View, service string) bool {
	known := t.state.Load()
	declared := known.declared
	if known.view != view {
		declared = declaredIn(view)
	}
	_, found := declared[service]
	return found
}

// Update takes the next view. Views are to be given in their order.
func (t *Tracker) Update(view *directory.View) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	declared := declaredIn(view)
	if len(declared) == 0 && len(t.workers) == 0 && len(t.followed) == 0 {
		t.drains = view.Drains
		t.state.Store(&state{view: view})
		return
	}
	for service := range t.followed {
		if _, found := declared[service]; !found {
			delete(t.followed, service)
		}
	}
	t.taken++
	for service, cold := range declared {
		for each := range view.Workers.InService(service) {
			t.take(each, view.LastReceived(each), cold, view.Drains)
		}
		if view.Workers != nil {
			t.followed[service] = true
		}
	}
	maps.DeleteFunc(t.workers, func(_ string, known *standing) bool { return known.taken != t.taken })
	t.drains = view.Drains
	t.publish(maps.Keys(t.workers))
	t.state.Store(&state{view: view, declared: declared, workers: maps.Clone(t.workers)})
}

// declaredIn returns the services of a view whose workers may be cold.
func declaredIn(view *directory.View) map[string]route.Cold {
	if view.Table == nil {
		return nil
	}
	var declared map[string]route.Cold
	for name, service := range view.Table.Configuration().Services {
		if service.Cold == nil {
			continue
		}
		if declared == nil {
			declared = make(map[string]route.Cold)
		}
		declared[name] = *service.Cold
	}
	return declared
}

// take takes one worker of a view. The mutex is held.
func (t *Tracker) take(listed *directory.WorkerRecord, received time.Time, cold route.Cold, drains directory.ZoneDrains) {
	now := t.now()
	known := t.workers[listed.ID]
	if known == nil || known.service != listed.Service || known.address != listed.Address {
		known = t.add(listed, received, cold, now)
	} else if !listed.Lapsed && (known.received != received || known.left != listed.ColdRemaining) {
		known.update(listed, received)
	}
	if listed.Lapsed || known.lapsed {
		known.suspect(now, cold.For, EntryLapsed)
	}
	if t.drains.Has(known.zone) && !drains.Has(known.zone) {
		known.suspect(now, cold.For, DrainEnded)
	}
	known.lapsed, known.taken = listed.Lapsed, t.taken
}

// add begins to keep a worker. The mutex is held.
func (t *Tracker) add(listed *directory.WorkerRecord, received time.Time, cold route.Cold, now time.Time) *standing {
	known := &standing{
		service: listed.Service, address: listed.Address, zone: listed.Zone, received: received,
		left: listed.ColdRemaining, reportedUntil: received.Add(listed.ColdRemaining),
	}
	t.workers[listed.ID] = known
	switch {
	case !t.followed[listed.Service]:
		known.suspect(now, min(MaxEntryAge, cold.For), InitialList)
	case listed.ColdRemaining == 0:
		known.suspect(now, cold.For, WorkerAdded)
	}
	return known
}

// update takes a worker's next entry. One that may have been written before the worker was
// doubted does not end the doubt.
func (s *standing) update(listed *directory.WorkerRecord, received time.Time) {
	s.received, s.left, s.zone = received, listed.ColdRemaining, listed.Zone
	s.reportedUntil = received.Add(listed.ColdRemaining)
	if !received.Before(s.doubted.Add(MaxEntryAge)) {
		s.doubt = spell{}
	}
}

// suspect notes what happened after which a worker may be cold for so long.
func (s *standing) suspect(now time.Time, last time.Duration, reason Reason) {
	s.doubted = now
	if until := now.Add(last); until.After(s.doubt.until) {
		s.doubt = spell{until: until, reason: reason}
	}
}

// settle puts what follows in force, and returns why the worker begins to count as cold; Warm
// where it does not, or did before.
func (s *standing) settle(now time.Time) Reason {
	next := spell{until: s.reportedUntil, reason: Reported}
	if s.doubt.until.After(s.reportedUntil) {
		next = s.doubt
	}
	before := s.holds.Load()
	if before != nil && *before == next {
		return Warm
	}
	held := next
	s.holds.Store(&held)
	if before != nil && before.at(now) != Warm {
		return Warm
	}
	return next.at(now)
}

// Unreachable notes that a worker was not reached, or fell silent: it may have been started
// again, and its entry does not show it yet.
func (t *Tracker) RecordUnreachable(worker string) {
	t.revise(worker, func(known *standing, cold route.Cold, now time.Time) {
		known.suspect(now, cold.For, Unreachable)
	})
}

// RecordReport takes a worker's own report, from an answer to a request that was sent at a time, of for
// how long it is cold. Where that is not at all it ends what was believed before the request
// was sent.
func (t *Tracker) RecordReport(worker string, sent time.Time, left time.Duration) {
	t.revise(worker, func(known *standing, _ route.Cold, now time.Time) {
		if left > 0 {
			known.reportedUntil = now.Add(left)
			return
		}
		if known.received.Before(sent) {
			known.reportedUntil = sent
		}
		if known.doubted.Before(sent) {
			known.doubt = spell{}
		}
	})
}

// revise changes what is known of a worker.
func (t *Tracker) revise(worker string, change func(known *standing, cold route.Cold, now time.Time)) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	known, current := t.workers[worker], t.state.Load()
	if known == nil {
		return
	}
	change(known, current.declared[known.service], t.now())
	t.publish(slices.Values([]string{worker}))
}

// publish puts what is known of workers in force, and reports those that begin to count as
// cold. The mutex is held.
func (t *Tracker) publish(workers iter.Seq[string]) {
	now := t.now()
	begun := make(map[Reason][]string)
	for id := range workers {
		if reason := t.workers[id].settle(now); reason != Warm {
			begun[reason] = append(begun[reason], id)
		}
	}
	if t.changed == nil {
		return
	}
	for _, reason := range slices.Sorted(maps.Keys(begun)) {
		slices.Sort(begun[reason])
		t.changed(reason, begun[reason])
	}
}
