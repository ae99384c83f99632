package limit

import (
	"sync/atomic"
	"time"
)

// Ticket is held by an admitted request while it is under way. It is safe for
// concurrent use.
type Ticket struct {
	admitter *Admitter
	tenant   *tenantLoad
	class    Class
	admitted time.Time
	first    atomic.Bool
	done     atomic.Bool
}

// FirstToken tells that the first part of a model's answer came. It is not to be
// called for tools, whose delay is their own.
func (t *Ticket) FirstToken(now time.Time) {
	if t.first.Swap(true) {
		return
	}
	a := t.admitter
	delay := now.Sub(t.admitted)
	a.samples.Add(1)
	if delay > a.config.TargetFirstTokenLatency {
		a.late.Add(1)
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	// An exponential average over about ten samples.
	const newPart = 0.1
	a.firstPart += time.Duration(newPart * float64(delay-a.firstPart))
}

// Done gives the ticket back. Later calls change nothing.
func (t *Ticket) Done(now time.Time, outcome Outcome) {
	if t.done.Swap(true) {
		return
	}
	a := t.admitter
	t.tenant.inFlight.Add(-1)
	if t.class == ClassProgramStart {
		// The program's first call comes soon: its place is kept until the
		// window ends, or all who come in a quiet moment would be let in.
		a.opened.Add(1)
		a.roll(now)
		return
	}
	a.inFlight.Add(-1)
	switch outcome {
	case OutcomeCompleted:
		a.done.Add(1)
	case OutcomeOverloaded:
		a.overloads.Add(1)
	}
	a.roll(now)
}

// roll ends the window if its time is over, and judges it.
func (a *Admitter) roll(now time.Time) {
	if now.UnixNano() < a.ends.Load() {
		return
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if now.Before(a.windowEnd) {
		return
	}
	a.inFlight.Add(-a.opened.Swap(0))
	elapsed := now.Sub(a.windowEnd) + windowLength
	done := a.done.Swap(0)
	// The rate of ends, averaged over about five windows.
	const newPart = 0.2
	a.doneRate += newPart * (Rate(float64(done)/elapsed.Seconds()) - a.doneRate)
	a.judge()
	a.weights.Store(a.rollTenants())
	a.windowEnd = now.Add(windowLength)
	a.ends.Store(a.windowEnd.UnixNano())
}

// judge adds what was seen to what was not yet judged, and sets the limit once
// there are delays enough. A daemon with few calls judges more rarely.
func (a *Admitter) judge() {
	a.seen.samples += int(a.samples.Swap(0))
	a.seen.late += int(a.late.Swap(0))
	a.seen.overloads += int(a.overloads.Swap(0))
	a.seen.peak = max(a.seen.peak, int(a.peak.Swap(a.inFlight.Load())))
	a.seen.length++
	if a.seen.samples+a.seen.overloads < fewestSamples && a.seen.length < mostWindows {
		return
	}
	a.adaptive = a.adaptive.next(a.seen, float64(a.config.MinLimit), float64(a.config.MaxLimit))
	a.limit.Store(int64(a.adaptive.limit))
	a.seen = window{}
}

// rollTenants sums the weights of the tenants that ask, and forgets the others.
func (a *Admitter) rollTenants() uint64 {
	sum := uint64(0)
	a.tenants.Range(func(id, found any) bool {
		load := found.(*tenantLoad)
		if load.asked.Swap(0) > 0 || load.inFlight.Load() > 0 {
			sum += load.weight.Load()
		} else {
			a.tenants.Delete(id)
		}
		return true
	})
	return sum
}

// storeMax raises value to at least candidate.
func storeMax(value *atomic.Int64, candidate int64) {
	for {
		current := value.Load()
		if candidate <= current || value.CompareAndSwap(current, candidate) {
			return
		}
	}
}
