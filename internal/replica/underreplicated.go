package replica

import (
	"slices"
	"sync"
	"time"
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
}

// underReplicatedGroup is one of them.
type underReplicatedGroup struct {
	since time.Time
	// members are those that lacked something when that was logged last.
	members []string
	logged  bool
}

func newUnderReplicatedGroups(now func() time.Time) *underReplicatedGroups {
	return &underReplicatedGroups{now: now, groups: make(map[uint32]*underReplicatedGroup)}
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
