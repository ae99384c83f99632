package directory

import (
	"maps"
	"slices"

	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
)

// ZoneDrains is the set of drained zones, whose workers get no requests, at a revision of the
// platform's store. It is immutable.
type ZoneDrains struct {
	// Revision is 0 until a list of drained zones has been received.
	Revision int64
	zones    map[string]bool
}

// Known reports whether a list of drained zones has been received.
func (d ZoneDrains) Known() bool { return d.Revision != 0 }

// Has reports whether a zone is drained.
func (d ZoneDrains) Has(zone string) bool { return d.zones[zone] }

// Count returns how many zones are drained.
func (d ZoneDrains) Count() int { return len(d.zones) }

// Zones returns the drained zones, sorted.
func (d ZoneDrains) Zones() []string {
	zones := slices.AppendSeq(make([]string, 0, len(d.zones)), maps.Keys(d.zones))
	slices.Sort(zones)
	return zones
}

// ReplaceZoneDrains replaces the set of drained zones if its revision is newer than the current
// one. Stale data therefore never drains a zone or ends a drain.
func (s *State) ReplaceZoneDrains(zones []string, revision int64) {
	drained := make(map[string]bool, len(zones))
	for _, zone := range zones {
		drained[zone] = true
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.publishZoneDrains(drained, revision)
}

// ApplyZoneDrainChanges applies the changes of a watch, which lead to the given revision.
func (s *State) ApplyZoneDrainChanges(changes []Change, revision int64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	drained := maps.Clone(s.view.Load().Drains.zones)
	if drained == nil {
		drained = make(map[string]bool)
	}
	for _, change := range changes {
		if change.Deleted {
			delete(drained, change.Object.Name)
		} else {
			drained[change.Object.Name] = true
		}
	}
	s.publishZoneDrains(drained, revision)
}

// publishZoneDrains publishes drains of a newer revision. The mutex must be held.
func (s *State) publishZoneDrains(drained map[string]bool, revision int64) {
	current := s.view.Load()
	if revision <= current.Drains.Revision {
		return
	}
	next := *current
	next.Drains = ZoneDrains{Revision: revision, zones: drained}
	s.publish(&next)
}

// DrainedZoneList returns the drained zones as a message for other processes, or nil if they are
// not newer than the given revision.
func (s *State) DrainedZoneList(after int64) *replicav1.DrainedZoneList {
	drains := s.View().Drains
	if drains.Revision <= after {
		return nil
	}
	return &replicav1.DrainedZoneList{Revision: drains.Revision, Zones: drains.Zones()}
}

// ApplyDrainedZoneList applies a list received from another process. A nil list is ignored.
func (s *State) ApplyDrainedZoneList(list *replicav1.DrainedZoneList) {
	if list != nil {
		s.ReplaceZoneDrains(list.Zones, list.Revision)
	}
}
