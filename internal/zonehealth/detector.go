// Package zonehealth judges which zones a process reaches, from when someone in each of them
// last answered and from probes that nobody there answered. It is pure: it does no I/O and
// reads no clock.
//
// It answers the load of a zone that loses its links or its power: requests to each of its
// workers would otherwise have to fail one by one at every gateway, and the zone's own
// gateways would hold requests for replicas that cannot answer.
package zonehealth

import (
	"slices"
	"sync"
	"time"
)

const (
	// ProbeAfter is for how long nobody in a zone has answered before the zone is probed. A
	// gateway with a few requests a second hears every zone more often than that.
	ProbeAfter = 300 * time.Millisecond
	// ProbeTimeout is how long a probe waits: several times the way between regions that are
	// far apart, and the pause of a process whose processor is taken away.
	ProbeTimeout = 200 * time.Millisecond
	// longestQuiet bounds the time between probes of a zone whose replicas do not answer
	// while its workers do: each probe costs a connection to one of these.
	longestQuiet = 2 * time.Second
	// enoughMisses is how many probes in a row nobody has answered when a zone is taken to be
	// out of reach: one may have met a pause of this process.
	enoughMisses = 2
)

// Detector is what one process sees of zones. It is safe for concurrent use.
type Detector struct {
	own string

	mutex sync.Mutex
	zones map[string]*zone
}

type zone struct {
	// answered is when someone in the zone answered last.
	answered time.Time
	// silentSince is when the first probe began that nobody has answered since then; zero is
	// none. misses counts those probes.
	silentSince time.Time
	misses      int
	unreached   bool
	// quiet is for how long nobody must have answered before the next probe.
	quiet time.Duration
	// replica is when a replica of the zone answered last.
	replica time.Time
}

// NewDetector returns the detector of a process in a zone.
func NewDetector(own string) *Detector { return &Detector{own: own, zones: make(map[string]*zone)} }

// SetZones forgets the zones that are not among those given, and begins to know the others, as
// ones that have answered just now.
func (s *Detector) SetZones(now time.Time, names []string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for name := range s.zones {
		if !slices.Contains(names, name) {
			delete(s.zones, name)
		}
	}
	for _, name := range names {
		if s.zones[name] == nil {
			s.zones[name] = &zone{answered: now, quiet: ProbeAfter}
		}
	}
}

// RecordAnswer notes that someone in a zone answered at a moment. It reports whether the zone
// was taken to be out of reach.
func (s *Detector) RecordAnswer(name string, at time.Time) (returned bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	known := s.zones[name]
	if known == nil || !at.After(known.answered) {
		return false
	}
	known.answered = at
	if !at.After(known.silentSince) {
		// An answer from before the silence began.
		return false
	}
	returned = known.unreached
	known.silentSince, known.misses, known.unreached = time.Time{}, 0, false
	return returned
}

// RecordWorkerAnswer notes that a probe of a zone whose replicas do not answer was answered by a worker,
// and reports what Answered does. Probes that bring only this come less and less often.
func (s *Detector) RecordWorkerAnswer(name string, at time.Time) (returned bool) {
	returned = s.RecordAnswer(name, at)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if known := s.zones[name]; known != nil {
		known.quiet = min(longestQuiet, 2*known.quiet)
	}
	return returned
}

// RecordReplicaAnswer notes that a replica of a zone answered at a moment, and reports what
// RecordAnswer does.
func (s *Detector) RecordReplicaAnswer(name string, at time.Time) (returned bool) {
	s.mutex.Lock()
	if known := s.zones[name]; known != nil && at.After(known.replica) {
		known.replica, known.quiet = at, ProbeAfter
	}
	s.mutex.Unlock()
	return s.RecordAnswer(name, at)
}

// RecordMissedProbe notes a probe that nobody in a zone has answered, and when it began. It reports
// whether the zone is taken to be out of reach from now on: that needs an answer from another
// zone during the silence, for else it may be this process that nothing reaches.
func (s *Detector) RecordMissedProbe(name string, began time.Time) (lost bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	known := s.zones[name]
	if known == nil || known.answered.After(began) || !s.answeredElsewhere(name, began.Add(-ProbeAfter)) {
		// Where no other zone was heard either, the probe says more of this process.
		return false
	}
	if known.misses == 0 {
		known.silentSince = began
	}
	known.misses++
	if known.unreached || known.misses < enoughMisses || !s.answeredElsewhere(name, known.silentSince) {
		return false
	}
	known.unreached = true
	return true
}

// answeredElsewhere reports whether another zone has answered since a moment. The mutex is held.
func (s *Detector) answeredElsewhere(name string, since time.Time) bool {
	for other, known := range s.zones {
		if other != name && known.answered.After(since) {
			return true
		}
	}
	return false
}

// ZonesToProbe returns the zones that are to be probed.
func (s *Detector) ZonesToProbe(now time.Time) (due []string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for name, known := range s.zones {
		if now.Sub(known.answered) >= known.quiet {
			due = append(due, name)
		}
	}
	slices.Sort(due)
	return due
}

// IsUnreachable reports whether a zone is taken to be out of reach.
func (s *Detector) IsUnreachable(name string) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	known := s.zones[name]
	return known != nil && known.unreached
}

// UnreachableCount returns how many zones are taken to be out of reach.
func (s *Detector) UnreachableCount() (count int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, known := range s.zones {
		if known.unreached {
			count++
		}
	}
	return count
}

// HasMissedProbe reports whether a probe of a zone has found nobody since its last answer.
func (s *Detector) HasMissedProbe(name string) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	known := s.zones[name]
	return known != nil && known.misses > 0
}

// CutOffSince reports whether no other zone is reached while the own one is, and since when.
func (s *Detector) CutOffSince() (since time.Time, cutOff bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if own := s.zones[s.own]; own == nil || own.unreached || len(s.zones) < 2 {
		return time.Time{}, false
	}
	for name, known := range s.zones {
		if name == s.own {
			continue
		}
		if !known.unreached {
			return time.Time{}, false
		}
		if known.silentSince.After(since) {
			since = known.silentSince
		}
	}
	return since, true
}
