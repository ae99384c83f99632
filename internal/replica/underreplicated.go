package replica

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
	"github.com/barleyshelf/barleyshelf/internal/quorum"
)

// underReplicatedLogDelay is how long members must be out of sync before it is logged. Recovery
// from a lost disk takes some hundred milliseconds, and the replacement of an unresponsive member 2
// to 3 s.
const underReplicatedLogDelay = 3 * time.Second

// underReplicatedGroups tracks the groups with members that are out of sync. Such a group still
// serves, but tolerates one loss less than its size suggests.
type underReplicatedGroups struct {
	now   func() time.Time
	mutex sync.Mutex
	// groups are the groups with members out of sync, by partition.
	groups map[uint32]*underReplicatedGroup
	// tolerated are the disk losses that groups tolerate, by partition.
	tolerated map[uint32]toleratedLosses
}

// underReplicatedGroup is a group with members out of sync.
type underReplicatedGroup struct {
	since time.Time
	// members are the members that were out of sync when they were last logged.
	members []string
	logged  bool
}

// toleratedLosses is the number of disk losses that a partition's group tolerated when it was last
// logged.
type toleratedLosses struct {
	count int
	since time.Time
	// warned is set once it was logged that the group has tolerated no loss for long.
	warned bool
}

func newUnderReplicatedGroups(now func() time.Time) *underReplicatedGroups {
	return &underReplicatedGroups{now: now, groups: make(map[uint32]*underReplicatedGroup), tolerated: make(map[uint32]toleratedLosses)}
}

// observe records which members of a group are out of sync, and logs those that stay so. standbys
// are the nodes queried as replacements.
func (u *underReplicatedGroups) observe(status groupStatus, standbys []string) {
	var members []string
	for _, member := range status.group.Members {
		if !status.isInSync(member.Node) {
			members = append(members, member.Node)
		}
	}
	u.mutex.Lock()
	defer u.mutex.Unlock()
	partition, now := status.group.Partition, u.now()
	u.observeToleratedLosses(status)
	existing := u.groups[partition]
	switch {
	case len(members) == 0:
		delete(u.groups, partition)
		if existing != nil && existing.logged {
			eventFullyReplicated.Log("partition", partition, "epoch", status.group.Epoch, "milliseconds", now.Sub(existing.since).Milliseconds())
		}
	case existing == nil:
		u.groups[partition] = &underReplicatedGroup{since: now, members: members}
	case now.Sub(existing.since) >= underReplicatedLogDelay && (!existing.logged || !slices.Equal(existing.members, members)):
		existing.logged, existing.members = true, members
		eventUnderReplicated.Log("partition", partition, "epoch", status.group.Epoch, "members", members, "standbys", standbys,
			"milliseconds", now.Sub(existing.since).Milliseconds())
	}
}

// observeToleratedLosses logs a change in the number of disk losses that a group tolerates,
// according to the reports that this member has. The mutex must be held.
func (u *underReplicatedGroups) observeToleratedLosses(status groupStatus) {
	group := status.group
	var empty []string
	for _, member := range group.Members {
		if !status.holdsRecords(member) {
			empty = append(empty, member.Node)
		}
	}
	tolerated := quorum.ToleratedLosses(group, len(group.Members)-len(empty))
	existing, found := u.tolerated[group.Partition]
	now := u.now()
	if found && existing.count == tolerated {
		if tolerated < 1 && !existing.warned && now.Sub(existing.since) >= underReplicatedLogDelay {
			existing.warned = true
			u.tolerated[group.Partition] = existing
			logNoLossTolerated(status, empty, now.Sub(existing.since))
		}
		return
	}
	u.tolerated[group.Partition] = toleratedLosses{count: tolerated, since: now}
	if found {
		eventToleratedLosses.Log("partition", group.Partition, "epoch", group.Epoch, "losses", tolerated, "before", existing.count,
			"empty", empty, "removed", group.Removed.GetNode(), "milliseconds", now.Sub(existing.since).Milliseconds())
	}
}

// logNoLossTolerated logs what keeps a group from tolerating the loss of a disk.
func logNoLossTolerated(status groupStatus, empty []string, duration time.Duration) {
	group, why := status.group, changeOther
	if leaving := nextDeparture(status); leaving != nil {
		why = departureChangeReasons[leaving.reason]
	}
	eventNoLossTolerated.Log("partition", group.Partition, "epoch", group.Epoch, "empty", empty, "inTransfer", nodeNames(membersInTransfer(group)),
		"removed", group.Removed.GetNode(), "why", why, "milliseconds", duration.Milliseconds())
}

// retainGroups drops the groups in which this node has no seat any more.
func (u *underReplicatedGroups) retainGroups(ownGroups []*replicav1.Group) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	maps.DeleteFunc(u.tolerated, func(partition uint32, _ toleratedLosses) bool {
		return !slices.ContainsFunc(ownGroups, func(group *replicav1.Group) bool { return group.Partition == partition })
	})
}

// minToleratedLosses returns the number of disk losses that the weakest group tolerates, or 0 if
// there is no group.
func (u *underReplicatedGroups) minToleratedLosses() (least int) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	for i, losses := range slices.Collect(maps.Values(u.tolerated)) {
		if i == 0 || losses.count < least {
			least = losses.count
		}
	}
	return least
}

// count returns the number of groups that have been under-replicated for longer than
// underReplicatedLogDelay.
func (u *underReplicatedGroups) count() (count int) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	for _, group := range u.groups {
		if group.logged {
			count++
		}
	}
	return count
}
