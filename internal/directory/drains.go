package directory

import (
	"maps"
	"slices"

	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
)

// ZoneDrains are the zones whose workers are to get nothing, as of a revision of the
// platform's store. They are immutable.
type ZoneDrains struct {
	// Revision is 0 while nothing was heard of them.
	Revision int64
	zones    map[string]bool
}

// Known reports whether it was heard which zones are drained.
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

// ReplaceZoneDrains takes all drained zones if their revision is later than what is known: an
// older word never lets a zone have requests again, nor takes them from it.
func (s *State) ReplaceZoneDrains(zones []string, revision int64) {
	drained := make(map[string]bool, len(zones))
	for _, zone := range zones {
		drained[zone] = true
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.takeZoneDrains(drained, revision)
}

// ApplyZoneDrainChanges takes the changes of a watch and the revision they lead to.
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
	s.takeZoneDrains(drained, revision)
}

// takeZoneDrains publishes later drains. The mutex is held.
func (s *State) takeZoneDrains(drained map[string]bool, revision int64) {
	current := s.view.Load()
	if revision <= current.Drains.Revision {
		return
	}
	next := *current
	next.Drains = ZoneDrains{Revision: revision, zones: drained}
	s.publish(&next)
}

// DrainedZoneList returns the drained zones to pass on to others, or nil if they are not
// later than a revision.
func (s *State) DrainedZoneList(after int64) *replicav1.DrainedZoneList {
	drains := s.View().Drains
	if drains.Revision <= after {
		return nil
	}
	return &replicav1.DrainedZoneList{Revision: drains.Revision, Zones: drains.Zones()}
}

// ApplyDrainedZoneList takes what another process passed on; nil is nothing.
func (s *State) ApplyDrainedZoneList(list *replicav1.DrainedZoneList) {
	if list != nil {
		s.ReplaceZoneDrains(list.Zones, list.Revision)
	}
}
