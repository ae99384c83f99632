// Package distance tells how far zones are from this process's own: which come before
// which, and by how much longer a request takes there than at home, as far as that was
// measured. It does no I/O and reads no clock; callers pass times in.
package distance

// Class is how far a zone is by its name alone, the nearest first.
type Class uint8

// The classes.
const (
	// OwnZone is this process's own zone.
	OwnZone Class = iota
	// OwnRegion is another zone of its region.
	OwnRegion
	// OtherRegion is a zone of another region, or of none.
	OtherRegion

	classes
)

var classNames = [classes]string{"zone", "region", "other_regions"}

// String returns the class's name in logs and metrics.
func (c Class) String() string { return classNames[c] }

// Classes are all classes, the nearest first.
var Classes = []Class{OwnZone, OwnRegion, OtherRegion}

// Topology knows the own zone and the region of each. It is immutable; its zero value knows
// nothing, and takes all zones for zones of one region.
type Topology struct {
	zone, region string
	regions      map[string]string
}

// NewTopology returns the places of a process in a zone. regions names the region of each
// zone; where it does not name the own zone's, or names one only, all zones count as zones
// of the own region.
func NewTopology(zone string, regions map[string]string) Topology {
	places := Topology{zone: zone, region: regions[zone]}
	for _, region := range regions {
		if places.region != "" && region != places.region {
			places.regions = regions
		}
	}
	return places
}

// MultiRegion reports whether any zone is in another region.
func (p Topology) MultiRegion() bool { return p.regions != nil }

// Class returns how far a zone is.
func (p Topology) Class(zone string) Class {
	switch {
	case zone == p.zone:
		return OwnZone
	case p.regions == nil || p.regions[zone] == p.region:
		return OwnRegion
	}
	return OtherRegion
}

// Region returns the region of a zone, or "" where that is not told apart.
func (p Topology) Region(zone string) string { return p.regions[zone] }

// OwnZone returns the own zone.
func (p Topology) OwnZone() string { return p.zone }
