package replica

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/directory"
	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
	"github.com/barleyshelf/barleyshelf/internal/quorum"
)

func nodes(names ...string) []directory.Replica {
	var listed []directory.Replica
	for _, name := range names {
		listed = append(listed, directory.Replica{Node: name, Zone: "zone-" + name, Address: name + ":1"})
	}
	return listed
}

// statusAllInSync returns a status in which every node is healthy and in sync.
func statusAllInSync(group *replicav1.Group, registered []directory.Replica) groupStatus {
	return groupStatus{
		group: group, nodes: registered, retiring: map[string]bool{},
		isHealthy: func(string) bool { return true }, isInSync: func(string) bool { return true },
		holdsRecords: func(*replicav1.Member) bool { return true },
	}
}

// singlePartitionGroup returns the group of a system with one partition.
func singlePartitionGroup(nodes []directory.Replica) *replicav1.Group {
	return assignSeats(nodes, 1, maxSeats)[0]
}

func allExcept(names ...string) func(string) bool {
	return func(node string) bool {
		for _, name := range names {
			if node == name {
				return false
			}
		}
		return true
	}
}

func onlyNode(name string) func(string) bool { return func(node string) bool { return node == name } }

func memberNames(group *replicav1.Group) []string {
	var names []string
	for _, member := range group.Members {
		names = append(names, member.Node)
	}
	return names
}

func TestInitialGroupSpreadsOverZonesAndIsBounded(t *testing.T) {
	listed := nodes("a", "b", "c", "d", "e", "f", "g")
	listed[1].Zone = listed[0].Zone
	group := singlePartitionGroup(listed)
	require.Equal(t, []string{"a", "c", "d", "e", "f"}, memberNames(group))
	require.Equal(t, uint32(maxSeats), group.Target)
	require.Equal(t, uint64(firstEpoch), group.Epoch)
}

func TestInSyncGroupIsUnchanged(t *testing.T) {
	group := singlePartitionGroup(nodes("a", "b", "c"))
	require.Nil(t, nextGroup(statusAllInSync(group, nodes("a", "b", "c"))))
	largest := singlePartitionGroup(nodes("a", "b", "c", "d", "e"))
	require.Nil(t, nextGroup(statusAllInSync(largest, nodes("a", "b", "c", "d", "e", "spare"))))
}

// A leaving member must not take its vote away before a standby can vote.
func TestGroupAddsStandbysUntilFull(t *testing.T) {
	group := singlePartitionGroup(nodes("a", "b", "c"))
	for _, expected := range []string{"d", "e"} {
		group = nextGroup(statusAllInSync(group, nodes("a", "b", "c", "d", "e", "f")))
		added := group.Members[len(group.Members)-1]
		require.Equal(t, expected, added.Node)
		require.True(t, quorum.IsJoining(added))
		group = groupWithTransferComplete(group, added.Seat, 7)
	}
	require.Nil(t, nextGroup(statusAllInSync(group, nodes("a", "b", "c", "d", "e", "f"))))
}

// A fourth member in one of three zones would make the majority depend on that zone.
func TestGroupAddsNoMemberThatBreaksZoneTolerance(t *testing.T) {
	registered := nodes("a", "b", "c", "d")
	registered[3].Zone = registered[0].Zone
	status := statusAllInSync(singlePartitionGroup(registered[:3]), registered)
	require.Len(t, nextGroup(status).Members, 4, "no zone failure has to be tolerated")
	status.toleratedZoneFailures = 1
	require.Nil(t, nextGroup(status))
	status.reportsStopping = onlyNode("a")
	require.Len(t, nextGroup(status).Members, 4, "a leaving member is replaced")
	returned := statusAllInSync(completeTransfers(nextGroup(status)), registered)
	returned.toleratedZoneFailures = 1
	require.Equal(t, []string{"a", "b", "c"}, memberNames(nextGroup(returned)), "the added member leaves if the replaced one has returned")
	separateZones := statusAllInSync(singlePartitionGroup(nodes("a", "b", "c")), nodes("a", "b", "c", "d"))
	separateZones.toleratedZoneFailures = 1
	require.Len(t, nextGroup(separateZones).Members, 4, "each member has its own zone")
	require.True(t, toleratesZoneFailures([]string{"x", "x", "y", "y", "z"}, 1))
	require.False(t, toleratesZoneFailures([]string{"x", "x", "y", "y", "z"}, 2))
}

// completeTransfers returns a group in which each seat in transfer has received its records.
func completeTransfers(group *replicav1.Group) *replicav1.Group {
	for _, member := range membersInTransfer(group) {
		group = groupWithTransferComplete(group, member.Seat, 7)
	}
	return group
}

func TestUnresponsiveMemberIsReplacedByStandby(t *testing.T) {
	group := singlePartitionGroup(nodes("a", "b", "c"))
	status := statusAllInSync(group, nodes("a", "b", "c", "spare"))
	status.isHealthy, status.isInSync = allExcept("b"), allExcept("b")
	next := nextGroup(status)
	require.Equal(t, []string{"a", "spare", "c"}, memberNames(next))
	require.Equal(t, group.Members[1].Seat, next.Members[1].Seat)
	require.Equal(t, next.Epoch, next.Members[1].Claim, "the new holder has a new claim")
	require.Equal(t, []string{"a", "b", "c"}, memberNames(group), "the present group is unchanged")
	predecessor := next.Members[1].Predecessor
	require.Equal(t, &replicav1.Predecessor{Node: "b", Address: "b:1", Claim: firstEpoch}, predecessor)
	require.Equal(t, next.Members[1], successorOf(next, "b"))
	require.Nil(t, successorOf(next, "a"))
	status.nodes = nodes("a", "b", "c")
	require.Nil(t, nextGroup(status), "an unresponsive member keeps its seat without a standby")
}

func TestGroupIsUnchangedUntilOthersAreInSync(t *testing.T) {
	group := singlePartitionGroup(nodes("a", "b", "c"))
	status := statusAllInSync(group, nodes("a", "b", "c", "spare"))
	status.isHealthy, status.isInSync = allExcept("b"), allExcept("b", "c")
	require.Nil(t, nextGroup(status))
}

func TestRetiringMemberLeavesWithOrWithoutStandby(t *testing.T) {
	group := singlePartitionGroup(nodes("a", "b", "c"))
	status := statusAllInSync(group, nodes("a", "b", "c", "spare"))
	status.retiring["a"] = true
	grown := nextGroup(status)
	require.Equal(t, []string{"a", "b", "c", "spare"}, memberNames(grown), "it keeps its vote until its replacement can vote")
	joining := statusWithRetiring(grown, "a", "a", "b", "c", "spare")
	joining.isInSync = allExcept("spare")
	require.Nil(t, nextGroup(joining))
	remaining := nextGroup(statusWithRetiring(completeTransfers(grown), "a", "a", "b", "c", "spare"))
	require.Equal(t, []string{"b", "c", "spare"}, memberNames(remaining))
	require.Nil(t, remaining.Removed, "three of four members hold each record, so two of those remain")
	status.retiring["spare"] = true
	next := nextGroup(status)
	require.Equal(t, []string{"b", "c"}, memberNames(next))
	require.Equal(t, uint32(3), next.Target)
	status.isInSync = allExcept("a")
	require.Nil(t, nextGroup(status), "a member that has lost its records cannot push them")
	singleMember := singlePartitionGroup(nodes("a"))
	lastMemberStatus := statusAllInSync(singleMember, nodes("a"))
	lastMemberStatus.retiring["a"] = true
	require.Nil(t, nextGroup(lastMemberStatus), "the last member holds all records")
}

func TestShrunkGroupGrowsAgain(t *testing.T) {
	group := singlePartitionGroup(nodes("a", "b", "c"))
	removeSeat(group, 0)
	next := nextGroup(statusAllInSync(group, nodes("b", "c", "d")))
	require.Equal(t, []string{"b", "c", "d"}, memberNames(next))
	require.NotEqual(t, next.Members[2].Seat, next.Members[1].Seat)
}

func TestSeatInTransferKeepsPredecessorWithRecords(t *testing.T) {
	group := singlePartitionGroup(nodes("a", "b", "c"))
	status := statusAllInSync(group, nodes("a", "b", "c", "d", "e"))
	status.isHealthy, status.isInSync = allExcept("a"), allExcept("a")
	moved := nextGroup(status)
	require.Equal(t, "d", moved.Members[0].Node)
	require.True(t, inTransfer(moved.Members[0]))
	again := statusAllInSync(moved, nodes("b", "c", "d", "e"))
	again.isHealthy, again.isInSync = allExcept("d"), allExcept("d")
	next := nextGroup(again)
	require.Equal(t, "e", next.Members[0].Node)
	require.Equal(t, "a", next.Members[0].Predecessor.Node, "d had received nothing")
	received := groupWithTransferComplete(next, next.Members[0].Seat, 77)
	require.False(t, inTransfer(received.Members[0]))
	require.True(t, inTransfer(next.Members[0]), "the present group is unchanged")
	require.Equal(t, next.Epoch+1, received.Epoch)
}

// As a new holder, the node would discard its records for a copy from members that may have lost
// theirs.
func TestPredecessorRegainsSeatInTransferUnchanged(t *testing.T) {
	group := singlePartitionGroup(nodes("a", "b", "c"))
	status := statusAllInSync(group, nodes("a", "b", "c", "d"))
	status.isHealthy, status.isInSync = allExcept("a"), allExcept("a")
	moved := nextGroup(status)
	require.Equal(t, "d", moved.Members[0].Node)
	again := statusAllInSync(moved, nodes("a", "b", "c", "d"))
	again.isHealthy, again.isInSync = allExcept("d"), allExcept("a", "d")
	next := nextGroup(again)
	require.Equal(t, group.Members[0], next.Members[0])
	require.Equal(t, uint64(firstEpoch+2), next.Epoch)
}
