package replica

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
	"github.com/barleyshelf/barleyshelf/internal/quorum"
)

// underReplicatedAfter is how long members must have lacked what their seats held before that is
// logged: a lost disk is copied in some hundred ms, and a silent member's seat passed on in
// 2 to 3 s.
const underReplicatedAfter = 3 * time.Second

// underReplicatedGroups knows which groups have members that do not hold their seats. Such a group
// serves as before, and bears one loss less than it seems to.
type underReplicatedGroups struct {
	now   func() time.Time
	mutex sync.Mutex
	// groups are those in which members lack something, by partition.
	groups map[uint32]*underReplicatedGroup
	// borne are the losses that groups bear, by partition.
	borne map[uint32]borneLosses
}

// underReplicatedGroup is one of them.
type underReplicatedGroup struct {
	since time.Time
	// members are those that lacked something when that was logged last.
	members []string
	logged  bool
}

// borneLosses is how many lost disks a partition's group bore when that was logged last.
type borneLosses struct {
	count int
	since time.Time
}

func newUnderReplicatedGroups(now func() time.Time) *underReplicatedGroups {
	return &underReplicatedGroups{now: now, groups: make(map[uint32]*underReplicatedGroup), borne: make(map[uint32]borneLosses)}
}

// observe takes which members of a partition's group lack something, and logs what lasts.
// standbys are the nodes that were asked to take a seat.
func (u *underReplicatedGroups) observe(seen observation, standbys []string) {
	var members []string
	for _, member := range seen.group.Members {
		if !seen.settled(member.Node) {
			members = append(members, member.Node)
		}
	}
	u.mutex.Lock()
	defer u.mutex.Unlock()
	partition, now := seen.group.Partition, u.now()
	u.observeBorne(seen)
	known := u.groups[partition]
	switch {
	case len(members) == 0:
		delete(u.groups, partition)
		if known != nil && known.logged {
			eventGroupWhole.Log("partition", partition, "epoch", seen.group.Epoch, "milliseconds", now.Sub(known.since).Milliseconds())
		}
	case known == nil:
		u.groups[partition] = &underReplicatedGroup{since: now, members: members}
	case now.Sub(known.since) >= underReplicatedAfter && (!known.logged || !slices.Equal(known.members, members)):
		known.logged, known.members = true, members
		eventGroupLacks.Log("partition", partition, "epoch", seen.group.Epoch, "members", members, "standbys", standbys,
			"milliseconds", now.Sub(known.since).Milliseconds())
	}
}

// observeBorne logs when a group bears more or fewer lost disks than before, as far as this member
// hears. The mutex is held.
func (u *underReplicatedGroups) observeBorne(seen observation) {
	group := seen.group
	var empty []string
	for _, member := range group.Members {
		if !seen.holds(member) {
			empty = append(empty, member.Node)
		}
	}
	borne := quorum.ToleratedLosses(group, len(group.Members)-len(empty))
	known, found := u.borne[group.Partition]
	if found && known.count == borne {
		return
	}
	now := u.now()
	u.borne[group.Partition] = borneLosses{count: borne, since: now}
	if found {
		eventLossesBorne.Log("partition", group.Partition, "epoch", group.Epoch, "losses", borne, "before", known.count,
			"empty", empty, "removed", group.Removed.GetNode(), "milliseconds", now.Sub(known.since).Milliseconds())
	}
}

// forget drops what is known of groups that this node has no seat in any more.
func (u *underReplicatedGroups) forget(own []*replicav1.Group) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	maps.DeleteFunc(u.borne, func(partition uint32, _ borneLosses) bool {
		return !slices.ContainsFunc(own, func(group *replicav1.Group) bool { return group.Partition == partition })
	})
}

// leastBorne returns how many lost disks the weakest of the groups bears, or 0 where there is none.
func (u *underReplicatedGroups) leastBorne() (least int) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	for i, each := range slices.Collect(maps.Values(u.borne)) {
		if i == 0 || each.count < least {
			least = each.count
		}
	}
	return least
}

// count returns in how many groups members have lacked something for long.
func (u *underReplicatedGroups) count() (count int) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	for _, each := range u.groups {
		if each.logged {
			count++
		}
	}
	return count
}
