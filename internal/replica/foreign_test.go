package replica

import (
	"testing"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/directory"
	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
	"github.com/barleyshelf/barleyshelf/internal/recordlog/recordlogtest"
)

func TestNothingIsTakenOfAnAnnouncementOfAnotherSystem(t *testing.T) {
	disk := recordlogtest.NewDisk()
	opened, err := openState(disk)
	require.NoError(t, err)
	group := oneGroup(nodes("a", "b", "c"))
	group.System = 7
	require.NoError(t, opened.write(groupRecord(group)))
	hearing := &service{node: "a", state: opened, directory: directory.NewState(opened.now, nil), peers: newFailureDetector(opened.now)}
	foreign := oneGroup(nodes("a", "b", "c"))
	foreign.Epoch = group.Epoch + 5
	for _, foreign.System = range []uint64{8, 0} {
		_, err = hearing.Announce(t.Context(), connect.NewRequest(&replicav1.AnnounceRequest{Group: foreign, Node: "b", Seat: 1, Incarnation: 9}))
		var refused *directory.ForeignSystem
		require.ErrorAs(t, err, &refused)
		require.False(t, hearing.peers.healthy("b"), "its word is of another node of that name")
		require.Empty(t, opened.standing(0, group.Epoch).Seen)

		// Neither by any other way to the disk.
		require.NoError(t, opened.write(groupRecord(foreign)))
		require.Equal(t, group, opened.currentGroup(0))
	}
	opened.log.Close()
}

func TestASystemIsNamedOnceForAllItsGroups(t *testing.T) {
	require.NotZero(t, drawSystem())
	layout := oneGroup(nodes("a", "b", "c"))
	layout.System = drawSystem()
	require.Equal(t, layout.System, nextGroup(lostMember(layout, "b", "a", "b", "c")).System)
	require.Equal(t, layout.System, confinedGroup(layout, 1, nodes("a")[0], 1).System)
}

// A replica without records took the group of whoever announced itself first, and refused its own system's after that.
func TestAReplicaWithoutRecordsTakesNoGroupBeforeTheStoreWasAsked(t *testing.T) {
	opened, err := openState(recordlogtest.NewDisk())
	require.NoError(t, err)
	t.Cleanup(opened.log.Close)
	believing := false
	hearing := &service{
		node: "a", state: opened, directory: directory.NewState(opened.now, nil), peers: newFailureDetector(opened.now),
		believing: func() bool { return believing },
	}
	message := &replicav1.AnnounceRequest{Group: oneGroup(nodes("a", "b", "c")), Node: "b"}
	for _, believing = range []bool{false, true} {
		_, err = hearing.Announce(t.Context(), connect.NewRequest(message))
		require.NoError(t, err)
		require.Equal(t, believing, opened.currentGroup(0) != nil)
		require.Equal(t, believing, len(hearing.directory.Groups()) > 0)
	}
}

func TestASystemOfAFormerReleaseIsNamedOnceEachMemberKeepsNames(t *testing.T) {
	group := oneGroup(nodes("a", "b", "c"))
	seen := seenAll(group, nodes("a", "b", "c"))
	seen.keepsSystem = func(string) bool { return true }
	named := namedGroup(seen, 7)
	require.Equal(t, uint64(7), named.System)
	require.Equal(t, group.Epoch+1, named.Epoch)
	require.Equal(t, memberNames(group), memberNames(named))
	require.Nil(t, namedGroup(seenAll(named, nodes("a", "b", "c")), 8), "it has a name")
	seen.keepsSystem = except("b")
	require.Nil(t, namedGroup(seen, 7), "a process of a former release would drop it")
	seen.keepsSystem, seen.settled = except(), except("c")
	require.Nil(t, namedGroup(seen, 7), "one that is not there may be of a former release")
}
