package fleet

import "github.com/barleyshelf/barleyshelf/internal/structs"

// duties divides work on zones among the daemons without a message. Work on a
// zone falls to its own daemons, or to all where the zone has none.
type duties struct {
	self      uint64
	selfZone  structs.ZoneName
	populated map[structs.ZoneName]bool
	// zonePeers are the hashes of the other daemons of self's zone, peers those
	// of all others.
	zonePeers []uint64
	peers     []uint64
}

// dutiesOf returns how self sees the division. Self counts as serving.
func dutiesOf(self structs.Node, daemons []structs.Node) *duties {
	d := &duties{
		self:      hashText(string(self.ID)),
		selfZone:  self.Zone,
		populated: map[structs.ZoneName]bool{self.Zone: true},
	}
	for _, daemon := range daemons {
		if daemon.ID == self.ID || !serves(daemon) {
			continue
		}
		hash := hashText(string(daemon.ID))
		d.populated[daemon.Zone] = true
		d.peers = append(d.peers, hash)
		if daemon.Zone == self.Zone {
			d.zonePeers = append(d.zonePeers, hash)
		}
	}
	return d
}

// first reports whether a piece of work on a zone falls to self: it is the
// first in the rendezvous order of the work's key. Two daemons that see
// different ones alive may both be; the work must bear that.
func (d *duties) first(key string, zone structs.ZoneName) bool {
	rivals := d.zonePeers
	if zone != d.selfZone {
		if d.populated[zone] {
			return false
		}
		rivals = d.peers
	}
	keyHash := hashText(key)
	own := mix(keyHash, d.self)
	for _, rival := range rivals {
		if mix(keyHash, rival) > own {
			return false
		}
	}
	return true
}
