package replica

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
)

func TestLongUnderReplicatedGroupIsCounted(t *testing.T) {
	now := time.Unix(100, 0)
	groups := newUnderReplicatedGroups(func() time.Time { return now })
	status := statusAllInSync(singlePartitionGroup(nodes("a", "b", "c")), nodes("a", "b", "c"))
	groups.observe(status, nil)
	require.Zero(t, groups.count())
	status.isInSync = allExcept("b")
	groups.observe(status, nil)
	now = now.Add(underReplicatedLogDelay - 1)
	groups.observe(status, nil)
	require.Zero(t, groups.count(), "a copy usually takes less time")
	now = now.Add(1)
	groups.observe(status, []string{"d"})
	require.Equal(t, 1, groups.count())
	status.isInSync = allExcept("c")
	groups.observe(status, nil)
	require.Equal(t, 1, groups.count(), "another member is out of sync now")
	status.isInSync = allExcept()
	groups.observe(status, nil)
	require.Zero(t, groups.count())
}

func TestWeakestGroupDeterminesToleratedLosses(t *testing.T) {
	groups := newUnderReplicatedGroups(func() time.Time { return time.Unix(100, 0) })
	require.Zero(t, groups.minToleratedLosses())
	three, five := singlePartitionGroup(nodes("a", "b", "c")), singlePartitionGroup(nodes("a", "b", "c", "d", "e"))
	five.Partition = 1
	groups.observe(statusAllInSync(three, nil), nil)
	groups.observe(statusAllInSync(five, nil), nil)
	require.Equal(t, 1, groups.minToleratedLosses())
	weak := statusAllInSync(three, nil)
	weak.isInSync = allExcept("a", "b", "c")
	groups.observe(weak, nil)
	require.Equal(t, 1, groups.minToleratedLosses(), "records still exist if a member has not yet reported the new epoch")
	weak.holdsRecords = func(member *replicav1.Member) bool { return member.Node == "c" }
	groups.observe(weak, nil)
	require.Equal(t, -1, groups.minToleratedLosses())
	groups.retainGroups([]*replicav1.Group{five})
	require.Equal(t, 2, groups.minToleratedLosses())
}

func TestGroupThatToleratesNoLossIsReportedOnceAfterDelay(t *testing.T) {
	now := time.Unix(100, 0)
	groups := newUnderReplicatedGroups(func() time.Time { return now })
	status := statusAllInSync(singlePartitionGroup(nodes("a", "b", "c")), nodes("a", "b", "c"))
	status.holdsRecords = func(member *replicav1.Member) bool { return member.Node != "c" }
	groups.observe(status, nil)
	now = now.Add(underReplicatedLogDelay - 1)
	groups.observe(status, nil)
	require.False(t, groups.tolerated[0].warned, "a replacement usually takes less time")
	now = now.Add(1)
	groups.observe(status, nil)
	require.True(t, groups.tolerated[0].warned)
	status.holdsRecords = func(*replicav1.Member) bool { return true }
	groups.observe(status, nil)
	require.Equal(t, toleratedLosses{count: 1, since: now}, groups.tolerated[0])
}
