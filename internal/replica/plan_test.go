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

// seenAll is an observation in which every node is alive and settled.
func seenAll(group *replicav1.Group, registered []directory.Replica) observation {
	return observation{
		group: group, nodes: registered, retiring: map[string]bool{},
		healthy: func(string) bool { return true }, settled: func(string) bool { return true },
		holds: func(*replicav1.Member) bool { return true },
	}
}

// oneGroup returns the group of a system with one partition.
func oneGroup(nodes []directory.Replica) *replicav1.Group { return assign(nodes, 1, maxSeats)[0] }

func except(names ...string) func(string) bool {
	return func(node string) bool {
		for _, name := range names {
			if node == name {
				return false
			}
		}
		return true
	}
}

func only(name string) func(string) bool { return func(node string) bool { return node == name } }

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
	group := oneGroup(listed)
	require.Equal(t, []string{"a", "c", "d", "e", "f"}, memberNames(group))
	require.Equal(t, uint32(maxSeats), group.Target)
	require.Equal(t, uint64(firstEpoch), group.Epoch)
}

func TestInSyncGroupIsUnchanged(t *testing.T) {
	group := oneGroup(nodes("a", "b", "c"))
	require.Nil(t, nextGroup(seenAll(group, nodes("a", "b", "c"))))
	largest := oneGroup(nodes("a", "b", "c", "d", "e"))
	require.Nil(t, nextGroup(seenAll(largest, nodes("a", "b", "c", "d", "e", "spare"))))
}

// A member that was told to leave took its vote along before one that stood by had any.
func TestGroupAddsStandbysUntilFull(t *testing.T) {
	group := oneGroup(nodes("a", "b", "c"))
	for _, more := range []string{"d", "e"} {
		group = nextGroup(seenAll(group, nodes("a", "b", "c", "d", "e", "f")))
		added := group.Members[len(group.Members)-1]
		require.Equal(t, more, added.Node)
		require.True(t, quorum.IsJoining(added))
		group = receivedGroup(group, added.Seat, 7)
	}
	require.Nil(t, nextGroup(seenAll(group, nodes("a", "b", "c", "d", "e", "f"))))
}

// A fourth member in one of three zones would take the majority along with that zone.
func TestGroupAddsNoMemberThatBreaksZoneTolerance(t *testing.T) {
	registered := nodes("a", "b", "c", "d")
	registered[3].Zone = registered[0].Zone
	seen := seenAll(oneGroup(registered[:3]), registered)
	require.Len(t, nextGroup(seen).Members, 4, "no zone may be lost")
	seen.zonesBorne = 1
	require.Nil(t, nextGroup(seen))
	seen.stopping = only("a")
	require.Len(t, nextGroup(seen).Members, 4, "one that leaves is replaced")
	back := seenAll(allReceived(nextGroup(seen)), registered)
	back.zonesBorne = 1
	require.Equal(t, []string{"a", "b", "c"}, memberNames(nextGroup(back)), "and gives it up where that one has come back")
	apart := seenAll(oneGroup(nodes("a", "b", "c")), nodes("a", "b", "c", "d"))
	apart.zonesBorne = 1
	require.Len(t, nextGroup(apart).Members, 4, "each has a zone of its own")
	require.True(t, bearsLostZones([]string{"x", "x", "y", "y", "z"}, 1))
	require.False(t, bearsLostZones([]string{"x", "x", "y", "y", "z"}, 2))
}

// allReceived returns a group in which each member that joined has received what the others held.
func allReceived(group *replicav1.Group) *replicav1.Group {
	for _, member := range transfers(group) {
		group = receivedGroup(group, member.Seat, 7)
	}
	return group
}

func TestUnresponsiveMemberIsReplacedByStandby(t *testing.T) {
	group := oneGroup(nodes("a", "b", "c"))
	seen := seenAll(group, nodes("a", "b", "c", "spare"))
	seen.healthy, seen.settled = except("b"), except("b")
	next := nextGroup(seen)
	require.Equal(t, []string{"a", "spare", "c"}, memberNames(next))
	require.Equal(t, group.Members[1].Seat, next.Members[1].Seat)
	require.Equal(t, next.Epoch, next.Members[1].Claim, "the new holder starts anew")
	require.Equal(t, []string{"a", "b", "c"}, memberNames(group), "the present group is not touched")
	before := next.Members[1].Predecessor
	require.Equal(t, &replicav1.Predecessor{Node: "b", Address: "b:1", Claim: firstEpoch}, before)
	require.Equal(t, next.Members[1], passedSeatOf(next, "b"))
	require.Nil(t, passedSeatOf(next, "a"))
	seen.nodes = nodes("a", "b", "c")
	require.Nil(t, nextGroup(seen), "a silent member keeps its seat where none stands by")
}

func TestGroupIsUnchangedUntilOthersAreInSync(t *testing.T) {
	group := oneGroup(nodes("a", "b", "c"))
	seen := seenAll(group, nodes("a", "b", "c", "spare"))
	seen.healthy, seen.settled = except("b"), except("b", "c")
	require.Nil(t, nextGroup(seen))
}

func TestRetiringMemberLeavesWithOrWithoutStandby(t *testing.T) {
	group := oneGroup(nodes("a", "b", "c"))
	seen := seenAll(group, nodes("a", "b", "c", "spare"))
	seen.retiring["a"] = true
	grown := nextGroup(seen)
	require.Equal(t, []string{"a", "b", "c", "spare"}, memberNames(grown), "it keeps its vote until another one has its own")
	joining := seenRetiring(grown, "a", "a", "b", "c", "spare")
	joining.settled = except("spare")
	require.Nil(t, nextGroup(joining))
	left := nextGroup(seenRetiring(allReceived(grown), "a", "a", "b", "c", "spare"))
	require.Equal(t, []string{"b", "c", "spare"}, memberNames(left))
	require.Nil(t, left.Removed, "three of four hold each record, two of them stay")
	seen.retiring["spare"] = true
	next := nextGroup(seen)
	require.Equal(t, []string{"b", "c"}, memberNames(next))
	require.Equal(t, uint32(3), next.Target)
	seen.settled = except("a")
	require.Nil(t, nextGroup(seen), "one that has lost what its seat held cannot hand it over")
	alone := oneGroup(nodes("a"))
	last := seenAll(alone, nodes("a"))
	last.retiring["a"] = true
	require.Nil(t, nextGroup(last), "the last member holds what there is")
}

func TestShrunkGroupGrowsAgain(t *testing.T) {
	group := oneGroup(nodes("a", "b", "c"))
	removeSeat(group, 0)
	next := nextGroup(seenAll(group, nodes("b", "c", "d")))
	require.Equal(t, []string{"b", "c", "d"}, memberNames(next))
	require.NotEqual(t, next.Members[2].Seat, next.Members[1].Seat)
}

func TestSeatInTransferKeepsPredecessorWithRecords(t *testing.T) {
	group := oneGroup(nodes("a", "b", "c"))
	seen := seenAll(group, nodes("a", "b", "c", "d", "e"))
	seen.healthy, seen.settled = except("a"), except("a")
	moved := nextGroup(seen)
	require.Equal(t, "d", moved.Members[0].Node)
	require.True(t, inTransfer(moved.Members[0]))
	again := seenAll(moved, nodes("b", "c", "d", "e"))
	again.healthy, again.settled = except("d"), except("d")
	next := nextGroup(again)
	require.Equal(t, "e", next.Members[0].Node)
	require.Equal(t, "a", next.Members[0].Predecessor.Node, "d had received nothing")
	received := receivedGroup(next, next.Members[0].Seat, 77)
	require.False(t, inTransfer(received.Members[0]))
	require.True(t, inTransfer(next.Members[0]), "the present group is not touched")
	require.Equal(t, next.Epoch+1, received.Epoch)
}

// Made a new holder, it would drop what it holds for a copy of others that may have lost it.
func TestPredecessorRegainsSeatInTransferUnchanged(t *testing.T) {
	group := oneGroup(nodes("a", "b", "c"))
	seen := seenAll(group, nodes("a", "b", "c", "d"))
	seen.healthy, seen.settled = except("a"), except("a")
	moved := nextGroup(seen)
	require.Equal(t, "d", moved.Members[0].Node)
	again := seenAll(moved, nodes("a", "b", "c", "d"))
	again.healthy, again.settled = except("d"), except("a", "d")
	next := nextGroup(again)
	require.Equal(t, group.Members[0], next.Members[0])
	require.Equal(t, uint64(firstEpoch+2), next.Epoch)
}
