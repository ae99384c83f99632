package hollow

import (
	"maps"
	"slices"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// death is a daemon that died, and who still has to know.
type death struct {
	at          time.Duration
	incarnation structs.Incarnation
	// unsuspecting and unaware are the daemons of its zone that do not yet
	// suspect it and that did not yet remove it.
	unsuspecting map[*daemon]bool
	unaware      map[*daemon]bool
	// everywhere are the daemons of all zones that did not yet remove it.
	everywhere map[*daemon]bool
}

// change is a configuration version on its way.
type change struct {
	version uint64
	at      time.Duration
	missing map[*daemon]bool
}

// observations are what a run measured, beside the daemons' meters.
type observations struct {
	measuring bool
	deaths    map[structs.NodeID]*death
	changes   []*change
	// suspected, detected, removed are times until all in the zone suspected
	// and removed a dead daemon, and until all daemons removed it.
	suspected, detected, removed []time.Duration
	inForceAll                   []time.Duration
	joined                       []time.Duration
	joining                      map[*daemon]time.Duration
	falseRemovals                map[structs.NodeID]structs.Incarnation
	falseSuspicions              int
	selfRemoved                  int
	backwards                    int
	healedAt, mergedAt           time.Duration
}

func (o *observations) begin(r *run) {
	*o = observations{
		measuring:     true,
		deaths:        map[structs.NodeID]*death{},
		joining:       map[*daemon]time.Duration{},
		falseRemovals: map[structs.NodeID]structs.Incarnation{},
	}
	for _, d := range r.daemons {
		d.inForce = d.document.InForce()
	}
}

// node takes a daemon's changed view of another.
func (o *observations) node(r *run, viewer *daemon, node structs.Node) {
	if !o.measuring {
		return
	}
	switch node.State {
	case structs.NodeSuspect:
		o.suspect(r, viewer, node)
	case structs.NodeDead:
		o.suspect(r, viewer, node)
		o.dead(r, viewer, node)
	}
}

func (o *observations) suspect(r *run, viewer *daemon, node structs.Node) {
	if lost, known := o.deaths[node.ID]; known && node.Incarnation >= lost.incarnation {
		if drop(lost.unsuspecting, viewer) {
			o.suspected = append(o.suspected, r.queue.now-lost.at)
		}
		return
	}
	subject := r.daemonOf(node)
	if subject.alive && subject.node.Incarnation == node.Incarnation && !r.network.cut[subject.node.Zone] && !r.network.cut[viewer.node.Zone] {
		o.falseSuspicions++
	}
}

func (o *observations) dead(r *run, viewer *daemon, node structs.Node) {
	if lost, known := o.deaths[node.ID]; known && node.Incarnation >= lost.incarnation {
		if drop(lost.unaware, viewer) {
			o.detected = append(o.detected, r.queue.now-lost.at)
		}
		if drop(lost.everywhere, viewer) {
			o.removed = append(o.removed, r.queue.now-lost.at)
			delete(o.deaths, node.ID)
		}
		return
	}
	subject := r.daemonOf(node)
	if subject.alive && subject.node.Incarnation == node.Incarnation {
		o.falseRemovals[node.ID] = node.Incarnation
	}
}

// drop removes a waiting daemon and reports whether it was the last.
func drop(waiting map[*daemon]bool, d *daemon) bool {
	if !waiting[d] {
		return false
	}
	delete(waiting, d)
	return len(waiting) == 0
}

func (r *run) daemonOf(node structs.Node) *daemon { return r.byPeer[node.PeerAddress] }

// killed notes a death.
func (o *observations) killed(r *run, d *daemon) {
	o.stopped(r, d)
	lost := &death{at: r.queue.now, incarnation: d.node.Incarnation, unsuspecting: map[*daemon]bool{}, unaware: map[*daemon]bool{}, everywhere: map[*daemon]bool{}}
	for _, other := range r.aliveDaemons() {
		lost.everywhere[other] = true
		if other.node.Zone == d.node.Zone {
			lost.unaware[other] = true
			lost.unsuspecting[other] = true
		}
	}
	o.deaths[d.node.ID] = lost
}

// stopped notes that a daemon no longer has to learn anything.
func (o *observations) stopped(r *run, d *daemon) {
	for _, lost := range o.deaths {
		delete(lost.unsuspecting, d)
		delete(lost.unaware, d)
		delete(lost.everywhere, d)
	}
	for _, waiting := range o.changes {
		delete(waiting.missing, d)
	}
	delete(o.joining, d)
	o.joining[d] = r.queue.now
}

// changed notes a new version at the platform. Daemons that have none in force
// yet are joining and are counted there; those that are cut off are counted by
// the time to merge.
func (o *observations) changed(r *run, version uint64) {
	waiting := &change{version: version, at: r.queue.now, missing: map[*daemon]bool{}}
	for _, d := range r.aliveDaemons() {
		if d.document.InForce() > 0 && !r.network.cut[d.node.Zone] {
			waiting.missing[d] = true
		}
	}
	o.changes = append(o.changes, waiting)
}

func (o *observations) inForce(r *run, d *daemon, version uint64) {
	if !o.measuring {
		return
	}
	if version < d.inForce {
		o.backwards++
	}
	d.inForce = version
	if since, joining := o.joining[d]; joining {
		o.joined = append(o.joined, r.queue.now-max(since, d.started))
		delete(o.joining, d)
	}
	for _, waiting := range o.changes {
		if version >= waiting.version && drop(waiting.missing, d) {
			o.inForceAll = append(o.inForceAll, r.queue.now-waiting.at)
		}
	}
	o.changes = slices.DeleteFunc(o.changes, func(c *change) bool { return len(c.missing) == 0 })
}

// cut notes the beginning and the end of a partition, and from its end on
// watches until all views are whole again.
func (o *observations) cut(r *run, cut bool) {
	if cut {
		for _, d := range r.daemons {
			for _, waiting := range o.changes {
				if r.network.cut[d.node.Zone] {
					delete(waiting.missing, d)
				}
			}
		}
		return
	}
	o.healedAt = r.queue.now
	r.queue.after(100*time.Millisecond, func() { o.watchMerge(r) })
}

func (o *observations) watchMerge(r *run) {
	if r.whole() {
		o.mergedAt = r.queue.now
		return
	}
	r.queue.after(100*time.Millisecond, func() { o.watchMerge(r) })
}

// whole reports whether all running daemons see all running daemons alive and
// act on the latest version that any of them does.
func (r *run) whole() bool {
	alive := r.aliveDaemons()
	var newest uint64
	for _, d := range alive {
		newest = max(newest, d.document.InForce())
	}
	for _, viewer := range alive {
		if viewer.document.InForce() != newest {
			return false
		}
		for _, subject := range alive {
			node, known := viewer.view.Node(subject.node.ID)
			if !known || node.State != structs.NodeAlive {
				return false
			}
		}
	}
	return true
}

func sortedShards(led map[int]bool) []int { return slices.Sorted(maps.Keys(led)) }
