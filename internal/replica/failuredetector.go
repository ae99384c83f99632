package replica

import (
	"sync"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
)

// suspectAfter is the time without contact after which a standby may replace a node.
const suspectAfter = 2600 * time.Millisecond

// failedAfter is the time without contact after which a node may be removed without a successor.
// Including the exchange that follows, the removal completes before the next disk may be lost, even
// if a node has taken a new seat meanwhile.
const failedAfter = suspectAfter + 800*time.Millisecond

// selfPauseThreshold is the gap between two checks of this process from which on the process counts
// as having been paused.
const selfPauseThreshold = 4 * reconcileInterval

// failureDetector records the last contact of each node and what the node reported. A node is
// healthy, becomes suspect after suspectAfter without contact, and failed after failedAfter.
type failureDetector struct {
	now func() time.Time
	// observedSince is the start of the time in which this process has run without a pause, and
	// lastSelfCheck the last call of checkSelfPause. resumedAt is when it ran again after a pause.
	observedSince, lastSelfCheck, resumedAt time.Time
	mutex                                   sync.Mutex
	nodes                                   map[string]peerStatus
	// memberSince is since when this process has known nodes as members of its groups, by node and
	// partition. Members contact each other only since then.
	memberSince map[string]map[uint32]time.Time
}

// peerStatus is the known status of one node.
type peerStatus struct {
	lastContact time.Time
	// stopping is set if the node last reported that it is stopping.
	stopping bool
	// diskUnavailable is set if the node last announced that its disk is unavailable.
	diskUnavailable bool
	// storesSystemID is set if the node's process stores the ID of its system.
	storesSystemID bool
	// standings are the last reports about the node's seats, by partition.
	standings map[uint32]reportedStanding
}

// reportedStanding is a node's report about one of its seats.
type reportedStanding struct {
	at       time.Time
	standing *replicav1.Standing
}

func newFailureDetector(now func() time.Time) *failureDetector {
	return &failureDetector{now: now, observedSince: now(), nodes: make(map[string]peerStatus)}
}

// observe records a contact with a node.
func (d *failureDetector) observe(node string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	status := d.nodes[node]
	status.lastContact, status.stopping, status.diskUnavailable = d.now(), false, false
	d.nodes[node] = status
}

// observeDiskUnavailable records that a node cannot write to its disk. That does not count as a
// contact: a node that stores nothing is replaced like one that does not respond.
func (d *failureDetector) observeDiskUnavailable(node string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	status := d.nodes[node]
	status.diskUnavailable = true
	d.nodes[node] = status
}

// observeStopping records that a node is stopping. Its earlier reports become invalid. A later
// contact makes the node healthy again.
func (d *failureDetector) observeStopping(node string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.nodes[node] = peerStatus{lastContact: d.now(), stopping: true}
}

// observeStanding records a node's answer about a partition.
func (d *failureDetector) observeStanding(node string, partition uint32, standing *replicav1.Standing) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	status := d.nodes[node]
	status.lastContact, status.stopping, status.diskUnavailable = d.now(), false, false
	if status.standings == nil {
		status.standings = make(map[uint32]reportedStanding)
	}
	status.standings[partition] = reportedStanding{at: status.lastContact, standing: standing}
	d.nodes[node] = status
}

// observeStoresSystemID records whether a node's process stores the ID of its system.
func (d *failureDetector) observeStoresSystemID(node string, stores bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	status := d.nodes[node]
	status.storesSystemID = stores
	d.nodes[node] = status
}

// checkSelfPause must be called periodically. After a pause of this process it discards the times
// without contact, because they are not known to be failures of the nodes.
func (d *failureDetector) checkSelfPause() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now := d.now()
	if !d.lastSelfCheck.IsZero() && now.Sub(d.lastSelfCheck) > selfPauseThreshold {
		d.observedSince, d.resumedAt = now, now
	}
	d.lastSelfCheck = now
}

// watchMembers must be called periodically with the groups whose members this process is in
// contact with.
func (d *failureDetector) watchMembers(groups []*replicav1.Group) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now, watched := d.now(), make(map[string]map[uint32]time.Time)
	for _, group := range groups {
		for _, member := range group.Members {
			since, known := d.memberSince[member.Node][group.Partition]
			if !known {
				since = now
			}
			if watched[member.Node] == nil {
				watched[member.Node] = make(map[uint32]time.Time)
			}
			watched[member.Node][group.Partition] = since
		}
	}
	d.memberSince = watched
}

// contactExpectedSince returns since when a node could have been in contact with this process. The
// mutex must be held.
func (d *failureDetector) contactExpectedSince(node string) time.Time {
	var earliest time.Time
	for _, since := range d.memberSince[node] {
		if earliest.IsZero() || since.Before(earliest) {
			earliest = since
		}
	}
	if earliest.Before(d.observedSince) {
		return d.observedSince
	}
	return earliest
}

// isHealthy reports whether a node was in contact recently and is not stopping.
func (d *failureDetector) isHealthy(node string) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	status, found := d.nodes[node]
	return found && !status.stopping && d.now().Sub(status.lastContact) < suspectAfter
}

// isStopping reports whether a node has recently reported that it is stopping.
func (d *failureDetector) isStopping(node string) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	status := d.nodes[node]
	return status.stopping && d.now().Sub(status.lastContact) < suspectAfter
}

// hasFailed reports whether a node has been without contact for failedAfter and may be gone
// permanently.
func (d *failureDetector) hasFailed(node string) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	last := d.nodes[node].lastContact
	if expected := d.contactExpectedSince(node); last.Before(expected) {
		last = expected
	}
	return d.now().Sub(last) >= failedAfter
}

// isSuspect reports whether a node has been without contact for suspectAfter, not counting the time
// before a pause of this process.
func (d *failureDetector) isSuspect(node string) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	last := d.nodes[node].lastContact
	if last.Before(d.resumedAt) {
		last = d.resumedAt
	}
	return d.now().Sub(last) >= suspectAfter
}

// isInSync reports whether a node has recently reported that it is a recovered member of a
// partition's group in an epoch.
func (d *failureDetector) isInSync(node string, partition uint32, epoch uint64) bool {
	standing := d.freshStanding(node, partition)
	return standing != nil && standing.Epoch == epoch && standing.Member && standing.Recovered
}

// copiedIncarnation returns the incarnation with which a member has recently reported, in an epoch,
// that it has copied the records of its seat, or 0.
func (d *failureDetector) copiedIncarnation(node string, partition uint32, epoch uint64) uint64 {
	return copiedIncarnation(d.freshStanding(node, partition), epoch)
}

// copiedIncarnation returns the incarnation with which a standing shows, in an epoch, that a member
// has copied the records of its seat, or 0. It is 0 for nil.
func copiedIncarnation(standing *replicav1.Standing, epoch uint64) uint64 {
	if standing == nil || standing.Epoch != epoch || !standing.Member || !standing.Copied {
		return 0
	}
	return standing.Incarnation
}

// holdsRecords reports whether a standing shows that a member holds all records of its seat. It is
// false for nil.
func holdsRecords(member *replicav1.Member, standing *replicav1.Standing) bool {
	return standing.GetRecovered() && standing.Seat == member.Seat && standing.Claim == member.Claim
}

// removedMemberHoldsRecords reports whether the most recently removed member of a group has
// recently reported that it knows of its removal and still holds all records of its seat.
func (d *failureDetector) removedMemberHoldsRecords(group *replicav1.Group) bool {
	standing := d.freshStanding(group.Removed.GetNode(), group.Partition)
	return standing != nil && isRemovedHolder(group, standing)
}

// freshStanding returns the recent standing of a node in a partition, or nil.
func (d *failureDetector) freshStanding(node string, partition uint32) *replicav1.Standing {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	last, found := d.nodes[node].standings[partition]
	if !found || d.now().Sub(last.at) >= suspectAfter {
		return nil
	}
	return last.standing
}

// storesSystemID reports whether a node's process has shown that it stores the ID of its system.
func (d *failureDetector) storesSystemID(node string) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.nodes[node].storesSystemID
}
