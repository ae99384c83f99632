package limit

import (
	"sync/atomic"
	"time"
)

// Ticket represents an admitted request while it is in flight. It is safe for
// concurrent use.
type Ticket struct {
	admitter       *Admitter
	tenant         *tenantLoad
	class          Class
	admitted       time.Time
	firstTokenSeen atomic.Bool
	done           atomic.Bool
}

// FirstToken records the arrival of the first token of a model's answer. It must not be
// called for tools, because a tool's latency does not depend on this limit.
func (t *Ticket) FirstToken(now time.Time) {
	if t.firstTokenSeen.Swap(true) {
		return
	}
	a := t.admitter
	latency := now.Sub(t.admitted)
	a.samples.Add(1)
	if latency > a.config.TargetFirstTokenLatency {
		a.overTarget.Add(1)
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	// Exponential moving average over about ten samples.
	const smoothing = 0.1
	a.firstTokenLatency += time.Duration(smoothing * float64(latency-a.firstTokenLatency))
}

// Done ends the request. Only the first call has an effect.
func (t *Ticket) Done(now time.Time, outcome Outcome) {
	if t.done.Swap(true) {
		return
	}
	a := t.admitter
	t.tenant.inFlight.Add(-1)
	if t.class == ClassProgramStart {
		// The program's first call follows soon, so its start counts as in flight until
		// the window ends. Otherwise every start that arrives in a quiet moment would
		// be admitted.
		a.retainedStarts.Add(1)
		a.rollWindow(now)
		return
	}
	a.inFlight.Add(-1)
	switch outcome {
	case OutcomeCompleted:
		a.completions.Add(1)
	case OutcomeOverloaded:
		a.overloads.Add(1)
	}
	a.rollWindow(now)
}

// rollWindow ends the window if its time has passed, and updates the limit from it.
func (a *Admitter) rollWindow(now time.Time) {
	if now.UnixNano() < a.windowEndNanos.Load() {
		return
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if now.Before(a.windowEnd) {
		return
	}
	a.inFlight.Add(-a.retainedStarts.Swap(0))
	elapsed := now.Sub(a.windowEnd) + windowLength
	completions := a.completions.Swap(0)
	// Exponential moving average of the completion rate over about five windows.
	const smoothing = 0.2
	a.completionRate += smoothing * (Rate(float64(completions)/elapsed.Seconds()) - a.completionRate)
	a.updateLimit()
	a.totalWeight.Store(a.sumActiveWeights())
	a.windowEnd = now.Add(windowLength)
	a.windowEndNanos.Store(a.windowEnd.UnixNano())
}

// updateLimit adds the counters of the ended window to the pending ones, and computes a
// new limit once there are enough samples. A daemon with few calls updates the limit
// less often.
func (a *Admitter) updateLimit() {
	a.pending.samples += int(a.samples.Swap(0))
	a.pending.overTarget += int(a.overTarget.Swap(0))
	a.pending.overloads += int(a.overloads.Swap(0))
	a.pending.peakInFlight = max(a.pending.peakInFlight, int(a.peakInFlight.Swap(a.inFlight.Load())))
	a.pending.windows++
	if a.pending.samples+a.pending.overloads < minSamples && a.pending.windows < maxWindows {
		return
	}
	a.adaptive = a.adaptive.next(a.pending, float64(a.config.MinLimit), float64(a.config.MaxLimit))
	a.limit.Store(int64(a.adaptive.limit))
	a.pending = window{}
}

// sumActiveWeights returns the sum of the weights of active tenants and removes the
// others.
func (a *Admitter) sumActiveWeights() uint64 {
	sum := uint64(0)
	a.tenants.Range(func(id, value any) bool {
		load := value.(*tenantLoad)
		if load.requests.Swap(0) > 0 || load.inFlight.Load() > 0 {
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
