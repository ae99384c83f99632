package replica

import (
	"slices"
	"sync"
	"time"
)

// lackingTold is how long members must have lacked what their seats held before that is
// told: a lost disk is copied in some hundred ms, and a silent member's seat passed on in
// 2 to 3 s.
const lackingTold = 3 * time.Second

// lackingGroups knows which groups have members that do not hold their seats. Such a group
// serves as before, and bears one loss less than it seems to.
type lackingGroups struct {
	now   func() time.Time
	mutex sync.Mutex
	// groups are those in which members lack something, by partition.
	groups map[uint32]*lackingGroup
}

// lackingGroup is one of them.
type lackingGroup struct {
	since time.Time
	// members are those that lacked something when that was told last.
	members []string
	told    bool
}

func newLackingGroups(now func() time.Time) *lackingGroups {
	return &lackingGroups{now: now, groups: make(map[uint32]*lackingGroup)}
}

// note takes which members of a partition's group lack something, and logs what lasts.
// standbys are the nodes that were asked to take a seat.
func (l *lackingGroups) note(seen observation, standbys []string) {
	var members []string
	for _, member := range seen.group.Members {
		if !seen.settled(member.Node) {
			members = append(members, member.Node)
		}
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	partition, now := seen.group.Partition, l.now()
	known := l.groups[partition]
	switch {
	case len(members) == 0:
		delete(l.groups, partition)
		if known != nil && known.told {
			eventGroupWhole.Log("partition", partition, "epoch", seen.group.Epoch, "milliseconds", now.Sub(known.since).Milliseconds())
		}
	case known == nil:
		l.groups[partition] = &lackingGroup{since: now, members: members}
	case now.Sub(known.since) >= lackingTold && (!known.told || !slices.Equal(known.members, members)):
		known.told, known.members = true, members
		eventGroupLacks.Log("partition", partition, "epoch", seen.group.Epoch, "members", members, "standbys", standbys,
			"milliseconds", now.Sub(known.since).Milliseconds())
	}
}

// count returns in how many groups members have lacked something for long.
func (l *lackingGroups) count() (count int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, each := range l.groups {
		if each.told {
			count++
		}
	}
	return count
}
