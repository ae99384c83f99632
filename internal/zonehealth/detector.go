// Package zonehealth detects unreachable zones from the times of the last answers of each zone and
// from unanswered probes. It does no I/O and does not read a clock.
//
// When a zone loses its network links or its power, requests to each of its workers would otherwise
// have to fail one by one at every gateway, and the gateways in that zone would hold requests for
// replicas that cannot answer.
package zonehealth

import (
	"slices"
	"sync"
	"time"
)

const (
	// ProbeAfter is the time without an answer from a zone after which it is probed. A gateway with
	// a few requests per second gets answers from every zone more often than that.
	ProbeAfter = 300 * time.Millisecond
	// ProbeTimeout is the timeout of a probe. It is several times the latency between distant
	// regions, and longer than the pause of a process that gets no processor time.
	ProbeTimeout = 200 * time.Millisecond
	// maxProbeInterval is the maximum time between probes of a zone whose workers answer while its
	// replicas do not. Each of these probes opens a connection to a worker.
	maxProbeInterval = 2 * time.Second
	// unreachableAfterMisses is the number of consecutive unanswered probes after which a zone is
	// unreachable. A single miss may be caused by a pause of this process.
	unreachableAfterMisses = 2
)

// Detector tracks which zones a process can reach. It is safe for concurrent use.
type Detector struct {
	ownZone string

	mutex sync.Mutex
	zones map[string]*zone
}

type zone struct {
	// lastAnswer is the time of the last answer from the zone.
	lastAnswer time.Time
	// silentSince is the start of the first unanswered probe since the last answer, or zero if
	// there is none. missedProbes counts those probes.
	silentSince  time.Time
	missedProbes int
	unreachable  bool
	// probeAfter is the time without an answer after which the zone is probed next.
	probeAfter time.Duration
	// lastReplicaAnswer is the time of the last answer from a replica of the zone.
	lastReplicaAnswer time.Time
}

// NewDetector returns a detector for a process in the given zone.
func NewDetector(ownZone string) *Detector {
	return &Detector{ownZone: ownZone, zones: make(map[string]*zone)}
}

// SetZones sets the zones to track. New zones start as if they had just answered.
func (d *Detector) SetZones(now time.Time, names []string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for name := range d.zones {
		if !slices.Contains(names, name) {
			delete(d.zones, name)
		}
	}
	for _, name := range names {
		if d.zones[name] == nil {
			d.zones[name] = &zone{lastAnswer: now, probeAfter: ProbeAfter}
		}
	}
}

// RecordAnswer records an answer from a zone at the given time. It reports whether the zone was
// unreachable before.
func (d *Detector) RecordAnswer(name string, at time.Time) (recovered bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	state := d.zones[name]
	if state == nil || !at.After(state.lastAnswer) {
		return false
	}
	state.lastAnswer = at
	if !at.After(state.silentSince) {
		// The answer was received before the silence began.
		return false
	}
	recovered = state.unreachable
	state.silentSince, state.missedProbes, state.unreachable = time.Time{}, 0, false
	return recovered
}

// RecordWorkerAnswer records that a worker answered a probe of a zone whose replicas do not answer.
// It returns the result of RecordAnswer. Each call doubles the probe interval up to
// maxProbeInterval.
func (d *Detector) RecordWorkerAnswer(name string, at time.Time) (recovered bool) {
	recovered = d.RecordAnswer(name, at)
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if state := d.zones[name]; state != nil {
		state.probeAfter = min(maxProbeInterval, 2*state.probeAfter)
	}
	return recovered
}

// RecordReplicaAnswer records an answer from a replica of a zone at the given time, and resets the
// probe interval. It returns the result of RecordAnswer.
func (d *Detector) RecordReplicaAnswer(name string, at time.Time) (recovered bool) {
	d.mutex.Lock()
	if state := d.zones[name]; state != nil && at.After(state.lastReplicaAnswer) {
		state.lastReplicaAnswer, state.probeAfter = at, ProbeAfter
	}
	d.mutex.Unlock()
	return d.RecordAnswer(name, at)
}

// RecordMissedProbe records an unanswered probe of a zone that began at the given time. It reports
// whether the zone has become unreachable. That requires an answer from another zone during the
// silence, because otherwise this process may be the one that is disconnected.
func (d *Detector) RecordMissedProbe(name string, startedAt time.Time) (becameUnreachable bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	state := d.zones[name]
	if state == nil || state.lastAnswer.After(startedAt) || !d.answeredElsewhere(name, startedAt.Add(-ProbeAfter)) {
		// Without an answer from another zone, the probe may have failed because of this process.
		return false
	}
	if state.missedProbes == 0 {
		state.silentSince = startedAt
	}
	state.missedProbes++
	if state.unreachable || state.missedProbes < unreachableAfterMisses || !d.answeredElsewhere(name, state.silentSince) {
		return false
	}
	state.unreachable = true
	return true
}

// answeredElsewhere reports whether another zone has answered since the given time. The mutex must
// be held.
func (d *Detector) answeredElsewhere(name string, since time.Time) bool {
	for other, state := range d.zones {
		if other != name && state.lastAnswer.After(since) {
			return true
		}
	}
	return false
}

// ZonesToProbe returns the sorted names of the zones that must be probed now.
func (d *Detector) ZonesToProbe(now time.Time) (due []string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for name, state := range d.zones {
		if now.Sub(state.lastAnswer) >= state.probeAfter {
			due = append(due, name)
		}
	}
	slices.Sort(due)
	return due
}

// IsUnreachable reports whether a zone is unreachable.
func (d *Detector) IsUnreachable(name string) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	state := d.zones[name]
	return state != nil && state.unreachable
}

// UnreachableCount returns the number of unreachable zones.
func (d *Detector) UnreachableCount() (count int) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, state := range d.zones {
		if state.unreachable {
			count++
		}
	}
	return count
}

// HasMissedProbe reports whether a probe of a zone was missed since its last answer.
func (d *Detector) HasMissedProbe(name string) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	state := d.zones[name]
	return state != nil && state.missedProbes > 0
}

// CutOffSince returns since when all other zones have been unreachable while the own zone is not,
// and whether that is so.
func (d *Detector) CutOffSince() (since time.Time, cutOff bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if own := d.zones[d.ownZone]; own == nil || own.unreachable || len(d.zones) < 2 {
		return time.Time{}, false
	}
	for name, state := range d.zones {
		if name == d.ownZone {
			continue
		}
		if !state.unreachable {
			return time.Time{}, false
		}
		if state.silentSince.After(since) {
			since = state.silentSince
		}
	}
	return since, true
}
