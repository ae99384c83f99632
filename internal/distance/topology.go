// Package distance classifies zones by their distance from this process's zone and ranks them
// by measured round-trip latency. It does no I/O and reads no clock; callers pass times in.
package distance

// Class is the distance of a zone according to the configured regions, nearest first.
type Class uint8

// The classes.
const (
	// OwnZone is the zone of this process.
	OwnZone Class = iota
	// OwnRegion is another zone of this process's region.
	OwnRegion
	// OtherRegion is a zone of another region, or a zone without a region.
	OtherRegion

	classCount
)

var classNames = [classCount]string{"zone", "region", "other_regions"}

// String returns the name of the class in logs and metrics.
func (c Class) String() string { return classNames[c] }

// Classes lists all classes, nearest first.
var Classes = []Class{OwnZone, OwnRegion, OtherRegion}

// Topology maps zones to regions, seen from the zone of this process. It is immutable. The
// zero value knows no regions and treats all zones as zones of the same region.
type Topology struct {
	ownZone, ownRegion string
	// regionByZone is nil unless there are several regions.
	regionByZone map[string]string
}

// NewTopology returns the topology for a process in zone. regions maps each zone to its
// region. All zones count as zones of the process's region if regions does not contain its
// zone or contains a single region only.
func NewTopology(zone string, regions map[string]string) Topology {
	topology := Topology{ownZone: zone, ownRegion: regions[zone]}
	for _, region := range regions {
		if topology.ownRegion != "" && region != topology.ownRegion {
			topology.regionByZone = regions
		}
	}
	return topology
}

// MultiRegion reports whether any zone is in another region.
func (t Topology) MultiRegion() bool { return t.regionByZone != nil }

// Class returns the distance class of a zone.
func (t Topology) Class(zone string) Class {
	switch {
	case zone == t.ownZone:
		return OwnZone
	case t.regionByZone == nil || t.regionByZone[zone] == t.ownRegion:
		return OwnRegion
	}
	return OtherRegion
}

// Region returns the region of a zone, or "" if the zone has none or there is only one region.
func (t Topology) Region(zone string) string { return t.regionByZone[zone] }

// OwnZone returns the zone of this process.
func (t Topology) OwnZone() string { return t.ownZone }
